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

PROBE_TIMEOUT_MS = 80.0  # a scorer that does not answer a probe within this time becomes suspect
SUSPECT_PROBE_MS = 1_000.0  # time between two probes of a suspect
ZONE_PROBES = 3  # if this many scorers of a zone are suspect or being probed, the whole zone is probed
ANSWER_GAIN = 0.4  # weight of the newest answer in a smoothed value; it is large because answers are rare
OUTLIER_SLOWDOWN = 2.0  # a scorer with a slowdown above this multiple of the usual one is an outlier
FAR_COST = 0.5  # added cost of a call to another zone, in usual run times
OVERDUE_RUNS = 3.0  # an attempt in flight for longer than this many run times may be hedged
LOST_RUNS = 8.0  # an attempt in flight for this many run times is considered lost
EJECTION_LOSSES = 2.0  # this many lost answers eject a scorer for the class of the calls
LOSS_RETENTION = 0.7  # factor by which each good answer reduces the losses


class Health(RouterState):
    """Detects failed scorers, hedges overdue attempts and ejects outliers, by class."""

    def _is_usable(self, scorer: Scorer, fn: Function) -> bool:
        """Whether a scorer may get calls of a function, if need be after a query that renews its lease.

        A suspect may not, unless most ready scorers are suspects: then the fault is probably on this side.
        """
        is_responsive = scorer.suspect_since_ms is None or self.suspect_count * 2 > len(self.ready)
        may_serve = scorer.takes_new() and self._may_be_in_service(scorer)
        return is_responsive and may_serve and not (scorer.loss_records and self._is_ejected(scorer, fn))

    def _record_slowdown(self, scorer: Scorer, runs: float) -> None:
        """Update a scorer's smoothed slowdown by one answer that took `runs` usual run times.

        Long runs and rejections for lack of capacity reveal the load from other front ends. The drawback is
        that a call that is slow by itself makes the next calls avoid the scorer.
        """
        before = self._slowdown_of(scorer)
        scorer.slowdown = before + ANSWER_GAIN * (runs - before)
        scorer.slowdown_ms = self.now

    def _slowdown_of(self, scorer: Scorer) -> float:
        """A scorer's run time as a multiple of the usual one; it decays to 1 while no answers come."""
        return 1 + (scorer.slowdown - 1) * math.exp((scorer.slowdown_ms - self.now) / DECAY_MS)

    def _cost(self, scorer: Scorer, fn: Function) -> float:
        """The cost of a run at a scorer, in usual run times; a scorer of another zone costs more."""
        return max(1.0, self._slowdown_of(scorer)) + FAR_COST * self._is_in_other_zone(scorer, fn)

    def _expect_answer(self, scorer: Scorer) -> None:
        """Watch a scorer to which a message was sent that it has to answer."""
        if scorer.awaiting_since_ms is None:
            scorer.awaiting_since_ms = self.now
        self.watched[scorer.id] = scorer

    def _mark_alive(self, scorer: Scorer, after_ms: float = 0.0) -> None:
        """Record a sign of life; with calls in flight, silence is measured from `after_ms` after now."""
        scorer.awaiting_since_ms = self.now + after_ms if scorer.in_flight else None
        scorer.probe_sent_ms = None
        if scorer.suspect_since_ms is not None:
            self.suspect_count -= scorer.takes_new()
            scorer.suspect_since_ms = None
            self.actions.append(io.Log(f"scorer {scorer.id} responds again"))

    def _watch_scorer(self, scorer: Scorer) -> None:
        """Probe a silent scorer; make it suspect if a probe gets no answer in time.

        The drawback is that a scorer that is only busy gets no calls for a while.
        """
        is_probed = scorer.probe_sent_ms is not None
        is_suspect = scorer.suspect_since_ms is not None
        since_ms = scorer.probe_sent_ms if is_probed else scorer.awaiting_since_ms
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
        """Probe whether a scorer answers, with the function last used there."""
        scorer.probe_sent_ms = self.now
        may_probe = self.settings.load_orders_allowed and scorer.entry.state != io.ScorerState.GONE
        if scorer.last_function and may_probe:
            self._probe(scorer.last_function, scorer)

    def _note_failed_connection(self, scorer: Scorer, result: io.AttemptResult) -> None:
        """Make a scorer suspect if no connection could be made; probe it if the connection was reset.

        A reset alone does not show that the process is gone. The drawback is that if it is gone, calls are
        lost until the probe times out.
        """
        if result in (io.AttemptResult.CONNECT_FAILED, io.AttemptResult.RESET):
            self._note_possible_restart(scorer)
        if scorer.suspect_since_ms is not None:
            return
        if result is io.AttemptResult.CONNECT_FAILED:
            self._suspect(scorer)
        elif result is io.AttemptResult.RESET and scorer.probe_sent_ms is None:
            self._probe_scorer(scorer)

    def _suspect(self, scorer: Scorer) -> None:
        """Treat a scorer as failed: it gets no new calls, and its attempts are retried at other scorers."""
        scorer.suspect_since_ms = scorer.probe_sent_ms = self.now
        self.watched[scorer.id] = scorer
        self.suspect_count += scorer.takes_new()
        self.actions.append(io.Log(f"scorer {scorer.id} does not respond: no new calls go there"))
        for attempt in [attempt for attempt in self.attempts.values() if attempt.scorer == scorer.id]:
            request = self.requests.get(attempt.request)
            if request and request not in attempt.function.queue:
                self._requeue(request)
                self._dispatch(attempt.function)
        if self.many_front_ends:
            self._probe_zone(scorer.entry.zone)

    def _probe_zone(self, zone: str) -> None:
        """Probe a whole zone if several of its scorers are silent, before one call at each finds out."""
        zone_scorers = [other for other in self.ready if other.entry.zone == zone]
        unprobed = [
            other
            for other in zone_scorers
            if other.suspect_since_ms is None and other.probe_sent_ms is None and other.last_function
        ]
        if len(zone_scorers) - len(unprobed) >= ZONE_PROBES:
            for other in unprobed:
                self._probe_scorer(other)

    def _mark_lost_attempts(self) -> None:
        """Mark overdue attempts as lost, eject their scorers for the class and retry at once if possible.

        The drawback is that a call that is slow by itself runs twice.
        """
        for attempt in list(self.attempts.values()):
            fn = attempt.function
            scorer = self.scorers[attempt.scorer]
            record = scorer.loss_records.get(fn.class_name)
            runs = OVERDUE_RUNS if record is not None and record.losses >= EJECTION_LOSSES else LOST_RUNS
            due_ms = attempt.sent_ms + runs * max(
                self._run_time_ms(fn), self.run_times.median(self.now) or 0.0
            )
            if attempt.lost or scorer.suspect_since_ms is not None or self.now < due_ms:
                continue
            attempt.lost = True
            request = self.requests.get(attempt.request)
            is_ejected = self._record_loss(scorer, fn)
            if is_ejected and request and request not in fn.queue and self._may_send_again(request):
                fn.queue.append(request)
                self._send_queued(fn)
                # If no scorer is free now, the request leaves the queue: it shall cause no load.
                fn.queue = [queued for queued in fn.queue if queued is not request]

    def _hedge(self, request: Request, attempt: Attempt) -> None:
        """Hedge a request whose attempt is in flight for far longer than a usual run.

        The drawback is duplicate work, which the hedge tokens bound.
        """
        overdue_ms = OVERDUE_RUNS * self._run_time_ms(request.function)
        due_ms = min(overdue_ms, request.spec.latency_target_ms * MAX_LATE_PART)
        if attempt.open and self.now - attempt.sent_ms > due_ms and self._may_send_again(request):
            self.hedge_tokens -= 1
            self._requeue(request)

    def _record_loss(self, scorer: Scorer, fn: Function) -> bool:
        """Count a lost answer; returns whether the scorer is now ejected for the function's class."""
        record = scorer.loss_records.setdefault(fn.class_name, LossRecord())
        record.losses += 1
        is_ejected = record.losses >= EJECTION_LOSSES
        record.ejected_until_ms = max(record.ejected_until_ms, self.now + record.ejection_ms * is_ejected)
        return is_ejected

    def _is_ejected(self, scorer: Scorer, fn: Function) -> bool:
        """Whether a scorer is ejected for a function's class; none is if most ready scorers would be."""
        record = scorer.loss_records.get(fn.class_name)
        if not record or record.losses < EJECTION_LOSSES or self.now >= record.ejected_until_ms:
            return False
        ejected = sum(
            fn.class_name in other.loss_records
            and other.loss_records[fn.class_name].ejected_until_ms > self.now
            for other in self.ready
        )
        return ejected * 2 <= len(self.ready)
