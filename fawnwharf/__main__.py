"""Entry point of the program: ``python -m fawnwharf``."""

import signal
import sys
from typing import Any

SIGNALS = signal.SIGHUP, signal.SIGTERM, signal.SIGINT  # handled by the event loop once it runs
FILE_OPTIONS = "--zones", "--state", "--policy", "--sessions", "--recovery"


def serve_options(arguments: list[str]) -> dict[str, Any] | None:
    """The keyword arguments of `serving.serve`, if the command is `serve` with simple options only.

    None for all other commands, options and spellings, which the command line's library parses.
    """
    if arguments[:1] != ["serve"]:
        return None
    options: dict[str, Any] = {}
    rest = arguments[1:]
    while rest:
        argument = rest.pop(0)
        if argument in FILE_OPTIONS and rest and not rest[0].startswith("-"):
            options[argument.removeprefix("--")] = rest.pop(0)
        elif argument == "--fresh":
            options["fresh"] = True
        else:
            return None
    return options


def main() -> int:
    """Runs the command that the command line names; returns the exit status."""
    if sys.argv[1:2] != ["serve"]:
        return run()
    # Blocked until the event loop has installed its handlers: without a handler a signal ends the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        return run()
    finally:
        # The interpreter removes the handlers when it ends: a second signal must not change the exit status.
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def run() -> int:
    """Serves directly if the options are simple, else parses the command line; returns the exit status."""
    options = serve_options(sys.argv[1:])
    if options is not None:
        # Skips the command line's libraries, which serving does not need. They take longer to import than
        # everything else, which would delay a restart, and use about 11 MB of memory.
        from fawnwharf.serving import serve

        return serve(**options)
    from fawnwharf.cli import app

    status: int = app(prog_name="fawnwharf")
    return status


if __name__ == "__main__":
    sys.exit(main())
