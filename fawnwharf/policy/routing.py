"""The choice of a scorer for a call: hash order, spread, free lanes and bounds on calls in flight."""

import math
from itertools import islice

from fawnwharf.policy import slow_start, state
from fawnwharf.policy.state import REFRESH_MS, Function, Request, Scorer, ScorerCopies, mix_bits

# The bound on a scorer's requests in flight, as a multiple of its fair share of them.
FAR_BOUND_FACTOR = 1.5  # for a scorer of another zone
NEAR_BOUND_FACTOR = 2.4  # for a scorer of the near zone
MIN_IN_FLIGHT_BOUND = 2.0  # the bound is at least this many requests
TRIAL_BITS_LIMIT = 2**60  # random bits below this, in one call of 16, try a scorer that may have no copy
PROBE_PAUSE_MS = 100.0  # minimum time between two probes for the same copy
LOW_PRIORITY_PART = 0.35  # part of a limit open to hedged requests, late ones and those over their quota
MAX_QUERIES_PER_REQUEST = 2  # scorers without a lease that are queried for one request
SPREAD_LANE_SHARE = 0.6  # part of a copy's lanes that calls should fill before a function spreads further
SPREAD_CAPACITY_SHARE = 0.3  # part of a scorer's capacity that one function's calls should fill


