"""The interface of components that are notified of attempts and load orders."""

from typing import Protocol

from fawnwharf import interface as io
from fawnwharf.net.scorer_streams import Attempt, LoadOrder


class RequestObserver(Protocol):
    """A component that is notified of each attempt and load order, and of how it ends."""

    def sent(self, attempt: Attempt) -> None:
        """An attempt is about to be sent."""

    def ended(self, attempt: Attempt, result: io.AttemptResult, warmth: io.Warmth) -> None:
        """An attempt has ended."""

    def ordered(self, order: LoadOrder) -> None:
        """A load order is about to be sent."""

    def order_ended(self, order: LoadOrder, result: io.AttemptResult, copies: int) -> None:
        """A load order has ended; `copies` is the number that the scorer reported, 0 without an answer."""
