"""The steps of the store core: disk jobs, each with the state change that follows its success."""

from collections.abc import Generator
from typing import NamedTuple

from fawnwharf.durable_store.operations import DiskJob, JobResult, RemoveFile


class Step(NamedTuple):
    """A disk job, and the state change that follows its success."""

    job: DiskJob
    commits: int = 0  # number of the last group that is then on disk; 0: unchanged
    opens: str = ""  # name of the log that is then open; empty: unchanged
    opens_bytes: int = 0  # size of that log
    is_last: bool = False  # whether this is the last group of a graceful shutdown


Rewrite = Generator[Step, JobResult | None, None]  # yields steps, and is sent the result of each


def removal(names: set[str]) -> DiskJob:
    """Create the job that removes these files, in the order of their names."""
    return DiskJob(tuple(RemoveFile(name) for name in sorted(names)))
