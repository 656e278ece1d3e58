"""The wall clock stepped, and turns that are held up: spans stay exact, and no call gets its time twice."""

import socket
import time

import pytest
from peers import Rig, ScorerPeer
from support.clocks import SettableClock

from fawnwharf.net import event_loop, receive_age, timer_wheel
from fawnwharf.net.front_end import scorer_number

HOUR = 3_600_000.0
STEPS = [5_000.0, -5_000.0, HOUR, -HOUR]


@pytest.fixture
def clock(monkeypatch):
    """A clock that only the test moves, for the loop, its timers and the connections."""
    made = SettableClock(wall_ms=time.time() * 1_000.0)  # as the stamps of the system have it
    with made.installed():
        yield made


@pytest.fixture
def rig(clock, monkeypatch):
    made = Rig(ScorerPeer(copies=None), start=False)
    for _ in range(5):  # it comes up and asks the change log
        made.front.loop.run_iteration(0.0)
        made.log.pump()
    yield made
    made.close()


def without_stamps(monkeypatch):
    monkeypatch.setattr(receive_age, "SO_TIMESTAMPNS", -1)


def settled_client(rig):
    client = rig.client()
    rig.settle(client)
    return client


def budget_left(rig):
    """The time that the one open call has, as the front end counts it."""
    rig.until(lambda: rig.front.requests.open, "it is read")
    [request] = rig.front.requests.open.values()
    return request.deadline_ms - rig.front.loop.iteration_ms


@pytest.mark.parametrize("step", STEPS)
def test_spans_of_the_shown_clock_are_exact_after_a_step(clock, step):
    shown = timer_wheel.Clock(timer_wheel.monotonic_ms, timer_wheel.unix_ms)
    before = shown.now_ms()
    clock.step_wall(step)
    for _ in range(1_000):
        clock.advance(100.0)
        shown.now_ms()
    assert abs(shown.now_ms() - before - 100_000.0) < 1.0
    assert (shown.stepped_by_ms, shown.stepped_ms) == (pytest.approx(step), 1_000_100.0)


def test_a_pause_between_two_readings_is_no_step(clock):
    readings = iter([1.0, 1.0, 400.0, 401.0])
    shown = timer_wheel.Clock(lambda: next(readings), lambda: clock.wall_ms)
    shown.now_ms()
    assert shown.stepped_by_ms == 0.0


@pytest.mark.parametrize("step", STEPS)
def test_a_stamp_of_before_a_step_is_not_believed(rig, clock, step):
    client = settled_client(rig)
    client.call(ttl="8000")
    clock.step_wall(step)
    assert budget_left(rig) == pytest.approx(8_000.0, abs=event_loop.STALL_THRESHOLD_MS)


@pytest.mark.parametrize("step", [0.0, *STEPS])
def test_a_call_without_believed_stamp_counts_as_old_as_a_held_up_turn_lets_it_be(
    rig, clock, monkeypatch, step
):
    without_stamps(monkeypatch)
    client = settled_client(rig)
    rig.front.loop.run_iteration(0.0)
    client.call(ttl="8000")
    clock.advance(400.0)  # the turn before took so long
    clock.step_wall(step)
    assert budget_left(rig) == pytest.approx(7_600.0, abs=event_loop.STALL_THRESHOLD_MS)


def test_a_call_that_a_short_turn_left_keeps_its_time(rig, clock, monkeypatch):
    without_stamps(monkeypatch)
    client = settled_client(rig)
    client.call(ttl="8000")
    clock.advance(10.0)
    assert budget_left(rig) == pytest.approx(8_000.0)


def test_a_call_that_came_while_nothing_was_read_counts_since_then(rig, clock, monkeypatch):
    without_stamps(monkeypatch)
    client = settled_client(rig)
    rig.front.client_port.set_paused(True)
    client.call(ttl="8000")
    for _ in range(30):
        clock.advance(20.0)
        rig.front.loop.run_iteration(0.0)
    rig.front.client_port.set_paused(False)
    assert budget_left(rig) == pytest.approx(7_400.0, abs=event_loop.STALL_THRESHOLD_MS)


def test_a_connection_that_another_process_had_counts_since_that_one_read_it(rig, clock, monkeypatch):
    without_stamps(monkeypatch)
    client = settled_client(rig)
    [taken] = rig.front.client_port.clients
    taken.connection.assume_unread_since(clock.monotonic_ms - 700.0)
    client.call(ttl="8000")
    assert budget_left(rig) == pytest.approx(7_300.0, abs=event_loop.STALL_THRESHOLD_MS)


@pytest.mark.parametrize("step", STEPS)
def test_a_start_told_after_a_step_is_not_older_than_it_is(rig, clock, step):
    rig.log.say(1)
    rig.until(lambda: rig.front.change_log.up_to_date_ms is not None, "the log is followed")
    clock.advance(100.0)
    clock.step_wall(step)
    rig.front.loop.run_iteration(0.0)
    clock.advance(100.0)
    member = rig.scorers[0].member(up_since_ms=clock.wall_ms - 50.0)
    for seq in (2, 3):  # told again, it is the same start
        rig.log.say({"seq": seq, "fleet": {"members": [member]}})
        rig.until(
            lambda seq=seq: rig.front.change_log.seq == seq and not rig.front._pending_change, "it is taken"
        )
        clock.advance(500.0)
    worker = rig.front.router.scorers[scorer_number("s-1")]
    age_ms = rig.front.loop.clock.now_ms() - worker.started_ms
    assert 1_000.0 - 1.0 <= age_ms <= 1_050.0 + 1.0


def budgets_by_turns(rig, clock, count):
    """The time that each call has as it is read, with 40 ms from one turn to the next."""
    found, known = [], set()
    while len(found) < count:
        clock.advance(40.0)
        rig.front.loop.run_iteration(0.0)
        new = [request for key, request in rig.front.requests.open.items() if key not in known]
        known.update(rig.front.requests.open)
        found += [request.deadline_ms - rig.front.loop.iteration_ms for request in new]
    return found


def test_a_call_that_a_full_turn_left_behind_counts_since_it_could_have_come(rig, clock, monkeypatch):
    without_stamps(monkeypatch)
    crowd = [settled_client(rig) for _ in range(2)]
    rig.front.loop.run_iteration(0.0)
    for number, client in enumerate(crowd):
        client.call(ttl="8000", call=f"{number:016x}")
    monkeypatch.setattr(event_loop, "MAX_EVENTS", 1)
    assert budgets_by_turns(rig, clock, 2) == pytest.approx([8_000.0, 7_920.0])


def test_calls_that_take_several_reads_count_since_they_could_have_come(rig, clock, monkeypatch):
    without_stamps(monkeypatch)
    client = settled_client(rig)
    client.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # all of it lies unread at once
    rig.front.loop.run_iteration(0.0)
    for number in range(3):
        client.call(ttl="8000", call=f"{number:016x}", body=b"x" * 15_000)
    assert budgets_by_turns(rig, clock, 3) == pytest.approx([8_000.0, 7_920.0, 7_880.0])
