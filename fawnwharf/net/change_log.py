"""The change log: followed over TCP, reconnected when it is silent, and never trusted to be well-formed."""

from collections.abc import Callable
from typing import Any

import msgspec

from fawnwharf.config import Address, ConfigError, Fleet, fleet_from
from fawnwharf.net.change_log_heartbeat import HeartbeatAge, heartbeat_number
from fawnwharf.net.change_log_replay import Replay
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.event_order import EventMatch, EventOrder
from fawnwharf.net.fleet_events import FleetRead, read_fleet
from fawnwharf.net.scorer_start_times import ClockStepCorrection
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

# The log's events must be received within 4 s after it falls silent, and within 2 s after it disconnects: to
# detect that, to connect and to receive them must fit in, also where a first connection attempt fails.
SILENCE_TIMEOUT_MS = 1_800.0  # it writes a line every second; this is one missing line and most of the next
CONNECT_TIMEOUT_MS = 500.0
MIN_BACKOFF_MS = 50.0  # before the next connection attempt
MAX_BACKOFF_MS = 250.0
MAX_GAP = 1_000  # events that may be missing for good where the log cannot be followed
MAX_LINE_BYTES = 4 * 1024 * 1024  # a list of thousands of scorers is shorter
PROGRESS_BYTES = 16 * 1024  # of one line within the silence timeout: a long list in transfer, no trickle
LINE_MS = 10_000.0  # within which a line has to be complete, however fast it arrives
MAX_DELAY_MS = 7_000.0  # a log that lags for longer than this has restarted its numbering
MAX_HEARTBEAT_AGE_MS = 3_000.0  # of heartbeats whose path or rhythm holds them back: reconnect
MAX_ABSENCE_MS = 4_500.0  # longer than this the log may have restarted its numbering unnoticed
MIN_RECONNECT_MS = 10_000.0  # a connection is not ended for that before it is as old
REPLAY_MS = 100.0  # to receive all events of a new numbering; a drain in it must be applied within 250 ms
MAX_SMALLER_NUMBERS = 1  # numbers below the own in a row, before all events are requested


