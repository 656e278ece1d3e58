"""The Unix socket between a process and its successor: messages and the descriptors that they carry."""

import array
import errno
import socket
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from fawnwharf.admin import handoff_messages as h
from fawnwharf.net.event_loop import READ, WRITE, EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms

MAX_MESSAGE_BYTES = 128 * 1024
MAX_READS_PER_ITERATION = 64  # messages that are read in one event loop iteration
DESCRIPTOR_BYTES = array.array("i", [0]).itemsize
# Errors of sendmsg at the limit of descriptors in transit: it works again once the other end has read some.
TOO_MANY_DESCRIPTORS_ERRNOS = (errno.ENOBUFS, errno.ETOOMANYREFS)


class Outgoing(NamedTuple):
    """A message to be sent, and the socket whose descriptor goes with it, None for most messages."""

    message: h.Message
    carried: socket.socket | None


class Received(NamedTuple):
    """A message that was read, and the socket that came with it; the reader closes the socket.

    `message` is None where the bytes are no message of this version.
    """

    message: h.Message | None
    carried: socket.socket | None


def receive(sock: socket.socket) -> Received | None:
    """Reads one message and the socket that it carries; None at the end of the channel or after its failure.

    Raises BlockingIOError where nothing has come, and TimeoutError where the socket has a timeout.
    """
    try:
        data, ancillary, _, _ = sock.recvmsg(MAX_MESSAGE_BYTES, socket.CMSG_SPACE(DESCRIPTOR_BYTES))
    except (BlockingIOError, TimeoutError):
        raise
    except OSError:
        return None
    carried = _carried_socket(ancillary)
    if not data and carried is None:
        return None
    return Received(h.decode(data), carried)


def _carried_socket(ancillary: list[tuple[int, int, bytes]]) -> socket.socket | None:
    """The last socket of the ancillary data; earlier ones are closed, as no message carries more than one."""
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
    """One end of the channel, in the event loop."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        on_message: Callable[[h.Message, socket.socket | None], None],
        on_end: Callable[["HandoffChannel"], None],
    ) -> None:
        """Takes over a connected socket; the callbacks get each message with what it carries, and the end."""
        self.loop = loop
        self.closed = False
        self._sock = sock
        self._on_message = on_message
        self._on_end = on_end
        self._queue = deque[Outgoing]()
        self._sent_chunks: list[Outgoing] = []  # of a sequence whose final message is not sent yet
        self._mask = READ
        self._progress_ms = monotonic_ms()  # when the last message was sent, or the first one began to wait
        sock.setblocking(False)
        loop.watch(sock, READ, self._on_event, first=True)

    def send(self, message: h.Message, carried: socket.socket | None = None) -> None:
        """Sends a message in order; the socket that it carries is closed here once it is sent."""
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
        """Whether messages wait to be sent."""
        return bool(self._queue)

    def ms_without_progress(self, now_ms: float) -> float:
        """Time since the other end last took a message, or since the first one waits; 0 where none waits."""
        return now_ms - self._progress_ms if self._queue else 0.0

    def take_unsent(self) -> list[Outgoing]:
        """Removes and returns what was not sent; the caller owns the sockets and the channel stays as it is.

        With the chunks that were sent before an unsent final message, as they are useless alone.
        """
        unsent = [*self._sent_chunks, *self._queue]
        self._queue = deque()
        self._sent_chunks = []
        return unsent

    def _write(self) -> None:
        while self._queue and not self.closed:
            message, carried = self._queue[0]
            try:
                send(self._sock, h.encode(message), carried)
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

    def _sent(self, message: h.Message, carried: socket.socket | None) -> None:
        self._progress_ms = monotonic_ms()
        if isinstance(message, h.Chunk):
            self._sent_chunks.append(Outgoing(message, None))
        else:
            self._sent_chunks.clear()
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
            if self.closed:
                return
            try:
                received = receive(self._sock)
            except BlockingIOError:
                return
            message, carried = received or (None, None)
            if message is None:
                if carried is not None:
                    carried.close()
                self.close()
                return
            self._on_message(message, carried)

    def close(self) -> None:
        """Ends the channel, once."""
        if not self.closed:
            self.closed = True
            self.loop.unwatch(self._sock)
            self._sock.close()
            self._on_end(self)
