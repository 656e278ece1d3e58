"""Collects a front end's messages on policy rollouts, to send them in few lines of the member's log."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from fawnwharf.net.event_loop import EventLoop
from fawnwharf.policy_rollout import messages as m
from fawnwharf.zones.log_lines import ClientMessage
from fawnwharf.zones.service import ZoneService

RENEWAL_DELAY_MS = 50.0  # renewals wait for so long, to be sent together: each line goes to all readers
MAX_LINE_SIZE = 96 * 1024  # characters of the messages in one line
MAX_ITERATION_SIZE = 512 * 1024  # characters in one event loop iteration; more is dropped, as all is repeated


@dataclass(frozen=True, slots=True)
class _Granted:
    """The last lease that was sent to a member."""

    incarnation: int
    number: int


class MessageBatcher:
    """Queues messages up to the end of the event loop iteration; lease renewals wait a little for others."""

    def __init__(self, loop: EventLoop, zones: ZoneService, report_drop: Callable[[str], None]) -> None:
        """`report_drop` is called with the cause when messages are dropped."""
        self._loop = loop
        self._zones = zones
        self._report_drop = report_drop
        self._queue: list[m.Send] = []
        self._granted: dict[str, _Granted] = {}  # by member
        self._renewals_wait = False

    def forget_sent_grants(self) -> None:
        """Forget which leases were sent, so that the next one to each member is sent without delay.

        Nothing in the queue is dropped, and no lease is revoked.
        """
        self._granted.clear()

    def send(self, send: m.Send) -> None:
        """Queue a message."""
        self._queue.append(send)
        if not self._is_renewal(send):
            self._loop.schedule_flush(self)
        elif not self._renewals_wait:
            self._renewals_wait = True
            self._loop.timers.after(RENEWAL_DELAY_MS, self.flush)

    def _is_renewal(self, send: m.Send) -> bool:
        """Whether the message is a lease like the member's last one, which is noted."""
        message = send.message
        if not isinstance(message, m.LeaseGrant) or not message.lease_ms:
            return False
        granted = _Granted(message.incarnation, message.number)
        before = self._granted.get(send.to)
        self._granted[send.to] = granted
        return before == granted

    def flush(self) -> None:
        """Send what is queued, at the end of the iteration or of the delay."""
        queue = self._queue
        self._queue = []
        self._renewals_wait = False
        receivers: dict[m.Message, list[str]] = {}  # a message to several members is sent once
        for send in queue:
            receivers.setdefault(send.message, []).append(send.to)
        self._send_lines(receivers)

    def _send_lines(self, receivers: dict[m.Message, list[str]]) -> None:
        """Send messages in lines of limited size; what exceeds the limit of one iteration is dropped."""
        line: list[ClientMessage] = []
        size = 0
        sent = 0
        for message, names in receivers.items():
            size += len(msgspec.json.encode(message))
            if sent + size > MAX_ITERATION_SIZE:
                self._report_drop(f"more than {MAX_ITERATION_SIZE} characters in one iteration")
                break
            to = () if m.LEADER in names else tuple(names)
            line.append(ClientMessage(msgspec.to_builtins(message), to))
            if size > MAX_LINE_SIZE:
                self._zones.send_messages(line)
                line = []
                sent += size
                size = 0
        if line:
            self._zones.send_messages(line)
