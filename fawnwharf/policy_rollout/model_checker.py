"""Model checker for a policy rollout: every interleaving, breadth first, to a depth.

The coordinator and the lease holders are the real ones. There are three members' holders, two members that
may be the leader, and the consensus log reduced to what it promises: a register whose every decision stands,
and at any moment at most one member that may say so (`Voter.fresh`). A leader that was replaced goes on as it
was, without that. What it had proposed is decided by the change of leader, or lost.

Messages may come in any order, late, twice or never; holders' answers come at once, except for a number of
them that are late.

    python -m fawnwharf.policy_rollout.model_checker [--states N]
"""

import argparse
import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import Register, parse_register
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator
from fawnwharf.policy_rollout.scenario import KNOWN, NAMES, STEWARD_STATE, TIMING, ModelState, Scenario

TEXTS = tuple(f'{{"version":1,"tenants":{{"t":{{"quota_rps":{n}}}}}}}' for n in (5, 6, 7))


@dataclass(frozen=True, slots=True)
class Bounds:
    """What may happen on one path."""

    depth: int = 40
    states: int = 20_000
    turns: int = 4  # of the clock
    proposals: int = 1
    called_off: int = 0
    asks: int = 1  # of holders for a lease, beyond those that a change brings
    kills: int = 0  # of holders, which come back at once
    leaders: int = 0  # changes of leader
    repeats: int = 0
    late: int = 0  # answers of holders that are not heard at once


@dataclass(slots=True)
class CheckResult:
    """The result of a search; `path` leads to what is broken, if anything is."""

    states: int = 0
    depth: int = 0
    complete: bool = True
    broken: str = ""
    path: list[str] = field(default_factory=list)


class ModelChecker:
    """Searches breadth first, so that what is found broken comes with a shortest path."""

    def __init__(
        self, bounds: Bounds, steward: type = RolloutCoordinator, holder: type = LeaseHolder
    ) -> None:
        self.bounds, self.steward, self.holder = bounds, steward, holder

    def start(self) -> ModelState:
        """The first state: all three hold leases of epoch 0, granted at this moment."""
        leader = RolloutCoordinator(TIMING, NAMES)
        leader.lead(0.0, 1, "")
        leader.clear_ms = 0.0
        blank = RolloutCoordinator(TIMING, NAMES)
        states = [(*(getattr(s, key) for key in STEWARD_STATE), None) for s in (leader, blank)]
        views = ((False, (0, TIMING.over_ms), (1, 0.0, 0.0), True, 1), (False, None, None, False, 0))
        holder = (1, Register(), True, (0, TIMING.lease_ms), 0, None, (1, 1))
        return ModelState(((holder, "", 0, views, frozenset()),) * len(NAMES), tuple(states))

    def run(self) -> CheckResult:
        """Search all states within the bounds, or up to the first one that is broken."""
        found, start = CheckResult(), self.start()
        seen, edge = {start}, deque([(start, 0)])
        parents: dict[ModelState, tuple[ModelState, str]] = {}
        while edge and not found.broken:
            world, depth = edge.popleft()
            found.depth = depth
            if depth >= self.bounds.depth or len(seen) >= self.bounds.states:
                found.complete = False
                break
            for label, after in self._steps(world):
                if after in seen:
                    continue
                seen.add(after)
                parents[after] = world, label
                if after.broken:
                    found.broken, found.complete = after.broken, False
                    while after in parents:
                        after, label = parents[after]
                        found.path.insert(0, label)
                    break
                edge.append((after, depth + 1))
        found.states = len(seen)
        return found

    def _steps(self, world: ModelState) -> Iterator[tuple[str, ModelState]]:
        """All that may happen next, by a label each, and the states after it."""
        yield from self._of_clock_and_operators(world)
        yield from self._of_leaders(world)
        for place, part in enumerate(world.members):
            if part not in world.members[:place]:  # else as one before it
                yield from self._of_member(world, place)

    def _after(self, world: ModelState, do: Callable[[Scenario], None], **change: int) -> ModelState:
        scene = Scenario(world, self)
        do(scene)
        return scene.frozen(**change)

    def _of_clock_and_operators(self, world: ModelState) -> Iterator[tuple[str, ModelState]]:
        bounds = self.bounds
        if world.turn < bounds.turns:
            turns = self._after(world, lambda s: setattr(s, "now", s.now + 1), turn=world.turn + 1)
            yield "the clock turns", turns
        at = world.crown
        if world.proposals < bounds.proposals:
            text = TEXTS[world.proposals]
            step = lambda s: s.steward_does(at, s.stewards[at].propose(s.fast, text))  # noqa: E731
            yield "a proposal", self._after(world, step, proposals=world.proposals + 1)
        if world.called_off < bounds.called_off:
            step = lambda s: s.steward_does(at, s.stewards[at].call_off(s.fast))  # noqa: E731
            yield "it is called off", self._after(world, step, called_off=world.called_off + 1)

    def _of_leaders(self, world: ModelState) -> Iterator[tuple[str, ModelState]]:
        at = world.crown
        step = lambda s: s.steward_does(at, s.stewards[at].tick(s.fast, True))  # noqa: E731
        yield "the steward looks", self._after(world, step)
        if world.pending:
            yield "the log decides", self._after(world, _decides)
        if world.leaders < self.bounds.leaders:
            for lost in (True, False) if world.pending else (True,):
                label = f"another leader; what is put is {'lost' if lost else 'decided'}"
                yield label, self._after(world, _replaced(lost), leaders=world.leaders + 1)

    def _of_member(self, world: ModelState, place: int) -> Iterator[tuple[str, ModelState]]:
        bounds, name = self.bounds, NAMES[place]
        if world.asks < bounds.asks:
            yield f"{name} asks", self._after(world, _asks(place), asks=world.asks + 1)
        if world.kills < bounds.kills:
            after = self._after(world, _reborn(place, self), kills=world.kills + 1)
            yield f"{name} is killed and comes back", after
        for way, message in world.members[place][4]:
            label = f"{name} {'takes' if way[0] == 's' else 'is heard:'} {message}"
            yield label, self._after(world, _arrives(place, way, message, False))
            if world.late < bounds.late and way[0] == "s" and not isinstance(message, m.Abort):
                step = _arrives(place, way, message, False, True)
                yield label + ", and answers late", self._after(world, step, late=world.late + 1)
            if world.repeats < bounds.repeats:
                step = _arrives(place, way, message, True)
                yield label + ", to come again", self._after(world, step, repeats=world.repeats + 1)


