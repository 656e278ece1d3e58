"""The router: handles events, combines the parts of the decisions, and is the only part that sends calls."""

import math

from fawnwharf import interface as io
from fawnwharf.policy import admission, health, loads, roster_lease, routing, state
from fawnwharf.policy.state import Attempt, Function, Request, Scorer, mix_bits, name_hash

SWEEP_TOKEN = 0  # token of the timer of the periodic sweep
REQUEST_END_TOKEN = 1  # token of a timer for the final answer of one request
RUN_GAIN = 0.02  # weight of the newest run time in the smoothed run time
# Results that show that the scorer is alive.
PROVES_ALIVE = (io.AttemptResult.GOOD, io.AttemptResult.ERROR, io.AttemptResult.FULL, io.AttemptResult.MISS)
# Results of attempts whose answers may report the concurrency.
REPORTS_CONCURRENCY = (io.AttemptResult.GOOD, io.AttemptResult.FULL)
# Results of attempts that this front end ended.
ENDED_BY_FRONT_END = (io.AttemptResult.CANCELLED, io.AttemptResult.TIMEOUT)
# Results of load orders and probes whose answers report the number of copies.
REPORTS_COPIES = (io.AttemptResult.GOOD, io.AttemptResult.FULL, io.AttemptResult.ERROR)


