"""`fawnwharf zones`: commands by which operators inspect the fleet's zones and request drains."""

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

app = typer.Typer(no_args_is_help=True, help="Failover between zones.")
ZonesOption = Annotated[
    str, typer.Option("--zones", help="The settings of zones that this member serves with.")
]
WaitOption = Annotated[float, typer.Option("--wait", help="Seconds to wait for the fleet's decision.")]

READ_TIMEOUT_S = 3.0  # for a member's log
POLL_INTERVAL_S = 0.2  # between reads of the plan while waiting for a decision


@dataclass(frozen=True)
class _MemberView:
    """The current plan and report in a member's log, as decoded JSON."""

    plan_index: int | None = None  # None while the member knows no plan
    plan: dict[str, Any] = field(default_factory=dict)
    report: dict[str, Any] = field(default_factory=dict)

    def zone_state(self, zone: str) -> str | None:
        """The decided state of a zone; None if it is unknown."""
        state: str | None = self.plan.get("zones", {}).get(zone, {}).get("state")
        return state


def _read_member(settings: s.ZoneSettings, membership: s.Membership, member: str) -> _MemberView:
    """Read the last plan and report in a member's log; raise OSError or ValueError if that fails."""
    lines = read_latest_entries(log_address(settings, membership, member), ("plan", "report"), READ_TIMEOUT_S)
    report = lines.get("report", {}).get("report", {})
    if "plan" not in lines:
        return _MemberView(report=report)
    return _MemberView(lines["plan"]["index"], json.loads(lines["plan"]["plan"]), report)


def _view_or_exit(path: str, member: str) -> _MemberView:
    """Read a member's log; exit with status 1 if it cannot be read."""
    settings, membership = read_files(path)
    try:
        return _read_member(settings, membership, member)
    except (OSError, ValueError) as error:
        fail(f"zones: no answer: {error}", 1)


@app.command()
def show(zones: ZonesOption, member: MemberOption = "") -> None:
    """Show the decided state of each zone as a member knows it, and the member's evidence on it."""
    view = _view_or_exit(zones, member)
    index = "none known" if view.plan_index is None else view.plan_index
    typer.echo(f"member {view.report.get('name', '?')}  plan {index}")
    planned = view.plan.get("zones", {})
    evidence = view.report.get("seen", {})
    for name in sorted({*planned, *evidence}):
        typer.echo(_zone_line(name, planned.get(name, {}), evidence.get(name, {})))
    for source, target in view.plan.get("apart", ()):
        typer.echo(f"apart: {source} does not reach {target}")


def _zone_line(name: str, zone: dict[str, Any], evidence: dict[str, Any]) -> str:
    """The line that describes one zone to operators."""
    observations = "  ".join(f"{kind} {count}" for kind, count in evidence.items() if count) or "no signs"
    reason = f"  ({zone['why']})" if zone.get("why") else ""
    state, fraction = zone.get("state", "-"), zone.get("share", 1.0)
    return f"{name:12} {state:10} share {fraction:4.2f}  {observations}{reason}"


@app.command("plan")
def show_plan(zones: ZonesOption, member: MemberOption = "") -> None:
    """Print the decided plan as JSON."""
    view = _view_or_exit(zones, member)
    if view.plan_index is None:
        fail("zones: this member knows no plan", 1)
    typer.echo(json.dumps({"index": view.plan_index} | view.plan, indent=1))


@app.command()
def drain(zone: str, zones: ZonesOption, wait: WaitOption = 15.0) -> None:
    """Ask the fleet to drain a zone; it decides this by consensus, like any other change."""
    _request_drain_change(zones, zone, wait, drained=True)


@app.command("restore")
def undrain(zone: str, zones: ZonesOption, wait: WaitOption = 15.0) -> None:
    """Ask the fleet to return a drained zone to service."""
    _request_drain_change(zones, zone, wait, drained=False)


def _request_drain_change(path: str, zone: str, wait_s: float, *, drained: bool) -> None:
    """Write an operator request, and wait until the fleet has decided accordingly."""
    settings, membership = read_files(path)
    request_path = settings.operator_request_path(Path(path).parent)
    try:
        request = _next_request(request_path, set(membership.zones), zone, drained=drained)
    except s.SettingsFileError as error:
        fail(f"zones: {error}")
    (Path(path).parent / settings.state_folder).mkdir(parents=True, exist_ok=True)
    temporary_path = request_path.with_suffix(".new")
    temporary_path.write_text(json.dumps(msgspec.to_builtins(request)))
    temporary_path.rename(request_path)
    typer.echo(f"asked: {', '.join(request.drained) or 'no zone'} drained")
    states = (DRAINING, OUT) if drained else (RECOVERING, SERVING)
    if not _wait_for_state(settings, membership, zone, states, wait_s):
        fail(f"zones: not decided within {wait_s:g} s; the request remains in force", 1)


def _next_request(path: Path, zones: set[str], zone: str, *, drained: bool) -> s.DrainRequest:
    """The present request with a zone added or removed; raises SettingsFileError for an invalid one."""
    previous_request = s.DrainRequest()
    if path.exists():
        previous_request = s.operator_request_from(path.read_bytes(), zones)
    drained_zones = {*previous_request.drained, zone} if drained else {*previous_request.drained} - {zone}
    number = max(previous_request.number + 1, int(time.time()))  # later than any other member's request
    document = {"version": s.VERSION, "number": number, "drained": sorted(drained_zones)}
    return s.operator_request_from(document, zones)


def _wait_for_state(
    settings: s.ZoneSettings, membership: s.Membership, zone: str, states: Collection[str], wait_s: float
) -> bool:
    """Wait until the fleet has decided one of these states for a zone; False if it does not in time."""
    deadline_s = time.monotonic() + wait_s
    while time.monotonic() < deadline_s:
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
def bootstrap_fleet(name: str, zones: ZonesOption) -> None:
    """Bootstrap a new fleet: once, at one voter, before it starts. The other voters join by themselves."""
    from fawnwharf.zones.bootstrap import bootstrap

    try:
        typer.echo(f"founded: {bootstrap(zones, name)} is the first voter")
    except ConfigError as error:
        fail(str(error))


@app.command()
def check(zones: ZonesOption) -> None:
    """Read and check the settings and the membership file."""
    settings, membership = read_files(zones)
    voters = ", ".join(voter.name for voter in membership.voters)
    typer.echo(
        f"fawnwharf: good: {len(membership.members)} members, zones {', '.join(membership.zones)}, "
        f"voters {voters}"
    )
    if settings.operator_request_file or settings.operator_request_path(Path(zones).parent).exists():
        typer.echo("operator requests exist; see zones show")
