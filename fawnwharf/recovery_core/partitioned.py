"""What a front end may do without a leader: alone, or in a minority that comes back first. Pure.

Other members may be serving at the same time without being reachable. So a front end without a leader does
only what stays correct if all other front ends do the same at the same time.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from fawnwharf import interface as io
from fawnwharf.recovery_core.phases import AllowedActions


class CallDecision(Enum):
    """What a front end does with a call."""

    SERVE = "serve"
    ANSWER = "give the answer that is known"
    LATER = "refuse with pushback: it may become possible"


@dataclass(frozen=True, slots=True)
class CallKnowledge:
    """What this front end knows about a call."""

    known: bool = False  # its own intact store, or enough replicas, have the call's answer
    granted: bool = False  # a majority of the call's replicas granted it
    # Time since this front end started. The idempotency window counts from then, because the scorers may have
    # lost power at the same time, and with it their idempotency keys.
    since_start_ms: float = 0.0


def decide_call(effect: io.Effect, knowledge: CallKnowledge, window_ms: float) -> CallDecision:
    """Decide what to do with a call.

    `window_ms` is how long a retry of a call with an idempotency key may still arrive, by the slowest clock.

    An at-most-once call needs grants from a majority of its replicas, however few front ends are up. Only one
    side of a partition can have a majority. For a call with an idempotency key, a scorer drops a retry of a
    call that it has run, but a scorer that lost power does not know the keys. So such a call is treated as
    at-most-once until no retry can arrive anymore.
    """
    if knowledge.known:
        return CallDecision.ANSWER
    if effect is io.Effect.IDEMPOTENT or knowledge.granted:
        return CallDecision.SERVE
    if effect is io.Effect.DEDUPLICATED and knowledge.since_start_ms >= window_ms:
        return CallDecision.SERVE
    return CallDecision.LATER


def budget_share(reachable: int, members: int) -> float:
    """The share of the fleet's budgets for the front ends that reach each other.

    It is their share of the members on the list. The front ends on the other side of a partition compute
    their share in the same way, so the shares add up to at most one.
    """
    return min(1.0, reachable / max(1, members))


def allowed_when_partitioned(
    weights: Mapping[str, float], share: float, *, has_roster: bool, queries_finished: bool
) -> AllowedActions:
    """The actions that a partitioned front end may take.

    `weights` are the priority weights of all classes. `share` is the share of the fleet's budgets.
    `has_roster` tells whether some scorers were reached or the roster was received.

    With a roster and finished queries `status` is good, because a front end that rejects half of its calls
    still serves more than one that gets no calls. New plans, policies, placement numbers and phases are not
    allowed. Neither are actions that use the capacity of others: copy refreshes, speculative loads and
    spillover.
    """
    serves_calls = has_roster and queries_finished
    return AllowedActions(
        status=serves_calls,
        repeats=queries_finished,
        classes=frozenset(weights) if serves_calls else frozenset(),
        loads=serves_calls,
        part=share,
        alone=True,
    )
