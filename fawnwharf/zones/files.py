"""Operators' files, which a front end reads at its start and watches for changes while it serves."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from fawnwharf.config import ConfigError
from fawnwharf.zones.settings import SettingsFileError

T = TypeVar("T")


class WatchedFile:
    """A file that is read completely whenever it has changed."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._last_seen: tuple[int, int, int] | None = None  # modification time, size, inode

    def changed(self) -> bytes | None:
        """Read the file if it has changed since the last call; None if it has not or cannot be read."""
        try:
            stat = self.path.stat()
            seen = (stat.st_mtime_ns, stat.st_size, stat.st_ino)
            if seen == self._last_seen:
                return None
            data = self.path.read_bytes()
        except OSError:
            return None
        self._last_seen = seen
        return data


def load_file(path: Path, decode: Callable[[bytes], T], key: str) -> T:
    """Read and decode a file; raises ConfigError with one line that starts with the key."""
    try:
        return decode(path.read_bytes())
    except OSError as error:
        raise ConfigError(f"{key}: {path}: {error.strerror}") from None
    except SettingsFileError as error:
        raise ConfigError(f"{key}: {path}: {error}") from None
