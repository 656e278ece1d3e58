"""The request of a starting process for the state, the listener and the connections of its predecessor."""

import os
import socket
from dataclasses import dataclass

from fawnwharf.admin import handoff_messages as h
from fawnwharf.admin.handoff_channel import receive, send
from fawnwharf.admin.handoff_directory import HandoffDirectory
from fawnwharf.config import Address, Deployment
from fawnwharf.net.timer_wheel import monotonic_ms

ANSWER_TIMEOUT_S = 1.5  # then the new process starts without the old one
RELEASE_ANSWER_TIMEOUT_S = (
    5.0  # where the old one first releases extensions that the new one can't start without
)


class HandoffRejectedError(OSError):
    """The predecessor does not hand anything off, or ended before it did."""


@dataclass(frozen=True, slots=True)
class InheritedState:
    """What a start finds of its predecessor; all empty where there is none."""

    directory: HandoffDirectory | None = None  # None: there can be no hot restart
    channel: socket.socket | None = None
    learned: bytes = b""
    listener: socket.socket | None = None


def inherit_state(deployment: Deployment, *, needs_extensions: bool = False) -> InheritedState:
    """Asks the predecessor at the start; `needs_extensions`: this process will have exclusive ones too."""
    folder = os.environ.get("TMPDIR")
    if not folder:
        return InheritedState()
    directory = HandoffDirectory(folder, deployment.name, deployment.listen)
    inherited = None
    if os.path.exists(directory.socket_path):
        inherited = request_handoff(directory, deployment.listen, needs_extensions=needs_extensions)
    return inherited or InheritedState(directory, learned=directory.read_state())


def request_handoff(
    directory: HandoffDirectory, listen: Address, *, needs_extensions: bool = False
) -> InheritedState | None:
    """The channel to the predecessor, its learned state and its listener.

    Blocks, as nothing else can be done at the start; None where there is no predecessor or it does not answer
    completely in time.
    """
    timeout_s = RELEASE_ANSWER_TIMEOUT_S if needs_extensions else ANSWER_TIMEOUT_S
    deadline_ms = monotonic_ms() + 1e3 * timeout_s
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.settimeout(_remaining_s(deadline_ms))
        with directory.socket_address() as address:
            sock.connect(address)
        send(sock, h.encode(h.Hello(h.VERSION, listen, needs_extensions)), None)
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