class ChangeLog:
    """Follows the log from an event on, and delivers what each event newly says.

    An event is delivered as soon as it is read, also ahead of missing ones: a drain in it applies from then
    on. Missing events are requested, and count where no later event has replaced them (`EventOrder`).

    `seq`: all events up to this one were delivered, or are missing for good. `up_to_date_ms`: the latest
    moment at which the log provably had no more events, on the monotonic clock in milliseconds. `confirm`:
    called with each such moment. `expects_renumbering`: any smaller number comes from a log that has lost its
    events.
    """

    max_backoff_ms = MAX_BACKOFF_MS
    max_line_bytes = MAX_LINE_BYTES

    def __init__(
        self,
        loop: EventLoop,
        address: Address,
        seq: int,
        deliver: Callable[[Fleet], None],
        log: Callable[[str], None],
    ) -> None:
        """Follow the log after event `seq`, once connected; `deliver` receives lists and changes."""
        self.seq = seq
        self.up_to_date_ms: float | None = None
        self.expects_renumbering = False
        self.confirm: Callable[[float], None] = lambda _proved_ms: None
        self._loop = loop
        self._address = address
        self._deliver = deliver
        self._log = log
        self._connection: Connection | None = None
        self._buffer = bytearray()
        self._began_ms = monotonic_ms()
        self._connected_ms = 0.0
        self._alive_ms = 0.0  # when the log last gave a sign of life on this connection
        self._line_ms = 0.0  # when the line that is arriving began
        self._line_mark = 0  # bytes of it that counted as signs of life
        self._backoff_ms = MIN_BACKOFF_MS
        self._retry: Timer | None = None  # of the next connection attempt
        self._stumbled_at: int | None = None  # where the log could not be followed last time
        self._stopped = False
        self._order = EventOrder()
        self._clock_steps = ClockStepCorrection()
        self._smaller_numbers = 0  # numbers below the own in a row, on this connection
        self._smaller_ms: float | None = None  # since when the log reports numbers below the own
        self._heartbeat_age = HeartbeatAge()
        self._same_seq = 0  # on this connection, the last event that was received before as it is
        self._fresh = False  # nothing was received on this connection yet
        self._probing = False  # the next connection, or this one, requests all events
        self._replay: Replay | None = None

    def connect(self) -> None:
        """Connect, unless a connection exists or is being opened."""
        if self._stopped or self._connection is not None:
            return
        if self._retry:  # an attempt that was planned earlier must not follow this one
            self._retry.cancel()
        self._buffer.clear()
        opened = Connection.dial(self._loop, self._address, self, CONNECT_TIMEOUT_MS, first=True)
        if isinstance(opened, EndReason):
            self._connect_later()
        else:
            self._connection = opened

    def move(self, address: Address) -> None:
        """Follow the log at another address from now on; the numbering continues."""
        if address == self._address:
            return
        self._address = address
        self._stumbled_at = None
        self._probing = False
        self._smaller_ms = None
        self._disconnect(EndReason.RETIRED)
        self._backoff_ms = MIN_BACKOFF_MS
        self.connect()

    def _connect_later(self) -> None:
        self._retry = self._loop.timers.after(self._backoff_ms, self.connect)
        self._backoff_ms = min(self.max_backoff_ms, 2 * self._backoff_ms)

    def _disconnect(self, reason: EndReason) -> None:
        if self._connection:
            self._connection.close(reason)

    def run_maintenance(self) -> None:
        """Reconnect where the log is silent: the connection to a log that was cut off stays open."""
        connected = self._connection is not None and self._connection.up
        if connected and monotonic_ms() - self._alive_ms > SILENCE_TIMEOUT_MS:
            self._log("change log: silent, reconnecting")
            self._disconnect(EndReason.SILENT)

    def close(self) -> None:
        """Stop following the log."""
        self._stopped = True
        self._disconnect(EndReason.STOPPED)

    # --- from the connection ------------------------------------------------------------------

    def on_up(self) -> None:
        """Request the events after the last one received."""
        self._connected_ms = self._alive_ms = monotonic_ms()
        self._fresh = True
        self._same_seq = 0
        self._heartbeat_age.begin(self._connected_ms)
        self._smaller_numbers = 0
        if self._connection:
            self._connection.write(b"since %d\n" % self._resume_after())

    def _resume_after(self) -> int:
        """The number after which events are requested.

        After a long absence the last event is requested again: a log that restarted its numbering meanwhile
        may have reached the same number, and has other content under it.
        """
        if self._probing:
            return 0
        absent_ms = monotonic_ms() - (self.up_to_date_ms or self._began_ms)
        return max(0, self._position - 1) if absent_ms > MAX_ABSENCE_MS else self._position

    def on_data(self, data: bytes) -> None:
        """Handle the lines that are complete with these bytes."""
        self._buffer += data
        *lines, rest = self._buffer.split(b"\n")
        self._buffer = bytearray(rest)
        for line in lines:
            if line.strip() and not self._line(bytes(line)):
                return
        self._note_progress(line_began=bool(lines) or len(rest) == len(data))
        if len(rest) > self.max_line_bytes:
            self._stumble("a line without an end")

    def _note_progress(self, line_began: bool) -> None:
        """Count a long line in transfer as a sign of life; a few bytes now and then are none."""
        now = monotonic_ms()
        size = len(self._buffer)
        if line_began:
            self._line_ms = now
            self._line_mark = 0
        if size - self._line_mark >= PROGRESS_BYTES and now - self._line_ms < LINE_MS:
            self._line_mark = size
            self._alive_ms = now

    def on_flushed(self) -> None:
        """Do nothing: only one short line is ever written."""

    def on_end(self, _end: EndReason) -> None:
        """Reconnect after a while; a replay starts again from its first event."""
        self._connection = None
        if self._replay is not None:
            self._replay.cancel()
            self._order = EventOrder()
            self._replay = Replay()
        if not self._stopped:
            self._connect_later()

    # --- lines --------------------------------------------------------------------------------

    def _line(self, line: bytes) -> bool:
        """Handle one line; return False where the connection was closed."""
        try:
            read = msgspec.json.decode(line)
        except (msgspec.DecodeError, RecursionError):
            return self._stumble(f"not JSON: {line[:60]!r}")
        self._backoff_ms = MIN_BACKOFF_MS
        last = heartbeat_number(read)
        if last is not None:
            return self._number(last)
        if not self.event(read):
            return self._connection is not None and self._stumble(f"not the next event: {line[:60]!r}")
        self._alive_ms = monotonic_ms()
        self._fresh = False
        return self._connection is not None and not self._connection.closed

    def _number(self, last: int) -> bool:
        """Handle the number of the last event that the log has sent; return False after a disconnection.

        Where that stays ahead of what was received, the log counts as silent: events were lost.
        """
        fresh = self._fresh
        self._fresh = False
        written_ms = self._heartbeat_age.received(monotonic_ms())
        if last > self._position:
            skipped = self._stumble(f"at {last}, but only {self._position} came")
            if skipped and monotonic_ms() - self._connected_ms < MAX_DELAY_MS:
                self._alive_ms = monotonic_ms()
            return skipped
        self._alive_ms = monotonic_ms()
        if last < self._position:
            return self._smaller_number(last, fresh)
        if self._replay is not None and self._replay.timer is not None:
            self._end_replay()
        self._stumbled_at = None  # a later failure to follow is a new one
        self._smaller_numbers = 0
        self._smaller_ms = None
        self._probing = False
        self.up_to_date_ms = max(written_ms, self.up_to_date_ms or written_ms)
        self.confirm(written_ms)
        return self._keep_up(written_ms)

    def _keep_up(self, written_ms: float) -> bool:
        """Reconnect where heartbeats are older and older when they arrive; return False if so."""
        age_ms = monotonic_ms() - written_ms
        if age_ms < MAX_HEARTBEAT_AGE_MS or monotonic_ms() - self._connected_ms < MIN_RECONNECT_MS:
            return True
        self._log(f"change log: heartbeats may be {age_ms:.0f} ms old, reconnecting")
        self._disconnect(EndReason.SILENT)
        return False

    # --- a log that restarts its numbering ----------------------------------------------------

    def _smaller_number(self, last: int, fresh: bool) -> bool:
        """Handle a number below the own: the log lags, or it lost its events and restarted its numbering.

        Requesting all its events shows which.
        """
        if self.expects_renumbering:
            return self._follow_renumbered(last)
        if self._order.empty or self._replay is not None:  # nothing to compare with
            return True
        self._smaller_numbers += 1
        if self._smaller_ms is None:
            self._smaller_ms = monotonic_ms()
        if monotonic_ms() - self._smaller_ms > MAX_DELAY_MS and not self._is_lagging_replica(last):
            return self._follow_renumbered(last)
        if not self._probing and (fresh or self._smaller_numbers > MAX_SMALLER_NUMBERS):
            self._log(f"change log: at {last}, after {self.seq} before; requesting all events")
            self._probing = True
            self._disconnect(EndReason.BAD_BYTES)
            return False
        return True

    def _is_lagging_replica(self, last: int) -> bool:
        """Whether the log has, up to its last event, the events that were received before.

        Following it would return scorers to service that later events have drained.
        """
        return 0 < last == self._same_seq

    def _follow_renumbered(self, last: int) -> bool:
        """Reconnect to receive the new numbering from its start, with its complete list first."""
        self._start_replay(last)
        self._disconnect(EndReason.BAD_BYTES)
        return False

    def _start_replay(self, last: int) -> None:
        self._log(f"change log: at {last}, after {self.seq} before: it restarted its numbering")
        self.seq = 0
        self._stumbled_at = None
        self._smaller_ms = None
        self._probing = False
        self._order = EventOrder()
        if self._replay is not None:
            self._replay.cancel()
        self._replay = Replay()

    def _collect(self, replay: Replay, fleet: Fleet) -> None:
        """Collect an event of a new numbering.

        Its first list is older than its last events, and a scorer that these drain must not return to service
        for a moment.
        """
        if replay.timer is None:
            replay.timer = self._loop.timers.after(REPLAY_MS, self._end_replay)
        replay.complete = replay.complete or fleet.complete
        replay.overlay.apply(fleet)

    def _end_replay(self) -> None:
        """Deliver the collected events as one list, and continue with the new numbering."""
        replay = self._replay
        if replay is None:
            return
        replay.cancel()
        self._replay = None
        self.seq = replay.seq
        # Scorers that a complete list did not name are removed; without a complete list, none is.
        members = list(replay.overlay.members.values())
        self._deliver(Fleet(members, replay.complete, replay.overlay.revision))

    # --- events -------------------------------------------------------------------------------

    @property
    def _position(self) -> int:
        """The last event of those that were received without a gap."""
        return self.seq if self._replay is None else self._replay.seq

    def event(self, read: Any, known: bool = False) -> bool:
        """Handle one decoded event; return False where it is malformed, or does not follow the last one.

        `known`: it comes from the configuration, which may start at any number.
        """
        if not isinstance(read, dict) or type(seq := read.get("seq")) is not int:
            return False
        # Protects against a number that is far too high: all later events would count as received before.
        if seq > self._position + MAX_GAP and not known:
            return False
        try:
            if "fleet" not in read:
                return self._advance(seq, known)
            found = FleetRead(fleet_from(read["fleet"]), [], set()) if known else read_fleet(read["fleet"])
            return self._fleet_event(seq, found, known)
        except ConfigError as error:
            self._log(f"change log: event {seq}: {error}")
            return False

    def _fleet_event(self, seq: int, found: FleetRead, known: bool) -> bool:
        if not known:
            found.drop_unreachable(self._order.is_listed)
        for error in found.errors:
            self._log(f"change log: event {seq}: {error}")
        fleet = found.fleet
        follows = known or fleet.complete
        match = self._order.compare(seq, fleet)
        earlier = seq <= self._position
        if match is EventMatch.SAME:
            self._same_seq = max(seq, self._same_seq)
            return self._advance(seq, follows)
        if earlier and not known and self._replay is None and self._is_renumbered(seq, fleet, match):
            self._start_replay(seq)
            if seq > 1:  # the events before it are needed as well
                self._disconnect(EndReason.BAD_BYTES)
                return False
        self._apply(seq, found, earlier)
        return self._advance(seq, follows)

    def _is_renumbered(self, seq: int, fleet: Fleet, match: EventMatch) -> bool:
        if match is EventMatch.NEW or (fleet.complete and seq > 1):
            return self._order.is_renumbered(seq, fleet)
        return fleet.complete or seq > 1  # the first event is a complete list, or no event of the log

    def _apply(self, seq: int, found: FleetRead, earlier: bool) -> None:
        """Deliver what is new in an event, or collect it during a replay."""
        fleet = self._order.apply(seq, found.fleet, found.unreadable_ids)
        fleet = self._clock_steps.correct(fleet, self._loop.clock.stepped_by_ms)
        if earlier and not fleet.members and not fleet.complete:
            return
        try:
            if self._replay is not None:
                self._collect(self._replay, fleet)
            else:
                self._deliver(fleet)
        except Exception:
            self._order.forget(seq)  # received again, it must count as new
            raise

    def _advance(self, seq: int, follows: bool) -> bool:
        """Continue after an event; False where events before it are missing, which are requested once."""
        if seq > self._position + 1 and not follows and self._stumbled_at != self._position:
            return False
        if self._replay is not None:
            self._replay.seq = max(seq, self._replay.seq)
        else:
            self.seq = max(seq, self.seq)
        return True

    def _stumble(self, why: str) -> bool:
        """Reconnect to receive events again; return True where that failed here before, to skip the fault."""
        if self._stumbled_at == self._position:
            return True
        self._log(f"change log: {why}; reconnecting after event {self._position}")
        self._stumbled_at = self._position
        self._disconnect(EndReason.BAD_BYTES)
        return False
