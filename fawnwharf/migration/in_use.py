"""What a router holds of sessions in use: their placements, calls in flight, and quotas used. Pure."""

from dataclasses import dataclass

from msgspec import Struct

from fawnwharf.session_types import Placement, Session

Spent = tuple[tuple[str, int], ...]


def spent(one: Spent, other: Spent) -> Spent:
    """What was used of a quota, by who counted it.

    The larger count of each (a grow-only counter, Shapiro 2011).

    The sum counts each call once, however often and on whichever side it is told.
    """
    counts = dict(one)
    for name, count in other:
        counts[name] = max(count, counts.get(name, 0))
    return tuple(sorted(counts.items()))


class Seen(Struct, gc=False):
    """A session's placement as this front end goes by it, and its use."""

    home: Placement
    used_ms: float
    told_ms: float  # when keepers were last told that it is in use
    under_way: dict[int, int] | None = None  # calls by number
    asks: str = ""  # the mover that waits for those of smaller numbers
    source: str = ""
    used_there: bool = False  # it was told that others use the old site from here


@dataclass(slots=True)
class OpenCall:
    """A call in flight, and the number that it goes by."""

    session: Session
    number: int
    until_ms: float
    sent: bool = False
