"""Disk jobs, the operations they consist of, and the file system interface that executes them.

File names are relative to one folder. The operations of a job are executed in order, up to the first failure.
"""

from typing import Protocol

import msgspec
from msgspec import Struct


class CreateFile(Struct, frozen=True, tag="Begin"):
    """Create an empty file; an existing one of this name is truncated."""

    name: str


class AppendBytes(Struct, frozen=True, tag="Append"):
    """Append data to a file that was created by this process."""

    name: str
    data: bytes


class SyncFile(Struct, frozen=True, tag="Sync"):
    """Sync a file's content to disk. Its name is on disk only after `SyncFolder`."""

    name: str


class RenameFile(Struct, frozen=True, tag="Rename"):
    """Rename a file; an existing one of the new name is replaced."""

    old: str
    new: str


class SyncFolder(Struct, frozen=True, tag="SyncFolder"):
    """Sync the folder itself, and so all creations, renames and removals, to disk."""


class RemoveFile(Struct, frozen=True, tag="Remove"):
    """Remove a file, if it exists."""

    name: str


DiskOperation = CreateFile | AppendBytes | SyncFile | RenameFile | SyncFolder | RemoveFile


class DiskJob(Struct, frozen=True):
    """Operations that are executed in order."""

    operations: tuple[DiskOperation, ...] = msgspec.field(name="ops")


class JobResult(Struct, frozen=True):
    """The result of a job."""

    error: str = msgspec.field(default="", name="failed")  # file name and cause; empty on success
    inode: int = 0  # inode number of the last file created; 0 if none was


class FileSystem(Protocol):
    """The files of one folder. Every method may raise OSError."""

    def begin(self, name: str) -> int:
        """Create or truncate a file; return its inode number."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file that `begin` opened."""

    def sync(self, name: str) -> None:
        """Sync a file's content to disk."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file."""

    def sync_directory(self) -> None:
        """Sync the folder itself, and so all creations, renames and removals, to disk."""

    def remove(self, name: str) -> None:
        """Remove a file, if it exists."""

    def names(self) -> dict[str, int]:
        """The names of all files in the folder, with their sizes in bytes."""

    def read(self, name: str) -> tuple[bytes, int]:
        """Read a file; return its content and its inode number."""


def execute_job(files: FileSystem, job: DiskJob) -> JobResult:
    """Execute a job up to the first operation that fails."""
    inode = 0
    for operation in job.operations:
        try:
            if isinstance(operation, CreateFile):
                inode = files.begin(operation.name)
            else:
                _execute(files, operation)
        except OSError as error:
            return JobResult(f"{_file_name(operation)}: {error.strerror or error}")
    return JobResult("", inode)


def _execute(
    files: FileSystem, operation: AppendBytes | SyncFile | RenameFile | SyncFolder | RemoveFile
) -> None:
    match operation:
        case AppendBytes(name, data):
            files.append(name, data)
        case SyncFile(name):
            files.sync(name)
        case RenameFile(old, new):
            files.rename(old, new)
        case SyncFolder():
            files.sync_directory()
        case RemoveFile(name):
            files.remove(name)


def _file_name(operation: DiskOperation) -> str:
    """The file that an operation concerns, for error messages."""
    match operation:
        case SyncFolder():
            return "folder"
        case RenameFile(_, new):
            return new
        case _:
            return operation.name
