"""Inspection of a socket's unread bytes and of the peer's end, without delivering the bytes to an owner."""

import select
import socket

DISCARD_BYTES = 64 * 1024  # in one read
MAX_DISCARD_READS = 16  # reads of unread bytes when a connection is closed
PEER_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def peek(sock: socket.socket) -> bytes | None:
    """The first unread byte, which stays unread.

    None: nothing is unread; empty: the peer has ended its output or the connection has failed.
    """
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def peer_ended(sock: socket.socket) -> bool:
    """Whether the peer has ended its output or reset the connection, even behind unread bytes.

    False where the system can't report it.
    """
    try:
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        return any(event & PEER_ENDED for _, event in poll.poll(0))
    except (OSError, ValueError):
        return False


def discard(sock: socket.socket) -> None:
    """Read and drop what is unread, up to a limit: otherwise a close would reset the connection."""
    try:
        for _ in range(MAX_DISCARD_READS):
            if not sock.recv(DISCARD_BYTES, socket.MSG_DONTWAIT):
                return
    except OSError:
        return
