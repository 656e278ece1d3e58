"""Raft messages, the state that a voter persists, and the actions that a voter requests from its owner.

All types are immutable values. msgspec encodes them as lines of JSON and validates received ones. Where
`field(name=...)` is given, that name is used on the wire and on disk instead of the attribute's name.

Log indexes and terms count from 1. Times are milliseconds on the sender's own clock; a response repeats the
time of its request unchanged.
"""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct, field

MAX_VOTERS = 9  # in a voter list, also during a membership change
MAX_TEXT_CHARACTERS = 64 * 1024  # in the text of one log entry
MAX_ENTRIES_PER_MESSAGE = 64
MAX_LEADER_ENTRIES = 64  # a leader with this many entries after its snapshot accepts no proposals
MAX_SAVED_ENTRIES = 2 * MAX_LEADER_ENTRIES  # after the snapshot, in a log on disk

# 0 means before the first term or index. The limit keeps the number exact in JSON readers that use doubles.
TermOrIndex = Annotated[int, Meta(ge=0, lt=2**53)]
VoterIdentity = Annotated[str, Meta(min_length=1, max_length=96)]  # member and disk, as in `a#0f3c9b21`
EntryText = Annotated[str, Meta(max_length=MAX_TEXT_CHARACTERS)]  # JSON that consensus does not interpret
VoterList = Annotated[tuple[VoterIdentity, ...], Meta(max_length=MAX_VOTERS)]


class Entry(Struct, frozen=True):
    """One log entry: a zone plan, a policy, the state of a fleet recovery, a voter list, or nothing.

    A leader starts each term with an entry of kind "none". `text` is the value of a plan, policy or recovery
    entry and "" in other entries. `voters` is the complete new list in an entry of kind "voters" and empty in
    other entries.
    """

    term: TermOrIndex
    kind: Annotated[str, Meta(pattern="^(none|plan|policy|recovery|voters)$")]
    text: EntryText = field(default="", name="plan")
    voters: VoterList = ()


Entries = Annotated[tuple[Entry, ...], Meta(max_length=MAX_ENTRIES_PER_MESSAGE)]


class Snapshot(Struct, frozen=True):
    """The compacted prefix of the log: the last committed entry of each kind up to `index`.

    `plan`, `policy` and `recovery` are the texts of these entries, "" if there was none. `plan_index`,
    `policy_index` and `recovery_index` are the log indexes of these entries, 0 if there was none.
    """

    index: TermOrIndex = 0
    term: TermOrIndex = 0
    plan: EntryText = ""
    plan_index: TermOrIndex = 0
    voters: VoterList = ()
    policy: EntryText = ""
    policy_index: TermOrIndex = 0
    recovery: EntryText = ""  # absent in files of earlier versions
    recovery_index: TermOrIndex = 0


class PersistentState(Struct, frozen=True):
    """The state that must survive a crash; it is on disk before any message that depends on it is sent.

    `voted_for` is the candidate that this voter voted for in `term`, "" if it has not voted. `entries` are
    the log entries after the snapshot, committed or not.
    """

    term: TermOrIndex = 0
    voted_for: Annotated[str, Meta(max_length=96)] = field(default="", name="voted")
    snapshot: Snapshot = field(default=Snapshot(), name="base")
    entries: Annotated[tuple[Entry, ...], Meta(max_length=MAX_SAVED_ENTRIES)] = ()

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
        """The term of the entry at an index; None before the snapshot's index and after the last entry.

        The snapshot's index has the snapshot's term. In a log without a snapshot, index 0 has term 0.
        """
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else None


# --- messages between voters ----------------------------------------------------------------


class _RaftMessage(Struct, frozen=True):
    sender: VoterIdentity
    to: VoterIdentity
    term: TermOrIndex


class PreVoteRequest(_RaftMessage, frozen=True, tag="PreVote"):
    """Asks whether a vote in `term` would be granted, without changing any state of the receiver."""

    last_index: TermOrIndex
    last_term: TermOrIndex


class PreVoteResponse(_RaftMessage, frozen=True, tag="PreVoted"):
    """Answers a pre-vote request."""

    granted: bool


class VoteRequest(_RaftMessage, frozen=True, tag="Vote"):
    """Requests a vote in `term`; a voter refuses a candidate whose last log entry is behind its own."""

    last_index: TermOrIndex
    last_term: TermOrIndex


class VoteResponse(_RaftMessage, frozen=True, tag="Voted"):
    """Answers a vote request."""

    granted: bool


class AppendEntriesRequest(_RaftMessage, frozen=True, tag="Append"):
    """Sends entries that follow one that both logs should contain; without entries it is a heartbeat.

    `sent_ms` is the send time on the leader's monotonic clock. Followers return it unchanged, and the leader
    extends its lease from that time.
    """

    previous_index: TermOrIndex = field(name="before_index")
    previous_term: TermOrIndex = field(name="before_term")
    entries: Entries
    commit_index: TermOrIndex = field(name="commit")
    sent_ms: float


class InstallSnapshotRequest(_RaftMessage, frozen=True, tag="Install"):
    """Sends the leader's complete snapshot to a follower that lacks entries the leader has compacted.

    The response is an AppendEntriesResponse. `sent_ms` is the same as in AppendEntriesRequest.
    """

    snapshot: Snapshot = field(name="base")
    sent_ms: float


class AppendEntriesResponse(_RaftMessage, frozen=True, tag="Appended"):
    """Answers an append entries or install snapshot request.

    `match_index` is the last index up to which both logs agree. If `success` is false it is an estimate,
    which the leader tries next. `request_sent_ms` repeats the request's `sent_ms`, on the leader's clock.
    """

    success: bool = field(name="good")
    match_index: TermOrIndex = field(name="match")
    request_sent_ms: float = field(name="sent_ms")


Message = (
    PreVoteRequest
    | PreVoteResponse
    | VoteRequest
    | VoteResponse
    | AppendEntriesRequest
    | InstallSnapshotRequest
    | AppendEntriesResponse
)


def message_from_object(data: object) -> Message:
    """Converts decoded JSON (dicts, lists, strings, numbers) to a message.

    Raises msgspec.ValidationError if it is not a valid message.
    """
    message: Message = msgspec.convert(data, Message, strict=True)
    return message


# --- actions for the owner of a voter -------------------------------------------------------


class Persist(Struct, frozen=True):
    """Write the state to disk and sync it before any later action of the same list is carried out."""

    saved: PersistentState


class Send(Struct, frozen=True):
    """Send the message to the voter named in its field `to`."""

    message: Message


class Committed(Struct, frozen=True):
    """A log entry is committed: no other entry can take its index. The owner applies it.

    Each entry after the snapshot is reported once, in log order. After a restart these entries are reported
    again. When the leader's snapshot replaces the log, only the values that it changes are reported, the
    latest one of each kind. `text` and `voters` are those of the entry.
    """

    index: int
    term: int
    kind: str
    text: str
    voters: tuple[str, ...]


Action = Persist | Send | Committed  # the owner carries out a list of actions in order
