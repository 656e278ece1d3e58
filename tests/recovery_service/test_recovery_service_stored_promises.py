"""Grants on a store before they are said: held, unsure, cut, killed; and what a keeper knows afterwards."""

import itertools

import msgspec
import pytest
from cores import RULES
from support.memory_stores import Site, StoreCores, asks

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


def held(cores, *names):
    for name in names:
        cores.site.machine(name).held = True


def let(cores, *names):
    for name in names:
        cores.site.machine(name).held = False
    cores.turn()


def test_a_grant_is_not_said_before_it_is_on_disk(cores):
    owner = cores.owners[0]
    held(cores, *cores.keepers)
    cores.begin(owner)
    cores.turn()
    assert cores.what(owner) == []
    let(cores, cores.keepers[0])
    assert cores.what(owner) == []
    let(cores, cores.keepers[1])
    assert cores.what(owner) == [RunCall("k", True)]


def test_a_call_of_the_replica_s_own_waits_for_its_own_grant_too(cores):
    own, *others = cores.keepers
    held(cores, own)
    cores.begin(own)
    cores.turn()
    assert cores.what(own) == []  # the others have granted, and one of those two words may be its own
    let(cores, own)
    assert cores.what(own) == [RunCall("k", True)]


def test_who_leaves_while_its_grant_is_held_gives_it_back_and_never_goes(cores):
    own, other = cores.keepers[0], cores.owners[0]
    held(cores, own)
    cores.begin(own)
    cores.turn()
    cores.carry(own, cores.cores[own].client_left(cores.now, "k"))
    let(cores, own)
    assert cores.what(own) == [] and not cores.cores[own].call_owner.calls
    cores.begin(other)
    cores.turn()
    assert cores.what(other) == [RunCall("k", True)]


def test_a_held_call_is_released_by_the_request_that_it_is_for(cores):
    own = cores.keepers[0]
    held(cores, own)
    cores.begin(own)
    cores.turn()
    cores.carry(own, cores.cores[own].client_left(cores.now, "k"))
    cores.begin(own)  # the client comes again before the first grant is on disk
    cores.turn()
    let(cores, own)
    assert cores.what(own) == [RunCall("k", True)]
    cores.end(own)
    cores.turn()
    [claims] = [e.claims for e in [cores.cores[cores.keepers[1]].replica.claim_store.calls["k"]]]
    assert sorted(claim.phase for claim in claims.values()) == [ClaimPhase.RELEASED, ClaimPhase.ANSWERED]


def test_an_unsure_commit_ticket_grants_nothing_and_rejects_others_until_the_disk_works_again(cores):
    keeper, (one, other, third) = cores.keepers[0], cores.owners
    cores.site.machine(keeper).fails()
    said = asks(cores, one, keeper)
    assert said() is None  # on its way to the disk
    cores.turn(keeper)
    word = said()
    assert (word.granted, word.complete) == (False, False)
    cores.carry(keeper, [])  # as each tick does
    assert not cores.sure(keeper) and not asks(cores, other, keeper, "new")().granted
    cores.site.machine(keeper).works()
    cores.wait(1_000)
    assert cores.sure(keeper)
    word = asks(cores, other, keeper)()
    assert not word.granted and [c.phase for c in word.claims] == [
        ClaimPhase.GRANTED
    ]  # as if it had been said
    said = asks(cores, third, keeper, "later")
    cores.turn(keeper)
    assert said().granted
    cores.end_all("cut", keeper)
    assert [c.owner for c in asks(cores, other, keeper)().claims] == [f"{one}#1"]


def test_a_disk_that_fails_under_an_own_call_leaves_it_to_the_other_replicas(cores):
    own, *others = cores.keepers
    cores.site.machine(own).fails()
    held(cores, others[0])
    cores.begin(own)
    cores.turn()
    assert cores.what(own) == []  # one other has granted, and its own word does not count
    let(cores, others[0])
    assert cores.what(own) == [RunCall("k", True)]
    held(cores, *others)
    cores.begin(own, "k2")
    cores.wait(700)
    [turned] = cores.what(own)[1:]
    assert isinstance(turned, RejectCall) and "k2" not in cores.cores[own].call_owner.calls


