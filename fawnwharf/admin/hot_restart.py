"""Hot restart of a running front end: the channels to both other processes, and who accepts and owns what."""

import socket
from collections.abc import Callable
from dataclasses import dataclass

from fawnwharf.admin import handoff_messages as h
from fawnwharf.admin import learned_state
from fawnwharf.admin.exclusive_extensions import ExclusiveExtensions
from fawnwharf.admin.handoff_channel import HandoffChannel, Outgoing
from fawnwharf.admin.handoff_listener import HandoffListener
from fawnwharf.admin.handoff_request import InheritedState
from fawnwharf.admin.handoff_source import HandoffAction, HandoffPhase, HandoffSource
from fawnwharf.admin.learned_state import LearnedState
from fawnwharf.net.connection_handoff import HandedOffConnection
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import monotonic_ms

TICK_INTERVAL_MS = 20.0  # between checks for connections that have become idle
MAX_HANDOFFS_PER_TICK = 256
READY_TIMEOUT_MS = 6_000.0  # for the successor, after this process released its extensions
STALL_TIMEOUT_MS = 3_000.0  # a successor that takes no message for so long has stalled
SHARED_PART = 0.5  # of the descriptors, while two processes run


@dataclass(frozen=True, slots=True)
class AdminHooks:
    """What the hot restart asks of the admin service."""

    on_command: Callable[
        [str, str], None
    ]  # an operator's command, by path and target, that another process got
    in_maintenance: Callable[[], set[str]]  # ids of scorers
    is_ready: Callable[[], bool]  # whether this front end takes new connections


