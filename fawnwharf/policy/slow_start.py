"""Slow start: how many requests a worker that has just started may get from this front end.

Let N be what the settings allow a worker in slow start within `fall_ms`: `fall_multiple` times its capacity
at that moment (`cold_share` of it at its start, rising evenly to all of it over `cold_ms`) times `fall_ms`.
All front ends together may send it at most N + 2 * sqrt(N) + 2 requests in any window of `fall_ms`
(N + 3 * sqrt(N) + 3 where N < 30). They share nothing, so each keeps to a part of its own that follows from
the settings, the roster, its own traffic and its own answers.

The bound. Front end i sends at most floor(part_i + u_i) in a window, where u_i is drawn once, evenly in
[0, 1), for each pair of front end and worker. Its mean is part_i exactly, also where part_i is far below one;
rounding up would give a worker one request of each of 200 front ends. The parts add up to no more than N
and `safe_mean`:

- Where quotas are sold, part_i follows (1 - ANSWERED_PART) / fleet_size of what is sold to all, and
  ANSWERED_PART of what this front end had answered. The sum over front ends is a mean of what is sold and of
  what the fleet answers. Neither exceeds its capacity, however unevenly calls come and however often clients
  try again. Few front ends take no more than a part of their own arrivals either.
- Where nothing is sold, part_i follows a part of its own arrivals, and no more than its answers once there
  are some: capacity is not told there, and the sum holds while what arrives is below what the fleet can do by
  1 / COLD_SAFETY, or has begun to be answered.

The sum of the floors is then at most `safe_mean` plus a sum of independent, centred variables of range one,
no more than fleet_size of them. `safe_mean` is the largest mean of which that sum passes the bound with a
probability below FAILURE, by Chernoff's inequality, for each worker and window. Few front ends can't pass it
at all, and for them it is N or more.

A front end that has just started does not know what its former life sent: for `fall_ms` from its own start
nothing goes to a worker in slow start or, where front ends are few, what the bound leaves beside all parts.
Sends that left after a worker's start and before it was told count as well. Each window is taken MARGIN_MS
longer than `fall_ms`. Every send counts as one request of mean work: first ones, repeats, second attempts,
and those that end in no answer, a miss or FULL. Orders and questions weigh nothing.
"""

import math
from collections import deque

from fawnwharf.policy.state import REFRESH_MS, WINDOW_MS, Known, Scorer, mix

MARGIN_MS = 50.0  # two sends may arrive that much nearer to each other than they left: one had to wait
COLD_SAFETY = 0.6  # of own arrivals, a guess: they swell where clients try again
ANSWERED_PART = 0.45  # of a front end's part that follows its answers; the rest is the same for all
BURST_MS = 250.0  # answers that came at once are counted over that much: a rate, not a burst
FORMER_INCARNATIONS = 2  # of a front end within a window, of which it is not to know
FAILURE = 1e-6  # accepted probability that chance takes all front ends past the bound: a worker, a window
CHERNOFF = 5 * FAILURE  # the inequality gives that much more than the true probability; tests compute it
SMALL = 30.0  # below this N, the bound has wider terms
TILTS = tuple(0.1 * 1.12**n for n in range(40))  # exponents that Chernoff's inequality is tried with
HALVINGS = 30  # of the interval in which the largest mean is searched


def bound(allowed: float) -> float:
    """The most that all front ends may send in a window, never falling as N grows: N may pass 30 within a
    window, and is seldom known exactly."""
    root = math.sqrt(allowed)
    if allowed >= SMALL:
        return allowed + 2 * root + 2
    return min(allowed + 3 * root + 3, SMALL + 2 * math.sqrt(SMALL) + 2)


def _exponent(mean: float, excess: float, front_ends: int) -> float:
    """Of the least upper bound found for the probability that floors exceed their mean by `excess`."""
    least = 0.0
    for tilt in TILTS:
        worst = 1 / tilt - 1 / math.expm1(tilt)  # the fraction for which the sum varies most
        fraction = min(mean / front_ends, worst)
        spread = math.log1p(fraction * math.expm1(tilt)) - tilt * fraction
        least = min(least, front_ends * spread - tilt * excess)
    return least


def first_past(allowed: float) -> int:
    """The least number of requests that is past the bound."""
    return math.floor(bound(allowed)) + 1


def safe_mean(past: int, front_ends: int) -> float:
    """The largest sum of all parts that chance takes to `past` with a probability below FAILURE."""
    low = max(0.0, float(past - front_ends))  # each floor exceeds its part by less than one
    high = float(past)
    for _ in range(HALVINGS):
        middle = (low + high) / 2
        if _exponent(middle, past - middle, front_ends) <= math.log(CHERNOFF):
            low = middle
        else:
            high = middle
    return low


