"""Measures the duration and the messages of a policy rollout in virtual time.

Links take 0.5 to 5 ms, a decision of the log 2 to 20 ms, clocks differ by up to a tenth. `down`: a tenth of
the members was killed long before; `dies`: at the moment of the proposal; `cut`: a tenth is cut off at the
moment of the decision, and holds its leases.
"""

from dataclasses import dataclass

from fawnwharf.policy_rollout.document import parse_register
from fawnwharf.policy_rollout.simulation import Simulation
from fawnwharf.policy_rollout.simulation_types import NO_FAULTS, SimulatedMember

SIZES = (12, 30, 200, 1_000)
CASES = ("calm", "down", "dies", "cut")
LONG_MS = 1e9
STEP_MS = 1.0


@dataclass(frozen=True, slots=True)
class RolloutDuration:
    """Milliseconds from the proposal until each step, and the messages beyond those that renew leases.

    The steps are: decided, in force, and leased by all that can be reached.
    """

    decided_ms: float
    in_force_ms: float
    all_ms: float
    messages: int


def measure_rollout(size: int, case: str, seed: int) -> RolloutDuration:
    """Measure one rollout in a fleet of `size` members; `case` is one of `CASES`."""
    walk = Simulation(size, seed, NO_FAULTS, watched=False)
    walk.run(10**9, until_ms=5_000.0)
    tenth = [f"f{n}" for n in range(size - max(1, size // 10), size)]
    if case == "down":
        _kill(walk, tenth)
        walk.run(10**9, until_ms=10_000.0)
    before, began_ms = walk.outcome.messages.copy(), walk.now
    walk.propose(7)
    if case == "dies":
        _kill(walk, tenth)
    live = [node for node in walk.nodes.values() if case == "calm" or node.name not in tenth]
    marks = _marks(walk, live, tenth if case == "cut" else [])
    said = walk.outcome.messages - before
    grants = said["LeaseGrant"] - said["LeaseRequest"]
    messages = sum(said[kind] for kind in ("Prepare", "Vote", "Decided", "EpochAdopted")) + max(0, grants)
    return RolloutDuration(*(marks[key] - began_ms for key in ("decided", "in force", "all")), messages)


def _kill(walk: Simulation, names: list[str]) -> None:
    for name in names:
        walk.kill(name, LONG_MS)


def _marks(walk: Simulation, live: list[SimulatedMember], cut: list[str]) -> dict[str, float]:
    """When each step of the rollout is reached; `cut` are cut off at the moment of the decision."""
    steward, stop_ms = walk.nodes[walk.crown].steward, walk.now
    marks: dict[str, float] = {}
    while len(marks) < 3:
        stop_ms += STEP_MS
        walk.run(10**9, until_ms=stop_ms)
        if "decided" not in marks and parse_register(walk.log).last.number:
            marks["decided"] = walk.now
            for name in cut:
                walk.nodes[name].cut_ms = LONG_MS
        if "in force" not in marks and steward.settled and "decided" in marks:
            marks["in force"] = walk.now
        if "all" not in marks and all(n.holder.granted == 1 and walk._acts(n) for n in live):
            marks["all"] = walk.now
    return marks


def table(sizes: tuple[int, ...] = SIZES, seeds: int = 3) -> str:
    """The worst of some seeds each, as lines of Markdown."""
    head = ("members", "case", "decided, ms", "in force, ms", "leased by all, ms", "messages")
    lines = [f"| {' | '.join(head)} |", "| --- " * 6 + "|"]
    for size in sizes:
        for case in CASES:
            took = [measure_rollout(size, case, seed) for seed in range(seeds if size < 1_000 else 1)]
            worst = [max(getattr(t, key) for t in took) for key in ("decided_ms", "in_force_ms", "all_ms")]
            count = max(t.messages for t in took)
            lines.append(f"| {size} | {case} | {' | '.join(f'{ms:.0f}' for ms in worst)} | {count} |")
    return "\n".join(lines)
