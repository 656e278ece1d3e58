"""State that front ends keep together: the laws of merging, keepers and claimants, walks in virtual time."""

import itertools
import os
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings, strategies

from fawnwharf.accord.disk import DiskError
from fawnwharf.config import Fleet, Member
from fawnwharf.interface import Effect, Ending, Warmth
from fawnwharf.lab.promises import STORM, Walk, Weather, fleet_file
from fawnwharf.net.front_end import worker_number
from fawnwharf.net.overlay import Overlay
from fawnwharf.replication import messages as m
from fawnwharf.replication import settings as s
from fawnwharf.replication.beliefs import Rests, Sightings, Sights
from fawnwharf.replication.claimant import Answer, GiveUp, Go, TurnAway
from fawnwharf.replication.claims import Claim, Phase, Standing, contradicts, merged, reading
from fawnwharf.replication.core import Core, LineFault
from fawnwharf.replication.disk import KeeperDisk
from fawnwharf.replication.placement import Placement
from fawnwharf.replication.resting import Resting, closer
from fawnwharf.replication.shelf import Shelf
from fawnwharf.replication.use import FLOOR, Shares, Uses, share
from fawnwharf.zones.settings import FileFault, members_from
from fawnwharf.zones.settings import settings_from as zone_settings

FLEET = fleet_file("abcabc")
RULES = s.Settings(1, "members", call_most_ms=2_000.0, window_ms=4_000.0)


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
    with pytest.raises(FileFault) as caught:
        s.settings_from(data)
    assert fault in str(caught.value)


def test_a_fleet_with_too_few_zones_that_keep_is_a_fault():
    with pytest.raises(FileFault):
        s.check_members(fleet_file("aaa"), RULES)
    s.check_members(FLEET, RULES)


# --- placement ----------------------------------------------------------------------------------

KEYS = [f"key{n}" for n in range(600)]


def test_a_call_is_kept_in_as_many_zones_as_asked_by_one_front_end_each():
    placement = Placement(fleet_file("abcde" * 4), 3, 2)
    zone = {member.name: member.zone for member in fleet_file("abcde" * 4).members}
    for key in KEYS:
        assert len({zone[name] for name in placement.of(key)}) == 3
    used = {name for key in KEYS for name in placement.of(key)}
    assert used == set(placement.keepers) and len(used) == 10


def test_a_member_that_goes_moves_calls_of_its_own_zone_alone_and_none_if_it_keeps_nothing():
    file = fleet_file("abc" * 4)
    before = Placement(file, 3, 2)
    for member in file.members:
        rest = msgspec.structs.replace(file, members=[e for e in file.members if e is not member])
        after = Placement(rest, 3, 2)
        moved = [key for key in KEYS if before.of(key) != after.of(key)]
        assert bool(moved) == (member.name in before.keepers)
        assert all(len(set(before.of(key)) & set(after.of(key))) == 2 for key in moved)


@given(strategies.permutations(list(range(9))))
def test_placement_does_not_depend_on_the_order_of_the_file(order):
    file = fleet_file("abcabcabc")
    turned = msgspec.structs.replace(file, members=[file.members[n] for n in order])
    assert [Placement(turned, 3, 1).of(key) for key in KEYS[:20]] == [
        Placement(file, 3, 1).of(key) for key in KEYS[:20]
    ]


# --- the laws of merging ------------------------------------------------------------------------

claims = strategies.builds(
    Claim,
    owner=strategies.just("n1#7"),
    ask=strategies.just(3),
    number=strategies.integers(3, 6),
    slot=strategies.just(1),
    phase=strategies.sampled_from(Phase),
    digest=strategies.sampled_from(["", "aa", "bb"]),
    answer=strategies.sampled_from([None, "QQ==", "Qg=="]),
)


@given(claims, claims, claims)
def test_merging_is_commutative_associative_and_idempotent(one, other, third):
    assert merged(one, other) == merged(other, one)
    assert merged(one, merged(other, third)) == merged(merged(one, other), third)
    assert merged(one, one) == one
    assert merged(one, other) in (one, other)


@given(claims, claims)
def test_where_one_number_says_two_things_the_stricter_stands_and_it_is_told(one, other):
    if one.number == other.number and one.phase != other.phase:
        assert merged(one, other).phase == max(one.phase, other.phase)
        assert contradicts(one, other)


records = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["k1", "k2", "k3"]),
        strategies.builds(
            Claim,
            owner=strategies.sampled_from(["n1#1", "n2#5", "n1#9"]),
            ask=strategies.integers(1, 3),
            number=strategies.integers(1, 6),
            slot=strategies.integers(0, 3),
            phase=strategies.sampled_from(Phase),
            digest=strategies.sampled_from(["", "aa", "bb"]),
            answer=strategies.sampled_from([None, "QQ=="]),
        ),
    ),
    max_size=12,
)


def shelf_of(items):
    shelf = Shelf(RULES, Placement(FLEET, 3, 1).of)
    for key, claim in items:
        shelf.put(0.0, key, shelf.entry(0.0, key), claim, 5_000.0)
    return shelf


