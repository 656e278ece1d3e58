"""Replacement of the process in a running front end: both sides' talk, and who accepts and owns what."""

import os
import socket
from collections.abc import Callable
from dataclasses import dataclass

from fawnwharf.admin import handoff_messages as h
from fawnwharf.admin import learned_state as m
from fawnwharf.admin.exclusive_extensions import ExclusiveExtensions
from fawnwharf.admin.handoff_channel import HandoffChannel, HandoffDirectory, HandoffListener, request_handoff
from fawnwharf.config import Deployment
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.handed import HandedConnection
from fawnwharf.net.timer_wheel import monotonic_ms

TICK_INTERVAL_MS = 20.0  # pace of the look after connections that have fallen idle
MAX_HANDOFFS_PER_TICK = 256  # connections in one look


@dataclass(slots=True)
class InheritedState:
    """What a start finds of the process before it; all empty where there is none."""

    place: HandoffDirectory | None = None  # where the processes of this front end meet; None: nowhere
    channel: socket.socket | None = None
    memory: bytes = b""
    listener: socket.socket | None = None


def inherit_state(deployment: Deployment, parts: bool = False) -> InheritedState:
    """Ask for what the process before this one has, at the start. `parts`: this one will have some, too."""
    folder = os.environ.get("TMPDIR")
    if not folder:
        return InheritedState()
    place = HandoffDirectory(folder, deployment.name, deployment.listen)
    found = request_handoff(place, deployment.listen, parts) if os.path.exists(place.socket) else None
    return InheritedState(place, *found) if found else InheritedState(place, memory=place.read())


