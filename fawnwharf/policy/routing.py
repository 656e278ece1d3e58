"""Where calls and loads go: hash order, width, free lanes, bounds, the cold budget; the race, the ration."""

import math
from itertools import islice

from fawnwharf import interface as io
from fawnwharf.policy import state
from fawnwharf.policy.state import REFRESH_MS, Function, Instance, Known, Request, Samples, Worker, mix

BOUND_FACTOR, BOUND_NEAR, BOUND_FLOOR = 1.5, 2.4, 2.0  # of its fair share a worker takes, far, near; at least
TRIED = 2**60  # of the draws: one call in sixteen tries a place not seen yet while others are known
COLD_SAFETY, YIELD = 0.6, 0.35  # used of a cold budget, a guess; of a limit, by calls past share or time
SPREAD_LANES, SPREAD_PART = 0.6, 0.3  # of a copy's lanes, and of a worker's room, for a wide function's calls
LOADS_START, LOADS_LEAST, LOADS_MOST = 8.0, 2.0, 24.0  # own loads under way: at the start, and at all times
BLOCK_MS, LOAD_SLOW = 1_000.0, 2.5  # no room, or failed: a place rests; so much slower: the store is crowded
RENEW_LIVES, RENEW_HELD = 3.0, 8  # copies are renewed for so long, while fewer than one in so many is held


