"""Actions of permit issuing, for the owner of the logs, the decision module and recovery admission."""

from msgspec import Struct

from fawnwharf import interface as io
from fawnwharf.recovery_service.permit_messages import PermitMessage


class SendPermitMessage(Struct, frozen=True):
    """Send this to these members, or to all that listen where none is named."""

    to: tuple[str, ...]
    message: PermitMessage


class LoadOrder(Struct, frozen=True):
    """An event for the decision module, or a `Hold` of no copies: a query to the scorer."""

    event: io.PrefetchRequested | io.OrderCopies


class SlowStartPermit(Struct, frozen=True):
    """For a call that waits in admission: 0 lets it go now, else none is free for so many milliseconds."""

    key: str
    wait_ms: float


class CopyAvailable(Struct, frozen=True):
    """A copy of this function exists, as far as is known here: calls that wait for it may go."""

    function: str


Action = SendPermitMessage | LoadOrder | SlowStartPermit | CopyAvailable
