"""What is safe without agreement: for a minority that returns first, or a single front end. Pure.

The others may be serving too, and not be heard. So without a leader a front end does only what stays right if
all others do the same at this moment.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from fawnwharf import interface as io
from fawnwharf.recovery_core.phases import AllowedActions


class CallDecision(Enum):
    """What becomes of a call."""

    SERVE = "serve"
    ANSWER = "give the answer that is known"
    LATER = "refuse with pushback: it may become possible"


@dataclass(frozen=True, slots=True)
class CallKnowledge:
    """What this front end knows of a call.

    Windows count from its start, as scorers may have lost power with it and remember no key.
    """

    known: bool = False  # its own whole store, or an answer of enough keepers, has the call's answer
    granted: bool = False  # more than half of the call's own keepers granted it, as ever
    since_start_ms: float = 0.0


def decide_call(effect: io.Effect, standing: CallKnowledge, window_ms: float) -> CallDecision:
    """What to do with a call.

    `window_ms` is for how long a repeat of a keyed call may come, by the slowest clock. An at-most-once call
    takes the grants of its own replicas, however few front ends are up: two of three are on one side only. A
    keyed call is dropped as a repeat by scorers that ran it; those that lost power do not know. Until all
    repeats are over, it is treated as at most once.
    """
    if standing.known:
        return CallDecision.ANSWER
    if effect is io.Effect.IDEMPOTENT or standing.granted:
        return CallDecision.SERVE
    if effect is io.Effect.DEDUPLICATED and standing.since_start_ms >= window_ms:
        return CallDecision.SERVE
    return CallDecision.LATER


def budget_share(mine: int, members: int) -> float:
    """The part of the fleet's budgets for `mine` front ends that hear each other: their share of the list.

    Whoever else is up does the same.
    """
    return min(1.0, mine / max(1, members))


def allowed_when_partitioned(
    worths: Mapping[str, float], mine: int, members: int, rostered: bool, asked: bool
) -> AllowedActions:
    """What a front end may do while it is alone.

    `rostered`: some scorers came up when dialled, or the roster was heard. `status` is good then, once the
    asking is over: a front end that refuses half of its calls serves more than none. Not allowed alone: new
    plans, policies, placement numbers, phases; and what costs others, as refreshes of copies, speculative
    loads and spillover.
    """
    able = rostered and asked
    return AllowedActions(
        status=able,
        repeats=asked,
        classes=frozenset(worths) if able else frozenset(),
        loads=able,
        part=budget_share(mine, members),
        alone=True,
    )
