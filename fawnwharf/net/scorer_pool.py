"""The scorers: who they are, who gets a connection when, and the attempts and orders on these."""

import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from fawnwharf.config import Address, Wire
from fawnwharf.interface import ScorerState, Warmth
from fawnwharf.net import scorer_frames as frames
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import LOCAL_REASONS, EndReason
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.log_writer import LogWriter
from fawnwharf.net.scorer_connection import MAX_PARTIAL_WRITE_MS, ScorerConnection
from fawnwharf.net.scorer_streams import WARMTH_BY_FIELD, Answer, Attempt, LoadOrder, Stream, parse_count
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

SILENT_MS = 1_000.0  # a link that owes an answer and says nothing for this long gets nothing new
KEEPALIVE_SHARE = (
    0.7  # of the keep-alive: closed here before the scorer does, so that no send crosses a close
)
# Something on the way may forget links that were idle for far less than the keep-alive: a call that is reset
# at once on such a link says how long is too long. The trust grows again while nothing of the kind happens.
STALE_RESET_MS = 20.0  # a reset so soon after the first bytes was none by the call
MIN_REUSE_IDLE_MS, REUSE_IDLE_DECREASE, REUSE_IDLE_GROWTH = (
    50.0,
    0.7,
    1.02,
)  # the last at each look, four times a second
REDIAL_DELAY_MS = (
    20.0  # after a dial that failed by a fault of this machine's own, which may have passed then
)
MAX_REDIALS = 3  # in a row: a dial that is reset as it comes up shows that somebody listens
MAX_CONNECTIONS = 6  # to one scorer
SPREAD_CONNECTIONS = (
    4  # up to so many, a call finds a link of its own: what spoils one ends all that is on it
)
EXPENSIVE_HANDSHAKE = 0.02  # where a handshake costs more points, calls share links while these have room
SPREAD_SHARE = 0.7  # of the descriptors for links: the rest is kept for calls that find none


@dataclass(slots=True, eq=False)
class Scorer:
    """A scorer by its number, never by its address alone: a new one may have a gone one's."""

    id: int
    address: Address
    state: ScorerState
    up_since_ms: float
    redials: int = 0  # since a link came up
    links: list[ScorerConnection] = field(default_factory=list)
    waiting: deque[Stream] = field(default_factory=deque)
    redial: Timer | None = None  # set while a fault of this machine's own keeps it from being dialled

    def link_for(self, id: bytes, trust_ms: float) -> ScorerConnection | None:
        able = [link for link in self.links if link.up and not link.retired and link.takes(id)]
        able = [link for link in able if link.idle_ms() <= trust_ms]
        lively = [link for link in able if not link.quiet(SILENT_MS)]
        if not lively and len(self.links) >= MAX_CONNECTIONS:
            lively = able
        # Of links that are as empty, the one used last: one long idle may be about to be closed.
        best = min(lively, key=lambda link: (len(link.streams), -link.connection.used_ms), default=None)
        if best and not best.streams and best.connection.unread() == b"":
            # Guards calls that may not run twice: what is written to an ended connection may have run.
            best.connection.close(EndReason.CLOSED_BY_PEER)
            return self.link_for(id, trust_ms)
        return best

    def crowded(self) -> bool:
        """Whether the next call would share a link, while there may be more of them."""
        return len(self.links) < SPREAD_CONNECTIONS and all(link.up and link.streams for link in self.links)

    def current(self) -> list[ScorerConnection]:
        """Its links, without those to an address or a process that it had before."""
        return [link for link in self.links if not link.retired]

    def dialling(self) -> int:
        """The dials under way that what waits may go by."""
        return sum(not link.up for link in self.current())


