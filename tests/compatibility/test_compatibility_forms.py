"""Forms that are not in the corpus: log lines, files of commands, traces, framings, and stored names.

The expected texts are those that commit 9d9ccab wrote.
"""

import json
import re
import socket

import msgspec
import pytest
from typer.testing import CliRunner

from fawnwharf.admin import handoff_messages as successor
from fawnwharf.admin import learned_state as beliefs
from fawnwharf.admin.handoff_directory import HandoffDirectory
from fawnwharf.cli import app
from fawnwharf.consensus import records
from fawnwharf.consensus import voter_store as voter_disk
from fawnwharf.durable_store import file_format
from fawnwharf.durable_store import folder as durable_folder
from fawnwharf.migration import messages as migrations
from fawnwharf.net import scorer_frames
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.policy_rollout import call_trace as policy_trace
from fawnwharf.policy_rollout import messages as policy
from fawnwharf.policy_rollout import policy_file
from fawnwharf.policy_rollout import service as policy_service
from fawnwharf.policy_rollout import settings as policy_settings
from fawnwharf.policy_rollout.document import Document, parse_register
from fawnwharf.prefetch import learned_state as prefetch_memory
from fawnwharf.recovery_core import register as recovery_register
from fawnwharf.recovery_core.trust import ClockReading, StateKind
from fawnwharf.recovery_service import front_end_integration, stored_state
from fawnwharf.recovery_service import messages as recovery_words
from fawnwharf.recovery_service import settings as recovery_settings
from fawnwharf.replication import grant_log as keeper_disk
from fawnwharf.replication import messages as state
from fawnwharf.replication import settings as state_settings
from fawnwharf.replication.claims import Claim, ClaimPhase
from fawnwharf.session_types import Placement, Session
from fawnwharf.sessions import foreseen, left
from fawnwharf.sessions import settings as session_settings
from fawnwharf.sessions import trace as session_trace
from fawnwharf.sessions import words as session_words
from fawnwharf.zones import log_lines, member_log, plan
from fawnwharf.zones import settings as zone_settings

RUNNER = CliRunner()
SITES = {"a", "b", "c"}


class Peer:
    """A reader of a log server in the same thread."""

    def __init__(self, loop, address):
        self.loop, self.sock, self.data = loop, socket.create_connection(address), b""
        self.sock.setblocking(False)

    def lines(self, count):
        """Wait for this number of lines and return them; fail if they do not arrive."""
        for _ in range(2_000):
            if self.data.count(b"\n") >= count:
                break
            self.loop.run_iteration(0.002)
            try:
                self.data += self.sock.recv(65_536)
            except BlockingIOError:
                continue
        assert self.data.count(b"\n") >= count, self.data
        return self.data.split(b"\n")[:-1]


@pytest.fixture
def served():
    """A log server of incarnation 7 on a loopback port, and its event loop."""
    loop = EventLoop(lambda now_ms, events: None, lambda text: None)
    server = member_log.LogServer(loop, ("127.0.0.1", 0), 7, 8)
    yield loop, server
    server.close()


def test_a_log_s_lines_have_their_recorded_form(served):
    """A reader that asks since 0 gets the current lines, and then each new line with its number."""
    loop, server = served
    server.write({"plan": 1}, counts_as="plan")
    server.write({"plan": 2}, counts_as="plan")
    peer = Peer(loop, server.address)
    peer.sock.sendall(b"since 0\n")
    assert peer.lines(1) == [b'{"seq":2,"life":7,"whole":true,"line":{"plan":2}}']
    server.write({"text": "\u00e9"})
    assert peer.lines(2)[1] == '{"seq":3,"life":7,"line":{"text":"\u00e9"}}'.encode()
    later = Peer(loop, server.address)
    later.sock.sendall(b"since 2\n")
    assert later.lines(1)[0] == peer.lines(2)[1]
    peer.sock.close()
    later.sock.close()


def test_an_empty_log_tells_its_number_and_life(served):
    """A reader gets them although there is no line."""
    loop, server = served
    peer = Peer(loop, server.address)
    peer.sock.sendall(b"since 0\n")
    assert peer.lines(1) == [b'{"seq":0,"life":7,"whole":true}']
    peer.sock.close()


