"""Routers of many front ends with the same scorers, on one virtual clock, with clients that retry."""

import heapq
import math
import random
from collections import defaultdict

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult, ScorerState, Warmth
from fawnwharf.policy import Router

SPEC = io.ClassSpec("view", 250.0, 300.0, io.Effect.IDEMPOTENT)
MAX_IN_FLIGHT = 4  # of a scorer; it rejects further requests as FULL
RETRY_DELAY_MS, MAX_TRIES = 100.0, 4  # of clients, after a rejection
SLOW_START_MS, INITIAL_SHARE, SLOW_START_WINDOW_MS, SLOW_START_MULTIPLE = 8_000.0, 0.2, 1_500.0, 2.0


def rule(allowed):
    """The requests that all front ends may send in a window, where N is `allowed`; not the policy's code."""
    root = math.sqrt(allowed)
    return allowed + 2 * root + 2 if allowed >= 30 else allowed + 3 * root + 3


class Fleet:
    """Routers of `front_ends` front ends, and `workers` scorers.

    Each scorer can serve `rate` requests per second at full capacity.
    """

    def __init__(self, front_ends, seed, workers=8, rate=35.0, quota=0.85, load=1.0, **settings):
        self.random = random.Random(f"{front_ends} {seed}")
        self.front_ends, self.workers, self.rate, self.load = front_ends, workers, rate, load
        self.now, self.scheduled, self.count = 0.0, [], 0
        settings.setdefault("quotas_rps", {"t": quota * rate * workers} if quota else {})
        self.settings = {
            "fleet_size": front_ends, "max_attempts": 3, "loads_on_miss": True,
            "slow_start_ms": SLOW_START_MS, "slow_start_initial_share": INITIAL_SHARE,
            "slow_start_window_ms": SLOW_START_WINDOW_MS, "slow_start_multiple": SLOW_START_MULTIPLE,
            **settings,
        }  # fmt: skip
        self.entries = {n: io.ScorerEntry(n) for n in range(1, workers + 1)}
        self.routers, self.incarnations, self.names = {}, defaultdict(int), {}
        self.in_flight, self.sends, self.last_start = defaultdict(int), defaultdict(list), {}
        self.tries, self.open, self.answered = {}, {}, 0
        self.weights = [self.random.lognormvariate(0.0, 2.0) for _ in range(front_ends)]

    def schedule(self, delay_ms, call, *args):
        """Schedule a call on the virtual clock."""
        self.count += 1
        heapq.heappush(self.scheduled, (self.now + delay_ms, self.count, call, args))

    def run(self, until_ms):
        """Run the scheduled calls up to a time, in order of time."""
        while self.scheduled and self.scheduled[0][0] <= until_ms:
            self.now, _, call, args = heapq.heappop(self.scheduled)
            call(*args)
        self.now = until_ms

    def start_front_end(self, n):
        """Start a front end without any learned state, with the current roster."""
        self.incarnations[n] += 1
        settings = io.Settings({"view": SPEC}, **self.settings)
        self.routers[n] = Router(settings, self.random.getrandbits(64))
        self.feed(n, self.incarnations[n], io.RosterChanged(list(self.entries.values()), complete=True))

    def start_all_front_ends(self):
        """Start all front ends, and the arrival of requests."""
        for n in range(self.front_ends):
            self.start_front_end(n)
        self.schedule(0.0, self.arrive)

    def announce(self, entry, latest_ms=300.0):
        """Change the roster; each front end receives the change after a random delay up to `latest_ms`."""
        self.entries[entry.scorer] = entry
        for n in range(self.front_ends):
            self.schedule(latest_ms * self.random.random(), self.receive_entry, n, entry)

    def receive_entry(self, n, entry):
        """Pass an entry to a front end, unless the entry is outdated or the front end is down."""
        if n in self.routers and self.entries[entry.scorer] is entry:
            self.feed(n, self.incarnations[n], io.RosterChanged([entry], complete=False))

    def remove_scorer(self, scorer):
        """Remove a scorer; every front end receives this at once."""
        self.announce(io.ScorerEntry(scorer, ScorerState.GONE), latest_ms=0.0)

    def begin_slow_start(self, scorer):
        """Start a scorer, which begins its slow start."""
        self.last_start[scorer] = self.now
        self.sends[scorer].clear()
        self.announce(io.ScorerEntry(scorer, up_since_ms=self.now))

    def kill_front_end(self, n):
        """Stop a front end without a shutdown; its open requests are lost."""
        self.incarnations[n] += 1
        self.routers.pop(n, None)

    def arrive(self):
        """Send a request to a front end chosen at random by weight, and schedule the next request."""
        self.schedule(self.random.expovariate(self.load * self.rate * self.workers / 1000.0), self.arrive)
        n = self.random.choices(range(self.front_ends), self.weights)[0]
        self.ask(n, f"f{self.random.randrange(40)}", 1)

    def ask(self, n, fn, try_number):
        """Send a client's request to a front end; it is lost if the front end is down."""
        if n not in self.routers:
            return
        self.count += 1
        name = f"r{self.count}"
        self.tries[n, name] = (fn, try_number)
        self.feed(
            n, self.incarnations[n], io.RequestArrived(name, fn, "view", "", SPEC.deadline_ms, load_ms=300.0)
        )

    def feed(self, n, incarnation, event):
        """Pass an event to an incarnation of a front end and carry out its actions.

        Events for previous incarnations are dropped.
        """
        if self.incarnations[n] != incarnation or n not in self.routers:
            return
        for action in self.routers[n].handle(self.now, [event]):
            self.carry_out(n, action)

    def carry_out(self, n, action):
        """Carry out an action of a front end; a client retries after a rejection."""
        incarnation = self.incarnations[n]
        if isinstance(action, io.SetTimer):
            self.schedule(action.delay_ms, self.feed, n, incarnation, io.TimerDue(action.token))
        elif isinstance(action, io.Reject | io.Fail):
            fn, try_number = self.tries.pop((n, action.request))
            if try_number < MAX_TRIES:
                self.schedule(RETRY_DELAY_MS, self.ask, n, fn, try_number + 1)
        elif isinstance(action, io.OrderCopies):
            answer = io.LoadOrderAnswered(
                action.scorer, action.function, AttemptResult.GOOD, max(1, action.copies), 1.0
            )
            self.schedule(1.0, self.feed, n, incarnation, answer)
        elif isinstance(action, io.Send):
            self.send(n, incarnation, action)

    def send(self, n, incarnation, send):
        """Let a scorer run an attempt, or reject it as FULL at the limit, and schedule the end."""
        scorer = send.scorer
        if scorer in self.last_start:
            self.sends[scorer].append(self.now)
        key = (n, incarnation, send.request)
        number = self.open[key] = self.open.get(key, -1) + 1
        full = self.in_flight[scorer] >= MAX_IN_FLIGHT
        run_ms = (
            MAX_IN_FLIGHT * 1000.0 / (self.rate * self.capacity_share(scorer)) * (0.5 + self.random.random())
        )
        took, result = (2.0, AttemptResult.FULL) if full else (run_ms, AttemptResult.GOOD)
        self.in_flight[scorer] += not full
        self.schedule(took, self.end, n, incarnation, send, number, result, took)

    def end(self, n, incarnation, send, number, result, took):
        """End an attempt and report the result to its front end."""
        good = result is AttemptResult.GOOD
        self.in_flight[send.scorer] -= good
        self.answered += good
        ended = io.AttemptEnded(send.request, number, send.scorer, result, took, good, Warmth.FOUND)
        self.feed(n, incarnation, ended)

    # --- checks ------------------------------------------------------------------------------

    def capacity_share(self, scorer, at_ms=None):
        """The part of its full rate that a scorer can serve at a time, by default now."""
        age_ms = (self.now if at_ms is None else at_ms) - self.last_start.get(scorer, -math.inf)
        return min(1.0, INITIAL_SHARE + (1 - INITIAL_SHARE) * age_ms / SLOW_START_MS)

    def allowed(self, scorer, at_ms):
        """N for a scorer at a time; see slow_start.py."""
        return (
            SLOW_START_MULTIPLE
            * self.capacity_share(scorer, at_ms)
            * self.rate
            * SLOW_START_WINDOW_MS
            / 1000.0
        )

    def check(self):
        """Check that no window of any scorer in slow start has more requests than allowed.

        Returns:
            The number of windows checked, and the largest ratio of requests in a window to N.
        """
        windows, most = 0, 0.0
        for scorer, sends in self.sends.items():
            first = 0
            for last, at_ms in enumerate(sends):
                if at_ms >= self.last_start[scorer] + SLOW_START_MS:
                    break
                while sends[first] <= at_ms - SLOW_START_WINDOW_MS:
                    first += 1
                count, allowed = last - first + 1, self.allowed(scorer, at_ms)
                assert count <= rule(allowed), (scorer, at_ms - self.last_start[scorer], count, allowed)
                windows, most = windows + 1, max(most, count / allowed)
        return windows, most


