"""One client connection: translation between Thrift messages and requests, timeouts, and orderly closing."""

import math
import socket
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from fawnwharf.net import thrift
from fawnwharf.net.call_hold import HeldCall
from fawnwharf.net.calls import call_from
from fawnwharf.net.client_calls import OpenCall, RemoteCall
from fawnwharf.net.client_reading import ClientReading
from fawnwharf.net.client_timeouts import MessageTimeouts
from fawnwharf.net.connection import LINGER_MS, Connection
from fawnwharf.net.connection_handoff import HandedOffConnection, ReceivedCall
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import ReadPriority
from fawnwharf.net.open_request_limit import MAX_OPEN_REQUESTS, OpenRequestLimit
from fawnwharf.net.requests import Call, Failed, Outcome, Rejected, Succeeded
from fawnwharf.net.sequence_numbers import FIRST_NUMBER, SequenceNumbers
from fawnwharf.net.socket_inspection import peer_name
from fawnwharf.net.timer_wheel import monotonic_ms

if TYPE_CHECKING:
    from fawnwharf.net.client_port import ClientPort

MAX_READ_BYTES = 16 * 1024  # per iteration; decoding so many small messages takes about 10 ms
# A client retries a request that crosses a close within 50 ms; the rest allows for the network and timers.
IDLE_LINGER_MS = 60.0
MAX_RELEASE_READS = 4  # reads of an idle connection before it is closed
USUAL_ENDS = frozenset((EndReason.CLOSED_BY_PEER, EndReason.IDLE, EndReason.STOPPED))
# Unsound requests that are refused one after another before a connection is closed; how long it lingers then.
MAX_REFUSALS, OFFENDER_LINGER_MS = 32, 100.0
MAX_LOGGED_ID = 32  # characters
MAX_UNSENT_BYTES = 8 * 1024 * 1024  # 32 of the longest answers; a connection with more is closed


