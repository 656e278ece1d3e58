"""Messages between members after a power loss, carried by the logs of zones and of replication.

Values that are checked as they arrive; no logic. A lost message costs time alone: all are sent again.
"""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from fawnwharf.consensus.messages import MAX_TEXT_CHARACTERS
from fawnwharf.durable_store.folder_reader import FolderPosition
from fawnwharf.recovery_core.queries import Answer, Number, Query
from fawnwharf.zones.settings import Name

LOG_CLIENT = "recovery"  # of both logs; the kind of its register as well

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
BootId = Annotated[str, Meta(max_length=64)]
Text = Annotated[str, Meta(max_length=300)]
Slowdown = Annotated[float, Meta(ge=0.0, le=1e6)]


class BootReport(Struct, frozen=True, tag="Boot"):
    """A member's incarnation, the boot of its machine, and the position of its store's folder."""

    incarnation: Number = field(name="life")
    boot: BootId = field(name="mark")  # empty: the system has none
    position: FolderPosition = field(name="sign")


class KnownPosition(Struct, frozen=True, tag="Known"):
    """From a voter to a member that started again: the position that an earlier incarnation reported."""

    incarnation: Number = field(name="life")  # of the receiver
    position: FolderPosition = field(name="sign")


class CallCounts(Struct, frozen=True, array_like=True):
    """Calls of the last second or so: served in time, and all."""

    in_time: Number = 0
    total: Number = 0

    @property
    def share(self) -> float:
        """The share of calls that were served in time; 1 where there were none."""
        return self.in_time / self.total if self.total else 1.0


class StatusReport(Struct, frozen=True, tag="Standing"):
    """A front end's status, for the leader."""

    incarnation: Number = field(name="life")
    queries_done: bool = field(name="asked")  # its startup queries are over
    knows_grants: bool = field(name="sure")  # its replica knows all that it granted; True where it has none
    priority_calls: CallCounts = field(name="first", default=CallCounts())
    calls: CallCounts = field(name="served", default=CallCounts())
    loads: Number = 0  # that ended
    slowdown: Slowdown = field(name="slow", default=1.0)  # of these loads, against calm
    failed_scorers: Number = field(name="fell", default=0)  # warming ones, since its start
    issued_alone: bool = field(name="gave", default=False)  # permits lately, and by no phase of the leader's


class PhaseAnnouncement(Struct, frozen=True, tag="Told"):
    """The leader's announcement, under its lease, that this is the last register.

    `sent_ms` is of the leader's own clock: two messages of one incarnation show by how much the later one was
    delayed.
    """

    incarnation: Number = field(name="life")
    term: Number
    sent_ms: Annotated[float, Meta(ge=0.0, lt=2.0**53)] = field(name="at_ms")
    register: Annotated[str, Meta(max_length=MAX_TEXT_CHARACTERS)]


RecoveryMessage = Query | Answer | BootReport | KnownPosition | StatusReport | PhaseAnnouncement


def recovery_message_from(data: Any) -> RecoveryMessage:
    """Check a message that arrived; raise `msgspec.ValidationError` for what is none."""
    message: RecoveryMessage = msgspec.convert(data, RecoveryMessage)
    return message


# --- for operators --------------------------------------------------------------------------


class DisplayedStatus(Struct, frozen=True, omit_defaults=True):
    """A member's status in its zones' log, for operators."""

    incarnation: Number = field(name="life")
    boot: BootId = ""
    phase: Text = field(name="stage", default="")  # empty: it follows none, and is partitioned
    source: Text = field(name="how", default="")  # of the phase
    power_loss: Number = field(name="cut", default=0)
    share: Share = field(name="part", default=0.0)
    leader_term: Number = field(name="leads", default=0)  # 0: it does not lead
    reason: Text = field(name="why", default="")  # the leader's, of the last register
    front_ends: Number = field(name="fronts", default=0)  # that the leader hears of
    voters: Annotated[tuple[Name, ...], Meta(max_length=64)] = field(
        name="heard", default=()
    )  # heard of lately
    queries: Annotated[dict[Text, Text], Meta(max_length=16)] = field(name="asked", default_factory=dict)
    missing: Annotated[tuple[Text, ...], Meta(max_length=16)] = field(name="without", default=())
    doubts: Annotated[tuple[Text, ...], Meta(max_length=16)] = ()
    counts: Annotated[dict[Text, Number], Meta(max_length=64)] = field(default_factory=dict)
