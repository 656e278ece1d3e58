"""Loads of copies: the race, its switch, the ration of load orders, renewal, copies wanted, questions."""

import math

from fawnwharf import interface as io
from fawnwharf.policy.state import (
    ASK_WAIT_MS,
    REFRESH_MS,
    Function,
    Instance,
    Known,
    Request,
    Samples,
    Worker,
)

LOADS_START, LOADS_LEAST, LOADS_MOST = 8.0, 2.0, 24.0  # own loads under way: at the start, and at all times
ORDER_TRANSIT_MS = 150.0  # an order counts at the scorer that much later at the most: its wait, and the way
COPIES_MOST = 16  # that an order may name
BLOCK_MS, LOAD_SLOW = 1_000.0, 2.5  # no room, or failed: a place rests; so much slower: the store is crowded
RENEW_LIVES, RENEW_HELD = 3.0, 8  # copies are renewed for so long, while fewer than one in so many is held


class Loads(Known):
    loading, loads_limit = 0, LOADS_START  # own ones under way

    def _race(self, fn: Function) -> None:  # the loads that held requests need, one for the lanes of a copy
        warm, waited = self._is_warm(fn), self.now - min(r.held_ms for r in fn.queue)
        early = self.wide and waited < self._te(fn)  # others load too
        idle = early or len(self.flying) >= self.limit or not self._load_path(fn, waited)
        if self._asking(fn) or (warm and idle):
            return
        pending = sum(self._is_loading(fn, w) for w in self._known(fn) if self._usable(w, fn))
        held = sum(not (warm and (r.over_share or (self.wide and self._late(r)))) for r in fn.queue)
        for _ in range(math.ceil(held / fn.lanes) - pending):
            if not self._may_load():
                return
            order = self._turned(fn, fn.queue[0]) + self._ordered(fn)
            order.sort(key=lambda w: warm and self._is_far(w, fn))  # the first copy stands at its home
            able = [w for w in order if self._may_load_at(fn, w, warm) and self._serves_any(fn.queue, w)]
            bare = (w for w in able if not self._copies(fn, w) and w.own < self._bound(w, fn))
            if able:
                self._load(fn, next(bare, able[0]), warm)

    def _serves_any(self, queue: list[Request], worker: Worker) -> bool:
        """Whether a copy there helps: one of these requests may be sent to it by its class."""
        return any(self._may_run_at(request, worker) for request in queue)

    def _load(self, fn: Function, worker: Worker, warm: bool) -> None:
        instance = self._instance(fn, worker)
        instance.order_ms, instance.raced, self.loading = self.now, warm, self.loading + 1
        instance.order_count = self._copies(fn, worker) + 1
        self.ordered.append(self.now)
        self._owe(worker)
        self.actions.append(io.OrderCopies(worker.id, fn.name, instance.order_count))

    def _load_answered(self, fn: Function, instance: Instance, event: io.LoadOrderAnswered) -> None:
        good, took = event.result is io.AttemptResult.GOOD, self.now - instance.order_ms
        timely = took < LOAD_SLOW * (fn.load_told_ms or self._tp(fn)) and good
        instance.order_ms, self.loading = None, self.loading - 1
        fn.loads.timed.extend([(self.now, took)] * good)
        instance.blocked_ms = instance.blocked_ms if good else self.now + BLOCK_MS
        if event.result in (
            io.AttemptResult.GOOD,
            io.AttemptResult.ERROR,
        ):  # fewer after slow or failed: guards the store
            limit = self.loads_limit + (1 / self.loads_limit if timely else -0.2 * self.loads_limit)
            self.loads_limit = min(LOADS_MOST, max(LOADS_LEAST, limit))

    def _load_path(self, fn: Function, waited_ms: float) -> bool:  # the switch: off at Ti > Te, on at Td > Tp
        if fn.load_path:
            unused = [self.now - i.unused_ms for i in fn.instances.values() if i.unused_ms is not None]
            flip = max([fn.idle_ms, *unused]) > self._te(fn) * self.peers**self.wide  # others use it too
        else:
            flip = max(waited_ms, fn.waits.median(self.now) or 0.0) > self._tp(fn)
        if flip:
            fn.load_path, fn.idle_ms, fn.waits = not fn.load_path, 0.0, Samples()
        for instance in fn.instances.values() if flip else ():
            instance.unused_ms = None
        return fn.load_path

    def _may_load(self) -> bool:  # anything, anywhere
        return (
            self.loading < self.loads_limit and self.settings.load_orders_allowed and self._ration_left() >= 1
        )

    def _may_load_at(self, fn: Function, worker: Worker, warm: bool) -> bool:
        blocked_ms = (fn.instances.get(worker.id) or Instance()).blocked_ms
        free = self.now >= blocked_ms and self._usable(worker, fn) and not self._is_loading(fn, worker)
        free = free and self._copies(fn, worker) < COPIES_MOST
        return free and not (warm and (worker.own >= worker.limit or not self._within_cold_budget(worker)))

    def _is_loading(self, fn: Function, worker: Worker) -> bool:  # by an own order, or another's, as told
        told, own = worker.told, (fn.instances.get(worker.id) or Instance()).order_ms is not None
        others = fn.name in told.loading and self._is_told(worker, self._tp(fn))
        return own or (others and self._copies(fn, worker) <= told.copies.get(fn.name, 0))  # else it has come

    def _ration_left(self) -> float:  # of orders to load: some are free, and a part of the arrivals
        window = self.settings.load_window_ms
        while self.ordered and self.ordered[0] < self.now - window - self.settings.tick_ms - ORDER_TRANSIT_MS:
            self.ordered.popleft()
        ration = self.settings.free_loads + self.settings.load_part * len(self.taken)
        return ration - len(self.ordered) if window > 0 else math.inf

    def _renew(self) -> None:
        """Renew a copy of each function called lately before it lapses. Harm: less room in a squeeze."""
        held, life = sum(len(fn.queue) for fn in self.functions.values()), self.settings.idle_life_ms
        calm = RENEW_HELD * held <= len(self.requests) and not self.wide and self._may_load()
        for fn in self.functions.values() if calm else ():  # in a wide fleet others' calls renew as well
            told = [(i.seen_ms, n) for n, i in fn.instances.items() if self._copies(fn, self.workers[n])]
            called = max(fn.last_ms, default=-math.inf) + RENEW_LIVES * life > self.now
            if told and called and self._ration_left() > len(self.ordered):
                self._keep(fn, self.workers[max(told)[1]], 1)

    def _keep(self, fn: Function, worker: Worker, copies: int) -> None:  # one more, or those about to lapse
        if worker in self._ordered(fn) and self._may_load_at(fn, worker, warm=True):
            if self._copies(fn, worker) < copies:
                self._load(fn, worker, warm=False)
            elif fn.instances[worker.id].seen_ms + self.settings.idle_life_ms < self.now + 2 * REFRESH_MS:
                self.ordered.append(self.now)
                self._ask(fn, worker, copies)

    def _on_wanted(
        self, event: io.PrefetchRequested
    ) -> None:  # calls first: an order for each held one is left
        worker, held = self.workers.get(event.scorer), sum(len(fn.queue) for fn in self.functions.values())
        if worker and event.copies > 0 and self._may_load() and self._ration_left() >= held + 1:
            fn = self._function(event)
            fn.needed_ms = self.now
            self._keep(fn, worker, event.copies)

    def _ask(self, fn: Function, worker: Worker, copies: int = 0) -> None:
        instance = self._instance(fn, worker)
        instance.asks, instance.asked_ms, fn.asked_ms = instance.asks + 1, self.now, self.now
        self._owe(worker)
        self.actions.append(io.OrderCopies(worker.id, fn.name, copies))

    def _asking(self, fn: Function) -> bool:  # answers to questions are awaited, for a round trip at the most
        return self.now - fn.asked_ms < ASK_WAIT_MS and any(i.asks for i in fn.instances.values())
