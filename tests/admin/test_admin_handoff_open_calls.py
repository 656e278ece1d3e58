"""Connections that are handed off with open calls: who reads them, answers and withdraws the calls."""

from unittest import mock

import pytest
from peers import ROW, ScorerPeer, reply_from
from support.handoff_peers import (
    HandoffRig,
    connect_predecessor,
    hand_off_client,
    ready_successor,
)

from fawnwharf.admin import handoff_channel, hot_restart
from fawnwharf.admin import handoff_messages as messages
from fawnwharf.admin.predecessor_handoff import CLIENT_READ_PAUSE_MS, HAND_OFF_BUSY_AFTER_MS
from fawnwharf.net import scorer_frames, thrift
from fawnwharf.net.timer_wheel import monotonic_ms


@pytest.fixture
def rig():
    rig = HandoffRig(ScorerPeer(copies=4))
    yield rig
    rig.close()


def hand_off_busy(rig, successor):
    """Shut down, and wait until a connection with open calls is handed off; returns which are open."""
    rig.front.shut_down()
    successor.until(messages.ConnectionHandoff)
    [open_calls] = successor.of(messages.OpenCalls)
    return open_calls


def answer_in(end, message):
    """The kind and the body of the answer that a message completes."""
    data = end.data_before(message)
    seqid, kind, content = reply_from(data[4:])
    assert seqid == message.seqid
    return kind, content[1] if kind == "answer" else None


# --- the predecessor ------------------------------------------------------------------------------


def test_requests_behind_an_open_one_are_not_left_unread(rig):
    """Guards against requests that no process read until the open one had ended, past their deadline."""
    client = rig.called(rig.scorers[0])
    successor = ready_successor(rig)
    before_ms = monotonic_ms()
    handed = hand_off_busy(rig, successor)
    assert monotonic_ms() - before_ms < HAND_OFF_BUSY_AFTER_MS + 1_000.0
    assert handed.seqids == (1,)
    client.call()
    [sock] = successor.sockets[1:]  # the first one is the listener
    rig.until(lambda: sock.recv(1, 0x42), "the successor can read the next request")  # MSG_PEEK, MSG_DONTWAIT


@pytest.mark.parametrize("size", [10, 200_000])
def test_the_answer_of_an_open_call_is_forwarded_before_the_hand_off_is_complete(rig, size):
    rig.called(rig.scorers[0])
    successor = ready_successor(rig)
    handed = hand_off_busy(rig, successor)
    rig.run_for(3 * hot_restart.TICK_INTERVAL_MS)
    assert not successor.of(messages.HandoffComplete)
    body = b"y" * size
    rig.scorers[0].answer(rig.scorers[0].runs[0], body=body)
    answer = successor.until(messages.ForwardedAnswer)
    assert (answer.number, answer.seqid) == (handed.number, 1)
    assert answer_in(successor, answer) == ("answer", body)
    successor.until(messages.HandoffComplete)


def test_the_deadline_of_an_open_call_is_watched_after_the_hand_off(rig):
    client = rig.called(rig.scorers[0])
    rig.scorers[0].answer(rig.scorers[0].runs[0])
    rig.until(lambda: client.answers, "the scorer is warm")
    client.call(ttl="900")
    rig.until(lambda: len(rig.scorers[0].runs) == 2, "the call runs")
    successor = ready_successor(rig)
    hand_off_busy(rig, successor)
    before_ms = monotonic_ms()
    answer = successor.until(messages.ForwardedAnswer)
    assert monotonic_ms() - before_ms < 1_400.0  # the rest of its time, and half a second
    assert answer_in(successor, answer)[0] != "answer"


def test_a_withdrawal_after_the_hand_off_ends_the_call(rig):
    """Guards against withdrawals that lay unread while a connection waited for its hand-off."""
    rig.called(rig.scorers[0])
    successor = ready_successor(rig)
    handed = hand_off_busy(rig, successor)
    successor.send(messages.ForwardedWithdrawal(handed.number, 1))
    rig.until(lambda: rig.scorers[0].of(scorer_frames.ABANDON), "the scorer is told")
    assert not rig.front.requests.open
    successor.until(messages.HandoffComplete)
    assert not successor.of(messages.ForwardedAnswer)


def test_a_call_withdrawn_after_the_hand_off_is_not_sent(rig):
    rig.command("/maintenance/enter", "s-1")
    client = rig.client()
    client.call(op="settle")
    rig.until(lambda: rig.front.requests.open, "the call waits for a scorer")
    successor = ready_successor(rig)
    handed = hand_off_busy(rig, successor)
    successor.send(messages.ForwardedWithdrawal(handed.number, 1))
    rig.until(lambda: not rig.front.requests.open, "the call is withdrawn")
    rig.command("/maintenance/exit", "s-1")
    successor.until(messages.HandoffComplete)
    assert not rig.scorers[0].runs


