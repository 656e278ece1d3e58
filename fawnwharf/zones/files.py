"""Files of a running front end: read at start, and checked for changes while it serves."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from fawnwharf.config import ConfigError
from fawnwharf.zones.settings import SettingsFileError


class WatchedFile:
    """A file that is taken whole or not at all, when it has changed."""

    def __init__(self, path: Path) -> None:
        self.path, self._seen = path, None

    def changed(self) -> bytes | None:
        """The file's bytes where it changed since the last call; None where it did not, or can't be read."""
        try:
            stat = self.path.stat()
            mark = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
            if mark == self._seen:
                return None
            data = self.path.read_bytes()
        except OSError:
            return None
        self._seen = mark
        return data


def load_file(path: Path, read: Callable[[bytes], Any], key: str) -> Any:
    """What `read` makes of a file; raises ConfigError with one line that begins with the key."""
    try:
        return read(path.read_bytes())
    except OSError as error:
        raise ConfigError(f"{key}: {path}: {error.strerror}") from None
    except SettingsFileError as error:
        raise ConfigError(f"{key}: {path}: {error}") from None
