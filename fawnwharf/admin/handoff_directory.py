"""The directory in which the processes of one front end find each other."""

import contextlib
import os
from collections.abc import Iterator
from hashlib import blake2b
from pathlib import Path

from fawnwharf.admin.learned_state import MAX_BYTES
from fawnwharf.config import Address


class HandoffDirectory:
    """The paths of the hand-off socket and of the learned state's file, both named after the front end.

    These are `fw-DIGEST.sock` and `fw-DIGEST.mem` in the directory; DIGEST stands for the name and the
    address.
    """

    def __init__(self, folder: str, name: str, listen: Address) -> None:
        """`name` is the deployment's, `listen` where it accepts clients.

        Another name or address in the same folder is another front end.
        """
        digest = blake2b(f"{name}|{listen[0]}|{listen[1]}".encode(), digest_size=6).hexdigest()
        self.folder = Path(folder)
        self.socket_path = self.folder / f"fw-{digest}.sock"
        self.state_path = self.folder / f"fw-{digest}.mem"

    @contextlib.contextmanager
    def socket_address(self) -> Iterator[str]:
        """A path of the socket that is short enough for any folder; valid only within the `with` block.

        It goes by a descriptor of the folder, as the system accepts no socket path of over 107 bytes.
        """
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            yield f"/proc/self/fd/{descriptor}/{self.socket_path.name}"
        finally:
            os.close(descriptor)

    def write_learned_state(self, data: bytes) -> None:
        """Replaces the file of the encoded learned state atomically, without a sync to the disk.

        Raises OSError where that fails, and leaves the old file.
        """
        replacement = self.state_path.with_suffix(".new")
        replacement.write_bytes(data)
        os.replace(replacement, self.state_path)

    def read_learned_state(self) -> bytes:
        """The encoded learned state in the file; b"" where there is no file or it can't be read."""
        try:
            with open(self.state_path, "rb") as file:
                return file.read(MAX_BYTES + 1)
        except OSError:
            return b""
