"""Bootstrap of a fleet: once, at one voter, by an operator's command."""

from pathlib import Path

from fawnwharf.config import ConfigError
from fawnwharf.consensus.voter import bootstrap_state
from fawnwharf.consensus.voter_store import DiskError, VoterStore
from fawnwharf.zones import settings as s
from fawnwharf.zones.files import load_file


def bootstrap(path: str | Path, name: str) -> str:
    """Make a member the first voter of a new fleet, once; its disk identity. Raises ConfigError."""
    settings = load_file(Path(path), s.settings_from, "zones")
    base = Path(path).parent
    members = load_file(base / settings.members, s.membership_from, "zones")
    entry = members.named(name)
    if entry is None or not entry.ballots:
        raise ConfigError(f"zones: {name} is no voter among the members")
    folder = base / settings.folder
    try:
        disk = VoterStore(folder, members.fleet, name)
    except DiskError as error:
        raise ConfigError(f"zones: {error}") from None
    try:
        if disk.record_number or disk.saved.voters:
            raise ConfigError(f"zones: {disk.path}: not empty: this fleet has begun")
        disk.save(bootstrap_state(disk.identity.voter_identity))
    finally:
        disk.close()
    return disk.identity.voter_identity
