"""A replica's store of all owners' load reports, and its answers to them. No I/O.

Clocks of different front ends are never compared, and arrival times of lines are not used. A report names the
last answer that its owner received, so it was made after the replica sent that answer. An answer names the
report that it answers. Each side dates a message by the time at which it sent the named one, on its own
clock, so a delayed line only seems older than it is.
"""

import math
from collections import Counter, deque
from dataclasses import dataclass, field
from typing import NamedTuple

from fawnwharf.replication import messages as m
from fawnwharf.replication.counters import ReplicationCounter
from fawnwharf.replication.load_report import MAX_LOAD_AGE_MS, REFRESH_FRACTION, CopyLocation
from fawnwharf.replication.replica import front_end_of

MAX_ANSWERED_SCORERS, MAX_ANSWERED_LOADS, MAX_ANSWERED_COPIES = 64, 256, 256
MAX_INCARNATIONS = 2  # stored of one front end
MAX_COPY_OWNERS = 2  # stored of one copy: an answer omits its recipient's own proof, so two always suffice
MAX_LOCATIONS = 8_000  # copy locations
MAX_NAMED_ANSWERS = 32  # the latest answers that an owner's report may name
TOTALS_VALID_MS = 20.0
MIN_ANSWER_INTERVAL_MS = 5.0  # between two answers to one owner


class CopyProof(NamedTuple):
    """The last proof of a copy that one owner reported."""

    report_number: int
    copies: int
    proof_ms: float


@dataclass(slots=True)
class OwnerReport:
    """The state that one owner reported: sends and loads of the latest report, and copies by location."""

    number: int = 0
    made_ms: float = -math.inf  # the earliest time at which the report can have been made
    sent: dict[str, int] = field(default_factory=dict)
    loading: tuple[tuple[CopyLocation, float], ...] = ()  # with start times
    copies: dict[CopyLocation, CopyProof] = field(default_factory=dict)

    def merge(self, report: m.LoadReport, made_ms: float) -> list[CopyLocation]:
        """Merge a report made at `made_ms` or later; returns the locations of copies with newer proofs."""
        if report.number > self.number:
            self.number = report.number
            self.made_ms = made_ms
            self.sent = report.sent
            self.loading = tuple(
                (CopyLocation(load.scorer, load.function), made_ms - load.age_ms) for load in report.loading
            )
        changed: list[CopyLocation] = []
        for copy in report.copies:
            location = CopyLocation(copy.scorer, copy.function)
            known = self.copies.get(location)
            if report.number > (known.report_number if known is not None else 0):
                self.copies[location] = CopyProof(report.number, copy.copies, made_ms - copy.age_ms)
                changed.append(location)
        return changed


@dataclass(slots=True)
class _Totals:
    """The sums of all owners' reports at one time."""

    at_ms: float
    sent_by_owner: dict[str, dict[str, int]] = field(default_factory=dict)
    sent: dict[str, int] = field(default_factory=dict)
    made: list[tuple[float, str]] = field(default_factory=list)  # time and owner, oldest first
    loading: list[tuple[float, CopyLocation, str]] = field(default_factory=list)  # latest first
    front_ends: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _CopyChange:
    """The owners that reported a copy, and its last change that answers must include."""

    owners: set[str] = field(default_factory=set)
    number: int = 0
    copies: int = -1
    proof_ms: float = -math.inf


