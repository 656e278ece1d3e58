"""Compares the return by the plan with that from nothing, paired by seed.

    python -m fawnwharf.recovery_core.trial [--fronts 12 30] [--seeds 11 20] [--scene last]

Service of a second is the part of the worth of all tries in it that was served in time; refused and lost
tries, and those of clients that found nobody, count as not served. A part is reached when three consecutive
seconds have it and it then lasts for ten. Intervals are Student's, 95 %, over seeds.
"""

import argparse
from collections.abc import Sequence
from dataclasses import replace

from fawnwharf.prefetch.trial import interval
from fawnwharf.recovery_core.coordinated_fleet import CoordinatedFleet
from fawnwharf.recovery_core.uncoordinated_fleet import Scenario, UncoordinatedFleet

SCENES = {
    "last": Scenario(0),  # the roster is last
    "first": Scenario(0, roster_ms=1_000.0, burst_ms=20_000.0),  # it is there, and scorers come back with all
    "minority": Scenario(0, quorum=False),  # no majority of the voters comes back
}
WAYS = {"nothing": UncoordinatedFleet, "plan": CoordinatedFleet}
STAYS = 10

Figures = dict[str, float]


def scene_of(name: str, fronts: int) -> Scenario:
    """The scenario of this name with so many front ends."""
    return replace(SCENES[name], fronts=fronts)


def reached(seconds: Sequence[Sequence[float]], part: float) -> float:
    """The second from which on that part of the service is there; the last one where it never is."""
    shares = [
        sum(row[1] for row in seconds[at : at + 3]) / max(1e-9, sum(row[0] for row in seconds[at : at + 3]))
        for at in range(len(seconds) - 3)
    ]
    for at in range(len(shares) - STAYS):
        if min(shares[at : at + STAYS]) >= part:
            return float(at)
    return float(len(seconds))


def figures(world: UncoordinatedFleet) -> Figures:
    """The figures of one run.

    Seconds from the power loss; fetches requested of the store in its worst second, and queued there at the
    most; cold scorers that fell; the part of all worth that was served.
    """
    rows = world.seconds[: int(world.scene.end_ms / 1000) - 4]
    found = {f"{int(100 * part)} %": reached(rows, part) for part in (0.5, 0.9, 0.99)}
    found["asked"] = float(max(world.fetches.values(), default=0))
    found["waiting"] = float(world.waiting)
    found["fetches"] = float(sum(world.fetches.values()))
    found["fell"] = float(world.fell)
    found["served"] = sum(row[1] for row in rows) / sum(row[0] for row in rows)
    return found


def compare(name: str, fronts: int, seeds: Sequence[int]) -> dict[str, list[Figures]]:
    """The figures of both ways, by seed."""
    scene = scene_of(name, fronts)
    return {way: [figures(kind(scene, seed).run()) for seed in seeds] for way, kind in WAYS.items()}


def shown(name: str, fronts: int, found: dict[str, list[Figures]]) -> str:
    """The table, with a row for each figure."""
    lines = []
    for key in next(iter(found.values()))[0]:
        means = [interval([row[key] for row in found[way]])[0] for way in WAYS]
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
    parser.add_argument("--scene", choices=SCENES, nargs="+", default=list(SCENES))
    given = parser.parse_args(arguments)
    print("| scene | front ends | figure | from nothing | by the plan | difference |\n" + "| --- " * 6 + "|")
    for name in given.scene:
        for fronts in given.fronts:
            found = compare(name, fronts, range(given.seeds[0], given.seeds[1] + 1))
            print(shown(name, fronts, found), flush=True)


if __name__ == "__main__":
    main()
