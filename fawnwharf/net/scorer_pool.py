"""The pool of scorer connections, and the assignment of attempts and load orders to them."""

import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from fawnwharf.config import Address, ConnectionSettings
from fawnwharf.interface import ScorerState, Warmth
from fawnwharf.net import scorer_frames as frames
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import LOCAL_REASONS, EndReason
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.log_writer import LogWriter
from fawnwharf.net.scorer_connection import MAX_PARTIAL_WRITE_MS, ScorerConnection
from fawnwharf.net.scorer_streams import WARMTH_BY_FIELD, Answer, Attempt, LoadOrder, Stream, parse_count
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

# A connection with open streams that received nothing for this long gets no new streams.
SILENT_MS = 1_000.0
# Idle connections are closed after this share of the keep-alive time, so that the scorer does not close one
# just as a frame is sent.
KEEPALIVE_SHARE = 0.7
# Devices on the path may drop connections that were idle for far less than the keep-alive time. A reset right
# after an idle connection is used again shows that it was idle for too long: the limit on idle time for reuse
# is lowered, and grows again while no such reset occurs.
STALE_RESET_MS = 20.0  # a reset this soon after the first bytes was not caused by the request
MIN_REUSE_IDLE_MS = 50.0
REUSE_IDLE_DECREASE = 0.7
REUSE_IDLE_GROWTH = 1.02  # factor for each maintenance run, four times a second
REDIAL_DELAY_MS = 20.0  # after a dial that failed because of a transient error of this machine
MAX_REDIALS = 3  # in a row, after resets during the dial, which show that a process listens there
MAX_CONNECTIONS = 6  # to one scorer
# Streams are spread over up to this many connections, as a broken connection ends all of its streams.
SPREAD_CONNECTIONS = 4
EXPENSIVE_HANDSHAKE = 0.02  # in points; where a handshake costs more, streams share connections
# Share of the allowed connections; beyond it, none is dialled for spreading. The rest is for requests that
# find no usable connection.
SPREAD_SHARE = 0.7


@dataclass(slots=True, eq=False)
class Scorer:
    """A scorer, identified by its number, as another scorer may reuse its address later."""

    id: int
    address: Address
    state: ScorerState
    up_since_ms: float
    redials: int = 0  # since a connection was last established
    links: list[ScorerConnection] = field(default_factory=list)
    waiting: deque[Stream] = field(default_factory=deque)  # for a connection
    redial: Timer | None = None  # set while the next dial is delayed after a transient local error

    def link_for(self, request_id: bytes, max_idle_ms: float) -> ScorerConnection | None:
        """The connection for a new stream with this id, idle for at most `max_idle_ms`; None without one."""
        usable = [link for link in self.links if link.up and not link.retired and link.accepts(request_id)]
        usable = [link for link in usable if link.idle_ms() <= max_idle_ms]
        responsive = [link for link in usable if not link.is_silent(SILENT_MS)]
        if not responsive and len(self.links) >= MAX_CONNECTIONS:
            responsive = usable
        # Of equally loaded ones, prefer the one used last: the peer may be about to close an idle one.
        best = min(responsive, key=lambda link: (len(link.streams), -link.connection.used_ms), default=None)
        if best and not best.streams and best.connection.unread() == b"":
            # The peer has closed it. A frame written to it now would count as possibly run, and a call that
            # must not run twice could not be retried.
            best.connection.close(EndReason.CLOSED_BY_PEER)
            return self.link_for(request_id, max_idle_ms)
        return best

    def needs_spread(self) -> bool:
        """Whether the next stream would share a connection although another one may be dialled."""
        return len(self.links) < SPREAD_CONNECTIONS and all(link.up and link.streams for link in self.links)

    def current_links(self) -> list[ScorerConnection]:
        """Its connections, except for those to an earlier address or process."""
        return [link for link in self.links if not link.retired]

    def dialling(self) -> int:
        """The number of dials in progress that may serve waiting streams."""
        return sum(not link.up for link in self.current_links())


