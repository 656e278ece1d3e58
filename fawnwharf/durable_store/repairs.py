"""Plans the repair of a folder that can't be read. Does no I/O.

A repair deletes nothing. It writes the intact state to a new snapshot and renames the old files. The possible
losses are reported first. The new snapshot records why the folder was repaired.
"""

from collections.abc import Mapping

from msgspec import Struct

from fawnwharf.consensus.records import encode_record, leading_records
from fawnwharf.durable_store import file_format
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
    """The actions and losses of a possible repair."""

    why: str  # cause for which the folder can't be read
    state: FolderState  # the state that is kept
    losses: list[str]  # descriptions of what may be lost, one line each
    files_set_aside: list[str]

    @property
    def snapshot_name(self) -> str:
        """Name of the snapshot that the repair writes."""
        return file_format.snapshot_name(self.state.last_sequence + 1)


def plan_repair(files: Mapping[str, FileContent]) -> RepairPlan | None:
    """Plan the repair of a folder from all of its store files; return None if the folder is readable.

    Raises UnreadableFolderError if nothing can be recovered.
    """
    names = sorted(files)
    try:
        read_folder(files, names)
    except UnreadableFolderError as error:
        why = str(error)
    else:
        return None
    state = _last_readable_state(files, names)
    if state is None:
        raise UnreadableFolderError("", f"nothing can be recovered: {why}")
    state.last_sequence = max(file.sequence for file in file_format.store_files(names).values())
    return RepairPlan(why, state, _losses(files, files_in_use(names), state), names)


def _last_readable_state(files: Mapping[str, FileContent], names: list[str]) -> FolderState | None:
    """The state from the latest readable snapshot and as many of its logs as can be read."""
    remaining = list(names)
    while order := files_in_use(remaining):
        for count in range(len(order), 0, -1):
            if (state := _read_leading(files, order[:count])) is not None:
                return state
        remaining.remove(order[0])
    return None


def _read_leading(files: Mapping[str, FileContent], order: list[str]) -> FolderState | None:
    """The state from these files, the last one up to its first damaged record; None if it can't be read."""
    data, inode = files[order[-1]]
    leading = data[: leading_records(data)[1]]
    for content in (data, leading):
        try:
            return read_folder({**files, order[-1]: (content, inode)}, order, accept_copies=True)
        except UnreadableFolderError:
            continue
    return None


def _losses(files: Mapping[str, FileContent], order: list[str], state: FolderState) -> list[str]:
    number = state.position.number
    last = state.files_read[-1]
    data = files[last][0]
    intact_bytes = leading_records(data)[1]
    lines = [
        f"{name}: all of its {len(files[name][0])} bytes" for name in order if name not in state.files_read
    ]
    if intact_bytes < len(data):
        lines.append(f"{last}: from byte {intact_bytes} of {len(data)} on, groups after {number}")
    return lines or [f"no visible loss; groups after {number}, if the folder is an older copy"]


def first_repair_job(plan: RepairPlan) -> DiskJob:
    """The first job of a repair; its result contains the inode number for the second job."""
    return DiskJob((CreateFile(plan.snapshot_name + file_format.TEMPORARY_SUFFIX),))


def second_repair_job(plan: RepairPlan, inode: int, at_ms: float) -> DiskJob:
    """The second job of a repair; it renames the old files only after the new snapshot is in place.

    The snapshot belongs to a new incarnation. Otherwise the positions that other members know of the last
    incarnation would mark the repaired folder as an older copy. `at_ms` is the Unix time in milliseconds.
    """
    state = plan.state
    header = file_format.FileHeader(
        version=file_format.VERSION,
        fleet=state.fleet,
        name=state.name,
        disk_id=state.position.disk_id,
        incarnation=state.position.incarnation + 1,
        boot=state.boot,
        at_ms=at_ms,
        file_kind=file_format.SNAPSHOT,
        number=state.position.number,
        inode=inode,
        repaired=plan.why,
    )
    chunks = file_format.encode_snapshot(state.entries, file_format.StoreLimits().piece_bytes)
    data = encode_record(0, header) + b"".join(chunks)
    temporary = plan.snapshot_name + file_format.TEMPORARY_SUFFIX
    set_aside = [RenameFile(name, name + ASIDE_SUFFIX) for name in plan.files_set_aside]
    return DiskJob(
        (
            AppendBytes(temporary, data),
            SyncFile(temporary),
            RenameFile(temporary, plan.snapshot_name),
            SyncFolder(),
            *set_aside,
            SyncFolder(),
        )
    )