def test_a_follower_takes_recorded_lines():
    """It takes them in order; after a gap or a change of the incarnation it asks again."""
    told = []
    loop = EventLoop(lambda now_ms, events: None, lambda text: None)
    log = member_log.MemberLogFollower(loop, ("127.0.0.1", 9), told.append, lambda text: None)
    rows = ['{"seq":2,"life":7,"whole":true,"line":{"plan":2}}', '{"seq":3,"life":7,"line":{"n":3}}']
    assert [log.event(json.loads(row)) for row in rows] == [True, True]
    assert told == [{"plan": 2}, {"n": 3}] and (log.seq, log.incarnation) == (3, 7)
    assert log.event(json.loads('{"seq":5,"life":7,"line":{}}')) is False and log.seq == 0


def test_a_member_s_line_has_what_riders_say_and_how_they_stand():
    """A status is keyed by the log client's name; a message names its log client unless that is policy."""
    word = log_lines.ClientMessage({"type": "Abort"}, ("n1",), log_lines.RECOVERY)
    made = [
        log_lines.LogLine("f", "n0", **{log_lines.POLICY: {"ready": True}}),
        log_lines.LogLine("f", "n0", **{log_lines.RECOVERY: {"life": 1}}),
        log_lines.LogLine("f", "n0", messages=[log_lines.ClientMessage({"type": "Vote"}), word]),
    ]
    assert [member_log.line_encoder.encode(msgspec.to_builtins(line)).decode() for line in made] == [
        '{"fleet":"f","sender":"n0","policy":{"ready":true}}',
        '{"fleet":"f","sender":"n0","recovery":{"life":1}}',
        '{"fleet":"f","sender":"n0","words":[{"said":{"type":"Vote"}},'
        '{"said":{"type":"Abort"},"to":["n1"],"rider":"recovery"}]}',
    ]
    found = log_lines.messages_for("n1", msgspec.to_builtins(made[2].messages))
    assert found == {"policy": ({"type": "Vote"},), "recovery": ({"type": "Abort"},)}


@pytest.mark.parametrize(
    "rider, recorded",
    [
        (session_words.RIDER, "sessions"),
        (foreseen.RIDER, "foresight"),
        (recovery_words.LOG_CLIENT, "recovery"),
        (front_end_integration.LOG_CLIENT, "recovery-given"),
    ],
)
def test_a_rider_of_the_logs_of_state_has_its_recorded_name(rider, recorded):
    """The name is checked within a complete line."""
    line = state.LogLine("f", "n0", 7, ("n1",), state.ClientMessage(rider, {"type": "status"}))
    data = member_log.line_encoder.encode(msgspec.to_builtins(line)).decode()
    assert data == (
        '{"fleet":"f","sender":"n0","life":7,"to":["n1"],'
        f'"say":{{"type":"ride","rider":"{recorded}","word":{{"type":"status"}}}}}}'
    )


def members_file(folder):
    """Write a file of three members, and settings files of zones, state and sessions."""
    members = [
        {"name": f"n{n}", "zone": zone, "address": f"127.0.0.1:{n + 1}", "ballots": f"127.0.0.1:{n + 11}"}
        | {"state": f"127.0.0.1:{n + 21}"}
        for n, zone in enumerate("abc")
    ]
    data = {"version": 1, "fleet": "f", "number": 1, "members": members}
    (folder / "members.json").write_text(json.dumps(data), encoding="utf-8")
    settings = {"version": 1, "members": "members.json", "folder": "kept", "listen": "127.0.0.1:1"}
    (folder / "zones.json").write_text(json.dumps(settings), encoding="utf-8")
    (folder / "state.json").write_text(json.dumps(settings), encoding="utf-8")
    (folder / "sessions.json").write_text('{"version":1}', encoding="utf-8")


def numbered(path):
    """A file's text, in which N replaces the number that a command has taken from the clock."""
    return re.sub(r'("number": ?)\d{9,}', r"\1N", path.read_text(encoding="utf-8"))


