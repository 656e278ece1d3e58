"""Raft messages, the state that a voter persists, and the actions that a voter asks of its owner.

All types are immutable values. msgspec turns them into lines of JSON and validates what is received. An
attribute whose name differs from the recorded one keeps that name on the wire and on disk by `name=`.

Log indexes and terms count from 1. Times are milliseconds on the sender's own clock; a response carries the
time of its request back unchanged.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

MAX_VOTERS = 9  # in a voter list, also during a membership change
MAX_DATA_LENGTH = 64 * 1024  # characters of the text of one log entry
MAX_ENTRIES = 64  # in one message, and in the log before it is compacted

Number = Annotated[int, Meta(ge=0, lt=2**53)]
VoterIdentity = Annotated[str, Meta(min_length=1, max_length=96)]  # member name and disk identifier
Text = Annotated[str, Meta(max_length=MAX_DATA_LENGTH)]
VoterList = Annotated[tuple[VoterIdentity, ...], Meta(max_length=MAX_VOTERS)]


class Entry(Struct, frozen=True):
    """One log entry: a zone plan, a policy or recovery register, a voter list, or nothing.

    A leader begins each term with an entry of kind "none". `text` holds the value of the first three kinds.
    """

    term: Number
    kind: Annotated[str, Meta(pattern="^(none|plan|policy|recovery|voters)$")]
    text: Text = field(default="", name="plan")
    voters: VoterList = ()


Entries = Annotated[tuple[Entry, ...], Meta(max_length=MAX_ENTRIES)]


class Snapshot(Struct, frozen=True):
    """The compacted prefix of the log: the last committed entry of each kind up to `index`.

    `plan_index`, `policy_index` and `recovery_index` are the indexes of those entries themselves.
    """

    index: Number = 0
    term: Number = 0
    plan: Text = ""
    plan_index: Number = 0
    voters: VoterList = ()
    policy: Text = ""
    policy_index: Number = 0
    recovery: Text = ""  # absent in files of earlier versions
    recovery_index: Number = 0


class PersistentState(Struct, frozen=True):
    """What must survive a crash; it is on disk before any message that depends on it is sent."""

    term: Number = 0
    voted_for: Annotated[str, Meta(max_length=96)] = field(default="", name="voted")  # in `term`
    snapshot: Snapshot = field(default=Snapshot(), name="base")
    entries: Annotated[tuple[Entry, ...], Meta(max_length=2 * MAX_ENTRIES)] = ()

    @property
    def last_index(self) -> int:
        """Index of the last log entry, committed or not."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last log entry, committed or not."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def voters(self) -> tuple[str, ...]:
        """The voter list in force: the last one in the log, committed or not."""
        lists = (entry.voters for entry in reversed(self.entries) if entry.kind == "voters")
        return next(lists, self.snapshot.voters)

    def term_at(self, index: int) -> int | None:
        """The term of the entry at an index; None where it is compacted or beyond the end of the log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else None


# --- messages between voters ----------------------------------------------------------------


class _RaftMessage(Struct, frozen=True):
    sender: VoterIdentity
    to: VoterIdentity
    term: Number


class PreVoteRequest(_RaftMessage, frozen=True, tag="PreVote"):
    """Asks whether a vote in `term` would be granted; neither request nor response changes any state."""

    last_index: Number
    last_term: Number


class PreVoteResponse(_RaftMessage, frozen=True, tag="PreVoted"):
    """Answers a pre-vote request."""

    granted: bool


class VoteRequest(_RaftMessage, frozen=True, tag="Vote"):
    """Asks for a vote in `term`; the log position lets a voter refuse a candidate whose log is behind."""

    last_index: Number
    last_term: Number


class VoteResponse(_RaftMessage, frozen=True, tag="Voted"):
    """Answers a vote request."""

    granted: bool


class AppendEntriesRequest(_RaftMessage, frozen=True, tag="Append"):
    """The leader's entries after one that both logs should contain; without entries it is a heartbeat."""

    previous_index: Number = field(name="before_index")
    previous_term: Number = field(name="before_term")
    entries: Entries
    commit_index: Number = field(name="commit")
    sent_ms: float


class InstallSnapshotRequest(_RaftMessage, frozen=True, tag="Install"):
    """The leader's snapshot, for a follower whose missing entries are compacted."""

    snapshot: Snapshot = field(name="base")
    sent_ms: float


class AppendEntriesResponse(_RaftMessage, frozen=True, tag="Appended"):
    """Answers an append entries or install snapshot request.

    `match_index` is the last index on which both logs agree; without success it is an estimate of it.
    `sent_ms` is that of the request.
    """

    success: bool = field(name="good")
    match_index: Number = field(name="match")
    sent_ms: float


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
    message: Message = msgspec.convert(data, Message, strict=True)
    return message


# --- actions for the owner of a voter -------------------------------------------------------


class Persist(Struct, frozen=True):
    """Write the state to disk and sync it before any later action of the same list is carried out."""

    saved: PersistentState


class Send(Struct, frozen=True):
    """Send a message to the voter that it names."""

    message: Message


class Committed(Struct, frozen=True):
    """A log entry is committed: no other entry will ever have its index."""

    index: int
    term: int
    kind: str
    text: str
    voters: tuple[str, ...]


Action = Persist | Send | Committed
