"""Operators' commands that cross a replacement: a yes of either process holds for both."""

import socket
from unittest import mock

import pytest
from peers import ScorerPeer
from support.handoff_peers import (
    ChannelEnd,
    HandoffRig,
    become_ready,
    connect_predecessor,
    connect_successor,
    ready_successor,
)

from fawnwharf.admin import command_paths as paths
from fawnwharf.admin import handoff_channel, learned_state, service
from fawnwharf.admin import handoff_messages as messages
from fawnwharf.admin.handoff_listener import HandoffListener
from fawnwharf.admin.handoff_request import InheritedState
from fawnwharf.interface import ScorerState
from fawnwharf.net.front_end import scorer_number
from fawnwharf.net.timer_wheel import monotonic_ms

ENTER = messages.OperatorCommand(paths.ENTER_MAINTENANCE, "s-1")
EXIT = messages.OperatorCommand(paths.EXIT_MAINTENANCE, "s-1")
STANDBY = messages.OperatorCommand(paths.STANDBY)
ACTIVE = messages.OperatorCommand(paths.ACTIVE)


@pytest.fixture
def rig():
    rig = HandoffRig(ScorerPeer(copies=4))
    yield rig
    rig.close()


def list_scorer(rig, scorer, seq, **more):
    """Have the change log list a scorer; returns its entry in the router."""
    rig.log.say({"seq": seq, "fleet": {"members": [scorer.member(**more)]}})
    rig.until(lambda: rig.front.change_log.seq == seq, "the event is applied")
    rig.front.loop.run_iteration(0.0)
    return rig.front.router.scorers[scorer_number(scorer.id)]


def in_maintenance(rig):
    return rig.admin.commands.scorers_in_maintenance


# --- the list ---------------------------------------------------------------------------------------


def test_a_scorer_that_another_process_took_out_before_it_is_listed_here_gets_nothing(rig):
    """Guards against a yes of the old process that was forgotten, as the new one's list lacked the scorer."""
    joining = ScorerPeer("s-9", copies=4)
    rig.scorers.append(joining)
    predecessor = connect_predecessor(rig)
    predecessor.send(messages.OperatorCommand(paths.ENTER_MAINTENANCE, "s-9"))
    rig.until(lambda: in_maintenance(rig) == {"s-9"}, "the command is handled")
    assert list_scorer(rig, joining, 2).entry.state is ScorerState.DRAINING
    client = rig.client()
    for number in range(8):
        client.call(row=f"{number:016x}", ttl="900")
    rig.run_for(300.0)
    assert rig.scorers[0].frames
    assert not joining.frames
    predecessor.send(messages.OperatorCommand(paths.EXIT_MAINTENANCE, "s-9"))
    rig.until(lambda: not in_maintenance(rig), "it is brought back")


@pytest.mark.parametrize("where", ["here", "at the other process"])
def test_a_scorer_that_is_brought_back_before_it_is_listed_begins_a_slow_start(rig, where):
    joining = ScorerPeer("s-9", copies=4)
    rig.scorers.append(joining)
    predecessor = connect_predecessor(rig)
    predecessor.send(messages.OperatorCommand(paths.ENTER_MAINTENANCE, "s-9"))
    rig.until(lambda: in_maintenance(rig), "the command is handled")
    before_ms = rig.front.loop.clock.now_ms()
    if where == "here":
        assert rig.command(paths.EXIT_MAINTENANCE, "s-9") == 200
    else:
        predecessor.send(messages.OperatorCommand(paths.EXIT_MAINTENANCE, "s-9"))
    rig.until(lambda: not in_maintenance(rig), "it is brought back")
    entry = list_scorer(rig, joining, 2)
    assert entry.entry.state is ScorerState.READY
    assert entry.started_ms >= before_ms


def test_a_slow_start_after_maintenance_is_handed_over_for_scorers_that_are_not_listed(rig):
    rig.command(paths.ENTER_MAINTENANCE, "s-1")
    rig.command(paths.EXIT_MAINTENANCE, "s-1")
    restarted_ms = rig.front.loop.clock.now_ms()
    rig.run_for(100.0)
    state = rig.admin.hot_restart._encoded_state()
    successor = HandoffRig(ScorerPeer("s-2"))
    try:
        other = service.AdminService(
            successor.front, ("127.0.0.1", 0), InheritedState(encoded_learned_state=state)
        )
        entry = list_scorer(successor, rig.scorers[0], 2)
        assert entry.started_ms == pytest.approx(restarted_ms, abs=50.0)
        other.close()
        successor.front.admin = successor.admin
    finally:
        successor.close()


