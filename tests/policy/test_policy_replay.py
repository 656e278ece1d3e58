"""The router handles seeded events of every type, and its actions must have the digests recorded below.

This detects any change of a decision. After an intended change, run
``python tests/policy/test_policy_replay.py``, which prints the new digests.
"""

import hashlib
import heapq
import random
import re

import pytest

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult, ScorerState, Warmth
from fawnwharf.policy import Router

EVENTS = 8_000
CLASSES = {
    "safe": io.ClassSpec("safe", 800.0, 2500.0, io.Effect.IDEMPOTENT),
    "short": io.ClassSpec("short", 400.0, 900.0, io.Effect.IDEMPOTENT),
    "keyed": io.ClassSpec("keyed", 1000.0, 4000.0, io.Effect.DEDUPLICATED, io.DeduplicationGroup.ALL, 2000.0),
    "zoned": io.ClassSpec(
        "zoned", 1000.0, 4000.0, io.Effect.DEDUPLICATED, io.DeduplicationGroup.ZONE, 1500.0
    ),
    "celled": io.ClassSpec(
        "celled", 1000.0, 3000.0, io.Effect.DEDUPLICATED, io.DeduplicationGroup.CELL, 2500.0
    ),
    "unsafe": io.ClassSpec("unsafe", 1200.0, 4000.0, io.Effect.AT_MOST_ONCE),
}
CLASS_NAMES = [*CLASSES, "unheard of"]
FAULTS = ("silent", "slow", "lossy", "full", "broken")

# By name: the simulated environment (counts, calls per second, mean run time), and the changed Settings.
# The names seed the random events.
SETTINGS = {
    "narrow": (
        {"workers": 8, "zones": 2, "functions": 60, "rps": 45.0},
        {"max_attempts": 3, "fleet_size": 2, "load_window_ms": 5000.0,
         "free_loads": 20.0, "loads_per_arrival": 0.1},
    ),
    "crowded": (
        {"workers": 4, "zones": 1, "functions": 8, "rps": 25.0, "run_ms": 120.0},
        {"max_attempts": 4, "quotas_rps": {"t0": 15.0, "t1": 5.0, "t2": 3.0}, "max_retry_after_ms": 700.0},
    ),
    "wide": (
        {"workers": 18, "zones": 3, "functions": 40, "rps": 30.0, "reports_concurrency": True},
        {"max_attempts": 3, "fleet_size": 60, "quotas_rps": {"t0": 800.0, "t1": 400.0, "t2": 200.0},
         "loads_on_miss": True, "weights_fixed": True, "max_retry_after_ms": 900.0},
    ),
    "wide, asking": (
        {"workers": 24, "zones": 3, "functions": 15, "rps": 25.0,
         "reports_concurrency": True, "fault_share": 0.02},
        {"max_attempts": 4, "fleet_size": 80, "quotas_rps": {"t0": 1500.0, "t1": 500.0},
         "load_window_ms": 4000.0, "free_loads": 12.0, "loads_per_arrival": 0.2},
    ),
    "restless": (
        {"workers": 9, "zones": 3, "functions": 90, "rps": 25.0, "roster_share": 0.02, "pause_ms": 40_000.0},
        {"max_attempts": 3, "fleet_size": 3, "cancellation_allowed": False, "idle_lifetime_ms": 4000.0,
         "slow_start_ms": 20_000.0, "slow_start_window_ms": 1500.0, "hedging": False},
    ),
}  # fmt: skip

DIGESTS = {
    "narrow": "77de41785b1b08a6deba244e24fdf5f99d2f0ed143c580f561be52d7c83091ac",
    "crowded": "f825b8d45d392ef5aee0a4c5e371aef6b79843e9ef783d0aa87a7617b625268b",
    "wide": "47134a80237c69edebb74e1da1af810b1886d7e8ba51b319e4e7dead4e611258",
    "wide, asking": "fa6e3b9af237af5e3e3b774fe6df86556c78b88dab43e3bb741141ad369ef77d",
    "restless": "4727619cf793280f32641ca708ef8495071e17bfbaad9cb43af9f43bfb4d7d51",
}