class LoadReportStore:
    """Stores the latest report of each owner, and answers reports."""

    def __init__(self, report_lifetime_ms: float, copy_lifetime_ms: float, first_number: int) -> None:
        """Number the answers from `first_number`, which differs in each incarnation of the replica.

        A report that names an answer of an earlier incarnation then matches no answer of this one.
        """
        self.report_lifetime_ms, self.copy_lifetime_ms = report_lifetime_ms, copy_lifetime_ms
        self.owners: dict[str, OwnerReport] = {}
        self.counts: Counter[ReplicationCounter] = Counter()
        self._answers: dict[str, deque[tuple[int, float]]] = {}  # number and send time, by owner
        self._changes: dict[CopyLocation, _CopyChange] = {}  # ordered by change, latest last
        self._last_number = first_number  # of the last answer or change
        self._totals: _Totals | None = None

    def receive(
        self, now_ms: float, replica: str, owner: str, report: m.LoadReport
    ) -> m.RemoteLoadReport | None:
        """Store an owner's report and answer it unless reports are too frequent; `replica` is this one."""
        self._remove_old(now_ms, owner)
        made_ms = self._made_ms(replica, owner, report)
        if made_ms is None:
            self.counts[ReplicationCounter.LOAD_REPORTS_WITHOUT_ANSWER] += 1
        else:
            self._store(owner, report, made_ms)
        answers = self._answers.setdefault(owner, deque(maxlen=MAX_NAMED_ANSWERS))
        if answers and now_ms - answers[-1][1] < MIN_ANSWER_INTERVAL_MS:
            self.counts[ReplicationCounter.LOAD_REPORTS_TOO_FREQUENT] += 1
            return None
        self._last_number += 1
        answers.append((self._last_number, now_ms))
        acknowledgement = m.RemoteLoadReport(report.number, int(owner.partition("#")[2]), self._last_number)
        if report.full_answer_from != replica:
            return acknowledgement
        # A larger number belongs to an answer of another incarnation.
        since = report.since if report.since < self._last_number else 0
        return self._full_answer(now_ms, owner, acknowledgement, since)

    def _made_ms(self, replica: str, owner: str, report: m.LoadReport) -> float | None:
        """The earliest time at which the report can have been made; None if it names no known answer."""
        named = report.last_answers.get(replica)
        answers = reversed(self._answers.get(owner, ()))
        return next((sent_ms for number, sent_ms in answers if number == named), None)

    def _store(self, owner: str, report: m.LoadReport, made_ms: float) -> None:
        stored = self.owners.setdefault(owner, OwnerReport())
        if report.number <= stored.number:
            self.counts[ReplicationCounter.LOAD_REPORTS_OUTDATED] += 1
        for location in stored.merge(report, made_ms):
            self._record_change(owner, location)
        while len(self._changes) > MAX_LOCATIONS:
            location, change = next(iter(self._changes.items()))
            for name in list(change.owners):
                self._remove_copy(location, name)

    def _record_change(self, owner: str, location: CopyLocation) -> None:
        """Record a copy that an owner reported, as a change if the other owners must be told."""
        change = self._changes.setdefault(location, _CopyChange())
        change.owners.add(owner)
        if len(change.owners) > MAX_COPY_OWNERS:
            self._remove_copy(
                location, min(change.owners, key=lambda name: self.owners[name].copies[location].proof_ms)
            )
        proof_ms, copies = self._latest_proof(location, change.owners)
        # A good answer to a call proves only one copy, so a smaller number is not a change until the refresh
        # interval has passed. Zero copies always are.
        changed = copies > change.copies or (not copies and change.copies)
        if changed or proof_ms - change.proof_ms >= REFRESH_FRACTION * self.copy_lifetime_ms:
            self._last_number += 1
            change.number = self._last_number
            change.copies = copies
            change.proof_ms = proof_ms
            self._changes[location] = self._changes.pop(location)

    def _latest_proof(self, location: CopyLocation, owners: set[str]) -> tuple[float, int]:
        """Time and copies of the latest proof by these owners; the larger number if the times are equal."""
        proofs = [self.owners[owner].copies[location] for owner in owners]
        return max(((proof.proof_ms, proof.copies) for proof in proofs), default=(-math.inf, 0))

    def _remove_copy(self, location: CopyLocation, owner: str) -> None:
        self.owners[owner].copies.pop(location, None)
        if change := self._changes.get(location):
            change.owners.discard(owner)
            if not change.owners:
                del self._changes[location]

    def _remove_old(self, now_ms: float, owner: str) -> None:
        """Remove silent owners, and all but the latest incarnations of this owner's front end."""
        totals = self._totals
        if totals is not None and now_ms - totals.at_ms < TOTALS_VALID_MS and owner in self._answers:
            return
        expired_owners: list[str] = []
        if owner not in self._answers:
            name = front_end_of(owner)
            incarnations = [known for known in self._answers if front_end_of(known) == name]
            expired_owners = incarnations[: max(0, len(incarnations) + 1 - MAX_INCARNATIONS)]
        lifetime_ms = max(self.report_lifetime_ms, self.copy_lifetime_ms)
        expired_owners += [
            known for known, answers in self._answers.items() if now_ms - answers[-1][1] > lifetime_ms
        ]
        for expired in dict.fromkeys(expired_owners):
            for location in list(self.owners[expired].copies) if expired in self.owners else ():
                self._remove_copy(location, expired)
            self.owners.pop(expired, None)
            del self._answers[expired]
        self._totals = None

    # --- answers ------------------------------------------------------------------------------

    def _current_totals(self, now_ms: float) -> _Totals:
        """The totals over all owners, recomputed after TOTALS_VALID_MS."""
        if self._totals is not None and 0.0 <= now_ms - self._totals.at_ms < TOTALS_VALID_MS:
            return self._totals
        totals = self._totals = _Totals(now_ms)
        for owner, stored in self.owners.items():
            if now_ms - stored.made_ms > self.report_lifetime_ms:
                continue
            totals.front_ends.add(front_end_of(owner))
            totals.made.append((stored.made_ms, owner))
            totals.sent_by_owner[owner] = stored.sent
            for scorer, count in stored.sent.items():
                totals.sent[scorer] = totals.sent.get(scorer, 0) + count
            totals.loading += [(since_ms, location, owner) for location, since_ms in stored.loading]
        totals.made.sort()
        totals.loading.sort(reverse=True)
        return totals

    def _full_answer(
        self, now_ms: float, owner: str, acknowledgement: m.RemoteLoadReport, since: int
    ) -> m.RemoteLoadReport:
        """The reports of all other owners; of the copies, those that changed since the answer `since`."""
        totals = self._current_totals(now_ms)
        sent = self._sent_by_others(totals, owner)
        loading = self._loading_by_others(now_ms, totals, owner)
        copies, omitted = self._changed_copies(now_ms, owner, since)
        omitted += max(0, len(loading) - MAX_ANSWERED_LOADS) + max(0, len(sent) - MAX_ANSWERED_SCORERS)
        if omitted:
            self.counts[ReplicationCounter.LOAD_ANSWERS_OMITTED] += omitted
        oldest_ms = next((made_ms for made_ms, reporter in totals.made if reporter != owner), now_ms)
        return m.RemoteLoadReport(
            acknowledgement.report_number,
            acknowledgement.incarnation,
            self._last_number,
            len(totals.front_ends | {front_end_of(owner)}),
            round(now_ms - oldest_ms, 1),
            dict(sent[:MAX_ANSWERED_SCORERS]),
            tuple(loading[:MAX_ANSWERED_LOADS]),
            tuple(copies),
            omitted,
        )

    @staticmethod
    def _sent_by_others(totals: _Totals, owner: str) -> list[tuple[str, int]]:
        """Scorers and the number of sends to each, most sends first."""
        own = totals.sent_by_owner.get(owner, {})
        others = ((scorer, count - own.get(scorer, 0)) for scorer, count in totals.sent.items())
        return sorted((item for item in others if item[1]), key=lambda item: -item[1])

    @staticmethod
    def _loading_by_others(now_ms: float, totals: _Totals, owner: str) -> list[m.PendingLoad]:
        """The latest load order for each location, latest first."""
        loading: dict[CopyLocation, float] = {}
        for since_ms, location, reporter in totals.loading:
            if reporter != owner and now_ms - since_ms <= MAX_LOAD_AGE_MS:
                loading.setdefault(location, since_ms)
        return [
            m.PendingLoad(*location, round(now_ms - since_ms, 1)) for location, since_ms in loading.items()
        ]

    def _changed_copies(self, now_ms: float, owner: str, since: int) -> tuple[list[m.ProvenCopy], int]:
        """Copies that changed since an answer, as proven by other owners, and the number of omitted ones."""
        found: list[m.ProvenCopy] = []
        omitted = 0
        for location, change in reversed(self._changes.items()):
            if change.number <= since:
                break
            proof_ms, copies = self._latest_proof(location, change.owners - {owner})
            if now_ms - proof_ms > self.copy_lifetime_ms:
                continue
            if len(found) < MAX_ANSWERED_COPIES:
                found.append(m.ProvenCopy(*location, copies, round(now_ms - proof_ms, 1)))
            else:
                omitted += 1
        return found, omitted