def test_a_restart_time_ends_with_the_life_of_a_listed_scorer(rig):
    overlay = rig.front.roster_overlay
    rig.command(paths.ENTER_MAINTENANCE, "s-1")
    rig.command(paths.EXIT_MAINTENANCE, "s-1")
    list_scorer(rig, rig.scorers[0], 2, phase="terminated")
    assert overlay.restart_times_ms == {}
    overlay.mark_restarted(["s-1"], 5_000.0)
    list_scorer(rig, rig.scorers[0], 3, phase="terminated")  # told again: it is not listed
    assert overlay.restart_times_ms == {"s-1": 5_000.0}


# --- the start --------------------------------------------------------------------------------------


def test_a_command_before_the_state_is_sent_follows_it(rig):
    """Guards against a command that a starting process took for a rejection of its request."""
    extension = mock.Mock(busy=True)
    rig.front._extension = extension
    successor = connect_successor(rig, needs_exclusive_extensions=True)
    rig.until(lambda: rig.admin.hot_restart.extensions.state.name == "DRAINING", "the request is heard")
    assert rig.command(paths.ENTER_MAINTENANCE, "s-1") == 200
    rig.run_for(50.0)
    assert not successor.of(messages.Message.__args__)
    extension.busy = False
    successor.until(messages.OperatorCommand)
    kinds = [type(message) for message in successor.received]
    assert kinds.index(messages.ListenerHandoff) < kinds.index(messages.OperatorCommand)
    rig.front._extension = None


def test_a_command_between_connect_and_hello_follows_the_state(rig):
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with rig.admin.hot_restart.directory.socket_address() as address:
        sock.connect(address)
    sock.setblocking(False)
    successor = ChannelEnd(rig, sock)
    rig.until(lambda: rig.admin.hot_restart.successor, "it has connected")
    assert rig.command(paths.STANDBY) == 200
    successor.send(messages.Hello(messages.VERSION, rig.front.address))
    assert successor.until(messages.OperatorCommand) == STANDBY
    kinds = [type(message) for message in successor.received]
    assert kinds.index(messages.ListenerHandoff) < kinds.index(messages.OperatorCommand)


def test_a_standby_before_the_start_holds_after_it():
    rig = HandoffRig(ScorerPeer(copies=4))
    front = rig.front
    try:
        front.started = False
        assert rig.command(paths.STANDBY) == 200
        front.start()
        assert not front.client_port.ready
        assert rig.command(paths.ACTIVE) == 200
        assert front.client_port.ready
    finally:
        rig.close()


def test_what_the_previous_process_wrote_after_this_one_had_read_its_file_is_applied(rig):
    directory = rig.admin.hot_restart.directory
    rig.command(paths.ENTER_MAINTENANCE, "s-1")
    known = directory.read_learned_state()
    rig.admin.commands.scorers_in_maintenance.add("s-2")
    rig.command(paths.EXIT_MAINTENANCE, "s-1")  # writes the file
    inherited = InheritedState(directory, encoded_learned_state=known)
    other = service.AdminService(rig.front, ("127.0.0.1", 0), inherited)
    assert other.commands.scorers_in_maintenance == {"s-1"}
    other.start()
    assert other.commands.scorers_in_maintenance == {"s-2"}
    other.close()
    rig.front.admin = rig.admin


# --- the other process --------------------------------------------------------------------------------


@pytest.mark.parametrize("connect", [connect_predecessor, ready_successor])
def test_what_the_other_process_has_answered_comes_before_an_operators_next_call(rig, connect):
    """Guards against a call back that was overtaken by the call before it, made at the other process."""
    other = connect(rig)
    other.send(ENTER)
    assert rig.command(paths.EXIT_MAINTENANCE, "s-1") == 200
    rig.run_for(50.0)
    assert not in_maintenance(rig)
    assert EXIT in other.of(messages.OperatorCommand)


@pytest.mark.parametrize("connect", [connect_predecessor, ready_successor])
def test_a_command_that_changes_nothing_here_reaches_the_other_process(rig, connect):
    other = connect(rig)
    for path in (paths.STANDBY, paths.STANDBY, paths.ACTIVE, paths.ACTIVE):
        assert rig.command(path) == 200
    for path in (paths.ENTER_MAINTENANCE, paths.ENTER_MAINTENANCE, paths.EXIT_MAINTENANCE):
        assert rig.command(path, "s-1") == 200
    assert rig.command(paths.ENTER_MAINTENANCE, "nobody") == 404
    found = other.of(messages.OperatorCommand)
    assert found == [STANDBY, STANDBY, ACTIVE, ACTIVE, ENTER, ENTER, EXIT]


def test_a_command_on_a_scorer_leaves_the_readiness_of_a_replaced_process(rig):
    """Readiness checks on its connections are meant for the successor."""
    rig.called(rig.scorers[0])
    ready_successor(rig)
    rig.front.shut_down()
    assert rig.command(paths.ENTER_MAINTENANCE, "s-1") == 200
    assert rig.front.client_port.ready


