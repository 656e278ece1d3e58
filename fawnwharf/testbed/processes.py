"""Front ends as processes: what is known of each, and the pipe that it writes its log to."""

import fcntl
import os
import struct
import subprocess
import termios
from bisect import bisect_left, bisect_right
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from fawnwharf.fakes.changelog import ChangeLogServer
from fawnwharf.net.event_loop import READ, EventLoop

READ_BYTES = 65536
LINES_KEPT = 200  # of a life


class LabError(RuntimeError):
    """The test bed itself failed; there is no verdict."""


@dataclass(frozen=True, slots=True)
class Noted:
    """A line of a front end's structured log."""

    at_ms: float
    front: str
    event: str
    fields: dict[str, Any]


@dataclass(slots=True, eq=False)
class Front:
    """One front end's process and its files."""

    name: str
    zone: str
    host: str
    voter: bool
    folder: Path
    log: ChangeLogServer
    process: subprocess.Popen | None = None
    pipe: "Pipe | None" = None  # of the last life
    lines: deque[str] = field(default_factory=lambda: deque(maxlen=LINES_KEPT))  # what that wrote last
    ready: bool = False
    stopped: bool = False
    lives: list[list[float]] = field(default_factory=list)  # [from, until], in milliseconds
    halts: list[list[float]] = field(default_factory=list)
    waits: "Waits" = field(default_factory=lambda: Waits())
    index: int = 0
    plan: dict[str, str] | None = None  # states that it follows; None: on its own
    apart: list[Any] = field(default_factory=list)
    role: str = ""
    policy: tuple[int, str, str] | None = None  # number, digest and how, as it told last
    traces: list[tuple[float, Path]] = field(default_factory=list)  # of its lives, each since when
    status: int | None = None  # of the last life that ended by itself
    number: int = 0  # of processes that took another's place: they have its addresses but one
    former: "Former | None" = None  # the process whose place another one takes

    @property
    def alive(self) -> bool:
        """Whether its process lives."""
        return self.process is not None

    @property
    def last_line(self) -> str:
        """The last line that it wrote."""
        return self.lines[-1] if self.lines else "it wrote nothing"

    def well(self, since_ms: float, until_ms: float) -> bool:
        """Whether it lived and ran throughout a stretch of time."""
        lived = any(start <= since_ms and until_ms <= end for start, end in self.lives)
        return lived and not any(start <= until_ms and since_ms <= end for start, end in self.halts)


@dataclass(slots=True, eq=False)
class Former:
    """A process beside which another one of the same front end was started."""

    process: subprocess.Popen
    pipe: "Pipe"
    lines: list[str] = field(default_factory=list)  # that it wrote since then


class Waits:
    """How long a process waited for a processor that others had, by the system's own count.

    It tells what a busy machine did from what the program did.
    """

    def __init__(self) -> None:
        self.at_ms: list[float] = []
        self.total_ms: list[float] = []  # of all lives
        self._pid, self._last_ms = 0, 0.0

    def look(self, now_ms: float, pid: int) -> None:
        """Read the system's count."""
        try:
            waited_ms = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e6
        except (OSError, IndexError):
            return  # it has just ended, or the system doesn't count
        before_ms = self._last_ms if pid == self._pid else 0.0
        self._pid, self._last_ms = pid, waited_ms
        self.at_ms.append(now_ms)
        self.total_ms.append((self.total_ms[-1] if self.total_ms else 0.0) + waited_ms - before_ms)

    def stood_still(self, for_ms: float) -> None:
        """The time waited since the last reading.

        The system does not count what a disk or a whole machine costs.
        """
        if self.total_ms:
            self.total_ms[-1] += for_ms

    def between(self, since_ms: float, until_ms: float) -> float:
        """The time waited from the last look before a stretch to the first one after it."""
        if not self.at_ms:
            return 0.0
        first = max(0, bisect_right(self.at_ms, since_ms) - 1)
        last = min(len(self.at_ms) - 1, bisect_left(self.at_ms, until_ms))
        return self.total_ms[last] - self.total_ms[first]


class Pipe:
    """What one life of a process writes to its standard error, line by line."""

    def __init__(self, loop: EventLoop, front: Front, wrote: Callable[[Front, str], None]) -> None:
        """`wrote` takes each line."""
        self.loop, self.front, self.wrote, self.buffer = loop, front, wrote, bytearray()
        # Unbuffered: who reads the file finds all that was read so far.
        self.file = open(front.folder / "log.txt", "ab", buffering=0)  # noqa: SIM115
        self.pipe = front.process.stderr
        os.set_blocking(self.pipe.fileno(), False)
        loop.watch(self.pipe, READ, self.read)

    def read(self, _mask: int) -> None:
        """Take what the pipe holds."""
        self._take(READ_BYTES)

    def _take(self, most: int) -> int:
        """Read once; how many bytes came."""
        try:
            data = os.read(self.pipe.fileno(), most)
        except BlockingIOError:
            return 0
        if not data:
            self.close()
            return 0
        self.file.write(data)
        self.buffer += data
        *lines, rest = self.buffer.split(b"\n")
        self.buffer = bytearray(rest)
        for line in lines:
            self._line(line)
        return len(data)

    def _line(self, line: bytes) -> None:
        self.wrote(self.front, line.decode(errors="replace"))

    def finish(self) -> None:
        """Once the process has ended, take what it left in its pipe, in as many reads as that needs.

        All that it wrote is in there by then. Nothing is waited for: a child of it that keeps the pipe open
        can add to it, and never end it.
        """
        if self.file.closed:
            return
        left = struct.unpack("i", fcntl.ioctl(self.pipe.fileno(), termios.FIONREAD, b"\0" * 4))[0]
        while left > 0 and (taken := self._take(min(left, READ_BYTES))):
            left -= taken
        self.close()

    def close(self) -> None:
        """Close the pipe."""
        if self.file.closed:
            return
        self.loop.unwatch(self.pipe)
        self.pipe.close()
        self.file.close()
        if rest := bytes(self.buffer):  # a last line without its end
            self.buffer.clear()
            self._line(rest)
