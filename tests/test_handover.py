"""The talk between a process and the one that takes its place: tables, memory, and each way it may break."""

import os
import socket
import tempfile
from dataclasses import replace
from unittest import mock

import pytest
from bench import Drive
from hypothesis import given, settings
from hypothesis import strategies as st
from peers import Buffered, Rig, ScorerPeer, ready

from fawnwharf.admin import handoff_channel, service
from fawnwharf.admin import handoff_messages as h
from fawnwharf.admin import learned_state as m
from fawnwharf.admin.handoff_messages import HandoffAction, HandoffPhase
from fawnwharf.admin.hot_restart import HotRestart, InheritedState
from fawnwharf.admin.http import AdminRequest
from fawnwharf.net.handed import HandedConnection
from fawnwharf.net.loop import Loop

HERE = ("127.0.0.1", 8000)
HELLO = h.Hello(h.VERSION, HERE)


def do(giver, word):
    """One step, by its word: `leave@5` at a time, `hello`, `other`, `ready`, `lost`, `look@9`."""
    name, _, at = word.partition("@")
    steps = {
        "hello": lambda: giver.hello(HELLO),
        "newer": lambda: giver.hello(h.Hello(h.VERSION + 1, HERE)),
        "other": lambda: giver.hello(h.Hello(h.VERSION, ("127.0.0.1", 8001))),
        "ready": giver.ready,
        "lost": giver.lost,
        "leave": lambda: giver.leave(float(at)),
        "look": lambda: giver.look(float(at)),
    }
    return steps[name]()


N, ALL, AWAY, STOP, AGAIN, PAUSE = (
    HandoffAction.NOTHING, HandoffAction.TELL_ALL, HandoffAction.TURN_AWAY,
    HandoffAction.STOP_ACCEPTING, HandoffAction.ACCEPT_AGAIN, HandoffAction.PAUSE,
)  # fmt: skip
GIVER = [
    ("asked", "hello", [ALL], HandoffPhase.ASKED),
    ("given", "hello ready", [ALL, STOP], HandoffPhase.GIVEN),
    ("ready without a hello", "ready", [N], HandoffPhase.ALONE),
    ("ready twice", "hello ready ready", [ALL, STOP, N], HandoffPhase.GIVEN),
    ("asked twice", "hello hello ready hello", [ALL, AWAY, STOP, AWAY], HandoffPhase.GIVEN),
    ("another version", "newer", [AWAY], HandoffPhase.ALONE),
    ("another address", "other", [AWAY], HandoffPhase.ALONE),
    ("one that leaves gives nothing new", "leave@0 hello", [None, AWAY], HandoffPhase.ALONE),
    ("told to end", "hello ready leave@0 look@399", [ALL, STOP, None, N], HandoffPhase.ENDING),
    ("paused once", "hello ready leave@0 look@400 look@500", [ALL, STOP, None, PAUSE, N],
     HandoffPhase.ENDING),
    ("told to end before it was ready", "hello leave@0 ready", [ALL, None, STOP], HandoffPhase.ENDING),
    ("no pause while nobody asked it to end", "hello ready look@9999", [ALL, STOP, N], HandoffPhase.GIVEN),
    ("lost before it was ready", "hello lost", [ALL, N], HandoffPhase.ALONE),
    ("lost after", "hello ready lost", [ALL, STOP, AGAIN], HandoffPhase.ALONE),
    ("lost at the end", "hello ready leave@0 look@400 lost look@500", [ALL, STOP, None, PAUSE, AGAIN, N],
     HandoffPhase.ALONE),
    ("and the next", "hello ready lost hello ready", [ALL, STOP, AGAIN, ALL, STOP], HandoffPhase.GIVEN),
]  # fmt: skip


@pytest.mark.parametrize(("words", "wanted", "phase"), [c[1:] for c in GIVER], ids=[c[0] for c in GIVER])
def test_what_follows_for_the_old_process(words, wanted, phase):
    giver = h.HandoffSource(HERE)
    assert [do(giver, word) for word in words.split()] == wanted
    assert giver.phase is phase
    assert giver.gives == (phase in (HandoffPhase.GIVEN, HandoffPhase.ENDING))


