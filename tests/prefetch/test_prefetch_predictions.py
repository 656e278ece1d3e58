"""Session monitor (merging of counters, decaying windows, bounds), predictors, and prefetch settings."""

import random

import msgspec
import pytest
from hypothesis import given, settings, strategies

from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.move_history import MoveHistory
from fawnwharf.prefetch.predictors import HistoryPredictor, NoMovePredictor, PlanPredictor, TrendPredictor
from fawnwharf.prefetch.session_monitor import MAX_OWNERS, MAX_ZONES, SessionMonitor
from fawnwharf.prefetch.settings import (
    PrefetchSettings,
    Prices,
    decode_prefetch_settings,
    decode_site_settings,
)
from fawnwharf.prefetch.slices import run_slices
from fawnwharf.session_types import Session
from fawnwharf.zones.settings import SettingsFileError

S = PrefetchSettings(day_ms=100_000.0, phases=20)
A, B = Session("club", "f1"), Session("club", "f2")

counts = strategies.builds(
    m.CallCounter,
    strategies.sampled_from([A, B, Session("media", "f1")]),
    strategies.sampled_from(["n", "s"]),
    strategies.integers(0, 3),
    strategies.integers(1, 9),
)
messages = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["o1", "o2"]),
        strategies.builds(
            m.CounterMessage, strategies.integers(1, 5), strategies.lists(counts, max_size=4).map(tuple)
        ),
    ),
    max_size=8,
)


def calls(scan):
    return {(flow.session, flow.site) for flow in scan.called}


@settings(derandomize=True, max_examples=150, deadline=None)
@given(messages, strategies.randoms(use_true_random=False))
def test_messages_merge_in_any_order_and_however_often_they_arrive(messages_sent, rng):
    plain, mixed = SessionMonitor(S), SessionMonitor(S)
    for owner, message in messages_sent:
        plain.heard(0.0, owner, message)
    again = messages_sent + messages_sent[:3]
    rng.shuffle(again)
    for owner, message in again:
        mixed.heard(0.0, owner, message)
    assert plain.counters() == mixed.counters()
    one, other = plain.beat(1_000.0), mixed.beat(1_000.0)
    assert set(one.moved) == set(other.moved)
    assert calls(one) == calls(other)
    for session in plain.tracks:
        seen = {f.site: (f.fast, f.slow) for f in plain.tracks[session].flows}
        assert seen == {f.site: (f.fast, f.slow) for f in mixed.tracks[session].flows}


def test_own_counters_reach_another_front_end_and_a_lost_message_is_compensated():
    one, other = SessionMonitor(S, "a"), SessionMonitor(S, "b")
    for n in range(3):
        one.called(1_000.0 * n, A, "n")
        message = one.word()
        if n != 1:
            other.heard(1_000.0 * n, "a", message)
    assert other.counters()["a", A, "n"] == (1, 3)
    other.beat(2_000.0)
    assert other.tracks[A].flows[0].fast == 3.0
    assert other.heard(2_000.0, "b", message) is None
    assert other.dropped == {"a word of my own": 1}


def test_a_session_that_arrives_with_its_history_is_no_burst():
    watch = SessionMonitor(S)
    watch.heard(
        0.0, "a", m.CounterMessage(90, (m.CallCounter(A, "n", 3, 5_000), m.CallCounter(B, "n", 89, 7)))
    )
    watch.beat(1_000.0)
    assert watch.tracks[A].flows[0].fast == 1.0
    assert watch.tracks[B].flows[0].fast == 7.0


def test_a_move_is_detected_once_and_a_silent_session_ends():
    watch, moved, ended = SessionMonitor(S), [], []
    for second in range(60):
        if second < 20:
            watch.called(1_000.0 * second, A, "n" if second < 10 else "s")
        scan = watch.beat(1_000.0 * second)
        moved += scan.moved
        ended += scan.ended
    assert moved == [m.SessionMoved(A, "n", "s", 10_000.0)]
    assert ended == [m.SessionEnded(A, "s", 19_000.0)]
    assert not watch.tracks
    assert not watch.groups
    assert not watch.counters()


