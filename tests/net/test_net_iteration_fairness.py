"""Limits on what clients may cost an iteration, and requests withdrawn before the router receives them."""

import json
import struct
import unittest
from unittest import mock

from peers import ROW, Rig, ScorerPeer, handle_frame

from fawnwharf import interface as io
from fawnwharf.net import clients, event_loop, thrift
from fawnwharf.net.front_end import scorer_number

CALL = {"op": "view", "ttl": "8000", "org": "acme", "row": ROW}


def handle(number):
    return handle_frame(number, CALL | {"call": f"{number:016x}"})


def withdraw(number):
    payload = struct.pack(">bhib", thrift.I32, 1, number, 0)
    return thrift._frame(thrift.ONEWAY, b"withdraw", 99, payload)


def pairs(count):
    """Return this many requests, each followed by its withdrawal."""
    return b"".join(handle(n) + withdraw(n) for n in range(1, count + 1))


class Case(unittest.TestCase):
    def rig(self, *peers, **options):
        rig = Rig(*peers, **options)
        self.addCleanup(rig.close)
        self.batches = []  # of events that the router received
        decide = rig.front.router.handle

        def handle(now_ms, events):
            self.batches.append(list(events))
            return decide(now_ms, events)

        rig.front.router.handle = handle
        return rig

    def events_of(self, *kinds):
        return [event for batch in self.batches for event in batch if isinstance(event, kinds)]


