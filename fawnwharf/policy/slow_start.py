"""Slow start: how many requests this front end may send to a scorer that has recently started.

The limit for all front ends. A window is `slow_start_window_ms` long. Let N be the number of requests that
the settings allow a scorer in slow start within a window: `slow_start_multiple` times its current capacity
times the length of the window. The current capacity is `slow_start_initial_share` of the full capacity at the
start and rises linearly to the full capacity over `slow_start_ms`. All front ends together may send the
scorer at most N + 2 * sqrt(N) + 2 requests in any window (N + 3 * sqrt(N) + 3 if N < 30). Front ends do not
coordinate: each computes a share of its own from the settings, the roster, its own traffic and its own
answers.

The limit for one front end. Front end i sends at most floor(share_i + u_i) requests in a window. u_i is drawn
once for each pair of front end and scorer, uniformly from [0, 1). So the mean of the limit is exactly
share_i, even if share_i is far below one; rounding up instead would send a scorer one request from each of
200 front ends. The shares add up to at most N and at most `safe_mean`:

- With quotas, share_i is a weighted mean of two rates. The sum of all quotas divided by the number of front
  ends has the weight 1 - ANSWERED_SHARE; this front end's rate of answered calls has the weight
  ANSWERED_SHARE. The sum over all front ends is then a weighted mean of the total quota and of the rate that
  the scorers answer. Neither exceeds their capacity, however unevenly calls arrive and however often clients
  retry. If there are few front ends, share_i is also at most a part of this front end's own arrivals.
- Without quotas the capacity is unknown. share_i is a part of this front end's own arrivals, and at most its
  rate of answered calls once there are answers. The limit for all holds if the arrivals stay below the
  capacity divided by ARRIVAL_SAFETY, or once answers have come in.

The limits of all front ends add up to at most `safe_mean` plus a sum of at most `fleet_size` independent
random variables, each with mean zero and a range of one. `safe_mean` is the largest mean for which this total
exceeds the limit for all with a probability below FAILURE_PROBABILITY, for each scorer and window, by
Chernoff's inequality. A few front ends cannot exceed it at all, and for them `safe_mean` is N or more.

What counts. A front end that has just started does not know what its previous incarnation sent. For one
window after its own start it sends nothing to a scorer in slow start; if there are few front ends, it sends
what the limit for all leaves besides all shares. Requests sent after a scorer's start, but before the start
was reported, count as well. Each window is taken TRANSIT_MARGIN_MS longer than `slow_start_window_ms`. Every
send counts as one request of average work: first attempts, retries, hedged requests, and those that end
without an answer, in a miss or in a rejection. Load orders and probes do not count.
"""

import math
from collections import deque

from fawnwharf.policy.state import REFRESH_MS, SAMPLE_WINDOW_MS, RouterState, Scorer, mix_bits

TRANSIT_MARGIN_MS = 50.0  # two sends may arrive this much closer together than they left, if one was delayed
ARRIVAL_SAFETY = 0.6  # part of the own arrivals that counts, as retries of clients inflate them
ANSWERED_SHARE = 0.45  # weight of the own answers in a front end's share; the rest is equal for all
BURST_MS = 250.0  # minimum time over which the answer rate is computed, so that a burst is no rate
FORMER_INCARNATIONS = 2  # previous incarnations of a front end within one window, whose sends are unknown
# Accepted probability that the front ends exceed the limit for all by chance, per scorer and window.
FAILURE_PROBABILITY = 1e-6
# Chernoff's inequality gives at least five times the true probability; tests compute the exact one.
CHERNOFF_THRESHOLD = 5 * FAILURE_PROBABILITY
SMALL_ALLOWANCE = 30.0  # below this N the limit for all has wider terms
CHERNOFF_EXPONENTS = tuple(0.1 * 1.12**n for n in range(40))  # exponents tried in Chernoff's inequality
BISECTION_STEPS = 30  # steps of the search for the largest safe mean


def bound(allowed: float) -> float:
    """The number of requests that all front ends together may send in a window, where N is `allowed`.

    It never decreases as N grows, because N may pass 30 within a window and is seldom known exactly.
    """
    root = math.sqrt(allowed)
    if allowed >= SMALL_ALLOWANCE:
        return allowed + 2 * root + 2
    return min(allowed + 3 * root + 3, SMALL_ALLOWANCE + 2 * math.sqrt(SMALL_ALLOWANCE) + 2)


