"""`fawnwharf state`: what operators see of replicated calls."""

import json
import time
from pathlib import Path
from typing import Annotated, NoReturn

import msgspec
import typer

from fawnwharf.replication import messages as m
from fawnwharf.replication import settings as s
from fawnwharf.replication.log_reading import fetch_status
from fawnwharf.replication.placement import ReplicaPlacement
from fawnwharf.zones.settings import Membership, SettingsFileError, membership_from

MAX_LAGS = 8  # front ends whose lag is shown
LOOK_INTERVAL_S = 2.1  # each front end publishes its status every two seconds

app = typer.Typer(no_args_is_help=True, help="Calls that front ends replicate.")
File = Annotated[str, typer.Option("--state", help="The settings of state that this front end serves with.")]
Member = Annotated[str, typer.Option("--member", help="Whose log is read; all replicas' without.")]
Looks = Annotated[int, typer.Option("--looks", help="A difference counts when each look finds it.")]


class _NoAnswerError(Exception):
    """A front end's status can't be had; the text has the reason."""


def _fail(text: str, status: int = 2) -> NoReturn:
    typer.echo(f"fawnwharf: {text}", err=True)
    raise typer.Exit(status)


def _read_files(path: str) -> tuple[s.ReplicationSettings, Membership]:
    """The settings and the membership; ends the command where they can't be taken."""
    try:
        settings = s.parse_settings(Path(path).read_bytes())
        membership = membership_from((Path(path).parent / settings.membership_file).read_bytes())
        s.check_members(membership, settings)
    except OSError as error:
        _fail(f"state: {error.filename}: {error.strerror}")
    except SettingsFileError as error:
        _fail(f"state: {path}: {error}")
    return settings, membership


def _placement(settings: s.ReplicationSettings, membership: Membership) -> ReplicaPlacement:
    return ReplicaPlacement(membership, settings.replica_zones, settings.replicas_per_zone)


def _status(membership: Membership, name: str) -> m.Status:
    """A member's status; raises _NoAnswerError, and ends the command for an unknown member."""
    entry = membership.find_member(name)
    if entry is None or not entry.replication_address:
        _fail(f"state: no member {name} with a log of state")
    try:
        return fetch_status(entry.replication_address)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise _NoAnswerError(str(error) or type(error).__name__) from None


def _role(status: m.Status) -> str:
    """Whether a front end is a replica, whether it grants calls, and what it stores."""
    if not status.is_replica:
        return f"no replica, {status.open_calls} calls of its own"
    grants = (
        "grants calls"
        if status.complete
        else "INCOMPLETE: grants nothing until it has received the others' claims"
    )
    stored = f"{status.calls} calls, {status.answer_bytes} bytes of answers, {status.open_calls} of its own"
    return f"{grants}; {stored}"


def _show_status(name: str, status: m.Status) -> None:
    typer.echo(f"{name:16} members {status.membership_number}  {_role(status)}")
    median_ms, percentile_99_ms = status.wait_ms
    typer.echo(
        f"{'':16} calls wait {median_ms:g} ms (median), {percentile_99_ms:g} ms (99 %); "
        f"{status.sent_bytes} bytes sent"
    )
    if status.lags_ms:
        longest = sorted(status.lags_ms.items(), key=lambda lag: -lag[1])[:MAX_LAGS]
        lags = "  ".join(f"{who} {lag_ms:g}" for who, lag_ms in longest)
        typer.echo(f"{'':16} ms since the last sign of each it follows, the longest first: {lags}")
    for counter, count in sorted(status.counts.items()):
        typer.echo(f"{'':16} {counter}: {count}")


@app.command()
def show(state: File, member: Member = "") -> None:
    """How each replica is, or one front end, with its counters. Status 1 where one gave no answer."""
    settings, membership = _read_files(state)
    silent = False
    for name in [member] if member else _placement(settings, membership).replicas:
        try:
            status = _status(membership, name)
        except _NoAnswerError as error:
            silent = True
            typer.echo(f"{name:16} no answer: {error}")
        else:
            _show_status(name, status)
    if silent:
        raise typer.Exit(1)


@app.command()
def digest(state: File, member: Annotated[str, typer.Option("--member")]) -> None:
    """The digests of what a replica stores, by owner, as JSON."""
    _, membership = _read_files(state)
    try:
        status = _status(membership, member)
    except _NoAnswerError as error:
        _fail(f"state: {member}: no answer: {error}", 1)
    typer.echo(json.dumps(msgspec.to_builtins(status.buckets), indent=1, sort_keys=True))


def differences(one: m.Status, other: m.Status) -> dict[str, str]:
    """Owners of which two replicas store different claims, where both have digests of the same buckets."""
    found: dict[str, str] = {}
    for owner in sorted(one.buckets.keys() & other.buckets.keys()):
        mine, theirs = one.buckets[owner], other.buckets[owner]
        if (mine.first, mine.until) == (theirs.first, theirs.until) and mine.digest != theirs.digest:
            found[owner] = f"{owner}: seconds {mine.first} to {mine.until} differ"
    return found


def _differences_now(membership: Membership, one: str, other: str) -> dict[str, str]:
    statuses: list[m.Status] = []
    for name in (one, other):
        try:
            statuses.append(_status(membership, name))
        except _NoAnswerError as error:
            _fail(f"state: {name}: no answer: {error}")
    return differences(*statuses)


@app.command()
def diff(state: File, one: str, other: str, looks: Looks = 3) -> None:
    """Whether two replicas of the same calls store the same. Status 1 where not, 2 without an answer."""
    _, membership = _read_files(state)
    lasting: dict[str, str] | None = None
    for look in range(looks):
        if look:
            time.sleep(LOOK_INTERVAL_S)
        found = _differences_now(membership, one, other)
        lasting = (
            found if lasting is None else {owner: text for owner, text in found.items() if owner in lasting}
        )
        if not lasting:
            typer.echo(f"{one} and {other} hold the same")
            return
    for text in sorted((lasting or {}).values()):
        typer.echo(text)
    raise typer.Exit(1)


@app.command()
def check(state: File) -> None:
    """Read and check the settings and the membership, and show the replicas."""
    settings, membership = _read_files(state)
    by_zone = sorted(_placement(settings, membership).by_zone.items())
    replicas = "; ".join(f"{zone}: {', '.join(names)}" for zone, names in by_zone)
    typer.echo(f"fawnwharf: good: {len(membership.members)} members, replicas {replicas}")
