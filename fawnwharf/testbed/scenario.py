"""Scenarios: what fleet there is, what happens to it and when. JSON, checked by key; pure.

Steps come one after another. Each waits for its `when`, an event or a time since the step before, and then
does one thing. A wait for an event that does not come within `within_s` is a failure of the run, never
ignored.
"""

from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from fawnwharf.policy_rollout.document import DocumentError, document_from_object

VERSION = 1
SAID = "in force", "prepare", "decided", "ended", "over", "refused"  # of a proposal
FOLDER = Path(__file__).parent / "scenarios"

Name = Annotated[str, Meta(min_length=1, max_length=32, pattern=r"^[0-9a-z_-]+$")]
Span = Annotated[float, Meta(ge=0.0, le=3_600.0)]
Part = Annotated[float, Meta(ge=0.0, le=1.0)]

Stance = Literal[
    "in force", "leased", "strict", "floor", "waiting",  # of front ends
    "prepare", "decided", "ended", "over", "refused",  # of the last proposal; over: one way or the other
]  # fmt: skip


class ScenarioError(ValueError):
    """A scenario that can't be run; the text names the key."""


class ZoneSpec(Struct, frozen=True):
    """The machines and the load of a zone."""

    front_ends: Annotated[int, Meta(ge=0, le=40)]
    scorers: Annotated[int, Meta(ge=0, le=40)]
    region: str = "r"
    rps: Annotated[float, Meta(ge=0.0, le=2_000.0)] = 20.0  # calls a second of its clients
    voters: Annotated[int, Meta(ge=0, le=7)] = 1  # of its front ends


class When(Struct, frozen=True, forbid_unknown_fields=True):
    """What a step waits for; where there are more conditions, all are waited for."""

    after_s: Span = 0.0
    state: dict[Name, str] | None = None  # of zones, as `of` follow it
    leader: bool | None = None  # one leads
    leader_in: str | None = None  # zone of the one that leads
    apart: bool | None = None  # whether the plan of `of` has zones apart
    valid: bool | None = None  # `of` go by a plan, or none of them does
    voters: Annotated[int, Meta(ge=0, le=9)] | None = None  # in the list that was decided last
    voters_are: str | None = None  # that list, as names with commas
    policy: Stance | None = None  # `of` go so, or a steward said so of the last proposal
    why: str = ""  # what it said is to have this in it
    note: str | None = None  # somebody's log says this since the step before began
    fields: dict[str, Any] = {}  # with these fields
    times: Annotated[int, Meta(ge=1, le=10_000)] = 1  # as often
    of: str = "live"  # front ends: live, all, zone:Z, or names with commas
    half: bool = False  # half of them are enough
    within_s: Span = 30.0


class Returns(Struct, frozen=True, forbid_unknown_fields=True):
    """How what lost its power comes back, besides by chance over the step's `value` seconds."""

    late: Name | None = None  # a zone that does so `late_s` later than the others
    late_s: Span = 0.0
    never: Part = 0.0  # of the front ends, drawn
    few_voters: bool = False  # a majority of the voters is among those; else a majority is not
    store_s: Span | None = None  # the store comes back within this span, not the step's
    log: Literal["any", "last"] = "any"  # the change log, among others or after all
    log_again: bool = False  # with numbers from 1
    new_ids: bool = False  # scorers under their old addresses


class ClockSpec(Struct, frozen=True, forbid_unknown_fields=True):
    """Machines' clocks, each drawn within these bounds as a boot begins."""

    apart_s: Annotated[float, Meta(ge=0.0, le=864_000.0)] = 0.0  # Unix time, either way
    rate: Annotated[float, Meta(ge=0.0, le=0.1)] = 0.0  # part of a second in a second, fast or slow


class Step(Struct, frozen=True, forbid_unknown_fields=True):
    """One step: what to do, to whom, and when."""

    do: Literal[
        "cut", "heal", "delay", "lossy", "stall", "reset", "kill", "end", "stop", "go_on", "start",
        "lose_zone", "return_zone", "scorers_down", "scorers_up", "slow", "store", "rate",
        "wipe", "swap", "keep_disk", "old_disk", "members", "wish", "mark", "start_refused",
        "replace", "kill_replacing", "standby", "active", "take_out", "bring_back",
        "propose", "back", "call_off",
        "move_clients", "bounce", "move_session", "drain_site", "release",
        "power_cut", "power_back", "clients_rush", "clock",
    ]  # fmt: skip
    what: str = ""  # whom: front ends, scorers or zones
    to: str = ""  # the other end of links
    way: Literal["both", "forward", "backward"] = "both"
    value: float = 0.0
    text: str = ""
    document: dict[str, Any] = {}  # of a policy that is proposed
    returns: Returns = Returns()
    when: When = When()


