"""The watch of the change log: silence, breaks, moves to another address, and dials that fail."""

import errno
import json
import socket

import pytest
from support.change_log_front_end import LogRig, event, new_log
from support.system_faults import SystemFaults

from fawnwharf import interface as io
from fawnwharf.net import change_log
from fawnwharf.net.connection import Connection

READY, DRAINING = io.ScorerState.READY, io.ScorerState.DRAINING


@pytest.fixture
def rig():
    made = LogRig("s-1", "s-2")
    with made.shifted():
        yield made
    made.close()


def read_by_front_end(rig, data):
    """Bytes of the log that the front end has read."""
    connection = rig.front.change_log._connection
    before = connection.last_received_ms
    rig.log.links[-1].sock.sendall(data)
    rig.until(lambda: connection.last_received_ms > before or connection.closed, "the bytes are read")


def silent(rig):
    return [line for line in rig.lines if "silent" in line]


# --- silence ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("noise", [b"x", b"\n", b" \n", b'{"seq":'])
def test_bytes_that_make_no_whole_line_are_no_sign_of_life(rig, noise):
    for _ in range(3):
        read_by_front_end(rig, noise)
        rig.later_ms += change_log.SILENCE_TIMEOUT_MS / 2.5
    assert rig.asked_times(2) == ["since", "1"]
    assert len(silent(rig)) == 1


def test_garbage_that_was_passed_over_once_is_no_sign_of_life(rig):
    read_by_front_end(rig, b"garbage\n")
    rig.asked_times(2)
    for _ in range(3):
        read_by_front_end(rig, b"garbage\n")
        rig.later_ms += change_log.SILENCE_TIMEOUT_MS / 2.5
    rig.asked_times(3)
    assert len(silent(rig)) == 1


def test_numbers_and_events_are_signs_of_life(rig):
    for line in (b"1\n", json.dumps(event(2)).encode() + b"\n", b"2\n", b"2\n"):
        read_by_front_end(rig, line)
        rig.later_ms += 0.9 * change_log.SILENCE_TIMEOUT_MS
        rig.front.change_log.run_maintenance()
    assert (len(rig.log.asked()), silent(rig)) == (1, [])


def long_list(rig):
    line = event(2, rig.member("s-1", "terminating"), rig.member("s-2"))
    return json.dumps(line | {"room": "x" * 400_000}).encode() + b"\n"


def test_a_long_list_that_keeps_coming_is_waited_for(rig):
    data = long_list(rig)
    part = len(data) // 8
    for place in range(0, len(data), part):
        read_by_front_end(rig, data[place : place + part])
        rig.until(lambda: len(rig.front.change_log._buffer) % part == 0, "all of it is read")
        rig.later_ms += 1_000.0
        rig.front.change_log.run_maintenance()
        if place + part >= len(data) - 1:
            break
    rig.log.links[-1].sock.sendall(data[place + part :])
    rig.at(2)
    assert (rig.states()["s-1"], len(rig.log.asked())) == (DRAINING, 1)


def test_a_line_that_takes_too_long_is_not_waited_for(rig):
    data, log = long_list(rig), rig.front.change_log
    for number in range(20):
        place = number * 17_000
        rig.log.links[-1].sock.sendall(data[place : place + 17_000])
        size = place + 17_000
        rig.until(lambda size=size: len(log._buffer) == size or not log._connection, "it is read")
        rig.later_ms += 1_000.0
        log.run_maintenance()
        if silent(rig):
            break
    assert (
        change_log.MAX_LINE_MS
        <= number * 1_000.0
        <= change_log.MAX_LINE_MS + 2 * change_log.SILENCE_TIMEOUT_MS
    )


def test_a_log_that_owes_events_for_longer_than_it_may_be_late_is_asked_again(rig):
    rig.log.say(4)
    rig.asked_times(2)
    for _ in range(12):
        read_by_front_end(rig, b"4\n")
        rig.later_ms += 1_000.0
        rig.front.change_log.run_maintenance()
        if silent(rig):
            break
    assert (
        change_log.MAX_DELAY_MS <= rig.later_ms <= change_log.MAX_DELAY_MS + 2 * change_log.SILENCE_TIMEOUT_MS
    )
    rig.asked_times(3)
    for seq in (2, 3):
        rig.log.say(event(seq))
    rig.log.say(event(4, rig.member("s-1", "terminating")))
    rig.at(4)
    assert rig.states()["s-1"] is DRAINING


# --- breaks -----------------------------------------------------------------------------------------


def break_off(rig):
    rig.log.links[-1].sock.close()
    rig.log.links[-1].ended = True


