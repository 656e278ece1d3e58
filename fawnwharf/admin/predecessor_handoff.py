"""The predecessor's side of a hot restart as a state machine: who owns what at which moment. No I/O."""

from enum import Enum, auto

from fawnwharf.admin.handoff_messages import VERSION, Hello

PAUSE_READING_AFTER_MS = 400.0  # after SIGTERM: client connections that never become idle are read no further
# After SIGTERM: longest wait for the connections of this process's own predecessor, told to end before it.
OWN_PREDECESSOR_TIMEOUT_MS = 2_800.0


class HandoffPhase(Enum):
    """How far the hand-off to a successor has come."""

    NO_SUCCESSOR = auto()
    REQUESTED = auto()  # a successor has asked; this process still accepts
    HANDING_OFF = auto()  # the successor accepts; this process hands its connections off
    SHUTTING_DOWN = auto()  # as before, and this process has been told to end


class HandoffAction(Enum):
    """What the predecessor is to do."""

    NONE = auto()
    RELEASE_EXTENSIONS = auto()  # first the exclusive extensions, then as SEND_STATE
    SEND_STATE = auto()  # the learned state and the listener
    REJECT = auto()
    STOP_ACCEPTING = auto()
    RESUME_ACCEPTING = auto()
    PAUSE_CLIENT_READS = auto()  # also hand off connections with unwritten responses


class PredecessorHandoff:
    """The old process in a hot restart, from having no successor to having handed everything off.

    Decides only: HotRestart calls it with what happens, and carries out the actions that it returns.
    """

    def __init__(self, listen: tuple[str, int]) -> None:
        """Answers successors that are to listen on the same address."""
        self.listen = listen
        self.phase = HandoffPhase.NO_SUCCESSOR
        self._shutdown_ms: float | None = None
        self._paused = False

    @property
    def is_handing_off(self) -> bool:
        """Whether connections are handed off as they become idle."""
        return self.phase in (HandoffPhase.HANDING_OFF, HandoffPhase.SHUTTING_DOWN)

    @property
    def is_shutting_down(self) -> bool:
        """Whether this process was told to end."""
        return self._shutdown_ms is not None

    def on_hello(self, hello: Hello, *, holds_exclusive_extensions: bool = False) -> HandoffAction:
        """A successor asks: REJECT, RELEASE_EXTENSIONS or SEND_STATE.

        REJECT where its version or address differs, another successor was first, or this process is ending.
        RELEASE_EXTENSIONS where `holds_exclusive_extensions` and the successor needs them.
        """
        matches = hello.version == VERSION and tuple(hello.listen) == self.listen
        if not matches or self.phase is not HandoffPhase.NO_SUCCESSOR or self.is_shutting_down:
            return HandoffAction.REJECT
        self.phase = HandoffPhase.REQUESTED
        if holds_exclusive_extensions and hello.needs_exclusive_extensions:
            return HandoffAction.RELEASE_EXTENSIONS
        return HandoffAction.SEND_STATE

    def on_ready(self) -> HandoffAction:
        """The successor accepts connections."""
        if self.phase is not HandoffPhase.REQUESTED:
            return HandoffAction.NONE
        self.phase = HandoffPhase.SHUTTING_DOWN if self.is_shutting_down else HandoffPhase.HANDING_OFF
        return HandoffAction.STOP_ACCEPTING

    def on_successor_lost(self) -> HandoffAction:
        """The channel has ended: the successor has crashed or given up."""
        was_handing_off = self.is_handing_off
        self.phase = HandoffPhase.NO_SUCCESSOR
        self._paused = False
        return HandoffAction.RESUME_ACCEPTING if was_handing_off else HandoffAction.NONE

    def shut_down(self, now_ms: float) -> None:
        """This process was told to end."""
        self._shutdown_ms = now_ms
        if self.phase is HandoffPhase.HANDING_OFF:
            self.phase = HandoffPhase.SHUTTING_DOWN

    def _elapsed_ms(self, now_ms: float) -> float:
        """Time since this process was told to end; 0 before."""
        return 0.0 if self._shutdown_ms is None else now_ms - self._shutdown_ms

    def awaits_predecessor(self, now_ms: float) -> bool:
        """Whether a process that is ending still waits for its own predecessor, if it has one.

        In a chain of three processes the first one hands its connections to the second, which passes them on
        to the third. The caller knows whether there is a predecessor.
        """
        is_ending = self.phase is HandoffPhase.SHUTTING_DOWN
        return is_ending and self._elapsed_ms(now_ms) < OWN_PREDECESSOR_TIMEOUT_MS

    def tick(self, now_ms: float) -> HandoffAction:
        """PAUSE_CLIENT_READS once PAUSE_READING_AFTER_MS have passed since this process was told to end."""
        is_ending = self.phase is HandoffPhase.SHUTTING_DOWN
        if not is_ending or self._paused or self._elapsed_ms(now_ms) < PAUSE_READING_AFTER_MS:
            return HandoffAction.NONE
        self._paused = True
        return HandoffAction.PAUSE_CLIENT_READS

    def may_hand_off(self, *, has_open_request: bool, has_unwritten_response: bool) -> bool:
        """Whether a connection may be handed off now: it has one owner at all times, so no request is open.

        `has_open_request`: a request on it has no complete response yet. `has_unwritten_response`: the client
        has not taken all bytes of its responses. Such bytes go along once reading is paused; before that they
        are written here, which is simpler.
        """
        return self.is_handing_off and not has_open_request and (self._paused or not has_unwritten_response)
