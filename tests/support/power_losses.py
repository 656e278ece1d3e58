"""Real front end processes whose machines lose power: all are killed at once and restart in another boot."""

import shutil

import msgspec

from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.testbed import files
from fawnwharf.testbed import scenario as scenarios
from fawnwharf.testbed.fleet import Fleet
from fawnwharf.testbed.topology import KINDS, TENANTS

SETTLE = KINDS[2]  # at most once
RULES = {"call_most_ms": 2_500.0, "window_ms": 4_000.0}  # the values of the testbed
WINDOW_MS = 1.2 * sum(RULES.values())


def scenario():
    """The testbed scenario from which these runs are derived."""
    found = scenarios.load("state-killed")
    zones = {zone: msgspec.structs.replace(spec, front_ends=1) for zone, spec in found.zones.items()}
    return msgspec.structs.replace(found, zones=zones, decide=True)


class PowerFleet(Fleet):
    """Three front ends, one in each zone, all replicas and voters, with a recovery store or only files."""

    def __init__(self, seed, stores=True, **recovery):
        """`recovery` has settings of `recovery.json` that replace the defaults."""
        super().__init__(scenario(), seed)
        self.stores, self.boot, self.recovery = stores, 1, recovery

    def start(self, front):
        """Start a front end in the current boot."""
        (front.folder / "boot").write_text(f"{front.name} {self.boot}\n")
        recovery = {"version": 1, "folder": "durable", "boot_file": "boot", "fetches": 8, "scorer_rps": 50.0}
        recovery["boot_file"] = str((front.folder / "boot").resolve())
        files.write_whole(front.folder / "recovery.json", recovery | self.recovery)
        super().start(front)

    def command(self, front):
        """The command line, with recovery if there are stores."""
        return super().command(front) + (["--recovery", "recovery.json"] if self.stores else [])

    def begin(self):
        """Bootstrap the fleet and start all front ends."""
        self.found()
        self.up()

    def up(self):
        """Start all front ends; wait until they are ready and their stores have settled."""
        fronts = list(self.fronts.values())
        for front in fronts:
            self.start(front)
        self.until_ready(fronts, "all front ends")
        lives = len(fronts[0].lives)
        if self.stores:  # a power loss before the first start has written would leave an empty folder
            self.until(lambda: all(self.settled(front, lives) for front in fronts), "stores to settle")

    def settled(self, front, lives):
        """Whether the log file of this incarnation exists, and with it all writes of the start."""
        logs = [int(path.stem[4:]) for path in (front.folder / "durable").glob("log-*.seg")]
        return max(logs, default=0) >= lives

    def cut(self):
        """Cut the power of all front ends at once.

        Replica files without a store are invalid in another boot. As their boot id can't be set here, the
        files are removed instead.
        """
        for front in self.fronts.values():
            if front.process is not None:
                front.process.kill()
        for front in self.fronts.values():
            self.kill(front)
            if not self.stores:
                shutil.rmtree(front.folder / "kept")
        self.boot += 1

    def ask(self, zone="a"):
        """Make an at-most-once call from a zone."""
        # Otherwise clients keep avoiding front ends that were down: the testbed's load, which
        # probes them, does not run here.
        self.clients._down.clear()
        return self.clients._ask(SETTLE, zone, TENANTS[0], self.clients.functions[0])

    def again(self, request, zone):
        """Make the same call again from a zone."""
        self.clients._down.clear()
        twin = self.clients._again(request, zone)
        self.clients._try(twin)
        return twin

    def outcome(self, request, zone):
        """Repeat a call from a zone until it is not refused, and return its outcome.

        It may be refused until the logs are connected.
        """
        twins = []

        def ended():
            if not twins or twins[-1].outcome in ("refused", "no front end"):
                twins.append(self.again(request, zone))
            return twins[-1].outcome not in ("", "refused", "no front end")

        self.until(ended, "a call to end")
        return twins[-1].outcome

    def runs(self, request):
        """How often a call reached a scorer that did not reject it."""
        mine = [one for one in self.arrivals if one.id == request.call_id]
        return sum((one.what == "run") - (one.what == "turned") for one in mine)

    def running(self):
        """Return a call that runs at a scorer; earlier ones may have failed while the fleet started."""
        asked = [self.ask()]

        def runs():
            if asked[-1].outcome:
                asked.append(self.ask())
            return not asked[-1].outcome and self.runs(asked[-1]) == 1

        self.until(runs, "a call to run")
        return asked[-1]

    def served(self, what, within_s=40.0):
        """Make calls until one is served; return when, in ms of the monotonic clock."""
        asked = [self.ask()]

        def good():
            if asked[-1].outcome and asked[-1].outcome != "served":
                asked.append(self.ask())
            return asked[-1].outcome == "served"

        self.until(good, what, within_s)
        return asked[-1].ended_ms

    def back(self):
        """Cut the power and restart all; return the ms from readiness until a call is served."""
        self.served("the fleet to serve")
        self.cut()
        self.up()
        ready = monotonic_ms()
        return self.served("a call after the cut") - ready
