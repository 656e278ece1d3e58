"""Timeouts of Raft elections and leader leases."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts in milliseconds.

    A leader's lease ends before any voter that contributed to it may vote for another candidate.
    """

    heartbeat_ms: float = 150.0  # interval between a leader's append entries requests
    election_timeout_ms: float = 1000.0  # up to twice that without a leader, then a voter starts a pre-vote
    clock_skew: float = 0.1  # bound on the part of the time that a clock gains or loses

    @property
    def lease_ms(self) -> float:
        """Lease on the leader's clock, from the sending of a request that a majority has answered."""
        return self.election_timeout_ms * (1 - self.clock_skew) / (1 + self.clock_skew)

    @property
    def quorum_timeout_ms(self) -> float:
        """Time without a majority's answers after which a leader steps down."""
        return self.election_timeout_ms * (1 + self.clock_skew)

    def randomized_timeout_ms(self, draw: int) -> float:
        """An election timeout between one and two times the configured one, the same for the same draw."""
        fraction = _mix64(_mix64(draw)) / 2**64
        return self.election_timeout_ms * (1 + fraction)


def _mix64(bits: int) -> int:
    """The finalizer of splitmix64: well distributed 64 bits from any 64 bits."""
    bits = (bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9 % 2**64
    bits = (bits ^ (bits >> 27)) * 0x94D049BB133111EB % 2**64
    return bits ^ (bits >> 31)
