"""External events: classes that change, sites, prefetches (others' reports: test_policy_remote_load)."""

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


# --- a class that changes ------------------------------------------------------------------


def test_calls_in_flight_keep_the_class_with_which_they_came():
    driver = Drive()
    driver.warm(lanes=4)
    [old] = of(arrived(driver, "old", lanes=4), io.Send)
    assert not driver.feed(io.ClassChanged(replace(SAFE, effect=io.Effect.AT_MOST_ONCE)))
    [new] = of(arrived(driver, "new", lanes=4), io.Send)
    assert driver.router.functions["f"].runs.timed  # what was learnt is kept
    driver.end(new, AttemptResult.ERROR, closed=False)
    driver.end(old, AttemptResult.ERROR, closed=False)
    assert "old" in driver.router.requests  # safe as it came: it may be sent again, or else is refused
    driver.sweep(driver.now + 2600.0)
    finals = [a for _, a in driver.log if isinstance(a, io.Reject | io.Fail)]
    assert finals == [io.Fail("new"), io.Reject("old")]


@pytest.mark.parametrize(
    ("changes", "least"),
    [
        ([("safe", 300.0)], 300.0),
        ([("safe", 300.0), ("safe", 2000.0)], 900.0),  # the short class's again
        ([("short", 1500.0)], 1000.0),
        ([("brand new", 100.0)], 100.0),
    ],
)
def test_the_least_promise_follows_and_the_settings_handed_in_stay(changes, least):
    driver = Drive()
    for name, target_ms in changes:
        driver.feed(io.ClassChanged(io.ClassSpec(name, target_ms)))
    assert driver.router.latency_target_ms == least
    assert driver.router.settings.classes["safe"] == SAFE
    assert "brand new" not in driver.router.settings.classes


@pytest.mark.parametrize(
    ("changed", "after_ms", "again"), [(None, 100, True), (150.0, 100, False), (150.0, 40, True)]
)
def test_the_window_of_a_class_counts_for_what_arrives_later(changed, after_ms, again):
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
    driver = Drive(workers=workers, zones=("a", "b", "c"), zone=own, idle_life_ms=IDLE_LIFETIME_MS)
    return driver, {entry.scorer: entry.zone for entry in driver.entries}


def test_a_function_goes_by_the_site_of_its_latest_arrival():
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


def test_the_first_probes_the_first_copy_and_speculative_ones_are_at_the_site():
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
        assert orders == sorted(plain, key=lambda w: zones[w] != site)  # in hash order within and without


@pytest.mark.parametrize(("site", "most"), [("", 8), ("b", 16), ("a", 8)])
def test_the_bound_goes_by_the_site(site, most):  # 2.4 and 1.5 times a fair share, as in the own zone
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


# --- copies wanted -----------------------------------------------------------------------------


def test_a_copy_wanted_is_ordered_answered_and_used_by_the_first_call():
    driver = Drive(idle_life_ms=IDLE_LIFETIME_MS)
    assert prefetch(driver, 3) == [(3, 1)]
    assert driver.router.loading == 1
    assert len(driver.router.load_orders_ms) == 1
    assert prefetch(driver, 3) == []  # it is under way
    driver.now += LOAD_MS
    driver.count(3, 1)
    assert driver.router.loading == 0
    assert prefetch(driver, 3) == []
    assert prefetch(driver, 3, copies=2) == [(3, 2)]
    driver.count(3, 2)
    [send] = of(arrived(driver, "r"), io.Send)
    assert send.scorer == 3


def prefetch_in_case(case):
    settings = {"load_window_ms": 5000.0, "free_loads": 3.0, "idle_life_ms": IDLE_LIFETIME_MS}
    if case == "orders off":
        settings["load_orders_allowed"] = False
    if case == "cold":
        settings |= {"slow_start_ms": 60_000.0, "slow_start_multiple": 0.0}
    driver = Drive(**settings)
    change_scorer(driver, case)
    if case == "ration exhausted":
        driver.router.load_orders_ms.extend([driver.now] * 3)
    elif case == "blocked":
        prefetch(driver, 2)
        driver.count(2, 0, ending=AttemptResult.FULL)
    elif case == "stands":
        driver.now += 1.0
        arrived(driver, "r")
        driver.count(2, 1)
    elif case == "too many under way":
        driver.router.loading = 99
    return prefetch(driver, 77 if case == "unknown worker" else 2, 0 if case == "none" else 1)


