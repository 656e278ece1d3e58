"""What is asked of a disk: jobs of few operations, and the small file system that carries them out.

Names are of files within one folder. A job is carried out in its order, up to the first operation that fails.
"""

from typing import Protocol

from msgspec import Struct


class CreateFile(Struct, frozen=True, tag="Begin"):
    """A new, empty file of this name; one that was there is emptied."""

    name: str


class AppendBytes(Struct, frozen=True, tag="Append"):
    name: str
    data: bytes


class SyncFile(Struct, frozen=True, tag="Sync"):
    """What was appended to it is on disk; whether the folder has its name is another matter."""

    name: str


class RenameFile(Struct, frozen=True, tag="Rename"):
    old: str
    new: str


class SyncFolder(Struct, frozen=True, tag="SyncFolder"):
    """Names and removals are on disk."""


class RemoveFile(Struct, frozen=True, tag="Remove"):
    """Nothing is asked of a file that is not there."""

    name: str


DiskOperation = CreateFile | AppendBytes | SyncFile | RenameFile | SyncFolder | RemoveFile


class DiskJob(Struct, frozen=True):
    ops: tuple[DiskOperation, ...]


class JobResult(Struct, frozen=True):
    """`failed` names what went wrong, empty: nothing. `inode` of the file that was begun last, or 0."""

    failed: str = ""
    inode: int = 0


class FileSystem(Protocol):
    """One folder. Every method may raise OSError."""

    def begin(self, name: str) -> int:
        """The inode of the new file."""

    def append(self, name: str, data: bytes) -> None: ...
    def sync(self, name: str) -> None: ...
    def rename(self, old: str, new: str) -> None: ...
    def sync_folder(self) -> None: ...
    def remove(self, name: str) -> None: ...

    def names(self) -> dict[str, int]:
        """Of all files in the folder, with their sizes in bytes."""

    def read(self, name: str) -> tuple[bytes, int]:
        """All of a file, and its inode."""


def execute_job(files: FileSystem, job: DiskJob) -> JobResult:
    inode = 0
    for op in job.ops:
        try:
            match op:
                case CreateFile(name):
                    inode = files.begin(name)
                case AppendBytes(name, data):
                    files.append(name, data)
                case SyncFile(name):
                    files.sync(name)
                case RenameFile(old, new):
                    files.rename(old, new)
                case SyncFolder():
                    files.sync_folder()
                case RemoveFile(name):
                    files.remove(name)
        except OSError as error:
            which = getattr(op, "name", "") or getattr(op, "new", "") or "folder"
            return JobResult(f"{which}: {error.strerror or error}")
    return JobResult("", inode)
