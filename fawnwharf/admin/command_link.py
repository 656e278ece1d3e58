"""The ways by which operators' commands reach the other processes of a front end."""

import contextlib
import socket

from fawnwharf.admin import command_paths as paths
from fawnwharf.admin import handoff_messages as messages
from fawnwharf.admin import learned_state
from fawnwharf.admin.handoff_channel import HandoffChannel, send
from fawnwharf.admin.handoff_directory import HandoffDirectory


class CommandLink:
    """Passes commands on to one other process, and queues them until that process can handle them."""

    def __init__(self) -> None:
        self._channel: HandoffChannel | None = None
        self._queue: list[messages.OperatorCommand] | None = None  # None: there is no other process

    def expect(self) -> None:
        """Queue commands from now on: the other process can't handle them yet."""
        self._channel = None
        self._queue = []

    def open(self, channel: HandoffChannel) -> None:
        """Send the queued commands and, from now on, each one at once."""
        queued = self._queue or []
        self._channel, self._queue = channel, None
        for command in queued:
            channel.send(command)

    def close(self) -> None:
        """Drop commands from now on: there is no other process any more."""
        self._channel = self._queue = None

    def send(self, command: messages.OperatorCommand) -> None:
        """Send, queue or drop a command."""
        if self._channel is not None:
            self._channel.send(command)
        elif self._queue is not None:
            self._queue.append(command)


def send_to_newer_process(directory: HandoffDirectory, command: messages.OperatorCommand) -> None:
    """Send a command to the process that has replaced the socket file, if it is running.

    For a process that was replaced without a hand-off, so that there is no channel between the two. Does not
    wait, and raises nothing.
    """
    with contextlib.suppress(OSError), socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
        sock.setblocking(False)
        with directory.socket_address() as address:
            sock.connect(address)
        send(sock, messages.encode(command), None)


class StateFileReader:
    """Finds the commands that another process has written to the state file, for want of a channel to it."""

    def __init__(self, directory: HandoffDirectory, data: bytes) -> None:
        """`data` is the content of the file that this process knows."""
        self._directory = directory
        self._data = data

    def note_written(self, data: bytes) -> None:
        """Note that this process has written this content to the file."""
        self._data = data

    def new_commands(self) -> list[messages.OperatorCommand]:
        """The commands that lead from the known content of the file to its present one, if that is newer."""
        known = learned_state.decode(self._data)
        data = self._directory.read_learned_state()
        found = learned_state.decode(data)
        if found is None or (known and found.written_monotonic_ms <= known.written_monotonic_ms):
            return []
        self._data = data
        before = set(known.scorers_in_maintenance) if known else set()
        after = set(found.scorers_in_maintenance)
        return [
            messages.OperatorCommand(
                paths.ENTER_MAINTENANCE if each in after else paths.EXIT_MAINTENANCE, each
            )
            for each in sorted(before ^ after)
        ]
