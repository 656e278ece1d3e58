"""The Router: takes events, joins the parts, and is the only one that sends."""

import math

from fawnwharf import interface as io
from fawnwharf.policy import admission, health, loads, routing, state
from fawnwharf.policy.state import Attempt, Function, Request, Scorer, mark, mix

MAX_FUNCTIONS, FORGET_MS = 2_000, 60_000.0  # kept in mind; forgotten if not called, or gone, for so long
ENDS = 1  # token of a timer for one request's end; the sweep's is 0
RUN_GAIN, ROOM_SPREAD = 0.02, 1.5  # weight of an uncrowded run; room in limits, in square roots of means


class Router(health.Health, loads.Loads, routing.Routing, admission.Admission):
    def handle(self, now_ms: float, events: list[io.Event]) -> list[io.Action]:
        """Take the events of one moment; the actions take effect at that moment. Clients that left are heard
        first, as nothing may be sent or ordered for them any more; the rest goes in order."""
        self.now, self.began_ms, self.actions = now_ms, min(self.began_ms, now_ms), []
        while self.arrivals_ms and self.arrivals_ms[0] <= now_ms - self.stretch_ms:
            self.arrivals_ms.popleft()
        left = {event.request for event in events if isinstance(event, io.RequestCancelled)}
        for event in events if left else ():
            if isinstance(event, io.RequestCancelled):
                self._on_cancelled(event)
        for event in events:
            if not (isinstance(event, io.RequestArrived | io.RequestCancelled) and event.request in left):
                self.handlers[type(event)](self, event)
        if not self.sweeping and (self.requests or self.attempts):
            self.sweeping = True
            self.actions.append(io.SetTimer(state.SWEEP_MS, 0))
        return self.actions

    def _on_roster(self, event: io.RosterChanged) -> None:
        if event.complete:
            for missing in self.scorers.keys() - {entry.scorer for entry in event.entries}:
                self.scorers[missing].entry.state = io.ScorerState.GONE
        for entry in event.entries:
            new = Scorer(entry.scorer, entry, mark(str(entry.scorer)))
            worker = self.scorers.setdefault(entry.scorer, new)
            worker.entry, worker.gone_ms = entry, None
            if entry.up_since_ms is not None and entry.up_since_ms > worker.started_ms:
                self._begin_slow_start(worker, entry.up_since_ms, since_ms=entry.up_since_ms)
        self.ready = [worker for worker in self.scorers.values() if worker.takes_new()]
        self.suspects = sum(worker.suspect_ms is not None for worker in self.ready)
        self._refresh()
        self._dispatch_all()

    def _on_request(self, event: io.RequestArrived) -> None:
        self.arrivals_ms.append(self.now)
        fn, spec = self._function(event), self.classes.get(event.class_name) or io.ClassSpec(event.class_name)
        fn.site, fn.order_members = event.site, fn.order_members if event.site == fn.site else None
        self.seed, draw = self.seed + 1, mix(mix(self.seed))
        leaves_ms = self.now + event.budget_ms  # the client does
        deadline = min(leaves_ms, self.answer_by_ms)
        later = (
            event.budget_ms < admission.MIN_ATTEMPT_PART * spec.deadline_ms
        )  # the first try took its share
        aim = (leaves_ms - spec.deadline_ms if later else self.now) + spec.latency_target_ms
        over = later or self._over_share(event.tenant)
        short = spec.deadline_ms <= state.SHORT_MS
        lead_ms = min(state.LEAD_MS, event.budget_ms / 4) if short else state.SWEEP_MS + state.LEAD_MS
        ends_ms = deadline - lead_ms
        request = Request(event.request, fn, spec, self.now, deadline, over, self.now, draw, aim, ends_ms)
        self._update_spread(fn)
        self.hedge_tokens = min(state.MAX_HEDGE_TOKENS, self.hedge_tokens + state.HEDGE_TOKENS_PER_REQUEST)
        self.requests[request.id] = request
        fn.queue.append(request)
        if self._over_share(io.ALL) or self.now >= ends_ms:
            self._finish(request)  # the next sweep may be too late: a client's last try has little time
        elif not self.is_wide and not self._is_warm(fn):
            for worker in self._ordered(fn)[: state.PROBED_SCORERS]:
                self._probe_place(fn, worker)
        if short and request.id in self.requests:
            self.actions.append(io.SetTimer(ends_ms - self.now, ENDS))
        self._send_queued(fn)
        if request in fn.queue and self._is_hopeless(request):
            self._finish(request)  # the next sweep is past half its time
        self._dispatch(fn)

    def _function(self, event: io.RequestArrived | io.PrefetchRequested) -> Function:  # known, or made of it
        if len(self.functions) >= MAX_FUNCTIONS and event.function not in self.functions:
            self._forget()
        name, kind, lanes = event.function, event.class_name, max(1, event.lanes)
        return self.functions.setdefault(name, Function(name, kind, lanes, event.load_ms, mark(name)))

    def _on_cancelled(self, event: io.RequestCancelled) -> None:
        if request := self.requests.get(event.request):
            self._close(request)

    def _on_shutdown(self, event: io.ShutdownStarted) -> None:
        self.answer_by_ms = min(self.answer_by_ms, self.now + event.within_ms)
        for request in self.requests.values():
            request.deadline_ms = min(request.deadline_ms, self.answer_by_ms)
            request.ends_ms = min(request.ends_ms, self.answer_by_ms - state.SWEEP_MS - state.LEAD_MS)

    def _on_limits(self, event: io.LimitsChanged) -> None:  # one more share, of all calls, or another one
        self.settings.quotas_rps[event.tenant] = event.calls_rps * self.front_ends
        if event.tenant == io.ALL:  # no burst at first
            self.quota_tokens[io.ALL] = (event.calls_rps / 10, self.now)

    def _on_class(self, event: io.ClassChanged) -> None:  # a call keeps what it came with
        self.classes = {**self.classes, event.spec.name: event.spec}
        self.latency_target_ms = min(spec.latency_target_ms for spec in self.classes.values())

    def _on_remote_load(self, event: io.RemoteLoadReport) -> None:  # for functions not known yet see _ordered
        if worker := self.scorers.get(event.scorer):
            worker.remote_load, worker.remote_load_ms = event, self.now - max(0.0, event.age_ms)
            for fn in filter(None, map(self.functions.get, [*event.copies, *event.loading])):
                self._apply_remote_load(fn, [worker])
            self._dispatch_all(worker)

    def _apply_remote_load(self, fn: Function, workers: list[Scorer]) -> None:  # as an answer of that time
        for worker in [
            w for w in workers if fn.name in w.remote_load.copies or fn.name in w.remote_load.loading
        ]:
            instance, copies = self._copies_at(fn, worker), worker.remote_load.copies.get(fn.name, 0)
            if copies > 0 and worker.remote_load_ms > instance.seen_ms:
                instance.copies, instance.seen_ms = (
                    max(copies, self._copies(fn, worker)),
                    worker.remote_load_ms,
                )

    def _on_attempt(self, event: io.AttemptEnded) -> None:
        if (attempt := self.attempts.pop((event.request, event.attempt), None)) is None:
            return
        self.recent_attempts.discard(attempt)
        fn, worker, te = attempt.function, self.scorers[attempt.scorer], self._run_time_ms(attempt.function)
        instance = fn.copies_by_scorer[worker.id]
        attempt.open, instance.in_flight, worker.in_flight = (
            False,
            instance.in_flight - 1,
            worker.in_flight - 1,
        )
        attempt.may_have_run, slow = (
            event.result not in io.NEVER_RAN,
            event.took_ms > health.OUTLIER_SLOWDOWN * te,
        )
        if event.result in (
            io.AttemptResult.GOOD,
            io.AttemptResult.ERROR,
            io.AttemptResult.FULL,
            io.AttemptResult.MISS,
        ):
            self._mark_alive(worker)
        if event.result is io.AttemptResult.GOOD:
            instance.copies, instance.seen_ms = max(1, instance.copies), self.now
            if event.warmth in (io.Warmth.UNTOLD, io.Warmth.FOUND):
                fn.runs.timed.append((self.now, event.took_ms))
                self.runs.timed.append((self.now, event.took_ms))
                self.run_ms += RUN_GAIN * (event.took_ms - self.run_ms) * attempt.alone
                self._record_slowdown(worker, event.took_ms / te)
            if lapse := worker.loss_records.get(fn.kind):
                lapse.losses = lapse.losses - 1 if attempt.lost else lapse.losses * health.LOSS_KEPT
                if lapse.losses < 1:
                    del worker.loss_records[fn.kind]
        elif event.result in (io.AttemptResult.CANCELLED, io.AttemptResult.TIMEOUT) and slow:
            self._record_slowdown(
                worker, event.took_ms / te
            )  # it may be the slow ones that never get to answer
        elif event.result is io.AttemptResult.MISS or event.warmth is io.Warmth.LOAD_FAILED:
            instance.copies, instance.seen_ms = 0, self.now
        elif event.result is io.AttemptResult.ERROR and fn.runs.timed:  # else the call itself may be at fault
            self._record_loss(worker, fn)
        elif event.result is io.AttemptResult.FULL:
            instance.blocked_ms = self.now + te
            self._record_slowdown(worker, 3 * health.OUTLIER_SLOWDOWN)
        self._note_failed_connection(worker, event.result)
        if event.reported_concurrency is not None and event.result in (
            io.AttemptResult.GOOD,
            io.AttemptResult.FULL,
        ):
            fn.reported_concurrency += health.ANSWER_GAIN * (
                event.reported_concurrency * attempt.among - fn.reported_concurrency
            )
        request = self.requests.get(event.request)
        if request is not None and event.closed:
            self.hedge_tokens += (
                attempt is not request.attempts[0] and request.attempts[0].open
            )  # worth its token
            self._close(request)
        elif request is not None and request not in fn.queue:
            self._requeue(request)
        self._dispatch_all(worker)
        self._dispatch(fn)

    def _on_order(self, event: io.LoadOrderAnswered) -> None:
        fn, worker = self.functions.get(event.function), self.scorers.get(event.scorer)
        if fn is None or worker is None:
            return
        instance = self._copies_at(fn, worker)
        short = event.result is io.AttemptResult.GOOD and event.copies < instance.order_count
        is_load = instance.order_ms is not None and not (instance.open_probes and short)
        if event.result in (io.AttemptResult.GOOD, io.AttemptResult.FULL, io.AttemptResult.ERROR):
            if worker.suspect_ms is not None and instance.copies and not event.copies:
                self._begin_slow_start(worker, self.now, since_ms=-math.inf)  # a restart that is not told
            self._mark_alive(worker, health.SUSPECT_PROBE_MS)  # a sign lasts for longer than a run
            if is_load and instance.speculative and event.result is io.AttemptResult.GOOD:
                instance.unused_ms, instance.lanes_before = self.now, instance.copies * fn.lanes
            instance.copies, instance.counted_ms, instance.seen_ms = event.copies, self.now, self.now
        self._note_failed_connection(worker, event.result)
        if is_load:
            self._load_answered(fn, instance, event)
        else:
            instance.open_probes = max(0, instance.open_probes - 1)
        self._dispatch(fn)

    def _on_timer(self, event: io.TimerDue) -> None:
        if event.token == ENDS:  # of one request with little time; the sweep goes on by its own
            for request in [held for held in self.requests.values() if self.now >= held.ends_ms]:
                self._finish(request)
            return
        self.sweeping = False
        for request in list(self.requests.values()):
            if self._is_hopeless(request) or self.now >= request.ends_ms:
                self._finish(request)
            elif self.is_wide and self.hedge_tokens >= 1 and request not in request.function.queue:
                self._hedge(request, request.attempts[-1])
        self._mark_lost_attempts()
        self.recent_attempts = {
            a for a in self.recent_attempts if self.now - a.sent_ms <= self.latency_target_ms
        }  # the rest is lost
        for worker in list(self.watched.values()):
            self._watch_scorer(worker)
        if self.now - self.refreshed_ms >= state.REFRESH_MS:
            self._refresh()
        if len(self.recent_attempts) < self.limit:
            self._dispatch_all()

    def _dispatch_all(self, there: Scorer | None = None) -> None:  # most urgent first
        self.waiting = {fn for fn in self.waiting if fn.queue}
        held = [fn for fn in self.waiting if there is None or there.id in fn.copies_by_scorer]
        for fn in sorted(held, key=lambda fn: min(map(self._urgency, fn.queue))):
            self._dispatch(fn)

    def _dispatch(self, fn: Function) -> None:
        self._send_queued(fn)
        if fn.queue:
            self.waiting.add(fn)
            self._load_speculatively(fn)

    def _send_queued(self, fn: Function) -> None:  # the only place that sends
        fn.queue.sort(key=self._urgency)
        for request in list(fn.queue):
            if (worker := self._choose_scorer(fn, request)) is not None:
                self._send(request, worker)
            elif request.first_run() is None:
                break

    def _send(self, request: Request, worker: Scorer) -> None:
        fn, instance = request.function, self._copies_at(request.function, worker)
        among = max(1, sum(w.id in fn.copies_by_scorer for w in fn.order[: fn.spread]))
        here, within_ms = worker.entry, self._window_left(request)
        attempt = Attempt(
            request.id, worker.id, fn, self.now, worker.in_flight < 2, among, here.zone, here.cell
        )
        self.attempts[request.id, len(request.attempts)] = attempt
        self.recent_attempts.add(attempt)
        request.attempts.append(attempt)
        fn.queue.remove(request)
        fn.waits.timed.extend([(self.now, self.now - request.held_ms)] * (self.now > request.held_ms))
        instance.in_flight, worker.in_flight, instance.seen_ms = (
            instance.in_flight + 1,
            worker.in_flight + 1,
            self.now,
        )
        self._count_send(worker)
        self._expect_answer(worker)
        if (lapse := worker.loss_records.get(fn.kind)) and lapse.losses >= health.EJECTION_LOSSES:
            lapse.ejection_ms = min(state.MAX_EJECTION_MS, 2 * lapse.ejection_ms)  # this one tries it
            lapse.ejected_until_ms = self.now + lapse.ejection_ms
        if instance.unused_ms is not None and instance.in_flight > instance.lanes_before:
            fn.idle_ms, instance.unused_ms = self.now - instance.unused_ms, None
        self.actions.append(io.Send(request.id, worker.id, within_ms))

    def _refresh(self) -> None:
        """Limits: the rate sold times an uncrowded run is what the fleet works on at once (Little's law)."""
        sizes = {worker.id: self._units(worker) for worker in self.ready}
        self.members = self.members if sizes == self.members else sizes
        self._refresh_copies()
        if self.now - self.forgot_ms >= FORGET_MS / 4:
            self._forget()
        self.total = sum(self._size(worker) for worker in self.ready) or 1.0
        self._note_total()
        self.largest_fleet = max(self.largest_fleet, sum(sizes.values()))
        draining = [w for w in self.scorers.values() if w.entry.state is io.ScorerState.DRAINING]
        self.largest_listed = max(
            self.largest_listed, self.largest_fleet, sum(sizes.values()) + sum(map(self._units, draining))
        )
        self.refreshed_ms, peers, sold, most = self.now, self.front_ends, self.sold_rate, 0.0
        for worker in self.ready:
            mean = sold * self.run_ms * self._size(worker) / self.largest_fleet  # of all front ends
            most, own = most + self._room(mean), self._room(mean / peers)
            worker.limit = max(2.0 if self.is_wide else 1.0, own) if sold > 0 else math.inf
        self.max_in_flight = most / max(1, len(self.ready)) if sold > 0 else 2 * routing.BOUND_FLOOR
        self.is_wide = wide = self.max_in_flight < peers
        usual = sorted(self._slowdown_of(worker) for worker in self.ready)[len(self.ready) // 2 :]
        self.max_slowdown = health.OUTLIER_SLOWDOWN * usual[0] if self.is_wide and usual else math.inf
        self.silent_ms = health.LOST_RUNS * (self.runs.median(self.now) or 200.0) if wide else state.SILENT_MS
        through = (
            sold * self.latency_target_ms * state.MAX_LATE_PART / peers or math.inf
        )  # beyond, all would be late
        self.limit = self._room(through) if self.is_wide else math.inf

    def _units(self, worker: Scorer) -> float:  # as told, where that tells its size
        return max(worker.entry.units, 0.01) if self.settings.weights_fixed else 1.0

    def _room(self, mean: float) -> float:  # for chance
        return mean + ROOM_SPREAD * math.sqrt(mean)

    def _forget(self) -> None:
        """Guards the memory: what is long past goes, and of too many functions those longest not called."""
        self.forgot_ms, past = self.now, self.now - FORGET_MS
        used = {worker.last_function for worker in self.scorers.values()}
        half = MAX_FUNCTIONS // 2 * (len(self.functions) >= MAX_FUNCTIONS)
        for n, fn in enumerate(sorted(self.functions.values(), key=lambda fn: fn.needed_ms)):
            busy = any(
                i.in_flight or i.open_probes or i.order_ms is not None for i in fn.copies_by_scorer.values()
            )
            if not (busy or fn.queue or fn in used) and (n < half or fn.needed_ms < past):
                del self.functions[fn.name]
        for worker in [w for w in self.scorers.values() if w.entry.state is io.ScorerState.GONE]:
            worker.gone_ms = worker.gone_ms or self.now
            if worker.gone_ms < past and not worker.in_flight:
                for held in (
                    self.scorers,
                    self.watched,
                    *(fn.copies_by_scorer for fn in self.functions.values()),
                ):
                    held.pop(worker.id, None)

    handlers = {
        io.RosterChanged: _on_roster,
        io.RequestArrived: _on_request,
        io.RequestCancelled: _on_cancelled,
        io.AttemptEnded: _on_attempt,
        io.LoadOrderAnswered: _on_order,
        io.TimerDue: _on_timer,
        io.LimitsChanged: _on_limits,
        io.ClassChanged: _on_class,
        io.RemoteLoadReport: _on_remote_load,
        io.PrefetchRequested: loads.Loads._on_prefetch,
        io.ShutdownStarted: _on_shutdown,
    }
