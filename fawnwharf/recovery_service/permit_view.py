"""One front end's view of the permit issuers and their assignment."""

from typing import NamedTuple


class AssignmentNumber(NamedTuple):
    """Identifies one permit assignment in the register."""

    power_loss: int  # number of the power loss
    number: int  # number of the assignment since that power loss


class PermitView(NamedTuple):
    """The permit issuers, as one front end sees them."""

    issuers: tuple[str, ...]  # sorted
    share: float  # of the fleet's budgets
    power_loss: int
    assignment: AssignmentNumber | None = None  # None: the issuers are chosen by reachability
    lag_ms: float = 0.0  # how long other members may still use the previous assignment
    is_first: bool = False  # nobody has issued a permit since this power loss


def permits_carry_over(before: AssignmentNumber | None, after: AssignmentNumber | None) -> bool:
    """Whether a member keeps its permits from one assignment to the next: it missed none in between."""
    if before is None or after is None:
        return before == after
    return before.power_loss == after.power_loss and after.number - before.number in (0, 1)