MAY = [
    ("hello", [False] * 4),
    ("hello ready", [True, False, False, False]),
    ("hello ready leave@0 look@399", [True, False, False, False]),
    ("hello ready leave@0 look@400", [True, True, False, False]),
    ("hello ready leave@0 look@400 lost", [False] * 4),
]


@pytest.mark.parametrize(("words", "wanted"), MAY, ids=[case[0] for case in MAY])
def test_a_connection_goes_over_with_nothing_open_and_what_is_unwritten_at_the_end_only(words, wanted):
    giver = h.HandoffSource(HERE)
    for word in words.split():
        do(giver, word)
    found = [giver.may_give(*case) for case in ((False, False), (False, True), (True, False), (True, True))]
    assert found == wanted


def test_one_that_ends_awaits_the_process_before_it_for_a_while():
    giver = h.HandoffSource(HERE)
    for word in ("hello", "ready"):
        do(giver, word)
    assert not giver.awaits(0.0)
    giver.leave(0.0)
    assert [giver.awaits(at) for at in (0.0, h.PREDECESSOR_TIMEOUT_MS - 1, h.PREDECESSOR_TIMEOUT_MS)] == [
        True,
        True,
        False,
    ]


@given(
    st.lists(st.sampled_from(["hello", "newer", "other", "ready", "lost", "leave@0", "look@1", "look@999"]))
)
def test_whatever_comes_in_whatever_order_it_accepts_exactly_while_it_does_not_give(words):
    giver, accepts = h.HandoffSource(HERE), True
    for word in words:
        what = do(giver, word)
        accepts = accepts if what not in (STOP, AGAIN) else what is AGAIN
        assert accepts != giver.gives


@given(st.binary(max_size=300_000))
@settings(max_examples=20)
def test_parts_make_the_whole_again(data):
    found = [h.decode(h.encode(part)) for part in h.chunks(data)]
    assert b"".join(part.data for part in found) == data
    assert all(len(h.encode(part)) < handoff_channel.MAX_MESSAGE_BYTES for part in found)


@given(st.binary(max_size=200))
def test_bytes_from_anywhere_are_a_message_or_none(data):
    h.decode(data)
    assert m.decode(data) is None


# --- memory -------------------------------------------------------------------------------------------


def used():
    """A module that has served for a while."""
    drive = Drive(workers=4)
    for turn in range(6):
        worker = drive.warm(f"f{turn % 3}")
        drive.now += 40.0
    drive.router.workers[worker].strain, drive.router.workers[worker].strain_ms = 2.5, drive.now - 30.0
    return drive


def near(one, two):
    """Equal but for the rounding of ages."""
    if isinstance(one, float):
        return two == pytest.approx(one, abs=1e-6)
    if isinstance(one, list | tuple):
        return len(one) == len(two) and all(map(near, one, two))
    if isinstance(one, dict):
        return one.keys() == two.keys() and all(near(one[key], two[key]) for key in one)
    if hasattr(one, "__struct_fields__"):
        return all(near(getattr(one, name), getattr(two, name)) for name in one.__struct_fields__)
    return one == two


@pytest.mark.parametrize("later", [0.0, 700.0])
def test_what_was_learnt_is_the_same_in_the_next_process_whose_clock_is_another(later):
    drive = used()
    told = m.decode(m.encode(m.capture(drive.router, {"s-2", "s-1"}, drive.now, 5_000.0)))
    other = Drive(workers=4).router
    m.restore(other, told, 123_456.0 + later, 5_000.0 + later)
    again = m.capture(other, set(told.out), 123_456.0, 5_000.0)
    assert told.out == ["s-1", "s-2"] and len(told.functions) == 3 and any(f.places for f in told.functions)
    told.scorers.sort(key=lambda s: s.worker)
    again.scorers.sort(key=lambda s: s.worker)
    assert near(told, again)


def test_scorers_that_the_new_roster_does_not_have_are_left_aside():
    drive = used()
    told = m.capture(drive.router, set(), drive.now, 0.0)
    other = Drive(workers=1).router
    m.restore(other, told, 500.0, 0.0)
    assert {id for fn in other.functions.values() for id in fn.instances} <= {1}


@given(at=st.integers(0, 400), bit=st.integers(0, 7), cut=st.booleans())
def test_a_memory_that_was_changed_anywhere_is_none(at, bit, cut):
    data = bytearray(m.encode(m.LearnedState(1.0, ["s-1"], taken=[1.0] * 50)))
    at %= len(data)
    if cut:
        del data[at:]
    else:
        data[at] ^= 1 << bit
    assert m.decode(bytes(data)) is None


