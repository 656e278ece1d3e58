"""Admin commands: tables for the modules without I/O, and one test with real sockets for each rule."""

import socket
import time
import unittest
from unittest import mock

import pytest
from peers import Buffered, ClientPeer, Rig, ScorerPeer

from fawnwharf.admin import admin_listener, draining, service
from fawnwharf.admin.command_handler import (
    CommandHandler,
    EnterMaintenance,
    EnterStandby,
    ExitMaintenance,
    ExitStandby,
)
from fawnwharf.admin.http import AdminRequest, AdminResponse, RequestReader, encode_response
from fawnwharf.config import ConfigError, Fleet, Member, deployment_from
from fawnwharf.interface import ScorerState
from fawnwharf.net.front_end import scorer_number
from fawnwharf.net.roster_overlay import RosterOverlay

ENTER_REQUEST = b"POST /maintenance/enter?target=s-1 HTTP/1.1\r\nHost: x\r\n\r\n"
REQUEST_WITH_BODY = b"POST /standby HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}"

REQUESTS = [
    ("a call", ENTER_REQUEST, AdminRequest("POST", "/maintenance/enter", (("target", "s-1"),))),
    ("with a body", REQUEST_WITH_BODY, AdminRequest("POST", "/standby")),
    (
        "escaped",
        b"GET /status?target=s%2d1 HTTP/1.1\r\n\r\n",
        AdminRequest("GET", "/status", (("target", "s-1"),)),
    ),
    (
        "two in a row: the first",
        ENTER_REQUEST + REQUEST_WITH_BODY,
        AdminRequest("POST", "/maintenance/enter", (("target", "s-1"),)),
    ),
    (
        "doubled",
        b"GET /?target=a&target= HTTP/1.1\r\n\r\n",
        AdminRequest("GET", "/", (("target", "a"), ("target", ""))),
    ),
    ("half a head", ENTER_REQUEST[:-2], None),
    ("half a body", REQUEST_WITH_BODY[:-1], None),
    ("no HTTP", b"\x00\x00\x00\x10\x80\x01\x00\x01", 400),
    (
        "another protocol",
        b"GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
        AdminRequest("GET", "/"),
    ),
    ("a head without end", b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 2000, 431),
    ("an endless body", b"POST /standby HTTP/1.1\r\nContent-Length: 99999\r\n\r\n" + b"x" * 9000, 431),
]


@pytest.mark.parametrize(
    ("data", "expected"), [case[1:] for case in REQUESTS], ids=[case[0] for case in REQUESTS]
)
@pytest.mark.parametrize("chunk_size", [1, 7, 1 << 20])
def test_a_request_is_read_from_chunks_of_any_size(data, expected, chunk_size):
    reader, found = RequestReader(), None
    for at in range(0, len(data), chunk_size):
        found = reader.feed(data[at : at + chunk_size])
    assert (found.status if isinstance(found, AdminResponse) else found) == expected


def test_a_response_is_one_line_whatever_the_request_contains():
    head, body = encode_response(AdminResponse(404, "no scorer a\r\nb\n")).split(b"\r\n\r\n")
    assert body == b"no scorer a??b?\n"
    assert b"Content-Length: 16" in head
    assert head.startswith(b"HTTP/1.1 404 ")


def request(path, method="POST", *targets):
    return AdminRequest(method, path, tuple(("target", target) for target in targets))


