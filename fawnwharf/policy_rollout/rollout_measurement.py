"""Measures the duration of a policy rollout and the number of its messages in virtual time.

Links take 0.5 to 5 ms, a decision of the log takes 2 to 20 ms, and the rates of clocks differ by up to a
tenth. The cases are:

- `calm`: no faults.
- `down`: a tenth of the members was killed long before the proposal.
- `dies`: a tenth of the members is killed at the moment of the proposal.
- `cut`: a tenth of the members, with valid leases, is partitioned at the moment of the decision.
"""

from collections import Counter
from dataclasses import dataclass
from typing import Literal

from fawnwharf.policy_rollout.simulation import Simulation
from fawnwharf.policy_rollout.simulation_types import NO_FAULTS, SimulatedMember

Case = Literal["calm", "down", "dies", "cut"]

SIZES = (12, 30, 200, 1_000)
CASES: tuple[Case, ...] = ("calm", "down", "dies", "cut")
MAX_REPEATED_SIZE = 200  # larger fleets are measured with one seed only
FOREVER_MS = 1e9
STEP_MS = 1.0
NO_STEP_LIMIT = 10**9  # events
WARM_UP_MS = 5_000.0
DOWN_MS = 5_000.0
QUOTA_RPS = 7


@dataclass(frozen=True, slots=True)
class RolloutDuration:
    """Milliseconds from the proposal to each step, and the number of messages beyond lease renewals.

    The steps are: decided, in force, and leased by all reachable members.
    """

    decided_ms: float
    in_force_ms: float
    all_ms: float
    messages: int


@dataclass(slots=True)
class _StepTimes:
    """When each step of a rollout was reached; None before that."""

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
    times = _run_to_end(simulation, reachable, tenth if case == "cut" else [])
    return RolloutDuration(
        (times.decided_ms or 0.0) - began_ms,
        (times.in_force_ms or 0.0) - began_ms,
        (times.all_ms or 0.0) - began_ms,
        _messages_of_rollout(simulation.result.messages - before),
    )


def _messages_of_rollout(sent: Counter[str]) -> int:
    """The number of messages beyond lease renewals."""
    grants = max(0, sent["LeaseGrant"] - sent["LeaseRequest"])
    return grants + sum(sent[kind] for kind in ("Prepare", "Vote", "Decided", "DocumentAdopted"))


def _kill(simulation: Simulation, names: list[str]) -> None:
    for name in names:
        simulation.kill(name, FOREVER_MS)


def _run_to_end(
    simulation: Simulation, reachable: list[SimulatedMember], partitioned: list[str]
) -> _StepTimes:
    """Run until all steps are reached; the members `partitioned` are cut off when the log has decided."""
    coordinator = simulation.members[simulation.model.leader].coordinator
    stop_ms = simulation.now_ms
    times = _StepTimes()
    while times.decided_ms is None or times.in_force_ms is None or times.all_ms is None:
        stop_ms += STEP_MS
        simulation.run(NO_STEP_LIMIT, until_ms=stop_ms)
        now_ms = simulation.now_ms
        if times.decided_ms is None and simulation.model.last_number():
            times.decided_ms = now_ms
            for name in partitioned:
                simulation.members[name].partitioned_until_ms = FOREVER_MS
        is_decided = times.decided_ms is not None
        if times.in_force_ms is None and is_decided and coordinator is not None and coordinator.is_in_force:
            times.in_force_ms = now_ms
        if times.all_ms is None and all(_is_leased(simulation, member) for member in reachable):
            times.all_ms = now_ms
    return times


def _is_leased(simulation: Simulation, member: SimulatedMember) -> bool:
    """Whether a member has a lease for the first document after the start."""
    granted = member.holder is not None and member.holder.granted_number == 1
    return granted and simulation.has_lease(member)


def markdown_table(sizes: tuple[int, ...] = SIZES, seeds: int = 3) -> str:
    """Measure all sizes and cases; the table has the worst values over the seeds."""
    head = ("members", "case", "decided, ms", "in force, ms", "leased by all, ms", "messages")
    lines = [f"| {' | '.join(head)} |", "| --- " * len(head) + "|"]
    for size in sizes:
        repeats = seeds if size <= MAX_REPEATED_SIZE else 1
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
