"""Addresses on loopback: fakes for all that front ends talk to, and a relay on each path.

Each zone has its own addresses.
"""

import hashlib
import random
import socket
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from fawnwharf.config import Address
from fawnwharf.fakes.changelog import ChangeLogServer
from fawnwharf.fakes.clients import Clients, Kind
from fawnwharf.fakes.nature import Arrival, Nature, Store
from fawnwharf.fakes.relay import Relay
from fawnwharf.fakes.scorers import Scorer
from fawnwharf.fakes.sessions import SessionClients
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.timer_wheel import unix_ms
from fawnwharf.testbed.processes import Front, LabError
from fawnwharf.testbed.scenario import Scenario

SLOTS = 24  # labs that may run side by side on one machine
PORT, PUBLIC, BALLOTS, STATE = 4100, 4101, 4102, 4103
CONTROL = 4104, 4105  # of a front end's processes in turn

KINDS = [
    Kind("points-view", "idempotent", 400.0, 1_500.0, 1.0, 0.7),
    Kind("lineup-save", "deduplicated", 500.0, 2_000.0, 3.0, 0.15),
    Kind("transfer-settle", "at_most_once", 600.0, 2_000.0, 5.0, 0.15),
]
TENANTS = ["medijska-hisa", "klub-sever"]


class Slot:
    """A range of loopback addresses of its own, locked while the lab or one of its front ends lives.

    Front ends inherit the lock, as a lab that was killed leaves front ends that still listen.
    """

    def __init__(self) -> None:
        first = random.SystemRandom().randrange(SLOTS)
        for n in range(SLOTS):
            self.base = 16 + 9 * ((first + n) % SLOTS)
            self.lock = socket.socket()
            try:
                self.lock.bind((f"127.{self.base}.255.1", 4099))
                return
            except OSError:
                self.lock.close()
        raise LabError("no free range of loopback addresses")

    def host(self, zone: int, part: int, number: int) -> str:
        """An address by zone, kind of party and number."""
        return f"127.{self.base + zone}.{part}.{number + 1}"

    def close(self) -> None:
        """Release the range."""
        self.lock.close()


