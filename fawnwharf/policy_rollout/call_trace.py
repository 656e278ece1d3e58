"""The call trace, an optional file with one line for each call: its policy, its start and its end.

The trace is meant for trials, which check that each call kept the policy that it was bound to.
"""

from collections import deque
from pathlib import Path

import msgspec

from fawnwharf.policy_rollout.messages import ActivePolicy

MAX_PENDING_LINES = 8_192  # lines that wait to be written; further ones are dropped and counted
MAX_BYTES = 256 * 1024 * 1024  # bytes that one process writes to the file; further lines are dropped

encoder = msgspec.json.Encoder()


class CallTrace:
    """Owns the trace file and the lines that the next `flush` writes."""

    def __init__(self, path: Path) -> None:
        """Open the file for appending; raises OSError if it can't be written."""
        self._file = path.open("ab", buffering=0)
        self._lines: deque[bytes] = deque()
        self.written_bytes = 0
        self.dropped = 0

    def add(self, call: str, policy: ActivePolicy, taken_ms: float, ended_ms: float) -> None:
        """Add the line of a call; times are Unix time in milliseconds."""
        if len(self._lines) >= MAX_PENDING_LINES or self.written_bytes >= MAX_BYTES:
            self.dropped += 1
            return
        line = {
            "call": call,
            "number": policy.number,
            "digest": policy.digest,
            "how": policy.basis,
            "taken_ms": round(taken_ms, 3),
            "ended_ms": round(ended_ms, 3),
        }
        self._lines.append(encoder.encode(line) + b"\n")

    def flush(self) -> None:
        """Write the pending lines; on an error the lines are dropped and OSError is raised."""
        if not self._lines:
            return
        count = len(self._lines)
        data = b"".join(self._lines)
        self._lines.clear()
        try:
            self._file.write(data)
        except OSError:
            self.dropped += count
            raise
        self.written_bytes += len(data)

    def close(self) -> None:
        """Close the file."""
        self._file.close()
