"""The files that replicated state reads at the start: settings and membership, checked together."""

from dataclasses import dataclass
from pathlib import Path

from fawnwharf.config import ConfigError, Deployment
from fawnwharf.replication.membership_file import MembershipFile
from fawnwharf.replication.settings import ReplicationSettings, parse_settings
from fawnwharf.zones.files import load_file


@dataclass(frozen=True, slots=True)
class ServiceFiles:
    """The settings, the folder of the grant log if there is one, and the membership file."""

    settings: ReplicationSettings
    folder: Path | None
    membership_file: MembershipFile


def load_service_files(deployment: Deployment, path: Path) -> ServiceFiles:
    """Read and check the settings at this path and the membership; raises a one-line ConfigError."""
    settings: ReplicationSettings = load_file(path, parse_settings, "state")
    membership_file = MembershipFile(path.parent / settings.membership_file, settings, deployment.name)
    for name in settings.modes:
        if name not in deployment.settings.classes:
            raise ConfigError(f"state: {path}: modes.{name}: no such class")
    folder = path.parent / settings.folder if settings.folder else None
    return ServiceFiles(settings, folder, membership_file)
