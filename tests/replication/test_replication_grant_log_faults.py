"""A grant log whose system calls fail, write partially, or are interrupted by a kill, within one boot.

Every grant that was sent before the fault must be found by the next incarnation.
"""

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

LIFETIME_MS = 60.0  # of claims, and the time after which a new file is started
WRITES = 20
STEP_MS = 10.0


def open_log(folder, now_ms):
    return GrantLog(folder, "f", "n1", now_ms, LIFETIME_MS, "boot")


class LoggedReplica:
    """A folder with faults, and the claims that a replica sent after writing them there."""

    def __init__(self, folder):
        self.faults, self.now_ms, self.number = FileFaults(folder), 0.0, 0
        self.sent = {}  # expiry time by key

    def run_incarnation(self, complete_for=1):
        """Open the log and write claims; the first failed write ends the incarnation."""
        log = open_log(self.faults.folder, self.now_ms)
        valid = [grant for grant in log.grants if grant.expires_ms > self.now_ms]
        log.begin(self.now_ms, complete_for, valid)
        for _ in range(WRITES):
            self.now_ms += STEP_MS
            self.number += 1
            key, expires_ms = f"k{self.number}", self.now_ms + LIFETIME_MS
            claim = Claim("n9#1", self.number, self.number, 0, ClaimPhase.GRANTED)
            log.write(self.now_ms, [(key, claim, expires_ms)], complete_for)
            self.sent[key] = expires_ms

    def check(self):
        """Check that all valid claims are found, the folder is trusted, and writing can continue."""
        log = open_log(self.faults.folder, self.now_ms)
        found = {key for key, _, expires_ms in log.grants if expires_ms > self.now_ms}
        missing = {key for key, expires_ms in self.sent.items() if expires_ms > self.now_ms} - found
        assert (log.distrust_reason, log.complete_for, missing) == ("", 1, set())
        self.faults.kill()
        self.run_incarnation()
        self.faults.kill()
        again = open_log(self.faults.folder, self.now_ms)
        assert (again.distrust_reason, again.complete_for) == ("", 1)


def count_system_calls(folder):
    """The number of system calls of the second incarnation, which finds a log."""
    replica = LoggedReplica(folder)
    with replica.faults.installed():
        replica.run_incarnation()
        replica.faults.kill()
        before = replica.faults.count
        replica.run_incarnation()
        return replica.faults.count - before


def run_with_faults(folder, plan):
    """Run one incarnation without faults and one with this plan, then check what the next one finds."""
    replica = LoggedReplica(folder)
    with replica.faults.installed():
        replica.run_incarnation()
        replica.faults.kill()
        earlier_calls = replica.faults.count
        plan.fail_at += earlier_calls if plan.fail_at >= 0 else 0
        plan.kill_at += earlier_calls if plan.kill_at >= 0 else 0
        replica.faults.plan = plan
        with suppress(Killed, DiskError):
            replica.run_incarnation()
        replica.faults.kill()
        replica.check()


@pytest.mark.parametrize("times", [1, 3, ALWAYS])
def test_a_failure_of_each_system_call_keeps_earlier_grants(tmp_path, times):
    count = count_system_calls(tmp_path / "measured")
    for at, (error, half) in product(range(count), ((errno.ENOSPC, True), (errno.EIO, False))):
        run_with_faults(tmp_path / f"{at}-{error}", Faults(at, times, error, half=half))


def test_a_kill_at_each_system_call_loses_no_sent_grant(tmp_path):
    count = count_system_calls(tmp_path / "measured")
    for at, half in product(range(count), (False, True)):
        run_with_faults(tmp_path / f"{at}-{half}", Faults(kill_at=at, half=half))


def test_nothing_is_written_after_a_partial_record(tmp_path):
    replica = LoggedReplica(tmp_path)
    with replica.faults.installed():
        replica.run_incarnation()
        replica.faults.kill()
        log = open_log(tmp_path, replica.now_ms)
        log.begin(replica.now_ms, 1, [])
        replica.faults.plan = Faults(fail_at=replica.faults.count, half=True)
        claim = Claim("n9#1", 1, 1, 0, ClaimPhase.GRANTED)
        for key in ("half", "next"):
            with pytest.raises(DiskError):
                log.write(replica.now_ms, [(key, claim, replica.now_ms + 1.0)], 1)
        replica.faults.kill()
        again = open_log(tmp_path, replica.now_ms)
        assert (again.distrust_reason, again.complete_for) == ("", 1)


# --- a replica in service -----------------------------------------------------------------------


@pytest.fixture
def replica_with_log(tmp_path, monkeypatch):
    """Cores, one replica's name, the faults of its grant log, a function to open the log, and log events."""
    cores, events = Cores(), []
    name = cores.keepers[0]
    faults = FileFaults(tmp_path / "state")
    monkeypatch.setattr(grant_storage, "monotonic_ms", lambda: cores.now)
    monkeypatch.setattr(grant_storage, "boot_id", lambda: "boot")

    def start():
        return GrantLogStorage(
            faults.folder,
            cores.cores[name],
            cores.cores[name].replica,
            lambda event, fields: events.append((event, fields)),
        )

    with faults.installed():
        yield cores, name, faults, start, events