def change_scorer(driver, case):
    if case in ("draining", "gone"):
        state = ScorerState.DRAINING if case == "draining" else ScorerState.GONE
        driver.feed(io.RosterChanged([io.ScorerEntry(2, state)], False))
    elif case == "suspect":
        driver.router._suspect(driver.router.scorers[2])
    elif case == "cold":
        driver.now += 1000.0
        driver.feed(io.RosterChanged([io.ScorerEntry(2, up_since_ms=driver.now)], False))
        driver.router.chance = next(
            n for n in range(99) if not driver.router._within_slow_start_limit(scorer_with_seed(driver, n))
        )


def scorer_with_seed(driver, chance):
    driver.router.chance = chance
    driver.router.scorers[2].slow_start_sends.append(driver.now)
    return driver.router.scorers[2]


@pytest.mark.parametrize(
    ("case", "ordered"),
    [
        ("plain", True),
        ("unknown worker", False),
        ("draining", False),
        ("gone", False),
        ("suspect", False),
        ("ration exhausted", False),
        ("blocked", False),
        ("stands", False),
        ("none", False),
        ("cold", False),
        ("too many under way", False),
        ("orders off", False),
    ],
)
def test_copies_are_ordered_within_all_that_binds_loads_or_not_at_all(case, ordered):
    assert prefetch_in_case(case) == ([(2, 1)] if ordered else [])


def test_foresight_leaves_an_order_for_each_held_call():
    for left in (1, 2, 3):
        driver = Drive(load_window_ms=5000.0, free_loads=4.0)
        arrived(driver, "r0", "g0")
        arrived(driver, "r1", "g1")
        driver.router.load_orders_ms.extend([driver.now] * (4 - left))
        assert prefetch(driver, 2) == ([(2, 1)] if left == 3 else [])


def test_a_copy_still_wanted_is_refreshed_before_it_expires_and_a_failed_one_is_blocked():
    driver = Drive(idle_life_ms=IDLE_LIFETIME_MS)
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
    before = driver.router.loads_limit
    driver.count(2, 0, ending=AttemptResult.ERROR)
    assert driver.router.loading == 0
    assert driver.router.loads_limit < before


def test_an_unused_prefetched_copy_does_not_switch_speculative_loads_off():
    driver = Drive(idle_life_ms=IDLE_LIFETIME_MS)
    prefetch(driver, 3)
    driver.count(3, 1)
    driver.now += 900.0  # many runs
    assert of(arrived(driver, "r1"), io.Send)
    assert loads(arrived(driver, "r2"))


def test_what_is_wanted_and_never_called_is_kept_in_mind_for_its_time_and_handed_over():
    driver = Drive(idle_life_ms=1e9)
    prefetch(driver, 2)
    driver.count(2, 1)
    driver.feed(io.PrefetchRequested(2, "g", "safe"))
    driver.count(2, 1, "g")
    changes = learned_state.capture(driver.router, set(), driver.now, 0.0)
    other = Drive(idle_life_ms=1e9).router
    learned_state.restore(other, changes, 1000.0, 0.0)
    assert other._copies(other.functions["f"], other.scorers[2]) == 1
    for _ in range(61):
        driver.now += 1000.0
        driver.feed(io.TimerDue(0))
        known = "f" in driver.router.functions
        assert known or driver.now > 60_000.0
    driver.sweep(driver.now + 20_000.0)
    assert "f" not in driver.router.functions


def test_external_events_leave_the_load_rate_limit_alone():
    driver = Drive(load_window_ms=5000.0, free_loads=5.0)
    before = driver.router._load_rate_left()
    driver.feed(io.RemoteLoadReport(2, sent=3, copies={"f": 2}, loading=("f", "g")))
    driver.feed(io.ClassChanged(replace(UNSAFE, latency_target_ms=1.0)))
    assert driver.router._load_rate_left() == before
    prefetch(driver, 1, fn="h")
    assert driver.router._load_rate_left() == before - 1