@settings(max_examples=200, deadline=None)
@given(records, strategies.randoms(use_true_random=False))
def test_who_has_heard_the_same_holds_the_same_digest_whatever_the_order_and_the_repeats(items, chance):
    turned = items + [item for item in items if chance.random() < 0.5]
    chance.shuffle(turned)
    one, other = shelf_of(items), shelf_of(turned)
    assert {key: entry.claims for key, entry in one.calls.items()} == {
        key: entry.claims for key, entry in other.calls.items()
    }
    for name in Placement(FLEET, 3, 1).keepers:
        assert one.slots(1_000.0, name) == other.slots(1_000.0, name)
        assert one.differs(name, other.slots(1_000.0, name)) == []


@settings(max_examples=100, deadline=None)
@given(records)
def test_sums_are_those_of_what_is_held_and_nothing_is_left_when_all_is_over(items):
    shelf = shelf_of(items)
    held = sum(len(c.answer or "") for entry in shelf.calls.values() for c in entry.claims.values())
    assert shelf.bytes == held
    shelf.forget(RULES.longest_ms * 2)
    assert (shelf.calls, shelf.bytes, shelf._sums) == ({}, 0, {})


def test_a_difference_is_found_by_owner_and_slot():
    one = shelf_of([("k1", Claim("n1#1", 1, 1, 4, Phase.TAKEN)), ("k2", Claim("n2#1", 1, 1, 4, Phase.TAKEN))])
    other = shelf_of([("k1", Claim("n1#1", 1, 1, 4, Phase.TAKEN))])
    name = Placement(FLEET, 3, 1).keepers[0]
    assert other.differs(name, one.slots(1_000.0, name)) == [m.Wanted("n2#1", 4, 5)]


# --- reading ------------------------------------------------------------------------------------


def claim(owner, phase, digest=""):
    return Claim(owner, 1, 2, 0, phase, digest, "QQ==" if phase is Phase.ANSWERED else None)


@pytest.mark.parametrize(
    ("claims", "alive", "standing"),
    [
        ([], set(), Standing.FREE),
        ([claim("a#1", Phase.CLEAR)], {"a#1"}, Standing.FREE),
        ([claim("a#1", Phase.TAKEN)], {"a#1"}, Standing.UNDER_WAY),
        ([claim("a#1", Phase.TAKEN)], {"a#2"}, Standing.LOST),  # a new life is a new owner
        ([claim("a#1", Phase.FAILED)], {"a#1"}, Standing.LOST),
        ([claim("a#1", Phase.TAKEN), claim("b#1", Phase.ANSWERED, "x")], {"a#1"}, Standing.ANSWERED),
        ([claim("a#1", Phase.ANSWERED, "x"), claim("b#1", Phase.ANSWERED, "x")], set(), Standing.ANSWERED),
        ([claim("a#1", Phase.ANSWERED, "x"), claim("b#1", Phase.ANSWERED, "y")], set(), Standing.CONFLICT),
    ],
)
def test_claims_read_as_the_strictest_that_holds(claims, alive, standing):
    for order in itertools.permutations(claims):
        assert reading(list(order), alive).standing is standing


# --- a few cores, line by line ------------------------------------------------------------------


class Cores:
    """Front ends whose lines the test carries, drops or holds back."""

    def __init__(self, rules=RULES):
        self.now, self.rules = 1_000.0, rules
        self.cores = {e.name: Core(e.name, 1, FLEET, rules, self.now, fresh=True) for e in FLEET.members}
        self.keepers = list(self.cores["n0"].placement.keepers)
        self.owners = [name for name in self.cores if name not in self.keepers]
        self.told, self.lost, self.held = [], set(), []
        self.hold = lambda sender, to, say: False

    def carry(self, name, effects):
        for effect in effects:
            if not isinstance(effect, m.Say):
                self.told.append((name, effect))
                continue
            line = msgspec.json.decode(msgspec.json.encode(self.cores[name].wrapped(effect)))
            for to in effect.to:
                if self.hold(name, to, effect.message):
                    self.held.append((name, to, line))
                elif to not in self.lost and name not in self.lost:
                    self.carry(to, self.cores[to].line(self.now, name, line))

    def spread(self, name):
        """What a keeper says to anybody."""
        if self.cores[name].keeper:
            say = m.Say((), self.cores[name].uses.sums(self.now))
            line = msgspec.json.decode(msgspec.json.encode(self.cores[name].wrapped(say)))
            for to, core in self.cores.items():
                if to != name:
                    core.line(self.now, name, line)

    def release(self):
        held, self.held, self.hold = self.held, [], lambda sender, to, say: False
        for sender, to, line in held:
            if to in self.cores:
                self.carry(to, self.cores[to].line(self.now, sender, line))

    def begin(self, name, key="k", effect=Effect.UNSAFE, **more):
        more = {"promise_ms": 800.0, "budget_ms": 2_000.0} | more
        self.carry(name, self.cores[name].begin(self.now, key, effect, **more))

    def end(self, name, phase=Phase.ANSWERED, answer="QQ==", key="k"):
        digest = "d" if phase is Phase.ANSWERED else ""
        kept = answer if digest else None
        self.carry(name, self.cores[name].ended(self.now, key, phase, digest, kept))

    def wait(self, span_ms):
        end = self.now + span_ms
        while self.now < end:
            self.now += 50.0
            for name, core in self.cores.items():
                if name in self.lost:
                    continue
                for other, peer in self.cores.items():
                    if other not in self.lost:
                        core.hears(self.now, other, peer.life)
                self.carry(name, core.tick(self.now))

    def restart(self, name):
        self.cores[name] = Core(name, self.cores[name].life + 1, FLEET, self.rules, self.now)

    def what(self, name):
        return [effect for who, effect in self.told if who == name]


