"""Reads the status of a running front end from its parts, for the recovery agent."""

import hashlib

import msgspec

from fawnwharf.consensus.committed_log import last_including_uncommitted
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.recovery_core.trust import StoreCondition
from fawnwharf.recovery_service.agent_actions import LocalStatus, PlanVersion
from fawnwharf.recovery_service.counters import FrontEndCounters
from fawnwharf.recovery_service.recovery_leader import MemberLists
from fawnwharf.recovery_service.recovery_store import RecoveryStore
from fawnwharf.replication.service import ReplicationService
from fawnwharf.zones.service import ZoneService


class LocalStatusReader:
    """Reads a front end's status from its parts."""

    def __init__(
        self,
        zones: ZoneService,
        state: ReplicationService,
        store: RecoveryStore,
        counters: FrontEndCounters,
        *,
        knows_earlier_use: bool,
    ) -> None:
        """`knows_earlier_use` tells whether the store had the calls served before this start."""
        self._zones = zones
        self._state = state
        self._store = store
        self._counters = counters
        self._knows_earlier_use = knows_earlier_use

    def member_lists(self) -> MemberLists:
        """The lists of members, voters and replicas in the membership file."""
        members = self._zones.core.membership
        placement = self._state.core.placement
        # The digest excludes addresses: members may use different addresses for the same membership.
        identity = sorted(
            (entry.name, entry.zone, entry.region, bool(entry.voter_address), bool(entry.replication_address))
            for entry in members.members
        )
        return MemberLists(
            members=tuple(entry.name for entry in members.members),
            voters=tuple(entry.name for entry in members.voters),
            replicas=tuple(placement.replicas),
            number=members.number,
            digest=_digest(msgspec.json.encode(identity)),
            by_zone=tuple(map(tuple, placement.by_zone.values())),
        )

    def read(self, front: FrontEnd, *, roster_received: bool) -> LocalStatus:
        """Return the current status; `roster_received`: the change log sent a roster in this incarnation."""
        now_ms = monotonic_ms()
        replica = self._state.core.replica
        roster_received = roster_received or front.change_log.up_to_date_ms is not None
        return LocalStatus(
            settled=self._store.settled,
            complete=self._store.condition is StoreCondition.INTACT,
            knows_grants=replica is None or replica.is_complete(now_ms),
            votes=self._zones.core.voter is not None,
            plan=self._plan(),
            position=self._store.position(),
            knows_use=self._knows_earlier_use or bool(self._state.core.usage_table.owners),
            roster_received=roster_received,
            has_scorers=self._has_scorers(front, now_ms, roster_received=roster_received),
            reachable=len(set(self._state.live_members(now_ms)) | {self._zones.entry.name}),
            report=self._counters.report(now_ms),
        )

    def _plan(self) -> PlanVersion:
        voter = self._zones.core.voter
        number, text = last_including_uncommitted(voter.saved, "plan") if voter is not None else (0, "")
        return PlanVersion(number, _digest(text.encode()))

    def _has_scorers(self, front: FrontEnd, now_ms: float, *, roster_received: bool) -> bool:
        """Whether some scorer accepts calls, by the roster, by its answers, or by reports of the zones."""
        listed = any(member.phase == "in_service" for member in front.roster_overlay.members.values())
        if (roster_received and listed) or self._counters.scorer_answered:
            return True
        evidence = self._zones.evidence_collector.evidence(now_ms)
        return any(seen.responses for seen in evidence.values())


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=8).hexdigest()
