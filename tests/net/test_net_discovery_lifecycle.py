"""The connection to the change log: silence, disconnections, address changes and failed dials."""

import errno
import json
import socket

import pytest
from support.change_log_front_end import ChangeLogRig, event, start_other_log
from support.system_faults import SystemFaults

from fawnwharf import interface as io
from fawnwharf.net import change_log
from fawnwharf.net.connection import Connection

READY, DRAINING = io.ScorerState.READY, io.ScorerState.DRAINING


@pytest.fixture
def rig():
    made = ChangeLogRig("s-1", "s-2")
    with made.shifted_clock():
        yield made
    made.close()


def send_and_wait_until_read(rig, data):
    """Send bytes of the log and wait until the front end has read them."""
    connection = rig.front.change_log._connection
    before = connection.last_received_ms
    rig.log.links[-1].sock.sendall(data)
    rig.until(lambda: connection.last_received_ms > before or connection.closed, "the bytes are read")


def silence_lines(rig):
    """The log lines on a silent change log."""
    return [line for line in rig.lines if "silent" in line]


# --- silence ----------------------------------------------------------------------------------------


@pytest.mark.parametrize("noise", [b"x", b"\n", b" \n", b'{"seq":'])
def test_bytes_without_a_complete_line_do_not_count_as_activity(rig, noise):
    for _ in range(3):
        send_and_wait_until_read(rig, noise)
        rig.clock_shift_ms += change_log.SILENCE_TIMEOUT_MS / 2.5
    assert rig.wait_for_requests(2) == ["since", "1"]
    assert len(silence_lines(rig)) == 1


def test_a_malformed_line_that_was_skipped_does_not_count_as_activity(rig):
    send_and_wait_until_read(rig, b"garbage\n")
    rig.wait_for_requests(2)
    for _ in range(3):
        send_and_wait_until_read(rig, b"garbage\n")
        rig.clock_shift_ms += change_log.SILENCE_TIMEOUT_MS / 2.5
    rig.wait_for_requests(3)
    assert len(silence_lines(rig)) == 1


def test_heartbeats_and_events_count_as_activity(rig):
    for line in (b"1\n", json.dumps(event(2)).encode() + b"\n", b"2\n", b"2\n"):
        send_and_wait_until_read(rig, line)
        rig.clock_shift_ms += 0.9 * change_log.SILENCE_TIMEOUT_MS
        rig.front.change_log.run_maintenance()
    assert (len(rig.log.asked()), silence_lines(rig)) == (1, [])


def long_list(rig):
    """The bytes of an event of 400 kB."""
    line = event(2, rig.member("s-1", "terminating"), rig.member("s-2"))
    return json.dumps(line | {"room": "x" * 400_000}).encode() + b"\n"


def test_a_long_list_in_transfer_counts_as_activity(rig):
    data = long_list(rig)
    part = len(data) // 8
    for place in range(0, len(data), part):
        send_and_wait_until_read(rig, data[place : place + part])
        rig.until(lambda: len(rig.front.change_log._buffer) % part == 0, "the part is read")
        rig.clock_shift_ms += 1_000.0
        rig.front.change_log.run_maintenance()
        if place + part >= len(data) - 1:
            break
    rig.log.links[-1].sock.sendall(data[place + part :])
    rig.at(2)
    assert (rig.states()["s-1"], len(rig.log.asked())) == (DRAINING, 1)


def test_a_line_whose_transfer_takes_too_long_causes_a_reconnect(rig):
    data, log = long_list(rig), rig.front.change_log
    for number in range(20):
        place = number * 17_000
        rig.log.links[-1].sock.sendall(data[place : place + 17_000])
        size = place + 17_000
        rig.until(lambda size=size: len(log._buffer) == size or not log._connection, "the bytes are read")
        rig.clock_shift_ms += 1_000.0
        log.run_maintenance()
        if silence_lines(rig):
            break
    assert (
        change_log.MAX_LINE_MS
        <= number * 1_000.0
        <= change_log.MAX_LINE_MS + 2 * change_log.SILENCE_TIMEOUT_MS
    )


def test_missing_events_are_requested_again_after_the_maximum_delay_of_the_log(rig):
    rig.log.say(4)
    rig.wait_for_requests(2)
    for _ in range(12):
        send_and_wait_until_read(rig, b"4\n")
        rig.clock_shift_ms += 1_000.0
        rig.front.change_log.run_maintenance()
        if silence_lines(rig):
            break
    assert (
        change_log.MAX_DELAY_MS
        <= rig.clock_shift_ms
        <= change_log.MAX_DELAY_MS + 2 * change_log.SILENCE_TIMEOUT_MS
    )
    rig.wait_for_requests(3)
    for seq in (2, 3):
        rig.log.say(event(seq))
    rig.log.say(event(4, rig.member("s-1", "terminating")))
    rig.at(4)
    assert rig.states()["s-1"] is DRAINING


# --- disconnections ---------------------------------------------------------------------------------


def disconnect(rig):
    rig.log.links[-1].sock.close()
    rig.log.links[-1].ended = True


