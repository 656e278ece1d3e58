"""Model checker for a policy rollout: searches all interleavings breadth first, up to a depth.

The model uses the real coordinator and lease holder classes, with the holders of three members and two
coordinators, either of which may lead. The consensus log is reduced to its guarantees: no decision is ever
revoked, and at most one coordinator at a time holds the read lease (`Voter.holds_read_lease`). A replaced
leader continues without the read lease. A register that it had proposed to the log is either decided when the
leader is replaced, or lost.

Messages may arrive in any order, late, twice or never. Holders' answers arrive at once, except for a limited
number of late ones.

    python -m fawnwharf.policy_rollout.model_checker [--states N]
"""

import argparse
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import PolicyRegister, parse_register
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator
from fawnwharf.policy_rollout.rollout_state import LeaseRecord, ReceivedRequest
from fawnwharf.policy_rollout.scenario import (
    CAPABILITIES,
    NAMES,
    TIMING,
    CoordinatorView,
    MemberState,
    MessageInFlight,
    ModelState,
    Scenario,
    freeze_coordinator,
)
from fawnwharf.testbed.breadth_first import Found, search

TEXTS = tuple(f'{{"version":1,"tenants":{{"t":{{"quota_rps":{n}}}}}}}' for n in (5, 6, 7))
Step = Callable[[Scenario], None]


@dataclass(frozen=True, slots=True)
class Bounds:
    """How often each kind of step may happen on one path, and the limits of the search."""

    depth: int = 40
    states: int = 20_000
    ticks: int = 4  # of the clock
    proposals: int = 1
    cancellations: int = 0
    lease_requests: int = 1  # by holders, in addition to the messages that a rollout causes
    kills: int = 0  # of holders, which restart at once
    leader_changes: int = 0
    duplicates: int = 0
    late_answers: int = 0  # answers of holders that do not arrive at once


class ModelChecker:
    """Searches breadth first, so that a violation is reported with a shortest path to it."""

    def __init__(
        self,
        bounds: Bounds,
        coordinator_type: type[RolloutCoordinator] = RolloutCoordinator,
        holder_type: type[LeaseHolder] = LeaseHolder,
    ) -> None:
        """The types may be mutants with a deliberate bug."""
        self.bounds = bounds
        self.coordinator_type = coordinator_type
        self.holder_type = holder_type

    def start(self) -> ModelState:
        """The first state: all three members have just been granted leases for document 0."""
        leader = RolloutCoordinator(TIMING, NAMES)
        leader.lead(0.0, 1, "")
        leader.unknown_leases_until_ms = 0.0
        other = RolloutCoordinator(TIMING, NAMES)
        known = CoordinatorView(
            agreed=False,
            lease=LeaseRecord(0, TIMING.max_lease_ms),
            request=ReceivedRequest(1, 0.0, 0.0),
            informed=True,
            incarnation=1,
        )
        unknown = CoordinatorView(agreed=False, lease=None, request=None, informed=False, incarnation=0)
        holder = (1, PolicyRegister(), True, LeaseRecord(0, TIMING.lease_ms), 0, None, (1, 1))
        member = MemberState(holder, "", 0, (known, unknown), frozenset())
        return ModelState((member,) * len(NAMES), (freeze_coordinator(leader), freeze_coordinator(other)))

    def run(self) -> Found:
        """Search all states within the bounds, up to the first violation of an invariant."""
        bounds = self.bounds
        return search(self.start(), self._steps, lambda state: state.broken, bounds.depth, bounds.states)

    def _steps(self, state: ModelState) -> Iterator[tuple[str, ModelState]]:
        """All possible next steps: the label of each step and the state after it."""
        yield from self._clock_and_operator_steps(state)
        yield from self._leader_steps(state)
        for index, member in enumerate(state.members):
            if member not in state.members[:index]:  # an equal member would lead to equal states
                yield from self._member_steps(state, index)

    def _after(self, state: ModelState, step: Step, **change: int) -> ModelState:
        """The state after a step; `change` sets the counters that the step changes."""
        scenario = Scenario(state, self)
        step(scenario)
        return scenario.frozen(**change)

    def _clock_and_operator_steps(self, state: ModelState) -> Iterator[tuple[str, ModelState]]:
        bounds = self.bounds
        if state.tick < bounds.ticks:
            yield "the clock ticks", self._after(state, _clock_tick, tick=state.tick + 1)
        if state.proposals < bounds.proposals:
            step = _propose(TEXTS[state.proposals])
            yield "a proposal", self._after(state, step, proposals=state.proposals + 1)
        if state.cancellations < bounds.cancellations:
            after = self._after(state, _cancel, cancellations=state.cancellations + 1)
            yield "it is cancelled", after

    def _leader_steps(self, state: ModelState) -> Iterator[tuple[str, ModelState]]:
        yield "the coordinator ticks", self._after(state, _coordinator_tick)
        if state.pending:
            yield "the log decides", self._after(state, _decide)
        if state.leader_changes >= self.bounds.leader_changes:
            return
        for lost in (True, False) if state.pending else (True,):
            label = f"the leader is replaced; what it proposed is {'lost' if lost else 'decided'}"
            step = _replace_leader(lost=lost)
            yield label, self._after(state, step, leader_changes=state.leader_changes + 1)

    def _member_steps(self, state: ModelState, index: int) -> Iterator[tuple[str, ModelState]]:
        bounds, name = self.bounds, NAMES[index]
        if state.lease_requests < bounds.lease_requests:
            after = self._after(state, _request_lease(index), lease_requests=state.lease_requests + 1)
            yield f"{name} requests a lease", after
        if state.kills < bounds.kills:
            after = self._after(state, restart_holder(index, self.holder_type), kills=state.kills + 1)
            yield f"{name} is killed and restarted", after
        for in_flight in state.members[index].in_flight:
            yield from self._message_steps(state, index, in_flight)

    def _message_steps(
        self, state: ModelState, index: int, in_flight: MessageInFlight
    ) -> Iterator[tuple[str, ModelState]]:
        """The possible next steps of a message in flight."""
        to_coordinator = in_flight.route.to_coordinator
        what = "reaches the coordinator with" if to_coordinator else "receives"
        label = f"{NAMES[index]} {what}: {in_flight.message}"
        yield label, self._after(state, _deliver(index, in_flight))
        may_be_late = not to_coordinator and not isinstance(in_flight.message, m.Abort)
        if may_be_late and state.late_answers < self.bounds.late_answers:
            step = _deliver(index, in_flight, late=True)
            after = self._after(state, step, late_answers=state.late_answers + 1)
            yield f"{label}, and answers late", after
        if state.duplicates < self.bounds.duplicates:
            step = _deliver(index, in_flight, duplicate=True)
            after = self._after(state, step, duplicates=state.duplicates + 1)
            yield f"{label}, and a duplicate stays in flight", after


