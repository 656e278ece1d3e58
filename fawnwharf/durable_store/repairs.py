"""What can be done about a folder that can't be read. Pure.

A repair takes nothing away: it writes what is certain anew, and gives the files that this came from a further
ending. What is lost with it is said first, and whoever reads the folder later is told why it was repaired.
"""

from collections.abc import Mapping

from msgspec import Struct

from fawnwharf.consensus.records import encode_record, leading_records
from fawnwharf.durable_store import file_format as f
from fawnwharf.durable_store.folder_reader import (
    FileContent,
    FolderState,
    UnreadableFolderError,
    files_in_use,
    read_folder,
)
from fawnwharf.durable_store.operations import (
    AppendBytes,
    CreateFile,
    DiskJob,
    RenameFile,
    SyncFile,
    SyncFolder,
)

ASIDE_SUFFIX = ".aside"


class RepairPlan(Struct, frozen=True):
    """`why` the folder can't be read; `keeps`: what a repair goes on from; `loses`: what it can't tell of any
    more, a line each; `aside`: the files that get another name."""

    why: str
    keeps: FolderState
    loses: list[str]
    aside: list[str]


def plan_repair(files: Mapping[str, FileContent]) -> RepairPlan | None:
    """What to do about a folder, of which all files of the store are given; None where nothing is wrong.
    Raises Unreadable where nothing is left to go on from."""
    names = sorted(files)
    try:
        read_folder(files, names)
        return None
    except UnreadableFolderError as error:
        why = str(error)
    left = list(names)
    while order := files_in_use(left):
        for count in range(len(order), 0, -1):
            if (found := _from(files, order[:count])) is not None:
                found.seq = max(f.parse_file_name(name)[1] for name in names)
                return RepairPlan(why, found, _lost(files, files_in_use(names), found), names)
        left.remove(order[0])
    raise UnreadableFolderError("", f"nothing is left to go on from: {why}")


def _from(files: Mapping[str, FileContent], part: list[str]) -> FolderState | None:
    """What these files hold, the last of them up to its first record that is not whole."""
    data, inode = files[part[-1]]
    cut = data[: leading_records(data)[1]]
    for end in (data, cut):
        try:
            return read_folder({**files, part[-1]: (end, inode)}, part, copies=True)
        except UnreadableFolderError:
            continue
    return None


def _lost(files: Mapping[str, FileContent], order: list[str], found: FolderState) -> list[str]:
    number, last = found.sign.number, found.read[-1]
    size, whole = len(files[last][0]), leading_records(files[last][0])[1]
    lines = [f"{each}: all of its {len(files[each][0])} bytes" for each in order if each not in found.read]
    if whole < size:
        lines.append(f"{last}: from byte {whole} of {size} on, what came after number {number}")
    return lines or [f"nothing that can be seen here; what came after number {number}, if this is older"]


def first_repair_job(plan: RepairPlan) -> DiskJob:
    """The first job of a repair; its outcome tells the inode for the second."""
    return DiskJob((CreateFile(f.snapshot_name(plan.keeps.seq + 1) + f.TEMPORARY_SUFFIX),))


def second_repair_job(plan: RepairPlan, inode: int, at_ms: float) -> DiskJob:
    """The new snapshot gets its name before the others lose theirs. It counts as a life of its own, so that
    others' word of the life before does not make it an older copy."""
    found, name = plan.keeps, f.snapshot_name(plan.keeps.seq + 1)
    head = f.FileHeader(
        f.VERSION, found.fleet, found.name, found.sign.mark, found.sign.life + 1, found.boot, at_ms,
        f.SNAPSHOT, found.sign.number, inode, plan.why,
    )  # fmt: skip
    data = encode_record(0, head) + b"".join(f.encode_snapshot(found.entries, f.StoreLimits().piece_bytes))
    beside = name + f.TEMPORARY_SUFFIX
    aside = [RenameFile(each, each + ASIDE_SUFFIX) for each in plan.aside]
    return DiskJob(
        (
            AppendBytes(beside, data),
            SyncFile(beside),
            RenameFile(beside, name),
            SyncFolder(),
            *aside,
            SyncFolder(),
        )
    )
