"""Releases of new versions: all copies of many functions become invalid at once, without other faults.

A Router runs against a model of its scorers. In every window, including the first seconds, the load orders
must stay within the load rate limit.
"""

import heapq
import random

import pytest
from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult, Warmth
from fawnwharf.policy import Router

WINDOW_MS, FREE_LOADS, LOAD_PART = 5_000.0, 10.0, 0.1
LOAD_MS, RUN_MS, FUNCTIONS, SCORERS, RPS = 600.0, 60.0, 40, 6, 30.0
SPEC = io.ClassSpec("view", 800.0, 2_500.0, io.Effect.IDEMPOTENT)


class World:
    """One front end, the copies at its scorers, and the times of all load orders and arrivals."""

    def __init__(self, seed, **settings):
        self.random, self.now, self.scheduled, self.count = random.Random(seed), 0.0, [], 0
        more = {
            "max_attempts": 3,
            "free_loads": FREE_LOADS,
            "loads_per_arrival": LOAD_PART,
            "load_window_ms": WINDOW_MS,
        }
        self.router = Router(io.Settings({"view": SPEC}, **{**more, **settings}), seed)
        self.loaded_copies, self.loading, self.done = {}, 0, set()
        self.orders, self.arrivals, self.sent, self.served = [], [], {}, []
        self.feed(io.RosterChanged([io.ScorerEntry(n) for n in range(1, SCORERS + 1)], complete=True))
        self.schedule(0.0, self.arrive)

    def schedule(self, delay_ms, call, *args):
        self.count += 1
        heapq.heappush(self.scheduled, (self.now + delay_ms, self.count, call, args))

    def run(self, until_ms):
        while self.scheduled[0][0] <= until_ms:
            self.now, _, call, args = heapq.heappop(self.scheduled)
            call(*args)
        self.now = until_ms

    def release(self):
        """Release a new version of every function: all copies become invalid."""
        self.loaded_copies.clear()

    def arrive(self):
        self.schedule(self.random.expovariate(RPS / 1000.0), self.arrive)
        self.count += 1
        self.arrivals.append(self.now)
        self.ask(f"r{self.count}", f"f{int(FUNCTIONS * self.random.random() ** 2)}")

    def ask(self, name, fn):
        self.sent[name] = [fn, 0]
        self.feed(io.RequestArrived(name, fn, "view", "", SPEC.deadline_ms, load_ms=LOAD_MS))

    def feed(self, event):
        for action in self.router.handle(self.now, [event]):
            if isinstance(action, io.SetTimer):
                self.schedule(action.delay_ms, self.feed, io.TimerDue(action.token))
            elif isinstance(action, io.OrderCopies):
                self.order(action)
            elif isinstance(action, io.Send):
                self.send(action)
            elif isinstance(action, io.Reject | io.Fail):
                self.done.add(action.request)

    def order(self, copy_order):
        key = copy_order.scorer, copy_order.function
        if not copy_order.copies or self.loaded_copies.get(key, 0) >= copy_order.copies:
            if copy_order.copies:
                self.orders.append(self.now)
            self.schedule(1.0, self.answer_order, key, AttemptResult.GOOD)
            return
        self.orders.append(self.now)
        self.load(key)

    def load(self, key):
        self.loading += 1
        self.schedule(LOAD_MS * (1.0 + 0.1 * self.loading), self.loaded, key)

    def loaded(self, key):
        self.loading -= 1
        self.loaded_copies[key] = self.loaded_copies.get(key, 0) + 1
        self.answer_order(key, AttemptResult.GOOD)

    def answer_order(self, key, result):
        self.feed(io.LoadOrderAnswered(*key, result, self.loaded_copies.get(key, 0), 1.0))

    def send(self, send):
        fn, number = self.sent[send.request]
        self.sent[send.request][1] += 1
        is_loaded = self.loaded_copies.get((send.scorer, fn), 0) > 0
        result, took = (AttemptResult.GOOD, RUN_MS) if is_loaded else (AttemptResult.MISS, 1.0)
        self.schedule(took, self.end, send, number, result, took)

    def end(self, send, number, result, took):
        good = result is AttemptResult.GOOD and send.request not in self.done
        if good:
            self.done.add(send.request)
            self.served.append(self.now)
        self.feed(io.AttemptEnded(send.request, number, send.scorer, result, took, good, Warmth.FOUND))

    def check(self):
        """Check the load rate limit in the window that ends at each load order."""
        for at_ms in self.orders:
            orders = sum(at_ms - WINDOW_MS < other <= at_ms for other in self.orders)
            arrivals = sum(at_ms - WINDOW_MS < other <= at_ms for other in self.arrivals)
            assert orders <= FREE_LOADS + LOAD_PART * arrivals, (at_ms, orders, arrivals)


@pytest.mark.parametrize("seed", range(4))
def test_a_release_of_all_functions_keeps_the_load_rate_limit_in_every_window(seed):
    world = World(seed, idle_lifetime_ms=8_000.0)
    world.run(12_000.0)
    world.release()
    world.run(18_000.0)
    world.release()
    world.run(28_000.0)
    world.check()
    assert world.served[-1] > 27_000.0
    assert sum(at > 22_000.0 for at in world.served) > 30


@pytest.mark.parametrize("seed", range(3))
def test_prefetches_refreshes_and_releases_in_the_first_seconds_keep_the_load_rate_limit(seed):
    world = World(seed, idle_lifetime_ms=4_000.0)
    for step in range(60):
        world.run(100.0 * step)
        scorer, fn = 1 + step % SCORERS, f"f{step % FUNCTIONS}"
        world.feed(io.PrefetchRequested(scorer, fn, "view", 1 + step % 3, load_ms=LOAD_MS))
        if step in (5, 30):
            world.release()
    world.run(20_000.0)
    world.check()


def test_loads_in_progress_stay_within_their_limit_when_all_copies_become_invalid():
    world = World(1, free_loads=1_000.0)
    world.run(5_000.0)
    world.release()
    most = 0
    while world.now < 10_000.0:
        world.run(world.now + 20.0)
        most = max(most, world.loading)
    assert 2 <= most <= 24


def test_without_arrivals_only_the_free_loads_are_ordered():
    driver = Drive(load_window_ms=WINDOW_MS, free_loads=3.0, loads_per_arrival=LOAD_PART)
    loads = []
    for n in range(20):
        driver.now += 10.0
        loads += of(driver.feed(io.PrefetchRequested(1 + n % 4, f"f{n}", "safe")), io.OrderCopies)
    assert len([copy_order for copy_order in loads if copy_order.copies]) == 3
