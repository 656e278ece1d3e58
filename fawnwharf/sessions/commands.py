"""`fawnwharf sessions`: what operators see of sessions' placements, and what they ask of them."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from fawnwharf.replication import settings as rs
from fawnwharf.replication.log_reading import read_messages
from fawnwharf.replication.messages import ClientMessage
from fawnwharf.sessions import settings as s
from fawnwharf.sessions import words as w
from fawnwharf.zones.settings import Membership, SettingsFileError, membership_from

app = typer.Typer(no_args_is_help=True, help="Sessions that move between sites.")
File = Annotated[str, typer.Option("--sessions", help="The settings of sessions of this front end.")]
StateFile = Annotated[str, typer.Option("--state", help="The settings of state of this front end.")]
Member = Annotated[str, typer.Option("--member", help="This front end's name.")]
Wait = Annotated[float, typer.Option("--wait", help="Seconds to wait for what comes of it.")]


def _fail(text: str, status: int = 2) -> None:
    typer.echo(f"fawnwharf: {text}", err=True)
    raise typer.Exit(status)


def _files(sessions: str, state: str) -> tuple[s.Settings, Path, Membership]:
    """The settings, where wishes are, and who belongs to the fleet."""
    place = sessions
    try:
        settings = s.settings_from(Path(sessions).read_bytes())
        place = state
        kept = rs.parse_settings(Path(state).read_bytes())
        members = membership_from((Path(state).parent / kept.membership_file).read_bytes())
    except OSError as error:
        _fail(f"sessions: {error.filename}: {error.strerror}")
    except SettingsFileError as error:
        _fail(f"sessions: {place}: {error}")
    folder = Path(state).parent / kept.folder if kept.folder else None
    return settings, s.wishes_place(settings, Path(sessions), folder), members


def look(place: str, within_s: float = 3.0) -> w.Status:
    """A front end's last status of its sessions.

    Raises OSError where its log can't be read, ValueError where it has none.
    """
    for message in read_messages(place, within_s):
        if isinstance(message, ClientMessage) and message.client == w.RIDER:
            found = w.word_from(message.message)
            if isinstance(found, w.Status):
                return found
    raise ValueError("it told nothing of sessions")


def _look(members: Membership, name: str) -> w.Status | str:
    entry = members.find_member(name)
    if entry is None or not entry.replication_address:
        _fail(f"sessions: no member {name} with a `state`")
    try:
        return look(entry.replication_address)
    except (OSError, ValueError, msgspec.ValidationError) as error:
        return str(error)


@app.command()
def show(sessions: File, state: StateFile, member: Annotated[str, typer.Option("--member")] = "") -> None:
    """How front ends stand; status 1 where one gave no answer."""
    _, _, members = _files(sessions, state)
    silent = False
    for name in (
        [member] if member else [entry.name for entry in members.members if entry.replication_address]
    ):
        found = _look(members, name)
        if isinstance(found, str):
            silent = True
            typer.echo(f"{name:16} no answer: {found}")
            continue
        keeps = f"  keeps {found.kept}, {'sure' if found.sure else 'not sure'}" if found.keeps else ""
        hands = "  ".join(f"{step} {count}" for step, count in sorted(found.hands.items())) or "none"
        typer.echo(f"{name:16} knows {found.known}, {found.elsewhere} at home elsewhere{keeps}")
        typer.echo(f"{'':16} under way: {hands}; staged {found.staged}")
        for site, count in sorted(found.draining.items()):
            typer.echo(f"{'':16} {site} is emptied, {count} sessions to go")
        for cause, count in sorted(found.counts.items()):
            typer.echo(f"{'':16} {cause}: {count}")
        for cause, count in sorted(found.ended.items()):
            typer.echo(f"{'':16} ended, {cause}: {count}")
        for cause, count in sorted(found.foreseen.items()):
            typer.echo(f"{'':16} foresight, {cause}: {count}")
    if silent:
        raise typer.Exit(1)


def _wish(
    place: Path, members: Membership, change: Callable[[s.Wishes], s.Wishes]
) -> tuple[s.Wishes, Callable[[], None]]:
    """Write what is asked; the second value takes it back."""
    sites = {entry.zone for entry in members.members if entry.replication_address}
    try:
        before = place.read_bytes() if place.exists() else None
        known = s.wishes_from(before, sites) if before is not None else s.Wishes()
        number = max(known.number + 1, int(time.time() * 1000))  # later than any file before
        wanted = msgspec.structs.replace(change(known), number=number)
        s.wishes_from(msgspec.json.encode(wanted), sites)
        place.parent.mkdir(parents=True, exist_ok=True)
    except SettingsFileError as error:
        _fail(f"sessions: {error}")
    except OSError as error:
        _fail(f"sessions: {error.filename}: {error.strerror}")

    def put(data: bytes) -> None:
        beside = place.with_suffix(".new")
        beside.write_bytes(data)
        beside.rename(place)

    put(msgspec.json.encode(wanted))
    return wanted, lambda: put(before) if before is not None else place.unlink(missing_ok=True)


@app.command()
def move(
    org: str, row: str, site: str, sessions: File, state: StateFile, member: Member, wait: Wait = 15.0
) -> None:
    """Hand one session over to a site, by the same steps as any other."""
    _, place, members = _files(sessions, state)
    asked = s.Asked(org, row, site)
    wanted, back = _wish(place, members, lambda before: msgspec.structs.replace(before, moves=(asked,)))
    end, answer = time.monotonic() + wait, None
    while time.monotonic() < end:
        found = _look(members, member)
        if not isinstance(found, str) and found.wish == wanted.number:
            answer = next((a for a in found.answers if (a.org, a.row) == (org, row)), answer)
            if answer and answer.over:
                break
        time.sleep(0.1)
    if answer is None:
        _fail(f"sessions: no word on it within {wait:g} s; the wish stands", 1)
    if answer.why == "no such session":
        back()
        _fail(f"sessions: no session of {org} with {row}")
    if answer.site != site:
        _fail(f"sessions: {org} {row} is at home at {answer.site or '?'}: {answer.why}", 1)
    typer.echo(f"moved: {org} {row} is at home at {site}, number {answer.number}")


@app.command()
def drain(site: str, sessions: File, state: StateFile, member: Member, wait: Wait = 5.0) -> None:
    """Have all sessions leave a site, and keep it empty until it is restored."""
    _drained(site, sessions, state, member, wait, lambda drained: drained | {site})


@app.command()
def restore(site: str, sessions: File, state: StateFile, member: Member, wait: Wait = 5.0) -> None:
    """Let a drained site have sessions again."""
    _drained(site, sessions, state, member, wait, lambda drained: drained - {site})


def _drained(
    site: str, sessions: str, state: str, member: str, wait: float, change: Callable[[set[str]], set[str]]
) -> None:
    _, place, members = _files(sessions, state)
    if site not in {entry.zone for entry in members.members if entry.replication_address}:
        _fail(f"sessions: no site {site}")
    wanted, _ = _wish(
        place,
        members,
        lambda before: s.Wishes(drained=tuple(sorted(change(set(before.drained))))),
    )
    end = time.monotonic() + wait
    while time.monotonic() < end:
        found = _look(members, member)
        if not isinstance(found, str) and found.wish == wanted.number:
            typer.echo(f"asked: {', '.join(wanted.drained) or 'no site'} drained")
            return
        time.sleep(0.1)
    _fail(f"sessions: {member} has not taken it within {wait:g} s; the wish stands", 1)


@app.command()
def check(sessions: File) -> None:
    """Read and check the settings."""
    from fawnwharf.prefetch.settings import decode_prefetch_settings

    try:
        data = Path(sessions).read_bytes()
        found = s.settings_from(data)
        decode_prefetch_settings(data)
    except OSError as error:
        _fail(f"sessions: {error.filename}: {error.strerror}")
    except SettingsFileError as error:
        _fail(f"sessions: {sessions}: {error}")
    typer.echo(f"fawnwharf: good: foresight {'on' if found.foresight is not None else 'off'}")
