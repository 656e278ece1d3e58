"""The roster as a plan leaves it: what stands between the change log and the module. Pure.

A scorer that the plan closes is told as one that drains: nothing new goes there, and what runs there ends in
its time. So the module's own rules on drains, repeats and cold scorers hold through every change of plan.
"""

from typing import Any

import msgspec

from fawnwharf.config import Fleet, Member
from fawnwharf.zones import plan as p


class Roster:
    """Keeps the scorers as the change log tells them, and tells them as the plan in force leaves them."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.plan: p.Plan | None = None
        self.members: dict[str, Member] = {}  # as told
        self.revision = 0

    def told(self, fleet: Fleet) -> Fleet:
        """Take what the change log tells, and give it as it is to be gone by."""
        if fleet.complete:
            self.members.clear()
        for member in fleet.members:
            known = self.members.get(member.id)
            if known and not member.host_port:
                changes: dict[str, Any] = {"host_port": known.host_port}
                changes |= {} if member.locality else {"locality": known.locality}
                member = msgspec.structs.replace(member, **changes)
            self.members[member.id] = member
        self.revision = max(self.revision, fleet.revision)
        lowered = [self._lowered(self.members[member.id], member) for member in fleet.members]
        gone = [id for id, member in self.members.items() if member.phase == "terminated"]
        for id in gone:
            del self.members[id]
        return Fleet(lowered, fleet.complete, fleet.revision)

    def follow(self, plan: p.Plan | None) -> Fleet:
        """Go by another plan, or by none; the changes that it makes to what was told last."""
        before = {id: self._phase(member) for id, member in self.members.items()}
        self.plan = plan
        changed = [
            self._lowered(member, member)
            for id, member in self.members.items()
            if self._phase(member) != before[id]
        ]
        return Fleet(changed, False, self.revision)

    def _phase(self, member: Member) -> str:
        """A plan only ever closes; what drains or is gone for the change log stays so."""
        if member.phase != "in_service" or self.plan is None:
            return member.phase
        zones = p.open_zones(self.plan, self.zone)
        if zones is not None and member.locality in self.plan.zones and member.locality not in zones:
            return "terminating"
        return member.phase if p.is_open(self.plan, member.locality, member.id) else "terminating"

    def _lowered(self, known: Member, member: Member) -> Member:
        return msgspec.structs.replace(member, phase=self._phase(known))

    def sizes(self) -> dict[str, float]:
        """What is in service in each zone, in units, as the change log tells."""
        found: dict[str, float] = {}
        for member in self.members.values():
            if member.phase == "in_service":
                found[member.locality] = found.get(member.locality, 0.0) + member.size
        return found

    def in_zone(self, zone: str) -> list[Member]:
        """The zone's scorers that are in service for the change log, whatever the plan says, in a
        fixed order."""
        found = [m for m in self.members.values() if m.locality == zone and m.phase == "in_service"]
        return sorted(found, key=lambda member: member.id)

    def admission(self) -> float:
        """The part of this front end's calls that may be served under the plan in force."""
        return 1.0 if self.plan is None else p.admission(self.plan, self.zone)
