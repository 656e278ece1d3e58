"""Model checkers extended by power losses: voters, a policy rollout, claims on calls.

A power loss ends all members at once, between any two things that one of them does: what was synced is found
again, what was on its way is lost, and clocks come back with anything.

    python -m fawnwharf.recovery_core.model_checker [--states N]
"""

import argparse
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, fields, replace
from typing import Protocol

from fawnwharf.consensus import messages as am
from fawnwharf.consensus.voter import Voter
from fawnwharf.policy_rollout import model_checker, scenario
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator
from fawnwharf.recovery_core.claim_model import ClaimState, Rules
from fawnwharf.testbed import explore


class Outcome(Protocol):
    """The result of a search."""

    states: int
    depth: int
    complete: bool
    broken: str
    path: list[str]


# --- voters -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class VotersBounds(explore.Bounds):
    """What may happen on one path, with power losses."""

    power_losses: int = 1


@dataclass(frozen=True, slots=True)
class VotersWorld(explore.World):
    """A state of the voters, with the power losses so far."""

    power_losses: int = 0


class VotersSearch(explore.Explorer):
    """All interleavings of the voters, with power losses between any two of their actions."""

    def __init__(self, kind: type[Voter], names: tuple[str, ...], bounds: VotersBounds) -> None:
        super().__init__(kind, names, bounds)
        self.start = VotersWorld(self.start.voters, self.start.flying)

    def recovered(self, _place: int, disk: am.PersistentState) -> am.PersistentState:
        """What a voter's disk gives back after a power loss; of one that lies, less than it was given."""
        return disk

    def fault(self, world: VotersWorld) -> str:
        """What is broken, if anything: also whether all that was decided is on a majority of the disks."""
        if found := explore.broken(world):
            return found
        for index, what in world.decided:
            held = sum(_has(frozen[8], index, what) for frozen in world.voters)
            if 2 * held <= len(world.voters):
                return f"decision {index} is on {held} disks of {len(world.voters)}"
        return ""

    def _steps(self, world: VotersWorld) -> Iterator[tuple[str, VotersWorld]]:
        yield from super()._steps(world)
        if world.power_losses < self.bounds.power_losses:
            yield "power is lost", self._lose_power(world)

    def _do(self, world: VotersWorld, place: int, label: str, step: explore.Step) -> Iterator:
        yield from super()._do(world, place, label, step)
        if world.power_losses >= self.bounds.power_losses:
            return
        voter = explore._thaw(self.kind, world.voters[place])
        actions = step(voter)
        saves = [n + 1 for n, action in enumerate(actions) if isinstance(action, am.Persist)]
        for count in sorted({*saves, len(actions)} - {0}):
            after = self._after(world, place, voter, actions[:count])
            yield f"{label}, and power is lost after {count}", self._lose_power(after)

    def _lose_power(self, world: VotersWorld) -> VotersWorld:
        voters = []
        for place, frozen in enumerate(world.voters):
            disk = self.recovered(place, frozen[8])
            voters.append(
                explore._freeze(self.kind(frozen[0], disk, explore.TIMING, explore.NOW_MS, 1), disk)
            )
        return replace(world, voters=tuple(voters), flying=frozenset(), power_losses=world.power_losses + 1)


def _has(saved: am.PersistentState, index: int, what: str) -> bool:
    if index <= saved.snapshot.index:
        return True
    place = index - saved.snapshot.index - 1
    if place >= len(saved.entries):
        return False
    entry = saved.entries[place]
    return f"{entry.kind} {entry.text}{' '.join(entry.voters)}" == what


# --- a change of policy -----------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class PolicyBounds(model_checker.Bounds):
    """What may happen on one path, with power losses."""

    power_losses: int = 1


@dataclass(frozen=True, slots=True)
class PolicyWorld(scenario.ModelState):
    """A state of a policy rollout, with the power losses so far."""

    power_losses: int = 0