def test_a_flood_of_sessions_stays_within_bounds_and_is_counted():
    watch = SessionMonitor(msgspec.structs.replace(S, sessions=500))
    for n in range(400):
        watch.called(0.0, Session("club", f"live{n}"), "n")
    watch.beat(0.0)
    for n in range(5_000):
        watch.called(1.0, Session(f"t{n}", f"g{n}"), "n")
        if n % 50 == 0:
            for k in range(20):
                watch.called(1.0, Session("club", f"live{k}"), "n")
            watch.beat(1.0)
    assert len(watch.tracks) == 500
    assert watch.dropped["a session beyond the bound"] == 4_900
    assert sum(s.org == "club" for s in watch.tracks) == 20  # sessions that keep calling are not evicted
    assert len(watch.counters()) <= 500
    assert len(watch.word().counts) <= 500
    for n in range(50):
        watch.called(2.0, A, f"site{n}")
    assert len(watch.tracks[A].flows) == MAX_ZONES
    for n in range(MAX_OWNERS + 50):
        watch.heard(2.0, f"o{n}", m.CounterMessage(1))
    assert watch.dropped["an owner beyond the bound"] == 51


def test_rates_remain_after_an_owner_is_gone():
    watch = SessionMonitor(S)
    watch.heard(0.0, "a", m.CounterMessage(1, (m.CallCounter(A, "n", 1, 5),)))
    watch.beat(0.0)
    watch.heard(0.0, "a", m.CounterMessage(2, (m.CallCounter(A, "n", 1, 9),)))
    watch.gone("a")
    assert not watch.beat(1_000.0).called
    assert watch.counters() == {}
    assert 0.0 < watch.tracks[A].rate_ps(S, 1_000.0) <= 5.0


# --- move history and predictors ----------------------------------------------------------------


def predicted_moves(predictor, now, watch, span):
    return run_slices(predictor.moves(now, watch, span))


def days(predictor, count, moves=True, seed=1):
    """Run sessions of one tenant that move from n to s at 30 s of each 100 s day, and back at 80 s."""
    watch, rng = SessionMonitor(S), random.Random(seed)
    for second in range(int(count * 100)):
        now, day = 1_000.0 * second, second % 100
        away = moves and 30 <= day < 80
        for n in range(20):
            if rng.random() < 0.8:
                watch.called(now, Session("club", f"f{n}"), "s" if away else "n")
        scan = watch.beat(now)
        run_slices(predictor.learn(now, watch, scan))
    return watch


def test_history_predicts_what_repeats_each_day_and_nothing_else():
    learnt = HistoryPredictor(S)
    watch = days(learnt, 3.28)  # on the fourth day, 2 s before the move
    early = predicted_moves(learnt, 315_000.0, watch, 9_000.0)
    late = predicted_moves(learnt, 327_000.0, watch, 9_000.0)
    assert not early or max(move.probability for move in early) < 0.1
    assert len(late) == 20
    assert min(move.probability for move in late) > 0.5
    assert {(move.source, move.destination) for move in late} == {("n", "s")}
    still = HistoryPredictor(S)
    assert predicted_moves(still, 327_000.0, days(still, 3.28, moves=False), 9_000.0) == []
    assert predicted_moves(NoMovePredictor(), 0.0, watch, 9_000.0) == []


def test_hazards_are_moves_over_the_time_at_risk():
    past, watch = MoveHistory(S), SessionMonitor(S)
    for n in range(10):
        watch.called(0.0, Session("club", f"f{n}"), "n")
    watch.beat(0.0)
    past.learn(0.0, watch, m.ScanResult())
    moved = tuple(m.SessionMoved(Session("club", f"f{n}"), "n", "s", 900.0) for n in range(4))
    past.learn(1_000.0, watch, m.ScanResult(moved))
    # 4 moves in 10 x 1 s of exposure and a prior of 10 s: 4/20 per second; the window has 4 s of this phase
    assert past.hazards(1_000.0, "club", "n", 10_000.0)["s"] == pytest.approx(4 * 4 / 20, rel=1e-3)
    assert past.ending(0.0, "other", 5_000.0) == 0.0
    track = watch.tracks[Session("club", "f0")]
    assert past.lives(500.0, Session("club", "f0"), track, 9_000.0) == 1.0  # no session end was observed
    past.learn(2_000.0, watch, m.ScanResult((), (m.SessionEnded(Session("club", "f9"), "n", 500.0),)))
    lives = [past.lives(2_000.0 + 2_000.0 * n, Session("club", "f0"), track, 9_000.0) for n in range(5)]
    assert lives == sorted(lives, reverse=True)
    assert lives[0] > 0.5 > 0.3 > lives[-1]


