"""Prediction scores, copy value, and the planner: budgets, ordering front end, releases and quiet times."""

import math
import random

import pytest
from hypothesis import given, settings, strategies

from fawnwharf.interface import ClassSpec, Settings
from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.budgets import PlannerView, ordering_front_end
from fawnwharf.prefetch.copy_value import FunctionProfile, IdleCopy, copy_cost, mean_worth, waiting_loss
from fawnwharf.prefetch.planner import Planner
from fawnwharf.prefetch.prediction_scores import MIN_PROBABILITY, PredictionScores
from fawnwharf.prefetch.prefetcher import Prefetcher
from fawnwharf.prefetch.session_monitor import Flow
from fawnwharf.prefetch.settings import PrefetchSettings as Bounds
from fawnwharf.prefetch.settings import Prices
from fawnwharf.prefetch.trial import compare, interval
from fawnwharf.session_types import PredictedMove, PrefetchRelease, Session

SPEC = ClassSpec("view", latency_target_ms=800.0, deadline_ms=3_000.0, priority_weight=1.0, late_share=0.2)
SITE = Settings(classes={"view": SPEC}, fleet_size=3, idle_lifetime_ms=9_300.0)
PRICES = Prices(origin=0.15, waste=0.16, probe=0.01)
FACTS = FunctionProfile("view", 400.0, 900.0, 100.0)
S = Bounds(least=30, copies=1)
SCORERS = tuple(f"w{n}" for n in range(6))


def view(**changes):
    fields = dict(
        me="a", heard=("a",), calm=True, disturbed=frozenset(), ration=math.inf, ration_most=math.inf,
        waiting=0, facts=lambda _row: FACTS, order=lambda _row, _site: SCORERS, cold_room=lambda _scorer:
        math.inf, spare_mb=lambda _site: 1e6, standing=lambda _row, _site: 0,
    )  # fmt: skip
    return PlannerView(**(fields | changes))


def move(n, chance=0.9, by="learnt", destination="s", within=5_000.0):
    return PredictedMove(Session("club", f"f{n}"), "n", destination, within, chance, by)


def planner(bounds=S, site=SITE):
    return Planner(bounds, site, PRICES, PredictionScores(bounds))


def orders(found):
    return [one for one in found if isinstance(one, m.AssignedOrder)]


def step(plan, now, moves, seen):
    return plan.step(now, moves, seen, lambda _session: 0.5)


# --- scores ---------------------------------------------------------------------------------------


def test_scores_are_those_computed_by_hand():
    scores = PredictionScores(S)
    scores.predicted(0.0, [move(1, 0.8), move(2, 0.8), move(3, 0.4)])
    scores.seen(
        1_000.0,
        m.ScanResult((m.SessionMoved(move(1).session, "n", "s"), m.SessionMoved(move(9).session, "n", "s"))),
    )
    scores.seen(9_999.0, m.ScanResult())
    assert scores.sums["learnt"].weight == pytest.approx(1.0, rel=0.02)
    scores.seen(10_001.0, m.ScanResult())
    sums = scores.sums["learnt"]
    assert sums.weight == pytest.approx(3.0, rel=0.02)
    assert scores.missed == 1
    assert sums.brier == pytest.approx(0.04 + 0.64 + 0.16, rel=0.02)
    assert sums.base == pytest.approx(1.0, rel=0.02)
    assert sums.loss == pytest.approx(-math.log(0.8) - math.log(0.2) - math.log(0.6), rel=0.02)
    assert sums.base_loss == pytest.approx(-math.log(MIN_PROBABILITY), rel=0.02)
    assert sums.skill == pytest.approx(0.16, abs=0.02)
    table = scores.table("learnt")
    assert table[4][1:] == pytest.approx((0.4, 0.0))
    assert table[8][1:] == pytest.approx((0.8, 0.5), rel=0.02)
    scores.seen(10_001.0 + 20 * S.score_ms, m.ScanResult())
    assert sums.weight < 1e-6


def test_a_predictor_is_used_only_while_it_beats_the_baseline_and_its_orders_pay():
    scores = PredictionScores(S)

    def round_(now, chance, came):
        moves = [move(n, chance) for n in range(40)]
        scores.predicted(now, moves)
        moved = tuple(m.SessionMoved(one.session, "n", "s") for one in moves[: int(40 * came)])
        scores.seen(now + 1.0, m.ScanResult(moved))
        scores.seen(now + 20_000.0, m.ScanResult())

    round_(0.0, 0.7, 0.5)
    assert scores.best(["learnt", "trend"]) == "learnt"
    scores.charge(20_000.0, "learnt", 2.5)
    assert scores.best(["learnt"]) is None
    scores.credit(20_000.0, "learnt", 2.0)
    assert scores.best(["learnt"]) == "learnt"
    round_(30_000.0, 0.7, 0.1)
    assert scores.best(["learnt"]) is None
    assert scores.sums["learnt"].skill < 0