# The digests were recorded with these earlier names of actions and fields and these earlier log lines.
RECORDED_NAMES = {"Reject": "Refuse", "OrderCopies": "Hold", "scorer": "worker"}
NAME = re.compile(rf"\b({'|'.join(RECORDED_NAMES)})(?=[(=])")
RECORDED_LINES = (
    (re.compile(r"'scorer (\d+) responds again'"), r"'worker \1 answers again'"),
    (
        re.compile(r"'scorer (\d+) does not respond: no new calls go there'"),
        r"'worker \1 is silent: nothing new goes there'",
    ),
)


def recorded(now, actions):
    """The text of the actions at a time, with the names under which the digests were recorded."""
    text = NAME.sub(lambda found: RECORDED_NAMES[found[0]], repr((now, actions)))
    for line, before in RECORDED_LINES:
        text = line.sub(before, text)
    return text


class World:
    """Scorers, clients and the roster around a router; all random draws come from one seed."""

    def __init__(self, name, seed=17):
        world, settings = SETTINGS[name]
        self.workers, self.zones, self.functions = world["workers"], world["zones"], world["functions"]
        self.rps, self.run_ms, self.reports_concurrency = (
            world["rps"],
            world.get("run_ms", 80.0),
            world.get("reports_concurrency", False),
        )
        self.roster_share, self.fault_share = world.get("roster_share", 0.004), world.get("fault_share", 0.01)
        self.pause_ms = world.get("pause_ms", 0.0)
        self.draw, self.now, self.scheduled, self.count = random.Random(f"{name} {seed}").random, 0.0, [], 0
        self.digest, self.seen = hashlib.sha256(), {}
        self.open, self.attempts_sent, self.closed = {}, {}, set()  # in flight; sends by request; answered
        self.loaded_copies, self.fault, self.started_ms = {}, {}, {}
        quotas = dict(settings.get("quotas_rps", {}))
        self.router = Router(io.Settings(CLASSES, zone="z0", **{**settings, "quotas_rps": quotas}), seed)
        entries = [self.entry(n, ScorerState.READY) for n in range(1, self.workers + 1)]
        self.feed(io.RosterChanged(entries, complete=True))
        self.schedule(1.0, self.arrive)

    def random_below(self, n):
        return int(self.draw() * n)

    def schedule(self, delay_ms, call, *args):
        self.count += 1
        heapq.heappush(self.scheduled, (self.now + delay_ms, self.count, call, args))

    def feed(self, *events):
        for event in events:
            self.seen[type(event)] = self.seen.get(type(event), 0) + 1
        actions = self.router.handle(self.now, list(events))
        self.digest.update(recorded(self.now, actions).encode())
        for action in actions:
            self.carry_out(action)

    def run(self, events=EVENTS):
        while sum(self.seen.values()) < events:
            self.now, _, call, args = heapq.heappop(self.scheduled)
            call(*args)
        return self.digest.hexdigest()

    def entry(self, n, state):
        units, up = 1.0 + n % 3, self.started_ms.get(n)
        return io.ScorerEntry(n, state, "", f"z{n % self.zones}", n % 4, units, up)

    def arrive(self):
        pause = self.pause_ms * (self.draw() < 0.002)  # copies expire, functions are dropped
        self.schedule(pause + 2000.0 * self.draw() / self.rps, self.arrive)
        burst = 1 + (self.draw() < 0.02) * self.random_below(12)
        kept = self.random_below(self.functions)
        events = []
        for _ in range(burst):
            fn = kept if burst > 1 else int(self.functions * self.draw() ** 3)
            kind = CLASS_NAMES[fn % len(CLASS_NAMES)]
            spec = CLASSES.get(kind) or CLASSES["safe"]
            budget = spec.deadline_ms * (0.5 + 0.5 * self.draw() if self.draw() < 0.9 else 0.3 * self.draw())
            self.count += 1
            request, load = f"r{self.count}", (None, 300.0, 600.0)[fn % 3]
            tenant = f"t{self.random_below(4)}"
            events.append(io.RequestArrived(request, f"f{fn}", kind, tenant, budget, fn % 5, load_ms=load))
            self.schedule(budget if self.draw() < 0.9 else budget * self.draw(), self.leave, request)
        self.feed(*events)
        if self.draw() < self.fault_share:
            self.begin_fault()
        if self.draw() < self.roster_share:
            self.change_roster()
        if self.draw() < 0.002:
            self.limit()

    def leave(self, request):
        if request not in self.closed:
            self.closed.add(request)
            self.feed(io.RequestCancelled(request))

    def limit(self):
        tenant = (io.ALL, "t0", "t1", "t9")[self.random_below(4)]
        rps = self.rps * (0.3 + self.draw()) if self.draw() < 0.5 else io.UNLIMITED_RPS
        self.feed(io.LimitsChanged(rps, tenant))

    def begin_fault(self):
        fault, first = FAULTS[self.random_below(len(FAULTS))], 1 + self.random_below(self.workers)
        whole_zone = self.draw() < 0.15
        for n in range(1, self.workers + 1):
            if n == first or (whole_zone and n % self.zones == first % self.zones):
                self.fault[n] = fault
                self.schedule(500.0 + 6000.0 * self.draw(), self.fault.pop, n, None)

    def change_roster(self):
        n, random_value = 1 + self.random_below(self.workers), self.draw()
        if random_value < 0.3:  # a restart, which is not always reported
            self.restart(n)
            if self.draw() < 0.7:
                self.started_ms[n] = self.now
                self.feed(io.RosterChanged([self.entry(n, ScorerState.READY)], complete=False))
        elif random_value < 0.9:
            steps = [ScorerState.DRAINING] * (random_value < 0.7) + [ScorerState.GONE] * (random_value > 0.5)
            for i, state in enumerate(steps):
                self.schedule(300.0 * i, self.announce, n, state)
            self.schedule(
                1000.0 + (300_000.0 if self.draw() < 0.2 else 9000.0) * self.draw(), self.come_back, n
            )
        else:  # the complete roster without one scorer
            entries = [self.entry(i, ScorerState.READY) for i in range(1, self.workers + 1) if i != n]
            self.feed(io.RosterChanged(entries, complete=True))
            self.schedule(2000.0, self.come_back, n)

    def restart(self, n):
        self.loaded_copies = {key: copies for key, copies in self.loaded_copies.items() if key[0] != n}

    def announce(self, n, state):
        self.feed(io.RosterChanged([self.entry(n, state)], complete=False))

    def come_back(self, n):
        self.restart(n)
        self.started_ms[n] = self.now
        self.announce(n, ScorerState.READY)

    def carry_out(self, action):
        if isinstance(action, io.SetTimer):
            self.schedule(action.delay_ms, self.feed, io.TimerDue(action.token))
        elif isinstance(action, io.Reject | io.Fail):
            self.closed.add(action.request)
        elif isinstance(action, io.OrderCopies):
            self.order(action)
        elif isinstance(action, io.Send):
            self.send(action)
        elif isinstance(action, io.Cancel) and self.draw() < 0.8:
            self.schedule(
                1.0, self.end, action.request, action.attempt, AttemptResult.CANCELLED, Warmth.NOT_REPORTED
            )

    def order(self, copy_order):
        fault, key, random_value = (
            self.fault.get(copy_order.scorer),
            (copy_order.scorer, copy_order.function),
            self.draw(),
        )
        if fault == "silent" and random_value < 0.9:
            result, delay = (
                (AttemptResult.CONNECT_FAILED, AttemptResult.TIMEOUT)[random_value < 0.5],
                1500.0 * random_value,
            )
        elif copy_order.copies == 0:
            result, delay = AttemptResult.GOOD, 1.0 + 12.0 * random_value**6
        elif random_value < 0.85 and fault != "broken":
            result, delay = (
                AttemptResult.GOOD,
                150.0 + 500.0 * self.draw() * (3.0 if fault == "slow" else 1.0),
            )
        else:
            result, delay = (
                (AttemptResult.ERROR, AttemptResult.FULL, AttemptResult.RESET, AttemptResult.NOT_SENT)[
                    self.random_below(4)
                ],
                30.0,
            )
        self.schedule(delay, self.answer, key, result, copy_order.copies, delay)

    def answer(self, key, result, copies, took):
        if copies and result is AttemptResult.GOOD:
            self.loaded_copies[key] = max(self.loaded_copies.get(key, 0), copies - (self.draw() < 0.1))
        self.feed(io.LoadOrderAnswered(*key, result, self.loaded_copies.get(key, 0), took))

    def send(self, send):
        request, number = send.request, self.attempts_sent.get(send.request, 0)
        fn = self.router.attempts[request, number].function.name
        self.attempts_sent[request] = number + 1
        self.open[request, number] = (send.scorer, fn, self.now)
        fault, random_value = self.fault.get(send.scorer), self.draw()
        took, result, warmth = self.run_ms * (0.5 + self.draw()), AttemptResult.GOOD, Warmth.FOUND
        if fault == "silent":
            took, result = (
                (400.0, AttemptResult.RESET) if random_value < 0.2 else (2500.0, AttemptResult.TIMEOUT)
            )
        elif fault == "lossy" and random_value < 0.7:
            took, result = (
                (5000.0, AttemptResult.TIMEOUT) if random_value < 0.4 else (20.0, AttemptResult.ERROR)
            )
        elif fault == "full" and random_value < 0.7:
            took, result = 2.0, AttemptResult.FULL
        elif fault == "broken" and random_value < 0.5:
            took, result = (
                5.0,
                (AttemptResult.RESET, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT)[
                    self.random_below(3)
                ],
            )
        elif (send.scorer, fn) not in self.loaded_copies:
            warmth = (Warmth.STARTED_LOAD, Warmth.WAITED_FOR_LOAD, Warmth.LOAD_FAILED)[self.random_below(3)]
            result = (AttemptResult.MISS, AttemptResult.GOOD)[self.router.settings.loads_on_miss]
            took = 2.0 if result is AttemptResult.MISS else took + 400.0
            self.loaded_copies[send.scorer, fn] = 1
        elif random_value < 0.02:
            took, result = 0.7 * took, AttemptResult.ERROR
        elif random_value < 0.05:
            took *= 12.0
        if fault == "slow":
            took *= 5.0
        self.schedule(took, self.end, request, number, result, warmth)

    def end(self, request, number, result, warmth):
        if (request, number) not in self.open:
            return
        scorer, _, since = self.open.pop((request, number))
        closed = request not in self.closed and (
            result is AttemptResult.GOOD or (result is AttemptResult.ERROR and self.draw() < 0.4)
        )
        if closed:
            self.closed.add(request)
        if self.draw() < 0.002:  # events for an unknown attempt and function
            self.feed(io.AttemptEnded(request, number + 7, scorer, result, 1.0, False))
            self.feed(io.LoadOrderAnswered(scorer, "never called", result, 0, 1.0))
        took, concurrency = self.now - since, self.random_below(4) if self.reports_concurrency else None
        self.feed(io.AttemptEnded(request, number, scorer, result, took, closed, warmth, concurrency))


@pytest.mark.parametrize("name", SETTINGS)
def test_the_same_events_bring_the_same_actions(name):
    world = World(name)
    assert world.run() == DIGESTS[name]
    assert set(world.seen) >= {io.RosterChanged, io.RequestCancelled, io.LoadOrderAnswered, io.TimerDue}


if __name__ == "__main__":
    for name in SETTINGS:
        print(f'    "{name}": "{World(name).run()}",')
