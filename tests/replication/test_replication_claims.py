"""Settings, placement, the algebraic laws of merging claims, and the summary of claims."""

import itertools
from pathlib import Path

import msgspec
import pytest
from cores import FLEET, RULES
from hypothesis import given, settings, strategies

from fawnwharf.policy_rollout.rollout_state import RolloutTiming
from fawnwharf.policy_rollout.settings import decode_settings as policy_settings
from fawnwharf.replication import messages as m
from fawnwharf.replication import settings as s
from fawnwharf.replication.claim_store import ClaimStore
from fawnwharf.replication.claims import (
    CallState,
    Claim,
    ClaimPhase,
    contradicts,
    merge_claims,
    summarize_claims,
)
from fawnwharf.replication.placement import ReplicaPlacement
from fawnwharf.testbed.promises import fleet_file
from fawnwharf.zones.settings import SettingsFileError, membership_from
from fawnwharf.zones.settings import settings_from as zone_settings

# --- settings -----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"{", "not JSON"),
        (b"{}", "missing required field `version`"),
        (b'{"version": 2, "members": "m"}', "version: 2"),
        (b'{"version": 1, "members": "m", "zones": 2}', "zones: 2"),
        (b'{"version": 1, "members": "m", "zones": "x"}', "zones"),
        (b'{"version": 1, "members": "m", "modes": {"a": "often"}}', "modes"),
        (b'{"version": 1, "members": "m", "wait_part": 1.5}', "wait_part"),
        (b'{"version": 1, "members": "m", "quiet_ms": 600}', "quiet_ms"),
        (b'{"version": 1, "members": "m", "window_ms": 700}', "window_ms"),
        (b'{"version": 1, "members": "m", "bounds": {"calls": 0}}', "bounds.calls"),
    ],
)
def test_a_faulty_settings_file_names_its_key(data, fault):
    with pytest.raises(SettingsFileError) as caught:
        s.parse_settings(data)
    assert fault in str(caught.value)


def test_a_fleet_with_too_few_replica_zones_is_an_error():
    with pytest.raises(SettingsFileError):
        s.check_members(fleet_file("aaa"), RULES)
    s.check_members(FLEET, RULES)


# --- placement ----------------------------------------------------------------------------------

KEYS = [f"key{n}" for n in range(600)]


def test_a_call_has_one_replica_in_each_of_the_configured_zones():
    placement = ReplicaPlacement(fleet_file("abcde" * 4), 3, 2)
    zone = {member.name: member.zone for member in fleet_file("abcde" * 4).members}
    for key in KEYS:
        assert len({zone[name] for name in placement.replicas_of(key)}) == 3
    used = {name for key in KEYS for name in placement.replicas_of(key)}
    assert used == set(placement.replicas)
    assert len(used) == 10


def test_a_removed_member_moves_only_the_calls_that_it_stored():
    file = fleet_file("abc" * 4)
    before = ReplicaPlacement(file, 3, 2)
    for member in file.members:
        rest = msgspec.structs.replace(file, members=[e for e in file.members if e is not member])
        after = ReplicaPlacement(rest, 3, 2)
        moved = [key for key in KEYS if before.replicas_of(key) != after.replicas_of(key)]
        assert bool(moved) == (member.name in before.replicas)
        assert all(len(set(before.replicas_of(key)) & set(after.replicas_of(key))) == 2 for key in moved)


@given(strategies.permutations(list(range(9))))
def test_placement_does_not_depend_on_the_order_of_the_file(order):
    file = fleet_file("abcabcabc")
    reordered = msgspec.structs.replace(file, members=[file.members[n] for n in order])
    assert [ReplicaPlacement(reordered, 3, 1).replicas_of(key) for key in KEYS[:20]] == [
        ReplicaPlacement(file, 3, 1).replicas_of(key) for key in KEYS[:20]
    ]


# --- the laws of merging ------------------------------------------------------------------------

claims = strategies.builds(
    Claim,
    owner=strategies.just("n1#7"),
    request_number=strategies.just(3),
    version=strategies.integers(3, 6),
    bucket=strategies.just(1),
    phase=strategies.sampled_from(ClaimPhase),
    digest=strategies.sampled_from(["", "aa", "bb"]),
    answer=strategies.sampled_from([None, "QQ==", "Qg=="]),
)


@given(claims, claims, claims)
def test_merging_is_commutative_associative_and_idempotent(one, other, third):
    assert merge_claims(one, other) == merge_claims(other, one)
    assert merge_claims(one, merge_claims(other, third)) == merge_claims(merge_claims(one, other), third)
    assert merge_claims(one, one) == one
    assert merge_claims(one, other) in (one, other)


@given(claims, claims)
def test_of_contradicting_claims_the_stricter_wins_and_is_reported(one, other):
    if one.version == other.version and one.phase != other.phase:
        assert merge_claims(one, other).phase == max(one.phase, other.phase)
        assert contradicts(one, other)


records = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["k1", "k2", "k3"]),
        strategies.builds(
            Claim,
            owner=strategies.sampled_from(["n1#1", "n2#5", "n1#9"]),
            request_number=strategies.integers(1, 3),
            version=strategies.integers(1, 6),
            bucket=strategies.integers(0, 3),
            phase=strategies.sampled_from(ClaimPhase),
            digest=strategies.sampled_from(["", "aa", "bb"]),
            answer=strategies.sampled_from([None, "QQ=="]),
        ),
    ),
    max_size=12,
)


def store_of(items):
    store = ClaimStore(RULES, ReplicaPlacement(FLEET, 3, 1).replicas_of)
    for key, claim in items:
        store.merge(0.0, key, store.get_or_create(0.0, key), claim, 5_000.0)
    return store


@settings(max_examples=200, deadline=None)
@given(records, strategies.randoms(use_true_random=False))
def test_digests_do_not_depend_on_order_or_repeats_of_claims(items, chance):
    repeated = items + [item for item in items if chance.random() < 0.5]
    chance.shuffle(repeated)
    one, other = store_of(items), store_of(repeated)
    assert {key: entry.claims for key, entry in one.calls.items()} == {
        key: entry.claims for key, entry in other.calls.items()
    }
    for name in ReplicaPlacement(FLEET, 3, 1).replicas:
        assert one.bucket_digests(1_000.0, name) == other.bucket_digests(1_000.0, name)
        assert one.differing_ranges(name, other.bucket_digests(1_000.0, name)) == []


@settings(max_examples=100, deadline=None)
@given(records)
def test_bucket_sums_match_the_stored_claims_and_are_empty_after_expiry(items):
    store = store_of(items)
    answer_bytes = sum(len(c.answer or "") for entry in store.calls.values() for c in entry.claims.values())
    assert store.answer_bytes == answer_bytes
    store.remove_expired(RULES.max_claim_lifetime_ms * 2)
    assert (store.calls, store.answer_bytes, store._buckets) == ({}, 0, {})


def test_a_difference_is_found_by_owner_and_bucket():
    one = store_of(
        [
            ("k1", Claim("n1#1", 1, 1, 4, ClaimPhase.GRANTED)),
            ("k2", Claim("n2#1", 1, 1, 4, ClaimPhase.GRANTED)),
        ]
    )
    other = store_of([("k1", Claim("n1#1", 1, 1, 4, ClaimPhase.GRANTED))])
    name = ReplicaPlacement(FLEET, 3, 1).replicas[0]
    assert other.differing_ranges(name, one.bucket_digests(1_000.0, name)) == [m.BucketRange("n2#1", 4, 5)]


# --- summaries ----------------------------------------------------------------------------------


def claim(owner, phase, digest=""):
    return Claim(owner, 1, 2, 0, phase, digest, "QQ==" if phase is ClaimPhase.ANSWERED else None)


@pytest.mark.parametrize(
    ("claims", "alive", "state"),
    [
        ([], set(), CallState.FREE),
        ([claim("a#1", ClaimPhase.RELEASED)], {"a#1"}, CallState.FREE),
        ([claim("a#1", ClaimPhase.GRANTED)], {"a#1"}, CallState.RUNNING),
        # A new incarnation is another owner.
        ([claim("a#1", ClaimPhase.GRANTED)], {"a#2"}, CallState.UNKNOWN),
        ([claim("a#1", ClaimPhase.FAILED)], {"a#1"}, CallState.UNKNOWN),
        (
            [claim("a#1", ClaimPhase.GRANTED), claim("b#1", ClaimPhase.ANSWERED, "x")],
            {"a#1"},
            CallState.ANSWERED,
        ),
        (
            [claim("a#1", ClaimPhase.ANSWERED, "x"), claim("b#1", ClaimPhase.ANSWERED, "x")],
            set(),
            CallState.ANSWERED,
        ),
        (
            [claim("a#1", ClaimPhase.ANSWERED, "x"), claim("b#1", ClaimPhase.ANSWERED, "y")],
            set(),
            CallState.CONFLICT,
        ),
    ],
)
def test_claims_are_summarized_by_the_strictest_state(claims, alive, state):
    for order in itertools.permutations(claims):
        assert summarize_claims(list(order), alive).state is state


# --- the example deployment files ---------------------------------------------------------------


def test_the_example_deployment_files_are_valid_and_consistent():
    folder = Path(__file__).parents[2] / "deploy"
    assert policy_settings((folder / "policy-settings.json").read_bytes()).timing == RolloutTiming()
    zones = zone_settings((folder / "zones.json").read_bytes())
    state = s.parse_settings((folder / "state.json").read_bytes())
    assert zones.membership_file == state.membership_file == "members.json"
    members = membership_from((folder / "members.json").read_bytes())
    s.check_members(members, state)
    assert len(members.voters) == 3
    assert ReplicaPlacement(members, state.replica_zones, state.replicas_per_zone).quorum("k") == 2
