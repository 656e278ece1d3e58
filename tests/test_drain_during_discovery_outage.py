"""Regression: scorers that drained while discovery was out of reach went on getting new work.

Symptom. With the change log out of reach for minutes, front ends sent calls and load orders to scorers that
had drained just after the outage began and stayed up: 2,041 calls and 113 load orders later than the rule
on drains allows. Each call was turned away, retried, often at the same scorer, and the next call went there
again.

Sequence. 0 s: all scorers in service. Some 3 s: the change log falls silent. 3.71 s: two of 24 scorers
drain, as its event 41 says, which no front end receives. 10.71 s: the event counts as received, whether it
was or not. 11.01 s: grace and slack are over. 11.127 s: the first of the calls that break the rule, and it
goes on until the scorers are gone at 17.9 s.

Cause. A scorer's state was used for as long as nothing contradicted it. The front end measured how long the
change log had been silent, to reconnect, but nothing that chooses a scorer read it: the endpoint list never
expired. Rejections did not count either, as a scorer that is full rejects as well.

What settled it. The logs have "change log: silent, reconnecting" every 2 s and nothing else: no fault, no
crash, no event that was misread. The first break lies 7.42 s after the drain (7.35 s in the second fleet,
of 3 front ends), right after 7 s, 0.25 s of grace and 0.05 s of slack. No front end was slow: the calls
left within 2 ms of their arrival. So events that were delayed, dropped or applied late are ruled out: what
is missing is an expiry.
"""

import json
import time

import pytest
from support.discovery_outage import GRACE_S, SLACK_S, TOLD_AFTER_S, OutageSite

FUNCTIONS = 12
CALL_EVERY_S = 0.05
OBSERVED_S = 3.0  # after the drain counts as received
WARM_UP_S = 1.0


@pytest.fixture
def site():
    made = OutageSite(scorers=3)
    yield made
    made.close()


def call_steadily(site):
    """A client that calls one function after another, and what it was answered, by time."""
    caller = site.caller()
    sent_s = {}

    def call_when_due():
        now_s = time.monotonic()
        if now_s - max(sent_s.values(), default=0.0) >= CALL_EVERY_S:
            caller.ask(row=f"{caller.seqid % FUNCTIONS:016x}", ttl="2000")
            sent_s[caller.seqid] = now_s

    site.habits.append(call_when_due)
    return caller, sent_s


def wait(site, until_s):
    """Turn the site until a moment of the monotonic clock, in seconds."""
    site.until(lambda: time.monotonic() >= until_s, "the time has passed")


def served_share(caller, sent_s, from_s, to_s):
    """The share of the calls sent between two moments that were served."""
    kinds = caller.kinds()
    asked = [number for number, at_s in sent_s.items() if from_s <= at_s <= to_s]
    assert asked
    return sum(kinds.get(number) == "answer" for number in asked) / len(asked)


def test_a_scorer_that_drains_unseen_gets_no_new_work_and_service_goes_on(site):
    process = site.start()
    caller, sent_s = call_steadily(site)
    wait(site, time.monotonic() + WARM_UP_S)
    assert all(scorer.new_work_s for scorer in site.scorers), "each scorer is in use"

    site.log.silent = True
    drained = site.scorers[0]
    drained.drained_s = time.monotonic()
    due_s = drained.drained_s + TOLD_AFTER_S + GRACE_S + SLACK_S
    wait(site, due_s + OBSERVED_S)

    late = drained.new_work_after(TOLD_AFTER_S + GRACE_S + SLACK_S)
    assert late == [], json.dumps({"late": len(late), "first_s": late[:1]})
    assert served_share(caller, sent_s, due_s, due_s + OBSERVED_S - 1.0) > 0.95
    assert not process.ended


def test_what_the_configuration_knows_is_no_proof_at_a_start_within_an_outage(site):
    site.log.silent = True
    drained = site.scorers[0]
    drained.drained_s = time.monotonic()
    site.start()
    began_s = time.monotonic()
    caller, sent_s = call_steadily(site)
    wait(site, began_s + WARM_UP_S + 1.0)
    assert drained.new_work_s == []
    assert drained.questions_s
    assert served_share(caller, sent_s, began_s, began_s + WARM_UP_S) > 0.95
