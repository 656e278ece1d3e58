"""The state of one migration at its coordinator. Values alone; times are milliseconds of its clock."""

from dataclasses import dataclass, field

from fawnwharf.migration import messages as m
from fawnwharf.migration.homes import EMPTY
from fawnwharf.session_types import Placement, Session

UNSTAGED = "not staged in time"
ASKING, STAGING, SWITCHING, SETTLING = "asking", "staging", "switching", "settling"


@dataclass(slots=True)
class Hand:
    """One migration that this coordinator drives."""

    session: Session
    source: str
    destination: str  # empty: one that is taken over
    known: Placement
    turn: m.Turn
    copies: int = 1
    haste: bool = False  # its old site is dead
    step: str = ASKING
    base: m.Record = EMPTY  # what keepers held when this turn began
    step_ms: float = 0.0  # when the step began
    round_ms: float = 0.0  # when keepers were asked, or others told
    words: dict[str, bool] = field(default_factory=dict)  # keepers' to this round
    records: dict[str, m.Record] = field(default_factory=dict)
    higher: int = 0  # count of the largest turn met
    tries: int = 0
    open: bool = False  # a switch by this turn, or an earlier one, may have been granted
    adopted: bool = False  # it completes another mover's switch
    receiver: str = ""
    stands: bool = False
    has: bool = False
    context: m.Context | None = None
    home: Placement | None = None  # decided
    left: frozenset[str] = frozenset()  # front ends that have left the old site
    others: frozenset[str] = frozenset()  # of those, who use it for other sessions
