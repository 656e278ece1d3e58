"""The file system interface of a store on a real folder, and the lock of the folder."""

import fcntl
import os
import stat
import time
from pathlib import Path

from fawnwharf.consensus.records import DiskError
from fawnwharf.file_writes import sync_directory, write_all

LOCK_FILE = "durable.lock"
LOCK_RETRY_S = 0.02  # interval of attempts while another process holds the lock


class DiskFolder:
    """Owns the open files that it created in one folder. Implements `operations.FileSystem`."""

    def __init__(self, path: str | Path) -> None:
        self.path = Path(path)
        self._descriptors: dict[str, int] = {}

    def begin(self, name: str) -> int:
        """Create or truncate a file; return its inode number."""
        self._close(name)
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC
        self._descriptors[name] = os.open(self.path / name, flags, 0o600)
        return os.fstat(self._descriptors[name]).st_ino

    def append(self, name: str, data: bytes) -> None:
        """Append to a file that `begin` opened."""
        write_all(self._descriptors[name], data)

    def sync(self, name: str) -> None:
        """Sync a file's content to disk."""
        os.fsync(self._descriptors[name])

    def rename(self, old: str, new: str) -> None:
        """Rename a file. A snapshot is complete when it gets its final name, and is closed."""
        os.rename(self.path / old, self.path / new)
        if old in self._descriptors:
            self._close(new)
            self._descriptors[new] = self._descriptors.pop(old)
        if new.endswith(".snap"):
            self._close(new)

    def sync_directory(self) -> None:
        """Sync the folder itself, and so all creations, renames and removals, to disk."""
        sync_directory(self.path)

    def remove(self, name: str) -> None:
        """Remove a file, if it exists."""
        self._close(name)
        (self.path / name).unlink(missing_ok=True)

    def names(self) -> dict[str, int]:
        """The names of all regular files in the folder, with their sizes in bytes."""
        sizes = {}
        with os.scandir(self.path) as entries:
            for entry in entries:
                status = entry.stat(follow_symlinks=False)
                if stat.S_ISREG(status.st_mode):
                    sizes[entry.name] = status.st_size
        return sizes

    def read(self, name: str) -> tuple[bytes, int]:
        """Read a file; return its content and its inode number."""
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
    """Lock a folder; return a file descriptor that holds the lock until it and its duplicates are closed.

    With `create`, the folder and its lock file are created if necessary. Without it, -1 is returned if there
    is no lock file. While another process holds the lock, the call retries for `within_s` seconds. Raises
    DiskError.
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
    """Try to lock the file for `within_s` seconds; return whether that succeeded."""
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
    """Release the lock held by a descriptor from `lock_folder`."""
    if descriptor >= 0:
        os.close(descriptor)
