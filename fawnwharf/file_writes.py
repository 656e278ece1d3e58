"""Complete and durable writes to files."""

import os
from pathlib import Path


def write_all(file: int, data: bytes) -> None:
    """Writes all data to an open file descriptor, also where one call writes only a part. Raises OSError."""
    unwritten = memoryview(data)
    while unwritten:
        unwritten = unwritten[os.write(file, unwritten) :]


def sync_directory(path: Path) -> None:
    """Syncs a directory to disk, so that created, renamed and removed files are durable. Raises OSError."""
    folder = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def replace_file(path: Path, data: bytes, mode: int = 0o644) -> None:
    """Replaces a file's content atomically and durably: it is on disk when this returns.

    After a crash the file has either the old or the new content. Raises OSError.
    """
    temporary = path.with_suffix(".new")
    file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, mode)
    try:
        write_all(file, data)
        os.fsync(file)
    finally:
        os.close(file)
    os.replace(temporary, path)
    sync_directory(path.parent)