class Routing(slow_start.SlowStart):
    """Chooses a scorer for each call."""

    def _ordered(self, fn: Function) -> list[Scorer]:
        """The ready scorers by weighted rendezvous hashing; those of the function's site come first."""
        if fn.hash_order_sizes is not self.scorer_sizes:
            drawn = {
                scorer: math.log((mix_bits(fn.hash_bits ^ scorer.hash_bits) + 1) / (2**64 + 1))
                for scorer in self.ready
            }
            fn.hash_order = sorted(
                drawn, key=lambda scorer: (-drawn[scorer] / self.scorer_sizes[scorer.id], scorer.id)
            )
            fn.hash_order.sort(
                key=lambda scorer: fn.session_zone != "" and self._is_in_other_zone(scorer, fn)
            )
            fn.hash_order_sizes = self.scorer_sizes
            fn.known_scorers = None
            self._apply_remote_load(fn, fn.hash_order)
        return fn.hash_order

    def _known_scorers(self, fn: Function) -> list[Scorer]:
        """The scorers with an entry for a function in hash order, those of the near zone first."""
        order = self._ordered(fn)
        if fn.known_scorers is None:
            fn.known_scorers = sorted(
                (scorer for scorer in order if scorer.id in fn.copies_by_scorer),
                key=lambda scorer: self._is_in_other_zone(scorer, fn),
            )
        return fn.known_scorers

    def _candidates(self, fn: Function, request: Request) -> list[Scorer]:
        """The scorers that may have a copy, in the order in which they are tried for a request.

        With many front ends the order starts at a random one of the scorers that the function spreads over.
        """
        if not self.many_front_ends:
            return self._known_scorers(fn)
        first = self._rotated_order(fn, request)
        is_seen = any(
            self._copies(fn, scorer) and self._is_preferred(scorer, fn) for scorer in self._known_scorers(fn)
        )
        # Every front end tries new scorers, so only a few calls do: this protects the store of the functions.
        tried = first if not is_seen or request.random_bits < TRIAL_BITS_LIMIT else []
        for scorer in tried if self.settings.loads_on_miss else first[:1]:
            self._probe_for_copy(fn, scorer)
        known = sorted(
            self._known_scorers(fn), key=lambda scorer: self._slowdown_of(scorer) > self.max_slowdown
        )
        return [scorer for scorer in dict.fromkeys(first + known) if scorer.id in fn.copies_by_scorer]

    def _probe_for_copy(self, fn: Function, scorer: Scorer) -> None:
        """Probe for a copy, or assume one where only calls can find out whether it is loaded."""
        scorer_copies = self._copies_at(fn, scorer)
        if not self._is_usable(scorer, fn) or self._copies(fn, scorer):
            return
        # With many front ends and loads on a miss, calls load a missing copy, so no probe is needed.
        calls_find_out = self.many_front_ends and self.settings.loads_on_miss
        if not self.settings.load_orders_allowed or calls_find_out:
            scorer_copies.copies = 1
            scorer_copies.seen_ms = self.now
        elif self.now - scorer_copies.probe_sent_ms > state.ARRIVAL_WINDOW_MS:
            self._probe(fn, scorer)

    def _rotated_order(self, fn: Function, request: Request) -> list[Scorer]:
        """The scorers that a function spreads over, rotated to start at a randomly chosen one.

        With many front ends, two scorers are chosen, and the one with the lower cost comes first. The choice
        depends on the request's random bits alone.
        """
        preferred = (scorer for scorer in self._ordered(fn) if self._is_preferred(scorer, fn))
        order = list(islice(preferred, fn.spread)) or fn.hash_order[: fn.spread]
        starts = [
            random_bits % len(order)
            for random_bits in (request.random_bits, request.random_bits >> 32)
            if order
        ]
        start = min(starts, key=lambda start: self.many_front_ends * self._cost(order[start], fn), default=0)
        return order[start:] + order[:start]

    def _update_spread(self, fn: Function) -> None:
        """Count an arrival and compute how many scorers a function's calls need.

        The demand is estimated from this front end's arrivals times the number of front ends, and from the
        reported concurrency. This keeps the first scorers of the hash order from overload.
        """
        decay = math.exp((max(fn.last_arrivals_ms, default=self.now) - self.now) / state.DECAY_MS)
        fn.decaying_arrivals *= decay
        fn.reported_concurrency *= decay
        rate = self._without_random_excess(fn.decaying_arrivals) / min(
            state.DECAY_MS, self.now - self.first_event_ms + REFRESH_MS
        )
        if len(fn.last_arrivals_ms) == state.BURST_ARRIVALS:
            burst_ms = max(self.now - fn.last_arrivals_ms[0], REFRESH_MS)
            rate = max(rate, self._without_random_excess(state.BURST_ARRIVALS) / burst_ms)
        demand = max(rate * self.front_ends * self._run_time_ms(fn), fn.reported_concurrency)
        # The mean limit is 0 if no scorer is ready.
        share = min(SPREAD_LANE_SHARE * fn.lanes, SPREAD_CAPACITY_SHARE * self.mean_concurrency_limit or 1.0)
        fn.spread = min(max(1, math.ceil(demand / share)), max(1, len(self.ready)))
        fn.decaying_arrivals += 1
        fn.last_needed_ms = self.now
        fn.last_arrivals_ms.append(self.now)

    def _without_random_excess(self, arrivals: float) -> float:
        """Arrivals, less one standard deviation where many front ends would multiply a random excess."""
        return max(0.0, arrivals - math.sqrt(arrivals)) if self.many_front_ends else arrivals

    def _is_warm(self, fn: Function) -> bool:
        """Whether a usable scorer has a copy of the function."""
        return any(
            self._copies(fn, scorer) and self._is_usable(scorer, fn) for scorer in self._known_scorers(fn)
        )

    def _choose_scorer(self, fn: Function, request: Request) -> Scorer | None:
        """The first candidate with a free lane within its in-flight bound; None if there is no free lane.

        If every candidate with a free lane is beyond its bound, the one with the fewest requests in flight is
        chosen. No call crosses zones while a copy in the near zone is probed; this costs one round trip.
        """
        is_in_flight = any(attempt.open for attempt in request.attempts)
        part = 1.0
        if is_in_flight or request.over_quota or self._is_late(request):
            part = LOW_PRIORITY_PART
        candidates = self._candidates(fn, request)
        if len(self.recent_attempts) >= self.attempt_limit * (1.0 if is_in_flight else part):
            return None
        if self.many_front_ends and self._awaits_probe(fn):
            return None  # wait for the probe of the scorer that was chosen at random
        beyond_bound = list[Scorer]()
        is_probing = False
        queried = 0
        for scorer in candidates:
            if is_probing and self._is_in_other_zone(scorer, fn):
                break
            scorer_copies = fn.copies_by_scorer[scorer.id]
            if self._has_free_lane(fn, scorer_copies, scorer) and self._may_send_here(request, scorer, part):
                if not self._has_lease(scorer):
                    # A scorer that is not confirmed is queried, and the request goes to another one.
                    if queried < MAX_QUERIES_PER_REQUEST:
                        queried += 1
                        is_probing = self._query_state(fn, scorer) or is_probing
                    continue
                if scorer.in_flight < self._in_flight_bound(scorer, fn):
                    return scorer
                beyond_bound.append(scorer)
            is_fresh = (
                scorer_copies.open_probes and self.now - scorer_copies.probe_sent_ms < state.PROBE_WAIT_MS
            )
            is_probing = is_probing or bool(is_fresh and self._copies(fn, scorer))
        return min(beyond_bound, key=lambda scorer: scorer.in_flight, default=None)

    def _has_free_lane(self, fn: Function, scorer_copies: ScorerCopies, scorer: Scorer) -> bool:
        """Whether a loaded copy has a free lane.

        A copy that was not seen for `COPY_STALE_MS` is probed first, at the cost of one round trip.
        """
        if (
            self.now < scorer_copies.blocked_until_ms
            or self._copies(fn, scorer) * fn.lanes <= scorer_copies.in_flight
        ):
            return False
        # With attempts in flight, only a reported number of copies shows that one more lane is free.
        evidence_ms = scorer_copies.counted_ms if scorer_copies.in_flight else scorer_copies.seen_ms
        is_sure = (
            scorer_copies.in_flight % fn.lanes > 0
            or self.now - evidence_ms < state.COPY_STALE_MS
            or self.many_front_ends
        )
        # A rejected probe is not repeated at once, as each may cost a connection.
        is_due = not scorer_copies.open_probes and self.now - scorer_copies.probe_sent_ms >= PROBE_PAUSE_MS
        may_probe = not is_sure and self.settings.load_orders_allowed and is_due
        if may_probe and self._is_usable(scorer, fn):
            self._probe(fn, scorer)
        return is_sure or not self.settings.load_orders_allowed

    def _in_flight_bound(self, scorer: Scorer, fn: Function) -> float:
        """Bound on this front end's requests in flight at a scorer: a multiple of its fair share."""
        fair = (len(self.attempts) + 1) * self._size(scorer) / self.ready_size
        factor = FAR_BOUND_FACTOR if self._is_in_other_zone(scorer, fn) else NEAR_BOUND_FACTOR
        return max(MIN_IN_FLIGHT_BOUND * self._capacity_share(scorer), factor * fair)

    def _is_preferred(self, scorer: Scorer, fn: Function) -> bool:
        """Whether a scorer can take a call and its slowdown is not that of an outlier."""
        return self._slowdown_of(scorer) <= self.max_slowdown and self._can_take(scorer, fn)

    def _can_take(self, scorer: Scorer, fn: Function) -> bool:
        """Whether a scorer is usable for the function and within its slow start limit."""
        return self._is_usable(scorer, fn) and self._within_slow_start_limit(scorer)
