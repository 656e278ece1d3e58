"""The load that one incarnation of a front end reports. No I/O; times are of the monotonic clock.

A report has the sends to scorers in slow start, the load orders in flight, and copies that answers proved.
Sends and loads are complete in each report, so a later report replaces an earlier one. Of the copies, a
report has only those that changed or whose last report is old.
"""

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from fawnwharf import interface as io
from fawnwharf.replication import messages as m

MAX_REPORTED_SCORERS, MAX_REPORTED_LOADS, MAX_REPORTED_COPIES = 64, 64, 96
MAX_COPIES, MAX_LOADS, MAX_SENDS = 1_000, 512, 4_000  # stored; sends are limited per scorer
MAX_LOAD_AGE_MS = 10_000.0  # older unanswered load orders no longer count as loads in flight
REFRESH_FRACTION = 1 / 3  # of a copy's lifetime, after which a repeated proof is reported again

# Results of load orders whose answers state the number of copies.
_RESULTS_WITH_COPY_COUNT = (
    io.AttemptResult.GOOD,
    io.AttemptResult.FULL,
    io.AttemptResult.ERROR,
)


class CopyLocation(NamedTuple):
    """A scorer and a function of which it may have copies."""

    scorer: int
    function: str


@dataclass(slots=True)
class _Copy:
    copies: int
    proof_ms: float
    reported_copies: int = -1
    reported_proof_ms: float = -math.inf


