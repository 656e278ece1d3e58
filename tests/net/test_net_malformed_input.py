"""Malformed frames, fields and settings do not affect other requests, even on the same connection."""

import json
import struct

import pytest
from peers import ROW, Rig, ScorerPeer, handle_frame
from typer.testing import CliRunner

from fawnwharf.cli import app
from fawnwharf.config import ConfigError
from fawnwharf.net import scorer_frames, thrift

GOOD = {"op": "view", "call": f"{7:016x}", "ttl": "8000", "org": "acme", "row": ROW}
BAD_SEQID = 90
LAST_SEQID = 91  # of a sound request after it


def without(name):
    return {key: value for key, value in GOOD.items() if key != name}


def framed(message):
    return struct.pack(">I", len(message)) + message


def head(kind=thrift.CALL, name=b"handle", seqid=BAD_SEQID, version=thrift.VERSION):
    return struct.pack(">I", version | kind) + struct.pack(">I", len(name)) + name + struct.pack(">i", seqid)


def bad(fields, body=b""):
    return handle_frame(BAD_SEQID, fields, body)


def arguments_after_fields(arguments):
    """A request with sound fields, followed by these encoded arguments."""
    fields = struct.pack(">bh", thrift.MAP, 1) + thrift._fields(GOOD)
    return framed(head() + fields + arguments + b"\0")


# Frames with a readable sequence number: answered with an application exception; the connection stays open.
ANSWERED = {
    "class unknown": bad(GOOD | {"op": "unheard"}),
    "class missing": bad(without("op")),
    "class with odd characters": bad(GOOD | {"op": "vi\u00e9w,obj=1\n"}),
    "tenant unknown": bad(GOOD | {"org": "nobody"}),
    "tenant missing": bad(without("org")),
    "key short": bad(GOOD | {"row": "7f3a"}),
    "key not hex": bad(GOOD | {"row": "z" * 16}),
    "key with a line feed": bad(GOOD | {"row": ROW + "\n"}),
    "id short": bad(GOOD | {"call": "1"}),
    "id missing": bad(without("call")),
    "time missing": bad(without("ttl")),
    "time zero": bad(GOOD | {"ttl": "0"}),
    "time negative": bad(GOOD | {"ttl": "-5"}),
    "time not a number": bad(GOOD | {"ttl": "nan"}),
    "time in exponent notation": bad(GOOD | {"ttl": "1e3"}),
    "time beyond its class": bad(GOOD | {"ttl": "99999999"}),
    "token missing": bad(GOOD | {"op": "save"}),
    "token that would add a field": bad(GOOD | {"op": "save", "dedupe": "a,ms=1"}),
    "token too long": bad(GOOD | {"op": "save", "dedupe": "a" * 200}),
    "lanes not a number": bad(GOOD | {"props": "lanes:x"}),
    "lanes too many": bad(GOOD | {"props": "lanes:99999"}),
    "lanes zero": bad(GOOD | {"props": "lanes:0"}),
    "lanes not whole": bad(GOOD | {"props": "lanes:2.5"}),
    "lanes empty": bad(GOOD | {"props": "lanes:"}),
    "lanes repeated, one not a number": bad(GOOD | {"props": "lanes:x;lanes:2"}),
    "memory not a number": bad(GOOD | {"props": "memory_mb:-1"}),
    "memory far out of range": bad(GOOD | {"props": "memory_mb:999999999999"}),
    "load time far out of range": bad(GOOD | {"props": "memory_mb:512;load_ms:999999999999"}),
    "load time of 13 digits": bad(GOOD | {"props": "load_ms:1000000000000"}),
    "a body of another type": arguments_after_fields(struct.pack(">bhi", thrift.I32, 2, 5)),
    "a second body of another type": arguments_after_fields(
        struct.pack(">bhi", thrift.STRING, 2, 0) + struct.pack(">bhi", thrift.I32, 2, 5)
    ),
    "no fields": framed(head() + b"\0"),
    "body too large": bad(GOOD, b"x" * 17_000),
    "frame too large": bad(GOOD, b"x" * 100_000),
    "method unknown": framed(head(name=b"other") + b"\0"),
    "not a call": framed(head(kind=thrift.REPLY) + b"\0"),
    "arguments cut short": framed(head() + struct.pack(">bh", thrift.MAP, 1)),
    "bytes after the arguments": framed(head() + b"\0more"),
    "a map size beyond the frame": framed(head() + struct.pack(">bhbbi", thrift.MAP, 1, 11, 11, 2**30)),
    "a negative map size": framed(head() + struct.pack(">bhbbi", thrift.MAP, 1, 11, 11, -1)),
    "an unknown type of value": framed(head() + struct.pack(">bh", 99, 1) + b"\0"),
    "fields that are not UTF-8": bad(GOOD).replace(b"view", b"\xff\xfe\xfd\xfc"),
}
# Frames without a readable sequence number: the connection ends, and its open requests fail.
ENDING = {
    "another protocol": b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    "not the strict protocol": framed(struct.pack(">I", 6) + b"handle\1\0\0\0\1\0"),
    "an empty frame": framed(b""),
    "truncated header": framed(head()[:9]),
    "a negative name length": framed(struct.pack(">Ii", thrift.VERSION | thrift.CALL, -4) + b"\0" * 8),
    "a frame length above 2 GiB": struct.pack(">I", 2**31 + 5) + b"\0" * 300,
    "a sequence number that is open": handle_frame(1, GOOD | {"call": f"{99:016x}"}),
    "an exception for an open sequence number": handle_frame(1, GOOD | {"op": "unheard"}),
}


