"""The placement of calls on replicas: a pure function of the membership, the same at every front end.

Uses rendezvous hashing (Thaler and Ravishankar 1998): it chooses the zones, and in each zone the front end,
with the highest hash of name and key. Adding or removing a member moves only the calls that the member itself
stores.
"""

import hashlib

from fawnwharf.zones.settings import Membership


def rendezvous_weight(*parts: str) -> int:
    """The 64-bit hash of these texts, used to rank candidates."""
    return int.from_bytes(hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest(), "big")


class ReplicaPlacement:
    """The replicas of one membership."""

    def __init__(self, members: Membership, zones: int, per_zone: int) -> None:
        """Store each call in `zones` zones, on one of the `per_zone` replicas of each zone."""
        self.number = members.number
        candidates: dict[str, list[str]] = {}
        for member in members.members:
            if member.replication_address:
                candidates.setdefault(member.zone, []).append(member.name)
        # The number of replicas is limited so that not every front end must connect to all others.
        self.by_zone = {
            zone: sorted(names, key=lambda name: rendezvous_weight("keeper", name), reverse=True)[:per_zone]
            for zone, names in candidates.items()
        }
        self._zones = zones
        self.replicas = sorted(name for names in self.by_zone.values() for name in names)

    def replicas_of(self, key: str) -> tuple[str, ...]:
        """The replicas of a call, one per chosen zone, in the same order at every front end."""
        ranked = sorted(self.by_zone, key=lambda zone: rendezvous_weight(zone, key), reverse=True)
        return tuple(
            max(self.by_zone[zone], key=lambda name: rendezvous_weight("call", name, key))
            for zone in sorted(ranked[: self._zones])
        )

    def max_quorum(self) -> int:
        """The quorum of any call; with 1, a single replica grants calls without the others."""
        return min(self._zones, len(self.by_zone)) // 2 + 1

    def quorum(self, key: str) -> int:
        """How many replicas must grant a call, so that any two quorums share a replica."""
        return len(self.replicas_of(key)) // 2 + 1
