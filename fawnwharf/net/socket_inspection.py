"""Inspects a socket's unread bytes and whether the peer has ended, without delivering the bytes."""

import fcntl
import select
import socket
import struct
import termios

DISCARD_BYTES = 64 * 1024  # in one read
MAX_DISCARD_READS = 16  # when a connection is closed
QUEUE_SIZE = struct.Struct("@i")  # the result of the ioctls FIONREAD and TIOCOUTQ
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


def unread_bytes(sock: socket.socket) -> int:
    """The number of bytes that have arrived and are not read yet; 0 if the system can't report it."""
    return _queue_size(sock, termios.FIONREAD)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """The number of written bytes that the peer has not acknowledged; 0 if the system can't report it."""
    return _queue_size(sock, termios.TIOCOUTQ)


def _queue_size(sock: socket.socket, request: int) -> int:
    try:
        answer = fcntl.ioctl(sock, request, bytes(QUEUE_SIZE.size))
    except (OSError, ValueError):
        return 0
    return max(0, int(QUEUE_SIZE.unpack(answer)[0]))


def peer_name(sock: socket.socket) -> str:
    """The address of a connected peer, for the log; `unknown` if the system can't report it."""
    try:
        host, port = sock.getpeername()[:2]
    except (OSError, ValueError):
        return "unknown"
    return f"{host}:{port}"


def discard(sock: socket.socket) -> None:
    """Read and discard unread bytes, up to a limit: with unread bytes, a close resets the connection."""
    try:
        for _ in range(MAX_DISCARD_READS):
            if not sock.recv(DISCARD_BYTES, socket.MSG_DONTWAIT):
                return
    except OSError:
        return
