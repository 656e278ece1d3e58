"""Inspects a socket's unread bytes and whether the peer has ended, without delivering the bytes."""

import select
import socket

DISCARD_BYTES = 64 * 1024  # in one read
MAX_DISCARD_READS = 16  # when a connection is closed
PEER_ENDED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def peek(sock: socket.socket) -> bytes | None:
    """The first unread byte, which stays unread.

    None if nothing is unread; empty if the peer has ended its output or the connection has failed.
    """
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def peer_ended(sock: socket.socket) -> bool:
    """Whether the peer has ended its output or reset the connection, even if bytes are still unread.

    False if the system can't report it.
    """
    try:
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        return any(event & PEER_ENDED for _, event in poll.poll(0))
    except (OSError, ValueError):
        return False


def discard(sock: socket.socket) -> None:
    """Read and discard unread bytes, up to a limit: with unread bytes, a close resets the connection."""
    try:
        for _ in range(MAX_DISCARD_READS):
            if not sock.recv(DISCARD_BYTES, socket.MSG_DONTWAIT):
                return
    except OSError:
        return
