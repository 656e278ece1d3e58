"""What front ends say to each other about calls. Values, checked as they come in; no logic.

Each stands on a line of its sender's log, for those whom the line names. Lines are lost where a log breaks
for long; they come in order, but a keeper or an owner that starts again begins a new life with new numbers.
"""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from fawnwharf.replication.claims import Claim, Key, Owner
from fawnwharf.zones.settings import Name

Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Span = Annotated[float, Meta(ge=0.0, le=3_600_000.0)]
PIECE_MOST = 2_000  # claims
Tenant = Annotated[str, Meta(max_length=128)]
Digest = Annotated[str, Meta(max_length=32)]


class Ask(Struct, frozen=True, tag="ask"):
    """An owner wants a call for itself. `members` is the number of the list that chose the keepers."""

    key: Key
    owner: Owner
    number: Annotated[int, Meta(ge=1)]
    members: Count
    slot: Count


class Tell(Struct, frozen=True, tag="tell"):
    """An owner's later word on a call that it had asked for."""

    key: Key
    claim: Claim


class Word(Struct, frozen=True, tag="word"):
    """A keeper's answer to an Ask, or its news for one that waits for another's call."""

    key: Key
    owner: Owner  # that it is for: a later life of the same front end has no use of it
    number: Count  # of the Ask
    granted: bool
    sure: bool = True  # False: it does not know, as it may have forgotten; True: the claims are all it has
    claims: Annotated[tuple[Claim, ...], Meta(max_length=64)] = ()  # of others, that count
    alive: Annotated[tuple[Owner, ...], Meta(max_length=64)] = ()  # of their owners
    age_ms: Span = 0.0  # since the first of them came here


class Wanted(Struct, frozen=True):
    """Slots of one owner."""

    owner: Owner
    first: Count
    until: Count


class Want(Struct, frozen=True, tag="want"):
    """A keeper asks another one for all, or for some slots. `members` is the number of
    its list: who is asked by a later one than its own grants nothing more by that."""

    number: Count
    life: Count  # of the one that asks
    members: Count = 0
    wanted: Annotated[tuple[Wanted, ...], Meta(max_length=64)] = ()  # none: all


class Held(Struct, frozen=True):
    key: Key
    claim: Claim
    left_ms: Span


class Piece(Struct, frozen=True, tag="piece"):
    """A part of what a keeper holds. The last one has the digest of all parts."""

    number: Count  # of the Want
    life: Count  # of the one that asked: what a life before it wanted is no answer to this one
    part: Count
    last: bool
    held: Annotated[tuple[Held, ...], Meta(max_length=PIECE_MOST)]
    digest: Digest = ""
    sure: bool = True  # the sender knows all that it should


class Slots(Struct, frozen=True):
    """Neighbouring slots of one owner, and what all that is held of them sums up to."""

    first: Count
    until: Count
    digest: Digest


class Digests(Struct, frozen=True, tag="digests"):
    """What a keeper holds that another one should hold too, by owner."""

    slots: Annotated[dict[Owner, Slots], Meta(max_length=4_000)]


class Hello(Struct, frozen=True, tag="hello"):
    """Who it is that asked for a log since this number: from then on it need not be told what is for
    others."""

    asked: Count


class Use(Struct, frozen=True, tag="use"):
    """How many calls of each tenant came to an owner since it started."""

    number: Count
    counts: Annotated[dict[Tenant, Count], Meta(max_length=512)]


class Sums(Struct, frozen=True, tag="sums"):
    """Calls a second by tenant, of as many front ends as a keeper hears."""

    rates: Annotated[dict[Tenant, Annotated[float, Meta(ge=0.0, le=1e9)]], Meta(max_length=512)]
    heard: Count


Worker = Annotated[str, Meta(pattern=r"^[0-9]{1,12}$")]


class Named(Struct, frozen=True, tag="named"):
    """Scorers that gave an owner bad signs alone, lately, and how many."""

    number: Count
    bad: Annotated[dict[Worker, Count], Meta(max_length=64)]