class Scenario(Struct, frozen=True, forbid_unknown_fields=True):
    """A whole scenario."""

    version: int
    name: Name
    about: str
    zones: Annotated[dict[Name, ZoneSpec], Meta(min_length=1, max_length=9)]
    steps: list[Step]
    decide: bool = True  # in common, or each on its own
    state: dict[str, Any] | None = None  # replicated, by these settings over the lab's own; none: off
    recovery: dict[str, Any] | None = None  # from a loss of power, by these settings; none: off
    policy: dict[str, Any] | None = None  # changed while they run, by these settings; none: off
    lacks: dict[Name, str] = {}  # a tenant that one front end does not know
    sessions: dict[str, Any] | None = None  # that move, by these settings over the lab's own; none: off
    live: dict[Name, Annotated[int, Meta(ge=0, le=1_000)]] = {}  # sessions that begin at a zone
    again: Part = 0.0  # of a session's last calls come again, by their keys, where it is moved to
    twice: Part = 0.0  # of the at-most-once calls are asked for at two front ends at once
    asks: bool = False  # what stands before front ends asks them whether they are ready
    comeback: bool = False  # clients whose at-most-once call was lost ask for it again, elsewhere
    far_ms: Annotated[float, Meta(ge=0.0, le=1_000.0)] = 0.0  # of a good link between zones, each way
    tenants: dict[Name, str] = {}  # of a zone's clients; all of them by chance where it is not said
    quotas: dict[str, float] = {}  # calls a second sold to a tenant; all alike where it is not said
    parts: dict[str, float] = {}  # of the calls, by class, over the usual ones
    functions: Annotated[int, Meta(ge=1, le=500)] = 12
    settle_s: Span = 3.0  # of load before the first step
    rest_s: Span = 3.0  # of load after the last one
    settings: dict[str, Any] = {}  # of zones, over the lab's own
    nature: dict[str, float] = {}  # of scorers, over the usual one
    pushback_ms: float = 500.0
    clocks: ClockSpec | None = None  # of the machines of front ends; none: the true ones


def scenario_from(data: bytes) -> Scenario:
    """Parse a scenario and check it; raises ScenarioError."""
    found = _parsed(data)
    _check_parts(found)
    _power(found)
    _check_steps(found)
    if found.sessions is not None and found.state is None:
        raise ScenarioError("sessions: goes by the logs of state, which is not there")
    for zone in found.live:
        if zone not in found.zones:
            raise ScenarioError(f"live: no zone {zone}")
    _check_zones_of_steps(found)
    return found


def _parsed(data: bytes) -> Scenario:
    try:
        found = msgspec.json.decode(data, type=Scenario)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        raise ScenarioError(f"{place.rstrip('`').lstrip('.') or 'scenario'}: {text}") from None
    except msgspec.DecodeError as error:
        raise ScenarioError(f"scenario: not JSON: {error}") from None
    if found.version != VERSION:
        raise ScenarioError(f"version: {found.version}, and this program knows {VERSION}")
    return found


def _check_parts(found: Scenario) -> None:
    """That there are front ends, and that each part has what it goes by."""
    fronts = sum(zone.front_ends for zone in found.zones.values())
    voters = sum(min(zone.voters, zone.front_ends) for zone in found.zones.values())
    if not fronts:
        raise ScenarioError("zones: no front end at all")
    if found.decide and voters not in (1, 3, 5, 7):
        raise ScenarioError(f"zones: {voters} voters, and it takes 3, 5 or 7")
    if found.policy is not None and not found.decide:
        raise ScenarioError("policy: goes by the voters' log, and decide is false")
    if found.recovery is not None and (found.state is None or not found.decide):
        raise ScenarioError("recovery: goes by the logs of voters and of state, which are not both there")


def _check_steps(found: Scenario) -> None:
    """That each step has the parts that it is about, and that no step waits for what was never proposed."""
    proposed = False
    for n, step in enumerate(found.steps):
        if step.do in ("move_clients", "bounce", "move_session") and not found.live:
            raise ScenarioError(f"steps[{n}].do: {step.do}, and no sessions are live")
        if step.do == "clock" and found.clocks is None:
            raise ScenarioError(f"steps[{n}].do: clock, and front ends go by the true ones")
        if step.do in ("propose", "back", "call_off") and found.policy is None:
            raise ScenarioError(f"steps[{n}].do: {step.do}, and no policy is changed here")
        if step.when.policy in SAID and not proposed:
            raise ScenarioError(f"steps[{n}].when.policy: nothing was proposed before")
        if step.do == "propose":
            proposed = True
            _check_document(n, step)


def _check_document(n: int, step: Step) -> None:
    try:
        document_from_object({"version": 1, **step.document})
    except DocumentError as error:
        raise ScenarioError(f"steps[{n}].document: {error}") from None


def _check_zones_of_steps(found: Scenario) -> None:
    for n, step in enumerate(found.steps):
        for zone in step.when.state or ():
            if zone not in found.zones:
                raise ScenarioError(f"steps[{n}].when.state: no zone {zone}")
        if step.do in ("lose_zone", "return_zone") and step.what not in found.zones:
            raise ScenarioError(f"steps[{n}].what: no zone {step.what}")


def _power(found: Scenario) -> None:
    dark: set[str] = set()
    for n, step in enumerate(found.steps):
        whole = step.do not in ("power_cut", "power_back") or not step.what
        if not whole and step.what not in {f"zone:{zone}" for zone in found.zones}:
            raise ScenarioError(f"steps[{n}].what: {step.what} is no zone:Z of these, and not empty")
        if step.do == "power_cut":
            dark.add(step.what)
        if step.do == "power_back" and step.what not in dark:
            raise ScenarioError(f"steps[{n}].do: power_back, and the same lost no power before")
        if step.do != "power_back" and step.returns != Returns():
            raise ScenarioError(f"steps[{n}].returns: {step.do} has none")
        if step.returns.late is not None and step.returns.late not in found.zones:
            raise ScenarioError(f"steps[{n}].returns.late: no zone {step.returns.late}")
        if step.returns.few_voters and not found.decide:
            raise ScenarioError(f"steps[{n}].returns.few_voters: nothing is decided, so nobody votes")


def load(name: str) -> Scenario:
    """One of the project's scenarios by its name, or a file by its path."""
    path = Path(name) if name.endswith(".json") else FOLDER / f"{name}.json"
    try:
        return scenario_from(path.read_bytes())
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except ScenarioError as error:
        raise ScenarioError(f"{path}: {error}") from None


def names() -> list[str]:
    """The names of the project's scenarios."""
    return sorted(path.stem for path in FOLDER.glob("*.json"))
