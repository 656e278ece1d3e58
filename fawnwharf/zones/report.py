"""Reports of members on the zones, and the store with the latest report of each member."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fawnwharf.zones import settings as s
from fawnwharf.zones.evidence import ZoneEvidence


class Report(Struct, frozen=True):
    """What one front end observes; within an incarnation, a later report has a larger number."""

    name: s.Name
    zone: s.Name
    number: Annotated[int, Meta(ge=0)]
    evidence: Annotated[dict[s.Name, ZoneEvidence], Meta(max_length=64)] = msgspec.field(
        name="seen", default_factory=dict
    )
    # The capacity in service by zone, in the units in which scorers state their capacity.
    sizes: Annotated[dict[s.Name, Annotated[float, Meta(ge=0.0, le=1e9)]], Meta(max_length=64)] = {}
    # The time since the change log last reported scorers.
    roster_age_ms: Annotated[float, Meta(ge=0.0)] = msgspec.field(name="roster_ms", default=0.0)
    # The identity of the member's voter (see `member_name_of_voter`); empty if it has none.
    voter_identity: Annotated[str, Meta(max_length=96)] = msgspec.field(name="identity", default="")
    operator_request: s.DrainRequest = msgspec.field(name="wishes", default=s.DrainRequest())


@dataclass(slots=True, frozen=True)
class _Received:
    """A report and the time when it was received."""

    at_ms: float
    report: Report


class ReportStore:
    """Keeps the latest report of each member."""

    def __init__(self) -> None:
        self.received: dict[str, _Received] = {}

    def receive(self, now_ms: float, report: Report) -> None:
        """Store a report, replacing the member's previous one."""
        self.received[report.name] = _Received(now_ms, report)

    def current(self, now_ms: float, membership: s.Membership, ttl_ms: float) -> dict[str, Report]:
        """The reports that have not expired, by member; deletes the reports of former members."""
        zones = {member.name: member.zone for member in membership.members}
        self.received = {name: received for name, received in self.received.items() if name in zones}
        return {
            name: received.report
            for name, received in self.received.items()
            if now_ms - received.at_ms <= ttl_ms and received.report.zone == zones[name]
        }

    def received_within(self, now_ms: float, names: Iterable[str], limit_ms: float) -> set[str]:
        """Those of these members whose last report is no older than the limit; each must have reported."""
        return {name for name in names if now_ms - self.received[name].at_ms <= limit_ms}
