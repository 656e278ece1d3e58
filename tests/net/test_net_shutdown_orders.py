"""The graceful shutdown and the events that cross it, each order forced in the test's own thread."""

import signal
import socket
from unittest import mock

import pytest
from peers import ROW, SETTINGS, Buffered, ClientPeer, Rig, ScorerPeer, handle_frame

from fawnwharf.net import graceful_shutdown

SLOW_CLASS = {"name": "slow", "effect": "idempotent", "give_up": 60_000.0, "promise": 50_000.0}


@pytest.fixture
def rig():
    rig = Rig(ScorerPeer())
    yield rig
    rig.close()


def wait_until_stopped(rig):
    """Run the loop until the front end has stopped it."""
    rig.until(lambda: not rig.front.loop.running, "the front end has stopped")


def end_late_arrivals(rig):
    """Skip the time for late arrivals, so that the front end begins to end connections."""
    since_ms = rig.front._shutdown._since_ms
    rig.front._shutdown._since_ms = min(since_ms, since_ms - graceful_shutdown.LATE_ARRIVAL_MS)


def run_call(rig, client, **fields):
    """Send a call, wait until it runs at the scorer, and return its sequence number."""
    before = len(rig.scorers[0].runs)
    seqid = client.call(**fields)
    rig.until(lambda: len(rig.scorers[0].runs) > before, "the call runs")
    return seqid


def test_the_limit_of_the_shutdown_follows_the_longest_deadline():
    rig = Rig(ScorerPeer(), settings={"classes": [*SETTINGS["classes"], SLOW_CLASS]})
    most_ms = graceful_shutdown.TTL_TOLERANCE * SLOW_CLASS["give_up"]
    assert (
        graceful_shutdown.limit_ms(rig.front.deployment.settings)
        > graceful_shutdown.LATE_ARRIVAL_MS + most_ms
    )
    client = rig.client()
    run_call(rig, client, op="slow", ttl="66000")
    rig.front.shut_down()
    rig.front._shutdown._since_ms -= 21_000.0  # more than MIN_LIMIT_MS
    rig.until(lambda: rig.front.client_port.listener is None, "the listener is closed")
    rig.scorers[0].answer(rig.scorers[0].runs[0], body=b"late")
    wait_until_stopped(rig)
    rig.until(lambda: client.answers and client.ended, "the answer and then the end are read")
    assert client.answers[0][1:] == ("answer", {1: b"late", 2: {}, 3: True})
    rig.close()


def test_an_idle_connection_is_half_closed_and_the_loop_stops_when_its_peer_closes(rig):
    client = rig.client()
    rig.settle(client)
    rig.front.shut_down()
    end_late_arrivals(rig)
    rig.until(lambda: client.ended, "the client reads the half-close")
    assert rig.front.loop.running and rig.front.client_port.clients  # still read until the peer closes
    client.sock.close()
    rig.until(lambda: not rig.front.client_port.clients, "the client's close is read")
    wait_until_stopped(rig)


def test_a_request_unread_in_the_kernel_is_served_before_its_connection_ends(rig):
    client = rig.client()
    rig.settle(client)
    rig.front.shut_down()
    end_late_arrivals(rig)
    [server_side] = rig.front.client_port.clients
    server_side.connection.set_reading(False)
    client.call()  # unread at each scan
    scanned = []
    rig.front.loop.timers.after(3 * graceful_shutdown.SCAN_MS, lambda: scanned.append(1))
    rig.until(lambda: scanned, "several scans have run")
    assert not client.ended and not server_side.connection.finishing
    server_side.connection.set_reading(True)
    rig.until(lambda: client.answers and client.ended, "the answer and then the end are read")
    client.sock.close()
    wait_until_stopped(rig)


def test_a_partial_request_is_served_or_times_out(rig):
    client, silent = rig.client(), rig.client()
    for each in (client, silent):  # a connection that has sent no message is not closed at first
        rig.settle(each)
        each.answers.clear()
    frame = handle_frame(1, {"op": "view", "call": "0" * 15 + "1", "ttl": "8000", "org": "acme", "row": ROW})
    client.sock.sendall(frame[:20])
    silent.sock.sendall(frame[:20])
    rig.until(
        lambda: sum(c.has_partial_message for c in rig.front.client_port.clients) == 2,
        "both partial messages are read",
    )
    rig.front.shut_down()
    end_late_arrivals(rig)
    rig.until(lambda: rig.front.client_port.listener is None, "the listener is closed")
    assert not client.ended
    client.sock.sendall(frame[20:])
    rig.until(lambda: client.answers and client.ended, "the answer and then the end are read")
    assert rig.front.loop.running
    for server_side in rig.front.client_port.clients:
        server_side.timeouts.start_ms -= 60_000.0  # past the timeout of a partial message
    rig.until(lambda: silent.ended, "the silent connection is closed")
    client.sock.close()
    silent.sock.close()
    wait_until_stopped(rig)


def test_connections_in_the_accept_queue_are_served_before_the_listener_closes(rig):
    rig.front.client_port.set_accepting(False)  # so that the connection stays in the accept queue
    late = ClientPeer(rig.front.address)
    rig.clients.append(late)
    late.call()
    rig.front.shut_down()
    end_late_arrivals(rig)
    rig.until(lambda: late.answers and late.ended, "the answer and then the end are read")
    assert late.kinds()[1] in ("answer", "throttled")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(rig.front.address)
    late.sock.close()
    wait_until_stopped(rig)


