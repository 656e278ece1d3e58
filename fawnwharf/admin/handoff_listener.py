"""The Unix socket on which a process listens for its successor."""

import contextlib
import os
import socket
from collections.abc import Callable

from fawnwharf.admin.handoff_directory import HandoffDirectory
from fawnwharf.net.event_loop import READ, EventLoop

BACKLOG = 4
ACCEPT_RETRY_MS = 50.0  # after a failed accept, for example because no descriptor or memory is left


class HandoffListener:
    """Owns the hand-off socket of a process until it is closed or another process replaces its file."""

    def __init__(
        self, loop: EventLoop, directory: HandoffDirectory, on_accept: Callable[[socket.socket], None]
    ) -> None:
        """Listens on the socket path of `directory`; raises OSError if the socket can't be created."""
        self.loop = loop
        self.directory = directory
        self._on_accept = on_accept
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            self._inode = self._bind()
        except OSError:
            self._sock.close()
            raise
        self._watch()

    def _bind(self) -> int:
        """Creates the socket file, replacing that of another process; returns the new file's inode."""
        with self.directory.socket_address() as address:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self.directory.socket_path)
            self._sock.bind(address)
            inode = os.stat(address).st_ino
        self._sock.listen(BACKLOG)
        self._sock.setblocking(False)
        return inode

    def _watch(self) -> None:
        if self._sock.fileno() >= 0:
            self.loop.watch(self._sock, READ, self._accept, first=True)

    def _accept(self, _mask: int) -> None:
        try:
            sock, _ = self._sock.accept()
        except BlockingIOError:
            return
        except OSError:  # no descriptor is left: pauses accepting, to avoid a busy loop
            self.loop.unwatch(self._sock)
            self.loop.timers.after(ACCEPT_RETRY_MS, self._watch)
            return
        self._on_accept(sock)

    @property
    def owns_socket_path(self) -> bool:
        """Whether no other process has replaced the socket file; also True if the file can't be examined."""
        try:
            return os.stat(self.directory.socket_path).st_ino == self._inode
        except OSError:
            return True

    def close(self) -> None:
        """Stops listening; leaves the socket file, which may be another process's."""
        self.loop.unwatch(self._sock)
        self._sock.close()
