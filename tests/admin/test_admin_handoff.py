"""Hand-off between a process and its successor: state machine, messages, and failures of the channel."""

import os
import socket
import tempfile
from dataclasses import replace
from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from peers import Buffered, Rig, ScorerPeer, ready

from fawnwharf.admin import handoff_channel, learned_state, predecessor_handoff, service
from fawnwharf.admin import handoff_messages as messages
from fawnwharf.admin.handoff_directory import HandoffDirectory
from fawnwharf.admin.handoff_listener import HandoffListener
from fawnwharf.admin.handoff_request import InheritedState
from fawnwharf.admin.http import AdminRequest
from fawnwharf.admin.predecessor_handoff import HandoffAction, HandoffPhase
from fawnwharf.net.connection_handoff import HandedOffConnection
from fawnwharf.net.event_loop import EventLoop

ADDRESS = ("127.0.0.1", 8000)
HELLO = messages.Hello(messages.VERSION, ADDRESS)


def apply_step(source, step):
    """Apply one event, such as `hello`, `ready` or `lost`; `shutdown@5` and `tick@9` have a time in ms."""
    name, _, at = step.partition("@")
    steps = {
        "hello": lambda: source.on_hello(HELLO),
        "accepts": source.on_open_calls_accepted,
        "extensions": lambda: source.on_hello(
            msgspec.structs.replace(HELLO, needs_exclusive_extensions=True), holds_exclusive_extensions=True
        ),
        "newer": lambda: source.on_hello(messages.Hello(messages.VERSION + 1, ADDRESS)),
        "other": lambda: source.on_hello(messages.Hello(messages.VERSION, ("127.0.0.1", 8001))),
        "ready": source.on_ready,
        "lost": source.on_successor_lost,
        "shutdown": lambda: source.shut_down(float(at)),
        "tick": lambda: source.tick(float(at)),
    }
    return steps[name]()


NONE, SEND, RELEASE, REJECT, STOP, RESUME, PAUSE, READ = (
    HandoffAction.NONE, HandoffAction.SEND_STATE, HandoffAction.RELEASE_EXTENSIONS, HandoffAction.REJECT,
    HandoffAction.STOP_ACCEPTING, HandoffAction.RESUME_ACCEPTING, HandoffAction.PAUSE_CLIENT_READS,
    HandoffAction.RESUME_CLIENT_READS,
)  # fmt: skip
SEQUENCES = [
    ("requested", "hello", [SEND], HandoffPhase.REQUESTED),
    ("handing off", "hello ready", [SEND, STOP], HandoffPhase.HANDING_OFF),
    ("ready without a hello", "ready", [NONE], HandoffPhase.NO_SUCCESSOR),
    ("ready twice", "hello ready ready", [SEND, STOP, NONE], HandoffPhase.HANDING_OFF),
    ("requested twice", "hello hello ready hello", [SEND, REJECT, STOP, REJECT], HandoffPhase.HANDING_OFF),
    ("another version", "newer", [REJECT], HandoffPhase.NO_SUCCESSOR),
    ("another address", "other", [REJECT], HandoffPhase.NO_SUCCESSOR),
    ("shutting down before a request", "shutdown@0 hello", [None, REJECT], HandoffPhase.NO_SUCCESSOR),
    ("shutting down", "hello ready shutdown@0 tick@399", [SEND, STOP, None, NONE],
     HandoffPhase.SHUTTING_DOWN),
    ("paused once", "hello ready shutdown@0 tick@400 tick@500", [SEND, STOP, None, PAUSE, NONE],
     HandoffPhase.SHUTTING_DOWN),
    ("paused by turns", "hello ready shutdown@0 tick@400 tick@579 tick@580 tick@599 tick@600 tick@780",
     [SEND, STOP, None, PAUSE, NONE, READ, NONE, PAUSE, READ], HandoffPhase.SHUTTING_DOWN),
    ("open calls are handed off, nothing is paused", "hello accepts ready shutdown@0 tick@400 tick@500",
     [SEND, None, STOP, None, NONE, NONE], HandoffPhase.SHUTTING_DOWN),
    ("extensions are released", "extensions accepts ready shutdown@0 tick@400",
     [RELEASE, None, STOP, None, NONE],
     HandoffPhase.SHUTTING_DOWN),
    ("shutting down before it is ready", "hello shutdown@0 ready", [SEND, None, STOP],
     HandoffPhase.SHUTTING_DOWN),
    ("no pause while it is not shutting down", "hello ready tick@9999", [SEND, STOP, NONE],
     HandoffPhase.HANDING_OFF),
    ("lost before it was ready", "hello lost", [SEND, NONE], HandoffPhase.NO_SUCCESSOR),
    ("lost after it was ready", "hello ready lost", [SEND, STOP, RESUME], HandoffPhase.NO_SUCCESSOR),
    ("lost at the end", "hello ready shutdown@0 tick@400 lost tick@500",
     [SEND, STOP, None, PAUSE, RESUME, NONE], HandoffPhase.NO_SUCCESSOR),
    ("and the next", "hello ready lost hello ready", [SEND, STOP, RESUME, SEND, STOP],
     HandoffPhase.HANDING_OFF),
]  # fmt: skip