def _log_probability(mean: float, excess: float, front_ends: int) -> float:
    """The logarithm of an upper bound of the probability that the limits exceed their mean by `excess`.

    `mean` is the mean of the sum of all front ends' limits. The result is the smallest of the
    bounds that CHERNOFF_EXPONENTS give.
    """
    smallest = 0.0
    for exponent in CHERNOFF_EXPONENTS:
        # The fractional part of a share at which the sum varies most.
        worst_fraction = 1 / exponent - 1 / math.expm1(exponent)
        fraction = min(mean / front_ends, worst_fraction)
        log_moment = math.log1p(fraction * math.expm1(exponent)) - exponent * fraction
        smallest = min(smallest, front_ends * log_moment - exponent * excess)
    return smallest


def least_violation(allowed: float) -> int:
    """The smallest number of requests in a window that violates the limit for all, where N is `allowed`."""
    return math.floor(bound(allowed)) + 1


def safe_mean(violation: int, front_ends: int) -> float:
    """The largest sum of shares that reaches `violation` with a probability below FAILURE_PROBABILITY."""
    # The limit of a front end exceeds its share by less than one.
    low = max(0.0, float(violation - front_ends))
    high = float(violation)
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if _log_probability(middle, violation - middle, front_ends) <= math.log(CHERNOFF_THRESHOLD):
            low = middle
        else:
            high = middle
    return low


