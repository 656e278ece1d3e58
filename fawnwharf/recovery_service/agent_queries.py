"""The startup queries of a recovery agent, and its answers to the queries of others. Does no I/O."""

from msgspec import structs

from fawnwharf.recovery_core.queries import Answer, Querier, Query, QueryTarget, QueryTopic, StartupQueries
from fawnwharf.recovery_service.agent_actions import LocalStatus
from fawnwharf.recovery_service.agent_settings import AgentIdentity, AgentSettings
from fawnwharf.recovery_service.recovery_leader import MemberLists

CHANGE_LOG = "change log"  # recipient of roster queries in the place of a member name


def create_startup_queries(
    identity: AgentIdentity, settings: AgentSettings, lists: MemberLists, status: LocalStatus, now_ms: float
) -> StartupQueries:
    """Create the startup queries of one incarnation, with the answers that its own store provides."""
    own: dict[QueryTopic, tuple[int, str]] = {}
    if identity.name in lists.voters and status.votes and status.complete:
        own[QueryTopic.MEMBERS] = (lists.number, lists.digest)
        own[QueryTopic.PLAN] = status.plan
    if status.knows_grants or identity.name not in lists.replicas:
        own[QueryTopic.GRANTS] = (0, "")
    targets = {
        QueryTarget.VOTERS: lists.voters,
        QueryTarget.REPLICAS: lists.replicas,
        QueryTarget.CHANGE_LOG: (CHANGE_LOG,),
    }
    querier = Querier(identity.name, identity.fleet, identity.incarnation, targets, own)
    return StartupQueries(querier, now_ms, settings.query_pace)


def answer_query(
    query: Query, incarnation: int, lists: MemberLists, status: LocalStatus, *, is_leased: bool
) -> Answer:
    """Answer a query of the same fleet.

    State that is uncertain, or that comes from a store that is still rewriting its entries, is not reported:
    the answer then only identifies the sender. `is_leased` tells whether the local zone plan is the latest
    one of the fleet, as guaranteed by a leader's lease.
    """
    answer = Answer(query.fleet, query.incarnation, query.sequence, query.topic, incarnation, False)
    topic = QueryTopic(query.topic)
    if not status.settled or not _is_certain(topic, status):
        return answer
    number, digest = 0, ""
    if topic is QueryTopic.MEMBERS:
        number, digest = lists.number, lists.digest
    elif topic is QueryTopic.PLAN:
        number, digest = status.plan
    return structs.replace(answer, trusted=True, number=number, digest=digest, leased=is_leased)


def _is_certain(topic: QueryTopic, status: LocalStatus) -> bool:
    if topic in (QueryTopic.MEMBERS, QueryTopic.PLAN):
        return status.votes
    if topic is QueryTopic.USAGE:
        return status.knows_use
    return status.knows_grants