# --- steps ------------------------------------------------------------------------------------


def _clock_tick(scenario: Scenario) -> None:
    scenario.tick += 1


def _propose(text: str) -> Step:
    def step(scenario: Scenario) -> None:
        leader = scenario.leader
        effects = scenario.coordinators[leader].propose(scenario.coordinator_ms, text)
        scenario.carry_out_coordinator(leader, effects)

    return step


def _cancel(scenario: Scenario) -> None:
    leader = scenario.leader
    scenario.carry_out_coordinator(leader, scenario.coordinators[leader].cancel())


def _coordinator_tick(scenario: Scenario) -> None:
    leader = scenario.leader
    effects = scenario.coordinators[leader].tick(scenario.coordinator_ms, holds_read_lease=True)
    scenario.carry_out_coordinator(leader, effects)


def _decide(scenario: Scenario) -> None:
    scenario.commit()
    leader = scenario.leader
    coordinator = scenario.coordinators[leader]
    effects = coordinator.receive_decision(scenario.coordinator_ms, scenario.log, holds_read_lease=True)
    scenario.carry_out_coordinator(leader, effects)


def _replace_leader(*, lost: bool) -> Step:
    def step(scenario: Scenario) -> None:
        if scenario.pending and not lost:
            scenario.commit()
        scenario.pending = ""
        term = scenario.coordinators[scenario.leader].term + 1
        scenario.leader = 1 - scenario.leader
        coordinator = scenario.coordinators[scenario.leader]
        effects = coordinator.lead(scenario.coordinator_ms, term, scenario.log)
        scenario.carry_out_coordinator(scenario.leader, effects)

    return step


def _request_lease(index: int) -> Step:
    def step(scenario: Scenario) -> None:
        holder = scenario.holders[index]
        holder.next_request_ms = 0.0
        scenario.carry_out_holder(index, holder.tick(scenario.holder_ms))

    return step


def restart_holder(index: int, holder_type: type[LeaseHolder]) -> Step:
    """The step in which a member is killed and restarted with the register on its disk."""

    def step(scenario: Scenario) -> None:
        incarnation = scenario.holders[index].incarnation + 1
        holder = holder_type(CAPABILITIES, TIMING, incarnation, scenario.disks[index])
        scenario.holders[index] = holder
        scenario.min_numbers[index] = parse_register(scenario.log).last.number
        scenario.carry_out_holder(index, holder.tick(scenario.holder_ms))

    return step


def _deliver(index: int, in_flight: MessageInFlight, *, duplicate: bool = False, late: bool = False) -> Step:
    """The step in which a message arrives.

    With `duplicate` the message also stays in flight; with `late` the answers to it do.
    """

    def step(scenario: Scenario) -> None:
        if not duplicate:
            scenario.in_flight[index].discard(in_flight)
        scenario.deliver(index, in_flight, late=late)

    return step


# --- all searches -----------------------------------------------------------------------------

SEARCHES = {
    "calm": Bounds(ticks=4, lease_requests=1, late_answers=1),
    "kills": Bounds(ticks=3, lease_requests=0, kills=1),
    "called off": Bounds(ticks=1, lease_requests=0, cancellations=1, duplicates=1, late_answers=1),
    "leaders": Bounds(ticks=3, lease_requests=0, leader_changes=1),
    "leaders, asks": Bounds(ticks=4, lease_requests=1, leader_changes=1),
    "two changes": Bounds(ticks=3, lease_requests=0, proposals=2, leader_changes=1),
}


def main() -> int:
    """Run all searches of `SEARCHES`; the exit status is 1 if one found a violation."""
    parser = argparse.ArgumentParser(description="Search the states of a policy rollout.")
    parser.add_argument("--states", type=int, default=100_000)
    states = parser.parse_args().states
    broken = False
    for name, bounds in SEARCHES.items():
        began = time.perf_counter()
        found = ModelChecker(replace(bounds, states=states)).run()
        extent = "complete" if found.complete else f"to depth {found.depth}"
        took_s = time.perf_counter() - began
        print(f"{name}: {found.states} states, {extent}, {took_s:.0f} s {found.broken}")
        for label in found.path:
            print("   ", label)
        broken = broken or bool(found.broken)
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
