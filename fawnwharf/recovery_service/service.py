"""Recovery as a part of a front end, at the seam where such parts are attached."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

from fawnwharf import interface as io
from fawnwharf.config import Deployment, Fleet
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.recovery_service.rate_limited_log import WriteLog
from fawnwharf.recovery_service.running_recovery import RecoveryParts, RunningRecovery
from fawnwharf.recovery_service.settings import Settings, settings_from
from fawnwharf.zones.files import load_file
from fawnwharf.zones.log_lines import RECOVERY


class RecoveryService:
    """Owns this front end's part in recoveries, from when it is attached; a seam of the front end."""

    def __init__(
        self, deployment: Deployment, path: str | Path, write: WriteLog, parts: Mapping[str, Any]
    ) -> None:
        """Read and check the settings; raise ConfigError with one line.

        `parts` has the other parts by name, of which `zones`, `kept` and `state` have to be there already.
        """
        self.deployment = deployment
        self.settings: Settings = load_file(Path(path), settings_from, RECOVERY)
        self.parts = RecoveryParts(parts["zones"], parts["state"], parts["kept"])
        self.running: RunningRecovery | None = None
        self._write = write

    def attach(self, front: FrontEnd) -> None:
        """Begin, on the front end's loop; the parts before this one are attached."""
        self.running = RunningRecovery(front, self.parts, self.settings, self._write)

    def close(self) -> None:
        """Stop; what is open may still be withdrawn."""
        if self.running is not None:
            self.running.close()

    def on_fleet(self, _fleet: Fleet) -> None:
        """Take a roster of the change log, as the front end's overlay has it."""
        if self.running is not None:
            self.running.update_roster()

    def on_events(self, events: list[io.Event]) -> None:
        """Take a batch of the decision module's events."""
        if self.running is not None:
            self.running.events(events)

    @property
    def busy(self) -> bool:
        """Whether a call waits in admission."""
        return self.running is not None and self.running.integration.admission.busy
