"""Hot restart of a running front end: takes over from a predecessor, and hands off to a successor."""

import socket
from collections.abc import Callable
from dataclasses import dataclass

from fawnwharf.admin import handoff_messages as messages
from fawnwharf.admin import learned_state
from fawnwharf.admin.command_link import CommandLink, StateFileReader, send_to_newer_process
from fawnwharf.admin.connection_receiver import ConnectionReceiver
from fawnwharf.admin.connection_sender import ConnectionSender
from fawnwharf.admin.exclusive_extensions import ExclusiveExtensions
from fawnwharf.admin.handoff_channel import HandoffChannel
from fawnwharf.admin.handoff_listener import HandoffListener
from fawnwharf.admin.handoff_request import InheritedState
from fawnwharf.admin.learned_state import StateWithRequestIds
from fawnwharf.admin.learned_state_capture import encoded_state, restore_request_ids
from fawnwharf.admin.predecessor_handoff import HandoffAction, HandoffPhase, PredecessorHandoff
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import monotonic_ms

TICK_INTERVAL_MS = 20.0  # between checks for connections that have become idle
# Timeout of SuccessorReady after the state was sent, if this process has released its extensions. After it
# the channel is closed.
SUCCESSOR_READY_TIMEOUT_MS = 6_000.0
STALL_TIMEOUT_MS = 3_000.0  # a successor that receives no queued message for this long has stalled
DESCRIPTOR_SHARE_WHILE_TWO_RUN = 0.5  # part of the descriptor limits that each of two processes uses


@dataclass(frozen=True, slots=True)
class HotRestartCallbacks:
    """The callbacks through which HotRestart calls its owner, the admin service.

    - `on_command`: handles an admin command to which another process of this front end has answered yes.
    - `scorers_in_maintenance`: returns the ids of the scorers in maintenance.
    - `is_ready_to_serve`: returns whether readiness checks of this process should succeed.
    """

    on_command: Callable[[messages.OperatorCommand], None]
    scorers_in_maintenance: Callable[[], set[str]]
    is_ready_to_serve: Callable[[], bool]


