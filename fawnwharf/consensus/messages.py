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
MAX_TEXT_CHARACTERS = 64 * 1024  # of the text of one log entry
MAX_ENTRIES_PER_MESSAGE = 64
MAX_LEADER_ENTRIES = 64  # in the log of a leader, after its snapshot; a longer one accepts no proposals
MAX_SAVED_ENTRIES = 2 * MAX_LEADER_ENTRIES  # in a log on disk, after its snapshot

# 0 is before the first one. The limit keeps the number exact for readers of JSON that use doubles.
TermOrIndex = Annotated[int, Meta(ge=0, lt=2**53)]
VoterIdentity = Annotated[str, Meta(min_length=1, max_length=96)]  # member and disk, as in `a#0f3c9b21`
EntryText = Annotated[str, Meta(max_length=MAX_TEXT_CHARACTERS)]  # JSON that consensus does not read
VoterList = Annotated[tuple[VoterIdentity, ...], Meta(max_length=MAX_VOTERS)]


class Entry(Struct, frozen=True):
    """One log entry: a zone plan, a policy, the state of a fleet recovery, a voter list, or nothing.

    A leader begins each term with an entry of kind "none". `text` holds the value of the first three kinds
    and is "" in the others. `voters` is the complete new list in an entry of kind "voters", empty in the
    others.
    """

    term: TermOrIndex
    kind: Annotated[str, Meta(pattern="^(none|plan|policy|recovery|voters)$")]
    text: EntryText = field(default="", name="plan")
    voters: VoterList = ()


Entries = Annotated[tuple[Entry, ...], Meta(max_length=MAX_ENTRIES_PER_MESSAGE)]


class Snapshot(Struct, frozen=True):
    """The compacted prefix of the log: the last committed entry of each kind up to `index`.

    `plan`, `policy` and `recovery` are the texts of those entries, "" where there was none: the zone plan,
    the policy of the fleet, and the state of a recovery after a failure of the whole fleet. `plan_index`,
    `policy_index` and `recovery_index` are the log indexes of the entries themselves, 0 where there was none.
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
    """What must survive a crash; it is on disk before any message that depends on it is sent.

    `voted_for` is the candidate that got this voter's vote in `term`, "" where none did. `entries` are those
    after the snapshot, committed or not.
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

        At the snapshot's index itself it is the snapshot's term; index 0 has term 0 in a log without
        snapshot.
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
    """Asks whether a vote in `term` would be granted; neither request nor response changes any state."""

    last_index: TermOrIndex
    last_term: TermOrIndex


class PreVoteResponse(_RaftMessage, frozen=True, tag="PreVoted"):
    """Answers a pre-vote request."""

    granted: bool


class VoteRequest(_RaftMessage, frozen=True, tag="Vote"):
    """Asks for a vote in `term`; the log position lets a voter refuse a candidate whose log is behind."""

    last_index: TermOrIndex
    last_term: TermOrIndex


class VoteResponse(_RaftMessage, frozen=True, tag="Voted"):
    """Answers a vote request."""

    granted: bool


class AppendEntriesRequest(_RaftMessage, frozen=True, tag="Append"):
    """The leader's entries after one that both logs should contain; without entries it is a heartbeat.

    `sent_ms` is the sending time on the leader's monotonic clock. Only the leader compares it with anything;
    it extends its lease by the time that the response carries back.
    """

    previous_index: TermOrIndex = field(name="before_index")
    previous_term: TermOrIndex = field(name="before_term")
    entries: Entries
    commit_index: TermOrIndex = field(name="commit")
    sent_ms: float


class InstallSnapshotRequest(_RaftMessage, frozen=True, tag="Install"):
    """The leader's complete snapshot, for a follower whose missing entries are compacted.

    Answered by an AppendEntriesResponse. `sent_ms` is as in AppendEntriesRequest.
    """

    snapshot: Snapshot = field(name="base")
    sent_ms: float


class AppendEntriesResponse(_RaftMessage, frozen=True, tag="Appended"):
    """Answers an append entries or install snapshot request.

    `match_index` is the last index on which both logs agree; without success it is an estimate of it, which
    the leader tries next. `request_sent_ms` repeats `sent_ms` of the request: a time on the leader's clock.
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
    """The message in a decoded line of JSON (dicts, lists, strings, numbers).

    Raises msgspec.ValidationError for anything that is no valid message.
    """
    message: Message = msgspec.convert(data, Message, strict=True)
    return message


# --- actions for the owner of a voter -------------------------------------------------------


class Persist(Struct, frozen=True):
    """Write the state `saved` to disk and sync it before any later action of the same list is carried out."""

    saved: PersistentState


class Send(Struct, frozen=True):
    """Send a message to the voter that it names."""

    message: Message


class Committed(Struct, frozen=True):
    """A log entry is committed: no other entry will ever have its index. The owner applies it.

    Reported once for each entry, in the order of the log, from the end of the snapshot: after a restart the
    entries since then are reported again. Where a snapshot of the leader replaces the log, only the latest
    value of each kind that it changes is reported. `text` and `voters` are those of the entry.
    """

    index: int
    term: int
    kind: str
    text: str
    voters: tuple[str, ...]


Action = Persist | Send | Committed  # a list of them is carried out in its order
