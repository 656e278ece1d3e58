"""The Unix socket between a process and the one that takes its place, and the file that outlives both."""

import array
import contextlib
import errno
import os
import socket
from collections import deque
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path

from fawnwharf.admin import handoff_messages as h
from fawnwharf.admin.learned_state import MAX_BYTES
from fawnwharf.net.loop import READ, WRITE, Loop
from fawnwharf.net.timer_wheel import monotonic_ms

MAX_MESSAGE_BYTES = 128 * 1024
MAX_READS = 64  # messages in a turn
ACCEPT_PAUSE_MS = 50.0  # where the system has no descriptor or memory left
_FD = array.array("i", [0]).itemsize


class HandoffDirectory:
    """Where the processes of one front end meet: a folder that they share."""

    def __init__(self, folder: str, name: str, listen: tuple[str, int]) -> None:
        mark = blake2b(f"{name}|{listen[0]}|{listen[1]}".encode(), digest_size=6).hexdigest()
        self.folder = Path(folder)
        self.socket, self.file = self.folder / f"fw-{mark}.sock", self.folder / f"fw-{mark}.mem"

    @contextlib.contextmanager
    def short(self):  # noqa: ANN201
        """The socket's address, by a descriptor of its folder: a path of over 107 bytes is none."""
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{fd}/{self.socket.name}"
        finally:
            os.close(fd)

    def write(self, data: bytes) -> None:
        """Write the file whole or not at all."""
        new = self.file.with_suffix(".new")
        new.write_bytes(data)
        os.replace(new, self.file)

    def read(self) -> bytes:
        """The file's bytes; none where there is none."""
        try:
            with open(self.file, "rb") as file:
                return file.read(MAX_BYTES + 1)
        except OSError:
            return b""


