"""The recovery register in the consensus log: phase, budgets, and the permit issuers. Pure."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fawnwharf.consensus.messages import MAX_VOTERS, VoterIdentity

VERSION = 1
MAX_PERMIT_ISSUERS = 64  # load and slow start coordinators of the fleet; its other replicas issue none

Number = Annotated[int, Meta(ge=0, lt=2**53)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]


class RecoveryPhase(IntEnum):
    """The phases of a recovery, in their order; the numbers stand in the register."""

    LISTENING = 0
    RETRIES = 1
    PRIORITY_CALLS = 2
    ALL_CALLS = 3
    COPY_REFRESH = 4
    NORMAL = 5

    @property
    def label(self) -> str:
        """The phase's name in log lines and in the status that members exchange; these stay as they are."""
        return _PHASE_LABELS[self]


_PHASE_LABELS = ("listening", "repeats", "worth", "rest", "renewal", "spill")


class RegisterError(ValueError):
    """A text that is not a register of this version; the message is 'key: cause' in one line."""


class RecoveryRegister(Struct, frozen=True):
    """The register's value; one with a larger number is later.

    The names of the fields are stored and sent, and stay. `cut` counts the power losses of the fleet.
    """

    recovery: int = VERSION
    number: Number = 0
    cut: Number = 0
    stage: Annotated[int, Meta(ge=0, le=5)] = int(RecoveryPhase.NORMAL)
    part: Annotated[float, Meta(gt=0.0, le=1.0)] = 1.0  # of the fleet's budgets
    fronts: Number = 0  # number of front ends that were heard
    boots: Annotated[
        dict[VoterIdentity, Annotated[str, Meta(max_length=64)]], Meta(max_length=MAX_VOTERS)
    ] = {}
    why: Annotated[str, Meta(max_length=200)] = ""  # the reason of the last change, for operators
    # Replicas that issue permits; none: by what each front end hears, as in registers of earlier versions.
    givers: Annotated[tuple[Name, ...], Meta(max_length=MAX_PERMIT_ISSUERS)] = ()
    deals: Number = 0  # assignments since the power loss; 0: nobody has issued permits in a phase of it yet

    def encode(self) -> str:
        """The register as JSON text."""
        return msgspec.json.encode(self, order="sorted").decode()


def parse_register(text: str) -> RecoveryRegister:
    """Parse a register; an empty text means that nothing was decided yet. Raises RegisterError."""
    if not text:
        return RecoveryRegister()
    try:
        found = msgspec.json.decode(text, type=RecoveryRegister)
    except msgspec.ValidationError as error:
        cause, _, place = str(error).partition(" - at `$")
        raise RegisterError(f"{place.rstrip('`').lstrip('.') or 'register'}: {cause}") from None
    except (msgspec.DecodeError, RecursionError) as error:
        raise RegisterError(f"register: not JSON: {error}") from None
    if found.recovery != VERSION:
        raise RegisterError(f"recovery: {found.recovery}, and this program knows {VERSION}")
    return found


@dataclass(frozen=True, slots=True)
class PermitAssignment:
    """The members among which a register divides permits and scorers: its `givers`, `cut` and `deals`."""

    givers: tuple[str, ...]
    cut: int
    deals: int
