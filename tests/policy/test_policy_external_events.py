"""External events: changes of classes, sites and prefetches (for remote load see test_policy_remote_load)."""

from dataclasses import replace

import pytest
from bench import KEYED, SAFE, UNSAFE, Drive, of

from fawnwharf import interface as io
from fawnwharf.admin import learned_state
from fawnwharf.interface import AttemptResult, ScorerState

IDLE_LIFETIME_MS, LOAD_MS = 10_000.0, 500.0


def arrived(driver, name, fn="f", **fields):
    request = io.RequestArrived(name, fn, "safe", "", 2500.0, load_ms=LOAD_MS)
    return driver.feed(replace(request, **fields))


def loads(actions):
    return [(order.scorer, order.copies) for order in of(actions, io.OrderCopies) if order.copies]


def probed_scorers(actions):
    return [order.scorer for order in of(actions, io.OrderCopies) if not order.copies]


def prefetch(driver, scorer, copies=1, fn="f"):
    return loads(driver.feed(io.PrefetchRequested(scorer, fn, "safe", copies, load_ms=LOAD_MS)))


# --- changes of a class --------------------------------------------------------------------


def test_calls_in_flight_keep_the_rules_of_their_class():
    driver = Drive()
    driver.warm(lanes=4)
    [old] = of(arrived(driver, "old", lanes=4), io.Send)
    assert not driver.feed(io.ClassChanged(replace(SAFE, effect=io.Effect.AT_MOST_ONCE)))
    [new] = of(arrived(driver, "new", lanes=4), io.Send)
    assert driver.router.functions["f"].run_times.timed_values  # the learned state is kept
    driver.end(new, AttemptResult.ERROR, closed=False)
    driver.end(old, AttemptResult.ERROR, closed=False)
    assert "old" in driver.router.requests  # it arrived as idempotent, so it may be retried or rejected
    driver.sweep(driver.now + 2600.0)
    finals = [a for _, a in driver.log if isinstance(a, io.Reject | io.Fail)]
    assert finals == [io.Fail("new"), io.Reject("old")]


@pytest.mark.parametrize(
    ("changes", "least"),
    [
        ([("safe", 300.0)], 300.0),
        ([("safe", 300.0), ("safe", 2000.0)], 900.0),  # the target of the class "short"
        ([("short", 1500.0)], 1000.0),
        ([("brand new", 100.0)], 100.0),
    ],
)
def test_the_smallest_latency_target_follows_changes_and_the_settings_stay(changes, least):
    driver = Drive()
    for name, target_ms in changes:
        driver.feed(io.ClassChanged(io.ClassSpec(name, target_ms)))
    assert driver.router.latency_target_ms == least
    assert driver.router.settings.classes["safe"] == SAFE
    assert "brand new" not in driver.router.settings.classes


@pytest.mark.parametrize(
    ("changed", "after_ms", "again"), [(None, 100, True), (150.0, 100, False), (150.0, 40, True)]
)
def test_a_changed_window_of_a_class_applies_to_later_arrivals(changed, after_ms, again):
    for came_before in (True, False):
        driver = Drive(workers=4)
        if changed and not came_before:
            driver.feed(
                io.ClassChanged(replace(KEYED, dedup_window_ms=changed, group=io.DeduplicationGroup.ALL))
            )
        arrived(driver, "r", class_name="keyed", budget_ms=4000.0)
        if changed and came_before:
            driver.feed(
                io.ClassChanged(replace(KEYED, dedup_window_ms=changed, group=io.DeduplicationGroup.ALL))
            )
        for scorer in (1, 2, 3, 4):
            driver.count(scorer, 1)
        [send] = [a for _, a in driver.log if isinstance(a, io.Send)]
        driver.sweep(after_ms)
        for scorer in (1, 2, 3, 4):
            driver.count(scorer, 1)
        sends = of(driver.end(send, AttemptResult.ERROR, closed=False), io.Send)
        assert bool(sends) is (again or came_before)


# --- sites -----------------------------------------------------------------------------------


def driver_with_zones(own="a", workers=6):
    driver = Drive(workers=workers, zones=("a", "b", "c"), zone=own, idle_lifetime_ms=IDLE_LIFETIME_MS)
    return driver, {entry.scorer: entry.zone for entry in driver.entries}


