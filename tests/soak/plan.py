"""What happens in one run of the soak, drawn by its seed."""

import random
from dataclasses import dataclass, field

from support.unsound_clients import KINDS

from soak.discovery import Fault

OUTAGE_SPANS_S = (3.0, 7.0, 8.0, 15.0)
SETTLED_S = 2.0  # of load before the outage, except where it is there from the start
AFTER_S = 5.0  # of load after the outage
LOADS_RPS = {"trickle": 3.0, "steady": 20.0, "crowd": 80.0}


@dataclass(frozen=True)
class Step:
    """Something that happens `at_s` seconds after the start; `scorer` is a number, where it concerns one."""

    at_s: float
    what: str
    scorer: int = 0


@dataclass(frozen=True)
class Plan:
    """One run: its fleet, its load, the outage and everything else that happens."""

    seed: int
    scorers: int
    fleet_size: int  # front ends that the settings name
    loads_on_miss: bool
    load: str
    fault: Fault
    outage_from_s: float
    outage_s: float
    ends_s: float  # SIGTERM
    unwritable_tmpdir: bool
    steps: list[Step] = field(default_factory=list)
    unsound: tuple[str, ...] = ()  # kinds of unsound clients
    floods: int = 0  # clients that go past the limit of open requests
    idle_crowd: int = 0  # connections that say nothing, or stop half way through a request

    @property
    def outage_until_s(self) -> float:
        """When discovery is back."""
        return self.outage_from_s + self.outage_s


def plan_from(seed: int, outage_s: float | None = None) -> Plan:
    """The plan of a seed; `outage_s` replaces the length that is drawn."""
    chance = random.Random(seed)
    scorers = chance.randint(3, 8)
    span_s = chance.choice(OUTAGE_SPANS_S)
    from_s = chance.choice([0.0, SETTLED_S, SETTLED_S, 6.0])
    fault = chance.choice([fault for fault in Fault if fault is not Fault.NONE])
    fleet_size, loads_on_miss = chance.choice([1, 3, 200]), chance.random() < 0.7
    load = chance.choice(["trickle", "steady", "steady", "crowd"])
    unwritable_tmpdir = chance.random() < 0.2
    outage_s = outage_s or span_s
    ends_s = max(from_s + outage_s + AFTER_S, 14.0)
    steps = _scorer_steps(chance, scorers, from_s, outage_s) + _other_steps(chance, from_s, outage_s)
    unsound, floods, idle_crowd = _bad_clients(chance)
    steps += _bad_client_steps(chance, ends_s)
    steps.sort(key=lambda step: step.at_s)
    return Plan(
        seed=seed,
        scorers=scorers,
        fleet_size=fleet_size,
        loads_on_miss=loads_on_miss,
        load=load,
        fault=fault,
        outage_from_s=from_s,
        outage_s=outage_s,
        ends_s=ends_s,
        unwritable_tmpdir=unwritable_tmpdir,
        steps=steps,
        unsound=unsound,
        floods=floods,
        idle_crowd=idle_crowd,
    )


def _bad_clients(chance: random.Random) -> tuple[tuple[str, ...], int, int]:
    """Kinds of unsound clients, how many go past the limit of open requests, and the size of a crowd."""
    unsound = chance.sample(sorted(KINDS), chance.choice([0, 1, 3, 8]))
    return tuple(unsound), chance.choice([0, 0, 1, 2]), chance.choice([0, 0, 50, 150])


def _bad_client_steps(chance: random.Random, ends_s: float) -> list[Step]:
    """When they come, and signals in series."""
    steps = [Step(chance.uniform(1.0, ends_s / 2.0), "bad clients")]
    if chance.random() < 0.4:
        at_s = chance.uniform(2.0, ends_s - 1.0)
        steps += [Step(at_s + 0.02 * number, "reload") for number in range(chance.randint(2, 6))]
    return steps


def _scorer_steps(chance: random.Random, scorers: int, from_s: float, outage_s: float) -> list[Step]:
    """Drains of up to half of the scorers, some with a removal and a return, and other troubles."""
    steps = []
    drained = chance.sample(range(scorers), chance.randint(1, scorers // 2))
    for scorer in drained:
        at_s = from_s + chance.uniform(-1.0, 1.5 if chance.random() < 0.6 else outage_s)
        at_s = max(0.3, at_s)
        steps.append(Step(at_s, chance.choice(["drain", "drain and close"]), scorer))
        if chance.random() < 0.5:
            gone_s = at_s + chance.uniform(0.5, 9.0)
            steps.append(Step(gone_s, "remove", scorer))
            steps.append(Step(gone_s + chance.uniform(0.3, 3.0), "return", scorer))
    for scorer in set(range(scorers)) - set(drained):
        if chance.random() < 0.25:
            what = chance.choice(["hang", "slow queries", "full", "restart"])
            steps.append(Step(from_s + chance.uniform(0.0, outage_s), what, scorer))
    return steps


def _other_steps(chance: random.Random, from_s: float, outage_s: float) -> list[Step]:
    """Signals, steps of the wall clock, and a log that lags or numbers anew as it comes back."""
    steps = [Step(max(0.2, from_s), "outage"), Step(from_s + outage_s, "discovery is back")]
    if chance.random() < 0.4:
        at_s = from_s + chance.uniform(0.5, outage_s)
        steps += [Step(at_s + 0.05 * number, "reload elsewhere") for number in range(chance.randint(1, 3))]
        steps.append(Step(from_s + outage_s + 0.2, "reload back"))
    if chance.random() < 0.5:
        steps.append(Step(from_s + chance.uniform(0.0, outage_s), chance.choice(["hour on", "hour back"])))
    if chance.random() < 0.25:
        steps.append(Step(from_s + outage_s - 0.05, chance.choice(["lag", "renumber"])))
    return steps
