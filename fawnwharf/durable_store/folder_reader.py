"""What a found folder means. Pure: the files' bytes in, what is kept or one cause out.

A power cut leaves a torn tail in the last log and files that were not finished, and never anything else. What
else is found is damage, or not this member's, and is refused by name.
"""

from collections.abc import Iterable, Mapping

import msgspec
from msgspec import Struct

from fawnwharf.consensus.records import leading_records, records_after
from fawnwharf.durable_store import file_format as f

FileContent = tuple[bytes, int]  # of a file, and its inode


class UnreadableFolderError(Exception):
    """What can't be read over: the file's name, empty for the folder, and why."""

    def __init__(self, name: str, why: str) -> None:
        super().__init__(f"{name}: {why}" if name else why)
        self.name, self.why = name, why


class FolderPosition(Struct, frozen=True):
    """How far a folder had come: what members may tell each other, so that an older copy is known."""

    mark: str
    life: int
    number: int  # synced


class FolderState(Struct):
    """What a folder holds. `fresh`: nothing, as nothing was ever told from it."""

    fresh: bool = True
    fleet: str = ""
    name: str = ""
    entries: f.Entries = {}
    sign: FolderPosition = FolderPosition("", 0, 0)
    boot: str = ""  # in which it was last written
    at_ms: float = 0.0  # when, by its writer's wall clock
    ended: bool = False  # its last writer ended in order
    repaired: str = ""  # why it was repaired, where nobody has confirmed it since
    seq: int = 0  # the largest that any file has
    names: list[str] = []  # all files of the store
    read: list[str] = []  # those that this came from
    torn: int = 0  # bytes of a torn tail, which do not count


def files_in_use(names: Iterable[str]) -> list[str]:
    """Which files a folder's state is read from: the last snapshot, and the logs since it."""
    known = [(part, name) for name in names if (part := f.parse_file_name(name)) is not None and part[2]]
    snaps = [part[1] for part, _ in known if part[0] == f.SNAPSHOT]
    last = max(snaps, default=0)
    logs = sorted(part[1] for part, _ in known if part[0] == f.LOG and part[1] >= last)
    return [f.snapshot_name(last)] * bool(snaps) + [f.log_name(seq) for seq in logs]


def read_folder(
    files: Mapping[str, FileContent],
    names: Iterable[str],
    fleet: str = "",
    name: str = "",
    copies: bool = False,
) -> FolderState:
    """`files`: those that `used` names. An empty fleet and name take any, `copies` takes copies of files,
    too. Raises Unreadable."""
    mine = [each for each in names if f.parse_file_name(each) is not None]
    order = files_in_use(mine)
    found = FolderState(
        names=mine, read=order, seq=max((f.parse_file_name(each)[1] for each in mine), default=0)
    )
    if not order:
        return found
    if f.parse_file_name(order[0])[0] != f.SNAPSHOT:
        raise UnreadableFolderError(order[0], "the snapshot before it is missing")
    found.fresh = False
    for place, each in enumerate(order):
        data, inode = files[each]
        records, end = leading_records(data)
        head = _head(each, records, fleet, name)
        if head.inode != inode and not copies:
            raise UnreadableFolderError(each, "a copy of another file, and may be an older one")
        if place and head.mark != found.sign.mark:
            raise UnreadableFolderError(each, f"of the disk {head.mark}, beside files of {found.sign.mark}")
        found.fleet, found.name = head.fleet, head.name
        found.boot, found.at_ms, found.repaired = head.boot, head.at_ms, head.repaired
        if not place:
            found.entries = _snapshot(each, records, end == len(data))
            found.sign = FolderPosition(head.mark, head.life, head.number)
            continue
        if head.number != found.sign.number + 1:
            why = f"begins with group {head.number}, and {found.sign.number} is the last before it"
            raise UnreadableFolderError(each, f"{why}: files are missing or damaged")
        number = _groups(each, records, found)
        found.torn = len(data) - end
        _not_damaged(each, data, end, number)
        found.sign = FolderPosition(head.mark, head.life, number)
    return found


def _head(each: str, records: list[tuple[int, bytes]], fleet: str, name: str) -> f.FileHeader:
    if not records:
        raise UnreadableFolderError(each, "damaged at byte 0")
    try:
        version = msgspec.json.decode(records[0][1], type=_Version).version
        if version != f.VERSION:
            raise UnreadableFolderError(each, f"version {version}, and this program knows {f.VERSION}")
        head = msgspec.json.decode(records[0][1], type=f.FileHeader)
    except msgspec.DecodeError as error:
        raise UnreadableFolderError(each, f"no head of durable state: {error}") from None
    if fleet and head.fleet != fleet:
        raise UnreadableFolderError(each, f"of fleet {head.fleet}, not of {fleet}")
    if name and head.name != name:
        raise UnreadableFolderError(each, f"the disk of member {head.name}, not of {name}")
    if head.what != f.parse_file_name(each)[0]:
        raise UnreadableFolderError(each, f"holds a {head.what}")
    return head


class _Version(Struct):
    version: int


def _snapshot(each: str, records: list[tuple[int, bytes]], whole: bool) -> f.Entries:
    entries: f.Entries = {}
    try:
        foot = msgspec.json.decode(records[-1][1], type=f.SnapshotFooter)
        for _, content in records[1:-1]:
            piece = msgspec.json.decode(content, type=f.SnapshotChunk)
            entries.update(((kind, key), bytes(value)) for kind, key, value in piece.entries)
    except msgspec.DecodeError:
        raise UnreadableFolderError(each, "damaged: a snapshot that is not whole") from None
    numbers = [number for number, _ in records]
    if not whole or foot.count != len(entries) or numbers != list(range(len(numbers))):
        raise UnreadableFolderError(each, "damaged: a snapshot that is not whole")
    return entries


def _groups(each: str, records: list[tuple[int, bytes]], found: FolderState) -> int:
    """The number of the last whole group."""
    last = found.sign.number
    for number, content in records[1:]:
        if number != last + 1:
            raise UnreadableFolderError(each, f"damaged: group {number} after {last}")
        try:
            group = msgspec.json.decode(content, type=f.CommitGroup)
        except msgspec.DecodeError as error:
            raise UnreadableFolderError(each, f"group {number}: {error}") from None
        for kind, key, value in group.changes:
            if (data := bytes(value)) == f.DELETED:
                found.entries.pop((kind, key), None)
            else:
                found.entries[kind, key] = data
        last, found.at_ms, found.ended = number, group.at_ms, group.ended
    return last


def _not_damaged(each: str, data: bytes, end: int, number: int) -> None:
    for _, content in records_after(data, end):
        try:
            synced = msgspec.json.decode(content, type=f.CommitGroup).synced
        except msgspec.DecodeError:
            synced = 0
        if synced > number:
            why = f"damaged at byte {end}: group {number + 1} was on disk before a later one was written"
            raise UnreadableFolderError(each, why)


def rollback_reason(found: FolderState, heard: Iterable[FolderPosition]) -> str:
    """Why the folder is an older copy by what others had heard of it; empty where they know nothing later."""
    mine = found.sign
    later = [sign for sign in heard if sign.mark == mine.mark]
    last = max(later, key=lambda sign: (sign.life, sign.number), default=mine)
    if (last.life, last.number) <= (mine.life, mine.number):
        return ""
    return (
        f"rolled back: stands at life {mine.life}, number {mine.number}, "
        f"and others have heard of life {last.life}, number {last.number}"
    )
