"""`fawnwharf recovery show`: how a member stands in a recovery, read from its zones' log."""

from typing import Annotated

import msgspec
import typer

from fawnwharf.recovery_service import messages as w
from fawnwharf.zones.looking import Member, address, fail, files, lines

File = Annotated[
    str, typer.Argument(metavar="FILE", help="The settings of zones that this member serves with.")
]


def read_status(place: tuple[str, int], within_s: float = 3.0) -> w.DisplayedStatus | None:
    """How a member stands, None where it tells nothing of recovery. Raises OSError where its log can't be
    read, ValueError for what is none."""
    line = lines(place, ("recovery",), within_s).get("recovery")
    return None if line is None else msgspec.convert(line["recovery"], w.DisplayedStatus)


def show(file: File, member: Member = "") -> None:
    """The stage by which a member goes, whom it heard and asked, what it doubts and goes without."""
    place = address(*files(file), member)
    try:
        found = read_status(place)
    except (OSError, ValueError) as error:
        fail(f"recovery: no answer: {error}", 1)
    if found is None:
        fail("recovery: this member tells nothing of it; it needs `serve --recovery`", 1)
    for line in status_lines(found):
        typer.echo(line)


def status_lines(found: w.DisplayedStatus) -> list[str]:
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
