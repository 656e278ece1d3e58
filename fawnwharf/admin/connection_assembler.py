"""Assembles a handed-off connection from the messages that describe it. No I/O."""

import socket

from fawnwharf.admin import handoff_messages as messages
from fawnwharf.net.connection_handoff import HandedOffConnection, ReceivedCall

NO_OPEN_CALLS = messages.OpenCalls(0, ())


class ConnectionAssembler:
    """Collects the messages that belong to the next ConnectionHandoff or ForwardedAnswer."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._waiting_calls: list[ReceivedCall] = []
        self._open_calls = NO_OPEN_CALLS

    def add(self, message: messages.Message) -> None:
        """Add a message that belongs to the next connection or answer; others are ignored."""
        match message:
            case messages.Chunk():
                self._data += message.data
            case messages.WaitingCall():
                call = ReceivedCall(message.seqid, message.fields, message.body, message.received_ms)
                self._waiting_calls.append(call)
            case messages.OpenCalls():
                self._open_calls = message

    def take_data(self) -> bytes:
        """Remove and return the data of the chunks."""
        data = bytes(self._data)
        self._data.clear()
        return data

    def take_connection(
        self, message: messages.ConnectionHandoff, sock: socket.socket
    ) -> tuple[int, HandedOffConnection]:
        """Remove what was collected for a connection; return its number and the connection.

        The number is 0 if no call is open on it.
        """
        waiting_calls, self._waiting_calls = self._waiting_calls, []
        open_calls, self._open_calls = self._open_calls, NO_OPEN_CALLS
        handed = HandedOffConnection(
            sock,
            message.partial,
            message.skip,
            message.has_sent,
            self.take_data(),
            message.empty_ms,
            tuple(waiting_calls),
            open_calls.seqids,
            message.highest_seqid or 0,
        )
        return open_calls.number, handed
