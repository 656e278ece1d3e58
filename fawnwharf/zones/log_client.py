"""The interface of subsystems that communicate through the member logs and the consensus log."""

from typing import Any, Protocol


class LogClient(Protocol):
    """A subsystem that uses these logs; none of its methods may raise."""

    def on_messages(self, sender: str, messages: tuple[Any, ...], status: Any) -> None:
        """Take messages of the same client at another member.

        `status` is that client's status, or None where the line has none.
        """

    def on_register_decided(self, text: str) -> None:
        """Take a register of this client's kind that the consensus log decided."""

    def on_role_changed(self) -> None:
        """Effects were carried out: the voter may have started or stopped to lead."""

    def on_membership_changed(self) -> None:
        """A later membership is in use."""
