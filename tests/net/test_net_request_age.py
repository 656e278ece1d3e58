"""A call counts as no older than the last time at which its connection or the accept queue was empty."""

import pytest
from peers import Rig, ScorerPeer
from test_net_clock_steps import HOUR, clock, rig, settled_client, without_receive_timestamps

from fawnwharf.net.connection_handoff import HandedOffConnection

__all__ = ["clock", "rig"]
TTL_MS = 8_000.0
SLACK_MS = 60.0  # the age that is neglected, and a few iterations


def idle(rig, clock, duration_ms, iteration_ms=100.0):
    """Let time pass with iterations in which no client sends anything."""
    for _ in range(int(duration_ms / iteration_ms)):
        clock.advance(iteration_ms)
        rig.front.loop.run_iteration(0.0)
        rig.log.pump()


def time_left(rig, client):
    """Send a call, and return its remaining time as the front end counts it."""
    known = set(rig.front.requests.open)
    client.call(ttl=str(int(TTL_MS)))
    rig.until(lambda: set(rig.front.requests.open) - known or client.answers, "the call is read")
    [key] = set(rig.front.requests.open) - known
    return rig.front.requests.open[key].deadline_ms - rig.front.loop.iteration_ms


def test_the_first_connection_after_an_idle_start(rig, clock, monkeypatch):
    without_receive_timestamps(monkeypatch)
    idle(rig, clock, 5_000.0)
    assert time_left(rig, rig.client()) > TTL_MS - SLACK_MS


def test_the_first_connection_after_a_step_of_the_wall_clock(rig, clock):
    idle(rig, clock, 5_000.0)
    clock.step_wall(HOUR)
    idle(rig, clock, 1_000.0)
    assert time_left(rig, rig.client()) > TTL_MS - SLACK_MS


def test_the_first_call_on_the_last_connection_of_the_limit(clock, monkeypatch):
    without_receive_timestamps(monkeypatch)
    small_rig = Rig(ScorerPeer(copies=None), limits={"sockets": 32}, start=False)
    try:
        idle(small_rig, clock, 500.0)
        clients = [small_rig.client() for _ in range(small_rig.front.client_port.max_connections // 2)]
        for client in clients:
            small_rig.settle(client)
        idle(small_rig, clock, 3_000.0)
        assert time_left(small_rig, small_rig.client()) > TTL_MS - SLACK_MS
    finally:
        small_rig.close()


@pytest.mark.parametrize("step", [0.0, HOUR, -HOUR])
def test_a_connection_that_was_silent_for_a_while(rig, clock, monkeypatch, step):
    if not step:
        without_receive_timestamps(monkeypatch)
    client = rig.client()
    idle(rig, clock, 300.0)
    clock.step_wall(step)
    idle(rig, clock, 1_500.0)
    assert time_left(rig, client) > TTL_MS - SLACK_MS


def test_a_connection_that_was_handed_off_long_ago(rig, clock, monkeypatch):
    without_receive_timestamps(monkeypatch)
    client = settled_client(rig)
    [server_side] = rig.front.client_port.clients
    handed = rig.front.client_port.hand_off(server_side)
    idle(rig, clock, 200.0)
    assert isinstance(handed, HandedOffConnection)
    rig.front.client_port.take_over(handed)
    idle(rig, clock, 7_000.0)
    client.answers.clear()
    assert time_left(rig, client) > TTL_MS - SLACK_MS


def test_a_connection_whose_reading_was_paused_long_ago(rig, clock, monkeypatch):
    without_receive_timestamps(monkeypatch)
    client = settled_client(rig)
    rig.front.loop.run_iteration(0.0)
    rig.front.client_port.set_paused(True)
    rig.front.loop.run_iteration(0.0)
    rig.front.client_port.set_paused(False)
    idle(rig, clock, 7_000.0)
    client.answers.clear()
    assert time_left(rig, client) > TTL_MS - SLACK_MS


def test_a_slow_client_that_had_no_unread_bytes_at_each_scan(rig, clock, monkeypatch):
    without_receive_timestamps(monkeypatch)
    client = settled_client(rig)
    [server_side] = rig.front.client_port.clients
    server_side.connection.set_reading(False)  # as for a client with many unsent bytes
    slow_clients = rig.front.client_port.slow_clients
    monkeypatch.setattr(slow_clients, "regulate", slow_clients.check_later)
    slow_clients.check_later(server_side)
    idle(rig, clock, 7_000.0)
    client.answers.clear()
    client.call(ttl=str(int(TTL_MS)))
    for _ in range(3):
        clock.advance(40.0)
        rig.front.loop.run_iteration(0.0)
    [request] = rig.front.requests.open.values()
    assert request.deadline_ms - rig.front.loop.iteration_ms > TTL_MS - 3 * SLACK_MS
