"""Tests of the two protocols' parsers, with input in one piece and in many."""

import struct
import unittest
import zlib

from peers import ROW, handle_frame, reply_from

from fawnwharf.config import settings_from
from fawnwharf.net import scorer_frames, thrift
from fawnwharf.net.calls import call_from

FIELDS = {"op": "view", "call": "9b1f03aa5c7e2d41", "ttl": "1500", "org": "acme", "row": ROW}


def framed(message):
    return struct.pack(">I", len(message)) + message


def head(name=b"handle", seqid=7, kind=thrift.CALL, version=thrift.VERSION):
    return struct.pack(">Ii", version | kind, len(name)) + name + struct.pack(">i", seqid)


def feed_in_pieces(reader, data, size):
    found = []
    for start in range(0, len(data), size):
        found += reader.feed(data[start : start + size])
    return found


class ThriftReading(unittest.TestCase):
    def test_messages_in_one_piece_and_in_many(self):
        extra = struct.pack(">bhbi", thrift.LIST, 9, thrift.I32, 2) + b"\0" * 8
        plain = handle_frame(1, FIELDS, b"\0\xff" * 10)
        with_extra = framed(plain[4:-1] + extra + b"\0")
        withdraw = framed(head(b"withdraw", 3, thrift.ONEWAY) + struct.pack(">bhib", thrift.I32, 1, 1, 0))
        status = framed(head(b"status", 4) + struct.pack(">bhbb", thrift.BOOL, 1, 1, 0))
        expected = [thrift.Handle(1, FIELDS, b"\0\xff" * 10)] * 2 + [thrift.Withdraw(1), thrift.Status(4)]
        for size in (1, 3, 7, 64, 10_000):
            with self.subTest(size=size):
                reader = thrift.FrameReader()
                self.assertEqual(
                    feed_in_pieces(reader, plain + with_extra + withdraw + status, size), expected
                )

    def test_errors_have_the_sequence_number_where_it_can_be_read(self):
        negative = struct.pack(">bhi", thrift.STRING, 2, -5)
        endless = struct.pack(">bhbbi", thrift.MAP, 1, 11, 11, 2**31 - 1)
        nested = struct.pack(">bh", thrift.STRUCT, 5) * 100
        cases = {
            "not Thrift": (b"GET / HTTP/1.1\r\n\r\n", None),
            "a negative length": (b"\xff\xff\xff\xff" + b"x" * 300, None),
            "unsupported version": (framed(head(version=0x80020000)), None),
            "truncated header": (framed(head()[:10]), None),
            "an empty frame": (framed(b""), None),
            "a huge name length": (framed(struct.pack(">Ii", thrift.VERSION | 1, 2**30) + b"x" * 20), None),
            "unknown method": (framed(head(b"explode") + b"\0"), 7),
            "a reply": (framed(head(kind=thrift.REPLY) + b"\0"), 7),
            "no arguments": (framed(head()), 7),
            "no fields": (framed(head() + b"\0"), 7),
            "a negative string": (framed(head() + negative), 7),
            "map size beyond the frame": (framed(head() + endless), 7),
            "nested too deep": (framed(head() + nested), 7),
            "an unknown type": (framed(head() + b"\x63\0\1\0"), 7),
            "bytes after the arguments": (framed(handle_frame(7, FIELDS)[4:] + b"x"), 7),
            "invalid UTF-8": (framed(handle_frame(7, FIELDS)[4:].replace(b"view", b"\xff\xfe\xfd\xfc")), 7),
            "a body too large": (handle_frame(7, FIELDS, b"x" * (16 * 1024 + 1)), 7),
            "a frame too large": (handle_frame(7, FIELDS, b"x" * 200_000), 7),
        }  # fmt: skip
        for name, (data, seqid) in cases.items():
            for size in (1, len(data)):
                with self.subTest(name, size=size):
                    found = feed_in_pieces(thrift.FrameReader(), data, size)
                    self.assertIsInstance(found[0], thrift.MalformedMessageError)
                    self.assertEqual(found[0].seqid, seqid)

    def test_an_oversized_frame_is_skipped_without_being_buffered(self):
        reader, large = thrift.FrameReader(), handle_frame(7, FIELDS, b"x" * 3_000_000)
        found = []
        for start in range(0, len(large), 65536):
            found += reader.feed(large[start : start + 65536])
            self.assertLess(len(reader._buffer), thrift.MAX_FRAME_BYTES)
        found += reader.feed(handle_frame(8, FIELDS))
        self.assertEqual([item.seqid for item in found], [7, 8])
        self.assertIsInstance(found[1], thrift.Handle)

    def test_encoded_answers_are_decoded(self):
        cases = [
            (thrift.answer("handle", 5, b"\0b", {}, True), (5, "answer", {1: b"\0b", 2: {}, 3: True})),
            (thrift.throttled(-1, {"pushback": "9"}), (-1, "throttled", {1: {"pushback": b"9"}})),
            (thrift.broken(6, {}), (6, "broken", {1: {}})),
        ]
        for data, expected in cases:
            self.assertEqual(reply_from(data[4:]), expected)