def test_the_listener_stays_open_until_there_is_capacity_for_its_queue(rig):
    port = rig.front.client_port
    client = rig.client()
    run_call(rig, client)
    port.set_accepting(False)
    port.max_connections = 1  # the only connection has an open request
    late = ClientPeer(rig.front.address)
    rig.clients.append(late)
    late.call()
    assert not port.close_listener()
    rig.front.shut_down()
    end_late_arrivals(rig)
    rig.scorers[0].answer(rig.scorers[0].runs[0])
    rig.until(lambda: client.answers and late.answers, "both requests are answered")
    rig.until(lambda: port.listener is None, "the queue is empty and the listener closed")


def test_no_answer_is_lost_by_bytes_that_arrive_after_the_half_close(rig):
    client = rig.client()
    run_call(rig, client)
    rig.front.shut_down()
    end_late_arrivals(rig)
    rig.scorers[0].answer(rig.scorers[0].runs[0], body=b"x" * 40_000)
    [server_side] = rig.front.client_port.clients
    rig.until(lambda: server_side.connection.finishing, "the connection is half-closed")
    client.sock.sendall(b"\0" * 200_000)  # a close with these bytes unread would reset the connection
    rig.until(lambda: client.ended, "the client has read everything")
    assert client.kinds() == {1: "answer"}


def test_a_slow_reader_gets_its_whole_answer_before_the_end(rig):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    sock.connect(rig.front.address)
    client = ClientPeer.__new__(ClientPeer)
    Buffered.__init__(client, sock)
    client.answers, client.seqid = [], 0
    run_call(rig, client)
    rig.scorers[0].answer(rig.scorers[0].runs[0], body=b"x" * 60_000)
    [server_side] = rig.front.client_port.clients
    rig.until(lambda: server_side.connection.unsent(), "the system has a part of the answer unsent")
    rig.front.shut_down()
    end_late_arrivals(rig)
    scanned = []
    rig.front.loop.timers.after(5 * graceful_shutdown.SCAN_MS, lambda: scanned.append(1))
    rig.until(lambda: scanned, "several scans have run")
    assert not server_side.connection.finishing and rig.front.loop.running
    # The shutdown does not wait for a client that reads nothing.
    with mock.patch.object(graceful_shutdown, "STALLED_MS", -1.0):
        rig.until(lambda: server_side.connection.finishing, "the connection is half-closed")
    rig.clients.append(client)
    rig.until(lambda: client.answers, "the whole answer is read")
    sock.close()
    wait_until_stopped(rig)


def test_a_call_on_a_busy_connection_is_rejected_after_the_late_arrivals(rig):
    client = rig.client()
    first = run_call(rig, client)
    rig.front.shut_down()
    end_late_arrivals(rig)
    rig.until(lambda: rig.front.client_port.listener is None, "the listener is closed")
    second = client.call()
    rig.until(lambda: second in client.kinds(), "the second call is answered")
    assert client.kinds() == {second: "throttled"}
    rig.scorers[0].answer(rig.scorers[0].runs[0])
    rig.until(lambda: client.ended, "the connection ends")
    assert client.kinds() == {first: "answer", second: "throttled"}
    client.sock.close()
    wait_until_stopped(rig)


def test_a_second_shutdown_changes_nothing(rig):
    client = rig.client()
    run_call(rig, client)
    rig.front.shut_down()
    first = rig.front._shutdown
    rig.front.shut_down()
    assert rig.front._shutdown is first and rig.lines.count("shutting down") == 1
    rig.scorers[0].answer(rig.scorers[0].runs[0])
    end_late_arrivals(rig)
    rig.until(lambda: client.answers and client.ended, "the answer and then the end are read")


def test_an_error_in_a_reload_does_not_lose_a_signal_read_with_it(rig):
    rig.front._reread_configuration = mock.Mock(side_effect=RuntimeError("injected"))
    handlers = {}
    with (
        mock.patch.object(rig.front, "start"),
        mock.patch.object(rig.front, "close"),
        mock.patch.object(rig.front.loop, "handle_signals", handlers.update),
        mock.patch.object(rig.front.loop, "run"),
    ):
        rig.front.serve()
    for number in (signal.SIGHUP, signal.SIGTERM):  # as the loop does with signals that it reads together
        handlers[number]()
    assert rig.front.shutting_down


def test_a_reload_during_the_shutdown_does_not_accept_requests_again(rig):
    rig.front._reread_configuration = lambda: rig.front.deployment
    rig.front.shut_down()
    end_late_arrivals(rig)
    rig.until(lambda: rig.front.client_port.listener is None, "the listener is closed")
    rig.front.reload()
    assert not rig.front.client_port.accepts_requests and rig.front.client_port.listener is None
    wait_until_stopped(rig)


def test_scans_and_maintenance_continue_after_an_error(rig):
    error = RuntimeError("injected")
    with (
        mock.patch.object(rig.front.client_port, "run_maintenance", side_effect=error) as maintenance,
        mock.patch.object(rig.front.scorer_pool, "run_maintenance", side_effect=error),
    ):
        rig.until(lambda: maintenance.call_count >= 2, "the maintenance has run again")
    rig.front.shut_down()
    with mock.patch.object(
        rig.front.client_port, "has_unwritten", side_effect=RuntimeError("injected")
    ) as scan:
        end_late_arrivals(rig)
        rig.until(lambda: scan.call_count >= 2, "the scan has run again")
    wait_until_stopped(rig)


def test_open_requests_are_answered_when_the_loop_stops_early(rig):
    client = rig.client()
    seqid = run_call(rig, client)
    [server_side] = rig.front.client_port.clients
    rig.front.client_port.close()
    rig.until(lambda: client.ended, "the client reads the end")
    assert client.kinds() == {seqid: "broken"}
    assert server_side.connection.closed
