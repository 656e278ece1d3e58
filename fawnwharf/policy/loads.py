"""Loads of copies: the race, its switch, the ration of load orders, renewal, copies wanted, questions."""

import math

from fawnwharf import interface as io
from fawnwharf.policy.state import (
    PROBE_WAIT_MS,
    REFRESH_MS,
    Function,
    Known,
    Request,
    Samples,
    Scorer,
    ScorerCopies,
)

INITIAL_LOADS, MIN_LOADS, MAX_LOADS = 8.0, 2.0, 24.0  # own loads under way: at the start, and at all times
ORDER_TRANSIT_MS = 150.0  # an order counts at the scorer that much later at the most: its wait, and the way
MAX_COPIES = 16  # that an order may name
BLOCK_MS, LOAD_SLOW = 1_000.0, 2.5  # no room, or failed: a place rests; so much slower: the store is crowded
REFRESH_LIFETIMES, REFRESH_QUEUE_RATIO = (
    3.0,
    8,
)  # copies are renewed for so long, while fewer than one in so many is held


class Loads(Known):
    loading, loads_limit = 0, INITIAL_LOADS  # own ones under way

    def _load_speculatively(
        self, fn: Function
    ) -> None:  # the loads that held requests need, one for the lanes of a copy
        warm, waited = self._is_warm(fn), self.now - min(r.held_ms for r in fn.queue)
        early = self.is_wide and waited < self._run_time_ms(fn)  # others load too
        idle = early or len(self.recent_attempts) >= self.limit or not self._load_path(fn, waited)
        if self._awaits_probe(fn) or (warm and idle):
            return
        pending = sum(self._is_loading(fn, w) for w in self._known_scorers(fn) if self._is_usable(w, fn))
        held = sum(not (warm and (r.over_share or (self.is_wide and self._is_late(r)))) for r in fn.queue)
        for _ in range(math.ceil(held / fn.lanes) - pending):
            if not self._may_load():
                return
            order = self._rotated_order(fn, fn.queue[0]) + self._ordered(fn)
            order.sort(key=lambda w: warm and self._is_far(w, fn))  # the first copy stands at its home
            able = [w for w in order if self._may_load_at(fn, w, warm) and self._serves_any(fn.queue, w)]
            bare = (w for w in able if not self._copies(fn, w) and w.in_flight < self._in_flight_bound(w, fn))
            if able:
                self._load(fn, next(bare, able[0]), warm)

    def _serves_any(self, queue: list[Request], worker: Scorer) -> bool:
        """Whether a copy there helps: one of these requests may be sent to it by its class."""
        return any(self._may_run_at(request, worker) for request in queue)

    def _load(self, fn: Function, worker: Scorer, warm: bool) -> None:
        instance = self._copies_at(fn, worker)
        instance.order_ms, instance.speculative, self.loading = self.now, warm, self.loading + 1
        instance.order_count = self._copies(fn, worker) + 1
        self.load_orders_ms.append(self.now)
        self._expect_answer(worker)
        self.actions.append(io.OrderCopies(worker.id, fn.name, instance.order_count))

    def _load_answered(self, fn: Function, instance: ScorerCopies, event: io.LoadOrderAnswered) -> None:
        good, took = event.result is io.AttemptResult.GOOD, self.now - instance.order_ms
        timely = took < LOAD_SLOW * (fn.load_told_ms or self._load_time_ms(fn)) and good
        instance.order_ms, self.loading = None, self.loading - 1
        fn.loads.timed.extend([(self.now, took)] * good)
        instance.blocked_ms = instance.blocked_ms if good else self.now + BLOCK_MS
        if event.result in (
            io.AttemptResult.GOOD,
            io.AttemptResult.ERROR,
        ):  # fewer after slow or failed: guards the store
            limit = self.loads_limit + (1 / self.loads_limit if timely else -0.2 * self.loads_limit)
            self.loads_limit = min(MAX_LOADS, max(MIN_LOADS, limit))

    def _load_path(self, fn: Function, waited_ms: float) -> bool:  # the switch: off at Ti > Te, on at Td > Tp
        if fn.load_path:
            unused = [self.now - i.unused_ms for i in fn.copies_by_scorer.values() if i.unused_ms is not None]
            flip = (
                max([fn.idle_ms, *unused]) > self._run_time_ms(fn) * self.front_ends**self.is_wide
            )  # others use it too
        else:
            flip = max(waited_ms, fn.waits.median(self.now) or 0.0) > self._load_time_ms(fn)
        if flip:
            fn.load_path, fn.idle_ms, fn.waits = not fn.load_path, 0.0, Samples()
        for instance in fn.copies_by_scorer.values() if flip else ():
            instance.unused_ms = None
        return fn.load_path

    def _may_load(self) -> bool:  # anything, anywhere
        return (
            self.loading < self.loads_limit
            and self.settings.load_orders_allowed
            and self._load_rate_left() >= 1
        )

    def _may_load_at(self, fn: Function, worker: Scorer, warm: bool) -> bool:
        blocked_ms = (fn.copies_by_scorer.get(worker.id) or ScorerCopies()).blocked_ms
        free = self.now >= blocked_ms and self._is_usable(worker, fn) and not self._is_loading(fn, worker)
        free = free and self._copies(fn, worker) < MAX_COPIES
        return free and not (
            warm and (worker.in_flight >= worker.limit or not self._within_slow_start_limit(worker))
        )

    def _is_loading(self, fn: Function, worker: Scorer) -> bool:  # by an own order, or another's, as told
        told, own = (
            worker.remote_load,
            (fn.copies_by_scorer.get(worker.id) or ScorerCopies()).order_ms is not None,
        )
        others = fn.name in told.loading and self._has_remote_load(worker, self._load_time_ms(fn))
        return own or (others and self._copies(fn, worker) <= told.copies.get(fn.name, 0))  # else it has come

    def _load_rate_left(self) -> float:  # of orders to load: some are free, and a part of the arrivals
        window = self.settings.load_window_ms
        while (
            self.load_orders_ms
            and self.load_orders_ms[0] < self.now - window - self.settings.tick_ms - ORDER_TRANSIT_MS
        ):
            self.load_orders_ms.popleft()
        ration = self.settings.free_loads + self.settings.load_part * len(self.arrivals_ms)
        return ration - len(self.load_orders_ms) if window > 0 else math.inf

    def _refresh_copies(self) -> None:
        """Renew a copy of each function called lately before it lapses. Harm: less room in a squeeze."""
        held, life = sum(len(fn.queue) for fn in self.functions.values()), self.settings.idle_life_ms
        calm = REFRESH_QUEUE_RATIO * held <= len(self.requests) and not self.is_wide and self._may_load()
        for fn in self.functions.values() if calm else ():  # in a wide fleet others' calls renew as well
            told = [
                (i.seen_ms, n) for n, i in fn.copies_by_scorer.items() if self._copies(fn, self.scorers[n])
            ]
            called = max(fn.last_ms, default=-math.inf) + REFRESH_LIFETIMES * life > self.now
            if told and called and self._load_rate_left() > len(self.load_orders_ms):
                self._keep_copies(fn, self.scorers[max(told)[1]], 1)

    def _keep_copies(
        self, fn: Function, worker: Scorer, copies: int
    ) -> None:  # one more, or those about to lapse
        if worker in self._ordered(fn) and self._may_load_at(fn, worker, warm=True):
            if self._copies(fn, worker) < copies:
                self._load(fn, worker, warm=False)
            elif (
                fn.copies_by_scorer[worker.id].seen_ms + self.settings.idle_life_ms
                < self.now + 2 * REFRESH_MS
            ):
                self.load_orders_ms.append(self.now)
                self._probe(fn, worker, copies)

    def _on_prefetch(
        self, event: io.PrefetchRequested
    ) -> None:  # calls first: an order for each held one is left
        worker, held = self.scorers.get(event.scorer), sum(len(fn.queue) for fn in self.functions.values())
        if worker and event.copies > 0 and self._may_load() and self._load_rate_left() >= held + 1:
            fn = self._function(event)
            fn.needed_ms = self.now
            self._keep_copies(fn, worker, event.copies)

    def _probe(self, fn: Function, worker: Scorer, copies: int = 0) -> None:
        instance = self._copies_at(fn, worker)
        instance.open_probes, instance.probed_ms, fn.probed_ms = instance.open_probes + 1, self.now, self.now
        self._expect_answer(worker)
        self.actions.append(io.OrderCopies(worker.id, fn.name, copies))

    def _awaits_probe(
        self, fn: Function
    ) -> bool:  # answers to questions are awaited, for a round trip at the most
        return self.now - fn.probed_ms < PROBE_WAIT_MS and any(
            i.open_probes for i in fn.copies_by_scorer.values()
        )
