"""Load orders: none without use for a request, and the load rate limit as the scorers count it."""

import pytest
from bench import Drive, of
from peers import ScorerPeer
from support.scorer_link_cases import BY_POOL, Case, order

from fawnwharf import interface as io
from fawnwharf.net import scorer_streams
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.policy import loads

WINDOW_MS = 5_000.0


def ordered(actions):
    """The orders to load copies among these actions, without queries."""
    return [action for action in of(actions, io.OrderCopies) if action.copies]


@pytest.mark.parametrize("window_ms", [0.0, WINDOW_MS])
def test_a_waiting_retry_causes_no_order_at_a_scorer_to_which_it_may_not_be_sent(window_ms):
    drive = Drive(2, load_window_ms=window_ms, free_loads=50.0)
    home = drive.warm()
    [other] = [entry.scorer for entry in drive.entries if entry.scorer != home]
    [send] = of(drive.ask("again"), io.Send)
    assert send.scorer == home
    # The attempt may have run at `home`, so the request may not be sent there again.
    actions = drive.end(send, io.AttemptResult.RESET)
    order_scorers = []
    for _ in range(40):  # after each answer of a scorer the router may order again
        drive.now += 1.0
        sent_orders = of(actions, io.OrderCopies)
        actions = []
        for sent in sent_orders:
            order_scorers += [sent.scorer] if sent.copies else []
            result = io.AttemptResult.GOOD if sent.scorer == home else io.AttemptResult.FULL
            actions += drive.count(sent.scorer, sent.copies or (sent.scorer == home), ending=result)
    assert home not in order_scorers
    assert order_scorers.count(other) <= 1


def test_no_order_exceeds_the_maximum_number_of_copies():
    drive = Drive(1, free_loads=50.0)
    home = drive.warm()
    drive.count(home, loads.MAX_COPIES)
    actions = [action for n in range(40) for action in drive.ask(f"r{n}", lanes=1)]
    assert all(action.copies <= loads.MAX_COPIES for action in ordered(actions))


def test_an_order_leaves_the_load_rate_window_as_its_scorer_counts_it():
    drive = Drive(4, load_window_ms=WINDOW_MS, free_loads=1.0, loads_per_arrival=0.0)
    [first] = ordered(drive.answer_asks(drive.ask("first", "f")))
    ordered_ms = drive.now
    drive.count(first.scorer, 1, "f", io.AttemptResult.NOT_SENT)
    # The scorer counts an order from its arrival, which may be up to ORDER_TRANSIT_MS after the decision.
    drive.now = ordered_ms + WINDOW_MS + loads.ORDER_TRANSIT_MS - 1.0
    assert ordered(drive.answer_asks(drive.ask("second", "g"))) == []
    drive.now = ordered_ms + WINDOW_MS + loads.ORDER_TRANSIT_MS + 5.0
    assert len(ordered(drive.answer_asks(drive.ask("third", "h")))) == 1


class WaitForAConnection(Case):
    """An order that waits for a connection is sent within LOAD_ORDER_WAIT_MS, or not at all."""

    def order_after_wait(self, wait_ms, copies):
        """The ends of an order whose connection takes `wait_ms`, and how many frames the scorer received."""
        scorer, ended = ScorerPeer(), []
        rig = self.rig(scorer)
        rig.front.scorer_pool.send_load_order(order(BY_POOL, ended, copies))
        self.clock.advance(wait_ms)
        rig.until(lambda: ended or scorer.frames, "the order is sent or ends")
        rig.settle(rig.client())
        return ended, len(scorer.frames)

    def test_an_order_that_waited_too_long_is_not_sent(self):
        ended, frames = self.order_after_wait(scorer_streams.LOAD_ORDER_WAIT_MS, copies=1)
        self.assertEqual((ended, frames), ([(EndReason.NEVER_SENT, False)], 0))

    def test_an_order_in_time_is_sent_and_a_query_at_any_time(self):
        for wait_ms, copies in (
            (scorer_streams.LOAD_ORDER_WAIT_MS / 2, 1),
            (scorer_streams.LOAD_ORDER_WAIT_MS, 0),
        ):
            with self.subTest(wait_ms=wait_ms, copies=copies):
                _, frames = self.order_after_wait(wait_ms, copies)
                self.assertEqual(frames, 1)

    def test_the_wait_is_shorter_than_the_transit_time_that_the_router_assumes(self):
        self.assertLess(scorer_streams.LOAD_ORDER_WAIT_MS, loads.ORDER_TRANSIT_MS)
