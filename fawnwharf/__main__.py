"""The program: ``python -m fawnwharf``."""

import signal
import sys
from typing import Any

SIGNALS = signal.SIGHUP, signal.SIGTERM, signal.SIGINT  # what the loop takes once it runs
OPTIONS = "--zones", "--state", "--policy", "--sessions", "--recovery"


def plain_serve(words: list[str]) -> dict[str, Any] | None:
    """What to serve with, where that is all that is asked for; None where the command line has to look."""
    if words[:1] != ["serve"]:
        return None
    found: dict[str, Any] = {}
    rest = list(words[1:])
    while rest:
        word = rest.pop(0)
        if word in OPTIONS and rest and not rest[0].startswith("-"):
            found[word[2:]] = rest.pop(0)
        elif word == "--fresh":
            found["fresh"] = True
        else:
            return None
    return found


def main() -> int:
    """Run what the command line asks for; the exit status."""
    if sys.argv[1:2] != ["serve"]:
        return run()
    # Held back until the loop has its handlers: a signal ends a program that has none yet.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    try:
        return run()
    finally:
        # The interpreter takes its handlers away as it ends: a second signal must not change the status.
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def run() -> int:
    """Serve at once, or have the command line look at its words."""
    if (asked := plain_serve(sys.argv[1:])) is not None:
        # Guards the time to be ready after a restart, and some 11 MB: the command line's libraries take
        # longer to import than all the rest, and serving needs none of them.
        from fawnwharf.serving import serve

        return serve(**asked)
    from fawnwharf.cli import app

    return app(prog_name="fawnwharf")


if __name__ == "__main__":
    sys.exit(main())
