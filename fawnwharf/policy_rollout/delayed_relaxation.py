"""Replication modes and windows by class: stricter values apply at once, looser ones after a delay."""

from dataclasses import dataclass, field
from typing import NamedTuple

from fawnwharf.policy_rollout.document import MODES_BY_STRICTNESS, Document


class ReplicationRule(NamedTuple):
    """How calls of one class are replicated: the mode, and for how many milliseconds claims are kept."""

    mode: str
    window_ms: float


class PendingRule(NamedTuple):
    """A looser rule that applies from `effective_ms` on."""

    rule: ReplicationRule
    effective_ms: float


@dataclass(slots=True)
class DelayedRelaxation:
    """Owns the effective replication rules, which follow the policy: stricter at once, looser with a delay.

    A call that was accepted under the old rule may run for as long as its client waits, and may be repeated
    within the old window after that. So a shorter window or a less strict mode takes effect only after both
    have ended by the slowest clock.
    """

    skew: float  # of the clocks' rates
    max_call_ms: float  # the longest that a client waits
    effective: dict[str, ReplicationRule] = field(default_factory=dict)  # by class
    pending: dict[str, PendingRule] = field(default_factory=dict)  # by class

    def follow(self, now_ms: float, document: Document) -> None:
        """Follow a document that applies from now on."""
        modes = document.section("modes")
        windows = document.section("window_ms")
        self.apply_due(now_ms)
        for name in {*modes, *windows, *self.effective}:
            rule = ReplicationRule(str(modes.get(name, "off")), float(windows.get(name, 0.0)))
            self._follow_class(now_ms, name, rule)

    def _follow_class(self, now_ms: float, name: str, new: ReplicationRule) -> None:
        old = self.effective.get(name, new)
        stricter = ReplicationRule(
            max(old.mode, new.mode, key=MODES_BY_STRICTNESS.index), max(old.window_ms, new.window_ms)
        )
        self.effective[name] = stricter
        if stricter == new:
            self.pending.pop(name, None)
            return
        pending = self.pending.get(name)
        if pending is None or pending.rule != new:
            delay_ms = (self.max_call_ms + old.window_ms) * (1 + self.skew) / (1 - self.skew)
            self.pending[name] = PendingRule(new, now_ms + delay_ms)

    def apply_due(self, now_ms: float) -> None:
        """Apply the pending rules whose delay has passed."""
        for name, pending in list(self.pending.items()):
            if now_ms >= pending.effective_ms:
                self.effective[name] = pending.rule
                del self.pending[name]
