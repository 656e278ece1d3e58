"""SIGTERM and what crosses it, each order forced in the test's own thread."""

import signal
import socket
from unittest import mock

import pytest
from peers import ROW, SETTINGS, Buffered, ClientPeer, Rig, ScorerPeer, handle_frame

from fawnwharf.net import graceful_shutdown

SLOW_CLASS = {"name": "slow", "effect": "idempotent", "give_up": 60_000.0, "promise": 50_000.0}


@pytest.fixture
def rig():
    made = Rig(ScorerPeer())
    yield made
    made.close()


def stopped(rig):
    """Turn until the front end has ended by itself."""
    rig.until(lambda: not rig.front.loop.running, "the front end has ended")


def arrivals_over(rig):
    """The late arrivals are in: from here on connections are ended."""
    since_ms = rig.front._shutdown._since_ms
    rig.front._shutdown._since_ms = min(since_ms, since_ms - graceful_shutdown.LATE_ARRIVAL_MS)


def asked(rig, client, **fields):
    """A call that is out at the scorer."""
    before = len(rig.scorers[0].runs)
    seqid = client.call(**fields)
    rig.until(lambda: len(rig.scorers[0].runs) > before, "it runs")
    return seqid


def test_the_limit_of_an_end_follows_the_longest_class():
    rig = Rig(ScorerPeer(), settings={"classes": [*SETTINGS["classes"], SLOW_CLASS]})
    most_ms = graceful_shutdown.TTL_TOLERANCE * SLOW_CLASS["give_up"]
    assert (
        graceful_shutdown.limit_ms(rig.front.deployment.settings)
        > graceful_shutdown.LATE_ARRIVAL_MS + most_ms
    )
    client = rig.client()
    asked(rig, client, op="slow", ttl="66000")
    rig.front.shut_down()
    rig.front._shutdown._since_ms -= 21_000.0  # longer than the limit that once was the same for all classes
    rig.until(lambda: rig.front.client_port.listener is None, "the listener is closed")
    rig.scorers[0].answer(rig.scorers[0].runs[0], body=b"late")
    stopped(rig)
    rig.until(lambda: client.answers and client.ended, "the answer comes, then the end")
    assert client.answers[0][1:] == ("answer", {1: b"late", 2: {}, 3: True})
    rig.close()


def test_a_kept_connection_gets_a_half_close_and_the_loop_ends_with_its_peer(rig):
    client = rig.client()
    rig.settle(client)
    rig.front.shut_down()
    arrivals_over(rig)
    rig.until(lambda: client.ended, "its end is seen")
    assert rig.front.loop.running and rig.front.client_port.clients  # it is read on until the peer ends, too
    client.sock.close()
    rig.until(lambda: not rig.front.client_port.clients, "the peer's end is read")
    stopped(rig)


def test_a_request_unread_in_the_kernel_is_served_before_its_connection_ends(rig):
    client = rig.client()
    rig.settle(client)
    rig.front.shut_down()
    arrivals_over(rig)
    [server_side] = rig.front.client_port.clients
    server_side.connection.set_reading(False)
    client.call()  # unread at each look
    looks = []
    rig.front.loop.timers.after(3 * graceful_shutdown.SCAN_MS, lambda: looks.append(1))
    rig.until(lambda: looks, "some looks have passed")
    assert not client.ended and not server_side.connection.finishing
    server_side.connection.set_reading(True)
    rig.until(lambda: client.answers and client.ended, "it has its answer, then the end")
    client.sock.close()
    stopped(rig)


def test_a_request_in_pieces_that_has_begun_is_served_or_ends_by_its_own_time(rig):
    client, silent = rig.client(), rig.client()
    for each in (client, silent):  # one that has never spoken is young for a while, and not ended either
        rig.settle(each)
        each.answers.clear()
    frame = handle_frame(1, {"op": "view", "call": "0" * 15 + "1", "ttl": "8000", "org": "acme", "row": ROW})
    client.sock.sendall(frame[:20])
    silent.sock.sendall(frame[:20])
    rig.until(
        lambda: sum(c.has_partial_message for c in rig.front.client_port.clients) == 2, "both have begun"
    )
    rig.front.shut_down()
    arrivals_over(rig)
    rig.until(lambda: rig.front.client_port.listener is None, "the listener is closed")
    assert not client.ended
    client.sock.sendall(frame[20:])
    rig.until(lambda: client.answers and client.ended, "it has its answer, then the end")
    assert rig.front.loop.running
    for server_side in rig.front.client_port.clients:
        server_side._timeout_start_ms -= 60_000.0  # the time of a message in pieces is over
    rig.until(lambda: silent.ended, "the one that went silent is ended")
    client.sock.close()
    silent.sock.close()
    stopped(rig)


def test_what_lies_in_the_accept_queue_is_served_before_the_listener_closes(rig):
    rig.front.client_port.set_accepting(False)  # the last turn did not come to it
    late = ClientPeer(rig.front.address)
    rig.clients.append(late)
    late.call()
    rig.front.shut_down()
    arrivals_over(rig)
    rig.until(lambda: late.answers and late.ended, "it has its answer, then the end")
    assert late.kinds()[1] in ("answer", "throttled")
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(rig.front.address)
    late.sock.close()
    stopped(rig)


