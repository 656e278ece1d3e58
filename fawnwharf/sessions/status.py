"""The status that a front end publishes of its sessions, and the counters that it is made of."""

from collections import Counter
from typing import Any

from fawnwharf.sessions import words as w
from fawnwharf.sessions.agent import Agent
from fawnwharf.sessions.settings import Wishes

COUNTS_MOST = 96


def migration_steps(agent: Agent) -> dict[str, int]:
    """The number of migrations in progress at an agent, by step."""
    return dict(Counter(hand.step for hand in agent.mover.hands.values())) if agent.mover else {}


def all_counts(agent: Agent) -> dict[str, int]:
    """The counters of all cores of an agent."""
    found, kept = agent.counts.copy(), [agent.keeper.counts] if agent.keeper else []
    for counts in (agent.router.counts, agent.moves.counts, *kept):
        found.update(counts)
    firsts = {"first calls after a move, copy found": agent.firsts.found}
    return dict(found) | firsts | {"first calls after a move, cold": agent.firsts.cold}


def status_of(now_ms: float, agent: Agent, wishes: Wishes, foreseen: Any) -> w.Status:
    """The status of an agent, with the operators' requests and the prefetcher's counters.

    `now_ms` is in milliseconds of the monotonic clock; `foreseen` is None where nothing is prefetched.
    """
    keeper = agent.keeper
    return w.Status(
        known=len(agent.router.homes),
        elsewhere=agent.router.elsewhere,
        kept=len(keeper.records) if keeper else 0,
        keeps=keeper is not None,
        sure=agent.sure(now_ms),
        hands=migration_steps(agent),
        draining=agent.moves.waiting(),
        staged=len(agent.router.staged),
        counts=dict(sorted(all_counts(agent).items())[:COUNTS_MOST]),
        ended=dict(agent.ended_by.most_common(COUNTS_MOST)),
        wish=wishes.number,
        drained=wishes.drained,
        answers=tuple(agent.asking.answers.values()),
        foreseen=foreseen.counts() if foreseen is not None else {},
    )
