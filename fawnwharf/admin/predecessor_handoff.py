"""The predecessor's side of a hot restart, as a state machine. No I/O."""

from enum import Enum, auto

from fawnwharf.admin.handoff_messages import VERSION, Hello

# Time from SIGTERM until connections that have not become idle are handed off with their open calls, or, for
# a successor that does not accept those, until reading from clients is paused so that they become idle.
HAND_OFF_BUSY_AFTER_MS = 400.0
# Each pause ends after this time, as calls behind a long one must be read, and is followed by the next one.
CLIENT_READ_PAUSE_MS = 180.0
CLIENT_READ_MS = 20.0  # between two pauses
# Time from SIGTERM for which this process waits for the connections of its own predecessor, which was told to
# end before it.
OWN_PREDECESSOR_TIMEOUT_MS = 2_800.0


class HandoffPhase(Enum):
    """The phase of the hand-off to a successor."""

    NO_SUCCESSOR = auto()
    REQUESTED = auto()  # a successor has requested the hand-off; this process still accepts connections
    HANDING_OFF = auto()  # the successor accepts connections; this process hands off its own
    SHUTTING_DOWN = auto()  # like HANDING_OFF, and this process has been told to end


class HandoffAction(Enum):
    """What the predecessor must do."""

    NONE = auto()
    RELEASE_EXTENSIONS = auto()  # release the exclusive extensions, then as for SEND_STATE
    SEND_STATE = auto()  # send the learned state and the listener
    REJECT = auto()
    STOP_ACCEPTING = auto()
    RESUME_ACCEPTING = auto()
    PAUSE_CLIENT_READS = auto()  # the successor does not accept connections with open calls
    RESUME_CLIENT_READS = auto()  # until the next pause


class PredecessorHandoff:
    """Decides what the old process in a hot restart does.

    HotRestart reports events to it, and carries out the actions that it returns.
    """

    def __init__(self, listen: tuple[str, int]) -> None:
        """`listen` is the address for clients, which the successor must share."""
        self.listen = listen
        self.phase = HandoffPhase.NO_SUCCESSOR
        self.successor_accepts_open_calls = False
        self._shutdown_ms: float | None = None
        self._hands_off_busy = False
        self._paused = False

    @property
    def is_handing_off(self) -> bool:
        """Whether connections are handed off when they become idle."""
        return self.phase in (HandoffPhase.HANDING_OFF, HandoffPhase.SHUTTING_DOWN)

    @property
    def is_shutting_down(self) -> bool:
        """Whether this process was told to end."""
        return self._shutdown_ms is not None

    def on_hello(self, hello: Hello, *, holds_exclusive_extensions: bool = False) -> HandoffAction:
        """A successor requests the hand-off; returns REJECT, RELEASE_EXTENSIONS or SEND_STATE.

        REJECT if its version or address differs, another successor came first, or this process is shutting
        down. RELEASE_EXTENSIONS if `holds_exclusive_extensions` and the successor needs them.
        """
        matches = hello.version == VERSION and tuple(hello.listen) == self.listen
        if not matches or self.phase is not HandoffPhase.NO_SUCCESSOR or self.is_shutting_down:
            return HandoffAction.REJECT
        self.phase = HandoffPhase.REQUESTED
        if holds_exclusive_extensions and hello.needs_exclusive_extensions:
            self._hands_off_busy = True  # calls arrive that only the successor may run
            return HandoffAction.RELEASE_EXTENSIONS
        return HandoffAction.SEND_STATE

    def on_open_calls_accepted(self) -> None:
        """The successor accepts connections with open calls."""
        self.successor_accepts_open_calls = True

    def on_ready(self) -> HandoffAction:
        """The successor has begun to accept connections."""
        if self.phase is not HandoffPhase.REQUESTED:
            return HandoffAction.NONE
        self.phase = HandoffPhase.SHUTTING_DOWN if self.is_shutting_down else HandoffPhase.HANDING_OFF
        return HandoffAction.STOP_ACCEPTING

    def on_successor_lost(self) -> HandoffAction:
        """The channel has ended: the successor has crashed, has ended or was given up."""
        was_handing_off = self.is_handing_off
        self.phase = HandoffPhase.NO_SUCCESSOR
        self._hands_off_busy = False
        self._paused = False
        self.successor_accepts_open_calls = False
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
        """Whether a process that is shutting down still waits for its own predecessor, if it has one.

        In a chain of three processes the first one hands off its connections to the second, which hands them
        off to the third. The caller knows whether there is a predecessor.
        """
        is_ending = self.phase is HandoffPhase.SHUTTING_DOWN
        return is_ending and self._elapsed_ms(now_ms) < OWN_PREDECESSOR_TIMEOUT_MS

    def tick(self, now_ms: float) -> HandoffAction:
        """Begins to hand off busy connections HAND_OFF_BUSY_AFTER_MS after this process was told to end.

        From then on it returns PAUSE_CLIENT_READS and RESUME_CLIENT_READS by turns if the successor does not
        accept open calls.
        """
        late_ms = self._elapsed_ms(now_ms) - HAND_OFF_BUSY_AFTER_MS
        if self.phase is not HandoffPhase.SHUTTING_DOWN or late_ms < 0:
            return HandoffAction.NONE
        self._hands_off_busy = True
        pauses = late_ms % (CLIENT_READ_PAUSE_MS + CLIENT_READ_MS) < CLIENT_READ_PAUSE_MS
        if self.successor_accepts_open_calls or pauses == self._paused:
            return HandoffAction.NONE
        self._paused = pauses
        return HandoffAction.PAUSE_CLIENT_READS if pauses else HandoffAction.RESUME_CLIENT_READS

    def may_hand_off(self, *, has_open_request: bool, has_unwritten_response: bool) -> bool:
        """Whether a connection may be handed off now.

        `has_open_request`: a request that runs here has no complete response yet. `has_unwritten_response`:
        not all bytes of its responses have been sent. This process finishes both by itself at first. Later
        the connection is handed off with them, with open requests only if the successor accepts those.
        """
        if not self.is_handing_off or (has_open_request and not self.successor_accepts_open_calls):
            return False
        return self._hands_off_busy or not (has_open_request or has_unwritten_response)
