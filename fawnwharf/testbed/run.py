"""Runs a scenario on a fleet, from the first process to the verdict."""

from pathlib import Path

from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.testbed.conditions import Conditions
from fawnwharf.testbed.fleet import Fleet
from fawnwharf.testbed.measures import Measures, Meter
from fawnwharf.testbed.parties import Parties
from fawnwharf.testbed.processes import LabError
from fawnwharf.testbed.proposals import TRACED_MS
from fawnwharf.testbed.scenario import Scenario, When
from fawnwharf.testbed.steps import Steps

DRAIN_S = 4.0  # after the load ends, for what is open


class Runner:
    """Carries out the steps of a scenario, one after another."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path | None = None) -> None:
        self.scenario = scenario
        self.fleet = Fleet(scenario, seed, folder)
        self.parties = Parties(self.fleet, seed)
        self.conditions = Conditions(self.fleet, self.parties)

    def run(self) -> Measures:
        """Run all steps; the figures of the run."""
        fleet, conditions = self.fleet, self.conditions
        try:
            if self.scenario.decide:
                fleet.found()
            for front in fleet.fronts.values():
                fleet.start(front)
            fleet.until_ready(list(fleet.fronts.values()), "all front ends to be ready")
            if self.scenario.decide:
                voters = sum(front.voter for front in fleet.fronts.values())
                conditions.wait(When(valid=True, voters=voters, of="all"))
            if self.scenario.policy is not None:
                conditions.wait(When(policy="leased", of="all"))
            meter = Meter(fleet)
            steps = Steps(fleet, self.parties, meter)
            fleet.clients.start()
            fleet.rest(self.scenario.settle_s)
            conditions.next_step()
            for n, step in enumerate(self.scenario.steps):
                conditions.next_step()
                steps.sessions.ahead(step)
                what = f"step {n}, {step.do} {step.what}"
                conditions.wait(step.when, what)
                conditions.wait_for_roles(step, what)
                steps.carry_out(step)
                fleet.marks.setdefault(step.text or f"{n} {step.do} {step.what}".strip(), monotonic_ms())
            fleet.rest(self.scenario.rest_s)
            fleet.clients.stop()
            fleet.until(lambda: not fleet.clients.open, "all calls to end", DRAIN_S + 10.0)
            if self.scenario.policy is not None:
                fleet.rest(TRACED_MS / 1000.0)
            return meter.measure()
        finally:
            fleet.close()


def run(scenario: Scenario, seed: int, folder: Path | None = None) -> Measures:
    """One run, from the first process to the verdict; raises LabError where the test bed failed."""
    return Runner(scenario, seed, folder).run()


__all__ = ["LabError", "Measures", "Runner", "run"]
