"""Clients' connections, with real sockets on loopback and waits on events only."""

import gc
import unittest
import weakref
from pathlib import Path
from unittest import mock

from peers import Rig, ScorerPeer, handle_frame

from fawnwharf.net import (
    clients,
    descriptor_shares,
)

ROOT = Path(__file__).parents[2]


class Case(unittest.TestCase):
    def rig(self, *peers, **more):
        rig = Rig(*peers, **more)
        self.addCleanup(rig.close)
        return rig


class Clients(Case):
    def test_what_no_scorer_could_be_passed_gets_an_exception(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        client.call(op="unheard", seqid=1)
        client.call(row="short", seqid=2)
        client.call(body=b"x" * 17_000, seqid=3)
        client.sock.sendall(handle_frame(4, {}, b"x" * 100_000))
        client.call(org="nobody", seqid=6)
        client.call(ttl="9999999", seqid=7)
        client.call(seqid=5)
        rig.until(lambda: len(client.answers) >= 6 and rig.front.requests.open, "all are read")
        self.assertEqual(client.kinds(), dict.fromkeys((1, 2, 3, 4, 6, 7), "exception"))
        self.assertEqual(len(rig.front.requests.open), 1)

    def test_bytes_without_a_number_end_the_connection_only(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        bad, good = rig.client(), rig.client()
        good.call()
        bad.sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        rig.until(lambda: bad.ended and scorer.runs, "one ends and one runs")
        self.assertFalse(good.ended)

    def test_an_ended_connection_is_freed_at_once_without_a_collection(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        rig.settle(client)
        [server_side] = rig.front.client_port.clients
        gone = weakref.ref(server_side.connection)
        gc.disable()
        self.addCleanup(gc.enable)
        del server_side
        client.sock.close()
        client.ended = True
        rig.until(lambda: not rig.front.client_port.clients, "it ends")
        self.assertIsNone(gone())

    def test_a_fault_in_a_handler_costs_the_connection_only(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        bad, good = rig.client(), rig.client()
        with mock.patch.object(clients.ClientConnection, "_handle_request", side_effect=KeyError("boom")):
            bad.call()
            rig.until(lambda: bad.ended, "the connection ends")
        good.call()
        rig.until(lambda: scorer.runs, "the other one's request runs")
        self.assertIn("boom", "".join(rig.lines))

    def test_a_33rd_open_request_gets_an_exception(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        for _ in range(33):
            client.call()
        rig.until(lambda: client.answers, "one is answered")
        self.assertEqual(client.kinds(), {33: "exception"})
        self.assertEqual(len(rig.front.requests.open), 32)

    def test_an_open_number_used_again_ends_the_connection(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        client.call(seqid=5)
        client.call(seqid=5)
        rig.until(lambda: client.ended, "the connection ends")
        self.assertEqual((client.kinds(), rig.front.requests.open), ({5: "broken"}, {}))

    def test_answers_queued_before_a_bad_message_reach_a_client_that_goes_on_sending(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        client.status(1)
        client.call(op="unheard", seqid=2)
        client.call(seqid=3)
        client.sock.setblocking(True)
        client.sock.sendall(b"GET / HTTP/1.1\r\n" + b"x" * 300_000)
        client.sock.setblocking(False)
        rig.until(lambda: client.ended, "the connection ends")
        self.assertEqual(client.kinds(), {1: "answer", 2: "exception", 3: "broken"})

    def test_one_that_says_nothing_or_half_a_message_is_closed_and_one_that_asked_is_not(self):
        rig = self.rig(ScorerPeer())
        silent, half, asked, late = (rig.client() for _ in range(4))
        half.sock.sendall(handle_frame(1, {})[:9])
        asked.status(1)
        late.status(1)
        rig.until(lambda: asked.answers and late.answers, "two are answered")
        late.sock.sendall(handle_frame(2, {})[:9])
        with mock.patch.object(clients, "MESSAGE_TIMEOUT_MS", 0.0):
            rig.until(lambda: silent.ended and half.ended and late.ended, "three are closed")
        self.assertFalse(asked.ended)

    def test_a_first_request_that_has_arrived_is_read_however_many_connect_after_it(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer, limits={"sockets": 32})
        first = rig.client()
        first.call()
        others = [rig.client() for _ in range(40)]
        rig.until(lambda: scorer.runs, "it runs")
        scorer.answer(scorer.runs[0])
        rig.until(lambda: first.answers, "it is answered")
        last = rig.client()
        last.status()
        rig.until(lambda: last.answers, "a late one gets in past the silent ones")
        self.assertGreater(sum(other.ended for other in others), 20)

    def test_a_client_that_does_not_read_is_not_read_and_then_dropped(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        rig.settle(client)
        [server_side] = rig.front.client_port.clients
        with mock.patch.object(clients, "MAX_UNSENT_BYTES", 8 * 1024 * 1024):
            server_side._write(b"x" * 7_000_000)
            rig.front.loop.run_iteration(0)
            rig.front.loop.run_iteration(0)
            self.assertFalse(server_side.connection._reading)
        server_side._write(b"x" * 9_000_000)
        rig.front.loop.run_iteration(0)
        self.assertTrue(server_side.connection.closed)

    def test_connections_keep_to_their_share_of_descriptors(self):
        rig = self.rig(ScorerPeer(copies=None), limits={"sockets": 32})
        first = rig.client()
        first.call()
        rig.until(lambda: rig.front.requests.open, "the first one asks")
        for _ in range(30):
            client = rig.client()
            client.status()
            rig.until(lambda client=client: client.answers, "each is answered")
            self.assertLessEqual(len(rig.front.client_port.clients), 32 * descriptor_shares.CLIENT_SHARE)
        self.assertFalse(first.ended)

    def test_a_crowd_that_connects_does_not_cost_a_look_over_all_clients_each(self):
        rig = self.rig(limits={"sockets": 32})
        port, room = rig.front.client_port, int(32 * descriptor_shares.CLIENT_SHARE)
        maker = port._idle_releaser
        with (
            mock.patch("fawnwharf.net.idle_connections.SCAN_MS", 60_000.0),
            mock.patch.object(port, "run_maintenance"),
            mock.patch.object(maker, "_by_idleness", wraps=maker._by_idleness) as looks,
        ):
            peers = []
            for _ in range(2 * room - 2):
                peers.append(rig.client())
                rig.settle(peers[-1])
                # All that were released together are gone before the next one comes, on a busy machine too.
                rig.until(lambda: not any(client.connection.finishing for client in port.clients))
        self.assertEqual(looks.call_count, 1)
        ended = [peer.ended for peer in peers]
        self.assertEqual(ended, sorted(ended, reverse=True))  # the idlest went
