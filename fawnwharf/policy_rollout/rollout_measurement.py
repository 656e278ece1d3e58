"""Measures the duration and the messages of a policy rollout in virtual time.

Links take 0.5 to 5 ms, a decision of the log 2 to 20 ms, clocks differ by up to a tenth. `down`: a tenth of
the members was killed long before; `dies`: at the moment of the proposal; `cut`: a tenth is partitioned at
the moment of the decision, and has its leases.
"""

from collections import Counter
from dataclasses import dataclass
from typing import Literal

from fawnwharf.policy_rollout.simulation import Simulation
from fawnwharf.policy_rollout.simulation_types import NO_FAULTS, SimulatedMember

Case = Literal["calm", "down", "dies", "cut"]

SIZES = (12, 30, 200, 1_000)
CASES: tuple[Case, ...] = ("calm", "down", "dies", "cut")
LARGEST_REPEATED = 200  # larger fleets are measured with one seed
LONG_MS = 1e9
STEP_MS = 1.0
NO_STEP_LIMIT = 10**9
WARM_UP_MS = 5_000.0
DOWN_MS = 5_000.0
QUOTA_RPS = 7


@dataclass(frozen=True, slots=True)
class RolloutDuration:
    """Milliseconds from the proposal until each step, and the messages beyond those that renew leases.

    The steps are: decided, in force, and leased by all that can be reached.
    """

    decided_ms: float
    in_force_ms: float
    all_ms: float
    messages: int


@dataclass(slots=True)
class _Marks:
    """When each step of a rollout was reached; None for not yet."""

    decided_ms: float | None = None
    in_force_ms: float | None = None
    all_ms: float | None = None


def measure_rollout(size: int, case: Case, seed: int) -> RolloutDuration:
    """Measure one rollout in a fleet of `size` members."""
    simulation = Simulation(size, seed, NO_FAULTS, checked=False)
    simulation.run(NO_STEP_LIMIT, until_ms=WARM_UP_MS)
    tenth = [f"f{n}" for n in range(size - max(1, size // 10), size)]
    if case == "down":
        _kill(simulation, tenth)
        simulation.run(NO_STEP_LIMIT, until_ms=WARM_UP_MS + DOWN_MS)
    before = simulation.result.messages.copy()
    began_ms = simulation.now_ms
    simulation.propose(QUOTA_RPS)
    if case == "dies":
        _kill(simulation, tenth)
    reachable = [
        member for member in simulation.members.values() if case == "calm" or member.name not in tenth
    ]
    marks = _run_to_end(simulation, reachable, tenth if case == "cut" else [])
    return RolloutDuration(
        (marks.decided_ms or 0.0) - began_ms,
        (marks.in_force_ms or 0.0) - began_ms,
        (marks.all_ms or 0.0) - began_ms,
        _messages_of_rollout(simulation.result.messages - before),
    )


def _messages_of_rollout(sent: Counter[str]) -> int:
    """The messages beyond those that renew leases."""
    grants = max(0, sent["LeaseGrant"] - sent["LeaseRequest"])
    return grants + sum(sent[kind] for kind in ("Prepare", "Vote", "Decided", "DocumentAdopted"))


def _kill(simulation: Simulation, names: list[str]) -> None:
    for name in names:
        simulation.kill(name, LONG_MS)


def _run_to_end(simulation: Simulation, reachable: list[SimulatedMember], partitioned: list[str]) -> _Marks:
    """Run until all steps are reached; `partitioned` are cut off at the moment of the decision."""
    coordinator = simulation.members[simulation.model.leader].coordinator
    stop_ms = simulation.now_ms
    marks = _Marks()
    while marks.decided_ms is None or marks.in_force_ms is None or marks.all_ms is None:
        stop_ms += STEP_MS
        simulation.run(NO_STEP_LIMIT, until_ms=stop_ms)
        now_ms = simulation.now_ms
        if marks.decided_ms is None and simulation.model.last_number():
            marks.decided_ms = now_ms
            for name in partitioned:
                simulation.members[name].partitioned_until_ms = LONG_MS
        is_decided = marks.decided_ms is not None
        if marks.in_force_ms is None and is_decided and coordinator is not None and coordinator.is_in_force:
            marks.in_force_ms = now_ms
        if marks.all_ms is None and all(_is_leased(simulation, member) for member in reachable):
            marks.all_ms = now_ms
    return marks


def _is_leased(simulation: Simulation, member: SimulatedMember) -> bool:
    """Whether a member has a lease for the first document after the start."""
    granted = member.holder is not None and member.holder.granted_number == 1
    return granted and simulation.acts(member)


def table(sizes: tuple[int, ...] = SIZES, seeds: int = 3) -> str:
    """The worst of some seeds each, as lines of Markdown."""
    head = ("members", "case", "decided, ms", "in force, ms", "leased by all, ms", "messages")
    lines = [f"| {' | '.join(head)} |", "| --- " * len(head) + "|"]
    for size in sizes:
        repeats = seeds if size <= LARGEST_REPEATED else 1
        lines.extend(_row(size, case, repeats) for case in CASES)
    return "\n".join(lines)


def _row(size: int, case: Case, seeds: int) -> str:
    """One line of the table."""
    durations = [measure_rollout(size, case, seed) for seed in range(seeds)]
    worst = (
        max(each.decided_ms for each in durations),
        max(each.in_force_ms for each in durations),
        max(each.all_ms for each in durations),
    )
    messages = max(each.messages for each in durations)
    return f"| {size} | {case} | {' | '.join(f'{ms:.0f}' for ms in worst)} | {messages} |"
