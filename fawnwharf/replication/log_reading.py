"""Reads a member's log of replicated state from outside the fleet, for operators' commands and tests."""

import json
import socket
import time
from collections.abc import Iterator

from fawnwharf.config import address_from
from fawnwharf.replication import messages as m

READ_TIMEOUT_S = 3.0


def read_messages(place: str, within_s: float = READ_TIMEOUT_S) -> Iterator[m.Message]:
    """Yield the messages of the log at this address for `within_s` seconds: current ones, then new ones.

    Raises OSError if the log can't be read, and ValueError or msgspec.ValidationError for a line that no
    member writes.
    """
    with socket.create_connection(address_from(place, "members.state"), within_s) as sock:
        sock.sendall(b"since 0\n")
        with sock.makefile("rb") as reader:
            end_s = time.monotonic() + within_s
            while time.monotonic() < end_s and (data := reader.readline()):
                read = json.loads(data)
                if isinstance(read, dict) and "line" in read:
                    yield m.parse_line(read["line"]).message


def fetch_status(place: str, within_s: float = READ_TIMEOUT_S) -> m.Status:
    """A front end's last status; raises like `read_messages`, and ValueError if the log has no status."""
    for message in read_messages(place, within_s):
        if isinstance(message, m.Status):
            return message
    raise ValueError("its log has no status")
