"""The writer process, which executes disk jobs so that the front end never waits for the disk.

The process reads one job at a time from its input, executes it, and writes the result to its output. It exits
when its input ends. It inherits the folder's lock: if the front end is killed, no other process can lock the
folder until the job in progress has ended.
"""

import contextlib
import os
import signal
import struct
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import IO, BinaryIO, Protocol, cast

import msgspec

from fawnwharf.durable_store.folder import DiskFolder
from fawnwharf.durable_store.operations import DiskJob, JobResult, execute_job

_LENGTH = struct.Struct(">I")
MAX_READ_BYTES = 64 * 1024
MAX_WRITE_BYTES = 1024 * 1024

# Skips the package's __init__, which imports the decision module, for a faster start and less memory.
_PROGRAM = """
import sys, types
package = types.ModuleType("fawnwharf")
package.__path__ = [sys.argv[1]]
sys.modules["fawnwharf"] = package
import importlib
importlib.import_module(sys.argv[3]).main(sys.argv[2])
"""
# For tests only: names a module whose `main` is run instead, such as a writer that loses unsynced data.
TEST_WRITER_VARIABLE = "FAWNWHARF_TEST_WRITER"

OutputCallback = Callable[[BinaryIO], None]


class JobRunner(Protocol):
    """Executes one job at a time, without blocking its caller."""

    on_output_opened: OutputCallback
    on_output_closing: OutputCallback

    def start(self, job: DiskJob) -> None:
        """Start a job. No other job may be in progress."""

    def poll(self) -> JobResult | None:
        """Return the result of the job in progress once; None while there is none."""

    @property
    def output(self) -> BinaryIO | None:
        """The stream that becomes readable when there is a result."""

    @property
    def unsent(self) -> bool:
        """Whether the pipe was too full for the whole job, so that `poll` has to be called again soon."""

    def close(self) -> None:
        """Stop the runner when the job in progress is done."""


def _ignore(_output: BinaryIO) -> None:
    pass


class WriterProcess:
    """Owns the process that executes jobs; starts it on demand, and again after it has ended."""

    def __init__(self, path: Path, lock: int) -> None:
        """`lock` is the descriptor of the folder's lock, which the process inherits."""
        self.path = path
        self.process: subprocess.Popen[bytes] | None = None
        self.on_output_opened: OutputCallback = _ignore
        self.on_output_closing: OutputCallback = _ignore
        self._lock = lock
        self._unsent = bytearray()
        self._received = bytearray()
        self._error = ""  # the error of the job in progress, if the process has ended

    @property
    def output(self) -> BinaryIO | None:
        """The stream that becomes readable when there is a result; a restart replaces it."""
        return None if self.process is None else _pipe(self.process.stdout)

    def start(self, job: DiskJob) -> None:
        """Send a job to the process, which is started if necessary."""
        data = msgspec.msgpack.encode(job)
        self._unsent = bytearray(_LENGTH.pack(len(data)) + data)
        self._received.clear()
        self.begin()
        if self.process is not None:
            self._send(self.process)

    def begin(self) -> None:
        """Start the process if it is not running; its first job has to wait until it is ready."""
        try:
            if self.process is None:
                self._start_process()
        except OSError as error:
            self._error = f"no writer: {error.strerror}"

    def _start_process(self) -> None:
        module = os.environ.get(TEST_WRITER_VARIABLE) or __name__
        package_path = str(Path(__file__).parent.parent)
        process = subprocess.Popen(
            [sys.executable, "-c", _PROGRAM, package_path, str(self.path), module],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            bufsize=0,
            pass_fds=[self._lock],
            start_new_session=True,
        )
        self.process = process
        for end in (process.stdin, process.stdout):
            os.set_blocking(_pipe(end).fileno(), False)
        self.on_output_opened(_pipe(process.stdout))

    def _send(self, process: subprocess.Popen[bytes]) -> None:
        """Send as much of the job as fits into the pipe."""
        try:
            while self._unsent:
                written = os.write(_pipe(process.stdin).fileno(), self._unsent[:MAX_WRITE_BYTES])
                del self._unsent[:written]
        except BlockingIOError:
            pass
        except OSError as error:
            self._end_process(process, f"the writer ended: {error.strerror}")

    def poll(self) -> JobResult | None:
        """Return the result of the job in progress once; None while there is none. Never blocks."""
        if self._error:
            return self._take_error()
        if self.process is not None and self._unsent:
            self._send(self.process)
        if self.process is None:
            return self._take_error() if self._error else None
        try:
            data = os.read(_pipe(self.process.stdout).fileno(), MAX_READ_BYTES)
        except BlockingIOError:
            return None
        except OSError as error:
            self._end_process(self.process, f"the writer ended: {error.strerror}")
            return self._take_error()
        if not data:
            self._end_process(self.process, "the writer ended")
            return self._take_error()
        self._received += data
        return self._take_result()

    def _take_error(self) -> JobResult:
        error = self._error
        self._error = ""
        return JobResult(error)

    def _take_result(self) -> JobResult | None:
        received = len(self._received) - _LENGTH.size
        if received < 0 or received < _LENGTH.unpack_from(self._received)[0]:
            return None
        result = msgspec.msgpack.decode(bytes(self._received[_LENGTH.size :]), type=JobResult)
        self._received.clear()
        return result

    @property
    def unsent(self) -> bool:
        """Whether the pipe was too full for the whole job."""
        return bool(self._unsent)

    def _end_process(self, process: subprocess.Popen[bytes], why: str) -> None:
        self.process = None
        self._error = why
        self._unsent.clear()
        self.on_output_closing(_pipe(process.stdout))
        for end in (process.stdin, process.stdout):
            with contextlib.suppress(OSError):
                _pipe(end).close()
        process.kill()  # a process that only closed its output would still hold the lock
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(0.0)

    def close(self, wait_s: float = 1.0) -> None:
        """Close the process's input, and wait up to `wait_s` seconds for its exit.

        The process exits when the job in progress is done.
        """
        if self.process is None:
            return
        process = self.process
        self.process = None
        _pipe(process.stdin).close()
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(wait_s)
        _pipe(process.stdout).close()


def _pipe(end: IO[bytes] | None) -> BinaryIO:
    """Narrow the type of a process's stdin or stdout to a pipe."""
    if end is None:
        raise TypeError("the process was started without this pipe")
    return cast(BinaryIO, end)


def main(path: str) -> None:
    """Execute jobs in the folder `path` until the input ends."""
    files = DiskFolder(path)
    serve(lambda job: execute_job(files, job))


def serve(execute: Callable[[DiskJob], JobResult]) -> None:
    """Read jobs, execute each with `execute`, and write its result, until the input ends."""
    # The front end stops this process by closing its input.
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(signal_number, signal.SIG_IGN)
    jobs = sys.stdin.buffer
    while length := _read_exactly(jobs, _LENGTH.size):
        data = _read_exactly(jobs, _LENGTH.unpack(length)[0])
        if not data:
            return
        encoded_result = msgspec.msgpack.encode(execute(msgspec.msgpack.decode(data, type=DiskJob)))
        try:
            sys.stdout.buffer.write(_LENGTH.pack(len(encoded_result)) + encoded_result)
            sys.stdout.buffer.flush()
        except OSError:
            return


def _read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Read exactly `size` bytes; return no bytes if the stream ends before."""
    data = bytearray()
    while len(data) < size and (chunk := stream.read(size - len(data))):
        data += chunk
    return bytes(data) if len(data) == size else b""
