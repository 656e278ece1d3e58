"""All decisions of fawnwharf: conditional speculative scaling after CIDRE, for one front end.

A request goes to the first worker in its function's hash order that has a free warm lane within the bound.
Without one it is held, and a busy warm instance races one new load for it; whichever frees first takes it."""

import hashlib
import math
from collections import deque
from dataclasses import dataclass, field
from itertools import islice

from fawnwharf import interface as io
from fawnwharf.interface import Effect, Ending, State, Warmth

WINDOW_MS = 10_000.0  # samples of Te, Tp and Td older than this are forgotten (the design's window)
SWEEP_MS, LEAD_MS = 40.0, 20.0  # pace of the timer; a final answer comes so long before the client leaves
FUNCTIONS_MOST, FORGET_MS = 2_000, 60_000.0  # kept in mind; forgotten if not called, or gone, for so long
SAMPLES_MOST = 64  # samples kept for one median: more would not move it, and cost 100 bytes each
REFRESH_MS, STALE_MS = 1_000.0, 1_000.0  # pace of sums over the fleet; a copy unseen so long may be gone
RATE_MS = 5_000.0  # stretch over which arrivals are counted, and pause between questions for an empty place
# A worker takes these multiples of its fair share of own requests, far and near, and never fewer than:
BOUND_FACTOR, BOUND_NEAR, BOUND_FLOOR = 1.5, 2.4, 2.0  # crossing costs more than sharing the cores
SURVEY_WIDTH, ASK_WAIT_MS = 4, 12.0  # workers asked after an unknown function; a load waits so long for them
SILENT_MS = 300.0  # nothing heard for this long with something owed: ask the worker for a sign
SIGN_WAIT_MS, TRIAL_MS = 80.0, 1_000.0  # for a sign, a round trip; pause between those asked of a suspect
TRIED = 2**60  # of the draws: one call in sixteen tries a place not seen yet while others are known
ZONE_SIGNS = 3  # so many silent or asked in one zone: all that are there are asked
BLOCK_MS = 1_000.0  # a worker that had no room for a function, or failed to load it, rests this long
COLD_SAFETY = 0.6  # part of a cold worker's budget that is used: capacity and other front ends are guesses
WINDOW_MARGIN_MS = 100.0  # a keyed repeat must arrive inside the window, not just leave inside it
LOADS_START, LOADS_LEAST, LOADS_MOST = 8.0, 2.0, 24.0  # own loads under way: at the start, and at all times
LOAD_SLOW = 2.5  # a load this many times slower than told says that the store is crowded
RUN_GAIN = 0.02  # weight of one run in the mean run of workers that are not crowded
ROOM_SPREAD = 1.5  # room for chance in a worker's limit, in square roots of its mean requests
SPREAD_LANES, SPREAD_PART = 0.6, 0.3  # of a copy's lanes, and of a worker's room, for a wide function's calls
FADE_MS, RUSH = 30_000.0, 3  # a function's width forgets over this; so many arrivals at once turn it hot
ANSWER_GAIN = 0.4  # weight of one answer in what answers tell of others' load: they are rare
OVERDUE_RUNS, LOST_RUNS = 3.0, 8.0  # out for so many runs, an attempt deserves a second; it is held lost
LOSSES, LOSS_KEPT = 2.0, 0.7  # so many lost rest a class at a worker; each answer takes part of them back
REST_MS, REST_MOST_MS = 2_000.0, 8_000.0  # then one call tries it, and after each try it rests for longer
HEDGE_SHARE, HEDGES_MOST = 0.1, 3.0  # second attempts a request, and saved up; what came first is given back
STRAINED, FAR_COST = 2.0, 0.5  # in usual runs: from so many on a worker is left; crossing, as places go
YIELD = 0.35  # part of a worker's limit open to requests beyond a share or past their time
RENEW_LIVES, RENEW_HELD = 3.0, 8  # copies are renewed for so long, while fewer than one in so many is held
LATE_RUNS, LATE_MOST = 2.0, 0.5  # late with fewer runs left, but not with more than this part of the promise
TRY_LEAST, HELD_PART = 0.2, 0.5  # of its class's time: a try with less is a later one; late by then, given up
TENANT_BURST_S = 1.0  # seconds of its share that a tenant may use at once


def _mix(bits: int) -> int:  # 64 bits, well mixed (the end of splitmix64)
    bits = (bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9 % 2**64
    bits = (bits ^ (bits >> 27)) * 0x94D049BB133111EB % 2**64
    return bits ^ (bits >> 31)


def _mark(name: str) -> int:
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


@dataclass(slots=True)
class Samples:  # timed, of the window; their median is worked out anew once a sweep at the most
    timed: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=SAMPLES_MOST))
    value: float | None = None
    at_ms: float = -math.inf

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
    entry: io.WorkerEntry
    mark: int  # its number as 64 well-mixed bits, for the hash orders
    own: int = 0  # own attempts out
    started_ms: float | None = None  # told, or guessed when a silent worker came back empty
    owed_ms: float | None = None  # since when an answer is owed with nothing heard
    strain: float = 1.0  # its runs, as a multiple of what the function's take elsewhere
    strain_ms: float = -math.inf  # when that was last seen; it fades
    sign_ms: float | None = None  # when the last sign was asked for
    suspect_ms: float | None = None  # since when it is held silent
    limit: float = math.inf  # own requests that it can work on well, as of the last refresh
    sent: deque[float] = field(default_factory=deque)  # sends while cold
    last: "Function | None" = None  # the function last seen there
    gone_ms: float | None = None  # since when
    lapses: dict[str, "Lapse"] = field(default_factory=dict)  # by class


