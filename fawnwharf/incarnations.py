"""Counts the incarnations of fleet members in the order in which they are observed.

Each process of a member has its own incarnation number. The numbers have no order: they come from a clock,
which may have been set back, and from a disk, which may have been lost. A receiver can only tell that a
number differs from the previous one. Once a receiver has observed another number, the previous one belongs to
an earlier incarnation for good.
"""

from collections.abc import Container
from dataclasses import dataclass, field

MAX_KNOWN_INCARNATIONS = 16  # per member; the most recent ones are kept
MAX_MEMBERS = 10_000


@dataclass(slots=True)
class _Member:
    """The observed incarnations of one member."""

    forgotten: int = 0  # number of earlier incarnations whose numbers are no longer stored
    numbers: list[int] = field(default_factory=list)  # of the most recent incarnations, in the order observed

    def count(self) -> int:
        """The count of the most recent incarnation."""
        return self.forgotten + len(self.numbers)


@dataclass(slots=True)
class IncarnationCounter:
    """Counts the incarnations of each member from 1; each observed restart increments the count."""

    _members: dict[str, _Member] = field(default_factory=dict)

    def observe(self, name: str, number: int) -> int:
        """Records the incarnation number in a message from a member.

        Returns the count of that incarnation, or 0 if the number belongs to an earlier incarnation.
        """
        member = self._members.get(name)
        if member is None:
            member = self._add(name)
        if number in member.numbers[:-1]:
            return 0
        if not member.numbers or member.numbers[-1] != number:
            member.numbers.append(number)
            if len(member.numbers) > MAX_KNOWN_INCARNATIONS:
                del member.numbers[0]
                member.forgotten += 1
        return member.count()

    def _add(self, name: str) -> _Member:
        """Adds a member; removes the oldest ones so that there are at most `MAX_MEMBERS`."""
        while len(self._members) >= MAX_MEMBERS:
            del self._members[next(iter(self._members))]
        member = self._members[name] = _Member()
        return member

    def last_count(self, name: str) -> int:
        """The count of a member's most recent incarnation; 0 for an unknown member."""
        member = self._members.get(name)
        return member.count() if member else 0

    def number_of(self, name: str, count: int) -> int:
        """The incarnation number with this count; 0 if it is not stored."""
        member = self._members.get(name)
        if member is None:
            return 0
        position = count - member.forgotten - 1
        return member.numbers[position] if 0 <= position < len(member.numbers) else 0

    def retain(self, names: Container[str]) -> None:
        """Removes all members except these."""
        for name in [name for name in self._members if name not in names]:
            del self._members[name]