class ScorerPool:
    """Owns the scorers and their links, within a share of the descriptors."""

    def __init__(self, loop: EventLoop, wire: Wire, links_most: int, seed: int, log: LogWriter) -> None:
        self.loop, self.wire, self.log = loop, wire, log
        self.scorers: dict[int, Scorer] = {}
        self.max_connections, self._links = links_most, 0
        self._trust_most_ms = max(MIN_REUSE_IDLE_MS, KEEPALIVE_SHARE * wire.keepalive_ms)
        self._trust_ms = self._trust_most_ms  # a link idle for longer is not used again
        self._order_ids = itertools.count(random.Random(seed).getrandbits(62))

    # --- the roster ---------------------------------------------------------------------------

    def update(self, id: int, address: Address | None, state: ScorerState, up_since_ms: float) -> None:
        scorer = self.scorers.get(id)
        if scorer is None:
            if address is not None and state is not ScorerState.GONE:
                self.scorers[id] = Scorer(id, address, state, up_since_ms)
            return
        moved = address is not None and address != scorer.address
        anew = moved or up_since_ms > scorer.up_since_ms
        unsent = self._retire(scorer) if anew else []
        scorer.address = address or scorer.address
        scorer.state, scorer.up_since_ms = state, max(up_since_ms, scorer.up_since_ms)
        if state is not ScorerState.READY:
            self._pull_back(scorer)
        if state is ScorerState.GONE:
            self._retire(scorer)
            self._drop_if_empty(scorer)
        if anew:  # what had not left yet is for the new process, or the new address
            scorer.redials = 0
            for stream in unsent:
                self._place(stream)
            self._place_waiting(scorer)

    def remove_unlisted(self, named: set[int]) -> None:
        """A complete list was told: whoever it does not name is gone."""
        for id in [id for id in self.scorers if id not in named]:
            self.update(id, None, ScorerState.GONE, 0.0)

    def _pull_back(self, scorer: Scorer) -> None:
        """Nothing new may leave for it now: what is unwritten or waits for a dial comes back."""
        unwritten = [stream for link in scorer.links for stream in link.unwritten()]
        for stream in [*scorer.waiting, *unwritten]:
            if stream.is_new_work or scorer.state is ScorerState.GONE:
                self._take_off(stream)
                self._end(stream, EndReason.PULLED_BACK)

    def _retire(self, scorer: Scorer) -> list[Stream]:
        """Use its links for nothing new; the streams on them of which nothing was written, taken off."""
        unsent: list[Stream] = []
        for link in list(scorer.links):
            link.retired = True
            for stream in link.unwritten():
                link.withdraw(stream)
                stream.link = stream.piece = None
                unsent.append(stream)
            if link.up and not link.streams:
                link.connection.close(EndReason.RETIRED)
        return unsent

    def _drop_if_empty(self, scorer: Scorer) -> None:
        if scorer.state is ScorerState.GONE and not scorer.links and not scorer.waiting:
            self.scorers.pop(scorer.id, None)

    # --- sending ------------------------------------------------------------------------------

    def send(self, attempt: Attempt) -> None:
        self._watch_time(attempt)
        self._place(attempt)

    def _watch_time(self, attempt: Attempt) -> None:
        due_ms = attempt.deadline_ms if attempt.begun else min(attempt.deadline_ms, attempt.begin_by_ms)
        attempt.timer = self.loop.timers.after(due_ms - monotonic_ms(), lambda: self._time_is_up(attempt))

    def _time_is_up(self, attempt: Attempt) -> None:
        if attempt.begun and monotonic_ms() < attempt.deadline_ms:
            self._watch_time(attempt)
        else:
            self._out_of_time(attempt)

    def start_load(self, order: LoadOrder) -> None:
        order.id = next(self._order_ids).to_bytes(8, "big")
        order.timer = self.loop.timers.after(self.wire.load_wait_ms, lambda: self._out_of_time(order))
        self._place(order)

    def unload(self, worker: int, function: str) -> bool:
        """Have a function's idle copies unloaded there, where a link is up; there is no answer. Copies that
        are not unloaded lapse, so nothing is dialled for it. Raises ValueError for what is no key."""
        frame = frames.unload(function)
        scorer = self.scorers.get(worker)
        link = scorer.link_for(b"", self._trust_ms) if scorer and scorer.state is ScorerState.READY else None
        if link is not None:
            link.connection.write(frame)
        return link is not None

    def _place(self, stream: Stream) -> None:
        if stream.over:
            return
        scorer = self.scorers.get(stream.worker)
        closed = scorer is None or scorer.state is ScorerState.GONE
        if closed or (stream.is_new_work and scorer.state is not ScorerState.READY) or stream.too_late():
            self._end(stream, EndReason.NEVER_SENT)
        elif link := scorer.link_for(stream.id, self._trust_ms):
            stream.wait_no_longer()
            link.start(stream)
            if scorer.crowded() and self._may_spread():
                self._dial_one(scorer)
        else:
            self._wait(scorer, stream)

    def _wait(self, scorer: Scorer, stream: Stream) -> None:
        """Have it wait for a connection, for no longer than a dial may take; its own dial ends first."""
        scorer.waiting.append(stream)
        self._dial(scorer)
        if stream.wait_timer is None and not stream.over:
            most = self.wire.dial_timeout_ms
            stream.wait_timer = self.loop.timers.after(most, lambda: self._waited_out(stream))

    def _waited_out(self, stream: Stream) -> None:
        self._take_off(stream)
        self._end(stream, EndReason.NEVER_SENT)
        if scorer := self.scorers.get(stream.worker):
            self._drop_if_empty(scorer)

    def _place_waiting(self, scorer: Scorer) -> None:
        waiting, scorer.waiting = scorer.waiting, deque()
        for stream in waiting:
            self._place(stream)

    def _may_spread(self) -> bool:
        """Guards scorers' connections and the price: many front ends with links to each run them short."""
        cheap = self.wire.handshake_price < EXPENSIVE_HANDSHAKE
        return cheap and self._links < SPREAD_SHARE * self.max_connections

    def _dial(self, scorer: Scorer) -> None:
        """As many dials as the waiting streams need; none while a fault of this machine's own may last."""
        while scorer.redial is None and scorer.dialling() * self.wire.streams_per_conn < len(scorer.waiting):
            full = len(scorer.current()) >= MAX_CONNECTIONS or not self._has_room()
            failed = EndReason.NO_DESCRIPTOR if full else self._dial_one(scorer)
            if failed in LOCAL_REASONS and not full:
                self._dial_later(scorer)
            elif failed and not scorer.dialling():
                self._fail_waiting(scorer, failed)
            if failed:
                return

    def _has_room(self) -> bool:
        """Whether there may be one more link; an idle one gives way where all are in use.

        Guards calls where there are more scorers than links: they would be turned away for idle links."""
        if self._links >= self.max_connections:
            links = [link for scorer in self.scorers.values() for link in scorer.links]
            idle = [link for link in links if link.up and not link.streams]
            if longest := max(idle, key=ScorerConnection.idle_ms, default=None):
                longest.connection.close(EndReason.IDLE)
        return self._links < self.max_connections

    def _dial_later(self, scorer: Scorer) -> None:
        """Guards the scorer's good name, the loop and the requests against a passing fault of this machine:
        what waits goes on waiting, and is dialled for again after a pause."""
        if scorer.redial is None:
            scorer.redial = self.loop.timers.after(REDIAL_DELAY_MS, lambda: self._dial_again(scorer))

    def _dial_again(self, scorer: Scorer) -> None:
        scorer.redial = None
        self._place_waiting(scorer)

    def _dial_one(self, scorer: Scorer) -> EndReason | None:
        link = ScorerConnection(self, scorer)
        made = Connection.dial(self.loop, scorer.address, link, self.wire.dial_timeout_ms)
        if isinstance(made, EndReason):
            return made
        link.connection = made
        made.limit_parts(MAX_PARTIAL_WRITE_MS)
        scorer.links.append(link)
        self._links += 1
        return None

    def _fail_waiting(self, scorer: Scorer, end: EndReason) -> None:
        waiting, scorer.waiting = scorer.waiting, deque()
        for stream in waiting:
            self._end(stream, end)

    def link_up(self, link: ScorerConnection) -> None:
        if not link.retired:
            link.scorer.redials = 0
            self._place_waiting(link.scorer)
        if link.retired and not link.streams:  # its scorer went while it was dialled
            link.connection.close(EndReason.RETIRED)

    # --- ends ---------------------------------------------------------------------------------

    def link_ended(self, link: ScorerConnection, end: EndReason) -> None:
        scorer = link.scorer
        scorer.links.remove(link)
        self._links -= 1
        if (gap := link.stale_after_ms(end, STALE_RESET_MS)) is not None and gap >= MIN_REUSE_IDLE_MS:
            self._trust_ms = min(self._trust_ms, max(MIN_REUSE_IDLE_MS, REUSE_IDLE_DECREASE * gap))
        streams, link.streams = list(link.streams.values()), {}
        for stream in streams:
            if stream.begun or end is EndReason.STOPPED:
                self._end(stream, end)
            else:  # the scorer saw none of it: another connection may serve
                stream.link = stream.piece = None
                self._place(stream)
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
        fields = frame.fields
        warmth = WARMTH_BY_FIELD.get(fields.get("res", ""), Warmth.UNTOLD)
        crowd, copies = parse_count(fields.get("company")), parse_count(fields.get("slots_up"))
        self._end(stream, None, Answer(stream.ending(frame.code), frame.body, warmth, crowd, copies))

    def cancel(self, stream: Stream) -> None:
        if not stream.over:
            self._take_off(stream)
            self._end(stream, EndReason.CALLED_OFF)

    def cancel_unsent(self, stream: Stream) -> None:
        """End it as never sent where nothing of it has been written; else leave it as it is."""
        if not stream.over and not stream.begun:
            self._take_off(stream)
            self._end(stream, EndReason.NEVER_SENT)

    def expired(self, stream: Stream) -> None:
        """It was too late when it was to be written; the link has let go of it."""
        self._end(stream, EndReason.NEVER_SENT)

    def _out_of_time(self, stream: Stream) -> None:
        begun = stream.begun
        self._take_off(stream)
        self._end(stream, EndReason.OUT_OF_TIME if begun else EndReason.NEVER_SENT)

    def _take_off(self, stream: Stream) -> None:
        if stream.link is not None:
            stream.link.withdraw(stream)
        elif (scorer := self.scorers.get(stream.worker)) and stream in scorer.waiting:
            scorer.waiting.remove(stream)

    def _end(self, stream: Stream, end: EndReason | None, answer: Answer | None = None) -> None:
        if stream.over:
            return
        stream.over = True
        stream.wait_no_longer()
        if stream.timer:
            stream.timer.cancel()
        link, stream.link = stream.link, None
        stream.ended(stream, end, answer)
        if link and link.retired and not link.streams and link.up:
            link.connection.close(EndReason.RETIRED)

    # --- now and then -------------------------------------------------------------------------

    def run_maintenance(self) -> None:
        """Close what has been idle, and what has owed an answer in silence to the last."""
        self._trust_ms = min(self._trust_most_ms, REUSE_IDLE_GROWTH * self._trust_ms)
        for scorer in list(self.scorers.values()):
            for link in list(scorer.links):
                if not link.up or link.streams:
                    continue
                silent = link.given_up_unheard(SILENT_MS)
                if silent or link.idle_ms() > self._trust_ms:
                    link.connection.close(EndReason.SILENT if silent else EndReason.IDLE)

    def close(self) -> None:
        for scorer in list(self.scorers.values()):
            for link in list(scorer.links):
                if link.connection:
                    link.connection.close(EndReason.STOPPED)
