"""Actions returned by permit issuing: messages to send, load orders, and results for recovery admission."""

from msgspec import Struct

from fawnwharf import interface as io
from fawnwharf.recovery_service.permit_messages import PermitMessage


class SendPermitMessage(Struct, frozen=True):
    """Send a message to the named members, or to all members if `to` is empty."""

    to: tuple[str, ...]
    message: PermitMessage


class LoadOrder(Struct, frozen=True):
    """An event for the decision module, or an `OrderCopies` of zero copies, which queries the scorer."""

    event: io.PrefetchRequested | io.OrderCopies


class SlowStartPermit(Struct, frozen=True):
    """The answer to a permit request of a call that waits in admission.

    A `wait_ms` of 0 grants the permit; otherwise no permit is free for that many milliseconds.
    """

    key: str
    wait_ms: float


class CopyAvailable(Struct, frozen=True):
    """A copy of this function is known to exist, so calls that wait for it may proceed."""

    function: str


Action = SendPermitMessage | LoadOrder | SlowStartPermit | CopyAvailable
