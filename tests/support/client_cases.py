"""What the tests of clients' connections share: a rig that closes itself, and views of what was told."""

import unittest

from peers import Rig, handle_frame

from fawnwharf import interface as io
from fawnwharf.net import scorer_frames, thrift

CALL = {"op": "view", "ttl": "8000", "org": "acme", "row": "7f3a9c21e0b4d655"}


def call_frame(seqid, **fields):
    """A whole request; its id is its sequence number."""
    return handle_frame(seqid, CALL | {"call": f"{seqid:016x}"} | fields)


class Case(unittest.TestCase):
    """A test of client connections, with the events that the decisions were handed."""

    def rig(self, *peers, **more):
        """A front end in this thread; `self.heard` has the batches that its module was given."""
        rig = Rig(*peers, **more)
        self.addCleanup(rig.close)
        self.heard = []
        decide = rig.front.router.handle

        def handle(now_ms, events):
            self.heard.append(list(events))
            return decide(now_ms, events)

        rig.front.router.handle = handle
        return rig

    def told(self, *kinds):
        """Events of these kinds that the decisions were handed, in order."""
        return [event for batch in self.heard for event in batch if isinstance(event, kinds)]

    def asked(self, rig, client, **fields):
        """The client asks, and the request is open at the front end; its key."""
        before = set(rig.front.requests.open)
        client.call(**fields)
        rig.until(lambda: set(rig.front.requests.open) - before, "the request is open")
        [key] = set(rig.front.requests.open) - before
        return key

    def served(self, rig, client):
        """The front end's side of a client's connection."""
        name = client.sock.getsockname()
        found = [c for c in rig.front.client_port.clients if c.connection._sock.getpeername() == name]
        return found[0] if found else None


def wait(rig, ms):
    """Let the loop run for a while, by a timer of its own wheel."""
    over = []
    rig.front.loop.timers.after(ms, lambda: over.append(True))
    rig.until(lambda: over, "the time is over")


def given_up(scorer):
    """Frames by which the front end gave up attempts at this scorer."""
    return scorer.of(scorer_frames.ABANDON)


def arrivals(case):
    """Requests whose arrival the decisions were told."""
    return case.told(io.RequestArrived)


def junk_statuses(size):
    """Status calls of so many bytes at least."""
    one = thrift._frame(thrift.CALL, b"status", 7, b"\x02\x00\x01\x01\x00")
    return one * (size // len(one) + 1)
