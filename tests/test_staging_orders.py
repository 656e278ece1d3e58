"""What staging orders: once, within the ration, by one keeper; ways, settings, what is handed over."""

import msgspec
import pytest
from support.prefetch_driver import SITES, UNIX, Calls, S, drained_site, look, staging, wanted

from fawnwharf import interface as io
from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.baseline_strategies import parse_known_moves
from fawnwharf.prefetch.budgets import ordering_front_end
from fawnwharf.prefetch.settings import decode_prefetch_settings
from fawnwharf.session_types import PrefetchRelease, Session
from fawnwharf.sessions.staging import announced_from
from fawnwharf.sessions.staging_messages import Seen
from fawnwharf.zones.plan import DRAINING, OUT, RECOVERING, Plan, PlannedZone
from fawnwharf.zones.settings import RampSettings, SettingsFileError


def test_what_is_to_come_is_ordered_once_at_the_first_scorers_of_the_site_within_the_ration():
    one, calls = staging(loads_per_arrival=0.5), Calls()
    drained_site(one, calls, [f"f{n}" for n in range(4)])
    found = [beat for second in range(5, 14) for beat in look(one, 1_000.0 * second)]
    orders = wanted(found)
    assert sorted(row for row, _ in orders) == [f"f{n}" for n in range(4)]
    for row, worker in orders:
        site = one.core.plans.destination(Session("club", row), "n")[0][0]
        assert worker == one.scorers.order(row, site)[0] and site != "n"
    want = next(want for beat in found for want in beat.wanted)
    assert (want.class_name, want.copies, want.lanes, want.load_ms) == ("view", 1, 1, 900.0)
    assert [move for beat in found for move in beat.moves or ()]
    poor, calls = staging(free_loads=1.0, loads_per_arrival=0.0), Calls()
    drained_site(poor, calls, ["f1"])
    assert not [w for second in range(5, 14) for w in wanted(look(poor, 1_000.0 * second))]
    assert poor.core.planner.skipped["no ration left"] > 0  # half of it is left to calls


def test_a_stage_that_did_not_stand_is_nobody_s_fault_and_one_that_nobody_used_is_let_go():
    bounds = msgspec.structs.replace(S, renewals=0)
    one, calls = staging(bounds=bounds, loads_per_arrival=0.5), Calls()
    drained_site(one, calls, ["f1", "f2"])
    orders = [w for second in range(5, 12) for w in wanted(look(one, 1_000.0 * second))]
    (lost, worker), (row, other) = orders
    one.events(12_000.0, UNIX, [io.LoadOrderAnswered(worker, lost, io.AttemptResult.FULL, 0, 5.0)])
    one.events(12_000.0, UNIX, [io.LoadOrderAnswered(other, row, io.AttemptResult.GOOD, 1, 700.0)])
    assert one.counts == {"a stage that failed": 1} and one.core.planner.wasted == 0
    gone = []
    for second in range(12, 24):
        beats = look(one, 1_000.0 * second)
        gone += [let for beat in beats for let in beat.let_gos]
        for fn, scorer in wanted(beats):
            assert fn == lost and scorer != worker or gone  # again at once, elsewhere
            one.events(
                1_000.0 * second, UNIX, [io.LoadOrderAnswered(scorer, fn, io.AttemptResult.GOOD, 1, 700.0)]
            )
    assert (
        sorted(let.row for let in gone) == sorted((lost, row))
        and PrefetchRelease(row, SITES[other % 3]) in gone
    )
    assert one.core.planner.wasted == 2 and one.counts == {"a stage that failed": 1}


