"""The recovery register in the consensus log: phase, budgets, and who hands them out. Pure."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fawnwharf.consensus.messages import MAX_VOTERS, VoterIdentity

VERSION = 1
MAX_PERMIT_ISSUERS = 64  # loaders and wardens of the fleet; others of its keepers are none

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
    """Not a register of this version; the text is 'key: cause' in one line."""


class RecoveryRegister(Struct, frozen=True):
    """The register's value. A larger number is later; `cut` counts power losses of the fleet."""

    recovery: int = VERSION
    number: Number = 0
    cut: Number = 0
    stage: Annotated[int, Meta(ge=0, le=5)] = int(RecoveryPhase.NORMAL)
    part: Annotated[float, Meta(gt=0.0, le=1.0)] = 1.0  # of the fleet's budgets
    fronts: Number = 0  # front ends that were heard
    boots: Annotated[
        dict[VoterIdentity, Annotated[str, Meta(max_length=64)]], Meta(max_length=MAX_VOTERS)
    ] = {}
    why: Annotated[str, Meta(max_length=200)] = ""  # for people
    # Keepers among which seats and wards are dealt; none: by what each hears, as texts of before.
    givers: Annotated[tuple[Name, ...], Meta(max_length=MAX_PERMIT_ISSUERS)] = ()
    deals: Number = 0  # of the cut, from `worth` on; 0: nobody has given anything by a stage of it

    def encode(self) -> str:
        """The register as JSON text."""
        return msgspec.json.encode(self, order="sorted").decode()


def parse_register(text: str) -> RecoveryRegister:
    """Parse a register; an empty text stands for no decision yet. Raises RegisterError."""
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
    """Among whom permits and scorers are divided by a register: its `givers`, `cut` and `deals`."""

    givers: tuple[str, ...]
    cut: int
    deals: int
