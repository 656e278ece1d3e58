"""The process that waits for the disk in the front end's place, and the front end's end of it.

It reads jobs from its input, one at a time, carries each out, and writes its outcome. It holds the folder's
lock as long as it lives, so that no other process comes in between a front end's kill and the end of the job
that was out, and it ends with its input.
"""

import contextlib
import os
import signal
import struct
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import BinaryIO, Protocol

import msgspec

from fawnwharf.durable_store.folder import DiskFolder
from fawnwharf.durable_store.operations import DiskJob, JobResult, execute_job

_LENGTH = struct.Struct(">I")
MAX_READ_BYTES = 64 * 1024

# Without the package's own first lines, which bring all decisions along: less to start, less to hold.
_PROGRAM = """
import sys, types
package = types.ModuleType("fawnwharf")
package.__path__ = [sys.argv[1]]
sys.modules["fawnwharf"] = package
import importlib
importlib.import_module(sys.argv[3]).main(sys.argv[2])
"""
# For tests alone: the module whose `main` is run in this one's place, as one that loses what was not synced.
TEST_WRITER_VARIABLE = "FAWNWHARF_TEST_WRITER"


class JobRunner(Protocol):
    """Carries out one job at a time."""

    def start(self, job: DiskJob) -> None: ...

    def poll(self) -> JobResult | None:
        """The outcome of the job that is out, once; None while there is none. Never blocks."""

    @property
    def unsent(self) -> bool:
        """Part of the job waits for room: `poll` is to be called again soon."""

    def close(self) -> None: ...


class WriterProcess:
    """A process that carries out jobs; begun when there is one, and again after it has ended."""

    def __init__(self, path: Path, lock: int) -> None:
        """`lock`: the descriptor of the folder's lock."""
        self.path, self._lock = path, lock
        self.process: subprocess.Popen | None = None
        self.begun: Callable[[BinaryIO], None] = lambda _end: None  # told of `incoming` as it comes
        self.gone: Callable[[BinaryIO], None] = lambda _end: None  # and before it is closed
        self._out, self._in, self._failed = bytearray(), bytearray(), ""

    @property
    def incoming(self) -> BinaryIO | None:
        """What is readable once an outcome is there; another one after the process ended."""
        return self.process.stdout if self.process else None

    def start(self, job: DiskJob) -> None:
        data = msgspec.msgpack.encode(job)
        self._out = bytearray(_LENGTH.pack(len(data)) + data)
        self._in.clear()
        self.begin()
        if self.process is not None:
            self._push()

    def begin(self) -> None:
        """Starts the process, where there is none; it takes a while before it is ready for its first job."""
        try:
            if self.process is None:
                self._begin()
        except OSError as error:
            self._failed = f"no writer: {error.strerror}"

    def _begin(self) -> None:
        module = os.environ.get(TEST_WRITER_VARIABLE) or __name__
        command = [sys.executable, "-c", _PROGRAM, str(Path(__file__).parent.parent), str(self.path), module]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, bufsize=0, pass_fds=[self._lock],
            start_new_session=True,
        )  # fmt: skip
        for end in (self.process.stdin, self.process.stdout):
            os.set_blocking(end.fileno(), False)
        self.begun(self.process.stdout)

    def _push(self) -> None:
        """As much of the job as the pipe takes now."""
        try:
            while self._out:
                del self._out[: os.write(self.process.stdin.fileno(), self._out[: 1024 * 1024])]
        except BlockingIOError:
            pass
        except OSError as error:
            self._gone(f"the writer ended: {error.strerror}")

    def poll(self) -> JobResult | None:
        if self._failed:
            failed, self._failed = self._failed, ""
            return JobResult(failed)
        if self.process is None:
            return None
        if self._out:
            self._push()
        try:
            data = os.read(self.process.stdout.fileno(), MAX_READ_BYTES)
        except BlockingIOError:
            return None
        except OSError as error:
            data, self._failed = b"", f"the writer ended: {error.strerror}"
        if not data:
            self._gone(self._failed or "the writer ended")
            return self.poll()
        self._in += data
        if len(self._in) < _LENGTH.size or len(self._in) < _LENGTH.size + _LENGTH.unpack_from(self._in)[0]:
            return None
        found = msgspec.msgpack.decode(bytes(self._in[_LENGTH.size :]), type=JobResult)
        self._in.clear()
        return found

    @property
    def unsent(self) -> bool:
        """The pipe was full."""
        return bool(self._out)

    def _gone(self, why: str) -> None:
        process, self.process, self._failed = self.process, None, why
        self._out.clear()
        self.gone(process.stdout)
        for end in (process.stdin, process.stdout):
            with contextlib.suppress(OSError):
                end.close()
        process.kill()  # one that only closed its output would hold the lock
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(0.0)

    def close(self, wait_s: float = 1.0) -> None:
        """Its input ends, and so does it, once the job that is out is done; it is waited for so long."""
        if self.process is not None:
            process, self.process = self.process, None
            process.stdin.close()
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(wait_s)
            process.stdout.close()


def _whole(data: BinaryIO, size: int) -> bytes:
    found = bytearray()
    while len(found) < size and (piece := data.read(size - len(found))):
        found += piece
    return bytes(found) if len(found) == size else b""


def main(path: str) -> None:
    """Serves jobs until its input ends."""
    files = DiskFolder(path)
    serve(lambda job: execute_job(files, job))


def serve(carry: Callable[[DiskJob], JobResult]) -> None:
    """Has each job carried out, until the input ends."""
    for number in (signal.SIGINT, signal.SIGTERM):  # its front end says when it ends
        signal.signal(number, signal.SIG_IGN)
    jobs = sys.stdin.buffer
    while head := _whole(jobs, _LENGTH.size):
        data = _whole(jobs, _LENGTH.unpack(head)[0])
        if not data:
            return
        answer = msgspec.msgpack.encode(carry(msgspec.msgpack.decode(data, type=DiskJob)))
        try:
            sys.stdout.buffer.write(_LENGTH.pack(len(answer)) + answer)
            sys.stdout.buffer.flush()
        except OSError:
            return
