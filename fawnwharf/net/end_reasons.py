"""Why connections and streams end, and which attempt result the router is given for each reason."""

import errno
from enum import Enum, auto

from fawnwharf.interface import AttemptResult


class EndReason(Enum):
    """Why a connection, an attempt or a load order ended."""

    REFUSED = auto()  # the connection was refused
    UNREACHABLE = auto()  # connecting failed in another way
    DIAL_TIMED_OUT = auto()
    NO_DESCRIPTOR = auto()  # this process has no descriptor or memory for another connection
    LOCAL_FAULT = auto()  # a transient error of this machine, which says nothing about the peer
    CLOSED_BY_PEER = auto()
    RESET_BY_PEER = auto()
    BAD_BYTES = auto()  # the peer sent what its protocol does not allow
    STUFFED = auto()  # the peer does not read: too much is unsent, or a frame stays partially written
    SILENT = auto()  # nothing was received for too long
    IDLE = auto()  # closed here, with nothing open on it
    RETIRED = auto()  # closed here, as its scorer has gone or restarted
    PULLED_BACK = auto()  # the scorer may receive nothing new
    NEVER_SENT = auto()  # the request was over, or the scorer unknown
    CALLED_OFF = auto()  # cancelled by the router
    OUT_OF_TIME = auto()  # no answer in time
    STOPPED = auto()  # this front end is closing


_NONE, _FAILED, _RESET = AttemptResult.NOT_SENT, AttemptResult.CONNECT_FAILED, AttemptResult.RESET

# The result of an attempt or load order, by how much of its frame was written: nothing, so that it can't have
# run; a part, on a connection that ended then, so that the scorer never received all of it and can't have
# run it either; all of it, so that it may have run.
RESULT_BY_REASON: dict[EndReason, tuple[AttemptResult, AttemptResult, AttemptResult]] = {
    EndReason.REFUSED: (_FAILED, _RESET, _RESET),
    EndReason.UNREACHABLE: (_FAILED, _FAILED, _RESET),
    EndReason.DIAL_TIMED_OUT: (_FAILED, _RESET, _RESET),
    EndReason.NO_DESCRIPTOR: (_NONE, _RESET, _RESET),
    EndReason.LOCAL_FAULT: (_NONE, _NONE, _RESET),
    # Partial: the next connect shows whether the scorer is there. An idle close may have crossed the frame.
    EndReason.CLOSED_BY_PEER: (_FAILED, _NONE, _RESET),
    EndReason.RESET_BY_PEER: (_FAILED, _NONE, _RESET),
    EndReason.BAD_BYTES: (_FAILED, _FAILED, _RESET),
    EndReason.STUFFED: (_FAILED, _FAILED, _RESET),
    EndReason.SILENT: (_FAILED, _FAILED, _RESET),
    EndReason.IDLE: (_NONE, _RESET, _RESET),
    EndReason.RETIRED: (_NONE, _NONE, _RESET),
    # From here on the connection stays open, so the rest of a partial frame may still be sent.
    EndReason.PULLED_BACK: (_NONE, _RESET, _RESET),
    EndReason.NEVER_SENT: (_NONE, _RESET, _RESET),
    EndReason.CALLED_OFF: (AttemptResult.CANCELLED, AttemptResult.CANCELLED, AttemptResult.CANCELLED),
    EndReason.OUT_OF_TIME: (_NONE, AttemptResult.TIMEOUT, AttemptResult.TIMEOUT),
    EndReason.STOPPED: (_NONE, _RESET, _RESET),
}


def attempt_result(end: EndReason, begun: bool, whole: bool = True) -> AttemptResult:
    """The attempt result of a stream that ended for this reason.

    `begun`: some of its frame was written; `whole`: all of it, or the written part counts as all of it, as
    for calls that must not run twice.
    """
    return RESULT_BY_REASON[end][begun + (begun and whole)]


class SystemCall(Enum):
    """The system calls whose errors are distinguished; any other is OTHER."""

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
)  # errors of this machine: the call is retried


def end_reason_of(error: OSError, call: SystemCall = SystemCall.OTHER) -> EndReason:
    """The end reason for an error of a system call."""
    return REASON_BY_ERRNO[call].get(error.errno or 0, EndReason.UNREACHABLE)
