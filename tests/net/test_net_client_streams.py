"""Many valid and malformed messages on one connection, split at random places.

Each request that was read completely is answered exactly once, whatever other errors occur.
"""

import random
import unittest

from peers import ScorerPeer, handle_frame
from support.client_cases import Case, call_frame, withdrawal

from fawnwharf.net import thrift

OWN_NUMBER = 9_999  # of withdrawals
UNNUMBERED = b"\x00\x00\x00\x04GET "  # bytes without a readable sequence number


def bad_frame(seqid, rng):
    """Return a message that has a sequence number but can't be served."""
    return rng.choice(
        [
            call_frame(seqid, op="unheard"),
            call_frame(seqid, row="short"),
            call_frame(seqid, ttl="never"),
            call_frame(seqid, org="nobody"),
            handle_frame(seqid, {}),
            handle_frame(seqid, {}, b"x" * 60_000),  # oversized: its rest is skipped
            handle_frame(seqid, {}, b"x" * 17_000),
            thrift._frame(thrift.CALL, b"nothing", seqid, b"\0"),
        ]
    )


class RandomMessages(Case):
    def send_random_messages(self, seed):
        """Send a random stream in pieces; return the rig, scorer and client, and the numbers of each kind."""
        rng = random.Random(seed)
        scorer = ScorerPeer(copies=32)
        rig = self.rig(scorer)
        client = rig.client()
        good, bad, withdrawn, data = [], [], [], bytearray()
        for seqid in range(1, 33):
            if rng.random() < 0.3:
                bad.append(seqid)
                data += bad_frame(seqid, rng)
                continue
            good.append(seqid)
            data += call_frame(seqid)
            if rng.random() < 0.2:
                withdrawn.append(seqid)
                data += withdrawal(seqid, OWN_NUMBER)
        while data:
            cut = rng.randrange(1, 20_000)
            client.sock.setblocking(True)
            client.sock.sendall(data[:cut])
            client.sock.setblocking(False)
            del data[:cut]
            rig.front.loop.run_iteration(0.0)
        return rig, scorer, client, good, bad, withdrawn

    def test_each_request_is_answered_once_whatever_is_between(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                rig, scorer, client, good, bad, withdrawn = self.send_random_messages(seed)
                expected = set(good) - set(withdrawn)
                answered = []

                def all_answered(expected=expected, bad=bad, client=client, scorer=scorer, answered=answered):
                    for run in scorer.runs[len(answered) :]:
                        answered.append(run)
                        scorer.answer(run)
                    return expected | set(bad) <= set(client.kinds())

                rig.until(all_answered, "all requests are answered")
                rig.settle(client)  # a second answer would arrive before this status answer
                seqids = [seqid for seqid, _, _ in client.answers if seqid < 1_000]
                self.assertEqual(len(seqids), len(set(seqids)))
                kinds = client.kinds()
                self.assertEqual({kinds[seqid] for seqid in bad} | {"exception"}, {"exception"})
                self.assertEqual({kinds[seqid] for seqid in expected}, {"answer"})
                self.assertFalse(client.ended)

    def test_unnumbered_bytes_leave_no_request_unanswered(self):
        for place in range(6):
            with self.subTest(place=place):
                rig = self.rig(ScorerPeer(copies=None))
                client = rig.client()
                frames = [call_frame(seqid) for seqid in range(1, 7)]
                client.sock.sendall(b"".join([*frames[:place], UNNUMBERED, *frames[place:]]))
                rig.until(lambda client=client: client.ended, "the connection ends")
                self.assertEqual(client.kinds(), dict.fromkeys(range(1, 7), "broken"))
                self.assertEqual(len(client.answers), 6)


class OtherFailures(Case):
    def test_a_request_keeps_its_answer_while_all_else_fails(self):
        first, second = ScorerPeer("s-1"), ScorerPeer("s-2")
        rig = self.rig(first, second)
        good, bad, disconnected = rig.client(), rig.client(), rig.client()
        self.open_request(rig, good)
        self.open_request(rig, disconnected, call=f"{77:016x}")
        rig.until(lambda: first.runs or second.runs, "one of the requests runs")
        for link in rig.log.links:
            link.sock.close()
            link.ended = True
        rig.log.links.clear()
        bad.sock.sendall(call_frame(5) + UNNUMBERED)
        disconnected.sock.close()
        disconnected.ended = True
        failed_scorer = first if first.runs else second
        for link in failed_scorer.links:
            link.sock.close()
            link.ended = True
        failed_scorer.links.clear()
        failed_scorer.frames.clear()
        answered = []

        def is_answered():
            for peer in (first, second):
                for run in peer.runs:
                    if run not in answered:
                        answered.append(run)
                        peer.answer(run)
            return good.answers and bad.ended

        rig.until(is_answered, "the good request is answered")
        self.assertEqual([answer[:2] for answer in good.answers], [(1, "answer")])
        self.assertEqual(bad.kinds(), {5: "broken"})
        self.assertEqual(rig.front.requests.open, {})


if __name__ == "__main__":
    unittest.main()
