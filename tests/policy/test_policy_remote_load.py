"""What other front ends reported on a scorer: their sends, copies and loads, while it counts."""

import pytest
from bench import Drive, of
from test_policy_external_events import LIFE_MS, LOAD_MS, arrived, asked, loads, want

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult, ScorerState

FALL_MS = 1_000.0


def elsewhere(d, worker=2, **told):
    return d.feed(io.RemoteLoadReport(worker, **told))


@pytest.mark.parametrize(
    ("age_ms", "what"),
    [(0.0, "sent"), (900.0, "sent"), (1100.0, "asked"), (LIFE_MS - 1, "asked"), (LIFE_MS + 1, "survey")],
)
def test_a_copy_that_others_reported_serves_is_probed_or_expires(age_ms, what):
    for known in (True, False):
        d = Drive(idle_life_ms=LIFE_MS)
        d.now = 50_000.0
        if known:
            d.feed(io.PrefetchRequested(1, "f", "safe"))
            d.count(1, 0, ending=AttemptResult.FULL)
            d.router.functions["f"].copies_by_scorer[1].blocked_ms = 0.0
        elsewhere(d, copies={"f": 1, "other": 2}, age_ms=age_ms)
        actions = arrived(d, "r")
        sends, questions = [send.scorer for send in of(actions, io.Send)], asked(actions)
        assert (sends == [2], questions == [2], len(questions) > 1) == (
            what == "sent",
            what == "asked",
            what == "survey",
        )


def test_a_report_never_overrides_a_newer_own_answer_and_a_newer_one_does():
    for ending in ("miss", "count"):
        d = Drive(workers=1)
        d.warm()
        [send] = of(arrived(d, "r"), io.Send)
        d.now += 50.0
        if ending == "miss":
            d.end(send, AttemptResult.MISS, closed=False)
        else:
            d.count(1, 0)
        fn, worker = d.router.functions["f"], d.router.scorers[1]
        d.now += 100.0
        for age_ms, copies in ((101.0, 0), (100.0, 0), (99.0, 3)):
            elsewhere(d, 1, copies={"f": 3}, age_ms=age_ms)
            assert d.router._copies(fn, worker) == copies


def test_a_report_never_counts_across_a_start_of_the_scorer():
    d = Drive(workers=1)
    arrived(d, "first")
    d.feed(io.RequestCancelled("first"))
    d.count(1, 0)
    d.now = 5_000.0
    fn, worker = d.router.functions["f"], d.router.scorers[1]
    start = io.RosterChanged([io.ScorerEntry(1, up_since_ms=d.now - 100.0)], False)
    elsewhere(d, 1, copies={"f": 1}, loading=("f",), sent=0, age_ms=200.0)
    assert d.router._copies(fn, worker) == 1
    d.feed(start)
    assert not d.router._copies(fn, worker)
    assert not d.router._is_loading(fn, worker)
    elsewhere(d, 1, copies={"f": 1}, loading=("f",), age_ms=101.0)  # told before it started
    assert not d.router._copies(fn, worker)
    assert not d.router._is_loading(fn, worker)
    elsewhere(d, 1, copies={"f": 1}, loading=("f",), age_ms=99.0)
    assert d.router._copies(fn, worker)
    assert d.router._is_loading(fn, worker)


def test_reports_on_what_is_unknown_draining_or_gone_bring_nothing():
    d = Drive(workers=2)
    assert elsewhere(d, 99, sent=1, copies={"f": 1}, loading=("f",)) == []
    for state in (ScorerState.DRAINING, ScorerState.GONE):
        d.feed(io.RosterChanged([io.ScorerEntry(2, state)], False))
        elsewhere(d, 2, copies={"f": 1}, loading=("f",))
        actions = arrived(d, f"r{state}")
        assert not of(actions, io.Send)
        assert 2 not in asked(actions)
    assert d.router.functions.keys() == {"f"}


@pytest.mark.parametrize(
    ("word", "waits"),
    [
        ({"loading": ("f",)}, True),
        ({"loading": ("f", "g"), "age_ms": LOAD_MS - 60.0}, True),
        ({"loading": ("f",), "age_ms": LOAD_MS + 1.0}, False),
        ({"loading": ("g",)}, False),
        ({}, False),
    ],
)
def test_a_load_of_others_is_not_ordered_again_until_it_expires(word, waits):
    d = Drive()
    d.now = 5_000.0
    elsewhere(d, **word)
    actions = d.answer_asks(arrived(d, "r"))
    assert bool(loads(actions)) is not waits
    if waits:
        fades = d.now + LOAD_MS - word.get("age_ms", 0.0)
        assert not loads(d.sweep(fades - 20.0))
        assert loads(d.sweep(fades + 40.0))


