"""`fawnwharf zones`: what operators see of the fleet's zones, and what they request of it."""

import json
import time
from collections.abc import Collection
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from fawnwharf.config import ConfigError
from fawnwharf.zones import settings as s
from fawnwharf.zones.command_helpers import MemberOption, fail, log_address, read_files, read_latest_entries
from fawnwharf.zones.plan import DRAINING, OUT, RECOVERING, SERVING

app = typer.Typer(no_args_is_help=True, help="Zones that are decided in common.")
File = Annotated[str, typer.Option("--zones", help="The settings of zones that this member serves with.")]
Wait = Annotated[float, typer.Option("--wait", help="Seconds to wait for the fleet's decision.")]

READ_WITHIN_S = 3.0  # a member's log
POLL_INTERVAL_S = 0.2  # while waiting for a decision


@dataclass(frozen=True)
class _MemberView:
    """What a member's log says at the moment, as decoded JSON."""

    plan_index: int | None = None  # None while the member knows no plan
    plan: dict[str, Any] = field(default_factory=dict)
    report: dict[str, Any] = field(default_factory=dict)

    def zone_state(self, zone: str) -> str | None:
        """The decided state of a zone, where it is known."""
        state: str | None = self.plan.get("zones", {}).get(zone, {}).get("state")
        return state


def _read_member(settings: s.ZoneSettings, membership: s.Membership, member: str) -> _MemberView:
    """The last plan and report in a member's log; raises OSError or ValueError where it cannot be read."""
    lines = read_latest_entries(log_address(settings, membership, member), ("plan", "report"), READ_WITHIN_S)
    report = lines.get("report", {}).get("report", {})
    if "plan" not in lines:
        return _MemberView(report=report)
    return _MemberView(lines["plan"]["index"], json.loads(lines["plan"]["plan"]), report)


def _view_of(path: str, member: str) -> _MemberView:
    """The same; exits with status 1 where the log cannot be read."""
    settings, membership = read_files(path)
    try:
        return _read_member(settings, membership, member)
    except (OSError, ValueError) as error:
        fail(f"zones: no answer: {error}", 1)


@app.command()
def show(zones: File, member: MemberOption = "") -> None:
    """The zones as a member knows them decided, and what it sees of each."""
    view = _view_of(zones, member)
    index = "none known" if view.plan_index is None else view.plan_index
    typer.echo(f"member {view.report.get('name', '?')}  plan {index}")
    planned = view.plan.get("zones", {})
    evidence = view.report.get("seen", {})
    for name in sorted({*planned, *evidence}):
        typer.echo(_zone_line(name, planned.get(name, {}), evidence.get(name, {})))
    for source, target in view.plan.get("apart", ()):
        typer.echo(f"apart: {source} does not reach {target}")


def _zone_line(name: str, zone: dict[str, Any], evidence: dict[str, Any]) -> str:
    """One zone as operators see it."""
    signs = "  ".join(f"{kind} {count}" for kind, count in evidence.items() if count) or "no signs"
    reason = f"  ({zone['why']})" if zone.get("why") else ""
    state, fraction = zone.get("state", "-"), zone.get("share", 1.0)
    return f"{name:12} {state:10} share {fraction:4.2f}  {signs}{reason}"


@app.command("plan")
def show_plan(zones: File, member: MemberOption = "") -> None:
    """The decided plan, as JSON."""
    view = _view_of(zones, member)
    if view.plan_index is None:
        fail("zones: this member knows no plan", 1)
    typer.echo(json.dumps({"index": view.plan_index} | view.plan, indent=1))


@app.command()
def drain(zone: str, zones: File, wait: Wait = 15.0) -> None:
    """Ask the fleet to take a zone out; it goes through the same decision as all else."""
    _request(zones, zone, wait, drained=True)


@app.command("restore")
def undrain(zone: str, zones: File, wait: Wait = 15.0) -> None:
    """Ask the fleet to take a drained zone back."""
    _request(zones, zone, wait, drained=False)


def _request(path: str, zone: str, wait_s: float, *, drained: bool) -> None:
    """Write an operator request, and wait until the fleet has decided as it says."""
    settings, membership = read_files(path)
    request_path = settings.operator_request_path(Path(path).parent)
    try:
        request = _next_request(request_path, set(membership.zones), zone, drained=drained)
    except s.SettingsFileError as error:
        fail(f"zones: {error}")
    (Path(path).parent / settings.state_folder).mkdir(parents=True, exist_ok=True)
    beside = request_path.with_suffix(".new")
    beside.write_text(json.dumps(msgspec.to_builtins(request)))
    beside.rename(request_path)
    typer.echo(f"asked: {', '.join(request.drained) or 'no zone'} drained")
    states = (DRAINING, OUT) if drained else (RECOVERING, SERVING)
    if not _wait_for_state(settings, membership, zone, states, wait_s):
        fail(f"zones: not decided within {wait_s:g} s; the wish stands", 1)


def _next_request(path: Path, zones: set[str], zone: str, *, drained: bool) -> s.DrainRequest:
    """The request that also drains a zone, or no longer; raises SettingsFileError for an invalid one."""
    before = s.DrainRequest()
    if path.exists():
        before = s.operator_request_from(path.read_bytes(), zones)
    wanted = {*before.drained, zone} if drained else {*before.drained} - {zone}
    number = max(before.number + 1, int(time.time()))  # later than any other member's request
    document = {"version": s.VERSION, "number": number, "drained": sorted(wanted)}
    return s.operator_request_from(document, zones)


def _wait_for_state(
    settings: s.ZoneSettings, membership: s.Membership, zone: str, states: Collection[str], wait_s: float
) -> bool:
    """Wait until a zone is decided to be in one of these states; False where it is not in time."""
    end = time.monotonic() + wait_s
    while time.monotonic() < end:
        try:
            view = _read_member(settings, membership, "")
        except (OSError, ValueError):
            view = _MemberView()
        state = view.zone_state(zone)
        if state in states:
            typer.echo(f"decided: {zone} is {state}, plan {view.plan_index}")
            return True
        time.sleep(POLL_INTERVAL_S)
    return False


@app.command("found")
def bootstrap_fleet(name: str, zones: File) -> None:
    """Begin a new fleet: once, at one voter, before it is started. The other voters join it by themselves."""
    from fawnwharf.zones.bootstrap import bootstrap

    try:
        typer.echo(f"founded: {bootstrap(zones, name)} is the first voter")
    except ConfigError as error:
        fail(str(error))


@app.command()
def check(zones: File) -> None:
    """Read and check the settings and the file of members."""
    settings, membership = read_files(zones)
    voters = ", ".join(voter.name for voter in membership.voters)
    typer.echo(
        f"fawnwharf: good: {len(membership.members)} members, zones {', '.join(membership.zones)}, "
        f"voters {voters}"
    )
    if settings.operator_request_file or settings.operator_request_path(Path(zones).parent).exists():
        typer.echo("wishes stand; see zones show")
