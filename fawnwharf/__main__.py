"""The program: ``python -m fawnwharf``."""

import signal
import sys


def main() -> int:
    if sys.argv[1:] == ["serve"]:
        # Guards a reload that is asked for early: SIGHUP ends a program that has no handler yet.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
        # Guards the time to be ready after a restart: the command line's libraries take longer to import
        # than all the rest, and plain serving needs none of them.
        from fawnwharf.serving import serve

        return serve()
    from fawnwharf.cli import app

    return app(prog_name="fawnwharf")


if __name__ == "__main__":
    sys.exit(main())
