"""Damaged grant logs, malformed lines, and randomized simulations with faults."""

import os

import pytest
from cores import Cores

from fawnwharf.consensus.voter_store import DiskError
from fawnwharf.replication import messages as m
from fawnwharf.replication.call_owner import RunCall
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.replication.core import InvalidLineError, ReplicationCore
from fawnwharf.replication.grant_log import GrantLog
from fawnwharf.replication.owned_call import CallProgress
from fawnwharf.testbed.promises import STORM, Walk, Weather

# --- the grant log ------------------------------------------------------------------------------


def open_log(folder, boot="b1", now=0.0, name="n1", life=10_000.0):
    return GrantLog(folder, "f", name, now, life, boot)


def write_log(folder, count=3, **more):
    """Write the log of a complete replica with `count` claims, one per record; returns the last file."""
    log = open_log(folder, **more)
    log.begin(0.0, 1, [])
    for n in range(count):
        log.write(float(n), [(f"k{n}", Claim("n9#1", n + 1, n + 1, 0, ClaimPhase.GRANTED), 9_000.0 + n)], 0)
    log.close()
    return max(folder.glob("keeper-*.log"), key=lambda path: int(path.stem[7:]))


def read_back(folder, **more):
    log = open_log(folder, **more)
    log.close()
    return log


def test_grants_are_read_back_within_one_boot_and_not_after_another(tmp_path):
    write_log(tmp_path)
    found = read_back(tmp_path)
    assert (found.distrust_reason, found.complete_for, [key for key, _, _ in found.grants]) == (
        "",
        1,
        ["k0", "k1", "k2"],
    )
    assert read_back(tmp_path, boot="b2").distrust_reason == "of another boot"
    assert read_back(tmp_path, boot="b2").grants == []
    assert read_back(tmp_path, boot="").distrust_reason == "of another boot"
    with pytest.raises(DiskError, match="of n1 in fleet f"):
        open_log(tmp_path, name="n2")


def test_a_truncated_last_record_is_ignored(tmp_path):
    path = write_log(tmp_path)
    data = path.read_bytes()
    last = data.rfind(b"fwv1")
    for end in range(last, len(data)):
        os.truncate(path, 0)
        with open(path, "r+b") as file:  # keeps the inode: a copy would not be trusted
            file.write(data[:end])
        found = read_back(tmp_path)
        assert (found.distrust_reason, len(found.grants)) == ("", 2), end


