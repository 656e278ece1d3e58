"""One test for each rule on answers, with real sockets on loopback; waits end by events, not by sleeps."""

import unittest
from pathlib import Path
from unittest import mock

from peers import ROW, Rig, ScorerPeer

from fawnwharf import interface as io
from fawnwharf.net import event_loop, requests, scorer_frames, timer_wheel

ROOT = Path(__file__).parents[2]


class Case(unittest.TestCase):
    def rig(self, *peers, **options):
        rig = Rig(*peers, **options)
        self.addCleanup(rig.close)
        return rig


class Answers(Case):
    def test_answers_in_any_order_reach_the_request_that_they_are_for(self):
        scorer = ScorerPeer(copies=4)
        rig = self.rig(scorer)
        client = rig.client()
        for n in range(4):
            client.call(body=b"ask%d" % n)
        rig.until(lambda: len(scorer.runs) == 4, "all four run")
        self.assertEqual({frame.fields["obj"] for _, frame in scorer.runs}, {ROW})
        for n, item in enumerate(reversed(scorer.runs)):
            scorer.answer(item, body=b"for " + item[1].body)
            rig.until(lambda n=n: len(client.answers) > n, "the answer has arrived")
            self.assertEqual(client.answers[n][0], int.from_bytes(item[1].id, "big"))
        bodies = {seqid: content[1] for seqid, _, content in client.answers}
        self.assertEqual(bodies, {n + 1: b"for ask%d" % n for n in range(4)})

    def test_id_class_key_body_and_token_are_forwarded_unchanged(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        body = bytes(range(256)) * 64
        rig.client().call("save", body, call="9B1f03aa5c7e2d41", dedupe="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
        rig.until(lambda: scorer.runs, "the request runs")
        [(_, frame)] = scorer.runs
        fields = {name: frame.fields[name] for name in ("kind", "obj", "token")}
        self.assertEqual(fields, {"kind": "save", "obj": ROW, "token": "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"})
        self.assertEqual((frame.id.hex(), frame.body), ("9b1f03aa5c7e2d41", body))
        self.assertTrue(0 < int(frame.fields["ms"]) <= 8000)

    def test_an_attempt_is_out_from_its_first_byte_to_its_end(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        client.call()
        rig.until(lambda: rig.front.requests.open, "the request is open")
        [key] = rig.front.requests.open
        self.assertFalse(rig.front.requests.has_attempt_out(key))  # a copy is loaded first
        rig.until(lambda: scorer.runs, "the request runs")
        self.assertTrue(rig.front.requests.has_attempt_out(key))
        scorer.answer(scorer.runs[0], code=scorer_frames.MISS)
        rig.until(lambda: not rig.front.requests.has_attempt_out(key), "the attempt has ended")
        self.assertFalse(rig.front.requests.has_attempt_out("unknown"))

    def test_a_request_may_have_run_from_its_first_byte_on_unless_its_attempt_s_end_disproves_it(self):
        for code, may_have_run in ((scorer_frames.ERROR, True), (scorer_frames.MISS, False)):
            scorer = ScorerPeer(copies=4)
            rig = self.rig(scorer)
            seen, table, observer = [], rig.front.requests, mock.Mock()
            observer.ended = lambda *_, s=seen, t=table: s.append([t.may_have_run(key) for key in t.open])
            rig.client().call()
            rig.until(lambda scorer=scorer: scorer.runs, "the request runs")
            [key] = table.open
            self.assertTrue(table.may_have_run(key))
            self.assertFalse(table.may_have_run("unknown"))
            table.observer = observer
            scorer.answer(scorer.runs[0], code=code)
            rig.until(lambda seen=seen: seen, "the attempt has ended")
            self.assertEqual(seen[0], [may_have_run])

    def test_no_attempt_begins_after_the_limit_of_its_request(self):
        scorer = ScorerPeer(copies=4)
        rig = self.rig(scorer)
        client = rig.client()
        client.call()
        rig.until(lambda: scorer.runs, "the request runs")
        [key] = rig.front.requests.open
        rig.front.requests.limit_begin(key, timer_wheel.monotonic_ms())
        rig.front.requests.limit_begin("unknown", 0.0)
        scorer.answer(scorer.runs[0], code=scorer_frames.MISS)  # it is sent again, if it may be
        rig.until(lambda: not rig.front.requests.has_attempt_out(key), "the attempt has ended")
        client.call(op="save")
        rig.until(lambda: len(scorer.runs) == 2, "another request is sent")
        self.assertEqual([frame.id[-1] for _, frame in scorer.runs], [1, 2])

    def test_a_withdrawn_request_gets_no_answer_and_a_late_one_is_dropped(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        seqid = client.call()
        rig.until(lambda: scorer.runs, "the request runs")
        client.withdraw(seqid)
        rig.until(lambda: scorer.of(scorer_frames.ABANDON), "the attempt is cancelled")
        scorer.answer(scorer.runs[0], body=b"late")
        second = client.call()
        rig.until(lambda: len(scorer.runs) == 2, "the second request runs")
        scorer.answer(scorer.runs[1], body=b"in time")
        rig.until(lambda: client.answers, "the second request is answered")
        self.assertEqual([answer[0] for answer in client.answers], [second])
        self.assertFalse(rig.front.requests.open)

    def test_a_second_answer_of_a_scorer_is_dropped(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        client.call()
        rig.until(lambda: scorer.runs, "the request runs")
        scorer.answer(scorer.runs[0], body=b"one")
        scorer.answer(scorer.runs[0], body=b"two")
        rig.until(lambda: client.answers, "the request is answered")
        rig.settle(client)
        self.assertEqual([content[1] for _, _, content in client.answers], [b"one", b""])

    def test_a_closed_client_connection_cancels_its_open_requests(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        client.call()
        rig.until(lambda: scorer.runs, "the request runs")
        client.sock.close()
        client.ended = True
        rig.until(lambda: scorer.of(scorer_frames.ABANDON), "the attempt is cancelled")
        self.assertFalse(rig.front.requests.open or rig.front.client_port.clients)

    def test_each_request_has_one_answer_after_an_error_in_the_router(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        with mock.patch.object(rig.front.router, "handle", side_effect=KeyError("boom")):
            seqid = client.call(ttl="60")
            rig.until(lambda: client.answers, "the deadline timer fails the request")
        self.assertEqual(client.kinds(), {seqid: "broken"})
        self.assertIn("boom", "".join(rig.lines))
        client.call()
        rig.until(lambda: scorer.runs, "the next request runs")

    def test_an_error_in_one_action_does_not_affect_the_others(self):
        scorer = ScorerPeer(copies=4)
        rig = self.rig(scorer)
        client, failing = rig.client(), mock.Mock(side_effect=KeyError("boom"))
        with mock.patch.dict(rig.front._action_handlers, {io.Send: failing}):
            client.call()
            rig.until(lambda: failing.called, "the send has failed")
        client.call(body=b"next")
        rig.until(lambda: scorer.runs, "the next request runs")
        self.assertEqual(scorer.runs[0][1].body, b"next")

    def test_the_time_that_a_call_was_unread_counts(self):
        rig = self.rig(ScorerPeer(copies=None))
        rig.client().call(ttl="8000")
        with mock.patch.object(event_loop, "unix_ms", lambda: timer_wheel.unix_ms() + 3000.0):
            rig.until(lambda: rig.front.requests.open, "the call is read")
        [request] = rig.front.requests.open.values()
        self.assertTrue(0 <= request.deadline_ms - rig.front.loop.iteration_ms <= 5000.0)
        [router_request] = rig.front.router.requests.values()
        self.assertTrue(0 <= router_request.deadline_ms - router_request.arrived_ms <= 5000.0)

    def test_a_rejection_is_sent_at_once_and_says_when_to_retry(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client = rig.client()
        with mock.patch.object(rig.front.requests, "max_body_bytes", 10):
            seqid = client.call(body=b"x" * 11)
            rig.until(lambda: client.answers, "the request is rejected")
        expected = {1: {"pushback": str(int(requests.FULL_RETRY_AFTER_MS)).encode()}}
        self.assertEqual(client.answers, [(seqid, "throttled", expected)])
