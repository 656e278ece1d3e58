"""The change log: followed over TCP, reconnected when it falls silent, never trusted to be well-formed."""

from collections.abc import Callable
from typing import Any

import msgspec

from fawnwharf.config import Address, ConfigError, Fleet, fleet_from
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.event_order import EventMatch, EventOrder
from fawnwharf.net.fleet_events import FleetRead, read_fleet
from fawnwharf.net.log_writer import LogWriter
from fawnwharf.net.roster_overlay import RosterOverlay
from fawnwharf.net.scorer_start_times import ClockStepCorrection
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

# What it has to tell counts as told 4 s after it stopped, and 2 s after it broke off: to notice, to dial and
# to be told again must fit in, also where a first dial comes to nothing.
SILENCE_TIMEOUT_MS = 1_800.0  # it writes a line a second; one missing and most of the next make it silent
CONNECT_TIMEOUT_MS = 500.0
MIN_BACKOFF_MS, MAX_BACKOFF_MS = 50.0, 250.0  # before dialling again
MAX_GAP = 1_000  # events that may be missing for good where the log can't be followed
MAX_LINE_BYTES = 4 * 1024 * 1024  # a list of thousands of scorers is shorter
PROGRESS_BYTES = 16 * 1024  # of one line within the silence: a long list that is still coming, no trickle
LINE_MS = 10_000.0  # within which a line has to be whole, however fast it comes
MAX_DELAY_MS = 7_000.0  # whatever the log has to tell is told by then: one that lags for longer numbers anew
REPLAY_MS = 100.0  # to be told all of a new numbering; a drain in it has 250 ms
MAX_SMALLER_NUMBERS = 1  # numbers below the own in a row, before the log is asked what it has