@pytest.mark.parametrize(
    ("steps", "expected", "phase"), [case[1:] for case in SEQUENCES], ids=[case[0] for case in SEQUENCES]
)
def test_actions_of_the_hand_off_source(steps, expected, phase):
    source = predecessor_handoff.PredecessorHandoff(ADDRESS)
    assert [apply_step(source, step) for step in steps.split()] == expected
    assert source.phase is phase
    assert source.is_handing_off == (phase in (HandoffPhase.HANDING_OFF, HandoffPhase.SHUTTING_DOWN))


HAND_OFFS = [
    ("hello", [False] * 4),
    ("hello ready", [True, False, False, False]),
    ("hello ready shutdown@0 tick@399", [True, False, False, False]),
    ("hello ready shutdown@0 tick@400", [True, True, False, False]),
    ("hello ready shutdown@0 tick@400 lost", [False] * 4),
    ("hello accepts", [False] * 4),
    ("hello accepts ready", [True, False, False, False]),
    ("hello accepts ready shutdown@0 tick@399", [True, False, False, False]),
    ("hello accepts ready shutdown@0 tick@400", [True] * 4),
    ("hello accepts ready shutdown@0 tick@400 lost", [False] * 4),
    ("hello accepts ready lost hello ready shutdown@0 tick@400", [True, True, False, False]),
    ("extensions accepts", [False] * 4),
    ("extensions ready", [True, True, False, False]),
    ("extensions accepts ready", [True] * 4),
    ("extensions accepts ready lost hello accepts ready", [True, False, False, False]),
]


@pytest.mark.parametrize(("steps", "expected"), HAND_OFFS, ids=[case[0] for case in HAND_OFFS])
def test_a_connection_is_handed_off_without_open_requests_and_with_unwritten_bytes_at_the_end(
    steps, expected
):
    source = predecessor_handoff.PredecessorHandoff(ADDRESS)
    for step in steps.split():
        apply_step(source, step)
    found = [
        source.may_hand_off(has_open_request=has_open, has_unwritten_response=unwritten)
        for has_open in (False, True)
        for unwritten in (False, True)
    ]
    assert found == expected


def test_a_shutdown_awaits_the_predecessor_for_a_limited_time():
    source = predecessor_handoff.PredecessorHandoff(ADDRESS)
    for step in ("hello", "ready"):
        apply_step(source, step)
    assert not source.awaits_predecessor(0.0)
    source.shut_down(0.0)
    assert [
        source.awaits_predecessor(at)
        for at in (
            0.0,
            predecessor_handoff.OWN_PREDECESSOR_TIMEOUT_MS - 1,
            predecessor_handoff.OWN_PREDECESSOR_TIMEOUT_MS,
        )
    ] == [
        True,
        True,
        False,
    ]


@given(
    st.lists(
        st.sampled_from(["hello", "newer", "other", "ready", "lost", "shutdown@0", "tick@1", "tick@999"])
    )
)
def test_in_any_order_of_events_it_accepts_exactly_while_it_does_not_hand_off(steps):
    source, accepts = predecessor_handoff.PredecessorHandoff(ADDRESS), True
    for step in steps:
        action = apply_step(source, step)
        accepts = accepts if action not in (STOP, RESUME) else action is RESUME
        assert accepts != source.is_handing_off