def test_a_load_of_others_ends_with_the_next_report_or_the_copy_and_one_more_is_ordered_elsewhere():
    d = Drive()
    d.now = 5_000.0
    elsewhere(d, loading=("f",))
    assert not loads(d.answer_asks(arrived(d, "r1")))
    assert want(d, 2) == []  # where it is under way
    [(worker, _)] = loads(arrived(d, "r2"))
    assert worker != 2
    d.now += 100.0
    [send] = of(elsewhere(d, copies={"f": 1}), io.Send)  # it has come
    assert (send.request, send.scorer) == ("r1", 2)
    for after in ("a word without it", "an answer with it"):
        d = Drive()
        d.now = 5_000.0
        elsewhere(d, loading=("f",))
        asks = arrived(d, "r1")
        if after == "a word without it":
            d.answer_asks(asks)
            assert loads(elsewhere(d))  # it has ended without a copy
        else:
            d.answer_asks(asks, {2: 1})
            assert "r1" not in [held.id for held in d.router.functions["f"].queue]
            assert loads(arrived(d, "r2"))


def cold(peers=4, calls=50, **told):
    """How many calls may go to a worker that has just started, of a fleet of two: now, and 500 ms later."""
    d = Drive(
        workers=2,
        fleet_size=peers,
        slow_start_window_ms=FALL_MS,
        slow_start_multiple=2.0,
        slow_start_initial_share=0.2,
        slow_start_ms=1e9,
    )
    d.router.chance = 5
    for n in range(calls):
        d.now += 5_000.0 / calls
        d.feed(io.RequestCancelled(f"r{n - 1}"))
        arrived(d, f"r{n}", f"f{n}")
    d.feed(io.RosterChanged([io.ScorerEntry(1, up_since_ms=d.now - 5_000.0)], False))
    if told:
        elsewhere(d, 1, **told)
    worker, counts = d.router.scorers[1], []
    for _ in range(2):
        worker.slow_start_sends.clear()
        while d.router._within_slow_start_limit(worker) and len(worker.slow_start_sends) < 999:
            worker.slow_start_sends.append(d.now)
        counts.append(len(worker.slow_start_sends))
        d.now += 500.0
    return counts


@pytest.mark.parametrize("peers", [1, 4, 20])
def test_the_slow_start_limit_follows_what_was_really_sent_while_that_is_known(peers):
    guess, later = cold(peers, calls=200)
    assert guess > 4  # 2 x 0.2 of a rate of 0.6 x 20 a second, and the chance
    whole = 2.0 * 0.2 * 0.6 * 20.0 * peers
    part = whole / peers
    room = cold(peers, calls=200, sent=0)[0]
    assert int(part + (whole - part) / peers) <= room <= int(part + (whole - part) / peers + 1)
    for unsure in ({"sent": None}, {"sent": 0, "age_ms": FALL_MS}, {"sent": 500, "age_ms": 2e3}):
        assert cold(peers, calls=200, **unsure) == [guess, later]
    by_sent = [cold(peers, calls=200, sent=sent)[0] for sent in range(0, int(whole) + 9, 3)]
    assert by_sent == sorted(by_sent, reverse=True)
    assert by_sent[-1] == 0
    by_age = [cold(peers, calls=200, sent=0, age_ms=age)[0] for age in (0.0, 300.0, 600.0, 999.0)]
    assert by_age == sorted(by_age, reverse=True)
    assert by_age[-1] <= guess + 1


@pytest.mark.parametrize("peers", [4, 20, 200])
def test_front_ends_that_all_find_room_at_once_take_it_less_than_twice_over(peers):
    """Nobody has sent anything, all are told so, and all send before the next word."""
    whole = 2.0 * 0.2 * 0.6 * 20.0 * peers
    assert peers * (cold(peers, calls=200, sent=0)[0] - 1) < 2 * whole


@pytest.mark.parametrize("seed", range(3))
def test_all_front_ends_together_keep_a_scorers_slow_start_limit_and_use_more_of_it(seed):
    """Two of four have calls for it, as many as they may, and all tell each other each 100 ms."""
    budget, sent, drives = 2.0 * 0.2 * 0.6 * 20.0 * 4, 0, []
    for n in range(4):
        d = Drive(
            workers=2,
            fleet_size=4,
            slow_start_window_ms=FALL_MS,
            slow_start_initial_share=0.2,
            slow_start_ms=1e9,
            seed=99 * seed + n,
        )
        for call in range(200):
            d.now += 25.0
            arrived(d, f"r{call}", f"f{call}")
            d.feed(io.RequestCancelled(f"r{call}"))
        d.feed(io.RosterChanged([io.ScorerEntry(1, up_since_ms=d.now - 1.0)], False))
        drives.append(d)
    for _ in range(10):
        told = [len(d.router.scorers[1].slow_start_sends) for d in drives]
        for n, d in enumerate(drives):
            elsewhere(d, 1, sent=sum(told) - told[n])
            worker = d.router.scorers[1]
            for _ in range(4 * (n < 2)):
                if d.router._within_slow_start_limit(worker):
                    worker.slow_start_sends.append(d.now)
                    sent += 1
            d.now += 100.0
    assert 2 * (budget / 4 + 1) < sent <= budget + 4  # the guess gives two parts; four cross with a word
