"""Budgets of prefetch orders: the view of a pass, token buckets, and parts of the fleet's budgets. Pure."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from fawnwharf.prefetch.copy_value import FunctionProfile
from fawnwharf.replication.placement import rendezvous_weight

BURST_S = 2.0  # of the fleet's fetches, and of the own pace


@dataclass(slots=True)
class PlannerView:
    """What a front end sees during a pass; the callables are asked only for what may be prefetched."""

    me: str
    heard: Sequence[str]  # front ends that are heard, this one among them
    calm: bool  # no surge: no calls beyond what is usual wait, none are refused
    disturbed: frozenset[str]  # sites that were lost, or power up
    ration: float  # orders to load that the module's ration leaves now; infinite where there is none
    ration_most: float  # and would leave if none had been given
    waiting: int  # calls that wait for a load now
    facts: Callable[[str], FunctionProfile | None]  # of a function; None: not known
    order: Callable[[str, str], Sequence[str]]  # function, site: scorers as its calls will look
    cold_room: Callable[[str], float]  # loads that a scorer may take now, beside its calls: infinite if warm
    spare_mb: Callable[[str], float]  # memory that a site can give to stages, copies staged before not in it
    standing: Callable[[str, str], int]  # function, site: copies that stand or load
    memory_mb: float = 1e6  # of the fleet
    mean_ps: float = 1.0  # calls a second of the fleet
    pushes_out: Callable[[str], float] = lambda _site: 0.0  # the part of a copy in use that a stage displaces


@dataclass(slots=True)
class TokenBucket:
    """A token bucket that is full at the start."""

    rate_ps: float
    tokens: float = -1.0
    at_ms: float = 0.0

    def left(self, now_ms: float) -> float:
        """Refill up to now, and return the tokens."""
        most = max(1.0, self.rate_ps * BURST_S) if self.rate_ps > 0 else 0.0
        if self.tokens < 0:
            self.tokens = most
        else:
            self.tokens = min(most, self.tokens + self.rate_ps * max(0.0, now_ms - self.at_ms) / 1000.0)
        self.at_ms = now_ms
        return self.tokens


def ordering_front_end(row: str, site: str, heard: Sequence[str]) -> str:
    """The front end that orders for a function at a zone, out of those that are heard."""
    return max(heard, key=lambda name: (rendezvous_weight("stage", name, row, site), name))


def fetch_shares(view: PlannerView, fleet_size: int) -> float:
    """Among how many front ends the fleet's fetches are divided.

    Those that are heard, or all members where these are half of them or less: both sides of a partition
    together then fetch little more than the fleet may.
    """
    return share_count(len(view.heard), fleet_size)


def share_count(heard: int, fleet_size: int) -> float:
    """The same by numbers: `heard` front ends out of `fleet_size`."""
    fleet = max(1, fleet_size)
    return float(heard if 2 * heard > fleet else fleet)
