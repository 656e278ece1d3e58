"""Filters between the reported roster and the roster that the router uses. No I/O.

Each component that may take scorers out of service (operators, a zone plan, outlier ejection) sets a filter.
A scorer that any filter excludes is reported as draining: it receives no new work, and its running requests
complete. The router's rules for drains, retries and slow start apply to it as to any draining scorer.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from fawnwharf.config import Fleet, Member

MAX_RESTART_TIMES = 10_000  # of scorers; the latest are kept

RosterFilter = Callable[[Member], bool]  # whether it excludes this scorer


class RosterOverlay:
    """Stores the scorers as reported, and returns them with the filters applied."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}  # as reported, by id
        self.revision = 0
        self._filters: dict[str, RosterFilter] = {}  # by the name of the component that set it
        # Start times in Unix milliseconds that override earlier reported ones, by id. The scorer may not be
        # listed yet.
        self.restart_times_ms: dict[str, float] = {}

    def apply(self, fleet: Fleet) -> Fleet:
        """Store a reported list, or changes of it, and return it with the filters applied."""
        ended = {
            member.id
            for member in fleet.members
            if member.phase == "terminated" and member.id in self.members
        }
        if fleet.complete:
            self.members.clear()
        for member in fleet.members:
            self.members[member.id] = self._with_known_address(member)
        self.revision = max(self.revision, fleet.revision)
        filtered = [self._filtered(self.members[member.id]) for member in fleet.members]
        for member in fleet.members:
            if member.phase == "terminated":
                self.members.pop(member.id, None)
        for member_id in ended:
            self.restart_times_ms.pop(member_id, None)
        return Fleet(filtered, fleet.complete, fleet.revision)

    def _with_known_address(self, member: Member) -> Member:
        """The member, completed with the last reported address and locality if it states no address."""
        known = self.members.get(member.id)
        if not known or member.host_port:
            return member
        changes: dict[str, Any] = {"host_port": known.host_port}
        if not member.locality:
            changes["locality"] = known.locality
        return msgspec.structs.replace(member, **changes)

    def set_filter(self, who: str, roster_filter: RosterFilter | None) -> Fleet:
        """Set or replace the filter of the component `who`, or remove it (None); return the changes.

        The result of a filter for a scorer must not change while it is set, as that would not be noticed. For
        another plan or other ejected scorers, set a new filter.
        """
        before = {member_id: self._phase(member) for member_id, member in self.members.items()}
        if roster_filter is None:
            self._filters.pop(who, None)
        else:
            self._filters[who] = roster_filter
        return self._changes(
            member_id
            for member_id, member in self.members.items()
            if self._phase(member) != before[member_id]
        )

    def in_service_except_for(self, who: str) -> list[Member]:
        """The scorers in service that no filter excludes, apart from that of `who`."""
        return [
            member
            for member in self.members.values()
            if member.phase == "in_service" and not self._is_excluded(member, who)
        ]

    def mark_restarted(self, ids: Iterable[str], now_ms: float) -> Fleet:
        """Set the start time of these scorers to `now_ms` (Unix milliseconds); return the changes.

        Slow start begins again for them. A scorer that is not listed now begins it when it is.
        """
        return self.set_restart_times(dict.fromkeys(ids, now_ms))

    def set_restart_times(self, restart_times_ms: Mapping[str, float]) -> Fleet:
        """Set start times by id, in Unix milliseconds, as `mark_restarted` does; return the changes."""
        for member_id, restarted_ms in restart_times_ms.items():
            self.restart_times_ms.pop(member_id, None)
            self.restart_times_ms[member_id] = restarted_ms
        for member_id in list(self.restart_times_ms)[:-MAX_RESTART_TIMES]:
            del self.restart_times_ms[member_id]
        return self._changes(member_id for member_id in restart_times_ms if member_id in self.members)

    def _changes(self, ids: Iterable[str]) -> Fleet:
        members = [self._filtered(self.members[member_id]) for member_id in ids]
        return Fleet(members, False, self.revision)

    def _phase(self, member: Member) -> str:
        """The phase with the filters applied, which can only change it from in service to terminating."""
        return "terminating" if member.phase == "in_service" and self._is_excluded(member) else member.phase

    def _is_excluded(self, member: Member, except_for: str | None = None) -> bool:
        return any(roster_filter(member) for who, roster_filter in self._filters.items() if who != except_for)

    def _filtered(self, member: Member) -> Member:
        up_since_ms = max(member.up_since_ms, self.restart_times_ms.get(member.id, 0.0))
        return msgspec.structs.replace(member, phase=self._phase(member), up_since_ms=up_since_ms)
