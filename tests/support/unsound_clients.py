"""Clients that break one clause of the protocol each, at full speed, and a check of what they got."""

import collections
import itertools
import random
import socket
import struct
import time

from peers import ROW, handle_frame, reply_from

from fawnwharf.net import thrift
from support.client_cases import withdrawal

REACTION_S = 3.0  # a refusal, an error or a close is owed within this time of connecting
READ_BYTES = 64 * 1024
NUMBERS = itertools.count(1)
NAMES = {"op": "view", "org": "acme", "row": ROW}  # that exist where the clients go; a test may replace them


def fields_of(number, **changes):
    """The fields of a sound request, with these changes; a field that is None is left out."""
    fields = NAMES | {"call": f"{0xBAD00000 + number:016x}", "ttl": "1500"}
    return {name: value for name, value in (fields | changes).items() if value is not None}


def request(seqid=1, body=b"bad", **changes):
    return handle_frame(seqid, fields_of(next(NUMBERS), **changes), body)


def other_body_type():
    head = struct.pack(">Ii", thrift.VERSION | thrift.CALL, 6) + b"handle" + struct.pack(">i", 1)
    fields = struct.pack(">bh", thrift.MAP, 1) + thrift._fields(fields_of(next(NUMBERS)))
    message = head + fields + struct.pack(">bhib", thrift.I32, 2, 5, 0)
    return struct.pack(">I", len(message)) + message


def many_short_fields():
    changes = {f"f{number}": "x" for number in range(3_000)}
    return handle_frame(1, fields_of(next(NUMBERS), **changes), b"")


def hundreds(count=300, **changes):
    return b"".join(request(seqid, **changes) for seqid in range(1, count + 1))


def taken_back(count=300):
    return hundreds(count) + b"".join(withdrawal(seqid, seqid) for seqid in range(1, count + 1))


def id_of_an_open_request():
    call = f"{0xC0DE0000 + next(NUMBERS):016x}"
    return request(1, b"first", call=call) + request(2, b"another", call=call)


# What each kind writes on a new connection.
KINDS = {
    "noise": lambda: random.randbytes(2_000),
    "a negative length": lambda: struct.pack(">i", -5) + b"x" * 500,
    "a huge length": lambda: struct.pack(">I", 2**31 - 1) + b"x" * 500,
    "an endless message": lambda: struct.pack(">I", 40_000) + b"x" * 500,
    "a body that is too large": lambda: request(body=b"x" * 17_000),
    "a frame of a megabyte": lambda: request(body=b"x" * 1_000_000),
    "very many short fields": many_short_fields,
    "a tenant that does not exist": lambda: request(org="nobody"),
    "a class that does not exist": lambda: request(op="unheard"),
    "no id": lambda: request(call=None),
    "no function": lambda: request(row=None),
    "a figure that is no number": lambda: request(props="memory_mb:much"),
    "a figure out of range": lambda: request(props="memory_mb:999999999999;load_ms:999999999999"),
    "lanes 0": lambda: request(props="lanes:0"),
    "a fraction of a lane": lambda: request(props="lanes:1.5"),
    "a time out of range": lambda: request(ttl="99999999"),
    "a body of another type": other_body_type,
    "number 0": lambda: request(0),
    "a negative number": lambda: request(-7),
    "two requests under one number": lambda: request(1) + request(1),
    "the id of an open request": id_of_an_open_request,
    "hundreds at once": hundreds,
    "hundreds taken back at once": taken_back,
    "half a request": lambda: request(body=b"x" * 9_000)[:5_000],
    "silence": lambda: b"",
}
MAY_BE_SERVED = {"the id of an open request": {1}}  # sequence numbers, by kind


class UnsoundClient:
    """Sends a kind of payload again on a new connection as soon as the last one got a reaction."""

    def __init__(self, address, kind, max_rounds=10_000, reaction_s=REACTION_S):
        self.kind, self.faults, self.rounds = kind, [], 0
        self.kinds = collections.Counter()
        self.host = address[0]
        self._address, self._max_rounds, self._reaction_s = address, max_rounds, reaction_s
        self._sock = None
        self.began_s = []  # when each connection was opened
        self._begin()

    def close(self):
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    def _begin(self):
        self.close()
        if self.rounds >= self._max_rounds:
            return
        self.rounds += 1
        try:
            self._sock = socket.create_connection(self._address, timeout=1.0)
        except OSError:
            return  # nobody listens at present; the next `pump` tries again
        self._sock.setblocking(False)
        self._outbox, self._data = bytearray(KINDS[self.kind]()), bytearray()
        self.began_s.append(time.monotonic())
        if self.kind == "half a request":
            self._write()
            self.close()  # the next `pump` begins anew

    def _write(self):
        try:
            if self._outbox:
                del self._outbox[: self._sock.send(self._outbox)]
        except BlockingIOError:
            pass

    def pump(self):
        """Write and read what is possible now; begin anew after a reaction."""
        if self._sock is None:
            self._begin()
            return
        try:
            self._write()
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            data = None
        except OSError:
            data = b""
        if data is None:
            if time.monotonic() - self.began_s[-1] > self._reaction_s:
                self.faults.append(f"{self.kind}: no reaction within {self._reaction_s} s")
                self._begin()
            return
        self._data += data
        answered = self._note_answers()
        if not data or answered:
            self._begin()

    def _note_answers(self):
        """Note all whole answers; returns whether what was sent has its reaction."""
        reacted = False
        while len(self._data) >= 4 and len(self._data) >= 4 + (
            size := struct.unpack_from(">I", self._data)[0]
        ):
            seqid, kind, _ = reply_from(bytes(self._data[4 : 4 + size]))
            del self._data[: 4 + size]
            self.kinds[kind] += 1
            is_sound = seqid in MAY_BE_SERVED.get(self.kind, ())
            if kind == "answer" and not is_sound:
                self.faults.append(f"{self.kind}: number {seqid} was served")
            reacted = reacted or not is_sound
        return reacted