class Routing(Known):
    loading, loads_limit = 0, LOADS_START  # own ones under way

    def _ordered(self, fn: Function) -> list[Worker]:  # by rendezvous hashing; a told site first
        if fn.order_members is not self.members:
            drawn = {w: math.log((mix(fn.mark ^ w.mark) + 1) / (2**64 + 1)) for w in self.ready}
            fn.order = sorted(drawn, key=lambda w: (-drawn[w] / self.members[w.id], w.id))
            fn.order.sort(key=lambda w: fn.site != "" and self._is_far(w, fn))
            fn.order_members, fn.known = self.members, None
            self._believe(fn, fn.order)
        return fn.order

    def _known(self, fn: Function) -> list[Worker]:  # with some belief, the own zone's first, in hash order
        order = self._ordered(fn)
        if fn.known is None:
            fn.known = sorted((w for w in order if w.id in fn.instances), key=lambda w: self._is_far(w, fn))
        return fn.known

    def _places(self, fn: Function, request: Request) -> list[Worker]:  # believed warm, wide from a draw
        if not self.wide:
            return self._known(fn)
        first = self._turned(fn, request)
        seen = any(self._copies(fn, w) and self._fit(w, fn) for w in self._known(fn))
        # Guards the store, and calls: a place that is new to all would be tried by all, and each wait there.
        tried = first if not seen or request.draw < TRIED else []
        for worker in tried if self.settings.loads_on_miss else first[:1]:
            self._spread(fn, worker)
        known = sorted(self._known(fn), key=lambda w: self._strained(w) > self.strain_most)
        return [worker for worker in dict.fromkeys(first + known) if worker.id in fn.instances]

    def _spread(self, fn: Function, worker: Worker) -> None:
        """Ask after a copy; in a wide fleet it is held to stand, as calls keep it or bring it."""
        instance = self._instance(fn, worker)
        bare = self.settings.may_order and self._usable(worker, fn) and not self._copies(fn, worker)
        if bare and self.wide and self.settings.loads_on_miss:
            instance.copies, instance.seen_ms = 1, self.now
        elif bare and self.now - instance.asked_ms > state.RATE_MS:
            self._ask(fn, worker)

    def _turned(self, fn: Function, request: Request) -> list[Worker]:  # as needed, from the drawn place on
        fit = (worker for worker in self._ordered(fn) if self._fit(worker, fn))
        order = list(islice(fit, fn.width)) or fn.order[: fn.width]
        turns = [draw % len(order) for draw in (request.draw, request.draw >> 32) if order]
        turn = min(turns, key=lambda turn: self.wide * self._cost(order[turn], fn), default=0)
        return order[turn:] + order[:turn]

    def _measure(self, fn: Function) -> None:
        """Workers a function needs: own arrivals times front ends, or the crowd told. Guards the first."""
        faded = math.exp((max(fn.last_ms, default=self.now) - self.now) / state.FADE_MS)
        fn.arrived, fn.crowd = fn.arrived * faded, fn.crowd * faded
        rate = self._surely(fn.arrived) / min(state.FADE_MS, self.now - self.began_ms + REFRESH_MS)
        if len(fn.last_ms) == state.RUSH:
            rate = max(rate, self._surely(state.RUSH) / max(self.now - fn.last_ms[0], REFRESH_MS))
        demand = max(rate * self.peers * self._te(fn), fn.crowd)
        share = min(SPREAD_LANES * fn.lanes, SPREAD_PART * self.worker_most or 1.0)  # 0: none is ready
        fn.width = min(max(1, math.ceil(demand / share)), max(1, len(self.ready)))
        fn.arrived, fn.needed_ms = fn.arrived + 1, self.now
        fn.last_ms.append(self.now)

    def _surely(self, seen: float) -> float:  # arrivals less their chance, which many front ends multiply
        return max(0.0, seen - math.sqrt(seen)) if self.wide else seen

    def _is_warm(self, fn: Function) -> bool:
        return any(self._copies(fn, w) and self._usable(w, fn) for w in self._known(fn))

    def _lane(self, fn: Function, request: Request) -> Worker | None:  # first within the bound, or idlest
        """Guards against calls that cross while a near copy is asked after. Harm: a round trip's wait."""
        again = any(attempt.open for attempt in request.attempts)
        part = YIELD if again or request.over_share or self._late(request) else 1.0
        spare, asked, places = [], False, self._places(fn, request)
        if len(self.flying) >= self.limit * (1.0 if again else part) or (self.wide and self._asking(fn)):
            return None  # one question at a time; the drawn place is to answer first
        for worker in places:
            if asked and self._is_far(worker, fn):
                break
            instance = fn.instances[worker.id]
            if self._free(fn, instance, worker) and self._may_send_here(request, worker, part):
                if worker.own < self._bound(worker, fn):
                    return worker
                spare.append(worker)
            fresh = instance.asks and self.now - instance.asked_ms < state.ASK_WAIT_MS
            asked = asked or bool(fresh and self._copies(fn, worker))
        return min(spare, key=lambda worker: worker.own, default=None)

    def _free(self, fn: Function, instance: Instance, worker: Worker) -> bool:
        """A free warm lane; copies long unseen are asked after first. Harm: a round trip's wait."""
        if self.now < instance.blocked_ms or self._copies(fn, worker) * fn.lanes <= instance.own:
            return False
        sign_ms = instance.counted_ms if instance.own else instance.seen_ms  # of a lane more than are in use
        sure = instance.own % fn.lanes > 0 or self.now - sign_ms < state.STALE_MS or self.wide
        if not sure and self.settings.may_order and not instance.asks and self._usable(worker, fn):
            self._ask(fn, worker)
        return sure or not self.settings.may_order

    def _bound(self, worker: Worker, fn: Function) -> float:  # own requests: a multiple of a fair share
        fair = (len(self.attempts) + 1) * self._size(worker) / self.total
        factor = BOUND_FACTOR if self._is_far(worker, fn) else BOUND_NEAR
        return max(BOUND_FLOOR * self._warmth(worker), factor * fair)

    def _fit(self, worker: Worker, fn: Function) -> bool:
        return self._strained(worker) <= self.strain_most and self._able(worker, fn)

    def _able(self, worker: Worker, fn: Function) -> bool:
        return self._usable(worker, fn) and self._within_cold_budget(worker)

    def _within_cold_budget(self, worker: Worker) -> bool:  # of sends while it has just started
        if (share := self._warmth(worker)) >= 1.0:
            return True
        while worker.sent and worker.sent[0] <= self.now - self.settings.fall_ms:
            worker.sent.popleft()
        rate = COLD_SAFETY * (len(self.taken) / self.stretch_ms) / max(1, len(self.ready))
        if self.wide and self.sold:  # as sold, or as answered: arrivals swell where all clients come again
            answered = len(self.runs.timed) / max(REFRESH_MS, self.now - next(iter(self.runs.timed), (0,))[0])
            rate = max(self.sold / self.peers / self.fleet, COLD_SAFETY * answered / self.total)
            rate *= self.members[worker.id]
        left = own = self.settings.fall_multiple * share * self.settings.fall_ms * rate
        if worker.told.sent is not None and self._is_told(worker, self.settings.fall_ms):
            past = (self.now - worker.told_ms) / self.settings.fall_ms  # others have sent their parts since
            left = own * (self.peers - past * (self.peers - 1)) - worker.told.sent  # all see it at once
        # Guards against a least send for each front end: a part below one falls to as many of them by chance.
        left = min(left, own + (left - own) / self.peers) + mix(mix(self.chance ^ worker.mark)) / 2**64
        return len(worker.sent) + 1 <= left

    def _warmth(self, worker: Worker) -> float:  # the part of its capacity that a worker has at the least
        age = max(0.0, self.now - worker.started_ms) / max(1.0, self.settings.cold_ms)
        return min(1.0, self.settings.cold_share + (1 - self.settings.cold_share) * age)

    def _size(self, worker: Worker) -> float:
        return self.members[worker.id] * self._warmth(worker)

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
            able = [w for w in order if self._may_load_at(fn, w, warm)]
            bare = (w for w in able if not self._copies(fn, w) and w.own < self._bound(w, fn))
            if able:
                self._load(fn, next(bare, able[0]), warm)

    def _load(self, fn: Function, worker: Worker, warm: bool) -> None:
        instance = self._instance(fn, worker)
        instance.order_ms, instance.raced, self.loading = self.now, warm, self.loading + 1
        instance.order_count = min(16, self._copies(fn, worker) + 1)
        self.ordered.append(self.now)
        self._owe(worker)
        self.actions.append(io.Hold(worker.id, fn.name, instance.order_count))

    def _load_answered(self, fn: Function, instance: Instance, event: io.OrderAnswered) -> None:
        good, took = event.ending is io.Ending.GOOD, self.now - instance.order_ms
        timely = took < LOAD_SLOW * (fn.load_told_ms or self._tp(fn)) and good
        instance.order_ms, self.loading = None, self.loading - 1
        fn.loads.timed.extend([(self.now, took)] * good)
        instance.blocked_ms = instance.blocked_ms if good else self.now + BLOCK_MS
        # Guards the store: slow or failed loads lower the number under way. Harm: so does a slow worker.
        if event.ending in (io.Ending.GOOD, io.Ending.ERROR):
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
        return self.loading < self.loads_limit and self.settings.may_order and self._ration_left() >= 1

    def _may_load_at(self, fn: Function, worker: Worker, warm: bool) -> bool:
        blocked_ms = (fn.instances.get(worker.id) or Instance()).blocked_ms
        free = self.now >= blocked_ms and self._usable(worker, fn) and not self._is_loading(fn, worker)
        return free and not (warm and (worker.own >= worker.limit or not self._within_cold_budget(worker)))

    def _is_loading(self, fn: Function, worker: Worker) -> bool:  # by an own order, or another's, as told
        told, own = worker.told, (fn.instances.get(worker.id) or Instance()).order_ms is not None
        others = fn.name in told.loading and self._is_told(worker, self._tp(fn))
        return own or (others and self._copies(fn, worker) <= told.copies.get(fn.name, 0))  # else it has come

    def _ration_left(self) -> float:  # of orders to load: some are free, and a part of the arrivals
        window = self.settings.load_window_ms
        while self.ordered and self.ordered[0] < self.now - window - self.settings.tick_ms:
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

    def _on_wanted(self, event: io.CopiesWanted) -> None:  # calls first: an order for each held one is left
        worker, held = self.workers.get(event.worker), sum(len(fn.queue) for fn in self.functions.values())
        if worker and event.copies > 0 and self._may_load() and self._ration_left() >= held + 1:
            fn = self._function(event)
            fn.needed_ms = self.now
            self._keep(fn, worker, event.copies)

    def _ask(self, fn: Function, worker: Worker, copies: int = 0) -> None:
        instance = self._instance(fn, worker)
        instance.asks, instance.asked_ms, fn.asked_ms = instance.asks + 1, self.now, self.now
        self._owe(worker)
        self.actions.append(io.Hold(worker.id, fn.name, copies))

    def _asking(self, fn: Function) -> bool:  # answers to questions are awaited, for a round trip at the most
        return self.now - fn.asked_ms < state.ASK_WAIT_MS and any(i.asks for i in fn.instances.values())
