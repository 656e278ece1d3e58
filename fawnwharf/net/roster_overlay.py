"""The layer between the roster as it is reported and the roster that is used. Pure.

Whoever may take scorers out of service (operators, a plan, outlier ejection) sets a filter over the roster. A
scorer that any filter closes is reported as draining: it receives nothing new, and what runs there completes.
So the router's rules on drains, retries and slow start apply to all of them alike.
"""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from fawnwharf.config import Fleet, Member

RosterFilter = Callable[[Member], bool]  # whether it closes this scorer


class RosterOverlay:
    """Stores the scorers as they were reported, and returns them as the filters leave them."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}  # as reported, by id
        self.revision = 0
        self._filters: dict[str, RosterFilter] = {}  # by who set it
        # Scorers that count as started then, whatever was reported; Unix milliseconds.
        self._restarted_ms: dict[str, float] = {}

    def apply(self, fleet: Fleet) -> Fleet:
        """Store a reported list, or changes of it, and return it as it is to be used."""
        if fleet.complete:
            self.members.clear()
        for member in fleet.members:
            self.members[member.id] = self._with_known_address(member)
        self.revision = max(self.revision, fleet.revision)
        filtered = [self._filtered(self.members[member.id]) for member in fleet.members]
        for member in fleet.members:
            if member.phase == "terminated":
                self.members.pop(member.id, None)
                self._restarted_ms.pop(member.id, None)
        return Fleet(filtered, fleet.complete, fleet.revision)

    def _with_known_address(self, member: Member) -> Member:
        """The member with the address, and the locality, of the last report where it states none."""
        known = self.members.get(member.id)
        if not known or member.host_port:
            return member
        changes: dict[str, Any] = {"host_port": known.host_port}
        if not member.locality:
            changes["locality"] = known.locality
        return msgspec.structs.replace(member, **changes)

    def set_filter(self, who: str, closer: RosterFilter | None) -> Fleet:
        """Set `who`'s filter in place of its earlier one, or remove it (None); return what that changes.

        A filter decides by values that never change. Where those would change (another plan, other ejected
        scorers), a new filter is set: one that decided differently by itself would not be noticed.
        """
        before = {member_id: self._phase(member) for member_id, member in self.members.items()}
        if closer is None:
            self._filters.pop(who, None)
        else:
            self._filters[who] = closer
        return self._changes(
            member_id
            for member_id, member in self.members.items()
            if self._phase(member) != before[member_id]
        )

    def open_except_for(self, who: str) -> list[Member]:
        """The scorers in service that no filter but `who`'s closes: those it may keep closed, or reopen."""
        return [
            member
            for member in self.members.values()
            if member.phase == "in_service" and not self._is_closed(member, who)
        ]

    def mark_restarted(self, ids: Iterable[str], now_ms: float) -> Fleet:
        """Have these scorers count as started at `now_ms` (Unix milliseconds); return the changes.

        They warm up again from then on. Unknown ids are ignored.
        """
        found = [member_id for member_id in ids if member_id in self.members]
        self._restarted_ms.update(dict.fromkeys(found, now_ms))
        return self._changes(found)

    def _changes(self, ids: Iterable[str]) -> Fleet:
        members = [self._filtered(self.members[member_id]) for member_id in ids]
        return Fleet(members, False, self.revision)

    def _phase(self, member: Member) -> str:
        """Filters only ever close; what drains or is gone as reported stays so."""
        return "terminating" if member.phase == "in_service" and self._is_closed(member) else member.phase

    def _is_closed(self, member: Member, except_for: str | None = None) -> bool:
        return any(closer(member) for who, closer in self._filters.items() if who != except_for)

    def _filtered(self, member: Member) -> Member:
        up_since_ms = max(member.up_since_ms, self._restarted_ms.get(member.id, 0.0))
        return msgspec.structs.replace(member, phase=self._phase(member), up_since_ms=up_since_ms)