def test_a_withdrawal_of_an_unknown_call_or_connection_changes_nothing(rig):
    rig.called(rig.scorers[0])
    successor = ready_successor(rig)
    handed = hand_off_busy(rig, successor)
    for number, seqid in ((handed.number, 7), (handed.number + 1, 1)):
        successor.send(messages.ForwardedWithdrawal(number, seqid))
    rig.scorers[0].answer(rig.scorers[0].runs[0], body=b"y")
    assert answer_in(successor, successor.until(messages.ForwardedAnswer)) == ("answer", b"y")
    assert not any("fault" in line for line in rig.lines)


def test_before_it_is_told_to_end_it_answers_busy_connections_itself(rig):
    client = rig.called(rig.scorers[0])
    successor = ready_successor(rig)
    rig.run_for(HAND_OFF_BUSY_AFTER_MS + 100.0)
    client.call()
    rig.until(lambda: len(rig.scorers[0].runs) == 2, "the next call runs")
    assert not successor.of(messages.ConnectionHandoff)
    for run in rig.scorers[0].runs:
        rig.scorers[0].answer(run)
    rig.until(lambda: len(client.answers) == 2, "both are answered")


def test_an_older_successor_gets_no_connection_with_open_calls(rig):
    client = rig.called(rig.scorers[0])
    successor = ready_successor(rig, accepts_open_calls=False)
    rig.front.shut_down()
    rig.run_for(HAND_OFF_BUSY_AFTER_MS + 100.0)
    assert not successor.of(messages.ConnectionHandoff)
    rig.scorers[0].answer(rig.scorers[0].runs[0])
    handed = successor.until(messages.ConnectionHandoff)
    assert not successor.of(messages.OpenCalls)
    rig.until(lambda: client.answers or successor.data_before(handed), "the answer is written or handed off")


def test_requests_behind_an_open_one_are_served_for_an_older_successor_too(rig):
    """Guards against requests that lay unread behind an open one for as long as that one took."""
    client = rig.called(rig.scorers[0])
    ready_successor(rig, accepts_open_calls=False)
    rig.front.shut_down()
    rig.run_for(HAND_OFF_BUSY_AFTER_MS + 50.0)
    client.call()
    before_ms = monotonic_ms()
    rig.until(lambda: len(rig.scorers[0].runs) == 2, "the next call runs")
    assert monotonic_ms() - before_ms < CLIENT_READ_PAUSE_MS + 500.0


def test_calls_of_connections_that_end_with_the_successor_are_withdrawn(rig):
    rig.called(rig.scorers[0])
    successor = ready_successor(rig)
    hand_off_busy(rig, successor)
    successor.close()
    rig.until(lambda: not rig.front.requests.open, "the call is withdrawn")
    assert not any("fault" in line for line in rig.lines)


@pytest.mark.parametrize("answered", ["before the loss", "after the loss"])
def test_a_connection_that_was_not_sent_comes_back_with_its_open_calls(rig, answered):
    scorer = rig.scorers[0]
    client = rig.called(scorer)
    ready_successor(rig)
    hot = rig.admin.hot_restart
    with mock.patch.object(handoff_channel, "send", side_effect=BlockingIOError):
        rig.front.shut_down()
        rig.until(lambda: not rig.front.client_port.clients, "the connection is queued for the successor")
        if answered == "before the loss":
            scorer.answer(scorer.runs[0], body=b"y" * 100_000)
            rig.until(lambda: not rig.front.requests.open, "the answer is queued, too")
        hot.successor._progress_ms -= hot_restart.STALL_TIMEOUT_MS
        rig.until(lambda: not rig.admin.is_replaced, "the front end serves alone")
    if answered == "after the loss":
        scorer.answer(scorer.runs[0], body=b"y" * 100_000)
    rig.until(lambda: client.answers, "the call is answered")
    assert client.answers[0][2][1] == b"y" * 100_000
    client.call()
    rig.until(lambda: len(scorer.runs) == 2, "the connection is served")


def test_a_withdrawal_on_a_connection_that_came_back_ends_its_call(rig):
    client = rig.called(rig.scorers[0])
    ready_successor(rig)
    with mock.patch.object(handoff_channel, "send", side_effect=BlockingIOError):
        rig.front.shut_down()
        rig.until(lambda: not rig.front.client_port.clients, "the connection is queued for the successor")
        rig.admin.hot_restart.successor._progress_ms -= hot_restart.STALL_TIMEOUT_MS
        rig.until(lambda: not rig.admin.is_replaced, "the front end serves alone")
    client.withdraw(1)
    rig.until(lambda: not rig.front.requests.open, "the call is withdrawn")
    assert not client.answers