def receive(sock: socket.socket) -> tuple[h.Message | None, socket.socket | None] | None:
    """One message and what it carries; None at the end. Raises BlockingIOError where nothing has come."""
    try:
        data, notes, _, _ = sock.recvmsg(MAX_MESSAGE_BYTES, socket.CMSG_SPACE(_FD))
    except (BlockingIOError, TimeoutError):
        raise
    except OSError:
        return None
    carried = None
    for level, kind, note in notes:
        if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
            for fd in array.array("i", note[: len(note) // _FD * _FD]):
                if carried is not None:
                    carried.close()
                carried = socket.socket(fileno=fd)
    if not data and carried is None:
        return None
    return h.decode(data), carried


def send(sock: socket.socket, data: bytes, carried: socket.socket | None) -> None:
    notes = []
    if carried is not None:
        notes = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", [carried.fileno()]))]
    sock.sendmsg([data], notes)


def _left_s(until_ms: float) -> float:
    """Seconds to wait until then; raises TimeoutError where it is past."""
    left_ms = until_ms - monotonic_ms()
    if left_ms <= 0.0:
        raise TimeoutError("no answer in time")
    return left_ms / 1e3


def request_handoff(
    place: HandoffDirectory, listen: tuple[str, int], parts: bool = False
) -> tuple[socket.socket, bytes, socket.socket] | None:
    """Ask the process that serves for its place: the channel to it, what it has learnt, and its listener.

    Waits, as nothing else can be done at the start; None where nobody is there or no answer comes in time."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    until_ms = monotonic_ms() + 1e3 * (h.RELEASE_ANSWER_TIMEOUT_S if parts else h.ANSWER_TIMEOUT_S)
    sock.settimeout(_left_s(until_ms))
    memory, door = bytearray(), None
    try:
        with place.short() as address:
            sock.connect(address)
        send(sock, h.encode(h.Hello(h.VERSION, listen, parts)), None)
        while door is None:
            sock.settimeout(_left_s(until_ms))  # for all of the answer, however slowly its parts come
            found = receive(sock)
            if found is None or not isinstance(found[0], h.Chunk | h.ListenerHandoff):
                raise ConnectionError("turned away")
            if isinstance(found[0], h.Chunk):
                memory += found[0].data
            elif (door := found[1]) is None:
                raise ConnectionError("no listener came")
    except OSError:
        sock.close()
        return None
    sock.setblocking(False)
    door.setblocking(False)
    return sock, bytes(memory), door


class HandoffChannel:
    """One end of the talk, in the loop."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        told: Callable[[h.Message, socket.socket | None], None],
        ended: Callable[["HandoffChannel"], None],
    ) -> None:
        self.loop, self._told, self._ended = loop, told, ended
        self.closed = False
        self._sock, self._queue = sock, deque[tuple[h.Message, socket.socket | None]]()
        self._begun: list[tuple[h.Message, socket.socket | None]] = []  # parts of what is not sent whole yet
        sock.setblocking(False)
        self._mask = READ
        self._moved_ms = monotonic_ms()  # when the last message went out, or the first one began to wait
        loop.watch(sock, READ, self._ready, first=True)

    def say(self, message: h.Message, carried: socket.socket | None = None) -> None:
        """Send it, in order; what it carries is closed here once it is on its way."""
        if self.closed:
            if carried is not None:
                carried.close()
            return
        if not self._queue:
            self._moved_ms = monotonic_ms()
        self._queue.append((message, carried))
        self._write()

    @property
    def unsent(self) -> bool:
        return bool(self._queue)

    def stuck_ms(self, now_ms: float) -> float:
        """For how long the other end has taken nothing of what waits for it."""
        return now_ms - self._moved_ms if self._queue else 0.0

    def take_back(self) -> list[tuple[h.Message, socket.socket | None]]:
        """What was never sent, or not whole: parts are nothing without what they are of."""
        queue, self._queue, self._begun = [*self._begun, *self._queue], deque(), []
        return queue

    def _write(self) -> None:
        while self._queue and not self.closed:
            message, carried = self._queue[0]
            try:
                send(self._sock, h.encode(message), carried)
            except BlockingIOError:
                break
            except OSError as error:
                if error.errno in (errno.ENOBUFS, errno.ETOOMANYREFS):  # so many descriptors are on their way
                    break
                self.close()
                return
            self._queue.popleft()
            self._moved_ms = monotonic_ms()
            if isinstance(message, h.Chunk):
                self._begun.append((message, None))
            else:
                self._begun.clear()
            if carried is not None:
                carried.close()
        mask = READ | (WRITE * bool(self._queue))
        if mask != self._mask and not self.closed:
            self._mask = mask
            self.loop.change(self._sock, mask, self._ready)

    def _ready(self, mask: int) -> None:
        if mask & WRITE:
            self._write()
        if mask & READ:
            for _ in range(MAX_READS):
                if self.closed:
                    return
                try:
                    found = receive(self._sock)
                except BlockingIOError:
                    return
                if found is None or found[0] is None:
                    if found and found[1]:
                        found[1].close()
                    self.close()
                    return
                self._told(*found)

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.loop.forget(self._sock)
            self._sock.close()
            self._ended(self)


class HandoffListener:
    """The old process's end of the meeting place: listens for whoever takes its place."""

    def __init__(self, loop: Loop, place: HandoffDirectory, came: Callable[[socket.socket], None]) -> None:
        """Raises OSError where no such socket can be had."""
        self.loop, self.place, self._came = loop, place, came
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with place.short() as address:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(place.socket)
                self._sock.bind(address)
                self._inode = os.stat(address).st_ino
            self._sock.listen(4)
            self._sock.setblocking(False)
        except OSError:
            self._sock.close()
            raise
        loop.watch(self._sock, READ, self._accept, first=True)

    def _accept(self, _mask: int) -> None:
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return
        except OSError:  # no descriptor: rather than spin, leave it in the system's queue for a moment
            self.loop.forget(self._sock)
            self.loop.wheel.after(ACCEPT_PAUSE_MS, self._watch)
            return
        self._came(sock)

    def _watch(self) -> None:
        if self._sock.fileno() >= 0:
            self.loop.watch(self._sock, READ, self._accept, first=True)

    @property
    def mine(self) -> bool:
        """Whether no other process has put its own in this one's stead."""
        try:
            return os.stat(self.place.socket).st_ino == self._inode
        except OSError:
            return True

    def close(self) -> None:
        self.loop.forget(self._sock)
        self._sock.close()