class ScorerPool:
    """Owns the scorers and their connections, within its share of the descriptors."""

    def __init__(
        self, loop: EventLoop, wire: ConnectionSettings, max_connections: int, seed: int, log: LogWriter
    ) -> None:
        self.loop = loop
        self.wire = wire
        self.log = log
        self.scorers: dict[int, Scorer] = {}
        self.max_connections = max_connections
        self._connection_count = 0
        self._reuse_idle_limit_ms = max(MIN_REUSE_IDLE_MS, KEEPALIVE_SHARE * wire.keepalive_ms)
        self._reuse_idle_ms = self._reuse_idle_limit_ms  # a connection idle for longer is not reused
        self._order_ids = itertools.count(random.Random(seed).getrandbits(62))

    # --- the roster ---------------------------------------------------------------------------

    def update(self, number: int, address: Address | None, state: ScorerState, up_since_ms: float) -> None:
        """Apply a scorer's roster entry; `address` is None where it is unchanged."""
        scorer = self.scorers.get(number)
        if scorer is None:
            if address is not None and state is not ScorerState.GONE:
                self.scorers[number] = Scorer(number, address, state, up_since_ms)
            return
        moved = address is not None and address != scorer.address
        restarted = moved or up_since_ms > scorer.up_since_ms
        unsent = self._retire(scorer) if restarted else []
        scorer.address = address or scorer.address
        scorer.state = state
        scorer.up_since_ms = max(up_since_ms, scorer.up_since_ms)
        if state is not ScorerState.READY:
            self._end_unsendable(scorer)
        if state is ScorerState.GONE:
            self._retire(scorer)
            self._drop_if_empty(scorer)
        if restarted:  # unsent streams go to the new process or address
            scorer.redials = 0
            for stream in unsent:
                self._start_or_queue(stream)
            self._start_waiting(scorer)

    def remove_unlisted(self, listed: set[int]) -> None:
        """Treat each scorer whose number is not in `listed` as gone."""
        for number in [number for number in self.scorers if number not in listed]:
            self.update(number, None, ScorerState.GONE, 0.0)

    def _end_unsendable(self, scorer: Scorer) -> None:
        """End the unsent streams that the scorer may no longer receive, in its present state."""
        unwritten = [stream for link in scorer.links for stream in link.unwritten()]
        for stream in [*scorer.waiting, *unwritten]:
            if stream.is_new_work or scorer.state is ScorerState.GONE:
                self._detach(stream)
                self._end(stream, EndReason.OUT_OF_SERVICE)

    def _retire(self, scorer: Scorer) -> list[Stream]:
        """Assign no new streams to its present connections; detach and return their unwritten streams."""
        unsent: list[Stream] = []
        for link in list(scorer.links):
            link.retired = True
            for stream in link.unwritten():
                link.withdraw(stream)
                stream.link = None
                stream.buffer = None
                unsent.append(stream)
            if link.up and not link.streams:
                link.connection.close(EndReason.SUPERSEDED)
        return unsent

    def _drop_if_empty(self, scorer: Scorer) -> None:
        if scorer.state is ScorerState.GONE and not scorer.links and not scorer.waiting:
            self.scorers.pop(scorer.id, None)

    # --- sending ------------------------------------------------------------------------------

    def send(self, attempt: Attempt) -> None:
        """Send an attempt to its scorer; it ends at its deadline at the latest."""
        self._start_timer(attempt)
        self._start_or_queue(attempt)

    def _start_timer(self, attempt: Attempt) -> None:
        due_ms = attempt.deadline_ms if attempt.begun else min(attempt.deadline_ms, attempt.begin_by_ms)
        attempt.timer = self.loop.timers.after(due_ms - monotonic_ms(), lambda: self._timer_expired(attempt))

    def _timer_expired(self, attempt: Attempt) -> None:
        if attempt.begun and monotonic_ms() < attempt.deadline_ms:
            self._start_timer(attempt)
        else:
            self._time_out(attempt)

    def send_load_order(self, order: LoadOrder) -> None:
        """Send a load order to its scorer; it ends after `ConnectionSettings.load_wait_ms` at the latest."""
        order.id = next(self._order_ids).to_bytes(8, "big")
        order.timer = self.loop.timers.after(self.wire.load_wait_ms, lambda: self._time_out(order))
        self._start_or_queue(order)

    def unload(self, number: int, function: str) -> bool:
        """Ask a scorer to unload a function's idle copies; return whether a connection for it was up.

        The scorer sends no answer. No connection is dialled for this, as idle copies expire anyway. Raises
        ValueError for a malformed function key.
        """
        frame = frames.unload(function)
        scorer = self.scorers.get(number)
        if scorer is None or scorer.state is not ScorerState.READY:
            return False
        link = scorer.link_for(b"", self._reuse_idle_ms)
        if link is not None:
            link.connection.write(frame)
        return link is not None

    def _start_or_queue(self, stream: Stream) -> None:
        """Start a stream on a connection, or queue it until one is established."""
        if stream.over:
            return
        scorer = self.scorers.get(stream.scorer)
        if (
            scorer is None
            or scorer.state is ScorerState.GONE
            or (stream.is_new_work and scorer.state is not ScorerState.READY)
            or stream.is_expired()
        ):
            self._end(stream, EndReason.NEVER_SENT)
        elif link := scorer.link_for(stream.id, self._reuse_idle_ms):
            stream.stop_waiting()
            link.start(stream)
            if scorer.needs_spread() and self._may_spread():
                self._dial_one(scorer)
        else:
            self._queue_until_connected(scorer, stream)

    def _queue_until_connected(self, scorer: Scorer, stream: Stream) -> None:
        """Queue a stream until a connection is established, for `ConnectionSettings.dial_timeout_ms` at most.

        A dial started for it here times out first, so that the stream ends with the dial's end reason.
        """
        scorer.waiting.append(stream)
        self._dial(scorer)
        if stream.wait_timer is None and not stream.over:
            max_wait_ms = self.wire.dial_timeout_ms
            stream.wait_timer = self.loop.timers.after(max_wait_ms, lambda: self._wait_timed_out(stream))

    def _wait_timed_out(self, stream: Stream) -> None:
        self._detach(stream)
        self._end(stream, EndReason.NEVER_SENT)
        if scorer := self.scorers.get(stream.scorer):
            self._drop_if_empty(scorer)

    def _start_waiting(self, scorer: Scorer) -> None:
        waiting, scorer.waiting = scorer.waiting, deque()
        for stream in waiting:
            self._start_or_queue(stream)

    def _may_spread(self) -> bool:
        """Whether to dial connections for spreading; limits the load of many front ends on a scorer."""
        cheap = self.wire.handshake_price < EXPENSIVE_HANDSHAKE
        return cheap and self._connection_count < SPREAD_SHARE * self.max_connections

    def _dial(self, scorer: Scorer) -> None:
        """Start as many dials as the waiting streams need, unless a redial is scheduled."""
        while scorer.redial is None and scorer.dialling() * self.wire.streams_per_conn < len(scorer.waiting):
            full = len(scorer.current_links()) >= MAX_CONNECTIONS or not self._has_capacity()
            failed = EndReason.NO_DESCRIPTOR if full else self._dial_one(scorer)
            if failed in LOCAL_REASONS and not full:
                self._dial_later(scorer)
            elif failed and not scorer.dialling():
                self._fail_waiting(scorer, failed)
            if failed:
                return

    def _has_capacity(self) -> bool:
        """Whether one more connection is allowed; at the limit, closes the one that was idle for longest.

        Otherwise idle connections to some scorers would cause requests to others to be rejected.
        """
        if self._connection_count >= self.max_connections:
            links = [link for scorer in self.scorers.values() for link in scorer.links]
            idle = [link for link in links if link.up and not link.streams]
            if longest_idle := max(idle, key=ScorerConnection.idle_ms, default=None):
                longest_idle.connection.close(EndReason.IDLE)
        return self._connection_count < self.max_connections

    def _dial_later(self, scorer: Scorer) -> None:
        """Keep streams queued and dial again after a pause: a local error says nothing about the scorer."""
        if scorer.redial is None:
            scorer.redial = self.loop.timers.after(REDIAL_DELAY_MS, lambda: self._dial_again(scorer))

    def _dial_again(self, scorer: Scorer) -> None:
        scorer.redial = None
        self._start_waiting(scorer)

    def _dial_one(self, scorer: Scorer) -> EndReason | None:
        link = ScorerConnection(self, scorer)
        dialled = Connection.dial(self.loop, scorer.address, link, self.wire.dial_timeout_ms)
        if isinstance(dialled, EndReason):
            return dialled
        link.connection = dialled
        dialled.limit_partial_writes(MAX_PARTIAL_WRITE_MS)
        scorer.links.append(link)
        self._connection_count += 1
        return None

    def _fail_waiting(self, scorer: Scorer, end: EndReason) -> None:
        waiting, scorer.waiting = scorer.waiting, deque()
        for stream in waiting:
            self._end(stream, end)

    def link_up(self, link: ScorerConnection) -> None:
        """Assign waiting streams to a connection that has been established."""
        if not link.retired:
            link.scorer.redials = 0
            self._start_waiting(link.scorer)
        if link.retired and not link.streams:  # its scorer has gone or restarted during the dial
            link.connection.close(EndReason.SUPERSEDED)

    # --- ends ---------------------------------------------------------------------------------

    def link_ended(self, link: ScorerConnection, end: EndReason) -> None:
        """Remove a connection that has ended; unwritten streams are moved to another one, the rest ends."""
        scorer = link.scorer
        scorer.links.remove(link)
        self._connection_count -= 1
        idle_ms = link.stale_idle_ms(end, STALE_RESET_MS)
        if idle_ms is not None and idle_ms >= MIN_REUSE_IDLE_MS:
            decreased_ms = max(MIN_REUSE_IDLE_MS, REUSE_IDLE_DECREASE * idle_ms)
            self._reuse_idle_ms = min(self._reuse_idle_ms, decreased_ms)
        streams = list(link.streams.values())
        link.streams = {}
        for stream in streams:
            if stream.begun or end is EndReason.STOPPED:
                self._end(stream, end)
            else:  # the scorer received nothing of it, so another connection can be used
                stream.link = None
                stream.buffer = None
                self._start_or_queue(stream)
        if not link.connection.up and not link.retired:
            self._dial_failed(scorer, end)
        self._drop_if_empty(scorer)

    def _dial_failed(self, scorer: Scorer, end: EndReason) -> None:
        if end in LOCAL_REASONS:
            self._dial_later(scorer)
        elif scorer.dialling():
            return
        elif end is EndReason.RESET_BY_PEER and scorer.redials < MAX_REDIALS:
            scorer.redials += 1
            self._dial(scorer)
        else:
            self._fail_waiting(scorer, end)

    def answered(self, stream: Stream, frame: frames.Frame) -> None:
        """End a stream with the scorer's answer."""
        fields = frame.fields
        warmth = WARMTH_BY_FIELD.get(fields.get("res", ""), Warmth.NOT_REPORTED)
        concurrency = parse_count(fields.get("company"))
        copies = parse_count(fields.get("slots_up"))
        self._end(stream, None, Answer(stream.result_of(frame.code), frame.body, warmth, concurrency, copies))

    def cancel(self, stream: Stream) -> None:
        """End a stream as cancelled, whether or not it was sent."""
        if not stream.over:
            self._detach(stream)
            self._end(stream, EndReason.CANCELLED)

    def cancel_unsent(self, stream: Stream) -> None:
        """End a stream as never sent, unless some of it has been written."""
        if not stream.over and not stream.begun:
            self._detach(stream)
            self._end(stream, EndReason.NEVER_SENT)

    def expired(self, stream: Stream) -> None:
        """End a stream that had expired before it was written; its connection has already removed it."""
        self._end(stream, EndReason.NEVER_SENT)

    def _time_out(self, stream: Stream) -> None:
        begun = stream.begun
        self._detach(stream)
        self._end(stream, EndReason.TIMED_OUT if begun else EndReason.NEVER_SENT)

    def _detach(self, stream: Stream) -> None:
        if stream.link is not None:
            stream.link.withdraw(stream)
        elif (scorer := self.scorers.get(stream.scorer)) and stream in scorer.waiting:
            scorer.waiting.remove(stream)

    def _end(self, stream: Stream, end: EndReason | None, answer: Answer | None = None) -> None:
        if stream.over:
            return
        stream.over = True
        stream.stop_waiting()
        if stream.timer:
            stream.timer.cancel()
        link, stream.link = stream.link, None
        stream.ended(stream, end, answer)
        if link and link.retired and not link.streams and link.up:
            link.connection.close(EndReason.SUPERSEDED)

    # --- maintenance --------------------------------------------------------------------------

    def run_maintenance(self) -> None:
        """Close connections that were idle for too long, or silent until their last stream was cancelled."""
        self._reuse_idle_ms = min(self._reuse_idle_limit_ms, REUSE_IDLE_GROWTH * self._reuse_idle_ms)
        for scorer in list(self.scorers.values()):
            for link in list(scorer.links):
                if not link.up or link.streams:
                    continue
                silent = link.was_silent_at_cancel(SILENT_MS)
                if silent or link.idle_ms() > self._reuse_idle_ms:
                    link.connection.close(EndReason.SILENT if silent else EndReason.IDLE)

    def close(self) -> None:
        """Close all connections."""
        for scorer in list(self.scorers.values()):
            for link in list(scorer.links):
                link.connection.close(EndReason.STOPPED)
