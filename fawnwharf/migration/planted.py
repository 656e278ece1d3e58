"""Mutants: cores with one bug on purpose each, which the model checker and the simulations have to find."""

from fawnwharf.migration import messages as m
from fawnwharf.migration.homes import Keeper
from fawnwharf.migration.mover import Hand, Mover
from fawnwharf.migration.router import Router
from fawnwharf.migration.world import Kinds
from fawnwharf.session_types import Placement


class _Early(Mover):
    """Releases before all has settled."""

    def _pending(self, now_ms: float, hand: Hand) -> set[str]:
        return set()


class _Twice(Keeper):
    """Grants a number to whoever asks, also by a turn that is over."""

    def _may(self, mine: m.Record, switch: m.Switch, number: int) -> bool:
        return number == mine.number + 1


class _Forgets(Keeper):
    """Grants at once when it has started anew."""

    def sure(self, now_ms: float) -> bool:
        """Claims to know everything after a restart."""
        return True


class _AnyList(Keeper):
    """Grants to whoever goes by an earlier list of members."""

    def _goes_by(self, message: m.Message) -> bool:
        return True


class _FirstVouch(Keeper):
    """Takes the word of the first keeper by the list before for that of all."""

    def _is_vouched(self) -> bool:
        return bool(self._vouched)


class _Old(Router):
    """Says that it goes by a larger number, and begins calls by the old one."""

    def meet(self, now_ms: float, home: Placement, source: str = "") -> list[m.Out]:
        """Ignores placements that it meets."""
        return []

    def told(self, now_ms: float, sender: str, told: m.Told) -> list[m.Out]:
        """Acknowledges a number without going by it."""
        return [m.Say((sender,), m.Left(told.home.session, told.home.number, 0, 0))]


class _Alone(Mover):
    """Takes one keeper's word for a decision."""

    def _enough(self, keepers: tuple[str, ...]) -> int:
        return 1


PLANTED = {
    "releases before settled": Kinds(mover=_Early),
    "two numbers at once": Kinds(keeper=_Twice),
    "grants after forgetting": Kinds(keeper=_Forgets),
    "grants by any list": Kinds(keeper=_AnyList),
    "hears one keeper of the list before": Kinds(keeper=_FirstVouch),
    "acts by an older number": Kinds(router=_Old),
    "switches by one keeper": Kinds(mover=_Alone),
}
