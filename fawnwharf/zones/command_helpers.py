"""Shared parts of operators' commands: a fleet's files, a member's address, the current lines of its log."""

import json
import socket
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

from fawnwharf.config import ConfigError, address_from
from fawnwharf.zones import settings as s

MemberOption = Annotated[
    str, typer.Option("--member", help="Whose log is read; the settings' own listener without.")
]


def fail(text: str, status: int = 2) -> NoReturn:
    """Print an error and exit with this status."""
    typer.echo(f"fawnwharf: {text}", err=True)
    raise typer.Exit(status)


def read_files(path: str) -> tuple[s.ZoneSettings, s.Membership]:
    """The settings of zones and the members that they name; exits with status 2 where they can't be taken."""
    try:
        settings = s.settings_from(Path(path).read_bytes())
        members = s.membership_from((Path(path).parent / settings.members).read_bytes())
    except OSError as error:
        fail(f"zones: {error.filename}: {error.strerror}")
    except s.SettingsFileError as error:
        fail(f"zones: {path}: {error}")
    return settings, members


def log_address(settings: s.ZoneSettings, members: s.Membership, member: str) -> tuple[str, int]:
    """The address of a member's log.

    Without a name it is the settings' own listener. Exits with status 2 where there is none.
    """
    try:
        if not member:
            if not settings.listen:
                fail("zones: the settings have no listener of their own; name a member with --member")
            return address_from(settings.listen, "zones.listen")
        if (entry := members.named(member)) is None:
            fail(f"zones: no member {member}")
        return address_from(entry.address, "members.address")
    except ConfigError as error:
        fail(str(error))


def current_lines(place: tuple[str, int], keys: Iterable[str], within_s: float) -> dict[str, Any]:
    """The current lines of a member's log, the last one with each of these keys.

    Raises OSError where the log can't be read, ValueError where a line is malformed.
    """
    found: dict[str, Any] = {}
    with socket.create_connection(place, within_s) as sock:
        sock.sendall(b"since 0\n")
        reader, end = sock.makefile("rb"), time.monotonic() + within_s
        while time.monotonic() < end:
            line = reader.readline()
            read = json.loads(line) if line else 0
            if not isinstance(read, dict) or not read.get("whole"):
                break
            found |= {key: read["line"] for key in keys if key in read.get("line", {})}
    return found
