"""Attempts and load orders that are not sent yet are cancelled when their client disconnects."""

import itertools

from peers import ROW, ScorerPeer
from support.scorer_link_cases import BY_POOL, Case

from fawnwharf import interface as io
from fawnwharf.net import scorer_frames
from fawnwharf.net.requests import Call

WAYS_TO_LEAVE = ("withdraw", "close")


def bounds(cancel):
    """Return settings that allow or forbid cancelling attempts that have been sent."""
    return {"bounds": {"max_attempts": 3, "cancel": cancel, "second_copies": True, "dial_timeout": 5000.0}}


class Attempts(Case):
    def test_an_unwritten_attempt_is_cancelled_whatever_the_settings_allow(self):
        for cancel, how, connected in itertools.product((True, False), WAYS_TO_LEAVE, (True, False)):
            with self.subTest(cancel=cancel, how=how, connected=connected):
                scorer = ScorerPeer()
                rig = self.rig(scorer, settings=bounds(cancel))
                if connected:
                    self.link_up(rig, scorer)
                client, key = self.asked(rig)
                rig.front.requests.send(io.Send(key, BY_POOL))
                self.leave(rig, client, key, how)
                self.assertEqual(self.endings(), [io.AttemptResult.NOT_SENT])
                rig.until(
                    lambda rig=rig: all(link.up for link in self.links(rig)),
                    "the scorer connection is established",
                )
                rig.settle(rig.client())
                self.assertEqual(scorer.frames, [])

    def test_an_attempt_on_a_blocked_connection_is_cancelled(self):
        for cancel in (True, False):
            with self.subTest(cancel=cancel):
                scorer = ScorerPeer()
                rig = self.rig(scorer, settings=bounds(cancel))
                link = self.link_up(rig, scorer)
                blocked = self.block(scorer)
                client, key = self.asked(rig)
                rig.front.requests.send(io.Send(key, BY_POOL))
                self.turn(rig)
                self.assertEqual(len(link.streams), 1)
                self.leave(rig, client, key, "withdraw")
                self.assertEqual((self.endings(), link.streams), ([io.AttemptResult.NOT_SENT], {}))
                self.assertEqual(link.connection.unwritten_bytes, 0)
                self.unblock(blocked)
                rig.settle(rig.client())
                self.assertEqual(scorer.frames, [])

    def test_a_sent_attempt_is_cancelled_only_if_the_settings_allow_it(self):
        for cancel in (True, False):
            with self.subTest(cancel=cancel):
                scorer = ScorerPeer()
                rig = self.rig(known=[scorer], settings=bounds(cancel))
                client = rig.client()
                client.call()
                rig.until(lambda scorer=scorer: scorer.runs, "the request runs")
                client.withdraw(client.seqid)
                rig.until(lambda rig=rig: not rig.front.requests.open, "the request is withdrawn")
                rig.settle(client)
                self.assertEqual(len(scorer.of(scorer_frames.ABANDON)), int(cancel))

    def test_the_other_attempts_of_an_answered_request_are_cancelled(self):
        first, second = ScorerPeer(), ScorerPeer()
        rig = self.rig(first, second, settings=bounds(False))
        link = self.link_up(rig, first)
        client, key = self.asked(rig)
        rig.front.requests.send(io.Send(key, BY_POOL))
        rig.until(lambda: first.runs, "the first attempt runs")
        first.answer(first.runs[0], body=b"served")
        rig.front.requests.send(io.Send(key, BY_POOL + 1))
        self.read(link.connection)
        self.assertEqual(self.endings(), [io.AttemptResult.GOOD, io.AttemptResult.NOT_SENT])
        rig.until(lambda: client.answers and second.links, "the request is answered")
        rig.settle(client)
        self.assertEqual(second.frames, [])

    def test_nothing_is_sent_for_a_client_that_left_in_the_batch_that_sends_its_request(self):
        scorer = ScorerPeer()
        rig = self.rig(scorer)
        client, key = self.asked(rig)
        self.leave(rig, client, key, "close")
        rig.front.requests.begin_batch()
        rig.front.requests.send(io.Send(key, BY_POOL))
        self.assertEqual(self.endings(), [io.AttemptResult.NOT_SENT])
        self.turn(rig)
        self.assertEqual((scorer.links, scorer.frames), ([], []))


