"""Compares five prefetch strategies in virtual time: `python -m fawnwharf.prefetch.trial`.

*none* prefetches nothing. *react* orders the copies of a zone's sessions after the zone goes out of service
or returns. *everything* keeps a copy for each live session in every zone. *foresight* is the prefetcher of
this package. *oracle* knows each move. All have the same load rate limit. Runs are paired by seed; the
intervals are 95 % Student's t intervals over seeds.
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
SCORERS_PER_ZONE = 4
MEMORY_MB = 16_000.0
PASS_MS = 500.0
REFRESH_MS = 7_000.0  # interval at which the strategy `everything` refreshes its copies
FETCHES_PS = 4.0  # fetches per second of each strategy but the oracle
ORACLE_LEAD_MS = 500.0  # the oracle's loads finish this long before the call
RUN_MS = 115.0  # mean run time of a call
SURGE_WAITING_FRACTION = 0.15  # more waiting calls than this fraction of the live sessions are a surge
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
_T_QUANTILES = {1: 12.706, 2: 4.303, 3: 3.182, 4: 2.776, 5: 2.571, 6: 2.447, 7: 2.365, 8: 2.306, 9: 2.262}

Figures = dict[str, float]


class Run:
    """One scenario with one strategy."""

    def __init__(self, strategy: str, scenario: Scenario) -> None:
        self.strategy, self.scenario = strategy, scenario
        self.site, self.prices = decode_site_settings(CONFIG)
        self.fleet = FleetModel(self.site, SITES, SCORERS_PER_ZONE, MEMORY_MB, scenario.facts)
        self.core = Prefetcher(
            BOUNDS,
            self.site,
            self.prices,
            "a",
            ZoneRules(lambda session, site: ((next_zone(session, site), 1.0),), place, home),
        )
        self.live: dict[Session, tuple[str, float]] = {}  # session -> (zone, time of its last call)
        self.fetch_tokens = FETCHES_PS  # fetches that the strategy may start now
        self.ordered_at_ms: dict[tuple[str, str], float] = {}
        self.queue: list[
            tuple[str, str]
        ] = []  # (function, zone) pairs to order as the load rate limit allows
        self.lost_zones: frozenset[str] = frozenset()
        calls = {name: 0.0 for name in self.site.classes}
        for call in scenario.calls:
            calls[scenario.facts[call.session.row].class_name] += 1
        self.core.planner.shares(calls)

    def run(self) -> tuple[Tally, Tally]:
        """Run it, and return the tallies of the whole run and of the measured part."""
        scenario, fleet = self.scenario, self.fleet
        oracle_orders = self._oracle() if self.strategy == "oracle" else []
        plans, losses, turns = list(scenario.plans), list(scenario.losses), list(scenario.turns)
        pass_ms = 0.0
        for call in scenario.calls:
            while pass_ms <= call.at_ms:
                fleet.measures = scenario.from_ms <= pass_ms < scenario.until_ms
                self.lost_zones = frozenset(site for at, site in losses if at <= pass_ms < at + 2_000.0)
                for at, site in losses:
                    if at <= pass_ms < at + PASS_MS:
                        fleet.lose(site)
                while plans and plans[0][0] <= pass_ms:
                    self.core.announced(pass_ms, plans.pop(0)[1])
                self._run_pass(
                    pass_ms,
                    [turn for turn in turns if turn.at_ms <= pass_ms < turn.at_ms + PASS_MS],
                    oracle_orders,
                )
                pass_ms += PASS_MS
            self.live[call.session] = (call.site, call.at_ms)
            if self.strategy == "foresight":
                self.core.called(call.at_ms, call.session, call.site)
            fleet.call(call)
        return fleet.end()

    def _run_pass(
        self, now: float, zone_changes: list[ZoneChange], oracle_orders: list[tuple[float, str, str]]
    ) -> None:
        fleet = self.fleet
        self.live = {s: held for s, held in self.live.items() if now - held[1] < 10_000.0}
        fleet.waits_until_ms = [until for until in fleet.waits_until_ms if until > now]
        if self.strategy == "react":
            self._react(zone_changes)
        elif self.strategy == "everything":
            self._everything(now)
        elif self.strategy == "oracle":
            while oracle_orders and oracle_orders[0][0] <= now + PASS_MS:
                self.queue.append(oracle_orders.pop(0)[1:])
        elif self.strategy == "foresight":
            self._foresight(now)
        self._order(now)

    def _react(self, zone_changes: list[ZoneChange]) -> None:
        for turn in zone_changes:
            for session, (at, _) in sorted(self.live.items()):
                if at == turn.site and turn.open == 0.0:
                    self.queue.append((session.row, next_zone(session, at)))
                elif home(session) == turn.site and turn.was <= place(session, turn.site) < turn.open:
                    self.queue.append((session.row, turn.site))

    def _everything(self, now: float) -> None:
        wanted = [(s.row, site) for s, (at, _) in sorted(self.live.items()) for site in SITES if site != at]
        due = [key for key in wanted if now - self.ordered_at_ms.get(key, -1e9) >= REFRESH_MS]
        self.queue = sorted(due, key=lambda key: self.ordered_at_ms.get(key, -1e9))

    def _foresight(self, now: float) -> None:
        for order in self.core.step(now, self._view(now)):
            if isinstance(order, m.AssignedOrder):
                for scorer in order.scorers:
                    self.fleet.stage(now, order.stage.row, self.fleet.by_name[scorer])

    def _order(self, now: float) -> None:
        """Order what is queued, at the strategy's fetch rate.

        The oracle has no fetch rate limit: too many fetches at once delay all of them at the store.
        """
        fleet = self.fleet
        self.fetch_tokens = min(2 * FETCHES_PS, self.fetch_tokens + FETCHES_PS * PASS_MS / 1000.0)
        for row, site in list(self.queue):
            fetch = self.strategy != "oracle" and fleet.standing(now, row, site) == 0
            if fetch and self.fetch_tokens < 1.0:
                continue
            if not fleet.stage(now, row, fleet.order(row, site)[0]):
                break
            self.fetch_tokens -= fetch
            self.ordered_at_ms[row, site] = now
            self.queue.remove((row, site))

    def _oracle(self) -> list[tuple[float, str, str]]:
        """Return (order time, function, zone) for each first call after a move."""
        found = []
        for call in self.scenario.calls:
            if call.first:
                load = self.scenario.facts[call.session.row].load_ms
                found.append((call.at_ms - 1.5 * load - ORACLE_LEAD_MS, call.session.row, call.site))
        return sorted(found)

    def _view(self, now: float) -> PlannerView:
        fleet = self.fleet
        orders_left, most = fleet.ration(now)
        waiting = len(fleet.waits_until_ms)
        return PlannerView(
            me="a",
            heard=("a", "b")[:1],
            calm=waiting <= max(3.0, SURGE_WAITING_FRACTION * len(self.live)),
            disturbed=self.lost_zones,
            ration=orders_left,
            ration_most=most,
            waiting=waiting,
            facts=self.scenario.facts.get,
            order=lambda row, site: [scorer.name for scorer in fleet.order(row, site)],
            cold_room=lambda _scorer: math.inf,
            spare_mb=lambda site: fleet.spare_mb(now, site),
            standing=lambda row, site: fleet.standing(now, row, site),
            memory_mb=MEMORY_MB * SCORERS_PER_ZONE * len(SITES),
        )


def figures(tally: Tally, window: Tally) -> Figures:
    """Return the figures to compare.

    The service of all calls and of calls soon after a move, and the fraction of first calls that found a
    copy, are of the measured part. Counts and the total result are of the whole run.
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
    """Return the mean and both ends of its 95 % Student's t interval."""
    mean = statistics.fmean(values)
    if len(values) < 2:
        return mean, mean, mean
    half = _T_QUANTILES.get(len(values) - 1, 1.96) * statistics.stdev(values) / math.sqrt(len(values))
    return mean, mean - half, mean + half


