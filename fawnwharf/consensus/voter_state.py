"""The state of one Raft voter, the properties that its owner reads, and helpers for role changes.

Times are milliseconds on the voter's own clock.
"""

import math
from collections.abc import Callable
from enum import Enum
from typing import TypeVar

from fawnwharf.consensus import messages as m
from fawnwharf.consensus.committed_log import LatestValue, last_committed
from fawnwharf.consensus.timing import Timing

_Number = TypeVar("_Number", int, float)


class Role(Enum):
    """The Raft role of a voter in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class VoterState:
    """The base class of Voter, which is not used on its own.

    Holds a voter's term, vote, log and role, and the progress of the other voters. `saved` is the part that
    must survive a crash (PersistentState); the rest is lost in a restart.
    """

    def __init__(
        self, identity: str, saved: m.PersistentState, timing: Timing, now_ms: float, seed: int
    ) -> None:
        """Starts as a follower from the state found on disk.

        `now_ms` is the time on the voter's monotonic clock, as in all other methods. `seed` determines the
        random part of the election timeouts and must differ between the voters of a group.
        """
        self.identity = identity
        self.saved = saved
        self.timing = timing
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = saved.snapshot.index
        # After a restart it is unknown whether a leader holds a lease from this voter: assume that one does.
        self.leader_contact_ms = now_ms
        self.timeout_draws = seed
        self.due_ms = 0.0
        self.votes_granted: frozenset[str] = frozenset()
        self.match_index: dict[str, int] = {}  # by follower: the last index up to which both logs agree
        self.probe_index: dict[str, int] = {}  # by follower without a match yet: the next index to try
        self.acknowledged_ms: dict[str, float] = {}  # by follower: send time of the last answered request
        self.leader_since_ms = 0.0
        self._reset_election_timer(now_ms)

    # --- state that the owner reads -------------------------------------------------------------

    @property
    def is_leader(self) -> bool:
        """Whether this voter is the leader of its current term."""
        return self.role is Role.LEADER

    @property
    def is_in_voter_list(self) -> bool:
        """Whether the voter list in force (the last one in the log, committed or not) contains this voter.

        False for a voter that waits to be added and for one that was removed.
        """
        return self.identity in self.saved.voters

    @property
    def plan(self) -> LatestValue:
        """The last committed zone plan and its log index; index 0 and "" before the first."""
        return self.last_committed("plan")

    @property
    def policy(self) -> LatestValue:
        """The last committed policy of the fleet and its log index; index 0 and "" before the first."""
        return self.last_committed("policy")

    def last_committed(self, kind: str) -> LatestValue:
        """The last committed value of a kind in LATEST_VALUE_KINDS; index 0 and "" before the first."""
        return last_committed(self.saved, self.commit_index, kind)

    def holds_read_lease(self, now_ms: float) -> bool:
        """Whether this voter's last committed entries are certainly the group's last ones now."""
        return self.is_leader and self._committed_in_term() and self._holds_lease(now_ms)

    def _committed_in_term(self) -> bool:
        """Whether an entry of the current term is committed.

        Before that, a leader may not know yet that entries of earlier terms are committed.
        """
        return self.saved.term_at(self.commit_index) == self.saved.term

    def _holds_lease(self, now_ms: float) -> bool:
        """Whether the lease is valid; votes do not extend it, only answers to the leader's requests do."""
        return now_ms < self._quorum_contact_ms(now_ms, -math.inf) + self.timing.lease_ms

    # --- shared by elections and replication ---------------------------------------------------

    def _reset_election_timer(self, now_ms: float) -> None:
        """Draws a new random timeout, so that the voters do not all start an election at once."""
        self.timeout_draws += 1
        self.due_ms = now_ms + self.timing.randomized_election_timeout_ms(self.timeout_draws)

    def _become_follower(self, now_ms: float, leader: str) -> None:
        self.role = Role.FOLLOWER
        self.leader = leader
        self.votes_granted = frozenset()
        self._clear_follower_progress()
        self._reset_election_timer(now_ms)

    def _clear_follower_progress(self) -> None:
        self.match_index = {}
        self.probe_index = {}
        self.acknowledged_ms = {}

    def _has_majority(self) -> bool:
        voters = self.saved.voters
        return len(self.votes_granted & set(voters)) >= self._majority(voters)

    def _majority(self, voters: tuple[str, ...]) -> int:
        return len(voters) // 2 + 1

    def _majority_value(self, value_of: Callable[[str], _Number]) -> _Number:
        """The largest value that a majority of the voters has reached."""
        voters = self.saved.voters
        return sorted(map(value_of, voters), reverse=True)[self._majority(voters) - 1]

    def _peers(self) -> list[str]:
        return [voter for voter in self.saved.voters if voter != self.identity]

    def _is_bound_to_leader(self, now_ms: float) -> bool:
        """Whether a leader may hold a lease from this voter, which must not vote for another one then."""
        contact_ms = self.leader_contact_ms
        if self.is_leader:
            contact_ms = self._quorum_contact_ms(now_ms, self.leader_since_ms)
        return now_ms - contact_ms < self.timing.election_timeout_ms

    def _is_up_to_date(self, message: m.PreVoteRequest | m.VoteRequest) -> bool:
        candidate_position = message.last_term, message.last_index
        return candidate_position >= (self.saved.last_term, self.saved.last_index)

    def _quorum_contact_ms(self, now_ms: float, default_ms: float) -> float:
        """The send time of the last request that a majority has answered.

        A voter without an answer counts with `default_ms`, the leader itself with the current time.
        """
        return self._majority_value(
            lambda voter: now_ms if voter == self.identity else self.acknowledged_ms.get(voter, default_ms)
        )
