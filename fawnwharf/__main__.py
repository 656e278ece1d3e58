"""The program: ``python -m fawnwharf``."""

import signal
import sys
from typing import Any

SIGNALS = signal.SIGHUP, signal.SIGTERM, signal.SIGINT  # those that the event loop handles once it runs
FILE_OPTIONS = "--zones", "--state", "--policy", "--sessions", "--recovery"


def serve_options(arguments: list[str]) -> dict[str, Any] | None:
    """The keyword arguments of `serving.serve` for plain `serve` options.

    None for all other commands, options and spellings, which the command line's libraries parse.
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
    """Run the command of the command line; returns the exit status."""
    if sys.argv[1:2] != ["serve"]:
        return run()
    # Blocked until the event loop has its handlers: a signal ends a program that has none yet.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        return run()
    finally:
        # The interpreter removes its handlers as it ends: a second signal must not change the status.
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def run() -> int:
    """Serve at once if the options are plain, else parse the command line; returns the exit status."""
    options = serve_options(sys.argv[1:])
    if options is not None:
        # This saves time until the process is ready after a restart, and some 11 MB: the command line's
        # libraries take longer to import than all the rest, and serving needs none of them.
        from fawnwharf.serving import serve

        return serve(**options)
    from fawnwharf.cli import app

    status: int = app(prog_name="fawnwharf")
    return status


if __name__ == "__main__":
    sys.exit(main())
