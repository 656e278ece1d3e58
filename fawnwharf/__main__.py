"""The program: ``python -m fawnwharf``."""

import sys

from fawnwharf.config import ConfigError, load
from fawnwharf.net.front_end import FrontEnd


def main() -> int:
    try:
        FrontEnd(load()).serve()
    except ConfigError as error:
        print(f"fawnwharf: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