def test_a_call_goes_when_most_of_its_keepers_know_of_it_and_comes_again_as_its_answer():
    cores = Cores()
    one, other = cores.owners[:2]
    cores.begin(one)
    assert cores.what(one) == [Go("k", True)]
    cores.end(one)
    cores.begin(other)
    assert cores.what(other) == [Answer("k", "QQ==")]
    cores.begin(one)  # at the same front end, too
    assert cores.what(one)[1:] == [Answer("k", "QQ==")]


def test_it_does_not_go_without_most_of_its_keepers_and_may_then_be_asked_again():
    cores = Cores()
    one, other = cores.owners[:2]
    cores.lost = set(cores.keepers[:2])
    cores.begin(one)
    assert cores.what(one) == []
    cores.wait(600)
    [turned] = cores.what(one)
    assert isinstance(turned, TurnAway) and turned.pushback_ms > 0
    cores.lost = set()
    cores.begin(other)
    assert cores.what(other) == [Go("k", True)]


def test_with_one_keeper_lost_calls_go_on():
    cores = Cores()
    cores.lost = {cores.keepers[0]}
    cores.begin(cores.owners[0])
    assert cores.what(cores.owners[0]) == [Go("k", True)]


def test_two_that_ask_at_the_same_moment_never_both_go():
    for first in itertools.permutations(range(3)):
        cores = Cores()
        one, other = cores.owners[:2]
        # The keepers hear the two asks in different orders.
        early = {cores.keepers[n] for n in first[:1]}
        cores.hold = lambda sender, to, say, early=early, one=one: sender == one and to not in early
        cores.begin(one)
        cores.hold, held = (lambda sender, to, say: False), cores.held
        cores.begin(other)
        cores.held = held
        cores.release()
        cores.wait(700)
        went = [who for who, effect in cores.told if isinstance(effect, Go)]
        assert len(went) == 1
        loser = one if went == [other] else other
        cores.end(went[0])
        assert cores.what(loser)[-1] == Answer("k", "QQ==")


def test_one_whose_owner_is_gone_is_given_up_and_one_whose_owner_lives_is_joined():
    cores = Cores()
    one, other, third = cores.owners
    cores.wait(100)
    cores.begin(one)
    cores.begin(other)
    assert cores.what(other) == []  # it waits for the answer
    cores.lost.add(one)
    cores.wait(RULES.quiet_ms + 300)
    assert cores.what(other) == [GiveUp("k", "it may have run")]
    cores.begin(third)
    assert cores.what(third) == [GiveUp("k", "it may have run")]


def test_a_keyed_one_runs_again_within_its_scorers_window_and_not_after_it():
    cores = Cores()
    one, other, third = cores.owners
    keyed = {"effect": Effect.KEYED, "dedup_ms": 2_500.0}
    cores.begin(one, **keyed)
    cores.lost.add(one)
    cores.wait(1_700)
    cores.begin(other, **keyed)
    assert cores.what(other) == [Go("k", False)]
    cores.end(other, Phase.FAILED)
    cores.wait(1_000)
    cores.begin(third, **keyed)
    assert cores.what(third) == [GiveUp("k", "it may have run")]


def test_one_that_goes_without_waiting_takes_the_answer_that_was_kept():
    cores = Cores()
    one, other = cores.owners[:2]
    cores.begin(one, effect=Effect.KEYED, must=False)
    assert cores.what(one) == [Go("k", False)]
    cores.end(one)
    cores.begin(other, effect=Effect.KEYED, must=False)
    assert cores.what(other) == [Go("k", False), Answer("k", "QQ==")]


def test_a_grant_that_comes_too_late_is_not_rested_on():
    cores = Cores()
    one = cores.owners[0]
    cores.hold = lambda sender, to, say: isinstance(say, m.Word)
    cores.begin(one)
    cores.now += RULES.wait_most_ms + 1  # it stood still
    cores.release()
    assert not any(isinstance(effect, Go) for effect in cores.what(one))


def test_a_keeper_that_forgot_grants_nothing_until_it_has_heard_the_others():
    cores = Cores()
    one, other, third = cores.owners
    a, b, c = cores.keepers
    cores.lost = {c}
    cores.begin(one)  # granted by a and b
    cores.end(one)
    cores.restart(a)
    cores.lost = {b}
    cores.begin(other)  # a has forgotten, c never knew
    cores.wait(600)
    assert isinstance(cores.what(other)[-1], TurnAway)
    cores.lost = set()
    cores.wait(3_000)
    assert cores.cores[a].keeper.sure(cores.now)
    cores.lost = {b}
    cores.begin(third)
    assert cores.what(third) == [Answer("k", "QQ==")]


