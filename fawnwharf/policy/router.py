"""The Router: takes events, joins the parts of the decisions, and is the only one that sends."""

import math

from fawnwharf import interface as io
from fawnwharf.policy import admission, health, loads, roster_lease, routing, state
from fawnwharf.policy.state import Attempt, Function, Request, Scorer, mark, mix_bits

SWEEP_TOKEN = 0  # of the timer of the sweep
REQUEST_END_TOKEN = 1  # of a timer for one request's end
RUN_GAIN = 0.02  # weight of a run at an uncrowded scorer in the smoothed run time
# Results that show that the scorer is alive.
PROVES_ALIVE = (io.AttemptResult.GOOD, io.AttemptResult.ERROR, io.AttemptResult.FULL, io.AttemptResult.MISS)
# Results whose answers may report the concurrency.
REPORTS_CONCURRENCY = (io.AttemptResult.GOOD, io.AttemptResult.FULL)
# Results of attempts that were ended from this side.
ENDED_BY_FRONT_END = (io.AttemptResult.CANCELLED, io.AttemptResult.TIMEOUT)
# Results of load orders and probes whose answers give the number of copies.
REPORTS_COPIES = (io.AttemptResult.GOOD, io.AttemptResult.FULL, io.AttemptResult.ERROR)


class Router(health.Health, loads.Loads, routing.Routing, admission.Admission, roster_lease.RosterLease):
    """The decisions of one front end: events in, actions out."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.lease_counters = roster_lease.LeaseCounters()

    def handle(self, now_ms: float, events: list[io.Event]) -> list[io.Action]:
        """Take the events of one moment; the actions take effect at that moment, in their order.

        Cancelled requests are taken first, as nothing may be sent or ordered for them any more; the other
        events go in order.
        """
        self.now = now_ms
        self.began_ms = min(self.began_ms, now_ms)
        self.actions = []
        while self.arrivals_ms and self.arrivals_ms[0] <= now_ms - self.stretch_ms:
            self.arrivals_ms.popleft()
        cancelled = {event.request for event in events if isinstance(event, io.RequestCancelled)}
        if cancelled:
            self._cancel_first(events)
        for event in events:
            if not (cancelled and self._is_cancelled(event, cancelled)):
                self.handlers[type(event)](self, event)
        if not self.sweeping and (self.requests or self.attempts):
            self.sweeping = True
            self.actions.append(io.SetTimer(state.SWEEP_MS, SWEEP_TOKEN))
        return self.actions

    def _is_cancelled(self, event: io.Event, cancelled: set[str]) -> bool:
        """Whether an event is the arrival of a request that was cancelled, or its cancellation."""
        return isinstance(event, io.RequestArrived | io.RequestCancelled) and event.request in cancelled

    def _cancel_first(self, events: list[io.Event]) -> None:
        """Take the cancelled requests among the events."""
        for event in events:
            if isinstance(event, io.RequestCancelled):
                self._on_request_cancelled(event)

    def _on_roster_changed(self, event: io.RosterChanged) -> None:
        """Take the list of scorers, or a change of it."""
        if event.complete:
            for missing in self.scorers.keys() - {entry.scorer for entry in event.entries}:
                self.scorers[missing].entry.state = io.ScorerState.GONE
        for entry in event.entries:
            scorer = self.scorers.get(entry.scorer)
            if scorer is None:
                scorer = Scorer(entry.scorer, entry, mark(str(entry.scorer)))
                self.scorers[entry.scorer] = scorer
            scorer.entry = entry
            scorer.gone_ms = None
            if entry.up_since_ms is not None and entry.up_since_ms > scorer.started_ms:
                self._begin_slow_start(scorer, entry.up_since_ms, since_ms=entry.up_since_ms)
        self.ready = [scorer for scorer in self.scorers.values() if scorer.takes_new()]
        self.suspects = sum(scorer.suspect_ms is not None for scorer in self.ready)
        self._refresh()
        self._dispatch_all()

    def _on_request_arrived(self, event: io.RequestArrived) -> None:
        """Admit a request, or give it its final answer; send it if a scorer can take it."""
        self.arrivals_ms.append(self.now)
        request = self._new_request(event)
        fn = request.function
        self._update_spread(fn)
        self.hedge_tokens = min(state.MAX_HEDGE_TOKENS, self.hedge_tokens + state.HEDGE_TOKENS_PER_REQUEST)
        self.requests[request.id] = request
        fn.queue.append(request)
        if self._is_over_quota(io.ALL) or self.now >= request.answer_due_ms:
            # The next sweep may be too late: a client's last retry has little time.
            self._finish(request)
        elif not self.has_many_front_ends and not self._is_warm(fn):
            for scorer in self._ordered(fn)[: state.MAX_PROBED_SCORERS]:
                self._probe_for_copy(fn, scorer)
        if request.spec.deadline_ms <= state.OWN_TIMER_DEADLINE_MS and request.id in self.requests:
            self.actions.append(io.SetTimer(request.answer_due_ms - self.now, REQUEST_END_TOKEN))
        self._send_queued(fn)
        if request in fn.queue and self._should_give_up(request):
            # The next sweep is past half its time.
            self._finish(request)
        self._dispatch(fn)

    def _new_request(self, event: io.RequestArrived) -> Request:
        """A request as it arrived, with the times that follow from its class; takes a token of its tenant."""
        fn = self._function(event)
        spec = self.classes.get(event.class_name) or io.ClassSpec(event.class_name)
        if event.site != fn.site:
            fn.site = event.site
            fn.hash_order_sizes = None
        random_bits = mix_bits(mix_bits(self.seed))
        self.seed += 1
        client_leaves_ms = self.now + event.budget_ms
        deadline_ms = min(client_leaves_ms, self.shutdown_deadline_ms)
        # The client's first try took part of its time.
        is_retry = event.budget_ms < admission.FIRST_TRY_MIN_PART * spec.deadline_ms
        first_sent_ms = client_leaves_ms - spec.deadline_ms if is_retry else self.now
        lead_ms = state.SWEEP_MS + state.ANSWER_LEAD_MS
        if spec.deadline_ms <= state.OWN_TIMER_DEADLINE_MS:
            lead_ms = min(state.ANSWER_LEAD_MS, event.budget_ms / 4)
        return Request(
            id=event.request,
            function=fn,
            spec=spec,
            arrived_ms=self.now,
            deadline_ms=deadline_ms,
            over_quota=is_retry or self._is_over_quota(event.tenant),
            queued_ms=self.now,
            random_bits=random_bits,
            target_ms=first_sent_ms + spec.latency_target_ms,
            answer_due_ms=deadline_ms - lead_ms,
        )

    def _on_request_cancelled(self, event: io.RequestCancelled) -> None:
        """Forget a request whose client left."""
        request = self.requests.get(event.request)
        if request is not None:
            self._close(request)

    def _on_shutdown_started(self, event: io.ShutdownStarted) -> None:
        """Bring the ends of all requests forward, open ones and those still to come."""
        self.shutdown_deadline_ms = min(self.shutdown_deadline_ms, self.now + event.within_ms)
        for request in self.requests.values():
            request.deadline_ms = min(request.deadline_ms, self.shutdown_deadline_ms)
            request.answer_due_ms = min(
                request.answer_due_ms, self.shutdown_deadline_ms - state.SWEEP_MS - state.ANSWER_LEAD_MS
            )

    def _on_limits_changed(self, event: io.LimitsChanged) -> None:
        """Take a limit as a quota: of one tenant, or of all together."""
        self.settings.quotas_rps[event.tenant] = event.calls_rps * self.front_ends
        if event.tenant == io.ALL:
            # A tenth of a second's tokens: no burst at first.
            self.quota_tokens[io.ALL] = (event.calls_rps / 10, self.now)

    def _on_class_changed(self, event: io.ClassChanged) -> None:
        """Take the rules of a class for requests to come; open ones keep the rules they arrived under."""
        self.classes = {**self.classes, event.spec.name: event.spec}
        self.latency_target_ms = min(spec.latency_target_ms for spec in self.classes.values())

    def _on_remote_load_report(self, event: io.RemoteLoadReport) -> None:
        """Take what others reported on a scorer; functions not known yet read it when they are ordered."""
        scorer = self.scorers.get(event.scorer)
        if scorer is None:
            return
        scorer.remote_load = event
        scorer.remote_load_ms = self.now - max(0.0, event.age_ms)
        for name in [*event.copies, *event.loading]:
            fn = self.functions.get(name)
            if fn is not None:
                self._apply_remote_load(fn, [scorer])
        self._dispatch_all(scorer)

    def _on_attempt_ended(self, event: io.AttemptEnded) -> None:
        """Take the end of an attempt: what it shows of the scorer, then the next step of its request."""
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        self.recent_attempts.discard(attempt)
        fn = attempt.function
        scorer = self.scorers[attempt.scorer]
        # Before this run is recorded, as it is judged by the runs before it.
        run_ms = self._run_time_ms(fn)
        attempt.open = False
        attempt.may_have_run = event.result not in io.NEVER_RAN
        fn.copies_by_scorer[scorer.id].in_flight -= 1
        scorer.in_flight -= 1
        if event.result in PROVES_ALIVE:
            self._mark_alive(scorer)
        self._record_result(event, attempt, scorer, run_ms)
        self._note_failed_connection(scorer, event.result)
        if event.reported_concurrency is not None and event.result in REPORTS_CONCURRENCY:
            reported = event.reported_concurrency * attempt.warm_candidates
            fn.reported_concurrency += health.ANSWER_GAIN * (reported - fn.reported_concurrency)
        request = self.requests.get(event.request)
        if request is not None and event.closed:
            # A hedged request that was answered before the first attempt was worth its token.
            self.hedge_tokens += attempt is not request.attempts[0] and request.attempts[0].open
            self._close(request)
        elif request is not None and request not in fn.queue:
            self._requeue(request)
        self._dispatch_all(scorer)
        self._dispatch(fn)

    def _record_result(self, event: io.AttemptEnded, attempt: Attempt, scorer: Scorer, run_ms: float) -> None:
        """Record what a result shows of a scorer and its copies; `run_ms` is the usual run time."""
        fn = attempt.function
        scorer_copies = fn.copies_by_scorer[scorer.id]
        result = event.result
        if result is io.AttemptResult.GOOD:
            self._confirm_in_service(scorer, attempt.sent_ms)
            scorer_copies.copies = max(1, scorer_copies.copies)
            scorer_copies.seen_ms = self.now
            self._record_answer(event, attempt, scorer, run_ms)
        elif result in ENDED_BY_FRONT_END and event.took_ms > health.OUTLIER_SLOWDOWN * run_ms:
            # It may be the slow scorers that never get to answer.
            self._record_slowdown(scorer, event.took_ms / run_ms)
        elif result is io.AttemptResult.MISS or event.warmth is io.Warmth.LOAD_FAILED:
            scorer_copies.copies = 0
            scorer_copies.seen_ms = self.now
        elif result is io.AttemptResult.ERROR and fn.runs.timed:
            # Where no run of the function is known, the call itself may be at fault.
            self._record_loss(scorer, fn)
        elif result is io.AttemptResult.FULL:
            self._note_rejection(scorer, attempt.sent_ms)
            scorer_copies.blocked_ms = self.now + run_ms
            self._record_slowdown(scorer, 3 * health.OUTLIER_SLOWDOWN)

    def _record_answer(self, event: io.AttemptEnded, attempt: Attempt, scorer: Scorer, run_ms: float) -> None:
        """Record the run time of a good answer, and let the losses of its scorer fade."""
        fn = attempt.function
        if event.warmth in (io.Warmth.UNTOLD, io.Warmth.FOUND):
            fn.runs.timed.append((self.now, event.took_ms))
            self.runs.timed.append((self.now, event.took_ms))
            self.run_ms += RUN_GAIN * (event.took_ms - self.run_ms) * attempt.is_uncrowded
            self._record_slowdown(scorer, event.took_ms / run_ms)
        record = scorer.loss_records.get(fn.kind)
        if record is not None:
            record.losses = record.losses - 1 if attempt.lost else record.losses * health.LOSS_RETENTION
            if record.losses < 1:
                del scorer.loss_records[fn.kind]

    def _on_load_order_answered(self, event: io.LoadOrderAnswered) -> None:
        """Take the end of a load order or a probe."""
        fn = self.functions.get(event.function)
        scorer = self.scorers.get(event.scorer)
        if fn is None or scorer is None:
            return
        scorer_copies = self._copies_at(fn, scorer)
        is_short = event.result is io.AttemptResult.GOOD and event.copies < scorer_copies.order_count
        # With both in progress, an answer with too few copies is that to a probe.
        ordered_ms = None if scorer_copies.open_probes and is_short else scorer_copies.order_ms
        is_renewed = self._update_lease(event, scorer, is_query=ordered_ms is None)
        if event.result in REPORTS_COPIES:
            if scorer.suspect_ms is not None and scorer_copies.copies and not event.copies:
                # The copies are gone: it restarted, which was not reported.
                self._begin_slow_start(scorer, self.now, since_ms=-math.inf)
            # The answer to a probe counts for longer than that to a call.
            self._mark_alive(scorer, health.SUSPECT_PROBE_MS)
            if ordered_ms is not None and scorer_copies.speculative and event.result is io.AttemptResult.GOOD:
                scorer_copies.idle_since_ms = self.now
                scorer_copies.lanes_without_it = scorer_copies.copies * fn.lanes
            scorer_copies.copies = event.copies
            scorer_copies.counted_ms = self.now
            scorer_copies.seen_ms = self.now
        self._note_failed_connection(scorer, event.result)
        if ordered_ms is not None:
            self._record_load_result(fn, scorer_copies, event, ordered_ms)
        else:
            scorer_copies.open_probes = max(0, scorer_copies.open_probes - 1)
        if is_renewed:  # other functions may wait for the same scorer
            self._dispatch_all()
        else:
            self._dispatch(fn)

    def _update_lease(self, event: io.LoadOrderAnswered, scorer: Scorer, is_query: bool) -> bool:
        """Take what an answer shows of its scorer's state; tells whether it renewed an expired lease."""
        sent_ms = self.now - event.took_ms
        if event.result is io.AttemptResult.GOOD:
            return self._confirm_in_service(scorer, sent_ms)
        if event.result is io.AttemptResult.FULL and is_query:
            self._note_rejected_query(scorer, sent_ms)
        elif event.result is io.AttemptResult.FULL:
            self._note_rejection(scorer, sent_ms)
        return False

    def _on_timer_due(self, event: io.TimerDue) -> None:
        """Take a timer: that of a request's end, or that of the sweep, which goes on by itself."""
        if event.token == REQUEST_END_TOKEN:
            for request in [held for held in self.requests.values() if self.now >= held.answer_due_ms]:
                self._finish(request)
            return
        self.sweeping = False
        self._sweep_requests()
        self._mark_lost_attempts()
        # Older attempts are taken for lost.
        self.recent_attempts = {
            attempt
            for attempt in self.recent_attempts
            if self.now - attempt.sent_ms <= self.latency_target_ms
        }
        for scorer in list(self.watched.values()):
            self._watch_scorer(scorer)
        if self.now - self.refreshed_ms >= state.REFRESH_MS:
            self._refresh()
        if len(self.recent_attempts) < self.limit:
            self._dispatch_all()

    def _sweep_requests(self) -> None:
        """End the requests that are due or hopeless, and hedge the others where tokens are left."""
        for request in list(self.requests.values()):
            if self._should_give_up(request) or self.now >= request.answer_due_ms:
                self._finish(request)
            elif (
                self.has_many_front_ends and self.hedge_tokens >= 1 and request not in request.function.queue
            ):
                self._hedge(request, request.attempts[-1])

    def _dispatch_all(self, there: Scorer | None = None) -> None:
        """Dispatch the functions with a queue, the most urgent first; with `there`, those known there."""
        self.waiting = {fn for fn in self.waiting if fn.queue}
        held = [fn for fn in self.waiting if there is None or there.id in fn.copies_by_scorer]
        for fn in sorted(held, key=lambda fn: min(map(self._urgency, fn.queue))):
            self._dispatch(fn)

    def _dispatch(self, fn: Function) -> None:
        """Send what can be sent of a function's queue, and order loads for the rest."""
        self._send_queued(fn)
        if fn.queue:
            self.waiting.add(fn)
            self._load_speculatively(fn)

    def _send_queued(self, fn: Function) -> None:
        """Send what can be sent of a function's queue; nothing else sends."""
        fn.queue.sort(key=self._urgency)
        for request in list(fn.queue):
            scorer = self._choose_scorer(fn, request)
            if scorer is not None:
                self._send(request, scorer)
            elif request.first_run() is None:
                # It may run anywhere and can't be sent: nor can the less urgent ones behind it.
                break

    def _send(self, request: Request, scorer: Scorer) -> None:
        """Send a request to a scorer, as its next attempt."""
        fn = request.function
        scorer_copies = self._copies_at(fn, scorer)
        # Before the attempt is added, as that counts as one that may have run.
        within_ms = min(self._window_left_ms(request), self._lease_left_ms(scorer))
        attempt = Attempt(
            request=request.id,
            scorer=scorer.id,
            function=fn,
            sent_ms=self.now,
            is_uncrowded=scorer.in_flight < 2,
            warm_candidates=max(1, sum(one.id in fn.copies_by_scorer for one in fn.hash_order[: fn.spread])),
            zone=scorer.entry.zone,
            cell=scorer.entry.cell,
        )
        self.attempts[request.id, len(request.attempts)] = attempt
        self.recent_attempts.add(attempt)
        request.attempts.append(attempt)
        fn.queue.remove(request)
        if self.now > request.queued_ms:
            fn.waits.timed.append((self.now, self.now - request.queued_ms))
        scorer_copies.in_flight += 1
        scorer.in_flight += 1
        scorer_copies.seen_ms = self.now
        self._count_send(scorer)
        self._expect_answer(scorer)
        self._note_trial(fn, scorer)
        if (
            scorer_copies.idle_since_ms is not None
            and scorer_copies.in_flight > scorer_copies.lanes_without_it
        ):
            # The first use of a speculative copy.
            fn.idle_ms = self.now - scorer_copies.idle_since_ms
            scorer_copies.idle_since_ms = None
        self.actions.append(io.Send(request.id, scorer.id, within_ms))

    def _note_trial(self, fn: Function, scorer: Scorer) -> None:
        """Note a send to a scorer after its ejection: it tries the scorer, and others wait for longer."""
        record = scorer.loss_records.get(fn.kind)
        if record is not None and record.losses >= health.EJECTION_LOSSES:
            record.ejection_ms = min(state.MAX_EJECTION_MS, 2 * record.ejection_ms)
            record.ejected_until_ms = self.now + record.ejection_ms

    handlers: dict[type, io.EventHandler] = {
        io.RosterChanged: _on_roster_changed,
        io.RosterConfirmed: roster_lease.RosterLease._on_roster_confirmed,
        io.RequestArrived: _on_request_arrived,
        io.RequestCancelled: _on_request_cancelled,
        io.AttemptEnded: _on_attempt_ended,
        io.LoadOrderAnswered: _on_load_order_answered,
        io.TimerDue: _on_timer_due,
        io.LimitsChanged: _on_limits_changed,
        io.ClassChanged: _on_class_changed,
        io.RemoteLoadReport: _on_remote_load_report,
        io.PrefetchRequested: loads.Loads._on_prefetch_requested,
        io.ShutdownStarted: _on_shutdown_started,
    }
