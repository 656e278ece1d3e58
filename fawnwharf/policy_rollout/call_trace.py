"""Writes a line a call for trials.

The policy by which it was judged, from its arrival to its final answer.
"""

from collections import deque
from pathlib import Path

import msgspec

from fawnwharf.policy_rollout.messages import ActivePolicy

LINES_MOST = 8_192  # that wait to be written; more are dropped and counted
BYTES_MOST = 256 * 1024 * 1024  # of the file, in one life

encoder = msgspec.json.Encoder()


class CallTrace:
    """Owns the file; lines are written together, whenever `flush` is called."""

    def __init__(self, path: Path) -> None:
        """Raises OSError where the file can't be written."""
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115 - for as long as it serves
        self._lines: deque[bytes] = deque()
        self.written, self.dropped = 0, 0

    def call(self, id: str, by: ActivePolicy, taken_ms: float, ended_ms: float) -> None:
        """Add the line of a call; times are Unix milliseconds."""
        if len(self._lines) >= LINES_MOST or self.written >= BYTES_MOST:
            self.dropped += 1
            return
        line = {"call": id, "number": by.number, "digest": by.digest, "how": by.how}
        line |= {"taken_ms": round(taken_ms, 3), "ended_ms": round(ended_ms, 3)}
        self._lines.append(encoder.encode(line) + b"\n")

    def flush(self) -> None:
        """Write the lines; raises OSError, and then drops them."""
        if self._lines:
            data, count = b"".join(self._lines), len(self._lines)
            self._lines.clear()
            try:
                self._file.write(data)
            except OSError:
                self.dropped += count
                raise
            self.written += len(data)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
