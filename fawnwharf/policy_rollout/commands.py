"""`fawnwharf policy`: shows operators the policy status and submits their requests to change the policy."""

import json
import time
from pathlib import Path
from typing import Annotated, Any, NamedTuple

import typer

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import (
    DeploymentCapabilities,
    Document,
    DocumentError,
    find_incompatibility,
    parse_document,
)
from fawnwharf.policy_rollout.request_file import REQUEST_FILE
from fawnwharf.zones import settings as s
from fawnwharf.zones.command_helpers import MemberOption, fail, log_address, read_files, read_latest_entries

POLL_INTERVAL_S = 0.1
READ_TIMEOUT_S = 3.0
MAX_CANCEL_REASON = 200  # characters
CLASS_SECTIONS = ("classes", "modes", "window_ms")
TENANT_SECTIONS = ("tenants",)

app = typer.Typer(no_args_is_help=True, help="Show and change the policy that front ends apply to calls.")
ZonesOption = Annotated[str, typer.Option("--zones", help="The zone settings file of this member.")]
WaitOption = Annotated[float, typer.Option("--wait", help="Seconds to wait for the outcome; 0: do not wait.")]
Address = tuple[str, int]


class _Fleet(NamedTuple):
    """The zone settings and the members of a fleet, as read by a command."""

    settings: s.ZoneSettings
    members: s.Membership
    path: Path


def _read_fleet(zones: str) -> _Fleet:
    """Read the files of a fleet; exits with status 2 if they can't be read."""
    settings, members = read_files(zones)
    return _Fleet(settings, members, Path(zones))


def read_member_status(member: Address, timeout_s: float = READ_TIMEOUT_S) -> m.MemberStatus | None:
    """Read a member's policy status; None if it publishes none.

    Raises OSError if its log can't be read, ValueError if the status is malformed.
    """
    line = read_latest_entries(member, ("policy",), timeout_s).get("policy")
    return None if line is None else m.decode_member_status(line["policy"])


def _format_outcome(outcome: m.RequestOutcome) -> str:
    number = f" number {outcome.number}" if outcome.number else ""
    reason = f": {outcome.reason}" if outcome.reason else ""
    return f"{outcome.state}{number}{reason}"


@app.command()
def show(zones: ZonesOption, member: MemberOption = "") -> None:
    """Show a member's status: the last decided policy that it knows, the one in use, the open proposal."""
    try:
        status = read_member_status(log_address(*read_files(zones), member))
    except (OSError, ValueError) as error:
        fail(f"policy: no answer: {error}", 1)
    if status is None:
        fail("policy: this member publishes no policy status; it needs `serve --policy`", 1)
    for line in _status_lines(status):
        typer.echo(line)


def _status_lines(status: m.MemberStatus) -> list[str]:
    """A status as lines of text."""
    ready = "ready" if status.ready else "NOT READY"
    lines = [f"{ready}  number {status.number}  digest {status.digest}  by {status.basis}"]
    if status.error:
        lines.append(f"the decided document can't be read here: {status.error}")
    if status.prepared:
        lines.append(f"prepared for number {status.prepared}")
    if status.term:
        lines += _leader_lines(status)
    else:
        lines += [
            f"request {each.request_number}: {_format_outcome(each)}" for each in status.submitted_requests
        ]
    lines += [f"dropped, {cause}: {count}" for cause, count in sorted(status.dropped.items())]
    return lines


def _leader_lines(status: m.MemberStatus) -> list[str]:
    """The fields that only a leader sets, as lines of text."""
    state = "in force" if status.is_in_force else "not in force yet"
    lines = [f"leads, term {status.term}; number {status.number} is {state}"]
    if status.open_proposal_number:
        missing = ", ".join(status.members_without_vote) or "-"
        lines.append(f"number {status.open_proposal_number} is in progress; votes missing from {missing}")
    lines += [
        f"request {each.request_number} of {each.origin}: {_format_outcome(each)}"
        for each in status.leader_outcomes
    ]
    return lines


