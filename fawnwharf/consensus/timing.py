"""Timeouts for Raft elections and leader leases."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts in milliseconds, and how fast clocks may drift.

    A leader's lease ends before any voter that contributed to it may vote for another candidate.
    """

    heartbeat_ms: float = 150.0  # interval between a leader's append entries requests
    election_timeout_ms: float = 1000.0  # without a leader for 1 to 2 times this, a voter starts a pre-vote
    max_clock_drift_ratio: float = 0.1  # a clock gains or loses at most this fraction of a time span

    @property
    def lease_ms(self) -> float:
        """How long a leader may answer reads without asking other voters, on its own clock.

        The lease starts when the last request that a majority has answered was sent, not when the answers
        arrived. With drift d it lasts the election timeout times (1 - d) / (1 + d), so it ends before any
        follower, on its own clock, may vote for another candidate.
        """
        return self.election_timeout_ms * (1 - self.max_clock_drift_ratio) / (1 + self.max_clock_drift_ratio)

    @property
    def step_down_timeout_ms(self) -> float:
        """A leader without answers from a majority for this time, on its own clock, steps down."""
        return self.election_timeout_ms * (1 + self.max_clock_drift_ratio)

    def randomized_election_timeout_ms(self, draw: int) -> float:
        """An election timeout between one and two times the configured one.

        `draw` is any integer: equal draws give equal results, different draws give independent ones.
        """
        fraction = _mix64(_mix64(draw)) / 2**64
        return self.election_timeout_ms * (1 + fraction)


def _mix64(bits: int) -> int:
    """The finalizer of splitmix64: maps 64 bits to 64 well-distributed bits."""
    bits = (bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9 % 2**64
    bits = (bits ^ (bits >> 27)) * 0x94D049BB133111EB % 2**64
    return bits ^ (bits >> 31)
