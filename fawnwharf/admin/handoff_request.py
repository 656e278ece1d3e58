"""The request of a starting process for the state, the listener and the connections of its predecessor."""

import os
import socket
from dataclasses import dataclass

from fawnwharf.admin import handoff_messages as h
from fawnwharf.admin.handoff_channel import receive, send
from fawnwharf.admin.handoff_directory import HandoffDirectory
from fawnwharf.config import Address, Deployment
from fawnwharf.net.timer_wheel import monotonic_ms

# Longest wait for the complete answer to a Hello; then the new process starts without the old one.
HELLO_ANSWER_TIMEOUT_MS = 1_500.0
# The same where the old process first releases its exclusive extensions, which takes up to
# RELEASE_DRAIN_TIMEOUT_MS.
HELLO_ANSWER_TIMEOUT_WITH_RELEASE_MS = 5_000.0


class HandoffRejectedError(OSError):
    """The predecessor does not hand anything off, or ended before it did. `request_handoff` catches it."""


@dataclass(frozen=True, slots=True)
class InheritedState:
    """What a start finds of its predecessor; all empty where there is none.

    - `directory`: where this process finds its predecessor and is found by its successor; None where TMPDIR
      is not set, and then there is no hot restart.
    - `predecessor_socket`: connected to the predecessor; None where none runs.
    - `encoded_learned_state`: from the predecessor, or from its file if it has ended; b"" where there is
      neither.
    - `listener`: the clients' listener of the predecessor; None where none runs.
    """

    directory: HandoffDirectory | None = None
    predecessor_socket: socket.socket | None = None
    encoded_learned_state: bytes = b""
    listener: socket.socket | None = None


def inherit_state(deployment: Deployment, *, needs_exclusive_extensions: bool = False) -> InheritedState:
    """Asks the running predecessor at the start, or else reads the file that the last process wrote.

    `needs_exclusive_extensions`: this process will have exclusive extensions. Blocks as `request_handoff`.
    Where the predecessor rejects the request the file is read; nothing is raised.
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
    """The socket to the predecessor, its learned state and its listener.

    Blocks for up to HELLO_ANSWER_TIMEOUT_MS, with exclusive extensions HELLO_ANSWER_TIMEOUT_WITH_RELEASE_MS,
    as nothing else can be done at the start. None where there is no predecessor, it rejects the request, or
    does not answer completely in time.
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
        send(sock, h.encode(h.Hello(h.VERSION, listen, needs_exclusive_extensions)), None)
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
        sock.settimeout(_remaining_s(deadline_ms))  # one deadline for all chunks, however slowly they come
        message, carried = receive(sock) or (None, None)
        if isinstance(message, h.ListenerHandoff) and carried is not None:
            return bytes(learned), carried
        if not isinstance(message, h.Chunk):
            raise HandoffRejectedError("the process before this one hands nothing off")
        learned += message.data


def _remaining_s(deadline_ms: float) -> float:
    """Seconds until the deadline; raises TimeoutError where it has passed."""
    remaining_ms = deadline_ms - monotonic_ms()
    if remaining_ms <= 0.0:
        raise TimeoutError("no answer in time")
    return remaining_ms / 1e3
