"""Scenarios of the trial: sessions, their calls and moves, drawn from a seed before the run.

There are five kinds: an announced drain; an unannounced loss of a zone; the announced return of that zone in
steps; days on which a tenant's sessions move at the same time (but not at weekends); and random moves, with
some short stays in another zone that mislead predictors.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.copy_value import FunctionProfile
from fawnwharf.prefetch.fleet_model import Call
from fawnwharf.replication.placement import rendezvous_weight
from fawnwharf.session_types import Session

SITES = ("north", "south", "west")
SESSION_COUNT = 90  # concurrent sessions
MEAN_LIFE_MS = 90_000.0  # mean duration of a session
FUNCTION_COUNT = 400  # functions
DAY_MS = 120_000.0

# The site's settings as received over the wire: classes, tenants, limits and prices.
CONFIG: dict[str, Any] = {
    "classes": [
        {"name": "points-view", "promise": 800.0, "give_up": 3000.0, "worth": 1.0, "late_share": 0.2},
        {"name": "lineup-save", "promise": 600.0, "give_up": 2500.0, "worth": 5.0, "late_share": 0.2},
        {"name": "transfer-settle", "promise": 800.0, "give_up": 2000.0, "worth": 5.0, "late_share": 0.1},
    ],
    "tenants": [{"name": "medijska-hisa", "share": 0.61}, {"name": "klub-sever", "share": 0.39}],
    "costs": {"origin": 0.15, "waste": 0.16, "probe": 0.01},
    "family_info": {"idle_life": 9300.0, "free_loads": 6.0, "load_part": 0.3, "load_window": 5000.0},
    "fleet_size": 2,
}
# Class -> share of sessions, and ranges of load time in ms, run time in ms and memory in MB.
_CLASS_RANGES = {
    "points-view": (0.58, (420.0, 1100.0), (85.0, 150.0), (220.0, 790.0)),
    "lineup-save": (0.23, (380.0, 900.0), (85.0, 150.0), (200.0, 770.0)),
    "transfer-settle": (0.19, (410.0, 860.0), (130.0, 230.0), (250.0, 620.0)),
}


@dataclass(slots=True)
class ScenarioMove:
    """A session's move from one zone to another."""

    at_ms: float
    session: Session
    source: str
    destination: str


@dataclass(slots=True)
class ZoneChange:
    """From `at_ms`, the fraction `open` of a zone is open; before, it was the fraction `was`."""

    at_ms: float
    site: str
    was: float
    open: float


@dataclass(slots=True)
class Scenario:
    """One scenario; only what happens between `from_ms` and `until_ms` is measured."""

    name: str
    end_ms: float
    from_ms: float
    calls: list[Call] = field(default_factory=list)
    moves: list[ScenarioMove] = field(default_factory=list)
    facts: dict[str, FunctionProfile] = field(default_factory=dict)
    plans: list[tuple[float, m.AnnouncedPlan]] = field(
        default_factory=list
    )  # (time of the announcement, plan)
    losses: list[tuple[float, str]] = field(default_factory=list)
    turns: list[ZoneChange] = field(default_factory=list)
    until_ms: float = math.inf


Leg = tuple[float, str]  # when a session arrives in a zone, and that zone
Route = Callable[[random.Random, Session, str, float, float], list[Leg]]


def place(session: Session, site: str) -> float:
    """Return the position of a session in a zone's order of return, from 0 to 1."""
    return rendezvous_weight("place", session.org, session.row, site) / 2**64


def home(session: Session) -> str:
    """Return the home zone of a session."""
    return SITES[rendezvous_weight("home", session.org, session.row) % len(SITES)]


def next_zone(session: Session, site: str) -> str:
    """Return where a session goes when its zone is closed, by rendezvous hashing over the other zones."""
    return max(
        (s for s in SITES if s != site), key=lambda s: rendezvous_weight("site", s, session.org, session.row)
    )


def draw_scenario(name: str, seed: int, sessions: int = SESSION_COUNT) -> Scenario:
    """Draw the scenario `name` of `SCENARIOS` from `seed`; raises KeyError for an unknown name."""
    rng = random.Random(f"{name} {seed}")
    scenario, route = SCENARIOS[name]()
    for n in range(FUNCTION_COUNT):
        class_name = rng.choices(list(_CLASS_RANGES), [part for part, *_ in _CLASS_RANGES.values()])[0]
        _, load, run, memory = _CLASS_RANGES[class_name]
        scenario.facts[f"f{n}"] = FunctionProfile(
            class_name, rng.uniform(*memory), rng.uniform(*load), rng.uniform(*run)
        )
    names = [tenant["name"] for tenant in CONFIG["tenants"]]
    parts = [tenant["share"] for tenant in CONFIG["tenants"]]
    free = [f"f{n}" for n in range(FUNCTION_COUNT)]
    rng.shuffle(free)
    for _ in range(sessions):
        begins = -rng.expovariate(1 / MEAN_LIFE_MS)
        while begins < scenario.end_ms:
            row = free.pop(0)
            ends = begins + rng.expovariate(1 / MEAN_LIFE_MS)
            session = Session(rng.choices(names, parts)[0], row)
            _draw_calls(scenario, rng, session, max(0.0, begins), min(ends, scenario.end_ms), route)
            free.append(row)
            begins = ends
    scenario.calls.sort(key=lambda call: (call.at_ms, call.session))
    scenario.moves.sort(key=lambda shift: (shift.at_ms, shift.session))
    return scenario


