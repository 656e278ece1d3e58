"""The logs of other members that this front end follows."""

from collections.abc import Callable, Iterator
from typing import Any

from fawnwharf.config import address_from
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.replication.directed_log import DirectedLog

OnLine = Callable[[str, Any], None]  # the member and its line


class FollowedLogs:
    """Manages the connections to members' logs, by member."""

    def __init__(
        self,
        loop: EventLoop,
        on_line: OnLine,
        on_dropped_line: Callable[[str], None],
        send_hello: Callable[[str, int], None],
    ) -> None:
        """`send_hello` must announce, in this front end's log, the number used to request a member's log."""
        self._loop, self._on_line = loop, on_line
        self._on_dropped_line, self._send_hello = on_dropped_line, send_hello
        self._logs: dict[str, DirectedLog] = {}

    def follow(self, places: dict[str, str]) -> list[str]:
        """Follow exactly the logs at these addresses, by member; returns the members no longer followed."""
        dropped = [name for name in self._logs if name not in places]
        for name in dropped:
            self._logs.pop(name).close()
        for name, place in places.items():
            address = address_from(place, "members.state")
            if name in self._logs:
                self._logs[name].move(address)
            else:
                self._logs[name] = log = DirectedLog(
                    self._loop,
                    address,
                    self._line_handler(name),
                    self._on_dropped_line,
                    self._hello_sender(name),
                )
                log.connect()
        return dropped

    def _line_handler(self, name: str) -> Callable[[Any], None]:
        return lambda line: self._on_line(name, line)

    def _hello_sender(self, name: str) -> Callable[[int], None]:
        return lambda reader_number: self._send_hello(name, reader_number)

    def heartbeats(self) -> Iterator[tuple[str, int, float]]:
        """Connected members: name, incarnation, and when anything was last received from their log."""
        for name, log in self._logs.items():
            if log.up and log.incarnation:
                yield name, log.incarnation, log.heard_ms

    def run_maintenance(self) -> None:
        """Reconnect logs that have been silent, as the change log does."""
        for log in self._logs.values():
            log.run_maintenance()

    def close(self) -> None:
        """Close all connections."""
        for log in self._logs.values():
            log.close()
