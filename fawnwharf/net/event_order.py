"""Orders the events of the change log: determines which event has the newest state of each scorer. No I/O.

Events may arrive twice, late or out of order. For each scorer the event with the highest number counts, so
that the outcome does not depend on the order of arrival. A change log that lost its events restarts its
numbering at 1. That is detected by an event whose content differs from the earlier event of the same number.
"""

import hashlib
from collections.abc import Collection
from enum import Enum, auto

import msgspec

from fawnwharf.config import Fleet, Member

MAX_EVENTS = 2_048  # remembered events: the first one and the most recently applied ones
MAX_SCORERS = 10_000  # scorers whose last event is remembered, including removed ones

_encode = msgspec.json.Encoder(order="deterministic").encode


class EventMatch(Enum):
    """How an event compares with an earlier event of the same number."""

    NEW = auto()  # no event of this number is known
    SAME = auto()
    DIFFERENT = auto()  # its content differs, so the change log has restarted its numbering


class EventOrder:
    """Remembers a digest of each event, and which event determined the state of each scorer."""

    def __init__(self) -> None:
        self.revision = 0  # the highest revision received
        # By event number: digest, whether it is a complete list, revision.
        self._events: dict[int, tuple[bytes, bool, int]] = {}
        self._scorers: dict[str, tuple[int, bool]] = {}  # by id: number of the last event, whether listed
        # By address: the scorer that was in service there by the newest event, and that event's number.
        self._owners: dict[str, tuple[str, int]] = {}
        self._newest_number = 0  # the highest event number received
        self._newest_complete_number = (
            0  # the number of the newest complete list, which replaces all earlier events
        )

    @property
    def empty(self) -> bool:
        """Whether no event has been applied yet."""
        return not self._events

    def compare(self, seq: int, fleet: Fleet) -> EventMatch:
        """Compare an event with the one of the same number that was applied."""
        if (known := self._events.get(seq)) is None:
            return EventMatch.NEW
        digest, complete, revision = known
        # A complete list of the same revision may replace a change, as the configuration's list does.
        summarized = complete != fleet.complete and bool(revision) and revision == fleet.revision
        return EventMatch.SAME if summarized or digest == _digest(fleet) else EventMatch.DIFFERENT

    def is_renumbered(self, seq: int, fleet: Fleet) -> bool:
        """Whether an event of an unknown number cannot be a late one, so that the numbering has restarted."""
        return seq < self._newest_number and 0 < self.revision < fleet.revision

    def is_listed(self, scorer_id: str) -> bool:
        """Whether the events applied so far list a scorer."""
        return self._scorers.get(scorer_id, (0, False))[1]

    def apply(self, seq: int, fleet: Fleet, unreadable_ids: Collection[str] = ()) -> Fleet:
        """Record an event, and return the part of it that no later event has replaced.

        A complete list removes the scorers that it does not name, except for `unreadable_ids`.
        """
        self._remember(seq, fleet)
        members = [member for member in fleet.members if seq >= self._last_event(member.id)]
        members, superseded = self._resolve_addresses(seq, members)
        removed = self._removed(seq, fleet, unreadable_ids) if fleet.complete else []
        removed += [scorer_id for scorer_id in superseded if scorer_id not in removed]
        for member in members:
            self._record(member.id, seq, listed=member.phase != "terminated")
        for scorer_id in removed:
            self._record(scorer_id, seq, listed=False)
        complete = fleet.complete and seq >= self._newest_number and not unreadable_ids
        self._newest_number = max(self._newest_number, seq)
        if fleet.complete:
            self._newest_complete_number = max(self._newest_complete_number, seq)
        self.revision = max(self.revision, fleet.revision)
        if not complete:
            members += [Member(scorer_id, "terminated") for scorer_id in removed]
        return msgspec.structs.replace(fleet, members=members, complete=complete)

    def forget(self, seq: int) -> None:
        """Forget an event that could not be delivered, so that it counts as new when it is received again."""
        self._events.pop(seq, None)

    def _resolve_addresses(self, seq: int, members: list[Member]) -> tuple[list[Member], list[str]]:
        """Let an address belong to the scorer that came there by the newest event.

        Returns the members with those of an older event as terminated, and the ids of the scorers that others
        have superseded. PROTOCOL, "The change log": "A new scorer may have the address of one that has gone."
        The event that says so may come late or not at all.
        """
        resolved: list[Member] = []
        superseded: list[str] = []
        for member in members:
            is_late = False
            if member.phase == "in_service" and member.host_port:
                owner, owned_since = self._owners.get(member.host_port, (member.id, seq))
                is_other = owner != member.id and self.is_listed(owner)
                is_late = is_other and owned_since > seq
                if is_other and owned_since < seq:
                    superseded.append(owner)
                if not is_late:
                    self._own(member.host_port, member.id, seq)
            resolved.append(Member(member.id, "terminated") if is_late else member)
        named = {member.id for member in members}
        return resolved, [scorer_id for scorer_id in superseded if scorer_id not in named]

    def _own(self, address: str, scorer_id: str, seq: int) -> None:
        self._owners.pop(address, None)
        self._owners[address] = scorer_id, seq
        if len(self._owners) > MAX_SCORERS:
            del self._owners[next(iter(self._owners))]

    def _removed(self, seq: int, fleet: Fleet, unreadable_ids: Collection[str]) -> list[str]:
        named = {member.id for member in fleet.members}.union(unreadable_ids)
        return [
            scorer_id
            for scorer_id, (last_event, listed) in self._scorers.items()
            if listed and last_event < seq and scorer_id not in named
        ]

    def _last_event(self, scorer_id: str) -> int:
        return max(self._newest_complete_number, self._scorers.get(scorer_id, (0, False))[0])

    def _record(self, scorer_id: str, seq: int, listed: bool) -> None:
        self._scorers.pop(scorer_id, None)
        self._scorers[scorer_id] = seq, listed
        if len(self._scorers) > MAX_SCORERS:
            del self._scorers[next(iter(self._scorers))]

    def _remember(self, seq: int, fleet: Fleet) -> None:
        self._events.pop(seq, None)
        self._events[seq] = _digest(fleet), fleet.complete, fleet.revision
        if len(self._events) > MAX_EVENTS:
            oldest = next(number for number in self._events if number != 1)
            del self._events[oldest]


def _digest(fleet: Fleet) -> bytes:
    return hashlib.blake2b(_encode(fleet), digest_size=16).digest()
