"""Shared base of the client connection tests: a rig that is closed at the end, and the router's events."""

import struct
import unittest

from peers import Rig, handle_frame

from fawnwharf import interface as io
from fawnwharf.net import scorer_frames, thrift

CALL = {"op": "view", "ttl": "8000", "org": "acme", "row": "7f3a9c21e0b4d655"}


def call_frame(seqid, **fields):
    """Return a complete request message whose id is its sequence number."""
    return handle_frame(seqid, CALL | {"call": f"{seqid:016x}"} | fields)


def withdrawal(seqid, own_number):
    """The withdrawal of a request, as a message with a number of its own."""
    payload = struct.pack(">bhib", thrift.I32, 1, seqid, 0)
    return thrift._frame(thrift.ONEWAY, b"withdraw", own_number, payload)


class Case(unittest.TestCase):
    """A test case for client connections that records the events passed to the router."""

    def rig(self, *peers, **options):
        """Return a front end in this thread; `self.batches` has the events that its router receives."""
        rig = Rig(*peers, **options)
        self.addCleanup(rig.close)
        self.batches = []
        decide = rig.front.router.handle

        def handle(now_ms, events):
            self.batches.append(list(events))
            return decide(now_ms, events)

        rig.front.router.handle = handle
        return rig

    def events_of(self, *kinds):
        """Return the events of these kinds that the router received, in order."""
        return [event for batch in self.batches for event in batch if isinstance(event, kinds)]

    def open_request(self, rig, client, **fields):
        """Send a request, wait until it is open at the front end, and return its key."""
        before = set(rig.front.requests.open)
        client.call(**fields)
        rig.until(lambda: set(rig.front.requests.open) - before, "the request is open")
        [key] = set(rig.front.requests.open) - before
        return key

    def server_side(self, rig, client):
        """Return the front end's side of a client's connection; None if there is none."""
        name = client.sock.getsockname()
        found = [c for c in rig.front.client_port.clients if c.connection._sock.getpeername() == name]
        return found[0] if found else None


def wait(rig, ms):
    """Run the loop for this many milliseconds, measured by its own timer wheel."""
    elapsed = []
    rig.front.loop.timers.after(ms, lambda: elapsed.append(True))
    rig.until(lambda: elapsed, "the time has passed")


def abandon_frames(scorer):
    """Return the frames with which the front end cancelled attempts at this scorer."""
    return scorer.of(scorer_frames.ABANDON)


def arrived_requests(case):
    """Return the arrival events that the router received."""
    return case.events_of(io.RequestArrived)


def status_frames(size):
    """Return status calls of at least this many bytes together."""
    frame = thrift._frame(thrift.CALL, b"status", 7, b"\x02\x00\x01\x01\x00")
    return frame * (size // len(frame) + 1)