@pytest.fixture
def rig():
    made = Rig(ScorerPeer(copies=4))
    yield made
    assert not [line for line in made.lines if "fault in" in line]
    made.close()


def run_of(rig, number):
    """Wait for the attempt of the client's call with this number; return its connection and frame."""
    [scorer] = rig.scorers
    id = number.to_bytes(8, "big")
    rig.until(lambda: any(frame.id == id for _, frame in scorer.runs), f"the scorer receives call {number}")
    return next(item for item in scorer.runs if item[1].id == id)


def answer_run(rig, number):
    rig.scorers[0].answer(run_of(rig, number), body=b"for %d" % number)


class TestMalformedFrames:
    @pytest.mark.parametrize("data", ANSWERED.values(), ids=ANSWERED)
    def test_one_with_a_sequence_number_gets_an_exception_and_other_calls_are_answered(self, rig, data):
        client = rig.client()
        client.call(seqid=1)
        run_of(rig, 1)
        second = handle_frame(2, GOOD | {"call": f"{2:016x}"})
        third = handle_frame(LAST_SEQID, GOOD | {"call": f"{LAST_SEQID:016x}"})
        client.sock.setblocking(True)
        client.sock.sendall(second + data + third)  # with complete frames before and after it
        client.sock.setblocking(False)
        for number in (LAST_SEQID, 1, 2):
            answer_run(rig, number)
        rig.until(lambda: len(client.answers) >= 4, "all answers arrive")
        expected = {1: "answer", 2: "answer", LAST_SEQID: "answer", BAD_SEQID: "exception"}
        assert client.kinds() == expected
        assert len(client.answers) == 4
        assert not client.ended

    @pytest.mark.parametrize("data", ENDING.values(), ids=ENDING)
    def test_one_without_a_sequence_number_fails_open_requests_and_ends_the_connection(self, rig, data):
        client, other = rig.client(), rig.client()
        client.call(seqid=1)
        other.call(seqid=5)
        run_of(rig, 1)
        run_of(rig, 5)
        client.sock.sendall(handle_frame(2, GOOD | {"call": f"{2:016x}"}) + data)
        rig.until(lambda: client.ended, "the connection ends")
        assert client.kinds() == {1: "broken", 2: "broken"}
        assert len(client.answers) == 2
        answer_run(rig, 5)
        rig.until(lambda: other.answers, "the other client is answered")
        assert other.kinds() == {5: "answer"}

    @pytest.mark.parametrize("cut", [1, 4, 20, 60])
    def test_a_malformed_frame_in_pieces_has_the_same_effect(self, rig, cut):
        client = rig.client()
        client.call(seqid=1)
        data = ANSWERED["class unknown"]
        client.sock.sendall(data[:cut])
        answer_run(rig, 1)
        rig.until(lambda: client.answers, "the open request is answered meanwhile")
        client.sock.sendall(data[cut:])
        client.call(seqid=LAST_SEQID)
        answer_run(rig, LAST_SEQID)
        rig.until(lambda: len(client.answers) >= 3, "all answers arrive")
        assert client.kinds() == {1: "answer", BAD_SEQID: "exception", LAST_SEQID: "answer"}

    def test_a_withdraw_of_an_unknown_sequence_number_changes_nothing(self, rig):
        client = rig.client()
        client.call(seqid=1)
        client.withdraw(77)
        client.withdraw(-1)
        answer_run(rig, 1)
        rig.until(lambda: client.answers, "the answer arrives")
        assert client.kinds() == {1: "answer"}

    def test_an_answer_received_before_a_malformed_frame_is_the_only_answer(self, rig):
        client = rig.client()
        client.call(seqid=1)
        answer_run(rig, 1)  # unread at the front end when the malformed bytes arrive
        client.sock.sendall(ENDING["another protocol"])
        rig.until(lambda: client.ended, "the connection ends")
        assert len(client.answers) == 1


