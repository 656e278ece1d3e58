"""Messages of a front end on policy rollouts, gathered for few lines in the zones' log."""

from collections.abc import Callable

import msgspec

from fawnwharf.net.event_loop import EventLoop
from fawnwharf.policy_rollout import messages as m
from fawnwharf.zones.log_lines import ClientMessage
from fawnwharf.zones.service import ZoneService

RENEW_MS = 50.0  # renewals wait for so long, to be sent together: each line goes to all readers
LINE_MOST = 96 * 1024  # characters of the messages in one line
ITERATION_MOST = 512 * 1024  # and in one event loop iteration; the rest is dropped, as all is repeated


class MessageBatcher:
    """Queues messages up to the end of the event loop iteration; lease renewals wait a little for others."""

    def __init__(self, loop: EventLoop, zones: ZoneService, dropped: Callable[[str], None]) -> None:
        """`dropped` is told why messages are dropped."""
        self._loop, self._zones, self._dropped = loop, zones, dropped
        self._queue: list[m.Send] = []
        self._granted: dict[str, tuple[int, int]] = {}  # by member: incarnation and number of its last lease
        self._renews = False  # some wait to be renewed

    def forget_grants(self) -> None:
        """Send the next lease of each member without delay."""
        self._granted.clear()

    def send(self, say: m.Send) -> None:
        """Queue a message."""
        self._queue.append(say)
        if not self._is_renewal(say):
            self._loop.schedule_flush(self)
        elif not self._renews:
            self._renews = True
            self._loop.timers.after(RENEW_MS, self.flush)

    def _is_renewal(self, say: m.Send) -> bool:
        """Whether it is a lease like the member's last one, which is noted."""
        word = say.message
        if not isinstance(word, m.LeaseGrant) or not word.lease_ms:
            return False
        held, self._granted[say.to] = self._granted.get(say.to), (word.life, word.number)
        return held == self._granted[say.to]

    def flush(self) -> None:
        """Send what is queued, at the end of the iteration or of the wait."""
        queue, self._queue, self._renews = self._queue, [], False
        to: dict[m.Message, list[str]] = {}  # what is the same for several is sent once
        for say in queue:
            to.setdefault(say.message, []).append(say.to)
        words, size, total = [], 0, 0
        for message, names in to.items():
            size += len(msgspec.json.encode(message))
            if total + size > ITERATION_MOST:
                self._dropped(f"more than {ITERATION_MOST} characters in a turn")
                break
            words.append(
                ClientMessage(msgspec.to_builtins(message), () if m.LEADER in names else tuple(names))
            )
            if size > LINE_MOST:
                self._zones.send_messages(words)
                words, size, total = [], 0, total + size
        if words:
            self._zones.send_messages(words)
