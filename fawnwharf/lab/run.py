"""Runs a scenario on a fleet, and measures what became of the calls."""

import contextlib
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from hdrh.histogram import HdrHistogram

from fawnwharf.lab.checker import Verdict, judge
from fawnwharf.lab.fleet import STATE, Fleet, Front, LabFault, write_whole
from fawnwharf.lab.scenario import Scenario, Step, When
from fawnwharf.net.wheel import monotonic_ms
from fawnwharf.replication.commands import look
from fawnwharf.standins.relay import BACKWARD, FORWARD, Relay

DRAIN_S = 4.0  # after the load ends, for what is open


@dataclass(slots=True)
class Second:
    """Of one second, by when its requests began."""

    asked: float = 0.0  # worth
    served: float = 0.0  # worth, in time
    requests: int = 0
    refused: int = 0
    failed: int = 0
    late: int = 0


@dataclass(slots=True)
class Measures:
    """Figures of one run; milliseconds, worth and counts."""

    scenario: str
    seed: int
    decided: bool
    verdict: Verdict
    seconds: list[Second]
    marks: dict[str, float]  # seconds since the load began
    outcomes: Counter
    percentiles: dict[str, float]
    crossing: float  # part of the calls that reached a scorer of another zone than their front end's
    fetches: int
    worst_fetches: int
    fell: int
    cpu: float = 0.0  # of a core, the mean front end that lived through the load
    memory_mb: float = 0.0  # the largest
    member_bytes: float = 0.0  # between members, a second and member
    acted: list[float] = field(default_factory=list)  # seconds from a zone's loss, of each that lived on
    second_runs: int = 0  # of at-most-once calls
    keyed_repeats: int = 0  # runs of keyed calls beyond their first
    by_tenant: dict[str, float] = field(default_factory=dict)  # service of each
    once_ms: tuple[float, float] = (
        0.0,
        0.0,
    )  # at-most-once calls until their answer: median, 99th percentile
    waits_ms: tuple[float, float] = (0.0, 0.0)  # for keepers: the mean median and the largest 99th percentile
    comebacks: Counter = field(default_factory=Counter)  # what became of lost at-most-once calls asked again
    complaints: list[str] = field(default_factory=list)

    def service(self, since_s: float = 0.0, until_s: float = 1e9) -> float:
        """Worth answered in time over worth asked."""
        part = [s for n, s in enumerate(self.seconds) if since_s <= n < until_s]
        asked = sum(s.asked for s in part)
        return sum(s.served for s in part) / asked if asked else float("nan")


