"""Reports of other front ends on a scorer: their sends, copies and loads, and when they expire."""

import pytest
from bench import Drive, of
from test_policy_external_events import IDLE_LIFETIME_MS, LOAD_MS, arrived, loads, prefetch, probed_scorers

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult, ScorerState

SLOW_START_WINDOW_MS = 1_000.0


def report_remote_load(driver, scorer=2, **report):
    return driver.feed(io.RemoteLoadReport(scorer, **report))


@pytest.mark.parametrize(
    ("age_ms", "what"),
    [
        (0.0, "sent"),
        (900.0, "sent"),
        (1100.0, "asked"),
        (IDLE_LIFETIME_MS - 1, "asked"),
        (IDLE_LIFETIME_MS + 1, "survey"),
    ],
)
def test_a_copy_that_others_reported_serves_is_probed_or_expires(age_ms, what):
    for known in (True, False):
        driver = Drive(idle_lifetime_ms=IDLE_LIFETIME_MS)
        driver.now = 50_000.0
        if known:
            driver.feed(io.PrefetchRequested(1, "f", "safe"))
            driver.count(1, 0, ending=AttemptResult.FULL)
            driver.router.functions["f"].copies_by_scorer[1].blocked_until_ms = 0.0
        report_remote_load(driver, copies={"f": 1, "other": 2}, age_ms=age_ms)
        actions = arrived(driver, "r")
        sends, questions = [send.scorer for send in of(actions, io.Send)], probed_scorers(actions)
        assert (sends == [2], questions == [2], len(questions) > 1) == (
            what == "sent",
            what == "asked",
            what == "survey",
        )


def test_a_report_overrides_only_older_answers():
    for ending in ("miss", "count"):
        driver = Drive(workers=1)
        driver.warm()
        [send] = of(arrived(driver, "r"), io.Send)
        driver.now += 50.0
        if ending == "miss":
            driver.end(send, AttemptResult.MISS, closed=False)
        else:
            driver.count(1, 0)
        fn, scorer = driver.router.functions["f"], driver.router.scorers[1]
        driver.now += 100.0
        for age_ms, copies in ((101.0, 0), (100.0, 0), (99.0, 3)):
            report_remote_load(driver, 1, copies={"f": 3}, age_ms=age_ms)
            assert driver.router._copies(fn, scorer) == copies


def test_a_report_is_invalid_after_a_restart_of_the_scorer():
    driver = Drive(workers=1)
    arrived(driver, "first")
    driver.feed(io.RequestCancelled("first"))
    driver.count(1, 0)
    driver.now = 5_000.0
    fn, scorer = driver.router.functions["f"], driver.router.scorers[1]
    start = io.RosterChanged([io.ScorerEntry(1, up_since_ms=driver.now - 100.0)], False)
    report_remote_load(driver, 1, copies={"f": 1}, loading=("f",), sent=0, age_ms=200.0)
    assert driver.router._copies(fn, scorer) == 1
    driver.feed(start)
    assert not driver.router._copies(fn, scorer)
    assert not driver.router._is_loading(fn, scorer)
    report_remote_load(driver, 1, copies={"f": 1}, loading=("f",), age_ms=101.0)  # from before its start
    assert not driver.router._copies(fn, scorer)
    assert not driver.router._is_loading(fn, scorer)
    report_remote_load(driver, 1, copies={"f": 1}, loading=("f",), age_ms=99.0)
    assert driver.router._copies(fn, scorer)
    assert driver.router._is_loading(fn, scorer)


def test_reports_on_unknown_draining_or_gone_scorers_cause_nothing():
    driver = Drive(workers=2)
    assert report_remote_load(driver, 99, sent=1, copies={"f": 1}, loading=("f",)) == []
    for state in (ScorerState.DRAINING, ScorerState.GONE):
        driver.feed(io.RosterChanged([io.ScorerEntry(2, state)], False))
        report_remote_load(driver, 2, copies={"f": 1}, loading=("f",))
        actions = arrived(driver, f"r{state}")
        assert not of(actions, io.Send)
        assert 2 not in probed_scorers(actions)
    assert driver.router.functions.keys() == {"f"}


@pytest.mark.parametrize(
    ("report", "waits"),
    [
        ({"loading": ("f",)}, True),
        ({"loading": ("f", "g"), "age_ms": LOAD_MS - 60.0}, True),
        ({"loading": ("f",), "age_ms": LOAD_MS + 1.0}, False),
        ({"loading": ("g",)}, False),
        ({}, False),
    ],
)
def test_a_load_of_others_is_not_ordered_again_until_it_expires(report, waits):
    driver = Drive()
    driver.now = 5_000.0
    report_remote_load(driver, **report)
    actions = driver.answer_asks(arrived(driver, "r"))
    assert bool(loads(actions)) is not waits
    if waits:
        fades = driver.now + LOAD_MS - report.get("age_ms", 0.0)
        assert not loads(driver.sweep(fades - 20.0))
        assert loads(driver.sweep(fades + 40.0))