def test_what_a_keepers_earlier_life_had_wanted_is_no_answer_to_it_now():
    cores = Cores()
    one, other = cores.owners[:2]
    a, b, c = cores.keepers
    cores.lost = {c}
    cores.begin(one)  # granted by a and b
    cores.end(one)
    core = cores.cores[b]
    early = {"type": "want", "number": 1, "life": 1, "members": 1, "wanted": [
        {"owner": "n9#1", "first": 0, "until": 1}]}  # fmt: skip
    core.line(cores.now, a, {"fleet": "f", "sender": a, "life": 1, "to": [b], "say": early})
    cores.restart(a)
    cores.lost = set()
    # Its own first want is lost; b goes on telling what the earlier life wanted.
    cores.hold = lambda sender, to, say: sender == a and to == b and isinstance(say, m.Want)
    cores.now += 700.0
    cores.carry(a, cores.cores[a].tick(cores.now))
    cores.carry(b, core.tick(cores.now))
    assert cores.cores[a].keeper.shelf.counts == {"a piece out of place": 1}
    cores.wait(500)
    assert not cores.cores[a].keeper.sure(cores.now)
    cores.lost = {b}
    cores.begin(other)
    cores.wait(300)
    assert not any(isinstance(effect, Go) for effect in cores.what(other))


def test_a_snapshot_has_every_claim_however_many_a_call_has():
    cores = Cores()
    a, b, c = cores.keepers
    for n in range(60):
        key = f"k{n}"
        shelf = cores.cores[b].keeper.shelf
        for ask in range(1, 41):
            put = Claim("n9#1", ask, ask, 0, Phase.TAKEN if ask == n % 40 + 1 else Phase.CLEAR)
            shelf.put(cores.now, key, shelf.entry(cores.now, key), put, 60_000.0)
    cores.restart(a)
    cores.wait(3_000)
    held = cores.cores[a].keeper.shelf.calls
    assert all(len(held[f"k{n}"].standing()) == 1 for n in range(60))
    assert sum(len(entry.claims) for entry in held.values()) == 2_400


def test_a_call_that_was_asked_for_too_often_is_granted_no_more_and_never_forgotten():
    cores = Cores()
    one = cores.owners[0]
    cores.lost = set(cores.keepers[1:])
    for _ in range(80):
        cores.begin(one)
        cores.wait(250)
        cores.now -= 250.0  # within one window
    keeper = cores.cores[cores.keepers[0]].keeper
    assert len(keeper.shelf.calls["k"].claims) <= 65 and keeper.shelf.counts["too many asks"] > 0
    assert not any(isinstance(effect, Go) for effect in cores.what(one))


def test_two_keepers_that_forgot_wait_until_all_is_over():
    cores = Cores()
    a, b, c = cores.keepers
    cores.restart(a)
    cores.restart(b)
    cores.wait(4_000)
    assert not cores.cores[a].keeper.sure(cores.now)
    cores.wait(6_000)
    assert cores.cores[a].keeper.sure(cores.now) and cores.cores[b].keeper.sure(cores.now)


def test_a_keeper_asks_only_when_nobody_may_rest_on_what_it_granted_before():
    cores = Cores()
    one, other = cores.owners[:2]
    a, b, c = cores.keepers
    # b hears the ask late: a's grant is forgotten, and b's is yet to come.
    cores.hold = lambda sender, to, say: sender == one and to in (b, c)
    cores.begin(one)
    cores.restart(a)
    cores.wait(150)
    held, cores.held = cores.held, []
    cores.hold = lambda sender, to, say: False
    [(sender, to, line)] = [item for item in held if item[1] == b]
    cores.carry(to, cores.cores[to].line(cores.now, sender, line))
    assert cores.what(one) == [Go("k", True)]
    cores.wait(2_000)
    cores.lost = {b}
    cores.begin(other)  # a and c alone must not be enough
    cores.wait(600)
    assert not any(isinstance(effect, Go) for effect in cores.what(other))


def test_an_answer_whose_news_was_lost_is_made_good_by_comparing():
    cores = Cores()
    one, other = cores.owners[:2]
    a, b, c = cores.keepers
    cores.wait(100)
    cores.begin(one)
    cores.lost = {a, b}  # hears nothing
    cores.end(one)
    cores.lost = set()
    cores.wait(4_500)
    for name in (a, b, c):
        [kept] = cores.cores[name].keeper.shelf.calls["k"].standing()
        assert kept.phase is Phase.ANSWERED
    cores.begin(other)
    assert cores.what(other) == [Answer("k", "QQ==")]


def test_another_list_of_members_hands_over_before_anything_is_granted_by_it():
    cores = Cores()
    one, other = cores.owners[:2]
    cores.begin(one)
    cores.end(one)
    # Zones change places, so other front ends keep: all but one hear of it.
    later = fleet_file("aabbcc", 2)
    behind = cores.keepers[0]
    for name, core in cores.cores.items():
        if name != behind:
            core.take_members(cores.now, later)
    assert set(cores.cores[other].placement.keepers) != set(cores.keepers)
    cores.wait(3_000)
    cores.begin(other)
    cores.wait(600)
    assert cores.what(other)[-1] == Answer("k", "QQ==")
    # The one that has the old list has heard that there is a later one.
    assert not cores.cores[behind].keeper.sure(cores.now)


def test_a_shelf_that_is_full_takes_nothing_new_and_drops_answers_first():
    rules = msgspec.structs.replace(RULES, bounds=s.Bounds(calls=2, bytes=1_024))
    cores = Cores(rules)
    one = cores.owners[0]
    for n in range(2):
        cores.begin(one, key=f"k{n}")
        cores.end(one, key=f"k{n}", answer="Q" * 800)
    cores.begin(one, key="k2")
    cores.wait(600)
    assert isinstance(cores.what(one)[-1], TurnAway)
    shelf = cores.cores[cores.keepers[0]].keeper.shelf
    assert shelf.counts["answer dropped"] == 1 and shelf.counts["full"] >= 1 and shelf.bytes <= 1_024
    cores.begin(cores.owners[1], key="k1")
    assert cores.what(cores.owners[1]) == [Answer("k1", None)]