def test_a_function_uses_the_site_of_its_latest_arrival():
    for own in ("a", "b", "c"):
        driver, zones = driver_with_zones(own)
        arrived(driver, "first", lanes=9)
        for scorer in zones:
            driver.count(scorer, 1)
        for n, site in enumerate(("b", "a", "", "c", "", "b")):
            [send] = of(arrived(driver, f"r{n}", site=site), io.Send)
            assert zones[send.scorer] == (site or own)
            driver.end(send)
            driver.count(send.scorer, 1)


def test_first_probes_the_first_copy_and_speculative_copies_are_at_the_site():
    for own, site in (("a", "b"), ("a", "c"), ("b", "a")):
        driver, zones = driver_with_zones(own)
        there = [scorer for scorer, zone in zones.items() if zone == site]
        actions = arrived(driver, "r0", site=site)
        assert set(probed_scorers(actions)[:2]) == set(there)
        [(first, _)] = loads(driver.answer_asks(actions))
        [send] = of(driver.count(first, 1), io.Send)
        [(second, _)] = loads(arrived(driver, "r1", site=site))
        assert {first, second} == set(there)
        assert send.scorer == first
        other = Drive(workers=6, zones=("a", "b", "c"), zone=own)
        arrived(other, "r0")
        orders = [w.id for w in driver.router._ordered(driver.router.functions["f"])]
        plain = [w.id for w in other.router._ordered(other.router.functions["f"])]
        assert orders == sorted(plain, key=lambda w: zones[w] != site)  # in hash order, the site first


@pytest.mark.parametrize(("site", "most"), [("", 8), ("b", 16), ("a", 8)])
def test_the_in_flight_bound_depends_on_the_site(site, most):  # 2.4 and 1.5 times the fair share
    driver = Drive(workers=6, zones=("a", "b"), zone="c")
    for fn, places in (("g", (2, 4, 6)), ("f", (1, 3))):
        arrived(driver, f"first-{fn}", fn, lanes=64)
        for place in places:
            driver.count(place, 1, fn)
    for n in range(20):
        arrived(driver, f"g{n}", "g", lanes=64)
    sends = [
        s.scorer for n in range(20) for s in of(arrived(driver, f"f{n}", "f", site=site, lanes=64), io.Send)
    ]
    assert next(n for n, scorer in enumerate(sends) if scorer != sends[0]) == most


# --- prefetches --------------------------------------------------------------------------------


def test_a_prefetched_copy_is_ordered_answered_and_used_by_the_first_call():
    driver = Drive(idle_lifetime_ms=IDLE_LIFETIME_MS)
    assert prefetch(driver, 3) == [(3, 1)]
    assert driver.router.loading == 1
    assert len(driver.router.load_orders_ms) == 1
    assert prefetch(driver, 3) == []  # the load is in progress
    driver.now += LOAD_MS
    driver.count(3, 1)
    assert driver.router.loading == 0
    assert prefetch(driver, 3) == []
    assert prefetch(driver, 3, copies=2) == [(3, 2)]
    driver.count(3, 2)
    [send] = of(arrived(driver, "r"), io.Send)
    assert send.scorer == 3


def prefetch_in_case(case):
    settings = {"load_window_ms": 5000.0, "free_loads": 3.0, "idle_lifetime_ms": IDLE_LIFETIME_MS}
    if case == "orders off":
        settings["load_orders_allowed"] = False
    if case == "slow start":
        settings |= {"slow_start_ms": 60_000.0, "slow_start_multiple": 0.0}
    driver = Drive(**settings)
    change_scorer(driver, case)
    if case == "load rate limit reached":
        driver.router.load_orders_ms.extend([driver.now] * 3)
    elif case == "blocked":
        prefetch(driver, 2)
        driver.count(2, 0, ending=AttemptResult.FULL)
    elif case == "copy loaded":
        driver.now += 1.0
        arrived(driver, "r")
        driver.count(2, 1)
    elif case == "too many loads in progress":
        driver.router.loading = 99
    return prefetch(driver, 77 if case == "unknown scorer" else 2, 0 if case == "no copies wanted" else 1)


