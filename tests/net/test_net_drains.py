"""After a drain, however the change log reports it, a scorer receives no new calls or load orders."""

import json

import pytest
from support.change_log_front_end import ChangeLogRig, event, start_other_log

from fawnwharf import interface as io
from fawnwharf.net import change_log, event_loop, scorer_frames
from fawnwharf.net.front_end import scorer_number

CALLS = 1_024
DRAIN_MS = 250.0  # within which a drain has to be applied


@pytest.fixture
def rig():
    made = ChangeLogRig("s-1", "s-2")
    for peer in made.scorers:
        peer.copies = 4
    yield made
    made.close()


def new_work(peer):
    """The calls, and the orders to load copies, that a scorer has received."""
    loads = [frame for _, frame in peer.of(scorer_frames.LOAD) if frame.fields["slots_up"] != "0"]
    return [frame for _, frame in peer.runs] + loads


def write_calls(rig, count=CALLS):
    """Send this number of calls without reading them at the front end, 32 on each connection."""
    for number in range(count):
        if number % 32 == 0:
            client = rig.client()
        client.call(call=f"{number:016x}", row=f"{number % 50:016x}")


def single_change(rig, drain):
    rig.log.say(event(2, drain))


def ahead_of_a_missing_event(rig, drain):
    rig.log.say(event(4, drain))


def complete_list(rig, drain):
    rig.log.say(event(2, drain, rig.member("s-2"), complete=True))


def left_out_of_a_complete_list(rig, drain):
    rig.log.say(event(2, rig.member("s-2"), complete=True))


def with_an_unreadable_member(rig, drain):
    rig.log.say(event(2, {"id": "s-2", "phase": "asleep"}, drain))


def after_a_skipped_malformed_line(rig, drain):
    rig.log.say(b"garbage")
    rig.wait_for_requests(2)
    rig.log.say(b"garbage")
    rig.log.say(event(2, drain))


def late(rig, drain):
    rig.log.say(event(3))
    rig.wait_for_requests(2)
    rig.log.say(event(3))
    rig.at(3)
    rig.log.say(event(2, drain))


REPORTS = [
    single_change,
    ahead_of_a_missing_event,
    complete_list,
    left_out_of_a_complete_list,
    with_an_unreadable_member,
    after_a_skipped_malformed_line,
    late,
]


@pytest.mark.parametrize("phase", ["terminating", "terminated"])
@pytest.mark.parametrize("report_drain", REPORTS)
def test_calls_unread_when_the_drain_arrives_go_to_another_scorer(rig, report_drain, phase):
    write_calls(rig, 0 if report_drain in (after_a_skipped_malformed_line, late) else CALLS)
    report_drain(rig, rig.member("s-1", phase))
    if not rig.clients:
        write_calls(rig)
    rig.until(lambda: rig.scorers[1].runs, "the other scorer receives calls")
    client = rig.client()  # the others have as many open as they may
    client.call(row="aa" * 8)
    rig.settle(client)
    assert new_work(rig.by_id["s-1"]) == []


def test_a_drain_reported_by_the_log_at_a_new_address_is_applied(rig, request):
    moved = start_other_log(rig, request)
    rig.move_to(moved)
    rig.until(lambda: moved.asked(), "the new log receives a request")
    write_calls(rig)
    moved.say(event(2, rig.member("s-1", "terminating")))
    rig.until(lambda: rig.scorers[1].runs, "the other scorer receives calls")
    assert new_work(rig.by_id["s-1"]) == []


def test_a_drain_in_a_new_numbering_is_applied_in_time(rig):
    # The time includes a reconnect and the transfer of all events.
    assert change_log.MIN_BACKOFF_MS + change_log.REPLAY_COLLECT_MS < DRAIN_MS - 50.0
    rig.log.say(event(2))
    rig.at(2)
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    assert rig.wait_for_requests(2) == ["since", "0"]
    rig.log.say(event(1, rig.member("s-1"), rig.member("s-2"), complete=True, revision=5))
    rig.log.say(event(2, rig.member("s-1", "terminating"), revision=6))
    rig.log.say(2)
    write_calls(rig)
    rig.until(lambda: rig.scorers[1].runs, "the other scorer receives calls")
    assert new_work(rig.by_id["s-1"]) == []


def test_a_drain_during_a_stalled_iteration_applies_to_what_the_iteration_sends(rig, monkeypatch):
    stall_ms, decide, real_monotonic_ms = [0.0], rig.front.loop._decide, event_loop.monotonic_ms
    monkeypatch.setattr(event_loop, "monotonic_ms", lambda: real_monotonic_ms() + stall_ms[0])

    def unwritten_new_work():
        links = [
            link for scorer in rig.front.scorer_pool.scorers.values() for link in scorer.links if link.up
        ]
        return [stream for link in links for stream in link.unwritten() if stream.is_new_work]

    def decide_and_stall(now_ms, events):
        decide(now_ms, events)
        if unwritten_new_work() and not stall_ms[0]:
            stall_ms[0] = 400.0
            rig.log.say(event(2, rig.member("s-1", "terminating"), rig.member("s-2", "terminating")))

    rig.front.loop._decide = decide_and_stall
    client = rig.client()
    client.call()
    rig.until(lambda: rig.front.change_log.seq == 2, "the drain is applied")
    rig.settle(client)
    assert [new_work(peer) for peer in rig.scorers] == [[], []]


def test_an_order_and_a_call_that_wait_for_a_dial_are_ended_by_a_complete_list(rig):
    client = rig.client()
    client.call()
    pool = rig.front.scorer_pool

    def scorers_with_waiting_streams():
        return [scorer.id for scorer in pool.scorers.values() if scorer.waiting]

    while not scorers_with_waiting_streams():
        rig.front.loop.run_iteration(0.005)
    rig.log.say(event(2, complete=True))
    rig.front.loop.run_iteration(0.0)
    assert scorers_with_waiting_streams() == []
    rig.settle(client)
    assert [new_work(peer) for peer in rig.scorers] == [[], []]
    assert set(rig.states()) == set()


def test_a_running_request_of_a_scorer_left_out_of_a_complete_list_is_still_answered(rig):
    client = rig.client()
    client.call()
    rig.until(lambda: any(peer.runs for peer in rig.scorers), "a scorer receives the attempt")
    busy, other = sorted(rig.scorers, key=lambda peer: not peer.runs)
    rig.log.say(event(2, other.member(), complete=True))
    rig.at(2)
    busy.answer(busy.runs[0], body=b"done")
    rig.until(lambda: client.answers, "the answer arrives")
    assert client.kinds() == {1: "answer"}
    client.call(row="bb" * 8)
    rig.until(lambda: other.runs, "the other scorer receives the next call")
    assert len(busy.runs) == 1
    assert scorer_number(busy.id) not in rig.front.scorer_pool.scorers


def test_the_log_is_read_before_clients_that_were_ready_earlier(rig):
    received, decide = [], rig.front.loop._decide
    rig.front.loop._decide = lambda now_ms, events: (received.extend(events), decide(now_ms, events))
    clients = [rig.client() for _ in range(8)]
    for client in clients:
        rig.settle(client)
    for number in range(256):
        clients[number % 8].call(call=f"{number:016x}")
    line = json.dumps(event(2, rig.member("s-1", "terminating"))).encode()
    rig.log.say(line)
    rig.until(lambda: any(isinstance(each, io.RequestArrived) for each in received), "calls arrive")
    kinds = [type(each) for each in received]
    assert kinds.index(io.RosterChanged) < kinds.index(io.RequestArrived)
