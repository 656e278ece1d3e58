"""Types for the state of a rollout: timing, granted leases, received lease requests and the open proposal.

All times are in milliseconds. The rollout coordinator uses all of these types; the lease holder uses
`RolloutTiming` and `LeaseRecord`.
"""

from dataclasses import dataclass
from typing import NamedTuple

from fawnwharf.policy_rollout.document import Document


@dataclass(frozen=True, slots=True)
class RolloutTiming:
    """Intervals and timeouts, and the largest relative error of a clock's rate."""

    lease_ms: float = 2_000.0
    renew_ms: float = 500.0  # interval of holders' lease requests
    # Timeout for all votes. It exceeds `max_lease_ms`, so that the lease of a partitioned member, whose vote
    # is missing, expires first.
    prepare_ms: float = 6_000.0
    resend_interval_ms: float = 500.0  # interval at which an unanswered message is sent again
    skew: float = 0.1  # fraction by which a clock's rate may differ from true time

    @property
    def max_lease_ms(self) -> float:
        """How long a lease of `lease_ms` can last at most, as measured by any other clock."""
        return self.lease_ms * (1 + self.skew) / (1 - self.skew)


class LeaseRecord(NamedTuple):
    """A lease: the number of its document, and when it expires by the clock of the record's owner."""

    number: int
    expires_ms: float


class ReceivedRequest(NamedTuple):
    """A holder's newest lease request: `sent_ms` by its own clock, `received_ms` by the coordinator's."""

    incarnation: int
    sent_ms: float
    received_ms: float


@dataclass(slots=True)
class OpenProposal:
    """The coordinator's one open proposal."""

    document: Document
    sequence: int
    deadline_ms: float
    agreed: frozenset[str] = frozenset()  # the members that voted yes
    deciding: bool = False  # it was proposed to the consensus log and can no longer be aborted by request

    @property
    def number(self) -> int:
        """The number of the proposed document."""
        return self.document.number