def test_a_load_of_others_ends_with_the_next_report_or_the_copy_and_one_more_is_ordered_elsewhere():
    driver = Drive()
    driver.now = 5_000.0
    report_remote_load(driver, loading=("f",))
    assert not loads(driver.answer_asks(arrived(driver, "r1")))
    assert prefetch(driver, 2) == []  # a load is in progress there
    [(scorer, _)] = loads(arrived(driver, "r2"))
    assert scorer != 2
    driver.now += 100.0
    [send] = of(report_remote_load(driver, copies={"f": 1}), io.Send)  # the load is complete
    assert (send.request, send.scorer) == ("r1", 2)
    for after in ("a report without it", "an answer with it"):
        driver = Drive()
        driver.now = 5_000.0
        report_remote_load(driver, loading=("f",))
        asks = arrived(driver, "r1")
        if after == "a report without it":
            driver.answer_asks(asks)
            assert loads(report_remote_load(driver))  # the load ended without a copy
        else:
            driver.answer_asks(asks, {2: 1})
            assert "r1" not in [queued.id for queued in driver.router.functions["f"].queue]
            assert loads(arrived(driver, "r2"))


def allowed_sends(front_ends=4, calls=50, **report):
    """How many calls may be sent to one of two scorers that has just started: now, and 500 ms later."""
    driver = Drive(
        workers=2,
        fleet_size=front_ends,
        slow_start_window_ms=SLOW_START_WINDOW_MS,
        slow_start_multiple=2.0,
        slow_start_initial_share=0.2,
        slow_start_ms=1e9,
    )
    driver.router.draw_seed = 5
    for n in range(calls):
        driver.now += 5_000.0 / calls
        driver.feed(io.RequestCancelled(f"r{n - 1}"))
        arrived(driver, f"r{n}", f"f{n}")
    driver.feed(io.RosterChanged([io.ScorerEntry(1, up_since_ms=driver.now - 5_000.0)], False))
    if report:
        report_remote_load(driver, 1, **report)
    scorer, counts = driver.router.scorers[1], []
    for _ in range(2):
        scorer.slow_start_sends.clear()
        while driver.router._within_slow_start_limit(scorer) and len(scorer.slow_start_sends) < 999:
            scorer.slow_start_sends.append(driver.now)
        counts.append(len(scorer.slow_start_sends))
        driver.now += 500.0
    return counts


@pytest.mark.parametrize("front_ends", [1, 4, 20])
def test_the_slow_start_limit_uses_the_reported_sends_of_others_while_they_are_known(front_ends):
    without_report, later = allowed_sends(front_ends, calls=200)
    assert without_report > 4  # 2 x 0.2 of a rate of 0.6 x 20 per second, plus the random fraction
    whole = 2.0 * 0.2 * 0.6 * 20.0 * front_ends
    part = whole / front_ends
    with_report = allowed_sends(front_ends, calls=200, sent=0)[0]
    assert (
        int(part + (whole - part) / front_ends) <= with_report <= int(part + (whole - part) / front_ends + 1)
    )
    for unusable_report in (
        {"sent": None},
        {"sent": 0, "age_ms": SLOW_START_WINDOW_MS},
        {"sent": 500, "age_ms": 2e3},
    ):
        assert allowed_sends(front_ends, calls=200, **unusable_report) == [without_report, later]
    by_sent = [allowed_sends(front_ends, calls=200, sent=sent)[0] for sent in range(0, int(whole) + 9, 3)]
    assert by_sent == sorted(by_sent, reverse=True)
    assert by_sent[-1] == 0
    by_age = [
        allowed_sends(front_ends, calls=200, sent=0, age_ms=age)[0] for age in (0.0, 300.0, 600.0, 999.0)
    ]
    assert by_age == sorted(by_age, reverse=True)
    assert by_age[-1] <= without_report + 1


@pytest.mark.parametrize("front_ends", [4, 20, 200])
def test_front_ends_that_all_use_unused_capacity_at_once_exceed_it_less_than_twofold(front_ends):
    """All front ends receive a report that nothing was sent, and all send before the next report."""
    whole = 2.0 * 0.2 * 0.6 * 20.0 * front_ends
    assert front_ends * (allowed_sends(front_ends, calls=200, sent=0)[0] - 1) < 2 * whole


@pytest.mark.parametrize("seed", range(3))
def test_all_front_ends_together_keep_a_scorers_slow_start_limit_and_use_more_of_it(seed):
    """Two of four front ends send all the calls that they may, and all exchange reports every 100 ms."""
    budget, sent, drives = 2.0 * 0.2 * 0.6 * 20.0 * 4, 0, []
    for n in range(4):
        driver = Drive(
            workers=2,
            fleet_size=4,
            slow_start_window_ms=SLOW_START_WINDOW_MS,
            slow_start_initial_share=0.2,
            slow_start_ms=1e9,
            seed=99 * seed + n,
        )
        for call in range(200):
            driver.now += 25.0
            arrived(driver, f"r{call}", f"f{call}")
            driver.feed(io.RequestCancelled(f"r{call}"))
        driver.feed(io.RosterChanged([io.ScorerEntry(1, up_since_ms=driver.now - 1.0)], False))
        drives.append(driver)
    for _ in range(10):
        report = [len(driver.router.scorers[1].slow_start_sends) for driver in drives]
        for n, driver in enumerate(drives):
            report_remote_load(driver, 1, sent=sum(report) - report[n])
            scorer = driver.router.scorers[1]
            for _ in range(4 * (n < 2)):
                if driver.router._within_slow_start_limit(scorer):
                    scorer.slow_start_sends.append(driver.now)
                    sent += 1
            driver.now += 100.0
    assert 2 * (budget / 4 + 1) < sent <= budget + 4  # without reports two shares; up to 4 cross