@pytest.mark.parametrize(("age", "wanted"), [(0.0, True), (20_000.0, True), (20_001.0, False), (-1.0, False)])
def test_beliefs_of_another_time_are_left_aside_and_so_are_those_of_another_boot(age, wanted):
    assert m.is_fresh(m.LearnedState(50_000.0, []), 50_000.0 + age) is wanted


# --- ways it may break, with real sockets in this thread --------------------------------------------------


@pytest.fixture
def rig():
    with tempfile.TemporaryDirectory() as folder:
        made = Rig(ScorerPeer(copies=4))
        place = handoff_channel.HandoffDirectory(folder, "", made.front.address)
        made.admin = service.AdminService(made.front, ("127.0.0.1", 0), InheritedState(place))
        made.admin.begin()
        made.peers = []
        yield made
        made.close()
        for peer in made.peers:
            peer.close()


def taker(rig):
    """The process that takes its place, played by the test."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with rig.admin.replacement.place.short() as address:
        sock.connect(address)
    sock.setblocking(False)
    rig.peers.append(sock)
    handoff_channel.send(sock, h.encode(h.Hello(h.VERSION, rig.front.address)), None)
    handoff_channel.send(sock, h.encode(h.Ready()), None)
    rig.until(lambda: rig.admin.replaced, "it gives")
    return sock


def before(rig):
    """The process whose place this one took, played by the test."""
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    rig.peers.append(far)
    talk = rig.admin.replacement
    talk.before = handoff_channel.HandoffChannel(rig.front.loop, near, talk._from_before, talk._before_ended)
    far.setblocking(False)
    return far


def messages(sock):
    found = []
    while ready(sock, 0.0):
        found.append(handoff_channel.receive(sock))
    return [message for message, _ in filter(None, found)]


def test_one_that_ends_while_it_is_given_something_costs_no_connection(rig):
    client = rig.client()
    client.call()
    rig.until(lambda: rig.scorers[0].runs, "it runs")
    sock = taker(rig)
    rig.scorers[0].answer(rig.scorers[0].runs[0], body=b"y" * 5000)
    replacement = rig.admin.replacement
    replacement.giver._paused = True
    [held] = rig.front.port.clients
    give = rig.front.port.give

    def broken(client):
        sock.close()  # between the look and the word
        return replace(give(client), unwritten=b"")

    with (
        mock.patch.object(rig.front.port, "give", broken),
        mock.patch.object(h, "chunks", lambda data: [h.Chunk(b"")]),
    ):
        rig.until(lambda: held not in rig.front.port.clients, "it was given, and came back")
    rig.until(lambda: client.answers, "its answer is there")
    client.call()
    rig.until(lambda: len(rig.scorers[0].runs) == 2, "and it is served on")
    assert not client.ended and not any("fault" in line for line in rig.lines)


def test_one_that_asks_and_is_gone_at_once_is_no_fault(rig):
    for version in (h.VERSION, h.VERSION + 1):
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            with rig.admin.replacement.place.short() as address:
                sock.connect(address)
            handoff_channel.send(sock, h.encode(h.Hello(version, rig.front.address)), None)
        came = []
        rig.front.loop.wheel.after(50.0, lambda: came.append(1))  # noqa: B023
        rig.until(lambda: came and rig.admin.replacement.after is None, "it is gone")  # noqa: B023
    assert not any("fault" in line for line in rig.lines)


def test_parts_of_what_is_not_sent_whole_are_taken_back_with_it():
    loop = Loop(lambda now_ms, events: None, mock.Mock())
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    back = []
    talk = handoff_channel.HandoffChannel(loop, near, mock.Mock(), lambda end: back.extend(end.take_back()))
    data = os.urandom(900_000)
    for part in [
        *h.chunks(b"sent" * 20),
        h.ConnectionHandoff(),
        *h.chunks(data),
        h.ConnectionHandoff(b"half"),
    ]:
        talk.say(part)
    assert talk.unsent
    far.close()
    loop.turn(1.0)
    assert b"".join(message.data for message, _ in back[:-1]) == data and back[-1][0] == h.ConnectionHandoff(
        b"half"
    )
    loop.close()


def test_too_many_descriptors_on_their_way_are_waited_for():
    loop = Loop(lambda now_ms, events: None, mock.Mock())
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    talk = handoff_channel.HandoffChannel(loop, near, mock.Mock(), mock.Mock())
    with mock.patch.object(handoff_channel, "send", side_effect=OSError(109, "too many references")):
        talk.say(h.ConnectionHandoff(), near.dup())
    assert talk.unsent and not talk.closed
    loop.turn(1.0)
    assert not talk.unsent and handoff_channel.receive(far)[1] is not None
    talk.close()
    far.close()
    loop.close()


def test_what_operators_ask_reaches_the_process_at_the_other_end_of_three(rig):
    oldest, newest = before(rig), taker(rig)
    messages(newest)
    for sock, other in ((newest, oldest), (oldest, newest)):
        told = h.OperatorCommand("/maintenance/enter", "s-1")
        handoff_channel.send(sock, h.encode(told), None)
        found = []
        rig.until(lambda: found.extend(messages(other)) or told in found, "it is passed on")  # noqa: B023
        assert not messages(sock)  # and not back


def test_one_that_ends_waits_for_what_the_process_before_has_still_to_give(rig):
    oldest, newest, said = before(rig), taker(rig), []
    rig.admin.leave()
    assert rig.admin.busy
    over = []
    rig.front.loop.wheel.after(50.0, lambda: over.append(1))
    rig.until(lambda: over, "it has looked twice")
    assert h.Done() not in messages(newest)  # not while something is to come
    oldest.close()
    rig.until(lambda: said.extend(messages(newest)) or h.Done() in said, "it has given everything")
    assert rig.admin.busy  # until the other says that all has come
    handoff_channel.send(newest, h.encode(h.OperatorCommand("/maintenance/enter", "s-1")), None)
    handoff_channel.send(newest, h.encode(h.Done()), None)
    rig.until(lambda: not rig.admin.busy, "it may end, with nothing unread")
    assert rig.admin.desk.out == {"s-1"}


def test_one_given_while_nothing_is_read_is_not_read_either(rig):
    rig.front.port.pause(True)
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = Buffered(socket.create_connection(server.getsockname()))
        rig.front.port.adopt(HandedConnection(server.accept()[0]))
    [adopted] = rig.front.port.clients
    assert not adopted.connection._reading
    rig.front.port.pause(False)
    assert adopted.connection._reading
    client.sock.close()


def test_on_standby_with_the_place_taken_no_connection_is_ended_and_no_call_refused(rig):
    client = rig.client()
    client.call()
    rig.until(lambda: rig.scorers[0].runs, "it runs")
    rig.admin.take(AdminRequest("POST", "/standby"))
    taker(rig)
    over = []
    rig.front.loop.wheel.after(1_300.0, lambda: over.append(1))
    rig.until(lambda: over, "the drain would refuse")
    client.call()
    rig.until(lambda: len(rig.scorers[0].runs) == 2, "it is served")
    assert not client.answers


def test_a_call_that_comes_before_the_other_process_can_be_told_reaches_it_all_the_same(rig):
    other = service.AdminService(rig.front, ("127.0.0.1", 0))
    other.take(AdminRequest("POST", "/maintenance/enter", (("target", "s-1"),)))
    with mock.patch.object(HotRestart, "tell") as tell:
        other.begin()
    tell.assert_called_once_with("/maintenance/enter", "s-1")
    other.port.close()
    rig.front.admin = rig.admin


def test_the_file_is_the_newer_ones_where_another_process_has_the_place(rig):
    replacement = rig.admin.replacement
    replacement.remember()
    assert replacement.place.read()
    door = handoff_channel.HandoffListener(rig.front.loop, replacement.place, mock.Mock())
    replacement.place.write(b"newer")
    replacement.remember()
    assert replacement.place.read() == b"newer"
    door.close()


def test_one_that_ends_and_loses_the_next_leaves_the_meeting_place_to_whoever_has_it(rig):
    sock = taker(rig)
    door = handoff_channel.HandoffListener(rig.front.loop, rig.admin.replacement.place, mock.Mock())
    rig.admin.leave()
    sock.close()
    rig.until(lambda: not rig.admin.replaced, "it serves on by itself")
    assert door.mine
    door.close()
