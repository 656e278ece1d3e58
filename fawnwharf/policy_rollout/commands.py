"""`fawnwharf policy`: shows operators the policy in force, and takes their requests to change it."""

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

POLL_S = 0.1
READ_TIMEOUT_S = 3.0
MAX_CANCEL_REASON = 200
CLASS_SECTIONS = ("classes", "modes", "window_ms")
TENANT_SECTIONS = ("tenants",)

app = typer.Typer(no_args_is_help=True, help="The policy that front ends decide by.")
File = Annotated[str, typer.Option("--zones", help="The settings of zones that this member serves with.")]
Wait = Annotated[float, typer.Option("--wait", help="Seconds to wait for the fleet's decision; 0: none.")]
Address = tuple[str, int]


class _Fleet(NamedTuple):
    """The zones' files of a fleet, as read by a command."""

    settings: s.ZoneSettings
    members: s.Membership
    path: Path


def _fleet(zones: str) -> _Fleet:
    """Read the files of a fleet; exits with status 2 where they can't be read."""
    settings, members = read_files(zones)
    return _Fleet(settings, members, Path(zones))


def read_member_status(member: Address, timeout_s: float = READ_TIMEOUT_S) -> m.MemberStatus | None:
    """A member's status; None where it publishes none of policy.

    Raises OSError where its log can't be read, ValueError where the status is malformed.
    """
    line = read_latest_entries(member, ("policy",), timeout_s).get("policy")
    return None if line is None else m.decode_member_status(line["policy"])


def _outcome_text(outcome: m.RequestOutcome) -> str:
    number = f" number {outcome.number}" if outcome.number else ""
    reason = f": {outcome.reason}" if outcome.reason else ""
    return f"{outcome.state}{number}{reason}"


@app.command()
def show(zones: File, member: MemberOption = "") -> None:
    """Show a member's status: what it knows to be decided, the policy it uses, what is in progress."""
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
    found = [f"{ready}  number {status.number}  digest {status.digest}  by {status.basis}"]
    if status.error:
        found.append(f"the decided document can't be read here: {status.error}")
    if status.prepared:
        found.append(f"prepared for number {status.prepared}")
    if status.term:
        found += _leader_lines(status)
    else:
        found += [
            f"request {each.request_number}: {_outcome_text(each)}" for each in status.submitted_requests
        ]
    found += [f"dropped, {cause}: {count}" for cause, count in sorted(status.dropped.items())]
    return found


def _leader_lines(status: m.MemberStatus) -> list[str]:
    """What the status of a leader has beyond that of others, as lines of text."""
    state = "in force" if status.is_in_force else "not in force yet"
    found = [f"leads, term {status.term}; number {status.number} is {state}"]
    if status.open_proposal_number:
        missing = ", ".join(status.members_without_vote) or "-"
        found.append(f"number {status.open_proposal_number} is under way; votes missing from {missing}")
    found += [
        f"request {each.request_number} of {each.origin}: {_outcome_text(each)}"
        for each in status.leader_outcomes
    ]
    return found


@app.command()
def check(file: str, zones: Annotated[str, typer.Option("--zones")] = "") -> None:
    """Read and check a document; by itself, and against the zones of the fleet where those are given."""
    document = _document(file, read_files(zones)[1] if zones else None)
    typer.echo(f"fawnwharf: good: {len(document.values)} keys, digest {document.digest}")


def _document(file: str, members: s.Membership | None) -> Document:
    """Read a document and check it; exits with status 2 where it can't be accepted."""
    try:
        document = parse_document(Path(file).read_bytes())
    except OSError as error:
        fail(f"policy: {file}: {error.strerror}")
    except DocumentError as error:
        fail(f"policy: {file}: {error}")
    if members is not None:
        # Classes and tenants stand in front ends' configurations: those reject unknown ones themselves.
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
def propose(file: str, zones: File, wait: Wait = 0.0) -> None:
    """Propose a document to the fleet. With --wait, show the outcome: status 0 where it is in force."""
    fleet = _fleet(zones)
    document = _document(file, fleet.members)
    _request(fleet, {"propose": {"version": 1, **document.as_nested_dict()}}, wait, "in force")


@app.command("call-off")
def cancel(zones: File, why: Annotated[str, typer.Option("--why")] = "", wait: Wait = 0.0) -> None:
    """End what is being prepared. What is decided stays: see `back`."""
    _request(_fleet(zones), {"call_off": why[:MAX_CANCEL_REASON]}, wait, "ended")


@app.command("back")
def roll_back(zones: File, wait: Wait = 0.0) -> None:
    """Return to the policy before the last one, as a new change."""
    _request(_fleet(zones), {"back": True}, wait, "in force")


def _request(fleet: _Fleet, request: dict[str, Any], wait_s: float, wanted: m.RequestState) -> None:
    """Write a request for this member's process, and wait for its outcome."""
    member = (
        log_address(fleet.settings, fleet.members, "") if wait_s > 0.0 else None
    )  # before anything is written
    path = fleet.path.parent / fleet.settings.state_folder / REQUEST_FILE
    number = _next_request_number(path)
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        beside = path.with_suffix(".new")
        beside.write_text(json.dumps({"version": 1, "number": number} | request))
        beside.rename(path)
    except OSError as error:
        fail(f"policy: {path}: {error.strerror}")
    typer.echo(f"asked: request {number}")
    if member is not None:
        _wait_for_outcome(member, number, wait_s, wanted)


def _next_request_number(path: Path) -> int:
    """A number larger than that of the request in the file, if there is one."""
    try:
        before = json.loads(path.read_bytes())["number"] if path.exists() else 0
    except (OSError, ValueError, KeyError, TypeError):
        before = 0
    return max(before + 1 if type(before) is int else 0, time.time_ns() // 1_000_000)


def _wait_for_outcome(member: Address, number: int, wait_s: float, wanted: m.RequestState) -> None:
    """Show the outcome of a request and exit, with status 0 if it is the wanted one; 1 after `wait_s`."""
    end = time.monotonic() + wait_s
    last = "this member has not taken the request"
    while time.monotonic() < end:
        status: m.MemberStatus | None = None
        try:
            status = read_member_status(member)
        except (OSError, ValueError) as error:
            last = f"no answer: {error}"
        for outcome in status.submitted_requests if status else ():
            if outcome.request_number != number:
                continue
            last = _outcome_text(outcome)
            if outcome.state in m.FINAL_STATES:
                typer.echo(last)
                raise typer.Exit(0 if outcome.state == wanted else 1)
        time.sleep(POLL_S)
    fail(f"policy: not done within {wait_s:g} s: {last}", 1)