class PolicySearch(model_checker.ModelChecker):
    """The same for coordinators and lease holders.

    The log is what it promises: what is proposed as power goes is lost, or found decided by the next leader.
    """

    def start(self) -> PolicyWorld:
        """The first state, with no power loss yet."""
        world = super().start()
        return PolicyWorld(**{f.name: getattr(world, f.name) for f in fields(world)})

    def _steps(self, world: PolicyWorld) -> Iterator[tuple[str, PolicyWorld]]:
        yield from super()._steps(world)
        if world.power_losses >= self.bounds.power_losses:
            return
        for lost in (True, False) if world.pending else (True,):
            for leader in (0, 1):
                state = scenario.Scenario(world, self)
                self._lose_power(state, leader, lost)
                how = f"power is lost, {leader} leads next" + (
                    f", what was put is {'lost' if lost else 'decided'}" if world.pending else ""
                )
                yield how, state.frozen(power_losses=world.power_losses + 1)

    def _lose_power(self, state: scenario.Scenario, leader: int, lost: bool) -> None:
        term = max(coordinator.term for coordinator in state.coordinators) + 1
        if state.pending and not lost:
            state.commit()
        state.pending, state.leader = "", leader
        state.coordinators = [
            self.coordinator_type(scenario.TIMING, scenario.NAMES) for _ in state.coordinators
        ]
        state.in_flight = [set() for _ in state.in_flight]
        effects = state.coordinators[leader].lead(state.coordinator_ms, term, state.log)
        state.carry_out_coordinator(leader, effects)
        for place in range(len(state.holders)):
            model_checker.restart_holder(place, self.holder_type)(state)


# --- all --------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ClaimSearchResult:
    """The result of a search over claims."""

    states: int
    depth: int
    complete: bool
    broken: str = ""
    path: list[str] = field(default_factory=list)


def search_claims(rules: Rules, max_states: int, **bounds: int) -> ClaimSearchResult:
    """Search the states of `ClaimState` breadth first."""
    start = ClaimState.start(**bounds)
    seen = {start}
    queue = deque([(start, 0)])
    parents: dict[ClaimState, tuple[ClaimState, str]] = {}
    depth = 0
    while queue:
        state, depth = queue.popleft()
        if len(seen) >= max_states:
            return ClaimSearchResult(len(seen), depth, complete=False)
        for label, after in state.steps(rules):
            if after in seen:
                continue
            seen.add(after)
            parents[after] = state, label
            if after.broken:
                path = _path_to(after, parents)
                return ClaimSearchResult(len(seen), depth + 1, False, after.broken, path)
            queue.append((after, depth + 1))
    return ClaimSearchResult(len(seen), depth, complete=True)


def _path_to(state: ClaimState, parents: dict[ClaimState, tuple[ClaimState, str]]) -> list[str]:
    """The labels of the steps to a state."""
    path: list[str] = []
    while state in parents:
        state, label = parents[state]
        path.append(label)
    return path[::-1]


def _voters(**more: int) -> Callable[[int], Outcome]:
    bounds = VotersBounds(**({"depth": 40, "kills": 0, "repeats": 0, "patience": 2, "beats": 0} | more))
    return lambda states: VotersSearch(Voter, ("a", "b", "c"), replace(bounds, states=states)).search()


def _policy(**more: int) -> Callable[[int], Outcome]:
    bounds = PolicyBounds(**({"ticks": 3, "lease_requests": 0} | more))
    return lambda states: PolicySearch(replace(bounds, states=states), RolloutCoordinator, LeaseHolder).run()


def _claims(**more: int) -> Callable[[int], Outcome]:
    return lambda states: search_claims(Rules(), states, **more)


SEARCHES: dict[str, Callable[[int], Outcome]] = {
    "voters, a power loss": _voters(plans=1),
    "voters, one election, a power loss": _voters(plans=1, patience=1),
    "voters, two power losses": _voters(plans=1, power_losses=2),
    "voters, a kill and a power loss": _voters(plans=1, kills=1),
    "policy, a power loss at one moment": _policy(ticks=0),
    "policy, a power loss": _policy(),
    "policy, two power losses": _policy(power_losses=2, ticks=2),
    "policy, a kill and a power loss": _policy(kills=1),
    "claims, a power loss, a lost disk": _claims(power_losses=1, ticks=3, lost_disks=1),
    "claims, two power losses, a lost disk, at one moment": _claims(power_losses=2, ticks=0, lost_disks=1),
    "claims, two power losses": _claims(power_losses=2, ticks=6),
    "claims, two power losses, a lost disk": _claims(power_losses=2, ticks=6, lost_disks=1),
}


def main() -> int:
    """Run all searches; the exit status is 1 where one found something broken."""
    parser = argparse.ArgumentParser(description="Search states of the cores with power losses among them.")
    parser.add_argument("--states", type=int, default=100_000)
    states, broken = parser.parse_args().states, False
    for name, search in SEARCHES.items():
        began = time.perf_counter()
        found = search(states)
        whole = "whole" if found.complete else f"to depth {found.depth}"
        print(
            f"{name}: {found.states} states, {whole}, {time.perf_counter() - began:.0f} s {found.broken}",
            flush=True,
        )
        for label in found.path:
            print("   ", label)
        broken = broken or bool(found.broken)
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
