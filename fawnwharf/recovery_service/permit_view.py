"""The view by which permits are issued: who issues them, and by which assignment."""

from typing import NamedTuple


class AssignmentNumber(NamedTuple):
    """One assignment of permits by the register."""

    power_loss: int  # its number in the register
    number: int  # of the assignment since then


class PermitView(NamedTuple):
    """Who issues permits, as one front end sees it."""

    issuers: tuple[str, ...]  # sorted
    share: float  # of the fleet's budgets
    power_loss: int
    assignment: AssignmentNumber | None = None  # None: by who is reachable
    lag_ms: float = 0.0  # others may go by the assignment before for so long, once there is a later one
    is_first: bool = False  # nobody issued anything since this power loss


def permits_carry_over(before: AssignmentNumber | None, after: AssignmentNumber | None) -> bool:
    """Whether what was one's own by the assignment before is so still: none was missed between."""
    if before is None or after is None:
        return before == after
    return before.power_loss == after.power_loss and after.number - before.number in (0, 1)