def _draw_calls(
    scenario: Scenario, rng: random.Random, session: Session, begins: float, ends: float, route: Route
) -> None:
    legs = route(rng, session, home(session), begins, ends)  # the first leg starts with the session
    rate = min(2.0, max(0.25, rng.lognormvariate(-0.5, 0.6)))
    facts = scenario.facts[session.row]
    at, leg, is_first_call = begins + rng.expovariate(rate) * 1000.0, 0, False
    for n in range(1, len(legs)):
        scenario.moves.append(ScenarioMove(legs[n][0], session, legs[n - 1][1], legs[n][1]))
    while at < ends:
        while leg + 1 < len(legs) and legs[leg + 1][0] <= at:
            leg, is_first_call = leg + 1, True
        since = at - legs[leg][0] if leg else None
        run = facts.run_ms * rng.lognormvariate(0.0, 0.3)
        scenario.calls.append(Call(at, session, legs[leg][1], run, since, is_first_call))
        is_first_call = False
        at += rng.expovariate(rate) * 1000.0


def _drain() -> tuple[Scenario, Route]:
    scenario = Scenario("drain", 100_000.0, 40_000.0)
    scenario.plans.append((40_000.0, m.AnnouncedPlan("north", 1, "drain", (m.PlanStep(20_000.0, 0.0),))))
    scenario.turns.append(ZoneChange(60_000.0, "north", 1.0, 0.0))

    def route(rng: random.Random, session: Session, home: str, begins: float, ends: float) -> list[Leg]:
        if home != "north":
            return [(begins, home)]
        if begins >= 60_000.0:
            return [(begins, next_zone(session, home))]
        goes = 60_000.0 + rng.uniform(0.0, 1_500.0)
        return [(begins, home), *([(goes, next_zone(session, home))] if goes < ends else [])]

    return scenario, route


def _loss() -> tuple[Scenario, Route]:
    scenario, route = _return()
    scenario.name, scenario.from_ms, scenario.until_ms = "loss", 50_000.0, 90_000.0
    return scenario, route


def _return() -> tuple[Scenario, Route]:
    scenario = Scenario("return", 130_000.0, 90_000.0)
    opens = [(0.25, 100_000.0), (0.5, 105_000.0), (0.75, 110_000.0), (1.0, 115_000.0)]
    scenario.losses.append((60_000.0, "north"))
    scenario.turns.append(ZoneChange(60_400.0, "north", 1.0, 0.0))
    scenario.turns += [ZoneChange(at, "north", part - 0.25, part) for part, at in opens]
    steps = tuple(m.PlanStep(at - 92_000.0, part) for part, at in opens)
    scenario.plans.append((92_000.0, m.AnnouncedPlan("north", 1, "return", steps)))

    def route(rng: random.Random, session: Session, home: str, begins: float, ends: float) -> list[Leg]:
        if home != "north":
            return [(begins, home)]
        away = next_zone(session, home)
        back = next(at for part, at in opens if place(session, home) < part) + rng.uniform(0.0, 500.0)
        goes = 60_000.0 + rng.uniform(0.0, 400.0)
        if begins >= back:
            return [(begins, home)]
        legs = [(begins, away)] if begins >= goes else [(begins, home), (goes, away)]
        legs.append((back, home))
        return [leg for n, leg in enumerate(legs) if n == 0 or leg[0] < ends]

    return scenario, route


def _days() -> tuple[Scenario, Route]:
    scenario = Scenario("days and a week's end", 8 * DAY_MS, 2 * DAY_MS)

    def route(rng: random.Random, session: Session, home: str, begins: float, ends: float) -> list[Leg]:
        if home != "north" or session.org != "medijska-hisa":
            return [(begins, home)]
        legs: list[Leg] = []
        for day in range(8):
            if day not in (5, 6):  # no moves at the weekend
                legs.append((day * DAY_MS + 40_000.0 + rng.gauss(0.0, 1_000.0), "south"))
                legs.append((day * DAY_MS + 90_000.0 + rng.gauss(0.0, 1_000.0), home))
        first = ([home] + [site for at, site in legs if at <= begins])[-1]
        return [(begins, first), *((at, site) for at, site in legs if begins < at < ends)]

    return scenario, route


def _weekdays() -> tuple[Scenario, Route]:
    scenario, route = _days()
    scenario.name, scenario.end_ms = "days, before the week's end", 5 * DAY_MS
    return scenario, route


def _random() -> tuple[Scenario, Route]:
    scenario = Scenario("moves at random", 240_000.0, 60_000.0)

    def route(rng: random.Random, _session: Session, home: str, begins: float, ends: float) -> list[Leg]:
        legs, at = [(begins, home)], begins
        while True:
            at += rng.expovariate(1 / 60_000.0)
            if at >= ends:
                return legs
            now = legs[-1][1]
            there = rng.choice([site for site in SITES if site != now])
            legs.append((at, there))
            if rng.random() < 0.3:  # misleading: the session soon returns
                at += rng.uniform(1_500.0, 4_000.0)
                if at < ends:
                    legs.append((at, now))

    return scenario, route


SCENARIOS: dict[str, Callable[[], tuple[Scenario, Route]]] = {
    "drain": _drain,
    "loss": _loss,
    "return": _return,
    "weekdays": _weekdays,
    "days": _days,
    "random": _random,
}
