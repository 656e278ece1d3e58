"""Recovery as an attachable part of a front end."""

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
    """Runs recovery on a front end from `attach` until `close`."""

    def __init__(
        self, deployment: Deployment, path: str | Path, write: WriteLog, parts: Mapping[str, Any]
    ) -> None:
        """Read and check the settings; raises ConfigError with one line.

        `parts` has the other parts by name and must already contain `zones`, `kept` and `state`.
        """
        self.deployment = deployment
        self.settings: Settings = load_file(Path(path), settings_from, RECOVERY)
        self.parts = RecoveryParts(parts["zones"], parts["state"], parts["kept"])
        self.running: RunningRecovery | None = None
        self._write = write

    def attach(self, front: FrontEnd) -> None:
        """Start on the front end's event loop; the parts it uses must already be attached."""
        self.running = RunningRecovery(front, self.parts, self.settings, self._write)

    def close(self) -> None:
        """Stop; open calls may still be withdrawn."""
        if self.running is not None:
            self.running.close()

    def on_fleet(self, _fleet: Fleet) -> None:
        """Handle a roster from the change log; it is read from the front end's roster overlay."""
        if self.running is not None:
            self.running.update_roster()

    def on_events(self, events: list[io.Event]) -> None:
        """Handle a batch of the decision module's events."""
        if self.running is not None:
            self.running.events(events)

    @property
    def busy(self) -> bool:
        """Whether a call waits in admission."""
        return self.running is not None and self.running.integration.admission.busy
