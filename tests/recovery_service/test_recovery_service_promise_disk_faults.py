"""Grants of a replica whose store is full: after a restart it must not claim to know all its grants."""

import itertools

import msgspec
import pytest
from support.memory_stores import LIMITS, Site, StoreCores, request_claim

from fawnwharf.recovery_core.trust import StateKind, StoreCondition
from fawnwharf.recovery_service import stored_state as k

PROMISES = k.ENTRY_RULES[StateKind.GRANT]


@pytest.fixture
def site(monkeypatch, tmp_path):
    return Site(monkeypatch, tmp_path)


def no_room(kept):
    """Use up the store's space for grants."""
    kept._bytes[PROMISES.name] = PROMISES.max_total_bytes - 10


def room(kept):
    kept._bytes[PROMISES.name] = 0


def test_a_replica_that_could_not_store_a_claim_does_not_know_all_grants_after_a_restart(site):
    cores = StoreCores(site)
    keeper, (owner, other, _) = cores.keepers[0], cores.owners
    cores.lost = {keeper}
    cores.begin(owner)  # granted by the other two replicas
    cores.flush_stores()
    cores.lost = set()
    del site.machines[keeper]
    cores.end_all("cut", keeper)
    no_room(cores.stores[keeper])
    cores.wait(1_500)
    assert (
        cores.knows_all_grants(keeper) and not request_claim(cores, other, keeper)().granted
    )  # it knows of the call
    room(cores.stores[keeper])
    cores.end_all("kill", keeper)
    cores.lost = set(cores.keepers[1:])  # no other replica answers it
    cores.flush_stores(keeper)
    assert not cores.knows_all_grants(keeper) and not request_claim(cores, other, keeper)().granted


def test_a_replica_knows_all_grants_once_the_claim_that_it_could_not_store_has_expired(site):
    cores = StoreCores(site)
    keeper = cores.keepers[0]
    no_room(cores.stores[keeper])
    assert not request_claim(cores, cores.owners[0], keeper)().granted
    cores.flush_stores()
    assert cores.stores[keeper].complete_membership_number == 0 and cores.knows_all_grants(keeper)
    cores.wait(9_000)
    assert cores.stores[keeper].complete_membership_number == cores.cores[keeper].placement.number
    cores.end_all("cut", keeper)
    assert cores.knows_all_grants(keeper)


def filled(kept):
    """Use up the store's space, so that not one more entry fits."""
    numbers = itertools.count()
    for size in (1_000, 100, 1):
        while kept.keep(StateKind.PLACEMENTS, str(next(numbers)), "x" * size):
            pass


def test_a_full_store_does_not_forget_that_it_is_incomplete_nor_reject_a_commit_ticket(site):
    limits = msgspec.structs.replace(LIMITS, state_bytes=20_000)
    kept = site.kept(fresh=True, limits=limits)
    filled(kept)
    kept.mark_incomplete("a reason of some length" * 10)
    told = []
    for _ in range(12):  # its number gains a digit
        kept.when_committed(lambda good, why: told.append((good, why)))
        site.pump(kept)
    assert told == [(True, "")] * 12
    site.machine().cut(share=0.0)
    again = site.kept(limits=limits)
    assert again.condition is StoreCondition.PARTIAL and again.doubt.startswith("a reason of some length")


def test_a_reason_of_any_characters_has_room(site):
    kept = site.kept(fresh=True)
    for why in ("\U0001f4be" * 900, "\0" * 900):
        kept.mark_incomplete(why[: k.MAX_REASON_LENGTH])
        site.pump(kept, 200.0)
        site.machine().cut(share=0.0)
        kept = site.kept()
        assert kept.condition is StoreCondition.PARTIAL and kept.doubt == why[: k.MAX_REASON_LENGTH]