class HotRestart:
    """Owns the channels to the predecessor of this process and to its successor."""

    def __init__(self, front: FrontEnd, inherited: InheritedState, hooks: AdminHooks) -> None:
        """Begins without a successor; `start` takes over from the predecessor."""
        self.front = front
        self.directory = inherited.directory
        self.source = HandoffSource(front.address)
        self.extensions = ExclusiveExtensions(front)
        self.predecessor: HandoffChannel | None = None
        self.successor: HandoffChannel | None = None
        self._hooks = hooks
        self._inherited = inherited
        self._unwritten = bytearray()  # chunks that belong to the next connection from the predecessor
        self._predecessor_done = False
        self._listener: HandoffListener | None = None
        self._ticking = False
        self._closed = False
        self._sent_done = False
        self._successor_done = False

    def inherited_state(self) -> LearnedState | None:
        """What the predecessor learned; None where there is none or it can't be decoded."""
        data = self._inherited.learned
        state = learned_state.decode(data) if data else None
        if data and state is None:
            self.front.log("learned state of the previous process can't be read: starting without it")
        return state

    def start(self, state: LearnedState | None) -> None:
        """Takes over: restores the learned state, accepts connections, and listens for a successor."""
        front = self.front
        now_ms = monotonic_ms()
        if state is not None and learned_state.is_fresh(state, now_ms):
            clock_ms = front.loop.clock.now_ms()
            front.loop.run_guarded(learned_state.restore, front.router, state, clock_ms, now_ms)
            functions, scorers = len(state.functions), len(state.scorers)
            front.log(f"hot restart: taking over {functions} functions, {scorers} scorers")
        front.client_port.set_accepting(True)
        if self._inherited.channel is not None:
            sock = self._inherited.channel
            self.predecessor = HandoffChannel(
                front.loop, sock, self._on_predecessor_message, self._on_predecessor_end
            )
            self.predecessor.send(h.Ready())
        self._share_descriptors()
        self._open_listener()
        self._inherited = InheritedState()

    def _open_listener(self) -> None:
        if self.directory is None:
            return
        try:
            self._listener = HandoffListener(self.front.loop, self.directory, self._on_successor)
        except OSError as error:
            self.front.log(f"no hot restart: can't create its socket in TMPDIR: {error.strerror}")

    def _close_listener(self) -> None:
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def _share_descriptors(self) -> None:
        """Protects the limits of descriptors, which hold for both processes together while both run."""
        self.front.use_share(SHARED_PART if self.predecessor or self.successor else 1.0)

    def send_command(self, path: str, target: str) -> None:
        """Passes on an operator's command that applies to the other processes too."""
        predecessor = None if self._predecessor_done else self.predecessor
        for channel in (predecessor, self.successor):
            if channel is not None:
                channel.send(h.OperatorCommand(path, target))

    def write_state(self) -> None:
        """Writes the learned state to its file, for a process that finds no predecessor to ask."""
        is_replaced = self._listener is not None and not self._listener.is_current
        if self.directory is None or self.source.is_handing_off or is_replaced:
            return  # the file is the newer process's
        try:
            self.directory.write_state(self._encoded_state())
        except OSError as error:
            self.front.log(f"learned state not written: {error.strerror}")

    def _encoded_state(self) -> bytes:
        front = self.front
        in_maintenance = self._hooks.in_maintenance()
        clock_ms = front.loop.clock.now_ms()
        now_ms = monotonic_ms()
        try:
            state = learned_state.capture(front.router, in_maintenance, clock_ms, now_ms)
            return learned_state.encode(state)
        except Exception:  # the operators' commands must be handed on whatever the learned state is like
            front.loop.log_exception("learned state")
            expired_ms = now_ms - 2 * learned_state.MAX_AGE_MS
            return learned_state.encode(LearnedState(expired_ms, sorted(in_maintenance)))

    # --- as the successor of another process ------------------------------------------------------

    def _on_predecessor_message(self, message: h.Message, carried: socket.socket | None) -> None:
        match message:
            case h.Chunk():
                self._unwritten += message.data
            case h.ConnectionHandoff() if carried is not None:
                unwritten = bytes(self._unwritten)
                self._unwritten.clear()
                self.front.client_port.take_over(_handed_connection(message, carried, unwritten))
            case h.OperatorCommand():
                self._hooks.on_command(message.path, message.target)
                if self.successor is not None:
                    self.successor.send(message)
            case h.Done():
                if self.predecessor is not None:
                    self.predecessor.send(h.Done())
                self._predecessor_done = True
            case _ if carried is not None:
                carried.close()

    def _on_predecessor_end(self, _channel: HandoffChannel) -> None:
        self.predecessor = None
        self._predecessor_done = False
        if not self._closed:
            self.front.log("hot restart: the previous process has ended")
            self._share_descriptors()

    # --- as the predecessor of another process ----------------------------------------------------

    def _on_successor(self, sock: socket.socket) -> None:
        if self.source.is_handing_off or not self.extensions.are_held:
            sock.close()
            return
        if self.successor is not None:  # an earlier one that did not become ready; the newest one counts
            self.successor.close()
        self.successor = HandoffChannel(
            self.front.loop, sock, self._on_successor_message, self._on_successor_end
        )

    def _on_successor_message(self, message: h.Message, _carried: socket.socket | None) -> None:
        match message:
            case h.Hello():
                self._act(self.source.on_hello(message, has_extensions=self.extensions.exist))
            case h.Ready():
                self._act(self.source.on_ready())
            case h.OperatorCommand():
                self._hooks.on_command(message.path, message.target)
                if self.predecessor is not None and not self._predecessor_done:
                    self.predecessor.send(message)
            case h.Done():
                self._successor_done = True

    def _on_successor_end(self, channel: HandoffChannel) -> None:
        if channel is not self.successor or self._closed:
            return
        unsent = channel.take_back()
        self.successor = None
        self._sent_done = False
        self._successor_done = False
        action = self.source.on_successor_lost()
        if self.extensions.are_held:
            self._resume(action, unsent)
        else:
            self.extensions.reacquire(lambda: self._resume(action, unsent))

    def _resume(self, action: HandoffAction, unsent: list[Outgoing]) -> None:
        """Serves alone, as before the successor came."""
        self._act(action)
        self.front.client_port.set_accepting(True)
        self.front.client_port.set_paused(False)
        # Readiness checks here were answered for the successor; from now on they are for this process.
        self.front.client_port.ready = self._hooks.is_ready()
        self._adopt_unsent(unsent)
        self._share_descriptors()

    def _adopt_unsent(self, unsent: list[Outgoing]) -> None:
        unwritten = bytearray()
        for message, carried in unsent:
            if isinstance(message, h.Chunk):
                unwritten += message.data
            elif isinstance(message, h.ConnectionHandoff) and carried is not None:
                self.front.client_port.take_over(_handed_connection(message, carried, bytes(unwritten)))
                unwritten.clear()
            elif carried is not None:
                carried.close()

    def _act(self, action: HandoffAction) -> None:
        front = self.front
        match action:
            case HandoffAction.SEND_STATE:
                self._on_handoff_request()
                self._send_state()
            case HandoffAction.RELEASE_EXTENSIONS:
                self._on_handoff_request()
                self.extensions.release(self._send_state)
            case HandoffAction.REJECT:
                self._reject()
            case HandoffAction.STOP_ACCEPTING:
                self._stop_accepting()
            case HandoffAction.RESUME_ACCEPTING:
                front.log("hot restart: the new process has ended: accepting again")
                if not self.source.is_shutting_down:  # else the directory may be a third process's by now
                    self._open_listener()
            case HandoffAction.PAUSE_READING:
                front.client_port.set_paused(True)

    def _on_handoff_request(self) -> None:
        self.front.log("hot restart: another process requests the hand-off")
        self._share_descriptors()

    def _reject(self) -> None:
        successor = self.successor
        if successor is not None:
            successor.send(h.Rejected("another version, another address, or leaving"))
            successor.close()

    def _stop_accepting(self) -> None:
        self.front.log("hot restart: handing off to the new process")
        self.front.client_port.set_accepting(False)
        self.front.client_port.ready = (
            True  # readiness checks on existing connections are for the successor, too
        )
        self._close_listener()  # the successor has its own
        self._tick()

    def _send_state(self) -> None:
        channel = self.successor
        listener = self.front.client_port.listener
        if channel is None or listener is None:
            return
        for chunk in h.chunks(self._encoded_state()):
            channel.send(chunk)
        channel.send(h.ListenerHandoff(), listener.dup())
        if not self.extensions.are_held:
            self.front.loop.timers.after(READY_TIMEOUT_MS, lambda: self._check_ready(channel))

    def _check_ready(self, channel: HandoffChannel) -> None:
        """Protects the clients, which no process reads, against a successor that has stalled.

        Without the channel the successor finds the disks and addresses in use, or this process does and ends.
        """
        if channel is self.successor and not self.source.is_handing_off:
            channel.close()

    def shut_down(self) -> None:
        """This process was told to end."""
        self.write_state()
        self.source.shut_down(monotonic_ms())

    @property
    def will_take_over(self) -> bool:
        """Whether there is a predecessor from which this process takes over at its start."""
        return self._inherited.channel is not None

    @property
    def is_replaced(self) -> bool:
        """Whether a successor has taken over."""
        return self.source.is_handing_off

    @property
    def is_busy(self) -> bool:
        """Whether something is still to be received, handed off, or in transit."""
        if self.source.is_handing_off:
            return not self._successor_done
        return not self.extensions.are_held

    def _tick(self) -> None:
        successor = self.successor
        if self._ticking or not self.source.is_handing_off or successor is None:
            return
        # First: an error in this tick must not be the end of all ticks, with clients that no process reads.
        self._ticking = True
        self.front.loop.timers.after(TICK_INTERVAL_MS, self._tick_again)
        now_ms = monotonic_ms()
        if successor.stalled_ms(now_ms) > STALL_TIMEOUT_MS:
            self.front.log("hot restart: the new process has stalled")
            successor.close()
            return
        self._act(self.source.tick(now_ms))
        self._hand_off_idle(successor)
        if self._has_handed_off_everything(now_ms):
            self._sent_done = True
            successor.send(h.Done())

    def _tick_again(self) -> None:
        self._ticking = False
        self._tick()

    def _has_handed_off_everything(self, now_ms: float) -> bool:
        if self.source.phase is not HandoffPhase.SHUTTING_DOWN or self._sent_done:
            return False
        awaits_predecessor = self.predecessor is not None and self.source.awaits_predecessor(now_ms)
        return not awaits_predecessor and not self.front.client_port.clients

    def _hand_off_idle(self, successor: HandoffChannel) -> None:
        port = self.front.client_port
        count = 0
        for client in list(port.clients):
            connection = client.connection
            if connection.finishing or connection.closed or count == MAX_HANDOFFS_PER_TICK:
                continue
            unwritten = bool(connection.waiting_bytes)
            if not self.source.may_hand_off(has_open=bool(client.open), unwritten=unwritten):
                continue
            handed = port.hand_off(client)
            for chunk in h.chunks(handed.unwritten):
                successor.send(chunk)
            if successor.closed:  # it ended just now, and this connection was not in its queue
                port.take_over(handed)
                return
            message = h.ConnectionHandoff(handed.partial, handed.skip, handed.spoke, handed.empty_ms)
            successor.send(message, handed.sock)
            count += 1

    def close(self) -> None:
        """This process ends: it takes nothing back, and leaves the hand-off directory to the successor."""
        self._closed = True
        self._close_listener()
        for channel in (self.predecessor, self.successor, self._inherited.channel):
            if channel is not None:
                channel.close()


def _handed_connection(
    message: h.ConnectionHandoff, sock: socket.socket, unwritten: bytes
) -> HandedOffConnection:
    return HandedOffConnection(
        sock, message.partial, message.skip, message.spoke, unwritten, message.empty_ms
    )
