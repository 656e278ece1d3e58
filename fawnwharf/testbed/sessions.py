"""Steps of scenarios with sessions: clients that move, and operators' requests by their files."""

import json
from collections.abc import Mapping

from fawnwharf.fakes.sessions import ANY, Live, Moved, Planned
from fawnwharf.net.timer_wheel import monotonic_ms, unix_ms
from fawnwharf.session_types import Session
from fawnwharf.sessions.moves import target
from fawnwharf.testbed.files import write_whole
from fawnwharf.testbed.fleet import Fleet
from fawnwharf.testbed.parties import Parties
from fawnwharf.testbed.processes import Front, LabError
from fawnwharf.testbed.scenario import Step, ZoneSpec

TOLD_MS = 500.0  # pace at which the oracle's file is written


class SessionSteps:
    """Moves clients, and makes operators' requests on sessions by their files."""

    def __init__(self, fleet: Fleet, parties: Parties) -> None:
        self.fleet, self.parties = fleet, parties
        self.number = 0
        self.drained: list[str] = []
        self._drainers: set[str] = set()  # members at which sites were asked to be emptied
        self.disturbed: list[Moved] = []  # sessions whose site was lost, or came back
        self._drawn: list[Planned] | None = None
        if oracle(fleet):
            self._tell_on()

    # --- clients --------------------------------------------------------------------------------

    def ahead(self, step: Step) -> None:
        """Draw who moves in a step that comes after a time, and tell the oracle."""
        if step.do == "move_clients" and step.when.after_s:
            at_ms = monotonic_ms() + 1000.0 * step.when.after_s
            self._drawn = self._draw(step, at_ms)
            self.tell_oracle()

    def _draw(self, step: Step, at_ms: float) -> list[Planned]:
        """Draw the sessions that a step moves.

        `what` is a zone, `*`, or one of both with a tenant behind a slash; `value` the part, all if 0; `to` a
        zone, several with commas to choose from at random, `*`, or `target`: the zone that the front ends
        move each session to.
        """
        clients = self.fleet.clients
        source, _, tenant = step.what.partition("/")
        if step.to == "target":
            drawn = clients.draw(source or ANY, step.value or 1.0, tenant)
            zones = self.fleet.scenario.zones
            return [Planned(at_ms, live, live.site, handed_over(live, zones)) for live in drawn]
        open_ = step.to.split(",") if "," in step.to else None
        destination = ANY if open_ else step.to or ANY
        return [
            Planned(at_ms, live, live.site, clients.elsewhere(live, destination, open_))
            for live in clients.draw(source or ANY, step.value or 1.0, tenant, but=destination)
        ]

    def move_clients(self, step: Step) -> None:
        """Move clients of sessions to another zone."""
        drawn, self._drawn = self._drawn, None
        for planned in drawn if drawn is not None else self._draw(step, monotonic_ms()):
            self.fleet.clients.move(planned.live, planned.destination)

    def bounce(self, step: Step) -> None:
        """Let clients call elsewhere for a moment and come back."""
        self.fleet.clients.bounce(step.value, step.what)

    def tell_oracle(self) -> None:
        """Write what is to come, where front ends go by a file of it."""
        if not oracle(self.fleet):
            return
        offset = unix_ms() - monotonic_ms()
        planned = sorted([*(self._drawn or ()), *self.fleet.clients.planned], key=lambda p: p.at_ms)
        moves = [
            {"at_ms": p.at_ms + offset, "org": p.live.org, "row": p.live.row, "whither": p.destination}
            for p in planned
        ]
        for front in self.fleet.fronts.values():
            beside = front.folder / "told.new"
            beside.write_text("".join(json.dumps(move) + "\n" for move in moves))
            beside.rename(front.folder / "told.jsonl")

    def _tell_on(self) -> None:
        self.tell_oracle()
        self.fleet.loop.timers.after(TOLD_MS, self._tell_on)

    def disturb(self, zone: str) -> None:
        """Let a zone's sessions call elsewhere from now on, or come back."""
        for live in getattr(self.fleet.clients, "live", ()):
            if live.site == zone:
                self.disturbed.append(Moved(monotonic_ms(), live.org, live.row, zone, ""))

    # --- operators ------------------------------------------------------------------------------

    def keepers(self) -> list[Front]:
        """The replicas that live, of the last list that was told; any front end where none was."""
        if not (found := self.parties.keepers()):
            raise LabError("no keeper lives that could be asked")
        return found

    def asked(self, destination: str) -> Front:
        """The replica that an operator turns to: one of a zone that is not drained, `destination` at best."""
        found = [front for front in self.keepers() if front.zone not in self.drained] or self.keepers()
        front = next((front for front in found if front.zone == destination), found[0])
        self.fleet.asked = front.name
        return front

    def _write(self, front: Front, moves: list[dict[str, str]]) -> None:
        self.number += 1
        wishes = {"version": 1, "number": self.number, "moves": moves, "drained": self.drained}
        (front.folder / "kept").mkdir(exist_ok=True)
        write_whole(front.folder / "kept" / "moves.json", wishes)

    def move_session(self, step: Step) -> None:
        """Ask for migrations.

        `what` is a zone, or one session as tenant/function; `value` is how many of the zone, all if 0. A
        session without a call that was served is known to nobody.
        """
        clients = self.fleet.clients
        org, slash, row = step.what.partition("/")
        if slash:
            drawn = [Live(org, row, "")]
        else:
            drawn = clients.draw(org, count=int(step.value) or len(clients.live), but=step.to, served=True)
        site = step.to
        self._write(self.asked(site), [{"org": live.org, "row": live.row, "site": site} for live in drawn])

    def drain_site(self, step: Step) -> None:
        """Ask for zones to be emptied.

        `what` are the zones, with commas; empty to let all have sessions again. `to` may name who is asked.
        """
        self.drained = step.what.split(",") if step.what else []
        front = self.parties.fronts(step.to)[0] if step.to else self.asked("")
        self.fleet.asked = front.name
        for name in {front.name} if self.drained else self._drainers:  # a wish stands where it was made
            self._write(self.fleet.fronts[name], [])
        self._drainers = self._drainers | {front.name} if self.drained else set()

    def release(self, step: Step) -> None:
        """Release a part of the functions anew: their copies are void."""
        rows = self.fleet.clients.functions
        for scorer in self.fleet.scorers.values():
            scorer.release(rows[: round((step.value or 1.0) * len(rows))])


def handed_over(live: Live, zones: Mapping[str, ZoneSpec]) -> str:
    """Where a session goes whose zone is emptied, among zones with as much room as scorers."""
    room = {name: zone.scorers for name, zone in zones.items() if name != live.site}
    return target(Session(live.org, live.row), room)


def oracle(fleet: Fleet) -> bool:
    """Whether front ends are told of moves in advance."""
    asked = (fleet.scenario.sessions or {}).get("foresight") or {}
    return asked.get("mode") == "oracle"
