"""Compares five prefetch strategies in virtual time: `python -m fawnwharf.prefetch.trial`.

*none* prefetches nothing, *react* orders the copies of a zone's sessions once it is out, *everything* keeps a
copy of each live session at every zone, *foresight* is this package, *oracle* knows each move. All have the
same load rate limit. Runs are paired by seed; intervals are Student's, 95 %, over seeds.
"""

import math
import statistics
import sys
from collections.abc import Sequence

from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.budgets import PlannerView
from fawnwharf.prefetch.fleet_model import FleetModel, Tally
from fawnwharf.prefetch.predictors import ZoneRules
from fawnwharf.prefetch.prefetcher import Prefetcher
from fawnwharf.prefetch.scenarios import (
    CONFIG,
    DAY_MS,
    SCENARIOS,
    SITES,
    Scenario,
    ZoneChange,
    draw_scenario,
    home,
    next_zone,
    place,
)
from fawnwharf.prefetch.settings import PrefetchSettings as Bounds
from fawnwharf.prefetch.settings import decode_site_settings
from fawnwharf.session_types import Session

STRATEGIES = ("none", "react", "everything", "foresight", "oracle")
SEEDS = tuple(range(1, 11))
SCORERS_PER_ZONE = 4  # scorers of a site
MEMORY_MB = 16_000.0
PASS_MS = 500.0
RENEW_MS = 7_000.0  # what stands idle everywhere is renewed so often
PACE_PS = 4.0  # fetches a second of each way
LEAD_MS = 500.0  # by which the oracle's loads are ready before they are needed
RUN_MS = 115.0  # mean work of a call
WAITING_PART = 0.15  # of live sessions' calls wait for loads: a surge
BOUNDS = Bounds(
    beat_ms=PASS_MS,
    day_ms=DAY_MS,
    phases=96,
    learn_ms=4 * DAY_MS,
    score_ms=DAY_MS,
    fetches_ps=8.0,
    pace_ps=8.0,
)
# Two-sided 97.5 % points of Student's t by degrees of freedom.
_T = {1: 12.706, 2: 4.303, 3: 3.182, 4: 2.776, 5: 2.571, 6: 2.447, 7: 2.365, 8: 2.306, 9: 2.262}

Figures = dict[str, float]


class Run:
    """One scenario with one strategy."""

    def __init__(self, way: str, made: Scenario) -> None:
        self.way, self.made = way, made
        self.site, self.prices = decode_site_settings(CONFIG)
        self.world = FleetModel(self.site, SITES, SCORERS_PER_ZONE, MEMORY_MB, made.facts)
        self.core = Prefetcher(
            BOUNDS,
            self.site,
            self.prices,
            "a",
            ZoneRules(lambda session, site: ((next_zone(session, site), 1.0),), place, home),
        )
        self.live: dict[Session, tuple[str, float]] = {}  # session to (site, when it called last)
        self.left = PACE_PS  # fetches that this way may begin now
        self.asked: dict[tuple[str, str], float] = {}
        self.queue: list[
            tuple[str, str]
        ] = []  # functions and sites that are to be ordered, as the ration lets
        self.lost: frozenset[str] = frozenset()
        calls = {name: 0.0 for name in self.site.classes}
        for call in made.calls:
            calls[made.facts[call.session.row].class_name] += 1
        self.core.planner.shares(calls)

    def run(self) -> tuple[Tally, Tally]:
        """Run it; the tallies of the whole run and of the measured part."""
        made, world = self.made, self.world
        firsts = self._oracle() if self.way == "oracle" else []
        plans, losses, turns = list(made.plans), list(made.losses), list(made.turns)
        look = 0.0
        for call in made.calls:
            while look <= call.at_ms:
                world.measures = made.from_ms <= look < made.until_ms
                self.lost = frozenset(site for at, site in losses if at <= look < at + 2_000.0)
                for at, site in losses:
                    if at <= look < at + PASS_MS:
                        world.lose(site)
                while plans and plans[0][0] <= look:
                    self.core.announced(look, plans.pop(0)[1])
                self._look(
                    look, [turn for turn in turns if turn.at_ms <= look < turn.at_ms + PASS_MS], firsts
                )
                look += PASS_MS
            self.live[call.session] = (call.site, call.at_ms)
            if self.way == "foresight":
                self.core.called(call.at_ms, call.session, call.site)
            world.call(call)
        return world.end()

    def _look(self, now: float, turned: list[ZoneChange], firsts: list[tuple[float, str, str]]) -> None:
        world = self.world
        self.live = {s: held for s, held in self.live.items() if now - held[1] < 10_000.0}
        world.waits_until_ms = [until for until in world.waits_until_ms if until > now]
        if self.way == "react":
            self._react(turned)
        elif self.way == "everything":
            self._everything(now)
        elif self.way == "oracle":
            while firsts and firsts[0][0] <= now + PASS_MS:
                self.queue.append(firsts.pop(0)[1:])
        elif self.way == "foresight":
            self._foresight(now)
        self._order(now)

    def _react(self, turned: list[ZoneChange]) -> None:
        for turn in turned:
            for session, (at, _) in sorted(self.live.items()):
                if at == turn.site and turn.open == 0.0:
                    self.queue.append((session.row, next_zone(session, at)))
                elif home(session) == turn.site and turn.was <= place(session, turn.site) < turn.open:
                    self.queue.append((session.row, turn.site))

    def _everything(self, now: float) -> None:
        wanted = [(s.row, site) for s, (at, _) in sorted(self.live.items()) for site in SITES if site != at]
        due = [key for key in wanted if now - self.asked.get(key, -1e9) >= RENEW_MS]
        self.queue = sorted(due, key=lambda key: self.asked.get(key, -1e9))

    def _foresight(self, now: float) -> None:
        for order in self.core.step(now, self._view(now)):
            if isinstance(order, m.AssignedOrder):
                for scorer in order.scorers:
                    self.world.stage(now, order.stage.row, self.world.by_name[scorer])

    def _order(self, now: float) -> None:
        """Order what is queued, at the pace of fetches that the prefetcher has.

        The oracle has no pace: a crowd at the store makes all late.
        """
        world = self.world
        self.left = min(2 * PACE_PS, self.left + PACE_PS * PASS_MS / 1000.0)
        for row, site in list(self.queue):
            fetch = self.way != "oracle" and world.standing(now, row, site) == 0
            if fetch and self.left < 1.0:
                continue
            if not world.stage(now, row, world.order(row, site)[0]):
                break
            self.left -= fetch
            self.asked[row, site] = now
            self.queue.remove((row, site))

    def _oracle(self) -> list[tuple[float, str, str]]:
        """When to order what, for each first call after a move."""
        found = []
        for call in self.made.calls:
            if call.first:
                load = self.made.facts[call.session.row].load_ms
                found.append((call.at_ms - 1.5 * load - LEAD_MS, call.session.row, call.site))
        return sorted(found)

    def _view(self, now: float) -> PlannerView:
        world = self.world
        left, most = world.ration(now)
        waiting = len(world.waits_until_ms)
        return PlannerView(
            me="a",
            heard=("a", "b")[:1],
            calm=waiting <= max(3.0, WAITING_PART * len(self.live)),
            disturbed=self.lost,
            ration=left,
            ration_most=most,
            waiting=waiting,
            facts=self.made.facts.get,
            order=lambda row, site: [scorer.name for scorer in world.order(row, site)],
            cold_room=lambda _scorer: math.inf,
            spare_mb=lambda site: world.spare_mb(now, site),
            standing=lambda row, site: world.standing(now, row, site),
            memory_mb=MEMORY_MB * SCORERS_PER_ZONE * len(SITES),
        )


