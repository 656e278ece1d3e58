"""What a subsystem implements that uses the zones' logs and the consensus log."""

from typing import Any, Protocol


class LogClient(Protocol):
    """Another subsystem that uses these logs and the consensus log. None of its methods may raise."""

    def heard(self, sender: str, words: tuple[Any, ...], standing: Any) -> None:
        """Take messages of another member's client.

        `standing`, where it is there, is that client's status.
        """

    def decided(self, text: str) -> None:
        """Take a register of its kind that the consensus log decided."""

    def turned(self) -> None:
        """Something was carried out: the voter may have begun or ceased to lead."""

    def members_taken(self) -> None:
        """There is a later list of members."""
