"""The age of a call that was unread while its connection was handed off to another process."""

import socket

import pytest
from peers import ClientPeer, Rig, ScorerPeer

from fawnwharf.net.connection_handoff import HandedOffConnection
from fawnwharf.net.timer_wheel import monotonic_ms


@pytest.fixture
def rig():
    rig = Rig(ScorerPeer())
    yield rig
    rig.close()


def test_an_unread_call_on_a_handed_off_connection_counts_from_the_last_empty_time(rig):
    with socket.create_server(("127.0.0.1", 0)) as server:  # its connections have no receive timestamps
        client = ClientPeer(server.getsockname())
        sock = server.accept()[0]
    client.call(ttl="8000")
    sock.setblocking(False)
    rig.clients.append(client)
    rig.front.client_port.take_over(HandedOffConnection(sock, empty_ms=monotonic_ms() - 3_000.0))
    rig.until(lambda: rig.scorers[0].runs, "the call runs")
    [(_, frame)] = rig.scorers[0].runs
    assert int(frame.fields["ms"]) <= 5_000


def test_a_handed_off_connection_reports_when_it_was_last_known_to_be_empty(rig):
    client = rig.client()
    rig.settle(client)
    before_ms = monotonic_ms()
    rig.front.loop.run_iteration(0.0)
    rig.front.client_port.set_paused(True)  # nothing is read after this
    paused_ms = monotonic_ms()
    for _ in range(3):
        rig.front.loop.run_iteration(0.0)
    [server_side] = rig.front.client_port.clients
    handed = rig.front.client_port.hand_off(server_side)
    assert before_ms - 1_000.0 <= handed.empty_ms <= paused_ms
    handed.sock.close()
