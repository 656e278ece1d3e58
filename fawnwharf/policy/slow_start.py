"""Slow start: how many requests a scorer that has just started may get from this front end.

Let N be what the settings allow a scorer in slow start within `slow_start_window_ms`, called the window:
`slow_start_multiple` times its capacity at that moment (`slow_start_initial_share` of it at its start, rising
evenly to all of it over `slow_start_ms`) times the length of the window. All front ends together may send it
at most N + 2 * sqrt(N) + 2 requests in any window (N + 3 * sqrt(N) + 3 where N < 30). They share nothing, so
each keeps to a part of its own that follows from the settings, the roster, its own traffic and its own
answers.

The bound. Front end i sends at most floor(part_i + u_i) in a window, where u_i is drawn once, evenly in
[0, 1), for each pair of front end and scorer. Its mean is part_i exactly, also where part_i is far below one;
rounding up would give a scorer one request of each of 200 front ends. The parts add up to no more than N
and `safe_mean`:

- Where quotas are sold, part_i follows (1 - ANSWERED_PART) / fleet_size of what is sold to all, and
  ANSWERED_PART of what this front end had answered. The sum over front ends is a mean of what is sold and of
  what the fleet answers. Neither exceeds its capacity, however unevenly calls come and however often clients
  retry. Few front ends take no more than a part of their own arrivals either.
- Where nothing is sold, part_i follows a part of its own arrivals, and no more than its answers once there
  are some: the capacity is not given there, and the sum holds while what arrives is below what the fleet can
  do by 1 / ARRIVAL_SAFETY, or has begun to be answered.

The sum of the floors is then at most `safe_mean` plus a sum of independent, centred variables of range one,
no more than fleet_size of them. `safe_mean` is the largest mean of which that sum passes the bound with a
probability below FAILURE, by Chernoff's inequality, for each scorer and window. Few front ends can't pass it
at all, and for them it is N or more.

A front end that has just started does not know what its former incarnation sent: for one window from its own
start nothing goes to a scorer in slow start or, where front ends are few, what the bound leaves beside all
parts. Sends that left after a scorer's start and before it was reported count as well. Each window is taken
MARGIN_MS longer than `slow_start_window_ms`. Every send counts as one request of mean work: first attempts,
retries, hedged requests, and those that end in no answer, a miss or a rejection. Load orders and probes weigh
nothing.
"""

import math
from collections import deque

from fawnwharf.policy.state import REFRESH_MS, SAMPLE_WINDOW_MS, RouterState, Scorer, mix_bits

TRANSIT_MARGIN_MS = 50.0  # two sends may arrive so much nearer to each other than they left: one had to wait
ARRIVAL_SAFETY = 0.6  # of own arrivals, a guess: they grow where clients retry
ANSWERED_SHARE = 0.45  # of a front end's part that follows its answers; the rest is the same for all
BURST_MS = 250.0  # answers that came at once are counted over so long: a rate, not a burst
FORMER_INCARNATIONS = 2  # of a front end within a window, of whose sends it does not know
FAILURE_PROBABILITY = (
    1e-6  # accepted probability that chance takes all front ends past the bound, by scorer and window
)
CHERNOFF_THRESHOLD = (
    5 * FAILURE_PROBABILITY
)  # the inequality gives so much more than the true probability; tests compute it
SMALL_ALLOWANCE = 30.0  # below this N, the bound has wider terms
CHERNOFF_EXPONENTS = tuple(
    0.1 * 1.12**n for n in range(40)
)  # exponents that Chernoff's inequality is tried with
BISECTION_STEPS = 30  # of the interval in which the largest mean is searched


def bound(allowed: float) -> float:
    """The most that all front ends may send in a window, where N is `allowed`.

    It never falls as N grows: N may pass 30 within a window, and is seldom known exactly.
    """
    root = math.sqrt(allowed)
    if allowed >= SMALL_ALLOWANCE:
        return allowed + 2 * root + 2
    return min(allowed + 3 * root + 3, SMALL_ALLOWANCE + 2 * math.sqrt(SMALL_ALLOWANCE) + 2)