class Runner:
    """Carries out the steps of a scenario, one after another."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path | None = None) -> None:
        self.scenario, self.seed = scenario, seed
        self.fleet = Fleet(scenario, seed, folder)
        self.chance = random.Random(seed)
        self.members_number = 1
        self.wish_number = 0
        self.noted = 0  # how many notes there were as the step before the present one began
        self.used: dict[str, tuple[float, float]] = {}
        self.passed = 0
        self.lost: tuple[str, float] | None = None  # the first zone that was lost, and when

    def run(self) -> Measures:
        fleet = self.fleet
        try:
            if self.scenario.decide:
                fleet.found()
            for front in fleet.fronts.values():
                fleet.start(front)
            fleet.until_ready(list(fleet.fronts.values()), "all front ends to be ready")
            if self.scenario.decide:
                voters = sum(front.voter for front in fleet.fronts.values())
                self._await(When(valid=True, voters=voters, of="all"))
            fleet.marks["load"] = monotonic_ms()
            self.used, self.passed = fleet.used(), fleet.between_members()
            fleet.clients.start()
            fleet.rest(self.scenario.settle_s)
            began = len(fleet.notes)
            for n, step in enumerate(self.scenario.steps):
                self.noted, began = began, len(fleet.notes)
                what = f"step {n}, {step.do} {step.what}"
                self._await(step.when, what)
                self._await_roles(step, what)
                getattr(self, f"_{step.do}")(step)
                fleet.marks.setdefault(step.text or f"{n} {step.do} {step.what}".strip(), monotonic_ms())
            fleet.rest(self.scenario.rest_s)
            fleet.clients.stop()
            fleet.until(lambda: not fleet.clients.open, "all calls to end", DRAIN_S + 10.0)
            return self.measure()
        finally:
            fleet.close()

    # --- waiting --------------------------------------------------------------------------------

    def _await(self, when: When, what: str = "the start") -> None:
        if when.after_s:
            self.fleet.rest(when.after_s)
        if not self.scenario.decide:
            return  # each on its own: there is nothing to wait for but times
        conditions = list(self._conditions(when))
        for text, condition in conditions:
            self.fleet.until(condition, f"{text} ({what})", when.within_s)

    def _conditions(self, when: When) -> list[tuple[str, Callable[[], bool]]]:
        found: list[tuple[str, Callable[[], bool]]] = []

        def enough(holds: Callable[[Front], bool]) -> bool:
            fronts = self.fronts(when.of)
            count = sum(holds(front) for front in fronts)
            return count > 0 and (2 * count >= len(fronts) if when.half else count == len(fronts))

        if when.state is not None:
            wanted = when.state

            def in_state(front: Front) -> bool:
                return front.plan is not None and all(
                    front.plan.get(zone, "").split(" ")[0] == state for zone, state in wanted.items()
                )

            found.append((f"{wanted} at {when.of}", lambda: enough(in_state)))
        if when.valid is not None:
            found.append(
                (f"a valid plan: {when.valid}", lambda: enough(lambda f: (f.plan is not None) == when.valid))
            )
        if when.leader is not None:
            found.append(
                ("a leader", lambda: any(f.role == "leader" for f in self.fronts("live")) == when.leader)
            )
        if when.leader_in is not None:
            found.append(
                (
                    f"a leader in {when.leader_in}",
                    lambda: [f.zone for f in self.fronts("leader")] == [when.leader_in],
                )
            )
        if when.apart is not None:
            found.append(
                (f"zones apart: {when.apart}", lambda: enough(lambda f: bool(f.apart) == when.apart))
            )
        if when.voters is not None:
            found.append((f"{when.voters} voters", lambda: len(self._voters()) == when.voters))
        if when.voters_are is not None:
            named = sorted(when.voters_are.split(","))
            found.append((f"the voters {when.voters_are}", lambda: self._voters() == named))
        if when.note is not None:
            found.append((f"the note {when.note!r}", lambda: self._noted(when.note)))
        return found

    def _await_roles(self, step: Step, what: str) -> None:
        """Between two leaders there is none: a step on it must wait for one, and not do nothing."""
        for word in {step.what, step.to} & {"leader", "follower"} if self.scenario.decide else ():
            self.fleet.until(lambda word=word: self.fronts(word) != [], f"a {word} ({what})")

    def _voters(self) -> list[str]:
        """The list that was decided last, which need not be the one that was told last: a member that comes
        late to it, or starts again, tells of earlier ones."""
        lists = [note.fields for note in self.fleet.notes if note.event == "voters"]
        last = max(lists, key=lambda fields: fields["index"], default={"voters": [""]})
        return sorted(voter.partition("#")[0] for voter in last["voters"])

    def _noted(self, event: str) -> bool:
        """Since the step before began, as it may have come while that was still under way. What was decided
        counts by its index: others tell of the same later."""
        before, since = self.fleet.notes[: self.noted], self.fleet.notes[self.noted :]
        known = max((n.fields.get("index", -1) for n in before if n.event == event), default=-1)
        return any(n.event == event and n.fields.get("index", known + 1) > known for n in since)

    # --- whom -----------------------------------------------------------------------------------

    def fronts(self, what: str) -> list[Front]:
        """Front ends by a word: all, live, leader, zone:Z, share:P of those that live, or names
        with commas."""
        every = list(self.fleet.fronts.values())
        live = [front for front in every if front.alive and not front.stopped]
        if what in ("", "all"):
            return every
        if what == "live":
            return live
        if what == "leader":
            return [front for front in live if front.role == "leader"][:1]
        if what == "follower":
            return [front for front in live if front.voter and front.role != "leader"][:1]
        if what == "old leader":
            return [front for front in every if front.stopped]
        if what.startswith("zone:"):
            return [front for front in every if front.zone == what[5:]]
        if what.startswith("share:"):
            return self.chance.sample(live, round(float(what[6:]) * len(every)))
        return [self.fleet.fronts[name] for name in what.split(",")]

    def _ids(self, what: str) -> list[str]:
        if what.startswith("zone:"):
            return [id for id, zone in self.fleet.scorer_zone.items() if zone == what[5:]]
        return what.split(",") if what else list(self.fleet.scorers)

    def _zone_of(self, party: str) -> str:
        if party in self.fleet.fronts:
            return self.fleet.fronts[party].zone
        if party in self.fleet.scorer_zone:
            return self.fleet.scorer_zone[party]
        return party[8:] if party.startswith("clients-") else ""

    def _links(self, step: Step) -> list[tuple[Relay, bool]]:
        """The relays between two parties, each with whether `what` is the one that dials.

        A zone is all that stands in it but its clients, who stay with their front ends; a front end is
        itself."""

        def side(word: str) -> Callable[[str], bool]:
            if word.startswith("zone:"):
                return lambda party: self._zone_of(party) == word[5:] and not party.startswith("clients-")
            if word.startswith("clients:"):
                return lambda party: party == f"clients-{word[8:]}"
            if word in ("leader", "follower", "old leader"):
                names = {front.name for front in self.fronts(word)}
                return lambda party: party in names
            if word == "rest":
                first = side(step.what)
                return lambda party: not first(party) and not party.startswith("clients-")
            return lambda party: party in word.split(",")

        one, other = side(step.what), side(step.to or "rest")
        found = []
        for (source, target, what), relay in self.fleet.relays.items():
            if what == "roster":
                continue
            if one(source) and other(target):
                found.append((relay, True))
            elif one(target) and other(source):
                found.append((relay, False))
        return found

    # --- steps ----------------------------------------------------------------------------------

    def _set(self, step: Step, **faults: object) -> None:
        """`forward` is what `what` sends, whoever dialled."""
        for relay, dials in self._links(step):
            if step.way == "both":
                relay.set(None, **faults)
            else:
                relay.set(FORWARD if (step.way == "forward") == dials else BACKWARD, **faults)

    def _cut(self, step: Step) -> None:
        self._set(step, cut=True)

    def _delay(self, step: Step) -> None:
        self._set(step, delay_ms=step.value, jitter_ms=step.value / 4)

    def _lossy(self, step: Step) -> None:
        self._set(step, lossy=step.value)

    def _stall(self, step: Step) -> None:
        self._set(step, stall_after=int(step.value))

    def _reset(self, step: Step) -> None:
        for relay, _ in self._links(step):
            relay.reset()

    def _heal(self, step: Step) -> None:
        relays = [relay for relay, _ in self._links(step)] if step.what else self.fleet.relays.values()
        for relay in relays:
            if relay.faulty:
                relay.heal()

    def _kill(self, step: Step) -> None:
        for front in self.fronts(step.what):
            self.fleet.kill(front)

    def _end(self, step: Step) -> None:
        """As on a release: they are asked to end, and do so when all is answered."""
        ending = [front for front in self.fronts(step.what) if front.alive]
        for front in ending:
            front.process.terminate()
        self.fleet.until(lambda: not any(front.alive for front in ending), "front ends to end")

    def _stop(self, step: Step) -> None:
        for front in self.fronts(step.what):
            self.fleet.stop(front)

    def _go_on(self, step: Step) -> None:
        for front in self.fronts(step.what):
            self.fleet.go_on(front)

    def _start(self, step: Step) -> None:
        started = [front for front in self.fronts(step.what or "all") if not front.alive]
        for front in started:
            self.fleet.start(front)
        self.fleet.until_ready(started, "the started front ends to be ready")

    def _lose_zone(self, step: Step) -> None:
        """A zone goes dark: its links first, so that nobody hears its processes end."""
        self.lost = self.lost or (step.what, monotonic_ms())
        self._set(Step("cut", what=f"zone:{step.what}", to="rest"), cut=True)
        for relay in self._doors(step.what):
            relay.set(None, cut=True)
        for front in self.fronts(f"zone:{step.what}"):
            self.fleet.kill(front)
        for id in self._ids(f"zone:{step.what}"):
            self.fleet.scorers[id].stop()

    def _doors(self, zone: str) -> list[Relay]:
        """The links by which clients come to a zone's front ends."""
        return [
            relay
            for (_, target, what), relay in self.fleet.relays.items()
            if what == "clients" and self._zone_of(target) == zone
        ]

    def _return_zone(self, step: Step) -> None:
        """It comes back cold, and the change log tells of it."""
        self._heal(Step("heal", what=f"zone:{step.what}", to="rest"))
        for relay in self._doors(step.what):
            relay.heal()
        self.fleet.scorers_up(self._ids(f"zone:{step.what}"))
        self._start(Step("start", what=f"zone:{step.what}"))

    def _scorers_down(self, step: Step) -> None:
        for id in self._ids(step.what):
            self.fleet.scorers[id].stop()

    def _scorers_up(self, step: Step) -> None:
        self.fleet.scorers_up(self._ids(step.what))

    def _slow(self, step: Step) -> None:
        for id in self._ids(step.what):
            self.fleet.scorers[id].slow = step.value

    def _store(self, step: Step) -> None:
        if step.text == "down":
            self.fleet.store.down = True
        else:
            self.fleet.store.up()

    def _rate(self, step: Step) -> None:
        self.fleet.clients.factor = step.value

    def _wipe(self, step: Step) -> None:
        for front in self.fronts(step.what):
            (front.folder / "state" / "voter.log").unlink(missing_ok=True)

    def _swap(self, step: Step) -> None:
        """One front end's disk is put in another's place."""
        [one], [other] = self.fronts(step.what), self.fronts(step.to)
        (other.folder / "state").mkdir(exist_ok=True)
        data = (one.folder / "state" / "voter.log").read_bytes()
        (other.folder / "state" / "voter.log").write_bytes(data)

    def _keep_disk(self, step: Step) -> None:
        for front in self.fronts(step.what):
            (front.folder / "kept.log").write_bytes((front.folder / "state" / "voter.log").read_bytes())

    def _old_disk(self, step: Step) -> None:
        """The disk is put back as it was kept: an older copy of itself."""
        for front in self.fronts(step.what):
            (front.folder / "state" / "voter.log").write_bytes((front.folder / "kept.log").read_bytes())

    def _members(self, step: Step) -> None:
        self.members_number += 1
        self.fleet.write_members(self.members_number, set(step.what.split(",")) if step.what else None)

    def _wish(self, step: Step) -> None:
        self.wish_number += 1
        drained = step.what.split(",") if step.what else []
        front = self.fronts("live")[0]
        wishes = {"version": 1, "number": self.wish_number, "drained": drained}
        write_whole(front.folder / "state" / "wishes.json", wishes)

    def _mark(self, step: Step) -> None:
        """Nothing but its mark, which every step leaves."""

    def _start_refused(self, step: Step) -> None:
        """A front end that must not start: it ends by itself, with status 2 and one line that has `text`."""
        [front] = self.fronts(step.what)
        before = front.status
        self.fleet.start(front)
        self.fleet.until(lambda: not front.alive, f"{front.name} to end by itself")
        if front.status != 2 or step.text not in front.last_line:
            raise LabFault(f"{front.name} ended with {front.status}: {front.last_line}")
        front.status = before  # this end is as it should be

    # --- measuring ------------------------------------------------------------------------------

    def measure(self) -> Measures:
        fleet = self.fleet
        began = fleet.marks["load"]
        length = int((monotonic_ms() - began) / 1000.0) + 1
        seconds = [Second() for _ in range(length)]
        outcomes: Counter = Counter()
        times, once = HdrHistogram(1, 60_000, 3), HdrHistogram(1, 60_000, 3)
        for request in fleet.clients.requests:
            second = seconds[min(length - 1, int((request.began_ms - began) / 1000.0))]
            second.asked += request.kind.worth
            second.requests += 1
            second.served += request.kind.worth * request.on_time
            second.refused += request.outcome == "refused"
            second.late += request.outcome == "late" or (request.outcome == "served" and not request.on_time)
            second.failed += request.outcome in ("failed", "lost", "not taken", "no front end")
            outcomes[request.outcome] += 1
            if request.outcome == "served":
                took = max(1, int(request.ended_ms - request.began_ms))
                times.record_value(took)
                if request.kind.effect == "at_most_once":
                    once.record_value(took)
        spent, used = (monotonic_ms() - began) / 1000.0, fleet.used()
        lived = [name for name in used if name in self.used and used[name][0] >= self.used[name][0]]
        cpu = [(used[name][0] - self.used[name][0]) / spent for name in lived]
        passed = fleet.between_members() - self.passed
        runs = [a for a in fleet.arrivals if a.what == "run" and a.sender in fleet.fronts]
        far = sum(fleet.fronts[a.sender].zone != fleet.scorer_zone[a.scorer] for a in runs)
        return Measures(
            scenario=self.scenario.name,
            seed=self.seed,
            decided=self.scenario.decide,
            verdict=judge(fleet),
            seconds=seconds,
            marks={name: (at - began) / 1000.0 for name, at in fleet.marks.items()},
            outcomes=outcomes,
            percentiles={f"p{p}": times.get_value_at_percentile(p) for p in (50, 95, 99)},
            crossing=far / len(runs) if runs else 0.0,
            fetches=fleet.store.fetches,
            worst_fetches=fleet.store.worst,
            fell=sum(scorer.fallen for scorer in fleet.scorers.values()),
            cpu=sum(cpu) / len(cpu) if cpu else 0.0,
            memory_mb=max((used[name][1] for name in used), default=0.0),
            member_bytes=passed / spent / len(fleet.fronts),
            acted=self._acted(),
            second_runs=self._repeats("at_most_once"),
            keyed_repeats=self._repeats("deduplicated"),
            by_tenant=self._by_tenant(),
            once_ms=(once.get_value_at_percentile(50), once.get_value_at_percentile(99)),
            waits_ms=self._waits(),
            comebacks=Counter(
                request.outcome
                for request in fleet.clients.requests
                if request.kind.effect == "at_most_once"
                and any(attempt.outcome == "lost" for attempt in request.tries[:-1])
            ),
            complaints=list(fleet.complaints),
        )

    def _by_tenant(self) -> dict[str, float]:
        asked: Counter = Counter()
        served: Counter = Counter()
        for request in self.fleet.clients.requests:
            asked[request.tenant] += request.kind.worth
            served[request.tenant] += request.kind.worth * request.on_time
        return {tenant: served[tenant] / worth for tenant, worth in sorted(asked.items())}

    def _repeats(self, effect: str) -> int:
        runs = Counter(a.id for a in self.fleet.arrivals if a.what == "run")
        by_request: Counter = Counter()
        for id, count in runs.items():
            request = self.fleet.clients.by_call.get(id)
            if request is not None and request.kind.effect == effect:
                by_request[request.token] += count
        return sum(count - 1 for count in by_request.values())

    def _waits(self) -> tuple[float, float]:
        """How long calls waited for their keepers, as the front ends that live tell."""
        if self.scenario.state is None:
            return 0.0, 0.0
        found = []
        for front in self.fronts("live"):
            with contextlib.suppress(OSError, ValueError):
                found.append(look(f"{front.host}:{STATE}").wait_ms)
        if not found:
            return 0.0, 0.0
        return sum(half for half, _ in found) / len(found), max(most for _, most in found)

    def _acted(self) -> list[float]:
        """When each front end that lived on went by a plan without the zone that was lost first."""
        if self.lost is None:
            return []
        zone, lost_ms = self.lost
        found: dict[str, float] = {}
        for note in self.fleet.notes:
            told = note.event == "following" and note.at_ms >= lost_ms
            told = told and self.fleet.fronts[note.front].zone != zone
            if told and note.fields.get("zones", {}).get(zone, "").startswith("out"):
                found.setdefault(note.front, (note.at_ms - lost_ms) / 1000.0)
        return sorted(found.values())


def run(scenario: Scenario, seed: int, folder: Path | None = None) -> Measures:
    """One run, from the first process to the verdict; raises LabFault where the ground gave way."""
    return Runner(scenario, seed, folder).run()


__all__ = ["LabFault", "Measures", "Runner", "run"]
