"""The interface of subsystems that communicate by the member logs and the consensus log."""

from typing import Any, Protocol


class LogClient(Protocol):
    """A subsystem that uses these logs; its methods must not raise."""

    def on_messages(self, sender: str, messages: tuple[Any, ...], status: Any) -> None:
        """Receive messages that the same log client sent at another member.

        `status` is the status of that client, None if the line has none.
        """

    def on_register_decided(self, text: str) -> None:
        """Receive a register of this client's kind that the consensus log has decided."""

    def on_role_changed(self) -> None:
        """Check the voter's role: effects were carried out, so it may have become leader or stepped down."""

    def on_membership_changed(self) -> None:
        """Use the new membership: a later membership file was loaded."""
