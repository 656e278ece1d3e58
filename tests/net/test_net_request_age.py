"""A call is no older than it may be: connections, and the accept queue, that were seen empty meanwhile."""

import pytest
from peers import Rig, ScorerPeer
from test_net_clock_steps import HOUR, clock, rig, settled_client, without_stamps

from fawnwharf.net.connection_handoff import HandedOffConnection

__all__ = ["clock", "rig"]
TTL_MS = 8_000.0
SLACK_MS = 60.0  # what is too little to count as age, and some turns


def idle(front_end, clock, span_ms, turn_ms=100.0):
    """Let time pass with turns in which nothing comes from clients."""
    for _ in range(int(span_ms / turn_ms)):
        clock.advance(turn_ms)
        front_end.front.loop.run_iteration(0.0)
        front_end.log.pump()


def time_left(front_end, client):
    """The time that a call written now has, as the front end counts it."""
    known = set(front_end.front.requests.open)
    client.call(ttl=str(int(TTL_MS)))
    front_end.until(lambda: set(front_end.front.requests.open) - known or client.answers, "it is taken")
    [key] = set(front_end.front.requests.open) - known
    return front_end.front.requests.open[key].deadline_ms - front_end.front.loop.iteration_ms


def test_the_first_connection_after_an_idle_start(rig, clock, monkeypatch):
    without_stamps(monkeypatch)
    idle(rig, clock, 5_000.0)
    assert time_left(rig, rig.client()) > TTL_MS - SLACK_MS


def test_the_same_with_stamps_after_a_step_of_the_wall_clock(rig, clock):
    idle(rig, clock, 5_000.0)
    clock.step_wall(HOUR)
    idle(rig, clock, 1_000.0)
    assert time_left(rig, rig.client()) > TTL_MS - SLACK_MS


def test_a_connection_that_takes_the_last_room(clock, monkeypatch):
    without_stamps(monkeypatch)
    front_end = Rig(ScorerPeer(copies=None), limits={"sockets": 32}, start=False)
    try:
        idle(front_end, clock, 500.0)
        held = [front_end.client() for _ in range(front_end.front.client_port.max_connections // 2)]
        for client in held:
            front_end.settle(client)
        idle(front_end, clock, 3_000.0)
        assert time_left(front_end, front_end.client()) > TTL_MS - SLACK_MS
    finally:
        front_end.close()


@pytest.mark.parametrize("step", [0.0, HOUR, -HOUR])
def test_a_connection_that_said_nothing_for_a_while(rig, clock, monkeypatch, step):
    if not step:
        without_stamps(monkeypatch)
    client = rig.client()
    idle(rig, clock, 300.0)
    clock.step_wall(step)
    idle(rig, clock, 1_500.0)
    assert time_left(rig, client) > TTL_MS - SLACK_MS


def test_a_connection_that_was_handed_over_long_ago(rig, clock, monkeypatch):
    without_stamps(monkeypatch)
    client = settled_client(rig)
    [server_side] = rig.front.client_port.clients
    handed = rig.front.client_port.hand_off(server_side)
    idle(rig, clock, 200.0)
    assert isinstance(handed, HandedOffConnection)
    rig.front.client_port.take_over(handed)
    idle(rig, clock, 7_000.0)
    client.answers.clear()
    assert time_left(rig, client) > TTL_MS - SLACK_MS


def test_a_connection_of_which_reading_was_paused_long_ago(rig, clock, monkeypatch):
    without_stamps(monkeypatch)
    client = settled_client(rig)
    rig.front.loop.run_iteration(0.0)
    rig.front.client_port.set_paused(True)
    rig.front.loop.run_iteration(0.0)
    rig.front.client_port.set_paused(False)
    idle(rig, clock, 7_000.0)
    client.answers.clear()
    assert time_left(rig, client) > TTL_MS - SLACK_MS


def test_a_slow_reader_that_was_found_empty_at_each_look(rig, clock, monkeypatch):
    without_stamps(monkeypatch)
    client = settled_client(rig)
    [server_side] = rig.front.client_port.clients
    server_side.connection.set_reading(False)  # as where much waits for it
    slow = rig.front.client_port.slow_clients
    monkeypatch.setattr(slow, "regulate", slow.check_later)
    slow.check_later(server_side)
    idle(rig, clock, 7_000.0)
    client.answers.clear()
    client.call(ttl=str(int(TTL_MS)))
    for _ in range(3):
        clock.advance(40.0)
        rig.front.loop.run_iteration(0.0)
    [request] = rig.front.requests.open.values()
    assert request.deadline_ms - rig.front.loop.iteration_ms > TTL_MS - 3 * SLACK_MS
