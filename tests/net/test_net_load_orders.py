"""Load orders: none where it helps no request, and the ration as the scorers count it."""

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
    """The orders to load among these actions; questions are none."""
    return [action for action in of(actions, io.OrderCopies) if action.copies]


@pytest.mark.parametrize("window_ms", [0.0, WINDOW_MS])
def test_a_held_retry_brings_no_orders_to_where_it_may_not_be_sent(window_ms):
    drive = Drive(2, load_window_ms=window_ms, free_loads=50.0)
    home = drive.warm()
    [other] = [entry.scorer for entry in drive.entries if entry.scorer != home]
    [send] = of(drive.ask("again"), io.Send)
    assert send.scorer == home
    actions = drive.end(send, io.AttemptResult.RESET)  # it may have run at its home: not there again
    given = []
    for _ in range(40):  # each answer of a scorer is one more chance to order
        drive.now += 1.0
        held = of(actions, io.OrderCopies)
        actions = []
        for hold in held:
            given += [hold.scorer] if hold.copies else []
            ending = io.AttemptResult.GOOD if hold.scorer == home else io.AttemptResult.FULL
            actions += drive.count(hold.scorer, hold.copies or (hold.scorer == home), ending=ending)
    assert home not in given
    assert given.count(other) <= 1


def test_no_order_names_more_copies_than_one_may_name():
    drive = Drive(1, free_loads=50.0)
    home = drive.warm()
    drive.count(home, loads.MAX_COPIES)
    held = [action for n in range(40) for action in drive.ask(f"r{n}", lanes=1)]
    assert all(action.copies <= loads.MAX_COPIES for action in ordered(held))


def test_an_order_leaves_the_window_of_the_ration_as_its_scorer_counts_it():
    drive = Drive(4, load_window_ms=WINDOW_MS, free_loads=1.0, load_part=0.0)
    [first] = ordered(drive.answer_asks(drive.ask("first", "f")))
    given_ms = drive.now
    drive.count(first.scorer, 1, "f", io.AttemptResult.NOT_SENT)
    # At the end of its window it may have come at its scorer a moment ago.
    drive.now = given_ms + WINDOW_MS + loads.ORDER_TRANSIT_MS - 1.0
    assert ordered(drive.answer_asks(drive.ask("second", "g"))) == []
    drive.now = given_ms + WINDOW_MS + loads.ORDER_TRANSIT_MS + 5.0
    assert len(ordered(drive.answer_asks(drive.ask("third", "h")))) == 1


class WaitForAConnection(Case):
    """An order that waits for a connection leaves within the time that the ration knows of, or not at all."""

    def order_that_waits(self, wait_ms, copies):
        """How one ends whose connection is up after so long, and whether the scorer had it."""
        scorer, ended = ScorerPeer(), []
        rig = self.rig(scorer)
        rig.front.scorer_pool.start_load(order(BY_POOL, ended, copies))
        self.clock.advance(wait_ms)
        rig.until(lambda: ended or scorer.frames, "it is sent, or ends")
        rig.settle(rig.client())
        return ended, len(scorer.frames)

    def test_one_that_waited_too_long_is_not_sent(self):
        ended, frames = self.order_that_waits(scorer_streams.LOAD_ORDER_WAIT_MS, copies=1)
        self.assertEqual((ended, frames), ([(EndReason.NEVER_SENT, False)], 0))

    def test_one_in_time_is_sent_and_so_is_a_question_at_any_time(self):
        for wait_ms, copies in (
            (scorer_streams.LOAD_ORDER_WAIT_MS / 2, 1),
            (scorer_streams.LOAD_ORDER_WAIT_MS, 0),
        ):
            with self.subTest(wait_ms=wait_ms, copies=copies):
                _, frames = self.order_that_waits(wait_ms, copies)
                self.assertEqual(frames, 1)

    def test_its_wait_and_the_way_lie_within_what_the_decisions_count(self):
        self.assertLess(scorer_streams.LOAD_ORDER_WAIT_MS, loads.ORDER_TRANSIT_MS)
