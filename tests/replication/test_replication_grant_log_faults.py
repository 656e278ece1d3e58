"""A grant log whose system calls fail, fall short or are its last: what was sent is found within a boot."""

import errno
from contextlib import suppress
from itertools import product

import msgspec
import pytest
from cores import Cores
from support.file_faults import ALWAYS, Faults, FileFaults, Killed

from fawnwharf.consensus.voter_store import DiskError
from fawnwharf.replication import grant_storage
from fawnwharf.replication import messages as m
from fawnwharf.replication.call_owner import RejectCall, RunCall
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.replication.grant_log import GrantLog
from fawnwharf.replication.grant_storage import GrantLogStorage

LIFE_MS = 60.0  # a new file follows after so long
WRITES = 20
STEP_MS = 10.0


def opened(folder, now_ms):
    return GrantLog(folder, "f", "n1", now_ms, LIFE_MS, "boot")


class World:
    """One folder, and the claims that a replica sent after writing them there."""

    def __init__(self, folder):
        self.faults, self.now_ms, self.number = FileFaults(folder), 0.0, 0
        self.told = {}  # key -> until when

    def live(self, sure=1):
        """A life up to its first failure, after which its owner writes no more."""
        log = opened(self.faults.folder, self.now_ms)
        held = [kept for kept in log.grants if kept[2] > self.now_ms]
        log.begin(self.now_ms, sure, held)
        for _ in range(WRITES):
            self.now_ms += STEP_MS
            self.number += 1
            key, until_ms = f"k{self.number}", self.now_ms + LIFE_MS
            claim = Claim("n9#1", self.number, self.number, 0, ClaimPhase.GRANTED)
            log.write(self.now_ms, [(key, claim, until_ms)], sure)
            self.told[key] = until_ms

    def check(self):
        """What still counts is there, as the folder is trusted, and writing can continue."""
        log = opened(self.faults.folder, self.now_ms)
        found = {key for key, _, until_ms in log.grants if until_ms > self.now_ms}
        missing = {key for key, until_ms in self.told.items() if until_ms > self.now_ms} - found
        assert (log.distrust_reason, log.complete_for, missing) == ("", 1, set())
        self.faults.kill()
        self.live()
        self.faults.kill()
        again = opened(self.faults.folder, self.now_ms)
        assert (again.distrust_reason, again.complete_for) == ("", 1)


def calls_of_a_life(folder):
    world = World(folder)
    with world.faults.installed():
        world.live()
        world.faults.kill()
        before = world.faults.count
        world.live()
        return world.faults.count - before


def run(folder, plan):
    world = World(folder)
    with world.faults.installed():
        world.live()
        world.faults.kill()
        made = world.faults.count
        plan.fail_at += made if plan.fail_at >= 0 else 0
        plan.kill_at += made if plan.kill_at >= 0 else 0
        world.faults.plan = plan
        with suppress(Killed, DiskError):
            world.live()
        world.faults.kill()
        world.check()


@pytest.mark.parametrize("times", [1, 3, ALWAYS])
def test_a_failure_of_each_system_call_keeps_earlier_grants(tmp_path, times):
    count = calls_of_a_life(tmp_path / "measured")
    for at, (error, half) in product(range(count), ((errno.ENOSPC, True), (errno.EIO, False))):
        run(tmp_path / f"{at}-{error}", Faults(at, times, error, half=half))


def test_a_kill_at_each_system_call_loses_no_sent_grant(tmp_path):
    count = calls_of_a_life(tmp_path / "measured")
    for at, half in product(range(count), (False, True)):
        run(tmp_path / f"{at}-{half}", Faults(kill_at=at, half=half))


def test_nothing_is_written_after_a_partial_record(tmp_path):
    world = World(tmp_path)
    with world.faults.installed():
        world.live()
        world.faults.kill()
        log = opened(tmp_path, world.now_ms)
        log.begin(world.now_ms, 1, [])
        world.faults.plan = Faults(fail_at=world.faults.count, half=True)
        claim = Claim("n9#1", 1, 1, 0, ClaimPhase.GRANTED)
        for key in ("half", "next"):
            with pytest.raises(DiskError):
                log.write(world.now_ms, [(key, claim, world.now_ms + 1.0)], 1)
        world.faults.kill()
        again = opened(tmp_path, world.now_ms)
        assert (again.distrust_reason, again.complete_for) == ("", 1)


