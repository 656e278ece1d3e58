"""Continues the client connections that the predecessor hands off, with the calls open on them."""

import socket
from collections.abc import Callable

from fawnwharf.admin import handoff_messages as messages
from fawnwharf.admin.connection_assembler import ConnectionAssembler
from fawnwharf.net.client_port import ClientPort
from fawnwharf.net.clients import ClientConnection


class ConnectionReceiver:
    """Owns the connections whose calls the predecessor still runs."""

    def __init__(self, port: ClientPort, send: Callable[[messages.Message], None]) -> None:
        """`send` sends a message to the predecessor."""
        self._port = port
        self._send = send
        self._assembler = ConnectionAssembler()
        self._clients: dict[int, ClientConnection] = {}  # by the predecessor's connection number

    def on_message(self, message: messages.Message, carried: socket.socket | None) -> None:
        """Handle a message of the predecessor that concerns a connection; closes what others carry."""
        match message:
            case messages.ConnectionHandoff() if carried is not None:
                self._take_over(message, carried)
            case messages.ForwardedAnswer():
                data = self._assembler.take_data()
                if (client := self._clients.get(message.number)) is not None:
                    client.answer_remote(message.seqid, data)
            case _:
                self._assembler.add(message)
                if carried is not None:
                    carried.close()

    def _take_over(self, message: messages.ConnectionHandoff, sock: socket.socket) -> None:
        number, handed = self._assembler.take_connection(message, sock)

        def withdraw_remote(seqid: int) -> None:
            self._send(messages.ForwardedWithdrawal(number, seqid))

        client = self._port.take_over(handed, withdraw_remote)
        if client is not None and number:
            self._clients[number] = client

    def fail_remote_calls(self) -> None:
        """Fail the calls that the predecessor ran, because it has ended: they may have run."""
        clients = list(self._clients.values())
        self._clients.clear()
        for client in clients:
            client.fail_remote()