@pytest.mark.parametrize(
    "arguments, name, recorded",
    [
        (["zones", "drain", "b"], "wishes.json", '{"version": 1, "number": N, "drained": ["b"]}'),
        (
            ["policy", "propose", "document.json"],
            "proposal.json",
            '{"version": 1, "number": N, "propose": '
            '{"version": 1, "tenants": {"acme": {"quota_rps": 200.0}}}}',
        ),
        (
            ["policy", "call-off", "--why", "no need"],
            "proposal.json",
            '{"version": 1, "number": N, "call_off": "no need"}',
        ),
        (["policy", "back"], "proposal.json", '{"version": 1, "number": N, "back": true}'),
        (
            ["sessions", "drain", "b"],
            "moves.json",
            '{"version":1,"number":N,"moves":[],"drained":["b"]}',
        ),
        (
            ["sessions", "move", "acme", "0011223344556677", "c"],
            "moves.json",
            '{"version":1,"number":N,"moves":[{"org":"acme","row":"0011223344556677","site":"c"}],"drained":[]}',
        ),
    ],
)
def test_a_command_s_file_has_its_recorded_form_and_is_read(arguments, name, recorded, tmp_path, monkeypatch):
    """The command writes it under its recorded name; no front end runs, so the file stays."""
    members_file(tmp_path)
    monkeypatch.chdir(tmp_path)
    (tmp_path / "document.json").write_text(
        '{"version":1,"tenants":{"acme":{"quota_rps":200}}}', encoding="utf-8"
    )
    more = {"zones": ["--zones", "zones.json"], "policy": ["--zones", "zones.json"]}.get(
        arguments[0], ["--sessions", "sessions.json", "--state", "state.json", "--member", "n0"]
    )
    RUNNER.invoke(app, [*arguments, *more, "--wait", "0"])
    path = tmp_path / "kept" / name
    assert numbered(path) == recorded
    read = {
        "wishes.json": lambda data: zone_settings.operator_request_from(data, SITES),
        "proposal.json": policy_settings.decode_operator_request,
        "moves.json": lambda data: session_settings.wishes_from(data, SITES),
    }[name]
    assert read(path.read_bytes()).number > 10**9


def test_traces_have_their_recorded_keys(tmp_path):
    """Traces of policy and of sessions have a line for each call."""
    trace = policy_trace.CallTrace(tmp_path / "policy")
    trace.add("c1", policy.ActivePolicy(3, "d1", Document(), "strict"), 1.5, 2.5)
    trace.flush()
    trace.close()
    assert (tmp_path / "policy").read_bytes() == (
        b'{"call":"c1","number":3,"digest":"d1","how":"strict","taken_ms":1.5,"ended_ms":2.5}\n'
    )
    session = Session("acme", "r1")
    trace = session_trace.Trace(tmp_path / "sessions")
    trace.taken("c1", Placement(session, "b", 4))
    context = migrations.Context(1.0, 1, (("n0", 5),))
    trace.received([migrations.Receive(session, migrations.Turn(1, "n0"), 5, 1, 10.0, context)])
    trace.close()
    text = re.sub(r'"sent_ms": [0-9.]+', '"sent_ms": T', (tmp_path / "sessions").read_text(encoding="utf-8"))
    assert text == (
        '{"call": "c1", "org": "acme", "row": "r1", "number": 4, "site": "b", "sent_ms": T}\n'
        '{"org": "acme", "row": "r1", "number": 5, "spent": {"n0": 5}}\n'
    )


def test_an_entry_of_the_store_has_its_recorded_form():
    """It is stamped with the clock; a grant is a list that begins with how long it is valid."""
    claim = Claim("n0#7", 1, 2, 100, ClaimPhase.GRANTED, "d1", None)
    data = stored_state.encode_entry(ClockReading("b00t", 10.04, 20.6), [5_000.0, 3.0, claim])
    assert data == (
        b'["b00t",10.0,21.0,[5000.0,3.0,{"owner":"n0#7","ask":1,"number":2,"slot":100,"phase":3,'
        b'"digest":"d1","answer":null}]]'
    )
    assert stored_state.boot_digest("a boot") == "c0978fe8c889" and stored_state.boot_digest("") == ""