class ClientConnection:
    """One client connection, and the requests that are open on it."""

    def __init__(self, port: "ClientPort", sock: socket.socket) -> None:
        """Take over an accepted socket; raises OSError if it is not usable, and leaves it open then."""
        self.port = port
        self.peer_name = peer_name(sock)  # for the log
        self.open: dict[int, OpenCall] = {}  # by sequence number
        self.output_ended = False  # the client has ended its output: no new request is accepted
        self._age_ms = 0.0  # how long the message that is being handled was unread
        # Set once another process has the connection; gets a call's sequence number and its encoded answer.
        self._forward_answer: Callable[[int, bytes], None] | None = None
        self._reader = thrift.FrameReader()
        self._limit = OpenRequestLimit()
        self.numbers = SequenceNumbers()
        self.reading = ClientReading()
        self._refusals = 0  # of unsound requests
        self.timeouts = MessageTimeouts(monotonic_ms())
        self.connection = Connection.accepted(
            port.loop, sock, self, MAX_READ_BYTES, order=self._priority, half_close=True
        )
        self.connection.before_write = self._note_answers_written

    def _priority(self) -> ReadPriority:
        return ReadPriority.ACTIVE if self.open else ReadPriority.IDLE

    def on_up(self) -> None:
        """Do nothing: it was accepted."""

    def on_data(self, data: bytes) -> None:
        """Handle the messages that these bytes complete, and those that have arrived behind them."""
        self.reading.messages_read = self._handle_data(data)
        self.reading.read_ahead(self)

    def _handle_data(self, data: bytes) -> int:
        """Handle the messages that these bytes complete; return how many there were."""
        was_partial = self._reader.has_partial_frame
        items = self._reader.feed(data)
        self.port.partial_messages.update(self, self._reader.partial_bytes)
        self.timeouts.received(monotonic_ms(), completes_message=bool(items), continues_message=was_partial)
        if self.connection.input_full and self.open:
            self.port.slow_clients.check_later(self)
        self.reading.note_age(self)
        withdrawn = {item.seqid for item in items if isinstance(item, thrift.Withdraw)}
        for index, item in enumerate(items):
            is_newest = index == len(items) - 1 and not self._reader.has_partial_frame
            self._age_ms = self.connection.age_ms if is_newest else self.connection.oldest_age_ms
            if (end := self._handle_guarded(item, withdrawn)) is not None:
                self._end_with(items[index:], end)
                return len(items)
        if self.open:  # also after a message that is no request: an attempt may still wait to be sent
            self.check_peer_ended()
        return len(items)

    def _handle_guarded(
        self, item: thrift.Message | thrift.MalformedMessageError, withdrawn: set[int]
    ) -> EndReason | None:
        """Handle one message; an error ends the connection, but each request on it gets its answer."""
        try:
            return self._handle_message(item, withdrawn)
        except Exception:
            self.port.loop.log_exception("reading")
            if isinstance(item, thrift.Handle) and item.seqid not in self.open:
                self._reply(item.seqid, Failed())
            return EndReason.PROTOCOL_ERROR

    def _handle_message(
        self, item: thrift.Message | thrift.MalformedMessageError, withdrawn: set[int]
    ) -> EndReason | None:
        """Handle one message; return why the connection has to end, or None.

        `withdrawn` has the sequence numbers of the withdrawals that were read together with the message.
        """
        if isinstance(item, thrift.MalformedMessageError):
            return self._reject_malformed(item)
        if isinstance(item, thrift.Handle):
            return self._handle_request(item, withdrawn)
        if isinstance(item, thrift.Withdraw):
            self.withdraw(item.seqid)
        else:
            self.connection.write(thrift.answer("status", item.seqid, b"", {}, self.port.accepts_requests))
        return None

    def _handle_request(self, message: thrift.Handle, withdrawn: set[int]) -> EndReason | None:
        seqid = message.seqid
        if seqid < FIRST_NUMBER:
            return self._refuse(seqid, thrift.MalformedMessageError("a sequence number below 1"), message)
        if self._limit.is_exceeded(message.end_bytes, self.port.loop.iteration_ms):
            self._note("sent past the limit of open requests", seqid, message)
            return EndReason.PROTOCOL_ERROR
        if not self.numbers.use(seqid):
            self._note("a sequence number that does not count up", seqid, message)
            return EndReason.PROTOCOL_ERROR
        if len(self.open) >= MAX_OPEN_REQUESTS:
            return self._refuse(seqid, thrift.MalformedMessageError("too many open requests"), message)
        try:
            parsed = call_from(message, self.port.classes, self.port.tenants)
        except thrift.MalformedMessageError as error:
            return self._refuse(seqid, error, message)
        if not self.port.contents.accept(parsed.id, parsed.content, monotonic_ms()):
            return self._refuse(
                seqid, thrift.MalformedMessageError("call: the id of another request"), message
            )
        self.check_peer_ended()
        if self.output_ended:
            if seqid not in withdrawn:
                self._reply(seqid, Failed())
            return None
        self._refusals = 0
        self._limit.opened(seqid, self.port.loop.iteration_ms + parsed.budget_ms - self._age_ms)
        call = parsed.open(self._age_ms, lambda outcome: self._reply(seqid, outcome), self.check_peer_ended)
        if (opened := self.port.open_call(self, message, call, self._age_ms)) is not None:
            self.open[seqid] = opened
        return None

    def run_held(self, seqid: int, call: Call) -> None:
        """Run a call that was held; it has not been answered or withdrawn."""
        del self.open[seqid]
        if (opened := self.port.run_call(call)) is not None:
            self.open[seqid] = opened

    def withdraw(self, seqid: int) -> None:
        """Withdraw an open call; does nothing if it is not open."""
        self._limit.withdrawn(seqid)
        if (call := self.open.pop(seqid, None)) is not None:
            call.withdraw()

    def _reject_malformed(self, error: thrift.MalformedMessageError) -> EndReason | None:
        """Refuse a message that is not valid; return why the connection has to end, or None."""
        # An exception with the number of an earlier request would count as that request's answer.
        is_used = (
            error.seqid is not None and error.seqid >= FIRST_NUMBER and not self.numbers.use(error.seqid)
        )
        if error.seqid is None or is_used:
            self._note(error.cause, error.seqid)
            return EndReason.PROTOCOL_ERROR
        return self._refuse(error.seqid, error)

    def _refuse(
        self, seqid: int, error: thrift.MalformedMessageError, message: thrift.Handle | None = None
    ) -> EndReason | None:
        """Refuse the request with this number; return why the connection has to end, or None."""
        self._note(error.cause, seqid, message)
        self.connection.write(thrift.application_exception(seqid, str(error), error.kind))
        self._refusals += 1
        return EndReason.PROTOCOL_ERROR if self._refusals >= MAX_REFUSALS else None

    def _note(self, cause: str, seqid: int | None, message: thrift.Handle | None = None) -> None:
        """Log why a request was refused or the connection is ended."""
        call = "unknown" if message is None else message.fields.get("call", "")[:MAX_LOGGED_ID]
        self.port.causes.note(f"client: {cause}", lambda: f"request {seqid} of {self.peer_name}, id {call}")

    def _reply(self, seqid: int, outcome: Outcome) -> None:
        self.open.pop(seqid, None)
        self._limit.answered(seqid)
        if isinstance(outcome, Succeeded):
            data = thrift.answer("handle", seqid, outcome.body, {}, True)
        elif isinstance(outcome, Rejected):
            data = thrift.throttled(seqid, {"pushback": str(math.ceil(max(0.0, outcome.hold_off_ms)))})
        else:
            data = thrift.broken(seqid, {})
        self._answer(seqid, data)

    def _answer(self, seqid: int, data: bytes) -> None:
        """Write the answer of a call, or pass it on to the process that has the connection."""
        forward = self._forward_answer
        self.connection.write(data) if forward is None else forward(seqid, data)

    def _note_answers_written(self) -> None:
        """Note what the client had sent before it can have read the answers that are about to be written."""
        if self._limit.has_unwritten:
            self._limit.writing(self._reader.received_bytes + self.connection.unread_bytes())

    def on_flushed(self) -> None:
        """Limit the unsent answers after the write of an iteration: the client does not read them."""
        if self.connection.unwritten_bytes > MAX_UNSENT_BYTES:
            self.connection.close(EndReason.PEER_NOT_READING)
            return
        self.port.slow_clients.regulate(self)
        if not self.connection.reads:
            self.port.slow_clients.enforce_limit()

    def _end_with(
        self, items: Sequence[thrift.Message | thrift.MalformedMessageError], end: EndReason
    ) -> None:
        """End the connection because of the first of these messages.

        The requests that were read completely are failed, also those after it, so that each has its answer;
        a number that was used before gets no second one.
        """
        for item in items:
            if isinstance(item, thrift.Withdraw):
                self.withdraw(item.seqid)
        self.fail_open()
        for item in items:
            if isinstance(item, thrift.Handle) and self.numbers.use(item.seqid):
                self._reply(item.seqid, Failed())
        self._finish(end)

    def _finish(self, end: EndReason) -> None:
        """End the connection; open requests are failed, so that each has its answer."""
        self.fail_open()
        self.connection.finish(end, OFFENDER_LINGER_MS if end is EndReason.PROTOCOL_ERROR else LINGER_MS)

    def fail_open(self) -> None:
        """Answer each open request as failed."""
        for seqid, call in list(self.open.items()):
            call.withdraw()
            self._reply(seqid, Failed())

    def check_peer_ended(self) -> None:
        """Fail the open requests if the client has ended its output behind bytes that are not read yet.

        Makes no system call if this iteration has read everything that was received. Does nothing once
        another process has the connection: that process withdraws the calls of a client that has ended.
        """
        if self._forward_answer is not None:
            return
        if self.connection.may_have_ended() and self.connection.peer_ended():
            self.on_half_close()

    def on_half_close(self) -> None:
        """Fail the open requests and accept no more, because the client has ended its output.

        The client may have closed the connection, or may still read its answers.
        """
        self.output_ended = True
        self.fail_open()

    def on_end(self, end: EndReason) -> None:
        """Withdraw the open requests, because the connection has ended."""
        if end not in USUAL_ENDS or self.open:
            text = f"{self.peer_name}, {len(self.open)} open"
            self.port.causes.note(f"client connection ended, {end.name.lower()}", lambda: text)
        self.withdraw_open()
        self.port.ended(self)

    def withdraw_open(self) -> None:
        """Withdraw all open calls, because their client has gone."""
        calls = list(self.open.values())
        self.open = {}
        for call in calls:
            call.withdraw()

    @property
    def idle(self) -> bool:
        """Whether it has no open request and no unwritten answer, and is not being closed."""
        with_output = self.connection.unwritten_bytes
        return not (self.open or with_output or self.connection.closed or self.connection.finishing)

    @property
    def has_sent(self) -> bool:
        """Whether a complete message has been received."""
        return self.timeouts.has_sent

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has been received in part."""
        return self._reader.has_partial_frame

    @property
    def is_skipping(self) -> bool:
        """Whether the rest of an oversized message is still to be discarded."""
        return self._reader.is_skipping

    def state(self) -> tuple[bytes, int]:
        """Return the bytes of a partial message, and how many bytes of an oversized one are still to skip."""
        return self._reader.state()

    def take_held(self) -> tuple[ReceivedCall, ...]:
        """Remove the calls that are held here and return them, for another process."""
        held = [call for call in self.open.values() if isinstance(call, HeldCall)]
        for call in held:
            self.withdraw(call.received.seqid)
        return tuple(call.received for call in held)

    def reject_held(self) -> None:
        """Reject the calls that are held here, for a process that can't receive them."""
        for call in [call for call in self.open.values() if isinstance(call, HeldCall)]:
            call.reject()

    def forward_answers(self, forward: Callable[[int, bytes], None]) -> None:
        """Pass the answers of the open calls on, because another process has the connection.

        `forward` gets the sequence number and the encoded answer.
        """
        self._forward_answer = forward

    def resume(self, handed: HandedOffConnection, withdraw_remote: Callable[[int], None]) -> None:
        """Continue a connection in the state in which another process handed it off."""
        self._reader.resume(handed.partial, handed.skip)
        self.port.partial_messages.update(self, len(handed.partial))
        self.timeouts.has_sent = handed.has_sent
        if handed.unwritten:
            self.connection.write(handed.unwritten)
        for seqid in handed.remote_calls:
            self.open[seqid] = RemoteCall(seqid, withdraw_remote)
        waiting = handed.waiting_calls
        calls: list[thrift.Message] = [thrift.Handle(each.seqid, each.fields, each.body) for each in waiting]
        for index, call in enumerate(calls):
            self._age_ms = max(0.0, monotonic_ms() - waiting[index].received_ms)
            if (end := self._handle_guarded(call, set())) is not None:
                self._end_with(calls[index:], end)
                return
        self.numbers.use(handed.highest_seqid)

    def answer_remote(self, seqid: int, data: bytes) -> None:
        """Write the answer of a call that another process ran, if the client still waits for it."""
        if isinstance(self.open.get(seqid), RemoteCall):
            del self.open[seqid]
            self._answer(seqid, data)

    def fail_remote(self) -> None:
        """Fail the calls that another process ran, because that process has ended."""
        for seqid in [seqid for seqid, call in self.open.items() if isinstance(call, RemoteCall)]:
            self._reply(seqid, Failed())

    def may_be_released(self, now_ms: float) -> bool:
        """Whether it may be closed to make capacity, because the client is probably not sending now.

        `now_ms` is on the monotonic clock.
        """
        return self.timeouts.may_be_released(now_ms - self.connection.used_ms, self.has_partial_message)

    def release(self) -> bool:
        """Read what has arrived and, if the connection is still idle, close it; return whether it ends.

        Bytes that arrive later cross the close and are discarded; the client retries the request.
        """
        used_ms = self.connection.used_ms
        if not self._read_all() or self.connection.used_ms != used_ms or not self.idle:
            return self.connection.closed
        self.connection.finish(EndReason.IDLE if self.has_sent else EndReason.SILENT, IDLE_LINGER_MS)
        self._reader = thrift.FrameReader()  # what was received of a message takes no memory any more
        return True

    def close_overdue(self) -> None:
        """Close it if its first or partial message is overdue and no bytes are unread."""
        if self._read_all() and self.is_overdue(monotonic_ms()):
            self._finish(EndReason.SILENT)

    def is_overdue(self, now_ms: float) -> bool:
        """Whether its first message, or the rest of a partial one, has taken too long.

        Keeps silent peers from occupying descriptors. `now_ms` is on the monotonic clock.
        """
        if self.open:
            return False
        return self.timeouts.is_overdue(now_ms, self.has_partial_message, self.is_skipping)

    def _read_all(self) -> bool:
        """Read and handle what has arrived; return whether all was read and the connection stays open."""
        if self.port.paused:
            return False  # unread bytes belong to another process
        for _ in range(MAX_RELEASE_READS):
            if self.connection.read_once():
                return not (self.connection.closed or self.connection.finishing)
        return False