class HotRestart:
    """Owns the channels to the predecessor and to the successor of this process.

    This process takes over from the predecessor, and the successor takes over from this process.
    """

    def __init__(self, front: FrontEnd, inherited: InheritedState, callbacks: HotRestartCallbacks) -> None:
        """`inherited` comes from the predecessor; `start` takes over from it."""
        self.front = front
        self.directory = inherited.directory
        self.handoff = PredecessorHandoff(front.address)
        self.extensions = ExclusiveExtensions(front)
        self.predecessor: HandoffChannel | None = None
        self.successor: HandoffChannel | None = None
        self._callbacks = callbacks
        self._inherited = inherited
        self._started = False
        self._receiver = ConnectionReceiver(front.client_port, self._send_to_predecessor)
        self._sender = ConnectionSender(front.client_port)
        self._predecessor_commands = CommandLink()
        self._successor_commands = CommandLink()
        self._state_file: StateFileReader | None = None
        self._listener: HandoffListener | None = None
        self._ticking = False
        self._closed = False
        self._sent_done = False
        self._successor_done = False
        if inherited.predecessor_socket is not None:
            self._open_predecessor_channel(inherited.predecessor_socket)

    def _open_predecessor_channel(self, sock: socket.socket) -> None:
        """Opens the channel before the first operator's command: the predecessor may have told of others."""
        self.predecessor = HandoffChannel(
            self.front.loop, sock, self._on_predecessor_message, self._on_predecessor_end
        )
        self._predecessor_commands.open(self.predecessor)

    def decoded_learned_state(self) -> StateWithRequestIds | None:
        """The predecessor's learned state of any age; None if there is none or it can't be decoded.

        To be called before `start`. The owner uses its scorers in maintenance, which have no age limit.
        """
        data = self._inherited.encoded_learned_state
        learned = learned_state.decode_handed_over(data) if data else None
        if data and learned is None:
            self.front.log("learned state of the previous process can't be read: starting without it")
        return learned

    def start(self, learned: StateWithRequestIds | None) -> None:
        """Takes over from the predecessor: restores the learned state and accepts connections.

        Then listens for a successor.

        `learned` is the result of `decoded_learned_state`; it is restored only if it is fresh.
        """
        front = self.front
        at_ms = monotonic_ms()
        if learned is not None and learned_state.is_fresh(learned, at_ms):
            clock_ms = front.loop.clock.now_ms()
            front.loop.run_guarded(learned_state.restore, front.router, learned, clock_ms, at_ms)
            front.loop.run_guarded(restore_request_ids, front, learned, at_ms)
            functions, scorers = len(learned.functions), len(learned.scorers)
            front.log(f"hot restart: taking over {functions} functions, {scorers} scorers")
        front.client_port.set_accepting(True)
        if self.predecessor is not None:
            if learned is not None and learned.hands_off_open_calls:
                self.predecessor.send(messages.AcceptsOpenCalls())
            self.predecessor.send(messages.SuccessorReady())
        self._started = True
        self._share_descriptors()
        self._open_listener()
        if self.directory is not None:
            self._state_file = StateFileReader(self.directory, self._inherited.encoded_learned_state)
        if self.predecessor is None:
            self._apply_state_file()  # the previous process may have written to it until the socket was open
        self._inherited = InheritedState()

    def _apply_state_file(self) -> None:
        """Applies the commands that another process has written to the state file."""
        if self._state_file is not None:
            for command in self._state_file.new_commands():
                self._callbacks.on_command(command)

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
        """Reduces the descriptor limits while two processes run, as they hold for both together."""
        self.front.use_share(DESCRIPTOR_SHARE_WHILE_TWO_RUN if self.predecessor or self.successor else 1.0)

    @property
    def _is_superseded(self) -> bool:
        """Whether another process has replaced the socket file of this one, without a hand-off."""
        return self._listener is not None and not self._listener.owns_socket_path

    def read_pending(self) -> None:
        """Handles all that other processes have sent: commands that they have answered come first."""
        for channel in (self.predecessor, self.successor):
            if channel is not None:
                channel.read_pending()

    def forward_command(self, command: messages.OperatorCommand) -> None:
        """Forwards an admin command that this process has answered to the other processes, if any."""
        self._predecessor_commands.send(command)
        self._successor_commands.send(command)
        if self.directory is not None and self.successor is None and self._is_superseded:
            send_to_newer_process(self.directory, command)

    def follow_newer_process(self) -> None:
        """Applies commands of a process that replaces this one without a hand-off; called periodically."""
        if self.successor is None and self._is_superseded:
            self._apply_state_file()

    def write_learned_state(self) -> None:
        """Writes the learned state to its file, for a successor that starts after this process has ended.

        Called at each change of the scorers in maintenance and at the shutdown. Does nothing once the file
        belongs to a newer process.
        """
        if self.directory is None or self.handoff.is_handing_off or self._is_superseded:
            return  # the file belongs to the newer process
        data = self._encoded_state()
        try:
            self.directory.write_learned_state(data)
        except OSError as error:
            self.front.log(f"learned state not written: {error.strerror}")
            return
        if self._state_file is not None:
            self._state_file.note_written(data)

    def _encoded_state(self) -> bytes:
        return encoded_state(self.front, self._callbacks.scorers_in_maintenance())

    # --- in the role of the successor ---------------------------------------------------------------

    def _on_predecessor_message(self, message: messages.Message, carried: socket.socket | None) -> None:
        match message:
            case messages.OperatorCommand():
                self._callbacks.on_command(message)
                self._successor_commands.send(message)
            case messages.HandoffComplete():
                self._send_to_predecessor(messages.HandoffComplete())
                self._predecessor_commands.close()
            case _:
                self._receiver.on_message(message, carried)

    def _send_to_predecessor(self, message: messages.Message) -> None:
        if self.predecessor is not None:
            self.predecessor.send(message)

    def _on_predecessor_end(self, _channel: HandoffChannel) -> None:
        self.predecessor = None
        self._predecessor_commands.close()
        if not self._closed:
            self.front.log("hot restart: the previous process has ended")
            self._receiver.fail_remote_calls()
            self._share_descriptors()

    # --- in the role of the predecessor -------------------------------------------------------------

    def _on_successor(self, sock: socket.socket) -> None:
        if self.handoff.is_handing_off or not self.extensions.are_held:
            sock.close()
            return
        if self.successor is not None:  # an earlier one that did not become ready: the new one replaces it
            self.successor.close()
        self.successor = HandoffChannel(
            self.front.loop, sock, self._on_successor_message, self._on_successor_end
        )
        self._successor_commands.expect()

    def _on_successor_message(self, message: messages.Message, _carried: socket.socket | None) -> None:
        match message:
            case messages.Hello():
                self._act(self.handoff.on_hello(message, holds_exclusive_extensions=self.extensions.exist))
            case messages.AcceptsOpenCalls():
                self.handoff.on_open_calls_accepted()
            case messages.SuccessorReady():
                self._act(self.handoff.on_ready())
            case messages.OperatorCommand():
                self._callbacks.on_command(message)
                self._predecessor_commands.send(message)
            case messages.ForwardedWithdrawal():
                self._sender.withdraw(message)
            case messages.HandoffComplete():
                self._successor_done = True

    def _on_successor_end(self, channel: HandoffChannel) -> None:
        if channel is not self.successor or self._closed:
            return
        self.successor = None
        self._successor_commands.close()
        self._sent_done = False
        self._successor_done = False
        action = self.handoff.on_successor_lost()
        self._sender.take_back(channel.take_unsent())
        if self.extensions.are_held:
            self._resume(action)
        else:
            self.extensions.reacquire(lambda: self._resume(action))

    def _resume(self, action: HandoffAction) -> None:
        """Serves alone again after the successor was lost."""
        self._act(action)
        self.front.client_port.set_accepting(True)
        self.front.client_port.set_paused(False)
        self.front.client_port.run_held_calls()
        # During the hand-off readiness checks were answered for the successor.
        self.front.client_port.ready = self._callbacks.is_ready_to_serve()
        self._share_descriptors()

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
                if not self.handoff.is_shutting_down:  # else a third process may own the socket path by now
                    self._open_listener()
            case HandoffAction.PAUSE_CLIENT_READS:
                front.client_port.set_paused(True)
            case HandoffAction.RESUME_CLIENT_READS:
                front.client_port.set_paused(False)

    def _on_handoff_request(self) -> None:
        self.front.log("hot restart: another process requests the hand-off")
        self._share_descriptors()

    def _reject(self) -> None:
        successor = self.successor
        if successor is not None:
            successor.send(messages.Rejected("another version, another address, or leaving"))
            successor.close()

    def _stop_accepting(self) -> None:
        self.front.log("hot restart: handing off to the new process")
        self.front.client_port.set_accepting(False)
        # Readiness checks that arrive on existing connections are meant for the successor, too.
        self.front.client_port.ready = True
        self._close_listener()  # the successor has its own
        self._tick()

    def _send_state(self) -> None:
        channel = self.successor
        listener = self.front.client_port.listener
        if channel is None or listener is None:
            return
        for chunk in messages.chunks(self._encoded_state()):
            channel.send(chunk)
        channel.send(messages.ListenerHandoff(), listener.dup())
        self._successor_commands.open(channel)  # a starting process takes an earlier command for a rejection
        if not self.extensions.are_held:
            self.front.loop.timers.after(SUCCESSOR_READY_TIMEOUT_MS, lambda: self._check_ready(channel))

    def _check_ready(self, channel: HandoffChannel) -> None:
        """Closes the channel if the successor did not become ready in time, as no process runs new calls.

        This process then reacquires its extensions. A process that finds the disks and addresses in use ends.
        """
        if channel is self.successor and not self.handoff.is_handing_off:
            channel.close()

    def shut_down(self) -> None:
        """Begins the shutdown: writes the learned state, and hands off to a successor if there is one.

        Returns at once. The process may end and call `close` once `has_handoff_in_progress` is False.
        """
        self.write_learned_state()
        self.handoff.shut_down(monotonic_ms())

    @property
    def will_take_over(self) -> bool:
        """Whether `start` was not called yet and will take over from a running predecessor."""
        return self.predecessor is not None and not self._started

    @property
    def is_replaced(self) -> bool:
        """Whether a successor accepts connections (it sent SuccessorReady) and gets those of this process.

        Becomes False again if that successor is lost.
        """
        return self.handoff.is_handing_off

    @property
    def has_handoff_in_progress(self) -> bool:
        """Whether a hand-off is in progress, so that this process must not end yet.

        It is while a ready successor has not received everything, and while another process holds or awaits
        the exclusive extensions of this one.
        """
        if self.handoff.is_handing_off:
            has_unsent = self.successor is not None and self.successor.has_unsent
            return has_unsent or not self._successor_done
        return not self.extensions.are_held

    def _tick(self) -> None:
        successor = self.successor
        if self._ticking or not self.handoff.is_handing_off or successor is None:
            return
        # Schedules the next tick first: after an error in this one the hand-off must go on.
        self._ticking = True
        self.front.loop.timers.after(TICK_INTERVAL_MS, self._tick_again)
        now_ms = monotonic_ms()
        if successor.ms_without_progress(now_ms) > STALL_TIMEOUT_MS:
            self.front.log("hot restart: the new process has stalled")
            successor.close()
            return
        self._act(self.handoff.tick(now_ms))
        self._sender.hand_off(successor, self.handoff)
        if self._has_handed_off_everything(now_ms):
            self._sent_done = True
            successor.send(messages.HandoffComplete())

    def _tick_again(self) -> None:
        self._ticking = False
        self._tick()

    def _has_handed_off_everything(self, now_ms: float) -> bool:
        if self.handoff.phase is not HandoffPhase.SHUTTING_DOWN or self._sent_done:
            return False
        awaits_predecessor = self.predecessor is not None and self.handoff.awaits_predecessor(now_ms)
        has_connections = bool(self.front.client_port.clients) or self._sender.has_open_calls
        return not awaits_predecessor and not has_connections

    def close(self) -> None:
        """Closes all channels as this process ends; takes no connection back."""
        self._closed = True
        self._close_listener()
        for channel in (self.predecessor, self.successor):
            if channel is not None:
                channel.close()
