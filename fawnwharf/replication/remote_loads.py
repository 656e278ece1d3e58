"""Evaluates the replicas' answers about the load of other front ends. No I/O.

An answer is dated by when the report that it answers was sent, on this front end's own clock, so a delayed
line only seems older than it is. The decision module gets an event for each scorer whose information changed
or became more recent.
"""

import math
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from fawnwharf import interface as io
from fawnwharf.replication import messages as m
from fawnwharf.replication.counters import ReplicationCounter

MAX_OPEN_REPORTS = 128  # the latest reports, whose answers are accepted
MAX_COPIES_PER_SCORER = 256
REFRESH_MS = 500.0  # unchanged information is reported to the module again if it is this much newer
# A copy proof that is older than the sends and loads of its scorer by more than this is left out.
COPY_SPAN_MARGIN_MS = 100.0
# The fraction of a report's lifetime after which a replica that does not answer, or answers for too few front
# ends, is replaced by the next one.
TURN_FRACTION = 0.4
MAX_MISSING_FRACTION = 0.1  # of the fleet, for the sends of the other front ends to count as known


def covers_fleet(front_ends: int, fleet_size: int) -> bool:
    """Whether an answer for so many front ends is complete enough for its sends to count as known."""
    return fleet_size - front_ends <= MAX_MISSING_FRACTION * fleet_size


@dataclass(slots=True)
class _Answer:
    """A full answer from a replica."""

    incarnation: int
    requested_ms: float  # when the report that it answers was sent
    report: m.RemoteLoadReport

    @property
    def oldest_ms(self) -> float:
        """The time of the oldest report included in the sends."""
        return self.requested_ms - self.report.age_ms


class _CopyProof(NamedTuple):
    proof_ms: float
    copies: int


class _Reported(NamedTuple):
    """The last event of a scorer and the time of the oldest report that it is based on."""

    event: io.RemoteLoadReport
    oldest_ms: float