# --- use ----------------------------------------------------------------------------------------


def test_counters_of_an_owner_count_once_however_often_and_in_whatever_order_they_come():
    told = [m.Use(n, {"a": 10 * n}) for n in range(1, 8)]
    plain, mixed = Uses(), Uses()
    for n, use in enumerate(told):
        plain.heard(500.0 * n, "n1#1", use)
        mixed.heard(500.0 * n, "n1#1", use)
        mixed.heard(500.0 * n, "n1#1", told[max(0, n - 2)])
        mixed.heard(500.0 * n, "n1#1", use)
    assert plain.sums(3_100.0) == mixed.sums(3_100.0) == m.Sums({"a": 20.0}, 1)
    assert mixed.dropped["an older use"] == 14
    mixed.heard(3_200.0, "n1#1", m.Use(9, {"a": 3}))
    assert mixed.dropped["a count that goes down"] == 1
    assert mixed.sums(3_200.0) == m.Sums({"a": 20.0}, 1)
    assert mixed.sums(9_000.0) == m.Sums({}, 0)  # it is gone, and so is its rate


def test_a_new_life_is_counted_by_itself():
    uses = Uses()
    for n in range(5):
        uses.heard(500.0 * n, "n1#1", m.Use(n + 1, {"a": 50 * n}))
    uses.heard(2_500.0, "n1#2", m.Use(1, {"a": 0}))
    assert uses.sums(2_600.0) == m.Sums({"a": 100.0}, 1)


rates = strategies.lists(strategies.floats(0.0, 500.0), min_size=1, max_size=12)


@given(rates, strategies.floats(1.0, 2_000.0))
def test_shares_of_those_that_know_the_same_come_to_the_quota(asked, quota):
    total, fronts = sum(asked), len(asked)
    shares = [share(quota, fronts, mine, total, fronts) for mine in asked]
    floors = sum(FLOOR * quota / fronts >= got - 1e-9 for got in shares) * FLOOR * quota / fronts
    assert sum(shares) <= quota + floors + 1e-6
    if total <= quota:  # nobody is short
        assert all(got >= mine - 1e-6 for got, mine in zip(shares, asked, strict=True))
        assert sum(shares) >= quota - 1e-6
    assert min(shares) >= FLOOR * quota / fronts - 1e-9


def test_who_hears_few_takes_an_equal_part_and_who_hears_most_holds_the_others_gone():
    assert share(120.0, 6, 50.0, 60.0, 3) == 20.0
    assert share(120.0, 6, 30.0, 120.0, 4) == 30.0
    assert share(120.0, 6, 60.0, 240.0, 4) == 30.0


def test_shares_follow_what_comes_and_fall_back_when_keepers_are_silent():
    cores = Cores()
    for core in cores.cores.values():
        core.shares = Shares({"a": 120.0}, 6)
    busy = cores.owners[0]
    for n in range(12):
        for name, core in cores.cores.items():
            core.shares.came(["a"] * (25 if name == busy else 2) + ["unknown"])
            cores.carry(name, core.tell_use(cores.now))
            cores.spread(name)
        cores.wait(500)
        changed = {name: core.shares.changes(cores.now) for name, core in cores.cores.items()}
        assert n < 11 or not changed[busy]
    got = {name: core.shares.shares["a"] for name, core in cores.cores.items()}
    assert got[busy] > 50.0 and sum(got.values()) <= 125.0
    cores.now += 5_000
    cores.cores[busy].shares.changes(cores.now)
    assert cores.cores[busy].shares.shares["a"] == 20.0


# --- beliefs ------------------------------------------------------------------------------------


def test_signs_of_a_scorer_are_bad_until_one_good_sign():
    told, load = Warmth.UNTOLD, Warmth.WAITED_FOR_LOAD
    table = [  # ending, how long, warmth, whether one of these names a scorer, and whether two do
        (Ending.TIMEOUT, 100.0, told, True, True),
        (Ending.RESET, 5.0, told, True, True),
        (Ending.CONNECT_FAILED, 5.0, told, True, True),
        (Ending.CANCELLED, 900.0, told, False, True),
        (Ending.CANCELLED, 20.0, told, False, False),
        (Ending.GOOD, 900.0, told, False, True),
        (Ending.GOOD, 900.0, load, False, False),
        (Ending.NOT_SENT, 0.0, told, False, False),
    ]
    for ending, took, warmth, once, twice in table:
        sights = Sights()
        sights.ended(0.0, 7, ending, took, 400.0, warmth)
        assert sights.named(10.0).bad == ({"7": 1} if once else {}), ending
        sights.ended(15.0, 7, ending, took, 400.0, warmth)
        assert sights.named(16.0).bad == ({"7": 2} if twice else {}), ending
        sights.ended(20.0, 7, Ending.GOOD, 30.0, 400.0)
        assert sights.named(30.0).bad == {} and sights.good_ms(7) == 20.0
        sights.ended(40.0, 7, Ending.GOOD, 900.0, 400.0)
        assert sights.named(41.0).bad == {}  # what was hard before counts no more
    sights.ended(50.0, 7, Ending.TIMEOUT, 400.0, 400.0)
    assert sights.named(51.0).bad == {"7": 2}
    assert sights.named(5_000.0).bad == {}  # it fades


