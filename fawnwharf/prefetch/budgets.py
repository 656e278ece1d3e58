"""Budgets of prefetch orders: planner input, token buckets, and one front end's share of fleet budgets."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from fawnwharf.prefetch.copy_value import FunctionProfile
from fawnwharf.replication.placement import rendezvous_weight

BURST_S = 2.0  # a full bucket holds the tokens of this many seconds


@dataclass(slots=True)
class PlannerView:
    """What a front end knows during a pass; the callables are called only for prefetch candidates."""

    me: str
    heard: Sequence[str]  # reachable front ends, including this one
    calm: bool  # no surge: no more calls than usual are waiting, and none are refused
    disturbed: frozenset[str]  # zones that were lost or are powering up
    ration: float  # load orders that the load rate limit still allows; infinite without a limit
    ration_most: float  # load orders that it would allow if none had been given
    waiting: int  # calls that are waiting for a load
    facts: Callable[[str], FunctionProfile | None]  # function -> profile; None if unknown
    order: Callable[[str, str], Sequence[str]]  # (function, zone) -> scorers in the hash order of its calls
    cold_room: Callable[[str], float]  # scorer -> loads it may take besides its calls; infinite if warm
    spare_mb: Callable[[str], float]  # zone -> memory for prefetched copies, without those already loaded
    standing: Callable[[str, str], int]  # (function, zone) -> copies that are loaded or loading
    memory_mb: float = 1e6  # memory of the fleet
    mean_ps: float = 1.0  # calls per second of the fleet
    pushes_out: Callable[[str], float] = lambda _site: 0.0  # fraction of a used copy that one prefetch evicts


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that is full at the start."""

    rate_ps: float
    tokens: float = -1.0
    at_ms: float = 0.0

    def left(self, now_ms: float) -> float:
        """Refill the bucket up to `now_ms` and return its tokens."""
        most = max(1.0, self.rate_ps * BURST_S) if self.rate_ps > 0 else 0.0
        if self.tokens < 0:
            self.tokens = most
        else:
            self.tokens = min(most, self.tokens + self.rate_ps * max(0.0, now_ms - self.at_ms) / 1000.0)
        self.at_ms = now_ms
        return self.tokens


def ordering_front_end(row: str, site: str, heard: Sequence[str]) -> str:
    """Return the reachable front end that orders copies of a function in a zone, by rendezvous hashing."""
    return max(heard, key=lambda name: (rendezvous_weight("stage", name, row, site), name))


def fetch_shares(view: PlannerView, fleet_size: int) -> float:
    """Return the number of front ends that share the fleet's fetch rate.

    This is the number of reachable front ends, or the fleet size if at most half of the members are
    reachable. Both sides of a partition together then fetch little more than the fleet may.
    """
    return share_count(len(view.heard), fleet_size)


def share_count(heard: int, fleet_size: int) -> float:
    """Return the same as `fetch_shares` for `heard` reachable front ends out of `fleet_size`."""
    fleet = max(1, fleet_size)
    return float(heard if 2 * heard > fleet else fleet)
