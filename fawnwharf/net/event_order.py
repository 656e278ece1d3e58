"""The order of the change log's events: which one said the newest of each scorer. Pure.

Events may come twice, late, or in another order than they were numbered. Of each scorer the event with the
highest number counts, so the outcome is the same in whatever order they come. A log that lost its events
numbers them from 1 again; it is known by an event that says something else than the one of the same number.
"""

import hashlib
from collections.abc import Collection
from enum import Enum, auto

import msgspec

from fawnwharf.config import Fleet, Member

MAX_EVENTS = 2_048  # whose content is remembered, those told last; and the first one
MAX_SCORERS = 10_000  # whose last event is remembered, those told last; removed ones among them

_encode = msgspec.json.Encoder(order="deterministic").encode


class EventMatch(Enum):
    """Whether an event of this number was told before."""

    NEVER = auto()
    SAME = auto()
    OTHERWISE = auto()  # with other content: it belongs to another numbering


class EventOrder:
    """Remembers what each event said, and on which event each scorer's state rests."""

    def __init__(self) -> None:
        self.revision = 0  # the highest one told
        self._events: dict[int, tuple[bytes, bool, int]] = {}  # by number: digest, whether whole, revision
        self._scorers: dict[str, tuple[int, bool]] = {}  # by id: number of the last event, whether listed
        self._newest = 0  # the highest number told
        self._whole = 0  # of the newest whole list: no earlier event says anything about anyone

    @property
    def empty(self) -> bool:
        """Whether no event was taken."""
        return not self._events

    def told(self, seq: int, fleet: Fleet) -> EventMatch:
        """Compare an event with the one that was taken under its number."""
        if (known := self._events.get(seq)) is None:
            return EventMatch.NEVER
        digest, complete, revision = known
        # A whole list may stand in for the change of the same number: the start's list does.
        summed_up = complete != fleet.complete and bool(revision) and revision == fleet.revision
        return EventMatch.SAME if summed_up or digest == _digest(fleet) else EventMatch.OTHERWISE

    def of_other_numbers(self, seq: int, fleet: Fleet) -> bool:
        """Whether an event that was not told before can't be an earlier one of this numbering."""
        return seq < self._newest and 0 < self.revision < fleet.revision

    def knows(self, id: str) -> bool:
        """Whether a scorer is listed by what was told."""
        return self._scorers.get(id, (0, False))[1]

    def take(self, seq: int, fleet: Fleet, spared: Collection[str] = ()) -> Fleet:
        """What an event says that no later one has said already. A whole list removes those that it does not
        name, but for the `spared`."""
        self._remember(seq, fleet)
        members = [member for member in fleet.members if seq >= self._number(member.id)]
        removed = self._removed(seq, fleet, spared) if fleet.complete else []
        for member in members:
            self._note(member.id, seq, member.phase != "terminated")
        for id in removed:
            self._note(id, seq, False)
        whole = fleet.complete and seq >= self._newest and not spared
        self._newest = max(self._newest, seq)
        if fleet.complete:
            self._whole = max(self._whole, seq)
        self.revision = max(self.revision, fleet.revision)
        if not whole:
            members += [Member(id, "terminated") for id in removed]
        return msgspec.structs.replace(fleet, members=members, complete=whole)

    def forget(self, seq: int) -> None:
        """An event could not be passed on: told again, it counts as never told."""
        self._events.pop(seq, None)

    def _removed(self, seq: int, fleet: Fleet, spared: Collection[str]) -> list[str]:
        named = {member.id for member in fleet.members}.union(spared)
        return [id for id, (at, listed) in self._scorers.items() if listed and at < seq and id not in named]

    def _number(self, id: str) -> int:
        return max(self._whole, self._scorers.get(id, (0, False))[0])

    def _note(self, id: str, seq: int, listed: bool) -> None:
        self._scorers.pop(id, None)
        self._scorers[id] = seq, listed
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