ENTER, EXIT = "/maintenance/enter", "/maintenance/exit"
COMMANDS = [
    ("ready", [], request("/status", "GET"), 200, None),
    ("on standby", [request("/standby")], request("/status", "GET"), 503, None),
    ("back", [request("/standby"), request("/active")], request("/status", "GET"), 200, None),
    ("maintenance", [], request(ENTER, "POST", "s-1"), 200, EnterMaintenance("s-1")),
    ("maintenance twice", [request(ENTER, "POST", "s-1")], request(ENTER, "POST", "s-1"), 200, None),
    (
        "maintenance twice, then exit",
        [request(ENTER, "POST", "s-1")] * 2,
        request(EXIT, "POST", "s-1"),
        200,
        ExitMaintenance("s-1"),
    ),
    ("exit without maintenance", [], request(EXIT, "POST", "s-1"), 200, None),
    ("an unknown id", [], request(ENTER, "POST", "s-9"), 404, None),
    ("an unknown id, exit", [], request(EXIT, "POST", "s-9"), 404, None),
    ("no target", [], request(ENTER), 400, None),
    ("an empty target", [], request(ENTER, "POST", ""), 400, None),
    ("two targets", [], request(ENTER, "POST", "s-1", "s-2"), 400, None),
    ("standby", [], request("/standby"), 200, EnterStandby()),
    ("standby twice", [request("/standby")], request("/standby"), 200, None),
    ("active", [request("/standby")], request("/active"), 200, ExitStandby()),
    ("active without standby", [], request("/active"), 200, None),
    ("a wrong method", [], request("/standby", "GET"), 405, None),
    ("an unknown path", [], request("/standby/"), 404, None),
]


@pytest.mark.parametrize(
    ("earlier_commands", "command", "status", "effect"),
    [case[1:] for case in COMMANDS],
    ids=[case[0] for case in COMMANDS],
)
def test_commands_have_their_status_and_effect(earlier_commands, command, status, effect):
    handler = CommandHandler({"s-1", "s-2"}.__contains__, is_serving=True)
    for earlier in earlier_commands:
        handler.handle(earlier)
    response, found = handler.handle(command)
    assert (response.status, found) == (status, effect)


def test_a_front_end_that_starts_or_shuts_down_is_not_ready_and_not_drained():
    handler = CommandHandler(lambda _scorer_id: True)
    assert handler.handle(request("/status", "GET"))[0].status == 503
    handler.is_serving = handler.is_shutting_down = True
    assert handler.handle(request("/status", "GET"))[0].status == 503
    assert [handler.handle(request(path))[0].status for path in ("/standby", "/active")] == [409, 409]


def test_a_removed_scorer_may_leave_maintenance_once():
    known = {"s-1"}
    handler = CommandHandler(known.__contains__)
    handler.handle(request(ENTER, "POST", "s-1"))
    known.clear()
    assert [handler.handle(request(EXIT, "POST", "s-1"))[0].status for _ in range(2)] == [200, 404]


def test_a_roster_overlay_closes_scorers_and_restores_them_with_a_slow_start():
    overlay = RosterOverlay()
    member = Member("s-1", "in_service", "127.0.0.1:1", locality="a")
    overlay.apply(Fleet([member, Member("s-2", "in_service", "127.0.0.1:2")], complete=True))
    [closed] = overlay.set_filter("one", lambda m: m.id == "s-1").members
    assert (closed.id, closed.phase) == ("s-1", "terminating")
    assert not overlay.set_filter(
        "two", lambda m: m.id == "s-1"
    ).members  # the other filter closes it already
    reported = [
        overlay.apply(Fleet([Member("s-1", phase)])).members[0] for phase in ("terminated", "in_service")
    ]
    assert [m.phase for m in reported] == ["terminated", "terminating"]
    overlay.apply(Fleet([member]))
    assert not overlay.set_filter("one", None).members  # the other filter still closes it
    assert [m.phase for m in overlay.set_filter("two", None).members] == ["in_service"]
    [back] = overlay.mark_restarted(["s-1", "s-9"], 5000.0).members
    assert (back.up_since_ms, back.host_port, back.locality) == (5000.0, "127.0.0.1:1", "a")
    assert overlay.apply(Fleet([member], complete=True)).members[0].up_since_ms == 5000.0


