"""Every request has its final answer before the system may kill a process that is shutting down."""

from unittest import mock

import pytest
from peers import Rig, ScorerPeer

from fawnwharf import interface as io
from fawnwharf.net import graceful_shutdown

SHORT_MS = 200.0


@pytest.mark.parametrize(
    ("deadlines_ms", "within_ms"),
    [((400.0,), 900.0), ((400.0, 2_500.0), 3_000.0), ((2_000.0, 12_000.0), 3_500.0), ((), 500.0)],
)
def test_the_time_follows_the_longest_deadline_up_to_the_kill_limit(deadlines_ms, within_ms):
    classes = {f"c{n}": io.ClassSpec(f"c{n}", deadline_ms=each) for n, each in enumerate(deadlines_ms)}
    assert graceful_shutdown.answer_within_ms(io.Settings(classes=classes)) == within_ms


@pytest.fixture
def rig():
    rig = Rig(ScorerPeer(copies=4))
    yield rig
    rig.close()


def test_unanswered_requests_are_answered_as_their_class_allows(rig):
    client = rig.client()
    for op in ("view", "settle"):
        client.call(op=op)
    rig.until(lambda: len(rig.scorers[0].runs) == 2, "both requests run")
    with mock.patch.object(graceful_shutdown, "answer_within_ms", lambda settings: SHORT_MS):
        rig.front.shut_down()
    rig.until(lambda: len(client.answers) == 2, "both requests are answered")
    assert client.kinds() == {1: "throttled", 2: "broken"}


def test_a_request_that_comes_after_the_time_is_answered_at_once(rig):
    client = rig.client()
    rig.settle(client)
    client.answers.clear()
    with mock.patch.object(graceful_shutdown, "answer_within_ms", lambda settings: 0.0):
        rig.front.shut_down()
    client.call()
    rig.until(lambda: client.answers, "the request is answered")
    assert client.kinds() == {1: "throttled"}
    assert not rig.scorers[0].runs