@dataclass(slots=True, eq=False)
class Lapse:  # answers of a class that a worker lost or turned to errors, though it answers others
    losses: float = 0.0
    rests_ms: float = -math.inf  # until then
    rest_ms: float = REST_MS


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


class Router:
    """Decides for one front end. Same events, same actions; chance comes from the seed alone."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.settings, self.seed, self.chance, self.now, self.began_ms = settings, seed, seed, 0.0, math.inf
        self.actions, self.ready = list[io.Action](), list[Worker]()
        self.workers, self.watched = dict[int, Worker](), dict[int, Worker]()  # watched: owe one, or suspect
        self.members, self.tokens = dict[int, float](), dict[str, tuple[float, float]]()  # sizes; shares
        self.functions, self.waiting = dict[str, Function](), dict[str, Function]()
        self.requests, self.attempts = dict[str, Request](), dict[tuple[str, int], Attempt]()
        self.suspects, self.hedges, self.loads_limit, self.loading = 0, HEDGES_MOST, LOADS_START, 0
        self.taken, self.ordered, self.flying = deque[float](), deque[float](), deque[Attempt]()  # out lately
        self.total, self.fleet = 1.0, 0.01  # size of the ready fleet, cold workers in part; the largest seen
        self.peers, self.silent_ms = max(1, settings.fleet_size), SILENT_MS  # front ends; see _watch
        self.sold = sum(settings.quotas_rps.values()) / 1000  # by all together, a millisecond
        self.wide = False  # this front end's part of what a worker can take is below one request
        self.limit, self.worker_most, self.strain_most = math.inf, 0.0, math.inf  # in flight: own; a worker's
        self.promise_ms = min((spec.promise_ms for spec in settings.classes.values()), default=1000.0)
        self.runs, self.run_ms = Samples(), self.promise_ms / 5
        self.sweeping, self.refreshed_ms, self.forgot_ms = False, -math.inf, -math.inf
        self.handlers = {io.RosterChanged: self._on_roster, io.RequestArrived: self._on_request,
                         io.ClientLeft: self._on_left, io.AttemptEnded: self._on_attempt,
                         io.OrderAnswered: self._on_order, io.TimerDue: self._on_timer,
                         io.LimitsChanged: self._on_limits}  # fmt: skip

    def handle(self, now_ms: float, events: list[io.Event]) -> list[io.Action]:
        """Take the events of one moment, in order; the actions take effect at that moment."""
        self.now, self.began_ms, self.actions = now_ms, min(self.began_ms, now_ms), []
        for event in events:
            self.handlers[type(event)](event)
        if not self.sweeping and (self.requests or self.attempts):
            self.sweeping = True
            self.actions.append(io.SetTimer(SWEEP_MS, 0))
        return self.actions

    def _on_roster(self, event: io.RosterChanged) -> None:
        if event.complete:
            for missing in self.workers.keys() - {entry.worker for entry in event.entries}:
                self.workers[missing].entry.state = State.GONE
        for entry in event.entries:
            new = Worker(entry.worker, entry, _mark(str(entry.worker)))
            worker = self.workers.setdefault(entry.worker, new)
            worker.entry, worker.gone_ms = entry, None
            if entry.up_since_ms is not None and entry.up_since_ms > (worker.started_ms or -math.inf):
                worker.started_ms = entry.up_since_ms
        self.ready = [worker for worker in self.workers.values() if worker.entry.state == State.READY]
        self.suspects = sum(worker.suspect_ms is not None for worker in self.ready)
        self._refresh()
        self._dispatch_all()

    def _on_request(self, event: io.RequestArrived) -> None:
        self.taken.append(self.now)
        if len(self.functions) >= FUNCTIONS_MOST and event.function not in self.functions:
            self._forget()
        name, kind, lanes = event.function, event.class_name, max(1, event.lanes)
        fn = self.functions.setdefault(name, Function(name, kind, lanes, event.load_ms, _mark(name)))
        spec = self.settings.classes.get(kind) or io.ClassSpec(kind)
        self.seed, draw, deadline = self.seed + 1, _mix(_mix(self.seed)), self.now + event.budget_ms
        later = event.budget_ms < TRY_LEAST * spec.give_up_ms  # its share was taken by the first try
        aim = (deadline - spec.give_up_ms if later else self.now) + spec.promise_ms
        over = later or self._over_share(event.tenant)
        request = Request(event.request, fn, spec, self.now, deadline, over, self.now, draw, aim)
        self._measure(fn)
        self.hedges = min(HEDGES_MOST, self.hedges + HEDGE_SHARE)
        self.requests[request.id] = request
        fn.queue.append(request)
        if self._over_share(io.ALL) or request.deadline_ms - self.now <= SWEEP_MS + LEAD_MS:
            self._finish(request)  # the next sweep may be too late: a client's last try has little time
        elif not self.wide and not self._is_warm(fn):
            for worker in self._ordered(fn)[:SURVEY_WIDTH]:
                self._spread(fn, worker)
        self._fill(fn)
        if request in fn.queue and self._hopeless(request):
            self._finish(request)  # the next sweep is past half its time
        self._dispatch(fn)

    def _forget(self) -> None:
        """Guards the memory: what is long past goes, and of too many functions those longest not called."""
        self.forgot_ms, past = self.now, self.now - FORGET_MS
        used = {worker.last for worker in self.workers.values()}
        half = FUNCTIONS_MOST // 2 * (len(self.functions) >= FUNCTIONS_MOST)
        for n, fn in enumerate(sorted(self.functions.values(), key=lambda fn: fn.last_ms[-1])):
            busy = any(i.own or i.asks or i.order_ms is not None for i in fn.instances.values())
            if not (busy or fn.queue or fn in used) and (n < half or fn.last_ms[-1] < past):
                del self.functions[fn.name]
        for worker in [w for w in self.workers.values() if w.entry.state is State.GONE]:
            worker.gone_ms = worker.gone_ms or self.now
            if worker.gone_ms < past and not worker.own:
                for fn in self.functions.values():
                    fn.instances.pop(worker.id, None)
                    fn.known = None
                self.watched.pop(worker.id, None)
                del self.workers[worker.id]

    def _on_left(self, event: io.ClientLeft) -> None:
        if request := self.requests.get(event.request):
            self._close(request)

    def _on_limits(self, event: io.LimitsChanged) -> None:  # one more share, of all calls, or another one
        self.settings.quotas_rps[event.tenant] = event.calls_rps * self.peers
        if event.tenant == io.ALL:  # no burst at first
            self.tokens[io.ALL] = (event.calls_rps / 10, self.now)

    def _on_attempt(self, event: io.AttemptEnded) -> None:
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        if attempt in self.flying:
            self.flying.remove(attempt)
        fn, worker, te = attempt.function, self.workers[attempt.worker], self._te(attempt.function)
        instance = fn.instances[worker.id]
        attempt.open, instance.own, worker.own = False, instance.own - 1, worker.own - 1
        attempt.may_have_run = event.ending not in io.NEVER_RAN
        if event.ending in (Ending.GOOD, Ending.ERROR, Ending.FULL, Ending.MISS):
            self._heard(worker)
        if event.ending is Ending.GOOD:
            instance.copies, instance.seen_ms = max(1, instance.copies), self.now
            if event.warmth in (Warmth.UNTOLD, Warmth.FOUND):
                fn.runs.timed.append((self.now, event.took_ms))
                self.runs.timed.append((self.now, event.took_ms))
                self.run_ms += RUN_GAIN * (event.took_ms - self.run_ms) * attempt.alone
                self._strain(worker, event.took_ms / te)
            self._found(worker, attempt)
        elif event.ending in (Ending.CANCELLED, Ending.TIMEOUT) and event.took_ms > STRAINED * te:
            self._strain(worker, event.took_ms / te)  # it may be the slow ones that never get to answer
        elif event.ending is Ending.MISS or event.warmth is Warmth.LOAD_FAILED:
            instance.copies = 0
        elif event.ending is Ending.ERROR and fn.runs.timed:  # else the call itself may be at fault
            self._lose(worker, fn)
        elif event.ending is Ending.FULL:
            instance.blocked_ms = self.now + te
            self._strain(worker, 3 * STRAINED)
        self._broke(worker, event.ending)
        if event.crowd is not None and event.ending in (Ending.GOOD, Ending.FULL):
            fn.crowd += ANSWER_GAIN * (event.crowd * attempt.among - fn.crowd)
        request = self.requests.get(event.request)
        if request is not None and event.closed:
            self.hedges += attempt is not request.attempts[0] and request.attempts[0].open  # worth its token
            self._close(request)
        elif request is not None and request not in fn.queue:
            self._again(request)
        self._dispatch_all(worker)
        self._dispatch(fn)

    def _on_order(self, event: io.OrderAnswered) -> None:
        fn, worker = self.functions.get(event.function), self.workers.get(event.worker)
        if fn is None or worker is None:
            return
        instance = self._instance(fn, worker)
        short = event.ending is Ending.GOOD and event.copies < instance.order_count
        is_load = instance.order_ms is not None and not (instance.asks and short)
        if event.ending in (Ending.GOOD, Ending.FULL, Ending.ERROR):
            if worker.suspect_ms is not None and instance.copies and not event.copies:
                worker.started_ms = self.now  # it came back empty: a restart that the roster has not told
            self._heard(worker, TRIAL_MS)  # a sign lasts for longer than a run
            if is_load and instance.raced and event.ending is Ending.GOOD:
                instance.unused_ms, instance.lanes_before = self.now, instance.copies * fn.lanes
            instance.copies, instance.counted_ms, instance.seen_ms = event.copies, self.now, self.now
        self._broke(worker, event.ending)
        if is_load:
            self._load_answered(fn, instance, event)
        else:
            instance.asks = max(0, instance.asks - 1)
        self._dispatch(fn)

    def _load_answered(self, fn: Function, instance: Instance, event: io.OrderAnswered) -> None:
        took, told = self.now - instance.order_ms, fn.load_told_ms or self._tp(fn)
        instance.order_ms, self.loading = None, self.loading - 1
        good = event.ending is Ending.GOOD
        fn.loads.timed.extend([(self.now, took)] * good)
        instance.blocked_ms = instance.blocked_ms if good else self.now + BLOCK_MS
        # Guards the store: slow or failed loads lower the number under way. Harm: so does a slow worker.
        timely = good and took < LOAD_SLOW * told
        if event.ending in (Ending.GOOD, Ending.ERROR):
            limit = self.loads_limit + (1 / self.loads_limit if timely else -0.2 * self.loads_limit)
            self.loads_limit = min(LOADS_MOST, max(LOADS_LEAST, limit))

    def _on_timer(self, event: io.TimerDue) -> None:
        self.sweeping = False
        for request in list(self.requests.values()):
            if self._hopeless(request) or self.now + SWEEP_MS + LEAD_MS >= request.deadline_ms:
                self._finish(request)
            elif self.wide and self.hedges >= 1 and request not in request.function.queue:
                self._hasten(request, request.attempts[-1])
        self._miss_answers()
        while self.flying and self.now - self.flying[0].sent_ms > self.promise_ms:
            self.flying.popleft()  # lost, for all that is known: it stands in nobody's way
        for worker in list(self.watched.values()):
            self._watch(worker)
        if self.now - self.refreshed_ms >= REFRESH_MS:
            self._refresh()
        if self.waiting and len(self.flying) < self.limit:
            self._dispatch_all()

    def _hopeless(self, request: Request) -> bool:
        """Never sent, and hardly to be on time: given up. Harm: a late answer that it might have had."""
        half = request.arrived_ms + HELD_PART * (request.deadline_ms - request.arrived_ms)
        past = request.over_share or self.now + SWEEP_MS + LEAD_MS >= half
        return past and not request.attempts and self._late(request)

    def _copies(self, instance: Instance, worker: Worker) -> int:  # none after a restart or a keep-alive
        lapsed = instance.own == 0 and self.now - instance.seen_ms > self.settings.idle_life_ms
        return 0 if lapsed or instance.seen_ms <= (worker.started_ms or -math.inf) else instance.copies

    def _te(self, fn: Function) -> float:  # te: the median run, of all functions while this one has none
        return fn.runs.median(self.now) or self.runs.median(self.now) or 200.0

    def _tp(self, fn: Function) -> float:  # tp: the median load, as told while none was seen
        return fn.loads.median(self.now) or fn.load_told_ms or 1000.0

    def _strain(self, worker: Worker, runs: float) -> None:
        """Long runs and full answers tell of others' load. Harm: a heavy request moves the next ones on."""
        worker.strain, worker.strain_ms = self._strained(worker), self.now
        worker.strain += ANSWER_GAIN * (runs - worker.strain)

    def _strained(self, worker: Worker) -> float:
        return 1 + (worker.strain - 1) * math.exp((worker.strain_ms - self.now) / FADE_MS)

    def _cost(self, worker: Worker) -> float:  # of a run there, in usual ones
        return max(1.0, self._strained(worker)) + FAR_COST * self._is_far(worker)

    def _heard(self, worker: Worker, after_ms: float = 0.0) -> None:
        worker.owed_ms, worker.sign_ms = self.now + after_ms if worker.own else None, None
        if worker.suspect_ms is not None:
            self.suspects, worker.suspect_ms = self.suspects - (worker.entry.state == State.READY), None
            self.actions.append(io.Log(f"worker {worker.id} answers again"))

    def _owe(self, worker: Worker) -> None:
        if worker.owed_ms is None:  # else it owes one already
            worker.owed_ms = self.now
            self.watched[worker.id] = worker

    def _watch(self, worker: Worker) -> None:
        """Ask a silent worker for a sign; without one, leave it. Harm: a busy one loses its traffic."""
        if worker.suspect_ms is not None:
            if self.now - (worker.sign_ms or worker.suspect_ms) >= TRIAL_MS:
                self._ask_sign(worker)
        elif worker.sign_ms is not None and self.now - worker.sign_ms >= SIGN_WAIT_MS:
            self._suspect(worker)
        elif worker.sign_ms is None and worker.owed_ms is None:
            del self.watched[worker.id]
        elif worker.sign_ms is None and self.now - worker.owed_ms >= self.silent_ms:
            self._ask_sign(worker)

    def _ask_sign(self, worker: Worker) -> None:
        worker.sign_ms = self.now
        if worker.last and self.settings.may_order and worker.entry.state != State.GONE:
            self._ask(worker.last, worker)

    def _ask(self, fn: Function, worker: Worker, copies: int = 0) -> None:
        instance = self._instance(fn, worker)
        instance.asks, instance.asked_ms, fn.asked_ms = instance.asks + 1, self.now, self.now
        self._owe(worker)
        self.actions.append(io.Hold(worker.id, fn.name, copies))

    def _broke(self, worker: Worker, ending: Ending) -> None:
        """Ask for a sign: a break tells little of the process. Harm: if it died, calls are lost there."""
        if ending is Ending.CONNECT_FAILED:
            self._suspect(worker)
        elif ending is Ending.RESET and worker.suspect_ms is None and worker.sign_ms is None:
            self._ask_sign(worker)

    def _suspect(self, worker: Worker) -> None:
        if worker.suspect_ms is not None:
            return
        worker.suspect_ms = worker.sign_ms = self.now
        self.watched[worker.id] = worker
        self.suspects += worker.entry.state == State.READY
        self.actions.append(io.Log(f"worker {worker.id} is silent: nothing new goes there"))
        for attempt in list(self.attempts.values()):
            request = self.requests.get(attempt.request)
            if attempt.worker == worker.id and request and request not in attempt.function.queue:
                self._again(request)
                self._dispatch(attempt.function)
        near = [other for other in self.ready if other.entry.zone == worker.entry.zone] if self.wide else []
        quiet = [other for other in near if other.suspect_ms is None and other.sign_ms is None and other.last]
        # Guards the calls that would each find out that one more worker of a lost zone is gone.
        for other in quiet if len(near) - len(quiet) >= ZONE_SIGNS else ():
            self._ask_sign(other)

    def _usable(self, worker: Worker, fn: Function) -> bool:  # ready, and not suspect unless most are
        heard = worker.suspect_ms is None or self.suspects * 2 > len(self.ready)
        return heard and worker.entry.state == State.READY and not (worker.lapses and self._rests(worker, fn))

    def _urgency(self, request: Request) -> tuple[bool, bool, float, str]:
        return request.over_share, self._late(request), request.arrived_ms, request.id

    def _dispatch_all(self, worker: Worker | None = None) -> None:  # most urgent first
        held = [fn for fn in self.waiting.values() if fn.queue and (not worker or worker.id in fn.instances)]
        for fn in sorted(held, key=lambda fn: min(map(self._urgency, fn.queue))):
            self._dispatch(fn)

    def _dispatch(self, fn: Function) -> None:
        self._fill(fn)
        self.waiting.pop(fn.name, None)
        if fn.queue:
            self.waiting[fn.name] = fn
            self._race(fn)

    def _fill(self, fn: Function) -> None:  # the only place that sends
        fn.queue.sort(key=self._urgency)
        for request in list(fn.queue):
            if (worker := self._lane(fn, request)) is not None:
                self._send(request, worker)
            elif request.first_run() is None:
                break

    def _lane(self, fn: Function, request: Request) -> Worker | None:  # first within the bound, or idlest
        """Guards against calls that cross while a near copy is asked after. Harm: a round trip's wait."""
        again = any(attempt.open for attempt in request.attempts)
        part = YIELD if again or request.over_share or self._late(request) else 1.0
        spare, asked, places = [], False, self._places(fn, request)
        held = len(self.flying) >= self.limit * (1.0 if again else part)
        if held or (self.wide and self._asking(fn)):
            return None  # one question at a time; the drawn place is to answer first
        for worker in places:
            if asked and self._is_far(worker):
                break
            instance = fn.instances[worker.id]
            if self._free(fn, instance, worker) and self._may_send_here(request, worker, part):
                if worker.own < self._bound(worker):
                    return worker
                spare.append(worker)
            fresh = instance.asks and self.now - instance.asked_ms < ASK_WAIT_MS
            asked = asked or bool(fresh and self._copies(instance, worker))
        return min(spare, key=lambda worker: worker.own, default=None)

    def _free(self, fn: Function, instance: Instance, worker: Worker) -> bool:
        """A free warm lane; copies long unseen are asked after first. Harm: a round trip's wait."""
        if self.now < instance.blocked_ms or self._copies(instance, worker) * fn.lanes <= instance.own:
            return False
        most = max(-(-instance.own // fn.lanes), self.now - instance.seen_ms < STALE_MS) * fn.lanes
        counted = self.now - instance.counted_ms < STALE_MS
        sure = counted or most > instance.own or self.wide or not self.settings.may_order
        if not sure and not instance.asks and self._usable(worker, fn):
            self._ask(fn, worker)
        return sure

    def _send(self, request: Request, worker: Worker) -> None:
        fn, instance = request.function, self._instance(request.function, worker)
        among = max(1, sum(w.id in fn.instances for w in fn.order[: fn.width]))
        attempt = Attempt(request.id, worker.id, fn, self.now, worker.own < 2, among)
        self.attempts[request.id, len(request.attempts)] = attempt
        self.flying.append(attempt)
        request.attempts.append(attempt)
        fn.queue.remove(request)
        fn.waits.timed.extend([(self.now, self.now - request.held_ms)] * (self.now > request.held_ms))
        instance.own, worker.own, instance.seen_ms = instance.own + 1, worker.own + 1, self.now
        if worker.started_ms is not None:
            worker.sent.append(self.now)
        self._owe(worker)
        if (lapse := worker.lapses.get(fn.kind)) and lapse.losses >= LOSSES:
            lapse.rest_ms = min(REST_MOST_MS, 2 * lapse.rest_ms)  # this one tries it
            lapse.rests_ms = self.now + lapse.rest_ms
        if instance.unused_ms is not None and instance.own > instance.lanes_before:
            fn.idle_ms, instance.unused_ms = self.now - instance.unused_ms, None
        self.actions.append(io.Send(request.id, worker.id))

    def _miss_answers(self) -> None:
        """Hold overdue answers lost, try elsewhere, rest their class. Harm: a long call runs twice."""
        for attempt in list(self.attempts.values()):
            fn, worker = attempt.function, self.workers[attempt.worker]
            lapse = worker.lapses.get(fn.kind)
            runs = OVERDUE_RUNS if lapse and lapse.losses >= LOSSES else LOST_RUNS
            due_ms = attempt.sent_ms + runs * max(self._te(fn), self.runs.median(self.now) or 0.0)
            if attempt.lost or worker.suspect_ms is not None or self.now < due_ms:
                continue
            attempt.lost, request, rests = True, self.requests.get(attempt.request), self._lose(worker, fn)
            if rests and request and request not in fn.queue and self._may_send_again(request):
                fn.queue.append(request)
                self._fill(fn)
                if request in fn.queue:  # no warm lane is free: not worth a wait or a load
                    fn.queue.remove(request)

    def _lose(self, worker: Worker, fn: Function) -> bool:
        lapse = worker.lapses.setdefault(fn.kind, Lapse())
        lapse.losses += 1
        rests = lapse.losses >= LOSSES
        lapse.rests_ms = max(lapse.rests_ms, self.now + lapse.rest_ms * rests)
        return rests

    def _found(self, worker: Worker, attempt: Attempt) -> None:
        if lapse := worker.lapses.get(attempt.function.kind):
            lapse.losses = lapse.losses - 1 if attempt.lost else lapse.losses * LOSS_KEPT  # it was but slow
            if lapse.losses < 1:
                del worker.lapses[attempt.function.kind]

    def _rests(self, worker: Worker, fn: Function) -> bool:  # unless most of the fleet would
        lapse = worker.lapses.get(fn.kind)
        if lapse is None or lapse.losses < LOSSES or self.now >= lapse.rests_ms:
            return False
        resting = sum(fn.kind in w.lapses and w.lapses[fn.kind].rests_ms > self.now for w in self.ready)
        return resting * 2 <= len(self.ready)

    def _hasten(self, request: Request, attempt: Attempt) -> None:
        """A second attempt for one out far longer than a run, while tokens last. Harm: work done twice."""
        due = min(OVERDUE_RUNS * self._te(request.function), request.spec.promise_ms * LATE_MOST)
        if attempt.open and self.now - attempt.sent_ms > due and self._may_send_again(request):
            self.hedges -= 1
            self._again(request)

    def _again(self, request: Request) -> None:  # hold it again, or end it
        if self._may_send_again(request):
            request.held_ms = self.now
            request.function.queue.append(request)
            self.waiting[request.function.name] = request.function
        elif not any(attempt.open for attempt in request.attempts):
            self._finish(request)

    def _may_send_here(self, request: Request, worker: Worker, part: float) -> bool:  # now?
        ran = any(attempt.worker == worker.id and attempt.may_have_run for attempt in request.attempts)
        if ran or not self._able(worker, request.function) or worker.own >= worker.limit * part:
            return False
        first = request.first_run()
        if first is None or request.spec.effect is Effect.SAFE:
            return True
        if request.spec.effect is Effect.UNSAFE or not self._may_send_again(request):
            return False
        origin, here, group = self.workers[first.worker].entry, worker.entry, request.spec.group
        same = origin.zone == here.zone if group is io.Group.ZONE else origin.cell == here.cell
        return group is io.Group.ALL or same

    def _may_send_again(self, request: Request) -> bool:  # may another attempt be made at all?
        twice, first = any(attempt.open for attempt in request.attempts), request.first_run()
        if len(request.attempts) >= self.settings.max_attempts or (twice and not self.settings.second_copies):
            return False
        if first is None or request.spec.effect is not Effect.KEYED:
            return first is None or request.spec.effect is Effect.SAFE
        return self.now - first.sent_ms < request.spec.dedup_window_ms - WINDOW_MARGIN_MS

    def _may_refuse(self, request: Request) -> bool:
        effect, everywhere = request.spec.effect, request.spec.group is io.Group.ALL
        return not request.first_run() or effect is Effect.SAFE or (effect is Effect.KEYED and everywhere)

    def _fit(self, worker: Worker, fn: Function) -> bool:
        return self._strained(worker) <= self.strain_most and self._able(worker, fn)

    def _able(self, worker: Worker, fn: Function) -> bool:
        return self._usable(worker, fn) and self._warm_enough(worker)

    def _warm_enough(self, worker: Worker) -> bool:  # a just-started worker has a budget
        if (share := self._warmth(worker)) >= 1.0:
            return True
        while worker.sent and worker.sent[0] <= self.now - self.settings.fall_ms:
            worker.sent.popleft()
        rate = COLD_SAFETY * self._rate() / max(1, len(self.ready))
        if self.wide and self.sold:  # as sold, or as answered: arrivals swell where all clients come again
            answered = len(self.runs.timed) / max(REFRESH_MS, self.now - next(iter(self.runs.timed), (0,))[0])
            rate = max(self.sold / self.peers / self.fleet, COLD_SAFETY * answered / self.total)
            rate *= self._units(worker)
        budget = self.settings.fall_multiple * share * self.settings.fall_ms * rate
        # Guards against a least send for each front end: a part below one falls to as many of them by chance.
        return len(worker.sent) + 1 <= budget + _mix(_mix(self.chance ^ worker.mark)) / 2**64

    def _warmth(self, worker: Worker) -> float:  # the part of its capacity that a worker has at the least
        if worker.started_ms is None:
            return 1.0
        age = max(0.0, self.now - worker.started_ms) / max(1.0, self.settings.cold_ms)
        return min(1.0, self.settings.cold_share + (1 - self.settings.cold_share) * age)

    def _rate(self) -> float:  # own arrivals a millisecond
        stretch = self.settings.load_window_ms or RATE_MS
        while self.taken and self.taken[0] <= self.now - stretch:
            self.taken.popleft()
        return len(self.taken) / stretch

    def _bound(self, worker: Worker) -> float:  # own requests: a multiple of a fair share
        fair = (len(self.attempts) + 1) * self._size(worker) / self.total
        factor = BOUND_FACTOR if self._is_far(worker) else BOUND_NEAR
        return max(BOUND_FLOOR * self._warmth(worker), factor * fair)

    def _refresh(self) -> None:
        """Limits: the rate sold times an uncrowded run is what the fleet works on at once (Little's law)."""
        self.refreshed_ms = self.now
        self._renew()
        if self.now - self.forgot_ms >= FORGET_MS / 4:
            self._forget()
        sizes = {worker.id: self._units(worker) for worker in self.ready}
        self.members = self.members if sizes == self.members else sizes
        self.total = sum(self._size(worker) for worker in self.ready) or 1.0
        self.fleet = max(self.fleet, sum(self._units(worker) for worker in self.ready))
        peers, sold, most = self.peers, self.sold, 0.0
        for worker in self.ready:
            mean = sold * self.run_ms * self._size(worker) / self.fleet  # of all front ends
            most, own = most + self._room(mean), self._room(mean / peers)
            worker.limit = max(2.0 if self.wide else 1.0, own) if sold > 0 else math.inf
        self.worker_most = most / max(1, len(self.ready)) if sold > 0 else 2 * BOUND_FLOOR
        self.wide = self.worker_most < peers
        usual = sorted(self._strained(worker) for worker in self.ready)[len(self.ready) // 2 :]
        self.strain_most = STRAINED * usual[0] if self.wide and usual else math.inf
        # Long runs are no silence: where each worker gets few calls, all that are slow would be asked.
        self.silent_ms = LOST_RUNS * (self.runs.median(self.now) or 200.0) if self.wide else SILENT_MS
        # In all, what the fleet gets through in a part of the promise: beyond that all would come late.
        through = sold * self.promise_ms * LATE_MOST / peers or math.inf
        self.limit = self._room(through) if self.wide else math.inf

    def _room(self, mean: float) -> float:  # for chance
        return mean + ROOM_SPREAD * math.sqrt(mean)

    def _renew(self) -> None:
        """Renew a copy of each function called lately before it lapses. Harm: less room in a squeeze."""
        held, life = sum(len(fn.queue) for fn in self.waiting.values()), self.settings.idle_life_ms
        calm = RENEW_HELD * held <= len(self.requests) and not self.wide  # others' calls renew as well
        for fn in self.functions.values() if calm else ():
            told = [(i.seen_ms, n) for n, i in fn.instances.items() if self._copies(i, self.workers[n])]
            seen, id = max(told, default=(self.now, 0))
            due = seen + life < self.now + 2 * REFRESH_MS and fn.last_ms[-1] + RENEW_LIVES * life > self.now
            if due and self._rationed() > len(self.ordered) and self._may_load(fn, True, self.workers[id]):
                self.ordered.append(self.now)
                self._ask(fn, self.workers[id], 1)

    def _late(self, request: Request) -> bool:  # hardly to be answered in time any more
        left = request.aim_ms - self.now
        # The second term guards against runs grown so long that all would count as late from the start.
        return left < min(LATE_RUNS * self._te(request.function), request.spec.promise_ms * LATE_MOST)

    def _units(self, worker: Worker) -> float:
        return max(worker.entry.units, 0.01) if self.settings.weights_fixed else 1.0

    def _size(self, worker: Worker) -> float:
        return self._units(worker) * self._warmth(worker)

    def _ordered(self, fn: Function) -> list[Worker]:  # by rendezvous hashing, the same at every front end
        if fn.order_members is not self.members:

            def score(worker: Worker) -> float:
                return math.log((_mix(fn.mark ^ worker.mark) + 1) / (2**64 + 1)) / self.members[worker.id]

            fn.order = sorted(self.ready, key=lambda worker: (-score(worker), worker.id))
            fn.order_members, fn.known = self.members, None
        return fn.order

    def _known(self, fn: Function) -> list[Worker]:  # with some belief, the own zone's first, in hash order
        order = self._ordered(fn)
        if fn.known is None:
            fn.known = sorted((w for w in order if w.id in fn.instances), key=self._is_far)
        return fn.known

    def _is_far(self, worker: Worker) -> bool:  # a call there crosses zones, at a price
        return worker.entry.zone != self.settings.zone

    def _instance(self, fn: Function, worker: Worker) -> Instance:
        worker.last = fn
        if worker.id not in fn.instances:
            fn.instances[worker.id], fn.known = Instance(), None
        return fn.instances[worker.id]

    def _places(self, fn: Function, request: Request) -> list[Worker]:  # believed warm, wide from a draw
        if not self.wide:
            return self._known(fn)
        first = self._turned(fn, request)
        seen = any(self._copies(fn.instances[w.id], w) and self._fit(w, fn) for w in self._known(fn))
        # Guards the store, and calls: a place that is new to all would be tried by all, and each wait there.
        tried = first if not seen or request.draw < TRIED else []
        for worker in tried if self.settings.loads_on_miss else first[:1]:
            self._spread(fn, worker)
        known = sorted(self._known(fn), key=lambda w: self._strained(w) > self.strain_most)
        return [worker for worker in dict.fromkeys(first + known) if worker.id in fn.instances]

    def _turned(self, fn: Function, request: Request) -> list[Worker]:  # as needed, from the drawn place on
        fit = (worker for worker in self._ordered(fn) if self._fit(worker, fn))
        order = list(islice(fit, fn.width)) or fn.order[: fn.width]
        turns = [draw % len(order) for draw in (request.draw, request.draw >> 32) if order]
        turn = min(turns, key=lambda turn: self.wide * self._cost(order[turn]), default=0)
        return order[turn:] + order[:turn]

    def _measure(self, fn: Function) -> None:
        """Workers a function needs: own arrivals times front ends, or the crowd told. Guards the first."""
        if fn.last_ms:
            faded = math.exp((fn.last_ms[-1] - self.now) / FADE_MS)
            fn.arrived, fn.crowd = fn.arrived * faded, fn.crowd * faded
        rate = self._surely(fn.arrived) / min(FADE_MS, self.now - self.began_ms + REFRESH_MS)
        if len(fn.last_ms) == RUSH:
            rate = max(rate, self._surely(RUSH) / max(self.now - fn.last_ms[0], REFRESH_MS))
        demand = max(rate * self.peers * self._te(fn), fn.crowd)
        share = min(SPREAD_LANES * fn.lanes, SPREAD_PART * self.worker_most)
        fn.width = min(max(1, math.ceil(demand / share)), max(1, len(self.ready)))
        fn.arrived += 1
        fn.last_ms.append(self.now)

    def _surely(self, seen: float) -> float:  # arrivals less their chance, which many front ends multiply
        return max(0.0, seen - math.sqrt(seen)) if self.wide else seen

    def _is_warm(self, fn: Function) -> bool:
        return any(self._copies(fn.instances[w.id], w) and self._usable(w, fn) for w in self._known(fn))

    def _race(self, fn: Function) -> None:  # the loads that held requests need, one for the lanes of a copy
        warm = self._is_warm(fn)
        early = self.wide and self.now - min(r.held_ms for r in fn.queue) < self._te(fn)  # others load too
        idle = early or len(self.flying) >= self.limit or not self._load_path(fn)
        if self._asking(fn) or (warm and idle):
            return
        pending = sum(fn.instances[w.id].order_ms is not None for w in self._known(fn) if self._usable(w, fn))
        held = sum(not (warm and (r.over_share or (self.wide and self._late(r)))) for r in fn.queue)
        for _ in range(math.ceil(held / fn.lanes) - pending):
            if not self._may_load(fn, warm, None):
                return
            order = self._turned(fn, fn.queue[0]) + self._ordered(fn)
            order.sort(key=lambda w: warm and self._is_far(w))  # the first copy stands at the function's home
            bare = (w for w in order if w.id not in fn.instances or not self._copies(fn.instances[w.id], w))
            able = (w for w in bare if w.own < self._bound(w) and self._may_load(fn, warm, w))
            worker = next(able, None) or next((w for w in order if self._may_load(fn, warm, w)), None)
            if worker is not None:
                self._load(fn, worker, warm)

    def _spread(self, fn: Function, worker: Worker) -> None:
        """Ask after a copy; in a wide fleet it is held to stand, as calls keep it or bring it."""
        instance = self._instance(fn, worker)
        if self._copies(instance, worker) or not self._usable(worker, fn) or not self.settings.may_order:
            return
        if self.wide and self.settings.loads_on_miss:
            instance.copies, instance.seen_ms = 1, self.now
        elif self.now - instance.asked_ms > RATE_MS:
            self._ask(fn, worker)

    def _load(self, fn: Function, worker: Worker, warm: bool) -> None:
        instance = self._instance(fn, worker)
        instance.order_ms, instance.raced, self.loading = self.now, warm, self.loading + 1
        instance.order_count = min(16, self._copies(instance, worker) + 1)
        self.ordered.append(self.now)
        self._owe(worker)
        self.actions.append(io.Hold(worker.id, fn.name, instance.order_count))

    def _asking(self, fn: Function) -> bool:  # answers to questions are awaited, for a round trip at the most
        return self.now - fn.asked_ms < ASK_WAIT_MS and any(i.asks for i in fn.instances.values())

    def _load_path(self, fn: Function) -> bool:  # the switch: off at Ti > Te, on at Td > Tp
        if fn.load_path:
            unused = [i.unused_ms for i in fn.instances.values() if i.unused_ms is not None]
            idle = max([fn.idle_ms, *(self.now - since for since in unused)])
            # Where this front end sees one call in many, the others' calls use the copy as often.
            flip = idle > self._te(fn) * (self.peers if self.wide else 1)
        else:
            oldest = self.now - min((request.held_ms for request in fn.queue), default=self.now)
            flip = max(oldest, fn.waits.median(self.now) or 0.0) > self._tp(fn)
        if flip:
            fn.load_path, fn.idle_ms, fn.waits = not fn.load_path, 0.0, Samples()
        for instance in fn.instances.values() if flip else ():
            instance.unused_ms = None
        return fn.load_path

    def _may_load(self, fn: Function, warm: bool, worker: Worker | None) -> bool:  # or anywhere?
        instance = fn.instances.get(worker.id) if worker else None
        busy = instance and (instance.order_ms is not None or self.now < instance.blocked_ms)
        crowded = worker and warm and (worker.own >= worker.limit or not self._warm_enough(worker))
        if busy or crowded or (worker and not self._usable(worker, fn)):
            return False
        return self.loading < self.loads_limit and self.settings.may_order and self._rationed() >= 1

    def _rationed(self) -> float:  # orders to load that the ration leaves
        window = self.settings.load_window_ms
        while self.ordered and self.ordered[0] < self.now - window - self.settings.tick_ms:
            self.ordered.popleft()
        self._rate()  # forgets old arrivals
        ration = self.settings.free_loads + self.settings.load_part * len(self.taken)
        return ration - len(self.ordered) if window > 0 else math.inf

    def _over_share(self, tenant: str) -> bool:  # a token bucket of its share, in part
        if tenant not in self.settings.quotas_rps:
            return False
        rate = self.settings.quotas_rps[tenant] / self.peers
        # Few calls a second come unevenly: room for chance where this front end sees but a part.
        most = rate * TENANT_BURST_S + self.wide * 2 * math.sqrt(rate * WINDOW_MS / 1000)
        tokens, since = self.tokens.get(tenant, (most, self.now))
        tokens = min(most, tokens + rate * (self.now - since) / 1000)
        self.tokens[tenant] = (tokens - (tokens >= 1), self.now)
        return tokens < 1

    def _finish(self, request: Request) -> None:  # the one final answer that this front end gives itself
        advice = self.settings.max_retry_after_ms * (request.over_share or not request.attempts)  # no room
        final = io.Refuse(request.id, advice) if self._may_refuse(request) else io.Fail(request.id)
        self._close(request)
        self.actions.append(final)

    def _close(self, request: Request) -> None:
        del self.requests[request.id]
        if request in request.function.queue:
            request.function.queue.remove(request)
        for number, attempt in enumerate(request.attempts if self.settings.may_cancel else ()):
            if attempt.open:
                self.actions.append(io.Cancel(request.id, number))