class Calls(unittest.TestCase):
    CLASSES = settings_from({"classes": [{"name": "view", "effect": "idempotent"},
                                         {"name": "save", "effect": "deduplicated"}]}).classes  # fmt: skip

    def test_numbers_in_a_call(self):
        props = "memory_mb:512;lanes:2;load_ms:640.5;unheard:x"
        call = call_from(thrift.Handle(1, FIELDS | {"props": props}, b"b"), self.CLASSES)
        self.assertEqual((call.lanes, call.memory_mb, call.load_ms), (2, 512.0, 640.5))
        self.assertEqual((call.id.hex(), call.function), (FIELDS["call"], ROW))
        self.assertEqual(call.budget_ms, 1500.0)

    def test_odd_and_missing_estimates_are_accepted(self):
        cases = [
            ("", 1, None, None),
            (";;", 1, None, None),
            ("lanes:2.0;", 2, None, None),
            ("lanes:4096;memory_mb:1048576;load_ms:3600000", 4096, 1_048_576.0, 3_600_000.0),
            ("memory_mb:512.25;load_ms:0.5", 1, 512.25, 0.5),
            ("memory_mb:0;load_ms:0", 1, 0.0, 0.0),
            ("hint:12.0;unheard;other:999999999999", 1, None, None),
        ]
        for props, *expected in cases:
            with self.subTest(props):
                call = call_from(thrift.Handle(1, FIELDS | {"props": props}, b""), self.CLASSES)
                self.assertEqual([call.lanes, call.memory_mb, call.load_ms], expected)
        call = call_from(thrift.Handle(1, FIELDS | {"call": FIELDS["call"].upper()}, b""), self.CLASSES)
        self.assertEqual((call.id.hex(), call.lanes), (FIELDS["call"], 1))

    def test_a_request_without_a_body_or_with_unknown_arguments_is_accepted(self):
        head = struct.pack(">Ii", thrift.VERSION | thrift.CALL, 6) + b"handle" + struct.pack(">i", 7)
        fields = struct.pack(">bh", thrift.MAP, 1) + thrift._fields(FIELDS)
        for more in (b"", struct.pack(">bhi", thrift.I32, 3, 5)):
            message = head + fields + more + b"\0"
            found = thrift.FrameReader().feed(struct.pack(">I", len(message)) + message)
            self.assertEqual(found, [thrift.Handle(7, FIELDS, b"")])

    def test_invalid_calls_are_rejected(self):
        cases = [
            {"op": "nothing"}, {"call": "xyz"}, {"call": "9b1f03aa5c7e2d4"}, {"row": ROW + ",kind=x"},
            {"row": ""}, {"ttl": "0"}, {"ttl": "-5"}, {"ttl": "nan"}, {"ttl": "1e9"}, {"ttl": ""},
            {"ttl": "9" * 12}, {"op": "save"}, {"op": "save", "dedupe": "a,b=c"}, {"dedupe": "x" * 200},
            {"props": "lanes:-1"}, {"props": "lanes:999999"}, {"props": "memory_mb:inf"},
            {"props": "lanes:0"}, {"props": "lanes:1.5"}, {"props": "lanes"}, {"props": "load_ms:3600000.1"},
            {"props": "memory_mb:999999999999"}, {"row": "७" * 16},
        ]  # fmt: skip
        for change in cases:
            with self.subTest(change), self.assertRaises(thrift.MalformedMessageError):
                call_from(thrift.Handle(1, FIELDS | change, b""), self.CLASSES)


class ScorerFrames(unittest.TestCase):
    def test_layout_of_a_run_frame(self):
        data = scorer_frames.run(bytes(range(8)), "view", ROW, 1499.9, "tok", b"hi")
        fields = f"kind=view,obj={ROW},ms=1499,token=tok".encode()
        self.assertEqual(data[:16], b"\x80\x01" + struct.pack(">HI", len(fields), 2) + bytes(range(8)))
        self.assertEqual(data[16:-4], fields + b"hi")
        self.assertEqual(data[-4:], struct.pack(">I", zlib.crc32(fields + b"hi")))

    def test_frames_in_one_piece_and_in_many(self):
        data = b"".join(
            scorer_frames.encode(code, b"%08d" % code, f"res=init,company={code},odd,=x", b"b" * code, 129)
            for code in range(6)
        )
        for size in (1, 5, 17, 1000):
            with self.subTest(size=size):
                reader = scorer_frames.FrameReader()
                found = feed_in_pieces(reader, data, size)
                self.assertEqual([(f.code, f.fields["company"], len(f.body)) for f in found],
                                 [(code, str(code), code) for code in range(6)])  # fmt: skip
                self.assertEqual(found[0].fields, {"res": "init", "company": "0"})
                self.assertFalse(reader.fault)

    def test_a_malformed_frame_ends_the_stream_after_the_complete_frames(self):
        good = scorer_frames.encode(0, b"goodgood", "res=reused", b"x", 129)
        flipped = bytearray(good)
        flipped[-6] ^= 1
        cases = {
            "direction of a front end": scorer_frames.encode(0, b"goodgood"),
            "a flipped bit": bytes(flipped),
            "body length above the limit": struct.pack(">BBHI8s", 129, 0, 0, 2**31, b"goodgood"),
        }
        for name, bad in cases.items():
            with self.subTest(name):
                reader = scorer_frames.FrameReader()
                self.assertEqual([frame.body for frame in reader.feed(good + bad + good)], [b"x"])
                self.assertTrue(reader.fault)


if __name__ == "__main__":
    unittest.main()
