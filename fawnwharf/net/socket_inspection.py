"""What a socket can tell of its unread bytes and of its peer's end, without handing the bytes to anybody."""

import select
import socket

DISCARD_BYTES = 64 * 1024  # in one read
DISCARDS_MOST = 16  # reads of what lies unread at a close
PEER_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def peek(sock: socket.socket) -> bytes | None:
    """The first unread byte: None where there is none, empty where the peer has ended its output."""
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def peer_ended(sock: socket.socket) -> bool:
    """Whether the peer has ended its output or reset the connection, also behind unread bytes. False where
    the system can't tell."""
    try:
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        return any(event & PEER_ENDED for _, event in poll.poll(0))
    except (OSError, ValueError):
        return False


def discard(sock: socket.socket) -> None:
    """Read and throw away what lies unread: a close would reset the connection otherwise."""
    try:
        for _ in range(DISCARDS_MOST):
            if not sock.recv(DISCARD_BYTES, socket.MSG_DONTWAIT):
                return
    except OSError:
        return
