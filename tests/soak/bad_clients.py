"""Unsound clients and crowds of the soak, from their time in the plan until SIGTERM, and their check."""

import socket

from support.pipelining_client import MAX_OPEN, PipeliningClient
from support.unsound_clients import UnsoundClient, request

HALF_REQUEST_BYTES = 5_000
MAX_PIPELINED = 3_000  # requests of one client
# Kinds whose first requests are sound by themselves, and are opened.
OPENED = {
    "the id of an open request",
    "two requests under one number",
    "hundreds at once",
    "hundreds taken back at once",
}


class BadClients:
    """The unsound clients and the idle crowd of one run; `pump` it with the other peers."""

    def __init__(self, address, unsound, floods, crowd):
        self.address = address
        self.unsound = [UnsoundClient(address, kind) for kind in unsound]
        self.floods = [
            PipeliningClient(address, 200, repeats=True, max_requests=MAX_PIPELINED) for _ in range(floods)
        ]
        self.crowd = [self._idle(number) for number in range(crowd)]

    def _idle(self, number):
        """A connection that says nothing, or stops half way through a large request."""
        sock = socket.create_connection(self.address)
        if number % 2:
            sock.sendall(request(body=b"x" * 2 * HALF_REQUEST_BYTES)[:HALF_REQUEST_BYTES])
        return sock

    def pump(self):
        for client in [*self.unsound, *self.floods]:
            client.pump()

    def faults(self):
        """What was served that must not be, and what got no reaction in time."""
        found = [f"unsound: {fault}" for client in self.unsound for fault in client.faults]
        past = sum(len(client.served_past_limit) for client in self.floods)
        return found + ([f"unsound: {past} past the limit were served"] if past else [])

    def requests_between(self, from_s, until_s):
        """How many of their requests may count as arrived for the ration of load orders."""
        rounds = [at_s for client in self.unsound if client.kind in OPENED for at_s in client.began_s]
        rounds += [client.began_s for client in self.floods]
        return MAX_OPEN * sum(from_s < at_s <= until_s for at_s in rounds)

    def close(self):
        for client in self.unsound:
            client.close()
        for client in self.floods:
            client.sock.close()
        for sock in self.crowd:
            sock.close()
