"""Decodes the state of a folder from the content of its files. Does no I/O.

A power loss can leave an incomplete last write (a torn tail) in the last log, and temporary files. Any other
irregularity means that a file is damaged or belongs to another member. Such a folder is rejected, with the
name of the file and the cause.
"""

from collections.abc import Iterable, Mapping

import msgspec
from msgspec import Struct

from fawnwharf.consensus.records import Record, leading_records, search_records
from fawnwharf.durable_store import file_format

FileContent = tuple[bytes, int]  # content and inode number of a file


class UnreadableFolderError(Exception):
    """A folder can't be read. `name` is the file (empty: the folder itself), and `why` is the cause."""

    def __init__(self, name: str, why: str) -> None:
        super().__init__(f"{name}: {why}" if name else why)
        self.name = name
        self.why = why


class FolderPosition(Struct, frozen=True):
    """The latest position of a folder. Members exchange positions to detect an older copy of a folder."""

    disk_id: str = msgspec.field(name="mark")
    incarnation: int = msgspec.field(name="life")
    number: int  # of the last synced commit group


class FolderState(Struct):
    """The content of a folder. `fresh` means that nothing was ever committed in it."""

    fresh: bool = True
    fleet: str = ""
    name: str = ""
    entries: file_format.Entries = {}
    position: FolderPosition = FolderPosition("", 0, 0)
    boot: str = ""  # boot ID of the machine at the last write
    at_ms: float = 0.0  # Unix time of the last write, in milliseconds, by the writer's clock
    closed_cleanly: bool = False  # whether the last incarnation shut down gracefully
    repaired: str = ""  # why it was repaired; empty after other members confirmed it
    last_sequence: int = 0  # the largest sequence number of any file
    file_names: list[str] = []  # all files of the store
    files_read: list[str] = []  # the files that this state was read from
    torn_bytes: int = 0  # size of the torn tail, which is ignored


class _VersionOnly(Struct):
    version: int


def files_in_use(names: Iterable[str]) -> list[str]:
    """Select the files that define a folder's state: the last snapshot and the logs that follow it."""
    complete = [file for file in file_format.store_files(names).values() if file.is_complete]
    snapshots = [file.sequence for file in complete if file.file_kind == file_format.SNAPSHOT]
    logs = [file.sequence for file in complete if file.file_kind == file_format.LOG]
    last_snapshot = max(snapshots, default=0)
    found = [file_format.snapshot_name(last_snapshot)] if snapshots else []
    return found + [file_format.log_name(sequence) for sequence in sorted(logs) if sequence >= last_snapshot]


def read_folder(
    files: Mapping[str, FileContent],
    names: Iterable[str],
    fleet: str = "",
    name: str = "",
    *,
    accept_copies: bool = False,
) -> FolderState:
    """Decode a folder's state.

    `files` contains at least the files that `files_in_use` selects from `names`. An empty `fleet` or `name`
    accepts any. With `accept_copies`, files with another inode number than they record are accepted. Raises
    UnreadableFolderError.
    """
    own_files = file_format.store_files(names)
    order = files_in_use(own_files)
    last_sequence = max((file.sequence for file in own_files.values()), default=0)
    state = FolderState(file_names=list(own_files), files_read=order, last_sequence=last_sequence)
    if not order:
        return state
    if own_files[order[0]].file_kind != file_format.SNAPSHOT:
        raise UnreadableFolderError(order[0], "the snapshot before it is missing")
    state.fresh = False
    for file_name in order:
        data, inode = files[file_name]
        records, end = leading_records(data)
        header = _read_header(file_name, records, fleet, name)
        if header.inode != inode and not accept_copies:
            raise UnreadableFolderError(file_name, "a copy of another file, and may be an older one")
        state.at_ms = header.at_ms
        if file_name == order[0]:
            state.entries = _read_snapshot(file_name, records, is_intact=end == len(data))
            number = header.number
        else:
            number = _read_log(file_name, header, data, state)
        _copy_header_fields(state, header)
        state.position = FolderPosition(header.disk_id, header.incarnation, number)
    return state


def _copy_header_fields(state: FolderState, header: file_format.FileHeader) -> None:
    state.fleet = header.fleet
    state.name = header.name
    state.boot = header.boot
    state.repaired = header.repaired


