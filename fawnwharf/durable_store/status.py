"""The results of commit tickets, and the status of a store."""

from typing import NamedTuple

from msgspec import Struct


class TicketResult(NamedTuple):
    """The result of a commit ticket.

    If `on_disk` is false, the outcome is unknown: the change may or may not be found after a restart.
    """

    ticket: int
    on_disk: bool
    why: str = ""


class StoreStatus(Struct, frozen=True):
    """The status of a store."""

    failing: str = ""  # why changes are not durable now; empty while the disk works
    slow_ms: float = 0.0  # duration of the job in progress, if it is slow; else 0
    behind_ms: float = 0.0  # age of the oldest unsynced change, `BEST_EFFORT` excluded
    entries: int = 0
    state_bytes: int = 0  # size of all entries, as the limits count it
    number: int = 0  # of the last commit group
    synced: int = 0  # of the last commit group that is on disk
    counts: dict[str, int] = {}
