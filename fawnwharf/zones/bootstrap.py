"""Bootstrap of a new fleet, which an operator runs once, at one voter."""

from pathlib import Path

from fawnwharf.config import ConfigError
from fawnwharf.consensus.records import DiskError
from fawnwharf.consensus.voter import bootstrap_state
from fawnwharf.consensus.voter_store import VoterStore
from fawnwharf.zones.files import load_file
from fawnwharf.zones.settings import membership_from, settings_from


def bootstrap(path: str | Path, name: str) -> str:
    """Make a member the first voter of a new fleet and return its voter identity.

    Raises ConfigError if the member is not a voter, or if its disk already belongs to a fleet.
    """
    settings_path = Path(path)
    folder = settings_path.parent
    settings = load_file(settings_path, settings_from, "zones")
    membership = load_file(folder / settings.membership_file, membership_from, "zones")
    entry = membership.find_member(name)
    if entry is None or not entry.voter_address:
        raise ConfigError(f"zones: {name} is not a voter in the membership file")
    try:
        disk = VoterStore(folder / settings.state_folder, membership.fleet, name)
    except DiskError as error:
        raise ConfigError(f"zones: {error}") from None
    try:
        if disk.record_number or disk.saved.voters:
            raise ConfigError(f"zones: {disk.path}: not empty: the fleet is already bootstrapped")
        disk.save(bootstrap_state(disk.identity.voter_identity))
    finally:
        disk.close()
    return disk.identity.voter_identity
