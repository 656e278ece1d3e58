"""Steps of the wall clock and stalled iterations: durations stay exact, and no call gets extra time."""

import math
import socket
import time

import pytest
from peers import Rig, ScorerPeer
from support.clocks import SettableClock

from fawnwharf.net import client_reading, event_loop, receive_age, timer_wheel
from fawnwharf.net.front_end import scorer_number

HOUR = 3_600_000.0
STEPS = [5_000.0, -5_000.0, HOUR, -HOUR]


@pytest.fixture
def clock(monkeypatch):
    """A clock that only the test advances, for the loop, its timers and the connections."""
    settable = SettableClock(wall_ms=time.time() * 1_000.0)  # matches the system's receive timestamps
    with settable.installed():
        yield settable


@pytest.fixture
def rig(clock, monkeypatch):
    rig = Rig(ScorerPeer(copies=None), start=False)
    for _ in range(5):  # the front end starts and asks the change log
        rig.front.loop.run_iteration(0.0)
        rig.log.pump()
    yield rig
    rig.close()


def without_receive_timestamps(monkeypatch):
    monkeypatch.setattr(receive_age, "SO_TIMESTAMPNS", -1)


def settled_client(rig):
    client = rig.client()
    rig.settle(client)
    return client


def budget_left(rig):
    """Return the remaining time of the one open call, as the front end counts it."""
    rig.until(lambda: rig.front.requests.open, "the call is read")
    [request] = rig.front.requests.open.values()
    return request.deadline_ms - rig.front.loop.iteration_ms


@pytest.mark.parametrize("step", STEPS)
def test_durations_of_the_stepless_clock_are_exact_after_a_step(clock, step):
    stepless = timer_wheel.Clock(timer_wheel.monotonic_ms, timer_wheel.unix_ms)
    before_ms = stepless.now_ms()
    clock.step_wall(step)
    for _ in range(1_000):
        clock.advance(100.0)
        stepless.now_ms()
    assert abs(stepless.now_ms() - before_ms - 100_000.0) < 1.0
    assert (stepless.stepped_by_ms, stepless.stepped_ms) == (pytest.approx(step), 1_000_100.0)


def test_a_stall_between_two_readings_is_no_step(clock):
    readings = iter([1.0, 1.0, 400.0, 401.0])
    stepless = timer_wheel.Clock(lambda: next(readings), lambda: clock.wall_ms)
    stepless.now_ms()
    assert stepless.stepped_by_ms == 0.0


@pytest.mark.parametrize("step", STEPS)
def test_a_timestamp_from_before_a_step_is_not_trusted(rig, clock, step):
    client = settled_client(rig)
    client.call(ttl="8000")
    clock.step_wall(step)
    assert budget_left(rig) == pytest.approx(8_000.0, abs=event_loop.STALL_THRESHOLD_MS)


@pytest.mark.parametrize("step", [0.0, *STEPS])
def test_a_call_without_trusted_timestamp_counts_from_the_previous_iteration(rig, clock, monkeypatch, step):
    without_receive_timestamps(monkeypatch)
    client = settled_client(rig)
    rig.front.loop.run_iteration(0.0)
    client.call(ttl="8000")
    clock.advance(400.0)  # the duration of the previous iteration
    clock.step_wall(step)
    assert budget_left(rig) == pytest.approx(7_600.0, abs=event_loop.STALL_THRESHOLD_MS)


def test_a_call_after_a_short_iteration_keeps_its_time(rig, clock, monkeypatch):
    without_receive_timestamps(monkeypatch)
    client = settled_client(rig)
    client.call(ttl="8000")
    clock.advance(10.0)
    assert budget_left(rig) == pytest.approx(8_000.0)


def test_a_call_that_arrived_while_reading_was_paused_counts_from_the_pause(rig, clock, monkeypatch):
    without_receive_timestamps(monkeypatch)
    client = settled_client(rig)
    rig.front.client_port.set_paused(True)
    client.call(ttl="8000")
    for _ in range(30):
        clock.advance(20.0)
        rig.front.loop.run_iteration(0.0)
    rig.front.client_port.set_paused(False)
    assert budget_left(rig) == pytest.approx(7_400.0, abs=event_loop.STALL_THRESHOLD_MS)


def test_a_call_on_a_handed_off_connection_counts_from_the_last_read_of_the_other_process(
    rig, clock, monkeypatch
):
    without_receive_timestamps(monkeypatch)
    client = settled_client(rig)
    [handed_off] = rig.front.client_port.clients
    handed_off.connection.assume_unread_since(clock.monotonic_ms - 700.0)
    client.call(ttl="8000")
    assert budget_left(rig) == pytest.approx(7_300.0, abs=event_loop.STALL_THRESHOLD_MS)


@pytest.mark.parametrize("step", STEPS)
def test_a_scorer_start_reported_after_a_step_has_its_true_age(rig, clock, step):
    rig.log.say(1)
    rig.until(lambda: rig.front.change_log.up_to_date_ms is not None, "the change log is up to date")
    clock.advance(100.0)
    clock.step_wall(step)
    rig.front.loop.run_iteration(0.0)
    clock.advance(100.0)
    member = rig.scorers[0].member(up_since_ms=clock.wall_ms - 50.0)
    for seq in (2, 3):  # the second event reports the same start again
        rig.log.say({"seq": seq, "fleet": {"members": [member]}})
        rig.until(
            lambda seq=seq: rig.front.change_log.seq == seq and not rig.front._pending_change,
            "the event is applied",
        )
        clock.advance(500.0)
    scorer = rig.front.router.scorers[scorer_number("s-1")]
    age_ms = rig.front.loop.clock.now_ms() - scorer.started_ms
    assert 1_000.0 - 1.0 <= age_ms <= 1_050.0 + 1.0


def budgets_when_read(rig, clock, count):
    """Return the remaining time of each call when it is read, with 40 ms between iterations."""
    budgets_ms, known = [], set()
    while len(budgets_ms) < count:
        clock.advance(40.0)
        rig.front.loop.run_iteration(0.0)
        new = [request for key, request in rig.front.requests.open.items() if key not in known]
        known.update(rig.front.requests.open)
        budgets_ms += [request.deadline_ms - rig.front.loop.iteration_ms for request in new]
    return budgets_ms


def test_a_call_deferred_by_a_full_iteration_counts_from_its_earliest_arrival(rig, clock, monkeypatch):
    without_receive_timestamps(monkeypatch)
    clients = [settled_client(rig) for _ in range(2)]
    rig.front.loop.run_iteration(0.0)
    for number, client in enumerate(clients):
        client.call(ttl="8000", call=f"{number:016x}")
    monkeypatch.setattr(event_loop, "MAX_EVENTS", 1)
    assert budgets_when_read(rig, clock, 2) == pytest.approx([8_000.0, 7_920.0])


def test_calls_that_take_several_reads_count_from_their_earliest_arrival(rig, clock, monkeypatch):
    without_receive_timestamps(monkeypatch)
    monkeypatch.setattr(client_reading, "MAX_READS_AHEAD", 0)  # one read in each iteration
    monkeypatch.setattr(client_reading, "PEER_CHECK_AFTER_MS", math.inf)  # no call waits for later reads
    client = settled_client(rig)
    client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # so that all calls arrive at once
    rig.front.loop.run_iteration(0.0)
    for number in range(3):
        client.call(ttl="8000", call=f"{number:016x}", body=b"x" * 15_000)
    assert budgets_when_read(rig, clock, 3) == pytest.approx([8_000.0, 7_920.0, 7_880.0])
