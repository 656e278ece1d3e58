"""Front ends with sessions in this thread and on real sockets, with scorers, clients and a change log."""

import json
import time

import peers
from processes import Log, Port, Scorer, flush

from fawnwharf import interface as io
from fawnwharf import serving
from fawnwharf.config import deployment_from
from fawnwharf.net import scorer_frames
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.policy import Router
from fawnwharf.zones import operator_log as zones_log

PATIENCE_S = 30.0
SETTINGS = peers.SETTINGS | {
    "classes": [{"name": "view", "effect": "idempotent", "give_up": 2_000.0, "promise": 1_000.0}],
    "family_info": {"may_order": True, "not_loaded": "load", "idle_life": 30_000.0},
}


def ordered(router, event):
    """Stands for a decision module that does not know the event: it orders at once."""
    router.actions.append(io.OrderCopies(event.scorer, event.function, event.copies))


class Held(Scorer):
    """Has one copy of a function from its first load order or run on, until it is unloaded."""

    def __init__(self, id, zone, delay_s=0.01):
        super().__init__(id, delay_s, copies=1)
        self.zone = zone

    def member(self, phase="in_service", **more):
        """Its entry in the roster."""
        return super().member(phase, locality=self.zone, **more)

    @property
    def unloaded(self):
        """The functions that it was told to unload."""
        return [frame.id.hex() for _, frame in self.of(scorer_frames.UNLOAD)]


class Fronts:
    """Front ends a0, a1, b0, ... of the zones given; the first of each zone is a replica, or the second."""

    def __init__(self, folder, monkeypatch, zones="aabc", handover=None, drain=None, scorers=1, **more):
        self.folder, self.notes, self.clients, self.habits = folder, [], [], []
        monkeypatch.setattr(zones_log, "writer", self.writer)
        if io.PrefetchRequested not in Router.handlers:
            monkeypatch.setitem(Router.handlers, io.PrefetchRequested, ordered)
        self.log = Log()
        self.scorers = [Held(f"s-{zone}{n}", zone) for zone in sorted(set(zones)) for n in range(scorers)]
        names = [f"{zone}{zones[:n].count(zone)}" for n, zone in enumerate(zones)]
        self.ports = {name: Port() for name in names}
        members = [
            {"name": name, "zone": name[0], "address": f"127.0.0.1:{n + 2}", "state": self.ports[name].text}
            | ({"ballots": f"127.0.0.1:{n + 5000}"} if name[1] == "0" else {})
            for n, name in enumerate(names)
        ]
        self.write("members.json", {"version": 1, "fleet": "f", "number": 1, "members": members})
        self.write("state.json", {"version": 1, "members": "members.json", "quiet_ms": 1_500.0})
        self.seen, self.fronts, self.extensions = {name: [] for name in names}, {}, {}
        for name in names:
            rules = {"version": 1, "folder": name, "handover": handover or {}, "drain": drain or {}} | more
            self.write(f"sessions-{name}.json", rules)
            self.start(name, fresh=True)

    def write(self, name, data):
        """Write a file of JSON."""
        (self.folder / name).write_text(json.dumps(data))

    def writer(self, name):
        """A log that keeps its lines."""
        return lambda event, fields: self.notes.append((event, {"member": name, **fields}))

    def start(self, name, fresh=False):
        """Start a front end."""
        event = {"seq": 1, "fleet": {"complete": True, "members": [s.member() for s in self.scorers]}}
        config = {
            "name": name,
            "listen": "127.0.0.1:0",
            "changelog": self.log.host_port,
            "seed": "7",
            "known": {"seq": 1, "results": [event]},
            "settings": SETTINGS | {"locality": name[0], "fleet_size": len(self.ports)},
        }
        deployment = deployment_from(config, {})
        files = {
            "state": str(self.folder / "state.json"),
            "sessions": str(self.folder / f"sessions-{name}.json"),
        }
        extension = serving.ExtensionGroup(serving._subsystem_factories(deployment, files, fresh), True)
        front = self.fronts[name] = FrontEnd(
            deployment, log=lambda text, source="": None, extension=extension
        )
        extension.attach(front)
        self.extensions[name] = extension
        handle = front.router.handle

        def spied(now, events):
            self.seen[name] += [event for event in events if isinstance(event, io.RequestArrived)]
            return handle(now, events)

        front.router.handle = spied
        front.start()

    def part(self, name, place=1):
        """A part of a front end, by its place in the order in which they are made."""
        return self.extensions[name]._parts[place]

    def agent(self, name):
        """The agent of a front end."""
        return self.part(name).agent

    def client(self, name):
        """Connect a client to a front end."""
        self.clients.append(peers.ClientPeer(self.fronts[name].address))
        return self.clients[-1]

    def turn(self):
        """Run one iteration of each loop and peer."""
        for front in self.fronts.values():
            front.loop.run_iteration(0.0005)
        for peer in [self.log, *self.scorers, *self.clients]:
            peer.pump()
        for link in self.log.links:
            flush(link, bytearray())
        for habit in list(self.habits):
            habit()

    def until(self, condition, what="it happens"):
        """Run until a condition holds, and return what it gave; fails after `PATIENCE_S`."""
        end = time.monotonic() + PATIENCE_S
        while not (found := condition()):
            assert time.monotonic() < end, f"waited in vain until {what}: {self.notes[-8:]}"
            self.turn()
        return found

    def settle(self):
        """Run until all hear each other, and replicas may grant."""
        self.until(
            lambda: all(
                len(self.agent(name).alive) == (len(self.fronts) - 1 if self.agent(name).keeper else 3)
                for name in self.fronts
            ),
            "all are heard",
        )

    def call(self, client, **fields):
        """Make a call; its answer."""
        seqid = client.call(ttl="1500", **fields)
        self.until(lambda: seqid in client.kinds(), "the call is answered")
        return client.kinds()[seqid]

    def noted(self, event):
        """The fields of the log lines of an event."""
        return [fields for noted, fields in self.notes if noted == event]

    def close(self):
        """Close everything."""
        for front in self.fronts.values():
            front.close()
        for peer in [self.log, *self.scorers]:
            peer.close()
        for port in self.ports.values():
            port.sock.close()