def test_a_scorer_is_hinted_at_when_enough_front_ends_name_it_and_one_alone_moves_nothing():
    sightings = Sightings()
    for n in range(1, 4):
        assert sightings.hints(0.0, 18) == m.Hints({})
        sightings.heard(0.0, f"n{n}#1", m.Named(2, {"7": 9}))
        sightings.heard(0.0, f"n{n}#1", m.Named(1, {"8": 9}))  # an older one
    assert sightings.hints(0.0, 18) == m.Hints({"7": 3})
    sightings.heard(500.0, "n1#1", m.Named(3, {}))
    assert sightings.hints(500.0, 18) == m.Hints({})
    assert sightings.hints(500.0, 6) == m.Hints({"7": 2})
    sightings.heard(600.0, "n2#2", m.Named(1, {"7": 1}))  # a new life is no second witness
    assert sightings.hints(600.0, 18) == m.Hints({})
    assert sightings.hints(2_000.0, 2) == m.Hints({})


def test_a_hinted_scorer_rests_for_longer_each_time_and_never_more_than_a_part_of_a_zone():
    zones = {n: "a" if n < 8 else "b" for n in range(16)}
    counts, rests, sights = {"a": 8, "b": 8}, Rests(), Sights()
    hint = m.Hints({"1": 3})
    rests.heard(0.0, hint, sights, zones, counts)
    assert rests.resting(1_999.0) == {1} and rests.resting(2_000.0) == set()
    rests.heard(2_100.0, hint, sights, zones, counts)
    assert rests.resting(6_000.0) == {1} and rests.resting(6_200.0) == set()
    rests.heard(20_000.0, hint, sights, zones, counts)  # long after: it begins anew
    assert rests.resting(21_900.0) == {1} and rests.resting(22_100.0) == set()
    rests.heard(40_000.0, m.Hints({str(n): 9 for n in (1, 2, 3, 4, 9, 99)}), sights, zones, counts)
    assert rests.resting(40_100.0) == {1, 2, 9} and rests.refused == 2


def test_who_has_a_good_sign_of_its_own_goes_by_that():
    rests, sights = Rests(), Sights()
    sights.ended(1_000.0, 1, Ending.GOOD, 10.0, 400.0)
    rests.heard(1_500.0, m.Hints({"1": 9}), sights, {1: "a"}, {"a": 8})
    assert rests.resting(1_500.0) == set()
    rests.heard(1_700.0, m.Hints({"1": 9}), sights, {1: "a"}, {"a": 8})
    assert rests.resting(1_700.0) == {1}


def entry(id, zone="a", phase="in_service"):
    return Member(id=id, host_port="127.0.0.1:1", locality=zone, phase=phase, size=1.0)


def test_a_resting_scorer_is_told_as_draining_and_what_drains_or_is_gone_stays_so():
    overlay = Overlay()
    told = overlay.told(Fleet([entry("s1"), entry("s2"), entry("s3", phase="terminating")], True, 1))
    assert [member.phase for member in told.members] == ["in_service", "in_service", "terminating"]
    changes = overlay.close("state", closer(frozenset({"s1", "s3"})))
    phases = {member.id: member.phase for member in changes.members}
    assert phases == {"s1": "terminating"}  # of s3 there is nothing new to tell
    told = overlay.told(Fleet([entry("s1"), entry("s3", phase="terminating")], False, 2))
    assert [member.phase for member in told.members] == ["terminating", "terminating"]
    overlay.told(Fleet([entry("s2", phase="terminating")], False, 3))
    changes = overlay.close("state", closer(frozenset()))
    phases = {member.id: member.phase for member in changes.members}
    assert phases == {"s1": "in_service"}


def hint(*ids):
    return m.Hints({str(worker_number(id)): 9 for id in ids})


def test_a_hint_is_gone_by_for_its_time_and_told_once():
    overlay, notes = Overlay(), []
    resting = Resting(400.0, lambda event, fields: notes.append(fields))
    overlay.told(Fleet([entry(f"s{n}") for n in range(8)], True, 1))
    steps = [
        (1_000.0, [], {}),
        (1_250.0, [hint("s1", "s9")], {"s1": "terminating"}),
        (1_500.0, [hint("s1", "s2")], {"s2": "terminating"}),
        (1_750.0, [hint("s3")], {}),  # a quarter of them rests
        (3_250.0, [], {"s1": "in_service"}),
        (3_500.0, [], {"s2": "in_service"}),
        (3_750.0, [], {}),
    ]
    for now, heard, wanted in steps:
        changes = resting.look(now, heard, overlay)
        assert {member.id: member.phase for member in changes.members} == wanted, now
    assert [fields["now"] for fields in notes] == [["s1"], ["s1", "s2"], ["s2"], []]


def test_what_others_close_neither_rests_nor_counts_among_those_that_may():
    overlay, resting = Overlay(), Resting(400.0, lambda event, fields: None)
    overlay.told(Fleet([entry(f"s{n}") for n in range(8)], True, 1))
    overlay.close("zones", lambda member: member.id in ("s0", "s4", "s5", "s6"))
    changes = resting.look(1_000.0, [hint("s0", "s1", "s2")], overlay)
    assert [member.id for member in changes.members] == ["s1"] and resting.rests.refused == 1
    overlay.close("zones", None)
    changes = resting.look(1_250.0, [hint("s0")], overlay)
    assert [member.id for member in changes.members] == ["s0"] and resting.ids == {"s0", "s1"}


