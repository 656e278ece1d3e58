"""Simulated scorers, their model store, and an event queue in virtual time, for `simulation.py`."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from fawnwharf import interface as io
from fawnwharf.recovery_core.budget import FleetLimits

LANES = 8  # lanes of one copy
MAX_LOADS = 4  # concurrent loads of one scorer
STORE_FETCHES = 4  # concurrent fetches of the model store
FETCH_SHARE = 0.6  # share of a load's time that is the fetch
SCORER_RPS = 12.0
DOWN_MS = 3_000.0  # how long a failed scorer is down
LOAD_RETRY_MS = 20.0
ANSWER_MS = 1.0

Answered = Callable[[io.AttemptResult, int], None]


class EventQueue:
    """The virtual clock and the scheduled calls."""

    def __init__(self, now_ms: float) -> None:
        self.now_ms = now_ms
        self._heap: list[tuple[float, int, Callable[[], object]]] = []
        self._count = 0

    def after(self, delay_ms: float, call: Callable[[], object]) -> None:
        """Schedule a call; calls with the same time run in the order in which they were scheduled."""
        self._count += 1
        heapq.heappush(self._heap, (self.now_ms + delay_ms, self._count, call))

    def run(self, until_ms: float) -> None:
        """Run all calls that are due before a time."""
        while self._heap and self._heap[0][0] < until_ms:
            self.now_ms, _, call = heapq.heappop(self._heap)
            call()


class ModelStore:
    """Serves a limited number of concurrent fetches; the others wait."""

    def __init__(self, queue: EventQueue) -> None:
        self._queue = queue
        self._free_ms = [0.0] * STORE_FETCHES
        self._open = 0
        self.most_open = 0
        self.by_second: dict[int, int] = {}

    def fetch(self, load_ms: float) -> float:
        """Start or queue a fetch; return when its load begins."""
        now_ms = self._queue.now_ms
        second = int(now_ms / 1_000)
        self.by_second[second] = self.by_second.get(second, 0) + 1
        self._open += 1
        self.most_open = max(self.most_open, self._open)
        begins_ms = max(now_ms, self._free_ms[0])
        heapq.heapreplace(self._free_ms, begins_ms + FETCH_SHARE * load_ms)
        self._queue.after(begins_ms + FETCH_SHARE * load_ms - now_ms, self._fetched)
        return begins_ms

    def _fetched(self) -> None:
        self._open -= 1


@dataclass(frozen=True, slots=True)
class FunctionTimes:
    """One function's class, and the durations of its loads and calls."""

    class_name: str
    load_ms: float
    run_ms: float


@dataclass(slots=True)
class SimulatedScorer:
    """One scorer's copies and loads."""

    number: int
    up_ms: float
    incarnation: int = 0
    lanes_free_ms: dict[str, list[float]] = field(default_factory=dict)  # heaps by function
    loading: dict[str, list[Answered]] = field(default_factory=dict)
    fetching: int = 0
    sent_ms: list[float] = field(default_factory=list)  # times of the calls in the last window

    def fail(self, now_ms: float) -> None:
        """Lose all copies and loads; the scorer is up again after `DOWN_MS`."""
        self.up_ms = now_ms + DOWN_MS
        self.incarnation += 1
        self.lanes_free_ms = {}
        self.loading = {}
        self.fetching = 0
        self.sent_ms = []

    def copies(self, function: str) -> int:
        """The number of copies of a function."""
        return len(self.lanes_free_ms.get(function, ())) // LANES


