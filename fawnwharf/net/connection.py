"""One TCP connection: dialling, bounded reads, partial writes, and its single end."""

import contextlib
import errno
import socket
import struct
from collections import deque
from itertools import islice
from typing import Protocol

from fawnwharf.config import Address
from fawnwharf.net.endings import End, end_of
from fawnwharf.net.loop import HELD_UP_MS, READ, WRITE, Loop
from fawnwharf.net.wheel import Timer, monotonic_ms

READ_MOST = 64 * 1024  # bytes taken from one connection in a turn, so that none starves the others; the rest
# stays in the system's buffer, which slows its sender, and is read in the turns to come
SO_TIMESTAMPNS = 35  # Linux: each read tells when its bytes came in
STAMP = struct.Struct("@qq")
NOTES_MOST = socket.CMSG_SPACE(STAMP.size)
PIECES_MOST = 64  # in one write
LINGER_MS = 1_000.0  # for a peer that is being finished with: it may still read, and end by itself


def stamp_reads(listener: socket.socket) -> None:
    """Have the system stamp what comes in; set before listening, as connections inherit it from the start."""
    with contextlib.suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)


class Piece:
    """Bytes to be written, and how many have been."""

    __slots__ = ("data", "written")

    def __init__(self, data: bytes) -> None:
        self.data, self.written = data, 0


class Owner(Protocol):
    """Whoever is told what happens on a connection."""

    def on_up(self) -> None: ...

    def on_data(self, data: bytes) -> None: ...

    def on_flushed(self) -> None: ...

    def on_end(self, end: End) -> None: ...


class _Nobody:
    """Owns connections that have ended. Guards the memory: owner and connection would hold each other until
    a full collection, which comes ever more seldom."""

    def on_up(self) -> None: ...

    def on_data(self, data: bytes) -> None: ...

    def on_flushed(self) -> None: ...

    def on_end(self, end: End) -> None: ...


NOBODY = _Nobody()


