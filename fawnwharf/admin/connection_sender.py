"""Hands off client connections to a successor, and forwards the answers of the calls open on them."""

import itertools
import socket
from collections.abc import Iterable

from fawnwharf.admin import handoff_messages as messages
from fawnwharf.admin.connection_assembler import ConnectionAssembler
from fawnwharf.admin.handoff_channel import HandoffChannel, Outgoing
from fawnwharf.admin.predecessor_handoff import PredecessorHandoff
from fawnwharf.net.client_calls import RemoteCall, TableCall
from fawnwharf.net.client_port import ClientPort
from fawnwharf.net.clients import ClientConnection
from fawnwharf.net.connection_handoff import HandedOffConnection

MAX_HANDOFFS_PER_CALL = 256  # so that a call does not block the event loop for long


class ConnectionSender:
    """Owns the calls that this process still runs for connections that its successor has."""

    def __init__(self, port: ClientPort) -> None:
        self._port = port
        self._numbers = itertools.count(1)
        self._handed_off: dict[int, ClientConnection] = {}  # with open calls, by connection number

    @property
    def has_open_calls(self) -> bool:
        """Whether an answer is still to be forwarded."""
        return any(client.open for client in self._handed_off.values())

    def hand_off(self, channel: HandoffChannel, handoff: PredecessorHandoff) -> None:
        """Hand off the connections for which it is time, up to MAX_HANDOFFS_PER_CALL."""
        count = 0
        for client in list(self._port.clients):
            if channel.closed or count == MAX_HANDOFFS_PER_CALL:
                return
            if _may_hand_off(client, handoff):
                if not handoff.successor_accepts_open_calls:
                    client.reject_held()
                self._send(channel, client)
                count += 1

    def _send(self, channel: HandoffChannel, client: ClientConnection) -> None:
        """Hand off a connection with its calls; it is taken back if the channel ends before that."""
        handed = self._port.hand_off(client)
        for chunk in messages.chunks(handed.unwritten):
            channel.send(chunk)
        for call in handed.waiting_calls:
            channel.send(messages.WaitingCall(call.seqid, call.fields, call.body, call.received_ms))
        number = self._send_open_calls(channel, handed)
        if channel.closed:  # it ended while the parts were sent, before the connection was queued
            self._take_back(client, handed)
            return
        if number:
            self._handed_off[number] = client
            client.forward_answers(lambda seqid, data: _forward(channel, number, seqid, data))
        message = messages.ConnectionHandoff(
            handed.partial, handed.skip, handed.has_sent, handed.empty_ms, handed.highest_seqid
        )
        channel.send(message, handed.sock)

    def _send_open_calls(self, channel: HandoffChannel, handed: HandedOffConnection) -> int:
        """Send which calls are open on a connection; return the connection's number, 0 if there are none."""
        if not handed.remote_calls:
            return 0
        number = next(self._numbers)
        channel.send(messages.OpenCalls(number, handed.remote_calls))
        return number

    def withdraw(self, message: messages.ForwardedWithdrawal) -> None:
        """Withdraw a call whose client has withdrawn it at the successor."""
        if (client := self._handed_off.get(message.number)) is not None:
            client.withdraw(message.seqid)

    def take_back(self, unsent: Iterable[Outgoing]) -> None:
        """Take back the connections that the lost successor did not get, and write their answers.

        The other connections have ended with the successor: calls that are open on them are withdrawn.
        """
        assembler = ConnectionAssembler()
        returned: dict[int, ClientConnection] = {}
        for message, carried in unsent:
            match message:
                case messages.ConnectionHandoff() if carried is not None:
                    number, handed = assembler.take_connection(message, carried)
                    client = self._take_back(self._handed_off.pop(number, None), handed)
                    if client is not None:
                        returned[number] = client
                case messages.ForwardedAnswer():
                    data = assembler.take_data()
                    if message.number in returned:
                        returned[message.number].answer_remote(message.seqid, data)
                case _:
                    assembler.add(message)
                    _close(carried)
        for client in self._handed_off.values():
            client.withdraw_open()
        self._handed_off.clear()

    def _take_back(
        self, owner: ClientConnection | None, handed: HandedOffConnection
    ) -> ClientConnection | None:
        """Serve a connection again; `owner` still has its open calls, and is None if there are none."""
        if owner is None:
            return self._port.take_over(handed)
        client = self._port.take_over(handed, owner.withdraw)
        if client is not None:
            owner.forward_answers(client.answer_remote)
        return client


def _may_hand_off(client: ClientConnection, handoff: PredecessorHandoff) -> bool:
    connection = client.connection
    if connection.finishing or connection.closed:
        return False
    has_running = any(isinstance(call, TableCall | RemoteCall) for call in client.open.values())
    has_unwritten = bool(connection.unwritten_bytes)
    return handoff.may_hand_off(has_open_request=has_running, has_unwritten_response=has_unwritten)


def _forward(channel: HandoffChannel, number: int, seqid: int, data: bytes) -> None:
    for chunk in messages.chunks(data):
        channel.send(chunk)
    channel.send(messages.ForwardedAnswer(number, seqid))


def _close(carried: socket.socket | None) -> None:
    if carried is not None:
        carried.close()