def _read_header(file_name: str, records: list[Record], fleet: str, name: str) -> file_format.FileHeader:
    if not records:
        raise UnreadableFolderError(file_name, "damaged at byte 0")
    content = records[0][1]
    try:
        version = msgspec.json.decode(content, type=_VersionOnly).version
        known = version == file_format.VERSION
        header = msgspec.json.decode(content, type=file_format.FileHeader) if known else None
    except msgspec.DecodeError as error:
        raise UnreadableFolderError(file_name, f"no head of durable state: {error}") from None
    if header is None:
        raise UnreadableFolderError(
            file_name, f"version {version}, and this program knows {file_format.VERSION}"
        )
    if fleet and header.fleet != fleet:
        raise UnreadableFolderError(file_name, f"of fleet {header.fleet}, not of {fleet}")
    if name and header.name != name:
        raise UnreadableFolderError(file_name, f"the disk of member {header.name}, not of {name}")
    if header.file_kind != file_format.store_files([file_name])[file_name].file_kind:
        raise UnreadableFolderError(file_name, f"holds a {header.file_kind}")
    return header


def _read_snapshot(file_name: str, records: list[Record], *, is_intact: bool) -> file_format.Entries:
    entries: file_format.Entries = {}
    try:
        footer = msgspec.json.decode(records[-1][1], type=file_format.SnapshotFooter)
        for _, content in records[1:-1]:
            chunk = msgspec.json.decode(content, type=file_format.SnapshotChunk)
            entries.update(((kind, key), bytes(value)) for kind, key, value in chunk.entries)
    except msgspec.DecodeError:
        raise UnreadableFolderError(file_name, "damaged: the snapshot is incomplete") from None
    numbers = [number for number, _ in records]
    if not is_intact or footer.count != len(entries) or numbers != list(range(len(numbers))):
        raise UnreadableFolderError(file_name, "damaged: the snapshot is incomplete")
    return entries


def _read_log(file_name: str, header: file_format.FileHeader, data: bytes, state: FolderState) -> int:
    """Apply a log's groups to the state; return the number of the last complete group."""
    position = state.position
    if header.disk_id != position.disk_id:
        cause = f"of the disk {header.disk_id}, beside files of {position.disk_id}"
        raise UnreadableFolderError(file_name, cause)
    if header.number != position.number + 1:
        cause = f"begins with group {header.number}, and {position.number} is the last before it"
        raise UnreadableFolderError(file_name, f"{cause}: files are missing or damaged")
    records, end = leading_records(data)
    number = _apply_groups(file_name, records, state)
    state.torn_bytes = len(data) - end
    _check_tail(file_name, data, end, number)
    return number


def _apply_groups(file_name: str, records: list[Record], state: FolderState) -> int:
    last = state.position.number
    for number, content in records[1:]:
        if number != last + 1:
            raise UnreadableFolderError(file_name, f"damaged: group {number} after {last}")
        try:
            group = msgspec.json.decode(content, type=file_format.CommitGroup)
        except msgspec.DecodeError as error:
            raise UnreadableFolderError(file_name, f"group {number}: {error}") from None
        for kind, key, value in group.changes:
            if (data := bytes(value)) == file_format.DELETED:
                state.entries.pop((kind, key), None)
            else:
                state.entries[kind, key] = data
        last = number
        state.at_ms = group.at_ms
        state.closed_cleanly = group.closed_cleanly
    return last


def _check_tail(file_name: str, data: bytes, end: int, number: int) -> None:
    """Raise UnreadableFolderError if the tail from byte `end` on is damaged rather than torn.

    It is damaged if a record in it shows that a group after `number` was already synced.
    """
    for _, content in search_records(data, end):
        try:
            synced = msgspec.json.decode(content, type=file_format.CommitGroup).synced
        except msgspec.DecodeError:
            synced = 0
        if synced > number:
            cause = f"damaged at byte {end}: group {number + 1} was on disk before a later one was written"
            raise UnreadableFolderError(file_name, cause)


def rollback_reason(state: FolderState, reported: Iterable[FolderPosition]) -> str:
    """The evidence that the folder is an older copy, from positions other members report; empty if none."""
    own = state.position
    same_disk = [position for position in reported if position.disk_id == own.disk_id]
    last = max(same_disk, key=lambda position: (position.incarnation, position.number), default=own)
    if (last.incarnation, last.number) <= (own.incarnation, own.number):
        return ""
    return (
        f"rolled back: stands at life {own.incarnation}, number {own.number}, "
        f"and others have heard of life {last.incarnation}, number {last.number}"
    )
