"""Helpers for operators' commands: read a fleet's files, and the current lines of a member's log."""

import json
import socket
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Annotated, Any, NoReturn

import typer

from fawnwharf.config import Address, ConfigError, address_from
from fawnwharf.zones import settings as s

MemberOption = Annotated[
    str,
    typer.Option("--member", help="The member whose log is read; by default the settings' own listener."),
]


def fail(text: str, status: int = 2) -> NoReturn:
    """Print an error and exit with this status."""
    typer.echo(f"fawnwharf: {text}", err=True)
    raise typer.Exit(status)


def read_files(path: str) -> tuple[s.ZoneSettings, s.Membership]:
    """Read the zone settings and the membership file that they name; exit with status 2 if one is faulty."""
    try:
        settings = s.settings_from(Path(path).read_bytes())
        membership = s.membership_from((Path(path).parent / settings.membership_file).read_bytes())
    except OSError as error:
        fail(f"zones: {error.filename}: {error.strerror}")
    except s.SettingsFileError as error:
        fail(f"zones: {path}: {error}")
    return settings, membership


def log_address(settings: s.ZoneSettings, membership: s.Membership, member: str) -> Address:
    """The address of a member's log, or of the settings' own listener if the name is empty.

    Exits with status 2 if there is no such address.
    """
    if member:
        entry = membership.find_member(member)
        if entry is None:
            fail(f"zones: no member {member}")
        address, key = entry.address, "members.address"
    elif settings.listen:
        address, key = settings.listen, "zones.listen"
    else:
        fail("zones: the settings have no listener of their own; name a member with --member")
    try:
        return address_from(address, key)
    except ConfigError as error:
        fail(str(error))


def read_latest_entries(address: Address, keys: Iterable[str], timeout_s: float) -> dict[str, Any]:
    """Read the current lines of a member's log: the last one with each of these keys, by key.

    Raises OSError if the log cannot be read, and ValueError for a malformed line.
    """
    found: dict[str, Any] = {}
    with socket.create_connection(address, timeout_s) as sock:
        sock.sendall(b"since 0\n")
        reader = sock.makefile("rb")
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            text = reader.readline()
            numbered_line = json.loads(text) if text else None
            if not isinstance(numbered_line, dict) or not numbered_line.get("whole"):
                break  # all current lines were received
            for key in keys:
                if key in numbered_line.get("line", {}):
                    found[key] = numbered_line["line"]
    return found