@given(st.binary(max_size=300_000))
@settings(max_examples=20)
def test_chunks_contain_all_data_in_messages_of_limited_size(data):
    found = [messages.decode(messages.encode(chunk)) for chunk in messages.chunks(data)]
    assert b"".join(chunk.data for chunk in found) == data
    assert all(len(messages.encode(chunk)) < handoff_channel.MAX_MESSAGE_BYTES for chunk in found)


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_rejected(data):
    messages.decode(data)
    assert learned_state.decode(data) is None


# --- failures of the channel, with real sockets in this thread --------------------------------------------


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
    sock.setblocking(False)
    rig.peers.append(sock)
    handoff_channel.send(sock, messages.encode(messages.Hello(messages.VERSION, rig.front.address)), None)
    handoff_channel.send(sock, messages.encode(messages.SuccessorReady()), None)
    rig.until(lambda: rig.admin.is_replaced, "the front end hands off")
    return sock


def connect_predecessor(rig):
    """Connect a predecessor, whose side the test plays."""
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    rig.peers.append(far)
    rig.admin.hot_restart._open_predecessor_channel(near)
    far.setblocking(False)
    return far


def receive_all(sock):
    found = []
    while ready(sock, 0.0):
        found.append(handoff_channel.receive(sock))
    return [message for message, _ in filter(None, found)]


def test_a_successor_that_ends_during_a_hand_off_costs_no_connection(rig):
    client = rig.client()
    client.call()
    rig.until(lambda: rig.scorers[0].runs, "the call runs")
    sock = connect_successor(rig)
    rig.scorers[0].answer(rig.scorers[0].runs[0], body=b"y" * 5000)
    hot_restart = rig.admin.hot_restart
    hot_restart.handoff._hands_off_busy = True
    [held] = rig.front.client_port.clients
    hand_off = rig.front.client_port.hand_off

    def broken(client):
        sock.close()  # between the check and the message
        return replace(hand_off(client), unwritten=b"")

    with (
        mock.patch.object(rig.front.client_port, "hand_off", broken),
        mock.patch.object(messages, "chunks", return_value=[messages.Chunk(b"")]),
    ):
        rig.until(
            lambda: held not in rig.front.client_port.clients,
            "the connection was handed off, and was taken back",
        )
    rig.until(lambda: client.answers, "the call is answered")
    client.call()
    rig.until(lambda: len(rig.scorers[0].runs) == 2, "the next call runs")
    assert not client.ended
    assert not any("fault" in line for line in rig.lines)


def test_a_successor_that_ends_at_once_causes_no_fault(rig):
    for version in (messages.VERSION, messages.VERSION + 1):
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            with rig.admin.hot_restart.directory.socket_address() as address:
                sock.connect(address)
            handoff_channel.send(sock, messages.encode(messages.Hello(version, rig.front.address)), None)
        timers = []
        rig.front.loop.timers.after(50.0, lambda: timers.append(1))  # noqa: B023
        rig.until(lambda: timers and rig.admin.hot_restart.successor is None, "it is closed")  # noqa: B023
    assert not any("fault" in line for line in rig.lines)


def test_chunks_of_an_unsent_connection_are_taken_back_with_it():
    loop = EventLoop(lambda _now_ms, _events: None, mock.Mock())
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    returned = []
    channel = handoff_channel.HandoffChannel(
        loop, near, mock.Mock(), lambda end: returned.extend(end.take_unsent())
    )
    data = os.urandom(900_000)
    for chunk in [
        *messages.chunks(b"sent" * 20),
        messages.ConnectionHandoff(),
        *messages.chunks(data),
        messages.ConnectionHandoff(b"half"),
    ]:
        channel.send(chunk)
    assert channel.has_unsent
    far.close()
    loop.run_iteration(1.0)
    assert b"".join(message.data for message, _ in returned[:-1]) == data
    assert returned[-1][0] == messages.ConnectionHandoff(b"half")
    loop.close()


def test_sending_continues_after_too_many_descriptors_in_transit():
    loop = EventLoop(lambda _now_ms, _events: None, mock.Mock())
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    channel = handoff_channel.HandoffChannel(loop, near, mock.Mock(), mock.Mock())
    with mock.patch.object(handoff_channel, "send", side_effect=OSError(109, "too many references")):
        channel.send(messages.ConnectionHandoff(), near.dup())
    assert channel.has_unsent
    assert not channel.closed
    loop.run_iteration(1.0)
    assert not channel.has_unsent
    assert handoff_channel.receive(far)[1] is not None
    channel.close()
    far.close()
    loop.close()


