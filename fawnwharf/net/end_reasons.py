"""Every way in which a connection, or what travels on it, can end, and what the module is told."""

import errno
from enum import Enum, auto

from fawnwharf.interface import AttemptResult


class End(Enum):
    REFUSED = auto()  # the dial was turned away
    UNREACHABLE = auto()  # the dial failed in some other way
    DIAL_TIMED_OUT = auto()
    NO_DESCRIPTOR = auto()  # this process has no room for another connection
    LOCAL_FAULT = auto()  # a passing fault of this machine, which says nothing about the peer
    CLOSED_BY_PEER = auto()
    RESET_BY_PEER = auto()
    BAD_BYTES = auto()  # the peer sent what its protocol does not allow
    STUFFED = auto()  # the peer does not read, and too much waits for it, or a frame stays written in part
    SILENT = auto()  # nothing came for too long
    IDLE = auto()  # closed here, with nothing open on it
    RETIRED = auto()  # closed here, as its scorer is gone or has started anew
    PULLED_BACK = auto()  # the scorer may be sent nothing new
    NEVER_SENT = auto()  # the request was over, or the scorer unknown
    CALLED_OFF = auto()  # cancelled by the module
    OUT_OF_TIME = auto()  # no answer in time
    STOPPED = auto()  # this front end ends


_NONE, _FAILED, _RESET = AttemptResult.NOT_SENT, AttemptResult.CONNECT_FAILED, AttemptResult.RESET

# What the module is told of an attempt or order, by how far its frame had been written: not one byte, so that
# it can't have run; in part, on a connection that ended then, so that the scorer never had it whole and can't
# have run it either; whole, so that it may have run.
TOLD: dict[End, tuple[AttemptResult, AttemptResult, AttemptResult]] = {
    End.REFUSED: (_FAILED, _RESET, _RESET),
    End.UNREACHABLE: (_FAILED, _FAILED, _RESET),
    End.DIAL_TIMED_OUT: (_FAILED, _RESET, _RESET),
    End.NO_DESCRIPTOR: (_NONE, _RESET, _RESET),
    End.LOCAL_FAULT: (_NONE, _NONE, _RESET),
    # In part: the next dial shows whether the scorer is there. A close while idle may have crossed the frame.
    End.CLOSED_BY_PEER: (_FAILED, _NONE, _RESET),
    End.RESET_BY_PEER: (_FAILED, _NONE, _RESET),
    End.BAD_BYTES: (_FAILED, _FAILED, _RESET),
    End.STUFFED: (_FAILED, _FAILED, _RESET),
    End.SILENT: (_FAILED, _FAILED, _RESET),
    End.IDLE: (_NONE, _RESET, _RESET),
    End.RETIRED: (_NONE, _NONE, _RESET),
    # From here on the connection lives on, and so may the rest of a frame that was written in part.
    End.PULLED_BACK: (_NONE, _RESET, _RESET),
    End.NEVER_SENT: (_NONE, _RESET, _RESET),
    End.CALLED_OFF: (AttemptResult.CANCELLED, AttemptResult.CANCELLED, AttemptResult.CANCELLED),
    End.OUT_OF_TIME: (_NONE, AttemptResult.TIMEOUT, AttemptResult.TIMEOUT),
    End.STOPPED: (_NONE, _RESET, _RESET),
}


def told(end: End, begun: bool, whole: bool = True) -> AttemptResult:
    """What the module is told of a stream that had this end. `begun`: some of its frame was written; `whole`:
    all of it, or what was written is to count as all, as for calls that must not run twice."""
    return TOLD[end][begun + (begun and whole)]


class SystemCall(Enum):
    """The calls of the system whose errors are told apart; any other is OTHER."""

    SOCKET = "socket"
    CONNECT = "connect"
    CONNECTED = "SO_ERROR"  # the outcome of a connect that did not finish at once
    WATCH = "epoll_ctl"
    SEND = "sendmsg"
    OTHER = "other"


_NO_ROOM = dict.fromkeys((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM), End.NO_DESCRIPTOR)
_NO_WAY = dict.fromkeys((errno.EADDRNOTAVAIL, errno.ENETDOWN), End.LOCAL_FAULT)  # no port left, no device
_AGAIN = dict.fromkeys((errno.EINTR, errno.EAGAIN), End.LOCAL_FAULT)
_PEER = {
    errno.ECONNREFUSED: End.REFUSED,
    errno.ECONNRESET: End.RESET_BY_PEER,
    errno.EPIPE: End.RESET_BY_PEER,
    errno.ECONNABORTED: End.RESET_BY_PEER,
    errno.EHOSTUNREACH: End.UNREACHABLE,
    errno.ETIMEDOUT: End.UNREACHABLE,
}
# The end that an error stands for, by the call that failed; what is not listed is UNREACHABLE. ENETUNREACH
# is this machine's own missing route where connect() itself fails, and a router's word about the other side
# where it comes later.
ERRORS: dict[SystemCall, dict[int, End]] = {
    SystemCall.SOCKET: _NO_ROOM | _AGAIN,
    SystemCall.CONNECT: _NO_ROOM | _NO_WAY | _AGAIN | _PEER | {errno.ENETUNREACH: End.LOCAL_FAULT},
    SystemCall.CONNECTED: _NO_ROOM | _NO_WAY | _AGAIN | _PEER | {errno.ENETUNREACH: End.UNREACHABLE},
    SystemCall.WATCH: _NO_ROOM | _AGAIN | {errno.ENOSPC: End.NO_DESCRIPTOR},
    SystemCall.SEND: _NO_ROOM | _NO_WAY | _AGAIN | _PEER,
    SystemCall.OTHER: _NO_ROOM | _PEER,
}
PASSING = frozenset((End.NO_DESCRIPTOR, End.LOCAL_FAULT))  # this machine's own: the call is tried again


def end_of(error: OSError, call: SystemCall = SystemCall.OTHER) -> End:
    """The end that an error of the system stands for."""
    return ERRORS[call].get(error.errno or 0, End.UNREACHABLE)
