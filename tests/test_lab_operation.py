"""Operators' calls on several processes of the program: scorers out and back, drains, replacement.

Steps wait on events, never on luck; what is judged is what front ends owe, not how fast the machine is.
"""

from collections import Counter
from dataclasses import replace

import msgspec
import pytest

from fawnwharf.fakes.clients import Kind, Request, Try
from fawnwharf.fakes.scorers import Arrival
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.testbed import operators
from fawnwharf.testbed import scenario as scenarios
from fawnwharf.testbed.checker import judge
from fawnwharf.testbed.operators import Desk, Replaced, Stretch
from fawnwharf.testbed.run import Runner


def played(name, **changes):
    runner = Runner(msgspec.structs.replace(scenarios.load(name), **changes), seed=3)
    return runner.fleet, runner.run()


def test_each_front_end_of_a_zone_is_replaced_under_load_and_either_process_may_die_of_it():
    fleet, measures = played("upgrade")
    assert measures.verdict.broken == []
    assert measures.verdict.checked["replaced"] == 3 and measures.verdict.checked["doors"] > 10
    assert [one.killed for one in fleet.replaced] == [False, False, False, True, True, True]
    assert measures.outcomes["served"] > 0.9 * sum(measures.outcomes.values())


def test_two_scorers_are_out_for_all_that_is_new_over_restarts_and_a_replacement():
    fleet, measures = played("maintenance")
    assert measures.verdict.broken == []
    assert measures.verdict.checked["outs"] == 2 * len(fleet.fronts)
    assert measures.verdict.checked["cold"] == 2 and measures.fell == 0
    assert measures.outcomes["failed"] == measures.outcomes["lost"] == 0


def test_a_front_end_on_standby_empties_and_is_given_calls_again_once_it_is_back():
    fleet, measures = played("drain")
    assert measures.verdict.broken == []
    first = fleet.stretches[0]
    tries = [a for r in fleet.clients.requests for a in r.tries if a.front == first.front]
    # A second later all that stand before it have heard; from the call back on it has calls again.
    assert not [a for a in tries if first.since_ms + 1_500.0 < a.sent_ms < first.until_ms]
    assert [a for a in tries if a.sent_ms > first.until_ms and a.outcome == "served"]


def noted(fleet, event):
    return [note.fields | {"front": note.front} for note in fleet.notes if note.event == event]


def test_keepers_are_replaced_under_calls_that_run_once_and_have_forgotten_nothing():
    fleet, measures = played("upgrade-state")
    assert measures.verdict.broken == []
    assert measures.verdict.checked["replaced"] == 3 and measures.verdict.checked["effects"] > 50
    assert measures.outcomes["served"] > 0.8 * sum(measures.outcomes.values())
    starts = Counter()
    for fields in noted(fleet, "grants read"):  # at the first start there is none
        starts[fields["front"]] += 1
        assert fields["trusted"] is (starts[fields["front"]] > 1)
    assert all(count > 1 for count in starts.values()) and set(starts) == set(fleet.fronts)


def test_a_client_that_comes_again_after_all_keepers_were_replaced_has_its_answer():
    scenario = scenarios.load("upgrade-state")
    runner = Runner(msgspec.structs.replace(scenario, state={"window_ms": 60_000}, twice=0.0), seed=5)
    fleet, clients = runner.fleet, runner.fleet.clients
    try:
        for front in fleet.fronts.values():
            fleet.start(front)
        fleet.until_ready(list(fleet.fronts.values()), "all to be ready")
        clients.start()
        once = [kind for kind in clients.kinds if kind.effect == "at_most_once"]

        def served():
            return [r for r in clients.requests if r.kind in once and r.outcome == "served"]

        fleet.until(lambda: len(served()) > 20, "calls that are served")
        clients.stop()
        fleet.until(lambda: not clients.open, "all calls to end")
        desk, before = Desk(fleet), served()
        for front in fleet.fronts.values():
            desk.replace(front)
        ran = sum(arrival.what == "run" for arrival in fleet.arrivals)
        again = []
        for request in before:  # the same thing by the same id, at whatever front end
            id, number = request.tries[-1].call_id, len(clients.requests)
            come = replace(
                request, number=number, began_ms=monotonic_ms(), call_id=id, tries=[], outcome="", timer=None
            )
            clients.requests.append(come)
            again.append(come)
            clients.open += 1
            clients._try(come)
        fleet.until(lambda: all(r.outcome for r in again), "all to have come again")
        assert {r.outcome for r in again} == {"served"}
        assert sum(arrival.what == "run" for arrival in fleet.arrivals) == ran
        assert judge(fleet).broken == []
    finally:
        fleet.close()


def test_a_voter_that_leads_is_replaced_and_its_votes_hold():
    fleet, measures = played("upgrade-zones")
    assert measures.verdict.broken == []
    assert measures.verdict.checked["replaced"] == 2
    leaders = {}
    for fields in noted(fleet, "role"):
        if fields["role"] == "leader":
            assert leaders.setdefault(fields["term"], fields["front"]) == fields["front"]
    assert len(leaders) > 1
    # None was taken for a new member of its name, as one that came with another disk would be.
    lists = [tuple(sorted(fields["voters"])) for fields in noted(fleet, "voters")]
    assert len({voter for voters in lists for voter in voters}) == 3


