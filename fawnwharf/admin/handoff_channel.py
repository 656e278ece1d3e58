"""The Unix socket between a process and its successor, for messages and the descriptors that they carry."""

import array
import errno
import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from fawnwharf.admin import handoff_messages as messages
from fawnwharf.net.event_loop import READ, WRITE, EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms

MAX_MESSAGE_BYTES = 128 * 1024
MAX_READS_PER_ITERATION = 64  # messages read in one event loop iteration
MAX_PENDING_MESSAGES = 4_096  # more than the system queues on a socket
DESCRIPTOR_BYTES = array.array("i", [0]).itemsize
# Errors of sendmsg at the system's limit of descriptors in transit; it works again once the other end has
# read some.
TOO_MANY_DESCRIPTORS_ERRNOS = (errno.ENOBUFS, errno.ETOOMANYREFS)


class Outgoing(NamedTuple):
    """A message to send, and the socket whose descriptor it carries; None for most messages."""

    message: messages.Message
    carried: socket.socket | None


class Received(NamedTuple):
    """A received message and the socket that it carried, which the receiver must close.

    `message` is None if the bytes are not a message of this version.
    """

    message: messages.Message | None
    carried: socket.socket | None


def receive(sock: socket.socket) -> Received | None:
    """Receives one message and the socket that it carries; None if the channel has ended or failed.

    Raises BlockingIOError if no message is there, and TimeoutError if none arrives within the socket's
    timeout.
    """
    try:
        data, ancillary = _receive_bytes(sock)
    except (BlockingIOError, TimeoutError):
        raise
    except OSError:
        return None
    carried = _carried_socket(ancillary)
    if not data and carried is None:
        return None
    return Received(messages.decode(data), carried)


def _receive_bytes(sock: socket.socket) -> tuple[bytes, list[tuple[int, int, bytes]]]:
    """Receives the bytes of one message and its ancillary data.

    If the other end was closed with unread messages, the first read fails once. The messages that it had sent
    are still there.
    """
    ancillary_bytes = socket.CMSG_SPACE(DESCRIPTOR_BYTES)
    try:
        data, ancillary, _, _ = sock.recvmsg(MAX_MESSAGE_BYTES, ancillary_bytes)
    except ConnectionResetError:
        data, ancillary, _, _ = sock.recvmsg(MAX_MESSAGE_BYTES, ancillary_bytes)
    return data, ancillary


def _carried_socket(ancillary: list[tuple[int, int, bytes]]) -> socket.socket | None:
    """The last socket in the ancillary data; others are closed, because a message carries at most one."""
    carried = None
    for level, kind, content in ancillary:
        if (level, kind) != (socket.SOL_SOCKET, socket.SCM_RIGHTS):
            continue
        whole = len(content) // DESCRIPTOR_BYTES * DESCRIPTOR_BYTES
        for descriptor in array.array("i", content[:whole]):
            if carried is not None:
                carried.close()
            carried = socket.socket(fileno=descriptor)
    return carried


def send(sock: socket.socket, data: bytes, carried: socket.socket | None) -> None:
    """Sends one encoded message and the socket that it carries; raises OSError."""
    ancillary = []
    if carried is not None:
        descriptors = array.array("i", [carried.fileno()])
        ancillary = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, descriptors)]
    sock.sendmsg([data], ancillary)


class HandoffChannel:
    """One end of the channel, served by the event loop."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        on_message: Callable[[messages.Message, socket.socket | None], None],
        on_end: Callable[["HandoffChannel"], None],
    ) -> None:
        """Takes over a connected socket.

        `on_message` gets each message with the socket that it carries, `on_end` the channel when it has
        ended.
        """
        self.loop = loop
        self.closed = False
        self._sock = sock
        self._on_message = on_message
        self._on_end = on_end
        self._queue = deque[Outgoing]()
        self._sent_parts: list[Outgoing] = []  # sent messages that belong to the next one of another kind
        self._mask = READ
        self._progress_ms = monotonic_ms()  # when a message was last sent, or the first one was queued
        sock.setblocking(False)
        loop.watch(sock, READ, self._on_event, first=True)

    def send(self, message: messages.Message, carried: socket.socket | None = None) -> None:
        """Sends a message, after the queued ones; closes the socket that it carries once it is sent."""
        if self.closed:
            if carried is not None:
                carried.close()
            return
        if not self._queue:
            self._progress_ms = monotonic_ms()
        self._queue.append(Outgoing(message, carried))
        self._write()

    @property
    def has_unsent(self) -> bool:
        """Whether messages are queued."""
        return bool(self._queue)

    def ms_without_progress(self, now_ms: float) -> float:
        """Time since a message was last sent, or since the first one was queued; 0 if none is queued."""
        return now_ms - self._progress_ms if self._queue else 0.0

    def take_unsent(self) -> list[Outgoing]:
        """Removes and returns the unsent messages, whose sockets the caller then owns.

        Includes parts that were sent already if the message to which they belong was not: the receiver can't
        use them. Does not close the channel.
        """
        unsent = [*self._sent_parts, *self._queue]
        self._queue = deque()
        self._sent_parts = []
        return unsent

    def _write(self) -> None:
        while self._queue and not self.closed:
            message, carried = self._queue[0]
            try:
                send(self._sock, messages.encode(message), carried)
            except BlockingIOError:
                break
            except OSError as error:
                if error.errno in TOO_MANY_DESCRIPTORS_ERRNOS:
                    break
                self.close()
                return
            self._queue.popleft()
            self._sent(message, carried)
        self._update_mask()

    def _sent(self, message: messages.Message, carried: socket.socket | None) -> None:
        self._progress_ms = monotonic_ms()
        if isinstance(message, messages.Part):
            self._sent_parts.append(Outgoing(message, None))
        else:
            self._sent_parts.clear()
        if carried is not None:
            carried.close()

    def _update_mask(self) -> None:
        mask = READ | WRITE if self._queue else READ
        if mask != self._mask and not self.closed:
            self._mask = mask
            self.loop.modify(self._sock, mask, self._on_event)

    def _on_event(self, mask: int) -> None:
        if mask & WRITE:
            self._write()
        if mask & READ:
            self._read()

    def _read(self) -> None:
        for _ in range(MAX_READS_PER_ITERATION):
            if self.closed or not self._read_one():
                return

    def read_pending(self) -> None:
        """Reads all messages that are there, without waiting for the event loop."""
        for _ in range(MAX_PENDING_MESSAGES):
            if self.closed or not self._read_one():
                return

    def _read_one(self) -> bool:
        """Reads one message; returns whether there may be another one."""
        try:
            received = receive(self._sock)
        except BlockingIOError:
            return False
        message, carried = received or (None, None)
        if message is None:
            if carried is not None:
                carried.close()
            self.close()
            return False
        self._on_message(message, carried)
        return True

    def close(self) -> None:
        """Ends the channel; further calls do nothing."""
        if not self.closed:
            self.closed = True
            self.loop.unwatch(self._sock)
            self._sock.close()
            self._on_end(self)
