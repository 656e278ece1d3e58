"""The clocks of the test bed's machines.

Drawn by the run's seed, stepped, and converted back to true time.
"""

import random
import time
from pathlib import Path

from fawnwharf.fakes.clocks import Page, Reading
from fawnwharf.testbed.scenario import ClockSpec

PAGE = "clock"  # in a front end's folder
UPTIME_S = 5.0, 2_000_000.0  # of a machine, as its boot is drawn
ROOM_S = 0.002  # a reading that was taken as the clock was stepped


class Clocks:
    """Owns the clock pages; without a `spec` all use the machine's own clocks, and nothing is written."""

    def __init__(self, spec: ClockSpec | None, seed: int) -> None:
        self.spec, self._chance = spec, random.Random(f"{seed}/clocks")
        self._pages: dict[str, Page] = {}
        self._told: dict[str, list[Reading]] = {}  # by front end, one after another

    def begin(self, name: str, folder: Path) -> None:
        """A machine boots: its clocks differ from those before."""
        if self.spec is None:
            return
        if name not in self._pages:
            self._pages[name] = Page(folder / PAGE, write=True)
        apart, rate = self.spec.apart_s, self.spec.rate
        unix_s = time.time() + self._chance.uniform(-apart, apart)
        steady_s, rate = self._chance.uniform(*UPTIME_S), 1.0 + self._chance.uniform(-rate, rate)
        self._write(name, Reading(time.monotonic(), unix_s, steady_s, rate))

    def begun(self, name: str) -> bool:
        """Whether a machine has booted; always so without a `spec`."""
        return self.spec is None or name in self._pages

    def step(self, name: str, by_s: float) -> None:
        """Set a machine's Unix time."""
        self._write(name, self._told[name][-1].stepped(time.monotonic(), by_s))

    def _write(self, name: str, reading: Reading) -> None:
        self._told.setdefault(name, []).append(reading)
        self._pages[name].write(reading)

    def true_ms(self, name: str, unix_ms: float) -> float:
        """The true Unix time, in milliseconds, of what a machine told as Unix time.

        The first stretch of its clock that holds the value counts; stretches overlap only where a clock is
        set by less than the run's length.
        """
        if self.spec is None:
            return unix_ms
        found = true_s(self._told[name], unix_ms / 1000.0)
        return 1000.0 * (found + time.time() - time.monotonic())

    def close(self) -> None:
        """Close the pages."""
        for page in self._pages.values():
            page.close()
        self._pages.clear()


def true_s(told: list[Reading], unix_s: float) -> float:
    """The moment at which one of these readings was told; by the last one where none fits."""
    for reading, after in zip(told, told[1:], strict=False):
        if reading.at_s - ROOM_S <= reading.true(unix_s) <= after.at_s + ROOM_S:
            return reading.true(unix_s)
    return told[-1].true(unix_s)