def test_the_listener_stays_until_there_is_room_for_its_queue(rig):
    port = rig.front.client_port
    client = rig.client()
    asked(rig, client)
    port.set_accepting(False)
    port.max_connections = 1  # and the one that is here has a request open
    late = ClientPeer(rig.front.address)
    rig.clients.append(late)
    late.call()
    assert not port.close_listener()
    rig.front.shut_down()
    arrivals_over(rig)
    rig.scorers[0].answer(rig.scorers[0].runs[0])
    rig.until(lambda: client.answers and late.answers, "both have their answers")
    rig.until(lambda: port.listener is None, "the queue is seen empty")


def test_no_answer_is_destroyed_by_what_comes_after_the_end(rig):
    client = rig.client()
    asked(rig, client)
    rig.front.shut_down()
    arrivals_over(rig)
    rig.scorers[0].answer(rig.scorers[0].runs[0], body=b"x" * 40_000)
    [server_side] = rig.front.client_port.clients
    rig.until(lambda: server_side.connection.finishing, "the half-close is out")
    client.sock.sendall(b"\0" * 200_000)  # crosses it: a close with this unread would reset the connection
    rig.until(lambda: client.ended, "all is read")
    assert client.kinds() == {1: "answer"}


def test_a_slow_reader_gets_its_whole_answer_before_the_end(rig):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    sock.connect(rig.front.address)
    client = ClientPeer.__new__(ClientPeer)
    Buffered.__init__(client, sock)
    client.answers, client.seqid = [], 0
    asked(rig, client)
    rig.scorers[0].answer(rig.scorers[0].runs[0], body=b"x" * 60_000)
    [server_side] = rig.front.client_port.clients
    rig.until(lambda: server_side.connection.unsent(), "the system holds a part of it")
    rig.front.shut_down()
    arrivals_over(rig)
    looks = []
    rig.front.loop.timers.after(5 * graceful_shutdown.SCAN_MS, lambda: looks.append(1))
    rig.until(lambda: looks, "some looks have passed")
    assert not server_side.connection.finishing and rig.front.loop.running
    with mock.patch.object(
        graceful_shutdown, "STALLED_MS", -1.0
    ):  # a reader that takes none at all is not waited for
        rig.until(lambda: server_side.connection.finishing, "it is ended all the same")
    rig.clients.append(client)
    rig.until(lambda: client.answers, "all of it has come")
    sock.close()
    stopped(rig)


def test_a_call_on_a_connection_that_never_falls_idle_is_refused_once_arrivals_are_over(rig):
    client = rig.client()
    first = asked(rig, client)
    rig.front.shut_down()
    arrivals_over(rig)
    rig.until(lambda: rig.front.client_port.listener is None, "the listener is closed")
    second = client.call()
    rig.until(lambda: second in client.kinds(), "the second one is answered")
    assert client.kinds() == {second: "throttled"}
    rig.scorers[0].answer(rig.scorers[0].runs[0])
    rig.until(lambda: client.ended, "the connection ends")
    assert client.kinds() == {first: "answer", second: "throttled"}
    client.sock.close()
    stopped(rig)


def test_told_again_it_ends_as_it_would_have(rig):
    client = rig.client()
    asked(rig, client)
    rig.front.shut_down()
    first = rig.front._shutdown
    rig.front.shut_down()
    assert rig.front._shutdown is first and rig.lines.count("shutting down") == 1
    rig.scorers[0].answer(rig.scorers[0].runs[0])
    arrivals_over(rig)
    rig.until(lambda: client.answers and client.ended, "it has its answer, then the end")


def test_a_fault_in_a_reload_does_not_swallow_the_signal_read_along_with_it(rig):
    rig.front._reread_configuration = mock.Mock(side_effect=RuntimeError("planted"))
    handlers = {}
    with (
        mock.patch.object(rig.front, "start"),
        mock.patch.object(rig.front, "close"),
        mock.patch.object(rig.front.loop, "handle_signals", handlers.update),
        mock.patch.object(rig.front.loop, "run"),
    ):
        rig.front.serve()
    for number in (signal.SIGHUP, signal.SIGTERM):  # as the loop does with what it reads in one go
        handlers[number]()
    assert rig.front.shutting_down


def test_a_reload_while_it_ends_moves_the_change_log_and_brings_nothing_back(rig):
    rig.front._reread_configuration = lambda: rig.front.deployment
    rig.front.shut_down()
    arrivals_over(rig)
    rig.until(lambda: rig.front.client_port.listener is None, "the listener is closed")
    rig.front.reload()
    assert not rig.front.client_port.accepts_requests and rig.front.client_port.listener is None
    stopped(rig)


def test_a_fault_in_a_look_or_in_tidying_is_not_its_last_one(rig):
    planted = RuntimeError("planted")
    with (
        mock.patch.object(rig.front.client_port, "run_maintenance", side_effect=planted) as port,
        mock.patch.object(rig.front.scorer_pool, "run_maintenance", side_effect=planted),
    ):
        rig.until(lambda: port.call_count >= 2, "the port is tidied again, whatever the pool does")
    rig.front.shut_down()
    with mock.patch.object(
        rig.front.client_port, "has_unwritten", side_effect=RuntimeError("planted")
    ) as look:
        arrivals_over(rig)
        rig.until(lambda: look.call_count >= 2, "it looks again")
    stopped(rig)


def test_what_is_open_when_the_loop_stops_early_is_answered(rig):
    client = rig.client()
    seqid = asked(rig, client)
    [server_side] = rig.front.client_port.clients
    rig.front.client_port.close()
    rig.until(lambda: client.ended, "its end is seen")
    assert client.kinds() == {seqid: "broken"}
    assert server_side.connection.closed
