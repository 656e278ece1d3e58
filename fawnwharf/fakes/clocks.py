"""A machine's clocks that are not the true ones: other times, other rates, and steps while it runs.

`python -m fawnwharf.fakes.clocks PAGE serve ...` runs the program with `time.time` and `time.monotonic` as
the page tells them. Whoever owns the page writes a new reading at any moment, and the next look at a clock
goes by it. What the system itself stamps, as bytes that come in, keeps the true time.
"""

import mmap
import os
import struct
import sys
import time
from pathlib import Path

from msgspec import Struct

_true_steady = time.monotonic
_READING = struct.Struct("<4d")
_SIZE = 8 + 2 * _READING.size  # which of two readings holds, and both


class Reading(Struct, frozen=True):
    """What the clocks told at one moment, in seconds, and how fast both run: 1.0 is the true rate."""

    at_s: float  # the true moment, of the real monotonic clock
    unix_s: float
    steady_s: float
    rate: float = 1.0

    def unix(self, true_s: float) -> float:
        return self.unix_s + (true_s - self.at_s) * self.rate

    def steady(self, true_s: float) -> float:
        return self.steady_s + (true_s - self.at_s) * self.rate

    def true(self, unix_s: float) -> float:
        """The moment at which Unix time was told as this."""
        return self.at_s + (unix_s - self.unix_s) / self.rate

    def stepped(self, true_s: float, by_s: float) -> "Reading":
        """As from this moment on, with Unix time set; the monotonic clock takes no steps."""
        return Reading(true_s, self.unix(true_s) + by_s, self.steady(true_s), self.rate)


class Page:
    """A file with the reading that holds. One writes it; others see it whole, as the next one is written
    beside it first."""

    def __init__(self, path: Path, write: bool = False) -> None:
        """Raises OSError or ValueError where it is none, and nothing may be written."""
        if write and not path.exists():
            path.write_bytes(bytes(_SIZE))
        handle = os.open(path, os.O_RDWR if write else os.O_RDONLY)
        try:
            self._map = mmap.mmap(handle, _SIZE, access=mmap.ACCESS_WRITE if write else mmap.ACCESS_READ)
        finally:
            os.close(handle)

    def read(self) -> Reading:
        return Reading(*_READING.unpack_from(self._map, 8 + self._map[0] * _READING.size))

    def write(self, reading: Reading) -> None:
        other = 1 - self._map[0]
        values = reading.at_s, reading.unix_s, reading.steady_s, reading.rate
        _READING.pack_into(self._map, 8 + other * _READING.size, *values)
        self._map[0] = other

    def close(self) -> None:
        self._map.close()


def instead(page: Page) -> None:
    """Have this process go by the page's clocks from now on."""

    def unix() -> float:
        return page.read().unix(_true_steady())

    def steady() -> float:
        return page.read().steady(_true_steady())

    time.time, time.time_ns = unix, lambda: int(unix() * 1e9)
    time.monotonic, time.monotonic_ns = steady, lambda: int(steady() * 1e9)


def main() -> int:
    instead(Page(Path(sys.argv.pop(1))))
    from fawnwharf.__main__ import main as program

    return program()


if __name__ == "__main__":
    sys.exit(main())
