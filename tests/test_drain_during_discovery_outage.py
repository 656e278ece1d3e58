"""Regression: scorers that drained while the change log was unreachable kept receiving new work.

While the change log was unreachable for some minutes, front ends sent 2,041 calls and 113 load orders to
draining scorers later than the rule on drains allows: from 7.42 s after the drain until they were gone. A
change log event counts as received 7 s after it was written, and the rule adds 0.25 s of grace. The scorers
rejected the calls, which were then often retried at the same scorer.

The cause was that a scorer's state never expired. The front end measured how long the change log had been
silent, but used that only to reconnect. Rejections gave no hint, as a full scorer in service also rejects.
"""

import json
import time

import pytest
from support.discovery_outage import GRACE_S, SLACK_S, TOLD_AFTER_S, OutageSite

FUNCTIONS = 12
CALL_EVERY_S = 0.05
OBSERVED_S = 3.0  # for this long after the drain has to be applied
WARM_UP_S = 1.0


@pytest.fixture
def site():
    site = OutageSite(scorers=3)
    yield site
    site.close()


def call_steadily(site):
    """Start a client that calls periodically; return it and the sending times by sequence number."""
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
    """Run the site until a time on the monotonic clock, in seconds."""
    site.until(lambda: time.monotonic() >= until_s, "the time has passed")


def served_share(caller, sent_s, from_s, to_s):
    """The share of the calls sent between two times that were served."""
    kinds = caller.kinds()
    sent = [number for number, at_s in sent_s.items() if from_s <= at_s <= to_s]
    assert sent
    return sum(kinds.get(number) == "answer" for number in sent) / len(sent)


def test_a_scorer_that_drains_during_an_outage_gets_no_new_work_and_calls_are_served(site):
    process = site.start()
    caller, sent_s = call_steadily(site)
    wait(site, time.monotonic() + WARM_UP_S)
    assert all(scorer.new_work_s for scorer in site.scorers), "each scorer receives work"

    site.log.silent = True
    drained = site.scorers[0]
    drained.drained_s = time.monotonic()
    due_s = drained.drained_s + TOLD_AFTER_S + GRACE_S + SLACK_S
    wait(site, due_s + OBSERVED_S)

    late = drained.new_work_after(TOLD_AFTER_S + GRACE_S + SLACK_S)
    assert late == [], json.dumps({"late": len(late), "first_s": late[:1]})
    assert served_share(caller, sent_s, due_s, due_s + OBSERVED_S - 1.0) > 0.95
    assert not process.ended


def test_at_a_start_during_an_outage_the_configured_scorers_count_as_unconfirmed(site):
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
