"""Incarnations of members, counted as they are heard of. Pure.

Each process of a member has a number of its own, its incarnation. The numbers have no order: they come from a
clock, which may have been set back, and from a disk, which may have been lost. A receiver can only tell that
a number differs from the one before; a number that was followed by another one is of an earlier incarnation
for good.
"""

from dataclasses import dataclass, field

KNOWN_MOST = 16  # lives of a member, the last ones
NAMES_MOST = 10_000


@dataclass(slots=True)
class _Member:
    before: int = 0  # lives that are no longer known
    told: list[int] = field(default_factory=list)


@dataclass(slots=True)
class Lives:
    """Counts incarnations from 1 on, by member: the count is larger after each restart that was heard of."""

    _members: dict[str, _Member] = field(default_factory=dict)

    def heard(self, name: str, told: int) -> int:
        """The count of the incarnation that has this number; 0 where it is an earlier one's."""
        member = self._members.get(name)
        if member is None:
            while len(self._members) >= NAMES_MOST:
                del self._members[next(iter(self._members))]
            member = self._members[name] = _Member()
        if told in member.told[:-1]:
            return 0
        if not member.told or member.told[-1] != told:
            member.told.append(told)
            if len(member.told) > KNOWN_MOST:
                del member.told[0]
                member.before += 1
        return member.before + len(member.told)

    def last(self, name: str) -> int:
        """The count of the incarnation that was heard last; 0 where none was."""
        member = self._members.get(name)
        return member.before + len(member.told) if member else 0

    def told(self, name: str, count: int) -> int:
        """The number of a counted incarnation; 0 where it is not known any more."""
        member = self._members.get(name)
        place = count - member.before - 1 if member else -1
        return member.told[place] if member and 0 <= place < len(member.told) else 0

    def keep(self, names: set[str] | dict[str, str] | tuple[str, ...]) -> None:
        """Forget all members but these."""
        for name in [name for name in self._members if name not in names]:
            del self._members[name]
