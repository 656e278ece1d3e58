"""The commands `fawnwharf state ...`, with which operators inspect replicated calls."""

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

MAX_SHOWN_LAGS = 8
COMPARISON_INTERVAL_S = 2.1  # each front end publishes its status every two seconds

app = typer.Typer(no_args_is_help=True, help="Inspect the calls that front ends replicate.")
File = Annotated[str, typer.Option("--state", help="The front end's settings file of replicated state.")]
Member = Annotated[str, typer.Option("--member", help="The member whose log is read; default: all replicas.")]
ComparisonCount = Annotated[int, typer.Option("--looks", help="How many comparisons must show a difference.")]


class _StatusUnavailableError(Exception):
    """A front end's status could not be read; the text is the reason."""


def _fail(text: str, status: int = 2) -> NoReturn:
    typer.echo(f"fawnwharf: {text}", err=True)
    raise typer.Exit(status)


def _read_files(path: str) -> tuple[s.ReplicationSettings, Membership]:
    """Read the settings and the membership; ends the command with an error if either is invalid."""
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
    """Fetch a member's status; raises _StatusUnavailableError, and ends the command for an unknown member."""
    entry = membership.find_member(name)
    if entry is None or not entry.replication_address:
        _fail(f"state: no member {name} with a log of state")
    try:
        return fetch_status(entry.replication_address)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        raise _StatusUnavailableError(str(error) or type(error).__name__) from None


def _role(status: m.Status) -> str:
    """Describe whether a front end is a replica, whether it grants calls, and what it stores."""
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
        longest = sorted(status.lags_ms.items(), key=lambda lag: -lag[1])[:MAX_SHOWN_LAGS]
        lags = "  ".join(f"{who} {lag_ms:g}" for who, lag_ms in longest)
        typer.echo(f"{'':16} ms since each followed member was last heard, longest first: {lags}")
    for counter, count in sorted(status.counts.items()):
        typer.echo(f"{'':16} {counter}: {count}")


@app.command()
def show(state: File, member: Member = "") -> None:
    """Show the state and counters of each replica or of one front end. Status 1 if one gave no answer."""
    settings, membership = _read_files(state)
    unavailable = False
    for name in [member] if member else _placement(settings, membership).replicas:
        try:
            status = _status(membership, name)
        except _StatusUnavailableError as error:
            unavailable = True
            typer.echo(f"{name:16} no answer: {error}")
        else:
            _show_status(name, status)
    if unavailable:
        raise typer.Exit(1)


@app.command()
def digest(state: File, member: Annotated[str, typer.Option("--member")]) -> None:
    """Print the digests of the claims that a replica stores, by owner, as JSON."""
    _, membership = _read_files(state)
    try:
        status = _status(membership, member)
    except _StatusUnavailableError as error:
        _fail(f"state: {member}: no answer: {error}", 1)
    typer.echo(json.dumps(msgspec.to_builtins(status.buckets), indent=1, sort_keys=True))


def differences(one: m.Status, other: m.Status) -> dict[str, str]:
    """The owners whose claims differ between two replicas that have digests of the same buckets."""
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
        except _StatusUnavailableError as error:
            _fail(f"state: {name}: no answer: {error}")
    return differences(*statuses)


@app.command()
def diff(state: File, one: str, other: str, comparisons: ComparisonCount = 3) -> None:
    """Compare the claims that two replicas store. Status 1 if they differ, 2 if one gave no answer."""
    _, membership = _read_files(state)
    lasting: dict[str, str] | None = None
    for index in range(comparisons):
        if index:
            time.sleep(COMPARISON_INTERVAL_S)
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
    """Check the settings and the membership, and show the replicas."""
    settings, membership = _read_files(state)
    by_zone = sorted(_placement(settings, membership).by_zone.items())
    replicas = "; ".join(f"{zone}: {', '.join(names)}" for zone, names in by_zone)
    typer.echo(f"fawnwharf: good: {len(membership.members)} members, replicas {replicas}")