class Hints(Struct, frozen=True, tag="hints"):
    """Scorers that several front ends name, and how many."""

    scorers: Annotated[dict[Worker, Count], Meta(max_length=64)]


Function = Annotated[str, Meta(max_length=256)]
Number = Annotated[int, Meta(ge=0, le=1 << 40)]  # a scorer's


class Load(Struct, frozen=True, array_like=True):
    """An order to load that is under way, and since when."""

    worker: Number
    function: Function
    age_ms: Span


class Copy(Struct, frozen=True, array_like=True):
    """Copies that an answer proved, 0 where it proved that none stands, and how long ago."""

    worker: Number
    function: Function
    copies: Annotated[int, Meta(ge=0, le=1_000)]
    age_ms: Span


class Work(Struct, frozen=True, tag="work"):
    """What an owner has sent and ordered, and what that proved. It asks for what others have."""

    number: Count
    after: Annotated[dict[Name, Count], Meta(max_length=16)] = {}  # last answer had of each keeper
    wants: Annotated[str, Meta(max_length=48)] = ""  # keeper that is to tell all; the others only answer
    since: Count = 0  # last answer of that one that told all
    sent: Annotated[dict[Worker, Count], Meta(max_length=64)] = {}  # to cold scorers, of late
    loading: Annotated[tuple[Load, ...], Meta(max_length=64)] = ()
    copies: Annotated[tuple[Copy, ...], Meta(max_length=96)] = ()  # news
    cut: Count = 0  # copies and loads that found no room


class Others(Struct, frozen=True, tag="others"):
    """A keeper's answer to a Work: what all others have, without what its owner has."""

    number: Count  # of the Work
    life: Count  # of its owner
    answer: Count
    heard: Count = 0  # front ends, the one that asks among them; 0: another keeper tells all
    age_ms: Span = 0.0  # of the oldest word that the sends rest on
    sent: Annotated[dict[Worker, Count], Meta(max_length=64)] = {}
    loading: Annotated[tuple[Load, ...], Meta(max_length=256)] = ()
    copies: Annotated[tuple[Copy, ...], Meta(max_length=256)] = ()  # news since the answer that was had
    cut: Count = 0


class Status(Struct, frozen=True, tag="status"):
    """How a front end stands, for operators."""

    counts: Annotated[dict[str, Count], Meta(max_length=64)]
    open: Count = 0  # own calls that are asked for or under way
    keeps: bool = False
    sure: bool = False
    calls: Count = 0
    bytes: Count = 0
    members: Count = 0
    wait_ms: tuple[Span, Span] = (0.0, 0.0)  # of its last calls before they went: median, 99th percentile
    sent_bytes: Count = 0  # to others, since its start
    lags_ms: Annotated[dict[Name, Span], Meta(max_length=2_000)] = {}  # since each followed log gave a sign
    slots: Annotated[dict[Owner, Slots], Meta(max_length=4_000)] = {}  # of all that is kept


class Ride(Struct, frozen=True, tag="ride"):
    """A word of another subsystem that goes by these logs: its own messages check what it says."""

    rider: Name
    word: Any


Message = (
    Status
    | Hello
    | Use
    | Sums
    | Named
    | Hints
    | Work
    | Others
    | Ask
    | Tell
    | Word
    | Want
    | Piece
    | Digests
    | Ride
)


class Say(Struct, frozen=True):
    """Something for one, or for a few."""

    to: tuple[str, ...]
    message: Message


class Line(Struct, frozen=True):
    """One line of a member's log of state."""

    fleet: Name
    sender: Name
    life: Count
    to: Annotated[tuple[Name, ...], Meta(max_length=16)]  # none: for anybody
    say: Message


def line_from(data: Any) -> Line:
    """Raises msgspec.ValidationError for what no member says."""
    return msgspec.convert(data, Line)
