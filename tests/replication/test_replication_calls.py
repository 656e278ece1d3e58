"""Replicated calls, between the cores of a few front ends whose lines the test delivers."""

import itertools

import msgspec
from cores import RULES, Cores

from fawnwharf.interface import Effect
from fawnwharf.replication import messages as m
from fawnwharf.replication import settings as s
from fawnwharf.replication.call_owner import AnswerCall, FailCall, LimitRun, RejectCall, RunCall
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.replication.owned_call import DEDUP_MARGIN_MS
from fawnwharf.testbed.promises import fleet_file


def test_a_call_runs_with_a_quorum_and_a_repeat_gets_its_answer():
    cores = Cores()
    one, other = cores.owners[:2]
    cores.begin(one)
    assert cores.what(one) == [RunCall("k", True)]
    cores.end(one)
    cores.begin(other)
    assert cores.what(other) == [AnswerCall("k", "QQ==")]
    cores.begin(one)  # a repeat at the same front end
    assert cores.what(one)[1:] == [AnswerCall("k", "QQ==")]


def test_a_call_without_a_quorum_is_rejected_and_may_be_retried():
    cores = Cores()
    one, other = cores.owners[:2]
    cores.lost = set(cores.keepers[:2])
    cores.begin(one)
    assert cores.what(one) == []
    cores.wait(600)
    [rejection] = cores.what(one)
    assert isinstance(rejection, RejectCall)
    assert rejection.pushback_ms > 0
    cores.lost = set()
    cores.begin(other)
    assert cores.what(other) == [RunCall("k", True)]


def test_calls_run_with_one_replica_lost():
    cores = Cores()
    cores.lost = {cores.keepers[0]}
    cores.begin(cores.owners[0])
    assert cores.what(cores.owners[0]) == [RunCall("k", True)]


def test_of_two_concurrent_requests_at_most_one_runs():
    for first in itertools.permutations(range(3)):
        cores = Cores()
        one, other = cores.owners[:2]
        # The replicas receive the two requests in different orders.
        early = {cores.keepers[n] for n in first[:1]}
        cores.delays = lambda sender, to, _message, early=early, one=one: sender == one and to not in early
        cores.begin(one)
        cores.delays, delayed = (lambda _sender, _to, _message: False), cores.delayed
        cores.begin(other)
        cores.delayed = delayed
        cores.deliver_delayed()
        cores.wait(700)
        winners = [name for name, action in cores.told if isinstance(action, RunCall)]
        assert len(winners) == 1
        loser = one if winners == [other] else other
        cores.end(winners[0])
        assert cores.what(loser)[-1] == AnswerCall("k", "QQ==")


def test_a_repeat_fails_when_the_owner_is_gone_and_joins_when_it_is_alive():
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


def test_a_deduplicated_call_is_retried_within_the_scorers_window_only():
    cores = Cores()
    one, other, third = cores.owners
    keyed = {"effect": Effect.DEDUPLICATED, "dedup_window_ms": 2_500.0}
    cores.begin(one, **keyed)
    cores.lost.add(one)
    cores.wait(1_700)
    cores.begin(other, **keyed)
    [run] = cores.what(other)
    # What is left of the scorers' window, less the wait for replies and the margin.
    assert run == RunCall("k", False, 2_500.0 - 1_700.0 - 200.0 - DEDUP_MARGIN_MS)
    cores.end(other, ClaimPhase.FAILED)
    cores.wait(1_000)
    cores.begin(third, **keyed)
    assert cores.what(third) == [FailCall("k", "it may have run")]


def test_a_call_that_runs_unclaimed_is_limited_once_replicas_tell_of_an_earlier_attempt():
    """Guards against a keyed call that ran again after scorers had forgotten its key."""
    cores = Cores()
    one, other, third = cores.owners
    keyed = {"effect": Effect.DEDUPLICATED, "dedup_window_ms": 2_500.0, "claim_required": False}
    cores.begin(one, **keyed)
    cores.lost.add(one)
    cores.wait(1_700)
    cores.begin(other, **keyed)
    left_ms = 2_500.0 - 1_700.0 - 200.0 - DEDUP_MARGIN_MS
    assert cores.what(other) == [RunCall("k", False), LimitRun("k", left_ms)]  # once, for three replies
    cores.wait(1_000)
    cores.begin(third, **keyed)
    assert cores.what(third) == [RunCall("k", False), LimitRun("k", left_ms - 1_000.0)]


