"""`fawnwharf recovery show`: how a member stands in a recovery, read from its zones' log."""

import json
import socket
import time
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from fawnwharf.config import ConfigError, address_from
from fawnwharf.rejoin import words as w
from fawnwharf.zones import settings as s

File = Annotated[
    str, typer.Argument(metavar="FILE", help="The settings of zones that this member serves with.")
]
Member = Annotated[
    str, typer.Option("--member", help="Whose log is read; the settings' own listener without.")
]


def _fail(text: str, status: int = 2) -> None:
    typer.echo(f"fawnwharf: {text}", err=True)
    raise typer.Exit(status)


def _address(path: str, member: str) -> tuple[str, int]:
    try:
        settings = s.settings_from(Path(path).read_bytes())
        members = s.members_from((Path(path).parent / settings.members).read_bytes())
        if member and (entry := members.named(member)) is None:
            _fail(f"zones: no member {member}")
        if not member and not settings.listen:
            _fail("zones: the settings have no listener of their own; name a member with --member")
        return address_from(entry.address if member else settings.listen, "zones.listen")
    except OSError as error:
        _fail(f"zones: {error.filename}: {error.strerror}")
    except s.FileFault as error:
        _fail(f"zones: {path}: {error}")
    except ConfigError as error:
        _fail(str(error))


def look(address: tuple[str, int], within_s: float = 3.0) -> w.Shown | None:
    """How a member stands, None where it tells nothing of recovery. Raises OSError where its log can't be
    read, ValueError for what is none."""
    with socket.create_connection(address, within_s) as sock:
        sock.sendall(b"since 0\n")
        reader, end = sock.makefile("rb"), time.monotonic() + within_s
        while time.monotonic() < end:
            line = reader.readline()
            read = json.loads(line) if line else 0
            if not isinstance(read, dict) or not read.get("whole"):
                break
            if "recovery" in read.get("line", {}):
                return msgspec.convert(read["line"]["recovery"], w.Shown)
    return None


def show(file: File, member: Member = "") -> None:
    """The stage by which a member goes, whom it heard and asked, what it doubts and goes without."""
    address = _address(file, member)
    try:
        found = look(address)
    except (OSError, ValueError) as error:
        _fail(f"recovery: no answer: {error}", 1)
    if found is None:
        _fail("recovery: this member tells nothing of it; it needs `serve --recovery`", 1)
    for line in told(found):
        typer.echo(line)


def told(found: w.Shown) -> list[str]:
    """One line a fact, the stage first."""
    stage = found.stage or "ALONE"
    lines = [f"{stage}  cut {found.cut}  part {found.part:g}  by {found.how}"]
    lines += [f"why: {found.why}"] if found.why else []
    lines.append(f"life {found.life}, boot {found.boot or 'not told by the system'}")
    if found.leads:
        lines.append(f"leads, term {found.leads}; hears {found.fronts} front ends")
    lines.append(f"voters heard: {', '.join(found.heard) or 'none'}")
    lines += [f"{what}: {stand}" for what, stand in found.asked.items()]
    lines += [f"goes without: {text}" for text in found.without]
    lines += [f"doubt: {text}" for text in found.doubts]
    lines += [f"dropped, {cause}: {count}" for cause, count in sorted(found.counts.items())]
    return lines
