"""Many messages on one connection, good and bad, cut anywhere: each request that was read whole is answered
once, whatever else goes wrong meanwhile."""

import random
import struct
import unittest

from peers import ScorerPeer, handle_frame
from support.client_cases import Case, call_frame

from fawnwharf.net import thrift

NO_NUMBER = b"\x00\x00\x00\x04GET "


def withdrawal(seqid):
    payload = struct.pack(">bhib", thrift.I32, 1, seqid, 0)
    return thrift._frame(thrift.ONEWAY, b"withdraw", 9_999, payload)


def bad_frame(seqid, chance):
    """A message that can be numbered but not served."""
    return chance.choice(
        [
            call_frame(seqid, op="unheard"),
            call_frame(seqid, row="short"),
            call_frame(seqid, ttl="never"),
            call_frame(seqid, org="nobody"),
            handle_frame(seqid, {}),
            handle_frame(seqid, {}, b"x" * 60_000),  # oversized: its rest is passed over
            handle_frame(seqid, {}, b"x" * 17_000),
            thrift._frame(thrift.CALL, b"nothing", seqid, b"\0"),
        ]
    )


class Shuffled(Case):
    def played(self, seed):
        """A stream of three kinds of messages, sent in pieces; the client, and the numbers of each kind."""
        chance = random.Random(seed)
        scorer = ScorerPeer(copies=32)
        rig = self.rig(scorer)
        client = rig.client()
        good, bad, withdrawn, data = [], [], [], bytearray()
        for seqid in range(1, 33):
            if chance.random() < 0.3:
                bad.append(seqid)
                data += bad_frame(seqid, chance)
                continue
            good.append(seqid)
            data += call_frame(seqid)
            if chance.random() < 0.2:
                withdrawn.append(seqid)
                data += withdrawal(seqid)
        while data:
            cut = chance.randrange(1, 20_000)
            client.sock.setblocking(True)
            client.sock.sendall(data[:cut])
            client.sock.setblocking(False)
            del data[:cut]
            rig.front.loop.run_iteration(0.0)
        return rig, scorer, client, good, bad, withdrawn

    def test_each_request_is_answered_once_whatever_lies_between(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                rig, scorer, client, good, bad, withdrawn = self.played(seed)
                owed = set(good) - set(withdrawn)
                answered = []

                def all_answered(owed=owed, bad=bad, client=client, scorer=scorer, answered=answered):
                    for run in scorer.runs[len(answered) :]:
                        answered.append(run)
                        scorer.answer(run)
                    return owed | set(bad) <= set(client.kinds())

                rig.until(all_answered, "all are answered")
                rig.settle(client)  # a second answer would come before this
                seqids = [seqid for seqid, _, _ in client.answers if seqid < 1_000]
                self.assertEqual(len(seqids), len(set(seqids)))
                kinds = client.kinds()
                self.assertEqual({kinds[seqid] for seqid in bad} | {"exception"}, {"exception"})
                self.assertEqual({kinds[seqid] for seqid in owed}, {"answer"})
                self.assertFalse(client.ended)

    def test_bytes_without_a_number_anywhere_leave_no_request_before_them_unanswered(self):
        for place in range(6):
            with self.subTest(place=place):
                rig = self.rig(ScorerPeer(copies=None))
                client = rig.client()
                frames = [call_frame(seqid) for seqid in range(1, 7)]
                client.sock.sendall(b"".join([*frames[:place], NO_NUMBER, *frames[place:]]))
                rig.until(lambda client=client: client.ended, "the connection ends")
                self.assertEqual(client.kinds(), dict.fromkeys(range(1, 7), "broken"))
                self.assertEqual(len(client.answers), 6)


class TroubleElsewhere(Case):
    def test_a_request_keeps_its_answer_while_all_else_fails(self):
        first, second = ScorerPeer("s-1"), ScorerPeer("s-2")
        rig = self.rig(first, second)
        good, bad, gone = rig.client(), rig.client(), rig.client()
        self.asked(rig, good)
        self.asked(rig, gone, call=f"{77:016x}")
        rig.until(lambda: first.runs or second.runs, "one of them runs")
        for link in rig.log.links:
            link.sock.close()
            link.ended = True
        rig.log.links.clear()
        bad.sock.sendall(call_frame(5) + NO_NUMBER)
        gone.sock.close()
        gone.ended = True
        ran = first if first.runs else second
        for link in ran.links:
            link.sock.close()
            link.ended = True
        ran.links.clear()
        ran.frames.clear()
        answered = []

        def is_answered():
            for peer in (first, second):
                for run in peer.runs:
                    if run not in answered:
                        answered.append(run)
                        peer.answer(run)
            return good.answers and bad.ended

        rig.until(is_answered, "it is answered")
        self.assertEqual([answer[:2] for answer in good.answers], [(1, "answer")])
        self.assertEqual(bad.kinds(), {5: "broken"})
        self.assertEqual(rig.front.requests.open, {})


if __name__ == "__main__":
    unittest.main()
