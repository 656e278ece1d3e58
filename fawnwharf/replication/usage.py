"""What the fleet takes of each tenant's calls, and so what part of a tenant's quota each front end may take.

Pure. Front ends tell keepers how many calls of each tenant came to them since they started: counters by
owner, of which a repeat or an older one changes nothing. Keepers make rates of them, and tell the sums.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from fawnwharf.replication import messages as m

WINDOW_MS = 3_000.0  # over which a rate is taken
LIFE_MS = 2_000.0  # without news for so long an owner's rate is no more
MIN_SHARE_PART = (
    0.25  # of an equal part: what a front end may take at the least, as its calls can come at any moment
)
NEWS = 0.03  # a share that changed by less is not told


@dataclass(slots=True)
class _Owner:
    number: int
    counts: dict[str, int]
    heard_ms: float
    past: deque[tuple[float, dict[str, int]]] = field(default_factory=deque)


class UsageTable:
    """A keeper's: the counters of each owner, and the rates that they amount to."""

    def __init__(self) -> None:
        self.owners: dict[str, _Owner] = {}
        self.dropped: dict[str, int] = {}

    def _drop(self, cause: str) -> None:
        self.dropped[cause] = self.dropped.get(cause, 0) + 1

    def receive(self, now_ms: float, owner: str, use: m.UsageCounters) -> None:
        """Counters of one owner. What is not later, or goes down, changes nothing."""
        known = self.owners.get(owner)
        if known is None:
            found = _Owner(use.number, dict(use.counts), now_ms)
            found.past.append((now_ms, found.counts))
            self.owners[owner] = found
            return
        if use.number <= known.number:
            self._drop("an older use")
            return
        if any(use.counts.get(tenant, 0) < count for tenant, count in known.counts.items()):
            self._drop("a count that goes down")
            return
        known.number, known.counts, known.heard_ms = use.number, dict(use.counts), now_ms
        known.past.append((now_ms, known.counts))
        while len(known.past) > 2 and known.past[1][0] < now_ms - WINDOW_MS:
            known.past.popleft()

    def rates(self, now_ms: float) -> m.UsageRates:
        """Calls a second by tenant, of the owners that are heard."""
        self.owners = {o: held for o, held in self.owners.items() if now_ms - held.heard_ms <= LIFE_MS}
        rates: dict[str, float] = {}
        for held in self.owners.values():
            began, first = held.past[0]
            span = max(500.0, held.past[-1][0] - began)
            for tenant, count in held.counts.items():
                rates[tenant] = rates.get(tenant, 0.0) + 1000.0 * (count - first.get(tenant, 0)) / span
        fronts = {owner.partition("#")[0] for owner in self.owners}
        return m.UsageRates({tenant: round(rate, 2) for tenant, rate in rates.items()}, len(fronts))


def quota_share(quota_rps: float, fronts: int, mine_rps: float, sum_rps: float, heard: int) -> float:
    """What this front end may take of a tenant's quota, in calls a second.

    `fronts` are all of the fleet, `heard` those whose rates are in the sum. Where most are heard, the others
    are held to be gone; else each takes an equal part, as without news. What is asked for is given in
    proportion where it is more than the quota; where it is less, what is left is spread evenly."""
    equal = quota_rps / max(1, fronts)
    if 2 * heard <= fronts:
        return equal
    total = max(sum_rps, mine_rps)
    short = total > quota_rps
    wanted = quota_rps * mine_rps / total if short else mine_rps + (quota_rps - total) / heard
    return max(MIN_SHARE_PART * equal, wanted)


class QuotaShares:
    """A front end's: its own counters, what keepers told last, and the shares that it goes by."""

    def __init__(self, quotas_rps: dict[str, float], fronts: int) -> None:
        self.quotas_rps, self.fronts = quotas_rps, max(1, fronts)
        self.counts: dict[str, int] = {}
        self.number = 0
        self._told: dict[str, tuple[float, m.UsageRates]] = {}  # by keeper
        self._own = UsageTable()
        self.shares_rps = {tenant: quota / self.fronts for tenant, quota in quotas_rps.items()}

    def count_calls(self, tenants: Iterable[str]) -> None:
        for tenant in tenants:
            if tenant in self.quotas_rps:
                self.counts[tenant] = self.counts.get(tenant, 0) + 1

    def change_quotas(self, quotas_rps: dict[str, float]) -> dict[str, float]:
        """Other quotas from now on; the shares that change with them, at once and in proportion."""
        found = {}
        for tenant, quota in quotas_rps.items():
            before, equal = self.quotas_rps.get(tenant), quota / self.fronts
            if quota != before:
                found[tenant] = self.shares_rps[tenant] * quota / before if before else equal
        self.quotas_rps = dict(quotas_rps)
        self.shares_rps = {
            tenant: found.get(tenant, self.shares_rps.get(tenant, 0.0)) for tenant in quotas_rps
        }
        return found

    def next_counters(self, now_ms: float) -> m.UsageCounters:
        """The counters, to be told to the keepers."""
        self.number += 1
        told = m.UsageCounters(self.number, dict(self.counts))
        self._own.receive(now_ms, "me#0", told)
        return told

    def receive(self, now_ms: float, keeper: str, sums: m.UsageRates) -> None:
        self._told[keeper] = now_ms, sums

    def changes(self, now_ms: float) -> dict[str, float]:
        """Shares that are to be gone by from now on, where they differ from the last ones, in calls a
        second."""
        fresh = [sums for at_ms, sums in self._told.values() if now_ms - at_ms <= LIFE_MS]
        best = max(fresh, key=lambda sums: sums.front_ends, default=m.UsageRates({}, 0))
        mine = self._own.rates(now_ms).rates
        found = {}
        for tenant, quota in self.quotas_rps.items():
            new = quota_share(
                quota, self.fronts, mine.get(tenant, 0.0), best.rates.get(tenant, 0.0), best.front_ends
            )
            if abs(new - self.shares_rps[tenant]) > NEWS * self.shares_rps[tenant]:
                self.shares_rps[tenant] = found[tenant] = new
        return found
