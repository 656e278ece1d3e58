"""Compares recovery by phases with recovery without coordination, paired by seed.

    python -m fawnwharf.recovery_core.trial [--fronts 12 30] [--seeds 11 20] [--scene last]

The served share of a second is the priority weight served in time, divided by the priority weight of all
attempts made in that second. Rejected attempts, lost attempts and attempts that found no front end count as
not served. The share is averaged over three consecutive seconds. A share counts as reached at the first
second from which it holds for ten seconds. Intervals are 95 % confidence intervals over the seeds, by
Student's t distribution.
"""

import argparse
from collections.abc import Sequence
from dataclasses import replace

from fawnwharf.prefetch.trial import interval
from fawnwharf.recovery_core.coordinated_fleet import CoordinatedFleet
from fawnwharf.recovery_core.simulated_site import Scenario, SecondStats
from fawnwharf.recovery_core.uncoordinated_fleet import UncoordinatedFleet

SCENARIOS = {
    "last": Scenario(0),  # the roster arrives after all machines are back
    "first": Scenario(0, roster_ms=1_000.0, burst_ms=20_000.0),  # the roster arrives before most machines
    "minority": Scenario(0, voter_majority_returns=False),  # no majority of the voters comes back
}
FLEETS: dict[str, type[UncoordinatedFleet]] = {
    "uncoordinated": UncoordinatedFleet,
    "coordinated": CoordinatedFleet,
}
LASTING_SECONDS = 10  # for which a share must hold to count as reached

Figures = dict[str, float]  # one run's figures, by the name of their row in the table


def scenario_of(name: str, front_ends: int) -> Scenario:
    """The scenario of this name, with this number of front ends."""
    return replace(SCENARIOS[name], front_ends=front_ends)


def reached(seconds: Sequence[SecondStats], share: float) -> float:
    """The second at which a served share is reached; the number of seconds if it never is."""
    shares = [_served_share(seconds[at : at + 3]) for at in range(len(seconds) - 3)]
    for at in range(len(shares) - LASTING_SECONDS):
        if min(shares[at : at + LASTING_SECONDS]) >= share:
            return float(at)
    return float(len(seconds))


def _served_share(seconds: Sequence[SecondStats]) -> float:
    return sum(second.served for second in seconds) / max(1e-9, sum(second.offered for second in seconds))


def figures(fleet: UncoordinatedFleet) -> Figures:
    """The figures of one run.

    - `50 %`, `90 %`, `99 %`: seconds from the power loss until this share is served
    - `asked`: most fetches requested of the store in one second
    - `waiting`: most fetches in progress or queued at the store
    - `fetches`: all fetches
    - `fell`: crashes of cold scorers
    - `served`: share of the priority weight of all attempts that was served in time
    """
    seconds = fleet.seconds[: int(fleet.scenario.end_ms / 1000) - 4]
    result = {f"{int(100 * share)} %": reached(seconds, share) for share in (0.5, 0.9, 0.99)}
    result["asked"] = float(max(fleet.fetches.values(), default=0))
    result["waiting"] = float(fleet.max_waiting)
    result["fetches"] = float(sum(fleet.fetches.values()))
    result["fell"] = float(fleet.crashed_scorers)
    served = sum(second.served for second in seconds)
    result["served"] = served / sum(second.offered for second in seconds)
    return result


def compare(name: str, front_ends: int, seeds: Sequence[int]) -> dict[str, list[Figures]]:
    """The figures of both fleets, in the order of the seeds."""
    scenario = scenario_of(name, front_ends)
    return {
        fleet_name: [figures(fleet_type(scenario, seed).run()) for seed in seeds]
        for fleet_name, fleet_type in FLEETS.items()
    }


def table_rows(name: str, front_ends: int, found: dict[str, list[Figures]]) -> str:
    """The rows of the table, one for each figure."""
    lines = []
    for key in next(iter(found.values()))[0]:
        means = [interval([row[key] for row in found[fleet_name]])[0] for fleet_name in FLEETS]
        pairs = zip(found["coordinated"], found["uncoordinated"], strict=True)
        mean, low, high = interval([with_phases[key] - without[key] for with_phases, without in pairs])
        number_format = ".3f" if key == "served" else ".1f"
        cells = [f"{value:{number_format}}" for value in means]
        interval_cell = f"[{low:+{number_format}}, {high:+{number_format}}]"
        cells.append(f"{mean:+{number_format}} {interval_cell}")
        lines.append(f"| {name} | {front_ends} | {key} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def main(arguments: Sequence[str] | None = None) -> None:
    """Print the comparison."""
    parser = argparse.ArgumentParser(description="Compare recoveries from a power loss in virtual time.")
    parser.add_argument("--fronts", type=int, nargs="+", default=[12, 30, 200, 1_000])
    parser.add_argument("--seeds", type=int, nargs=2, default=[11, 20], help="first and last")
    parser.add_argument("--scene", choices=SCENARIOS, nargs="+", default=list(SCENARIOS))
    options = parser.parse_args(arguments)
    print("| scenario | front ends | figure | uncoordinated | coordinated | difference |")
    print("| --- " * 6 + "|")
    for name in options.scene:
        for front_ends in options.fronts:
            found = compare(name, front_ends, range(options.seeds[0], options.seeds[1] + 1))
            print(table_rows(name, front_ends, found), flush=True)


if __name__ == "__main__":
    main()
