"""`fawnwharf state`: what operators see of the calls that front ends keep together."""

import json
import socket
import time
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from fawnwharf.config import address_from
from fawnwharf.replication import messages as m
from fawnwharf.replication import settings as s
from fawnwharf.replication.placement import ReplicaPlacement
from fawnwharf.zones.settings import Membership, SettingsFileError, membership_from

LAGS_MOST = 8  # front ends whose lag is shown
app = typer.Typer(no_args_is_help=True, help="Calls that front ends keep together.")
File = Annotated[str, typer.Option("--state", help="The settings of state that this front end serves with.")]
Member = Annotated[str, typer.Option("--member", help="Whose log is read; all keepers' without.")]


def _fail(text: str, status: int = 2) -> None:
    typer.echo(f"fawnwharf: {text}", err=True)
    raise typer.Exit(status)


def _files(path: str) -> tuple[s.ReplicationSettings, Membership]:
    try:
        settings = s.parse_settings(Path(path).read_bytes())
        members = membership_from((Path(path).parent / settings.membership_file).read_bytes())
        s.check_members(members, settings)
    except OSError as error:
        _fail(f"state: {error.filename}: {error.strerror}")
    except SettingsFileError as error:
        _fail(f"state: {path}: {error}")
    return settings, members


def fetch_status(place: str, within_s: float = 3.0) -> m.Status:
    """A front end's last word on itself. Raises OSError where its log can't be read, ValueError where it
    has none."""
    with socket.create_connection(address_from(place, "members.state"), within_s) as sock:
        sock.sendall(b"since 0\n")
        reader, end = sock.makefile("rb"), time.monotonic() + within_s
        while time.monotonic() < end:
            line = reader.readline()
            if not line:
                break
            read = json.loads(line)
            if isinstance(read, dict) and "line" in read:
                say = m.parse_line(read["line"]).message
                if isinstance(say, m.Status):
                    return say
    raise ValueError("it told nothing of itself")


def _look(members: Membership, name: str) -> m.Status | str:
    entry = members.find_member(name)
    if entry is None or not entry.replication_address:
        _fail(f"state: no member {name} with a log of state")
    try:
        return fetch_status(entry.replication_address)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        return str(error) or type(error).__name__


def _standing(status: m.Status) -> str:
    if not status.is_replica:
        return f"keeps nothing, {status.open_calls} calls of its own"
    sure = "grants calls" if status.complete else "NOT SURE: grants nothing until it has heard the others"
    held = f"{status.calls} calls, {status.answer_bytes} bytes of answers, {status.open_calls} of its own"
    return f"{sure}; {held}"


@app.command()
def show(state: File, member: Member = "") -> None:
    """How each keeper stands, or one front end, with what it counted. Status 1 where one gave no answer."""
    settings, members = _files(state)
    placement = ReplicaPlacement(members, settings.replica_zones, settings.replicas_per_zone)
    silent = False
    for name in [member] if member else placement.replicas:
        found = _look(members, name)
        if isinstance(found, str):
            silent = True
            typer.echo(f"{name:16} no answer: {found}")
            continue
        typer.echo(f"{name:16} members {found.membership_number}  {_standing(found)}")
        half, most = found.wait_ms
        typer.echo(
            f"{'':16} calls wait {half:g} ms (median), {most:g} ms (99 %); {found.sent_bytes} bytes sent"
        )
        if found.lags_ms:
            slow = sorted(found.lags_ms.items(), key=lambda lag: -lag[1])[:LAGS_MOST]
            lags = "  ".join(f"{who} {lag:g}" for who, lag in slow)
            typer.echo(f"{'':16} ms since the last sign of each it follows, the longest first: {lags}")
        for cause, count in sorted(found.counts.items()):
            typer.echo(f"{'':16} {cause}: {count}")
    if silent:
        raise typer.Exit(1)


@app.command()
def digest(state: File, member: Annotated[str, typer.Option("--member")]) -> None:
    """What a keeper holds, summed up by owner, as JSON."""
    _, members = _files(state)
    found = _look(members, member)
    if isinstance(found, str):
        _fail(f"state: {member}: no answer: {found}", 1)
    typer.echo(json.dumps(msgspec.to_builtins(found.buckets), indent=1, sort_keys=True))


def differences(one: m.Status, other: m.Status) -> list[str]:
    """Owners of whose claims two keepers hold different ones, where both tell of the same slots."""
    found = []
    for owner in sorted(one.buckets.keys() & other.buckets.keys()):
        mine, theirs = one.buckets[owner], other.buckets[owner]
        if (mine.first, mine.until) == (theirs.first, theirs.until) and mine.digest != theirs.digest:
            found.append(f"{owner}: seconds {mine.first} to {mine.until} differ")
    return found


@app.command()
def diff(
    state: File,
    one: str,
    other: str,
    looks: Annotated[
        int, typer.Option("--looks", help="A difference counts when each fetch_status finds it.")
    ] = 3,
) -> None:
    """Whether two keepers that share all calls hold the same. Status 1 where they differ, 2 without an
    answer."""
    _, members = _files(state)
    lasting: set[str] | None = None
    for n in range(looks):
        if n:
            time.sleep(2.1)  # each tells of itself every two seconds
        statuses: list[Any] = [_look(members, name) for name in (one, other)]
        for name, found in zip((one, other), statuses, strict=True):
            if isinstance(found, str):
                _fail(f"state: {name}: no answer: {found}")
        told = set(differences(*statuses))
        lasting = told if lasting is None else {t for t in told if t.split(":")[0] in owners(lasting)}
        if not lasting:
            typer.echo(f"{one} and {other} hold the same")
            return
    for text in sorted(lasting or ()):
        typer.echo(text)
    raise typer.Exit(1)


def owners(texts: set[str]) -> set[str]:
    return {text.split(":")[0] for text in texts}


@app.command()
def check(state: File) -> None:
    """Read and check the settings and the file of members, and say who keeps."""
    settings, members = _files(state)
    placement = ReplicaPlacement(members, settings.replica_zones, settings.replicas_per_zone)
    keepers = "; ".join(f"{zone}: {', '.join(names)}" for zone, names in sorted(placement.by_zone.items()))
    typer.echo(f"fawnwharf: good: {len(members.members)} members, keepers {keepers}")
