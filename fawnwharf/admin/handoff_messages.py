"""What a process and the one that takes its place say to each other, and who owns what at which moment. Pure.

Messages keep their bounds on the way (a Unix socket of that kind); those that carry a descriptor say so.
"""

from enum import Enum, auto

import msgspec

VERSION = 1
MAX_CHUNK_BYTES = 60_000  # bytes of one message; more goes in parts
PAUSE_DELAY_MS = 400.0  # after SIGTERM: connections that never fall idle are read no further
PREDECESSOR_TIMEOUT_MS = (
    2_800.0  # after SIGTERM: for the process before this one, which was told to end earlier
)
RELEASE_ANSWER_TIMEOUT_S = (
    5.0  # and where that lets go of its parts first: without them this one can't start beside it
)
READY_TIMEOUT_MS = 6_000.0  # how long one that let go of its parts waits for the other to be ready
STALL_TIMEOUT_MS = 3_000.0  # a process that takes nothing of what it is given for so long stands still
ANSWER_TIMEOUT_S = (
    1.5  # how long the new process waits for the old one at its start, before it goes on without it
)


class Hello(msgspec.Struct, tag="hello", frozen=True):
    """New to old, first: who takes whose place."""

    version: int
    listen: tuple[str, int]
    parts: bool = False  # it has some that only one process at a time may have: zones, replicated state


class Rejected(msgspec.Struct, tag="no", frozen=True):
    """Old to new: nothing is handed over."""

    why: str


class Chunk(msgspec.Struct, tag="part", frozen=True):
    """Old to new: a part of what was learnt (`memory`), or of the bytes unwritten on the next connection."""

    data: bytes


class ListenerHandoff(msgspec.Struct, tag="door", frozen=True):
    """Old to new: all of what was learnt has been said. Carries the listener."""


class Ready(msgspec.Struct, tag="ready", frozen=True):
    """New to old: from now on it accepts, and connections may come."""


class ConnectionHandoff(msgspec.Struct, tag="kept", frozen=True):
    """Old to new: a client connection, on which nothing is open here. Carries it."""

    partial: bytes = b""  # of a message that is not whole yet
    skip: int = 0  # bytes of an oversized one still to be thrown away
    spoke: bool = True
    empty_ms: float | None = None  # when nothing lay unread on it, by the monotonic clock, which both share


class OperatorCommand(msgspec.Struct, tag="told", frozen=True):
    """Either way: an operator's call that holds for both."""

    path: str
    target: str = ""


class Done(msgspec.Struct, tag="done", frozen=True):
    """Old to new: it ends, and nothing more will come. New to old: all has come, and it says nothing more.

    Guards what is on its way: where one end of such a socket closes with something unread, the other's next
    read fails, however much lies before it."""


Message = Hello | Rejected | Chunk | ListenerHandoff | Ready | ConnectionHandoff | OperatorCommand | Done
CARRY = (ListenerHandoff, ConnectionHandoff)  # one descriptor each

_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    return _encoder.encode(message)


def decode(data: bytes) -> Message | None:
    """None for what is no message of this version."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return None


def chunks(data: bytes) -> list[Chunk]:
    return [Chunk(data[at : at + MAX_CHUNK_BYTES]) for at in range(0, len(data), MAX_CHUNK_BYTES)]


class HandoffPhase(Enum):
    ALONE = auto()  # nobody takes this process's place
    ASKED = auto()  # somebody is about to; this one still accepts
    GIVEN = auto()  # the other accepts; this one gives its connections over
    ENDING = auto()  # as before, and this one has been told to end


class HandoffAction(Enum):
    """What follows for the old process."""

    NOTHING = auto()
    LET_GO = auto()  # of the parts first, then as TELL_ALL
    TELL_ALL = auto()  # what was learnt, and the door
    TURN_AWAY = auto()
    STOP_ACCEPTING = auto()
    ACCEPT_AGAIN = auto()
    PAUSE = auto()  # read no further


class HandoffSource:
    """The old process's side: from being alone to having given everything."""

    def __init__(self, listen: tuple[str, int]) -> None:
        self.listen = listen
        self.phase = HandoffPhase.ALONE
        self._leaving_ms: float | None = None
        self._paused = False

    @property
    def gives(self) -> bool:
        """Whether connections go over as they fall idle."""
        return self.phase in (HandoffPhase.GIVEN, HandoffPhase.ENDING)

    def hello(self, hello: Hello, parts: bool = False) -> HandoffAction:
        """`parts`: this process has some that the other may want."""
        good = hello.version == VERSION and tuple(hello.listen) == self.listen
        if not good or self.phase is not HandoffPhase.ALONE or self.leaving:
            return HandoffAction.TURN_AWAY
        self.phase = HandoffPhase.ASKED
        return HandoffAction.LET_GO if parts and hello.parts else HandoffAction.TELL_ALL

    def ready(self) -> HandoffAction:
        if self.phase is not HandoffPhase.ASKED:
            return HandoffAction.NOTHING
        self.phase = HandoffPhase.GIVEN if self._leaving_ms is None else HandoffPhase.ENDING
        return HandoffAction.STOP_ACCEPTING

    def lost(self) -> HandoffAction:
        """The channel has ended: the other process is gone, or gave up."""
        gave, self.phase, self._paused = self.gives, HandoffPhase.ALONE, False
        return HandoffAction.ACCEPT_AGAIN if gave else HandoffAction.NOTHING

    def leave(self, now_ms: float) -> None:
        """This process was told to end."""
        self._leaving_ms = now_ms
        if self.phase is HandoffPhase.GIVEN:
            self.phase = HandoffPhase.ENDING

    def awaits(self, now_ms: float) -> bool:
        """Whether one that ends waits for the process before it, whose connections come this way."""
        return self.phase is HandoffPhase.ENDING and now_ms - self._leaving_ms < PREDECESSOR_TIMEOUT_MS

    @property
    def leaving(self) -> bool:
        return self._leaving_ms is not None

    def look(self, now_ms: float) -> HandoffAction:
        """Now and then; what time alone brings."""
        if (
            self.phase is HandoffPhase.ENDING
            and not self._paused
            and now_ms - self._leaving_ms >= PAUSE_DELAY_MS
        ):
            self._paused = True
            return HandoffAction.PAUSE
        return HandoffAction.NOTHING

    def may_give(self, has_open: bool, unwritten: bool) -> bool:
        """Whether a connection may go over now: it has one owner at all times, so nothing may be open on it.
        What is unwritten goes along once this process ends; before, it is simpler to let it go out."""
        return self.gives and not has_open and (self._paused or not unwritten)
