"""Applies the policy in force to this front end's parts."""

from dataclasses import replace
from typing import Any, Protocol

import msgspec

from fawnwharf import interface as io
from fawnwharf.config import Deployment
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.policy_rollout.call_binding import class_spec_for_document
from fawnwharf.policy_rollout.delayed_relaxation import ReplicationRule
from fawnwharf.policy_rollout.document import DeploymentCapabilities, Document, Value, make_document
from fawnwharf.zones.service import ZoneService

ADMISSION_LIMIT_KEY = "policy"  # the owner under which `FrontEnd.limit_calls` keeps this package's limit


class ReplicationGate(Protocol):
    """The gate that calls pass before they are replicated, as a policy changes it."""

    modes: dict[str, Any]  # by class

    def change_rules(self, classes: dict[str, io.ClassSpec], modes: dict[str, Any]) -> None:
        """Use these classes and modes for calls that arrive from now on."""
        ...


class ReplicatedCalls(Protocol):
    """The part that replicates calls, as a policy needs it."""

    gate: ReplicationGate
    settings: Any
    core: Any


def deployment_capabilities(
    deployment: Deployment,
    zones: ZoneService,
    state: ReplicatedCalls | None,
    staging: dict[str, float] | None,
) -> DeploymentCapabilities:
    """What this deployment has, and its settings as a document, which gives absent keys their meaning.

    `zones` and `state` are the attached parts; `state` is None where no calls are replicated, and `staging`
    where nothing is prefetched.
    """
    settings = deployment.settings
    names = frozenset(zones.core.membership.zones)
    capabilities = DeploymentCapabilities(
        classes=frozenset(settings.classes),
        tenants=deployment.wire.tenants | frozenset(settings.quotas_rps),
        zones=names,
        replicates=state is not None,
        prefetches=staging is not None,
        configured_defaults=_settings_as_document(deployment, zones, state, staging),
    )
    if state is None:
        return capabilities
    limits = state.settings
    return msgspec.structs.replace(
        capabilities,
        max_give_up_ms=limits.max_call_ms,
        window_range_ms=(2 * limits.max_wait_ms, limits.repeat_window_ms),
    )


def _settings_as_document(
    deployment: Deployment,
    zones: ZoneService,
    state: ReplicatedCalls | None,
    staging: dict[str, float] | None,
) -> Document:
    """The values that the settings have for all keys of a document."""
    settings = deployment.settings
    spill = zones.settings.spillover
    values: dict[tuple[str, ...], Value] = {}
    for name, spec in settings.classes.items():
        values["classes", name, "promise_ms"] = spec.latency_target_ms
        values["classes", name, "give_up_ms"] = spec.deadline_ms
        if state is not None:
            values["modes", name] = state.gate.modes[name]
            values["window_ms", name] = state.settings.repeat_window_ms
    for name, quota_rps in settings.quotas_rps.items():
        values["tenants", name, "quota_rps"] = quota_rps
    for key, value in (staging or {}).items():
        values["staging", key] = value
    for name in zones.core.membership.zones:
        values["admission", name] = 1.0
        values["spill", name] = spill.fraction_by_zone.get(name, spill.fraction)
    return make_document(0, values)