# --- a keeper's disk ----------------------------------------------------------------------------


def disk_in(folder, boot="b1", now=0.0, name="n1", life=10_000.0):
    return KeeperDisk(folder, "f", name, now, life, boot)


def written(folder, count=3, **more):
    """A folder whose keeper knew all and wrote so many claims, one a record."""
    disk = disk_in(folder, **more)
    disk.begin(0.0, 1, [])
    for n in range(count):
        disk.write(float(n), [(f"k{n}", Claim("n9#1", n + 1, n + 1, 0, Phase.TAKEN), 9_000.0 + n)], 0)
    disk.close()
    return max(folder.glob("keeper-*.log"), key=lambda path: int(path.stem[7:]))


def reread(folder, **more):
    disk = disk_in(folder, **more)
    disk.close()
    return disk


def test_a_keeper_finds_all_that_it_told_within_one_boot_and_nothing_of_another(tmp_path):
    written(tmp_path)
    found = reread(tmp_path)
    assert (found.why, found.sure, [key for key, _, _ in found.kept]) == ("", 1, ["k0", "k1", "k2"])
    assert reread(tmp_path, boot="b2").why == "of another boot" and reread(tmp_path, boot="b2").kept == []
    assert reread(tmp_path, boot="").why == "of another boot"
    with pytest.raises(DiskError, match="of n1 in fleet f"):
        disk_in(tmp_path, name="n2")


def test_a_record_cut_short_at_any_byte_was_never_told_and_is_cut_off(tmp_path):
    path = written(tmp_path)
    data = path.read_bytes()
    last = data.rfind(b"fwv1")
    for end in range(last, len(data)):
        os.truncate(path, 0)
        with open(path, "r+b") as file:  # the same file: a copy would not be trusted
            file.write(data[:end])
        found = reread(tmp_path)
        assert (found.why, len(found.kept)) == ("", 2), end


