"""Which workers to trust: signs of life, suspects, strain, and answers that got lost."""

import math

from fawnwharf import interface as io
from fawnwharf.policy.state import (
    FADE_MS,
    MAX_LATE_PART,
    Attempt,
    Function,
    Known,
    LossRecord,
    Request,
    Scorer,
)

PROBE_TIMEOUT_MS, SUSPECT_PROBE_MS = (
    80.0,
    1_000.0,
)  # for a sign, a round trip; pause between those asked of a suspect
ZONE_PROBES, ANSWER_GAIN = 3, 0.4  # so many silent or asked in a zone: all are asked; weight of a rare answer
OUTLIER_SLOWDOWN, FAR_COST = (
    2.0,
    0.5,
)  # in usual runs: from so many on a worker is left; crossing, as places go
OVERDUE_RUNS, LOST_RUNS = 3.0, 8.0  # out for so many runs, an attempt deserves a second; it is held lost
EJECTION_LOSSES, LOSS_KEPT = (
    2.0,
    0.7,
)  # so many lost rest a class at a worker; each answer takes part of them back


class Health(Known):
    def _is_usable(self, worker: Scorer, fn: Function) -> bool:  # ready, and not suspect unless most are
        heard = worker.suspect_ms is None or self.suspects * 2 > len(self.ready)
        return heard and worker.takes_new() and not (worker.loss_records and self._is_ejected(worker, fn))

    def _record_slowdown(self, worker: Scorer, runs: float) -> None:
        """Long runs and full answers tell of others' load. Harm: a heavy request moves the next ones on."""
        worker.slowdown, worker.slowdown_ms = (
            (s := self._slowdown_of(worker)) + ANSWER_GAIN * (runs - s),
            self.now,
        )

    def _slowdown_of(self, worker: Scorer) -> float:
        return 1 + (worker.slowdown - 1) * math.exp((worker.slowdown_ms - self.now) / FADE_MS)

    def _cost(self, worker: Scorer, fn: Function) -> float:  # of a run there, in usual ones
        return max(1.0, self._slowdown_of(worker)) + FAR_COST * self._is_far(worker, fn)

    def _expect_answer(self, worker: Scorer) -> None:
        worker.owed_ms = self.now if worker.owed_ms is None else worker.owed_ms  # if it owes none yet
        self.watched[worker.id] = worker

    def _mark_alive(self, worker: Scorer, after_ms: float = 0.0) -> None:
        worker.owed_ms, worker.probed_ms = self.now + after_ms if worker.in_flight else None, None
        if worker.suspect_ms is not None:
            self.suspects, worker.suspect_ms = self.suspects - worker.takes_new(), None
            self.actions.append(io.Log(f"worker {worker.id} answers again"))

    def _watch_scorer(self, worker: Scorer) -> None:
        """Ask a silent worker for a sign; without one, leave it. Harm: a busy one loses its traffic."""
        asked, suspect = worker.probed_ms is not None, worker.suspect_ms is not None  # a suspect was asked
        since_ms = worker.probed_ms if asked else worker.owed_ms
        if since_ms is None:
            del self.watched[worker.id]
        elif self.now - since_ms >= (
            SUSPECT_PROBE_MS if suspect else PROBE_TIMEOUT_MS if asked else self.silent_ms
        ):
            (self._suspect if asked and not suspect else self._probe_scorer)(worker)

    def _probe_scorer(self, worker: Scorer) -> None:
        worker.probed_ms = self.now
        if (
            worker.last_function
            and self.settings.load_orders_allowed
            and worker.entry.state != io.ScorerState.GONE
        ):
            self._probe(worker.last_function, worker)

    def _note_failed_connection(self, worker: Scorer, ending: io.AttemptResult) -> None:
        """Ask for a sign: a break tells little of the process. Harm: if it died, calls are lost there."""
        if ending is io.AttemptResult.CONNECT_FAILED and worker.suspect_ms is None:
            self._suspect(worker)
        elif ending is io.AttemptResult.RESET and worker.suspect_ms is None and worker.probed_ms is None:
            self._probe_scorer(worker)

    def _suspect(self, worker: Scorer) -> None:
        worker.suspect_ms = worker.probed_ms = self.now
        self.watched[worker.id] = worker
        self.suspects += worker.takes_new()
        self.actions.append(io.Log(f"worker {worker.id} is silent: nothing new goes there"))
        for attempt in [attempt for attempt in self.attempts.values() if attempt.scorer == worker.id]:
            if (request := self.requests.get(attempt.request)) and request not in attempt.function.queue:
                self._requeue(request)
                self._dispatch(attempt.function)
        near = (
            [other for other in self.ready if other.entry.zone == worker.entry.zone] if self.is_wide else []
        )
        quiet = [
            other
            for other in near
            if other.suspect_ms is None and other.probed_ms is None and other.last_function
        ]
        for other in quiet if len(near) - len(quiet) >= ZONE_PROBES else ():  # else calls find out, each one
            self._probe_scorer(other)

    def _mark_lost_attempts(self) -> None:
        """Hold overdue answers lost, try elsewhere, rest their class. Harm: a long call runs twice."""
        for attempt in list(self.attempts.values()):
            fn, worker = attempt.function, self.scorers[attempt.scorer]
            runs = (
                OVERDUE_RUNS
                if worker.loss_records.get(fn.kind, LossRecord()).losses >= EJECTION_LOSSES
                else LOST_RUNS
            )
            due_ms = attempt.sent_ms + runs * max(self._run_time_ms(fn), self.runs.median(self.now) or 0.0)
            if attempt.lost or worker.suspect_ms is not None or self.now < due_ms:
                continue
            attempt.lost, request, rests = (
                True,
                self.requests.get(attempt.request),
                self._record_loss(worker, fn),
            )
            if rests and request and request not in fn.queue and self._may_send_again(request):
                fn.queue.append(request)
                self._send_queued(fn)
                fn.queue = [held for held in fn.queue if held is not request]  # not worth a wait or a load

    def _hedge(self, request: Request, attempt: Attempt) -> None:
        """A second attempt for one out far longer than a run, while tokens last. Harm: work done twice."""
        due = min(
            OVERDUE_RUNS * self._run_time_ms(request.function), request.spec.latency_target_ms * MAX_LATE_PART
        )
        if attempt.open and self.now - attempt.sent_ms > due and self._may_send_again(request):
            self.hedge_tokens -= 1
            self._requeue(request)

    def _record_loss(self, worker: Scorer, fn: Function) -> bool:
        lapse = worker.loss_records.setdefault(fn.kind, LossRecord())
        lapse.losses += 1
        lapse.ejected_until_ms = max(
            lapse.ejected_until_ms, self.now + lapse.ejection_ms * (lapse.losses >= EJECTION_LOSSES)
        )
        return lapse.losses >= EJECTION_LOSSES

    def _is_ejected(self, worker: Scorer, fn: Function) -> bool:  # unless most of the fleet would
        if (
            not (lapse := worker.loss_records.get(fn.kind))
            or lapse.losses < EJECTION_LOSSES
            or self.now >= lapse.ejected_until_ms
        ):
            return False
        resting = sum(
            fn.kind in w.loss_records and w.loss_records[fn.kind].ejected_until_ms > self.now
            for w in self.ready
        )
        return resting * 2 <= len(self.ready)
