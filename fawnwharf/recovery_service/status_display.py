"""How an agent stands, for people: told in its member's zones' log, and read by `fawnwharf recovery show`."""

from fawnwharf.recovery_core.queries import QueryTopic
from fawnwharf.recovery_service import messages as w
from fawnwharf.recovery_service.agent import RecoveryAgent

MAX_ITEMS = 16


def displayed_status(agent: RecoveryAgent, now_ms: float) -> w.DisplayedStatus:
    allowed, stage, asking = agent.allowed(now_ms), agent.stage(now_ms), agent.asking
    register, own = agent.follower.register, agent.own
    doubts = [] if own.whole else ["its store is not whole"]
    doubts += [] if own.settled else ["its store has not written all anew"]
    doubts += [] if own.sure else ["its keeper does not know all that it granted"]
    doubts += [] if agent.mark else ["the system tells no boot"]
    if asking.newer_membership:
        doubts.append(
            f"a voter goes by list of members {asking.newer_membership}, which is later than its own"
        )
    fresh = agent.follower.fresh(now_ms)
    how = "alone" if stage is None else "a leader's word" if fresh else "the last word"
    if stage is not None and register is None:
        how = "no word yet"
    counts = agent.counts | {f"answers {why}": n for why, n in asking.dropped.items()}
    return w.DisplayedStatus(
        life=agent.life,
        boot=agent.mark,
        stage="" if stage is None else stage.label,
        how=how,
        cut=agent.cut,
        part=allowed.part,
        leads=agent.lead.term,
        why=register.why if register is not None else "",
        fronts=agent.lead.heard(now_ms) if agent.lead.term else 0,
        heard=agent.heard_lately(now_ms),
        asked={what.label: asking.state(what).value for what in QueryTopic},
        without=tuple(asking.fallbacks().values())[:MAX_ITEMS],
        doubts=tuple(doubts[:MAX_ITEMS]),
        counts=dict(sorted(counts.items())[:64]),
    )