class Connection:
    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        owner: Owner,
        up: bool = True,
        read_most: int = READ_MOST,
        first: bool = False,
    ) -> None:
        self.loop, self.owner, self.up, self.closed = loop, owner, up, False
        self._read_most = read_most
        self.heard_ms = self.used_ms = monotonic_ms()
        self.waiting_bytes = 0
        self.age_ms, self._has_read = 0.0, False  # of the bytes read last; whether any were
        self._unread_since_ms: float | None = None  # where reads left something, or there were none
        self._sock, self._reading, self._blocked = sock, True, False
        self._outbox: deque[Piece] = deque()
        self._dial: Timer | None = None
        self._finishing: End | None = None
        self._mask = READ if up else WRITE
        loop.watch(sock, self._mask, self._ready, first)

    @classmethod
    def accepted(
        cls,
        loop: Loop,
        sock: socket.socket,
        owner: Owner,
        read_most: int = READ_MOST,
        first: bool = False,
    ) -> "Connection":
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(loop, sock, owner, read_most=read_most, first=first)

    @classmethod
    def dial(
        cls, loop: Loop, address: Address, owner: Owner, within_ms: float, first: bool = False
    ) -> "Connection | End":
        """A connection that comes up or ends later, or why none can be tried. `first`: see `Loop.watch`."""
        sock = None
        try:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            sock = socket.socket(family, socket.SOCK_STREAM)
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(address)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, "connect")
        except OSError as error:
            if sock is not None:
                sock.close()
            return end_of(error)
        made = cls(loop, sock, owner, up=False, first=first)
        made._dial = loop.wheel.after(within_ms, lambda: made.close(End.DIAL_TIMED_OUT))
        return made

    # --- writing ------------------------------------------------------------------------------

    def write(self, data: bytes) -> Piece:
        """Queue bytes for this turn's one write."""
        piece = Piece(data)
        if not self.closed:
            self._outbox.append(piece)
            self.waiting_bytes += len(data)
            self.loop.flush_later(self)
        return piece

    def take_back(self, piece: Piece) -> bool:
        """Unqueue a piece of which nothing has been written; False where it is too late."""
        if piece.written or piece not in self._outbox:
            return False
        self._outbox.remove(piece)
        self.waiting_bytes -= len(piece.data)
        return True

    def flush(self) -> None:
        if self.up and not self.closed and not self._blocked and self._outbox:
            self._write_out()
        if self._finishing and not self.closed and not self._outbox:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_WR)
        if not self.closed:
            self.owner.on_flushed()

    def _write_out(self) -> None:
        pieces = list(islice(self._outbox, PIECES_MOST))
        views = [memoryview(piece.data)[piece.written :] for piece in pieces]
        try:
            count = self._sock.sendmsg(views)
        except BlockingIOError:
            count = 0
        except OSError as error:
            self.close(end_of(error))
            return
        self.waiting_bytes -= count
        self.used_ms = monotonic_ms()
        for piece in pieces:
            step = min(count, len(piece.data) - piece.written)
            piece.written, count = piece.written + step, count - step
            if piece.written < len(piece.data):
                break
            self._outbox.popleft()
        self._blocked = bool(self._outbox)
        self._set_mask()

    def finish(self, end: End) -> None:
        """End it after what is queued: written first, then ended on this side, and read on without keeping.
        Guards the last answers, which a close with bytes unread would reset. Harm: it lives on a while."""
        if not self.closed and not self._finishing:
            self._finishing = end
            self.loop.wheel.after(LINGER_MS, lambda: self.close(end))
            self.loop.flush_later(self)

    @property
    def finishing(self) -> bool:
        return self._finishing is not None

    def unread(self) -> bytes | None:
        """A look at what lies unread: None where nothing does, empty where the peer has ended it."""
        try:
            return self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b""

    # --- reading ------------------------------------------------------------------------------

    def read_on(self, on: bool) -> None:
        """Stop or go on reading: a peer that does not read its answers is not read either."""
        if self._reading != on and not self.closed:
            self._reading = on
            if not on:
                self._unread_since_ms = self._empty_ms()
            self._set_mask()

    def _set_mask(self) -> None:
        mask = (READ * self._reading) | (WRITE * self._blocked)
        if mask == self._mask or self.closed:
            return
        if not mask:  # a selector takes no empty one
            self.loop.forget(self._sock)
        elif not self._mask:
            self.loop.watch(self._sock, mask, self._ready)
        else:
            self.loop.change(self._sock, mask, self._ready)
        self._mask = mask

    def _ready(self, mask: int) -> None:
        if not self.up:
            self._dialled()
            return
        if mask & WRITE:
            self._blocked = False
            self.loop.flush_later(self)
        if mask & READ:
            self._read()

    def _dialled(self) -> None:
        code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.close(end_of(OSError(code, "connect")))
            return
        self.up, self._mask = True, READ
        if self._dial:
            self._dial.cancel()
        self.heard_ms = self.used_ms = monotonic_ms()
        self.loop.change(self._sock, READ, self._ready)
        self.owner.on_up()

    def _read(self) -> None:
        try:
            data, notes, _, _ = self._sock.recvmsg(self._read_most, NOTES_MOST)
        except BlockingIOError:
            return
        except OSError as error:
            self.close(end_of(error))
            return
        if not data:
            self.close(End.CLOSED_BY_PEER)
            return
        if self._finishing:
            return
        self.heard_ms = self.used_ms = monotonic_ms()
        self.age_ms, self._has_read = self._age(notes), True
        self._unread_since_ms = self._empty_ms() if len(data) >= self._read_most else None
        try:
            self.owner.on_data(data)
        except Exception:  # whatever a peer managed to send, it costs no more than its own connection
            self.loop.fault("reading")
            self.close(End.BAD_BYTES)

    def _empty_ms(self) -> float:
        """When nothing lay unread on it, as far as is known."""
        looked_ms = self.loop.empty_ms(self._sock.fileno())
        return looked_ms if self._unread_since_ms is None else min(looked_ms, self._unread_since_ms)

    def lay_unread(self, since_ms: float) -> None:
        """It may have bytes unread that came since this moment of the monotonic clock, before it was watched
        here: another process had the connection."""
        self._unread_since_ms = since_ms

    def _age(self, notes: list[tuple[int, int, bytes]]) -> float:
        """How long the last of the bytes just read had waited when the turn began, by the system's stamp.
        Guards deadlines: a process that was held up reads late, but the client's time has run on. A stamp
        that may be of before a step of the clock is not believed; then the bytes count as old as may be."""
        loop = self.loop
        since_ms = self._empty_ms()  # they came later than that
        for level, kind, note in notes:
            if (level, kind, len(note)) != (socket.SOL_SOCKET, SO_TIMESTAMPNS, STAMP.size):
                continue
            if since_ms <= loop.clock.stepped_ms:
                break
            seconds, nanoseconds = STAMP.unpack(note)
            age = loop.turn_unix_ms - seconds * 1e3 - nanoseconds / 1e6
            gap = loop.turn_ms - loop.before_ms
            believed_ms = loop.stamps.age_ms(age, gap, looked_at=self._has_read)
            if loop.stamps.trusted:
                return believed_ms
        left_ms = loop.turn_ms - since_ms if since_ms < loop.before_ms else 0.0
        return max(loop.held_ms, left_ms if left_ms > HELD_UP_MS else 0.0)

    def detach(self) -> tuple[socket.socket, bytes]:
        """Give the socket away, with what is unwritten on it; it is no connection of this loop any more."""
        self.closed, self.owner = True, NOBODY
        if self._mask:
            self.loop.forget(self._sock)
        rest = b"".join(piece.data[piece.written :] for piece in self._outbox)
        self._outbox.clear()
        self.waiting_bytes = 0
        return self._sock, rest

    def _part(self) -> None:
        """Guards answers that are still on their way: closing with unread bytes would reset them."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)
            self._sock.recv(READ_MOST)

    def close(self, end: End) -> None:
        """The one way out; the owner hears of it once."""
        if self.closed:
            return
        self.closed = True
        if self._dial:
            self._dial.cancel()
        if self._mask:
            self.loop.forget(self._sock)
        if self.up and end in (End.IDLE, End.STOPPED):
            self._part()
        self._sock.close()
        self._outbox.clear()
        self.waiting_bytes = 0
        owner, self.owner = self.owner, NOBODY
        owner.on_end(end)
