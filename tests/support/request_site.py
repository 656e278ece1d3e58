"""The settings that the randomized request tests vary, and the limits that follow from them."""

from dataclasses import dataclass, field
from typing import Any

from support.request_model import Limits

EFFECTS = {"view": "idempotent", "save": "deduplicated", "settle": "at_most_once"}


@dataclass
class Site:
    """The settings of one test run, with their defaults."""

    modes: tuple[str, ...] = ("loaded",)  # of the scorers
    zones: tuple[str, ...] = ("a", "a", "b")
    give_up_ms: float = 2_000.0
    dedup_window_ms: float = 1_500.0
    group: str = "all"
    cancel: bool = True
    second_copies: bool = True
    max_attempts: int = 3
    may_order: bool = True
    not_loaded: str = "load"
    load_window_ms: float = 0.0
    free_loads: float = 2.0
    load_part: float = 0.5
    sockets: int = 1_024
    extra: dict[str, Any] = field(default_factory=dict)  # further settings

    def settings(self) -> dict[str, Any]:
        """Return the settings as a front end reads them."""
        classes = [{"name": name, "effect": effect, "group": self.group} for name, effect in EFFECTS.items()]
        for spec in classes:
            spec |= {"give_up": self.give_up_ms, "promise": 0.8 * self.give_up_ms}
            spec |= {"dedup_window": self.dedup_window_ms if spec["name"] == "save" else 0.0}
        return {
            "classes": classes,
            "tenants": [{"name": "acme"}],
            "locality": "a",
            "bounds": {
                "cancel": self.cancel,
                "second_copies": self.second_copies,
                "max_attempts": self.max_attempts,
                "dial_timeout": 250.0,
            },
            "family_info": {
                "may_order": self.may_order,
                "not_loaded": self.not_loaded,
                "load_window": self.load_window_ms,
                "free_loads": self.free_loads,
                "load_part": self.load_part,
                "load_wait": 3_000.0,
            },
        } | self.extra

    def limits(self) -> Limits:
        """Return the limits that the reference model checks."""
        return Limits(
            self.max_attempts, self.second_copies, self.load_window_ms, self.free_loads, self.load_part
        )
