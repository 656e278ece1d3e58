"""`fawnwharf recovery show`: a member's recovery status, read from its zones log."""

from typing import Annotated

import msgspec
import typer

from fawnwharf.recovery_service.messages import LOG_CLIENT, DisplayedStatus
from fawnwharf.zones.command_helpers import MemberOption, fail, log_address, read_files, read_latest_entries

File = Annotated[
    str, typer.Argument(metavar="FILE", help="The settings of zones that this member serves with.")
]


def read_status(address: tuple[str, int], within_s: float = 3.0) -> DisplayedStatus | None:
    """Return a member's recovery status, or None if it reports none.

    Raises OSError if its log can't be read, and ValueError if the peer does not send a log.
    """
    line = read_latest_entries(address, (LOG_CLIENT,), within_s).get(LOG_CLIENT)
    return None if line is None else msgspec.convert(line[LOG_CLIENT], DisplayedStatus)


def show(file: File, member: MemberOption = "") -> None:
    """Show a member's recovery phase, reachable voters, startup queries, missing state and doubts."""
    address = log_address(*read_files(file), member)
    try:
        status = read_status(address)
    except (OSError, ValueError) as error:
        fail(f"recovery: no answer: {error}", 1)
    if status is None:
        fail("recovery: this member reports no recovery status; it needs `serve --recovery`", 1)
    for line in status_lines(status):
        typer.echo(line)


def status_lines(status: DisplayedStatus) -> list[str]:
    """Format a status as lines of text, the phase first."""
    phase = status.phase or "PARTITIONED"
    lines = [f"{phase}  power loss {status.power_loss}  share {status.share:g}  by {status.source}"]
    if status.reason:
        lines.append(f"reason: {status.reason}")
    lines.append(f"incarnation {status.incarnation}, boot {status.boot or 'unknown to the system'}")
    if status.leader_term:
        lines.append(f"leader, term {status.leader_term}; {status.front_ends} front ends report")
    lines.append(f"voters heard of: {', '.join(status.voters) or 'none'}")
    lines += [f"{topic}: {state}" for topic, state in status.queries.items()]
    lines += [f"goes without: {text}" for text in status.missing]
    lines += [f"doubt: {text}" for text in status.doubts]
    lines += [f"dropped, {reason}: {count}" for reason, count in sorted(status.counts.items())]
    return lines
