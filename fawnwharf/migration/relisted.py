"""Randomized simulation in which the list of members changes: replicas move, and each front end follows late.

`python -m fawnwharf.migration.relisted --steps 1000000`.
"""

import argparse
import time
from collections import Counter

from msgspec.structs import replace

from fawnwharf.migration import messages as m
from fawnwharf.migration.walk import RULES, STORM, Outcome, Walk, Weather, _Node
from fawnwharf.migration.world import Kinds

ADOPT_MS = 1_500.0  # at the most, from a new list until a front end goes by it


class Relisted(Walk):
    """Lists of replicas are numbered from 1.

    A front end that is down goes by the last one when it comes back, and has known none before.
    """

    def __init__(
        self, seed: int, weather: Weather, kinds: Kinds | None = None, lists: float = 0.15, **more: int
    ) -> None:
        """`lists`: the chance of another one in a second of true time."""
        self.lists: list[tuple[str, ...]] = [("x0", "y0", "z0")]
        self.goes_by: dict[str, int] = {}
        self.lists_ps = lists
        super().__init__(seed, weather, kinds, **more)
        self._soon(1_000.0, self._relist)

    def _start(self, node: _Node, fresh: bool = False) -> None:
        number = self.goes_by[node.name] = len(self.lists)
        self.keepers = self.lists[-1]
        super()._start(node, fresh)

        def kept(_: str) -> tuple[str, ...]:
            return self.lists[self.goes_by[node.name] - 1]

        node.mover.keepers_of = node.router.keepers_of = kept
        node.mover.list = number
        if node.keeper is not None:
            node.keeper.list = number

    def _carry_out(self, node: _Node, out: list[m.Out]) -> None:
        listed = []
        for effect in out:
            if isinstance(effect, m.Say) and isinstance(effect.message, m.MayLetGo):
                effect = m.Say(effect.to, replace(effect.message, list=self.goes_by[node.name]))
            listed.append(effect)
        super()._carry_out(node, listed)

    def _relist(self) -> None:
        """One keeper at least is another one from now on, and three at the most."""
        self._soon(1_000.0, self._relist)
        if self.chance.random() >= self.lists_ps:
            return
        last = self.lists[-1]
        names = tuple(f"{site}{self.chance.randrange(2)}" for site in self.sites)
        if names == last:
            return
        self.outcome.counts["lists"] += 1
        self.lists.append(names)
        for node in self.nodes.values():
            self._soon(self.chance.uniform(0.0, ADOPT_MS), self._adopt, node, len(self.lists))

    def _adopt(self, node: _Node, number: int) -> None:
        before = self.goes_by[node.name]
        if not node.up or before >= number:
            return
        if node.halted_until > self.now:
            self._soon(node.halted_until - self.now, self._adopt, node, number)
            return
        now, names, old = self._clock(node), self.lists[number - 1], self.lists[before - 1]
        self.goes_by[node.name] = number
        if node.keeper is None and node.name in names:
            node.keeper = self.kinds.keeper(node.name, names, RULES, now, node.life, False)
        if node.keeper is not None:
            zones = {name: self.members[name] for name in old}
            node.keeper.placed_anew(now, names, number, (before, zones, 1))
        self._carry_out(node, node.mover.placed_anew(now, number))

    def _beat(self, node: _Node) -> None:
        super()._beat(node)
        if node.up and node.keeper is not None and node.name in self.lists[self.goes_by[node.name] - 1]:
            sure = node.keeper.sure(self._clock(node))
            self.outcome.counts["looks, sure" if sure else "looks, not sure"] += 1


def main() -> None:
    """Run the simulations and print what they came to."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", type=int, default=20_000, help="of each walk")
    parser.add_argument("--walks", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1, help="of the first one")
    parser.add_argument("--storm", action="store_true")
    asked = parser.parse_args()
    began, total = time.monotonic(), Counter()
    for seed in range(asked.seed, asked.seed + asked.walks):
        outcome: Outcome = Relisted(seed, STORM if asked.storm else Weather()).run(asked.steps)
        total += outcome.counts + Counter(steps=outcome.steps, true_s=int(outcome.true_ms / 1000))
        if outcome.broken:
            raise SystemExit(f"seed {seed}, step {outcome.steps}: {outcome.broken}")
    print(f"{dict(sorted(total.items()))}, nothing broken, {time.monotonic() - began:.0f} s")


if __name__ == "__main__":
    main()