def test_a_disk_that_is_slow_grants_nothing_and_all_is_given_back(cores):
    held(cores, *cores.keepers)
    cores.begin(cores.owners[0])
    cores.begin(cores.keepers[0], "own")
    cores.wait(1_200)
    assert all(isinstance(effect, RejectCall) for _, effect in cores.told) and len(cores.told) == 2
    let(cores, *cores.keepers)
    cores.wait(200)
    cores.begin(cores.owners[1])
    cores.begin(cores.keepers[1], "own")
    cores.turn()
    assert [effect for _, effect in cores.told[2:]] == [RunCall("k", True), RunCall("own", True)]


@pytest.mark.parametrize("effect", [Effect.AT_MOST_ONCE, Effect.DEDUPLICATED])
def test_after_a_power_loss_of_all_a_repeat_is_not_run_again_and_a_new_call_goes_at_once(cores, effect):
    owner = cores.owners[0]
    cores.begin(owner, effect=effect, dedup_window_ms=60_000.0)
    cores.turn()
    assert cores.what(owner) == [RunCall("k", True)]
    cores.end_all("cut")
    cores.turn()
    assert all(
        cores.sure(name) and cores.kepts[name].condition is StoreCondition.INTACT for name in cores.keepers
    )
    cores.told.clear()
    for n, again in enumerate((owner, cores.owners[1])):
        cores.begin(again, effect=effect, dedup_window_ms=60_000.0)  # scorers know no key any more
        cores.begin(again, f"new {n}")
        cores.turn()
        assert sorted(map(str, cores.what(again))) == sorted(
            map(str, [FailCall("k", "it may have run"), RunCall(f"new {n}", True)])
        )


def test_no_power_loss_at_any_moment_lets_a_call_go_twice(monkeypatch, tmp_path):
    """All lose their power after each number of the keepers' jobs, and the call is asked for again."""
    went = []
    for jobs, share in itertools.product(range(5), (0.0, 0.6)):
        folder = tmp_path / f"{jobs}-{share}"
        folder.mkdir()
        cores = StoreCores(Site(monkeypatch, folder))
        held(cores, *cores.keepers)
        cores.begin(cores.keepers[0])
        cores.begin(cores.owners[0], "k2")
        for name in itertools.islice(itertools.cycle(cores.keepers), jobs):
            cores.site.machine(name).held = False
            cores.kepts[name].store.advance(cores.now)
            cores.kepts[name].store.advance(cores.now)
            cores.site.machine(name).held = True
        first = {effect.key for _, effect in cores.told if isinstance(effect, RunCall)}
        for name in cores.keepers:
            cores.site.machine(name).held = False
        cores.told.clear()
        for name in cores.keepers:
            cores.site.machine(name).cut(jobs, share)
        cores.end_all("kill")
        cores.turn()
        cores.begin(cores.owners[1])
        cores.begin(cores.owners[2], "k2")
        cores.turn()
        second = {effect.key for _, effect in cores.told if isinstance(effect, RunCall)}
        assert not first & second
        went.append((len(first), len(second)))
    assert {first for first, _ in went} == {0, 2} and any(second for _, second in went)


def test_a_replica_that_lost_its_disk_waits_and_a_second_power_loss_makes_nothing_whole_of_its_doubt(cores):
    lost, owner = cores.keepers[0], cores.owners[0]
    cores.begin(owner)
    cores.turn()
    del cores.site.machines[lost]
    cores.lost = set(cores.keepers[1:])  # nobody tells it
    for _ in range(3):
        cores.end_all("cut", lost)
        cores.turn(lost)
        assert cores.kepts[lost].condition is StoreCondition.PARTIAL and not cores.sure(lost)
        assert not asks(cores, cores.owners[1], lost)().granted
        cores.wait(1_000)
    cores.wait(8_000)
    assert cores.sure(lost)  # all that it may have granted is over
    cores.end_all("cut", lost)
    cores.turn(lost)
    assert cores.sure(lost)  # that it knows all is on its disk


def test_a_replica_that_hears_the_others_has_what_it_heard_on_disk_before_it_is_sure(cores):
    lost, (owner, other, _) = cores.keepers[0], cores.owners
    cores.begin(owner)
    cores.turn()
    del cores.site.machines[lost]
    cores.end_all("cut", lost)
    cores.wait(1_500)
    assert cores.sure(lost)
    cores.end_all("cut", lost)
    cores.turn(lost)
    assert cores.sure(lost) and [c.owner for c in asks(cores, other, lost)().claims] == [f"{owner}#1"]


