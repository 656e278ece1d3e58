"""Batches a front end's policy rollout messages, to send them in few lines of the member's log."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from fawnwharf.net.event_loop import EventLoop
from fawnwharf.policy_rollout import messages as m
from fawnwharf.zones.log_lines import ClientMessage
from fawnwharf.zones.service import ZoneService

RENEWAL_DELAY_MS = 50.0  # lease renewals are delayed to be sent together, as all readers receive each line
MAX_LINE_BYTES = 96 * 1024  # encoded messages in one line
# Encoded messages in one event loop iteration. Further messages are dropped: the protocol resends them.
MAX_ITERATION_BYTES = 512 * 1024


@dataclass(frozen=True, slots=True)
class _SentLease:
    """The last lease that was sent to a member."""

    incarnation: int
    number: int


class MessageBatcher:
    """Queues messages until the end of the event loop iteration; renewals may wait `RENEWAL_DELAY_MS`."""

    def __init__(self, loop: EventLoop, zones: ZoneService, report_drop: Callable[[str], None]) -> None:
        """`report_drop` is called with the reason when messages are dropped."""
        self._loop = loop
        self._zones = zones
        self._report_drop = report_drop
        self._queue: list[m.Send] = []
        self._sent_leases: dict[str, _SentLease] = {}  # by member
        self._renewal_flush_scheduled = False

    def forget_sent_grants(self) -> None:
        """Forget which leases were sent, so that the next one to each member is sent without delay.

        No queued message is dropped and no lease is revoked.
        """
        self._sent_leases.clear()

    def send(self, send: m.Send) -> None:
        """Queue a message."""
        self._queue.append(send)
        if not self._is_renewal(send):
            self._loop.schedule_flush(self)
        elif not self._renewal_flush_scheduled:
            self._renewal_flush_scheduled = True
            self._loop.timers.after(RENEWAL_DELAY_MS, self.flush)

    def _is_renewal(self, send: m.Send) -> bool:
        """Whether the message renews the lease last sent to the member; records the lease as sent."""
        message = send.message
        if not isinstance(message, m.LeaseGrant) or not message.lease_ms:
            return False
        lease = _SentLease(message.incarnation, message.number)
        before = self._sent_leases.get(send.to)
        self._sent_leases[send.to] = lease
        return before == lease

    def flush(self) -> None:
        """Send the queued messages, at the end of the iteration or of the delay."""
        queue = self._queue
        self._queue = []
        self._renewal_flush_scheduled = False
        receivers: dict[m.Message, list[str]] = {}  # a message to several members is sent once
        for send in queue:
            receivers.setdefault(send.message, []).append(send.to)
        self._send_lines(receivers)

    def _send_lines(self, receivers: dict[m.Message, list[str]]) -> None:
        """Send messages in lines of limited size; messages over the limit of one iteration are dropped."""
        line: list[ClientMessage] = []
        size = 0
        sent = 0
        for message, names in receivers.items():
            size += len(msgspec.json.encode(message))
            if sent + size > MAX_ITERATION_BYTES:
                self._report_drop(f"more than {MAX_ITERATION_BYTES} bytes in one iteration")
                break
            to = () if m.LEADER in names else tuple(names)
            line.append(ClientMessage(msgspec.to_builtins(message), to))
            if size > MAX_LINE_BYTES:
                self._zones.send_messages(line)
                line = []
                sent += size
                size = 0
        if line:
            self._zones.send_messages(line)
