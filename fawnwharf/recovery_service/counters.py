"""What a front end counts for its standing while the fleet returns: calls served in time, loads against what
they take in calm, cold scorers that fell. Pure; milliseconds of the own monotonic clock.
"""

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from fawnwharf import interface as io
from fawnwharf.recovery_core.budget import priority_classes
from fawnwharf.recovery_service import messages as w

SPAN_MS = 1_000.0  # over which calls and loads are told
MAX_SAMPLES = 20_000  # of calls within it
FAILURES_TO_FALL = 3  # sends in a row that broke, at a cold scorer that had answered
MAX_PAIRS, MAX_FUNCTIONS = 20_000, 20_000
CALM_WEIGHT = 0.05  # by which a load changes what a load takes in calm
CONNECTION_FAILURES = (io.AttemptResult.RESET, io.AttemptResult.CONNECT_FAILED)


@dataclass(slots=True)
class FrontEndCounters:
    """Owns the counts of one front end."""

    worths: Mapping[str, float]  # of classes
    cold_ms: float
    calm: bool = False  # what loads take is what they take in calm
    fell: int = 0
    up: bool = False  # a scorer answered in this life
    calm_ms: float | None = None  # what a load took in calm, of this life
    _first: frozenset[str] = frozenset()
    _ends: deque[tuple[float, bool, bool]] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    _loads: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    _expected: dict[str, float] = field(default_factory=dict)  # what a load of it takes, as calls told
    _proved: dict[tuple[int, str], None] = field(default_factory=dict)  # scorers and functions with a copy
    _broken: dict[int, int] = field(default_factory=dict)  # in a row, of scorers that had answered

    def __post_init__(self) -> None:
        self._first = priority_classes(self.worths)

    # --- calls ----------------------------------------------------------------------------------

    def ended(self, now_ms: float, class_name: str, in_time: bool) -> None:
        """A call that came here ended, served in time or not; refused is not served."""
        self._ends.append((now_ms, class_name in self._first, in_time))

    # --- what the module hears ------------------------------------------------------------------

    def event(self, now_ms: float, event: io.Event, age_ms: float) -> None:
        """`age_ms`: of the scorer that it is about."""
        if isinstance(event, io.RequestArrived):
            if event.load_ms and self._expected.get(event.function) != event.load_ms:
                _put_last(self._expected, event.function, event.load_ms, MAX_FUNCTIONS)
        elif isinstance(event, io.AttemptEnded):
            self._signed(event.scorer, event.result, age_ms)
        elif isinstance(event, io.LoadOrderAnswered):
            self._signed(event.scorer, event.result, age_ms)
            self._answered(now_ms, event)

    def _signed(self, worker: int, ending: io.AttemptResult, age_ms: float) -> None:
        """A cold scorer has fallen when calls that went there break one after the other, and it had answered
        before: one that was never up did not fall."""
        if ending is io.AttemptResult.GOOD:
            self.up = True
            if self._broken.get(worker, -1):
                _put_last(self._broken, worker, 0, MAX_PAIRS)
        elif ending in CONNECTION_FAILURES and worker in self._broken:
            self._broken[worker] += 1
            if self._broken[worker] >= FAILURES_TO_FALL:
                del self._broken[worker]
                self.fell += age_ms < self.cold_ms

    def _answered(self, now_ms: float, event: io.LoadOrderAnswered) -> None:
        """The first proof of a copy is an answer to the order that loaded it; later ones are at once."""
        pair = event.scorer, event.function
        if event.result is not io.AttemptResult.GOOD or not event.copies:
            self._proved.pop(pair, None)
            return
        if pair in self._proved:
            return
        _put_last(self._proved, pair, None, MAX_PAIRS)
        usual_ms = self._expected.get(event.function, self.calm_ms)
        if usual_ms:
            self._loads.append((now_ms, event.took_ms / usual_ms))
        if self.calm:
            before = event.took_ms if self.calm_ms is None else self.calm_ms
            self.calm_ms = before + CALM_WEIGHT * (event.took_ms - before)

    # --- what is told ---------------------------------------------------------------------------

    def standing(self, now_ms: float) -> w.StatusReport:
        """Without what the agent fills in: life, whether it asked, whether its keeper is sure."""
        for held in (self._ends, self._loads):
            while held and now_ms - held[0][0] > SPAN_MS:
                held.popleft()
        first = [good for _, first, good in self._ends if first]
        loads = [slow for _, slow in self._loads]
        return w.StatusReport(
            life=0,
            asked=False,
            sure=False,
            first=w.CallCounts(sum(first), len(first)),
            served=w.CallCounts(sum(good for _, _, good in self._ends), len(self._ends)),
            loads=len(loads),
            slow=min(1e6, sum(loads) / len(loads)) if loads else 1.0,
            fell=self.fell,
        )


def _put_last(held: dict, key: object, value: object, most: int) -> None:
    """Put it last; the first one goes where there are too many."""
    held.pop(key, None)
    held[key] = value
    if len(held) > most:
        del held[next(iter(held))]
