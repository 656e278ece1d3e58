"""An agent's status for operators: written to the zones log, read by `fawnwharf recovery show`."""

from fawnwharf.recovery_core.queries import QueryTopic
from fawnwharf.recovery_service.agent import RecoveryAgent
from fawnwharf.recovery_service.messages import DisplayedStatus

MAX_ITEMS = 16
MAX_COUNTS = 64


def displayed_status(agent: RecoveryAgent, now_ms: float) -> DisplayedStatus:
    """The status of an agent at one moment."""
    phase = agent.phase(now_ms)
    register = agent.follower.register
    counts: dict[str, int] = dict(agent.drops.items())
    counts |= {f"answers {reason}": count for reason, count in agent.queries.dropped.items()}
    return DisplayedStatus(
        incarnation=agent.identity.incarnation,
        boot=agent.identity.boot,
        phase="" if phase is None else phase.label,
        source=_phase_source(agent, now_ms),
        power_loss=agent.power_loss,
        share=agent.allowed(now_ms).part,
        leader_term=agent.leader.term,
        reason=register.why if register is not None else "",
        front_ends=agent.leader.reporting(now_ms) if agent.leader.term else 0,
        voters=agent.voters_heard(now_ms),
        queries={topic.label: agent.queries.state(topic).value for topic in QueryTopic},
        missing=tuple(agent.queries.fallbacks().values())[:MAX_ITEMS],
        doubts=tuple(_doubts(agent)[:MAX_ITEMS]),
        counts=dict(sorted(counts.items())[:MAX_COUNTS]),
    )


def _phase_source(agent: RecoveryAgent, now_ms: float) -> str:
    """Where the agent's phase comes from."""
    if agent.phase(now_ms) is None:
        return "no leader"
    if agent.follower.register is None:
        return "no announcement yet"
    return "leader's announcement" if agent.follower.fresh(now_ms) else "last announcement"


def _doubts(agent: RecoveryAgent) -> list[str]:
    status = agent.status
    doubts = []
    if not status.complete:
        doubts.append("its store is incomplete")
    if not status.settled:
        doubts.append("its store has not rewritten all entries yet")
    if not status.knows_grants:
        doubts.append("its replica does not know all that it granted")
    if not agent.identity.boot:
        doubts.append("the system has no boot id")
    if agent.queries.newer_membership:
        doubts.append(
            f"a voter goes by list of members {agent.queries.newer_membership}, which is later than its own"
        )
    return doubts