def _decides(scene: Scenario) -> None:
    scene.commit()
    at = scene.crown
    scene.steward_does(at, scene.stewards[at].decided(scene.fast, scene.log, True))


def _replaced(lost: bool) -> Callable[[Scenario], None]:
    def do(scene: Scenario) -> None:
        if scene.pending and not lost:
            scene.commit()
        scene.pending = ""
        term = scene.stewards[scene.crown].term + 1
        scene.crown = 1 - scene.crown
        at = scene.crown
        scene.steward_does(at, scene.stewards[at].lead(scene.fast, term, scene.log))

    return do


def _asks(place: int) -> Callable[[Scenario], None]:
    def do(scene: Scenario) -> None:
        holder = scene.holders[place]
        holder.open_ms = 0.0
        scene.holder_does(place, holder.tick(scene.slow), late=True)

    return do


def _reborn(place: int, search: ModelChecker) -> Callable[[Scenario], None]:
    def do(scene: Scenario) -> None:
        born = search.holder(KNOWN, TIMING, scene.holders[place].life + 1, scene.disks[place])
        scene.holders[place] = born
        scene.least[place] = parse_register(scene.log).last.number
        scene.holder_does(place, born.tick(scene.slow))

    return do


def _arrives(place: int, way: str, message: m.Message, again: bool, late: bool = False) -> Callable:
    def do(scene: Scenario) -> None:
        if not again:
            scene.flying[place].discard((way, message))
        scene.arrives(place, way, message, late)

    return do


SEARCHES = {
    "calm": Bounds(turns=4, asks=1, late=1),
    "kills": Bounds(turns=3, asks=0, kills=1),
    "called off": Bounds(turns=1, asks=0, called_off=1, repeats=1, late=1),
    "leaders": Bounds(turns=3, asks=0, leaders=1),
    "leaders, asks": Bounds(turns=4, asks=1, leaders=1),
    "two changes": Bounds(turns=3, asks=0, proposals=2, leaders=1),
}


def main() -> int:
    """Run all searches of `SEARCHES`; the exit status is 1 where one found something broken."""
    parser = argparse.ArgumentParser(description="Search the states of a change of policy.")
    parser.add_argument("--states", type=int, default=100_000)
    states = parser.parse_args().states
    broken = False
    for name, bounds in SEARCHES.items():
        began = time.perf_counter()
        found = ModelChecker(replace(bounds, states=states)).run()
        whole = "whole" if found.complete else f"to depth {found.depth}"
        print(f"{name}: {found.states} states, {whole}, {time.perf_counter() - began:.0f} s {found.broken}")
        for label in found.path:
            print("   ", label)
        broken = broken or bool(found.broken)
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