# --- value ----------------------------------------------------------------------------------------


def test_value_and_cost_are_those_computed_by_hand():
    # 100 + 900 ms exceeds the latency target by 200 ms: the first call is late, and so are the calls that
    # arrive in the first 200 ms of the load.
    assert waiting_loss(SPEC, FACTS, 5.0) == pytest.approx(0.8 * (1 + 5.0 * 0.2))
    assert waiting_loss(SPEC, FunctionProfile("view", 400.0, 600.0, 100.0), 5.0) == 0.0
    assert waiting_loss(SPEC, FunctionProfile("view", 400.0, 3_500.0, 100.0), 0.0) == 1.0
    lost = 0.15 + 0.16 * S.core_part * 9.0
    assert copy_cost(S, PRICES, FACTS, 0.25, IdleCopy(0.0, 1e6, 0.0, 1.0)) == pytest.approx(
        0.75 * lost + 0.01
    )
    assert mean_worth({"a": ClassSpec("a", priority_weight=5.0), "b": SPEC}, {"a": 1.0, "b": 3.0}) == 2.0


def test_a_prefetch_order_exceeds_its_cost_and_the_best_go_first():
    plan = planner()
    found = orders(step(plan, 0.0, [move(1, 0.1), move(2, 0.9), move(3, 0.5)], view()))
    assert [one.stage.row for one in found] == ["f2", "f3"]
    assert found[0].scorers == ("w0",)
    assert found[0].stage.copies == 1
    assert found[0].stage.site == "s"
    assert found[0].stage.until_ms == pytest.approx(900.0 + 9_300.0)
    assert plan.skipped == {"not worth it": 1}
    assert step(plan, 500.0, [move(2)], view()) == []  # already held
    assert step(planner(), 0.0, [move(2)], view(standing=lambda *_: 1)) == []
    assert step(planner(), 0.0, [move(2)], view(facts=lambda _row: None)) == []


@settings(derandomize=True, max_examples=60, deadline=None)
@given(strategies.integers(0, 1 << 32), strategies.floats(0.0, 12.0), strategies.integers(1, 6))
def test_no_budget_is_ever_exceeded(seed, fetches, front_ends):
    rng = random.Random(seed)
    bounds = Bounds(fetches_ps=fetches, pace_ps=3.0, copies=2)
    names = tuple(f"n{n}" for n in range(front_ends))
    site = Settings(classes={"view": SPEC}, fleet_size=front_ends, idle_lifetime_ms=9_300.0)
    plans = {name: Planner(bounds, site, PRICES, PredictionScores(bounds)) for name in names}
    issued: dict[str, list[float]] = {name: [] for name in names}
    held_mb = {"s": 0.0, "t": 0.0}
    for look in range(12):
        now, room = 500.0 * look, {scorer: rng.choice([0.0, 1.0, 2.5]) for scorer in SCORERS}
        moves = [move(rng.randrange(60), rng.random(), destination=rng.choice("st")) for _ in range(40)]
        for name in names:
            ration, most, waiting = rng.uniform(0, 9), 10.0, rng.randrange(3)
            seen = view(me=name, heard=names, ration=ration, ration_most=most, waiting=waiting,
                        cold_room=room.__getitem__, spare_mb=lambda _site: 3_000.0)  # fmt: skip
            found = orders(plans[name].step(now, moves, seen, lambda _session: rng.uniform(0, 30)))
            copies = sum(one.stage.copies for one in found)
            assert copies <= max(0.0, ration - 5.0 - waiting)
            issued[name] += [now] * copies
            used = [scorer for one in found for scorer in one.scorers]
            assert all(used.count(scorer) <= room[scorer] for scorer in used)
            for where in held_mb:
                held = sum(h.memory_mb for (_, at), h in plans[name].held.items() if at == where)
                assert held <= 3_000.0
    all_issued = sorted(at for times in issued.values() for at in times)
    for n, since in enumerate(all_issued):
        for k in range(n, len(all_issued)):
            assert (
                k - n + 1
                <= max(fetches * 2.0, bool(fetches)) + fetches * (all_issued[k] - since) / 1e3 + 1e-6
            )
    for times in issued.values():
        assert len(times) <= 6.0 + 3.0 * 5.5 + 1e-6


