"""States of the model checker, the bounds of a search, and its result."""

from dataclasses import dataclass, replace

from fawnwharf.migration import messages as m
from fawnwharf.migration.homes import Keeper
from fawnwharf.migration.mover import Mover
from fawnwharf.migration.router import Router


@dataclass(frozen=True, slots=True)
class Bounds:
    """What may happen on one path; the depth counts steps. `wishes`: front end, destination, in haste."""

    depth: int = 14
    states: int = 30_000
    wishes: tuple[tuple[str, str, bool], ...] = (("a", "y", False), ("b", "y", False))
    patience: int = 1
    keeper_kills: int = 0
    front_kills: int = 0
    calls: int = 1
    repeats: int = 0
    at_once: bool = False  # answers come with what they answer, or are lost
    flying: int = 8  # messages at once; older ones are lost beyond that


@dataclass(frozen=True, slots=True)
class Kinds:
    """The classes that are tried: the real ones, or a mutant."""

    keeper: type[Keeper] = Keeper
    mover: type[Mover] = Mover
    router: type[Router] = Router


@dataclass(frozen=True, slots=True)
class World:
    """One state: each part's own, messages on their way, and what the reference model knows of it all."""

    keepers: tuple[tuple, ...]
    fronts: tuple[tuple | None, ...]
    flying: frozenset[tuple[str, str, m.Message]] = frozenset()
    decided: tuple[tuple[int, str], ...] = ()  # sites by number, "two" where it was decided twice
    standing: frozenset[str] = frozenset()  # sites where its copies stand
    broken: str = ""
    wished: int = 0
    used: tuple[int, ...] = (0, 0, 0, 0, 0)  # patience, keepers' kills, front ends' kills, calls, repeats


def use(world: World, place: int) -> World:
    """The state with one more of the events that are counted at `place` of `used`."""
    used = list(world.used)
    used[place] += 1
    return replace(world, used=tuple(used))
