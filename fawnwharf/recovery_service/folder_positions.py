"""Positions of the members' store folders, as reported by them.

A member that restarts is reminded of its latest position, as its folder may have been replaced by an older
copy. This module does no I/O.
"""

from collections.abc import Collection
from dataclasses import dataclass

from fawnwharf.durable_store.folder_reader import FolderPosition
from fawnwharf.recovery_service.messages import BootReport

MAX_REMINDERS = 3  # sent to one incarnation for one disk
MAX_DISKS = 2  # remembered for one member


@dataclass(slots=True)
class _DiskPositions:
    """The last position of one folder in its member's incarnation, and the latest of earlier incarnations."""

    incarnation: int
    last: FolderPosition
    earlier: FolderPosition | None = None
    reminders: int = 0


class FolderPositions:
    """The reported positions, by member and disk."""

    def __init__(self) -> None:
        self._positions: dict[str, dict[str, _DiskPositions]] = {}

    def retain(self, members: Collection[str]) -> None:
        """Forget all other members."""
        self._positions = {name: disks for name, disks in self._positions.items() if name in members}

    def receive(self, sender: str, report: BootReport) -> FolderPosition | None:
        """Record a position; return the latest of earlier incarnations if the sender is to be reminded."""
        position = report.position
        disks = self._positions.setdefault(sender, {})
        if not position.disk_id or not position.incarnation:
            return None  # the member has no store, or its store is still rewriting its entries
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
        """Record that the sender was reminded."""
        self._positions[sender][report.position.disk_id].reminders += 1


def _position_order(position: FolderPosition) -> tuple[int, int]:
    return position.incarnation, position.number