def _exponent(mean: float, excess: float, front_ends: int) -> float:
    """The logarithm of an upper bound of the probability that the floors exceed their mean by `excess`.

    It is the least one that the exponents of TILTS give.
    """
    least = 0.0
    for tilt in CHERNOFF_EXPONENTS:
        # The fraction for which the sum varies most.
        worst = 1 / tilt - 1 / math.expm1(tilt)
        fraction = min(mean / front_ends, worst)
        spread = math.log1p(fraction * math.expm1(tilt)) - tilt * fraction
        least = min(least, front_ends * spread - tilt * excess)
    return least


def least_violation(allowed: float) -> int:
    """The least number of requests that is past the bound, where N is `allowed`."""
    return math.floor(bound(allowed)) + 1


def safe_mean(past: int, front_ends: int) -> float:
    """The largest sum of all parts that chance takes to `past` with a probability below FAILURE."""
    # Each floor exceeds its part by less than one.
    low = max(0.0, float(past - front_ends))
    high = float(past)
    for _ in range(BISECTION_STEPS):
        middle = (low + high) / 2
        if _exponent(middle, past - middle, front_ends) <= math.log(CHERNOFF_THRESHOLD):
            low = middle
        else:
            high = middle
    return low


class SlowStart(RouterState):
    """The part of each scorer's slow start that is this front end's; see the module for the bound."""

    def _within_slow_start_limit(self, scorer: Scorer) -> bool:
        """Whether one more request may be sent to a scorer now."""
        share = self._warmth(scorer)
        window_ms = self.settings.slow_start_window_ms
        if share >= 1.0 or window_ms <= 0:  # warmed up, or there is no limit
            return True
        self._prune(scorer.slow_start_sends)
        factor = self.settings.slow_start_multiple * share * window_ms
        if self.now < self.began_ms + window_ms + TRANSIT_MARGIN_MS:
            limit: float = self._spare_sends(self._allowed_sends(scorer, factor))
        else:
            limit = self._drawn_limit(scorer, factor, window_ms)
        return len(scorer.slow_start_sends) + 1 <= limit

    def _drawn_limit(self, scorer: Scorer, factor: float, window_ms: float) -> float:
        """Own sends to a scorer in a window: this front end's part, and the fraction drawn for the scorer."""
        own = self._slow_start_share(scorer, factor)
        left = own
        if scorer.remote_load.sent is not None and self._has_remote_load(scorer, window_ms):
            # Others have sent their parts since the report.
            past = (self.now - scorer.remote_load_ms) / window_ms
            left = own * (self.front_ends - past * (self.front_ends - 1)) - scorer.remote_load.sent
        # What others leave is shared: all front ends see it at once.
        left = min(left, own + (left - own) / self.front_ends)
        # By chance, so that a part below one falls to as many front ends as it should.
        return left + mix_bits(mix_bits(self.chance ^ scorer.hash_bits)) / 2**64

    def _allowed_sends(self, scorer: Scorer, factor: float) -> float:
        """N, as far as this front end can tell: the scorer's rate when warmed up times `factor`."""
        if self.total_quota_per_ms > 0:
            return factor * self.total_quota_per_ms * self._size_share(scorer)
        return factor * self._warm_rate(scorer) * self.front_ends

    def _slow_start_share(self, scorer: Scorer, factor: float) -> float:
        """This front end's part of what all may send there in a window."""
        return factor * self._warm_rate(scorer) * self._safe_share(self._allowed_sends(scorer, factor))

    def _spare_sends(self, allowed: float) -> int:
        """What each of few front ends may send beside what its former incarnation may have sent."""
        spare = least_violation(allowed) - allowed - self.front_ends
        return math.floor(spare / (FORMER_INCARNATIONS * self.front_ends))

    def _safe_share(self, allowed: float) -> float:
        """The part of N that all front ends together may take in the mean."""
        past = least_violation(allowed)
        if allowed + self.front_ends <= past:
            return 1.0
        if past not in self.safe_mean_cache:
            self.safe_mean_cache[past] = safe_mean(past, self.front_ends)
        return min(1.0, self.safe_mean_cache[past] / allowed) if allowed > 0 else 0.0

    def _warm_rate(self, scorer: Scorer) -> float:
        """This front end's part of a scorer's capacity when warmed up, in requests a millisecond."""
        arrivals = ARRIVAL_SAFETY * len(self.arrivals_ms) / self.stretch_ms / max(1, len(self.ready))
        answered = self._answer_rate()
        if self.total_quota_per_ms > 0:
            sold = self.total_quota_per_ms / self.front_ends
            rate = (sold + ANSWERED_SHARE * (answered - sold)) * self._size_share(scorer)
            return rate if self.has_many_front_ends else min(rate, arrivals)
        if answered > 0:
            # The answers came from as much of the fleet as was warmed up at the most meanwhile.
            largest = max(ready_size for _, ready_size in self.ready_size_history)
            return min(arrivals, answered * self.members.get(scorer.id, 1.0) / largest)
        return arrivals

    def _answer_rate(self) -> float:
        """Own answers of warm copies, a millisecond.

        Few are counted over a whole span, or the sum over front ends with few each would exceed what the
        fleet answers.
        """
        timed = self.runs.timed
        while timed and timed[0][0] < self.now - SAMPLE_WINDOW_MS:
            timed.popleft()
        if len(timed) == timed.maxlen:
            return (len(timed) - 1) / max(BURST_MS, self.now - timed[0][0])
        return len(timed) / max(REFRESH_MS, min(SAMPLE_WINDOW_MS, self.now - self.began_ms))

    def _size_share(self, scorer: Scorer) -> float:
        """The scorer's part of the largest fleet seen: what is sold was sold for all of it."""
        return self.members.get(scorer.id, 1.0) / self.largest_listed_size

    def _record_ready_size(self) -> None:
        """Record the size of the ready fleet, for as long as answers count."""
        while self.ready_size_history and self.ready_size_history[0][0] < self.now - SAMPLE_WINDOW_MS:
            self.ready_size_history.popleft()
        self.ready_size_history.append((self.now, self.ready_size))

    def _begin_slow_start(self, scorer: Scorer, started_ms: float, since_ms: float) -> None:
        """Begin the slow start of a scorer whose start was reported or guessed.

        What was sent from `since_ms` on, before the start was known, may have met this incarnation.
        """
        scorer.started_ms = started_ms
        self._prune(scorer.recent_sends)
        scorer.slow_start_sends = deque(sent_ms for sent_ms in scorer.recent_sends if sent_ms >= since_ms)

    def _count_send(self, scorer: Scorer) -> None:
        """Count a send of this moment for a scorer's slow start."""
        self._prune(scorer.recent_sends)
        scorer.recent_sends.append(self.now)
        if self._warmth(scorer) < 1.0:
            scorer.slow_start_sends.append(self.now)

    def _prune(self, sends: deque[float]) -> None:
        """Drop sends that left the window."""
        while sends and sends[0] <= self.now - self.settings.slow_start_window_ms - TRANSIT_MARGIN_MS:
            sends.popleft()

    def _warmth(self, scorer: Scorer) -> float:
        """The part of its capacity that a scorer has at the least."""
        age = max(0.0, self.now - scorer.started_ms) / max(1.0, self.settings.slow_start_ms)
        initial = self.settings.slow_start_initial_share
        return min(1.0, initial + (1 - initial) * age)

    def _size(self, scorer: Scorer) -> float:
        """A ready scorer's size; in slow start the part of it that has warmed up."""
        return self.members[scorer.id] * self._warmth(scorer)
