"""Tenants' usage over the fleet, and this front end's share of each tenant's quota. No I/O.

Each front end sends the replicas the number of calls of each tenant that it received since its start.
Replicas keep these counters by owner, so repeated or outdated counters change nothing. They derive rates from
the counters and send the sums to all front ends.
"""

from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from fawnwharf.replication import messages as m
from fawnwharf.replication.counters import ReplicationCounter
from fawnwharf.replication.replica import front_end_of

RATE_WINDOW_MS = 3_000.0
MIN_RATE_SPAN_MS = 500.0  # the shortest span over which a rate is computed
COUNTERS_LIFETIME_MS = 2_000.0  # an owner that is silent for longer has no rate
# The fraction of an equal share that a front end may always use, because calls can arrive at any time.
MIN_SHARE_FRACTION = 0.25
MIN_CHANGE_FRACTION = 0.03  # smaller changes of a share are ignored
OWN_OWNER_ID = "me#0"


@dataclass(slots=True)
class _OwnerUsage:
    """The counters of one owner: the latest values and those within the rate window."""

    number: int
    counts: dict[str, int]
    received_ms: float
    window: deque[tuple[float, dict[str, int]]] = field(default_factory=deque)


class UsageTable:
    """A replica's table of all owners' counters, from which it computes rates."""

    def __init__(self) -> None:
        self.owners: dict[str, _OwnerUsage] = {}
        self.dropped: Counter[ReplicationCounter] = Counter()

    def receive(self, now_ms: float, owner: str, counters: m.UsageCounters) -> None:
        """Store an owner's counters, unless they are outdated or have decreased."""
        usage = self.owners.get(owner)
        if usage is None:
            usage = _OwnerUsage(counters.number, dict(counters.counts), now_ms)
            usage.window.append((now_ms, usage.counts))
            self.owners[owner] = usage
            return
        if counters.number <= usage.number:
            self.dropped[ReplicationCounter.USAGE_OUTDATED] += 1
            return
        if any(counters.counts.get(tenant, 0) < count for tenant, count in usage.counts.items()):
            self.dropped[ReplicationCounter.USAGE_DECREASING] += 1
            return
        usage.number = counters.number
        usage.counts = dict(counters.counts)
        usage.received_ms = now_ms
        usage.window.append((now_ms, usage.counts))
        while len(usage.window) > 2 and usage.window[1][0] < now_ms - RATE_WINDOW_MS:
            usage.window.popleft()

    def rates(self, now_ms: float) -> m.UsageRates:
        """Calls per second by tenant, over all owners that are not silent."""
        self.owners = {
            owner: usage
            for owner, usage in self.owners.items()
            if now_ms - usage.received_ms <= COUNTERS_LIFETIME_MS
        }
        rates: dict[str, float] = {}
        for usage in self.owners.values():
            first_ms, first_counts = usage.window[0]
            span_ms = max(MIN_RATE_SPAN_MS, usage.window[-1][0] - first_ms)
            for tenant, count in usage.counts.items():
                calls = count - first_counts.get(tenant, 0)
                rates[tenant] = rates.get(tenant, 0.0) + 1000.0 * calls / span_ms
        front_ends = {front_end_of(owner) for owner in self.owners}
        return m.UsageRates({tenant: round(rate, 2) for tenant, rate in rates.items()}, len(front_ends))


def quota_share(
    quota_rps: float, fleet_size: int, own_rps: float, total_rps: float, front_ends: int
) -> float:
    """This front end's share of a tenant's quota, in calls per second.

    `front_ends` is the number of front ends whose rates are in the total. If they are more than half of the
    fleet, the others are assumed to be down. Otherwise each front end gets an equal share. If the total
    exceeds the quota, the shares are proportional to the rates; if not, the rest is divided equally.
    """
    equal_rps = quota_rps / max(1, fleet_size)
    if 2 * front_ends <= fleet_size:
        return equal_rps
    demand_rps = max(total_rps, own_rps)
    if demand_rps > quota_rps:
        share_rps = quota_rps * own_rps / demand_rps
    else:
        share_rps = own_rps + (quota_rps - demand_rps) / front_ends
    return max(MIN_SHARE_FRACTION * equal_rps, share_rps)


class QuotaShares:
    """A front end's own counters, the last rates from each replica, and the current shares."""

    def __init__(self, quotas_rps: dict[str, float], fleet_size: int) -> None:
        self.quotas_rps, self.fleet_size = quotas_rps, max(1, fleet_size)
        self.counts: dict[str, int] = {}
        self.number = 0
        self._received: dict[str, tuple[float, m.UsageRates]] = {}  # by replica
        self._own = UsageTable()
        self.shares_rps = {tenant: quota / self.fleet_size for tenant, quota in quotas_rps.items()}

    def count_calls(self, tenants: Iterable[str]) -> None:
        """Count one call for each of these tenants that has a quota."""
        for tenant in tenants:
            if tenant in self.quotas_rps:
                self.counts[tenant] = self.counts.get(tenant, 0) + 1

    def change_quotas(self, quotas_rps: dict[str, float]) -> dict[str, float]:
        """Replace the quotas; returns the shares that change, in proportion to their quotas and at once."""
        changed: dict[str, float] = {}
        for tenant, quota_rps in quotas_rps.items():
            before_rps = self.quotas_rps.get(tenant)
            if quota_rps == before_rps:
                continue
            if before_rps:
                changed[tenant] = self.shares_rps[tenant] * quota_rps / before_rps
            else:
                changed[tenant] = quota_rps / self.fleet_size
        self.quotas_rps = dict(quotas_rps)
        self.shares_rps = {
            tenant: changed.get(tenant, self.shares_rps.get(tenant, 0.0)) for tenant in quotas_rps
        }
        return changed

    def next_counters(self, now_ms: float) -> m.UsageCounters:
        """The next counters to send to the replicas."""
        self.number += 1
        counters = m.UsageCounters(self.number, dict(self.counts))
        self._own.receive(now_ms, OWN_OWNER_ID, counters)
        return counters

    def receive(self, now_ms: float, replica: str, rates: m.UsageRates) -> None:
        """Store the rates that a replica sent."""
        self._received[replica] = now_ms, rates

    def changes(self, now_ms: float) -> dict[str, float]:
        """Apply and return the shares that change now, by tenant, in calls per second."""
        fresh = [
            rates
            for received_ms, rates in self._received.values()
            if now_ms - received_ms <= COUNTERS_LIFETIME_MS
        ]
        best = max(fresh, key=lambda rates: rates.front_ends, default=m.UsageRates({}, 0))
        own = self._own.rates(now_ms).rates
        changed: dict[str, float] = {}
        for tenant, quota_rps in self.quotas_rps.items():
            share_rps = quota_share(
                quota_rps, self.fleet_size, own.get(tenant, 0.0), best.rates.get(tenant, 0.0), best.front_ends
            )
            if abs(share_rps - self.shares_rps[tenant]) > MIN_CHANGE_FRACTION * self.shares_rps[tenant]:
                self.shares_rps[tenant] = changed[tenant] = share_rps
        return changed
