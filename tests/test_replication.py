"""State that front ends keep together: a few cores, line by line."""

import itertools

import msgspec
from cores import RULES, Cores

from fawnwharf.interface import Effect
from fawnwharf.replication import messages as m
from fawnwharf.replication import settings as s
from fawnwharf.replication.call_owner import AnswerCall, FailCall, RejectCall, RunCall
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.testbed.promises import fleet_file


def test_a_call_goes_when_most_of_its_keepers_know_of_it_and_comes_again_as_its_answer():
    cores = Cores()
    one, other = cores.owners[:2]
    cores.begin(one)
    assert cores.what(one) == [RunCall("k", True)]
    cores.end(one)
    cores.begin(other)
    assert cores.what(other) == [AnswerCall("k", "QQ==")]
    cores.begin(one)  # at the same front end, too
    assert cores.what(one)[1:] == [AnswerCall("k", "QQ==")]


def test_it_does_not_go_without_most_of_its_keepers_and_may_then_be_asked_again():
    cores = Cores()
    one, other = cores.owners[:2]
    cores.lost = set(cores.keepers[:2])
    cores.begin(one)
    assert cores.what(one) == []
    cores.wait(600)
    [turned] = cores.what(one)
    assert isinstance(turned, RejectCall) and turned.pushback_ms > 0
    cores.lost = set()
    cores.begin(other)
    assert cores.what(other) == [RunCall("k", True)]


def test_with_one_keeper_lost_calls_go_on():
    cores = Cores()
    cores.lost = {cores.keepers[0]}
    cores.begin(cores.owners[0])
    assert cores.what(cores.owners[0]) == [RunCall("k", True)]


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
        went = [who for who, effect in cores.told if isinstance(effect, RunCall)]
        assert len(went) == 1
        loser = one if went == [other] else other
        cores.end(went[0])
        assert cores.what(loser)[-1] == AnswerCall("k", "QQ==")


def test_one_whose_owner_is_gone_is_given_up_and_one_whose_owner_lives_is_joined():
    cores = Cores()
    one, other, third = cores.owners
    cores.wait(100)
    cores.begin(one)
    cores.begin(other)
    assert cores.what(other) == []  # it waits for the answer
    cores.lost.add(one)
    cores.wait(RULES.silence_timeout_ms + 300)
    assert cores.what(other) == [FailCall("k", "it may have run")]
    cores.begin(third)
    assert cores.what(third) == [FailCall("k", "it may have run")]


def test_a_keyed_one_runs_again_within_its_scorers_window_and_not_after_it():
    cores = Cores()
    one, other, third = cores.owners
    keyed = {"effect": Effect.DEDUPLICATED, "dedup_window_ms": 2_500.0}
    cores.begin(one, **keyed)
    cores.lost.add(one)
    cores.wait(1_700)
    cores.begin(other, **keyed)
    assert cores.what(other) == [RunCall("k", False)]
    cores.end(other, ClaimPhase.FAILED)
    cores.wait(1_000)
    cores.begin(third, **keyed)
    assert cores.what(third) == [FailCall("k", "it may have run")]


def test_one_that_goes_without_waiting_takes_the_answer_that_was_kept():
    cores = Cores()
    one, other = cores.owners[:2]
    cores.begin(one, effect=Effect.DEDUPLICATED, claim_required=False)
    assert cores.what(one) == [RunCall("k", False)]
    cores.end(one)
    cores.begin(other, effect=Effect.DEDUPLICATED, claim_required=False)
    assert cores.what(other) == [RunCall("k", False), AnswerCall("k", "QQ==")]


def test_a_grant_that_comes_too_late_is_not_rested_on():
    cores = Cores()
    one = cores.owners[0]
    cores.hold = lambda sender, to, say: isinstance(say, m.ClaimReply)
    cores.begin(one)
    cores.now += RULES.max_wait_ms + 1  # it stood still
    cores.release()
    assert not any(isinstance(effect, RunCall) for effect in cores.what(one))


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
    assert isinstance(cores.what(other)[-1], RejectCall)
    cores.lost = set()
    cores.wait(3_000)
    assert cores.cores[a].replica.is_complete(cores.now)
    cores.lost = {b}
    cores.begin(third)
    assert cores.what(third) == [AnswerCall("k", "QQ==")]


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
    core.receive_line(cores.now, a, {"fleet": "f", "sender": a, "life": 1, "to": [b], "say": early})
    cores.restart(a)
    cores.lost = set()
    # Its own first want is lost; b goes on telling what the earlier life wanted.
    cores.hold = lambda sender, to, say: sender == a and to == b and isinstance(say, m.StateRequest)
    cores.now += 700.0
    cores.carry(a, cores.cores[a].tick(cores.now))
    cores.carry(b, core.tick(cores.now))
    assert cores.cores[a].replica.claim_store.counts == {"chunks out of order": 1}
    cores.wait(500)
    assert not cores.cores[a].replica.is_complete(cores.now)
    cores.lost = {b}
    cores.begin(other)
    cores.wait(300)
    assert not any(isinstance(effect, RunCall) for effect in cores.what(other))


