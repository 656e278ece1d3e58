"""`fawnwharf recovery show`: how a member stands in a recovery, read from its zones' log."""

from typing import Annotated

import msgspec
import typer

from fawnwharf.recovery_service import messages as w
from fawnwharf.zones.command_helpers import MemberOption, fail, log_address, read_files, read_latest_entries

File = Annotated[
    str, typer.Argument(metavar="FILE", help="The settings of zones that this member serves with.")
]


def read_status(place: tuple[str, int], within_s: float = 3.0) -> w.DisplayedStatus | None:
    """How a member stands, None where it tells nothing of recovery. Raises OSError where its log can't be
    read, ValueError for what is none."""
    line = read_latest_entries(place, ("recovery",), within_s).get("recovery")
    return None if line is None else msgspec.convert(line["recovery"], w.DisplayedStatus)


def show(file: File, member: MemberOption = "") -> None:
    """The stage by which a member goes, whom it heard and asked, what it doubts and goes without."""
    place = log_address(*read_files(file), member)
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
    current_lines = [f"{stage}  cut {found.cut}  part {found.part:g}  by {found.how}"]
    current_lines += [f"why: {found.why}"] if found.why else []
    current_lines.append(f"life {found.life}, boot {found.boot or 'not told by the system'}")
    if found.leads:
        current_lines.append(f"leads, term {found.leads}; hears {found.fronts} front ends")
    current_lines.append(f"voters heard: {', '.join(found.heard) or 'none'}")
    current_lines += [f"{what}: {stand}" for what, stand in found.asked.items()]
    current_lines += [f"goes without: {text}" for text in found.without]
    current_lines += [f"doubt: {text}" for text in found.doubts]
    current_lines += [f"dropped, {cause}: {count}" for cause, count in sorted(found.counts.items())]
    return current_lines
