"""The counters that operators see in a front end's status."""

from enum import StrEnum


class ReplicationCounter(StrEnum):
    """A counter; the value is the label that operators read."""

    # Calls that this front end owns.
    CALLS_REQUESTED = "calls requested"
    CALLS_CLAIMED = "calls claimed"
    CALLS_JOINED = "calls joined to a running one"
    CALLS_ANSWERED_FROM_STORE = "calls answered from a stored answer"
    CALLS_RETRIED_IN_WINDOW = "calls retried within their idempotency window"
    CLAIM_TIMEOUTS = "claim requests timed out"
    UNCLAIMED_INCOMPLETE = "run without a claim: replicas incomplete"
    UNCLAIMED_TOO_FEW = "run without a claim: too few replicas"
    REJECTED_INCOMPLETE = "rejected: replicas incomplete"
    REJECTED_TOO_FEW = "rejected: too few replicas"
    REJECTED_CONCURRENT = "rejected: concurrent request elsewhere"
    REJECTED_KEY_IN_USE = "rejected: key in use by another request"
    REJECTED_TOO_MANY_OPEN = "rejected: too many open calls"
    FAILED_CONFLICT = "failed: conflicting answers"
    FAILED_MAY_HAVE_RUN = "failed: may have run"
    FAILED_NO_RESULT = "failed: no result from the owner in time"
    REPLIES_WITHOUT_REQUEST = "replies without an open request"
    REPLIES_NOT_FROM_REPLICA = "replies not from a replica"

    # Calls that this front end stores as a replica.
    STORE_FULL = "claim store full"
    ANSWERS_DROPPED = "answers dropped"
    CONTRADICTING_CLAIMS = "contradicting claims"
    CONFLICTING_ANSWERS = "conflicting answers"
    REQUESTS_TO_WRONG_REPLICA = "claim requests to a wrong replica"
    REQUESTS_REPEATED = "claim requests repeated"
    TOO_MANY_REQUESTS = "too many claim requests for a call"
    STATE_REQUESTS_NOT_FROM_REPLICA = "state requests not from a replica"
    DIGESTS_NOT_FROM_REPLICA = "digests not from a replica"
    CHUNKS_OUT_OF_ORDER = "chunks out of order"
    CHUNKS_WITH_WRONG_DIGEST = "chunks with a wrong digest"
    DIFFERENCES_REQUESTED = "differences requested"

    # Lines of the members' logs.
    MALFORMED_LINES = "malformed lines"
    LINES_NOT_FROM_MEMBER = "lines not from a member"
    NOT_A_REPLICA = "messages for a replica, which this is not"
    MEMBERSHIPS_IGNORED = "membership files ignored"

    # Usage, failure reports and load reports.
    USAGE_OUTDATED = "usage counters outdated"
    USAGE_DECREASING = "usage counters decreasing"
    FAILURE_REPORTS_OUTDATED = "failure reports outdated"
    LOAD_REPORTS_SENT = "load reports: sent"
    LOAD_REPORTS_OUTDATED = "load reports: outdated"
    LOAD_REPORTS_TOO_FREQUENT = "load reports: too frequent"
    LOAD_REPORTS_WITHOUT_ANSWER = "load reports: naming no known answer"
    LOAD_REPORTS_OMITTED = "load reports: items omitted from reports"
    LOAD_ANSWERS_OMITTED = "load reports: items omitted from answers"
    LOAD_ANSWERS_OUT_OF_ORDER = "load reports: answers out of order"
    LOAD_ANSWERS_UNEXPECTED = "load reports: unexpected answers"
    LOAD_FRONT_ENDS = "load reports: front ends received"
    LOAD_COPIES_KNOWN = "load reports: copies known"