@dataclass(slots=True)
class LoadReporter:
    """Collects the load of one owner from events of the request table, and makes reports of it."""

    slow_start_ms: float
    send_window_ms: float
    copy_lifetime_ms: float
    number: int = 0  # the number of the last report
    omitted: int = 0  # total of copies and loads beyond the limits of a report
    scorers: set[int] = field(default_factory=set)  # in the roster
    _slow_start_until_ms: dict[int, float] = field(default_factory=dict)
    _sends_ms: dict[int, deque[float]] = field(default_factory=dict)
    _loads_ms: dict[CopyLocation, list[float]] = field(default_factory=dict)  # send times of the orders
    _copies: dict[CopyLocation, _Copy] = field(default_factory=dict)  # ordered by proof, latest last
    _unreported: dict[CopyLocation, None] = field(default_factory=dict)

    # --- events -------------------------------------------------------------------------------

    def roster_changed(
        self, now_ms: float, unix_ms: float, entries: Iterable[io.ScorerEntry], *, complete: bool
    ) -> None:
        """Handle a roster change; `unix_ms` is the current time on the clock of the scorers' start times."""
        entries = list(entries)
        if complete:
            self._remove_scorers(self.scorers - {entry.scorer for entry in entries})
        for entry in entries:
            if entry.state is io.ScorerState.GONE:
                self._remove_scorers({entry.scorer})
            else:
                self._add_scorer(now_ms, unix_ms, entry)

    def _add_scorer(self, now_ms: float, unix_ms: float, entry: io.ScorerEntry) -> None:
        self.scorers.add(entry.scorer)
        age_ms = math.inf if entry.up_since_ms is None else max(0.0, unix_ms - entry.up_since_ms)
        if age_ms >= self.slow_start_ms:
            return
        self._slow_start_until_ms[entry.scorer] = now_ms + self.slow_start_ms - age_ms
        for location in [known for known in self._copies if known.scorer == entry.scorer]:
            if self._copies[location].proof_ms < now_ms - age_ms:
                self._forget_copy(location)

    def _remove_scorers(self, scorers: set[int]) -> None:
        if not scorers:
            return
        self.scorers -= scorers
        for scorer in scorers:
            self._slow_start_until_ms.pop(scorer, None)
            self._sends_ms.pop(scorer, None)
        for location in [known for known in self._copies if known.scorer in scorers]:
            self._forget_copy(location)

    def _forget_copy(self, location: CopyLocation) -> None:
        self._copies.pop(location, None)
        self._unreported.pop(location, None)

    def scorers_in_slow_start(self, now_ms: float) -> set[int]:
        """The scorers that started less than `slow_start_ms` ago."""
        for scorer in [scorer for scorer, until in self._slow_start_until_ms.items() if until <= now_ms]:
            del self._slow_start_until_ms[scorer]
            self._sends_ms.pop(scorer, None)
        return set(self._slow_start_until_ms)

    @property
    def has_pending_loads(self) -> bool:
        """Whether a load order is in flight."""
        return bool(self._loads_ms)

    def attempt_sent(self, now_ms: float, scorer: int) -> None:
        """Record a send if the scorer is in slow start."""
        if self._slow_start_until_ms.get(scorer, -math.inf) > now_ms:
            self._sends_ms.setdefault(scorer, deque(maxlen=MAX_SENDS)).append(now_ms)

    def attempt_ended(
        self, now_ms: float, location: CopyLocation, result: io.AttemptResult, warmth: io.Warmth
    ) -> None:
        """Record what an attempt proved: a good answer proves a copy, a miss proves that there is none."""
        if result is io.AttemptResult.GOOD:
            known = self._copies.get(location)
            self._record_proof(now_ms, location, max(1, known.copies if known else 0))
        elif result is io.AttemptResult.MISS or warmth is io.Warmth.LOAD_FAILED:
            self._record_proof(now_ms, location, 0)

    def order_sent(self, now_ms: float, location: CopyLocation, copies: int) -> None:
        """Record a load order; an order of no copies is a probe and is not recorded."""
        if copies and len(self._loads_ms) < MAX_LOADS:
            self._loads_ms.setdefault(location, []).append(now_ms)

    def order_ended(
        self,
        now_ms: float,
        location: CopyLocation,
        ordered_copies: int,
        result: io.AttemptResult,
        copies: int,
    ) -> None:
        """Record the end of an order; its answer states the current number of copies."""
        if ordered_copies and (loads_ms := self._loads_ms.get(location)):
            loads_ms.pop(0)
            if not loads_ms:
                del self._loads_ms[location]
        if result in _RESULTS_WITH_COPY_COUNT:
            self._record_proof(now_ms, location, copies)

    def _record_proof(self, now_ms: float, location: CopyLocation, copies: int) -> None:
        copy = self._copies.pop(location, None) or _Copy(copies, now_ms)
        copy.copies = min(copies, 1_000)
        copy.proof_ms = now_ms
        self._copies[location] = copy
        refresh_ms = REFRESH_FRACTION * self.copy_lifetime_ms
        if copy.reported_copies != copy.copies or now_ms - copy.reported_proof_ms >= refresh_ms:
            self._unreported.pop(location, None)
            self._unreported[location] = None
        if len(self._copies) > MAX_COPIES:
            self._forget_copy(next(iter(self._copies)))

    # --- reports ------------------------------------------------------------------------------

    def next_report(
        self, now_ms: float, last_answers: dict[str, int], full_answer_from: str = "", since: int = 0
    ) -> m.LoadReport:
        """Make the next report, which names the last answer from each replica.

        `full_answer_from` is the replica asked to answer with all changes since its answer `since`.
        """
        self.number += 1
        sent = self._recent_sends(now_ms)
        loads = self._pending_loads(now_ms)
        copies = self._take_unreported(now_ms)
        omitted = max(0, len(loads) - MAX_REPORTED_LOADS) + len(self._unreported)
        self.omitted += omitted
        most_sent = sorted(sent.items(), key=lambda item: -item[1])[:MAX_REPORTED_SCORERS]
        return m.LoadReport(
            self.number,
            last_answers,
            full_answer_from,
            since,
            {str(scorer): count for scorer, count in most_sent},
            tuple(loads[:MAX_REPORTED_LOADS]),
            copies,
            omitted,
        )

    def _recent_sends(self, now_ms: float) -> dict[int, int]:
        """The number of sends to each scorer in slow start within the window."""
        slow_start = self.scorers_in_slow_start(now_ms)
        sent: dict[int, int] = {}
        for scorer, times_ms in self._sends_ms.items():
            while times_ms and times_ms[0] <= now_ms - self.send_window_ms:
                times_ms.popleft()
            if times_ms and scorer in slow_start:
                sent[scorer] = len(times_ms)
        return sent

    def _pending_loads(self, now_ms: float) -> list[m.PendingLoad]:
        """The load orders in flight, latest first; drops orders older than MAX_LOAD_AGE_MS."""
        for location, loads_ms in list(self._loads_ms.items()):
            recent = [sent_ms for sent_ms in loads_ms if now_ms - sent_ms <= MAX_LOAD_AGE_MS]
            if recent:
                self._loads_ms[location] = recent
            else:
                del self._loads_ms[location]
        latest = sorted(((times[-1], location) for location, times in self._loads_ms.items()), reverse=True)
        return [m.PendingLoad(*location, round(now_ms - sent_ms, 1)) for sent_ms, location in latest]

    def _take_unreported(self, now_ms: float) -> tuple[m.ProvenCopy, ...]:
        """The copies to report now, latest first; the rest waits. Expired proofs are dropped."""
        found: list[m.ProvenCopy] = []
        for location in list(reversed(self._unreported)):
            copy = self._copies[location]
            age_ms = now_ms - copy.proof_ms
            if age_ms > self.copy_lifetime_ms:
                del self._unreported[location]
            elif len(found) < MAX_REPORTED_COPIES:
                del self._unreported[location]
                copy.reported_copies = copy.copies
                copy.reported_proof_ms = copy.proof_ms
                found.append(m.ProvenCopy(*location, copy.copies, round(age_ms, 1)))
        return tuple(found)
