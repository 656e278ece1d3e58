"""Stand-in clients' connections to front ends: those that calls go by, and those that ask who is back."""

import struct
from typing import Protocol

from fawnwharf.fakes.calls import Request, Try, question
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import EventLoop

DIAL_MS = 400.0


class Crowd(Protocol):
    """Whose connections they are."""

    loop: EventLoop

    def answered(self, line: "Line", data: bytes) -> None: ...

    def line_ended(self, line: "Line") -> None: ...

    def probed(self, front: str, good: bool) -> None: ...


class Line:
    """One connection to a front end."""

    def __init__(self, crowd: "Crowd", front: str) -> None:
        self.crowd, self.front = crowd, front
        self.connection: Connection | None = None
        self.seqid = 0
        self.open: dict[int, tuple[Request, Try]] = {}
        self.waiting: list[bytes] = []
        self._buffer = bytearray()

    def on_up(self) -> None:
        for data in self.waiting:
            self.connection.write(data)
        self.waiting.clear()

    def on_data(self, data: bytes) -> None:
        self._buffer += data
        while len(self._buffer) >= 4:
            (size,) = struct.unpack_from(">I", self._buffer)
            if len(self._buffer) < 4 + size:
                return
            message = bytes(self._buffer[4 : 4 + size])
            del self._buffer[: 4 + size]
            self.crowd.answered(self, message)

    def on_flushed(self) -> None:
        pass

    def on_end(self, end: EndReason) -> None:
        self.crowd.line_ended(self)


class Probe:
    """Asks a front end whether it is ready; the answer, or the end of the connection, tells."""

    def __init__(self, crowd: "Crowd", front: str) -> None:
        self.crowd, self.front, self.told = crowd, front, False
        self.connection: Connection | None = None

    def on_up(self) -> None:
        self.connection.write(question(1))
        self.crowd.loop.timers.after(DIAL_MS, lambda: self.connection.close(EndReason.SILENT))

    def on_data(self, data: bytes) -> None:
        self._tell(True)
        self.connection.close(EndReason.IDLE)

    def on_flushed(self) -> None:
        pass

    def on_end(self, end: EndReason) -> None:
        self._tell(False)

    def _tell(self, good: bool) -> None:
        if not self.told:
            self.told = True
            self.crowd.probed(self.front, good)
