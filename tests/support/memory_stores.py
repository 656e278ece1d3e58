"""Durable stores of front ends on in-memory disks, in virtual time.

Tests cause power losses, killed processes, delayed writes and failing disks.
"""

from random import Random

import msgspec
from cores import RULES, Cores

from fawnwharf.consensus.records import DiskError
from fawnwharf.durable_store import store as stores
from fawnwharf.durable_store.file_format import StoreLimits
from fawnwharf.durable_store.folder_reader import UnreadableFolderError
from fawnwharf.durable_store.operations import execute_job
from fawnwharf.fakes.disks import MemoryDisk, Plan
from fawnwharf.recovery_service import recovery_store, stored_promises
from fawnwharf.replication import messages as m
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.settings import ReplicationSettings

LIMITS = StoreLimits(soon_ms=50.0, hint_ms=100.0, wait_ms=1_000.0, slow_ms=100.0, retry_ms=50.0)


class Writer:
    """Runs a job when polled for its outcome, unless the machine's writer is held."""

    output, unsent = None, False

    def __init__(self, machine):
        self.machine, self.job = machine, None

    def start(self, job):
        """Accept a job."""
        self.job = job

    def poll(self):
        """Run the job and return its outcome; None while the writer is held."""
        if self.job is None or self.machine.writer_held:
            return None
        job, self.job = self.job, None
        return execute_job(self.machine.disk, job)

    def close(self):
        """Drop the job."""
        self.job = None


class Machine:
    """One front end's disk and boot id file."""

    def __init__(self, place):
        self.disk, self.writer_held, self.boots, self.place = MemoryDisk(), False, 1, place
        self.place.write_text("boot 1\n")

    def cut(self, seed=1, share=0.5):
        """Lose power: a share of the unsynced writes survives, and the machine has another boot id."""
        self.disk = self.disk.reboot(Random(seed), share)
        self.boots += 1
        self.place.write_text(f"boot {self.boots}\n")

    def kill(self):
        """Kill the process; the disk stays unchanged."""
        self.disk = self.disk.restart()

    def fail_operations(self, operations=10**6):
        """Let the next disk operations fail."""
        self.disk.plan = Plan(fail_at=self.disk.count, fail_for=operations)

    def repair(self):
        """Let disk operations succeed again."""
        self.disk.plan = Plan()


class Site:
    """Machines by member name, and the stores opened on them."""

    def __init__(self, patch, folder):
        self.now, self.folder, self.machines, self.log_events = 1_000.0, folder, {}, []
        patch.setattr(recovery_store, "open_store", self._open)
        patch.setattr(recovery_store, "monotonic_ms", lambda: self.now)
        patch.setattr(recovery_store, "unix_ms", lambda: 1e12 + self.now)
        patch.setattr(stored_promises, "monotonic_ms", lambda: self.now)

    def machine(self, name="n0"):
        """The machine of a member, created at first use."""
        if name not in self.machines:
            self.machines[name] = Machine(self.folder / f"boot-{name}")
        return self.machines[name]

    def _open(self, path, owner, kinds, limits, within_s):
        machine = self.machine(owner.name)
        sources = stores.Sources(lambda: 1e12 + self.now, lambda: "ab" * 8)
        try:
            return stores.create_store(machine.disk, Writer(machine), owner, kinds, limits, sources)
        except UnreadableFolderError as error:
            raise DiskError(str(error)) from None

    def kept(self, name="n0", fresh=False, settle=True, limits=LIMITS, boot_file=None):
        """Open a member's store."""
        place = str(self.machine(name).place) if boot_file is None else boot_file
        settings = recovery_store.RecoveryStoreSettings(self.folder, "f", name, place, limits)
        kept = recovery_store.RecoveryStore(
            settings, lambda what, more: self.log_events.append((what, more)), fleet_is_new=fresh
        )
        if settle:
            self.pump(kept)
        return kept

    def pump(self, kept, span_ms=0.0):
        """Run a store until nothing is due now or within `span_ms`."""
        end = self.now + span_ms
        for _ in range(10_000):
            kept.store.advance(self.now)
            due = kept.store.due_ms()
            if (
                kept.store.core.job_in_progress
                and not self.machines[kept.store.core._header.name].writer_held
            ):
                continue
            if due is None or due > end:
                break
            self.now = max(self.now, due)
        self.now = end


class StoreCores(Cores):
    """Replication cores whose replicas have stores; `flush_stores` writes their contents to disk."""

    def __init__(self, site, fresh=True, rules: ReplicationSettings = RULES):
        super().__init__(rules)
        self.site, self.stores, self.disks = site, {}, {}
        site.now = self.now
        for name in self.keepers:
            self._give(name, fresh)
            self.carry(name, [])
        self.flush_stores()

    def _give(self, name, fresh=False):
        self.stores[name] = self.site.kept(name, fresh, settle=False)
        self.disks[name] = self.stores[name].open_grant_storage(self.cores[name], None)

    def carry(self, name, effects):
        """Carry out the effects of a front end, through its store."""
        self.site.now = self.now
        if (disk := self.disks.get(name)) is not None:
            effects = disk.persist(effects, lambda more: super(StoreCores, self).carry(name, more))
        super().carry(name, effects)

    def flush_stores(self, *names):
        """Run the stores until nothing is due."""
        for _ in range(6):  # a message of one may cause a write of another
            for name in names or list(self.stores):
                self.site.now = self.now
                self.site.pump(self.stores[name])

    def wait(self, span_ms):
        """Advance the time while all stores run."""
        end = self.now + span_ms
        while self.now < end:
            super().wait(50.0)
            self.flush_stores()

    def end_all(self, what, *names):
        """Stop front ends at once by the `Machine` method `what`, and restart them from their disks."""
        for name in names or list(self.cores):
            if name in self.site.machines:
                getattr(self.site.machine(name), what)()
            self.cores[name] = ReplicationCore(
                name, self.cores[name].incarnation + 1, self.cores[name].membership, self.rules, self.now
            )
            if name in self.stores:
                self._give(name)

    def knows_all_grants(self, name):
        """Whether a replica knows all its grants."""
        return self.cores[name].replica.is_complete(self.now)


def request_claim(cores, owner, keeper, key="k"):
    """Send a claim request to a replica; return a function that gives its reply, or None without one."""
    core, said = cores.cores[keeper], []
    ask = m.ClaimRequest(key, f"{owner}#{cores.cores[owner].incarnation}", 1, core.placement.number, 0)
    line = msgspec.to_builtins(cores.cores[owner].log_line(m.Send((keeper,), ask)))
    cores.site.now = cores.now
    said += cores.disks[keeper].persist(core.receive_line(cores.now, owner, line), said.extend)
    return lambda: next(
        (say.message for say in said if isinstance(getattr(say, "message", 0), m.ClaimReply)), None
    )
