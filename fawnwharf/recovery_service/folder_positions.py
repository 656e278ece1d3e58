"""Positions of members' store folders, as each reported them: whoever starts again learns of its latest one.

Its folder may be an older copy by then. Pure.
"""

from collections.abc import Collection
from dataclasses import dataclass

from fawnwharf.durable_store.folder_reader import FolderPosition
from fawnwharf.recovery_service.messages import BootReport

MAX_REMINDERS = 3  # of one incarnation
MAX_DISKS = 2  # of one member


@dataclass(slots=True)
class _DiskPositions:
    """One folder's last position in this incarnation of its member, and the latest before that."""

    incarnation: int
    last: FolderPosition
    earlier: FolderPosition | None = None
    reminders: int = 0


class FolderPositions:
    """Owns the positions that were reported, by member and disk."""

    def __init__(self) -> None:
        self._positions: dict[str, dict[str, _DiskPositions]] = {}

    def retain(self, members: Collection[str]) -> None:
        """Forget all other members."""
        self._positions = {name: disks for name, disks in self._positions.items() if name in members}

    def receive(self, sender: str, report: BootReport) -> FolderPosition | None:
        """Take a position; return an earlier incarnation's latest one where the sender is to be reminded."""
        position = report.position
        disks = self._positions.setdefault(sender, {})
        if (
            not position.disk_id or not position.incarnation
        ):  # there is no store, or it is still rewriting its entries
            return None
        known = disks.get(position.disk_id)
        if known is None:
            while len(disks) >= MAX_DISKS:
                del disks[next(iter(disks))]
            disks[position.disk_id] = _DiskPositions(report.incarnation, position)
            return None
        if report.incarnation != known.incarnation:
            known.earlier = max(known.last, known.earlier or known.last, key=_position_order)
            known.incarnation = report.incarnation
            known.reminders = 0
        known.last = position
        if known.earlier is None or known.reminders >= MAX_REMINDERS:
            return None
        return known.earlier

    def reminded(self, sender: str, report: BootReport) -> None:
        """Note that the sender was reminded."""
        self._positions[sender][report.position.disk_id].reminders += 1


def _position_order(position: FolderPosition) -> tuple[int, int]:
    return position.incarnation, position.number