class Topology:
    """Owns what stands around front ends, and the links between all; front ends themselves only by name."""

    def __init__(self, scenario: Scenario, seed: int, folder: Path) -> None:
        self.scenario, self.seed = scenario, seed
        self.folder = folder
        self.loop = EventLoop(lambda now_ms, events: None, lambda text: self.complaints.append(text))
        self.complaints: list[str] = []
        self.slot = Slot()
        self.arrivals: list[Arrival] = []
        self.fronts: dict[str, Front] = {}
        self.scorers: dict[str, Scorer] = {}
        self.scorer_zone: dict[str, str] = {}
        self.phase: dict[str, str] = {}
        self.up_since: dict[str, float] = {}
        self.relays: dict[tuple[str, str, str], Relay] = {}  # from, to, what for
        self._senders: dict[Address, str] = {}
        self.store = Store(self.loop)
        self.zones = list(scenario.zones)
        self.clients: Clients | None = None
        try:
            self._build()
        except BaseException:
            self.close()
            raise

    # --- building -------------------------------------------------------------------------------

    def _build(self) -> None:
        chance = random.Random(self.seed)
        nature = msgspec.convert(self.scenario.nature, dict[str, float])
        kind = Nature(**{**_usual(), **{k: type(_usual()[k])(v) for k, v in nature.items()}})
        number = 0
        for place, (zone, spec) in enumerate(self.scenario.zones.items()):
            for n in range(spec.scorers):
                host = self.slot.host(place, 2, n)
                self._add_scorer(f"s-{zone}{n}", zone, host, kind, chance.getrandbits(32))
            for n in range(spec.front_ends):
                name, host = f"n{number}", self.slot.host(place, 1, n)
                folder = self.folder / name
                folder.mkdir(parents=True, exist_ok=True)
                log = ChangeLogServer(self.loop, self.slot.host(place, 4, n))
                self.fronts[name] = Front(name, zone, host, n < spec.voters, folder, log)
                number += 1
        for front in self.fronts.values():
            self._relays_of(front)
        self._add_clients()

    def _add_scorer(self, id: str, zone: str, host: str, kind: Nature, seed: int) -> None:
        self.scorers[id] = Scorer(
            self.loop, id, host, kind, self.store, seed, self._sender, self.arrivals.append, self._listens
        )
        self.scorer_zone[id], self.phase[id], self.up_since[id] = zone, "in_service", 0.0

    def _add_clients(self) -> None:
        parts = self.scenario.parts
        kinds = [replace(kind, part=parts.get(kind.name, kind.part)) for kind in KINDS]
        rates = {zone: spec.rps for zone, spec in self.scenario.zones.items() if spec.rps}
        load = (self.loop, self.seed, kinds, rates, self.scenario.functions, TENANTS, self._for_clients)
        how = {"comeback": self.scenario.comeback, "twice": self.scenario.twice, "asks": self.scenario.asks}
        if self.scenario.live:
            begin = dict(self.scenario.live)
            self.clients = SessionClients(*load, begin, again=self.scenario.again, **how)
        else:
            self.clients = Clients(*load, tenant_of=self.scenario.tenants, **how)

    def _relay(self, source: str, target: str, what: str, host: str, address: Address) -> None:
        far = {self.zone_of(source), self.zone_of(target)} - {""}

        def dialled(own: Address) -> None:
            self._senders[own] = source

        seed = hash_of(f"{self.seed}/{source}/{target}/{what}")
        usual_ms = self.scenario.far_ms if len(far) > 1 else 0.0
        self.relays[source, target, what] = Relay(self.loop, host, address, seed, dialled, usual_ms)

    def zone_of(self, party: str) -> str:
        """The zone of a party; the change log of a front end stands beside it."""
        if party in self.fronts:
            return self.fronts[party].zone
        return self.scorer_zone.get(party, party[8:] if party.startswith("clients-") else "")

    def _relays_of(self, front: Front) -> None:
        place = self.zones.index(front.zone)
        here = self.slot.host(place, 3, 0)
        for id, scorer in self.scorers.items():
            self._relay(front.name, id, "calls", here, scorer.address)
        self._relay(front.name, "changelog", "roster", here, front.log.address)
        for zone in self.zones:
            self._relay(f"clients-{zone}", front.name, "clients", here, (front.host, PORT))
        for other in self.fronts.values():
            if other is not front and self.scenario.state is not None:
                self._relay(front.name, other.name, "state", here, (other.host, STATE))
        if not self.scenario.decide:
            return
        for other in self.fronts.values():
            if other is not front and (front.voter or other.voter):
                self._relay(front.name, other.name, "public", here, (other.host, PUBLIC))
                if front.voter and other.voter:
                    self._relay(front.name, other.name, "ballots", here, (other.host, BALLOTS))

    def _listens(self, party: str, on: bool) -> None:
        """A dial to who does not listen is refused, by the relays too."""
        for (_, target, _), relay in self.relays.items():
            if target == party:
                relay.refuse(not on)

    def _sender(self, peer: Address) -> str:
        return self._senders.get(peer, "?")

    def _for_clients(self) -> dict[str, tuple[str, Address]]:
        """Each front end as the clients of its own zone reach it."""
        return {
            name: (front.zone, self.relays[f"clients-{front.zone}", name, "clients"].address)
            for name, front in self.fronts.items()
        }

    # --- scorers and the roster -----------------------------------------------------------------

    def entries(self, front: Front) -> list[dict[str, Any]]:
        """The scorers as a front end's change log lists them."""
        return [self.entry(front, id) for id in self.scorers if self.phase[id] != "terminated"]

    def entry(self, front: Front, id: str) -> dict[str, Any]:
        """One scorer as a front end's change log lists it."""
        return {
            "id": id,
            "host_port": self.relays[front.name, id, "calls"].host_port,
            "locality": self.scorer_zone[id],
            "phase": self.phase[id],
            "size": float(self.scorers[id].nature.cores),
            "up_since_ms": self.up_since[id],
        }

    def tell(self, ids: list[str]) -> None:
        """Let each change log tell of these scorers as they are now."""
        for front in self.fronts.values():
            if front.alive and not front.log.dark:
                front.log.add([self.entry(front, id) for id in ids])

    def scorers_up(self, ids: list[str], told: bool = True) -> None:
        """Start scorers; `told` says whether the change logs tell of it."""
        for id in ids:
            self.scorers[id].start()
            self.up_since[id] = unix_ms()
            self.phase[id] = "in_service"
        if told:
            self.tell(ids)

    def rename(self, id: str) -> str:
        """Put another scorer at this one's addresses; its id. The old one is in no list any more."""
        new = f"{id.partition('.')[0]}.{self.scorers[id].life + 1}"
        scorer = self.scorers[new] = self.scorers.pop(id)
        scorer.id = new
        self.scorer_zone[new], self.phase[new] = self.scorer_zone[id], self.phase[id]
        self.phase[id], self.up_since[new] = "terminated", self.up_since[id]
        for (source, target, what), relay in list(self.relays.items()):
            if target == id:
                del self.relays[source, target, what]
                self.relays[source, new, what] = relay
        return new

    # --- the whole ------------------------------------------------------------------------------

    def between_members(self) -> int:
        """Bytes that have passed between members."""
        links = (
            relay for (_, _, what), relay in self.relays.items() if what in ("public", "ballots", "state")
        )
        return sum(sum(relay.bytes.values()) for relay in links)

    def close(self) -> None:
        """Close all fakes and relays."""
        for relay in self.relays.values():
            relay.close()
        for scorer in self.scorers.values():
            scorer.stop()
        for front in self.fronts.values():
            front.log.close()
        self.slot.close()
        self.loop.close()


def hash_of(text: str) -> int:
    """The number of a scorer: a hash of its id."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def _usual() -> dict[str, Any]:
    usual = Nature()
    return {name: getattr(usual, name) for name in Nature.__slots__}
