"""What a front end knows: samples, workers, the copies there, calls and their attempts."""

import hashlib
import math
from collections import deque
from dataclasses import dataclass, field

from fawnwharf import interface as io

WINDOW_MS, SAMPLES_MOST = 10_000.0, 64  # samples of a median: the design's window; more would not move it
SWEEP_MS, LEAD_MS = 40.0, 20.0  # pace of the timer; a final answer comes so long before the client leaves
REFRESH_MS, STALE_MS = 1_000.0, 1_000.0  # pace of sums over the fleet; a copy unseen so long may be gone
RATE_MS, SILENT_MS = 5_000.0, 300.0  # of arrivals, between questions for a place; owed so long: ask a sign
SURVEY_WIDTH, ASK_WAIT_MS = 4, 12.0  # workers asked after an unknown function; a load waits so long for them
FADE_MS, RUSH = 30_000.0, 3  # a function's width forgets over this; so many arrivals at once turn it hot
SHORT_MS = 5 * (SWEEP_MS + LEAD_MS)  # requests of classes with no more time have timers of their own
TOTALS_MOST = 1_000  # sizes of the ready fleet that are kept: each change of the list brings one
REST_MS, REST_MOST_MS = 2_000.0, 8_000.0  # then one call tries it, and after each try it rests for longer
HEDGE_SHARE, HEDGES_MOST = 0.1, 3.0  # second attempts a request, and saved up; what came first is given back
LATE_RUNS, LATE_MOST = 2.0, 0.5  # late with fewer runs left, but not with more than this part of the promise


