"""Breadth-first search of a model checker's states: what is found broken comes with a shortest path."""

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field
from typing import TypeVar

State = TypeVar("State", bound=Hashable)
Parents = dict[State, tuple[State, str]]


@dataclass(slots=True)
class Found:
    """The result of a search."""

    states: int = 0
    depth: int = 0
    complete: bool = True  # all states within the bounds were seen
    broken: str = ""
    path: list[str] = field(default_factory=list)


def search(
    start: State,
    steps: Callable[[State], Iterable[tuple[str, State]]],
    fault: Callable[[State], str],
    depth_most: int,
    states_most: int,
) -> Found:
    """Search from `start` along `steps`, up to the bounds or to the first state with a fault.

    `steps` gives what may happen next, by a label each, and the states after it; `fault` tells what
    is broken in a state, empty where nothing is.
    """
    found = Found()
    seen = {start}
    parents: Parents = {}
    edge = deque([(start, 0)])
    while edge:
        state, depth = edge.popleft()
        found.depth = max(found.depth, depth)
        if depth >= depth_most:
            found.complete = False
            continue
        for label, after in steps(state):
            if after in seen:
                continue
            if len(seen) >= states_most:
                found.complete, found.states = False, len(seen)
                return found
            seen.add(after)
            parents[after] = state, label
            if broken := fault(after):
                found.broken, found.states, found.complete = broken, len(seen), False
                found.path = path_to(parents, after)
                return found
            edge.append((after, depth + 1))
    found.states = len(seen)
    return found


def path_to(parents: Parents, state: State) -> list[str]:
    """The labels of the steps that lead to a state."""
    path = []
    while state in parents:
        state, label = parents[state]
        path.append(label)
    return path[::-1]
