"""Steps of the store: disk jobs with what their success means, and rewrites made of them."""

from collections.abc import Generator
from typing import NamedTuple

from fawnwharf.durable_store.operations import DiskJob, JobResult, RemoveFile


class Step(NamedTuple):
    """A job, and what its success means."""

    job: DiskJob
    commits: int = 0  # all groups up to this one are on disk; 0: no further than before
    opens: str = ""  # the log that is open then; empty: as before
    opens_bytes: int = 0  # its size
    is_last: bool = False


Rewrite = Generator[Step, JobResult | None, None]


def removal(names: set[str]) -> DiskJob:
    """The job that removes these files from the store's folder, in the order of their names."""
    return DiskJob(tuple(RemoveFile(name) for name in sorted(names)))