def test_a_kill_that_comes_after_the_place_was_taken_is_judged_as_such_and_tried_again(monkeypatch):
    scenario = scenarios.load("upgrade-zones")
    steps = [step for step in scenario.steps if step.do == "kill_replacing"]
    runner = Runner(msgspec.structs.replace(scenario, steps=steps), seed=3)
    looks, said = [], operators.AWAY

    in_time = runner.fleet.until

    def until(done, what, *rest):
        in_time(done, what, *rest)
        if what.endswith(said):
            looks.append(what)
            lines = runner.fleet.fronts[what.split()[0]].former.lines
            if len(looks) == 1:
                in_time(lambda: any(operators.TAKEN in line for line in lines), "it to be too late")

    monkeypatch.setattr(runner.fleet, "until", until)
    measures = runner.run()
    assert measures.verdict.broken == []
    assert len(looks) > 1
    (one,) = runner.fleet.replaced
    assert one.killed and len(runner.fleet.fronts[one.front].lives) == len(looks)


def test_operators_calls_are_answered_as_the_page_for_them_says():
    runner = Runner(scenarios.load("drain"), seed=1)
    fleet = runner.fleet
    try:
        front, desk = fleet.fronts["n0"], Desk(fleet)
        fleet.start(front)
        fleet.until_ready([front], "it serves")
        asks = [
            ("GET", "/status", 200),
            ("POST", "/maintenance/enter?target=nobody", 404),
            ("POST", "/maintenance/enter", 400),
            ("GET", "/standby", 405),
            ("POST", "/standby", 200),
            ("GET", "/status", 503),
            ("POST", "/active", 200),
            ("GET", "/status", 200),
        ]
        for method, path, status in asks:
            assert desk.ask(front, method, path) == status, path
    finally:
        fleet.close()


# --- what the checker sees --------------------------------------------------------------------------


@pytest.fixture
def fleet():
    made = Runner(scenarios.load("drain"), seed=1).fleet
    made.fronts["n0"].lives = [[0.0, float("inf")]]
    yield made
    made.close()


def arrival(at_ms, what="run", scorer="s-a0", sender="n0"):
    return Arrival(at_ms, scorer, sender, what, "c0", "points-view", "f", "t", 1)


@pytest.mark.parametrize(
    ("came", "broken"),
    [
        (arrival(10_240.0), False),  # within the time that is given
        (arrival(10_300.0), True),
        (arrival(10_300.0, "order"), True),
        (arrival(10_300.0, "ask"), False),  # an order for no copy loads nothing
        (arrival(10_300.0, "give_up"), False),
        (arrival(10_300.0, sender="n1"), False),
        (arrival(10_300.0, scorer="s-a1"), False),
        (arrival(20_300.0), False),  # it is back
    ],
)
def test_what_reaches_a_scorer_that_is_out_is_seen(fleet, came, broken):
    fleet.stretches.append(Stretch("n0", "s-a0", 10_000.0, 20_000.0))
    fleet.arrivals.append(came)
    verdict = judge(fleet)
    assert bool(verdict.broken) is broken and verdict.checked["outs"] == 1
    fleet.waits.at_ms, fleet.waits.total_ms = [10_000.0, 10_300.0], [0.0, 200.0]  # nobody's fault
    assert judge(fleet).broken == []


def test_a_call_that_is_lost_at_the_door_in_a_replacement_is_seen(fleet):
    def broken(outcome, sent_ms=10_500.0):
        tried = Try("c0", "n0", sent_ms, 400.0, outcome=outcome, ended_ms=sent_ms + 50.0, answers=1)
        kind = Kind("points-view")
        fleet.clients.requests = [Request(0, kind, "a", "t", "f", sent_ms, "x", tries=[tried])]
        return judge(fleet).broken

    fleet.replaced.append(Replaced("n0", 10_000.0, 10_400.0, 10_500.0, 11_000.0))
    assert broken("served") == []
    assert broken("not taken") == ["doors: n0 did not take call c0"]
    assert broken("lost") == ["answers: the connection ended of n0 for call c0"]
    assert broken("not taken", sent_ms=12_000.0) == []
    fleet.stretches.append(Stretch("n0", "", 10_000.0))
    assert broken("lost") == []  # on standby since half a second, and told


def test_a_process_that_does_not_say_yes_in_time_is_seen(fleet):
    fleet.replaced.append(Replaced("n0", 10_000.0, 16_100.0, 16_200.0, 17_000.0))
    assert judge(fleet).broken == ["doors: n0 took 6100 ms to say yes"]
    fleet.fronts["n0"].waits.at_ms = [10_000.0, 16_100.0]
    fleet.fronts["n0"].waits.total_ms = [0.0, 200.0]  # the machine had no processor for it
    assert judge(fleet).broken == []
    fleet.replaced[0].ended_ms = 20_000.0
    assert judge(fleet).broken == ["doors: the old process of n0 took 3800 ms to end"]
