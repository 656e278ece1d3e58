"""A client that writes as fast as it can, and knows which of its requests were sent past the limit."""

import collections
import random
import socket
import struct
import time

from peers import handle_frame, reply_from

MAX_OPEN = 32  # the limit of open requests on one connection
FUNCTIONS = 4
READ_BYTES = 256 * 1024


class PipeliningClient:
    """Sends `count` requests at once, and a further one for each that is turned away if it `repeats`.

    A request counts as sent once its last byte is written, and as open until its answer is read. Call `pump`
    often. `max_requests` ends the repeats.
    """

    def __init__(self, address, count, repeats=False, body_bytes=10, max_requests=10_000):
        self.sock = socket.create_connection(address)
        self.sock.setblocking(False)
        self.ended = False
        self.began_s = time.monotonic()
        self.kinds = collections.Counter()  # of answers
        self.past_limit = set()  # sequence numbers
        self.served_past_limit = set()
        self.open = set()
        self._repeats, self._body, self._max_requests = repeats, b"y" * body_bytes, max_requests
        self._seqid, self._number = 0, random.getrandbits(32)
        self._outbox, self._data = bytearray(), bytearray()
        self._queued_bytes = self._written_bytes = 0
        self._frame_ends = collections.deque()  # end in the stream, sequence number
        for _ in range(count):
            self._queue()

    def _queue(self):
        self._seqid += 1
        fields = {
            "op": "view",
            "call": f"{self._number:08x}{self._seqid:08x}",
            "ttl": "3000",
            "org": "acme",
            "row": f"{self._seqid % FUNCTIONS + 1:016x}",
        }
        frame = handle_frame(self._seqid, fields, self._body)
        self._outbox += frame
        self._queued_bytes += len(frame)
        self._frame_ends.append((self._queued_bytes, self._seqid))

    def pump(self):
        """Write what the system accepts, then read and note what has arrived."""
        if self.ended:
            return
        try:
            self._write()
            self._read()
        except BlockingIOError:
            pass
        except OSError:
            self.ended = True

    def _write(self):
        if not self._outbox:
            return
        try:
            written = self.sock.send(self._outbox)
        except BlockingIOError:
            return
        del self._outbox[:written]
        self._written_bytes += written
        while self._frame_ends and self._frame_ends[0][0] <= self._written_bytes:
            _, seqid = self._frame_ends.popleft()
            if len(self.open) >= MAX_OPEN:
                self.past_limit.add(seqid)
            self.open.add(seqid)

    def _read(self):
        data = self.sock.recv(READ_BYTES)
        self.ended = not data
        self._data += data
        while len(self._data) >= 4:
            end = 4 + struct.unpack_from(">I", self._data)[0]
            if len(self._data) < end:
                return
            self._note(*reply_from(bytes(self._data[4:end]))[:2])
            del self._data[:end]

    def _note(self, seqid, kind):
        self.kinds[kind] += 1
        self.open.discard(seqid)
        if kind == "answer" and seqid in self.past_limit:
            self.served_past_limit.add(seqid)
        if kind != "answer" and self._repeats and self._seqid < self._max_requests:
            self._queue()
