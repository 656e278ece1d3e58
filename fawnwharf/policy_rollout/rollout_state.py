"""State types of a rollout: its timing, granted leases, received lease requests and the open proposal.

All times are in milliseconds. The rollout coordinator owns the values; the lease holder shares the timing and
the lease record.
"""

from dataclasses import dataclass
from typing import NamedTuple

from fawnwharf.policy_rollout.document import Document


@dataclass(frozen=True, slots=True)
class RolloutTiming:
    """Times in milliseconds, and the part by which a clock's rate may differ from true time."""

    lease_ms: float = 2_000.0
    renew_ms: float = 500.0  # interval of holders' lease requests
    prepare_ms: float = (
        6_000.0  # for all to vote; longer than `max_lease_ms`, which a member that is cut off takes
    )
    resend_interval_ms: float = 500.0  # interval at which an unanswered message is sent again
    skew: float = 0.1

    @property
    def max_lease_ms(self) -> float:
        """The longest time that a lease of `lease_ms` by one clock can last by any other clock."""
        return self.lease_ms * (1 + self.skew) / (1 - self.skew)


class LeaseRecord(NamedTuple):
    """A granted lease: the number of its document, and when it is over by the coordinator's clock."""

    number: int
    expires_ms: float


class ReceivedRequest(NamedTuple):
    """A holder's newest lease request: `sent_ms` by its clock, `received_ms` by the coordinator's."""

    incarnation: int
    sent_ms: float
    received_ms: float


@dataclass(slots=True)
class OpenProposal:
    """The one proposal in progress."""

    document: Document
    sequence: int
    deadline_ms: float
    agreed: frozenset[str] = frozenset()
    deciding: bool = False  # it was proposed to the log: from here nothing ends it

    @property
    def number(self) -> int:
        """The number of the proposed document."""
        return self.document.number