class PolicyApplier:
    """Owns what was last applied to the parts, and applies what changes."""

    def __init__(
        self, deployment: Deployment, front: FrontEnd, zones: ZoneService, state: ReplicatedCalls | None
    ) -> None:
        """`state` is None where no calls are replicated."""
        settings = deployment.settings
        self._front = front
        self._zones = zones
        self._state = state
        self._base_classes = dict(settings.classes)
        self._base_quotas_rps = dict(settings.quotas_rps)  # before the decision module adds limits to them
        self._front_ends = settings.fleet_size
        self._zone = settings.zone
        self.classes = dict(self._base_classes)
        self._longest_deadline_ms = {name: spec.deadline_ms for name, spec in self._base_classes.items()}
        self.quotas_rps = dict(self._base_quotas_rps)
        self._limit_rps: float = io.UNLIMITED_RPS
        self._replication: tuple[Any, ...] = ()  # what was last applied by `apply_replication`

    def apply(self, document: Document) -> bool:
        """Apply a complete document to this front end; True where some class changed, False otherwise."""
        self._apply_quotas(document)
        total_rps = sum(self.quotas_rps.values())
        self._apply_admission(document, total_rps)
        self._apply_spill(document, total_rps)
        return self._apply_classes(document)

    def _apply_admission(self, document: Document, total_rps: float) -> None:
        """Limit this front end to its part of what the zone admits."""
        part = document.limit("admission", self._zone)
        limit_rps: float = io.UNLIMITED_RPS
        if part is not None and part < 1.0 and (total_rps > 0.0 or part == 0.0):
            limit_rps = part * total_rps / self._front_ends
        if limit_rps != self._limit_rps:
            self._limit_rps = limit_rps
            self._front.limit_calls(ADMISSION_LIMIT_KEY, limit_rps)

    def _apply_spill(self, document: Document, total_rps: float) -> None:
        """Limit what other zones are sent; the zone plan already has the limits of the settings."""
        settings = self._zones.settings.spillover
        spill = {
            name: part
            for name, part in document.limits("spill").items()
            if part < settings.fraction_by_zone.get(name, settings.fraction)
        }
        self._zones.apply_policy_limits(total_rps, spill)

    def _apply_classes(self, document: Document) -> bool:
        classes = {name: class_spec_for_document(spec, document) for name, spec in self._base_classes.items()}
        changed = [spec for name, spec in classes.items() if spec != self.classes[name]]
        self.classes = classes
        # A client that waits for longer than a policy gives made no error, as it knows an earlier time: the
        # port rejects nothing for that, and a call is cut to its policy's time by `CallPolicyBinding`.
        for name, spec in classes.items():
            self._longest_deadline_ms[name] = max(self._longest_deadline_ms[name], spec.deadline_ms)
        self._front.client_port.classes = {
            name: replace(spec, deadline_ms=self._longest_deadline_ms[name]) for name, spec in classes.items()
        }
        for spec in changed:
            self._front.loop.enqueue(io.ClassChanged(spec))
        return bool(changed)

    def _apply_quotas(self, document: Document) -> None:
        quotas_rps = {path[1]: float(rps) for path, rps in document.values if path[0] == "tenants"}
        if quotas_rps == self.quotas_rps:
            return
        before = self.quotas_rps
        self.quotas_rps = quotas_rps
        for name, rps in self._quota_changes(before, quotas_rps).items():
            self._front.loop.enqueue(io.LimitsChanged(rps, name))

    def _quota_changes(self, before: dict[str, float], after: dict[str, float]) -> dict[str, float]:
        """The limits of this front end that change, by tenant."""
        shares = self._state.core.quota_shares if self._state is not None else None
        changes: dict[str, float]
        if shares is not None:
            changes = shares.change_quotas(after)
        else:
            changes = {name: rps / self._front_ends for name, rps in after.items() if rps != before.get(name)}
        removed = {name: io.UNLIMITED_RPS for name in before if name not in after}
        return changes | removed

    def apply_replication(self, rules: dict[str, ReplicationRule]) -> None:
        """Apply modes and windows of replication by class, as `DelayedRelaxation` has them."""
        if self._state is None:
            return
        replica = self._state.core.replica
        replication = (rules, replica, self.classes)
        if replication == self._replication:
            return
        self._replication = replication
        gate = self._state.gate
        modes = {name: rule.mode for name, rule in rules.items() if name in gate.modes}
        gate.change_rules(self.classes, gate.modes | modes)
        if replica is not None:
            replica.claim_store.class_windows_ms = {name: rule.window_ms for name, rule in rules.items()}

    def reset_to_configured(self, configured: Document) -> None:
        """Go back to the classes and quotas of the settings, and lift the limit on calls.

        `configured` is the document of the settings (`DeploymentCapabilities.configured_defaults`).
        """
        self._apply_classes(configured)
        self._apply_quotas(configured)
        self._front.limit_calls(ADMISSION_LIMIT_KEY, io.UNLIMITED_RPS)
