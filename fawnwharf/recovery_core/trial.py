"""Compares the return by phases with that without coordination, paired by seed.

    python -m fawnwharf.recovery_core.trial [--fronts 12 30] [--seeds 11 20] [--scene last]

The service of a second is the share of the priority weight of all attempts in it that was served in time;
rejected and lost attempts, and those of clients that found no front end, count as not served. A share is
reached when three consecutive seconds have it and it then lasts for ten. Intervals are Student's, 95 %, over
seeds.
"""

import argparse
from collections.abc import Sequence
from dataclasses import replace

from fawnwharf.prefetch.trial import interval
from fawnwharf.recovery_core.coordinated_fleet import CoordinatedFleet
from fawnwharf.recovery_core.simulated_site import Scenario, SecondStats
from fawnwharf.recovery_core.uncoordinated_fleet import UncoordinatedFleet

SCENARIOS = {
    "last": Scenario(0),  # the roster comes last
    "first": Scenario(0, roster_ms=1_000.0, burst_ms=20_000.0),  # it comes first, and scorers with all others
    "minority": Scenario(0, quorum=False),  # no majority of the voters comes back
}
FLEETS: dict[str, type[UncoordinatedFleet]] = {"nothing": UncoordinatedFleet, "plan": CoordinatedFleet}
LASTING_SECONDS = 10

Figures = dict[str, float]  # by the name of a row of the table


def scenario_of(name: str, fronts: int) -> Scenario:
    """The scenario of this name with so many front ends."""
    return replace(SCENARIOS[name], fronts=fronts)


def reached(seconds: Sequence[SecondStats], share: float) -> float:
    """The second from which on that share of the service is reached; the last one if it never is."""
    shares = [_served_share(seconds[at : at + 3]) for at in range(len(seconds) - 3)]
    for at in range(len(shares) - LASTING_SECONDS):
        if min(shares[at : at + LASTING_SECONDS]) >= share:
            return float(at)
    return float(len(seconds))


def _served_share(seconds: Sequence[SecondStats]) -> float:
    return sum(second.served for second in seconds) / max(1e-9, sum(second.offered for second in seconds))


def figures(fleet: UncoordinatedFleet) -> Figures:
    """The figures of one run.

    Seconds from the power loss; fetches requested of the store in its worst second, and queued there at the
    most; cold scorers that fell; the share of all weight that was served.
    """
    seconds = fleet.seconds[: int(fleet.scenario.end_ms / 1000) - 4]
    found = {f"{int(100 * share)} %": reached(seconds, share) for share in (0.5, 0.9, 0.99)}
    found["asked"] = float(max(fleet.fetches.values(), default=0))
    found["waiting"] = float(fleet.max_waiting)
    found["fetches"] = float(sum(fleet.fetches.values()))
    found["fell"] = float(fleet.fallen)
    served = sum(second.served for second in seconds)
    found["served"] = served / sum(second.offered for second in seconds)
    return found


def compare(name: str, fronts: int, seeds: Sequence[int]) -> dict[str, list[Figures]]:
    """The figures of both fleets, by seed."""
    scenario = scenario_of(name, fronts)
    return {way: [figures(fleet(scenario, seed).run()) for seed in seeds] for way, fleet in FLEETS.items()}


def shown(name: str, fronts: int, found: dict[str, list[Figures]]) -> str:
    """The table, with a row for each figure."""
    lines = []
    for key in next(iter(found.values()))[0]:
        means = [interval([row[key] for row in found[way]])[0] for way in FLEETS]
        pairs = zip(found["plan"], found["nothing"], strict=True)
        mean, low, high = interval([one[key] - other[key] for one, other in pairs])
        form = ".3f" if key == "served" else ".1f"
        cells = [f"{value:{form}}" for value in means]
        cells.append(f"{mean:+{form}} [{low:+{form}}, {high:+{form}}]")
        lines.append(f"| {name} | {fronts} | {key} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def main(arguments: Sequence[str] | None = None) -> None:
    """Print the comparison."""
    parser = argparse.ArgumentParser(description="Compare returns from a power loss in virtual time.")
    parser.add_argument("--fronts", type=int, nargs="+", default=[12, 30, 200, 1_000])
    parser.add_argument("--seeds", type=int, nargs=2, default=[11, 20], help="first and last")
    parser.add_argument("--scene", choices=SCENARIOS, nargs="+", default=list(SCENARIOS))
    options = parser.parse_args(arguments)
    print("| scene | front ends | figure | from nothing | by the plan | difference |\n" + "| --- " * 6 + "|")
    for name in options.scene:
        for fronts in options.fronts:
            found = compare(name, fronts, range(options.seeds[0], options.seeds[1] + 1))
            print(shown(name, fronts, found), flush=True)


if __name__ == "__main__":
    main()