def compare(
    name: str, seeds: Sequence[int] = SEEDS, strategies: Sequence[str] = STRATEGIES
) -> dict[str, list[Figures]]:
    """Run the strategies, and return the figures of each by seed."""
    return {
        strategy: [figures(*Run(strategy, draw_scenario(name, seed)).run()) for seed in seeds]
        for strategy in strategies
    }


def format_table(name: str, found: dict[str, list[Figures]]) -> str:
    """Return the table of one scenario, followed by the differences between strategies."""
    keys = list(next(iter(found.values()))[0])
    lines = [
        f"{name}: means of {len(next(iter(found.values())))} seeds",
        "strategy   " + "".join(f"{k:>9}" for k in keys),
    ]
    for strategy, rows in found.items():
        means = [statistics.fmean(row[key] for row in rows) for key in keys]
        cells = (
            f"{v:9.1f}" if key in ("fetches", "staged", "wasted") else f"{v:9.4f}"
            for key, v in zip(keys, means, strict=True)
        )
        lines.append(f"{strategy:11}" + "".join(cells))
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
        f"part of the oracle's gain over react, {key}: {_oracle_gain_fraction(found, key):.2f}"
        for key in ("1 s", "5 s", "20 s")
    ]
    ratio = _mean(found, "foresight", "staged") / max(1e-9, _mean(found, "everything", "staged"))
    lines.append(f"staged loads, foresight to everything: {ratio:.2f}")
    return "\n".join(lines)


def _mean(found: dict[str, list[Figures]], strategy: str, key: str) -> float:
    return statistics.fmean(row[key] for row in found[strategy])


def _oracle_gain_fraction(found: dict[str, list[Figures]], key: str) -> float:
    gain = _mean(found, "oracle", key) - _mean(found, "react", key)
    return (_mean(found, "foresight", key) - _mean(found, "react", key)) / gain if gain else 0.0


def main(arguments: Sequence[str]) -> None:
    """Print the comparison for the named scenarios, or for all."""
    for name in arguments or SCENARIOS:
        print(format_table(name, compare(name)), flush=True)
        print()


if __name__ == "__main__":
    main(sys.argv[1:])