class SaturatedFrontEnds:
    """Front ends that always send all that they may send to scorers in slow start.

    Calls arrive unevenly at the front ends, and more calls arrive than are answered.
    """

    STEP_MS, RATE, SCORERS = 250.0, 35.0, 10

    def __init__(self, front_ends, seed, quota=0.95, unanswered_per_call=2.0, **settings):
        self.random = random.Random(f"saturated {front_ends} {seed}")
        self.settings = io.Settings(
            {"view": SPEC}, {"t": quota * self.RATE * self.SCORERS} if quota else {}, front_ends,
            max_attempts=3, loads_on_miss=True, slow_start_ms=SLOW_START_MS,
            slow_start_initial_share=INITIAL_SHARE, slow_start_window_ms=SLOW_START_WINDOW_MS,
            slow_start_multiple=SLOW_START_MULTIPLE, **settings,
        )  # fmt: skip
        self.now, self.unanswered_per_call, self.entries = (
            0.0,
            unanswered_per_call,
            [io.ScorerEntry(n) for n in range(1, self.SCORERS + 1)],
        )
        self.routers = [self.router() for _ in range(front_ends)]
        self.weights = [self.random.lognormvariate(0.0, 1.5) for _ in range(front_ends)]
        self.sends, self.count = defaultdict(list), 0

    def router(self):
        """The Router of a new front end, with the current roster and no learned state."""
        router = Router(self.settings, self.random.getrandbits(64))
        router.handle(self.now, [io.RosterChanged(list(self.entries), complete=True)])
        return router

    def run_traffic(self, until_ms):
        """Send as many calls as the scorers can answer, unevenly to front ends.

        With each of them come `unanswered_per_call` calls that get no answer.
        """
        while self.now < until_ms:
            self.now += self.random.expovariate(self.RATE * self.SCORERS / 1000.0)
            [router] = self.random.choices(self.routers, self.weights)
            for answered in (True, *[False] * int(self.unanswered_per_call)):
                self.call(router, answered)

    def call(self, router, answered):
        """Send a request to a front end; its attempts are answered if `answered`, then it is cancelled."""
        self.count += 1
        name, fn = f"r{self.count}", f"f{self.random.randrange(30)}"
        actions = router.handle(self.now, [io.RequestArrived(name, fn, "view", "", 300.0)])
        for order in [action for action in actions if isinstance(action, io.OrderCopies)]:
            answer = io.LoadOrderAnswered(order.scorer, fn, AttemptResult.GOOD, max(1, order.copies), 1.0)
            actions = actions + router.handle(self.now, [answer])
        for send in [action for action in actions if isinstance(action, io.Send) and answered]:
            end = io.AttemptEnded(name, 0, send.scorer, AttemptResult.GOOD, 50.0, True, Warmth.FOUND)
            router.handle(self.now, [end])
        router.handle(self.now, [io.RequestCancelled(name)])

    def begin_slow_start(self, workers):
        """Start these scorers, which begin their slow start."""
        self.now += 1.0
        self.began_ms = self.now
        for n in workers:
            self.entries[n - 1] = io.ScorerEntry(n, up_since_ms=self.now)
        for router in self.routers:
            router.handle(
                self.now, [io.RosterChanged([self.entries[n - 1] for n in workers], complete=False)]
            )

    def restart(self, part):
        """Restart a part of the front ends without their learned state."""
        for n in range(int(part * len(self.routers))):
            self.routers[n] = self.router()

    def send_all_allowed(self, until_ms):
        """Let all front ends send all that they may at each step, and check every window.

        Returns the largest ratio of requests in a window to N.
        """
        largest = 0.0
        while self.now < until_ms:
            self.now += self.STEP_MS
            for router in self.routers:
                router.handle(self.now, [])
                for scorer in router.ready:
                    while router._capacity_share(scorer) < 1.0 and router._within_slow_start_limit(scorer):
                        scorer.slow_start_sends.append(self.now)
                        self.sends[scorer.id].append(self.now)
            for scorer, sends in self.sends.items():
                share = INITIAL_SHARE + (1 - INITIAL_SHARE) * (self.now - self.began_ms) / SLOW_START_MS
                allowed = SLOW_START_MULTIPLE * share * self.RATE * SLOW_START_WINDOW_MS / 1000.0
                count = sum(at_ms > self.now - SLOW_START_WINDOW_MS for at_ms in sends)
                assert count <= rule(allowed), (scorer, self.now - self.began_ms, count, allowed)
                largest = max(largest, count / allowed)
        return largest
