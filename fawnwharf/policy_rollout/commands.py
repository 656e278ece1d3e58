"""`fawnwharf policy`: what operators see of the policy in force, and how they change it."""

import json
import time
from pathlib import Path
from typing import Annotated, Any

import typer

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import (
    DeploymentCapabilities,
    Document,
    DocumentError,
    find_incompatibility,
    parse_document,
)
from fawnwharf.policy_rollout.service import REQUEST_FILE
from fawnwharf.zones import settings as s
from fawnwharf.zones.command_helpers import MemberOption, current_lines, fail, log_address, read_files

LOOK_S = 0.1
app = typer.Typer(no_args_is_help=True, help="The policy that front ends decide by.")
File = Annotated[str, typer.Option("--zones", help="The settings of zones that this member serves with.")]
Wait = Annotated[float, typer.Option("--wait", help="Seconds to wait for the fleet's decision; 0: none.")]


def look(place: tuple[str, int], within_s: float = 3.0) -> m.MemberStatus | None:
    """A member's status; None where it tells nothing of policy.

    Raises OSError where its log can't be read, ValueError where the status is malformed.
    """
    line = current_lines(place, ("policy",), within_s).get("policy")
    return None if line is None else m.decode_member_status(line["policy"])


def _told(outcome: m.RequestOutcome) -> str:
    number = f" number {outcome.number}" if outcome.number else ""
    return f"{outcome.state}{number}" + (f": {outcome.why}" if outcome.why else "")


@app.command()
def show(zones: File, member: MemberOption = "") -> None:
    """How a member stands: what it knows to be decided, by what it judges, what is under way."""
    try:
        found = look(log_address(*read_files(zones), member))
    except (OSError, ValueError) as error:
        fail(f"policy: no answer: {error}", 1)
    if found is None:
        fail("policy: this member tells nothing of policy; it needs `serve --policy`", 1)
    ready = "ready" if found.ready else "NOT READY"
    typer.echo(f"{ready}  number {found.number}  digest {found.digest}  by {found.how}")
    if found.fault:
        typer.echo(f"the decided document can't be read here: {found.fault}")
    if found.prepared:
        typer.echo(f"prepared for number {found.prepared}")
    if found.term:
        state = "in force" if found.settled else "not in force yet"
        typer.echo(f"leads, term {found.term}; number {found.number} is {state}")
        if found.open:
            typer.echo(f"number {found.open} is under way; no yes yet from {', '.join(found.missing) or '-'}")
        for outcome in found.outcomes:
            typer.echo(f"word {outcome.wish} of {outcome.by}: {_told(outcome)}")
    else:
        for outcome in found.wishes:
            typer.echo(f"word {outcome.wish}: {_told(outcome)}")
    for cause, count in sorted(found.counts.items()):
        typer.echo(f"dropped, {cause}: {count}")


@app.command()
def check(file: str, zones: Annotated[str, typer.Option("--zones")] = "") -> None:
    """Read and check a document; by itself, and against the zones of the fleet where those are given."""
    document = _document(file, read_files(zones)[1] if zones else None)
    typer.echo(f"fawnwharf: good: {len(document.values)} keys, digest {document.digest}")


def _document(file: str, members: s.Membership | None) -> Document:
    try:
        document = parse_document(Path(file).read_bytes())
    except OSError as error:
        fail(f"policy: {file}: {error.strerror}")
    except DocumentError as error:
        fail(f"policy: {file}: {error}")
    if members is not None:
        # Classes and tenants stand in front ends' configurations: those say no by themselves.
        named = {part: frozenset(path[1] for path, _ in document.values if path[0] in part) for part in PARTS}
        known = DeploymentCapabilities(named[PARTS[0]], named[PARTS[1]], frozenset(members.zones))
        if fault := find_incompatibility(document, known):
            fail(f"policy: {file}: {fault}")
    return document


PARTS = ("classes", "modes", "window_ms"), ("tenants",)


@app.command()
def propose(file: str, zones: File, wait: Wait = 0.0) -> None:
    """Ask the fleet to go by a document. With --wait, tell what came of it: status 0 where it is in force."""
    settings, members = read_files(zones)
    document = _document(file, members)
    _say(settings, members, zones, {"propose": {"version": 1, **document.nested()}}, wait, "in force")


@app.command("call-off")
def call_off(zones: File, why: Annotated[str, typer.Option("--why")] = "", wait: Wait = 0.0) -> None:
    """End what is being prepared. What is decided stays: see `back`."""
    settings, members = read_files(zones)
    _say(settings, members, zones, {"call_off": why[:200]}, wait, "ended")


@app.command()
def back(zones: File, wait: Wait = 0.0) -> None:
    """Go back to the policy before the last one, as a new change."""
    settings, members = read_files(zones)
    _say(settings, members, zones, {"back": True}, wait, "in force")


def _say(
    settings: s.ZoneSettings, members: s.Membership, path: str, word: dict[str, Any], wait_s: float, good: str
) -> None:
    """Leave a word for this member's process, and wait for what comes of it."""
    log = log_address(settings, members, "") if wait_s > 0.0 else None  # before anything is written
    folder = Path(path).parent / settings.state_folder
    place = folder / REQUEST_FILE
    try:
        before = json.loads(place.read_bytes())["number"] if place.exists() else 0
    except (OSError, ValueError, KeyError, TypeError):
        before = 0
    number = max(before + 1 if type(before) is int else 0, time.time_ns() // 1_000_000)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        beside = place.with_suffix(".new")
        beside.write_text(json.dumps({"version": 1, "number": number} | word))
        beside.rename(place)
    except OSError as error:
        fail(f"policy: {place}: {error.strerror}")
    typer.echo(f"asked: word {number}")
    if log is not None:
        _wait(log, number, wait_s, good)


def _wait(place: tuple[str, int], number: int, wait_s: float, good: str) -> None:
    end, last = time.monotonic() + wait_s, "this member has not taken the word"
    while time.monotonic() < end:
        try:
            found = look(place)
        except (OSError, ValueError) as error:
            found, last = None, f"no answer: {error}"
        for outcome in found.wishes if found else ():
            if outcome.wish != number:
                continue
            last = _told(outcome)
            if outcome.state in m.FINAL_STATES:
                typer.echo(last)
                raise typer.Exit(0 if outcome.state == good else 1)
        time.sleep(LOOK_S)
    fail(f"policy: not done within {wait_s:g} s: {last}", 1)
