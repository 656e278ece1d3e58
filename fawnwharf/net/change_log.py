"""The client of the change log: follows it over TCP, reconnects, and tolerates malformed lines."""

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

# Events must be received within 4 s after the log falls silent and within 2 s after it disconnects. That
# includes detection, a failed connection attempt, a successful one, and the transfer.
SILENCE_TIMEOUT_MS = 1_800.0  # the log writes a line every second; one may be missing
CONNECT_TIMEOUT_MS = 500.0
MIN_BACKOFF_MS = 50.0  # before the next connection attempt
MAX_BACKOFF_MS = 250.0
MAX_MISSING_EVENTS = 1_000  # an event number that is further ahead is rejected as wrong
MAX_LINE_BYTES = 4 * 1024 * 1024  # a list of thousands of scorers is shorter
PROGRESS_BYTES = 16 * 1024  # of an incomplete line count as activity: a long list is in transfer
MAX_LINE_MS = 10_000.0  # for the transfer of one line
MAX_DELAY_MS = 7_000.0  # a log that is behind for longer than this has restarted its numbering
MAX_HEARTBEAT_AGE_MS = 3_000.0  # heartbeats that may be older when they arrive cause a reconnect
MIN_RECONNECT_MS = 10_000.0  # minimum age of the connection for such a reconnect
MAX_UNCONFIRMED_MS = 4_500.0  # after a longer time the log may have restarted its numbering unnoticed
REPLAY_COLLECT_MS = 100.0  # for a new numbering's events; a drain must be applied within 250 ms
MAX_SMALLER_NUMBERS = 1  # consecutive heartbeats with a smaller number, before all events are requested


