"""What is safe without agreement: a minority that returns first, or alone.

Pure. It may be that the others serve too, and can't be heard. So alone a front end does only what stays right
if all others do the same at this moment.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from fawnwharf import interface as io
from fawnwharf.recovery.stages import Allowed


class Alone(Enum):
    """What becomes of a call."""

    SERVE = "serve"
    ANSWER = "give the answer that is known"
    LATER = "refuse with pushback: it may become possible"


@dataclass(frozen=True, slots=True)
class Standing:
    """What this front end knows of a call. Windows count from its start, as scorers may have lost power with
    it and remember no key."""

    known: bool = False  # its own whole store, or an answer of enough keepers, has the call's answer
    granted: bool = False  # more than half of the call's own keepers granted it, as ever
    since_start_ms: float = 0.0


def call(effect: io.Effect, standing: Standing, window_ms: float) -> Alone:
    """`window_ms`: for so long a repeat of a keyed call may come, by the slowest clock.

    At most once takes the grants of the call's own keepers, however few front ends are up: two of three are
    on one side only. A keyed call is dropped as a repeat by scorers that ran it; those that lost power do
    not know. Until all repeats are over, it is taken as at most once."""
    if standing.known:
        return Alone.ANSWER
    if effect is io.Effect.SAFE or standing.granted:
        return Alone.SERVE
    if effect is io.Effect.KEYED and standing.since_start_ms >= window_ms:
        return Alone.SERVE
    return Alone.LATER


def part(mine: int, members: int) -> float:
    """Of the fleet's budgets, for `mine` front ends that hear each other: that of their number on the list.
    Whoever else is up does the same."""
    return min(1.0, mine / max(1, members))


def allowed(worths: Mapping[str, float], mine: int, members: int, rostered: bool, asked: bool) -> Allowed:
    """`rostered`: some scorers came up when dialled, or the roster was heard. `status` is good then, once the
    asking is over: a front end that refuses half of its calls serves more than none.

    Not alone: new plans, policies, numbers of homes, stages; renewal, races and spill, which cost others."""
    able = rostered and asked
    return Allowed(
        status=able,
        repeats=asked,
        classes=frozenset(worths) if able else frozenset(),
        loads=able,
        part=part(mine, members),
        alone=True,
    )
