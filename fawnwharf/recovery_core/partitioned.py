"""What is safe without agreement: for a minority that returns first, or a single front end. Pure.

The other members may be serving as well, unreachable from here. So without a leader a front end does only
what stays correct if all others do the same at this moment.
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

    Windows count from its start, as scorers may have lost power with it and remember no idempotency key.
    """

    known: bool = False  # its own intact store, or enough replicas, have the call's answer
    granted: bool = False  # a majority of the call's own replicas granted it
    since_start_ms: float = 0.0


def decide_call(effect: io.Effect, knowledge: CallKnowledge, window_ms: float) -> CallDecision:
    """What to do with a call.

    `window_ms` is for how long a retry of a call with an idempotency key may come, by the slowest clock. An
    at-most-once call needs the grants of its own replicas, however few front ends are up: two of three are on
    one side only. Scorers drop the retry of a call with a key if they ran it; those that lost power do not
    know. Until no retry can come any more, it is treated as at most once.
    """
    if knowledge.known:
        return CallDecision.ANSWER
    if effect is io.Effect.IDEMPOTENT or knowledge.granted:
        return CallDecision.SERVE
    if effect is io.Effect.DEDUPLICATED and knowledge.since_start_ms >= window_ms:
        return CallDecision.SERVE
    return CallDecision.LATER


def budget_share(reachable: int, members: int) -> float:
    """The share of the fleet's budgets for the front ends that reach each other: their share of the list.

    The front ends on the other side do the same.
    """
    return min(1.0, reachable / max(1, members))


def allowed_when_partitioned(
    weights: Mapping[str, float], share: float, *, has_roster: bool, queries_finished: bool
) -> AllowedActions:
    """What a front end may do while it is partitioned.

    `weights` are the priority weights of all classes, `share` is its part of the fleet's budgets, and
    `has_roster` whether some scorers were reached or the roster was received. `status` is good then, once the
    queries are finished: a front end that rejects half of its calls serves more than none. Not allowed: new
    plans, policies, placement numbers and phases; and what costs others, as copy refreshes, speculative loads
    and spillover.
    """
    able = has_roster and queries_finished
    return AllowedActions(
        status=able,
        repeats=queries_finished,
        classes=frozenset(weights) if able else frozenset(),
        loads=able,
        part=share,
        alone=True,
    )