def test_damage_in_the_middle_and_a_copy_are_not_trusted(tmp_path):
    path = written(tmp_path)
    data = path.read_bytes()
    for at in range(len(data) // 3, data.rfind(b"fwv1"), 7):
        with open(path, "r+b") as file:
            file.write(data[:at] + bytes([data[at] ^ 0x40]) + data[at + 1 :])
        assert "damaged" in reread(tmp_path).why, at
    with open(path, "r+b") as file:
        file.write(data)
    assert reread(tmp_path).why == ""
    copy = tmp_path / "copy"
    copy.write_bytes(data)
    os.rename(copy, path)
    assert "a copy" in reread(tmp_path).why


def test_a_file_is_begun_anew_as_claims_end_and_the_one_before_is_needed_for_so_long(tmp_path):
    disk = disk_in(tmp_path, life=100.0)
    disk.begin(0.0, 1, [])
    for n in range(60):
        disk.write(10.0 * n, [(f"k{n}", Claim("n9#1", n + 1, n + 1, 0, Phase.TAKEN), 10.0 * n + 100.0)], 1)
        assert len(list(tmp_path.glob("keeper-*.log"))) <= 2
    disk.close()
    found = reread(tmp_path, life=100.0, now=600.0)
    live = {key for key, _, until in found.kept if until > 600.0}
    assert found.why == "" and live == {f"k{n}" for n in range(51, 60)}
    first, _ = sorted(tmp_path.glob("keeper-*.log"), key=lambda path: int(path.stem[7:]))
    first.unlink()
    assert "missing" in reread(tmp_path, life=100.0, now=595.0).why
    assert reread(tmp_path, life=100.0, now=900.0).why == ""  # all of that is over


def test_a_keeper_that_did_not_know_all_is_not_trusted_for_having_a_file(tmp_path):
    disk = disk_in(tmp_path)
    disk.begin(0.0, 0, [])
    disk.write(1.0, [], 0)
    disk.close()
    assert (reread(tmp_path).why, reread(tmp_path).sure) == ("", 0)
    assert reread(tmp_path / "empty").why == "no file"


def test_a_folder_is_used_by_one_process_and_a_write_that_fails_is_told(tmp_path, monkeypatch):
    disk = disk_in(tmp_path)
    with pytest.raises(DiskError):
        disk_in(tmp_path)
    disk.begin(0.0, 1, [])
    write = os.write
    monkeypatch.setattr(os, "write", lambda file, data: write(file, data[:10]))
    with pytest.raises(DiskError, match="no room"):
        disk.write(0.0, [("k", Claim("n9#1", 1, 1, 0, Phase.TAKEN), 9.0)], 0)
    disk.close()
    monkeypatch.undo()
    assert reread(tmp_path).kept == []


# --- bad input ----------------------------------------------------------------------------------

GOOD_CLAIM = {"owner": "n1#1", "ask": 1, "number": 1, "slot": 0, "phase": 3}
GOOD_ASK = {"type": "ask", "key": "k", "owner": "n1#1", "number": 1, "members": 1, "slot": 0}


@pytest.mark.parametrize(
    "say",
    [
        {"type": "unheard of"},
        GOOD_ASK | {"key": "x" * 200},
        GOOD_ASK | {"key": 7},
        GOOD_ASK | {"owner": "n2#1"},
        GOOD_ASK | {"owner": "n1#2"},
        GOOD_ASK | {"owner": "nobody"},
        GOOD_ASK | {"number": -1},
        GOOD_ASK | {"number": 1 << 60, "members": 1 << 60},
        {"type": "tell", "key": "k", "claim": GOOD_CLAIM | {"phase": 9}},
        {"type": "tell", "key": "k", "claim": GOOD_CLAIM | {"owner": "n2#1"}},
        {"type": "digests", "slots": {"n1#1": {"first": 0, "until": 1}}},
    ],
)
def test_a_line_that_no_member_says_is_a_fault_and_changes_nothing(say):
    cores = Cores()
    keeper = cores.keepers[0]
    sender = "n1" if keeper != "n1" else cores.keepers[1]
    line = {"fleet": "f", "sender": "n1", "life": 1, "to": [keeper], "say": say}
    with pytest.raises(LineFault):
        cores.cores[keeper].line(cores.now, sender, line)
    assert cores.cores[keeper].keeper.shelf.calls == {}


def piece(held, number=1, part=0, digest="0" * 16, last=True):
    return {
        "type": "piece", "number": number, "life": 1, "part": part, "last": last, "held": held,
        "digest": digest,
    }  # fmt: skip


def test_what_is_said_out_of_place_is_dropped_and_counted_by_cause():
    cores = Cores()
    a, b, c = cores.keepers
    core = cores.cores[a]

    def says(sender, say):
        line = {"fleet": "f", "sender": sender, "life": 1, "to": [a], "say": say}
        return core.line(cores.now, sender, line)

    stray = {"owner": f"{cores.owners[0]}#1", "ask": 1, "number": 1, "slot": 0, "phase": 1}
    assert says(b, piece([{"key": "k", "claim": stray, "left_ms": 9.0}])) == []
    assert says(cores.owners[0], {"type": "want", "number": 1, "life": 1, "members": 0}) == []
    assert says(cores.owners[0], {"type": "digests", "slots": {}}) == []
    word = {"type": "word", "key": "k", "owner": f"{a}#1", "number": 1, "granted": True}
    assert says(b, word) == []
    shelf = core.keeper.shelf
    assert shelf.counts == {"a piece out of place": 1, "want of no keeper": 1, "digests of no keeper": 1}
    assert core.claimant.counts == {"a word on nothing": 1} and shelf.calls == {}
    cores.begin(a)
    assert [effect for effect in cores.what(a)] == [Go("k", True)]


def test_a_snapshot_that_does_not_fit_its_digest_is_wanted_again():
    cores = Cores()
    a, b, c = cores.keepers
    cores.begin(cores.owners[0])
    cores.restart(a)
    cores.hold = lambda sender, to, say: isinstance(say, m.Piece) and sender == b
    cores.wait(800)
    [(sender, to, line), *_] = cores.held
    line["say"]["digest"] = "0" * 16
    cores.release()
    assert cores.cores[a].keeper.shelf.counts["a piece that does not fit its digest"] == 1
    assert not cores.cores[a].keeper.sure(cores.now)
    cores.wait(1_500)
    assert cores.cores[a].keeper.sure(cores.now)
    assert "k" in cores.cores[a].keeper.shelf.calls


# --- walks --------------------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(1, 5))
def test_no_call_runs_twice_and_keepers_come_to_hold_the_same(seed):
    outcome = Walk(seed, Weather() if seed % 2 else STORM, "abcabc").run(8)
    assert outcome.broken == ""
    assert outcome.runs > 20


class Forgets(Core):
    """Planted: a keeper that starts again trusts its empty memory."""

    def __init__(self, *more):
        super().__init__(*more)
        if self.keeper:
            self.keeper._sure = True


class OneIsEnough(Core):
    """Planted: one grant makes a promise."""

    def __init__(self, *more):
        super().__init__(*more)
        weigh = self.claimant._weigh

        def one(now_ms, mine):
            if any(word.granted for word in mine.words.values()):
                mine.state = "going"
                return [Go(mine.key, True)]
            return weigh(now_ms, mine)

        self.claimant._weigh = one


class MovesBlind(Core):
    """Planted: another list of members is gone by at once."""

    def take_members(self, now_ms, members):
        super().take_members(now_ms, members)
        if self.keeper:
            self.keeper._sure = True
            self.keeper._olds.clear()


@pytest.mark.parametrize("planted", [Forgets, OneIsEnough, MovesBlind])
def test_walks_find_what_is_broken_on_purpose(planted):
    moves = 0.3 if planted is MovesBlind else 0.0
    weather = Weather(calls=60.0, kills=1.0, away_ms=300.0, halts=0.3, late=0.1, moves=moves)
    found = (Walk(seed, weather, "abcabc", planted).run(12, 30).broken for seed in range(1, 8))
    assert any("ran at" in broken for broken in found)


# --- the files that come with the project -------------------------------------------------------


def test_the_deployments_examples_are_good_and_fit_each_other():
    folder = Path(__file__).parent.parent / "deploy"
    zones = zone_settings((folder / "zones.json").read_bytes())
    state = s.settings_from((folder / "state.json").read_bytes())
    assert zones.members == state.members == "members.json"
    members = members_from((folder / "members.json").read_bytes())
    s.check_members(members, state)
    assert len(members.voters) == 3 and Placement(members, state.zones, state.per_zone).enough("k") == 2