class WithdrawnRequests(Case):
    def test_the_router_never_sees_a_call_withdrawn_in_the_same_read(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        client.sock.sendall(pairs(60))
        rig.settle(client)
        self.assertEqual(self.events_of(io.RequestArrived, io.RequestCancelled), [])
        self.assertEqual((len(rig.front.router.arrivals_ms), rig.front.requests.open), (0, {}))
        self.assertEqual([kind for seqid, kind, _ in client.answers if seqid < 1000], [])

    def test_the_router_sees_at_most_one_withdrawn_call_per_read(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        data = pairs(400)
        client.sock.setblocking(True)
        client.sock.sendall(data)
        client.sock.setblocking(False)
        rig.settle(client)
        reads = -(-len(data) // clients.MAX_READ_BYTES)
        self.assertLess(reads, 10)
        self.assertLessEqual(len(rig.front.router.arrivals_ms), reads)
        self.assertEqual(len(self.events_of(io.RequestArrived)), len(self.events_of(io.RequestCancelled)))
        self.assertEqual(rig.front.requests.open, {})

    def test_the_router_never_sees_withdrawn_calls_of_many_connections(self):
        rig = self.rig(ScorerPeer())
        clients = [rig.client() for _ in range(40)]
        rig.settle(clients[0])
        for client in clients:
            client.sock.sendall(pairs(5))
        for client in clients:
            rig.settle(client)
        self.assertEqual(self.events_of(io.RequestArrived, io.RequestCancelled), [])

    def test_a_withdrawal_in_a_later_iteration_is_passed_to_the_router(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        last = withdraw(1)
        client.sock.sendall(handle(1) + last[:10])
        rig.until(lambda: self.events_of(io.RequestArrived), "the router receives the request")
        client.sock.sendall(last[10:])
        rig.until(lambda: self.events_of(io.RequestCancelled), "the router receives the withdrawal")
        self.assertEqual(rig.front.requests.open, {})

    def test_withdrawals_of_unknown_sequence_numbers_change_nothing(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        bad, good = rig.client(), rig.client()
        seqid = good.call(body=b"kept")
        rig.until(lambda: scorer.runs, "the good request runs")
        bad.sock.sendall(b"".join(withdraw(n) for n in (seqid, 7, 7, 2**31 - 1)) + pairs(3) + withdraw(2) * 3)
        rig.settle(bad)
        scorer.answer(scorer.runs[0], body=b"answer")
        rig.until(lambda: good.answers, "the good request is answered")
        self.assertEqual(len(self.events_of(io.RequestArrived)), 1)
        self.assertEqual(self.events_of(io.RequestCancelled), [])

    def test_the_remaining_events_keep_their_order_after_a_discard(self):
        received = []
        loop = event_loop.EventLoop(lambda now_ms, events: received.extend(events), mock.Mock())
        self.addCleanup(loop.close)
        first, discarded, last = io.TimerDue(1), io.TimerDue(2), io.TimerDue(3)
        numbers = [loop.enqueue(event) for event in (first, discarded, last)]
        loop.discard(numbers[1])
        loop.run_iteration(0.0)
        self.assertEqual(received, [first, last])


class FairIterations(Case):
    def test_a_bounded_number_of_bytes_is_read_from_a_client_per_iteration(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        count, sizes = 2_000, []
        read = clients.ClientConnection.on_data

        def on_data(client, data):
            sizes.append(len(data))
            read(client, data)

        with mock.patch.object(clients.ClientConnection, "on_data", on_data):
            client.sock.setblocking(True)
            for n in range(1, count + 1):
                client.status(n)
            client.sock.setblocking(False)
            rig.until(lambda: len(client.answers) == count, "each status call is answered")
        self.assertLessEqual(max(sizes), 16 * 1024)
        self.assertEqual([seqid for seqid, _, _ in client.answers], list(range(1, count + 1)))

    def test_many_clients_are_read_in_bounded_batches(self):
        rig = self.rig(ScorerPeer())
        clients = [rig.client() for _ in range(12)]
        rig.settle(clients[0])
        for client in clients:
            client.sock.sendall(b"".join(handle(n) for n in range(1, 33)))
        rig.until(lambda: len(self.events_of(io.RequestArrived)) == 12 * 32, "the router has all requests")
        # The last client that is read in an iteration may exceed the limit by its 32 requests.
        self.assertLess(max(map(len, self.batches)), event_loop.MAX_EVENTS + 40)

    def test_deferred_clients_are_read_first_in_the_next_iteration(self):
        rig = self.rig(ScorerPeer())
        clients = [rig.client() for _ in range(5)]
        for client in clients:
            rig.settle(client)
        self.batches.clear()
        number = 0
        with mock.patch.object(event_loop, "MAX_EVENTS", 1):
            for _ in range(2 * len(clients)):
                for client in clients:  # each client always has another request unread
                    number += 1
                    client.call(seqid=number, call=f"{number:016x}")
                rig.front.loop.run_iteration(0.0)
        keys = [event.request for event in self.events_of(io.RequestArrived)]
        owners = {
            call.key: n
            for n, owner in enumerate(rig.front.client_port.clients)
            for call in owner.open.values()
        }
        self.assertEqual({owners[key] for key in keys}, set(range(len(clients))))

    def test_roster_changes_that_arrive_together_are_merged(self):
        peers = [ScorerPeer(f"s-{n}") for n in range(4)]
        rig = self.rig(*peers)
        rig.until(lambda: rig.front.router.ready, "the router has the first roster")
        lines = []
        for seq in range(2, 202):
            peer = peers[seq % 3]
            phase = "terminating" if seq > 100 else "in_service"
            members = [peer.member(phase)]
            lines.append(json.dumps({"seq": seq, "fleet": {"complete": False, "members": members}}).encode())
        rig.log.links[0].sock.sendall(b"\n".join(lines) + b"\n")
        rig.until(lambda: rig.front.change_log.seq == 201, "all events are read")
        self.assertEqual([len(event.entries) for event in self.events_of(io.RosterChanged)], [200])
        self.assertEqual(len(rig.front.router.ready), 1)

    def test_a_complete_list_is_not_merged(self):
        peers = [ScorerPeer(f"s-{n}") for n in range(3)]
        rig = self.rig(*peers)
        rig.until(lambda: rig.front.router.ready, "the router has the first roster")
        change, complete_list = [peers[0].member("terminating")], [peers[1].member()]
        for seq, members, complete in ((2, change, False), (3, complete_list, True), (4, change, False)):
            rig.log.say({"seq": seq, "fleet": {"complete": complete, "members": members}})
        rig.until(lambda: rig.front.change_log.seq == 4, "all events are read")
        changes = self.events_of(io.RosterChanged)
        self.assertEqual([(len(e.entries), e.complete) for e in changes], [(1, False), (2, True)])
        self.assertEqual([scorer.id for scorer in rig.front.router.ready], [scorer_number("s-1")])


if __name__ == "__main__":
    unittest.main()