def test_a_call_without_an_earlier_attempt_is_not_limited():
    cores = Cores()
    one, other = cores.owners[:2]
    cores.begin(one, effect=Effect.DEDUPLICATED, dedup_window_ms=2_500.0, claim_required=False)
    assert cores.what(one) == [RunCall("k", False)]
    cores.end(one, ClaimPhase.RELEASED)
    cores.wait(300)
    cores.begin(other, effect=Effect.DEDUPLICATED, dedup_window_ms=2_500.0, claim_required=False)
    assert cores.what(other) == [RunCall("k", False)]


def test_a_claim_of_unknown_age_counts_as_old():
    """Guards against a replica that counted a call's age anew from its own restart."""
    cores = Cores()
    one, other = cores.owners[:2]
    keyed = {"effect": Effect.DEDUPLICATED, "dedup_window_ms": 5_000.0}
    cores.begin(one, **keyed)
    cores.lost.add(one)
    for keeper in cores.keepers:
        cores.restart(keeper)
        cores.wait(1_500)
    assert all("k" in cores.cores[keeper].replica.claim_store.calls for keeper in cores.keepers)
    cores.begin(other, **keyed)
    assert cores.what(other) == [FailCall("k", "it may have run")]


def test_a_call_that_runs_unclaimed_takes_a_stored_answer():
    cores = Cores()
    one, other = cores.owners[:2]
    cores.begin(one, effect=Effect.DEDUPLICATED, claim_required=False)
    assert cores.what(one) == [RunCall("k", False)]
    cores.end(one)
    cores.begin(other, effect=Effect.DEDUPLICATED, claim_required=False)
    assert cores.what(other) == [RunCall("k", False), AnswerCall("k", "QQ==")]


def test_a_late_grant_does_not_count():
    cores = Cores()
    one = cores.owners[0]
    cores.delays = lambda _sender, _to, message: isinstance(message, m.ClaimReply)
    cores.begin(one)
    cores.now += RULES.max_wait_ms + 1  # its process was paused
    cores.deliver_delayed()
    assert not any(isinstance(effect, RunCall) for effect in cores.what(one))


def test_a_restarted_replica_grants_nothing_until_it_has_received_the_others_claims():
    cores = Cores()
    one, other, third = cores.owners
    a, b, c = cores.keepers
    cores.lost = {c}
    cores.begin(one)  # granted by a and b
    cores.end(one)
    cores.restart(a)
    cores.lost = {b}
    cores.begin(other)  # a has lost the claim, c never received it
    cores.wait(600)
    assert isinstance(cores.what(other)[-1], RejectCall)
    cores.lost = set()
    cores.wait(3_000)
    assert cores.cores[a].replica.is_complete(cores.now)
    cores.lost = {b}
    cores.begin(third)
    assert cores.what(third) == [AnswerCall("k", "QQ==")]


def test_chunks_for_an_earlier_incarnation_are_dropped():
    cores = Cores()
    one, other = cores.owners[:2]
    a, b, c = cores.keepers
    cores.lost = {c}
    cores.begin(one)  # granted by a and b
    cores.end(one)
    core = cores.cores[b]
    earlier_request = {"type": "want", "number": 1, "life": 1, "members": 1, "wanted": [
        {"owner": "n9#1", "first": 0, "until": 1}]}  # fmt: skip
    core.receive_line(cores.now, a, {"fleet": "f", "sender": a, "life": 1, "to": [b], "say": earlier_request})
    cores.restart(a)
    cores.lost = set()
    # The new incarnation's first request is delayed; b still answers the request of the earlier one.
    cores.delays = lambda sender, to, message: sender == a and to == b and isinstance(message, m.StateRequest)
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


