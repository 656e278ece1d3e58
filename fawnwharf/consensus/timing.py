"""Timeouts of Raft elections and leader leases."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts in milliseconds, and how far two clocks may disagree on a time span.

    A leader's lease ends before any voter that contributed to it may vote for another candidate.
    """

    heartbeat_ms: float = 150.0  # interval between a leader's append entries requests
    election_timeout_ms: float = 1000.0  # up to twice that without a leader, then a voter starts a pre-vote
    max_clock_drift_ratio: float = 0.1  # a clock gains or loses at most this part of any time span

    @property
    def lease_ms(self) -> float:
        """How long a leader may answer reads alone, on its own clock.

        It counts from the sending of the last request that a majority has answered, not from the answers.
        With drift d it is the election timeout times (1 - d) / (1 + d): it ends before any follower, by its
        own clock, may vote for another candidate.
        """
        return self.election_timeout_ms * (1 - self.max_clock_drift_ratio) / (1 + self.max_clock_drift_ratio)

    @property
    def step_down_timeout_ms(self) -> float:
        """Time without answers of a majority, on the leader's clock, after which it steps down."""
        return self.election_timeout_ms * (1 + self.max_clock_drift_ratio)

    def randomized_election_timeout_ms(self, draw: int) -> float:
        """An election timeout between one and two times the configured one, the same for the same draw.

        `draw` is any integer; different ones give independent results.
        """
        fraction = _mix64(_mix64(draw)) / 2**64
        return self.election_timeout_ms * (1 + fraction)


def _mix64(bits: int) -> int:
    """The finalizer of splitmix64: well distributed 64 bits from any 64 bits."""
    bits = (bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9 % 2**64
    bits = (bits ^ (bits >> 27)) * 0x94D049BB133111EB % 2**64
    return bits ^ (bits >> 31)