def test_a_snapshot_has_every_claim_however_many_a_call_has():
    cores = Cores()
    a, b, c = cores.keepers
    for n in range(60):
        key = f"k{n}"
        shelf = cores.cores[b].replica.claim_store
        for ask in range(1, 41):
            put = Claim("n9#1", ask, ask, 0, ClaimPhase.GRANTED if ask == n % 40 + 1 else ClaimPhase.RELEASED)
            shelf.merge(cores.now, key, shelf.get_or_create(cores.now, key), put, 60_000.0)
    cores.restart(a)
    cores.wait(3_000)
    held = cores.cores[a].replica.claim_store.calls
    assert all(len(held[f"k{n}"].active_claims()) == 1 for n in range(60))
    assert sum(len(entry.claims) for entry in held.values()) == 2_400


def test_a_call_that_was_asked_for_too_often_is_granted_no_more_and_never_forgotten():
    cores = Cores()
    one = cores.owners[0]
    cores.lost = set(cores.keepers[1:])
    for _ in range(80):
        cores.begin(one)
        cores.wait(250)
        cores.now -= 250.0  # within one window
    keeper = cores.cores[cores.keepers[0]].replica
    assert (
        len(keeper.claim_store.calls["k"].claims) <= 65
        and keeper.claim_store.counts["too many claim requests for a call"] > 0
    )
    assert not any(isinstance(effect, RunCall) for effect in cores.what(one))


def test_two_keepers_that_forgot_wait_until_all_is_over():
    cores = Cores()
    a, b, c = cores.keepers
    cores.restart(a)
    cores.restart(b)
    cores.wait(4_000)
    assert not cores.cores[a].replica.is_complete(cores.now)
    cores.wait(6_000)
    assert cores.cores[a].replica.is_complete(cores.now) and cores.cores[b].replica.is_complete(cores.now)


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
    cores.carry(to, cores.cores[to].receive_line(cores.now, sender, line))
    assert cores.what(one) == [RunCall("k", True)]
    cores.wait(2_000)
    cores.lost = {b}
    cores.begin(other)  # a and c alone must not be enough
    cores.wait(600)
    assert not any(isinstance(effect, RunCall) for effect in cores.what(other))


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
        [kept] = cores.cores[name].replica.claim_store.calls["k"].active_claims()
        assert kept.phase is ClaimPhase.ANSWERED
    cores.begin(other)
    assert cores.what(other) == [AnswerCall("k", "QQ==")]


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
            core.change_membership(cores.now, later)
    assert set(cores.cores[other].placement.replicas) != set(cores.keepers)
    cores.wait(3_000)
    cores.begin(other)
    cores.wait(600)
    assert cores.what(other)[-1] == AnswerCall("k", "QQ==")
    # The one that has the old list has heard that there is a later one.
    assert not cores.cores[behind].replica.is_complete(cores.now)


def test_a_shelf_that_is_full_takes_nothing_new_and_drops_answers_first():
    rules = msgspec.structs.replace(RULES, limits=s.ClaimStoreLimits(max_calls=2, max_answer_bytes=1_024))
    cores = Cores(rules)
    one = cores.owners[0]
    for n in range(2):
        cores.begin(one, key=f"k{n}")
        cores.end(one, key=f"k{n}", answer="Q" * 800)
    cores.begin(one, key="k2")
    cores.wait(600)
    assert isinstance(cores.what(one)[-1], RejectCall)
    shelf = cores.cores[cores.keepers[0]].replica.claim_store
    assert (
        shelf.counts["answers dropped"] == 1
        and shelf.counts["claim store full"] >= 1
        and shelf.answer_bytes <= 1_024
    )
    cores.begin(cores.owners[1], key="k1")
    assert cores.what(cores.owners[1]) == [AnswerCall("k1", None)]