class HotRestart:
    """Owns the talk with the process before this one, and with the one after it."""

    def __init__(self, front: FrontEnd, inherited: InheritedState, heard: Callable[[str, str], None]) -> None:
        """`heard` takes an operator's call, by path and target, that the other process was asked."""
        self.front, self.place, self._heard = front, inherited.place, heard
        self.giver = h.HandoffSource(front.address)
        self.parts = ExclusiveExtensions(front)
        self.before: HandoffChannel | None = None  # to the process whose place this one takes
        self.after: HandoffChannel | None = None  # to the process that takes this one's place
        self.out: Callable[[], set[str]] = set
        self._inherited, self._rest, self._before_done = inherited, bytearray(), False
        self._door: HandoffListener | None = None
        self._looking = self._ended = False
        self._said_done = self._all_came = False

    def remembered(self) -> m.LearnedState | None:
        """What the process before this one has learnt, where it can be read."""
        memory = m.decode(self._inherited.memory) if self._inherited.memory else None
        if self._inherited.memory and memory is None:
            self.front.log("what the process before had learnt can't be read: starting without")
        return memory

    def begin(self, memory: m.LearnedState | None) -> None:
        """Take the place: believe what was learnt, accept, and be there for the next one."""
        front, now = self.front, monotonic_ms()
        if memory is not None and m.is_fresh(memory, now):
            front.loop.guarded(m.restore, front.router, memory, front.loop.clock.now_ms(), now)
            front.log(f"taking over: {len(memory.functions)} functions, {len(memory.scorers)} scorers known")
        front.port.accept(True)
        if self._inherited.channel is not None:
            self.before = HandoffChannel(
                front.loop, self._inherited.channel, self._from_before, self._before_ended
            )
            self.before.say(h.Ready())
        self._share()
        self._open()
        self._inherited = InheritedState()

    def _open(self) -> None:
        if self.place is None:
            return
        try:
            self._door = HandoffListener(self.front.loop, self.place, self._came)
        except OSError as error:
            self.front.log(f"no socket for a replacement in TMPDIR: {error.strerror}")

    def _close_door(self) -> None:
        if self._door is not None:
            self._door.close()
            self._door = None

    def _share(self) -> None:
        """Guards the limits, which hold for both together while both run."""
        self.front.keep_to(0.5 if self.before or self.after else 1.0)

    def tell(self, path: str, target: str) -> None:
        """An operator's call that holds for both."""
        before = None if self._before_done else self.before
        for channel in (before, self.after):
            if channel is not None:
                channel.say(h.OperatorCommand(path, target))

    def remember(self) -> None:
        """Keep what was learnt in the file, for a process that finds nobody to ask."""
        if self.place is None or self.giver.gives or (self._door is not None and not self._door.mine):
            return  # whoever has the place now knows better
        try:
            self.place.write(self._learnt())
        except OSError as error:
            self.front.log(f"what was learnt is not kept: {error.strerror}")

    def _learnt(self) -> bytes:
        front = self.front
        now, at = front.loop.clock.now_ms(), monotonic_ms()
        try:
            return m.encode(m.capture(front.router, self.out(), now, at))
        except Exception:  # what operators asked for must get over, whatever the beliefs are like
            front.loop.fault("what was learnt")
            return m.encode(m.LearnedState(at - 2 * m.MAX_AGE_MS, sorted(self.out())))

    # --- as the new process ---------------------------------------------------------------------

    def _from_before(self, message: h.Message, carried: socket.socket | None) -> None:
        if isinstance(message, h.Chunk):
            self._rest += message.data
        elif isinstance(message, h.ConnectionHandoff) and carried is not None:
            rest, self._rest = bytes(self._rest), bytearray()
            self.front.port.adopt(self._handed(message, carried, rest))
        elif isinstance(message, h.OperatorCommand):
            self._heard(message.path, message.target)
            if self.after is not None:
                self.after.say(message)
        elif isinstance(message, h.Done):
            self.before.say(h.Done())
            self._before_done = True
        elif carried is not None:
            carried.close()

    def _handed(self, kept: h.ConnectionHandoff, sock: socket.socket, unwritten: bytes) -> HandedConnection:
        return HandedConnection(sock, kept.partial, kept.skip, kept.spoke, unwritten, kept.empty_ms)

    def _before_ended(self, channel: HandoffChannel) -> None:
        self.before, self._before_done = None, False
        if not self._ended:
            self.front.log("the process before this one has ended")
            self._share()

    # --- as the old process ---------------------------------------------------------------------

    def _came(self, sock: socket.socket) -> None:
        if self.giver.gives or not self.parts.here:
            sock.close()
            return
        if self.after is not None:  # it came first and did not get ready: the one that comes now counts
            self.after.close()
        self.after = HandoffChannel(self.front.loop, sock, self._from_after, self._after_ended)

    def _from_after(self, message: h.Message, carried: socket.socket | None) -> None:
        if isinstance(message, h.Hello):
            self._do(self.giver.hello(message, self.parts.any))
        elif isinstance(message, h.Ready):
            self._do(self.giver.ready())
        elif isinstance(message, h.OperatorCommand):
            self._heard(message.path, message.target)
            if self.before is not None and not self._before_done:
                self.before.say(message)
        elif isinstance(message, h.Done):
            self._all_came = True

    def _after_ended(self, channel: HandoffChannel) -> None:
        if channel is self.after and not self._ended:
            unsent, self.after = channel.take_back(), None
            self._said_done = self._all_came = False
            what = self.giver.lost()
            if self.parts.here:
                self._go_on(what, unsent)
            else:
                self.parts.take_back(lambda: self._go_on(what, unsent))

    def _go_on(self, what: h.HandoffAction, unsent: list[tuple[h.Message, socket.socket | None]]) -> None:
        """Without the other process, as before it came."""
        self._do(what)
        self.front.port.accept(True)
        self.front.port.pause(False)
        # Who asked here asked for the other process; from now on it is this one again that answers.
        self.front.port.ready = self.front.admin.ready
        self._adopt_again(unsent)
        self._share()

    def _adopt_again(self, unsent: list[tuple[h.Message, socket.socket | None]]) -> None:
        rest = bytearray()
        for message, carried in unsent:
            if isinstance(message, h.Chunk):
                rest += message.data
            elif isinstance(message, h.ConnectionHandoff):
                self.front.port.adopt(self._handed(message, carried, bytes(rest)))
                rest.clear()
            elif carried is not None:
                carried.close()

    def _do(self, what: h.HandoffAction) -> None:
        front, after = self.front, self.after  # it may end with any word
        if what is h.HandoffAction.TELL_ALL:
            front.log("another process is about to take this one's place")
            self._share()
            self._tell_all()
        elif what is h.HandoffAction.LET_GO:
            front.log("another process is about to take this one's place")
            self._share()
            self.parts.let_go(self._tell_all)
        elif what is h.HandoffAction.TURN_AWAY:
            after.say(h.Rejected("another version, another address, or leaving"))
            after.close()
        elif what is h.HandoffAction.STOP_ACCEPTING:
            front.log("another process has taken this one's place")
            front.port.accept(False)
            front.port.ready = True  # who asks on a kept connection asks for the other process, too
            self._close_door()  # the other has one of its own
            self._look()
        elif what is h.HandoffAction.ACCEPT_AGAIN:
            front.log("the process that took this one's place has ended: accepting again")
            if not self.giver.leaving:  # the place may be a third process's by now
                self._open()
        elif what is h.HandoffAction.PAUSE:
            front.port.pause(True)

    def _tell_all(self) -> None:
        channel = self.after
        for part in h.chunks(self._learnt()):
            channel.say(part)
        channel.say(h.ListenerHandoff(), self.front.port.listener.dup())
        if not self.parts.here:
            self.front.loop.wheel.after(h.READY_TIMEOUT_MS, lambda: self._not_ready(channel))

    def _not_ready(self, channel: HandoffChannel) -> None:
        """Guards the clients, which nobody reads, against a new process that stands still: without the
        channel it finds the disks and addresses taken, or this one does and ends."""
        if channel is self.after and not self.giver.gives:
            channel.close()

    def leave(self) -> None:
        """This process was told to end."""
        self.remember()
        self.giver.leave(monotonic_ms())

    @property
    def takes_over(self) -> bool:
        """Whether a process serves whose place this one will take as it begins."""
        return self._inherited.channel is not None

    @property
    def replaced(self) -> bool:
        return self.giver.gives

    @property
    def busy(self) -> bool:
        """Whether something is still to come, to be given over, or on its way."""
        return not self._all_came if self.giver.gives else not self.parts.here

    def _look(self) -> None:
        if self._looking or not self.giver.gives:
            return
        # First: a fault in this look must not be the end of all, with clients that nobody reads.
        self._looking = True
        self.front.loop.wheel.after(TICK_INTERVAL_MS, self._look_again)
        now = monotonic_ms()
        if self.after.stuck_ms(now) > h.STALL_TIMEOUT_MS:
            self.front.log("the process that took this one's place stands still")
            self.after.close()
            return
        self._do(self.giver.look(now))
        self._give()
        to_come = self.before is not None and self.giver.awaits(now)
        if self.giver.phase is h.HandoffPhase.ENDING and not (
            to_come or self.front.port.clients or self._said_done
        ):
            self._said_done = True
            self.after.say(h.Done())

    def _look_again(self) -> None:
        self._looking = False
        self._look()

    def _give(self) -> None:
        given, after = 0, self.after
        for client in list(self.front.port.clients):
            connection = client.connection
            if connection.finishing or connection.closed or given == MAX_HANDOFFS_PER_TICK:
                continue
            if self.giver.may_give(bool(client.open), bool(connection.waiting_bytes)):
                handed = self.front.port.give(client)
                for part in h.chunks(handed.unwritten):
                    after.say(part)
                if after.closed:  # it ended just now, and this one was not among what came back
                    self.front.port.adopt(handed)
                    return
                after.say(
                    h.ConnectionHandoff(handed.partial, handed.skip, handed.spoke, handed.empty_ms),
                    handed.sock,
                )
                given += 1

    def close(self) -> None:
        """This process ends: it takes nothing back, and leaves the meeting place to the other."""
        self._ended = True
        self._close_door()
        for channel in (self.before, self.after, self._inherited.channel):
            if channel is not None:
                channel.close()