def claim_reply(cores, name, log, key):
    """The replica's reply to a claim request."""
    owner, core = cores.owners[0], cores.cores[name]
    request = m.ClaimRequest(key, f"{owner}#{cores.cores[owner].incarnation}", 1, core.placement.number, 0)
    line = msgspec.to_builtins(cores.cores[owner].log_line(m.Send((name,), request)))
    sent = log.persist(core.receive_line(cores.now, owner, line))
    return next(send.message for send in sent if isinstance(getattr(send, "message", None), m.ClaimReply))


def test_a_log_that_fails_at_the_start_grants_nothing_but_starts(replica_with_log):
    cores, name, faults, start, events = replica_with_log
    log = start()
    assert claim_reply(cores, name, log, "before").granted
    faults.kill()
    cores.restart(name)
    for after in (1, 2, 3, 4):  # creating the file, writing its header, writing the claims, renaming it
        faults.plan = Faults(fail_at=faults.count + after, fail_for=ALWAYS, error=errno.ENOSPC)
        log = start()
        assert faults.count > faults.plan.fail_at
        [(event, fields)] = events
        assert event == "grant log failed: nothing is granted here until a restart"
        assert "No space" in fields["why"]
        assert "before" in cores.cores[name].replica.claim_store.calls
        assert not claim_reply(cores, name, log, "new").granted
        assert not cores.cores[name].replica.is_complete(cores.now)
        faults.works()
        assert not claim_reply(cores, name, log, "newer").granted  # as logged, until a restart
        log.close()
        faults.kill()
        events.clear()
        cores.restart(name)
    log = start()
    assert log.summary["trusted"]
    assert claim_reply(cores, name, log, "newest").granted


def test_a_log_that_fails_in_service_revokes_what_it_could_not_write(replica_with_log):
    cores, name, faults, start, events = replica_with_log
    log = start()
    assert claim_reply(cores, name, log, "before").granted
    faults.plan = Faults(fail_at=faults.count, error=errno.ENOSPC, half=True)
    assert not claim_reply(cores, name, log, "new").granted
    assert [event for event, _ in events] == ["grant log failed: nothing is granted here until a restart"]
    assert not claim_reply(cores, name, log, "newer").granted
    faults.kill()
    cores.restart(name)
    log = start()
    assert log.summary["trusted"]
    assert set(cores.cores[name].replica.claim_store.calls) == {"before"}


def test_an_own_call_is_rejected_when_its_grant_could_not_be_written(replica_with_log):
    cores, name, faults, start, _ = replica_with_log
    log = start()
    core = cores.cores[name]
    entry = core.replica.claim_store.get_or_create(cores.now, "k")
    core.replica.claim_store.merge(
        cores.now, "k", entry, Claim(core.owner_id, 1, 1, 0, ClaimPhase.GRANTED), 1_000.0
    )
    faults.fail(error=errno.EIO)
    [rejection] = log.persist([RunCall("k", claimed=True)])
    assert isinstance(rejection, RejectCall)
    assert rejection.key == "k"


def test_a_logged_claim_counts_as_old_after_a_restart(replica_with_log):
    """Its age tells whether scorers still drop repeats, and the log does not have the time of the request."""
    cores, name, faults, start, _ = replica_with_log
    log = start()
    assert claim_reply(cores, name, log, "before").granted
    faults.kill()
    cores.now += 100.0
    cores.restart(name)
    log = start()
    owner, store = cores.owners[1], cores.cores[name].replica.claim_store
    request = m.ClaimRequest("before", f"{owner}#{cores.cores[owner].incarnation}", 1, 1, 0)
    line = msgspec.to_builtins(cores.cores[owner].log_line(m.Send((name,), request)))
    [reply] = [send.message for send in log.persist(cores.cores[name].receive_line(cores.now, owner, line))]
    assert not reply.granted
    assert reply.age_ms >= store.claim_lifetime_ms("before")
    claim_reply(cores, name, log, "after")
    assert store.calls["after"].created_ms == cores.now  # a new call has its own age


def test_a_replica_that_heard_of_a_later_membership_grants_nothing_after_a_restart(replica_with_log):
    cores, name, faults, start, _ = replica_with_log
    log = start()
    assert claim_reply(cores, name, log, "before").granted
    other = cores.keepers[1]
    request = msgspec.to_builtins(cores.cores[other].log_line(m.Send((name,), m.StateRequest(1, 1, 2))))
    log.persist(cores.cores[name].receive_line(cores.now, other, request))
    assert not cores.cores[name].replica.is_complete(cores.now)
    faults.kill()
    cores.restart(name)
    log = start()
    assert not log.summary["trusted"]
    assert not claim_reply(cores, name, log, "after").granted
