"""Who keeps what: a pure function of the members, the same at every front end that has the same file.

Rendezvous hashing (Thaler and Ravishankar 1998): of the zones, and in each zone of its front ends, those with
the highest hash together with what is placed. A member that comes or goes moves only what it keeps itself.
"""

import hashlib

from fawnwharf.zones.settings import Membership


def rendezvous_weight(*parts: str) -> int:
    return int.from_bytes(hashlib.blake2b("\0".join(parts).encode(), digest_size=8).digest(), "big")


class ReplicaPlacement:
    """Owns the keepers of one file of members. `zones` keep each call, by one of `per_zone` each."""

    def __init__(self, members: Membership, zones: int, per_zone: int) -> None:
        self.number = members.number
        able: dict[str, list[str]] = {}
        for member in members.members:
            if member.state:
                able.setdefault(member.zone, []).append(member.name)
        # Few keepers, so that nobody has to be connected to all others.
        self.by_zone = {
            zone: sorted(names, key=lambda name: rendezvous_weight("keeper", name), reverse=True)[:per_zone]
            for zone, names in able.items()
        }
        self._zones = zones
        self.replicas = sorted(name for names in self.by_zone.values() for name in names)

    def replicas_of(self, key: str) -> tuple[str, ...]:
        """The keepers of a call, a zone each, the same order everywhere."""
        zones = sorted(self.by_zone, key=lambda zone: rendezvous_weight(zone, key), reverse=True)[
            : self._zones
        ]
        return tuple(
            max(self.by_zone[zone], key=lambda name: rendezvous_weight("call", name, key))
            for zone in sorted(zones)
        )

    def quorum(self, key: str) -> int:
        """Keepers whose word makes a promise: any two such sets have one in common."""
        return len(self.replicas_of(key)) // 2 + 1
