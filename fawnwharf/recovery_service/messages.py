"""What members say to each other in a recovery, by zones' logs and by logs of state. Values, checked as they
come in; no logic. A lost word costs time alone: all are said again.
"""

from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from fawnwharf.consensus.messages import MAX_TEXT_CHARACTERS
from fawnwharf.durable_store.folder_reader import FolderPosition
from fawnwharf.recovery_core.queries import Answer, Number, Query
from fawnwharf.zones.settings import Name

LOG_CLIENT = "recovery"  # by both logs; the kind of its register as well

Part = Annotated[float, Meta(ge=0.0, le=1.0)]
Mark = Annotated[str, Meta(max_length=64)]
Text = Annotated[str, Meta(max_length=300)]


class BootReport(Struct, frozen=True, tag="Boot"):
    """Which life this is, in which boot of its machine, and how far its folder had come."""

    life: Number
    mark: Mark  # empty: the system tells none
    sign: FolderPosition


class KnownSignature(Struct, frozen=True, tag="Known"):
    """A voter's word to one that started anew: so far its folder had come by an earlier word of its own."""

    life: Number  # of the one that is told
    sign: FolderPosition


class CallCounts(Struct, frozen=True, array_like=True):
    """Calls of the last second or so: served in time, and all."""

    good: Number = 0
    all: Number = 0

    @property
    def part(self) -> float:
        return self.good / self.all if self.all else 1.0


class StatusReport(Struct, frozen=True, tag="Standing"):
    """How a front end stands, for whoever leads."""

    life: Number
    asked: bool  # its asking is over
    sure: bool  # its keeper knows all that it granted; of one that keeps nothing, True
    first: CallCounts = CallCounts()  # calls of the classes worth most
    served: CallCounts = CallCounts()  # all calls
    loads: Number = 0  # that ended
    slow: Annotated[float, Meta(ge=0.0, le=1e6)] = 1.0  # and took so many times what they take in calm
    fell: Number = 0  # cold scorers that fell, since its start
    gave: bool = False  # it gave out loads or calls lately, and by no stage: alone, or through others' cut


class PhaseAnnouncement(Struct, frozen=True, tag="Told"):
    """The leader's word, under its lease, that this is the last register. `at_ms` is of its own clock: two
    words of one life tell by how much the later one came late."""

    life: Number
    term: Number
    at_ms: Annotated[float, Meta(ge=0.0, lt=2.0**53)]
    register: Annotated[str, Meta(max_length=MAX_TEXT_CHARACTERS)]


RecoveryMessage = Query | Answer | BootReport | KnownSignature | StatusReport | PhaseAnnouncement


def recovery_message_from(data: Any) -> RecoveryMessage:
    """Raises msgspec.ValidationError for what no member says."""
    return msgspec.convert(data, RecoveryMessage)


# --- for operators --------------------------------------------------------------------------


class DisplayedStatus(Struct, frozen=True, omit_defaults=True):
    """How a member stands, in its zones' log, for people."""

    life: Number
    boot: Mark = ""
    stage: Text = ""  # empty: it goes by none, and is alone
    how: Text = ""
    cut: Number = 0
    part: Part = 0.0
    leads: Number = 0  # the term in which it leads
    why: Text = ""  # the leader's, of the last register
    fronts: Number = 0  # that the leader hears
    heard: Annotated[tuple[Name, ...], Meta(max_length=64)] = ()  # voters' words that came lately
    asked: Annotated[dict[Text, Text], Meta(max_length=16)] = {}
    without: Annotated[tuple[Text, ...], Meta(max_length=16)] = ()
    doubts: Annotated[tuple[Text, ...], Meta(max_length=16)] = ()
    counts: Annotated[dict[Text, Number], Meta(max_length=64)] = {}
