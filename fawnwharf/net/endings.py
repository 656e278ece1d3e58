"""Every way in which a connection, or what travels on it, can end, and what the module is told."""

import errno
from enum import Enum, auto

from fawnwharf.interface import Ending


class End(Enum):
    REFUSED = auto()  # the dial was turned away
    UNREACHABLE = auto()  # the dial failed in some other way
    DIAL_TIMED_OUT = auto()
    NO_DESCRIPTOR = auto()  # this process has no room for another connection
    CLOSED_BY_PEER = auto()
    RESET_BY_PEER = auto()
    BAD_BYTES = auto()  # the peer sent what its protocol does not allow
    STUFFED = auto()  # the peer does not read, and too much waits for it
    SILENT = auto()  # nothing came for too long
    IDLE = auto()  # closed here, with nothing open on it
    RETIRED = auto()  # closed here, as its scorer is gone or has started anew
    PULLED_BACK = auto()  # the scorer may be sent nothing new
    NEVER_SENT = auto()  # the request was over, or the scorer unknown
    CALLED_OFF = auto()  # cancelled by the module
    OUT_OF_TIME = auto()  # no answer in time
    STOPPED = auto()  # this front end ends


_NONE, _FAILED, _RESET = Ending.NOT_SENT, Ending.CONNECT_FAILED, Ending.RESET

# What the module is told of an attempt or order: first where not one byte of it was written, so that
# it can't have run; then where some were, so that it may have.
TOLD: dict[End, tuple[Ending, Ending]] = {
    End.REFUSED: (_FAILED, _RESET),
    End.UNREACHABLE: (_FAILED, _RESET),
    End.DIAL_TIMED_OUT: (_FAILED, _RESET),
    End.NO_DESCRIPTOR: (_NONE, _RESET),
    End.CLOSED_BY_PEER: (_FAILED, _RESET),
    End.RESET_BY_PEER: (_FAILED, _RESET),
    End.BAD_BYTES: (_FAILED, _RESET),
    End.STUFFED: (_FAILED, _RESET),
    End.SILENT: (_FAILED, _RESET),
    End.IDLE: (_NONE, _RESET),
    End.RETIRED: (_NONE, _RESET),
    End.PULLED_BACK: (_NONE, _RESET),
    End.NEVER_SENT: (_NONE, _RESET),
    End.CALLED_OFF: (Ending.CANCELLED, Ending.CANCELLED),
    End.OUT_OF_TIME: (_NONE, Ending.TIMEOUT),
    End.STOPPED: (_NONE, _RESET),
}


def told(end: End, begun: bool) -> Ending:
    return TOLD[end][begun]


def end_of(error: OSError) -> End:
    """The end that an error of the system stands for."""
    if error.errno == errno.ECONNREFUSED:
        return End.REFUSED
    if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
        return End.NO_DESCRIPTOR
    if error.errno in (errno.ECONNRESET, errno.EPIPE, errno.ECONNABORTED):
        return End.RESET_BY_PEER
    return End.UNREACHABLE
