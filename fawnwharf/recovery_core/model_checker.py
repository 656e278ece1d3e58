"""Model checkers of voters, of a policy rollout and of claims on calls, extended by power losses.

A power loss stops all members at once, between any two actions of a member. Afterwards the synced data is
intact, messages in flight are lost, and clocks may show any time.

    python -m fawnwharf.recovery_core.model_checker [--states N]
"""

import argparse
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, fields, replace
from typing import Protocol

from fawnwharf.consensus import messages as consensus_messages
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
    """Searches all interleavings of the voters, with power losses between any two of their actions."""

    def __init__(self, kind: type[Voter], names: tuple[str, ...], bounds: VotersBounds) -> None:
        super().__init__(kind, names, bounds)
        self.start = VotersWorld(self.start.voters, self.start.flying)

    def recovered(
        self, _voter_index: int, disk: consensus_messages.PersistentState
    ) -> consensus_messages.PersistentState:
        """The state on a voter's disk after a power loss; a faulty disk returns less than was synced."""
        return disk

    def fault(self, world: VotersWorld) -> str:
        """The violated invariant, or empty; each decision must also be on a majority of the disks."""
        if result := explore.broken(world):
            return result
        for index, decision in world.decided:
            disks_with_decision = sum(_has_decision(frozen[8], index, decision) for frozen in world.voters)
            if 2 * disks_with_decision <= len(world.voters):
                return f"decision {index} is on {disks_with_decision} of {len(world.voters)} disks"
        return ""

    def _steps(self, world: VotersWorld) -> Iterator[tuple[str, VotersWorld]]:
        yield from super()._steps(world)
        if world.power_losses < self.bounds.power_losses:
            yield "power is lost", self._lose_power(world)

    def _do(self, world: VotersWorld, voter_index: int, label: str, step: explore.Step) -> Iterator:
        yield from super()._do(world, voter_index, label, step)
        if world.power_losses >= self.bounds.power_losses:
            return
        voter = explore._thaw(self.kind, world.voters[voter_index])
        actions = step(voter)
        persist_counts = [
            n + 1 for n, action in enumerate(actions) if isinstance(action, consensus_messages.Persist)
        ]
        for count in sorted({*persist_counts, len(actions)} - {0}):
            after = self._after(world, voter_index, voter, actions[:count])
            yield f"{label}, and power is lost after {count} actions", self._lose_power(after)

    def _lose_power(self, world: VotersWorld) -> VotersWorld:
        voters = []
        for voter_index, frozen in enumerate(world.voters):
            disk = self.recovered(voter_index, frozen[8])
            voters.append(
                explore._freeze(self.kind(frozen[0], disk, explore.TIMING, explore.NOW_MS, 1), disk)
            )
        return replace(world, voters=tuple(voters), flying=frozenset(), power_losses=world.power_losses + 1)


def _has_decision(saved: consensus_messages.PersistentState, index: int, decision: str) -> bool:
    if index <= saved.snapshot.index:
        return True
    position = index - saved.snapshot.index - 1
    if position >= len(saved.entries):
        return False
    entry = saved.entries[position]
    return f"{entry.kind} {entry.text}{' '.join(entry.voters)}" == decision


# --- policy rollout ---------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class PolicyBounds(model_checker.Bounds):
    """What may happen on one path, with power losses."""

    power_losses: int = 1


@dataclass(frozen=True, slots=True)
class PolicyWorld(scenario.ModelState):
    """A state of a policy rollout, with the power losses so far."""

    power_losses: int = 0


class PolicySearch(model_checker.ModelChecker):
    """Searches all interleavings of the rollout coordinators and the lease holders, with power losses.

    The consensus log is assumed to be correct. A proposal that is pending when power is lost either is lost
    or is decided before the next leader starts.
    """

    def start(self) -> PolicyWorld:
        """The initial state, with no power loss."""
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
                label = f"power is lost, {leader} leads next" + (
                    f", the proposal is {'lost' if lost else 'decided'}" if world.pending else ""
                )
                yield label, state.frozen(power_losses=world.power_losses + 1)

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
        for holder_index in range(len(state.holders)):
            model_checker.restart_holder(holder_index, self.holder_type)(state)


# --- claims and all searches ------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class ClaimSearchResult:
    """The result of a search over claims."""

    states: int
    depth: int
    complete: bool
    broken: str = ""
    path: list[str] = field(default_factory=list)


def search_claims(rules: Rules, max_states: int, **bounds: int) -> ClaimSearchResult:
    """Search the reachable states of `ClaimState` breadth first, up to `max_states`."""
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


def _voters_search(**overrides: int) -> Callable[[int], Outcome]:
    bounds = VotersBounds(**({"depth": 40, "kills": 0, "repeats": 0, "patience": 2, "beats": 0} | overrides))
    return lambda states: VotersSearch(Voter, ("a", "b", "c"), replace(bounds, states=states)).search()


def _policy_search(**overrides: int) -> Callable[[int], Outcome]:
    bounds = PolicyBounds(**({"ticks": 3, "lease_requests": 0} | overrides))
    return lambda states: PolicySearch(replace(bounds, states=states), RolloutCoordinator, LeaseHolder).run()


def _claims_search(**overrides: int) -> Callable[[int], Outcome]:
    return lambda states: search_claims(Rules(), states, **overrides)


SEARCHES: dict[str, Callable[[int], Outcome]] = {
    "voters, a power loss": _voters_search(plans=1),
    "voters, one election, a power loss": _voters_search(plans=1, patience=1),
    "voters, two power losses": _voters_search(plans=1, power_losses=2),
    "voters, a kill and a power loss": _voters_search(plans=1, kills=1),
    "policy, a power loss at one moment": _policy_search(ticks=0),
    "policy, a power loss": _policy_search(),
    "policy, two power losses": _policy_search(power_losses=2, ticks=2),
    "policy, a kill and a power loss": _policy_search(kills=1),
    "claims, a power loss, a lost disk": _claims_search(power_losses=1, ticks=3, lost_disks=1),
    "claims, two power losses, a lost disk, at one moment": _claims_search(
        power_losses=2, ticks=0, lost_disks=1
    ),
    "claims, two power losses": _claims_search(power_losses=2, ticks=6),
    "claims, two power losses, a lost disk": _claims_search(power_losses=2, ticks=6, lost_disks=1),
}


def main() -> int:
    """Run all searches; the exit status is 1 if one of them found a violated invariant."""
    parser = argparse.ArgumentParser(description="Search the states that the cores reach with power losses.")
    parser.add_argument("--states", type=int, default=100_000, help="most states of each search")
    states, broken = parser.parse_args().states, False
    for name, search in SEARCHES.items():
        started_s = time.perf_counter()
        result = search(states)
        extent = "complete" if result.complete else f"to depth {result.depth}"
        elapsed_s = time.perf_counter() - started_s
        print(f"{name}: {result.states} states, {extent}, {elapsed_s:.0f} s {result.broken}", flush=True)
        for label in result.path:
            print("   ", label)
        broken = broken or bool(result.broken)
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
