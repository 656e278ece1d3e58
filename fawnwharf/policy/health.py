"""Failure detection: which scorers may get calls, by probes, slowdown, lost answers and connections."""

import math

from fawnwharf import interface as io
from fawnwharf.policy.state import (
    DECAY_MS,
    MAX_LATE_PART,
    Attempt,
    Function,
    LossRecord,
    Request,
    RouterState,
    Scorer,
)

PROBE_TIMEOUT_MS = 80.0  # a scorer that does not answer a probe within this is suspect
SUSPECT_PROBE_MS = 1_000.0  # pause between two probes of a suspect
ZONE_PROBES = 3  # with so many scorers of a zone silent or probed, all of the zone are probed
ANSWER_GAIN = 0.4  # weight of the newest answer in a smoothed value, as answers are rare
OUTLIER_SLOWDOWN = 2.0  # from this slowdown on a scorer is left for others
FAR_COST = 0.5  # price of another zone, in usual runs
OVERDUE_RUNS = 3.0  # an attempt in flight for so many runs may be hedged
LOST_RUNS = 8.0  # an attempt in flight for so many runs is held lost
EJECTION_LOSSES = 2.0  # so many lost answers eject a scorer for the class of the calls
LOSS_RETENTION = 0.7  # part of the losses that is left after each answer