def mix(bits: int) -> int:  # 64 bits, well mixed (the end of splitmix64)
    bits = (bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9 % 2**64
    bits = (bits ^ (bits >> 27)) * 0x94D049BB133111EB % 2**64
    return bits ^ (bits >> 31)


def mark(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


class Samples:  # timed, of the window; their median is worked out anew once a sweep at the most
    def __init__(self) -> None:
        self.timed, self.at_ms = deque[tuple[float, float]](maxlen=SAMPLES_MOST), -math.inf

    def median(self, now_ms: float) -> float | None:
        if now_ms - self.at_ms >= SWEEP_MS:
            while self.timed and self.timed[0][0] < now_ms - WINDOW_MS:
                self.timed.popleft()
            values = sorted(value for _, value in self.timed)
            self.value, self.at_ms = values[len(values) // 2] if values else None, now_ms
        return self.value


@dataclass(slots=True, eq=False)
class Worker:
    id: int
    entry: io.ScorerEntry
    mark: int  # its number as 64 well-mixed bits, for the hash orders
    own: int = 0  # own attempts out
    started_ms: float = -math.inf  # told, or guessed when a silent worker came back empty
    owed_ms: float | None = None  # since when an answer is owed with nothing heard
    strain: float = 1.0  # its runs, as a multiple of what the function's take elsewhere
    strain_ms: float = -math.inf  # when that was last seen; it fades
    sign_ms: float | None = None  # when the last sign was asked for
    suspect_ms: float | None = None  # since when it is held silent
    limit: float = math.inf  # own requests that it can work on well, as of the last refresh
    sent: deque[float] = field(default_factory=deque)  # sends that count for its slow start
    recent: deque[float] = field(default_factory=deque)  # sends of the last `fall_ms`, as of the last one
    last: "Function | None" = None  # the function last seen there
    gone_ms: float | None = None  # since when
    lapses: dict[str, "Lapse"] = field(default_factory=dict)  # by class
    told: io.RemoteLoadReport = field(default_factory=lambda: io.RemoteLoadReport(0))  # by others, last
    told_ms: float = -math.inf  # of the oldest word that it rests on

    def takes_new(self) -> bool:  # the rule on drains: one that drains gets questions, but no calls and loads
        return self.entry.state == io.ScorerState.READY


class Lapse:  # answers of a class that a worker lost or turned to errors, though it answers others
    losses, rests_ms, rest_ms = 0.0, -math.inf, REST_MS  # it rests until, and for so long


@dataclass(slots=True, eq=False)
class Instance:
    copies: int = 0
    seen_ms: float = -math.inf  # last sign that one stands
    counted_ms: float = -math.inf
    own: int = 0
    asks: int = 0  # questions out
    asked_ms: float = -math.inf
    order_ms: float | None = None  # when the order under way was given
    order_count: int = 0
    raced: bool = False  # that order raced a warm instance
    blocked_ms: float = -math.inf  # takes nothing until then
    unused_ms: float | None = None  # a raced copy stands since then and has not been needed
    lanes_before: int = 0


@dataclass(slots=True, eq=False)
class Attempt:
    request: str
    worker: int
    function: "Function"
    sent_ms: float
    alone: bool  # the worker was not crowded when it left
    among: int  # warm workers that it was drawn from
    zone: str  # of the worker, when it left: the roster may move the worker, or forget it
    cell: int
    open: bool = True
    lost: bool = False
    may_have_run: bool = True


@dataclass(slots=True, eq=False)
class Request:
    id: str
    function: "Function"
    spec: io.ClassSpec
    arrived_ms: float
    deadline_ms: float
    over_share: bool
    held_ms: float
    draw: int  # where in a wide function's first workers it starts
    aim_ms: float  # an answer by then is on time
    ends_ms: float  # without an answer by then it is given one here, so that it comes in time
    attempts: list[Attempt] = field(default_factory=list)

    def first_run(self) -> Attempt | None:  # the first that may have run
        return next((attempt for attempt in self.attempts if attempt.may_have_run), None)


@dataclass(slots=True, eq=False)
class Function:
    name: str
    kind: str  # class of its calls
    lanes: int
    load_told_ms: float | None
    mark: int
    queue: list[Request] = field(default_factory=list)
    instances: dict[int, Instance] = field(default_factory=dict)
    order: list[Worker] = field(default_factory=list)  # workers in hash order
    order_members: dict[int, float] | None = None  # that it was made of
    known: list[Worker] | None = None  # those with an instance, in hash order
    runs: Samples = field(default_factory=Samples)  # for Te
    loads: Samples = field(default_factory=Samples)  # for Tp
    waits: Samples = field(default_factory=Samples)  # for Td
    idle_ms: float = 0.0  # Ti, of the last raced load that was used
    load_path: bool = True
    asked_ms: float = -math.inf
    arrived: float = 0.0  # own arrivals, fading
    last_ms: deque[float] = field(default_factory=lambda: deque(maxlen=RUSH))  # the last arrivals
    width: int = 1  # first workers in order that the whole fleet's calls need
    crowd: float = 0.0  # calls of all front ends in flight, as answers tell
    site: str = ""  # the zone that is near for its calls, where one is told
    needed_ms: float = -math.inf  # last call, or copies wanted last


class Known:
    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.settings, self.seed, self.chance, self.now, self.began_ms = settings, seed, seed, 0.0, math.inf
        self.actions, self.ready = list[io.Action](), list[Worker]()
        self.workers, self.watched = dict[int, Worker](), dict[int, Worker]()  # watched: owe one, or suspect
        self.members, self.tokens = dict[int, float](), dict[str, tuple[float, float]]()  # sizes; shares
        self.functions, self.waiting, self.classes = dict[str, Function](), set[Function](), settings.classes
        self.requests, self.attempts = dict[str, Request](), dict[tuple[str, int], Attempt]()
        self.suspects, self.hedges, self.wide = 0, HEDGES_MOST, False  # wide: its part of a worker is below 1
        self.taken, self.ordered, self.flying = deque[float](), deque[float](), set[Attempt]()  # out lately
        self.total, self.fleet = 1.0, 0.01  # size of the ready fleet, cold workers in part; the largest seen
        self.listed, self.sure = 0.01, dict[int, float]()  # the largest fleet listed; see slow_start
        self.totals = deque[tuple[float, float]](maxlen=TOTALS_MOST)  # timed sizes of the ready fleet, lately
        self.peers, self.silent_ms = max(1, settings.fleet_size), SILENT_MS  # front ends; see _watch
        self.sold = sum(settings.quotas_rps.values()) / 1000  # by all together, a millisecond
        self.limit, self.worker_most, self.strain_most = math.inf, 0.0, math.inf  # in flight: own; a worker's
        self.latency_target_ms = min(
            (spec.latency_target_ms for spec in settings.classes.values()), default=1000.0
        )
        self.runs, self.run_ms = Samples(), self.latency_target_ms / 5
        self.stretch_ms = settings.load_window_ms or RATE_MS  # over which arrivals are counted
        self.answer_by_ms = math.inf  # this front end ends: no request may stay open for longer
        self.sweeping, self.refreshed_ms, self.forgot_ms = False, -math.inf, -math.inf

    def _te(self, fn: Function) -> float:  # te: the median run, of all functions while this one has none
        return fn.runs.median(self.now) or self.runs.median(self.now) or 200.0

    def _tp(self, fn: Function) -> float:  # tp: the median load, as told while none was seen
        return fn.loads.median(self.now) or fn.load_told_ms or 1000.0

    def _copies(self, fn: Function, worker: Worker) -> int:  # none after a restart or a keep-alive
        instance = fn.instances.get(worker.id) or Instance()
        lapsed = instance.own == 0 and self.now - instance.seen_ms > self.settings.idle_life_ms
        return 0 if lapsed or instance.seen_ms <= worker.started_ms else instance.copies

    def _instance(self, fn: Function, worker: Worker) -> Instance:
        worker.last = fn
        if worker.id not in fn.instances:
            fn.instances[worker.id], fn.known = Instance(), None
        return fn.instances[worker.id]

    def _is_far(self, worker: Worker, fn: Function) -> bool:  # a call there crosses zones, at a price
        return worker.entry.zone != (fn.site or self.settings.zone)

    def _is_told(self, worker: Worker, span_ms: float) -> bool:  # by others, so lately, and since it started
        return worker.told_ms > max(worker.started_ms, self.now - span_ms)