class ChangeLog:
    """Follows the log after a given event, and delivers the changes that each event contains.

    An event is delivered as soon as it is read, even if earlier events are missing, so that a drain takes
    effect at once. Missing events are requested. Where a later event has replaced an entry of a late event,
    the entry is ignored (`EventOrder`).

    `seq`: all events up to this one were delivered, or were given up as missing. `up_to_date_ms`: the latest
    time at which the log is known to have had no further events, in milliseconds on the monotonic clock.
    `confirm`: called with each such time. `expects_renumbering`: whether any smaller event number means that
    the log has lost its events.
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
        """Follow the log after event `seq`; `deliver` receives complete lists and changes."""
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
        self._alive_ms = 0.0  # the last activity of the log on this connection
        self._line_began_ms = 0.0  # when the transfer of the incomplete line began
        self._line_counted_bytes = 0  # bytes of that line that were counted as activity
        self._backoff_ms = MIN_BACKOFF_MS
        self._retry: Timer | None = None  # of the next connection attempt
        self._failed_position: int | None = None  # the position at the last failure to follow the log
        self._stopped = False
        self._order = EventOrder()
        self._clock_steps = ClockStepCorrection()
        self._smaller_numbers = 0  # consecutive smaller numbers on this connection
        self._smaller_since_ms: float | None = None  # since when the log has sent smaller numbers
        self._heartbeat_age = HeartbeatAge()
        self._last_repeated_seq = 0  # the last event on this connection that repeats a known one
        self._awaits_first_line = False  # no line was received on this connection
        self._requests_all_events = False  # this connection, or the next one, requests all events
        self._replay: Replay | None = None

    def connect(self) -> None:
        """Connect, unless a connection exists or is being opened."""
        if self._stopped or self._connection is not None:
            return
        if self._retry:  # replace a scheduled attempt
            self._retry.cancel()
        self._buffer.clear()
        opened = Connection.dial(self._loop, self._address, self, CONNECT_TIMEOUT_MS, first=True)
        if isinstance(opened, EndReason):
            self._connect_later()
        else:
            self._connection = opened

    def move(self, address: Address) -> None:
        """Follow the log at another address; the numbering of events continues."""
        if address == self._address:
            return
        self._address = address
        self._failed_position = None
        self._requests_all_events = False
        self._smaller_since_ms = None
        self._disconnect(EndReason.SUPERSEDED)
        self._backoff_ms = MIN_BACKOFF_MS
        self.connect()

    def _connect_later(self) -> None:
        self._retry = self._loop.timers.after(self._backoff_ms, self.connect)
        self._backoff_ms = min(self.max_backoff_ms, 2 * self._backoff_ms)

    def _disconnect(self, reason: EndReason) -> None:
        if self._connection:
            self._connection.close(reason)

    def run_maintenance(self) -> None:
        """Reconnect if the log is silent: its connection stays open when the network or the machine fails."""
        connected = self._connection is not None and self._connection.up
        if connected and monotonic_ms() - self._alive_ms > SILENCE_TIMEOUT_MS:
            self._log("change log: silent, reconnecting")
            self._disconnect(EndReason.SILENT)

    def close(self) -> None:
        """Stop following the log."""
        self._stopped = True
        self._disconnect(EndReason.STOPPED)

    # --- ConnectionOwner callbacks ------------------------------------------------------------

    def on_up(self) -> None:
        """Request the events after the last one received."""
        self._connected_ms = self._alive_ms = monotonic_ms()
        self._awaits_first_line = True
        self._last_repeated_seq = 0
        self._heartbeat_age.begin(self._connected_ms)
        self._smaller_numbers = 0
        if self._connection:
            self._connection.write(b"since %d\n" % self._number_to_request())

    def _number_to_request(self) -> int:
        """The number after which events are requested.

        After a long time without confirmation the last event is requested again: its content shows whether
        the log has restarted its numbering and reached the same number.
        """
        if self._requests_all_events:
            return 0
        absent_ms = monotonic_ms() - (self.up_to_date_ms or self._began_ms)
        return max(0, self._position - 1) if absent_ms > MAX_UNCONFIRMED_MS else self._position

    def on_data(self, data: bytes) -> None:
        """Handle the lines that these bytes complete."""
        self._buffer += data
        *lines, rest = self._buffer.split(b"\n")
        self._buffer = bytearray(rest)
        for line in lines:
            if line.strip() and not self._handle_line(bytes(line)):
                return
        self._note_progress(line_began=bool(lines) or len(rest) == len(data))
        if len(rest) > self.max_line_bytes:
            self._handle_bad_line(f"line exceeds {self.max_line_bytes} bytes")

    def _note_progress(self, line_began: bool) -> None:
        """Count progress in the transfer of a long line as activity; a few bytes do not count."""
        now = monotonic_ms()
        size = len(self._buffer)
        if line_began:
            self._line_began_ms = now
            self._line_counted_bytes = 0
        if size - self._line_counted_bytes >= PROGRESS_BYTES and now - self._line_began_ms < MAX_LINE_MS:
            self._line_counted_bytes = size
            self._alive_ms = now

    def on_flushed(self) -> None:
        """Do nothing: the one line written on a connection is short."""

    def on_end(self, _end: EndReason) -> None:
        """Schedule a connection attempt; a replay starts again from its first event."""
        self._connection = None
        if self._replay is not None:
            self._replay.cancel()
            self._order = EventOrder()
            self._replay = Replay()
        if not self._stopped:
            self._connect_later()

    # --- lines --------------------------------------------------------------------------------

    def _handle_line(self, line: bytes) -> bool:
        """Handle one line; return False if the connection was closed."""
        try:
            read = msgspec.json.decode(line)
        except (msgspec.DecodeError, RecursionError):
            return self._handle_bad_line(f"line is not JSON: {line[:60]!r}")
        self._backoff_ms = MIN_BACKOFF_MS
        last = heartbeat_number(read)
        if last is not None:
            return self._handle_heartbeat(last)
        if not self.event(read):
            return self._connection is not None and self._handle_bad_line(
                f"line is not the next event: {line[:60]!r}"
            )
        self._alive_ms = monotonic_ms()
        self._awaits_first_line = False
        return self._connection is not None and not self._connection.closed

    def _handle_heartbeat(self, last: int) -> bool:
        """Handle a heartbeat, which states the log's last event; return False if the connection was closed.

        A log that keeps stating more events than were received counts as silent, as events were lost.
        """
        fresh = self._awaits_first_line
        self._awaits_first_line = False
        written_ms = self._heartbeat_age.received(monotonic_ms())
        if last > self._position:
            skipped = self._handle_bad_line(f"heartbeat states event {last}, only {self._position} received")
            if skipped and monotonic_ms() - self._connected_ms < MAX_DELAY_MS:
                self._alive_ms = monotonic_ms()
            return skipped
        self._alive_ms = monotonic_ms()
        if last < self._position:
            return self._handle_smaller_number(last, fresh)
        if self._replay is not None and self._replay.timer is not None:
            self._end_replay()
        self._failed_position = None  # a later failure is a new one
        self._smaller_numbers = 0
        self._smaller_since_ms = None
        self._requests_all_events = False
        self.up_to_date_ms = max(written_ms, self.up_to_date_ms or written_ms)
        self.confirm(written_ms)
        return self._check_heartbeat_age(written_ms)

    def _check_heartbeat_age(self, written_ms: float) -> bool:
        """Reconnect if heartbeats arrive with a growing delay; return False if so."""
        age_ms = monotonic_ms() - written_ms
        if age_ms < MAX_HEARTBEAT_AGE_MS or monotonic_ms() - self._connected_ms < MIN_RECONNECT_MS:
            return True
        self._log(f"change log: heartbeats may be {age_ms:.0f} ms old, reconnecting")
        self._disconnect(EndReason.SILENT)
        return False

    # --- a log that restarts its numbering ----------------------------------------------------

    def _handle_smaller_number(self, last: int, fresh: bool) -> bool:
        """Handle a smaller number: the log is behind, or it lost its events and restarted its numbering.

        All events are requested to find out which.
        """
        if self.expects_renumbering:
            return self._follow_renumbered(last)
        if self._order.empty or self._replay is not None:  # no events to compare with
            return True
        self._smaller_numbers += 1
        if self._smaller_since_ms is None:
            self._smaller_since_ms = monotonic_ms()
        if monotonic_ms() - self._smaller_since_ms > MAX_DELAY_MS and not self._is_lagging_replica(last):
            return self._follow_renumbered(last)
        if not self._requests_all_events and (fresh or self._smaller_numbers > MAX_SMALLER_NUMBERS):
            self._log(f"change log: at event {last}, was at {self.seq}; requesting all events")
            self._requests_all_events = True
            self._disconnect(EndReason.PROTOCOL_ERROR)
            return False
        return True

    def _is_lagging_replica(self, last: int) -> bool:
        """Whether the log is an outdated replica; following it would return drained scorers to service."""
        return 0 < last == self._last_repeated_seq

    def _follow_renumbered(self, last: int) -> bool:
        """Reconnect to receive the new numbering from its first event, a complete list."""
        self._start_replay(last)
        self._disconnect(EndReason.PROTOCOL_ERROR)
        return False

    def _start_replay(self, last: int) -> None:
        self._log(f"change log: at event {last}, was at {self.seq}; it restarted its numbering")
        self.seq = 0
        self._failed_position = None
        self._smaller_since_ms = None
        self._requests_all_events = False
        self._order = EventOrder()
        if self._replay is not None:
            self._replay.cancel()
        self._replay = Replay()

    def _collect(self, replay: Replay, fleet: Fleet) -> None:
        """Collect an event of a new numbering: the complete list in the first one may be outdated.

        A scorer that later events drain must not return to service for a moment.
        """
        if replay.timer is None:
            replay.timer = self._loop.timers.after(REPLAY_COLLECT_MS, self._end_replay)
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
        # Scorers that a complete list does not name are removed. Without a complete list none is removed.
        members = list(replay.overlay.members.values())
        self._deliver(Fleet(members, replay.complete, replay.overlay.revision))

    # --- events -------------------------------------------------------------------------------

    @property
    def _position(self) -> int:
        """The last event that was received without a gap before it."""
        return self.seq if self._replay is None else self._replay.seq

    def event(self, read: Any, known: bool = False) -> bool:
        """Handle one decoded event; return False if it is malformed or does not follow the last one.

        `known`: it comes from the configuration, where the numbers may begin anywhere.
        """
        if not isinstance(read, dict) or type(seq := read.get("seq")) is not int:
            return False
        # A number that is far too high would make all later events count as already received.
        if seq > self._position + MAX_MISSING_EVENTS and not known:
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
            self._last_repeated_seq = max(seq, self._last_repeated_seq)
            return self._advance(seq, follows)
        if earlier and not known and self._replay is None and self._is_renumbered(seq, fleet, match):
            self._start_replay(seq)
            if seq > 1:  # the events before it are needed too
                self._disconnect(EndReason.PROTOCOL_ERROR)
                return False
        self._apply(seq, found, earlier)
        return self._advance(seq, follows)

    def _is_renumbered(self, seq: int, fleet: Fleet, match: EventMatch) -> bool:
        if match is EventMatch.NEW or (fleet.complete and seq > 1):
            return self._order.is_renumbered(seq, fleet)
        return fleet.complete or seq > 1  # event 1 of the log is always a complete list

    def _apply(self, seq: int, found: FleetRead, earlier: bool) -> None:
        """Deliver the new content of an event, or collect it during a replay."""
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
            self._order.forget(seq)  # when received again, it has to count as new
            raise

    def _advance(self, seq: int, follows: bool) -> bool:
        """Set the position to an event; return False if missing events have to be requested first."""
        if seq > self._position + 1 and not follows and self._failed_position != self._position:
            return False
        if self._replay is not None:
            self._replay.seq = max(seq, self._replay.seq)
        else:
            self.seq = max(seq, self.seq)
        return True

    def _handle_bad_line(self, why: str) -> bool:
        """Reconnect to receive events again; return True to skip the fault if it occurred here before."""
        if self._failed_position == self._position:
            return True
        self._log(f"change log: {why}; reconnecting after event {self._position}")
        self._failed_position = self._position
        self._disconnect(EndReason.PROTOCOL_ERROR)
        return False