def test_events_before_and_after_the_request_of_a_new_connection_are_applied(rig):
    disconnect(rig)
    assert rig.wait_for_requests(2) == ["since", "1"]
    rig.log.say(1)  # a heartbeat from before the events
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    rig.log.say(event(3, rig.member("s-2", "terminating")))
    rig.at(3)
    assert rig.states() == {"s-1": DRAINING, "s-2": DRAINING}


def test_a_partial_line_at_a_disconnection_does_not_affect_the_next_connection(rig):
    line = json.dumps(event(2, rig.member("s-1", "terminating"))).encode() + b"\n"
    send_and_wait_until_read(rig, line[:40])
    disconnect(rig)
    assert rig.wait_for_requests(2) == ["since", "1"]
    send_and_wait_until_read(rig, line)
    assert rig.states()["s-1"] is DRAINING


# --- address changes --------------------------------------------------------------------------------


def test_no_event_of_the_old_log_is_applied_after_an_address_change(rig, request):
    moved = start_other_log(rig, request)
    rig.log.say(event(2, rig.member("s-1", "terminating")))  # received, but not read yet
    rig.move_to(moved)
    rig.until(lambda: moved.asked(), "the new log receives a request")
    assert (moved.asked(), rig.delivered) == ([["since", "1"]], [])
    moved.say(event(2, rig.member("s-2", "terminating")))
    rig.at(2)
    assert rig.states() == {"s-1": READY, "s-2": DRAINING}


def test_of_two_address_changes_in_one_iteration_the_last_one_counts(rig, request):
    one, two = start_other_log(rig, request), start_other_log(rig, request)
    rig.move_to(one)
    rig.move_to(two)
    rig.until(lambda: two.asked(), "the last log receives a request")
    rig.until(lambda: all(link.ended for link in one.links), "the connections to the other log end")
    assert (two.asked(), one.asked()) == ([["since", "1"]], [])


def test_a_change_back_to_the_first_address_opens_a_new_connection(rig, request):
    moved = start_other_log(rig, request)
    rig.move_to(moved)
    rig.until(lambda: moved.asked(), "the other log receives a request")
    moved.say(event(2))
    rig.at(2)
    rig.move_to(rig.log)
    assert rig.wait_for_requests(2) == ["since", "2"]
    rig.until(lambda: moved.links[0].ended, "the connection to the other log ends")
    assert rig.log.links[0].ended


def test_a_dial_in_progress_at_an_address_change_is_abandoned(rig, request):
    first, second = start_other_log(rig, request), start_other_log(rig, request)
    disconnect(rig)
    rig.until(lambda: rig.front.change_log._connection is None, "the connection ends")
    rig.move_to(first)
    dial = rig.front.change_log._connection
    assert not dial.up
    rig.move_to(second)
    rig.until(lambda: second.asked(), "the last log receives a request")
    assert (dial.closed, first.asked()) == (True, [])


def dials_within(rig, span_ms):
    """The addresses that the change log client dials within this time."""
    addresses, dial, expired = [], Connection.dial, []

    def recorded_dial(loop, address, *more, **named):
        addresses.append(address)
        return dial(loop, address, *more, **named)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(change_log.Connection, "dial", recorded_dial)
        rig.front.loop.timers.after(span_ms, lambda: expired.append(1))
        rig.until(lambda: expired, "the time has passed")
    return addresses


def test_dials_to_an_address_without_a_listener_back_off_until_the_address_changes(rig, request):
    closed_listener = socket.create_server(("127.0.0.1", 0))
    address = closed_listener.getsockname()
    closed_listener.close()
    rig.front.change_log.move(address)
    dialled = dials_within(rig, 500.0)
    assert {*dialled} == {address}
    assert len(dialled) <= 5
    moved = start_other_log(rig, request)
    rig.move_to(moved)
    rig.until(lambda: moved.asked(), "the new log receives a request")


# --- failed dials -----------------------------------------------------------------------------------

OF_THE_PROCESS = ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM", "EINTR", "EAGAIN", "EADDRNOTAVAIL"]
OF_THE_NETWORK = ["ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "ECONNREFUSED", "ECONNABORTED", "EPROTO"]


@pytest.mark.parametrize("name", OF_THE_PROCESS + OF_THE_NETWORK)
@pytest.mark.parametrize("call", ["socket", "connect", "so_error"])
def test_a_dial_that_fails_in_a_system_call_is_retried_after_a_delay(rig, call, name):
    disconnect(rig)
    rig.until(lambda: rig.front.change_log._connection is None, "the connection ends")
    with SystemFaults().installed() as faults:
        fault = faults.fail(call, getattr(errno, name), times=3)
        iterations, run_iteration = [], rig.front.loop.run_iteration
        rig.front.loop.run_iteration = lambda most_s=None: (iterations.append(1), run_iteration(most_s))
        assert rig.wait_for_requests(2) == ["since", "1"]
    assert fault.hits == 3
    assert faults.calls["socket"] <= 4 + 2  # the dials, and the sockets that the peers accept
    assert len(iterations) < 400  # the loop does not spin
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    rig.at(2)
    assert rig.states()["s-1"] is DRAINING