@app.command()
def check(file: str, zones: Annotated[str, typer.Option("--zones")] = "") -> None:
    """Check a document by itself and, with --zones, against the zones of the fleet."""
    document = _read_document(file, read_files(zones)[1] if zones else None)
    typer.echo(f"fawnwharf: good: {len(document.values)} keys, digest {document.digest}")


def _read_document(file: str, members: s.Membership | None) -> Document:
    """Read a document and check it; exits with status 2 if it is not valid."""
    try:
        document = parse_document(Path(file).read_bytes())
    except OSError as error:
        fail(f"policy: {file}: {error.strerror}")
    except DocumentError as error:
        fail(f"policy: {file}: {error}")
    if members is not None:
        # Classes and tenants are known only to front ends, which reject unknown ones themselves.
        capabilities = DeploymentCapabilities(
            _names_in(document, CLASS_SECTIONS),
            _names_in(document, TENANT_SECTIONS),
            frozenset(members.zones),
        )
        if error_text := find_incompatibility(document, capabilities):
            fail(f"policy: {file}: {error_text}")
    return document


def _names_in(document: Document, sections: tuple[str, ...]) -> frozenset[str]:
    return frozenset(path[1] for path, _ in document.values if path[0] in sections)


@app.command()
def propose(file: str, zones: ZonesOption, wait: WaitOption = 0.0) -> None:
    """Propose a document to the fleet. With --wait, show the outcome: status 0 if it is in force."""
    fleet = _read_fleet(zones)
    document = _read_document(file, fleet.members)
    _submit_request(fleet, {"propose": {"version": 1, **document.as_nested_dict()}}, wait, "in force")


@app.command("call-off")
def cancel(
    zones: ZonesOption, why: Annotated[str, typer.Option("--why")] = "", wait: WaitOption = 0.0
) -> None:
    """Cancel the proposal that is being prepared. A decided policy is not affected: see `back`."""
    _submit_request(_read_fleet(zones), {"call_off": why[:MAX_CANCEL_REASON]}, wait, "ended")


@app.command("back")
def roll_back(zones: ZonesOption, wait: WaitOption = 0.0) -> None:
    """Roll back to the policy before the last one, as a new proposal."""
    _submit_request(_read_fleet(zones), {"back": True}, wait, "in force")


def _submit_request(fleet: _Fleet, request: dict[str, Any], wait_s: float, expected: m.RequestState) -> None:
    """Write a request for this member's process and wait for its outcome."""
    # An unknown member is reported before anything is written.
    member = log_address(fleet.settings, fleet.members, "") if wait_s > 0.0 else None
    path = fleet.path.parent / fleet.settings.state_folder / REQUEST_FILE
    number = _next_request_number(path)
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps({"version": 1, "number": number} | request))
        new_path.rename(path)
    except OSError as error:
        fail(f"policy: {path}: {error.strerror}")
    typer.echo(f"asked: request {number}")
    if member is not None:
        _wait_for_outcome(member, number, wait_s, expected)


def _next_request_number(path: Path) -> int:
    """A number larger than that of the present request file, if any, and at least the time in ms."""
    try:
        before = json.loads(path.read_bytes())["number"] if path.exists() else 0
    except (OSError, ValueError, KeyError, TypeError):
        before = 0
    return max(before + 1 if type(before) is int else 0, time.time_ns() // 1_000_000)


def _wait_for_outcome(member: Address, number: int, wait_s: float, expected: m.RequestState) -> None:
    """Show a request's outcome and exit, with status 0 if it is the expected one, else or late with 1."""
    deadline_s = time.monotonic() + wait_s
    last_outcome = "this member has not read the request"
    while time.monotonic() < deadline_s:
        status: m.MemberStatus | None = None
        try:
            status = read_member_status(member)
        except (OSError, ValueError) as error:
            last_outcome = f"no answer: {error}"
        for outcome in status.submitted_requests if status else ():
            if outcome.request_number != number:
                continue
            last_outcome = _format_outcome(outcome)
            if outcome.state in m.FINAL_STATES:
                typer.echo(last_outcome)
                raise typer.Exit(0 if outcome.state == expected else 1)
        time.sleep(POLL_INTERVAL_S)
    fail(f"policy: not done within {wait_s:g} s: {last_outcome}", 1)
