"""The recovery register in the consensus log: phase, budget share and permit issuers. Pure."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fawnwharf.consensus.messages import MAX_VOTERS, VoterIdentity

VERSION = 1
MAX_PERMIT_ISSUERS = 64  # replicas that act as load and slow start coordinators

Number = Annotated[int, Meta(ge=0, lt=2**53)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]


class RecoveryPhase(IntEnum):
    """The phases of a recovery in their order; the values are stored in the register."""

    LISTENING = 0
    RETRIES = 1
    PRIORITY_CALLS = 2
    ALL_CALLS = 3
    COPY_REFRESH = 4
    NORMAL = 5

    @property
    def label(self) -> str:
        """The phase's name in log lines and in the status that members exchange; it must not change."""
        return _PHASE_LABELS[self]


_PHASE_LABELS = ("listening", "repeats", "worth", "rest", "renewal", "spill")


class RegisterError(ValueError):
    """The text is not a valid register of this version; the message is one line, 'key: cause'."""


class RecoveryRegister(Struct, frozen=True):
    """The register's value; the register with the largest number is the last one.

    The field names are stored and sent, so they must not change.
    """

    recovery: int = VERSION  # version of the format
    number: Number = 0
    cut: Number = 0  # number of power losses of the fleet
    stage: Annotated[int, Meta(ge=0, le=5)] = int(RecoveryPhase.NORMAL)  # the phase
    part: Annotated[float, Meta(gt=0.0, le=1.0)] = 1.0  # share of the fleet's budgets
    fronts: Number = 0  # number of front ends that were heard
    # Boot marks by voter. A recovery starts when a majority of the voters has other boots.
    boots: Annotated[
        dict[VoterIdentity, Annotated[str, Meta(max_length=64)]], Meta(max_length=MAX_VOTERS)
    ] = {}
    why: Annotated[str, Meta(max_length=200)] = ""  # reason of the last change, for operators
    # Replicas that issue permits. If there are none, each front end determines the issuers from the members
    # that it hears, as with registers of earlier versions.
    givers: Annotated[tuple[Name, ...], Meta(max_length=MAX_PERMIT_ISSUERS)] = ()
    # Number of permit assignments since the power loss; 0: no phase since then has allowed permits.
    deals: Number = 0

    def encode(self) -> str:
        """The register as JSON text."""
        return msgspec.json.encode(self, order="sorted").decode()


def parse_register(text: str) -> RecoveryRegister:
    """Parse a register; an empty text means that none was decided yet. Raises RegisterError."""
    if not text:
        return RecoveryRegister()
    try:
        register = msgspec.json.decode(text, type=RecoveryRegister)
    except msgspec.ValidationError as error:
        cause, _, path = str(error).partition(" - at `$")
        raise RegisterError(f"{path.rstrip('`').lstrip('.') or 'register'}: {cause}") from None
    except (msgspec.DecodeError, RecursionError) as error:
        raise RegisterError(f"register: not JSON: {error}") from None
    if register.recovery != VERSION:
        raise RegisterError(f"recovery: version {register.recovery} is not supported, only version {VERSION}")
    return register


@dataclass(frozen=True, slots=True)
class PermitAssignment:
    """The members that issue permits according to a register; the fields are those of the register."""

    givers: tuple[str, ...]  # the permit issuers
    cut: int  # number of the power loss
    deals: int  # number of the assignment since the power loss
