"""What is to be done for loaders and wardens by whoever owns the logs, the module and the door."""

from msgspec import Struct

from fawnwharf import interface as io
from fawnwharf.recovery_service.permit_messages import PermitMessage


class SendPermitMessage(Struct, frozen=True):
    """Say this to these members, to all that follow where none is named."""

    to: tuple[str, ...]
    word: PermitMessage


class LoadOrder(Struct, frozen=True):
    """An event for the module; a `Hold` of no copies is a question for the table."""

    what: io.PrefetchRequested | io.OrderCopies


class SlowStartPermit(Struct, frozen=True):
    """For a call that waits at the door: 0: it goes now, or not at all by this; else not before."""

    key: str
    free_ms: float


class CopyAvailable(Struct, frozen=True):
    """A copy of this function stands, as far as is known here: calls that wait for it may go."""

    row: str


Action = SendPermitMessage | LoadOrder | SlowStartPermit | CopyAvailable
