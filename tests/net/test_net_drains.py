"""A drain, however the change log tells it: nothing new leaves for that scorer, calls and loads."""

import json

import pytest
from support.change_log_front_end import LogRig, event, new_log

from fawnwharf import interface as io
from fawnwharf.net import change_log, event_loop, scorer_frames
from fawnwharf.net.front_end import scorer_number

CALLS = 1_024
DRAIN_MS = 250.0  # the rule on drains


@pytest.fixture
def rig():
    made = LogRig("s-1", "s-2")
    for peer in made.scorers:
        peer.copies = 4
    yield made
    made.close()


def new_work(peer):
    """Calls that came, and orders that were to load."""
    loads = [frame for _, frame in peer.of(scorer_frames.LOAD) if frame.fields["slots_up"] != "0"]
    return [frame for _, frame in peer.runs] + loads


def write_calls(rig, count=CALLS):
    """As many calls as that lie unread at once, thirty-two on each connection."""
    for number in range(count):
        if number % 32 == 0:
            client = rig.client()
        client.call(call=f"{number:016x}", row=f"{number % 50:016x}")


def plain(rig, drain):
    rig.log.say(event(2, drain))


def ahead_of_a_missing_event(rig, drain):
    rig.log.say(event(4, drain))


def whole_list(rig, drain):
    rig.log.say(event(2, drain, rig.member("s-2"), complete=True))


def left_out_of_a_whole_list(rig, drain):
    rig.log.say(event(2, rig.member("s-2"), complete=True))


def beside_a_bad_member(rig, drain):
    rig.log.say(event(2, {"id": "s-2", "phase": "asleep"}, drain))


def after_garbage_that_is_passed_over(rig, drain):
    rig.log.say(b"garbage")
    rig.asked_times(2)
    rig.log.say(b"garbage")
    rig.log.say(event(2, drain))


def late(rig, drain):
    rig.log.say(event(3))
    rig.asked_times(2)
    rig.log.say(event(3))
    rig.at(3)
    rig.log.say(event(2, drain))


WAYS = [
    plain,
    ahead_of_a_missing_event,
    whole_list,
    left_out_of_a_whole_list,
    beside_a_bad_member,
    after_garbage_that_is_passed_over,
    late,
]


@pytest.mark.parametrize("phase", ["terminating", "terminated"])
@pytest.mark.parametrize("way", WAYS)
def test_calls_that_lie_unread_beside_the_drain_go_elsewhere(rig, way, phase):
    write_calls(rig, 0 if way in (after_garbage_that_is_passed_over, late) else CALLS)
    way(rig, rig.member("s-1", phase))
    if not rig.clients:
        write_calls(rig)
    rig.until(lambda: rig.scorers[1].runs, "calls go to the other one")
    client = rig.clients[-1]
    client.call(row="aa" * 8)
    rig.settle(client)
    assert new_work(rig.by_id["s-1"]) == []


def test_a_drain_told_after_a_move_holds(rig, request):
    moved = new_log(rig, request)
    rig.move_to(moved)
    rig.until(lambda: moved.asked(), "the new log is asked")
    write_calls(rig)
    moved.say(event(2, rig.member("s-1", "terminating")))
    rig.until(lambda: rig.scorers[1].runs, "calls go to the other one")
    assert new_work(rig.by_id["s-1"]) == []


def test_a_drain_by_a_log_that_began_anew_holds_within_its_time(rig):
    assert (
        change_log.MIN_BACKOFF_MS + change_log.REPLAY_COLLECT_MS < DRAIN_MS - 50.0
    )  # to ask again, and to be told all
    rig.log.say(event(2))
    rig.at(2)
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    assert rig.asked_times(2) == ["since", "0"]
    rig.log.say(event(1, rig.member("s-1"), rig.member("s-2"), complete=True, revision=5))
    rig.log.say(event(2, rig.member("s-1", "terminating"), revision=6))
    rig.log.say(2)
    write_calls(rig)
    rig.until(lambda: rig.scorers[1].runs, "calls go to the other one")
    assert new_work(rig.by_id["s-1"]) == []


def test_a_drain_told_while_a_turn_is_held_up_binds_what_the_turn_sends(rig, monkeypatch):
    held, decide, true = [0.0], rig.front.loop._decide, event_loop.monotonic_ms
    monkeypatch.setattr(event_loop, "monotonic_ms", lambda: true() + held[0])

    def new_work_unwritten():
        links = [
            link for scorer in rig.front.scorer_pool.scorers.values() for link in scorer.links if link.up
        ]
        return [stream for link in links for stream in link.unwritten() if stream.is_new_work]

    def decide_and_hold(now_ms, events):
        decide(now_ms, events)
        if new_work_unwritten() and not held[0]:
            held[0] = 400.0
            rig.log.say(event(2, rig.member("s-1", "terminating"), rig.member("s-2", "terminating")))

    rig.front.loop._decide = decide_and_hold
    client = rig.client()
    client.call()
    rig.until(lambda: rig.front.change_log.seq == 2, "the drain is told")
    rig.settle(client)
    assert [new_work(peer) for peer in rig.scorers] == [[], []]


def test_an_order_and_a_call_that_wait_for_a_dial_are_pulled_back_by_a_whole_list(rig):
    client = rig.client()
    client.call()
    pool = rig.front.scorer_pool

    def dialled():
        return [scorer.id for scorer in pool.scorers.values() if scorer.waiting]

    while not dialled():
        rig.front.loop.run_iteration(0.005)
    rig.log.say(event(2, complete=True))
    rig.front.loop.run_iteration(0.0)
    assert dialled() == []
    rig.settle(client)
    assert [new_work(peer) for peer in rig.scorers] == [[], []]
    assert set(rig.states()) == set()


def test_what_runs_on_a_scorer_that_a_whole_list_leaves_out_is_still_answered(rig):
    client = rig.client()
    client.call()
    rig.until(lambda: any(peer.runs for peer in rig.scorers), "it runs")
    busy, other = sorted(rig.scorers, key=lambda peer: not peer.runs)
    rig.log.say(event(2, other.member(), complete=True))
    rig.at(2)
    busy.answer(busy.runs[0], body=b"done")
    rig.until(lambda: client.answers, "it is answered")
    assert client.kinds() == {1: "answer"}
    client.call(row="bb" * 8)
    rig.until(lambda: other.runs, "the next one goes to the other one")
    assert len(busy.runs) == 1
    assert scorer_number(busy.id) not in rig.front.scorer_pool.scorers


def test_the_log_is_read_before_clients_that_were_ready_earlier(rig):
    heard, decide = [], rig.front.loop._decide
    rig.front.loop._decide = lambda now_ms, events: (heard.extend(events), decide(now_ms, events))
    crowd = [rig.client() for _ in range(8)]
    for client in crowd:
        rig.settle(client)
    for number in range(256):
        crowd[number % 8].call(call=f"{number:016x}")
    line = json.dumps(event(2, rig.member("s-1", "terminating"))).encode()
    rig.log.say(line)
    rig.until(lambda: any(isinstance(told, io.RequestArrived) for told in heard), "calls are heard of")
    kinds = [type(told) for told in heard]
    assert kinds.index(io.RosterChanged) < kinds.index(io.RequestArrived)
