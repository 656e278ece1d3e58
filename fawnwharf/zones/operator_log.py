"""The operators' log, on standard error: one line of JSON for each event."""

import contextlib
import sys
from collections.abc import Callable
from typing import Any

import structlog

WriteEvent = Callable[[str, dict[str, Any]], None]  # called with an event's name and its fields


def writer(member: str) -> WriteEvent:
    """Returns a function that writes an event and its fields, with the member's name and the UTC time."""
    log = structlog.wrap_logger(
        structlog.PrintLogger(sys.stderr),
        processors=[
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(default=str),
        ],
        member=member,
    )

    def write(event: str, fields: dict[str, Any]) -> None:
        with contextlib.suppress(OSError):  # the front end keeps serving if the log cannot be written
            log.info(event, **{key.replace(" ", "_"): value for key, value in fields.items()})

    return write
