"""Power losses: all of a fleet, or a zone, ends without notice and comes back, some of it never.

What is off sends nothing and is not reached: its links are cut before its processes are killed, so that
nobody sees their connections end. Its machine comes back first, and refuses connections until its process
listens.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from fawnwharf.fakes.relay import Relay
from fawnwharf.net.timer_wheel import Timer, monotonic_ms
from fawnwharf.testbed import files
from fawnwharf.testbed.fleet import Fleet
from fawnwharf.testbed.measures import Meter
from fawnwharf.testbed.parties import Parties
from fawnwharf.testbed.scenario import Returns, Step

RUSH, RUSH_MS = 4.0, 1_000.0  # times the usual rate, and for how long
# Of a cut, until clients ask again for the at-most-once calls of the last moments, and how long those are:
# what comes of it is within the time for which calls are promised to run once, by the lab's settings.
AGAIN_MS, LAST_MS = 2_500.0, 1_000.0
LATE_SEQ = 1_000  # of the event that configurations know, where the log begins again with 1
LAST_S = 1.0  # behind all others comes what comes last
STORE, LOG = "store", "log"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine of a zone that may lose its power."""

    name: str
    zone: str
    voter: bool = False


def never(chance: random.Random, fronts: list[Machine], returns: Returns) -> set[str]:
    """The front ends that don't come back."""
    voters = [front.name for front in fronts if front.voter]
    most = len(voters) // 2 + 1
    if returns.few_voters:
        found = set(chance.sample(voters, most))
        others = [front.name for front in fronts if front.name not in found]
    else:
        found = set()
        kept = chance.sample(voters, min(most, len(voters)))
        others = [front.name for front in fronts if front.name not in kept]
    count = round(returns.never * len(fronts)) - len(found)
    return found | set(chance.sample(others, min(max(0, count), len(others))))


def drawn(
    chance: random.Random, over_s: float, fronts: list[Machine], others: Iterable[Machine], returns: Returns
) -> list[tuple[float, str]]:
    """When each comes back, in seconds, by time; `others` are scorers, the store and the change log."""
    away = never(chance, fronts, returns)
    found = []
    for machine in [*fronts, *others]:
        own_s = returns.store_s if machine.name == STORE and returns.store_s is not None else over_s
        at_s = chance.uniform(0.0, own_s) + returns.late_s * (machine.zone == returns.late)
        if machine.name not in away:
            found.append((at_s, machine.name))
    if returns.log == "last":
        last_s = max((at_s for at_s, _ in found), default=0.0) + LAST_S
        found = [(last_s if name == LOG else at_s, name) for at_s, name in found]
    return sorted(found)


class Power:
    """Owns who is off, and when who comes back."""

    def __init__(self, fleet: Fleet, parties: Parties, meter: Meter) -> None:
        self.fleet, self.parties, self.meter = fleet, parties, meter
        self.dark: set[str] = set()  # front ends, scorers, the store; a front end's change log as log:N
        self._coming: dict[str, Timer] = {}
        self._cut: dict[Relay, None] = {}
        self._steps = 0

    def cut(self, what: str) -> None:
        """Cut the power of all, the store and the change log included, or of zone:Z with its change logs."""
        fleet = self.fleet
        fronts, ids = self.parties.fronts(what), self.parties.ids(what)
        now = {*(front.name for front in fronts), *(f"log:{front.name}" for front in fronts), *ids}
        self.dark |= now if what else now | {STORE}
        for name in [name for name in self._coming if name in now or not what]:
            self._coming.pop(name).cancel()
        for ends, relay in fleet.relays.items():
            if self._dark(ends):
                relay.set(None, cut=True)
                self._cut[relay] = None
        self.meter.power_cut({front.name for front in fronts})
        fleet.cut(fronts)
        for front in fronts:
            files.new_boot(front)
            fleet.clocks.begin(front.name, front.folder)
            front.log.power_cut()
        for id in ids:
            fleet.scorers[id].stop()
        if not what:
            fleet.store.cut()
        since_ms = monotonic_ms() - LAST_MS
        fleet.loop.timers.after(AGAIN_MS, lambda: fleet.clients.ask_again(since_ms))

    def back(self, step: Step) -> None:
        """Let what lost its power come back."""
        fleet, returns = self.fleet, step.returns
        self._steps += 1
        chance = random.Random(f"{fleet.seed}/power/{self._steps}")
        fronts = [f for f in self.parties.fronts(step.what) if f.name in self.dark]
        machines = [Machine(front.name, front.zone, front.voter) for front in fronts]
        others = [Machine(id, fleet.scorer_zone[id]) for id in self.parties.ids(step.what) if id in self.dark]
        others += [Machine(STORE, "")] * (STORE in self.dark) + [Machine(LOG, "")]
        # Of a zone's change logs that of a front end that never comes is not missed.
        logs = [front.name for front in fronts if f"log:{front.name}" in self.dark]

        def come(name: str) -> None:
            self._coming.pop(name, None)
            if name == LOG:
                self._logs(logs, returns.log_again)
            elif name == STORE:
                self.dark.discard(STORE)
                fleet.store.up()
            elif name in fleet.fronts:
                self._front(name, returns.log_again)
            else:
                self._scorer(name, returns.new_ids)

        for at_s, name in drawn(chance, step.value, machines, others, returns):
            self._coming[name] = fleet.loop.timers.after(1000.0 * at_s, lambda name=name: come(name))

    def rush(self, factor: float) -> None:
        """Let all clients come at once."""
        self.fleet.clients.rush(factor or RUSH, RUSH_MS)

    # --- who comes back -------------------------------------------------------------------------

    def _dark(self, ends: tuple[str, str, str]) -> bool:
        source, target, _ = ends
        return source in self.dark or (f"log:{source}" if target == "changelog" else target) in self.dark

    def _light(self, names: set[str]) -> None:
        """Links whose two ends have power are good again; connections from before it are unknown there."""
        self.dark -= names
        for ends, relay in self.fleet.relays.items():
            if relay in self._cut and not self._dark(ends):
                del self._cut[relay]
                relay.reset()
                relay.heal()

    def _front(self, name: str, log_again: bool) -> None:
        front = self.fleet.fronts[name]
        self._light({name})
        if log_again:
            files.known_late(front, LATE_SEQ)
        self.meter.power_back(name)
        self.fleet.start(front, as_it_was=True)

    def _scorer(self, id: str, renamed: bool) -> None:
        fleet, old = self.fleet, id
        self._light({id})
        if renamed:
            id = fleet.rename(id)
        fleet.scorers_up([id], told=False)
        for front in fleet.fronts.values():
            if front.log.dark:
                continue
            entry = fleet.entry(front, id)
            gone = [{**entry, "id": old, "phase": "terminated"}] if renamed else []
            front.log.add([*gone, entry])

    def _logs(self, names: list[str], again: bool) -> None:
        """They know scorers as they were told last: also those that are not back yet."""
        for name in names:
            front = self.fleet.fronts[name]
            front.log.power_back(self.fleet.entries(front), again)
        self._light({f"log:{name}" for name in names})