def test_an_invalid_admin_address_is_reported_by_its_key():
    base = {"settings": {}, "changelog": "127.0.0.1:1", "listen": "127.0.0.1:0"}
    assert deployment_from(base, {}).control is None
    assert deployment_from(base | {"control": "127.0.0.1:5"}, {}).control == ("127.0.0.1", 5)
    assert deployment_from(base, {"ROUTER_CONTROL": "127.0.0.1:6"}).control == ("127.0.0.1", 6)
    with pytest.raises(ConfigError, match=r"^control: "):
        deployment_from(base | {"control": "here"}, {})


class RigWithAdmin(Rig):
    """A front end in this thread, with its admin service."""

    def __init__(self, *scorers, **more):
        super().__init__(*scorers, **more)
        self.admin = service.AdminService(self.front, ("127.0.0.1", 0))

    def connect_operator(self):
        self.clients.append(ClientPeer.__new__(ClientPeer))
        Buffered.__init__(self.clients[-1], socket.create_connection(self.admin.listener.address))
        self.clients[-1].pump = lambda peer=self.clients[-1]: Buffered.pump(peer)
        return self.clients[-1]

    def send_command(self, path, method="POST"):
        operator = self.connect_operator()
        operator.sock.sendall(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        self.until(lambda: operator.ended, "the command is answered")
        return int(operator.data.split(b" ")[1])

    def run_for(self, ms):
        """Run the event loop for this time, as measured by a timer of its own."""
        due = []
        self.front.loop.timers.after(ms, lambda: due.append(1))
        self.until(lambda: due, "the time has passed")


class Case(unittest.TestCase):
    def rig(self, *peers, **more):
        rig = RigWithAdmin(*peers, **more)
        self.addCleanup(rig.close)
        return rig


class AdminAddress(Case):
    def test_incomplete_requests_time_out_and_do_not_block_others(self):
        rig = self.rig(ScorerPeer())
        idle = [rig.connect_operator() for _ in range(admin_listener.MAX_CONNECTION_LIMIT)]
        for operator in idle[::2]:
            operator.sock.sendall(b"GET /sta")
        rig.until(
            lambda: len(rig.admin.listener.connections) == admin_listener.MAX_CONNECTION_LIMIT,
            "all connections are accepted",
        )
        assert rig.send_command("/status", "GET") == 200
        assert idle[0].ended or idle[1].ended  # the oldest one was closed for the new connection
        with mock.patch.object(admin_listener, "REQUEST_TIMEOUT_MS", 50.0):
            rig.until(
                lambda: all(operator.ended for operator in idle),
                "the other connections have timed out",
            )
        assert b" 408 " in bytes(idle[-2].data)
        rig.until(lambda: not rig.admin.listener.connections, "all connections are closed")

    def test_a_request_is_answered_in_an_iteration_that_clients_fill(self):
        rig = self.rig(ScorerPeer(copies=None))
        clients = [rig.client() for _ in range(8)]
        for client in clients:
            for _ in range(20):
                client.call()
        operator = rig.connect_operator()
        # Accepts the admin connection; clients fill the rest of the iteration.
        rig.front.loop.run_iteration(0.2)
        operator.sock.sendall(b"GET /status HTTP/1.1\r\n\r\n")
        with mock.patch("fawnwharf.net.event_loop.MAX_EVENTS", 1):
            for client in clients:
                client.call()
            rig.front.loop.run_iteration(0.2)
        operator.pump()
        assert b" 200 " in bytes(operator.data)


class Maintenance(Case):
    def test_a_scorer_in_maintenance_gets_nothing_new_whatever_the_change_log_reports(self):
        one, two = ScorerPeer("s-1"), ScorerPeer("s-2")
        rig = self.rig(one, two)
        client = rig.client()
        client.call()
        rig.until(lambda: one.runs or two.runs, "a scorer gets the call")
        home, other = (one, two) if one.runs else (two, one)
        home.answer(home.runs[0])
        rig.until(lambda: client.answers, "the call is answered")
        assert rig.send_command(f"{ENTER}?target={home.id}") == 200
        rig.log.say({"seq": 2, "fleet": {"members": [home.member()]}})
        rig.until(lambda: rig.front.change_log.seq == 2, "the change log has reported the scorer in service")
        client.call()
        rig.until(lambda: other.runs, "the other scorer gets the next call")
        assert len(home.runs) == 1
        worker = rig.front.router.scorers[scorer_number(home.id)]
        assert worker.entry.state is ScorerState.DRAINING
        before = rig.front.loop.clock.now_ms()
        assert rig.send_command(f"{EXIT}?target={home.id}") == 200
        rig.until(lambda: worker.entry is not None and rig.front.router.scorers[worker.id].entry.state == 1)
        assert worker.started_ms >= before  # in slow start, and without copies
        router = rig.front.router
        assert {router._copies(fn, worker) for fn in router.functions.values()} == {0}

    def test_with_all_scorers_in_maintenance_each_call_gets_one_answer(self):
        rig = self.rig(ScorerPeer("s-1"))
        client = rig.client()
        assert rig.send_command(f"{ENTER}?target=s-1") == 200
        seqid = client.call(ttl="200")
        rig.until(lambda: client.answers, "the call is answered")
        assert client.kinds() == {seqid: "throttled"}


class Draining(Case):
    def status(self, rig, client):
        seqid = 2000 + len(client.answers)
        client.status(seqid)
        rig.until(lambda: seqid in client.kinds(), "the status is answered")
        return next(content[3] for number, _, content in client.answers if number == seqid)

    def test_connections_are_served_at_first_and_end_when_idle(self):
        scorer = ScorerPeer(copies=4)
        rig = self.rig(scorer)
        idle, busy = rig.client(), rig.client()
        busy.call()
        rig.until(lambda: len(scorer.runs) == 1, "the first call runs")
        assert rig.send_command("/standby") == 200
        assert rig.send_command("/status", "GET") == 503
        idle.call()
        rig.until(lambda: len(scorer.runs) == 2, "a call on the idle connection runs")
        scorer.answer(scorer.runs[1])
        rig.until(lambda: idle.ended, "the connection is closed once it is idle")
        assert list(idle.kinds().values()) == ["answer"]
        assert not busy.ended
        scorer.answer(scorer.runs[0])
        rig.until(lambda: busy.ended, "the busy connection is closed after its answer")
        assert list(busy.kinds().values()) == ["answer"]

    def test_calls_on_a_connection_that_is_never_idle_are_rejected_in_the_end(self):
        scorer = ScorerPeer(copies=4)
        rig = self.rig(scorer)
        client = rig.client()
        client.call()
        rig.until(lambda: scorer.runs, "the first call runs")
        rig.send_command("/standby")
        rig.run_for(draining.REJECT_FROM_MS + 50.0)
        second = client.call()
        rig.until(lambda: client.answers, "the second call is answered at once")
        assert client.kinds() == {second: "throttled"}
        scorer.answer(scorer.runs[0])
        rig.until(lambda: client.ended, "the connection is closed after the first answer")

    def test_active_resumes_at_once_with_the_learned_state_and_is_idempotent(self):
        scorer = ScorerPeer(copies=4)
        rig = self.rig(scorer)
        first = rig.client()
        first.call()
        rig.until(lambda: scorer.runs, "the call runs")
        scorer.answer(scorer.runs[0])
        rig.until(lambda: first.answers, "the call is answered")
        loads = [f for _, f in scorer.of(5) if f.fields["slots_up"] != "0"]
        for path in ("/active", "/standby", "/standby"):
            assert rig.send_command(path) == 200
        rig.run_for(draining.REJECT_FROM_MS + 50.0)
        client = rig.client()
        assert not self.status(rig, client)
        began = time.monotonic()
        assert rig.send_command("/active") == 200
        assert rig.send_command("/status", "GET") == 200
        assert time.monotonic() - began < 2.0
        client = rig.client()
        assert self.status(rig, client)
        client.call()
        rig.until(lambda: len(scorer.runs) == 2, "the next call runs")
        assert [f for _, f in scorer.of(5) if f.fields["slots_up"] != "0"] == loads  # no further load
