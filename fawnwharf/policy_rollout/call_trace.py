"""The call trace: one line for each call, written in trials.

A line has the policy that applied to the call, from its arrival to its final answer.
"""

from collections import deque
from pathlib import Path

import msgspec

from fawnwharf.policy_rollout.messages import ActivePolicy

MAX_PENDING_LINES = 8_192  # that wait to be written; more are dropped and counted
MAX_BYTES = 256 * 1024 * 1024  # of the file, in one incarnation

encoder = msgspec.json.Encoder()


class CallTrace:
    """Owns the file; lines are written together, whenever `flush` is called."""

    def __init__(self, path: Path) -> None:
        """Open the file for appending; raises OSError where it can't be written."""
        self._file = path.open("ab", buffering=0)
        self._lines: deque[bytes] = deque()
        self.written_bytes = 0
        self.dropped = 0

    def add(self, call: str, policy: ActivePolicy, taken_ms: float, ended_ms: float) -> None:
        """Add the line of a call; times are Unix milliseconds."""
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
        """Write the lines; raises OSError, and then drops them."""
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
