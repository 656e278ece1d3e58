"""Loading of copies: speculative loads, the load rate limit, copy refresh, prefetch and probes."""

import math

from fawnwharf import interface as io
from fawnwharf.policy.state import (
    PROBE_WAIT_MS,
    REFRESH_MS,
    Function,
    Request,
    RouterState,
    Samples,
    Scorer,
    ScorerCopies,
)

# The limit on this front end's loads in progress adapts to the store between these bounds.
INITIAL_LOADS = 8.0
MIN_LOADS = 2.0
MAX_LOADS = 24.0
# Longest time from a load order to its arrival at the scorer: it waits for a connection, then travels.
ORDER_TRANSIT_MS = 150.0
MAX_COPIES = 16  # highest number of copies that an order asks for
BLOCK_MS = 1_000.0  # after a failed or rejected load, the scorer gets no load of the function for this long
SLOW_LOAD_FACTOR = 2.5  # a load slower than usual by this factor shows that the store is overloaded
REFRESH_LIFETIMES = 3.0  # copies are refreshed for this many idle lifetimes after the last call
REFRESH_QUEUE_RATIO = 8  # copies are refreshed while at most one open request in this many is queued


class Loads(RouterState):
    """Decides when, where and how many copies this front end orders."""

    loading = 0  # load orders of this front end in progress
    load_limit = INITIAL_LOADS  # limit on `loading`; lower while the store is overloaded

    def _load_speculatively(self, fn: Function) -> None:
        """Order the copies that queued requests need: one per `lanes` requests, less those being loaded."""
        is_warm = self._is_warm(fn)
        waited_ms = self.now - min(request.queued_ms for request in fn.queue)
        # With many front ends, others may load a copy in the meantime.
        is_early = self.many_front_ends and waited_ms < self._run_time_ms(fn)
        may_wait = (
            is_early
            or len(self.recent_attempts) >= self.attempt_limit
            or not self._update_speculation(fn, waited_ms)
        )
        if self._awaits_probe(fn) or (is_warm and may_wait):
            return
        pending = sum(
            self._is_loading(fn, scorer) for scorer in self._known_scorers(fn) if self._is_usable(scorer, fn)
        )
        waiting = sum(self._deserves_load(request, is_warm) for request in fn.queue)
        for _ in range(math.ceil(waiting / fn.lanes) - pending):
            if not self._may_load():
                return
            scorer = self._scorer_for_load(fn, is_warm)
            if scorer is None:
                continue
            if not self._has_lease(scorer):  # if it drains unreported, a load order would disturb the drain
                self._query_state(fn, scorer)
                return
            self._load(fn, scorer, is_warm)

    def _deserves_load(self, request: Request, is_warm: bool) -> bool:
        """Whether a request counts towards a further copy; low-priority ones don't if a copy is loaded."""
        return not (is_warm and (request.over_quota or (self.many_front_ends and self._is_late(request))))

    def _scorer_for_load(self, fn: Function, is_warm: bool) -> Scorer | None:
        """The scorer for one more copy: the first without a copy and within its bound, else the first."""
        order = self._rotated_order(fn, fn.queue[0]) + self._ordered(fn)
        # The scorer of the first copy is chosen by hash order alone.
        order.sort(key=lambda scorer: is_warm and self._is_in_other_zone(scorer, fn))
        candidates = [
            scorer
            for scorer in order
            if self._may_load_at(fn, scorer, is_warm) and self._may_serve_any(fn.queue, scorer)
        ]
        if not candidates:
            return None
        for scorer in candidates:
            if not self._copies(fn, scorer) and scorer.in_flight < self._in_flight_bound(scorer, fn):
                return scorer
        return candidates[0]

    def _may_serve_any(self, queue: list[Request], scorer: Scorer) -> bool:
        """Whether one of these requests may be sent to a scorer by the rules of its class."""
        return any(self._may_run_at(request, scorer) for request in queue)

    def _load(self, fn: Function, scorer: Scorer, is_warm: bool) -> None:
        """Order one more copy at a scorer."""
        scorer_copies = self._copies_at(fn, scorer)
        scorer_copies.order_ms = self.now
        scorer_copies.speculative = is_warm
        scorer_copies.order_count = self._copies(fn, scorer) + 1
        self.loading += 1
        self.load_orders_ms.append(self.now)
        self._expect_answer(scorer)
        within_ms = self._lease_left_ms(scorer)
        self.actions.append(io.OrderCopies(scorer.id, fn.name, scorer_copies.order_count, within_ms))

    def _record_load_result(
        self, fn: Function, scorer_copies: ScorerCopies, event: io.LoadOrderAnswered, ordered_ms: float
    ) -> None:
        """Record the answer to a load order sent at `ordered_ms`, and adapt the limit on loads."""
        is_good = event.result is io.AttemptResult.GOOD
        took_ms = self.now - ordered_ms
        is_timely = (
            took_ms < SLOW_LOAD_FACTOR * (fn.reported_load_time_ms or self._load_time_ms(fn)) and is_good
        )
        scorer_copies.order_ms = None
        self.loading -= 1
        if is_good:
            fn.load_times.timed_values.append((self.now, took_ms))
        else:
            scorer_copies.blocked_until_ms = self.now + BLOCK_MS
        if event.result in (io.AttemptResult.GOOD, io.AttemptResult.ERROR):
            # Slow and failed loads lower the limit, to protect the store.
            change = 1 / self.load_limit if is_timely else -0.2 * self.load_limit
            self.load_limit = min(MAX_LOADS, max(MIN_LOADS, self.load_limit + change))

    def _update_speculation(self, fn: Function, waited_ms: float) -> bool:
        """Switch speculative loads off if Ti > Te and on if Td > Tp; returns whether they are on.

        Ti is the idle time of the last speculative copy, Te the run time, Td the wait in the queue and Tp the
        load time of the function (see the CIDRE paper).
        """
        if fn.speculates:
            unused = [
                self.now - scorer_copies.idle_since_ms
                for scorer_copies in fn.copies_by_scorer.values()
                if scorer_copies.idle_since_ms is not None
            ]
            # With many front ends, others use the copy too.
            is_switched = (
                max([fn.speculative_idle_ms, *unused])
                > self._run_time_ms(fn) * self.front_ends**self.many_front_ends
            )
        else:
            is_switched = max(waited_ms, fn.queue_waits.median(self.now) or 0.0) > self._load_time_ms(fn)
        if is_switched:
            fn.speculates = not fn.speculates
            fn.speculative_idle_ms = 0.0
            fn.queue_waits = Samples()
            for scorer_copies in fn.copies_by_scorer.values():
                scorer_copies.idle_since_ms = None
        return fn.speculates

    def _may_load(self) -> bool:
        """Whether a load may be ordered now, at any scorer."""
        is_allowed = self.loading < self.load_limit and self.settings.load_orders_allowed
        return is_allowed and self._load_rate_left() >= 1

    def _may_load_at(self, fn: Function, scorer: Scorer, is_warm: bool) -> bool:
        """Whether a load may be ordered at a scorer; if a copy is warm, only if it has capacity for calls."""
        scorer_copies = fn.copies_by_scorer.get(scorer.id)
        if scorer_copies is not None and self.now < scorer_copies.blocked_until_ms:
            return False
        if not self._is_usable(scorer, fn) or self._is_loading(fn, scorer):
            return False
        if self._copies(fn, scorer) >= MAX_COPIES:
            return False
        return not (
            is_warm
            and (scorer.in_flight >= scorer.in_flight_limit or not self._within_slow_start_limit(scorer))
        )

    def _is_loading(self, fn: Function, scorer: Scorer) -> bool:
        """Whether a load is in progress at a scorer, ordered here or reported by other front ends."""
        report = scorer.remote_load
        # Evaluated first in any case, because the call may recompute the cached median load time.
        is_reported = fn.name in report.loading and self._has_remote_load(scorer, self._load_time_ms(fn))
        scorer_copies = fn.copies_by_scorer.get(scorer.id)
        if scorer_copies is not None and scorer_copies.order_ms is not None:
            return True
        # More copies than at the time of the report mean that the reported load is complete.
        return is_reported and self._copies(fn, scorer) <= report.copies.get(fn.name, 0)

    def _load_rate_left(self) -> float:
        """Load orders that the rate limit still allows: a fixed number plus a part of the arrivals."""
        window_ms = self.settings.load_window_ms
        kept_from_ms = self.now - window_ms - self.settings.tick_ms - ORDER_TRANSIT_MS
        while self.load_orders_ms and self.load_orders_ms[0] < kept_from_ms:
            self.load_orders_ms.popleft()
        limit = self.settings.free_loads + self.settings.loads_per_arrival * len(self.arrivals_ms)
        return limit - len(self.load_orders_ms) if window_ms > 0 else math.inf

    def _refresh_copies(self) -> None:
        """Refresh one copy of each recently called function before it expires.

        This costs capacity, so it stops while requests queue up. With many front ends it is not needed, as
        calls of the other front ends refresh the copies.
        """
        waiting = sum(len(fn.queue) for fn in self.functions.values())
        is_calm = REFRESH_QUEUE_RATIO * waiting <= len(self.requests) and not self.many_front_ends
        if not (is_calm and self._may_load()):
            return
        for fn in self.functions.values():
            seen = [
                (scorer_copies.seen_ms, number)
                for number, scorer_copies in fn.copies_by_scorer.items()
                if self._copies(fn, self.scorers[number])
            ]
            refreshed_until_ms = (
                max(fn.last_arrivals_ms, default=-math.inf)
                + REFRESH_LIFETIMES * self.settings.idle_lifetime_ms
            )
            # Half of the load rate limit is reserved for loads.
            if seen and refreshed_until_ms > self.now and self._load_rate_left() > len(self.load_orders_ms):
                self._ensure_copies(fn, self.scorers[max(seen)[1]], 1)

    def _ensure_copies(self, fn: Function, scorer: Scorer, copies: int) -> None:
        """Bring a scorer to `copies` copies: order one more, or refresh those that are about to expire."""
        if scorer not in self._ordered(fn) or not self._may_load_at(fn, scorer, is_warm=True):
            return
        if not self._has_lease(scorer):
            return
        if self._copies(fn, scorer) < copies:
            self._load(fn, scorer, is_warm=False)
            return
        expires_ms = fn.copies_by_scorer[scorer.id].seen_ms + self.settings.idle_lifetime_ms
        if expires_ms < self.now + 2 * REFRESH_MS:
            self.load_orders_ms.append(self.now)
            self._probe(fn, scorer, copies)

    def _on_prefetch_requested(self, event: io.PrefetchRequested) -> None:
        """Prefetch copies if the load rate limit leaves an order for each queued request besides."""
        scorer = self.scorers.get(event.scorer)
        waiting = sum(len(fn.queue) for fn in self.functions.values())
        if scorer and event.copies > 0 and self._may_load() and self._load_rate_left() >= waiting + 1:
            fn = self._function(event)
            fn.last_needed_ms = self.now
            self._ensure_copies(fn, scorer, event.copies)

    def _probe(self, fn: Function, scorer: Scorer, copies: int = 0) -> None:
        """Probe a scorer for its number of copies; with `copies` above 0, that many are refreshed as well."""
        scorer_copies = self._copies_at(fn, scorer)
        scorer_copies.open_probes += 1
        scorer_copies.probe_sent_ms = self.now
        fn.last_probe_ms = self.now
        self._expect_answer(scorer)
        within_ms = self._lease_left_ms(scorer) if copies else math.inf
        self.actions.append(io.OrderCopies(scorer.id, fn.name, copies, within_ms))

    def _awaits_probe(self, fn: Function) -> bool:
        """Whether a probe was sent in the last `PROBE_WAIT_MS` and some probe is unanswered."""
        is_recent = self.now - fn.last_probe_ms < PROBE_WAIT_MS
        return is_recent and any(scorer_copies.open_probes for scorer_copies in fn.copies_by_scorer.values())
