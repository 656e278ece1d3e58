"""The Unix socket between a process and its successor: messages and the descriptors that they carry."""

import array
import errno
import socket
from collections import deque
from collections.abc import Callable

from fawnwharf.admin import handoff_messages as h
from fawnwharf.net.event_loop import READ, WRITE, EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms

MAX_MESSAGE_BYTES = 128 * 1024
MAX_READS = 64  # messages in one event loop iteration
DESCRIPTOR_BYTES = array.array("i", [0]).itemsize
# The limit of descriptors in transit is reached: sending continues once the other end has received some.
TOO_MANY_IN_TRANSIT = (errno.ENOBUFS, errno.ETOOMANYREFS)

Outgoing = tuple[h.Message, socket.socket | None]


def receive(sock: socket.socket) -> tuple[h.Message | None, socket.socket | None] | None:
    """One message and the socket that it carries; None at the end of the channel.

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
    return h.decode(data), carried


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
        self._queue.append((message, carried))
        self._write()

    @property
    def has_unsent(self) -> bool:
        """Whether messages wait to be sent."""
        return bool(self._queue)

    def stalled_ms(self, now_ms: float) -> float:
        """For how long the other end has taken none of the messages that wait for it."""
        return now_ms - self._progress_ms if self._queue else 0.0

    def take_back(self) -> list[Outgoing]:
        """What was not sent, with the chunks sent before an unsent final message, which are useless alone."""
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
                if error.errno in TOO_MANY_IN_TRANSIT:
                    break
                self.close()
                return
            self._queue.popleft()
            self._sent(message, carried)
        self._update_mask()

    def _sent(self, message: h.Message, carried: socket.socket | None) -> None:
        self._progress_ms = monotonic_ms()
        if isinstance(message, h.Chunk):
            self._sent_chunks.append((message, None))
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
        for _ in range(MAX_READS):
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
