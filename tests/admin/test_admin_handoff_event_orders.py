"""Hand-over between processes and what crosses it: each order forced, in the test's own thread."""

import signal
import socket
import tempfile
from unittest import mock

import pytest
from peers import PATIENCE_S, Rig, ScorerPeer, ready
from processes import Site

from fawnwharf.admin import handoff_channel, handoff_request, hot_restart, service
from fawnwharf.admin import handoff_messages as h
from fawnwharf.admin.exclusive_extensions import ExclusiveExtensions, ExtensionState
from fawnwharf.admin.handoff_directory import HandoffDirectory
from fawnwharf.admin.handoff_request import InheritedState
from fawnwharf.admin.http import AdminRequest
from fawnwharf.config import ConfigError
from fawnwharf.net import graceful_shutdown


@pytest.fixture
def rig():
    with tempfile.TemporaryDirectory() as folder:
        made = Rig(ScorerPeer(copies=4))
        directory = HandoffDirectory(folder, "", made.front.address)
        made.admin = service.AdminService(made.front, ("127.0.0.1", 0), InheritedState(directory))
        made.admin.start()
        made.peers = []
        yield made
        made.close()
        for peer in made.peers:
            peer.close()


def connect_successor(rig):
    """The process that takes its directory, played by the test."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with rig.admin.hot_restart.directory.socket_address() as address:
        sock.connect(address)
    rig.peers.append(sock)
    handoff_channel.send(sock, h.encode(h.Hello(h.VERSION, rig.front.address)), None)
    handoff_channel.send(sock, h.encode(h.SuccessorReady()), None)
    rig.until(lambda: rig.admin.is_replaced, "it hands off")
    return sock


def is_ready(rig, client):
    """The answer to a client's readiness check."""
    rig.settle(client)
    return client.answers[-1][2][3]


@pytest.mark.parametrize("why", ["leaving", "standby", "neither"])
def test_after_the_successor_is_lost_readiness_is_that_of_this_process(rig, why):
    client = rig.client()
    client.call()
    rig.until(lambda: rig.scorers[0].runs, "it runs, so that the connection stays here")
    sock = connect_successor(rig)
    if why == "leaving":
        rig.front.shut_down()
    elif why == "standby":
        rig.admin.commands.is_on_standby = True
    assert is_ready(rig, client)  # for the other process's sake
    sock.close()
    rig.until(lambda: not rig.admin.is_replaced, "it serves alone")
    assert is_ready(rig, client) is (why == "neither")


def test_a_stalled_successor_is_given_up_and_its_connections_come_back(rig):
    sock = connect_successor(rig)
    channel = rig.admin.hot_restart.successor
    refused = mock.patch.object(handoff_channel, "send", side_effect=BlockingIOError)
    client = rig.client()
    with refused:  # its buffer is full, as it reads nothing
        rig.front.client_port.set_accepting(True)
        client.call()
        rig.until(lambda: rig.scorers[0].runs, "it runs")
        rig.scorers[0].answer(rig.scorers[0].runs[0])
        rig.until(
            lambda: client.answers and not rig.front.client_port.clients, "its connection is on its way"
        )
        assert channel.has_unsent
        assert not channel.closed
        channel._progress_ms -= hot_restart.STALL_TIMEOUT_MS
        rig.until(lambda: not rig.admin.is_replaced, "it serves alone")
    assert rig.front.client_port.clients
    assert is_ready(rig, client) is True
    assert not ready(sock, 0.0) or handoff_channel.receive(sock)


def test_an_error_in_a_hand_off_tick_does_not_end_the_ticks(rig):
    client = rig.client()
    rig.settle(client)
    with mock.patch.object(rig.front.client_port, "hand_off", side_effect=RuntimeError("planted")) as give:
        connect_successor(rig)
        rig.until(lambda: give.call_count >= 2, "the next tick comes")
    rig.until(lambda: not rig.front.client_port.clients, "it is handed off")


def test_an_error_in_a_drain_tick_or_in_tidying_does_not_end_them(rig):
    rig.admin.handle(AdminRequest("POST", "/standby"))
    with mock.patch.object(service.draining, "drain_step", side_effect=RuntimeError("planted")) as step:
        rig.until(lambda: step.call_count >= 2, "the next tick comes")
    error = RuntimeError("planted")
    with mock.patch.object(rig.admin.listener, "close_overdue", side_effect=error) as close_overdue:
        rig.until(lambda: close_overdue.call_count >= 2, "it looks for overdue connections again")


@pytest.mark.parametrize("fault", [ConfigError("held"), OSError("planted"), RuntimeError("planted")])
def test_extensions_are_reacquired_after_any_error(rig, fault):
    extension = mock.Mock(busy=False)
    extension.suspend.side_effect = RuntimeError("planted")
    extension.resume.side_effect = [fault, None]
    rig.front._extension = extension
    extensions, steps = ExclusiveExtensions(rig.front), []
    extensions.release(lambda: steps.append("released"))
    rig.until(lambda: steps, "they are released")
    assert extensions.state is ExtensionState.RELEASED
    extensions.reacquire(lambda: steps.append("reacquired"))
    rig.until(lambda: extensions.are_held, "they are reacquired")
    assert steps == ["released", "reacquired"]
    rig.front._extension = None


def test_a_slow_answer_in_chunks_has_the_same_deadline(tmp_path):
    directory, now = HandoffDirectory(str(tmp_path), "", ("127.0.0.1", 1)), [0.0]
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as carried:
        with directory.socket_address() as address:
            carried.bind(address)
        carried.listen(1)

        def drop(_sock):
            now[0] += 1_000.0  # each chunk comes in time by itself
            assert now[0] < 1e5, "it waits for as long as chunks come"
            return h.Chunk(b"x"), None

        with (
            mock.patch.object(handoff_request, "monotonic_ms", side_effect=lambda: now[0]),
            mock.patch.object(handoff_request, "receive", drop),
        ):
            assert handoff_request.request_handoff(directory, ("127.0.0.1", 1)) is None
    assert now[0] <= handoff_request.HELLO_ANSWER_TIMEOUT_MS + 1_000.0


def test_a_successor_told_to_end_before_its_start_does_not_take_over():
    site = Site()
    try:
        with (
            socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as listener,
            socket.create_server(("127.0.0.1", 0)) as carried,
        ):
            with site.place.socket_address() as address:
                listener.bind(address)
            listener.listen(1)
            listener.settimeout(PATIENCE_S)
            new = site.begin()
            sock, _ = listener.accept()
            sock.settimeout(PATIENCE_S)
            assert isinstance(handoff_channel.receive(sock)[0], h.Hello)
            new.signal(signal.SIGTERM)
            handoff_channel.send(sock, h.encode(h.ListenerHandoff()), carried)
            assert handoff_channel.receive(sock) is None  # no message that it is ready
            sock.close()
            site.until(lambda: new.ended, "it has ended")
            assert new.child.returncode == 0, new.log
    finally:
        site.close()


def test_a_shutdown_during_the_hand_off_ends_no_connection(rig):
    client = rig.client()
    rig.settle(client)
    connect_successor(rig)
    rig.front.shut_down()
    rig.front._shutdown._since_ms -= graceful_shutdown.LATE_ARRIVAL_MS
    rig.until(lambda: not rig.front.client_port.clients, "its connection is handed off")
    assert not client.ended
    assert rig.front.loop.running