class Orders(Case):
    """Load orders that are not written yet when the last request for their function is abandoned."""

    def ordered(self, connected, copies=1, requests=1, before=True):
        """Return a rig, its scorer and the open requests, after a load order was created for them."""
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer, settings=bounds(False))
        if connected:
            self.link_up(rig, scorer)
        if not before:
            rig.front.requests.send_load_order(io.OrderCopies(BY_POOL, ROW, copies))
        clients = [self.asked(rig) for _ in range(requests)]
        if before:
            rig.front.requests.send_load_order(io.OrderCopies(BY_POOL, ROW, copies))
        return rig, scorer, clients

    def test_an_order_created_for_the_request_is_cancelled(self):
        for connected, how in itertools.product((True, False), WAYS_TO_LEAVE):
            with self.subTest(connected=connected, how=how):
                rig, scorer, [(client, key)] = self.ordered(connected)
                self.leave(rig, client, key, how)
                self.assertEqual(self.order_endings(), [io.AttemptResult.NOT_SENT])
                rig.until(
                    lambda rig=rig: all(link.up for link in self.links(rig)),
                    "the scorer connection is established",
                )
                rig.settle(rig.client())
                self.assertEqual((scorer.frames, rig.front.requests._load_orders), ([], {}))

    def test_an_order_that_another_request_waits_for_is_sent(self):
        rig, scorer, [(client, key), _] = self.ordered(connected=False, requests=2)
        self.leave(rig, client, key, "close")
        rig.until(lambda: scorer.of(scorer_frames.LOAD), "the load order is sent")
        self.assertEqual(self.order_endings(), [])

    def test_queries_and_orders_created_without_an_open_request_are_sent(self):
        rig, scorer, [(client, key)] = self.ordered(connected=False, copies=0)
        self.leave(rig, client, key, "close")
        rig.until(lambda: scorer.of(scorer_frames.LOAD), "the query is sent")
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        rig.front.requests.send_load_order(io.OrderCopies(BY_POOL, ROW, 1))
        call = Call(b"12345678", "view", "acme", ROW, 8000.0, b"", "", 1, None, None, lambda outcome: None)
        rig.front.requests.withdraw(rig.front.requests.take(call))
        rig.until(lambda: scorer.of(scorer_frames.LOAD), "the load order without a request is sent")

    def test_an_order_of_the_batch_in_which_the_client_left_is_not_sent(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        client, key = self.asked(rig)
        self.leave(rig, client, key, "withdraw")
        rig.front.requests.begin_batch()
        rig.front.requests.send_load_order(io.OrderCopies(BY_POOL, ROW, 1))
        self.assertEqual(self.order_endings(), [io.AttemptResult.NOT_SENT])
        self.turn(rig)
        self.assertEqual((scorer.links, scorer.frames), ([], []))

    def test_an_order_is_sent_after_its_request_was_answered(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        _, key = self.asked(rig)
        rig.front.requests.fail(io.Fail(key))
        rig.front.requests.begin_batch()
        rig.front.requests.send_load_order(io.OrderCopies(BY_POOL, ROW, 1))
        rig.until(lambda: scorer.of(scorer_frames.LOAD), "the load order is sent")

    def test_the_router_does_not_count_a_cancelled_order_as_a_load_in_progress(self):
        scorer = ScorerPeer()
        rig = self.rig(known=[scorer], settings=bounds(False))
        scorer.copies = 0  # the scorer answers the query, and nothing after that
        client = rig.client()
        client.call()
        router, blocked = rig.front.router, None
        rig.until(lambda: scorer.frames, "the scorer has received the query")
        scorer.copies = None
        blocked = self.block(scorer)
        rig.until(lambda: router.loading == 1, "a load is ordered")
        client.sock.close()
        client.ended = True
        rig.until(lambda: not rig.front.requests.open and not router.loading, "the disconnect is handled")
        self.unblock(blocked)
        rig.settle(rig.client())
        self.assertEqual([frame.fields["slots_up"] for _, frame in scorer.frames], ["0"])
