"""`fawnwharf lab`: runs of many processes together, with faults injected between them."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from fawnwharf.testbed import scenario as scenarios

app = typer.Typer(no_args_is_help=True, help="Trials of many front ends together.")
Seed = Annotated[int, typer.Option("--seed", help="Draws load, work and whom chance hits.")]
Fronts = Annotated[int, typer.Option("--front-ends", help="In each zone, in place of the scenario's.")]
Out = Annotated[str, typer.Option("--out", help="Folder for files, logs and the table of the run.")]
Alone = Annotated[bool, typer.Option("--alone", help="Without the decision in common.")]
Bare = Annotated[bool, typer.Option("--bare", help="Without replicated state.")]


MODES = "none", "react", "everything", "foresight", "oracle"  # of foresight
HOW = "alone", "bare", "off", "recovery", "clocks", *MODES
CLOCKS = scenarios.ClockSpec(apart_s=10_800.0, rate=0.04)  # of a form with clocks that are apart


def load(name: str, front_ends: int = 0, alone: bool = False, bare: bool = False) -> scenarios.Scenario:
    """A scenario as the options change it; exits with status 2 and one line where it is faulty."""
    try:
        found = scenarios.load(name)
    except scenarios.ScenarioError as error:
        typer.echo(f"fawnwharf: lab: {error}", err=True)
        raise typer.Exit(2) from None
    if front_ends:
        zones = {
            name: msgspec.structs.replace(zone, front_ends=front_ends) for name, zone in found.zones.items()
        }
        found = msgspec.structs.replace(found, zones=zones)
    if bare:
        found = msgspec.structs.replace(found, state=None, sessions=None)
    if bare or alone:
        found = msgspec.structs.replace(found, recovery=None)
    return msgspec.structs.replace(found, decide=found.decide and not alone)


def side(word: str, front_ends: int = 0, alone: bool = False, bare: bool = False) -> scenarios.Scenario:
    """NAME, or NAME:HOW, also several.

    `off` is without sessions, `recovery` with it, `clocks` with clocks that are apart, a mode is that of
    foresight.
    """
    name, *hows = word.split(":")
    if not set(hows) <= set(HOW):
        typer.echo(f"fawnwharf: lab: {word}: NAME, or NAME: and one of {', '.join(HOW)}", err=True)
        raise typer.Exit(2)
    found = load(name, front_ends, alone or "alone" in hows, bare or "bare" in hows)
    if "off" in hows:
        found = msgspec.structs.replace(found, sessions=None)
    if "clocks" in hows:
        found = msgspec.structs.replace(found, clocks=found.clocks or CLOCKS)
    if "recovery" in hows and found.recovery is None:
        if found.state is None or not found.decide:
            typer.echo(f"fawnwharf: lab: {word}: {name} lacks decisions in common, or state", err=True)
            raise typer.Exit(2)
        found = msgspec.structs.replace(found, recovery={})
    for how in set(hows) & set(MODES):
        if found.sessions is None:
            typer.echo(f"fawnwharf: lab: {word}: {name} has no sessions", err=True)
            raise typer.Exit(2)
        foresight = {**(found.sessions.get("foresight") or {}), "mode": how}
        found = msgspec.structs.replace(found, sessions={**found.sessions, "foresight": foresight})
    return found


def report(found: Any) -> None:
    """Print the figures of a run."""
    how = "decided in common" if found.decided else "each on its own"
    typer.echo(f"{found.scenario}  seed {found.seed}  {how}")
    _tell_seconds(found)
    _tell_costs(found)
    _tell_calls(found)
    _tell_parts(found)
    typer.echo(
        "checked " + "  ".join(f"{name} {count}" for name, count in sorted(found.verdict.checked.items()))
    )
    for text in found.verdict.broken[:10]:
        typer.echo(f"broken: {text}")


def _tell_seconds(found: Any) -> None:
    marks = sorted(found.marks.items(), key=lambda mark: mark[1])
    names = {int(at): name for name, at in marks if at >= 0}
    for n, second in enumerate(found.seconds):
        if second.requests:
            part = second.served / second.asked
            typer.echo(
                f"{n:4} s  {second.requests:4} calls  in time {part:5.3f}  refused {second.refused:3}"
                f"  failed {second.failed:3}  late {second.late:3}  {names.get(n, '')}".rstrip()
            )


def _tell_costs(found: Any) -> None:
    typer.echo(f"service {found.service():.4f}  crossing {found.crossing:.3f}  " + "  ".join(
        f"{name} {value} ms" for name, value in found.percentiles.items()))  # fmt: skip
    typer.echo("ends " + "  ".join(f"{name} {count}" for name, count in sorted(found.outcomes.items())))
    typer.echo(f"store {found.fetches} fetches, {found.worst_fetches} at once; {found.fell} scorers fell")
    typer.echo(
        f"a front end: {found.cpu:.3f} of a core, {found.memory_mb:.0f} MB at the most; "
        f"{found.member_bytes:.0f} bytes a second between members for each"
    )
    typer.echo(f"asked {found.asks} times after copies; {found.orders} orders, {found.twice} of them twice")
    if found.cold_most:
        typer.echo(f"cold scorers: {found.cold_most:.2f} of their budget at most, {found.cold_used:.2f} used")
    if found.acted:
        half, last = found.acted[len(found.acted) // 2], found.acted[-1]
        typer.echo(f"zone lost: half acted within {half:.2f} s, all {len(found.acted)} within {last:.2f} s")


def _tell_calls(found: Any) -> None:
    told = "  ".join(f"{tenant} {part:.4f}" for tenant, part in found.by_tenant.items())
    typer.echo(f"service by tenant: {told}")
    if found.waits_ms[1]:
        half, most = found.waits_ms
        typer.echo(f"calls wait for their keepers {half:.1f} ms (median), {most:.1f} ms (99 %)")
    if found.second_runs or found.keyed_repeats:
        typer.echo(f"at-most-once runs beyond the first {found.second_runs}, keyed {found.keyed_repeats}")


def _tell_parts(found: Any) -> None:
    if found.sessions:
        tell_sessions(found.sessions)
    if found.outage:
        for line in found.outage.lines():
            typer.echo(line)
    if found.comebacks:
        ends = "  ".join(f"{name} {count}" for name, count in sorted(found.comebacks.items()))
        typer.echo(f"lost at-most-once calls that were asked for again: {ends}")
    for change in found.changes:
        times = {"prepare": change.prepare_ms, "decided": change.decided_ms, "ended": change.ended_ms,
                 "in force": change.in_force_ms, "leased by all": change.leased_ms}  # fmt: skip
        told = "  ".join(f"{name} {at_ms:.0f} ms" for name, at_ms in times.items() if at_ms is not None)
        typer.echo(f"policy {change.number}: {told}")


def tell_sessions(found: Any) -> None:
    """Print the figures of sessions that moved."""
    for name, after in (("clients", found.clients), ("homes", found.homes)):
        if after.moves:
            spans = "  ".join(f"{span} s {part:.4f}" for span, part in after.service.items())
            typer.echo(
                f"{after.moves} moves of {name}: service in the first {spans}; "
                f"{after.found:.3f} of {after.first_calls} first calls found a copy"
            )
    half, most = found.to_home_ms
    typer.echo(f"hand-overs: {found.switched} switched, {found.done} done; home after the clients' move in "
               f"{half:.0f} ms (median), {most:.0f} ms (99 %)")  # fmt: skip
    for why, count in sorted(found.ends.items()):
        typer.echo(f"  ended, {why or 'done'}: {count}")
    typer.echo(
        f"loads {found.loads}, staged {found.staged}; wasted {found.wasted}, staged {found.staged_wasted}; "
        f"{found.orders} orders, {found.unloads} words to unload; result {found.result:.4f}"
    )


@app.command("list")
def list_() -> None:
    """The scenarios that come with the project."""
    for name in scenarios.names():
        typer.echo(f"{name:24} {scenarios.load(name).about}")


@app.command()
def run(
    name: str, seed: Seed = 1, front_ends: Fronts = 0, out: Out = "", alone: Alone = False, bare: Bare = False
) -> None:
    """Run a scenario once. Status 0 where all rules were kept, 1 where one was broken, 2 for bad input."""
    from fawnwharf.testbed.run import LabError
    from fawnwharf.testbed.run import run as run_it

    scenario = side(name, front_ends, alone, bare)
    folder = Path(out) if out else None
    if folder:
        folder.mkdir(parents=True, exist_ok=True)
    try:
        measures = run_it(scenario, seed, folder)
    except LabError as error:
        typer.echo(f"verdict: broken ground: {error}")
        raise typer.Exit(1) from None
    report(measures)
    if folder:
        (folder / "measures.json").write_bytes(
            msgspec.json.format(msgspec.json.encode(measures, enc_hook=str), indent=1)
        )
    typer.echo(measures.verdict.line())
    raise typer.Exit(1 if measures.verdict.broken else 0)


@app.command()
def compare(
    one: str,
    other: str,
    seeds: Annotated[int, typer.Option("--seeds", help="Pairs of runs.")] = 10,
    first: Annotated[int, typer.Option("--first", help="The first seed.")] = 1,
    front_ends: Fronts = 0,
    out: Out = "",
) -> None:
    """Compare two sides by paired runs.

    Each is NAME, NAME:alone, which is without the decision in common, NAME:bare, without replicated state,
    NAME:recovery, or NAME:clocks, by clocks that are apart. Both should have their faults at the same
    moments, as scenarios do whose steps wait for times alone.
    """
    from fawnwharf.testbed import compare as comparing

    pairs = _run_pairs([side(one, front_ends), side(other, front_ends)], range(first, first + seeds))
    if not pairs.one:
        typer.echo("verdict: broken ground: no pair of runs")
        raise typer.Exit(1)
    _show_pairs(pairs, one, other)
    if out:
        folder = Path(out)
        folder.mkdir(parents=True, exist_ok=True)
        typer.echo(f"kept: {comparing.table(pairs, folder)}, {comparing.chart(pairs, (one, other), folder)}")
    broken = [m for m in [*pairs.one, *pairs.other] if m.verdict.broken]
    typer.echo(f"verdict: broken in {len(broken)} runs" if broken else "verdict: kept")
    raise typer.Exit(1 if broken else 0)


def _run_pairs(sides: list[Any], seeds: Iterable[int]) -> Any:
    """Runs of both sides by seed; seeds at which the test bed failed are left out."""
    from fawnwharf.testbed import compare as comparing
    from fawnwharf.testbed.run import LabError
    from fawnwharf.testbed.run import run as run_it

    pairs = comparing.Pairs([], [])
    for seed in seeds:
        try:
            runs = [run_it(each, seed) for each in sides]
        except LabError as error:
            typer.echo(f"seed {seed} left out, the ground gave way: {error}")
            continue
        pairs.one.append(runs[0])
        pairs.other.append(runs[1])
        told = "  ".join(f"{measures.service():.4f} {measures.verdict.line()}" for measures in runs)
        typer.echo(f"seed {seed:3}  {told}")
    return pairs


def _show_pairs(pairs: Any, one: str, other: str) -> None:
    from fawnwharf.testbed import compare as comparing

    typer.echo(f"{len(pairs.one)} pairs; differences are {one} less {other}, with 95 % intervals")
    for name, of in comparing.figures(pairs).items():
        difference = pairs.difference(of)
        means = "  ".join(f"{sum(map(of, side)) / len(side):.4f}" for side in (pairs.one, pairs.other))
        says = difference.says if name == "service" else ""
        typer.echo(f"{name:16} {difference}  of {means}  {says}".rstrip())
    acted = [m.acted for m in pairs.one if m.acted]
    for name, part in {"half acted": 0.5, "all acted": 1.0}.items():
        if acted:
            spans = comparing.bootstrap([a[min(len(a) - 1, int(part * len(a)))] for a in acted])
            typer.echo(f"{name:15} {spans} s after the loss")
    for n, mine, theirs, difference in pairs.by_second():
        typer.echo(f"{n:4} s  {mine:6.3f}  {theirs:6.3f}  {difference}")


@app.command()
def modes(
    name: str,
    of: Annotated[str, typer.Option("--of", help="Modes of foresight; differences are from the first.")] = (
        "none,react,everything,foresight,oracle"
    ),
    seeds: int = 10,
    first: int = 1,
    out: Annotated[str, typer.Option("--out", help="File that gets a line of JSON a run.")] = "",
) -> None:
    """Run a scenario of sessions in each mode of foresight by the same seeds; status 1 if a rule broke."""
    from fawnwharf.testbed import compare as comparing
    from fawnwharf.testbed.run import LabError
    from fawnwharf.testbed.run import run as run_it

    words = of.split(",")
    sides = {word: side(f"{name}:{word}") for word in words}
    found: dict[str, list[Any]] = {word: [] for word in words}
    for seed in range(first, first + seeds):
        try:
            runs = {word: run_it(scenario, seed) for word, scenario in sides.items()}
        except LabError as error:
            typer.echo(f"seed {seed} left out, the ground gave way: {error}")
            continue
        held = max(measures.held for measures in runs.values())
        for word, measures in runs.items():
            if held <= comparing.HELD:
                found[word].append(measures)
            typer.echo(f"seed {seed:3}  {word:10}  {measures.service():.4f}  {measures.verdict.line()}")
            if out:
                _add_row(out, comparing.row(word, measures))
        if held > comparing.HELD:
            typer.echo(f"seed {seed} left out, the machine held the lab up for {held:.2f} of a run")
    if not found[words[0]]:
        typer.echo("verdict: broken ground: no run of all modes")
        raise typer.Exit(1)
    for line in comparing.by_mode(found):
        typer.echo(line)
    broken = sum(bool(m.verdict.broken) for runs in found.values() for m in runs)
    typer.echo(f"verdict: broken in {broken} runs" if broken else "verdict: kept")
    raise typer.Exit(1 if broken else 0)


def _add_row(path: str, row: Any) -> None:
    with open(path, "ab") as file:
        file.write(msgspec.json.encode(row, enc_hook=str) + b"\n")


@app.command()
def explore(states: int = 30_000, plant: str = "") -> None:
    """Search the voters' states for anything that must not be; status 1 where something is found."""
    from fawnwharf.consensus.voter import Voter
    from fawnwharf.testbed.explore import Bounds, Explorer

    bounds = {
        "no kills": Bounds(depth=40, kills=0, repeats=0, patience=2, beats=0, plans=1, states=states),
        "one kill": Bounds(depth=40, kills=1, repeats=0, patience=2, beats=0, plans=0, states=states),
        "voters exchanged": Bounds(
            depth=40, kills=0, repeats=0, patience=2, beats=0, plans=0, changes=1, states=states
        ),
    }
    for name, bound in bounds.items():
        found = Explorer(Voter, ("a", "b", "c", "d"), bound, members=3).search()
        typer.echo(
            f"{name:18} {found.states} states, {found.depth} steps deep  {found.broken or 'nothing broken'}"
        )
        if found.broken:
            typer.echo(json.dumps(found.path, indent=1))
            raise typer.Exit(1)


