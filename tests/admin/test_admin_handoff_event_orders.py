"""Hand-off between processes, with other events during it; each order is forced in the test's own thread."""

import signal
import socket
import tempfile
from unittest import mock

import pytest
from peers import PATIENCE_S, Rig, ScorerPeer, ready
from processes import Site

from fawnwharf.admin import handoff_channel, handoff_request, hot_restart, service
from fawnwharf.admin import handoff_messages as messages
from fawnwharf.admin.exclusive_extensions import ExclusiveExtensions, ExtensionState
from fawnwharf.admin.handoff_directory import HandoffDirectory
from fawnwharf.admin.handoff_request import InheritedState
from fawnwharf.admin.http import AdminRequest
from fawnwharf.config import ConfigError
from fawnwharf.net import graceful_shutdown


@pytest.fixture
def rig():
    with tempfile.TemporaryDirectory() as folder:
        created = Rig(ScorerPeer(copies=4))
        directory = HandoffDirectory(folder, "", created.front.address)
        created.admin = service.AdminService(created.front, ("127.0.0.1", 0), InheritedState(directory))
        created.admin.start()
        created.peers = []
        yield created
        created.close()
        for peer in created.peers:
            peer.close()


def connect_successor(rig):
    """Connect a successor, whose side the test plays, and let it become ready."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with rig.admin.hot_restart.directory.socket_address() as address:
        sock.connect(address)
    rig.peers.append(sock)
    handoff_channel.send(sock, messages.encode(messages.Hello(messages.VERSION, rig.front.address)), None)
    handoff_channel.send(sock, messages.encode(messages.SuccessorReady()), None)
    rig.until(lambda: rig.admin.is_replaced, "the front end hands off")
    return sock


def is_ready(rig, client):
    """The answer to a client's readiness check."""
    rig.settle(client)
    return client.answers[-1][2][3]


@pytest.mark.parametrize("why", ["leaving", "standby", "neither"])
def test_after_the_successor_is_lost_readiness_is_that_of_this_process(rig, why):
    client = rig.client()
    client.call()
    rig.until(lambda: rig.scorers[0].runs, "the call runs, so that its connection is not handed off")
    sock = connect_successor(rig)
    if why == "leaving":
        rig.front.shut_down()
    elif why == "standby":
        rig.admin.commands.is_on_standby = True
    assert is_ready(rig, client)  # answered for the successor
    sock.close()
    rig.until(lambda: not rig.admin.is_replaced, "the front end serves alone")
    assert is_ready(rig, client) is (why == "neither")


def test_a_stalled_successor_is_given_up_and_its_connections_come_back(rig):
    sock = connect_successor(rig)
    channel = rig.admin.hot_restart.successor
    refused = mock.patch.object(handoff_channel, "send", side_effect=BlockingIOError)
    client = rig.client()
    with refused:  # as if the socket's buffer were full, because the successor reads nothing
        rig.front.client_port.set_accepting(True)
        client.call()
        rig.until(lambda: rig.scorers[0].runs, "the call runs")
        rig.scorers[0].answer(rig.scorers[0].runs[0])
        rig.until(
            lambda: client.answers and not rig.front.client_port.clients,
            "the connection is queued for the successor",
        )
        assert channel.has_unsent
        assert not channel.closed
        channel._progress_ms -= hot_restart.STALL_TIMEOUT_MS
        rig.until(lambda: not rig.admin.is_replaced, "the front end serves alone")
    assert rig.front.client_port.clients
    assert is_ready(rig, client) is True
    assert not ready(sock, 0.0) or handoff_channel.receive(sock)


def test_an_error_in_a_hand_off_tick_does_not_end_the_ticks(rig):
    client = rig.client()
    rig.settle(client)
    with mock.patch.object(
        rig.front.client_port, "hand_off", side_effect=RuntimeError("planted")
    ) as hand_off:
        connect_successor(rig)
        rig.until(lambda: hand_off.call_count >= 2, "the next tick comes")
    rig.until(lambda: not rig.front.client_port.clients, "the connection is handed off")


def test_an_error_in_a_drain_tick_or_in_an_overdue_check_does_not_end_them(rig):
    rig.admin.handle(AdminRequest("POST", "/standby"))
    with mock.patch.object(service.draining, "drain_step", side_effect=RuntimeError("planted")) as step:
        rig.until(lambda: step.call_count >= 2, "the next tick comes")
    error = RuntimeError("planted")
    with mock.patch.object(rig.admin.listener, "close_overdue", side_effect=error) as close_overdue:
        rig.until(lambda: close_overdue.call_count >= 2, "the next check for overdue connections comes")


@pytest.mark.parametrize("fault", [ConfigError("held"), OSError("planted"), RuntimeError("planted")])
def test_extensions_are_reacquired_after_any_error(rig, fault):
    extension = mock.Mock(busy=False)
    extension.suspend.side_effect = RuntimeError("planted")
    extension.resume.side_effect = [fault, None]
    rig.front._extension = extension
    extensions, steps = ExclusiveExtensions(rig.front), []
    extensions.release(lambda: steps.append("released"))
    rig.until(lambda: steps, "the extensions are released")
    assert extensions.state is ExtensionState.RELEASED
    extensions.reacquire(lambda: steps.append("reacquired"))
    rig.until(lambda: extensions.are_held, "the extensions are reacquired")
    assert steps == ["released", "reacquired"]
    rig.front._extension = None


def test_a_slow_answer_in_chunks_has_the_same_deadline(tmp_path):
    directory, now = HandoffDirectory(str(tmp_path), "", ("127.0.0.1", 1)), [0.0]
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as carried:
        with directory.socket_address() as address:
            carried.bind(address)
        carried.listen(1)

        def drop(_sock):
            now[0] += 1_000.0  # each chunk by itself arrives within the timeout
            assert now[0] < 1e5, "the request waits for as long as chunks arrive"
            return messages.Chunk(b"x"), None

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
            assert isinstance(handoff_channel.receive(sock)[0], messages.Hello)
            new.signal(signal.SIGTERM)
            handoff_channel.send(sock, messages.encode(messages.ListenerHandoff()), carried)
            assert handoff_channel.receive(sock) is None  # the channel has ended without SuccessorReady
            sock.close()
            site.until(lambda: new.ended, "the process has ended")
            assert new.child.returncode == 0, new.log
    finally:
        site.close()


def test_a_shutdown_during_the_hand_off_ends_no_connection(rig):
    client = rig.client()
    rig.settle(client)
    connect_successor(rig)
    rig.front.shut_down()
    rig.front._shutdown._since_ms -= graceful_shutdown.LATE_ARRIVAL_MS
    rig.until(lambda: not rig.front.client_port.clients, "the connection is handed off")
    assert not client.ended
    assert rig.front.loop.running
