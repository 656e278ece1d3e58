"""Foresight in running front ends: its view, looks in slices and bounds, who orders by a star of logs."""

import math
import random
from dataclasses import replace

import msgspec
import pytest
from support.prefetch_driver import SITES, SPEC, UNIX, Calls, S, look, roster, rules, staging

from fawnwharf import interface as io
from fawnwharf.policy import Router
from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.session_monitor import SessionMonitor
from fawnwharf.prefetch.slices import run_slices
from fawnwharf.session_types import Session
from fawnwharf.sessions.staging import COUNTS, NAME_MOST, OPEN_MOST
from fawnwharf.sessions.staging_messages import Seen, Word


def test_scorers_come_in_the_module_s_own_order_and_those_that_take_nothing_are_left_out():
    router = Router(rules(weights_fixed=True), 7)
    entries = [io.ScorerEntry(n, zone=SITES[n % 3], units=1.0 + n % 4) for n in range(30)]
    router.handle(UNIX, [io.RosterChanged(entries, True)])
    one = staging(workers=0, weights_fixed=True)
    one.events(0.0, UNIX, [io.RosterChanged(entries, True)])
    for n in range(20):
        arrived = io.RequestArrived(f"r{n}", f"f{n}", "view", "club", 3_000.0)
        router.handle(UNIX, [arrived])
        order = [w.id for w in router.functions[f"f{n}"].hash_order]
        for site in SITES:
            assert one.scorers.order(f"f{n}", site) == [w for w in order if SITES[w % 3] == site]
    first = one.scorers.order("f0", "s")[0]
    one.events(
        1.0, UNIX + 1, [io.RosterChanged([io.ScorerEntry(first, io.ScorerState.DRAINING, zone="s")], False)]
    )
    assert first not in one.scorers.order("f0", "s") and len(one.scorers.order("f0", "s")) == 9
    second = one.scorers.order("f0", "s")[0]
    one.events(2.0, UNIX + 2, [io.LoadOrderAnswered(second, "f9", io.AttemptResult.FULL, 0, 5.0)])
    assert second not in one.scorers.order("f0", "s")
    one.scorers.at(6_000.0)
    assert second in one.scorers.order("f0", "s")


@pytest.mark.parametrize(
    "arrivals, answers, ordered, told, left",
    [
        (0, 0, 0, 0, 6.0),
        (20, 0, 0, 0, 12.0),  # 6 free, and 0.3 of 20
        (20, 0, 5, 0, 7.0),  # as the module counts
        (20, 0, 5, 2, 5.0),  # and what it was just asked for
        (20, 8, 5, 0, 7.0),  # the module knows which answers were to questions
        (20, 8, None, 0, 4.0),  # nobody says: all are held for orders
    ],
)
def test_the_ration_left_is_the_module_s_or_less(arrivals, answers, ordered, told, left):
    one, router = staging(), Router(rules(), 7)
    router.handle(UNIX, [roster(range(9))])
    for n in range(arrivals):
        came = io.RequestArrived(f"r{n}", "f", "view", "club", 3_000.0)
        one.events(1.0 * n, UNIX + n, [came])
        router.handle(UNIX + n, [came])
    router.load_orders_ms.clear()
    router.load_orders_ms.extend([router.now] * (ordered or 0))
    one.events(30.0, UNIX, [io.LoadOrderAnswered(0, "f", io.AttemptResult.GOOD, 1, 5.0)] * answers)
    one._wanted = [(30.0, told)]
    one.beat(40.0, Seen(ordered=ordered))
    view = one._view(40.0)
    assert view.ration == pytest.approx(left) and view.ration_most == pytest.approx(6.0 + 0.3 * arrivals)
    assert view.ration <= router._load_rate_left() or ordered is None
    one.scorers.at(6_000.0)
    assert one._view(6_000.0).ration_most == 6.0  # the window has passed
    assert staging(load_window_ms=0.0)._view(0.0).ration == math.inf