class SlowStart(Known):
    """The part of each worker's slow start that is this front end's; see the module for the bound."""

    def _within_slow_start_limit(self, worker: Scorer) -> bool:
        """May one more request go there now?"""
        share, fall_ms = self._warmth(worker), self.settings.slow_start_window_ms
        if share >= 1.0 or fall_ms <= 0:  # warm, or no such rule
            return True
        self._prune(worker.slow_start_sends)
        factor = self.settings.slow_start_multiple * share * fall_ms
        if self.now < self.began_ms + fall_ms + MARGIN_MS:
            return len(worker.slow_start_sends) + 1 <= self._spare_sends(self._allowed_sends(worker, factor))
        left = own = self._slow_start_part(worker, factor)
        if worker.remote_load.sent is not None and self._has_remote_load(worker, fall_ms):
            past = (self.now - worker.remote_load_ms) / fall_ms  # others have sent their parts since
            left = (
                own * (self.front_ends - past * (self.front_ends - 1)) - worker.remote_load.sent
            )  # all see it at once
        left = (
            min(left, own + (left - own) / self.front_ends) + mix(mix(self.chance ^ worker.hash_bits)) / 2**64
        )
        return (
            len(worker.slow_start_sends) + 1 <= left
        )  # by chance: a part below one falls to as many front ends

    def _allowed_sends(self, worker: Scorer, factor: float) -> float:
        """N, as far as this front end can tell: the worker's rate when warm times `factor`."""
        if self.sold_rate > 0:
            return factor * self.sold_rate * self._unit_part(worker)
        return factor * self._warm_rate(worker) * self.front_ends

    def _slow_start_part(self, worker: Scorer, factor: float) -> float:
        """Of what all front ends may send there in a window, this one's."""
        return factor * self._warm_rate(worker) * self._safe_part(self._allowed_sends(worker, factor))

    def _spare_sends(self, allowed: float) -> int:
        """What each of few front ends may send beside what its former life may have sent."""
        return math.floor(
            (first_past(allowed) - allowed - self.front_ends) / (FORMER_INCARNATIONS * self.front_ends)
        )

    def _safe_part(self, allowed: float) -> float:
        """The part of N that all front ends together may take in the mean."""
        past = first_past(allowed)
        if allowed + self.front_ends <= past:
            return 1.0
        if past not in self.sure:
            self.sure[past] = safe_mean(past, self.front_ends)
        return min(1.0, self.sure[past] / allowed) if allowed > 0 else 0.0

    def _warm_rate(self, worker: Scorer) -> float:
        """This front end's part of what the worker can do when warm, in requests a millisecond."""
        arrivals = COLD_SAFETY * len(self.arrivals_ms) / self.stretch_ms / max(1, len(self.ready))
        answered = self._answered()
        if self.sold_rate > 0:
            sold = self.sold_rate / self.front_ends
            rate = (sold + ANSWERED_PART * (answered - sold)) * self._unit_part(worker)
            return rate if self.is_wide else min(rate, arrivals)
        if answered > 0:  # by as much of the fleet as was warm at the most meanwhile
            able = max(total for _, total in self.totals)
            return min(arrivals, answered * self.members.get(worker.id, 1.0) / able)
        return arrivals

    def _answered(self) -> float:
        """Own answers of warm copies, a millisecond; few are counted over a whole span, or the sum over
        front ends with few each would exceed what the fleet answers."""
        timed = self.runs.timed
        while timed and timed[0][0] < self.now - WINDOW_MS:
            timed.popleft()
        if len(timed) == timed.maxlen:
            return (len(timed) - 1) / max(BURST_MS, self.now - timed[0][0])
        return len(timed) / max(REFRESH_MS, min(WINDOW_MS, self.now - self.began_ms))

    def _unit_part(self, worker: Scorer) -> float:
        """The worker's part of the largest fleet seen: what is sold was sold for all of it."""
        return self.members.get(worker.id, 1.0) / self.largest_listed

    def _note_total(self) -> None:
        """The size of the ready fleet, for as long as answers count."""
        while self.totals and self.totals[0][0] < self.now - WINDOW_MS:
            self.totals.popleft()
        self.totals.append((self.now, self.total))

    def _begin_slow_start(self, worker: Scorer, started_ms: float, since_ms: float) -> None:
        """A start was told, or guessed. What left for the worker from `since_ms` on, while it was held to be
        another life of it, may have met this one."""
        worker.started_ms = started_ms
        self._prune(worker.recent_sends)
        worker.slow_start_sends = deque(sent_ms for sent_ms in worker.recent_sends if sent_ms >= since_ms)

    def _count_send(self, worker: Scorer) -> None:
        self._prune(worker.recent_sends)
        worker.recent_sends.append(self.now)
        if self._warmth(worker) < 1.0:
            worker.slow_start_sends.append(self.now)

    def _prune(self, sends: deque[float]) -> None:
        while sends and sends[0] <= self.now - self.settings.slow_start_window_ms - MARGIN_MS:
            sends.popleft()

    def _warmth(self, worker: Scorer) -> float:  # the part of its capacity that a worker has at the least
        age = max(0.0, self.now - worker.started_ms) / max(1.0, self.settings.slow_start_ms)
        return min(
            1.0, self.settings.slow_start_initial_share + (1 - self.settings.slow_start_initial_share) * age
        )

    def _size(self, worker: Scorer) -> float:
        return self.members[worker.id] * self._warmth(worker)