class SimulatedScorers:
    """All scorers: their calls, load orders, and failures while they warm up."""

    def __init__(
        self,
        queue: EventQueue,
        limits: FleetLimits,
        scorers: list[SimulatedScorer],
        functions: dict[str, FunctionTimes],
        came_up: Callable[[SimulatedScorer], None],
    ) -> None:
        """`came_up` is called whenever a failed scorer is up again."""
        self.queue = queue
        self.scorers = scorers
        self.store = ModelStore(queue)
        self.failures = 0
        self._limits = limits
        self._functions = functions
        self._came_up = came_up

    def ages_ms(self) -> list[float]:
        """How long each running scorer has been up, in milliseconds."""
        now_ms = self.queue.now_ms
        return [now_ms - scorer.up_ms for scorer in self.scorers if scorer.up_ms <= now_ms]

    def up(self) -> list[int]:
        """The numbers of scorers that are up."""
        return [scorer.number for scorer in self.scorers if scorer.up_ms <= self.queue.now_ms]

    def run_call(self, number: int, function: str, ended: Answered) -> None:
        """Run a call, unless the scorer is down, has no copy, or fails because of the call."""
        scorer = self.scorers[number]
        now_ms = self.queue.now_ms
        age_ms = now_ms - scorer.up_ms
        if age_ms < 0:
            self.queue.after(ANSWER_MS, lambda: ended(io.AttemptResult.CONNECT_FAILED, 0))
        elif age_ms < self._limits.cold_ms and self._overloads(scorer, age_ms):
            self._fail(scorer, ended)
        elif function not in scorer.lanes_free_ms:
            self.queue.after(ANSWER_MS, lambda: ended(io.AttemptResult.MISS, 0))
        else:
            self._run(scorer, function, ended)

    def _overloads(self, scorer: SimulatedScorer, age_ms: float) -> bool:
        """Count a call to a warming scorer; return whether the calls exceed its capacity."""
        now_ms = self.queue.now_ms
        limits = self._limits
        scorer.sent_ms = [at_ms for at_ms in scorer.sent_ms if at_ms > now_ms - limits.fall_ms]
        scorer.sent_ms.append(now_ms)
        capacity_rps = limits.fall_multiple * limits.warmth(age_ms) * SCORER_RPS
        return len(scorer.sent_ms) > max(1.0, capacity_rps * limits.fall_ms / 1_000.0)

    def _run(self, scorer: SimulatedScorer, function: str, ended: Answered) -> None:
        now_ms = self.queue.now_ms
        run_ms = self._functions[function].run_ms
        lanes = scorer.lanes_free_ms[function]
        begins_ms = max(now_ms, heapq.heappop(lanes))
        heapq.heappush(lanes, begins_ms + run_ms)
        incarnation = scorer.incarnation

        def done() -> None:
            ended(io.AttemptResult.GOOD if scorer.incarnation == incarnation else io.AttemptResult.RESET, 0)

        self.queue.after(begins_ms + run_ms - now_ms + ANSWER_MS, done)

    def _fail(self, scorer: SimulatedScorer, ended: Answered) -> None:
        self.failures += 1
        waiting = [answer for answers in scorer.loading.values() for answer in answers]
        scorer.fail(self.queue.now_ms)
        for answer in [ended, *waiting]:
            self.queue.after(ANSWER_MS, partial(answer, io.AttemptResult.RESET, 0))
        self.queue.after(DOWN_MS, lambda: self._came_up(scorer))

    def order(self, number: int, function: str, copies: int, ended: Answered) -> None:
        """Load a copy if the scorer has fewer than `copies`; 0 queries the number of copies."""
        scorer = self.scorers[number]
        if scorer.up_ms > self.queue.now_ms:
            self.queue.after(ANSWER_MS, lambda: ended(io.AttemptResult.CONNECT_FAILED, 0))
            return
        present = scorer.copies(function)
        if present >= copies:
            self.queue.after(ANSWER_MS, lambda: ended(io.AttemptResult.GOOD, present))
        elif function in scorer.loading:
            scorer.loading[function].append(ended)
        else:
            scorer.loading[function] = [ended]
            self._load(scorer, function, scorer.incarnation)

    def _load(self, scorer: SimulatedScorer, function: str, incarnation: int) -> None:
        """Start the load if the scorer may run one more, or try again later."""
        if scorer.incarnation != incarnation:
            return
        if scorer.fetching >= MAX_LOADS:
            self.queue.after(LOAD_RETRY_MS, lambda: self._load(scorer, function, incarnation))
            return
        scorer.fetching += 1
        load_ms = self._functions[function].load_ms
        begins_ms = self.store.fetch(load_ms)

        def loaded() -> None:
            if scorer.incarnation == incarnation:
                self._loaded(scorer, function)

        self.queue.after(begins_ms + load_ms - self.queue.now_ms, loaded)

    def _loaded(self, scorer: SimulatedScorer, function: str) -> None:
        scorer.fetching -= 1
        lanes = scorer.lanes_free_ms.setdefault(function, [])
        lanes.extend([self.queue.now_ms] * LANES)
        heapq.heapify(lanes)
        for answer in scorer.loading.pop(function):
            answer(io.AttemptResult.GOOD, scorer.copies(function))
