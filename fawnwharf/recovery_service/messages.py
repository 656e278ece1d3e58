"""Messages between members after a power loss, carried by the zones log and the replication log.

Messages are validated on arrival. All messages are sent again, so a lost one only costs time.
"""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct, field

from fawnwharf.consensus.messages import MAX_TEXT_CHARACTERS
from fawnwharf.durable_store.folder_reader import FolderPosition
from fawnwharf.recovery_core.queries import Answer, Number, Query
from fawnwharf.zones.settings import Name

LOG_CLIENT = "recovery"  # client name in both logs, and kind of its register in the consensus log

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
BootId = Annotated[str, Meta(max_length=64)]
Text = Annotated[str, Meta(max_length=300)]
Slowdown = Annotated[float, Meta(ge=0.0, le=1e6)]


class BootReport(Struct, frozen=True, tag="Boot"):
    """A member's incarnation, the boot of its machine, and the position of its store's folder."""

    incarnation: Number = field(name="life")
    boot: BootId = field(name="mark")  # empty if the system has none
    position: FolderPosition = field(name="sign")


class KnownPosition(Struct, frozen=True, tag="Known"):
    """Sent to a member that restarted: the folder position that its earlier incarnation reported."""

    incarnation: Number = field(name="life")  # of the receiver
    position: FolderPosition = field(name="sign")


class CallCounts(Struct, frozen=True, array_like=True):
    """Counts of recent calls: those served in time, and all."""

    in_time: Number = 0
    total: Number = 0

    @property
    def share(self) -> float:
        """The share of calls that were served in time; 1 without any calls."""
        return self.in_time / self.total if self.total else 1.0


class StatusReport(Struct, frozen=True, tag="Standing"):
    """A front end's status, reported to the leader."""

    incarnation: Number = field(name="life")
    queries_done: bool = field(name="asked")  # its startup queries are over
    knows_grants: bool = field(name="sure")  # its replica knows all its grants; True without a replica
    priority_calls: CallCounts = field(name="first", default=CallCounts())
    calls: CallCounts = field(name="served", default=CallCounts())
    loads: Number = 0  # recently completed loads
    slowdown: Slowdown = field(name="slow", default=1.0)  # mean duration of these loads over the normal one
    failed_scorers: Number = field(name="fell", default=0)  # warming scorers that failed since its start
    # Whether it recently issued permits without a phase announced by a leader.
    issued_while_partitioned: bool = field(name="gave", default=False)


class PhaseAnnouncement(Struct, frozen=True, tag="Told"):
    """The leader's announcement, under its lease, of the latest register.

    `sent_ms` is a reading of the leader's clock. Comparing two messages of one incarnation shows how much
    longer one was delayed than the other.
    """

    incarnation: Number = field(name="life")
    term: Number
    sent_ms: Annotated[float, Meta(ge=0.0, lt=2.0**53)] = field(name="at_ms")
    register: Annotated[str, Meta(max_length=MAX_TEXT_CHARACTERS)]


RecoveryMessage = Query | Answer | BootReport | KnownPosition | StatusReport | PhaseAnnouncement


def recovery_message_from(data: Any) -> RecoveryMessage:
    """Decode a received message; raises `msgspec.ValidationError` if it is malformed."""
    message: RecoveryMessage = msgspec.convert(data, RecoveryMessage)
    return message


# --- for operators --------------------------------------------------------------------------


class DisplayedStatus(Struct, frozen=True, omit_defaults=True):
    """A member's status in its zones log, for operators."""

    incarnation: Number = field(name="life")
    boot: BootId = ""
    phase: Text = field(name="stage", default="")  # empty while partitioned
    source: Text = field(name="how", default="")  # where the phase comes from
    power_loss: Number = field(name="cut", default=0)
    share: Share = field(name="part", default=0.0)
    leader_term: Number = field(name="leads", default=0)  # 0 if it does not lead
    reason: Text = field(name="why", default="")  # why the leader decided the last register
    front_ends: Number = field(name="fronts", default=0)  # how many report to it as the leader
    # Voters from which a message arrived recently.
    voters: Annotated[tuple[Name, ...], Meta(max_length=64)] = field(name="heard", default=())
    queries: Annotated[dict[Text, Text], Meta(max_length=16)] = field(name="asked", default_factory=dict)
    missing: Annotated[tuple[Text, ...], Meta(max_length=16)] = field(name="without", default=())
    doubts: Annotated[tuple[Text, ...], Meta(max_length=16)] = ()
    counts: Annotated[dict[Text, Number], Meta(max_length=64)] = field(default_factory=dict)
