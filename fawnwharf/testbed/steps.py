"""The steps of scenarios: what each does to the fleet."""

from pathlib import Path

from fawnwharf.fakes.relay import BACKWARD, FORWARD
from fawnwharf.testbed.files import write_members, write_whole
from fawnwharf.testbed.fleet import Fleet
from fawnwharf.testbed.measures import Meter
from fawnwharf.testbed.operators import Desk
from fawnwharf.testbed.parties import Parties
from fawnwharf.testbed.power import Power
from fawnwharf.testbed.processes import LabError
from fawnwharf.testbed.proposals import Proposals
from fawnwharf.testbed.scenario import Step
from fawnwharf.testbed.sessions import SessionSteps

DISKS = "voter.log", "policy.json"  # of a member, in its folder


class Steps:
    """Carries out one step at a time; `do` of a step names its method."""

    def __init__(self, fleet: Fleet, parties: Parties, meter: Meter) -> None:
        self.fleet, self.parties, self.meter = fleet, parties, meter
        self.desk, self.proposals = Desk(fleet), Proposals(fleet)
        self.sessions = SessionSteps(fleet, parties)
        self.power = Power(fleet, parties, meter)
        meter.disturbed = self.sessions.disturbed
        self.members_number = 1
        self.wish_number = 0

    def carry_out(self, step: Step) -> None:
        """Carry out a step."""
        getattr(self, f"_{step.do}")(step)

    def _set(self, step: Step, **faults: object) -> None:
        """`forward` is what `what` sends, whoever dialled."""
        for relay, dials in self.parties.links(step):
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
        for relay, _ in self.parties.links(step):
            relay.reset()

    def _heal(self, step: Step) -> None:
        relays = [relay for relay, _ in self.parties.links(step)] if step.what else self.fleet.relays.values()
        for relay in relays:
            if relay.faulty:
                relay.heal()

    def _kill(self, step: Step) -> None:
        killed = self.parties.fronts(step.what)
        for front in killed:
            self.fleet.kill(front)
        self.fleet.killed = [front.name for front in killed]

    def _end(self, step: Step) -> None:
        """As on a release: they are asked to end, and do so when all is answered."""
        ending = [front for front in self.parties.fronts(step.what) if front.alive]
        for front in ending:
            front.process.terminate()
        self.fleet.until(lambda: not any(front.alive for front in ending), "front ends to end")

    def _stop(self, step: Step) -> None:
        for front in self.parties.fronts(step.what):
            self.fleet.stop(front)

    def _go_on(self, step: Step) -> None:
        for front in self.parties.fronts(step.what):
            self.fleet.go_on(front)

    def _start(self, step: Step) -> None:
        started = [front for front in self.parties.fronts(step.what or "all") if not front.alive]
        for front in started:
            self.fleet.start(front)
        self.fleet.until_ready(started, "the started front ends to be ready")

    def _lose_zone(self, step: Step) -> None:
        """A zone goes dark: its links first, so that nobody hears its processes end."""
        self.meter.zone_lost(step.what)
        self.sessions.disturb(step.what)
        self._set(Step("cut", what=f"zone:{step.what}", to="rest"), cut=True)
        for relay in self.parties.doors(step.what):
            relay.set(None, cut=True)
        for front in self.parties.fronts(f"zone:{step.what}"):
            self.fleet.kill(front)
        for id in self.parties.ids(f"zone:{step.what}"):
            self.fleet.scorers[id].stop()

    def _return_zone(self, step: Step) -> None:
        """It comes back cold, and the change log tells of it."""
        self._heal(Step("heal", what=f"zone:{step.what}", to="rest"))
        for relay in self.parties.doors(step.what):
            relay.heal()
        self.fleet.scorers_up(self.parties.ids(f"zone:{step.what}"))
        self._start(Step("start", what=f"zone:{step.what}"))
        self.sessions.disturb(step.what)

    def _scorers_down(self, step: Step) -> None:
        for id in self.parties.ids(step.what):
            self.fleet.scorers[id].stop()

    def _scorers_up(self, step: Step) -> None:
        self.fleet.scorers_up(self.parties.ids(step.what))

    def _slow(self, step: Step) -> None:
        for id in self.parties.ids(step.what):
            self.fleet.scorers[id].slow = step.value

    def _store(self, step: Step) -> None:
        if step.text == "down":
            self.fleet.store.down = True
        else:
            self.fleet.store.up()

    def _rate(self, step: Step) -> None:
        self.fleet.clients.factor = step.value

    def _wipe(self, step: Step) -> None:
        for front in self.parties.fronts(step.what):
            for name in DISKS:
                (front.folder / "state" / name).unlink(missing_ok=True)

    def _swap(self, step: Step) -> None:
        """One front end's disk is put in another's place."""
        [one], [other] = self.parties.fronts(step.what), self.parties.fronts(step.to)
        (other.folder / "state").mkdir(exist_ok=True)
        self._copy(one.folder / "state", other.folder / "state")

    def _keep_disk(self, step: Step) -> None:
        for front in self.parties.fronts(step.what):
            (front.folder / "aside").mkdir(exist_ok=True)
            self._copy(front.folder / "state", front.folder / "aside")

    def _old_disk(self, step: Step) -> None:
        """The disk is put back as it was kept: an older copy of itself."""
        for front in self.parties.fronts(step.what):
            self._copy(front.folder / "aside", front.folder / "state")

    def _copy(self, source: Path, target: Path) -> None:
        for name in DISKS:
            if (source / name).exists():
                (target / name).write_bytes((source / name).read_bytes())

    def _members(self, step: Step) -> None:
        self.members_number += 1
        write_members(self.fleet, self.members_number, set(step.what.split(",")) if step.what else None)

    def _wish(self, step: Step) -> None:
        self.wish_number += 1
        drained = step.what.split(",") if step.what else []
        front = self.parties.fronts("live")[0]
        wishes = {"version": 1, "number": self.wish_number, "drained": drained}
        write_whole(front.folder / "state" / "wishes.json", wishes)

    def _replace(self, step: Step) -> None:
        """One after another, as on a release."""
        for front in self.parties.fronts(step.what):
            self.desk.replace(front)

    def _kill_replacing(self, step: Step) -> None:
        for front in self.parties.fronts(step.what):
            self.desk.kill(front, step.to)

    def _standby(self, step: Step) -> None:
        self.desk.standby(self.parties.fronts(step.what))

    def _active(self, step: Step) -> None:
        self.desk.active(self.parties.fronts(step.what))

    def _take_out(self, step: Step) -> None:
        """Scorers, at all front ends that live or at those of `to`."""
        self.desk.take_out(self.parties.fronts(step.to or "live"), self.parties.ids(step.what))

    def _bring_back(self, step: Step) -> None:
        self.desk.bring_back(self.parties.fronts(step.to or "live"), self.parties.ids(step.what))

    def _propose(self, step: Step) -> None:
        [front] = self.parties.fronts(step.what)
        self.proposals.propose(front, step.document)

    def _back(self, step: Step) -> None:
        [front] = self.parties.fronts(step.what)
        self.proposals.back(front)

    def _call_off(self, step: Step) -> None:
        [front] = self.parties.fronts(step.what)
        self.proposals.call_off(front)

    def _move_clients(self, step: Step) -> None:
        self.sessions.move_clients(step)

    def _bounce(self, step: Step) -> None:
        self.sessions.bounce(step)

    def _move_session(self, step: Step) -> None:
        self.sessions.move_session(step)

    def _drain_site(self, step: Step) -> None:
        self.sessions.drain_site(step)

    def _release(self, step: Step) -> None:
        self.sessions.release(step)

    def _power_cut(self, step: Step) -> None:
        self.power.cut(step.what)

    def _power_back(self, step: Step) -> None:
        """All return by themselves from now on; the next step does not wait for that."""
        self.power.back(step)

    def _clients_rush(self, step: Step) -> None:
        self.power.rush(step.value)

    def _clock(self, step: Step) -> None:
        """Unix time is set by `value` seconds, forward or back."""
        for front in self.parties.fronts(step.what):
            self.fleet.clocks.step(front.name, step.value)

    def _mark(self, step: Step) -> None:
        """Nothing but its mark, which every step leaves."""

    def _start_refused(self, step: Step) -> None:
        """A front end that must not start: it ends by itself, with status 2 and one line that has `text`."""
        [front] = self.parties.fronts(step.what)
        before = front.status
        self.fleet.start(front)
        self.fleet.until(lambda: not front.alive, f"{front.name} to end by itself")
        if front.status != 2 or step.text not in front.last_line:
            raise LabError(f"{front.name} ended with {front.status}: {front.last_line}")
        front.status = before  # this end is as it should be
