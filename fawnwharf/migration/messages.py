"""Messages between front ends on session placements, and the effects that follow.

Values, checked as they come in.

Lines are lost where a log breaks for long, come twice, and come late: nothing depends on their order. A
`Turn` is a ballot and a `number` a slot, in the terms of Paxos (Lamport 1998): each number is decided once,
by ballots that only rise.
"""

from enum import IntEnum
from typing import Annotated

from msgspec import Meta, Struct, field

from fawnwharf.session_types import (
    DurationMs,
    Identifier,
    Placement,
    PredictedMove,
    PrefetchOrder,
    PrefetchRelease,
    Session,
)

Count = Annotated[int, Meta(ge=0, le=1 << 53)]
Name = Annotated[str, Meta(max_length=80)]
Site = Annotated[str, Meta(max_length=128)]
PIECE_MOST = 500  # records


class Step(IntEnum):
    """How far the migration with a number has come, of those that are decided."""

    SWITCHED = 1
    SETTLED = 2
    RELEASED = 3


class Turn(Struct, frozen=True, order=True, gc=False):
    """A ballot: later ones have a larger count, and no two coordinators share one."""

    count: Count = 0
    mover: Name = ""


class Offer(Struct, frozen=True, order=True, gc=False):
    """What a coordinator means to do with its ballot, so that a backup can go on with it."""

    number: Count
    turn: Turn
    destination: Identifier = field(name="whither")


class Grant(Struct, frozen=True, order=True, gc=False):
    """A replica's accepted value for a number; of several ballots the last one counts."""

    number: Annotated[int, Meta(ge=1, le=1 << 53)]
    turn: Turn
    site: Identifier
    source: Site = field(name="whence")


class Record(Struct, frozen=True, gc=False):
    """All that a replica holds of a session. Number 0: it was never moved, and is where it began."""

    number: Count = 0
    site: Site = ""  # its home by that number; empty where nobody said
    source: Site = field(default="", name="whence")
    step: Step = Step.RELEASED
    promised: Turn = Turn()  # nothing of an earlier turn is granted any more
    offer: Offer | None = None
    grant: Grant | None = None  # of the number after `number`


class Context(Struct, frozen=True, gc=False):
    """What makes a session's next call cheap and safe.

    Claims are not part of it, as they are stored by call.
    """

    rate: Annotated[float, Meta(ge=0.0)] = 0.0  # calls a second
    copies: Annotated[int, Meta(ge=1, le=16)] = 1  # that serve it
    spent: tuple[tuple[Name, Count], ...] = ()  # of the tenant's quota, by who counted: merged, not added


class Facts(Struct, frozen=True, gc=False):
    """What one front end has seen of a session's calls, by which copies elsewhere have to be ordered.

    Durations are milliseconds; a load's or a run's is 0 where none was seen.
    """

    kind: Name  # the class
    lanes: Annotated[int, Meta(ge=1, le=1_024)] = 1
    load_ms: DurationMs = 0.0
    run_ms: DurationMs = 0.0
    rate: Annotated[float, Meta(ge=0.0, le=1e6)] = 0.0  # calls a second


# --- between a mover and keepers ------------------------------------------------------------


class Ask(Struct, frozen=True, tag="ask"):
    """A coordinator wants a ballot for a session.

    `known` is the placement it goes by, `destination` its offer; a backup has neither.
    """

    session: Session
    turn: Turn
    known: Placement | None
    destination: Site = field(default="", name="whither")
    list: Count = 0  # number of the list of members that the mover goes by


class Switch(Struct, frozen=True, tag="switch"):
    """By this ballot the session is to be placed at `site`, with the number after `before`."""

    session: Session
    turn: Turn
    before: Placement
    site: Identifier
    list: Count = 0


class Word(Struct, frozen=True, tag="word"):
    """A replica's answer to an Ask, or to a Switch of `number`; `yes` is a promise, or a grant."""

    session: Session
    turn: Turn  # that was asked by
    number: Count  # 0: to an Ask
    yes: bool
    sure: bool  # False: it may have forgotten, and neither promises nor grants
    record: Record


class Told(Struct, frozen=True, tag="told"):
    """What was decided and how far it has come, to replicas and front ends; whoever knows less goes by it."""

    home: Placement
    source: Site = field(name="whence")
    step: Step


class Met(Struct, frozen=True, tag="met"):
    """A front end uses this placement of a session; a replica that knows a later one answers."""

    home: Placement
    facts: Facts | None = None


class Resume(Struct, frozen=True, tag="resume"):
    """A replica holds an open migration whose coordinator is gone: to the backup."""

    session: Session


