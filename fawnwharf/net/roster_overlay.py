"""What stands between the roster as it is told and what is gone by. Pure.

Whoever may close scorers (operators, a plan, hints on bad ones) lays a closer over the roster. A scorer that
any of them closes is told as one that drains: nothing new goes there, and what runs there ends in its time.
So the module's own rules on drains, repeats and cold scorers hold for all of them alike.
"""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from fawnwharf.config import Fleet, Member

RosterFilter = Callable[[Member], bool]


class RosterOverlay:
    """Keeps the scorers as they are told, and tells them as the closers leave them."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}  # as told
        self.revision = 0
        self._filters: dict[str, RosterFilter] = {}
        self._restarted_ms: dict[str, float] = {}  # cold since then, whatever was told; Unix milliseconds

    def apply(self, fleet: Fleet) -> Fleet:
        """Take what is told, and give it as it is to be gone by."""
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
        laid = [self._filtered(self.members[member.id]) for member in fleet.members]
        for member in fleet.members:
            if member.phase == "terminated":
                self.members.pop(member.id, None)
                self._restarted_ms.pop(member.id, None)
        return Fleet(laid, fleet.complete, fleet.revision)

    def set_filter(self, who: str, closer: RosterFilter | None) -> Fleet:
        """Lay a closer over the roster in place of `who`'s earlier one, or take it away; the changes that it
        makes to what was told last.

        A closer goes by values that stay as they are. Where those change (another plan, other scorers that
        rest), a new one is laid: one that changed its mind by itself would change nothing that was told."""
        before = {id: self._phase(member) for id, member in self.members.items()}
        if closer is None:
            self._filters.pop(who, None)
        else:
            self._filters[who] = closer
        return self._changes(id for id, member in self.members.items() if self._phase(member) != before[id])

    def open_except_for(self, who: str) -> list[Member]:
        """The scorers in service that nobody but `who` closes: what it may go on closing, or open again."""
        return [m for m in self.members.values() if m.phase == "in_service" and not self._is_closed(m, who)]

    def mark_restarted(self, ids: Iterable[str], now_ms: float) -> Fleet:
        """These count as started at this moment: they come back cold. The changes that it makes."""
        found = [id for id in ids if id in self.members]
        self._restarted_ms.update(dict.fromkeys(found, now_ms))
        return self._changes(found)

    def _changes(self, ids: Iterable[str]) -> Fleet:
        return Fleet([self._filtered(self.members[id]) for id in ids], False, self.revision)

    def _phase(self, member: Member) -> str:
        """Closers only ever close; what drains or is gone as told stays so."""
        return "terminating" if member.phase == "in_service" and self._is_closed(member) else member.phase

    def _is_closed(self, member: Member, but: str | None = None) -> bool:
        return any(closer(member) for who, closer in self._filters.items() if who != but)

    def _filtered(self, member: Member) -> Member:
        up_since_ms = max(member.up_since_ms, self._restarted_ms.get(member.id, 0.0))
        return msgspec.structs.replace(member, phase=self._phase(member), up_since_ms=up_since_ms)
