"""Runs the soak by hand: `PYTHONPATH=tests python -m soak --seeds 1-50 --jobs 5`, a line for each seed."""

import argparse
import math
import statistics
import sys
from concurrent.futures import ProcessPoolExecutor

from soak.plan import plan_from
from soak.run import Report, play


def run_pair(seed: int, outage_s: float | None) -> tuple[Report, Report]:
    """A seed's run, and the same seed without its outage."""
    plan = plan_from(seed, outage_s)
    return play(plan), play(plan, has_outage=False)


def describe(report: Report, calm: Report) -> str:
    """One line about a seed."""
    plan = plan_from(report.seed)
    answers = ", ".join(f"{kind} {count}" for kind, count in sorted(report.kinds.items()))
    return (
        f"seed {report.seed}: {plan.fault.value}, {plan.outage_s:g} s from {plan.outage_from_s:g} s, "
        f"{plan.load}, {plan.scorers} scorers: {answers}; {report.queries} queries ({calm.queries}); "
        f"served in the outage {report.outage_share:.3f} ({calm.outage_share:.3f}), "
        f"after it {report.after_share:.3f} ({calm.after_share:.3f}); {report.faults[:3] or 'rules kept'}"
        + (f"; without outage: {calm.faults[:3]}" if calm.faults else "")
    )


def main() -> int:
    """Run all seeds; returns 1 where a rule was broken."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", default="1-50", help="first and last seed")
    parser.add_argument("--jobs", type=int, default=5, help="seeds side by side")
    parser.add_argument("--outage-s", type=float, help="length of every outage, in seconds")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    broken, ratios = 0, []
    with ProcessPoolExecutor(options.jobs) as pool:
        runs = [pool.submit(run_pair, seed, options.outage_s) for seed in seeds]
        for run in runs:
            report, calm = run.result()
            broken += bool(report.faults or calm.faults)
            if calm.outage_share and not math.isnan(report.outage_share):
                ratios.append(report.outage_share / calm.outage_share)
            print(describe(report, calm), flush=True)
    print(
        f"{len(runs)} seeds, {broken} with broken rules; served in the outage over the same without it: "
        f"mean {statistics.mean(ratios):.3f}, least {min(ratios):.3f}"
    )
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
