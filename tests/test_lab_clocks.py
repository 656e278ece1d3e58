"""Clocks of machines that are apart, drift and step: the stand-in for them, and processes that go by them."""

import random
import subprocess
import sys
import time

import msgspec
import pytest

from fawnwharf.fakes.clocks import Page, Reading
from fawnwharf.testbed import scenario as scenarios
from fawnwharf.testbed.clocks import Clocks, true_s
from fawnwharf.testbed.run import Runner
from fawnwharf.testbed.scenario import ClockSpec, ScenarioError, scenario_from

HOUR = 3_600.0


@pytest.mark.parametrize("seed", range(20))
def test_what_a_clock_told_is_read_back_as_the_true_moment_over_steps_of_hours(seed):
    chance = random.Random(seed)
    told = [Reading(100.0, chance.uniform(-1e6, 1e6), 7.0, chance.uniform(0.96, 1.04))]
    for at_s in (110.0, 125.0, 160.0):
        told.append(told[-1].stepped(at_s, chance.choice([-1.0, 1.0]) * chance.uniform(HOUR, 30 * HOUR)))
    ends = [reading.at_s for reading in told[1:]] + [200.0]
    for reading, until_s in zip(told, ends, strict=True):
        for _ in range(50):
            at_s = chance.uniform(reading.at_s, until_s)
            assert true_s(told, reading.unix(at_s)) == pytest.approx(at_s, abs=1e-6)
    steady = [told[k].steady(at_s) for k, at_s in ((0, 109.9), (1, 110.1), (2, 130.0), (3, 199.0))]
    assert steady == sorted(steady)  # the monotonic one takes no steps
    assert told[2].steady(125.0) == pytest.approx(told[1].steady(125.0))


def test_a_process_goes_by_its_page_and_by_a_step_from_the_next_look_on(tmp_path):
    page = Page(tmp_path / "clock", write=True)
    first = Reading(time.monotonic(), 5_000_000.0, 40.0, 2.0)
    page.write(first)
    code = (
        "import sys, time, pathlib\n"
        "from fawnwharf.fakes.clocks import Page, instead\n"
        "instead(Page(pathlib.Path(sys.argv[1])))\n"
        "for _ in sys.stdin:\n"
        "    print(time.time(), time.monotonic(), time.time_ns(), time.monotonic_ns(), flush=True)\n"
    )
    child = subprocess.Popen(
        [sys.executable, "-c", code, tmp_path / "clock"],
        stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True,
    )  # fmt: skip

    def look():
        before = time.monotonic()
        child.stdin.write("\n")
        child.stdin.flush()
        unix_s, steady_s, unix_ns, steady_ns = map(float, child.stdout.readline().split())
        assert unix_s <= unix_ns / 1e9 + 1e-3 and steady_s <= steady_ns / 1e9 + 1e-3
        return unix_s, steady_s, before, time.monotonic()

    try:
        unix_s, steady_s, before, after = look()
        assert first.unix(before) <= unix_s <= first.unix(after)
        assert first.steady(before) <= steady_s <= first.steady(after)
        second = first.stepped(time.monotonic(), -2 * HOUR)
        page.write(second)
        unix_s, later_s, before, after = look()
        assert second.unix(before) <= unix_s <= second.unix(after) < first.unix(before) - HOUR
        assert later_s > steady_s
    finally:
        child.stdin.close()
        child.wait()
        page.close()


def test_clocks_are_the_seeds_and_another_one_after_a_boot(tmp_path):
    def drawn(seed):
        clocks = Clocks(ClockSpec(apart_s=HOUR, rate=0.04), seed)
        found = []
        for _ in range(2):
            clocks.begin("n0", tmp_path)
            reading = clocks._told["n0"][-1]
            assert abs(reading.unix_s - time.time()) <= HOUR + 1.0 and 0.96 <= reading.rate <= 1.04
            found.append((round(reading.unix_s - time.time()), reading.steady_s, reading.rate))
        clocks.close()
        return found

    one, other = drawn(1), drawn(2)
    assert one == drawn(1) and one[0] != one[1] and one != other
    assert Clocks(None, 1).true_ms("n0", 5.0) == 5.0


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"clocks": {"apart_s": -1}}, "clocks.apart_s"),
        ({"clocks": {"rate": 0.5}}, "clocks.rate"),
        ({"clocks": {"apart": 1}}, "clocks"),
        ({"steps": [{"do": "clock", "what": "n0", "value": 5}]}, "steps[0].do: clock"),
    ],
)
def test_a_faulty_scenario_is_named_by_its_key(change, key):
    whole = msgspec.to_builtins(scenarios.load("calm"))
    with pytest.raises(ScenarioError, match="^" + key.replace("[", r"\[").replace(".", r"\.")):
        scenario_from(msgspec.json.encode({**whole, **change}))


# --- processes --------------------------------------------------------------------------------------


def played(name, seed):
    runner = Runner(scenarios.load(name), seed)
    measures = runner.run()
    assert measures.verdict.broken == []
    return runner.fleet, measures


def test_a_policy_changes_in_common_by_clocks_that_are_hours_apart_drift_and_step():
    fleet, measures = played("policy-clocks", 2)
    checked = measures.verdict.checked
    assert checked["epochs"] >= 3 and checked["in a trace"] > 50 and checked["by floor"] > 0
    last = {note.front: note.fields["number"] for note in fleet.notes if note.event == "policy"}
    assert last == dict.fromkeys(fleet.fronts, 3)


def test_sessions_move_by_clocks_that_are_hours_apart_drift_and_step():
    _, measures = played("sessions-clocks", 2)
    checked = measures.verdict.checked
    assert checked["numbers"] > 100 and checked["homes"] >= 10 and checked["cold"] == 3


def test_a_leader_of_the_return_that_is_back_by_an_earlier_clock_is_followed():
    scenario = msgspec.structs.replace(scenarios.load("power-leader"), recovery={})
    runner = Runner(scenario, 3)
    measures = runner.run()
    assert measures.verdict.broken == []
    stages = {n.front: n.fields["phase"] for n in runner.fleet.notes if n.event == "recovery phase"}
    lives = {front.name: front.lives for front in runner.fleet.fronts.values()}
    back = [name for name, life in lives.items() if len(life) > 1]
    assert len(back) == 5 and max(len(lives[name]) for name in back) == 3
    assert not {stages[name] for name in back} & {"alone", "listening"}


@pytest.mark.parametrize("recovery", [None, {}])
def test_a_fleet_returns_by_clocks_that_are_hours_off_and_step_as_it_does(recovery):
    scenario = msgspec.structs.replace(scenarios.load("power-clocks"), recovery=recovery)
    runner = Runner(scenario, 1)
    measures = runner.run()
    assert measures.verdict.broken == []
    told = [
        front for front in runner.fleet.fronts.values() if any("differs from" in line for line in front.lines)
    ]
    assert told  # some were behind, and said that starts lay ahead of them
    assert measures.verdict.checked["effects"] > 50
