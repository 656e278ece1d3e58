"""The ids of recent requests: which contents they had, and which requests may have run. No I/O.

PROTOCOL, "Clients to front ends": the id is "16 hex digits, new with every request, also with a client's
retry". A request that crosses the close of its connection is sent again under its id; it was never read. So
an id that comes again with another content is never sound, and one that comes again with the same content is
accepted unless the request must not run twice.
"""

import hashlib
import struct
from collections.abc import Iterator
from typing import Generic, TypeVar

MAX_IDS = 8_192  # some 1 MB
CONTENT_AGE_MS = 20_000.0  # longer than the longest request
MAY_HAVE_RUN_AGE_MS = 120_000.0
CONTENT_DIGEST_BYTES = 8

_ID = struct.Struct(">Q")
_CONTENT = struct.Struct(">QQ")  # id, digest
Value = TypeVar("Value")


class RecentIds(Generic[Value]):
    """Values by id, in two generations; the older one is dropped when the newer one is full or old.

    An id is known for at least half of `max_age_ms` and at most `max_age_ms`, or until half of `max_ids`
    newer ones were added. Times are on the monotonic clock.
    """

    def __init__(self, max_ids: int, max_age_ms: float) -> None:
        self._max_ids, self._max_age_ms = max_ids // 2, max_age_ms / 2.0
        self._newer: dict[int, Value] = {}
        self._older: dict[int, Value] = {}
        self._began_ms = 0.0  # the newer generation

    def __len__(self) -> int:
        return len(self._newer) + len(self._older)

    def items(self) -> Iterator[tuple[int, Value]]:
        """All known ids with their values, the older generation first."""
        yield from self._older.items()
        yield from self._newer.items()

    def get(self, request_id: int, now_ms: float) -> Value | None:
        """Return the value of an id; None if it is not known."""
        self._expire(now_ms)
        value = self._newer.get(request_id)
        return self._older.get(request_id) if value is None else value

    def put(self, request_id: int, value: Value, now_ms: float) -> None:
        """Add an id, or replace its value."""
        self._expire(now_ms)
        if len(self._newer) >= self._max_ids:
            self._begin_generation(now_ms)
        self._newer[request_id] = value

    def discard(self, request_id: int) -> None:
        """Forget an id."""
        self._newer.pop(request_id, None)
        self._older.pop(request_id, None)

    def _expire(self, now_ms: float) -> None:
        if now_ms - self._began_ms > 2.0 * self._max_age_ms:
            self._newer = {}
        if now_ms - self._began_ms > self._max_age_ms:
            self._begin_generation(now_ms)

    def _begin_generation(self, now_ms: float) -> None:
        self._older, self._newer = self._newer, {}
        self._began_ms = now_ms


def id_number(request_id: bytes) -> int:
    """The number of an id of 8 bytes, which takes less memory than the bytes."""
    number: int = _ID.unpack(request_id)[0]
    return number


def content_digest(class_name: str, tenant: str, function: str, token: str, body: bytes) -> int:
    """The digest of what a request asks for; its time limit and its estimates don't belong to that."""
    names = "\0".join((class_name, tenant, function, token)).encode()
    digest = hashlib.blake2b(names + b"\0" + body, digest_size=CONTENT_DIGEST_BYTES).digest()
    return int.from_bytes(digest, "big")


class RequestContents:
    """Knows the contents of recent requests by their ids."""

    def __init__(self) -> None:
        self.known: RecentIds[int] = RecentIds(MAX_IDS, CONTENT_AGE_MS)

    def accept(self, request_id: bytes, content: int, now_ms: float) -> bool:
        """Remember a request; return False if its id belongs to a request with another content."""
        number = id_number(request_id)
        earlier = self.known.get(number, now_ms)
        if earlier is not None and earlier != content:
            return False
        self.known.put(number, content, now_ms)
        return True

    def encode(self) -> bytes:
        """Encode all that is known, for a process that takes over."""
        return b"".join(_CONTENT.pack(*item) for item in self.known.items())

    def restore(self, data: bytes, now_ms: float) -> None:
        """Add what another process has encoded; an incomplete entry at the end is ignored."""
        whole_bytes = len(data) - len(data) % _CONTENT.size
        for number, content in _CONTENT.iter_unpack(data[:whole_bytes]):
            self.known.put(number, content, now_ms)


class RunIds:
    """Knows the ids of at-most-once requests that are open or may have run."""

    def __init__(self) -> None:
        self.known: RecentIds[bool] = RecentIds(MAX_IDS, MAY_HAVE_RUN_AGE_MS)

    def begin(self, request_id: bytes, now_ms: float) -> bool:
        """Remember a request; return False if one with its id is open or may have run."""
        number = id_number(request_id)
        if self.known.get(number, now_ms):
            return False
        self.known.put(number, True, now_ms)
        return True

    def never_ran(self, request_id: bytes) -> None:
        """A request has ended and never ran."""
        self.known.discard(id_number(request_id))

    def encode(self) -> bytes:
        """Encode all that is known, for a process that takes over."""
        return b"".join(_ID.pack(number) for number, _ in self.known.items())

    def restore(self, data: bytes, now_ms: float) -> None:
        """Add what another process has encoded; an incomplete entry at the end is ignored."""
        whole_bytes = len(data) - len(data) % _ID.size
        for (number,) in _ID.iter_unpack(data[:whole_bytes]):
            self.known.put(number, True, now_ms)
