"""The log events of replicated state that operators read."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.replication.core import ReplicationCore
from fawnwharf.replication.counters import ReplicationCounter
from fawnwharf.replication.grant_storage import GrantStorage
from fawnwharf.replication.replica import Replica
from fawnwharf.zones.settings import Membership

MIN_INTERVAL_MS = 1_000.0  # between two events of a kind that is rate limited

LogEvent = Callable[[str, dict[str, Any]], None]


class EventLog:
    """Writes log events, and limits the rate of those that may repeat."""

    def __init__(self, write: LogEvent) -> None:
        self._write = write
        self._last_ms: dict[str, float] = {}
        self._was_complete: bool | None = None

    def started(self, core: ReplicationCore, grant_storage: GrantStorage | None) -> None:
        """Log the replicas and a summary of the grants that were read."""
        replicas = {zone: list(names) for zone, names in core.placement.by_zone.items()}
        fields = {"member": core.name, "owner": core.owner_id, "replicas": replicas}
        self._write("replication started", fields)
        if grant_storage is not None:
            self._write("grants read", grant_storage.summary)

    def replica_checked(self, now_ms: float, replica: Replica) -> None:
        """Log whether the replica is complete if that changed, and its new conflicts."""
        complete = replica.is_complete(now_ms)
        if complete != self._was_complete:
            self._was_complete = complete
            self._write("replica", {"complete": complete, "calls": len(replica.claim_store.calls)})
        conflicts, replica.claim_store.conflicts = replica.claim_store.conflicts, []
        for key, one, other in conflicts:
            if self._is_due("conflict"):
                one_claim, other_claim = msgspec.to_builtins((one, other))
                self._write("conflicting claims", {"call": key, "one": one_claim, "other": other_claim})

    def line_dropped(self, reason: str, counts: Counter[ReplicationCounter]) -> None:
        """Log that a line was dropped, with the counters of dropped lines."""
        if self._is_due("line"):
            by_text = {str(counter): count for counter, count in counts.items()}
            self._write("line dropped", {"why": reason, "counts": by_text})

    def membership_ignored(self, error: Exception) -> None:
        """Log that a changed membership file is invalid and was ignored."""
        self._write("membership file ignored, the last one stays in force", {"fault": str(error)})

    def membership_taken(self, membership: Membership, replicas: list[str]) -> None:
        """Log that a later membership is in effect."""
        self._write("membership taken", {"number": membership.number, "replicas": replicas})

    def _is_due(self, kind: str) -> bool:
        """Whether the minimum interval has passed since the last event of this kind."""
        now_ms = monotonic_ms()
        last_ms = self._last_ms.get(kind)
        if last_ms is not None and now_ms - last_ms < MIN_INTERVAL_MS:
            return False
        self._last_ms[kind] = now_ms
        return True
