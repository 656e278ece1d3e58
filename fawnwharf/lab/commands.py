"""`fawnwharf lab`: trials of many processes together, with faults put between them."""

import json
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from fawnwharf.lab import scenario as scenarios

app = typer.Typer(no_args_is_help=True, help="Trials of many front ends together.")
Seed = Annotated[int, typer.Option("--seed", help="Draws load, work and whom chance hits.")]
Fronts = Annotated[int, typer.Option("--front-ends", help="In each zone, in place of the scenario's.")]
Out = Annotated[str, typer.Option("--out", help="Folder for files, logs and the table of the run.")]
Alone = Annotated[bool, typer.Option("--alone", help="Without the decision in common.")]


def load(name: str, front_ends: int = 0, alone: bool = False) -> scenarios.Scenario:
    """A scenario as the options change it; ends with status 2 and one line where it is faulty."""
    try:
        found = scenarios.load(name)
    except scenarios.ScenarioFault as error:
        typer.echo(f"fawnwharf: lab: {error}", err=True)
        raise typer.Exit(2) from None
    if front_ends:
        zones = {
            name: msgspec.structs.replace(zone, front_ends=front_ends) for name, zone in found.zones.items()
        }
        found = msgspec.structs.replace(found, zones=zones)
    return msgspec.structs.replace(found, decide=found.decide and not alone)


def report(measures: Any) -> None:
    found = measures
    how = "decided in common" if found.decided else "each on its own"
    typer.echo(f"{found.scenario}  seed {found.seed}  {how}")
    marks = sorted(found.marks.items(), key=lambda mark: mark[1])
    names = {int(at): name for name, at in marks if at >= 0}
    for n, second in enumerate(found.seconds):
        if second.requests:
            part = second.served / second.asked
            typer.echo(
                f"{n:4} s  {second.requests:4} calls  in time {part:5.3f}  refused {second.refused:3}"
                f"  failed {second.failed:3}  late {second.late:3}  {names.get(n, '')}".rstrip()
            )
    typer.echo(f"service {found.service():.4f}  crossing {found.crossing:.3f}  " + "  ".join(
        f"{name} {value} ms" for name, value in found.percentiles.items()))  # fmt: skip
    typer.echo("ends " + "  ".join(f"{name} {count}" for name, count in sorted(found.outcomes.items())))
    typer.echo(f"store {found.fetches} fetches, {found.worst_fetches} at once; {found.fell} scorers fell")
    typer.echo(
        "checked " + "  ".join(f"{name} {count}" for name, count in sorted(found.verdict.checked.items()))
    )
    for text in found.verdict.broken[:10]:
        typer.echo(f"broken: {text}")


@app.command("list")
def list_() -> None:
    """The scenarios that come with the project."""
    for name in scenarios.names():
        typer.echo(f"{name:24} {scenarios.load(name).about}")


@app.command()
def run(name: str, seed: Seed = 1, front_ends: Fronts = 0, out: Out = "", alone: Alone = False) -> None:
    """Run a scenario once. Status 0 where all rules were kept, 1 where one was broken, 2 for bad input."""
    from fawnwharf.lab.run import LabFault
    from fawnwharf.lab.run import run as run_it

    scenario = load(name, front_ends, alone)
    folder = Path(out) if out else None
    if folder:
        folder.mkdir(parents=True, exist_ok=True)
    try:
        measures = run_it(scenario, seed, folder)
    except LabFault as error:
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
def explore(states: int = 30_000, plant: str = "") -> None:
    """Search the voters' states for anything that must not be; status 1 where something is found."""
    from fawnwharf.accord.voter import Voter
    from fawnwharf.lab.explore import Bounds, Explorer

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
    from fawnwharf.accord.voter import Voter
    from fawnwharf.lab.walk import STORM, Walk

    total = 0
    for seed in range(first, first + seeds):
        outcome = Walk(Voter, (3, 5, 7)[seed % 3], seed, STORM, seed % 4).run(steps)
        total += outcome.steps
        if outcome.broken:
            typer.echo(f"seed {seed}: {outcome.broken}")
            raise typer.Exit(1)
    typer.echo(f"{total} steps, nothing broken")
