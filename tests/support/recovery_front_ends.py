"""Front ends with recovery that run in the test's thread, with real sockets, folders and boot id files."""

import time

from peers import SETTINGS

from fawnwharf.config import deployment_from
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.policy_rollout.service import PolicyRolloutService
from fawnwharf.recovery_core.phases import RecoveryPhase
from fawnwharf.recovery_service.recovery_store import open_recovery_store
from fawnwharf.recovery_service.service import RecoveryService
from fawnwharf.replication.service import ReplicationService
from fawnwharf.serving import ExtensionGroup
from fawnwharf.zones.bootstrap import bootstrap
from fawnwharf.zones.service import ZoneService
from support import policy_front_ends
from support.policy_front_ends import STATE, VOTING

LEASES = policy_front_ends.TIMING
TIMING = {"hold_ms": 300.0, "listen_ms": 1_500.0, "most_ms": 2_000.0, "settle_ms": 1_500.0}
PACE = {"again_ms": 100.0, "spread_ms": 50.0, "stand_ms": 100.0, "stage_ms": 150.0}


class Node(policy_front_ends.Node):
    """One front end: its files and its running parts."""

    def __init__(self, site, n, zone):
        super().__init__(site, n, zone)
        self.known = True
        self.boot(1)

    def boot(self, number):
        """Set its machine's boot id."""
        (self.folder / "boot").write_text(f"boot {number}\n")

    def start(self, fresh=False):
        """Start or restart with the existing files."""
        event = {"seq": 1, "fleet": {"complete": True, "members": [self.scorer.member(locality=self.zone)]}}
        deployment = deployment_from(
            {
                "name": self.name, "listen": "127.0.0.1:0", "changelog": self.log.host_port, "seed": "7",
                "known": {"seq": 1, "results": [event]} if self.known else {"seq": 0, "results": []},
                "settings": SETTINGS | {"locality": self.zone, "fleet_size": 3},
            },
            {},
        )  # fmt: skip
        here = self.folder
        write = lambda event, fields: self.notes.append((event, dict(fields)))  # noqa: E731
        made = {
            "zones": lambda first, made: ZoneService(deployment, here / "zones.json", write),
            "kept": lambda first, made: open_recovery_store(
                deployment, str(here / "recovery.json"), str(here / "state.json"), write, fleet_is_new=fresh
            ),
            "state": lambda first, made: ReplicationService(
                deployment, here / "state.json", write, fresh=fresh, grant_storage_factory=made["kept"]
            ),
            "policy": lambda first, made: PolicyRolloutService(deployment, here / "policy.json", write, made),
            "recovery": lambda first, made: RecoveryService(
                deployment, here / "recovery.json", write, made
            ),
        }  # fmt: skip
        if not self.site.policy:
            del made["policy"]
        extension = ExtensionGroup(made, True)
        self.lines = []
        self.front = FrontEnd(
            deployment, lambda text, source="": self.lines.append(text), extension=extension
        )
        extension.attach(self.front)
        self.front.start()

    @property
    def agent(self):
        """Its recovery agent."""
        return self.part.running.agent

    def stage(self):
        """The phase that it follows."""
        return self.agent.phase(time.monotonic() * 1000.0)

    def stages(self):
        """The power losses and phases that it went through, without consecutive repeats."""
        phases = []
        for fields in self.noted("recovery phase"):
            if not phases or phases[-1] != (fields["power_loss"], fields["phase"]):
                phases.append((fields["power_loss"], fields["phase"]))
        return phases


class Site(policy_front_ends.Site):
    """Three front ends, one in each zone, with their files."""

    patience_s = 40.0

    def __init__(self, folder, policy=False, **timing):
        self.folder, self.clients, self.policy = folder, [], policy
        self.nodes = [Node(self, n, zone) for n, zone in enumerate("abc")]
        members = {"version": 1, "fleet": "f", "number": 1, "members": [node.entry() for node in self.nodes]}
        for node in self.nodes:
            node.write("members.json", members)
            zones = {"version": 1, "members": "members.json", "folder": "zones", "voting": VOTING}
            node.write("zones.json", zones | {"listen": node.ports[0].text})
            node.write("state.json", {"version": 1, "members": "members.json"} | STATE)
            settings = {"version": 1, "folder": "kept", "fetches": 4, "scorer_rps": 100}
            settings |= {"boot_file": str(node.folder / "boot"), "pace": PACE, "timing": TIMING | timing}
            node.write("recovery.json", settings)
            node.write("policy.json", {"version": 1} | LEASES)
        bootstrap(self.nodes[0].folder / "zones.json", "n0")

    def start(self, nodes=None, fresh=False):
        """Start front ends, all by default."""
        for node in nodes or self.nodes:
            node.start(fresh)

    def begin(self):
        """Start a new fleet; wait for normal operation and until its boots are recorded."""
        self.start(fresh=True)
        self.until(
            lambda: all(
                node.stage() is RecoveryPhase.NORMAL and node.agent.queries_done for node in self.nodes
            ),
            "normal operation",
        )
        noted = lambda: any(len(n.agent.leader.coordinator.register.boots) == 3 for n in self.nodes)  # noqa: E731
        self.until(noted, "boots are recorded")

    def power_loss(self, number, nodes=None):
        """Close front ends and set another boot id on their machines."""
        for node in nodes or self.nodes:
            node.close()
        for node in nodes or self.nodes:
            node.notes.clear()
            node.boot(number)