def test_the_register_of_policy_has_its_recorded_form():
    """It has the last document and, if there is one, the previous document."""
    text = '{"policy":1,"last":{"number":2,"spill":{"a":0.5},"version":1},"before":{"number":1,"version":1}}'
    found = parse_register(text)
    assert (found.last.value("spill", "a"), found.before) == (0.5, Document(1))
    assert found.encode() == text


def test_the_memory_of_a_process_has_its_recorded_framing():
    """Magic, length and checksum precede the msgpack data; the file has its recorded name."""
    data = beliefs.encode(beliefs.LearnedState(1.5, ["s-1"]))
    assert data[:6] == b"fwmem\x01" and data[:14].hex() == "66776d656d010000009e64f90acf"
    assert beliefs.decode(data) == beliefs.LearnedState(1.5, ["s-1"])
    directory = HandoffDirectory("folder", "fe-1", ("127.0.0.1", 7000))
    assert (directory.socket_path.name, directory.state_path.name) == (
        "fw-5b801ba12a0b.sock",
        "fw-5b801ba12a0b.mem",
    )


def test_frames_to_scorers_have_their_recorded_bytes():
    """There is one frame of each code."""
    id = bytes.fromhex("0011223344556677")
    frames = [
        scorer_frames.run(id, "gold", "8899aabbccddeeff", 12.0, "t1", b"body"),
        scorer_frames.abandon(id),
        scorer_frames.load(id, "8899aabbccddeeff", 2),
        scorer_frames.unload("8899aabbccddeeff"),
    ]
    assert [frame.hex() for frame in frames] == [
        "8001002d0000000400112233445566776b696e643d676f6c642c6f626a3d383839396161626263636464656566"
        "662c6d733d31322c746f6b656e3d7431626f64791ccb156d",
        "8002000000000000001122334455667700000000",
        "8005001f0000000000112233445566776f626a3d383839396161626263636464656566662c736c6f74735f7570"
        "3d3287503f5e",
        "80070000000000008899aabbccddeeff00000000",
    ]


def test_names_and_numbers_that_are_stored_or_sent_are_as_recorded():
    """Versions, magic numbers, and names of files, kinds of entries and states."""
    versions = [
        voter_disk, file_format, policy_file, policy_settings, prefetch_memory, successor, recovery_register,
        recovery_settings, keeper_disk, state_settings, left, session_settings, plan, zone_settings,
    ]  # fmt: skip
    assert {module.VERSION for module in versions} == {1}
    assert (records.RECORD_MAGIC, beliefs.MAGIC, durable_folder.LOCK_FILE) == (
        b"fwv1",
        b"fwmem\x01",
        "durable.lock",
    )
    assert (file_format.snapshot_name(3), file_format.log_name(4), file_format.TEMPORARY_SUFFIX) == (
        "snap-3.snap",
        "log-4.seg",
        ".new",
    )
    assert (file_format.SNAPSHOT, file_format.LOG) == ("snapshot", "log")
    assert tuple(file_format.Durability) == ("synced", "soon", "hint")
    assert (policy_service.POLICY_FILE, policy_service.REQUEST_FILE) == ("policy.json", "proposal.json")
    assert keeper_disk.INCOMPLETE == -1 and stored_state.LAST == "last"
    assert (stored_state.START, stored_state.DOUBT, stored_state.COMPLETE, stored_state.COMMIT_TICKET) == (
        "start",
        "doubt",
        "sure",
        "turn",
    )
    assert {kind: rule.name for kind, rule in stored_state.ENTRY_RULES.items()} == {
        StateKind.GRANT: "promise", StateKind.PLAN: "plan", StateKind.POLICY: "policy",
        StateKind.PLACEMENTS: "homes", StateKind.ROSTER: "roster", StateKind.USAGE: "use",
    }  # fmt: skip
    assert {rule.name: rule.mode for rule in stored_state.ENTRY_RULES.values()} == {
        "promise": "soon", "plan": "soon", "policy": "soon", "homes": "soon", "roster": "hint", "use": "hint",
    }  # fmt: skip
    assert (plan.SERVING, plan.DRAINING, plan.OUT, plan.RECOVERING) == (
        "serving", "leaving", "out", "returning",
    )  # fmt: skip
    assert policy.LEADER == "@leader" and policy.FINAL_STATES == ("ended", "refused", "in force")
