"""Value and cost of a prefetched copy, in units of the value of a mean call. No I/O.

A call that waits for a load may miss its latency target: it then earns its class's late share, and nothing
after its deadline. A loaded copy saves the call this wait and the load that the call would have started
itself. The fetch is therefore wasted only if the session does not come.
"""

from collections.abc import Mapping

from msgspec import Struct

from fawnwharf.interface import ClassSpec
from fawnwharf.prefetch.settings import PrefetchSettings, Prices


class FunctionProfile(Struct, frozen=True):
    """What is known about a function: its class, the memory of a copy, and the times of a load and a run."""

    class_name: str
    memory_mb: float
    load_ms: float
    run_ms: float
    lanes: int = 1


def mean_worth(classes: Mapping[str, ClassSpec], shares: Mapping[str, float] | None = None) -> float:
    """Return the mean priority weight of a call, given each class's share of the calls (default: equal)."""
    parts = {name: (shares or {}).get(name, 0.0 if shares else 1.0) for name in classes}
    total = sum(parts.values())
    mean = (
        sum(classes[name].priority_weight * part for name, part in parts.items()) / total
        if total > 0
        else 0.0
    )
    return mean if mean > 0 else 1.0


def waiting_loss(spec: ClassSpec, facts: FunctionProfile, rate_ps: float, slack: float = 1.0) -> float:
    """Return the value that a session's calls lose during a load, in units of a call of priority weight 1.

    The first call arrives when the load begins, and the others follow at `rate_ps`. A call that arrives t ms
    after the load began waits for the rest of it. `slack` is the factor by which loads are slower.
    """
    load_ms = slack * facts.load_ms
    wait = load_ms + facts.run_ms
    late, dead = wait > spec.latency_target_ms, wait > spec.deadline_ms
    first = late * (1.0 - spec.late_share) + dead * spec.late_share
    late_ms = min(load_ms, max(0.0, wait - spec.latency_target_ms))
    dead_ms = min(load_ms, max(0.0, wait - spec.deadline_ms))
    others = rate_ps * (late_ms * (1.0 - spec.late_share) + dead_ms * spec.late_share) / 1000.0
    return spec.priority_weight * (first + others)


def unused_load_cost(settings: PrefetchSettings, prices: Prices, facts: FunctionProfile) -> float:
    """Return the cost of a load that serves no call: the fetch and the core time."""
    return prices.origin + prices.waste * settings.core_part * facts.load_ms / max(1.0, facts.run_ms)


class IdleCopy(Struct, frozen=True):
    """How long a copy is idle, and what it takes from the fleet during that time.

    `displaced` is the fraction of a copy in use that it evicts. The next call of the evicted copy is late and
    needs a fetch.
    """

    idle_ms: float
    fleet_memory_mb: float
    displaced: float
    fleet_calls_ps: float


def copy_cost(
    settings: PrefetchSettings,
    prices: Prices,
    facts: FunctionProfile,
    chance: float,
    idle: IdleCopy,
) -> float:
    """Return the expected cost of one copy that is used with probability `chance`."""
    lost = (1.0 - chance) * unused_load_cost(settings, prices, facts)
    part = facts.memory_mb / max(1.0, idle.fleet_memory_mb)
    room = prices.memory * part * idle.fleet_calls_ps * idle.idle_ms / 1000.0
    return lost + prices.probe + room + idle.displaced * (1.0 + unused_load_cost(settings, prices, facts))
