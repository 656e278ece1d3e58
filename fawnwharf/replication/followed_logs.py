"""The logs of other members that this front end follows."""

from collections.abc import Callable, Iterator
from typing import Any

from fawnwharf.config import address_from
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.replication.directed_log import DirectedLog

OnLine = Callable[[str, Any], None]  # the member and its line


class FollowedLogs:
    """Owns the connections to members' logs, by member."""

    def __init__(
        self,
        loop: EventLoop,
        on_line: OnLine,
        on_dropped_line: Callable[[str], None],
        send_hello: Callable[[str, int], None],
    ) -> None:
        """`send_hello` has to state, in the own log, the number with which a member's log is requested."""
        self._loop, self._on_line = loop, on_line
        self._on_dropped_line, self._send_hello = on_dropped_line, send_hello
        self._logs: dict[str, DirectedLog] = {}

    def follow(self, places: dict[str, str]) -> list[str]:
        """Follow the logs at these places, by member, and no others; the members that are dropped."""
        dropped = [name for name in self._logs if name not in places]
        for name in dropped:
            self._logs.pop(name).close()
        for name, place in places.items():
            address = address_from(place, "members.state")
            if name in self._logs:
                self._logs[name].move(address)
            else:
                self._logs[name] = log = DirectedLog(
                    self._loop, address, self._taker(name), self._on_dropped_line, self._greeter(name)
                )
                log.connect()
        return dropped

    def _taker(self, name: str) -> Callable[[Any], None]:
        return lambda line: self._on_line(name, line)

    def _greeter(self, name: str) -> Callable[[int], None]:
        return lambda reader_number: self._send_hello(name, reader_number)

    def signs_of_life(self) -> Iterator[tuple[str, int, float]]:
        """Members that are connected: name, incarnation, and when their log was last heard."""
        for name, log in self._logs.items():
            if log.up and log.incarnation:
                yield name, log.incarnation, log.heard_ms

    def tidy(self) -> None:
        """Reconnect what has been silent, as the change log does."""
        for log in self._logs.values():
            log.run_maintenance()

    def close(self) -> None:
        """Close all connections."""
        for log in self._logs.values():
            log.close()
