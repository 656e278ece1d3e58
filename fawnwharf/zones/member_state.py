"""The state that the parts of a member's core share: its membership, its planner and its current plan."""

from collections.abc import Callable
from typing import Any

from fawnwharf.zones.effects import ApplyPlan, Effect, PublishLine
from fawnwharf.zones.log_events import PlanExpired
from fawnwharf.zones.log_lines import DropCounts, LogLine
from fawnwharf.zones.plan import Plan, plan_from
from fawnwharf.zones.planner import ZonePlanner
from fawnwharf.zones.settings import Membership, ZoneSettings

MakeLine = Callable[..., LogLine]


class PlanTracker:
    """Tracks the last decided plan that this member knows, and until when it is valid."""

    def __init__(self, validity_ms: float) -> None:
        self.plan = Plan()
        self.index = 0
        self.confirmed_ms: float | None = None  # when a leader last confirmed that the plan is the latest one
        self._text = ""  # the encoded plan, as decided
        self._validity_ms = validity_ms
        self._published_index = 0
        self._followed_index = 0
        self._follows = False

    def learn(self, index: int, text: str) -> bool:
        """Use a decided plan; False if it is not later than the known one. Raises PlanError.

        The plan may come from any member, because each index is decided only once. A later plan is at least
        as recent as the known one, so the last confirmation remains valid for it.
        """
        if index <= self.index:
            return False
        self.plan = plan_from(text)
        self.index = index
        self._text = text
        return True

    def is_valid(self, now_ms: float) -> bool:
        """Whether the plan was confirmed to be the latest one within its validity period."""
        if self.index == 0 or self.confirmed_ms is None:
            return False
        return now_ms - self.confirmed_ms < self._validity_ms

    @property
    def expires_ms(self) -> float | None:
        """When the followed plan expires; None while no plan is followed."""
        if not self._follows or self.confirmed_ms is None:
            return None
        return self.confirmed_ms + self._validity_ms

    def updates(self, now_ms: float, make_line: MakeLine) -> list[Effect]:
        """The effects of all changes since the last call."""
        effects: list[Effect] = []
        if self.index > self._published_index:  # publish it, so that other members can learn it from this one
            self._published_index = self.index
            effects.append(PublishLine(make_line(plan=self._text, index=self.index)))
        followed_before = self._follows
        follows = self.is_valid(now_ms)
        if (self.index, follows) == (self._followed_index, followed_before):
            return effects
        self._followed_index = self.index
        self._follows = follows
        if follows:
            effects.append(ApplyPlan(self.plan, self.index))
        elif followed_before:
            effects.append(ApplyPlan(None, self.index))
            effects.append(PlanExpired(self.index))
        return effects


class MemberState:
    """Owns a member's view of the fleet."""

    def __init__(self, name: str, membership: Membership, settings: ZoneSettings, now_ms: float) -> None:
        self.name = name
        self.membership = membership
        self.settings = settings
        self.planner = ZonePlanner(settings, now_ms)
        self.plan_tracker = PlanTracker(settings.consensus.plan_validity_ms)
        self.drop_counts = DropCounts()

    def make_line(self, **fields: Any) -> LogLine:
        """Create a line of this member's log with these fields."""
        return LogLine(self.membership.fleet, self.name, **fields)

    def plan_updates(self, now_ms: float) -> list[Effect]:
        """The effects of changes of the plan that this member knows."""
        return self.plan_tracker.updates(now_ms, self.make_line)
