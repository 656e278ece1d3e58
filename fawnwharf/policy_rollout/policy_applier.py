"""Applies the policy in force to the parts of this front end: quotas, classes, spillover and replication."""

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

ADMISSION_LIMIT_KEY = "policy"  # identifies this package's limit to `FrontEnd.limit_calls`


class ReplicationGate(Protocol):
    """The part of the replication gate that a policy changes."""

    modes: dict[str, Any]  # replication mode by class

    def change_rules(self, classes: dict[str, io.ClassSpec], modes: dict[str, Any]) -> None:
        """Set the classes and modes for calls that arrive from now on."""
        ...


class ReplicatedCalls(Protocol):
    """The attributes of the replication service that a policy needs."""

    gate: ReplicationGate
    settings: Any
    core: Any


def deployment_capabilities(
    deployment: Deployment,
    zones: ZoneService,
    state: ReplicatedCalls | None,
    staging: dict[str, float] | None,
) -> DeploymentCapabilities:
    """What this deployment supports, with its settings as a document of defaults for absent keys.

    `zones` and `state` are the attached services. `state` is None if calls are not replicated, `staging` is
    None if nothing is prefetched.
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
    """The settings' values for all keys of a document."""
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
    """Owns the values that were last applied, and applies those that change."""

    def __init__(
        self, deployment: Deployment, front: FrontEnd, zones: ZoneService, state: ReplicatedCalls | None
    ) -> None:
        """`state` is None if calls are not replicated."""
        settings = deployment.settings
        self._front = front
        self._zones = zones
        self._state = state
        self._base_classes = dict(settings.classes)
        self._base_quotas_rps = dict(settings.quotas_rps)  # before the decision module adds limits to them
        self._front_end_count = settings.fleet_size
        self._zone = settings.zone
        self.classes = dict(self._base_classes)
        self._longest_deadline_ms = {name: spec.deadline_ms for name, spec in self._base_classes.items()}
        self.quotas_rps = dict(self._base_quotas_rps)
        self._limit_rps: float = io.UNLIMITED_RPS
        self._replication: tuple[Any, ...] = ()  # the values last applied by `apply_replication`

    def apply(self, document: Document) -> bool:
        """Apply a complete document to this front end; True if the spec of any class changed."""
        self._apply_quotas(document)
        total_rps = sum(self.quotas_rps.values())
        self._apply_admission(document, total_rps)
        self._apply_spill(document, total_rps)
        return self._apply_classes(document)

    def _apply_admission(self, document: Document, total_rps: float) -> None:
        """Limit the call rate to this front end's share of the rate that the zone admits."""
        fraction = document.limit("admission", self._zone)
        limit_rps: float = io.UNLIMITED_RPS
        if fraction is not None and fraction < 1.0 and (total_rps > 0.0 or fraction == 0.0):
            limit_rps = fraction * total_rps / self._front_end_count
        if limit_rps != self._limit_rps:
            self._limit_rps = limit_rps
            self._front.limit_calls(ADMISSION_LIMIT_KEY, limit_rps)

    def _apply_spill(self, document: Document, total_rps: float) -> None:
        """Limit the spillover to other zones; the zone plan already applies the limits of the settings."""
        settings = self._zones.settings.spillover
        spill = {
            name: fraction
            for name, fraction in document.limits("spill").items()
            if fraction < settings.fraction_by_zone.get(name, settings.fraction)
        }
        self._zones.apply_policy_limits(total_rps, spill)

    def _apply_classes(self, document: Document) -> bool:
        classes = {name: class_spec_for_document(spec, document) for name, spec in self._base_classes.items()}
        changed = [spec for name, spec in classes.items() if spec != self.classes[name]]
        self.classes = classes
        # A client may still use the longer deadline of an earlier policy, which is no error. So the port
        # accepts calls up to the longest deadline so far, and `CallPolicyBinding` shortens the budget of a
        # call to the deadline of its policy.
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
        """The changed rate limits of this front end, by tenant, in calls per second."""
        shares = self._state.core.quota_shares if self._state is not None else None
        changes: dict[str, float]
        if shares is not None:
            changes = shares.change_quotas(after)
        else:
            changes = {
                name: rps / self._front_end_count for name, rps in after.items() if rps != before.get(name)
            }
        removed = {name: io.UNLIMITED_RPS for name in before if name not in after}
        return changes | removed

    def apply_replication(self, rules: dict[str, ReplicationRule]) -> None:
        """Apply the effective replication modes and windows of `DelayedRelaxation`, by class."""
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
        """Restore the classes and quotas of the settings and remove the limit on calls.

        `configured` is the document of the settings (`DeploymentCapabilities.configured_defaults`).
        """
        self._apply_classes(configured)
        self._apply_quotas(configured)
        self._front.limit_calls(ADMISSION_LIMIT_KEY, io.UNLIMITED_RPS)