def test_a_store_by_another_list_of_members_knows_not_all(site):
    cores = StoreCores(site)
    keeper = cores.keepers[0]
    later = msgspec.structs.replace(cores.cores[keeper].membership, number=2)
    core = cores.cores[keeper]
    core.membership = later
    cores.end_all("kill", keeper)
    assert not cores.sure(keeper) and cores.disks[keeper].summary["trusted"] is False


def test_an_older_copy_that_others_show_grants_nothing_from_then_on(cores):
    keeper = cores.keepers[0]
    older = cores.site.machine(keeper).disk.copy()
    cores.begin(cores.owners[0])
    cores.turn()
    heard = cores.kepts[keeper].position()
    cores.site.machine(keeper).disk = older
    cores.end_all("kill", keeper)
    assert cores.sure(keeper)
    assert not cores.kepts[keeper].receive_position(heard) and not cores.sure(keeper)
    cores.wait(1_500)
    assert cores.sure(keeper)  # it has heard the others


def test_a_replica_says_that_it_grants_no_more_by_its_list_only_once_that_is_on_disk(cores):
    keeper, other = cores.keepers[:2]
    held(cores, keeper)
    core, said = cores.cores[keeper], []
    want = msgspec.to_builtins(cores.cores[other].log_line(m.Send((keeper,), m.StateRequest(1, 1, 2))))
    cores.site.now = cores.now
    said += cores.disks[keeper].persist(core.receive_line(cores.now, other, want), said.extend)
    said += cores.disks[keeper].persist(core.tick(cores.now), said.extend)
    pieces = [say for say in said if isinstance(getattr(say, "message", None), m.StateChunk)]
    assert pieces == [] and not cores.sure(keeper)
    cores.turn(keeper)
    let(cores, keeper)
    assert any(isinstance(getattr(say, "message", None), m.StateChunk) for say in said)
    cores.end_all("cut", keeper)
    assert not cores.sure(keeper)


def test_what_is_over_leaves_the_store(cores):
    for n in range(20):
        cores.begin(cores.owners[0], f"k{n}")
        cores.turn()
        cores.end(cores.owners[0], key=f"k{n}")
    cores.turn()
    kept = cores.kepts[cores.keepers[0]]
    assert len(kept.store.items("promise")) == 20
    cores.wait(9_000)
    assert kept.store.items("promise") == [] and kept._bytes["promise"] == 0


def test_what_the_store_has_no_capacity_for_is_not_granted(cores, monkeypatch):
    keeper, owner = cores.keepers[0], cores.owners[0]
    kept = cores.kepts[keeper]
    kept._bytes["promise"] = 8 * 1024 * 1024 - 10
    assert not asks(cores, owner, keeper)().granted
    cores.begin(keeper, "own")
    cores.turn()
    assert cores.what(keeper) == [RunCall("own", True)]  # by the other two


def test_a_call_of_one_replica_alone_that_it_can_t_write_is_rejected(site):
    cores = StoreCores(site, rules=msgspec.structs.replace(RULES, replica_zones=1))
    [keeper] = cores.cores[cores.keepers[0]].placement.replicas_of("k")
    cores.kepts[keeper]._bytes["promise"] = 8 * 1024 * 1024 - 10
    cores.begin(keeper)
    cores.turn()
    [turned] = cores.what(keeper)
    assert isinstance(turned, RejectCall) and not cores.cores[keeper].call_owner.calls


def test_a_file_of_an_incarnation_without_the_store_makes_the_store_incomplete(site, tmp_path):
    cores = StoreCores(site)
    keeper = cores.keepers[0]
    (tmp_path / "keeper-4.log").write_bytes(b"")
    assert cores.sure(keeper)
    cores.end_all("kill", keeper)
    cores.disks[keeper] = cores.kepts[keeper].open_grant_storage(cores.cores[keeper], tmp_path)
    assert not cores.sure(keeper) and (tmp_path / "keeper-4.log").exists()
    cores.turn(keeper)
    assert [path.name for path in tmp_path.glob("keeper-*")] == ["keeper-4.aside"]
    cores.end_all("cut", keeper)
    assert not cores.sure(keeper)