# --- the successor --------------------------------------------------------------------------------


def test_a_forwarded_answer_is_written_once(rig):
    predecessor = connect_predecessor(rig)
    client = hand_off_client(rig, predecessor, number=4, open_calls=(3,))
    data = thrift.answer("handle", 3, b"done", {}, True)
    for _ in range(2):
        for chunk in messages.chunks(data):
            predecessor.send(chunk)
        predecessor.send(messages.ForwardedAnswer(4, 3))
    rig.settle(client)
    assert [(seqid, kind) for seqid, kind, _ in client.answers if seqid < 1_000] == [(3, "answer")]


def test_new_calls_are_served_while_the_predecessor_runs_an_open_one(rig):
    predecessor = connect_predecessor(rig)
    client = hand_off_client(rig, predecessor, number=4, open_calls=(3,))
    client.call(seqid=5)
    rig.until(lambda: rig.scorers[0].runs, "the next call runs")
    rig.scorers[0].answer(rig.scorers[0].runs[0])
    rig.until(lambda: 5 in client.kinds(), "it is answered")
    client.call(seqid=3)  # a second request under an open number
    rig.until(lambda: client.ended, "the connection is ended")
    assert client.kinds() == {5: "answer", 3: "broken"}


def test_a_withdrawal_is_forwarded_and_a_late_answer_is_not_written(rig):
    predecessor = connect_predecessor(rig)
    client = hand_off_client(rig, predecessor, number=4, open_calls=(3,))
    client.withdraw(3)
    withdrawal = predecessor.until(messages.ForwardedWithdrawal)
    assert (withdrawal.number, withdrawal.seqid) == (4, 3)
    predecessor.send(messages.Chunk(thrift.answer("handle", 3, b"done", {}, True)))
    predecessor.send(messages.ForwardedAnswer(4, 3))
    rig.settle(client)
    assert 3 not in client.kinds()


@pytest.mark.parametrize("how", ["half-close", "close"])
def test_the_calls_of_a_client_that_ends_are_withdrawn_at_the_predecessor(rig, how):
    predecessor = connect_predecessor(rig)
    client = hand_off_client(rig, predecessor, number=4, open_calls=(3, 6))
    if how == "close":
        client.sock.close()
        client.ended = True
    else:
        client.sock.shutdown(1)
    predecessor.until(messages.ForwardedWithdrawal, 2)
    assert [each.seqid for each in predecessor.of(messages.ForwardedWithdrawal)] == [3, 6]
    if how == "half-close":
        rig.until(lambda: client.ended, "the connection ends")
        assert client.kinds() == {3: "broken", 6: "broken"}


def test_open_calls_fail_when_the_predecessor_is_lost_and_the_connection_is_served_on(rig):
    predecessor = connect_predecessor(rig)
    client = hand_off_client(rig, predecessor, number=4, open_calls=(3,))
    predecessor.close()
    rig.until(lambda: client.answers, "the call has its final answer")
    assert client.kinds() == {3: "broken"}
    client.call(seqid=4)
    rig.until(lambda: rig.scorers[0].runs, "the next call runs")


def test_a_waiting_call_is_run_with_the_time_that_it_has_left(rig):
    predecessor = connect_predecessor(rig)
    fields = {"op": "view", "call": f"{2:016x}", "ttl": "8000", "org": "acme", "row": ROW}
    waiting = messages.WaitingCall(2, fields, b"body", monotonic_ms() - 3_000.0)
    client = hand_off_client(rig, predecessor, waiting=[waiting])
    rig.until(lambda: rig.scorers[0].runs, "the call runs")
    [run] = rig.scorers[0].runs
    assert run[1].body == b"body"
    assert 4_000 < int(run[1].fields["ms"]) <= 5_000
    rig.scorers[0].answer(run)
    rig.until(lambda: client.kinds() == {2: "answer"}, "it is answered")


def test_calls_pass_through_a_process_that_is_itself_replaced(rig):
    predecessor = connect_predecessor(rig)
    hand_off_client(rig, predecessor, number=4, open_calls=(3, 5))
    successor = ready_successor(rig)
    handed = hand_off_busy(rig, successor)
    assert handed.seqids == (3, 5)
    successor.send(messages.ForwardedWithdrawal(handed.number, 5))
    assert predecessor.until(messages.ForwardedWithdrawal) == messages.ForwardedWithdrawal(4, 5)
    predecessor.send(messages.Chunk(thrift.answer("handle", 3, b"done", {}, True)))
    predecessor.send(messages.ForwardedAnswer(4, 3))
    answer = successor.until(messages.ForwardedAnswer)
    assert answer == messages.ForwardedAnswer(handed.number, 3)
    assert answer_in(successor, answer) == ("answer", b"done")
    predecessor.close()
    successor.until(messages.HandoffComplete)
