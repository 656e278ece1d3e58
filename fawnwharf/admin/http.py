"""One HTTP/1.1 call of an operator, from bytes to what it asks and back. Pure; httptools is the parser."""

from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qsl, unquote

import httptools

MAX_REQUEST_BYTES = 8 * 1024  # bytes of a call in all, its body too: operators send none
MAX_TARGET_LENGTH = 256


@dataclass(slots=True, frozen=True)
class AdminRequest:
    """A call, taken apart: `query` has its pairs in their order."""

    method: str
    path: str
    query: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True, frozen=True)
class AdminResponse:
    """What a call is answered with: a status and one line of text."""

    status: int
    text: str

    @property
    def good(self) -> bool:
        return 200 <= self.status < 300


@dataclass(slots=True)
class RequestReader:
    """Takes the bytes of one connection; its one call, or why it is none."""

    taken: int = 0
    done: AdminRequest | AdminResponse | None = None
    _url: bytes = b""
    _parser: httptools.HttpRequestParser | None = field(default=None, repr=False)

    def feed(self, data: bytes) -> AdminRequest | AdminResponse | None:
        """The call once it is whole, an Answer where it can be none; None until either is known."""
        if self.done is not None:
            return self.done
        self.taken += len(data)
        self._parser = self._parser or httptools.HttpRequestParser(self)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.done = self.done or AdminResponse(400, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            self.done = self.done or AdminResponse(400, f"not HTTP/1.1: {type(error).__name__}")
        if self.done is None and self.taken > MAX_REQUEST_BYTES:
            self.done = AdminResponse(431, f"a call of more than {MAX_REQUEST_BYTES} bytes")
        if self.done is not None:
            self._parser = None  # it holds this reader, and both would wait for a full collection
        return self.done

    # --- from the parser --------------------------------------------------------------------------

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_message_complete(self) -> None:
        if self.done is None:  # a second call on the connection is not heard
            self.done = _parse_request(self._parser.get_method().decode("ascii", "replace"), self._url)


def _parse_request(method: str, url: bytes) -> AdminRequest | AdminResponse:
    try:
        parts = httptools.parse_url(url)
        path = unquote((parts.path or b"/").decode("ascii"))
        query = parse_qsl((parts.query or b"").decode("ascii"), keep_blank_values=True, max_num_fields=16)
    except (httptools.HttpParserInvalidURLError, UnicodeDecodeError, ValueError):
        return AdminResponse(400, "no such address")
    return AdminRequest(method, path, tuple(query))


def encode_response(answer: AdminResponse) -> bytes:
    """The bytes of an answer, after which the connection ends."""
    body = "".join(char if char.isprintable() else "?" for char in answer.text).encode() + b"\n"
    reason = HTTPStatus(answer.status).phrase
    head = (
        f"HTTP/1.1 {answer.status} {reason}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
