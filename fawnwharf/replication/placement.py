"""Which replicas store which call: a pure function of the membership, the same at every front end.

Rendezvous hashing (Thaler and Ravishankar 1998): of the zones, and in each zone of its front ends, those with
the highest hash together with the key. A member that comes or goes moves only the calls that it stores
itself.
"""

import hashlib

from fawnwharf.zones.settings import Membership


def rendezvous_weight(*parts: str) -> int:
    """The 64-bit hash of these texts, by which candidates are ranked."""
    return int.from_bytes(hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest(), "big")


class ReplicaPlacement:
    """The replicas of one membership."""

    def __init__(self, members: Membership, zones: int, per_zone: int) -> None:
        """Each call is stored in `zones` zones, by one of `per_zone` replicas in each."""
        self.number = members.number
        candidates: dict[str, list[str]] = {}
        for member in members.members:
            if member.replication_address:
                candidates.setdefault(member.zone, []).append(member.name)
        # Few replicas, so that not every front end has to be connected to all others.
        self.by_zone = {
            zone: sorted(names, key=lambda name: rendezvous_weight("keeper", name), reverse=True)[:per_zone]
            for zone, names in candidates.items()
        }
        self._zones = zones
        self.replicas = sorted(name for names in self.by_zone.values() for name in names)

    def replicas_of(self, key: str) -> tuple[str, ...]:
        """The replicas of a call, one in each zone, in the same order everywhere."""
        ranked = sorted(self.by_zone, key=lambda zone: rendezvous_weight(zone, key), reverse=True)
        return tuple(
            max(self.by_zone[zone], key=lambda name: rendezvous_weight("call", name, key))
            for zone in sorted(ranked[: self._zones])
        )

    def quorum(self, key: str) -> int:
        """How many replicas have to grant a call: any two such sets have one in common."""
        return len(self.replicas_of(key)) // 2 + 1
