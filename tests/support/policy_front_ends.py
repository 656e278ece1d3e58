"""Front ends with policy rollouts in one thread, with real sockets and files; their loops take turns."""

import json
import time

from peers import SETTINGS, ClientPeer, ScorerPeer
from processes import Log, Port

from fawnwharf.config import deployment_from
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.policy_rollout.service import PolicyRolloutService
from fawnwharf.replication.service import ReplicationService
from fawnwharf.serving import ExtensionGroup
from fawnwharf.zones.bootstrap import bootstrap
from fawnwharf.zones.service import ZoneService

PATIENCE_S = 30.0
TIMING = {"lease_ms": 800.0, "renew_ms": 100.0, "prepare_ms": 2_500.0, "again_ms": 100.0}
VOTING = {"beat_ms": 60.0, "election_ms": 400.0, "fresh_ms": 200.0, "valid_ms": 1_000.0}
STATE = {"call_most_ms": 9_900.0, "window_ms": 1_500.0, "use_ms": 100.0}


class Node:
    """One front end of a site: its files, and the running front end if there is one."""

    def __init__(self, site, n, zone, policy=True):
        self.site, self.name, self.zone, self.policy = site, f"n{n}", zone, policy
        self.folder = site.folder / self.name
        self.folder.mkdir()
        self.log, self.scorer = Log(), ScorerPeer(f"s-{n}", copies=4)
        self.ports = [Port() for _ in range(3)]
        self.tenants = [{"name": "acme", "quota_rps": 30.0}]
        self.front, self.notes = None, []

    def entry(self):
        """The front end's entry in the members file."""
        address, ballots, state = (port.text for port in self.ports)
        return {"name": self.name, "zone": self.zone, "address": address, "ballots": ballots, "state": state}

    def start(self):
        """Start or restart the front end with the present files."""
        event = {"seq": 1, "fleet": {"complete": True, "members": [self.scorer.member(locality=self.zone)]}}
        deployment = deployment_from(
            {
                "name": self.name, "listen": "127.0.0.1:0", "changelog": self.log.host_port, "seed": "7",
                "known": {"seq": 1, "results": [event]},
                "settings": SETTINGS | {"tenants": self.tenants, "locality": self.zone, "fleet_size": 3},
            },
            {},
        )  # fmt: skip
        write = lambda event, fields: self.notes.append((event, dict(fields)))  # noqa: E731
        made = {"zones": lambda first, made: ZoneService(deployment, self.folder / "zones.json", write)}
        if self.site.state:
            made["state"] = lambda first, made: ReplicationService(
                deployment, self.folder / "state.json", write, fresh=first
            )
        if self.policy:
            path = self.folder / "settings.json"
            made["policy"] = lambda first, made: PolicyRolloutService(deployment, path, write, made)
        extension = ExtensionGroup(made, True)
        self.lines = []
        self.front = FrontEnd(
            deployment, lambda text, source="": self.lines.append(text), extension=extension
        )
        extension.attach(self.front)
        self.front.start()

    @property
    def part(self):
        """The extension under test, which is the one built last."""
        return self.front.extension._parts[-1]

    @property
    def zones(self):
        """The front end's extension for zones."""
        return self.front.extension._parts[0]

    def close(self):
        """Close the front end if it is running."""
        if self.front is not None:
            self.front.close()
            self.front = None

    def noted(self, event):
        """The fields of each log entry of an event."""
        return [fields for logged_event, fields in self.notes if logged_event == event]

    def request(self, number, **request):
        """Write an operator's request to the request file."""
        self.write("zones/proposal.json", {"version": 1, "number": number} | request)

    def write(self, name, data):
        """Write a file atomically."""
        path = self.folder / name
        path.parent.mkdir(exist_ok=True)
        temporary_path = path.with_suffix(".beside")
        temporary_path.write_bytes(data if isinstance(data, bytes) else json.dumps(data).encode())
        temporary_path.rename(path)

    def outcome(self, number):
        """The outcome of a request made at this front end; None for an unknown request."""
        return next(
            (
                request.outcome
                for request in self.part.member.submitted
                if request.outcome.request_number == number
            ),
            None,
        )

    def by(self):
        """The document number and the basis of the policy that applies to calls now."""
        policy = self.part.active_policy
        return policy.number, policy.basis


class Site:
    """Three front ends, one in each zone, with their files and peers."""

    patience_s = PATIENCE_S

    def __init__(self, folder, state=False, policies=(True, True, True), **timing):
        self.folder, self.state, self.clients = folder, state, []
        self.nodes = [Node(self, n, zone, policies[n]) for n, zone in enumerate("abc")]
        members = {"version": 1, "fleet": "f", "number": 1, "members": [node.entry() for node in self.nodes]}
        for node in self.nodes:
            node.write("members.json", members)
            zones = {"version": 1, "members": "members.json", "folder": "zones", "voting": VOTING}
            node.write("zones.json", zones | {"listen": node.ports[0].text})
            node.write("state.json", {"version": 1, "members": "members.json"} | STATE)
            node.write("settings.json", {"version": 1, "trace": "trace.jsonl"} | TIMING | timing)
        bootstrap(self.nodes[0].folder / "zones.json", "n0")

    def start(self):
        """Start all front ends."""
        for node in self.nodes:
            node.start()

    def begin(self):
        """Start all front ends and wait until all are voters and have leases."""
        self.start()
        voter = self.nodes[0].zones.core.voter
        self.until(lambda: len(voter.saved.voters) == 3, "all are voters")
        self.until(lambda: self.in_force(0), "all have leases")

    def turn(self):
        """Run one iteration of each event loop and of each peer."""
        for node in self.nodes:
            if node.front is not None:
                node.front.loop.run_iteration(0.001)
            node.log.pump()
            node.scorer.pump()
        for client in self.clients:
            client.pump()

    def until(self, condition, what):
        """Run until a condition holds; after `patience_s` it fails with `what` in the message."""
        deadline_s = time.monotonic() + self.patience_s
        while not condition():
            assert time.monotonic() < deadline_s, f"timed out waiting until {what}: {self.told()}"
            self.turn()

    def rest(self, seconds):
        """Run for some seconds."""
        deadline_s = time.monotonic() + seconds
        while time.monotonic() < deadline_s:
            self.turn()

    def told(self):
        """The last log entries of each front end, for failure messages."""
        return [(node.name, node.notes[-8:], node.lines[-3:]) for node in self.nodes if node.front]

    def client(self, node):
        """Connect a client to a front end."""
        self.clients.append(ClientPeer(node.front.address))
        return self.clients[-1]

    def ready(self, node):
        """Whether a front end reports to a client that it is ready."""
        client = self.client(node)
        client.status()
        self.until(lambda: client.answers, "the status arrives")
        return client.answers[0][2][3]

    def leader(self):
        """Wait for a leader and return its front end."""
        self.until(lambda: any(node.part.member.coordinator.term for node in self.nodes), "there is a leader")
        return next(node for node in self.nodes if node.part.member.coordinator.term)

    def in_force(self, number, nodes=None):
        """Whether these front ends (default: all) have leases for this document number."""
        return all(node.by() == (number, "leased") for node in nodes or self.nodes)

    def close(self):
        """Close all front ends, peers, ports and clients."""
        for node in self.nodes:
            node.close()
            for peer in (node.log, node.scorer):
                peer.close()
            for port in node.ports:
                port.sock.close()
        for client in self.clients:
            client.sock.close()


def document(rps=20.0, **more):
    """A policy document with this quota for tenant acme, and further sections."""
    return {"version": 1, "tenants": {"acme": {"quota_rps": rps}}} | more
