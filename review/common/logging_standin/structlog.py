"""A stand-in of the logging library that front ends with replicated state write their log lines with.

The deploy file's build does not install the extra that brings the library. It is used only where that is not
installed, and writes the same lines: an event and its fields, as JSON, on standard error.
"""

import json
from types import SimpleNamespace

processors = SimpleNamespace(TimeStamper=lambda **_options: None, JSONRenderer=lambda **_options: None)


def PrintLogger(file):
    return file


def wrap_logger(file, processors, **bound):
    def info(event, **fields):
        file.write(json.dumps({**bound, "event": event, **fields}, default=str) + "\n")
        file.flush()

    return SimpleNamespace(info=info)
