"""What stands before front ends: asks each whether it is ready, as often as the real front does."""

import struct

from fawnwharf.config import Address
from fawnwharf.fakes.calls import question
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import EventLoop

DIAL_MS = 400.0
ASK_MS = 100.0
READY_FROM_END = 3  # the answer's place, in bytes from its end


class Asking:
    """Asks one front end again and again whether it is ready, on a connection that is kept."""

    def __init__(self, loop: EventLoop, front: str, address: Address, unready: set[str]) -> None:
        """`front` stands in `unready` as long as it says so."""
        self.loop, self.front, self.address, self.unready = loop, front, address, unready
        self.connection: Connection | None = None
        self._number, self._stopped = 0, False
        self._buffer = bytearray()
        self._ask()

    def _ask(self) -> None:
        if self._stopped:
            return
        if self.connection is None:
            self._buffer.clear()
            made = Connection.dial(self.loop, self.address, self, DIAL_MS)
            self.connection = None if isinstance(made, EndReason) else made
        elif self.connection.up:
            self.on_up()
        self.loop.timers.after(ASK_MS, self._ask)

    def stop(self) -> None:
        self._stopped = True
        if self.connection is not None:
            self.connection.close(EndReason.IDLE)

    def on_up(self) -> None:
        self._number += 1
        self.connection.write(question(self._number))

    def on_data(self, data: bytes) -> None:
        self._buffer += data
        while len(self._buffer) >= 4:
            (size,) = struct.unpack_from(">I", self._buffer)
            if len(self._buffer) < 4 + size:
                return
            if self._buffer[4 + size - READY_FROM_END]:
                self.unready.discard(self.front)
            else:
                self.unready.add(self.front)
            del self._buffer[: 4 + size]

    def on_flushed(self) -> None:
        pass

    def on_end(self, end: EndReason) -> None:
        """It says nothing about who is ready: where nobody is there, calls tell."""
        self.connection = None