def test_damage_in_the_middle_and_a_copied_file_are_not_trusted(tmp_path):
    path = write_log(tmp_path)
    data = path.read_bytes()
    for at in range(len(data) // 3, data.rfind(b"fwv1"), 7):
        with open(path, "r+b") as file:
            file.write(data[:at] + bytes([data[at] ^ 0x40]) + data[at + 1 :])
        assert "damaged" in read_back(tmp_path).distrust_reason, at
    with open(path, "r+b") as file:
        file.write(data)
    assert read_back(tmp_path).distrust_reason == ""
    copy = tmp_path / "copy"
    copy.write_bytes(data)
    os.rename(copy, path)
    assert "a copy" in read_back(tmp_path).distrust_reason


def test_files_are_rotated_as_claims_expire_and_the_previous_one_is_needed_for_so_long(tmp_path):
    log = open_log(tmp_path, life=100.0)
    log.begin(0.0, 1, [])
    for n in range(60):
        log.write(
            10.0 * n, [(f"k{n}", Claim("n9#1", n + 1, n + 1, 0, ClaimPhase.GRANTED), 10.0 * n + 100.0)], 1
        )
        assert len(list(tmp_path.glob("keeper-*.log"))) <= 2
    log.close()
    found = read_back(tmp_path, life=100.0, now=600.0)
    live = {key for key, _, until in found.grants if until > 600.0}
    assert found.distrust_reason == ""
    assert live == {f"k{n}" for n in range(51, 60)}
    first, _ = sorted(tmp_path.glob("keeper-*.log"), key=lambda path: int(path.stem[7:]))
    first.unlink()
    assert "missing" in read_back(tmp_path, life=100.0, now=595.0).distrust_reason
    # All claims of the missing file have expired.
    assert read_back(tmp_path, life=100.0, now=900.0).distrust_reason == ""


def test_a_file_of_an_incomplete_replica_is_not_trusted(tmp_path):
    log = open_log(tmp_path)
    log.begin(0.0, 0, [])
    log.write(1.0, [], 0)
    log.close()
    assert (read_back(tmp_path).distrust_reason, read_back(tmp_path).complete_for) == ("", 0)
    assert read_back(tmp_path / "empty").distrust_reason == "no file"


def test_a_folder_is_locked_by_one_process_and_a_failed_write_raises(tmp_path, monkeypatch):
    log = open_log(tmp_path)
    with pytest.raises(DiskError):
        open_log(tmp_path)
    log.begin(0.0, 1, [])
    write = os.write
    monkeypatch.setattr(os, "write", lambda file, data: write(file, data[:10]))
    with pytest.raises(DiskError, match="no space for a complete record"):
        log.write(0.0, [("k", Claim("n9#1", 1, 1, 0, ClaimPhase.GRANTED), 9.0)], 0)
    log.close()
    monkeypatch.undo()
    assert read_back(tmp_path).grants == []


# --- bad input ----------------------------------------------------------------------------------

GOOD_CLAIM = {"owner": "n1#1", "ask": 1, "number": 1, "slot": 0, "phase": 3}
GOOD_REQUEST = {"type": "ask", "key": "k", "owner": "n1#1", "number": 1, "members": 1, "slot": 0}


@pytest.mark.parametrize(
    "message",
    [
        {"type": "unheard of"},
        GOOD_REQUEST | {"key": "x" * 200},
        GOOD_REQUEST | {"key": 7},
        GOOD_REQUEST | {"owner": "n2#1"},
        GOOD_REQUEST | {"owner": "n1#2"},
        GOOD_REQUEST | {"owner": "nobody"},
        GOOD_REQUEST | {"number": -1},
        GOOD_REQUEST | {"number": 1 << 60, "members": 1 << 60},
        {"type": "tell", "key": "k", "claim": GOOD_CLAIM | {"phase": 9}},
        {"type": "tell", "key": "k", "claim": GOOD_CLAIM | {"owner": "n2#1"}},
        {"type": "digests", "slots": {"n1#1": {"first": 0, "until": 1}}},
    ],
)
def test_a_malformed_line_raises_and_changes_nothing(message):
    cores = Cores()
    replica = cores.keepers[0]
    sender = "n1" if replica != "n1" else cores.keepers[1]
    line = {"fleet": "f", "sender": "n1", "life": 1, "to": [replica], "say": message}
    with pytest.raises(InvalidLineError):
        cores.cores[replica].receive_line(cores.now, sender, line)
    assert cores.cores[replica].replica.claim_store.calls == {}


def chunk(claims, number=1, part=0, digest="0" * 16, last=True):
    return {
        "type": "piece", "number": number, "life": 1, "part": part, "last": last, "held": claims,
        "digest": digest,
    }  # fmt: skip


def test_unexpected_messages_are_dropped_and_counted_by_cause():
    cores = Cores()
    a, b, _c = cores.keepers
    core = cores.cores[a]

    def receive(sender, message):
        line = {"fleet": "f", "sender": sender, "life": 1, "to": [a], "say": message}
        return core.receive_line(cores.now, sender, line)

    claim = {"owner": f"{cores.owners[0]}#1", "ask": 1, "number": 1, "slot": 0, "phase": 1}
    assert receive(b, chunk([{"key": "k", "claim": claim, "left_ms": 9.0}])) == []
    assert receive(cores.owners[0], {"type": "want", "number": 1, "life": 1, "members": 0}) == []
    assert receive(cores.owners[0], {"type": "digests", "slots": {}}) == []
    reply = {"type": "word", "key": "k", "owner": f"{a}#1", "number": 1, "granted": True}
    assert receive(b, reply) == []
    store = core.replica.claim_store
    assert store.counts == {
        "chunks out of order": 1,
        "state requests not from a replica": 1,
        "digests not from a replica": 1,
    }
    assert core.call_owner.counts == {"replies without an open request": 1}
    assert store.calls == {}
    cores.begin(a)
    assert [effect for effect in cores.what(a)] == [RunCall("k", True)]


def test_a_chunk_with_a_wrong_digest_is_requested_again():
    cores = Cores()
    a, b, _c = cores.keepers
    cores.begin(cores.owners[0])
    cores.restart(a)
    cores.delays = lambda sender, _to, message: isinstance(message, m.StateChunk) and sender == b
    cores.wait(800)
    [(_sender, _to, line), *_] = cores.delayed
    line["say"]["digest"] = "0" * 16
    cores.deliver_delayed()
    assert cores.cores[a].replica.claim_store.counts["chunks with a wrong digest"] == 1
    assert not cores.cores[a].replica.is_complete(cores.now)
    cores.wait(1_500)
    assert cores.cores[a].replica.is_complete(cores.now)
    assert "k" in cores.cores[a].replica.claim_store.calls


# --- randomized simulations ---------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(1, 5))
def test_no_call_runs_twice_and_replicas_converge(seed):
    outcome = Walk(seed, Weather() if seed % 2 else STORM, "abcabc").run(8)
    assert outcome.broken == ""
    assert outcome.runs > 20


class ForgetsGrants(ReplicationCore):
    """Mutant: a restarted replica considers its empty store complete."""

    def __init__(self, *more, **options):
        super().__init__(*more, **options)
        if self.replica:
            self.replica.mark_complete()


class RunsWithOneGrant(ReplicationCore):
    """Mutant: one grant counts as a quorum."""

    def __init__(self, *more, **options):
        super().__init__(*more, **options)
        evaluate = self.call_owner._evaluate

        def run_with_one_grant(now_ms, owned):
            if any(reply.granted for reply in owned.replies.values()):
                owned.progress = CallProgress.RUNNING
                return [RunCall(owned.key, claimed=True)]
            return evaluate(now_ms, owned)

        self.call_owner._evaluate = run_with_one_grant


class GrantsAfterMembershipChange(ReplicationCore):
    """Mutant: a replica grants calls at once after a change of membership."""

    def change_membership(self, now_ms, membership):
        super().change_membership(now_ms, membership)
        if self.replica:
            self.replica.mark_complete()
            self.replica._completeness.earlier.clear()


@pytest.mark.parametrize("mutant", [ForgetsGrants, RunsWithOneGrant, GrantsAfterMembershipChange])
def test_randomized_simulations_find_each_mutant(mutant):
    moves = 0.3 if mutant is GrantsAfterMembershipChange else 0.0
    weather = Weather(calls=60.0, kills=1.0, away_ms=300.0, halts=0.3, late=0.1, moves=moves)
    found = (Walk(seed, weather, "abcabc", mutant).run(12, 30).broken for seed in range(1, 8))
    assert any("ran at" in broken for broken in found)