class SlowStart(RouterState):
    """This front end's limits on requests to scorers in slow start; see the module docstring."""

    def _within_slow_start_limit(self, scorer: Scorer) -> bool:
        """Whether the slow start of a scorer allows one more request now."""
        share = self._capacity_share(scorer)
        window_ms = self.settings.slow_start_window_ms
        if share >= 1.0 or window_ms <= 0:  # the slow start is over, or there is no limit
            return True
        self._prune(scorer.slow_start_sends)
        factor = self.settings.slow_start_multiple * share * window_ms
        if self.now < self.first_event_ms + window_ms + TRANSIT_MARGIN_MS:
            limit: float = self._spare_sends(self._allowed_sends(scorer, factor))
        else:
            limit = self._drawn_limit(scorer, factor, window_ms)
        return len(scorer.slow_start_sends) + 1 <= limit

    def _drawn_limit(self, scorer: Scorer, factor: float, window_ms: float) -> float:
        """This front end's limit for a window: its share plus the fraction drawn for the scorer."""
        own = self._slow_start_share(scorer, factor)
        left = own
        if scorer.remote_load.sent is not None and self._has_remote_load(scorer, window_ms):
            # The other front ends are assumed to have used their shares evenly since the report.
            elapsed = (self.now - scorer.remote_load_ms) / window_ms
            left = own * (self.front_ends - elapsed * (self.front_ends - 1)) - scorer.remote_load.sent
        # Only a share of what others left unused may be taken, as all front ends see it at the same time.
        left = min(left, own + (left - own) / self.front_ends)
        # With a random fraction, a share below one lets the right number of front ends send a request.
        return left + mix_bits(mix_bits(self.draw_seed ^ scorer.hash_bits)) / 2**64

    def _allowed_sends(self, scorer: Scorer, factor: float) -> float:
        """This front end's estimate of N: the scorer's rate at full capacity times `factor`."""
        if self.total_quota_per_ms > 0:
            return factor * self.total_quota_per_ms * self._size_share(scorer)
        return factor * self._warm_rate(scorer) * self.front_ends

    def _slow_start_share(self, scorer: Scorer, factor: float) -> float:
        """This front end's share of the requests that all front ends may send to a scorer in a window."""
        return factor * self._warm_rate(scorer) * self._safe_share(self._allowed_sends(scorer, factor))

    def _spare_sends(self, allowed: float) -> int:
        """The number of requests that one of a few front ends may send in the window after its own start.

        It is small enough for the limit for all to hold, whatever its previous incarnations sent.
        """
        spare = least_violation(allowed) - allowed - self.front_ends
        return math.floor(spare / (FORMER_INCARNATIONS * self.front_ends))

    def _safe_share(self, allowed: float) -> float:
        """The part of N that the shares of all front ends may add up to."""
        violation = least_violation(allowed)
        if allowed + self.front_ends <= violation:
            return 1.0
        if violation not in self.safe_mean_cache:
            self.safe_mean_cache[violation] = safe_mean(violation, self.front_ends)
        return min(1.0, self.safe_mean_cache[violation] / allowed) if allowed > 0 else 0.0

    def _warm_rate(self, scorer: Scorer) -> float:
        """This front end's share of a scorer's full capacity, in requests per millisecond."""
        arrivals = ARRIVAL_SAFETY * len(self.arrivals_ms) / self.arrival_window_ms / max(1, len(self.ready))
        answered = self._answer_rate()
        if self.total_quota_per_ms > 0:
            own_quota = self.total_quota_per_ms / self.front_ends
            rate = (own_quota + ANSWERED_SHARE * (answered - own_quota)) * self._size_share(scorer)
            return rate if self.many_front_ends else min(rate, arrivals)
        if answered > 0:
            # The answers came from at most the largest fleet of ready scorers in that time.
            largest = max(ready_size for _, ready_size in self.ready_size_history)
            return min(arrivals, answered * self.scorer_sizes.get(scorer.id, 1.0) / largest)
        return arrivals

    def _answer_rate(self) -> float:
        """The rate of this front end's answers from warm copies, per millisecond.

        A few answers are divided by the whole sample window. Otherwise the rates of many front ends with few
        answers each would add up to more than the scorers answer.
        """
        timed = self.run_times.timed_values
        while timed and timed[0][0] < self.now - SAMPLE_WINDOW_MS:
            timed.popleft()
        if len(timed) == timed.maxlen:
            return (len(timed) - 1) / max(BURST_MS, self.now - timed[0][0])
        return len(timed) / max(REFRESH_MS, min(SAMPLE_WINDOW_MS, self.now - self.first_event_ms))

    def _size_share(self, scorer: Scorer) -> float:
        """The scorer's share of the largest set of scorers listed so far, for which the quotas were set."""
        return self.scorer_sizes.get(scorer.id, 1.0) / self.largest_listed_size

    def _record_ready_size(self) -> None:
        """Record the size of all ready scorers, for as long as run time samples are kept."""
        while self.ready_size_history and self.ready_size_history[0][0] < self.now - SAMPLE_WINDOW_MS:
            self.ready_size_history.popleft()
        self.ready_size_history.append((self.now, self.ready_size))

    def _begin_slow_start(self, scorer: Scorer, started_ms: float, since_ms: float) -> None:
        """Begin the slow start of a scorer whose start was reported or is assumed.

        Requests sent from `since_ms` on, before the start was known, may have reached the new process and
        count for the slow start.
        """
        scorer.started_ms = started_ms
        self._prune(scorer.recent_sends)
        scorer.slow_start_sends = deque(sent_ms for sent_ms in scorer.recent_sends if sent_ms >= since_ms)

    def _count_send(self, scorer: Scorer) -> None:
        """Record a send at the current time for the limit of a scorer's slow start."""
        self._prune(scorer.recent_sends)
        scorer.recent_sends.append(self.now)
        if self._capacity_share(scorer) < 1.0:
            scorer.slow_start_sends.append(self.now)

    def _prune(self, sends: deque[float]) -> None:
        """Drop the sends that are older than the slow start window."""
        while sends and sends[0] <= self.now - self.settings.slow_start_window_ms - TRANSIT_MARGIN_MS:
            sends.popleft()

    def _capacity_share(self, scorer: Scorer) -> float:
        """The part of its full capacity that a scorer has by the slow start settings, from 0 to 1."""
        age = max(0.0, self.now - scorer.started_ms) / max(1.0, self.settings.slow_start_ms)
        initial = self.settings.slow_start_initial_share
        return min(1.0, initial + (1 - initial) * age)

    def _size(self, scorer: Scorer) -> float:
        """A ready scorer's size; in slow start it is reduced to the capacity at the time."""
        return self.scorer_sizes[scorer.id] * self._capacity_share(scorer)
