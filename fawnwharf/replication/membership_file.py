"""The membership file of a running front end, read and checked at the start and after each change."""

from pathlib import Path

from fawnwharf.config import ConfigError
from fawnwharf.replication.settings import ReplicationSettings, check_members
from fawnwharf.zones.files import load_file
from fawnwharf.zones.settings import MemberEntry, Membership, SettingsFileError, membership_from

FileStamp = tuple[int, int, int]  # time of change, size, inode


class MembershipFile:
    """Manages the file: its path, its last seen stamp, and this front end's own entry."""

    def __init__(self, path: Path, settings: ReplicationSettings, name: str) -> None:
        """Read and check the file; raises ConfigError with a one-line message."""
        self._path, self._settings = path, settings
        self.membership: Membership = load_file(path, membership_from, "state")
        self._stamp = self._current_stamp()
        entry = self.membership.find_member(name)
        if entry is None:
            raise ConfigError(f"state: {name} is not among the members of {path}")
        if not entry.replication_address:
            raise ConfigError(f"state: {name} has no `state` in {path}")
        try:
            check_members(self.membership, settings)
        except SettingsFileError as error:
            raise ConfigError(f"state: {path}: {error}") from None
        self.own_entry: MemberEntry = entry
        self.own_address: str = entry.replication_address

    def _current_stamp(self) -> FileStamp | None:
        try:
            stat = self._path.stat()
        except OSError:
            return None
        return stat.st_mtime_ns, stat.st_size, stat.st_ino

    def changed(self) -> bool:
        """Whether the file exists and has changed since the last check."""
        stamp = self._current_stamp()
        if stamp is None or stamp == self._stamp:
            return False
        self._stamp = stamp
        return True

    def read(self) -> Membership:
        """Read the current membership; raises OSError or SettingsFileError if it is unusable."""
        membership = membership_from(self._path.read_bytes())
        check_members(membership, self._settings)
        entry = membership.find_member(self.own_entry.name)
        if entry is None or entry.replication_address != self.own_address:
            raise SettingsFileError(f"members: {self.own_entry.name} is not as it was")
        return membership