class Router(health.Health, loads.Loads, routing.Routing, admission.Admission, roster_lease.RosterLease):
    """The decisions of one front end: events in, actions out."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        super().__init__(settings, seed)
        self.lease_counters = roster_lease.LeaseCounters()

    def handle(self, now_ms: float, events: list[io.Event]) -> list[io.Action]:
        """Handle the events of one moment and return the actions, to be carried out in order at that moment.

        Cancellations are handled first, so that nothing is sent or ordered for a cancelled request. The other
        events are handled in order.
        """
        self.now = now_ms
        self.first_event_ms = min(self.first_event_ms, now_ms)
        self.actions = []
        while self.arrivals_ms and self.arrivals_ms[0] <= now_ms - self.arrival_window_ms:
            self.arrivals_ms.popleft()
        cancelled = {event.request for event in events if isinstance(event, io.RequestCancelled)}
        if cancelled:
            self._cancel_first(events)
        for event in events:
            if not (cancelled and self._is_cancelled(event, cancelled)):
                self.handlers[type(event)](self, event)
        if not self.sweep_timer_set and (self.requests or self.attempts):
            self.sweep_timer_set = True
            self.actions.append(io.SetTimer(state.SWEEP_MS, SWEEP_TOKEN))
        return self.actions

    def _is_cancelled(self, event: io.Event, cancelled: set[str]) -> bool:
        """Whether an event is the arrival or the cancellation of one of the cancelled requests."""
        return isinstance(event, io.RequestArrived | io.RequestCancelled) and event.request in cancelled

    def _cancel_first(self, events: list[io.Event]) -> None:
        """Handle the cancellations among the events."""
        for event in events:
            if isinstance(event, io.RequestCancelled):
                self._on_request_cancelled(event)

    def _on_roster_changed(self, event: io.RosterChanged) -> None:
        """Apply the list of scorers, or a change of it."""
        if event.complete:
            for missing in self.scorers.keys() - {entry.scorer for entry in event.entries}:
                self.scorers[missing].entry.state = io.ScorerState.GONE
        for entry in event.entries:
            scorer = self.scorers.get(entry.scorer)
            if scorer is None:
                scorer = Scorer(entry.scorer, entry, name_hash(str(entry.scorer)))
                self.scorers[entry.scorer] = scorer
            scorer.entry = entry
            scorer.gone_ms = None
            if entry.up_since_ms is not None and entry.up_since_ms > scorer.started_ms:
                self._begin_slow_start(scorer, entry.up_since_ms, since_ms=entry.up_since_ms)
        self.ready = [scorer for scorer in self.scorers.values() if scorer.takes_new()]
        self.suspect_count = sum(scorer.suspect_since_ms is not None for scorer in self.ready)
        self._refresh()
        self._dispatch_all()

    def _on_request_arrived(self, event: io.RequestArrived) -> None:
        """Queue a request and send it if a scorer has a free lane, or give it its final answer at once."""
        self.arrivals_ms.append(self.now)
        request = self._new_request(event)
        fn = request.function
        self._update_spread(fn)
        self.hedge_tokens = min(state.MAX_HEDGE_TOKENS, self.hedge_tokens + state.HEDGE_TOKENS_PER_REQUEST)
        self.requests[request.id] = request
        fn.queue.append(request)
        if self._is_over_quota(io.ALL) or self.now >= request.answer_due_ms:
            # The next sweep may be too late, as a client's last retry has little time left.
            self._finish(request)
        elif not self.many_front_ends and not self._is_warm(fn):
            for scorer in self._ordered(fn)[: state.MAX_PROBED_SCORERS]:
                self._probe_for_copy(fn, scorer)
        if request.spec.deadline_ms <= state.OWN_TIMER_DEADLINE_MS and request.id in self.requests:
            self.actions.append(io.SetTimer(request.answer_due_ms - self.now, REQUEST_END_TOKEN))
        self._send_queued(fn)
        if request in fn.queue and self._should_give_up(request):
            # The next sweep would come after half of its time.
            self._finish(request)
        self._dispatch(fn)

    def _new_request(self, event: io.RequestArrived) -> Request:
        """Create a request, with the times that its class implies; takes a token of the tenant's quota."""
        fn = self._function(event)
        spec = self.classes.get(event.class_name) or io.ClassSpec(event.class_name)
        if event.site != fn.session_zone:
            fn.session_zone = event.site
            fn.hash_order_sizes = None
        random_bits = mix_bits(mix_bits(self.seed))
        self.seed += 1
        client_leaves_ms = self.now + event.budget_ms
        deadline_ms = min(client_leaves_ms, self.shutdown_deadline_ms)
        # A client's retry has little time left: its first try began one deadline before the client leaves.
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
        """Drop a request whose client has left."""
        request = self.requests.get(event.request)
        if request is not None:
            self._close(request)

    def _on_shutdown_started(self, event: io.ShutdownStarted) -> None:
        """Bring the deadlines of all requests forward, of open ones and of those still to arrive."""
        self.shutdown_deadline_ms = min(self.shutdown_deadline_ms, self.now + event.within_ms)
        for request in self.requests.values():
            request.deadline_ms = min(request.deadline_ms, self.shutdown_deadline_ms)
            request.answer_due_ms = min(
                request.answer_due_ms, self.shutdown_deadline_ms - state.SWEEP_MS - state.ANSWER_LEAD_MS
            )

    def _on_limits_changed(self, event: io.LimitsChanged) -> None:
        """Apply a limit as a quota, of one tenant or of all tenants together."""
        self.settings.quotas_rps[event.tenant] = event.calls_rps * self.front_ends
        if event.tenant == io.ALL:
            # Only the tokens of a tenth of a second, so that the limit does not start with a burst.
            self.quota_tokens[io.ALL] = (event.calls_rps / 10, self.now)

    def _on_class_changed(self, event: io.ClassChanged) -> None:
        """Apply the rules of a class to requests that arrive from now on; open ones keep their rules."""
        self.classes = {**self.classes, event.spec.name: event.spec}
        self.latency_target_ms = min(spec.latency_target_ms for spec in self.classes.values())

    def _on_remote_load_report(self, event: io.RemoteLoadReport) -> None:
        """Apply a report of other front ends; unknown functions read it when their hash order is computed."""
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
        """Handle the end of an attempt: update the scorer's state, then retry or close the request."""
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt is None:
            return
        self.recent_attempts.discard(attempt)
        fn = attempt.function
        scorer = self.scorers[attempt.scorer]
        # Read before this run is recorded, as the run is compared with the earlier ones.
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
            # The token is returned if a hedged request was answered before the first attempt.
            self.hedge_tokens += attempt is not request.attempts[0] and request.attempts[0].open
            self._close(request)
        elif request is not None and request not in fn.queue:
            self._requeue(request)
        self._dispatch_all(scorer)
        self._dispatch(fn)

    def _record_result(self, event: io.AttemptEnded, attempt: Attempt, scorer: Scorer, run_ms: float) -> None:
        """Update a scorer and its copies by the result of an attempt; `run_ms` is the usual run time."""
        fn = attempt.function
        scorer_copies = fn.copies_by_scorer[scorer.id]
        result = event.result
        if result is io.AttemptResult.GOOD:
            self._confirm_in_service(scorer, attempt.sent_ms)
            scorer_copies.copies = max(1, scorer_copies.copies)
            scorer_copies.seen_ms = self.now
            self._record_answer(event, attempt, scorer, run_ms)
        elif result in ENDED_BY_FRONT_END and event.took_ms > health.OUTLIER_SLOWDOWN * run_ms:
            # A slow scorer may never get to answer, so its aborted attempts count as well.
            self._record_slowdown(scorer, event.took_ms / run_ms)
        elif result is io.AttemptResult.MISS or event.warmth is io.Warmth.LOAD_FAILED:
            scorer_copies.copies = 0
            scorer_copies.seen_ms = self.now
        elif result is io.AttemptResult.ERROR and fn.run_times.timed_values:
            # If the function has no recorded run, the call itself may be the cause of the error.
            self._record_loss(scorer, fn)
        elif result is io.AttemptResult.FULL:
            self._note_rejection(scorer, attempt.sent_ms)
            scorer_copies.blocked_until_ms = self.now + run_ms
            self._record_slowdown(scorer, 3 * health.OUTLIER_SLOWDOWN)

    def _record_answer(self, event: io.AttemptEnded, attempt: Attempt, scorer: Scorer, run_ms: float) -> None:
        """Record the run time of a good answer, and reduce the losses of its scorer."""
        fn = attempt.function
        if event.warmth in (io.Warmth.NOT_REPORTED, io.Warmth.FOUND):
            fn.run_times.timed_values.append((self.now, event.took_ms))
            self.run_times.timed_values.append((self.now, event.took_ms))
            self.run_ms += RUN_GAIN * (event.took_ms - self.run_ms) * attempt.is_uncrowded
            self._record_slowdown(scorer, event.took_ms / run_ms)
        record = scorer.loss_records.get(fn.class_name)
        if record is not None:
            record.losses = record.losses - 1 if attempt.lost else record.losses * health.LOSS_RETENTION
            if record.losses < 1:
                del scorer.loss_records[fn.class_name]

    def _on_load_order_answered(self, event: io.LoadOrderAnswered) -> None:
        """Handle the end of a load order or a probe."""
        fn = self.functions.get(event.function)
        scorer = self.scorers.get(event.scorer)
        if fn is None or scorer is None:
            return
        scorer_copies = self._copies_at(fn, scorer)
        is_short = event.result is io.AttemptResult.GOOD and event.copies < scorer_copies.order_count
        # If an order and a probe are in progress, an answer with too few copies belongs to the probe.
        ordered_ms = None if scorer_copies.open_probes and is_short else scorer_copies.order_ms
        is_renewed = self._update_lease(event, scorer, is_query=ordered_ms is None)
        if event.result in REPORTS_COPIES:
            if scorer.suspect_since_ms is not None and scorer_copies.copies and not event.copies:
                # The copies are gone: the scorer restarted, which was not reported.
                self._begin_slow_start(scorer, self.now, since_ms=-math.inf)
            # After the answer to a probe the scorer is trusted for longer than after that to a call.
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
        if is_renewed:  # other functions may be waiting for the same scorer
            self._dispatch_all()
        else:
            self._dispatch(fn)

    def _update_lease(self, event: io.LoadOrderAnswered, scorer: Scorer, is_query: bool) -> bool:
        """Update a scorer's lease by an answer; returns whether this renewed an expired lease."""
        sent_ms = self.now - event.took_ms
        if event.result is io.AttemptResult.GOOD:
            return self._confirm_in_service(scorer, sent_ms)
        if event.result is io.AttemptResult.FULL and is_query:
            self._note_rejected_query(scorer, sent_ms)
        elif event.result is io.AttemptResult.FULL:
            self._note_rejection(scorer, sent_ms)
        return False

    def _on_timer_due(self, event: io.TimerDue) -> None:
        """Handle a timer: either the final answers of some requests are due, or the periodic sweep."""
        if event.token == REQUEST_END_TOKEN:
            for request in [due for due in self.requests.values() if self.now >= due.answer_due_ms]:
                self._finish(request)
            return
        self.sweep_timer_set = False
        self._sweep_requests()
        self._mark_lost_attempts()
        # Older attempts no longer count towards the limit, as they are probably lost.
        self.recent_attempts = {
            attempt
            for attempt in self.recent_attempts
            if self.now - attempt.sent_ms <= self.latency_target_ms
        }
        for scorer in list(self.watched.values()):
            self._watch_scorer(scorer)
        if self.now - self.refreshed_ms >= state.REFRESH_MS:
            self._refresh()
        if len(self.recent_attempts) < self.attempt_limit:
            self._dispatch_all()

    def _sweep_requests(self) -> None:
        """Answer the requests that are due or to be given up, and hedge others while tokens are left."""
        for request in list(self.requests.values()):
            if self._should_give_up(request) or self.now >= request.answer_due_ms:
                self._finish(request)
            elif self.many_front_ends and self.hedge_tokens >= 1 and request not in request.function.queue:
                self._hedge(request, request.attempts[-1])

    def _dispatch_all(self, scorer: Scorer | None = None) -> None:
        """Dispatch all queues, or those of functions known at a scorer; the most urgent request first."""
        self.waiting = {fn for fn in self.waiting if fn.queue}
        waiting = [fn for fn in self.waiting if scorer is None or scorer.id in fn.copies_by_scorer]
        for fn in sorted(waiting, key=lambda fn: min(map(self._urgency, fn.queue))):
            self._dispatch(fn)

    def _dispatch(self, fn: Function) -> None:
        """Send the queued requests of a function that can be sent, and order loads for the rest."""
        self._send_queued(fn)
        if fn.queue:
            self.waiting.add(fn)
            self._load_speculatively(fn)

    def _send_queued(self, fn: Function) -> None:
        """Send the queued requests of a function that can be sent; requests are sent only from here."""
        fn.queue.sort(key=self._urgency)
        for request in list(fn.queue):
            scorer = self._choose_scorer(fn, request)
            if scorer is not None:
                self._send(request, scorer)
            elif request.first_possible_run() is None:
                # It may run at any scorer and still can't be sent, so the less urgent ones can't either.
                break

    def _send(self, request: Request, scorer: Scorer) -> None:
        """Send a request to a scorer, as its next attempt."""
        fn = request.function
        scorer_copies = self._copies_at(fn, scorer)
        # Computed before the attempt is added, because the new attempt counts as one that may have run.
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
            fn.queue_waits.timed_values.append((self.now, self.now - request.queued_ms))
        scorer_copies.in_flight += 1
        scorer.in_flight += 1
        scorer_copies.seen_ms = self.now
        self._count_send(scorer)
        self._expect_answer(scorer)
        self._record_trial(fn, scorer)
        if (
            scorer_copies.idle_since_ms is not None
            and scorer_copies.in_flight > scorer_copies.lanes_without_it
        ):
            # First use of a speculative copy.
            fn.speculative_idle_ms = self.now - scorer_copies.idle_since_ms
            scorer_copies.idle_since_ms = None
        self.actions.append(io.Send(request.id, scorer.id, within_ms))

    def _record_trial(self, fn: Function, scorer: Scorer) -> None:
        """Record a send that tries a scorer after its ejection; the next ejection lasts twice as long."""
        record = scorer.loss_records.get(fn.class_name)
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