# --- in service -------------------------------------------------------------------------------------


@pytest.fixture
def placed(tmp_path, monkeypatch):
    """Cores, one replica among them with a grant log in a folder with faults, and its log events."""
    cores, notes = Cores(), []
    name = cores.keepers[0]
    faults = FileFaults(tmp_path / "state")
    monkeypatch.setattr(grant_storage, "monotonic_ms", lambda: cores.now)
    monkeypatch.setattr(grant_storage, "boot_id", lambda: "boot")

    def start():
        return GrantLogStorage(
            faults.folder,
            cores.cores[name],
            cores.cores[name].replica,
            lambda what, more: notes.append((what, more)),
        )

    with faults.installed():
        yield cores, name, faults, start, notes


def word(cores, name, log, key):
    """The replica's reply to a claim request."""
    owner, core = cores.owners[0], cores.cores[name]
    request = m.ClaimRequest(key, f"{owner}#{cores.cores[owner].incarnation}", 1, core.placement.number, 0)
    line = msgspec.to_builtins(cores.cores[owner].log_line(m.Send((name,), request)))
    sent = log.persist(core.receive_line(cores.now, owner, line))
    return next(send.message for send in sent if isinstance(getattr(send, "message", None), m.ClaimReply))


def test_a_log_that_fails_at_the_start_grants_nothing_but_starts(placed):
    cores, name, faults, start, notes = placed
    log = start()
    assert word(cores, name, log, "before").granted
    faults.kill()
    cores.restart(name)
    for after in (1, 2, 3, 4):  # the file, its head, what is held, its name
        faults.plan = Faults(fail_at=faults.count + after, fail_for=ALWAYS, error=errno.ENOSPC)
        log = start()
        assert faults.count > faults.plan.fail_at
        [(what, more)] = notes
        assert what == "grant log failed: nothing is granted here until a restart"
        assert "No space" in more["why"]
        assert "before" in cores.cores[name].replica.claim_store.calls
        assert not word(cores, name, log, "new").granted
        assert not cores.cores[name].replica.is_complete(cores.now)
        faults.works()
        assert not word(cores, name, log, "newer").granted  # as it was said
        log.close()
        faults.kill()
        notes.clear()
        cores.restart(name)
    log = start()
    assert log.summary["trusted"]
    assert word(cores, name, log, "newest").granted


def test_a_log_that_fails_in_service_revokes_what_it_could_not_write(placed):
    cores, name, faults, start, notes = placed
    log = start()
    assert word(cores, name, log, "before").granted
    faults.plan = Faults(fail_at=faults.count, error=errno.ENOSPC, half=True)
    assert not word(cores, name, log, "new").granted
    assert [what for what, _ in notes] == ["grant log failed: nothing is granted here until a restart"]
    assert not word(cores, name, log, "newer").granted
    faults.kill()
    cores.restart(name)
    log = start()
    assert log.summary["trusted"]
    assert set(cores.cores[name].replica.claim_store.calls) == {"before"}


def test_an_own_call_is_rejected_when_its_grant_could_not_be_written(placed):
    cores, name, faults, start, _ = placed
    log = start()
    core = cores.cores[name]
    entry = core.replica.claim_store.get_or_create(cores.now, "k")
    core.replica.claim_store.merge(
        cores.now, "k", entry, Claim(core.owner_id, 1, 1, 0, ClaimPhase.GRANTED), 1_000.0
    )
    faults.fail(error=errno.EIO)
    [turned] = log.persist([RunCall("k", claimed=True)])
    assert isinstance(turned, RejectCall)
    assert turned.key == "k"


def test_a_replica_that_heard_of_a_later_membership_grants_nothing_after_a_restart(placed):
    cores, name, faults, start, _ = placed
    log = start()
    assert word(cores, name, log, "before").granted
    other = cores.keepers[1]
    want = msgspec.to_builtins(cores.cores[other].log_line(m.Send((name,), m.StateRequest(1, 1, 2))))
    log.persist(cores.cores[name].receive_line(cores.now, other, want))
    assert not cores.cores[name].replica.is_complete(cores.now)
    faults.kill()
    cores.restart(name)
    log = start()
    assert not log.summary["trusted"]
    assert not word(cores, name, log, "after").granted