def test_false_signs_stop_its_orders_by_their_own_score():
    one, calls, orders = staging(free_loads=100.0), Calls(), []
    for _ in range(60):  # a good start
        one.core.scores._of("trend", 0.0).add(0.9, True)
    for second in range(240):  # a few go by turns, and the others don't follow them
        now = 1_000.0 * second
        for n in range(12):
            away = second % 30 >= 15 and n % 4 == second // 30 % 4
            one.events(now, UNIX + now, calls.events(f"f{n}", "s" if away else "n"))
        found = wanted(look(one, now))
        answers = [
            io.LoadOrderAnswered(scorer, row, io.AttemptResult.GOOD, 1, 700.0) for row, scorer in found
        ]
        one.events(now, UNIX + now, answers)
        orders.append(sum(SITES[scorer % 3] == "s" for _, scorer in found))
    assert sum(orders) > 0 and sum(orders[60:]) == 0 and not one.core.scores.good("trend")


# --- several front ends ---------------------------------------------------------------------------


class Star:
    """Keepers hear all, and all hear the keepers. Virtual time; a word takes a while."""

    def __init__(self, keepers, others):
        self.keepers, self.alive = list(keepers), [*keepers, *others]
        self.members = {name: staging(name, loads_per_arrival=0.5) for name in self.alive}
        self.calls, self.orders, self.now, self.lines = Calls(), [], 0.0, []

    def second(self, calling):
        """`calling`: functions, their site, and the front end that their calls come to."""
        for row, site, name in calling:
            if name in self.alive:
                self.members[name].events(self.now, UNIX + self.now, self.calls.events(row, site))
        for name in list(self.alive):
            heard = tuple(n for n in self.keepers if n in self.alive)
            for beat in look(self.members[name], self.now, Seen(heard=heard, ordered=0)):
                self.orders += [(row, name) for row, _ in wanted([beat])]
                readers = self.alive if name in self.keepers else self.keepers
                self.lines += [
                    (name, reader, word) for word in beat.words for reader in readers if reader != name
                ]
        for sender, reader, word in self.lines:
            if reader in self.alive and sender in self.alive:
                self.members[reader].heard(self.now + 5.0, sender, word)
        self.lines = []
        self.now += 1_000.0

    def kill(self, name):
        self.alive.remove(name)
        for other in self.alive:
            self.members[other].gone(name)


def test_keepers_alone_order_each_stage_one_of_them_and_another_when_it_is_gone():
    star = Star(("k1", "k2", "k3"), ("o1", "o2"))
    rows = [f"f{n}" for n in range(8)]
    calling = [(row, "n", ("o1", "o2", "k1")[n % 3]) for n, row in enumerate(rows)]
    for _ in range(5):
        star.second(calling)
    for one in star.members.values():
        one.announced(star.now, m.AnnouncedPlan("n", 1, "drain", (m.PlanStep(8_000.0, 0.0),)))
    destination = {
        row: star.members["o1"].core.plans.destination(Session("club", row), "n")[0][0] for row in rows
    }
    due = {row: ordering_front_end(row, destination[row], star.keepers) for row in rows}
    dead = due[rows[0]]
    star.kill(dead)
    for _ in range(8):
        star.second(calling)
    left = [name for name in star.keepers if name != dead]
    assert sorted(star.orders) == sorted(
        (row, ordering_front_end(row, destination[row], left)) for row in rows
    )
    assert {name for _, name in star.orders} <= set(left)
    stays = [(row, name) for row, name in star.orders if due[row] != dead]
    assert stays and all(due[row] == name for row, name in stays)  # the others' own are as they were
    assert not star.members["o1"].core.watch.counters().keys() & {("o2", Session("club", "f1"), "n")}


# --- other ways, plans, and what is handed over -----------------------------------------------------


def way(mode, **changes):
    return staging(bounds=msgspec.structs.replace(S, mode=mode), free_loads=50.0, **changes)


