"""The state of one Raft voter, what its owner reads of it, and its role transitions.

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
    """The part that a voter plays in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class VoterState:
    """The base of Voter, not used on its own: its state and what the owner reads of it.

    Holds the term, the vote, the log and the role of one member, and what it knows of the others. `saved` is
    the part that must survive a crash (PersistentState), the rest is lost in a restart.
    """

    def __init__(
        self, identity: str, saved: m.PersistentState, timing: Timing, now_ms: float, seed: int
    ) -> None:
        """Starts as a follower from the state found on disk.

        `now_ms` is on the voter's monotonic clock, as in all other methods. `seed` determines the random part
        of the election timeouts and must differ between the voters of a group.
        """
        self.identity = identity
        self.saved = saved
        self.timing = timing
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = saved.snapshot.index
        # A restart forgets which leader holds a lease from this voter, so one is assumed to have it now.
        self.leader_contact_ms = now_ms
        self.timeout_draws = seed
        self.due_ms = 0.0
        self.votes_granted: frozenset[str] = frozenset()
        self.match_index: dict[str, int] = {}  # by follower: both logs agree up to here
        self.probe_index: dict[str, int] = {}  # by follower without a match yet: where its log may agree
        self.acknowledged_ms: dict[str, float] = {}  # by follower: sending time of what it last answered
        self.leader_since_ms = 0.0
        self._reset_election_timer(now_ms)

    # --- state that the owner reads -------------------------------------------------------------

    @property
    def is_leader(self) -> bool:
        """Whether this voter leads the current term, as far as it knows."""
        return self.role is Role.LEADER

    @property
    def is_in_voter_list(self) -> bool:
        """Whether the voter list in force (the last one in the log, committed or not) contains this voter.

        False for a member that waits to be added, and for one that was removed.
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
        """Whether its last committed entries are certainly the group's last ones at this moment."""
        return self.is_leader and self._committed_in_term() and self._holds_lease(now_ms)

    def _committed_in_term(self) -> bool:
        """Until then, entries of earlier terms may be committed without this leader knowing of it."""
        return self.saved.term_at(self.commit_index) == self.saved.term

    def _holds_lease(self, now_ms: float) -> bool:
        """A vote does not bind its giver to the new leader; only what a majority has answered since does."""
        return now_ms < self._quorum_contact_ms(now_ms, -math.inf) + self.timing.lease_ms

    # --- shared by elections and replication ---------------------------------------------------

    def _reset_election_timer(self, now_ms: float) -> None:
        """Randomized, so that the voters do not all start an election at once."""
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
        """The largest value that a majority reaches, by the value of each voter."""
        voters = self.saved.voters
        return sorted(map(value_of, voters), reverse=True)[self._majority(voters) - 1]

    def _peers(self) -> list[str]:
        return [voter for voter in self.saved.voters if voter != self.identity]

    def _is_bound_to_leader(self, now_ms: float) -> bool:
        """While a leader may hold a lease from this voter, it votes for no other one, in any term."""
        contact_ms = self.leader_contact_ms
        if self.is_leader:
            contact_ms = self._quorum_contact_ms(now_ms, self.leader_since_ms)
        return now_ms - contact_ms < self.timing.election_timeout_ms

    def _is_up_to_date(self, message: m.PreVoteRequest | m.VoteRequest) -> bool:
        candidate_position = message.last_term, message.last_index
        return candidate_position >= (self.saved.last_term, self.saved.last_index)

    def _quorum_contact_ms(self, now_ms: float, never_ms: float) -> float:
        """When the last request that a majority has answered was sent; `never_ms` for voters without answer.

        The leader's own answer counts as of now.
        """
        return self._majority_value(
            lambda voter: now_ms if voter == self.identity else self.acknowledged_ms.get(voter, never_ms)
        )