class Health(RouterState):
    """Failure detection of scorers, hedging of overdue attempts and outlier ejection by class."""

    def _is_usable(self, scorer: Scorer, fn: Function) -> bool:
        """Whether a scorer may get calls of a function, after a query for its state where it has no lease.

        A suspect may not, unless most of the fleet are suspects: then the fault is on this side.
        """
        heard = scorer.suspect_ms is None or self.suspects * 2 > len(self.ready)
        may_serve = scorer.takes_new() and self._may_be_in_service(scorer)
        return heard and may_serve and not (scorer.loss_records and self._is_ejected(scorer, fn))

    def _record_slowdown(self, scorer: Scorer, runs: float) -> None:
        """Smooth a scorer's slowdown by one answer that took `runs` usual runs.

        Long runs and rejections for lack of capacity show the load of other front ends. The cost: a call that
        is slow by itself moves the next ones elsewhere.
        """
        before = self._slowdown_of(scorer)
        scorer.slowdown = before + ANSWER_GAIN * (runs - before)
        scorer.slowdown_ms = self.now

    def _slowdown_of(self, scorer: Scorer) -> float:
        """A scorer's run time as a multiple of the usual one; it decays to 1 while nothing is seen."""
        return 1 + (scorer.slowdown - 1) * math.exp((scorer.slowdown_ms - self.now) / DECAY_MS)

    def _cost(self, scorer: Scorer, fn: Function) -> float:
        """Cost of a run at a scorer, in usual runs; another zone costs more."""
        return max(1.0, self._slowdown_of(scorer)) + FAR_COST * self._is_far(scorer, fn)

    def _expect_answer(self, scorer: Scorer) -> None:
        """Something was sent that a scorer answers: watch it from now on, if it was not watched before."""
        if scorer.awaiting_since_ms is None:
            scorer.awaiting_since_ms = self.now
        self.watched[scorer.id] = scorer

    def _mark_alive(self, scorer: Scorer, after_ms: float = 0.0) -> None:
        """An answer came; with calls in flight, the next is expected from `after_ms` later on."""
        scorer.awaiting_since_ms = self.now + after_ms if scorer.in_flight else None
        scorer.probed_ms = None
        if scorer.suspect_ms is not None:
            self.suspects -= scorer.takes_new()
            scorer.suspect_ms = None
            self.actions.append(io.Log(f"scorer {scorer.id} responds again"))

    def _watch_scorer(self, scorer: Scorer) -> None:
        """Probe a silent scorer; suspect it where a probe has no answer.

        The cost: a scorer that is only busy loses its calls for a while.
        """
        is_probed = scorer.probed_ms is not None
        is_suspect = scorer.suspect_ms is not None
        since_ms = scorer.probed_ms if is_probed else scorer.awaiting_since_ms
        if since_ms is None:
            del self.watched[scorer.id]
            return
        wait_ms = self.silence_limit_ms
        if is_suspect:
            wait_ms = SUSPECT_PROBE_MS
        elif is_probed:
            wait_ms = PROBE_TIMEOUT_MS
        if self.now - since_ms < wait_ms:
            return
        if is_probed and not is_suspect:
            self._suspect(scorer)
        else:
            self._probe_scorer(scorer)

    def _probe_scorer(self, scorer: Scorer) -> None:
        """Probe whether a scorer answers, by the function last seen there."""
        scorer.probed_ms = self.now
        may_probe = self.settings.load_orders_allowed and scorer.entry.state != io.ScorerState.GONE
        if scorer.last_function and may_probe:
            self._probe(scorer.last_function, scorer)

    def _note_failed_connection(self, scorer: Scorer, result: io.AttemptResult) -> None:
        """Suspect a scorer that can't be connected to, and probe one whose connection was reset.

        A reset alone does not show that the process is gone. The cost: if it is, calls are lost until the
        probe has no answer.
        """
        if result in (io.AttemptResult.CONNECT_FAILED, io.AttemptResult.RESET):
            self._note_possible_restart(scorer)
        if scorer.suspect_ms is not None:
            return
        if result is io.AttemptResult.CONNECT_FAILED:
            self._suspect(scorer)
        elif result is io.AttemptResult.RESET and scorer.probed_ms is None:
            self._probe_scorer(scorer)

    def _suspect(self, scorer: Scorer) -> None:
        """Take a silent scorer for failed: retry its attempts elsewhere."""
        scorer.suspect_ms = scorer.probed_ms = self.now
        self.watched[scorer.id] = scorer
        self.suspects += scorer.takes_new()
        self.actions.append(io.Log(f"scorer {scorer.id} does not respond: no new calls go there"))
        for attempt in [attempt for attempt in self.attempts.values() if attempt.scorer == scorer.id]:
            request = self.requests.get(attempt.request)
            if request and request not in attempt.function.queue:
                self._requeue(request)
                self._dispatch(attempt.function)
        if self.has_many_front_ends:
            self._probe_zone(scorer.entry.zone)

    def _probe_zone(self, zone: str) -> None:
        """Probe a whole zone once some of it are silent; else calls would find out, one for each scorer."""
        near = [other for other in self.ready if other.entry.zone == zone]
        unprobed = [
            other
            for other in near
            if other.suspect_ms is None and other.probed_ms is None and other.last_function
        ]
        if len(near) - len(unprobed) >= ZONE_PROBES:
            for other in unprobed:
                self._probe_scorer(other)

    def _mark_lost_attempts(self) -> None:
        """Hold overdue attempts lost, eject their scorers for the class and retry at once if possible.

        The cost: a call that is slow by itself runs twice.
        """
        for attempt in list(self.attempts.values()):
            fn = attempt.function
            scorer = self.scorers[attempt.scorer]
            record = scorer.loss_records.get(fn.kind)
            runs = OVERDUE_RUNS if record is not None and record.losses >= EJECTION_LOSSES else LOST_RUNS
            due_ms = attempt.sent_ms + runs * max(self._run_time_ms(fn), self.runs.median(self.now) or 0.0)
            if attempt.lost or scorer.suspect_ms is not None or self.now < due_ms:
                continue
            attempt.lost = True
            request = self.requests.get(attempt.request)
            is_ejected = self._record_loss(scorer, fn)
            if is_ejected and request and request not in fn.queue and self._may_send_again(request):
                fn.queue.append(request)
                self._send_queued(fn)
                # A lost attempt is not worth a wait or a load: the request leaves the queue again.
                fn.queue = [held for held in fn.queue if held is not request]

    def _hedge(self, request: Request, attempt: Attempt) -> None:
        """Hedge a request that is in flight for far longer than a run.

        The cost: work that is done twice; the tokens bound it.
        """
        overdue_ms = OVERDUE_RUNS * self._run_time_ms(request.function)
        due_ms = min(overdue_ms, request.spec.latency_target_ms * MAX_LATE_PART)
        if attempt.open and self.now - attempt.sent_ms > due_ms and self._may_send_again(request):
            self.hedge_tokens -= 1
            self._requeue(request)

    def _record_loss(self, scorer: Scorer, fn: Function) -> bool:
        """Count a lost answer; tells whether the scorer is ejected for the function's class by now."""
        record = scorer.loss_records.setdefault(fn.kind, LossRecord())
        record.losses += 1
        is_ejected = record.losses >= EJECTION_LOSSES
        record.ejected_until_ms = max(record.ejected_until_ms, self.now + record.ejection_ms * is_ejected)
        return is_ejected

    def _is_ejected(self, scorer: Scorer, fn: Function) -> bool:
        """Whether a scorer is ejected for a function's class; nobody is where most of the fleet would be."""
        record = scorer.loss_records.get(fn.kind)
        if not record or record.losses < EJECTION_LOSSES or self.now >= record.ejected_until_ms:
            return False
        ejected = sum(
            fn.kind in other.loss_records and other.loss_records[fn.kind].ejected_until_ms > self.now
            for other in self.ready
        )
        return ejected * 2 <= len(self.ready)
