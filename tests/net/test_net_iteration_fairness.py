"""What one client, or a crowd of them, may cost a turn of the loop, and what the module never hears of."""

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
    return b"".join(handle(n) + withdraw(n) for n in range(1, count + 1))


class Case(unittest.TestCase):
    def rig(self, *peers, **more):
        rig = Rig(*peers, **more)
        self.addCleanup(rig.close)
        self.heard = []  # by the module, batch by batch
        decide = rig.front.router.handle

        def handle(now_ms, events):
            self.heard.append(list(events))
            return decide(now_ms, events)

        rig.front.router.handle = handle
        return rig

    def told(self, *kinds):
        return [event for batch in self.heard for event in batch if isinstance(event, kinds)]


class Pairs(Case):
    def test_a_call_withdrawn_in_the_read_in_which_it_came_is_unknown_to_the_module(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        client.sock.sendall(pairs(60))
        rig.settle(client)
        self.assertEqual(self.told(io.RequestArrived, io.RequestCancelled), [])
        self.assertEqual((len(rig.front.router.arrivals_ms), rig.front.requests.open), (0, {}))
        self.assertEqual([kind for seqid, kind, _ in client.answers if seqid < 1000], [])

    def test_pairs_that_are_cut_by_a_read_cost_one_call_a_read_at_the_most(self):
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
        self.assertEqual(len(self.told(io.RequestArrived)), len(self.told(io.RequestCancelled)))
        self.assertEqual(rig.front.requests.open, {})

    def test_pairs_spread_over_many_sockets_are_unknown_to_the_module_too(self):
        rig = self.rig(ScorerPeer())
        crowd = [rig.client() for _ in range(40)]
        rig.settle(crowd[0])
        for client in crowd:
            client.sock.sendall(pairs(5))
        for client in crowd:
            rig.settle(client)
        self.assertEqual(self.told(io.RequestArrived, io.RequestCancelled), [])

    def test_a_withdrawal_in_a_later_turn_is_told(self):
        rig = self.rig(ScorerPeer())
        client = rig.client()
        last = withdraw(1)
        client.sock.sendall(handle(1) + last[:10])
        rig.until(lambda: self.told(io.RequestArrived), "the call is heard of")
        client.sock.sendall(last[10:])
        rig.until(lambda: self.told(io.RequestCancelled), "and that it was withdrawn")
        self.assertEqual(rig.front.requests.open, {})

    def test_withdrawals_of_numbers_that_are_not_open_touch_nothing(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        bad, good = rig.client(), rig.client()
        seqid = good.call(body=b"kept")
        rig.until(lambda: scorer.runs, "it runs")
        bad.sock.sendall(b"".join(withdraw(n) for n in (seqid, 7, 7, 2**31 - 1)) + pairs(3) + withdraw(2) * 3)
        rig.settle(bad)
        scorer.answer(scorer.runs[0], body=b"answer")
        rig.until(lambda: good.answers, "the good client's answer comes")
        self.assertEqual(len(self.told(io.RequestArrived)), 1)
        self.assertEqual(self.told(io.RequestCancelled), [])

    def test_what_is_left_keeps_its_order(self):
        told = []
        turning = event_loop.EventLoop(lambda now_ms, events: told.extend(events), mock.Mock())
        self.addCleanup(turning.close)
        first, out, last = io.TimerDue(1), io.TimerDue(2), io.TimerDue(3)
        tickets = [turning.enqueue(event) for event in (first, out, last)]
        turning.discard(tickets[1])
        turning.run_iteration(0.0)
        self.assertEqual(told, [first, last])


class FairTurns(Case):
    def test_one_client_has_no_more_than_its_bytes_read_in_a_turn_and_loses_none(self):
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
            rig.until(lambda: len(client.answers) == count, "each status is answered")
        self.assertLessEqual(max(sizes), 16 * 1024)
        self.assertEqual([seqid for seqid, _, _ in client.answers], list(range(1, count + 1)))

    def test_a_crowd_is_taken_in_batches_and_all_of_it_is(self):
        rig = self.rig(ScorerPeer())
        crowd = [rig.client() for _ in range(12)]
        rig.settle(crowd[0])
        for client in crowd:
            client.sock.sendall(b"".join(handle(n) for n in range(1, 33)))
        rig.until(lambda: len(self.told(io.RequestArrived)) == 12 * 32, "all are heard of")
        # The last client that is read may bring its 32 on top.
        self.assertLess(max(map(len, self.heard)), event_loop.MAX_EVENTS + 40)

    def test_who_was_left_behind_comes_first_in_the_next_turn(self):
        rig = self.rig(ScorerPeer())
        crowd = [rig.client() for _ in range(5)]
        for client in crowd:
            rig.settle(client)
        self.heard.clear()
        number = 0
        with mock.patch.object(event_loop, "MAX_EVENTS", 1):
            for _ in range(2 * len(crowd)):
                for client in crowd:  # each has more to ask at all times
                    number += 1
                    client.call(seqid=number, call=f"{number:016x}")
                rig.front.loop.run_iteration(0.0)
        keys = [event.request for event in self.told(io.RequestArrived)]
        owners = {
            key: n for n, owner in enumerate(rig.front.client_port.clients) for key in owner.open.values()
        }
        self.assertEqual({owners[key] for key in keys}, set(range(len(crowd))))

    def test_changes_of_the_list_that_come_together_are_told_as_one(self):
        peers = [ScorerPeer(f"s-{n}") for n in range(4)]
        rig = self.rig(*peers)
        rig.until(lambda: rig.front.router.ready, "the start is told")
        lines = []
        for seq in range(2, 202):
            peer = peers[seq % 3]
            phase = "terminating" if seq > 100 else "in_service"
            members = [peer.member(phase)]
            lines.append(json.dumps({"seq": seq, "fleet": {"complete": False, "members": members}}).encode())
        rig.log.links[0].sock.sendall(b"\n".join(lines) + b"\n")
        rig.until(lambda: rig.front.change_log.seq == 201, "all have come")
        self.assertEqual([len(event.entries) for event in self.told(io.RosterChanged)], [200])
        self.assertEqual(len(rig.front.router.ready), 1)

    def test_a_whole_list_is_told_by_itself(self):
        peers = [ScorerPeer(f"s-{n}") for n in range(3)]
        rig = self.rig(*peers)
        rig.until(lambda: rig.front.router.ready, "the start is told")
        some, whole = [peers[0].member("terminating")], [peers[1].member()]
        for seq, members, complete in ((2, some, False), (3, whole, True), (4, some, False)):
            rig.log.say({"seq": seq, "fleet": {"complete": complete, "members": members}})
        rig.until(lambda: rig.front.change_log.seq == 4, "all have come")
        told = self.told(io.RosterChanged)
        self.assertEqual([(len(e.entries), e.complete) for e in told], [(1, False), (2, True)])
        self.assertEqual([w.id for w in rig.front.router.ready], [scorer_number("s-1")])


if __name__ == "__main__":
    unittest.main()
