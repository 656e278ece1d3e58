"""What voters keep and say. Pure values: msgspec makes lines of JSON of them, and checks what comes in.

Indexes count decisions from 1, terms count reigns from 1, times are milliseconds of the sender's own clock
and come back to it unread.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

Number = Annotated[int, Meta(ge=0, lt=2**53)]
VoterIdentity = Annotated[str, Meta(min_length=1, max_length=96)]  # of a voter: its name and its disk's mark
MAX_VOTERS = 9  # in a list of voters, also while one is being exchanged
MAX_DATA_LENGTH = 64 * 1024  # characters of one decision
MAX_ENTRIES = 64  # in one message, and kept before they are folded into the base


class Entry(Struct, frozen=True):
    """One decision of the log: a plan, a register of policy or of recovery, a list of voters, or nothing
    (each reign begins with one of these). The text of the first three is in `plan`."""

    term: Number
    kind: Annotated[str, Meta(pattern="^(none|plan|policy|recovery|voters)$")]
    plan: Annotated[str, Meta(max_length=MAX_DATA_LENGTH)] = ""
    voters: Annotated[tuple[VoterIdentity, ...], Meta(max_length=MAX_VOTERS)] = ()


Entries = Annotated[tuple[Entry, ...], Meta(max_length=MAX_ENTRIES)]


class Snapshot(Struct, frozen=True):
    """All decisions up to an index, folded: the last of each kind say all that the others did."""

    index: Number = 0
    term: Number = 0
    plan: Annotated[str, Meta(max_length=MAX_DATA_LENGTH)] = ""
    plan_index: Number = 0  # of that plan's own decision
    voters: Annotated[tuple[VoterIdentity, ...], Meta(max_length=MAX_VOTERS)] = ()
    policy: Annotated[str, Meta(max_length=MAX_DATA_LENGTH)] = ""
    policy_index: Number = 0
    recovery: Annotated[str, Meta(max_length=MAX_DATA_LENGTH)] = ""  # files of before have none
    recovery_index: Number = 0


class PersistentState(Struct, frozen=True):
    """What a voter has to find again after a kill: it is on disk before anything that rests on it is said."""

    term: Number = 0
    voted: Annotated[str, Meta(max_length=96)] = ""  # for whom, in that term
    base: Snapshot = Snapshot()
    entries: Annotated[tuple[Entry, ...], Meta(max_length=2 * MAX_ENTRIES)] = ()

    @property
    def last_index(self) -> int:
        return self.base.index + len(self.entries)

    def term_at(self, index: int) -> int | None:
        """The term of the decision at an index; None where it is folded away or not there."""
        if index == self.base.index:
            return self.base.term
        place = index - self.base.index - 1
        return self.entries[place].term if 0 <= place < len(self.entries) else None

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base.term

    @property
    def voters(self) -> tuple[str, ...]:
        """The list in force: the last in the log, decided or not."""
        lists = (entry.voters for entry in reversed(self.entries) if entry.kind == "voters")
        return next(lists, self.base.voters)


# --- what is said ---------------------------------------------------------------------------


class _RaftMessage(Struct, frozen=True):
    sender: VoterIdentity
    to: VoterIdentity
    term: Number


class PreVoteRequest(_RaftMessage, frozen=True, tag="PreVote"):
    """Would I be voted for in this term? Nobody's state changes by the question or the answer."""

    last_index: Number
    last_term: Number


class PreVoteResponse(_RaftMessage, frozen=True, tag="PreVoted"):
    granted: bool


class VoteRequest(_RaftMessage, frozen=True, tag="Vote"):
    last_index: Number
    last_term: Number


class VoteResponse(_RaftMessage, frozen=True, tag="Voted"):
    granted: bool


class AppendEntriesRequest(_RaftMessage, frozen=True, tag="Append"):
    """The leader's decisions after one that both should have; without any it is a sign of life."""

    before_index: Number
    before_term: Number
    entries: Entries
    commit: Number
    sent_ms: float


class InstallSnapshotRequest(_RaftMessage, frozen=True, tag="Install"):
    """The leader's base, for one that lacks what is folded into it."""

    base: Snapshot
    sent_ms: float


class AppendEntriesResponse(_RaftMessage, frozen=True, tag="Appended"):
    good: bool
    match: Number  # both agree up to here; where not good, a guess at the last that the follower has
    sent_ms: float  # as in what is answered


Message = (
    PreVoteRequest
    | PreVoteResponse
    | VoteRequest
    | VoteResponse
    | AppendEntriesRequest
    | InstallSnapshotRequest
    | AppendEntriesResponse
)


def message_from(data: object) -> Message:
    """A message of a decoded line; raises msgspec.ValidationError for anything else."""
    return msgspec.convert(data, Message, strict=True)


# --- what a voter has done by its owner -------------------------------------------------------


class Persist(Struct, frozen=True):
    """On disk, synced, before any later action of the same list is carried out."""

    saved: PersistentState


class Send(Struct, frozen=True):
    message: Message


class Committed(Struct, frozen=True):
    """A decision stands for good: no other one will ever have its number."""

    index: int
    term: int
    kind: str
    plan: str
    voters: tuple[str, ...]


Action = Persist | Send | Committed
