"""What a subsystem implements that uses the zones' logs and the consensus log."""

from typing import Any, Protocol


class LogClient(Protocol):
    """Another subsystem that uses these logs and the consensus log. None of its methods may raise."""

    def on_messages(self, sender: str, words: tuple[Any, ...], standing: Any) -> None:
        """Take messages of another member's client.

        `standing`, where it is there, is that client's status.
        """

    def on_register_decided(self, text: str) -> None:
        """Take a register of its kind that the consensus log decided."""

    def on_role_changed(self) -> None:
        """Something was carried out: the voter may have begun or ceased to lead."""

    def on_membership_changed(self) -> None:
        """There is a later list of members."""
