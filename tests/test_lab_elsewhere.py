"""Several processes that tell each other of their work, with front ends killed, started again and stopped."""

import msgspec

from fawnwharf.replication import commands as state
from fawnwharf.replication.log_reading import fetch_status
from fawnwharf.testbed import scenario as scenarios
from fawnwharf.testbed.checker import judge
from fawnwharf.testbed.run import Runner
from fawnwharf.testbed.topology import STATE


def test_front_ends_in_processes_know_of_each_others_work_while_nearly_all_are_heard(capsys):
    runner = Runner(scenarios.load("third-lost"), seed=5)
    fleet = runner.fleet
    fronts = list(fleet.fronts.values())

    since = {}  # how much had been noted as each was started

    def start(front):
        since[front.name] = len(fleet.notes)
        fleet.start(front)

    def last(front):
        notes = [n for n in fleet.notes[since[front.name] :] if n.front == front.name]
        return next((n.fields["known"] for n in reversed(notes) if n.event == "remote load"), None)

    def until(known, what):
        fleet.until(lambda: {last(front) for front in fronts if front.alive} == {known}, what)

    try:
        for front in fronts:
            start(front)
        until(True, "all to know")
        fleet.clients.start()
        for gone in (fleet.fronts["n0"], fleet.fronts["n1"]):
            fleet.kill(gone)
            until(False, "the others to miss it")
            start(gone)
            until(True, "it to be heard again")
        fleet.stop(fleet.fronts["n3"])  # it stands still, and its connections stay
        fleet.until(lambda: not any(last(f) for f in fronts if not f.stopped), "the others to miss it")
        fleet.go_on(fleet.fronts["n3"])
        until(True, "it to be heard again")
        place = f"{fleet.fronts['n0'].host}:{STATE}"
        heard = "load reports: front ends received"  # it tells of itself every two seconds
        fleet.until(lambda: fetch_status(place, 0.5).counts.get(heard) == 6, "its word on itself")
        state.show(str(fronts[0].folder / "state.json"), "n0")
        fleet.clients.stop()
        fleet.until(lambda: not fleet.clients.open, "all calls to end")
        assert judge(fleet).broken == []
        faults = [line for front in fronts for line in front.lines if "fault in" in line]
        assert faults == []
    finally:
        fleet.close()
    told = capsys.readouterr().out
    assert "load reports: front ends received: 6" in told and "load reports: sent: " in told


def test_scorers_come_back_cold_while_front_ends_tell_what_they_sent():
    scenario = scenarios.load("cold-told")
    measures = Runner(msgspec.structs.replace(scenario, steps=scenario.steps[:2]), seed=2).run()
    assert measures.verdict.broken == [] and measures.verdict.checked["cold"] == 6
    assert 0.0 < measures.cold_most < 1.0 and measures.cold_used > 0.0
