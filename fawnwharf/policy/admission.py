"""Admission, limits, retries and final answers: which requests are sent, retried, late or answered here."""

import math

from fawnwharf import interface as io
from fawnwharf.policy import health, routing
from fawnwharf.policy.state import (
    ANSWER_LEAD_MS,
    FORGET_MS,
    LATE_RUNS,
    MAX_LATE_PART,
    SAMPLE_WINDOW_MS,
    SILENCE_LIMIT_MS,
    SWEEP_MS,
    Request,
    RouterState,
    Scorer,
)

WINDOW_MARGIN_MS = 100.0  # a retry must arrive within the deduplication window, not only be sent within it
FIRST_TRY_MIN_PART = 0.2  # a request with less than this part of its deadline left is a client's retry
LIMIT_MARGIN = 1.5  # margin of a limit above its mean, in standard deviations (square roots of the mean)
GIVE_UP_PART = 0.5  # a late request that was not sent within this part of its time is given up


class Admission(RouterState):
    """Applies limits, tenant quotas and the rules on retries, and gives the front end's own final answers."""

    def _is_over_quota(self, tenant: str) -> bool:
        """Take one token from a tenant's token bucket; returns whether it was empty.

        The bucket holds the tokens of one second. With many front ends, each gets few requests, so the bucket
        also holds a margin for random variation.
        """
        if tenant not in self.settings.quotas_rps:
            return False
        rate = self.settings.quotas_rps[tenant] / self.front_ends
        capacity = rate + self.many_front_ends * 2 * math.sqrt(rate * SAMPLE_WINDOW_MS / 1000)
        tokens, since_ms = self.quota_tokens.get(tenant, (capacity, self.now))
        tokens = min(capacity, tokens + rate * (self.now - since_ms) / 1000)
        self.quota_tokens[tenant] = (tokens - (tokens >= 1), self.now)
        return tokens < 1

    def _urgency(self, request: Request) -> tuple[bool, bool, float, str]:
        """Sort key of queued requests: those within the quota first, then those not late, then by arrival."""
        return request.over_quota, self._is_late(request), request.arrived_ms, request.id

    def _is_late(self, request: Request) -> bool:
        """Whether a request will probably miss its latency target."""
        # If run times are so long that every request would be late, a part of the target counts instead.
        longest_ms = request.spec.latency_target_ms * MAX_LATE_PART
        return request.target_ms - self.now < min(LATE_RUNS * self._run_time_ms(request.function), longest_ms)

    def _should_give_up(self, request: Request) -> bool:
        """Whether to give up a late request that was never sent and is over its quota or half its time.

        The drawback is that the client does not get the late answer that might have come.
        """
        half_ms = request.arrived_ms + GIVE_UP_PART * (request.deadline_ms - request.arrived_ms)
        may_give_up = request.over_quota or self.now + SWEEP_MS + ANSWER_LEAD_MS >= half_ms
        return may_give_up and not request.attempts and self._is_late(request)

    def _may_send_here(self, request: Request, scorer: Scorer, part: float) -> bool:
        """Whether a request may be sent to a scorer now, if it may use `part` of the scorer's limit."""
        if not self._can_take(scorer, request.function) or scorer.in_flight >= scorer.in_flight_limit * part:
            return False
        return self._may_run_at(request, scorer)

    def _may_run_at(self, request: Request, scorer: Scorer) -> bool:
        """Whether a request's class and its earlier attempts allow sending it to this scorer."""
        if any(attempt.scorer == scorer.id and attempt.may_have_run for attempt in request.attempts):
            return False
        first = request.first_possible_run()
        if first is None or request.spec.effect is io.Effect.IDEMPOTENT:
            return True
        group = request.spec.group
        if group is io.DeduplicationGroup.ALL:
            return self._may_send_again(request)
        if group is io.DeduplicationGroup.ZONE:
            is_same_group = first.zone == scorer.entry.zone
        else:
            is_same_group = first.cell == scorer.entry.cell
        return is_same_group and self._may_send_again(request)

    def _may_send_again(self, request: Request) -> bool:
        """Whether a request may have another attempt, at any scorer."""
        is_in_flight = any(attempt.open for attempt in request.attempts)
        if len(request.attempts) >= self.settings.max_attempts:
            return False
        if is_in_flight and not self.settings.hedging:
            return False
        first = request.first_possible_run()
        is_safe = first is None or request.spec.effect is io.Effect.IDEMPOTENT
        return is_safe or self._window_left_ms(request) > 0

    def _window_left_ms(self, request: Request) -> float:
        """Milliseconds from now within which the request must begin to be written.

        A retry must arrive within the deduplication window of the scorers. The window begins when the first
        attempt arrives there; here it is counted from the send of that attempt, to be safe.
        """
        first = request.first_possible_run()
        spec = request.spec
        if first is None or spec.effect is io.Effect.IDEMPOTENT:
            return math.inf
        if spec.effect is io.Effect.AT_MOST_ONCE:
            return -math.inf
        return first.sent_ms + spec.dedup_window_ms - WINDOW_MARGIN_MS - self.now

    def _requeue(self, request: Request) -> None:
        """Queue a request for another attempt; answer it if none is allowed and none is in flight."""
        if self._may_send_again(request):
            request.queued_ms = self.now
            request.function.queue.append(request)
            self.waiting.add(request.function)
        elif not any(attempt.open for attempt in request.attempts):
            self._finish(request)

    def _finish(self, request: Request) -> None:
        """Give a request the front end's own final answer and close it."""
        # Retry-After is given if capacity was missing, not after failed attempts.
        self._count_unsent(request)
        retry_after_ms = self.settings.max_retry_after_ms * (request.over_quota or not request.attempts)
        effect = request.spec.effect
        is_deduplicated = effect is io.Effect.DEDUPLICATED and request.spec.group is io.DeduplicationGroup.ALL
        is_harmless = (
            is_deduplicated or effect is io.Effect.IDEMPOTENT or request.first_possible_run() is None
        )
        self._close(request)
        self.actions.append(io.Reject(request.id, retry_after_ms) if is_harmless else io.Fail(request.id))

    def _close(self, request: Request) -> None:
        """Drop a request, and cancel its attempts in flight if cancelling is allowed."""
        del self.requests[request.id]
        request.function.queue = [queued for queued in request.function.queue if queued is not request]
        if self.settings.cancellation_allowed:
            numbers = [number for number, attempt in enumerate(request.attempts) if attempt.open]
            self.actions.extend(io.Cancel(request.id, number) for number in numbers)

    def _refresh(self) -> None:
        """Recompute what depends on the roster, the settings and the recent run times."""
        sizes = {scorer.id: self._configured_size(scorer) for scorer in self.ready}
        if sizes != self.scorer_sizes:
            self.scorer_sizes = sizes
        self._refresh_copies()
        if self.now - self.last_cleanup_ms >= FORGET_MS / 4:
            self._drop_unused_state()
        self.ready_size = sum(self._size(scorer) for scorer in self.ready) or 1.0
        self._record_ready_size()
        full_size = sum(sizes.values())
        draining = [
            scorer for scorer in self.scorers.values() if scorer.entry.state is io.ScorerState.DRAINING
        ]
        self.largest_ready_size = max(self.largest_ready_size, full_size)
        self.largest_listed_size = max(
            self.largest_listed_size,
            self.largest_ready_size,
            full_size + sum(map(self._configured_size, draining)),
        )
        self.refreshed_ms = self.now
        self._refresh_scorer_limits()
        self._refresh_fleet_limits()

    def _refresh_scorer_limits(self) -> None:
        """Compute the limit on the requests in flight at each scorer.

        By Little's law, the total quota times the run time at scorers that are not crowded is the number of
        calls that run at the same time.
        """
        quota = self.total_quota_per_ms
        limit_sum = 0.0
        for scorer in self.ready:
            mean = quota * self.run_ms * self._size(scorer) / self.largest_ready_size  # of all front ends
            limit_sum += self._with_margin(mean)
            own = self._with_margin(mean / self.front_ends)
            scorer.in_flight_limit = max(2.0 if self.many_front_ends else 1.0, own) if quota > 0 else math.inf
        self.mean_concurrency_limit = (
            limit_sum / max(1, len(self.ready)) if quota > 0 else 2 * routing.MIN_IN_FLIGHT_BOUND
        )

    def _refresh_fleet_limits(self) -> None:
        """Compute whether there are many front ends, and the limits that depend on it."""
        self.many_front_ends = self.mean_concurrency_limit < self.front_ends
        self.max_slowdown = math.inf
        self.silence_limit_ms = SILENCE_LIMIT_MS
        self.attempt_limit = math.inf
        if not self.many_front_ends:
            return
        slowdowns = sorted(self._slowdown_of(scorer) for scorer in self.ready)
        if slowdowns:
            self.max_slowdown = health.OUTLIER_SLOWDOWN * slowdowns[len(slowdowns) // 2]
        self.silence_limit_ms = health.LOST_RUNS * (self.run_times.median(self.now) or 200.0)
        # With more requests in flight, all of them would be late.
        mean_in_flight = self.total_quota_per_ms * self.latency_target_ms * MAX_LATE_PART / self.front_ends
        self.attempt_limit = self._with_margin(mean_in_flight or math.inf)

    def _configured_size(self, scorer: Scorer) -> float:
        """A scorer's full size: the one in the roster if the settings say that it is reliable, else 1."""
        return max(scorer.entry.units, 0.01) if self.settings.weights_fixed else 1.0

    def _with_margin(self, mean: float) -> float:
        """A limit for a number with this mean, with a margin for random variation."""
        return mean + LIMIT_MARGIN * math.sqrt(mean)
