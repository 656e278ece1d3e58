"""A real folder as the file system of a store, and its lock."""

import fcntl
import os
import stat
import time
from pathlib import Path

from fawnwharf.consensus.records import DiskError
from fawnwharf.file_writes import sync_folder, write_all

LOCK_FILE = "durable.lock"
LOCK_RETRY_S = 0.02


class DiskFolder:
    """Owns the open files that it created in one folder. See `operations.FileSystem` for the methods."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        self._descriptors: dict[str, int] = {}

    def begin(self, name: str) -> int:
        """Create or truncate a file; its inode."""
        self._close(name)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        self._descriptors[name] = os.open(self.path / name, flags, 0o600)
        return os.fstat(self._descriptors[name]).st_ino

    def append(self, name: str, data: bytes) -> None:
        """Append to a file that was begun."""
        write_all(self._descriptors[name], data)

    def sync(self, name: str) -> None:
        """Sync a file's content to disk."""
        os.fsync(self._descriptors[name])

    def rename(self, old: str, new: str) -> None:
        """Rename a file; a snapshot is closed, as nothing more is written to it."""
        os.rename(self.path / old, self.path / new)
        if old in self._descriptors:
            self._close(new)
            self._descriptors[new] = self._descriptors.pop(old)
        if new.endswith(".snap"):
            self._close(new)

    def sync_folder(self) -> None:
        """Sync names and removals to disk."""
        sync_folder(self.path)

    def remove(self, name: str) -> None:
        """Remove a file, if it exists."""
        self._close(name)
        (self.path / name).unlink(missing_ok=True)

    def names(self) -> dict[str, int]:
        """All regular files of the folder, with their sizes in bytes."""
        found = {}
        with os.scandir(self.path) as entries:
            for entry in entries:
                about = entry.stat(follow_symlinks=False)
                if stat.S_ISREG(about.st_mode):
                    found[entry.name] = about.st_size
        return found

    def read(self, name: str) -> tuple[bytes, int]:
        """A file's content and its inode."""
        with open(self.path / name, "rb") as file:
            return file.read(), os.fstat(file.fileno()).st_ino

    def _close(self, name: str) -> None:
        descriptor = self._descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)

    def close(self) -> None:
        """Close all files."""
        for name in list(self._descriptors):
            self._close(name)


def lock_folder(path: Path, *, create: bool = True, within_s: float = 0.0) -> int:
    """Lock a folder; a descriptor that holds the lock until it and its copies are closed.

    `create` also creates the folder and its lock file; without it, -1 is returned where there is no lock
    file. A lock that another process holds is tried for `within_s` seconds. Raises DiskError.
    """
    try:
        descriptor = _open_lock_file(path, create=create)
    except FileExistsError:
        raise DiskError(f"{path}: not a folder") from None
    except OSError as error:
        raise DiskError(f"{path}: not writable: {error.strerror}") from None
    if descriptor >= 0 and not _acquire(descriptor, within_s):
        os.close(descriptor)
        raise DiskError(f"{path}: in use by a live process")
    return descriptor


def _open_lock_file(path: Path, *, create: bool) -> int:
    if create:
        path.mkdir(parents=True, exist_ok=True)
    elif not path.is_dir():
        raise DiskError(f"{path}: {'not a folder' if path.exists() else 'no such folder'}")
    elif not (path / LOCK_FILE).exists():
        return -1
    flags = (os.O_RDWR | os.O_CREAT) if create else os.O_RDONLY
    return os.open(path / LOCK_FILE, flags | os.O_CLOEXEC, 0o600)


def _acquire(descriptor: int, within_s: float) -> bool:
    """Whether the lock was free within this time."""
    deadline_s = time.monotonic() + within_s
    while True:
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            if time.monotonic() >= deadline_s:
                return False
        else:
            return True
        time.sleep(LOCK_RETRY_S)


def unlock_folder(descriptor: int) -> None:
    """Release what `lock_folder` returned."""
    if descriptor >= 0:
        os.close(descriptor)