class RemoteLoads:
    """Stores the answers of all replicas and what the decision module was told of them."""

    def __init__(self, report_lifetime_ms: float, copy_lifetime_ms: float) -> None:
        self.report_lifetime_ms, self.copy_lifetime_ms = report_lifetime_ms, copy_lifetime_ms
        self.counts: Counter[ReplicationCounter] = Counter()
        self.answered = False  # an answer arrived; the reader clears this
        self._answers: dict[str, _Answer] = {}  # full answers, by replica
        self._last_answers: dict[str, tuple[int, int]] = {}  # incarnation and answer number, by replica
        # The replica asked to answer in full, and since when.
        self._chosen, self._chosen_ms = "", -math.inf
        self._open_reports: deque[tuple[int, float]] = deque(maxlen=MAX_OPEN_REPORTS)
        self._copies: dict[int, dict[str, _CopyProof]] = {}  # by scorer and function
        self._reported: dict[int, _Reported] = {}

    # --- replicas -----------------------------------------------------------------------------

    def report_sent(self, now_ms: float, number: int) -> None:
        """Record that the report with this number is sent now."""
        self._open_reports.append((number, now_ms))

    def last_answers(self) -> dict[str, int]:
        """The number of the last answer of each replica."""
        return {replica: number for replica, (_, number) in self._last_answers.items()}

    def choose_replica(self, now_ms: float, replicas: Sequence[str], fleet_size: int) -> tuple[str, int]:
        """Choose the replica that must answer in full; returns it and the number of its last full answer.

        The choice stays the same while that replica answers for enough front ends. Otherwise the next of
        `replicas` is chosen.
        """
        turn_ms = TURN_FRACTION * self.report_lifetime_ms
        answer = self._answers.get(self._chosen)
        good = (
            answer is not None
            and now_ms - answer.requested_ms <= turn_ms
            and covers_fleet(answer.report.front_ends, fleet_size)
        )
        if self._chosen not in replicas or (not good and now_ms - self._chosen_ms > turn_ms):
            index = replicas.index(self._chosen) + 1 if self._chosen in replicas else 0
            self._chosen = replicas[index % len(replicas)] if replicas else ""
            self._chosen_ms = now_ms
        answer = self._answers.get(self._chosen)
        return self._chosen, answer.report.answer_number if answer else 0

    def receive(self, replica: str, incarnation: int, report: m.RemoteLoadReport) -> None:
        """Store a replica's answer."""
        requested_ms = next(
            (sent_ms for number, sent_ms in reversed(self._open_reports) if number == report.report_number),
            None,
        )
        known_incarnation, known_number = self._last_answers.get(replica, (0, 0))
        outdated = known_incarnation == incarnation and report.answer_number <= known_number
        if requested_ms is None or outdated:
            self.counts[ReplicationCounter.LOAD_ANSWERS_OUT_OF_ORDER] += 1
            return
        self._last_answers[replica] = incarnation, report.answer_number
        if report.front_ends:
            self.answered = True
            self._answers[replica] = _Answer(incarnation, requested_ms, report)
            for copy in report.copies:
                self._take_copy(requested_ms, copy)

    def _take_copy(self, requested_ms: float, copy: m.ProvenCopy) -> None:
        proofs = self._copies.setdefault(copy.scorer, {})
        proof = _CopyProof(requested_ms - copy.age_ms, copy.copies)
        proofs[copy.function] = max(proof, proofs.get(copy.function, proof))
        while len(proofs) > MAX_COPIES_PER_SCORER:
            del proofs[min(proofs, key=lambda function: proofs[function])]

    @property
    def known_copies(self) -> int:
        """For how many pairs of scorer and function the number of copies is known."""
        return sum(map(len, self._copies.values()))

    def forget_replicas(self, replicas: set[str]) -> None:
        """Forget members that are no longer replicas."""
        for replica in replicas:
            self._answers.pop(replica, None)
            self._last_answers.pop(replica, None)

    def best_answer(self, now_ms: float) -> _Answer | None:
        """The unexpired answer that covers the most front ends; the latest of several such."""
        fresh = [
            answer
            for answer in self._answers.values()
            if now_ms - answer.oldest_ms <= self.report_lifetime_ms
        ]
        return max(fresh, key=lambda answer: (answer.report.front_ends, answer.requested_ms), default=None)

    def sends_known(self, now_ms: float, fleet_size: int) -> bool:
        """Whether the sends of the other front ends are known."""
        best = self.best_answer(now_ms)
        return best is not None and covers_fleet(best.report.front_ends, fleet_size)

    # --- the decision module --------------------------------------------------------------------

    def changes(
        self, now_ms: float, slow_start: set[int], scorers: set[int], fleet_size: int
    ) -> list[io.RemoteLoadReport]:
        """The events that the module needs now, one per scorer; `scorers` are those of the roster."""
        best = self.best_answer(now_ms)
        if best is not None and not covers_fleet(best.report.front_ends, fleet_size):
            best = None
        loading = self._loading(now_ms)
        self._forget_scorers(scorers)
        candidates = slow_start | self._copies.keys() | loading.keys() | self._reported.keys()
        events: list[io.RemoteLoadReport] = []
        for scorer in candidates & scorers:
            sends = best if scorer in slow_start else None
            event = self._event(now_ms, scorer, sends, loading.get(scorer, {}))
            if event is not None:
                events.append(event)
        return events

    def _loading(self, now_ms: float) -> dict[int, dict[str, float]]:
        """The time of the oldest report behind each load in flight elsewhere, by scorer and function."""
        loading: dict[int, dict[str, float]] = {}
        for answer in self._answers.values():
            if now_ms - answer.requested_ms <= self.report_lifetime_ms:
                for load in answer.report.loading:
                    loading.setdefault(load.scorer, {})[load.function] = answer.oldest_ms
        return loading

    def _forget_scorers(self, scorers: set[int]) -> None:
        """Forget all scorers except these."""
        for scorer in self._copies.keys() - scorers:
            del self._copies[scorer]
        for scorer in self._reported.keys() - scorers:
            del self._reported[scorer]

    def _event(
        self, now_ms: float, scorer: int, best: _Answer | None, loading: dict[str, float]
    ) -> io.RemoteLoadReport | None:
        """The event of one scorer, None if nothing changed; `best` is None if its sends are not known."""
        sources_ms = [*([best.oldest_ms] if best is not None else []), *loading.values()]
        # The event has the age of its oldest source. Proofs much older than the sends and loads were reported
        # before and are left out, so that the event does not seem older than its sends and loads.
        span_ms = now_ms - min(sources_ms) + COPY_SPAN_MARGIN_MS if sources_ms else self.copy_lifetime_ms
        copies = self._proven_copies(now_ms, scorer, span_ms)
        sources_ms += [proof.proof_ms for proof in copies.values()]
        oldest_ms = min(sources_ms, default=now_ms)
        event = io.RemoteLoadReport(
            scorer,
            best.report.sent.get(str(scorer), 0) if best is not None else None,
            {function: proof.copies for function, proof in copies.items()},
            tuple(sorted(loading)),
            now_ms - oldest_ms,
        )
        changed = self._is_change(event, oldest_ms)
        if changed:
            self._reported[scorer] = _Reported(event, oldest_ms)
        if not sources_ms:
            self._reported.pop(scorer, None)
        return event if changed else None

    def _proven_copies(self, now_ms: float, scorer: int, span_ms: float) -> dict[str, _CopyProof]:
        """Copies with a proof no older than `span_ms`; expired proofs are forgotten."""
        proofs = self._copies.get(scorer, {})
        expired = [
            function for function, proof in proofs.items() if now_ms - proof.proof_ms > self.copy_lifetime_ms
        ]
        for function in expired:
            del proofs[function]
        if not proofs:
            self._copies.pop(scorer, None)
        return {
            function: proof
            for function, proof in proofs.items()
            if proof.copies and now_ms - proof.proof_ms <= span_ms
        }

    def _is_change(self, event: io.RemoteLoadReport, oldest_ms: float) -> bool:
        """Whether an event differs from the last one, or is sufficiently more recent."""
        reported = self._reported.get(event.scorer)
        if reported is None:
            return event.sent is not None or bool(event.copies or event.loading)
        before = reported.event
        same = (event.sent, event.copies, event.loading) == (before.sent, before.copies, before.loading)
        # The number of sends is as of the report, so the same number in a later report is new information.
        refresh_ms = 1.0 if event.sent is not None else REFRESH_MS
        return not same or oldest_ms - reported.oldest_ms >= refresh_ms
