"""The hand-off request of a starting process to its predecessor, for its state, listener and connections."""

import os
import socket
from dataclasses import dataclass

from fawnwharf.admin import handoff_messages as messages
from fawnwharf.admin.handoff_channel import receive, send
from fawnwharf.admin.handoff_directory import HandoffDirectory
from fawnwharf.config import Address, Deployment
from fawnwharf.net.timer_wheel import monotonic_ms

# Timeout of the complete answer to a Hello; after that the new process starts without a hand-off.
HELLO_ANSWER_TIMEOUT_MS = 1_500.0
# The same timeout if the old process first releases its exclusive extensions, which takes up to
# RELEASE_DRAIN_TIMEOUT_MS.
HELLO_ANSWER_TIMEOUT_WITH_RELEASE_MS = 5_000.0


class HandoffRejectedError(OSError):
    """The predecessor rejected the hand-off, or ended before it answered. `request_handoff` catches it."""


@dataclass(frozen=True, slots=True)
class InheritedState:
    """What a starting process inherits from its predecessor; all empty if there is none.

    - `directory`: through it this process finds its predecessor, and its successor finds this process. None
      if TMPDIR is not set; then there is no hot restart.
    - `predecessor_socket`: connected to the predecessor; None if none is running.
    - `encoded_learned_state`: from the predecessor, or from its file if it has ended; b"" if there is
      neither.
    - `listener`: the predecessor's listening socket for clients; None if none is running.
    """

    directory: HandoffDirectory | None = None
    predecessor_socket: socket.socket | None = None
    encoded_learned_state: bytes = b""
    listener: socket.socket | None = None


def inherit_state(deployment: Deployment, *, needs_exclusive_extensions: bool = False) -> InheritedState:
    """Requests the hand-off from a running predecessor, or else reads the file that the last process wrote.

    `needs_exclusive_extensions`: this process will have exclusive extensions. Blocks like `request_handoff`.
    Also reads the file if the predecessor rejects the request. Raises nothing.
    """
    folder = os.environ.get("TMPDIR")
    if not folder:
        return InheritedState()
    directory = HandoffDirectory(folder, deployment.name, deployment.listen)
    inherited = None
    if os.path.exists(directory.socket_path):
        inherited = request_handoff(
            directory, deployment.listen, needs_exclusive_extensions=needs_exclusive_extensions
        )
    return inherited or InheritedState(directory, encoded_learned_state=directory.read_learned_state())


def request_handoff(
    directory: HandoffDirectory, listen: Address, *, needs_exclusive_extensions: bool = False
) -> InheritedState | None:
    """Requests the predecessor's learned state and listener.

    Blocks for up to HELLO_ANSWER_TIMEOUT_MS, or HELLO_ANSWER_TIMEOUT_WITH_RELEASE_MS with exclusive
    extensions: a starting process has nothing else to do. Returns None if there is no predecessor, if it
    rejects the request, or if its answer is not complete in time.
    """
    timeout_ms = HELLO_ANSWER_TIMEOUT_MS
    if needs_exclusive_extensions:
        timeout_ms = HELLO_ANSWER_TIMEOUT_WITH_RELEASE_MS
    deadline_ms = monotonic_ms() + timeout_ms
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.settimeout(_remaining_s(deadline_ms))
        with directory.socket_address() as address:
            sock.connect(address)
        send(
            sock, messages.encode(messages.Hello(messages.VERSION, listen, needs_exclusive_extensions)), None
        )
        learned, listener = _receive_state(sock, deadline_ms)
    except OSError:
        sock.close()
        return None
    sock.setblocking(False)
    listener.setblocking(False)
    return InheritedState(directory, sock, learned, listener)


def _receive_state(sock: socket.socket, deadline_ms: float) -> tuple[bytes, socket.socket]:
    learned = bytearray()
    while True:
        sock.settimeout(_remaining_s(deadline_ms))  # one deadline for all chunks
        message, carried = receive(sock) or (None, None)
        if isinstance(message, messages.ListenerHandoff) and carried is not None:
            return bytes(learned), carried
        if not isinstance(message, messages.Chunk):
            raise HandoffRejectedError("the predecessor rejected the hand-off or ended")
        learned += message.data


def _remaining_s(deadline_ms: float) -> float:
    """Seconds until the deadline; raises TimeoutError if it has passed."""
    remaining_ms = deadline_ms - monotonic_ms()
    if remaining_ms <= 0.0:
        raise TimeoutError("no answer in time")
    return remaining_ms / 1e3
