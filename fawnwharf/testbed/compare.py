"""Compares two sides by paired runs: the same scenario, seeds, and faults at the same moments.

What differs from seed to seed is common to both sides of a pair, so intervals are of the paired differences,
by a bootstrap over seeds with a seed of its own. A difference below `RESOLUTION` counts as none seen.
"""

import random
from collections.abc import Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from fawnwharf.testbed import outage
from fawnwharf.testbed.measures import Measures

RESOLUTION = 0.005  # of service
DRAWS = 4_000
LEVEL = 0.95
HELD = 0.5  # of a run: beyond it calls came late or not at all, and it tells of the machine alone


@dataclass(frozen=True, slots=True)
class Interval:
    """A mean and its confidence interval."""

    mean: float
    low: float
    high: float

    def __str__(self) -> str:
        return f"{self.mean:+.4f} [{self.low:+.4f}, {self.high:+.4f}]"

    @property
    def says(self) -> str:
        """The interval in words."""
        if self.low <= 0.0 <= self.high or abs(self.mean) < RESOLUTION:
            return "no difference seen"
        return "better" if self.mean > 0 else "worse"


def bootstrap(values: list[float], seed: int = 1) -> Interval:
    """The mean and an interval of it; of one value, just that value."""
    mean = sum(values) / len(values)
    if len(values) < 2:
        return Interval(mean, mean, mean)
    chance = random.Random(seed)
    means = sorted(sum(chance.choices(values, k=len(values))) / len(values) for _ in range(DRAWS))
    cut = int(DRAWS * (1 - LEVEL) / 2)
    return Interval(mean, means[cut], means[-cut - 1])


@dataclass(slots=True)
class Pairs:
    """Runs of two sides, in the order of their seeds."""

    one: list[Measures]
    other: list[Measures]

    def difference(self, of: Callable[[Measures], float]) -> Interval:
        """By how much the first side has more."""
        return bootstrap([of(a) - of(b) for a, b in zip(self.one, self.other, strict=True)])

    def by_second(self) -> list[tuple[int, float, float, Interval]]:
        """For each second both means and the paired difference.

        Seconds without calls in a run are left out.
        """
        length = min(len(m.seconds) for m in [*self.one, *self.other])
        found = []
        for n in range(length):
            sides = [[m.service(n, n + 1) for m in side] for side in (self.one, self.other)]
            if any(value != value for side in sides for value in side):
                continue
            pairs = [a - b for a, b in zip(*sides, strict=True)]
            means = [sum(side) / len(side) for side in sides]
            found.append((n, means[0], means[1], bootstrap(pairs)))
        return found


Of = Callable[[Measures], float]


def _part(measures: Measures, *names: str) -> float:
    return sum(measures.outcomes[name] for name in names) / max(1, sum(measures.outcomes.values()))


def figures(pairs: Pairs) -> dict[str, Of]:
    """What is compared, by name."""
    found: dict[str, Of] = {
        "service": lambda m: m.service(),
        "crossing": lambda m: m.crossing,
        "late": lambda m: _part(m, "late"),
        "refused": lambda m: _part(m, "refused"),
        "failed or lost": lambda m: _part(m, "failed", "lost"),
        "fetches": lambda m: float(m.fetches),
        "second runs": lambda m: float(m.second_runs),
        "keyed repeats": lambda m: float(m.keyed_repeats),
        "once, median ms": lambda m: float(m.once_ms[0]),
        "once, 99 % ms": lambda m: float(m.once_ms[1]),
        "memory, MB": lambda m: m.memory_mb,
        "member bytes": lambda m: m.member_bytes,
        "cpu": lambda m: m.cpu,
        "asks": lambda m: float(m.asks),
        "orders": lambda m: float(m.orders),
        "ordered twice": lambda m: float(m.twice),
        "cold, most": lambda m: m.cold_most,
        "cold, used": lambda m: m.cold_used,
    }
    for tenant in pairs.one[0].by_tenant:
        found[f"of {tenant}"] = lambda m, tenant=tenant: m.by_tenant.get(tenant, 0.0)
    if all(m.sessions for m in [*pairs.one, *pairs.other]):
        found |= OF_SESSIONS
    if all(m.outage for m in [*pairs.one, *pairs.other]):
        found |= {name: lambda m, of=of: of(m.outage) for name, of in outage.FIGURES.items()}
    return found


