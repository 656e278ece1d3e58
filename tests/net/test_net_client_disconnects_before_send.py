"""Nothing is sent for a client that has gone: attempts and load orders on their way to a scorer."""

import itertools

from peers import ROW, ScorerPeer
from support.scorer_link_cases import BY_POOL, Case

from fawnwharf import interface as io
from fawnwharf.net import scorer_frames
from fawnwharf.net.requests import Call

LEAVES = ("withdraw", "close")


def bounds(cancel):
    return {"bounds": {"max_attempts": 3, "cancel": cancel, "second_copies": True, "dial_timeout": 5000.0}}


class Attempts(Case):
    def test_one_of_which_nothing_is_written_is_taken_back_whatever_the_settings_allow(self):
        for cancel, how, linked in itertools.product((True, False), LEAVES, (True, False)):
            with self.subTest(cancel=cancel, how=how, linked=linked):
                scorer = ScorerPeer()
                rig = self.rig(scorer, settings=bounds(cancel))
                if linked:
                    self.link_up(rig, scorer)
                client, key = self.asked(rig)
                rig.front.requests.send(io.Send(key, BY_POOL))
                self.leave(rig, client, key, how)
                self.assertEqual(self.endings(), [io.AttemptResult.NOT_SENT])
                rig.until(lambda rig=rig: all(link.up for link in self.links(rig)), "the dial is up")
                rig.settle(rig.client())
                self.assertEqual(scorer.frames, [])

    def test_one_on_a_blocked_link_is_taken_back(self):
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
                self.assertEqual(link.connection.waiting_bytes, 0)
                self.unblock(blocked)
                rig.settle(rig.client())
                self.assertEqual(scorer.frames, [])

    def test_one_that_is_under_way_is_given_up_only_where_that_is_allowed(self):
        for cancel in (True, False):
            with self.subTest(cancel=cancel):
                scorer = ScorerPeer()
                rig = self.rig(known=[scorer], settings=bounds(cancel))
                client = rig.client()
                client.call()
                rig.until(lambda scorer=scorer: scorer.runs, "it runs")
                client.withdraw(client.seqid)
                rig.until(lambda rig=rig: not rig.front.requests.open, "it has left")
                rig.settle(client)
                self.assertEqual(len(scorer.of(scorer_frames.ABANDON)), int(cancel))

    def test_the_other_attempts_of_a_request_that_is_answered_are_taken_back(self):
        first, second = ScorerPeer(), ScorerPeer()
        rig = self.rig(first, second, settings=bounds(False))
        link = self.link_up(rig, first)
        client, key = self.asked(rig)
        rig.front.requests.send(io.Send(key, BY_POOL))
        rig.until(lambda: first.runs, "the first runs")
        first.answer(first.runs[0], body=b"served")
        rig.front.requests.send(io.Send(key, BY_POOL + 1))
        self.read(link.connection)
        self.assertEqual(self.endings(), [io.AttemptResult.GOOD, io.AttemptResult.NOT_SENT])
        rig.until(lambda: client.answers and second.links, "it is answered")
        rig.settle(client)
        self.assertEqual(second.frames, [])

    def test_nothing_is_sent_for_one_that_left_in_the_batch_that_sends_it(self):
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
    """Orders to load that nothing was written of when the last request for their function leaves."""

    def ordered(self, linked, copies=1, asked=1, before=True):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer, settings=bounds(False))
        if linked:
            self.link_up(rig, scorer)
        if not before:
            rig.front.requests.start_load(io.OrderCopies(BY_POOL, ROW, copies))
        clients = [self.asked(rig) for _ in range(asked)]
        if before:
            rig.front.requests.start_load(io.OrderCopies(BY_POOL, ROW, copies))
        return rig, scorer, clients

    def test_one_made_for_it_is_taken_back(self):
        for linked, how in itertools.product((True, False), LEAVES):
            with self.subTest(linked=linked, how=how):
                rig, scorer, [(client, key)] = self.ordered(linked)
                self.leave(rig, client, key, how)
                self.assertEqual(self.order_endings(), [io.AttemptResult.NOT_SENT])
                rig.until(lambda rig=rig: all(link.up for link in self.links(rig)), "the dial is up")
                rig.settle(rig.client())
                self.assertEqual((scorer.frames, rig.front.requests._load_orders), ([], {}))

    def test_one_that_another_request_waits_for_goes_out(self):
        rig, scorer, [(client, key), _] = self.ordered(linked=False, asked=2)
        self.leave(rig, client, key, "close")
        rig.until(lambda: scorer.of(scorer_frames.LOAD), "it goes out")
        self.assertEqual(self.order_endings(), [])

    def test_questions_and_orders_made_with_no_request_open_go_out(self):
        rig, scorer, [(client, key)] = self.ordered(linked=False, copies=0)
        self.leave(rig, client, key, "close")
        rig.until(lambda: scorer.of(scorer_frames.LOAD), "the question goes out")
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        rig.front.requests.start_load(io.OrderCopies(BY_POOL, ROW, 1))
        call = Call(b"12345678", "view", "acme", ROW, 8000.0, b"", "", 1, None, None, lambda outcome: None)
        rig.front.requests.withdraw(rig.front.requests.take(call))
        rig.until(lambda: scorer.of(scorer_frames.LOAD), "the order goes out")

    def test_one_made_in_the_batch_in_which_the_client_left_is_not_sent(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        client, key = self.asked(rig)
        self.leave(rig, client, key, "withdraw")
        rig.front.requests.begin_batch()
        rig.front.requests.start_load(io.OrderCopies(BY_POOL, ROW, 1))
        self.assertEqual(self.order_endings(), [io.AttemptResult.NOT_SENT])
        self.turn(rig)
        self.assertEqual((scorer.links, scorer.frames), ([], []))

    def test_an_answered_request_holds_no_order_back(self):
        scorer = ScorerPeer(copies=None)
        rig = self.rig(scorer)
        _, key = self.asked(rig)
        rig.front.requests.fail(io.Fail(key))
        rig.front.requests.begin_batch()
        rig.front.requests.start_load(io.OrderCopies(BY_POOL, ROW, 1))
        rig.until(lambda: scorer.of(scorer_frames.LOAD), "it goes out")

    def test_the_module_holds_one_taken_back_for_no_load_under_way(self):
        scorer = ScorerPeer()
        rig = self.rig(known=[scorer], settings=bounds(False))
        scorer.copies = 0  # it answers the question, and then nothing
        client = rig.client()
        client.call()
        router, blocked = rig.front.router, None
        rig.until(lambda: scorer.frames, "it is asked")
        scorer.copies = None
        blocked = self.block(scorer)
        rig.until(lambda: router.loading == 1, "a load is ordered")
        client.sock.close()
        client.ended = True
        rig.until(lambda: not rig.front.requests.open and not router.loading, "the client has left")
        self.unblock(blocked)
        rig.settle(rig.client())
        self.assertEqual([frame.fields["slots_up"] for _, frame in scorer.frames], ["0"])
