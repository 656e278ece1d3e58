"""Why connections and streams end, and the attempt result that each reason stands for."""

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
    PROTOCOL_ERROR = auto()  # the peer violated the protocol
    PEER_NOT_READING = auto()  # too much output is queued, or a frame stays partially written
    SILENT = auto()  # nothing was received for too long
    IDLE = auto()  # closed by this side without open streams
    SUPERSEDED = auto()  # closed by this side, as its scorer has gone or restarted
    OUT_OF_SERVICE = auto()  # the scorer drains or has gone, and the stream was not sent yet
    NEVER_SENT = auto()  # it expired or its request ended before it was sent, or the scorer was not available
    CANCELLED = auto()  # cancelled by the router
    TIMED_OUT = auto()  # no answer before the deadline
    STOPPED = auto()  # this front end is shutting down


_NOT_SENT, _FAILED, _RESET = AttemptResult.NOT_SENT, AttemptResult.CONNECT_FAILED, AttemptResult.RESET

# The result of an attempt or load order by how much of its frame was written:
# 1. nothing: it can't have run;
# 2. a part, before the connection ended: the scorer never received all of it, so it can't have run;
# 3. all of it: it may have run.
RESULT_BY_REASON: dict[EndReason, tuple[AttemptResult, AttemptResult, AttemptResult]] = {
    EndReason.REFUSED: (_FAILED, _RESET, _RESET),
    EndReason.UNREACHABLE: (_FAILED, _FAILED, _RESET),
    EndReason.DIAL_TIMED_OUT: (_FAILED, _RESET, _RESET),
    EndReason.NO_DESCRIPTOR: (_NOT_SENT, _RESET, _RESET),
    EndReason.LOCAL_FAULT: (_NOT_SENT, _NOT_SENT, _RESET),
    # Partial frame: the peer may have closed an idle connection just as the frame was sent. The next
    # connection attempt shows whether the scorer is available.
    EndReason.CLOSED_BY_PEER: (_FAILED, _NOT_SENT, _RESET),
    EndReason.RESET_BY_PEER: (_FAILED, _NOT_SENT, _RESET),
    EndReason.PROTOCOL_ERROR: (_FAILED, _FAILED, _RESET),
    EndReason.PEER_NOT_READING: (_FAILED, _FAILED, _RESET),
    EndReason.SILENT: (_FAILED, _FAILED, _RESET),
    EndReason.IDLE: (_NOT_SENT, _RESET, _RESET),
    EndReason.SUPERSEDED: (_NOT_SENT, _NOT_SENT, _RESET),
    # For the reasons below the connection stays open, so the rest of a partial frame may still be sent.
    EndReason.OUT_OF_SERVICE: (_NOT_SENT, _RESET, _RESET),
    EndReason.NEVER_SENT: (_NOT_SENT, _RESET, _RESET),
    EndReason.CANCELLED: (AttemptResult.CANCELLED, AttemptResult.CANCELLED, AttemptResult.CANCELLED),
    EndReason.TIMED_OUT: (_NOT_SENT, AttemptResult.TIMEOUT, AttemptResult.TIMEOUT),
    EndReason.STOPPED: (_NOT_SENT, _RESET, _RESET),
}


def attempt_result(end: EndReason, begun: bool, whole: bool = True) -> AttemptResult:
    """The attempt result of a stream that ended for this reason.

    `begun`: whether some of its frame was written; `whole`: whether all of it was written, or a part has to
    count as all of it, as for calls that must not run twice.
    """
    return RESULT_BY_REASON[end][begun + (begun and whole)]


class SystemCall(Enum):
    """The system calls whose errors are distinguished."""

    SOCKET = "socket"
    CONNECT = "connect"
    CONNECTED = "SO_ERROR"  # the result of a non-blocking connect
    WATCH = "epoll_ctl"
    SEND = "sendmsg"
    OTHER = "other"


_NO_RESOURCES = dict.fromkeys(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM), EndReason.NO_DESCRIPTOR
)
# No free port, or the network interface is down.
_NO_LOCAL_ADDRESS = dict.fromkeys((errno.EADDRNOTAVAIL, errno.ENETDOWN), EndReason.LOCAL_FAULT)
_INTERRUPTED = dict.fromkeys((errno.EINTR, errno.EAGAIN), EndReason.LOCAL_FAULT)
_PEER = {
    errno.ECONNREFUSED: EndReason.REFUSED,
    errno.ECONNRESET: EndReason.RESET_BY_PEER,
    errno.EPIPE: EndReason.RESET_BY_PEER,
    errno.ECONNABORTED: EndReason.RESET_BY_PEER,
    errno.EHOSTUNREACH: EndReason.UNREACHABLE,
    errno.ETIMEDOUT: EndReason.UNREACHABLE,
}
# The end reason for each error number, by the call that failed; other errors mean UNREACHABLE. ENETUNREACH
# from connect() itself means that this machine has no route. Reported later, it comes from a network router
# and concerns the peer.
REASON_BY_ERRNO: dict[SystemCall, dict[int, EndReason]] = {
    SystemCall.SOCKET: _NO_RESOURCES | _INTERRUPTED,
    SystemCall.CONNECT: _NO_RESOURCES
    | _NO_LOCAL_ADDRESS
    | _INTERRUPTED
    | _PEER
    | {errno.ENETUNREACH: EndReason.LOCAL_FAULT},
    SystemCall.CONNECTED: _NO_RESOURCES
    | _NO_LOCAL_ADDRESS
    | _INTERRUPTED
    | _PEER
    | {errno.ENETUNREACH: EndReason.UNREACHABLE},
    SystemCall.WATCH: _NO_RESOURCES | _INTERRUPTED | {errno.ENOSPC: EndReason.NO_DESCRIPTOR},
    SystemCall.SEND: _NO_RESOURCES | _NO_LOCAL_ADDRESS | _INTERRUPTED | _PEER,
    SystemCall.OTHER: _NO_RESOURCES | _PEER,
}
# Errors of this machine, after which the call is retried.
LOCAL_REASONS = frozenset((EndReason.NO_DESCRIPTOR, EndReason.LOCAL_FAULT))


def end_reason_of(error: OSError, call: SystemCall = SystemCall.OTHER) -> EndReason:
    """The end reason that an error of this system call stands for."""
    return REASON_BY_ERRNO[call].get(error.errno or 0, EndReason.UNREACHABLE)
