"""Client connections, tested with real sockets on loopback; waits end by events, not by sleeps."""

import gc
import unittest
import weakref
from pathlib import Path
from unittest import mock

from peers import Rig, ScorerPeer, handle_frame

from fawnwharf.net import (
    client_timeouts,
    clients,
    descriptor_shares,
)

ROOT = Path(__file__).parents[2]


class Case(unittest.TestCase):
    def rig(self, *peers, **options):
        rig = Rig(*peers, **options)
        self.addCleanup(rig.close)
        return rig


class Clients(Case):
    def test_a_request_that_no_scorer_would_accept_gets_an_exception(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        client.call(op="unheard", seqid=1)
        client.call(row="short", seqid=2)
        client.call(body=b"x" * 17_000, seqid=3)
        client.sock.sendall(handle_frame(4, {}, b"x" * 100_000))
        client.call(org="nobody", seqid=6)
        client.call(ttl="9999999", seqid=7)
        client.call(seqid=8)
        rig.until(lambda: len(client.answers) >= 6 and rig.front.requests.open, "all messages are read")
        self.assertEqual(client.kinds(), dict.fromkeys((1, 2, 3, 4, 6, 7), "exception"))
        self.assertEqual(len(rig.front.requests.open), 1)

    def test_bytes_without_a_sequence_number_end_only_that_connection(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        bad, good = rig.client(), rig.client()
        good.call()
        bad.sock.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        rig.until(lambda: bad.ended and scorer.runs, "the bad connection ends and the good request runs")
        self.assertFalse(good.ended)

    def test_an_ended_connection_is_freed_without_a_garbage_collection(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        rig.settle(client)
        [server_side] = rig.front.client_port.clients
        connection = weakref.ref(server_side.connection)
        gc.disable()
        self.addCleanup(gc.enable)
        del server_side
        client.sock.close()
        client.ended = True
        rig.until(lambda: not rig.front.client_port.clients, "the connection ends")
        self.assertIsNone(connection())

    def test_an_error_in_a_handler_ends_only_that_connection(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        bad, good = rig.client(), rig.client()
        with mock.patch.object(clients.ClientConnection, "_handle_request", side_effect=KeyError("boom")):
            bad.call()
            rig.until(lambda: bad.ended, "the connection ends")
        good.call()
        rig.until(lambda: scorer.runs, "the other client's request runs")
        self.assertIn("boom", "".join(rig.lines))

    def test_a_33rd_open_request_ends_the_connection_and_all_have_failed(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        for _ in range(33):
            client.call()
        rig.until(lambda: client.ended, "the connection ends")
        self.assertEqual(client.kinds(), dict.fromkeys(range(1, 34), "broken"))
        self.assertEqual(len(client.answers), 33)
        self.assertEqual(len(rig.front.requests.open), 0)

    def test_a_reused_open_sequence_number_ends_the_connection(self):
        rig = self.rig(ScorerPeer(copies=None))
        client = rig.client()
        client.call(seqid=5)
        client.call(seqid=5)
        rig.until(lambda: client.ended, "the connection ends")
        self.assertEqual((client.kinds(), rig.front.requests.open), ({5: "broken"}, {}))

    def test_answers_queued_before_a_bad_message_reach_a_client_that_keeps_sending(self):
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

    def test_silent_connections_and_partial_messages_time_out_but_not_idle_connections(self):
        rig = self.rig(ScorerPeer())
        silent, partial, idle, late_partial = (rig.client() for _ in range(4))
        partial.sock.sendall(handle_frame(1, {})[:9])
        idle.status(1)
        late_partial.status(1)
        rig.until(lambda: idle.answers and late_partial.answers, "two are answered")
        late_partial.sock.sendall(handle_frame(2, {})[:9])
        with mock.patch.object(client_timeouts, "MESSAGE_TIMEOUT_MS", 0.0):
            rig.until(lambda: silent.ended and partial.ended and late_partial.ended, "three are closed")
        self.assertFalse(idle.ended)

    def test_a_first_request_that_has_arrived_is_read_however_many_connect_after_it(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer, limits={"sockets": 32})
        first = rig.client()
        first.call()
        others = [rig.client() for _ in range(40)]
        rig.until(lambda: scorer.runs, "the first request runs")
        scorer.answer(scorer.runs[0])
        rig.until(lambda: first.answers, "the first request is answered")
        last = rig.client()
        last.status()
        rig.until(lambda: last.answers, "the last client is answered in spite of the silent ones")
        self.assertGreater(sum(other.ended for other in others), 20)

    def test_a_client_that_does_not_read_is_paused_and_then_closed(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        rig.settle(client)
        [server_side] = rig.front.client_port.clients
        with mock.patch.object(clients, "MAX_UNSENT_BYTES", 8 * 1024 * 1024):
            server_side.connection.write(b"x" * 7_000_000)
            rig.front.loop.run_iteration(0)
            rig.front.loop.run_iteration(0)
            self.assertFalse(server_side.connection._reading)
        server_side.connection.write(b"x" * 9_000_000)
        rig.front.loop.run_iteration(0)
        self.assertTrue(server_side.connection.closed)

    def test_connections_keep_to_their_share_of_descriptors(self):
        rig = self.rig(ScorerPeer(copies=None), limits={"sockets": 32})
        first = rig.client()
        first.call()
        rig.until(lambda: rig.front.requests.open, "the first request is open")
        for _ in range(30):
            client = rig.client()
            client.status()
            rig.until(lambda client=client: client.answers, "each client is answered")
            self.assertLessEqual(len(rig.front.client_port.clients), 32 * descriptor_shares.CLIENT_SHARE)
        self.assertFalse(first.ended)

    def test_many_new_connections_do_not_each_cost_a_scan_of_all_clients(self):
        rig = self.rig(limits={"sockets": 32})
        port, capacity = rig.front.client_port, int(32 * descriptor_shares.CLIENT_SHARE)
        releaser = port._idle_releaser
        with (
            mock.patch("fawnwharf.net.idle_connections.SCAN_MS", 60_000.0),
            mock.patch.object(port, "run_maintenance"),
            mock.patch.object(releaser, "_by_idleness", wraps=releaser._by_idleness) as scans,
        ):
            peers = []
            for _ in range(2 * capacity - 2):
                peers.append(rig.client())
                rig.settle(peers[-1])
                # The connections released together are closed before the next client connects.
                rig.until(lambda: not any(client.connection.finishing for client in port.clients))
        self.assertEqual(scans.call_count, 1)
        ended = [peer.ended for peer in peers]
        self.assertEqual(ended, sorted(ended, reverse=True))  # those idle for longest were closed