def test_an_event_told_while_no_connection_is_up_and_one_after_the_question_are_taken(rig):
    break_off(rig)
    assert rig.asked_times(2) == ["since", "1"]
    rig.log.say(1)  # written before the events were
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    rig.log.say(event(3, rig.member("s-2", "terminating")))
    rig.at(3)
    assert rig.states() == {"s-1": DRAINING, "s-2": DRAINING}


def test_half_a_line_at_the_break_does_not_spoil_the_next_connection(rig):
    line = json.dumps(event(2, rig.member("s-1", "terminating"))).encode() + b"\n"
    read_by_front_end(rig, line[:40])
    break_off(rig)
    assert rig.asked_times(2) == ["since", "1"]
    read_by_front_end(rig, line)
    assert rig.states()["s-1"] is DRAINING


# --- moves ------------------------------------------------------------------------------------------


def test_nothing_of_the_old_log_is_taken_after_a_move(rig, request):
    moved = new_log(rig, request)
    rig.log.say(event(2, rig.member("s-1", "terminating")))  # readable, and not read yet
    rig.move_to(moved)
    rig.until(lambda: moved.asked(), "the new one is asked")
    assert (moved.asked(), rig.told) == ([["since", "1"]], [])
    moved.say(event(2, rig.member("s-2", "terminating")))
    rig.at(2)
    assert rig.states() == {"s-1": READY, "s-2": DRAINING}


def test_of_two_moves_in_one_turn_the_last_one_counts(rig, request):
    one, two = new_log(rig, request), new_log(rig, request)
    rig.move_to(one)
    rig.move_to(two)
    rig.until(lambda: two.asked(), "the last one is asked")
    rig.until(lambda: all(link.ended for link in one.links), "nothing is left with the other one")
    assert (two.asked(), one.asked()) == ([["since", "1"]], [])


def test_a_move_back_has_the_first_log_asked_on_a_new_connection(rig, request):
    moved = new_log(rig, request)
    rig.move_to(moved)
    rig.until(lambda: moved.asked(), "the other one is asked")
    moved.say(event(2))
    rig.at(2)
    rig.move_to(rig.log)
    assert rig.asked_times(2) == ["since", "2"]
    rig.until(lambda: moved.links[0].ended, "the other one is left")
    assert rig.log.links[0].ended


def test_a_dial_that_is_under_way_at_the_move_asks_nobody(rig, request):
    first, second = new_log(rig, request), new_log(rig, request)
    break_off(rig)
    rig.until(lambda: rig.front.change_log._connection is None, "it breaks off")
    rig.move_to(first)
    dial = rig.front.change_log._connection
    assert not dial.up
    rig.move_to(second)
    rig.until(lambda: second.asked(), "the last one is asked")
    assert (dial.closed, first.asked()) == (True, [])


def dials_within(rig, span_ms):
    """How often the log is dialled in that time."""
    made, dial, over = [], Connection.dial, []

    def counted(loop, address, *more, **named):
        made.append(address)
        return dial(loop, address, *more, **named)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(change_log.Connection, "dial", counted)
        rig.front.loop.timers.after(span_ms, lambda: over.append(1))
        rig.until(lambda: over, "the time is over")
    return made


def test_an_address_where_nobody_listens_is_dialled_at_a_pace_until_the_next_move(rig, request):
    nobody = socket.create_server(("127.0.0.1", 0))
    address = nobody.getsockname()
    nobody.close()
    rig.front.change_log.move(address)
    made = dials_within(rig, 500.0)
    assert {*made} == {address}
    assert len(made) <= 5
    moved = new_log(rig, request)
    rig.move_to(moved)
    rig.until(lambda: moved.asked(), "the new one is asked")


# --- dials that fail --------------------------------------------------------------------------------

OF_THE_PROCESS = ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EINTR", "EAGAIN", "EADDRNOTAVAIL"]
OF_THE_NETWORK = ["ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "ECONNREFUSED", "ECONNABORTED", "EPROTO"]


@pytest.mark.parametrize("name", OF_THE_PROCESS + OF_THE_NETWORK)
@pytest.mark.parametrize("call", ["socket", "connect", "so_error"])
def test_a_dial_that_the_system_fails_is_tried_again_after_a_pause(rig, call, name):
    break_off(rig)
    rig.until(lambda: rig.front.change_log._connection is None, "it breaks off")
    with SystemFaults().installed() as faults:
        fault = faults.fail(call, getattr(errno, name), times=3)
        turns, turn = [], rig.front.loop.run_iteration
        rig.front.loop.run_iteration = lambda most_s=None: (turns.append(1), turn(most_s))
        assert rig.asked_times(2) == ["since", "1"]
    assert fault.hits == 3
    assert faults.calls["socket"] <= 4 + 2  # the dials, and what the peers accept
    assert len(turns) < 400
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    rig.at(2)
    assert rig.states()["s-1"] is DRAINING