def test_one_front_end_orders_and_another_takes_over_when_it_is_gone():
    names = ("a", "b", "c")
    moves = [move(n) for n in range(12)]
    found = {name: orders(step(planner(), 0.0, moves, view(me=name, heard=names))) for name in names}
    rows = [one.stage.row for some in found.values() for one in some]
    assert len(rows) == len(set(rows))
    assert len(rows) >= 6
    row = next(one.stage.row for one in found["b"])
    left = ("a", "c")
    successor = ordering_front_end(row, "s", left)
    assert successor in left
    again = orders(
        step(planner(), 0.0, [one for one in moves if one.session.row == row], view(me=successor, heard=left))
    )
    assert [one.stage.row for one in again] == [row]
    stays = [r for r in rows if ordering_front_end(r, "s", names) != "b"]
    assert all(ordering_front_end(r, "s", names) == ordering_front_end(r, "s", left) for r in stays)


def test_nothing_is_ordered_in_a_surge_a_loss_and_a_power_up_and_shortly_after():
    plan = planner()
    assert len(orders(step(plan, 0.0, [move(1), move(2, destination="t")], view()))) == 2
    assert step(plan, 500.0, [move(3)], view(disturbed=frozenset("t")))[:1] == [PrefetchRelease("f2", "t")]
    assert step(plan, 1_000.0, [move(4, destination="t")], view()) == []
    assert PrefetchRelease("f1", "s") in step(plan, 1_500.0, [move(5)], view(calm=False))
    assert step(plan, 1_500.0 + S.quiet_ms - 1, [move(5)], view()) == []
    assert len(orders(step(plan, 1_500.0 + S.quiet_ms, [move(5)], view()))) == 1
    assert plan.scores.sums == {}  # no predictor is charged for a surge


def test_an_unused_order_is_released_charged_and_not_repeated_at_once():
    plan = planner()
    (order,) = orders(step(plan, 0.0, [move(1, 0.4)], view()))
    assert plan.seen(order.stage.until_ms - 1, m.ScanResult()) == []
    assert plan.seen(order.stage.until_ms, m.ScanResult()) == [PrefetchRelease("f1", "s")]
    assert plan.wasted == 1
    assert plan.scores.sums["learnt"].net < -0.15
    assert step(plan, order.stage.until_ms, [move(1, 0.4)], view()) == []
    assert len(orders(step(plan, order.stage.until_ms + S.dwell_ms, [move(1, 0.4)], view()))) == 1
    plan.seen(99_000.0, m.ScanResult(called=(Flow(move(1).session, "s", 0.0),)))
    assert plan.used == 1
    assert plan.scores.sums["learnt"].net > 0.0


def test_all_good_predictors_are_used_and_no_other():
    core = Prefetcher(S, SITE, PRICES, "a")
    made = {"trend": [move(1, by="trend")], "learnt": [move(2), move(3)]}
    for name, good in (("trend", 0.9), ("learnt", 0.6)):
        for _ in range(60):
            core.scores._of(name, 0.0).add(good, True)
        predictor = getattr(core, name)
        predictor.moves = lambda _now, _watch, _span, some=made[name]: as_slices(some)
    core.step(0.0, view())
    assert {one.session.row for one in core.moves} == {"f1", "f2", "f3"}
    core.scores.charge(0.0, "trend", 99.0)
    core.step(1_000.0, view())
    assert {one.session.row for one in core.moves} == {"f2", "f3"}
    assert core.best == "learnt"


def as_slices(found):
    yield
    return found


def test_false_predictions_stop_prefetching_by_their_own_score():
    """Sessions make single calls in another zone but never move; the orders for them stop."""
    core, rng, order_counts = (
        Prefetcher(Bounds(least=30, score_ms=300_000.0, allow=0.0), SITE, PRICES, "a"),
        random.Random(3),
        [],
    )
    core.scores.predicted(0.0, [move(n, 0.9, "trend") for n in range(40)])
    core.scores.seen(
        1.0, m.ScanResult(tuple(m.SessionMoved(move(n).session, "n", "s") for n in range(40)))
    )  # the predictor starts with a good score
    assert core.scores.best(["trend"]) == "trend"
    for second in range(300):
        now = 1_000.0 * second
        for n in range(30):
            core.called(now, Session("club", f"f{n}"), "n")
            if rng.random() < 0.01:
                core.called(now, Session("club", f"f{n}"), "s")
        order_counts.append(len(orders(core.step(now, view()))))
    assert core.best is None
    assert sum(order_counts) > 0
    assert sum(order_counts[150:]) == 0


def test_in_the_trial_an_announced_drain_is_handled_nearly_as_well_as_by_the_oracle():
    found = compare("drain", (1,), ("react", "foresight", "oracle"))
    react, foresight, oracle = (found[way][0] for way in ("react", "foresight", "oracle"))
    assert foresight["5 s"] - react["5 s"] > 0.8 * (oracle["5 s"] - react["5 s"]) > 0.0
    assert interval([1.0, 2.0, 3.0])[1] == pytest.approx(2.0 - 4.303 / 3**0.5)