class Please(Struct, frozen=True, tag="please"):
    """Requests a migration from the session's coordinator, which answers `Begun` and how it ends."""

    move: PredictedMove


class Begun(Struct, frozen=True, tag="begun"):
    """A coordinator's answer to a request.

    `home` is the last placement it knows, `over` says no more comes.
    """

    session: Session
    home: Placement | None
    why: Name
    over: bool


# --- between keepers ------------------------------------------------------------------------


class Want(Struct, frozen=True, tag="want"):
    """A restarted replica requests all that another one holds."""

    life: Count
    number: Count


class Held(Struct, frozen=True):
    """A session's record, as a replica holds it."""

    session: Session
    record: Record
    away: Site = ""  # the closed site that it was taken from, and returns to


class Piece(Struct, frozen=True, tag="piece"):
    """A chunk of what a replica holds.

    What another incarnation or an earlier request asked for is no answer.
    """

    life: Count
    number: Count
    part: Count
    last: bool
    sure: bool  # the sender knows all that it should
    held: Annotated[tuple[Held, ...], Meta(max_length=PIECE_MOST)]
    list: Count = 0  # by which the sender grants, if at all
    earlier: Count = 0  # the list before that, if it knew all by that one


# --- between a mover and front ends ---------------------------------------------------------


class Give(Struct, frozen=True, tag="give"):
    """To a front end of the old zone: the context is wanted."""

    session: Session
    turn: Turn


class Given(Struct, frozen=True, tag="given"):
    """Its answer: the context."""

    session: Session
    turn: Turn
    context: Context


class Receive(Struct, frozen=True, tag="receive"):
    """To a front end of the new zone: have so many copies loaded, and hold the session's context.

    `number` is the one that the session will have there.
    """

    session: Session
    turn: Turn
    number: Count
    copies: Annotated[int, Meta(ge=1, le=16)]
    until_ms: DurationMs
    context: Context | None = None
    facts: Facts | None = None


class Ready(Struct, frozen=True, tag="ready"):
    """Its answer: whether the copies stand, and whether it has the context."""

    session: Session
    turn: Turn
    stands: bool
    has: bool


class Drop(Struct, frozen=True, tag="drop"):
    """To both sides: what was prefetched with this ballot will not be used, and its offer is withdrawn."""

    session: Session
    turn: Turn


class Left(Struct, frozen=True, tag="left"):
    """A front end goes by this number, and has so many calls in flight by smaller ones.

    `others`: sessions of the same function that it knows as placed, or prefetched, at the old zone.
    """

    session: Session
    number: Count
    under_way: Count
    others: Count
    life: Count = 1  # of the front end: a later one may have met less


class Release(Struct, frozen=True, tag="release"):
    """To a front end of the old zone: the session has settled elsewhere."""

    session: Session
    number: Count


class MayLetGo(Struct, frozen=True, tag="may let go"):
    """To replicas: may the copies at `site` of a session with this placement be released?

    Not if it is offered there.

    A Release or a Drop may come late: two of three replicas that know no later number, and take no offer for
    as long as their answer counts, prove that it is not too late.
    """

    home: Placement
    site: Identifier
    list: Count = 0


class Let(Struct, frozen=True, tag="let"):
    """A replica's answer to that.

    `used`: another session of the function is placed there, as far as it knows.
    """

    session: Session
    number: Count
    yes: bool
    used: bool = False


Message = (
    Ask
    | Switch
    | Word
    | Told
    | Met
    | Resume
    | Please
    | Begun
    | Want
    | Piece
    | Give
    | Given
    | Receive
    | Ready
    | Drop
    | Left
    | Release
    | MayLetGo
    | Let
)

# --- effects --------------------------------------------------------------------------------


class Say(Struct, frozen=True):
    """Effect: send a message to these front ends."""

    to: tuple[str, ...]
    message: Message


class Moved(Struct, frozen=True):
    """Effect, decided: from now on whoever hears of it sends the session's new calls there."""

    home: Placement
    source: str
    lost: tuple[str, ...] = ()  # what could not be carried over


class Ended(Struct, frozen=True):
    """Effect: this coordinator has nothing more to do with the migration.

    `home` is the last placement it knows; `done` says that all steps were completed.
    """

    home: Placement
    why: str
    done: bool = False


class Reroute(Struct, frozen=True):
    """Effect: a call that was not yet sent goes to another zone."""

    call: str
    home: Placement


Out = Say | PrefetchOrder | PrefetchRelease | Moved | Ended | Reroute
