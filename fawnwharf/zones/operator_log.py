"""The operators' log: one line of JSON for each event, on standard error."""

import contextlib
import sys
from collections.abc import Callable
from typing import Any

import structlog

WriteEvent = Callable[[str, dict[str, Any]], None]  # takes an event's name and its fields


def writer(member: str) -> WriteEvent:
    """A function that writes an event and its fields, with the member's name and the time in UTC."""
    log = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(default=str),
        ],
        member=member,
    )

    def write(event: str, fields: dict[str, Any]) -> None:
        with contextlib.suppress(OSError):  # that nobody reads the log is no reason to stop serving
            log.info(event, **{key.replace(" ", "_"): value for key, value in fields.items()})

    return write