def change_scorer(driver, case):
    if case in ("draining", "gone"):
        state = ScorerState.DRAINING if case == "draining" else ScorerState.GONE
        driver.feed(io.RosterChanged([io.ScorerEntry(2, state)], False))
    elif case == "suspect":
        driver.router._suspect(driver.router.scorers[2])
    elif case == "slow start":
        driver.now += 1000.0
        driver.feed(io.RosterChanged([io.ScorerEntry(2, up_since_ms=driver.now)], False))
        driver.router.draw_seed = next(
            n for n in range(99) if not driver.router._within_slow_start_limit(scorer_with_seed(driver, n))
        )


def scorer_with_seed(driver, chance):
    driver.router.draw_seed = chance
    driver.router.scorers[2].slow_start_sends.append(driver.now)
    return driver.router.scorers[2]


@pytest.mark.parametrize(
    ("case", "ordered"),
    [
        ("plain", True),
        ("unknown scorer", False),
        ("draining", False),
        ("gone", False),
        ("suspect", False),
        ("load rate limit reached", False),
        ("blocked", False),
        ("copy loaded", False),
        ("no copies wanted", False),
        ("slow start", False),
        ("too many loads in progress", False),
        ("orders off", False),
    ],
)
def test_a_prefetch_obeys_all_limits_on_loads(case, ordered):
    assert prefetch_in_case(case) == ([(2, 1)] if ordered else [])


def test_a_prefetch_leaves_a_load_order_for_each_queued_call():
    for left in (1, 2, 3):
        driver = Drive(load_window_ms=5000.0, free_loads=4.0)
        arrived(driver, "r0", "g0")
        arrived(driver, "r1", "g1")
        driver.router.load_orders_ms.extend([driver.now] * (4 - left))
        assert prefetch(driver, 2) == ([(2, 1)] if left == 3 else [])


def test_a_prefetched_copy_is_refreshed_before_it_expires_and_a_failed_load_blocks_the_scorer():
    driver = Drive(idle_lifetime_ms=IDLE_LIFETIME_MS)
    prefetch(driver, 2)
    driver.count(2, 1)
    driver.now += IDLE_LIFETIME_MS - 2500.0
    assert prefetch(driver, 2) == []
    driver.now += 1000.0
    given = len(driver.router.load_orders_ms)
    assert prefetch(driver, 2) == [(2, 1)]
    assert (driver.router.loading, len(driver.router.load_orders_ms)) == (0, given + 1)
    driver.count(2, 1)
    assert prefetch(driver, 2) == []
    driver.now += IDLE_LIFETIME_MS + 1.0
    assert prefetch(driver, 2) == [(2, 1)]
    assert driver.router.loading == 1
    before = driver.router.load_limit
    driver.count(2, 0, ending=AttemptResult.ERROR)
    assert driver.router.loading == 0
    assert driver.router.load_limit < before


def test_an_unused_prefetched_copy_does_not_switch_speculative_loads_off():
    driver = Drive(idle_lifetime_ms=IDLE_LIFETIME_MS)
    prefetch(driver, 3)
    driver.count(3, 1)
    driver.now += 900.0  # several run times
    assert of(arrived(driver, "r1"), io.Send)
    assert loads(arrived(driver, "r2"))


def test_a_prefetched_function_that_is_never_called_is_handed_over_and_later_forgotten():
    driver = Drive(idle_lifetime_ms=1e9)
    prefetch(driver, 2)
    driver.count(2, 1)
    driver.feed(io.PrefetchRequested(2, "g", "safe"))
    driver.count(2, 1, "g")
    changes = learned_state.capture(driver.router, set(), driver.now, 0.0)
    other = Drive(idle_lifetime_ms=1e9).router
    learned_state.restore(other, changes, 1000.0, 0.0)
    assert other._copies(other.functions["f"], other.scorers[2]) == 1
    for _ in range(61):
        driver.now += 1000.0
        driver.feed(io.TimerDue(0))
        known = "f" in driver.router.functions
        assert known or driver.now > 60_000.0
    driver.sweep(driver.now + 20_000.0)
    assert "f" not in driver.router.functions


def test_external_events_do_not_change_the_load_rate_limit():
    driver = Drive(load_window_ms=5000.0, free_loads=5.0)
    before = driver.router._load_rate_left()
    driver.feed(io.RemoteLoadReport(2, sent=3, copies={"f": 2}, loading=("f", "g")))
    driver.feed(io.ClassChanged(replace(UNSAFE, latency_target_ms=1.0)))
    assert driver.router._load_rate_left() == before
    prefetch(driver, 1, fn="h")
    assert driver.router._load_rate_left() == before - 1
