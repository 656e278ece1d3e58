"""The predecessor's side of a hot restart as a state machine: who owns what at which moment. No I/O."""

from enum import Enum, auto

from fawnwharf.admin.handoff_messages import VERSION, Hello

PAUSE_DELAY_MS = 400.0  # after SIGTERM: connections that never become idle are read no further
PREDECESSOR_TIMEOUT_MS = 2_800.0  # after SIGTERM: for this process's own predecessor, which was told earlier


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
    PAUSE_READING = auto()


class HandoffSource:
    """From having no successor to having handed everything off."""

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

    def on_hello(self, hello: Hello, *, has_extensions: bool = False) -> HandoffAction:
        """A successor asks; `has_extensions`: this process has exclusive ones that it may need."""
        matches = hello.version == VERSION and tuple(hello.listen) == self.listen
        if not matches or self.phase is not HandoffPhase.NO_SUCCESSOR or self.is_shutting_down:
            return HandoffAction.REJECT
        self.phase = HandoffPhase.REQUESTED
        if has_extensions and hello.needs_extensions:
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
        """Whether a shutdown waits for its own predecessor, whose connections come this way."""
        is_ending = self.phase is HandoffPhase.SHUTTING_DOWN
        return is_ending and self._elapsed_ms(now_ms) < PREDECESSOR_TIMEOUT_MS

    def tick(self, now_ms: float) -> HandoffAction:
        """What follows from the passing of time alone."""
        is_ending = self.phase is HandoffPhase.SHUTTING_DOWN
        if not is_ending or self._paused or self._elapsed_ms(now_ms) < PAUSE_DELAY_MS:
            return HandoffAction.NONE
        self._paused = True
        return HandoffAction.PAUSE_READING

    def may_hand_off(self, *, has_open: bool, unwritten: bool) -> bool:
        """Whether a connection may be handed off now: it has one owner at all times, so no request is open.

        Unwritten bytes go along once reading is paused; before that they are written here, which is simpler.
        """
        return self.is_handing_off and not has_open and (self._paused or not unwritten)
