"""A stand-in for the logging library of the extra `zones`, which the build of the deploy file leaves out.

It has what the program uses of it, so that the options `--zones` and `--state` start after that build.
"""

import json
import time
from typing import Any, TextIO


class PrintLogger:
    """Prints lines to a file."""

    def __init__(self, file: TextIO) -> None:
        self.file = file


class _Processors:
    @staticmethod
    def TimeStamper(**_options: Any) -> None:  # noqa: N802 - the library's name
        """Nothing: each line gets its time below."""

    @staticmethod
    def JSONRenderer(**_options: Any) -> None:  # noqa: N802 - the library's name
        """Nothing: each line is JSON below."""


processors = _Processors


class _Logger:
    def __init__(self, logger: PrintLogger, fields: dict[str, Any]) -> None:
        self._logger, self._fields = logger, fields

    def info(self, event: str, **fields: Any) -> None:
        """Write one line of JSON."""
        line = {**self._fields, **fields, "event": event, "timestamp": time.time()}
        print(json.dumps(line, default=str), file=self._logger.file, flush=True)


def wrap_logger(logger: PrintLogger, **fields: Any) -> _Logger:
    """A logger that adds these fields to each line."""
    fields.pop("processors", None)
    return _Logger(logger, fields)