class ChangeLog:
    """Follows the log from an event on, and passes on what each event newly says.

    An event is passed on as soon as it is read, also ahead of missing ones: a drain in it holds from then on.
    What is missing is asked for, and counts where no later event has said otherwise (`EventOrder`)."""

    pause_most_ms, line_most = MAX_BACKOFF_MS, MAX_LINE_BYTES

    def __init__(
        self, loop: EventLoop, address: Address, seq: int, told: Callable[[Fleet], None], log: LogWriter
    ) -> None:
        self.seq = seq  # all events up to this one are passed on, or missing for good
        self.told_all_ms: float | None = None  # when it said last that nothing more is to be told
        self.may_begin_anew = False  # any smaller number is of a log that lost its own
        self._loop, self._address, self._told, self._log = loop, address, told, log
        self._connection: Connection | None = None
        self._buffer = bytearray()
        self._up_ms = 0.0  # since when this connection is up
        self._lived_ms = 0.0  # when the log last gave a sign of life on this connection
        self._line_ms = 0.0  # when the line that is coming began
        self._line_mark = 0  # bytes of it that counted as signs of life
        self._pause_ms = MIN_BACKOFF_MS
        self._retry: Timer | None = None  # of the next dial
        self._stumbled_at: int | None = None  # where the log could not be followed last time
        self._stopped = False
        self._order, self._steps_back = EventOrder(), ClockStepCorrection()
        self._smaller = 0  # numbers below the own in a row, on this connection
        self._smaller_ms: float | None = None  # since when the log says numbers below the own
        self._fresh = False  # nothing was said on this connection yet
        self._probing = False  # the next connection, or this one, asks for all events
        self._replay: RosterOverlay | None = None  # a new numbering that is being read from its start
        self._replay_seq = 0
        self._replay_whole = False  # a list of all scorers was among it
        self._replay_timer: Timer | None = None

    def connect(self) -> None:
        """Dial, unless a connection is there or under way."""
        if self._stopped or self._connection is not None:
            return
        if self._retry:  # a dial that was planned earlier must not follow this one
            self._retry.cancel()
            self._retry = None
        self._buffer.clear()
        made = Connection.dial(self._loop, self._address, self, CONNECT_TIMEOUT_MS, first=True)
        if isinstance(made, EndReason):
            self._again()
        else:
            self._connection = made

    def move(self, address: Address) -> None:
        """Follow the log at another address from now on; the numbers go on where they were."""
        if address == self._address:
            return
        self._address, self._stumbled_at = address, None
        self._probing, self._smaller_ms = False, None
        if self._connection:
            self._connection.close(EndReason.RETIRED)
        self._pause_ms = MIN_BACKOFF_MS
        self.connect()

    def _again(self) -> None:
        self._retry = self._loop.timers.after(self._pause_ms, self.connect)
        self._pause_ms = min(self.pause_most_ms, 2 * self._pause_ms)

    def run_maintenance(self) -> None:
        """Guards against a log that was cut off: its connection stays open and says nothing."""
        up = self._connection is not None and self._connection.up
        if up and monotonic_ms() - self._lived_ms > SILENCE_TIMEOUT_MS:
            self._log("change log: silent, reconnecting")
            self._connection.close(EndReason.SILENT)

    def close(self) -> None:
        """Follow no more."""
        self._stopped = True
        if self._connection:
            self._connection.close(EndReason.STOPPED)

    # --- from the connection ------------------------------------------------------------------

    def on_up(self) -> None:
        self._up_ms = self._lived_ms = monotonic_ms()
        self._fresh, self._smaller = True, 0
        self._connection.write(b"since %d\n" % (0 if self._probing else self._at))

    def on_data(self, data: bytes) -> None:
        self._buffer += data
        *lines, rest = self._buffer.split(b"\n")
        self._buffer = bytearray(rest)
        for line in lines:
            if line.strip() and not self._line(bytes(line)):
                return
        self._see_progress(begun=bool(lines) or len(rest) == len(data))
        if len(rest) > self.line_most:
            self._stumble("a line without an end")

    def _see_progress(self, begun: bool) -> None:
        """A long line that is coming is a sign of life; a few bytes now and then are none."""
        now, size = monotonic_ms(), len(self._buffer)
        if begun:
            self._line_ms, self._line_mark = now, 0
        if size - self._line_mark >= PROGRESS_BYTES and now - self._line_ms < LINE_MS:
            self._line_mark, self._lived_ms = size, now

    def on_flushed(self) -> None:
        pass

    def on_end(self, end: EndReason) -> None:
        self._connection = None
        if self._replay is not None:  # what was gathered is to be told again, from the start
            self._stop_replay()
            self._order, self._replay = EventOrder(), RosterOverlay()
        if not self._stopped:
            self._again()

    # --- lines --------------------------------------------------------------------------------

    def _line(self, line: bytes) -> bool:
        """Take one line; False where the connection was given up."""
        try:
            read = msgspec.json.decode(line)
        except (msgspec.DecodeError, RecursionError):
            return self._stumble(f"not JSON: {line[:60]!r}")
        self._pause_ms = MIN_BACKOFF_MS
        if isinstance(read, int) and not isinstance(read, bool):
            return self._number(read)
        if not self.event(read):
            return self._connection is not None and self._stumble(f"not the next event: {line[:60]!r}")
        self._lived_ms, self._fresh = monotonic_ms(), False
        return self._connection is not None and not self._connection.closed

    def _number(self, read: int) -> bool:
        """The number of the last event that it has told. Where it stays ahead of what comes, the log counts
        as silent: the events are lost on this connection."""
        fresh, self._fresh = self._fresh, False
        if read > self._at:
            passed_over = self._stumble(f"at {read}, but only {self._at} came")
            if passed_over and monotonic_ms() - self._up_ms < MAX_DELAY_MS:
                self._lived_ms = monotonic_ms()
            return passed_over
        self._lived_ms = monotonic_ms()
        if read < self._at:
            return self._number_below(read, fresh)
        if self._replay_timer is not None:
            self._end_replay()
        self._stumbled_at, self.told_all_ms = None, monotonic_ms()  # a later stumble is a new one
        self._smaller, self._smaller_ms, self._probing = 0, None, False
        return True

    # --- a log that numbers its events anew ---------------------------------------------------

    def _number_below(self, read: int, fresh: bool) -> bool:
        """It lags, or it lost its events and numbers them anew: all that it has, asked for, says which."""
        if self.may_begin_anew:
            return self._anew(read)
        if self._order.empty or self._replay is not None:  # nothing to compare with
            return True
        self._smaller += 1
        if self._smaller_ms is None:
            self._smaller_ms = monotonic_ms()
        if monotonic_ms() - self._smaller_ms > MAX_DELAY_MS:
            return self._anew(read)
        if not self._probing and (fresh or self._smaller > MAX_SMALLER_NUMBERS):
            self._log(f"change log: at {read}, after {self.seq} before; requesting all events")
            self._probing = True
            self._connection.close(EndReason.BAD_BYTES)
            return False
        return True

    def _anew(self, last: int) -> bool:
        """Its numbers began with 1 again: all that it has told since is to be told, its whole list first."""
        self._begin_anew(last)
        self._connection.close(EndReason.BAD_BYTES)
        return False

    def _begin_anew(self, last: int) -> None:
        self._log(f"change log: at {last}, after {self.seq} before: it restarted its numbering")
        self.seq, self._stumbled_at, self._smaller_ms, self._probing = 0, None, None, False
        self._order, self._replay = EventOrder(), RosterOverlay()

    def _replayed(self, fleet: Fleet) -> None:
        """Gather what a new numbering says from its start: its first list is older than its last events, and
        a scorer that these drain must not come back for a moment."""
        if self._replay_timer is None:
            self._replay_timer = self._loop.timers.after(REPLAY_MS, self._end_replay)
        self._replay_whole = self._replay_whole or fleet.complete
        self._replay.apply(fleet)

    def _end_replay(self) -> None:
        replay, seq, whole = self._replay, self._replay_seq, self._replay_whole
        self._stop_replay()
        self.seq = seq
        # Whom a whole list did not name is gone; where none could be read whole, nobody is.
        self._told(Fleet(list(replay.members.values()), whole, replay.revision))

    def _stop_replay(self) -> None:
        if self._replay_timer:
            self._replay_timer.cancel()
        self._replay, self._replay_timer, self._replay_seq = None, None, 0
        self._replay_whole = False

    # --- events -------------------------------------------------------------------------------

    @property
    def _at(self) -> int:
        """The last event of those that came without a gap."""
        return self.seq if self._replay is None else self._replay_seq

    def event(self, read: Any, of_start: bool = False) -> bool:
        """Take one event, of the start or of the log; False where it is none, or does not follow."""
        if not isinstance(read, dict) or type(seq := read.get("seq")) is not int:
            return False
        # Guards against a number out of nowhere: all events after it would count as told before.
        if seq > self._at + MAX_GAP and not of_start:
            return False
        try:
            if "fleet" not in read:
                return self._advance(seq, of_start)
            found = FleetRead(fleet_from(read["fleet"]), [], set()) if of_start else read_fleet(read["fleet"])
            return self._fleet_event(seq, found, of_start)
        except ConfigError as error:
            self._log(f"change log: event {seq}: {error}")
            return False

    def _fleet_event(self, seq: int, found: FleetRead, of_start: bool) -> bool:
        if not of_start:
            found.leave_out_unknown(self._order.knows)
        for fault in found.faults:
            self._log(f"change log: event {seq}: {fault}")
        fleet, follows = found.fleet, of_start or found.fleet.complete
        told, earlier = self._order.told(seq, fleet), seq <= self._at
        if told is EventMatch.SAME:
            return self._advance(seq, follows)
        if earlier and not of_start and self._replay is None and self._is_numbered_anew(seq, fleet, told):
            self._begin_anew(seq)
            if seq > 1:  # what came before it is wanted as well
                self._connection.close(EndReason.BAD_BYTES)
                return False
        self._take(seq, found, earlier)
        return self._advance(seq, follows)

    def _is_numbered_anew(self, seq: int, fleet: Fleet, told: EventMatch) -> bool:
        if told is EventMatch.NEVER or (fleet.complete and seq > 1):
            return self._order.of_other_numbers(seq, fleet)
        return fleet.complete or seq > 1  # the first event is a whole list, or no event of the log

    def _take(self, seq: int, found: FleetRead, earlier: bool) -> None:
        """Pass on what is new in an event."""
        fleet = self._order.take(seq, found.fleet, found.spared)
        fleet = self._steps_back.own(fleet, self._loop.clock.stepped_by_ms)
        if earlier and not fleet.members and not fleet.complete:
            return
        try:
            if self._replay is not None:
                self._replayed(fleet)
            else:
                self._told(fleet)
        except Exception:
            self._order.forget(seq)  # told again, it is no repetition
            raise

    def _advance(self, seq: int, follows: bool) -> bool:
        """Go on after an event; False where others are missing before it, which are asked for once."""
        if seq > self._at + 1 and not follows and self._stumbled_at != self._at:
            return False
        if self._replay is not None:
            self._replay_seq = max(seq, self._replay_seq)
        else:
            self.seq = max(seq, self.seq)
        return True

    def _stumble(self, why: str) -> bool:
        """Connect again and be told again; what can't be followed twice at one place is passed over."""
        if self._stumbled_at == self._at:
            return True
        self._log(f"change log: {why}; reconnecting after event {self._at}")
        self._stumbled_at = self._at
        if self._connection:
            self._connection.close(EndReason.BAD_BYTES)
        return False