def test_a_state_transfer_has_every_claim_of_a_call():
    cores = Cores()
    a, b, _c = cores.keepers
    for n in range(60):
        key = f"k{n}"
        store = cores.cores[b].replica.claim_store
        for request in range(1, 41):
            claim = Claim(
                "n9#1",
                request,
                request,
                0,
                ClaimPhase.GRANTED if request == n % 40 + 1 else ClaimPhase.RELEASED,
            )
            store.merge(cores.now, key, store.get_or_create(cores.now, key), claim, 60_000.0)
    cores.restart(a)
    cores.wait(3_000)
    received = cores.cores[a].replica.claim_store.calls
    assert all(len(received[f"k{n}"].active_claims()) == 1 for n in range(60))
    assert sum(len(entry.claims) for entry in received.values()) == 2_400


def test_a_call_with_too_many_requests_is_not_granted_and_not_forgotten():
    cores = Cores()
    one = cores.owners[0]
    cores.lost = set(cores.keepers[1:])
    for _ in range(80):
        cores.begin(one)
        cores.wait(250)
        cores.now -= 250.0  # all requests fall into one repeat window
    replica = cores.cores[cores.keepers[0]].replica
    assert len(replica.claim_store.calls["k"].claims) <= 65
    assert replica.claim_store.counts["too many claim requests for a call"] > 0
    assert not any(isinstance(effect, RunCall) for effect in cores.what(one))


def test_two_restarted_replicas_wait_until_all_claims_have_expired():
    cores = Cores()
    a, b, _c = cores.keepers
    cores.restart(a)
    cores.restart(b)
    cores.wait(4_000)
    assert not cores.cores[a].replica.is_complete(cores.now)
    cores.wait(6_000)
    assert cores.cores[a].replica.is_complete(cores.now)
    assert cores.cores[b].replica.is_complete(cores.now)


def test_a_restarted_replica_requests_state_only_after_its_old_grants_have_expired():
    cores = Cores()
    one, other = cores.owners[:2]
    a, b, c = cores.keepers
    # b receives the request only after a has lost its grant in a restart.
    cores.delays = lambda sender, to, _message: sender == one and to in (b, c)
    cores.begin(one)
    cores.restart(a)
    cores.wait(150)
    delayed, cores.delayed = cores.delayed, []
    cores.delays = lambda _sender, _to, _message: False
    [(sender, to, line)] = [item for item in delayed if item[1] == b]
    cores.carry(to, cores.cores[to].receive_line(cores.now, sender, line))
    assert cores.what(one) == [RunCall("k", True)]
    cores.wait(2_000)
    cores.lost = {b}
    cores.begin(other)  # a and c must not form a quorum
    cores.wait(600)
    assert not any(isinstance(effect, RunCall) for effect in cores.what(other))


def test_a_lost_update_is_repaired_by_comparison():
    cores = Cores()
    one, other = cores.owners[:2]
    a, b, c = cores.keepers
    cores.wait(100)
    cores.begin(one)
    cores.lost = {a, b}  # only c receives the result
    cores.end(one)
    cores.lost = set()
    cores.wait(4_500)
    for name in (a, b, c):
        [claim] = cores.cores[name].replica.claim_store.calls["k"].active_claims()
        assert claim.phase is ClaimPhase.ANSWERED
    cores.begin(other)
    assert cores.what(other) == [AnswerCall("k", "QQ==")]


def test_a_changed_membership_transfers_claims_before_it_grants():
    cores = Cores()
    one, other = cores.owners[:2]
    cores.begin(one)
    cores.end(one)
    # Front ends change zones, so the set of replicas changes. All but one front end get the new membership.
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
    # The replica with the old membership has learned from requests that there is a later one.
    assert not cores.cores[behind].replica.is_complete(cores.now)


def test_a_full_store_drops_answers_first_and_accepts_no_new_call():
    rules = msgspec.structs.replace(RULES, limits=s.ClaimStoreLimits(max_calls=2, max_answer_bytes=1_024))
    cores = Cores(rules)
    one = cores.owners[0]
    for n in range(2):
        cores.begin(one, key=f"k{n}")
        cores.end(one, key=f"k{n}", answer="Q" * 800)
    cores.begin(one, key="k2")
    cores.wait(600)
    assert isinstance(cores.what(one)[-1], RejectCall)
    store = cores.cores[cores.keepers[0]].replica.claim_store
    assert store.counts["answers dropped"] == 1
    assert store.counts["claim store full"] >= 1
    assert store.answer_bytes <= 1_024
    cores.begin(cores.owners[1], key="k1")
    assert cores.what(cores.owners[1]) == [AnswerCall("k1", None)]
