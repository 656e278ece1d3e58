"""Writes to files that are whole, and on disk, once they return."""

import os
from pathlib import Path


def write_all(file: int, data: bytes) -> None:
    """All of it to an open file, however little each call takes."""
    rest = memoryview(data)
    while rest:
        rest = rest[os.write(file, rest) :]


def sync_folder(path: Path) -> None:
    """The names in a folder, and what was removed from it, are on disk."""
    folder = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def replace_file(path: Path, data: bytes, mode: int = 0o644) -> None:
    """Replace a file's contents atomically, on disk when this returns.

    After a crash it is found whole or as it was before. Raises OSError.
    """
    beside = path.with_suffix(".new")
    file = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, mode)
    try:
        write_all(file, data)
        os.fsync(file)
    finally:
        os.close(file)
    os.replace(beside, path)
    sync_folder(path.parent)