class TestMalformedScorerAnswers:
    """A scorer's malformed bytes end the connection; each request on it gets one answer, by its class."""

    BAD = {
        "a wrong direction": b"\x00" * 20,
        "a wrong checksum": scorer_frames.encode(0, b"\0" * 8, "", b"x", 129)[:-1] + b"!",
        "a huge body": struct.pack(">BBHI8s", 129, 0, 0, 2**31, b"\0" * 8),
    }

    @pytest.mark.parametrize("data", BAD.values(), ids=BAD)
    def test_malformed_bytes_end_only_that_connection(self, rig, data):
        client = rig.client()
        client.call(op="settle", seqid=1)
        link, _ = run_of(rig, 1)
        link.sock.sendall(data)
        rig.until(lambda: client.answers, "the request fails")
        assert client.kinds() == {1: "broken"}
        client.call(seqid=2)
        answer_run(rig, 2)
        rig.until(lambda: len(client.answers) == 2, "the next request is answered")
        assert client.kinds()[2] == "answer"

    @pytest.mark.parametrize("fields", ["res=", "=", "res", "company=x,slots_up=-1", "res=\xff", ",,,=,"])
    def test_odd_fields_of_a_good_answer_change_nothing(self, rig, fields):
        client = rig.client()
        client.call(seqid=1)
        rig.scorers[0].answer(run_of(rig, 1), fields=fields, body=b"made")
        rig.until(lambda: client.answers, "the answer arrives")
        assert client.answers == [(1, "answer", {1: b"made", 2: {}, 3: True})]

    @pytest.mark.parametrize("code", [1, 6, 7, 99, 255])
    def test_an_unknown_code_may_have_run(self, rig, code):
        client = rig.client()
        client.call(op="settle", seqid=1)
        rig.scorers[0].answer(run_of(rig, 1), code=code)
        rig.until(lambda: client.answers, "the request fails")
        assert client.kinds() == {1: "broken"}
        rig.settle(client)
        assert len(rig.scorers[0].runs) == 1


BASE = {
    "listen": "127.0.0.1:0",
    "changelog": "127.0.0.1:1",
    "settings": {"classes": [{"name": "view", "effect": "idempotent"}], "tenants": [{"name": "acme"}]},
}
# Invalid values by key.
INVALID = {
    "settings.classes[0].effect": "sometimes",
    "settings.classes[0].give_up": -1,
    "settings.classes[0].dedup_window": "long",
    "settings.classes[0].group": "town",
    "settings.classes[0].name": 5,
    "settings.classes": {"view": {}},
    "settings.tenants[0].quota_rps": "many",
    "settings.bounds.max_attempts": 0,
    "settings.bounds.streams_per_conn": 0,
    "settings.bounds.max_open": 0,
    "settings.bounds.cancel": "yes",
    "settings.bounds.dial_timeout": -5,
    "settings.family_info.load_window": "x",
    "settings.family_info.free_loads": -1,
    "settings.invariants.cold": -1,
    "settings.fleet_size": 0,
    "settings.tick": [],
    "limits.sockets": 31,
    "limits.memory_mb": 0,
    "known.seq": -1,
    "known.results": 7,
    "listen": "localhost:80",
    "changelog": "10.0.0.1",
    "seed": "not hex",
}


def configuration_with(base, path, value):
    """A copy of the configuration with this value under this key."""
    made = json.loads(json.dumps(base))
    *parts, last = path.replace("[0]", ".0").split(".")
    place = made
    for part in parts:
        place = place[int(part)] if part.isdigit() else place.setdefault(part, {})
    place[int(last) if last.isdigit() else last] = value
    return made


class TestInvalidSettings:
    @pytest.mark.parametrize(("path", "value"), INVALID.items(), ids=INVALID)
    def test_check_config_names_the_key(self, tmp_path, monkeypatch, path, value):
        for name in ("ROUTER_LISTEN", "ROUTER_NAME", "ROUTER_CONTROL", "ROUTER_CONFIG"):
            monkeypatch.delenv(name, raising=False)
        file = tmp_path / "config.json"
        file.write_text(json.dumps(configuration_with(BASE, path, value)))
        result = CliRunner().invoke(app, ["check-config", "--config", str(file)])
        assert result.exit_code == 2
        assert path in result.output

    def test_an_unreadable_settings_file_is_reported(self, tmp_path):
        file = tmp_path / "config.json"
        file.write_text("{")
        for place in (file, tmp_path / "none.json"):
            result = CliRunner().invoke(app, ["check-config", "--config", str(place)])
            assert result.exit_code == 2
            assert "ROUTER_CONFIG" in result.output

    def test_a_reload_with_invalid_settings_does_not_affect_open_requests(self, rig):
        def reread():
            raise ConfigError("settings.fleet_size: faulty")

        rig.front._reread_configuration = reread
        client = rig.client()
        client.call(seqid=1)
        run_of(rig, 1)
        rig.front.reload()
        answer_run(rig, 1)
        rig.until(lambda: client.answers, "the answer arrives")
        assert client.kinds() == {1: "answer"}
        assert any("settings.fleet_size" in line for line in rig.lines)
