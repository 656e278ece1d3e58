"""The directory through which the processes of one front end find each other."""

import contextlib
import os
from collections.abc import Iterator
from hashlib import blake2b
from pathlib import Path

from fawnwharf.admin.learned_state import MAX_BYTES
from fawnwharf.config import Address


class HandoffDirectory:
    """The paths of the hand-off socket and of the learned state's file.

    They are `fw-DIGEST.sock` and `fw-DIGEST.mem`, where DIGEST is a hash of the front end's name and address.
    """

    def __init__(self, folder: str, name: str, listen: Address) -> None:
        """`name` is the front end's name, `listen` its address for clients.

        Front ends that share a directory are told apart by these two.
        """
        digest = blake2b(f"{name}|{listen[0]}|{listen[1]}".encode(), digest_size=6).hexdigest()
        self.folder = Path(folder)
        self.socket_path = self.folder / f"fw-{digest}.sock"
        self.state_path = self.folder / f"fw-{digest}.mem"

    @contextlib.contextmanager
    def socket_address(self) -> Iterator[str]:
        """A short path of the socket, which is valid only within the `with` block.

        It refers to the directory by a descriptor, because the system rejects socket paths of over 107 bytes.
        """
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{descriptor}/{self.socket_path.name}"
        finally:
            os.close(descriptor)

    def write_learned_state(self, data: bytes) -> None:
        """Replaces the file of the encoded learned state atomically, without syncing it to disk.

        Raises OSError on failure, and leaves the old file.
        """
        replacement = self.state_path.with_suffix(".new")
        replacement.write_bytes(data)
        os.replace(replacement, self.state_path)

    def read_learned_state(self) -> bytes:
        """The encoded learned state from the file; b"" if there is no file or it can't be read."""
        try:
            with open(self.state_path, "rb") as file:
                return file.read(MAX_BYTES + 1)
        except OSError:
            return b""