def test_a_command_reaches_the_process_at_the_other_end_of_three(rig):
    oldest, newest = connect_predecessor(rig), connect_successor(rig)
    receive_all(newest)
    for sock, other in ((newest, oldest), (oldest, newest)):
        command = messages.OperatorCommand("/maintenance/enter", "s-1")
        handoff_channel.send(sock, messages.encode(command), None)
        found = []
        rig.until(lambda: found.extend(receive_all(other)) or command in found, "forwarded")  # noqa: B023
        assert not receive_all(sock)  # the command is not sent back


def test_a_shutdown_waits_for_what_the_predecessor_still_hands_off(rig):
    oldest, newest, received = connect_predecessor(rig), connect_successor(rig), []
    rig.admin.shut_down()
    assert rig.admin.has_handoff_in_progress
    timers = []
    rig.front.loop.timers.after(50.0, lambda: timers.append(1))
    rig.until(lambda: timers, "two ticks have passed")
    # Not complete while the predecessor still hands off.
    assert messages.HandoffComplete() not in receive_all(newest)
    oldest.close()
    rig.until(
        lambda: received.extend(receive_all(newest)) or messages.HandoffComplete() in received,
        "everything is handed off",
    )
    assert rig.admin.has_handoff_in_progress  # until the successor has received everything
    handoff_channel.send(newest, messages.encode(messages.OperatorCommand("/maintenance/enter", "s-1")), None)
    handoff_channel.send(newest, messages.encode(messages.HandoffComplete()), None)
    rig.until(lambda: not rig.admin.has_handoff_in_progress, "the process may end")
    assert rig.admin.commands.scorers_in_maintenance == {"s-1"}


def test_a_connection_adopted_while_reading_is_paused_is_paused_too(rig):
    rig.front.client_port.set_paused(True)
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = Buffered(socket.create_connection(server.getsockname()))
        rig.front.client_port.take_over(HandedOffConnection(server.accept()[0]))
    [adopted] = rig.front.client_port.clients
    assert not adopted.connection._reading
    rig.front.client_port.set_paused(False)
    assert adopted.connection._reading
    client.sock.close()


def test_on_standby_with_a_successor_no_connection_ends_and_no_call_is_rejected(rig):
    client = rig.client()
    client.call()
    rig.until(lambda: rig.scorers[0].runs, "the call runs")
    rig.admin.handle(AdminRequest("POST", "/standby"))
    connect_successor(rig)
    timers = []
    rig.front.loop.timers.after(1_300.0, lambda: timers.append(1))
    rig.until(lambda: timers, "a drain would reject calls")
    client.call()
    rig.until(lambda: len(rig.scorers[0].runs) == 2, "the next call runs")
    assert not client.answers


def test_a_command_before_the_start_reaches_the_predecessor_once(rig):
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    rig.peers.append(far)
    far.setblocking(False)
    inherited = InheritedState(predecessor_socket=near)
    other = service.AdminService(rig.front, ("127.0.0.1", 0), inherited)
    other.handle(AdminRequest("POST", "/maintenance/enter", (("target", "s-1"),)))
    command = messages.OperatorCommand("/maintenance/enter", "s-1")
    assert receive_all(far) == [command]
    other.start()
    assert command not in receive_all(far)
    other.close()
    rig.front.admin = rig.admin


def test_a_process_does_not_overwrite_the_state_file_of_a_newer_one(rig):
    hot_restart = rig.admin.hot_restart
    hot_restart.write_learned_state()
    assert hot_restart.directory.read_learned_state()
    listener = HandoffListener(rig.front.loop, hot_restart.directory, mock.Mock())
    hot_restart.directory.write_learned_state(b"newer")
    hot_restart.write_learned_state()
    assert hot_restart.directory.read_learned_state() == b"newer"
    listener.close()


def test_a_shutdown_without_successor_leaves_the_directory_to_a_newer_process(rig):
    sock = connect_successor(rig)
    listener = HandoffListener(rig.front.loop, rig.admin.hot_restart.directory, mock.Mock())
    rig.admin.shut_down()
    sock.close()
    rig.until(lambda: not rig.admin.is_replaced, "the front end serves alone")
    assert listener.owns_socket_path
    listener.close()