def test_calm_is_by_what_is_usual_and_a_third_of_the_others_in_a_surge_is_one():
    one, now = staging(), 0.0

    def calm(waiting, refused=0):
        nonlocal now
        now += 1_000.0
        look(one, now, Seen(heard=("a",), waiting=waiting, refused=refused, ordered=0))
        return one.calm

    assert calm(3) and not calm(8)
    for n in range(100):
        calm(3 + n // 10)  # it rises slowly: usual by now
    assert calm(20) and not calm(60)
    assert not calm(5, refused=3) and calm(5, refused=3)
    for n, owner in enumerate("bcdef"):
        one.heard(now, owner, Word(m.CounterMessage(1), (), calm=n >= 2))
    assert not one._view(now).calm  # two of six
    one.gone("b")
    assert one._view(now).calm and not one._view(now + 1).disturbed
    for n in range(6):
        one.events(
            now,
            UNIX,
            Calls().events(f"f{n}", "s", ending=io.AttemptResult.CONNECT_FAILED, worker=3 * (n % 3) + 1),
        )
    assert one._view(now + 500.0).disturbed == {"s"}


def test_a_cold_scorer_has_room_for_what_the_module_s_budget_leaves_and_one_that_is_gone_none():
    one = staging(workers=0)
    entries = [
        io.ScorerEntry(0, zone="n", up_since_ms=UNIX - 1e6),
        io.ScorerEntry(1, zone="n", up_since_ms=UNIX),
    ]
    one.events(5_000.0, UNIX, [io.RosterChanged(entries, True)])  # the clocks differ: what counts is the age
    one.scorers.at(5_001.0)
    assert one.scorers.cold_room(0) == math.inf and one.scorers.cold_room(7) == 0.0
    budget = one.scorers.cold_room(1)
    for _ in range(3):
        one.scorers.gave(5_001.0, 1)
    assert budget <= 1.0 and one.scorers.cold_room(1) == 0.0
    one.scorers.at(20_000.0)
    assert one.scorers.cold_room(1) == math.inf


def test_copies_stand_by_answers_and_words_until_they_lapse_or_their_scorer_starts_anew():
    one, calls = staging(idle_lifetime_ms=9_000.0), Calls()
    one.events(0.0, UNIX, calls.events("f1", "s"))
    one.events(0.0, UNIX, [io.LoadOrderAnswered(4, "f1", io.AttemptResult.GOOD, 2, 800.0)])
    one.events(500.0, UNIX, [io.RemoteLoadReport(7, copies={"f2": 1}, age_ms=400.0)])
    one.heard(0.0, "b", Word(m.CounterMessage(1, (m.CallCounter(Session("club", "f3"), "w", 1, 4),))))
    stands = one.copies.standing
    assert [stands(500.0, row, site) for row, site in (("f1", "s"), ("f2", "s"), ("f3", "w"))] == [3, 1, 1]
    assert stands(500.0, "f1", "n") == 0 == stands(9_101.0, "f2", "s") and stands(9_099.0, "f2", "s") == 1
    held = one.copies.held_mb("s")
    assert held == pytest.approx(3 * 40.0 + one.functions.memory_mb)  # of f2 nobody told: a guess
    one.events(600.0, UNIX + 600, [roster([4], False, up_since_ms=UNIX + 550)])
    one.events(700.0, UNIX + 700, [io.LoadOrderAnswered(1, "f1", io.AttemptResult.GOOD, 0, 5.0)])
    assert stands(700.0, "f1", "s") == 0
    assert not one.copies.sweep(99_000.0) and len(one.copies) == 0 and one.copies.held_mb("s") == 0.0


def test_a_stage_is_weighed_by_the_mean_worth_of_the_calls_that_come():
    dear = replace(SPEC, name="bet", priority_weight=9.0)
    one, calls = staging(classes={"view": SPEC, "bet": dear, "none": dear}), Calls()
    assert one.core.planner._mean == pytest.approx(19 / 3)  # nothing came yet: equal parts
    for second in range(10):
        for n in range(20):
            one.events(1_000.0 * second, UNIX, calls.events(f"f{n}", "n"))
        look(one, 1_000.0 * second)
    assert one.core.planner._mean == pytest.approx(1.0)  # all were views
    for second in range(10, 400):
        came, ended = calls.events("f1", "n")
        told = [replace(came, class_name="bet"), ended]
        one.events(1_000.0 * second, UNIX, told)
        look(one, 1_000.0 * second)
    assert one.core.planner._mean == pytest.approx(9.0, rel=0.01)  # what was long ago fades


def test_facts_of_functions_are_those_seen_and_else_others_words():
    one, other = staging(), staging("b")
    for _ in range(20):
        one.events(0.0, UNIX, Calls().events("f1", "s"))
    beats = look(one, 1_000.0)
    words = [word for beat in beats for word in beat.words]
    for word in words:
        other.heard(1_000.0, "a", msgspec.json.decode(msgspec.json.encode(word), type=Word))
    facts = other.functions.facts("f1")
    assert facts == one.functions.facts("f1") and (facts.class_name, facts.memory_mb, facts.load_ms) == (
        "view", 40.0, 900.0,
    )  # fmt: skip
    assert facts.run_ms == 100.0 and other.functions.facts("f2") is None
    other.events(2_000.0, UNIX, [io.RequestArrived("x", "f1", "view", "club", 1.0, 4, 80.0, 100.0)])
    other.heard(2_000.0, "a", words[0])
    assert other.functions.facts("f1").lanes == 4 and other.functions.facts("f1").memory_mb == 80.0


# --- looks ----------------------------------------------------------------------------------------


def test_a_look_in_slices_loses_no_call_that_comes_between_them():
    chance, whole, sliced = random.Random(4), SessionMonitor(S, "a"), SessionMonitor(S, "a")
    for second in range(1, 6):
        slices = sliced.look(1_000.0 * second)
        whole.beat(1_000.0 * second)
        for n in range(900):
            session = Session("club", f"f{chance.randrange(600)}")
            if n % 20 == 0 and slices is not None and next(slices, slices) is slices:
                slices = None
            for watch in (whole, sliced):
                watch.called(1_000.0 * second + n, session, SITES[n % 2])
        run_slices(slices) if slices is not None else None
    for watch in (whole, sliced):
        watch.beat(7_000.0)
        watch.beat(7_000.0)
    assert whole.counters() == sliced.counters()
    rose = [sum(f.slow for s in watch.tracks for f in watch.tracks[s].flows) for watch in (whole, sliced)]
    assert rose[1] == pytest.approx(rose[0], rel=0.03) and rose[0] > 3_500


def test_what_one_look_does_at_a_time_is_bounded_and_so_is_all_that_is_kept():
    bounds = msgspec.structs.replace(S, sessions=2_000, most=100)
    one, calls, beats = staging(bounds=bounds), Calls(), []
    for n in range(6_000):
        one.events(0.1 * n, UNIX, calls.events(f"f{n}", SITES[n % 3], org=f"t{n % 50}"))
    one.events(
        600.0, UNIX, [io.RequestArrived(f"q{n}", "f", "view", "club", 1.0) for n in range(OPEN_MOST + 9)]
    )
    long = "x" * (NAME_MOST + 1)
    one.events(600.0, UNIX, calls.events(long, "n") + calls.events("f", "n", org=long))
    beats = look(one, 1_000.0)
    assert all(len(word.counts.counts) <= COUNTS for beat in beats for word in beat.words)
    assert sum(len(word.counts.counts) for beat in beats for word in beat.words) == 2_000
    assert len(beats) > 40 and len(one.core.watch.tracks) == 2_000 == len(one.functions)
    assert len(one._open) <= OPEN_MOST and not any(len(s.row) > NAME_MOST for s in one.core.watch.tracks)
    with pytest.raises(msgspec.ValidationError):
        msgspec.json.decode(
            b'{"counts": {"number": 1}, "functions": [["", "c", 1, null, null, null]]}', type=Word
        )
