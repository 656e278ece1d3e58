"""`fawnwharf zones`: what operators see of the fleet's zones, and what they ask of it."""

import json
import time
from pathlib import Path
from typing import Annotated, Any

import typer

from fawnwharf.config import ConfigError
from fawnwharf.zones import settings as s
from fawnwharf.zones.command_helpers import MemberOption, current_lines, fail, log_address, read_files

app = typer.Typer(no_args_is_help=True, help="Zones that are decided in common.")
File = Annotated[str, typer.Option("--zones", help="The settings of zones that this member serves with.")]
Wait = Annotated[float, typer.Option("--wait", help="Seconds to wait for the fleet's decision.")]


def look(place: tuple[str, int], within_s: float = 3.0) -> dict[str, Any]:
    """The current lines of a member's log.

    Its last plan and report. Raises OSError where it can't be read.
    """
    return current_lines(place, ("plan", "report"), within_s)


def _look(path: str, member: str) -> dict[str, Any]:
    settings, members = read_files(path)
    try:
        return look(log_address(settings, members, member))
    except (OSError, ValueError) as error:
        fail(f"zones: no answer: {error}", 1)
    return {}


@app.command()
def show(zones: File, member: MemberOption = "") -> None:
    """The zones as a member knows them decided, and what it sees of each."""
    found = _look(zones, member)
    line, report = found.get("plan"), found.get("report", {}).get("report", {})
    plan = json.loads(line["plan"]) if line else {"zones": {}}
    typer.echo(f"member {report.get('name', '?')}  plan {line['index'] if line else 'none known'}")
    seen = report.get("seen", {})
    for name in sorted({*plan["zones"], *seen}):
        zone, signs = plan["zones"].get(name, {}), seen.get(name, {})
        told = "  ".join(f"{kind} {count}" for kind, count in signs.items() if count) or "no signs"
        why = f"  ({zone['why']})" if zone.get("why") else ""
        typer.echo(f"{name:12} {zone.get('state', '-'):10} share {zone.get('share', 1.0):4.2f}  {told}{why}")
    for near, far in plan.get("apart", ()):
        typer.echo(f"apart: {near} does not reach {far}")


@app.command()
def plan(zones: File, member: MemberOption = "") -> None:
    """The decided plan, as JSON."""
    line = _look(zones, member).get("plan")
    if line is None:
        fail("zones: this member knows no plan", 1)
    typer.echo(json.dumps({"index": line["index"]} | json.loads(line["plan"]), indent=1))


def _wish(path: str, change: Any, zone: str, states: tuple[str, ...], wait_s: float) -> None:
    settings, members = read_files(path)
    base = Path(path).parent
    folder = base / settings.folder
    place = base / settings.wishes if settings.wishes else folder / "wishes.json"
    try:
        before = (
            s.operator_request_from(place.read_bytes(), set(members.zones))
            if place.exists()
            else s.OperatorRequest()
        )
        number = max(before.number + 1, int(time.time()))  # later than any other member's wish
        wanted = {"version": 1, "number": number, "drained": sorted(change(set(before.drained)))}
        s.operator_request_from(wanted, set(members.zones))
    except s.SettingsFileError as error:
        fail(f"zones: {error}")
    folder.mkdir(parents=True, exist_ok=True)
    beside = place.with_suffix(".new")
    beside.write_text(json.dumps(wanted))
    beside.rename(place)
    typer.echo(f"asked: {', '.join(wanted['drained']) or 'no zone'} drained")
    end = time.monotonic() + wait_s
    while time.monotonic() < end:
        try:
            line = look(log_address(settings, members, "")).get("plan")
        except (OSError, ValueError):
            line = None
        state = json.loads(line["plan"])["zones"].get(zone, {}).get("state") if line else None
        if state in states:
            typer.echo(f"decided: {zone} is {state}, plan {line['index']}")
            return
        time.sleep(0.2)
    fail(f"zones: not decided within {wait_s:g} s; the wish stands", 1)


@app.command()
def drain(zone: str, zones: File, wait: Wait = 15.0) -> None:
    """Ask the fleet to take a zone out; it goes through the same decision as all else."""
    _wish(zones, lambda drained: drained | {zone}, zone, ("leaving", "out"), wait)


@app.command()
def restore(zone: str, zones: File, wait: Wait = 15.0) -> None:
    """Ask the fleet to take a drained zone back."""
    _wish(zones, lambda drained: drained - {zone}, zone, ("returning", "serving"), wait)


@app.command()
def found(name: str, zones: File) -> None:
    """Begin a new fleet: once, at one voter, before it is started. The other voters join it by themselves."""
    from fawnwharf.zones.bootstrap import bootstrap as begin

    try:
        typer.echo(f"founded: {begin(zones, name)} is the first voter")
    except ConfigError as error:
        fail(str(error))


@app.command()
def check(zones: File) -> None:
    """Read and check the settings and the file of members."""
    settings, members = read_files(zones)
    voters = ", ".join(voter.name for voter in members.voters)
    typer.echo(
        f"fawnwharf: good: {len(members.members)} members, zones {', '.join(members.zones)}, voters {voters}"
    )
    if settings.wishes or (Path(zones).parent / settings.folder / "wishes.json").exists():
        typer.echo("wishes stand; see zones show")
