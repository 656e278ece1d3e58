"""What a store reports: the results of commit tickets, and its status."""

from typing import NamedTuple

from msgspec import Struct


class TicketResult(NamedTuple):
    """The result of a commit ticket.

    `on_disk` false: the outcome is unknown. The change may or may not be found later; nothing may rely on it.
    """

    ticket: int
    on_disk: bool
    why: str = ""


class StoreStatus(Struct, frozen=True):
    """The status of a store."""

    failing: str = ""  # why nothing is durable now; empty while the disk works
    slow_ms: float = 0.0  # age of the job in progress, if that is long
    behind_ms: float = 0.0  # for how long the oldest change, `BEST_EFFORT` aside, has waited for its sync
    entries: int = 0
    state_bytes: int = 0
    number: int = 0  # of the last commit group
    synced: int = 0  # of the last commit group that is on disk
    counts: dict[str, int] = {}
