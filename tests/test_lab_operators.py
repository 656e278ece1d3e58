"""What operators do beside several processes of the program: their commands, and faulty files."""

import os
import subprocess
import sys

import msgspec
import pytest

from fawnwharf.testbed import scenario as scenarios
from fawnwharf.testbed.checker import judge
from fawnwharf.testbed.files import config, write_files, write_whole
from fawnwharf.testbed.run import Runner


class Operators:
    """Runs `fawnwharf zones` beside a member while the fleet goes on."""

    def __init__(self, fleet):
        self.fleet = fleet

    def run(self, front, *words, group="zones"):
        command = [sys.executable, "-m", "fawnwharf", group, *words, f"--{group}", f"{group}.json"]
        pipe = subprocess.PIPE
        done = subprocess.Popen(command, cwd=front.folder, stdout=pipe, stderr=pipe, text=True)
        self.fleet.until(lambda: done.poll() is not None, f"zones {words[0]} to end")
        out, error = done.communicate()
        return done.returncode, out, error


def test_operators_see_how_keepers_stand_and_whether_they_hold_the_same():
    runner = Runner(scenarios.load("state-cut"), seed=2)
    fleet = runner.fleet
    try:
        for front in fleet.fronts.values():
            fleet.start(front)
        fleet.until(lambda: all(f.ready for f in fleet.fronts.values()), "all to be ready")

        def sure():
            notes = [note for note in fleet.notes if note.event == "replica" and note.fields["complete"]]
            return sorted({note.front for note in notes})

        fleet.until(lambda: len(sure()) == 3, "three keepers to grant calls")
        keepers = sure()
        fleet.clients.start()
        fleet.rest(3.0)
        operators, front = Operators(fleet), next(iter(fleet.fronts.values()))

        def state(*words):
            return operators.run(front, *words, group="state")

        status, out, _ = state("show")
        assert status == 0 and out.count("grants calls") == 3 and "calls claimed:" in out
        status, out, _ = state("check")
        assert status == 0 and all(name in out for name in keepers)
        status, out, _ = state("digest", "--member", keepers[0])
        assert status == 0 and "digest" in out  # while calls come: what is kept lapses
        # They tell of themselves at different moments: while calls come, of different ones.
        fleet.clients.stop()
        fleet.until(lambda: not fleet.clients.open, "all calls to end")

        def the_same():
            status, out, _ = state("diff", keepers[0], keepers[1])
            return status == 0 and "hold the same" in out

        fleet.until(the_same, "two keepers to hold the same")
        status, _, error = state("digest", "--member", "nobody")
        assert status == 2 and "no member nobody" in error
        fleet.kill(fleet.fronts[keepers[1]])
        status, out, _ = state("show")
        assert status == 1 and f"{keepers[1]:16} no answer" in out
    finally:
        fleet.close()


def test_operators_drain_and_restore_a_zone_by_the_same_decision():
    runner = Runner(scenarios.load("zone-cut"), seed=2)
    fleet = runner.fleet
    try:
        fleet.found()
        for front in fleet.fronts.values():
            fleet.start(front)
        operators, asked = Operators(fleet), fleet.fronts["n3"]  # no voter
        runner.conditions.wait(scenarios.When(valid=True, voters=3, of="all"))
        fleet.clients.start()
        fleet.rest(1.0)
        status, out, _ = operators.run(asked, "drain", "c")
        assert status == 0 and "decided: c is" in out
        runner.conditions.wait(scenarios.When(state={"c": "out"}, of="all"))
        asked_till = len(fleet.clients.requests)

        def all_answered():
            """Each front end has answered a call of later: what it had sent before has come in by then."""
            later = [attempt for r in fleet.clients.requests[asked_till:] for attempt in r.tries]
            return {attempt.front for attempt in later if attempt.answers} == set(fleet.fronts)

        fleet.until(all_answered, "answers of all front ends")
        drained = len(fleet.arrivals)
        fleet.rest(1.5)
        later = [a for a in fleet.arrivals[drained:] if a.what == "run"]
        assert later and not any(a.scorer.startswith("s-c") for a in later)
        status, out, _ = operators.run(asked, "show")
        assert status == 0 and "drained by an operator" in out
        status, _, error = operators.run(asked, "drain", "nowhere")
        assert status == 2 and "no zone nowhere" in error
        status, out, _ = operators.run(asked, "restore", "c")
        assert status == 0 and "decided: c is" in out
        runner.conditions.wait(scenarios.When(state={"c": "serving"}, of="all"))
        fleet.clients.stop()
        fleet.until(lambda: not fleet.clients.open, "all calls to end")
        assert judge(fleet).broken == []
    finally:
        fleet.close()


@pytest.mark.parametrize(
    ("name", "change", "key"),
    [
        ("state.json", {"zones": 5}, "zones asks 5"),
        ("state.json", {"modes": {"unheard-of": "before"}}, "modes.unheard-of"),
        ("state.json", {"unkept": "perhaps"}, "unkept"),
        ("members.json", {"members": []}, "members"),
    ],
)
def test_a_start_with_faulty_settings_of_state_ends_with_status_2(name, change, key):
    runner = Runner(scenarios.load("state-cut"), seed=2)
    fleet = runner.fleet
    try:
        front = next(iter(fleet.fronts.values()))
        write_files(fleet, front)
        write_whole(front.folder / "config.json", config(fleet, front))
        data = msgspec.json.decode((front.folder / name).read_bytes()) | change
        write_whole(front.folder / name, data)
        command = [sys.executable, "-m", "fawnwharf", "serve", "--state", "state.json"]
        environment = os.environ | {"ROUTER_CONFIG": "config.json"}
        done = subprocess.run(
            command, cwd=front.folder, env=environment, capture_output=True, text=True, timeout=60
        )
        assert done.returncode == 2 and key in done.stderr and len(done.stderr.strip().splitlines()) == 1
    finally:
        fleet.close()


def test_a_start_with_a_faulty_file_ends_with_status_2_and_names_the_key():
    runner = Runner(scenarios.load("zone-cut"), seed=2)
    fleet = runner.fleet
    try:
        front = fleet.fronts["n0"]
        faults = {
            "members.json": ({"version": 1, "fleet": "lab", "number": 1, "members": []}, "members"),
            "zones.json": (
                {"version": 1, "members": "members.json", "folder": "s", "spill": {"share": 2}},
                "spill",
            ),
        }
        for name, (data, key) in faults.items():
            write_files(fleet, front)
            write_whole(front.folder / "config.json", config(fleet, front))
            write_whole(front.folder / name, data)
            environment = os.environ | {"ROUTER_CONFIG": "config.json"}
            command = [sys.executable, "-m", "fawnwharf", "serve", "--zones", "zones.json"]
            done = subprocess.run(
                command, cwd=front.folder, env=environment, capture_output=True, text=True, timeout=60
            )
            assert done.returncode == 2 and key in done.stderr and len(done.stderr.strip().splitlines()) == 1
            (front.folder / "members.json").unlink()
    finally:
        fleet.close()
