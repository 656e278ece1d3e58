"""Grants are on disk before they are sent: delayed and failing writes, power losses and killed processes."""

import itertools

import msgspec
import pytest
from cores import RULES
from support.memory_stores import Site, StoreCores, request_claim

from fawnwharf.interface import Effect
from fawnwharf.recovery_core.trust import StoreCondition
from fawnwharf.replication import messages as m
from fawnwharf.replication.call_owner import FailCall, RejectCall, RunCall
from fawnwharf.replication.claims import ClaimPhase


@pytest.fixture
def site(monkeypatch, tmp_path):
    return Site(monkeypatch, tmp_path)


@pytest.fixture
def cores(site):
    return StoreCores(site)


def hold_writers(cores, *names):
    for name in names:
        cores.site.machine(name).writer_held = True


def release_writers(cores, *names):
    for name in names:
        cores.site.machine(name).writer_held = False
    cores.flush_stores()


def test_a_grant_is_not_sent_before_it_is_on_disk(cores):
    owner = cores.owners[0]
    hold_writers(cores, *cores.keepers)
    cores.begin(owner)
    cores.flush_stores()
    assert cores.what(owner) == []
    release_writers(cores, cores.keepers[0])
    assert cores.what(owner) == []
    release_writers(cores, cores.keepers[1])
    assert cores.what(owner) == [RunCall("k", True)]


def test_a_call_of_the_replica_s_own_waits_for_its_own_grant_too(cores):
    own, *others = cores.keepers
    hold_writers(cores, own)
    cores.begin(own)
    cores.flush_stores()
    assert cores.what(own) == []  # the counted grants may include its own, which is not on disk
    release_writers(cores, own)
    assert cores.what(own) == [RunCall("k", True)]


def test_a_call_withdrawn_while_its_grant_is_held_returns_the_grant_and_never_runs(cores):
    own, other = cores.keepers[0], cores.owners[0]
    hold_writers(cores, own)
    cores.begin(own)
    cores.flush_stores()
    cores.carry(own, cores.cores[own].client_left(cores.now, "k"))
    release_writers(cores, own)
    assert cores.what(own) == [] and not cores.cores[own].call_owner.calls
    cores.begin(other)
    cores.flush_stores()
    assert cores.what(other) == [RunCall("k", True)]


def test_a_held_call_is_released_by_the_request_that_it_is_for(cores):
    own = cores.keepers[0]
    hold_writers(cores, own)
    cores.begin(own)
    cores.flush_stores()
    cores.carry(own, cores.cores[own].client_left(cores.now, "k"))
    cores.begin(own)  # the client repeats the call before the first grant is on disk
    cores.flush_stores()
    release_writers(cores, own)
    assert cores.what(own) == [RunCall("k", True)]
    cores.end(own)
    cores.flush_stores()
    [claims] = [e.claims for e in [cores.cores[cores.keepers[1]].replica.claim_store.calls["k"]]]
    assert sorted(claim.phase for claim in claims.values()) == [ClaimPhase.RELEASED, ClaimPhase.ANSWERED]


def test_an_uncertain_commit_ticket_grants_nothing_and_rejects_others_until_the_disk_works_again(cores):
    keeper, (one, other, third) = cores.keepers[0], cores.owners
    cores.site.machine(keeper).fail_operations()
    said = request_claim(cores, one, keeper)
    assert said() is None  # being written
    cores.flush_stores(keeper)
    word = said()
    assert (word.granted, word.complete) == (False, False)
    cores.carry(keeper, [])  # as in each tick
    assert not cores.knows_all_grants(keeper) and not request_claim(cores, other, keeper, "new")().granted
    cores.site.machine(keeper).repair()
    cores.wait(1_000)
    assert cores.knows_all_grants(keeper)
    word = request_claim(cores, other, keeper)()
    assert not word.granted and [c.phase for c in word.claims] == [
        ClaimPhase.GRANTED
    ]  # as if it had been sent
    said = request_claim(cores, third, keeper, "later")
    cores.flush_stores(keeper)
    assert said().granted
    cores.end_all("cut", keeper)
    assert [c.owner for c in request_claim(cores, other, keeper)().claims] == [f"{one}#1"]


def test_a_disk_that_fails_under_an_own_call_leaves_it_to_the_other_replicas(cores):
    own, *others = cores.keepers
    cores.site.machine(own).fail_operations()
    hold_writers(cores, others[0])
    cores.begin(own)
    cores.flush_stores()
    assert cores.what(own) == []  # one other has granted, and its own grant does not count
    release_writers(cores, others[0])
    assert cores.what(own) == [RunCall("k", True)]
    hold_writers(cores, *others)
    cores.begin(own, "k2")
    cores.wait(700)
    [turned] = cores.what(own)[1:]
    assert isinstance(turned, RejectCall) and "k2" not in cores.cores[own].call_owner.calls


