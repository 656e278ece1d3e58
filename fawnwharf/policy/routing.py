"""Where a call may go: hash order, width, free lanes and bounds."""

import math
from itertools import islice

from fawnwharf.policy import slow_start, state
from fawnwharf.policy.state import REFRESH_MS, Function, Request, Scorer, ScorerCopies, mix

BOUND_FACTOR, BOUND_NEAR, BOUND_FLOOR = 1.5, 2.4, 2.0  # of its fair share a worker takes, far, near; at least
TRIAL_DRAWS = 2**60  # of the draws: one call in sixteen tries a place not seen yet while others are known
PROBE_PAUSE_MS = 100.0  # between questions after the same copy
LOW_PRIORITY_PART = 0.35  # of a limit, by calls past their share or time
SPREAD_LANES, SPREAD_PART = 0.6, 0.3  # of a copy's lanes, and of a worker's room, for a wide function's calls


class Routing(slow_start.SlowStart):
    def _ordered(self, fn: Function) -> list[Scorer]:  # by rendezvous hashing; a told site first
        if fn.order_members is not self.members:
            drawn = {w: math.log((mix(fn.hash_bits ^ w.hash_bits) + 1) / (2**64 + 1)) for w in self.ready}
            fn.order = sorted(drawn, key=lambda w: (-drawn[w] / self.members[w.id], w.id))
            fn.order.sort(key=lambda w: fn.site != "" and self._is_far(w, fn))
            fn.order_members, fn.known = self.members, None
            self._apply_remote_load(fn, fn.order)
        return fn.order

    def _known_scorers(
        self, fn: Function
    ) -> list[Scorer]:  # with some belief, the own zone's first, in hash order
        order = self._ordered(fn)
        if fn.known is None:
            fn.known = sorted(
                (w for w in order if w.id in fn.copies_by_scorer), key=lambda w: self._is_far(w, fn)
            )
        return fn.known

    def _candidates(self, fn: Function, request: Request) -> list[Scorer]:  # believed warm, wide from a draw
        if not self.is_wide:
            return self._known_scorers(fn)
        first = self._rotated_order(fn, request)
        seen = any(self._copies(fn, w) and self._is_preferred(w, fn) for w in self._known_scorers(fn))
        tried = (
            first if not seen or request.draw < TRIAL_DRAWS else []
        )  # guards the store: all try what is new
        for worker in tried if self.settings.loads_on_miss else first[:1]:
            self._probe_place(fn, worker)
        known = sorted(self._known_scorers(fn), key=lambda w: self._slowdown_of(w) > self.max_slowdown)
        return [worker for worker in dict.fromkeys(first + known) if worker.id in fn.copies_by_scorer]

    def _probe_place(self, fn: Function, worker: Scorer) -> None:
        """Ask after a copy; in a wide fleet it is held to stand, as calls keep it or bring it."""
        instance = self._copies_at(fn, worker)
        bare = self._is_usable(worker, fn) and not self._copies(fn, worker)
        # Where no question may be asked, calls alone find out.
        if bare and (not self.settings.load_orders_allowed or (self.is_wide and self.settings.loads_on_miss)):
            instance.copies, instance.seen_ms = 1, self.now
        elif bare and self.now - instance.probed_ms > state.RATE_MS:
            self._probe(fn, worker)

    def _rotated_order(
        self, fn: Function, request: Request
    ) -> list[Scorer]:  # as needed, from the drawn place on
        fit = (worker for worker in self._ordered(fn) if self._is_preferred(worker, fn))
        order = list(islice(fit, fn.spread)) or fn.order[: fn.spread]
        turns = [draw % len(order) for draw in (request.draw, request.draw >> 32) if order]
        turn = min(turns, key=lambda turn: self.is_wide * self._cost(order[turn], fn), default=0)
        return order[turn:] + order[:turn]

    def _update_spread(self, fn: Function) -> None:
        """Workers a function needs: own arrivals times front ends, or the crowd told. Guards the first."""
        faded = math.exp((max(fn.last_ms, default=self.now) - self.now) / state.FADE_MS)
        fn.arrived, fn.reported_concurrency = fn.arrived * faded, fn.reported_concurrency * faded
        rate = self._discounted(fn.arrived) / min(state.FADE_MS, self.now - self.began_ms + REFRESH_MS)
        if len(fn.last_ms) == state.BURST_ARRIVALS:
            rate = max(
                rate, self._discounted(state.BURST_ARRIVALS) / max(self.now - fn.last_ms[0], REFRESH_MS)
            )
        demand = max(rate * self.front_ends * self._run_time_ms(fn), fn.reported_concurrency)
        share = min(SPREAD_LANES * fn.lanes, SPREAD_PART * self.max_in_flight or 1.0)  # 0: none is ready
        fn.spread = min(max(1, math.ceil(demand / share)), max(1, len(self.ready)))
        fn.arrived, fn.needed_ms = fn.arrived + 1, self.now
        fn.last_ms.append(self.now)

    def _discounted(self, seen: float) -> float:  # arrivals less their chance, which many front ends multiply
        return max(0.0, seen - math.sqrt(seen)) if self.is_wide else seen

    def _is_warm(self, fn: Function) -> bool:
        return any(self._copies(fn, w) and self._is_usable(w, fn) for w in self._known_scorers(fn))

    def _choose_scorer(
        self, fn: Function, request: Request
    ) -> Scorer | None:  # first within the bound, or idlest
        """Guards against calls that cross while a near copy is asked after. Harm: a round trip's wait."""
        again = any(attempt.open for attempt in request.attempts)
        part = LOW_PRIORITY_PART if again or request.over_share or self._is_late(request) else 1.0
        spare, asked, places = [], False, self._candidates(fn, request)
        if len(self.recent_attempts) >= self.limit * (1.0 if again else part) or (
            self.is_wide and self._awaits_probe(fn)
        ):
            return None  # one question at a time; the drawn place is to answer first
        for worker in places:
            if asked and self._is_far(worker, fn):
                break
            instance = fn.copies_by_scorer[worker.id]
            if self._has_free_lane(fn, instance, worker) and self._may_send_here(request, worker, part):
                if worker.in_flight < self._in_flight_bound(worker, fn):
                    return worker
                spare.append(worker)
            fresh = instance.open_probes and self.now - instance.probed_ms < state.PROBE_WAIT_MS
            asked = asked or bool(fresh and self._copies(fn, worker))
        return min(spare, key=lambda worker: worker.in_flight, default=None)

    def _has_free_lane(self, fn: Function, instance: ScorerCopies, worker: Scorer) -> bool:
        """A free warm lane; copies long unseen are asked after first. Harm: a round trip's wait."""
        if self.now < instance.blocked_ms or self._copies(fn, worker) * fn.lanes <= instance.in_flight:
            return False
        sign_ms = (
            instance.counted_ms if instance.in_flight else instance.seen_ms
        )  # of a lane more than are in use
        sure = instance.in_flight % fn.lanes > 0 or self.now - sign_ms < state.STALE_MS or self.is_wide
        # A question that was refused is not asked again at once: each may cost a connection.
        due = not instance.open_probes and self.now - instance.probed_ms >= PROBE_PAUSE_MS
        if not sure and self.settings.load_orders_allowed and due and self._is_usable(worker, fn):
            self._probe(fn, worker)
        return sure or not self.settings.load_orders_allowed

    def _in_flight_bound(
        self, worker: Scorer, fn: Function
    ) -> float:  # own requests: a multiple of a fair share
        fair = (len(self.attempts) + 1) * self._size(worker) / self.total
        factor = BOUND_FACTOR if self._is_far(worker, fn) else BOUND_NEAR
        return max(BOUND_FLOOR * self._warmth(worker), factor * fair)

    def _is_preferred(self, worker: Scorer, fn: Function) -> bool:
        return self._slowdown_of(worker) <= self.max_slowdown and self._can_take(worker, fn)

    def _can_take(self, worker: Scorer, fn: Function) -> bool:
        return self._is_usable(worker, fn) and self._within_slow_start_limit(worker)
