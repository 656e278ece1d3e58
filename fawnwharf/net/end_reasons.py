"""Every way in which a connection, or what travels on it, can end, and what the module is told."""

import errno
from enum import Enum, auto

from fawnwharf.interface import AttemptResult


class EndReason(Enum):
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
RESULT_BY_REASON: dict[EndReason, tuple[AttemptResult, AttemptResult, AttemptResult]] = {
    EndReason.REFUSED: (_FAILED, _RESET, _RESET),
    EndReason.UNREACHABLE: (_FAILED, _FAILED, _RESET),
    EndReason.DIAL_TIMED_OUT: (_FAILED, _RESET, _RESET),
    EndReason.NO_DESCRIPTOR: (_NONE, _RESET, _RESET),
    EndReason.LOCAL_FAULT: (_NONE, _NONE, _RESET),
    # In part: the next dial shows whether the scorer is there. A close while idle may have crossed the frame.
    EndReason.CLOSED_BY_PEER: (_FAILED, _NONE, _RESET),
    EndReason.RESET_BY_PEER: (_FAILED, _NONE, _RESET),
    EndReason.BAD_BYTES: (_FAILED, _FAILED, _RESET),
    EndReason.STUFFED: (_FAILED, _FAILED, _RESET),
    EndReason.SILENT: (_FAILED, _FAILED, _RESET),
    EndReason.IDLE: (_NONE, _RESET, _RESET),
    EndReason.RETIRED: (_NONE, _NONE, _RESET),
    # From here on the connection lives on, and so may the rest of a frame that was written in part.
    EndReason.PULLED_BACK: (_NONE, _RESET, _RESET),
    EndReason.NEVER_SENT: (_NONE, _RESET, _RESET),
    EndReason.CALLED_OFF: (AttemptResult.CANCELLED, AttemptResult.CANCELLED, AttemptResult.CANCELLED),
    EndReason.OUT_OF_TIME: (_NONE, AttemptResult.TIMEOUT, AttemptResult.TIMEOUT),
    EndReason.STOPPED: (_NONE, _RESET, _RESET),
}


def attempt_result(end: EndReason, begun: bool, whole: bool = True) -> AttemptResult:
    """What the module is told of a stream that had this end. `begun`: some of its frame was written; `whole`:
    all of it, or what was written is to count as all, as for calls that must not run twice."""
    return RESULT_BY_REASON[end][begun + (begun and whole)]


class SystemCall(Enum):
    """The calls of the system whose errors are told apart; any other is OTHER."""

    SOCKET = "socket"
    CONNECT = "connect"
    CONNECTED = "SO_ERROR"  # the outcome of a connect that did not finish at once
    WATCH = "epoll_ctl"
    SEND = "sendmsg"
    OTHER = "other"


_NO_ROOM = dict.fromkeys((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM), EndReason.NO_DESCRIPTOR)
_NO_WAY = dict.fromkeys(
    (errno.EADDRNOTAVAIL, errno.ENETDOWN), EndReason.LOCAL_FAULT
)  # no port left, no device
_AGAIN = dict.fromkeys((errno.EINTR, errno.EAGAIN), EndReason.LOCAL_FAULT)
_PEER = {
    errno.ECONNREFUSED: EndReason.REFUSED,
    errno.ECONNRESET: EndReason.RESET_BY_PEER,
    errno.EPIPE: EndReason.RESET_BY_PEER,
    errno.ECONNABORTED: EndReason.RESET_BY_PEER,
    errno.EHOSTUNREACH: EndReason.UNREACHABLE,
    errno.ETIMEDOUT: EndReason.UNREACHABLE,
}
# The end that an error stands for, by the call that failed; what is not listed is UNREACHABLE. ENETUNREACH
# is this machine's own missing route where connect() itself fails, and a router's word about the other side
# where it comes later.
REASON_BY_ERRNO: dict[SystemCall, dict[int, EndReason]] = {
    SystemCall.SOCKET: _NO_ROOM | _AGAIN,
    SystemCall.CONNECT: _NO_ROOM | _NO_WAY | _AGAIN | _PEER | {errno.ENETUNREACH: EndReason.LOCAL_FAULT},
    SystemCall.CONNECTED: _NO_ROOM | _NO_WAY | _AGAIN | _PEER | {errno.ENETUNREACH: EndReason.UNREACHABLE},
    SystemCall.WATCH: _NO_ROOM | _AGAIN | {errno.ENOSPC: EndReason.NO_DESCRIPTOR},
    SystemCall.SEND: _NO_ROOM | _NO_WAY | _AGAIN | _PEER,
    SystemCall.OTHER: _NO_ROOM | _PEER,
}
LOCAL_REASONS = frozenset(
    (EndReason.NO_DESCRIPTOR, EndReason.LOCAL_FAULT)
)  # this machine's own: the call is tried again


def end_reason_of(error: OSError, call: SystemCall = SystemCall.OTHER) -> EndReason:
    """The end that an error of the system stands for."""
    return REASON_BY_ERRNO[call].get(error.errno or 0, EndReason.UNREACHABLE)
