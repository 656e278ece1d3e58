"""Writes a file for trials: a line of JSON for each call, and for each session that is received.

A call's line says by which placement it was taken, a session's what it brought. The lab's checker reads it;
nothing here does.
"""

import contextlib
import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from fawnwharf.migration import messages as m
from fawnwharf.net.timer_wheel import unix_ms
from fawnwharf.session_types import Placement


class Trace:
    """Owns the file."""

    def __init__(self, path: Path) -> None:
        """Raises OSError where the file can't be written."""
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115  one line, one write

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def taken(self, call: str, home: Placement) -> None:
        """Write a call's line; `sent_ms` is the Unix millisecond at which the module got the call."""
        session = home.session
        said = {"call": call, "org": session.org, "row": session.row}
        self._write(said | {"number": home.number, "site": home.site, "sent_ms": unix_ms()})

    def received(self, words: Iterable[m.Message]) -> None:
        """Write what sessions brought that are received here."""
        for word in words:
            if isinstance(word, m.Receive) and word.context is not None:
                said = {"org": word.session.org, "row": word.session.row, "number": word.number}
                self._write(said | {"spent": dict(word.context.spent)})

    def _write(self, line: dict[str, Any]) -> None:
        with contextlib.suppress(OSError):  # a full disk is no reason to stop serving
            self._file.write(json.dumps(line).encode() + b"\n")