def figures(tally: Tally, window: Tally) -> Figures:
    """What is compared.

    Service in the measured part, of all calls and of those soon after a move, and the part of first calls
    that found a copy; counts and the total result are of the whole run.
    """
    prices = decode_site_settings(CONFIG)[1]
    return {
        "service": window.service(),
        "1 s": window.service(1),
        "5 s": window.service(5),
        "20 s": window.service(20),
        "found": window.found / max(1, window.first_calls),
        "fetches": float(tally.fetches),
        "staged": float(tally.prefetch_loads),
        "wasted": float(tally.wasted),
        "result": tally.price(prices, RUN_MS),
    }


def interval(values: Sequence[float]) -> tuple[float, float, float]:
    """The mean, and both ends of its 95 % interval (Student's t)."""
    mean = statistics.fmean(values)
    if len(values) < 2:
        return mean, mean, mean
    half = _T.get(len(values) - 1, 1.96) * statistics.stdev(values) / math.sqrt(len(values))
    return mean, mean - half, mean + half


def compare(
    name: str, seeds: Sequence[int] = SEEDS, ways: Sequence[str] = STRATEGIES
) -> dict[str, list[Figures]]:
    """Figures of each strategy by seed."""
    return {way: [figures(*Run(way, draw_scenario(name, seed)).run()) for seed in seeds] for way in ways}


def shown(name: str, found: dict[str, list[Figures]]) -> str:
    """The table of one scenario, with differences and goals below it."""
    keys = list(next(iter(found.values()))[0])
    lines = [
        f"{name}: means of {len(next(iter(found.values())))} seeds",
        "way        " + "".join(f"{k:>9}" for k in keys),
    ]
    for way, rows in found.items():
        means = [statistics.fmean(row[key] for row in rows) for key in keys]
        cells = (
            f"{v:9.1f}" if key in ("fetches", "staged", "wasted") else f"{v:9.4f}"
            for key, v in zip(keys, means, strict=True)
        )
        lines.append(f"{way:11}" + "".join(cells))
    for one, other in (
        ("foresight", "none"),
        ("foresight", "react"),
        ("oracle", "react"),
        ("foresight", "everything"),
    ):
        parts = []
        for key in ("service", "1 s", "5 s", "20 s", "result", "fetches"):
            mean, low, high = interval(
                [a[key] - b[key] for a, b in zip(found[one], found[other], strict=True)]
            )
            none = " none" if low <= 0.0 <= high else ""
            parts.append(f"{key} {mean:+.4f} [{low:+.4f}, {high:+.4f}]{none}")
        lines.append(f"{one} - {other}: " + "; ".join(parts))
    lines += [
        f"part of the oracle's gain over react, {key}: {_part(found, key):.2f}"
        for key in ("1 s", "5 s", "20 s")
    ]
    ratio = _mean(found, "foresight", "staged") / max(1e-9, _mean(found, "everything", "staged"))
    lines.append(f"staged loads, foresight to everything: {ratio:.2f}")
    return "\n".join(lines)


def _mean(found: dict[str, list[Figures]], way: str, key: str) -> float:
    return statistics.fmean(row[key] for row in found[way])


def _part(found: dict[str, list[Figures]], key: str) -> float:
    gain = _mean(found, "oracle", key) - _mean(found, "react", key)
    return (_mean(found, "foresight", key) - _mean(found, "react", key)) / gain if gain else 0.0


def main(arguments: Sequence[str]) -> None:
    """Print the comparison of the scenarios named, or of all."""
    for name in arguments or SCENARIOS:
        print(shown(name, compare(name)), flush=True)
        print()


if __name__ == "__main__":
    main(sys.argv[1:])
