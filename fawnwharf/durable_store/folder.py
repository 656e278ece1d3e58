"""A real folder as the store's file system, and its lock."""

import fcntl
import os
import stat
import time
from pathlib import Path

from fawnwharf.consensus.records import DiskError
from fawnwharf.file_writes import sync_folder, write_all

LOCK_FILE = "durable.lock"
LOCK_RETRY_S = 0.02  # pace of asking for a lock


class DiskFolder:
    """One folder's files; keeps those open that it began. `ops.Files` says what each method does."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        self._open: dict[str, int] = {}

    def begin(self, name: str) -> int:
        self._close(name)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        self._open[name] = os.open(self.path / name, flags, 0o600)
        return os.fstat(self._open[name]).st_ino

    def append(self, name: str, data: bytes) -> None:
        write_all(self._open[name], data)

    def sync(self, name: str) -> None:
        os.fsync(self._open[name])

    def rename(self, old: str, new: str) -> None:
        os.rename(self.path / old, self.path / new)
        if old in self._open:
            self._close(new)
            self._open[new] = self._open.pop(old)
        if new.endswith(".snap"):
            self._close(new)  # nothing more is written to it

    def sync_folder(self) -> None:
        sync_folder(self.path)

    def remove(self, name: str) -> None:
        self._close(name)
        (self.path / name).unlink(missing_ok=True)

    def names(self) -> dict[str, int]:
        found = {}
        with os.scandir(self.path) as entries:
            for entry in entries:
                about = entry.stat(follow_symlinks=False)
                if stat.S_ISREG(about.st_mode):
                    found[entry.name] = about.st_size
        return found

    def read(self, name: str) -> tuple[bytes, int]:
        with open(self.path / name, "rb") as file:
            return file.read(), os.fstat(file.fileno()).st_ino

    def _close(self, name: str) -> None:
        file = self._open.pop(name, None)
        if file is not None:
            os.close(file)

    def close(self) -> None:
        for name in list(self._open):
            self._close(name)


def lock_folder(path: Path, create: bool = True, within_s: float = 0.0) -> int:
    """A descriptor that holds the folder's lock until it and its copies are closed; -1 where there is nothing
    to lock and nothing is to be created. Another's lock is asked for `within_s`. Raises DiskError."""
    try:
        if create:
            path.mkdir(parents=True, exist_ok=True)
        elif not path.is_dir():
            raise DiskError(f"{path}: {'not a folder' if path.exists() else 'no such folder'}")
        elif not (path / LOCK_FILE).exists():
            return -1
        flags = (os.O_RDWR | os.O_CREAT) if create else os.O_RDONLY
        found = os.open(path / LOCK_FILE, flags | os.O_CLOEXEC, 0o600)
    except FileExistsError:
        raise DiskError(f"{path}: not a folder") from None
    except OSError as error:
        raise DiskError(f"{path}: not writable: {error.strerror}") from None
    end = time.monotonic() + within_s
    while True:
        try:
            fcntl.flock(found, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return found
        except OSError:
            if time.monotonic() >= end:
                os.close(found)
                raise DiskError(f"{path}: in use by a live process") from None
        time.sleep(LOCK_RETRY_S)


def unlock_folder(held: int) -> None:
    if held >= 0:
        os.close(held)
