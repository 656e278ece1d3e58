"""Parses the HTTP/1.1 request of an operator and encodes its response. No I/O."""

from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qsl, unquote

import httptools

MAX_REQUEST_BYTES = 8 * 1024  # of a request with its body; admin commands have none
MAX_SCORER_ID_CHARACTERS = 256  # of the value of `?target=`
MAX_QUERY_FIELDS = 16


@dataclass(slots=True, frozen=True)
class AdminRequest:
    """A parsed request; `query` has the names and values in their order."""

    method: str
    path: str
    query: tuple[tuple[str, str], ...] = ()


@dataclass(slots=True, frozen=True)
class AdminResponse:
    """A status and one line of text."""

    status: int
    text: str


@dataclass(slots=True)
class RequestReader:
    """Parses the bytes of one connection until its request is complete or invalid.

    `result` is the complete request, or the error response to an invalid one; None before. After that only
    the listener changes it, to the response.
    """

    received_bytes: int = 0
    result: AdminRequest | AdminResponse | None = None
    _url: bytes = b""
    _parser: httptools.HttpRequestParser | None = field(default=None, repr=False)

    def feed(self, data: bytes) -> AdminRequest | AdminResponse | None:
        """Parses received bytes and returns `result`. Bytes after the request are ignored."""
        if self.result is not None:
            return self.result
        self.received_bytes += len(data)
        parser = self._parser = self._parser or httptools.HttpRequestParser(self)
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.result = self.result or AdminResponse(400, "no other protocol is spoken here")
        except httptools.HttpParserError as error:
            self.result = self.result or AdminResponse(400, f"not HTTP/1.1: {type(error).__name__}")
        if self.result is None and self.received_bytes > MAX_REQUEST_BYTES:
            self.result = AdminResponse(431, f"a call of more than {MAX_REQUEST_BYTES} bytes")
        if self.result is not None:
            self._parser = None  # breaks the reference cycle, so that both are freed at once
        return self.result

    # --- callbacks of httptools.HttpRequestParser -------------------------------------------------

    def on_url(self, url: bytes) -> None:
        """Called with a part of the request's URL."""
        self._url += url

    def on_message_complete(self) -> None:
        """Called at the end of a request; a second one on the same connection is ignored."""
        if self.result is None and self._parser is not None:
            method = self._parser.get_method().decode("ascii", "replace")
            self.result = _parse_request(method, self._url)


def _parse_request(method: str, url: bytes) -> AdminRequest | AdminResponse:
    try:
        parts = httptools.parse_url(url)
        path = unquote((parts.path or b"/").decode("ascii"))
        raw_query = (parts.query or b"").decode("ascii")
        query = parse_qsl(raw_query, keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS)
    except (httptools.HttpParserInvalidURLError, UnicodeDecodeError, ValueError):
        return AdminResponse(400, "no such address")
    return AdminRequest(method, path, tuple(query))


def encode_response(response: AdminResponse) -> bytes:
    """Encodes a response, after which the connection ends."""
    text = "".join(char if char.isprintable() else "?" for char in response.text)
    body = text.encode() + b"\n"
    reason = HTTPStatus(response.status).phrase
    head = (
        f"HTTP/1.1 {response.status} {reason}\r\nContent-Type: text/plain; charset=utf-8\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body
