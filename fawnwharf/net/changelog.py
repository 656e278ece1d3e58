"""The change log: followed over TCP, reconnected when it falls silent, never trusted to be well-formed."""

from collections.abc import Callable
from typing import Any

import msgspec

from fawnwharf.config import Address, ConfigError, Fleet, fleet_from
from fawnwharf.net.connection import Connection
from fawnwharf.net.endings import End
from fawnwharf.net.log import Log
from fawnwharf.net.loop import Loop
from fawnwharf.net.wheel import Timer, monotonic_ms

# What it has to tell counts as told 4 s after it stopped, and 2 s after it broke off: to notice, to dial and
# to be told again must fit in, also where a first dial comes to nothing.
SILENCE_MS = 1_800.0  # it writes a line a second; one missing and most of the next make it silent
DIAL_MS = 500.0
PAUSE_MS, PAUSE_MOST_MS = 50.0, 250.0  # before dialling again
GAP_MOST = 1_000  # events that may be missing for good where the log can't be followed
LINE_MOST = 4 * 1024 * 1024  # a list of thousands of scorers is shorter


class ChangeLog:
    """Follows the log from an event on, and passes each later one on once, in order."""

    pause_most_ms, line_most = PAUSE_MOST_MS, LINE_MOST

    def __init__(
        self, loop: Loop, address: Address, seq: int, told: Callable[[Fleet], None], log: Log
    ) -> None:
        self.seq = seq  # of the last event passed on
        self.told_all_ms: float | None = None  # when it said last that nothing more is to be told
        self.may_begin_anew = False  # smaller numbers are of a log that lost its own, and count too
        self._loop, self._address, self._told, self._log = loop, address, told, log
        self._connection: Connection | None = None
        self._buffer = bytearray()
        self._pause_ms = PAUSE_MS
        self._retry: Timer | None = None  # of the next dial
        self._stumbled_at: int | None = None  # where the log could not be followed last time
        self._stopped = False

    def connect(self) -> None:
        if self._stopped or self._connection is not None:
            return
        if self._retry:  # a dial that was planned earlier must not follow this one
            self._retry.cancel()
            self._retry = None
        self._buffer.clear()
        made = Connection.dial(self._loop, self._address, self, DIAL_MS)
        if isinstance(made, End):
            self._again()
        else:
            self._connection = made

    def move(self, address: Address) -> None:
        """Follow the log at another address from now on; the numbers go on where they were."""
        if address == self._address:
            return
        self._address, self._stumbled_at = address, None
        if self._connection:
            self._connection.close(End.RETIRED)
        self._pause_ms = PAUSE_MS
        self.connect()

    def _again(self) -> None:
        self._retry = self._loop.wheel.after(self._pause_ms, self.connect)
        self._pause_ms = min(self.pause_most_ms, 2 * self._pause_ms)

    def tidy(self) -> None:
        """Guards against a log that was cut off: its connection stays open and says nothing."""
        up = self._connection is not None and self._connection.up
        if up and monotonic_ms() - self._connection.heard_ms > SILENCE_MS:
            self._log("change log: silent, connecting again")
            self._connection.close(End.SILENT)

    def close(self) -> None:
        self._stopped = True
        if self._connection:
            self._connection.close(End.STOPPED)

    # --- from the connection ------------------------------------------------------------------

    def on_up(self) -> None:
        self._connection.write(b"since %d\n" % self.seq)

    def on_data(self, data: bytes) -> None:
        self._buffer += data
        *lines, rest = self._buffer.split(b"\n")
        self._buffer = bytearray(rest)
        for line in lines:
            if line.strip() and not self._line(bytes(line)):
                return
        if len(rest) > self.line_most:
            self._stumble("a line without an end")

    def on_flushed(self) -> None:
        pass

    def on_end(self, end: End) -> None:
        self._connection = None
        if not self._stopped:
            self._again()

    # --- lines --------------------------------------------------------------------------------

    def _line(self, line: bytes) -> bool:
        """Take one line; False where the connection was given up."""
        try:
            read = msgspec.json.decode(line)
        except (msgspec.DecodeError, RecursionError):
            return self._stumble(f"not JSON: {line[:60]!r}")
        self._pause_ms = PAUSE_MS
        if isinstance(read, int) and not isinstance(read, bool):
            if read == self.seq:
                self._stumbled_at, self.told_all_ms = None, monotonic_ms()  # a later stumble is a new one
            elif read < self.seq and self.may_begin_anew:
                return self._anew(read)
            # Events that it says it has told have not come: they are lost on this connection.
            return read <= self.seq or self._stumble(f"at {read}, but only {self.seq} came")
        return self.event(read) or self._stumble(f"not an event: {line[:60]!r}")

    def _anew(self, last: int) -> bool:
        """Its numbers began with 1 again: all that it has told since is to be told, its whole list first."""
        self._log(f"change log: at {last}, after {self.seq} before: it has begun anew")
        self.seq, self._stumbled_at = 0, None
        self._connection.close(End.BAD_BYTES)
        return False

    def event(self, read: Any, of_start: bool = False) -> bool:
        """Take one event, of the start or of the log; False where it is none."""
        if not isinstance(read, dict) or not isinstance(seq := read.get("seq"), int):
            return False
        if seq <= self.seq:  # told before
            return True
        # Guards against a number out of nowhere: all events after it would count as told before.
        most = self.seq + (GAP_MOST if self._stumbled_at == self.seq else 1)
        if seq > most and not of_start:
            return False
        if "fleet" in read:
            try:
                fleet = fleet_from(read["fleet"])
                self._told(fleet)
            except ConfigError as error:
                self._log(f"change log: event {seq}: {error}")
                return False
        self.seq = seq
        return True

    def _stumble(self, why: str) -> bool:
        """Connect again and be told again; what can't be followed twice at one place is passed over."""
        if self._stumbled_at == self.seq:
            return True
        self._log(f"change log: {why}; connecting again after {self.seq}")
        self._stumbled_at = self.seq
        if self._connection:
            self._connection.close(End.BAD_BYTES)
        return False