OF_SESSIONS: dict[str, Of] = {
    "moved, 1 s": lambda m: m.sessions.clients.service[1],
    "moved, 5 s": lambda m: m.sessions.clients.service[5],
    "moved, 20 s": lambda m: m.sessions.clients.service[20],
    "first found": lambda m: m.sessions.clients.found,
    "staged loads": lambda m: float(m.sessions.staged),
    "staged, wasted": lambda m: float(m.sessions.staged_wasted),
    "loads wasted": lambda m: float(m.sessions.wasted),
    "orders, asks": lambda m: float(m.sessions.orders),
    "result": lambda m: m.sessions.result,
}


def by_mode(found: dict[str, list[Measures]]) -> list[str]:
    """Lines.

    The mean of each figure in each mode, and its difference from the first mode's runs of the same seeds.
    """
    first, *others = found
    lines = [f"{len(found[first])} seeds; behind each mean the difference from {first}, with a 95 % interval"]
    shown: dict[str, Of] = {"service": lambda m: m.service(), "fetches": lambda m: float(m.fetches)}
    shown |= {"second runs": lambda m: float(m.second_runs), **OF_SESSIONS}
    for name, of in shown.items():
        values = {mode: [of(m) for m in runs] for mode, runs in found.items()}
        if any(value != value for row in values.values() for value in row):
            continue  # nothing moved in one of them
        means = {mode: sum(row) / len(row) for mode, row in values.items()}
        told = [f"{first} {means[first]:.4f}"]
        told += [f"{m} {means[m]:.4f} ({Pairs(found[m], found[first]).difference(of)})" for m in others]
        lines.append(f"{name:15} " + "  ".join(told))
    return lines


def row(mode: str, measures: Measures) -> dict[str, Any]:
    """A run in short, for a line of JSON."""
    return {
        "scenario": measures.scenario,
        "mode": mode,
        "seed": measures.seed,
        "service": measures.service(),
        "fetches": measures.fetches,
        "second runs": measures.second_runs,
        "held": measures.held,
        "broken": measures.verdict.broken[:5],
        "sessions": measures.sessions,
    }


def table(pairs: Pairs, folder: Path) -> Path:
    """All runs, a row for each second of each, in a columnar file."""
    import pyarrow
    import pyarrow.parquet

    rows = [
        {
            "scenario": measures.scenario,
            "decided": measures.decided,
            "seed": measures.seed,
            "second": n,
            **asdict(second),
            "broken": "; ".join(measures.verdict.broken[:3]),
        }
        for measures in [*pairs.one, *pairs.other]
        for n, second in enumerate(measures.seconds)
    ]
    path = folder / "seconds.parquet"
    pyarrow.parquet.write_table(pyarrow.Table.from_pylist(rows), path)
    return path


def chart(pairs: Pairs, names: tuple[str, str], folder: Path) -> Path:
    """Service by second of both sides, with every run behind the means."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(9, 4.5))
    for side, name, colour in ((pairs.one, names[0], "tab:blue"), (pairs.other, names[1], "tab:orange")):
        length = min(len(m.seconds) for m in side)
        for measures in side:
            axes.plot(
                [measures.service(n, n + 1) for n in range(length)], color=colour, alpha=0.15, linewidth=0.8
            )
        means = [sum(m.service(n, n + 1) for m in side) / len(side) for n in range(length)]
        axes.plot(means, color=colour, label=name)
    for mark, at in pairs.one[0].marks.items():
        if at > 0:
            axes.axvline(at, color="grey", linewidth=0.6)
            axes.text(at, 0.02, mark, rotation=90, fontsize=7, color="grey")
    axes.set(
        xlabel="seconds since the load began",
        ylabel="worth answered in time over worth asked",
        ylim=(0, 1.02),
    )
    axes.legend(loc="lower right")
    path = folder / "service.png"
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
    return path