@pytest.mark.parametrize("path", [paths.STANDBY, paths.ACTIVE])
def test_standby_and_its_end_at_the_successor_hold_when_the_successor_is_lost(rig, path):
    rig.command(paths.STANDBY if path == paths.ACTIVE else paths.ACTIVE)
    client = rig.called(rig.scorers[0])
    successor = ready_successor(rig)
    successor.send(messages.OperatorCommand(path))
    successor.close()
    rig.until(lambda: not rig.admin.is_replaced, "the front end serves alone")
    assert rig.front.client_port.ready == (path == paths.ACTIVE)
    rig.scorers[0].answer(rig.scorers[0].runs[0])
    rig.until(lambda: client.answers, "the call is answered")
    if path == paths.STANDBY:
        rig.until(lambda: client.ended, "the drain closes idle connections")
    else:
        rig.run_for(service.draining.CLOSE_IDLE_FROM_MS + 100.0)
        assert not client.ended


def test_the_last_commands_of_a_process_that_ends_are_heard(rig):
    """An end that closes with unread messages resets the channel; what it has sent is still there."""
    successor = ready_successor(rig)
    rig.command(paths.EXIT_MAINTENANCE, "s-1")  # unread at the other end
    successor.send(ENTER)
    successor.sock.close()
    rig.until(lambda: not rig.admin.is_replaced, "the front end serves alone")
    assert in_maintenance(rig) == {"s-1"}


def test_a_process_that_has_handed_off_everything_forwards_commands_until_it_ends(rig):
    successor = ready_successor(rig)
    rig.front.shut_down()
    successor.until(messages.HandoffComplete)
    successor.send(messages.HandoffComplete())
    rig.until(lambda: not rig.admin.has_handoff_in_progress, "the process may end")
    with mock.patch.object(handoff_channel, "send", side_effect=BlockingIOError):
        assert rig.command(paths.ENTER_MAINTENANCE, "s-1") == 200
        assert rig.admin.has_handoff_in_progress  # until the command is on its way
    rig.until(lambda: not rig.admin.has_handoff_in_progress, "the command is sent")
    assert successor.of(messages.OperatorCommand) == [ENTER]


def test_the_state_names_scorers_that_were_taken_out_while_the_request_was_on_its_way(rig):
    assert rig.command(paths.ENTER_MAINTENANCE, "s-1") == 200
    successor = connect_successor(rig)
    message = successor.until(messages.ListenerHandoff)
    learned = learned_state.decode(successor.data_before(message))
    assert learned.scorers_in_maintenance == ["s-1"]
    become_ready(successor)


# --- a process that was replaced without a hand-off -----------------------------------------------------


def test_commands_reach_a_newer_process_without_a_channel_and_come_back_by_its_file(rig):
    directory, newer = rig.admin.hot_restart.directory, []
    listener = HandoffListener(rig.front.loop, directory, newer.append)
    try:
        assert rig.command(paths.ENTER_MAINTENANCE, "s-1") == 200
        rig.until(lambda: newer, "the newer process is told")
        assert handoff_channel.receive(newer[0]).message == ENTER
        assert directory.read_learned_state() == b""  # the file belongs to the newer process
        state = learned_state.LearnedState(1.0, ["s-1", "s-2"])
        directory.write_learned_state(learned_state.encode(state))
        rig.until(lambda: in_maintenance(rig) == {"s-1", "s-2"}, "the newer process's command is applied")
        directory.write_learned_state(learned_state.encode(learned_state.LearnedState(2.0, ["s-2"])))
        rig.until(lambda: in_maintenance(rig) == {"s-2"}, "its next command, too")
    finally:
        listener.close()
        for sock in newer:
            sock.close()


def test_a_call_back_at_a_newer_process_without_a_channel_ends_what_this_process_was_told(rig):
    assert rig.command(paths.ENTER_MAINTENANCE, "s-1") == 200
    directory = rig.admin.hot_restart.directory
    listener = HandoffListener(rig.front.loop, directory, mock.Mock())
    try:
        state = learned_state.LearnedState(monotonic_ms(), [])
        directory.write_learned_state(learned_state.encode(state))
        rig.until(lambda: not in_maintenance(rig), "the call back is applied")
    finally:
        listener.close()


def test_a_newer_process_handles_a_command_of_an_older_one_without_a_hand_off(rig):
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        with rig.admin.hot_restart.directory.socket_address() as address:
            sock.connect(address)
        handoff_channel.send(sock, messages.encode(ENTER), None)
    rig.until(lambda: in_maintenance(rig), "the command is handled")
    client = rig.client()
    rig.settle(client)
    assert not any("fault" in line for line in rig.lines)
    rig.until(lambda: rig.admin.hot_restart.successor is None, "the visitor has gone")
    assert not rig.admin.is_replaced