def test_trend_follows_sessions_that_have_just_left():
    trend, watch = TrendPredictor(S), SessionMonitor(S)
    for second in range(24):
        for n in range(20):
            gone = second >= 20 and n < 4 * (second - 19)
            watch.called(1_000.0 * second, Session("club", f"f{n}"), "s" if gone else "n")
            watch.called(1_000.0 * second, Session("club", f"f{n}"), "s" if gone else "n")
        run_slices(trend.learn(1_000.0 * second, watch, watch.beat(1_000.0 * second)))
    made = [move for move in predicted_moves(trend, 23_000.0, watch, 9_000.0) if move.destination == "s"]
    assert len({move.session for move in made}) >= 8
    assert max(move.probability for move in made) > 0.5


def test_announced_plans_are_certain_and_later_ones_replace_them():
    watch = SessionMonitor(S)
    for second in range(10):
        watch.called(1_000.0 * second, A, "n")
        watch.called(1_000.0 * second, B, "n")
        watch.beat(1_000.0 * second)
    place = {A: 0.2, B: 0.8}
    plans = PlanPredictor(S, lambda _session, _site: (("s", 1.0),), lambda session, _site: place[session])
    drain = m.AnnouncedPlan("n", 2, "drain", (m.PlanStep(5_000.0, 0.0),))
    assert plans.announced(9_000.0, drain)
    assert not plans.announced(9_500.0, drain)
    (one, two) = predicted_moves(plans, 9_500.0, watch, 9_000.0)
    assert {one.session, two.session} == {A, B}
    assert one.probability == two.probability == 1.0
    assert one.predictor == "announced"
    assert predicted_moves(plans, 9_500.0, watch, 1_000.0) == []
    assert predicted_moves(plans, 24_000.0, watch, 9_000.0) == []
    for second in range(10, 20):
        watch.called(1_000.0 * second, A, "s")
        watch.called(1_000.0 * second, B, "s")
        watch.beat(1_000.0 * second)
    steps = (m.PlanStep(2_000.0, 0.25), m.PlanStep(20_000.0, 1.0))
    plans.announced(19_000.0, m.AnnouncedPlan("n", 3, "return", steps))
    assert [move.session for move in predicted_moves(plans, 19_500.0, watch, 9_000.0)] == [
        A
    ]  # B's scorer opens later
    assert plans.announced(20_000.0, m.AnnouncedPlan("n", 4, "return"))
    assert not predicted_moves(plans, 20_000.0, watch, 9e3)
    plans.announced(20_000.0, m.AnnouncedPlan("s", 1, "standby"))
    assert plans.standby() == {"s"}


def test_settings_are_checked_by_key():
    assert decode_prefetch_settings(b'{"version": 1, "foresight": {"margin": 0.1}, "other": 3}').margin == 0.1
    for text, key in (
        (b'{"version": 1, "foresight": {"margin": 2}}', "foresight.margin"),
        (b'{"version": 2}', "version"),
        (b"{", "sessions"),
        (b'{"version": 1, "foresight": {"fast_ms": 9e5}}', "foresight.slow_ms"),
    ):
        with pytest.raises(SettingsFileError, match=key):
            decode_prefetch_settings(text)
    site, prices = decode_site_settings(
        {"costs": {"origin": 0.15, "waste": None}, "classes": [{"name": "c", "worth": 5}]}
    )
    assert prices == Prices(0.15)
    assert site.classes["c"].priority_weight == 5.0