@app.command()
def walk(steps: int = 100_000, seeds: int = 10, first: int = 1) -> None:
    """Random walks of voters in virtual time; status 1 where something breaks."""
    from fawnwharf.consensus.voter import Voter
    from fawnwharf.testbed.walk import STORM, Walk

    total = 0
    for seed in range(first, first + seeds):
        outcome = Walk(Voter, (3, 5, 7)[seed % 3], seed, STORM, seed % 4).run(steps)
        total += outcome.steps
        if outcome.broken:
            typer.echo(f"seed {seed}: {outcome.broken}")
            raise typer.Exit(1)
    typer.echo(f"{total} steps, nothing broken")


@app.command()
def promises(
    seeds: int = 100,
    first: int = 1,
    seconds: float = 10.0,
    zones: Annotated[str, typer.Option(help="The zone of each front end, a letter each.")] = "abcabc",
    storm: Annotated[bool, typer.Option("--storm", help="With faults of all kinds all the time.")] = False,
) -> None:
    """Walks of calls that are kept together, in virtual time; status 1 where one runs twice."""
    from fawnwharf.testbed.promises import STORM, Outcome, Walk, Weather

    total, healed = Outcome(), []
    for seed in range(first, first + seeds):
        found = Walk(seed, STORM if storm else Weather(), zones).run(seconds)
        if found.broken:
            typer.echo(f"seed {seed}: {found.broken}")
            raise typer.Exit(1)
        healed.append(found.healed_ms)
        for name in ("calls", "lines", "kills", "runs"):
            setattr(total, name, getattr(total, name) + getattr(found, name))
        total.ends += found.ends
    healed.sort()
    ends = "  ".join(f"{name} {count}" for name, count in sorted(total.ends.items()))
    typer.echo(
        f"{seeds} walks  {total.calls} calls  {total.runs} runs  {total.kills} kills  {total.lines} lines"
    )
    typer.echo(f"ends: {ends}")
    half, most = healed[len(healed) // 2], healed[-1]
    typer.echo(f"keepers hold the same {half:.0f} ms (median), {most:.0f} ms (most) after the last fault")
    typer.echo("nothing broken")
