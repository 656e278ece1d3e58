"""Counters of one front end for its status reports after a power loss.

They cover calls served in time, load times relative to normal operation, and scorers that failed while
warming up. This module does no I/O; times are milliseconds of the local monotonic clock.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar

from fawnwharf import interface as io
from fawnwharf.recovery_core.budget import priority_classes
from fawnwharf.recovery_service.messages import CallCounts, StatusReport

REPORT_WINDOW_MS = 1_000.0  # calls and loads of this time are reported
MAX_SAMPLES = 20_000  # calls or loads within the window
FAILED_SCORER_THRESHOLD = 3  # consecutive broken connections to a warming scorer that had answered before
MAX_PAIRS = 20_000
MAX_FUNCTIONS = 20_000
NORMAL_LOAD_TIME_WEIGHT = 0.05  # of one load in the moving average of load times in normal operation
MAX_SLOWDOWN = 1e6
CONNECTION_FAILURES = (io.AttemptResult.RESET, io.AttemptResult.CONNECT_FAILED)

Key = TypeVar("Key")
Value = TypeVar("Value")


class _CallSample(NamedTuple):
    at_ms: float
    has_priority: bool
    in_time: bool


class _LoadSample(NamedTuple):
    at_ms: float
    slowdown: float


class _Copy(NamedTuple):
    scorer: int
    function: str


@dataclass(slots=True)
class FrontEndCounters:
    """The counters of one front end."""

    weights: Mapping[str, float]  # priority weights by class
    cold_ms: float
    normal_operation: bool = False  # load times of now update `normal_load_ms`
    failed_scorers: int = 0
    scorer_answered: bool = False  # some scorer answered in this incarnation
    normal_load_ms: float | None = None  # average load time in normal operation, in this incarnation
    _priority_classes: frozenset[str] = frozenset()
    _calls: deque[_CallSample] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    _loads: deque[_LoadSample] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    _expected_load_ms: dict[str, float] = field(default_factory=dict)  # by function, as stated by its calls
    _copies: dict[_Copy, None] = field(default_factory=dict)
    _failures: dict[int, int] = field(default_factory=dict)  # consecutive, of scorers that had answered

    def __post_init__(self) -> None:
        self._priority_classes = priority_classes(self.weights)

    # --- calls ----------------------------------------------------------------------------------

    def call_ended(self, now_ms: float, class_name: str, in_time: bool) -> None:
        """Count a call as served in time or not; a rejected call was not."""
        self._calls.append(_CallSample(now_ms, class_name in self._priority_classes, in_time))

    # --- the decision module's events -----------------------------------------------------------

    def event(self, now_ms: float, event: io.Event, age_ms: float) -> None:
        """Count an event; `age_ms` is how long its scorer has been up."""
        if isinstance(event, io.RequestArrived):
            if event.load_ms and self._expected_load_ms.get(event.function) != event.load_ms:
                _insert_newest(self._expected_load_ms, event.function, event.load_ms, MAX_FUNCTIONS)
        elif isinstance(event, io.AttemptEnded):
            self._count_result(event.scorer, event.result, age_ms)
        elif isinstance(event, io.LoadOrderAnswered):
            self._count_result(event.scorer, event.result, age_ms)
            self._count_load(now_ms, event)

    def _count_result(self, scorer: int, result: io.AttemptResult, age_ms: float) -> None:
        """Count a warming scorer as failed after several consecutive broken connections.

        Only a scorer that had answered before can fail; one that never came up is not counted.
        """
        if result is io.AttemptResult.GOOD:
            self.scorer_answered = True
            if self._failures.get(scorer, -1):
                _insert_newest(self._failures, scorer, 0, MAX_PAIRS)
        elif result in CONNECTION_FAILURES and scorer in self._failures:
            self._failures[scorer] += 1
            if self._failures[scorer] >= FAILED_SCORER_THRESHOLD:
                del self._failures[scorer]
                self.failed_scorers += age_ms < self.cold_ms

    def _count_load(self, now_ms: float, event: io.LoadOrderAnswered) -> None:
        """Count a load when an answer to its order first reports a copy."""
        copy = _Copy(event.scorer, event.function)
        if event.result is not io.AttemptResult.GOOD or not event.copies:
            self._copies.pop(copy, None)
            return
        if copy in self._copies:
            return
        _insert_newest(self._copies, copy, None, MAX_PAIRS)
        usual_ms = self._expected_load_ms.get(event.function, self.normal_load_ms)
        if usual_ms:
            self._loads.append(_LoadSample(now_ms, event.took_ms / usual_ms))
        if self.normal_operation:
            previous_ms = event.took_ms if self.normal_load_ms is None else self.normal_load_ms
            self.normal_load_ms = previous_ms + NORMAL_LOAD_TIME_WEIGHT * (event.took_ms - previous_ms)

    # --- reports --------------------------------------------------------------------------------

    def report(self, now_ms: float) -> StatusReport:
        """Return the counters as a report; the agent adds incarnation, queries and knowledge of grants."""
        while self._calls and now_ms - self._calls[0].at_ms > REPORT_WINDOW_MS:
            self._calls.popleft()
        while self._loads and now_ms - self._loads[0].at_ms > REPORT_WINDOW_MS:
            self._loads.popleft()
        priority = [call.in_time for call in self._calls if call.has_priority]
        slowdowns = [load.slowdown for load in self._loads]
        return StatusReport(
            incarnation=0,
            queries_done=False,
            knows_grants=False,
            priority_calls=CallCounts(sum(priority), len(priority)),
            calls=CallCounts(sum(call.in_time for call in self._calls), len(self._calls)),
            loads=len(slowdowns),
            slowdown=min(MAX_SLOWDOWN, sum(slowdowns) / len(slowdowns)) if slowdowns else 1.0,
            failed_scorers=self.failed_scorers,
        )


def _insert_newest(held: dict[Key, Value], key: Key, value: Value, limit: int) -> None:
    """Insert an entry as the newest, and drop the oldest one if there are too many."""
    held.pop(key, None)
    held[key] = value
    if len(held) > limit:
        del held[next(iter(held))]
