"""Applies the policy in force to this front end's parts."""

from dataclasses import replace
from typing import Any

import msgspec

from fawnwharf import interface as io
from fawnwharf.config import Deployment
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.policy_rollout.call_binding import class_spec_under
from fawnwharf.policy_rollout.document import DeploymentCapabilities, Document, make_document

LIMIT = "policy"


def deployment_capabilities(
    deployment: Deployment, zones: Any, state: Any, staging: dict[str, float] | None
) -> DeploymentCapabilities:
    """What this deployment has, and its settings as a document, which gives absent keys their meaning.

    `zones` and `state` are the attached parts; `state` is None where no calls are replicated, and `staging`
    where nothing is prefetched.
    """
    settings, members = deployment.settings, zones.core.membership
    names = sorted(members.zones)
    spill = zones.settings.spillover
    values: dict[tuple[str, ...], Any] = {}
    for name, spec in settings.classes.items():
        values["classes", name, "promise_ms"] = spec.latency_target_ms
        values["classes", name, "give_up_ms"] = spec.deadline_ms
        if state is not None:
            values["modes", name] = state.gate.modes[name]
            values["window_ms", name] = state.settings.repeat_window_ms
    values |= {("tenants", name, "quota_rps"): rps for name, rps in settings.quotas_rps.items()}
    values |= {("staging", key): value for key, value in (staging or {}).items()}
    values |= {("admission", name): 1.0 for name in names}
    values |= {("spill", name): spill.fraction_by_zone.get(name, spill.fraction) for name in names}
    found = DeploymentCapabilities(
        classes=frozenset(settings.classes),
        tenants=deployment.wire.tenants | frozenset(settings.quotas_rps),
        zones=frozenset(names),
        keeps=state is not None,
        stages=staging is not None,
        base=make_document(0, values),
    )
    if state is None:
        return found
    kept = state.settings
    window = 2 * kept.max_wait_ms, kept.repeat_window_ms
    return msgspec.structs.replace(found, give_up_most_ms=kept.max_call_ms, window_ms=window)


class PolicyApplier:
    """Owns what was last applied to the parts, and applies what changes."""

    def __init__(self, deployment: Deployment, front: FrontEnd, zones: Any, state: Any) -> None:
        self.front, self.zones, self.state = front, zones, state
        self._base = dict(deployment.settings.classes)
        self._quotas = dict(deployment.settings.quotas_rps)  # as sold, before the module adds limits to them
        self._fronts, self._zone = deployment.settings.fleet_size, deployment.settings.zone
        self.classes = dict(self._base)
        self._longest = {name: spec.deadline_ms for name, spec in self._base.items()}  # ever gone by
        self.quotas = dict(self._quotas)
        self._limit: float = io.UNLIMITED_RPS
        self._kept: tuple[Any, ...] = ()

    def go_by(self, document: Document) -> bool:
        """Apply a document; True where classes changed."""
        self._tenants(document)
        sold = sum(self.quotas.values())
        part = document.value("admission", self._zone)
        limited = part is not None and part < 1.0 and (sold > 0.0 or part == 0.0)
        rps = float(part) * sold / self._fronts if limited else io.UNLIMITED_RPS
        if rps != self._limit:
            self._limit = rps
            self.front.limit_calls(LIMIT, rps)
        told = self.zones.settings.spillover
        spill = {name: float(part) for name, part in document.section("spill").items()}
        # The plan has the settings' own already.
        self.zones.apply_policy_limits(
            sold, {n: p for n, p in spill.items() if p < told.fraction_by_zone.get(n, told.fraction)}
        )
        return self._classes(document)

    def _classes(self, document: Document) -> bool:
        classes = {name: class_spec_under(spec, document) for name, spec in self._base.items()}
        changed = [spec for name, spec in classes.items() if spec != self.classes[name]]
        self.classes = classes
        # To wait for longer than a policy gives is no fault of clients, which know an earlier time: the
        # port refuses nothing for that, and a call is cut to its policy's time where it is taken (`Judged`).
        for name, spec in classes.items():
            self._longest[name] = max(self._longest[name], spec.deadline_ms)
        self.front.client_port.classes = {
            name: replace(spec, deadline_ms=self._longest[name]) for name, spec in classes.items()
        }
        for spec in changed:
            self.front.loop.enqueue(io.ClassChanged(spec))
        return bool(changed)

    def _tenants(self, document: Document) -> None:
        quotas = {path[1]: float(rps) for path, rps in document.values if path[0] == "tenants"}
        if quotas == self.quotas:
            return
        before, self.quotas = self.quotas, quotas
        shares = self.state.core.quota_shares if self.state is not None else None
        if shares is not None:
            changes = shares.change_quotas(quotas)
        else:
            changes = {name: rps / self._fronts for name, rps in quotas.items() if rps != before.get(name)}
        changes |= {name: io.UNLIMITED_RPS for name in before if name not in quotas}
        for name, rps in changes.items():
            self.front.loop.enqueue(io.LimitsChanged(rps, name))

    def keep_by(self, kept: dict[str, tuple[str, float]]) -> None:
        """Apply modes and windows of replication by class, as `Easing` has them."""
        keeper = self.state.core.replica if self.state is not None else None
        if self.state is None or (kept, keeper, self.classes) == self._kept:
            return
        self._kept = kept, keeper, self.classes
        gate = self.state.gate
        gate.change_rules(
            self.classes, gate.modes | {n: mode for n, (mode, _) in kept.items() if n in gate.modes}
        )
        if keeper is not None:
            keeper.claim_store.class_windows_ms = {name: window for name, (_, window) in kept.items()}

    def undo(self, base: Document) -> None:
        """Restore the settings, for whoever takes the parts over."""
        self._classes(base)
        self._tenants(base)
        self.front.limit_calls(LIMIT, io.UNLIMITED_RPS)
