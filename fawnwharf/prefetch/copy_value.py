"""Worth and cost of a prefetched copy, in mean calls' worth. Pure.

A call that waits for a load may be late: it then earns its class's late share, and nothing once its client
has given up. A copy that stands spares it that wait, and the load that it would have begun itself, so that
the fetch is lost only where the session does not come.
"""

from collections.abc import Mapping

from msgspec import Struct

from fawnwharf.interface import ClassSpec
from fawnwharf.prefetch.settings import PrefetchSettings, Prices


class FunctionProfile(Struct, frozen=True):
    """What is known of a function: megabytes of a copy, milliseconds of a load and of a run, its class."""

    class_name: str
    memory_mb: float
    load_ms: float
    run_ms: float
    lanes: int = 1


def mean_worth(classes: Mapping[str, ClassSpec], shares: Mapping[str, float] | None = None) -> float:
    """The mean worth of a call, by the share of each class in the calls (absent: equal shares)."""
    parts = {name: (shares or {}).get(name, 0.0 if shares else 1.0) for name in classes}
    total = sum(parts.values())
    mean = (
        sum(classes[name].priority_weight * part for name, part in parts.items()) / total
        if total > 0
        else 0.0
    )
    return mean if mean > 0 else 1.0


def waiting_loss(spec: ClassSpec, facts: FunctionProfile, rate_ps: float, slack: float = 1.0) -> float:
    """What a session's calls lose while the first one waits for a load, in units of a call of worth 1.

    The first call comes as the load begins, the others at `rate_ps`; a call that comes t into it waits for
    the rest. `slack` is how much longer loads take than usual.
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
    """The cost of a load that serves nothing: the fetch, and the core time it takes."""
    return prices.origin + prices.waste * settings.core_part * facts.load_ms / max(1.0, facts.run_ms)


class IdleCopy(Struct, frozen=True):
    """For how long a copy stands idle, and what it takes from the fleet meanwhile.

    `displaced` is the part of a copy in use that is displaced: its next call is then late, at the price of
    this copy's fetch.
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
    """The price of one copy that is used with probability `chance`."""
    lost = (1.0 - chance) * unused_load_cost(settings, prices, facts)
    part = facts.memory_mb / max(1.0, idle.fleet_memory_mb)
    room = prices.memory * part * idle.fleet_calls_ps * idle.idle_ms / 1000.0
    return lost + prices.probe + room + idle.displaced * (1.0 + unused_load_cost(settings, prices, facts))
