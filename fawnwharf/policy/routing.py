"""Where a call may go: hash order, width, free lanes and bounds."""

import math
from itertools import islice

from fawnwharf.policy import slow_start, state
from fawnwharf.policy.state import REFRESH_MS, Function, Instance, Request, Worker, mix

BOUND_FACTOR, BOUND_NEAR, BOUND_FLOOR = 1.5, 2.4, 2.0  # of its fair share a worker takes, far, near; at least
TRIED = 2**60  # of the draws: one call in sixteen tries a place not seen yet while others are known
ASK_PAUSE_MS = 100.0  # between questions after the same copy
YIELD = 0.35  # of a limit, by calls past their share or time
SPREAD_LANES, SPREAD_PART = 0.6, 0.3  # of a copy's lanes, and of a worker's room, for a wide function's calls


class Routing(slow_start.SlowStart):
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
        tried = first if not seen or request.draw < TRIED else []  # guards the store: all try what is new
        for worker in tried if self.settings.loads_on_miss else first[:1]:
            self._spread(fn, worker)
        known = sorted(self._known(fn), key=lambda w: self._strained(w) > self.strain_most)
        return [worker for worker in dict.fromkeys(first + known) if worker.id in fn.instances]

    def _spread(self, fn: Function, worker: Worker) -> None:
        """Ask after a copy; in a wide fleet it is held to stand, as calls keep it or bring it."""
        instance = self._instance(fn, worker)
        bare = self._usable(worker, fn) and not self._copies(fn, worker)
        # Where no question may be asked, calls alone find out.
        if bare and (not self.settings.load_orders_allowed or (self.wide and self.settings.loads_on_miss)):
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
        # A question that was refused is not asked again at once: each may cost a connection.
        due = not instance.asks and self.now - instance.asked_ms >= ASK_PAUSE_MS
        if not sure and self.settings.load_orders_allowed and due and self._usable(worker, fn):
            self._ask(fn, worker)
        return sure or not self.settings.load_orders_allowed

    def _bound(self, worker: Worker, fn: Function) -> float:  # own requests: a multiple of a fair share
        fair = (len(self.attempts) + 1) * self._size(worker) / self.total
        factor = BOUND_FACTOR if self._is_far(worker, fn) else BOUND_NEAR
        return max(BOUND_FLOOR * self._warmth(worker), factor * fair)

    def _fit(self, worker: Worker, fn: Function) -> bool:
        return self._strained(worker) <= self.strain_most and self._able(worker, fn)

    def _able(self, worker: Worker, fn: Function) -> bool:
        return self._usable(worker, fn) and self._within_cold_budget(worker)
