"""What the model checker searches among: states, the bounds of a search, and what it has come to."""

from dataclasses import dataclass, field, replace

from fawnwharf.handover import messages as m
from fawnwharf.handover.homes import Keeper
from fawnwharf.handover.mover import Mover
from fawnwharf.handover.router import Router


@dataclass(frozen=True, slots=True)
class Bounds:
    """What may happen on one path; the depth counts steps. `wishes`: front end, whither, in haste."""

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
    """The cores that are tried: the real ones, or one with a planted bug."""

    keeper: type[Keeper] = Keeper
    mover: type[Mover] = Mover
    router: type[Router] = Router


@dataclass(frozen=True, slots=True)
class World:
    """One state: what each is, what is on its way, and what a ghost knows of it all."""

    keepers: tuple[tuple, ...]
    fronts: tuple[tuple | None, ...]
    flying: frozenset[tuple[str, str, m.Message]] = frozenset()
    decided: tuple[tuple[int, str], ...] = ()  # sites by number, "two" where it was decided twice
    standing: frozenset[str] = frozenset()  # sites where its copies stand
    broken: str = ""
    wished: int = 0
    used: tuple[int, ...] = (0, 0, 0, 0, 0)  # patience, keepers' kills, front ends' kills, calls, repeats


@dataclass(slots=True)
class Found:
    """What a search has come to."""

    states: int = 0
    depth: int = 0
    complete: bool = True  # all states within the bounds were seen
    broken: str = ""
    path: list[str] = field(default_factory=list)


def use(world: World, place: int) -> World:
    used = list(world.used)
    used[place] += 1
    return replace(world, used=tuple(used))


def path_to(parents: dict[World, tuple[World, str]], world: World) -> list[str]:
    path = []
    while world in parents:
        world, label = parents[world]
        path.append(label)
    return path[::-1]