def test_other_ways_stage_what_they_are_named_for():
    rows, out = ["f1", "f2", "f3"], Seen(heard=("a",), ordered=0, out=frozenset("n"))
    found = {}
    for mode in ("none", "react", "everything", "foresight"):
        one, calls = way(mode), Calls()
        for second in range(4):
            for row in rows:
                one.events(1_000.0 * second, UNIX, calls.events(row, "n"))
            found[mode] = found.get(mode, []) + wanted(look(one, 1_000.0 * second))
        found[mode, "out"] = wanted(look(one, 4_000.0, out))
    assert not found["none"] and not found["none", "out"] and not found["react"] and not found["foresight"]
    assert sorted(row for row, _ in found["react", "out"]) == rows
    assert sorted((row, SITES[w % 3]) for row, w in found["everything"]) == [
        (r, s) for r in rows for s in "sw"
    ]
    oracle, calls = way("oracle", workers=9), Calls()
    lines = b"".join(
        msgspec.json.encode({"at_ms": UNIX + at, "org": "club", "row": "f1", "whither": site}) + b"\n"
        for at, site in ((6_000.0, "s"), (90_000.0, "w"))
    )
    oracle.foretold(0.0, UNIX, parse_known_moves(lines))
    oracle.events(0.0, UNIX, calls.events("f1", "n"))
    orders = {second: wanted(look(oracle, 1_000.0 * second)) for second in range(6)}
    assert {second: len(some) for second, some in orders.items() if some} == {4: 1}  # 1.5 loads ahead
    assert [SITES[worker % 3] for _, worker in orders[4]] == ["s"]


def test_settings_of_trials_are_checked_by_key_and_line():
    assert decode_prefetch_settings(b'{"version": 1, "foresight": {"mode": "react"}}').mode == "react"
    for text, key in (
        (b'{"version": 1, "foresight": {"mode": "all"}}', "foresight.mode"),
        (b'{"version": 1, "foresight": {"mode": "oracle"}}', "foresight.told"),
        (b'{"version": 1, "foresight": {"told": "moves.jsonl"}}', "foresight.told"),
    ):
        with pytest.raises(SettingsFileError, match=key):
            decode_prefetch_settings(text)
    with pytest.raises(SettingsFileError, match="line 2"):
        parse_known_moves(b'{"at_ms": 1, "org": "a", "row": "f", "whither": "n"}\n{"at_ms": -1}\n')


def test_a_plan_says_what_is_to_come_of_its_sites():
    zones = {
        "n": PlannedZone(DRAINING),
        "s": PlannedZone(RECOVERING, 0.5),
        "w": PlannedZone(OUT),
        "e": PlannedZone(),
    }
    told = {
        one.site: one
        for one in announced_from(Plan(number=7, zones=zones), RampSettings((0.25, 0.5, 0.75), 3_000.0))
    }
    assert (
        told["n"] == m.AnnouncedPlan("n", 7, "drain", (m.PlanStep(0.0, 0.0),)) and told["w"].kind == "standby"
    )
    assert told["s"].steps == (m.PlanStep(0.0, 0.5), m.PlanStep(3_000.0, 0.75), m.PlanStep(6_000.0, 1.0))
    assert told["e"] == m.AnnouncedPlan("e", 7, "return")


def test_what_was_learnt_outlives_its_process_and_nothing_else_is_taken():
    bounds = msgspec.structs.replace(S, day_ms=100_000.0, phases=20, learn_ms=1e9)
    one, calls = staging(bounds=bounds), Calls()
    for second in range(330):
        away = 30 <= second % 100 < 80
        for n in range(12):
            one.events(1_000.0 * second, UNIX, calls.events(f"f{n}", "s" if away else "n"))
        look(one, 1_000.0 * second)
    data = one.learnt(330_000.0)
    heir, empty, other = staging(bounds=bounds), staging(bounds=bounds), staging()
    assert heir.learn(331_000.0, data) and heir.functions.facts("f3") == one.functions.facts("f3")
    for broken in (data[:-3], b"", b"\x00" * 9):
        assert not empty.learn(331_000.0, broken)
    assert not empty.learn(1_000.0, data) and not other.learn(331_000.0, data)  # another boot, other days
    past = [s.core.learnt.past.hazards(425_000.0, "club", "n", 9_000.0) for s in (one, heir, empty)]
    assert past[1]["s"] == pytest.approx(past[0]["s"], rel=0.01) and past[0]["s"] > 0.5 and not past[2]
    assert heir.core.scores.sums["learnt"].weight == pytest.approx(one.core.scores.sums["learnt"].weight)
    assert not heir.core.watch.tracks