def test_a_disk_that_is_slow_grants_nothing_and_all_is_given_back(cores):
    hold_writers(cores, *cores.keepers)
    cores.begin(cores.owners[0])
    cores.begin(cores.keepers[0], "own")
    cores.wait(1_200)
    assert all(isinstance(effect, RejectCall) for _, effect in cores.told) and len(cores.told) == 2
    release_writers(cores, *cores.keepers)
    cores.wait(200)
    cores.begin(cores.owners[1])
    cores.begin(cores.keepers[1], "own")
    cores.flush_stores()
    assert [effect for _, effect in cores.told[2:]] == [RunCall("k", True), RunCall("own", True)]


@pytest.mark.parametrize("effect", [Effect.AT_MOST_ONCE, Effect.DEDUPLICATED])
def test_after_a_power_loss_of_all_a_repeat_is_not_run_again_and_a_new_call_goes_at_once(cores, effect):
    owner = cores.owners[0]
    cores.begin(owner, effect=effect, dedup_window_ms=60_000.0)
    cores.flush_stores()
    assert cores.what(owner) == [RunCall("k", True)]
    cores.end_all("cut")
    cores.flush_stores()
    assert all(
        cores.knows_all_grants(name) and cores.stores[name].condition is StoreCondition.INTACT
        for name in cores.keepers
    )
    cores.told.clear()
    for n, again in enumerate((owner, cores.owners[1])):
        cores.begin(again, effect=effect, dedup_window_ms=60_000.0)  # scorers have lost all keys
        cores.begin(again, f"new {n}")
        cores.flush_stores()
        assert sorted(map(str, cores.what(again))) == sorted(
            map(str, [FailCall("k", "it may have run"), RunCall(f"new {n}", True)])
        )


def test_no_power_loss_at_any_moment_runs_a_call_twice(monkeypatch, tmp_path):
    """Cut the power of all after each possible number of write jobs, then repeat the call."""
    went = []
    for jobs, share in itertools.product(range(5), (0.0, 0.6)):
        folder = tmp_path / f"{jobs}-{share}"
        folder.mkdir()
        cores = StoreCores(Site(monkeypatch, folder))
        hold_writers(cores, *cores.keepers)
        cores.begin(cores.keepers[0])
        cores.begin(cores.owners[0], "k2")
        for name in itertools.islice(itertools.cycle(cores.keepers), jobs):
            cores.site.machine(name).writer_held = False
            cores.stores[name].store.advance(cores.now)
            cores.stores[name].store.advance(cores.now)
            cores.site.machine(name).writer_held = True
        first = {effect.key for _, effect in cores.told if isinstance(effect, RunCall)}
        for name in cores.keepers:
            cores.site.machine(name).writer_held = False
        cores.told.clear()
        for name in cores.keepers:
            cores.site.machine(name).cut(jobs, share)
        cores.end_all("kill")
        cores.flush_stores()
        cores.begin(cores.owners[1])
        cores.begin(cores.owners[2], "k2")
        cores.flush_stores()
        second = {effect.key for _, effect in cores.told if isinstance(effect, RunCall)}
        assert not first & second
        went.append((len(first), len(second)))
    assert {first for first, _ in went} == {0, 2} and any(second for _, second in went)


def test_a_replica_that_lost_its_disk_waits_and_a_second_power_loss_does_not_clear_its_doubt(cores):
    lost, owner = cores.keepers[0], cores.owners[0]
    cores.begin(owner)
    cores.flush_stores()
    del cores.site.machines[lost]
    cores.lost = set(cores.keepers[1:])  # no other replica answers it
    for _ in range(3):
        cores.end_all("cut", lost)
        cores.flush_stores(lost)
        assert cores.stores[lost].condition is StoreCondition.PARTIAL and not cores.knows_all_grants(lost)
        assert not request_claim(cores, cores.owners[1], lost)().granted
        cores.wait(1_000)
    cores.wait(8_000)
    assert cores.knows_all_grants(lost)  # everything that it may have granted has expired
    cores.end_all("cut", lost)
    cores.flush_stores(lost)
    assert cores.knows_all_grants(lost)  # its disk records that it knows all grants


def test_a_replica_has_transferred_state_on_disk_before_it_knows_all_its_grants(cores):
    lost, (owner, other, _) = cores.keepers[0], cores.owners
    cores.begin(owner)
    cores.flush_stores()
    del cores.site.machines[lost]
    cores.end_all("cut", lost)
    cores.wait(1_500)
    assert cores.knows_all_grants(lost)
    cores.end_all("cut", lost)
    cores.flush_stores(lost)
    assert cores.knows_all_grants(lost) and [c.owner for c in request_claim(cores, other, lost)().claims] == [
        f"{owner}#1"
    ]


