"""Policy rollouts as an extension of a front end: reads the files, and starts and stops the rollout."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from fawnwharf import interface as io
from fawnwharf.config import ConfigError, Deployment, Fleet
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.call_binding import CallPolicyBinding
from fawnwharf.policy_rollout.call_trace import CallTrace
from fawnwharf.policy_rollout.document import DeploymentCapabilities
from fawnwharf.policy_rollout.policy_applier import deployment_capabilities
from fawnwharf.policy_rollout.policy_file import PolicyFile
from fawnwharf.policy_rollout.request_file import REQUEST_FILE
from fawnwharf.policy_rollout.rollout_member import RolloutMember
from fawnwharf.policy_rollout.running_rollout import NAME, RolloutContext, RunningRollout
from fawnwharf.policy_rollout.settings import RolloutSettings, decode_settings
from fawnwharf.zones.files import load_file
from fawnwharf.zones.service import ZoneService

POLICY_FILE = "policy.json"

__all__ = ["NAME", "POLICY_FILE", "REQUEST_FILE", "NotAttachedError", "PolicyRolloutService"]


class NotAttachedError(RuntimeError):
    """The service was used before `PolicyRolloutService.attach`."""


class PolicyRolloutService:
    """Owns this front end's part in policy rollouts; an extension of the front end."""

    def __init__(
        self,
        deployment: Deployment,
        path: str | Path,
        write: Callable[[str, dict[str, Any]], None],
        built_parts: dict[str, Any],
    ) -> None:
        """Read and check the files; raises ConfigError with one line.

        `built_parts` has the extensions built so far by name and must contain `zones`; `write` writes an
        entry to the operators' log.
        """
        self.deployment = deployment
        self.zones: ZoneService = built_parts["zones"]
        self._log = write
        self._built_parts = built_parts
        self._settings: RolloutSettings = load_file(Path(path), decode_settings, NAME)
        policy_path = self.zones.folder / POLICY_FILE
        try:
            self._file = PolicyFile(policy_path)
        except OSError as error:
            raise ConfigError(f"{NAME}: {policy_path}: {error.strerror}") from None
        self._trace = self._open_trace(Path(path).parent)
        self._running: RunningRollout | None = None

    def _open_trace(self, folder: Path) -> CallTrace | None:
        """Open the trace named in the settings; raises ConfigError if it can't be written."""
        if not self._settings.trace:
            return None
        path = folder / self._settings.trace
        try:
            return CallTrace(path)
        except OSError as error:
            raise ConfigError(f"{NAME}.trace: {path}: {error.strerror}") from None

    # --- what other parts read ------------------------------------------------------------------

    @property
    def running(self) -> RunningRollout:
        """The rollout of an attached service; raises NotAttachedError before that."""
        if self._running is None:
            raise NotAttachedError(f"{NAME}: not attached to a front end")
        return self._running

    @property
    def member(self) -> RolloutMember:
        """This member's lease holder, coordinator and requests."""
        return self.running.member

    @property
    def call_binding(self) -> CallPolicyBinding:
        """The layer that binds calls to their policies."""
        return self.running.call_binding

    @property
    def incarnation(self) -> int:
        """The incarnation number of this member's process."""
        return self._file.incarnation

    @property
    def active_policy(self) -> m.ActivePolicy:
        """The policy that applies to calls now, with absent keys filled in from the settings."""
        return self.running.active_policy

    @property
    def staging(self) -> dict[str, float]:
        """The limits of prefetching by key of the section `staging`, filled in from the settings."""
        return self.active_policy.document.limits("staging")

    @property
    def ready(self) -> bool:
        """Whether a leader's coordinator has sent the last decided document."""
        return self.running.ready

    def _capabilities(self) -> DeploymentCapabilities:
        """The deployment's current capabilities."""
        prefetching = getattr(self._built_parts.get("sessions"), "foreseen", None)
        budgets = prefetching.staging.budgets if prefetching is not None else None
        return deployment_capabilities(self.deployment, self.zones, self._built_parts.get("state"), budgets)

    # --- as an extension of the front end ---------------------------------------------------------

    def attach(self, front: FrontEnd) -> None:
        """Start on the front end's event loop; zones and replication must be attached already."""
        context = RolloutContext(
            self.deployment,
            self._settings,
            front,
            self.zones,
            self._built_parts.get("state"),
            self._file,
            self._trace,
            self._log,
        )
        self._running = RunningRollout(context, self._capabilities)
        self._running.start()

    def close(self) -> None:
        """Stop, reject the waiting calls, and restore the configured values in the other parts."""
        if self._running is not None:
            self._running.close()
        if self._trace is not None:
            self._trace.close()

    def on_fleet(self, fleet: Fleet) -> None:
        """Ignore a change of the roster, which does not affect policies."""

    def on_events(self, events: list[io.Event]) -> None:
        """Have calls that waited in the replication gate decided by the classes that they are bound to."""
        if self._running is not None:
            self._running.events(events)

    @property
    def busy(self) -> bool:
        """Whether calls wait in this extension; calls in the request table or the gate do not count."""
        return self._running is not None and self._running.call_binding.waiting > 0