def test_a_store_of_another_membership_version_does_not_know_all_grants(site):
    cores = StoreCores(site)
    keeper = cores.keepers[0]
    later = msgspec.structs.replace(cores.cores[keeper].membership, number=2)
    core = cores.cores[keeper]
    core.membership = later
    cores.end_all("kill", keeper)
    assert not cores.knows_all_grants(keeper) and cores.disks[keeper].summary["trusted"] is False


def test_a_folder_that_others_show_to_be_an_older_copy_grants_nothing_from_then_on(cores):
    keeper = cores.keepers[0]
    older = cores.site.machine(keeper).disk.copy()
    cores.begin(cores.owners[0])
    cores.flush_stores()
    heard = cores.stores[keeper].position()
    cores.site.machine(keeper).disk = older
    cores.end_all("kill", keeper)
    assert cores.knows_all_grants(keeper)
    assert not cores.stores[keeper].receive_position(heard) and not cores.knows_all_grants(keeper)
    cores.wait(1_500)
    assert cores.knows_all_grants(keeper)  # it has received the state of the others


def test_a_replica_says_that_it_grants_no_more_by_its_list_only_once_that_is_on_disk(cores):
    keeper, other = cores.keepers[:2]
    hold_writers(cores, keeper)
    core, said = cores.cores[keeper], []
    want = msgspec.to_builtins(cores.cores[other].log_line(m.Send((keeper,), m.StateRequest(1, 1, 2))))
    cores.site.now = cores.now
    said += cores.disks[keeper].persist(core.receive_line(cores.now, other, want), said.extend)
    said += cores.disks[keeper].persist(core.tick(cores.now), said.extend)
    pieces = [say for say in said if isinstance(getattr(say, "message", None), m.StateChunk)]
    assert pieces == [] and not cores.knows_all_grants(keeper)
    cores.flush_stores(keeper)
    release_writers(cores, keeper)
    assert any(isinstance(getattr(say, "message", None), m.StateChunk) for say in said)
    cores.end_all("cut", keeper)
    assert not cores.knows_all_grants(keeper)


def test_expired_claims_are_deleted_from_the_store(cores):
    for n in range(20):
        cores.begin(cores.owners[0], f"k{n}")
        cores.flush_stores()
        cores.end(cores.owners[0], key=f"k{n}")
    cores.flush_stores()
    kept = cores.stores[cores.keepers[0]]
    assert len(kept.store.items("promise")) == 20
    cores.wait(9_000)
    assert kept.store.items("promise") == [] and kept._bytes["promise"] == 0


def test_claims_beyond_the_stores_capacity_are_not_granted(cores, monkeypatch):
    keeper, owner = cores.keepers[0], cores.owners[0]
    kept = cores.stores[keeper]
    kept._bytes["promise"] = 8 * 1024 * 1024 - 10
    assert not request_claim(cores, owner, keeper)().granted
    cores.begin(keeper, "own")
    cores.flush_stores()
    assert cores.what(keeper) == [RunCall("own", True)]  # by the grants of the other two


def test_a_call_of_one_replica_alone_that_it_can_t_write_is_rejected(site):
    cores = StoreCores(site, rules=msgspec.structs.replace(RULES, replica_zones=1))
    [keeper] = cores.cores[cores.keepers[0]].placement.replicas_of("k")
    cores.stores[keeper]._bytes["promise"] = 8 * 1024 * 1024 - 10
    cores.begin(keeper)
    cores.flush_stores()
    [turned] = cores.what(keeper)
    assert isinstance(turned, RejectCall) and not cores.cores[keeper].call_owner.calls


def test_a_file_of_an_incarnation_without_the_store_makes_the_store_incomplete(site, tmp_path):
    cores = StoreCores(site)
    keeper = cores.keepers[0]
    (tmp_path / "keeper-4.log").write_bytes(b"")
    assert cores.knows_all_grants(keeper)
    cores.end_all("kill", keeper)
    cores.disks[keeper] = cores.stores[keeper].open_grant_storage(cores.cores[keeper], tmp_path)
    assert not cores.knows_all_grants(keeper) and (tmp_path / "keeper-4.log").exists()
    cores.flush_stores(keeper)
    assert [path.name for path in tmp_path.glob("keeper-*")] == ["keeper-4.aside"]
    cores.end_all("cut", keeper)
    assert not cores.knows_all_grants(keeper)
