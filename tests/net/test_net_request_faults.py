"""Regression tests: orders of events that violated a rule of the reference model, each as a minimal sequence.

The randomized tests in test_net_request_orders.py found them.
"""

import pytest
from support.request_driver import play
from support.request_site import Site

WARM_UP = [("call", 0, 0, "quiet"), ("serve", 0, 0, "quiet")]  # opens a connection and loads a copy
SLOW_CONNECT = {"bounds": Site().settings()["bounds"] | {"dial_timeout": 1_000.0}}
ONE, TWO = ("loaded",), ("loaded", "loaded")


def kinds(driver):
    return [tuple(kind for kind, _, _ in request.answers) for request in driver.model.requests.values()]


def loads(driver):
    return [
        order for scorer in driver.scorers for order in scorer.orders if order.copies > order.loaded_copies
    ]


class TestHalfClose:
    """A client that ends its output may still read, so it gets its answer or a failure."""

    def test_while_its_request_is_out(self):
        driver = play(Site(modes=ONE), [("call", 0, 2, "quiet"), ("half_close", 0, 0, "quiet")])
        assert kinds(driver) == [("broken",)]

    def test_behind_its_request_in_one_read(self):
        steps = [*WARM_UP, ("call", 0, 0, "batched"), ("half_close", 0, 0, "quiet"), ("serve", 0, 0, "quiet")]
        driver = play(Site(modes=ONE), steps)
        assert [len(answers) for answers in kinds(driver)] == [1, 1]

    @pytest.mark.parametrize("order", [("half_close", "serve"), ("serve", "half_close")])
    def test_crossing_its_answer(self, order):
        steps = [
            ("call", 0, 2, "quiet"),
            *((name, 0, 0, "batched") for name in order),
            ("due", 0, 0, "quiet"),
        ]
        driver = play(Site(modes=ONE), steps)
        assert [len(answers) for answers in kinds(driver)] == [1]


class TestClientDisconnected:
    """Nothing is sent more than 100 ms after the client left, even if the process was stalled."""

    @pytest.mark.parametrize("end", ["close", "reset"])
    @pytest.mark.parametrize("connection", [0, 1], ids=["one in use", "a new one"])
    def test_an_end_behind_an_unread_request(self, end, connection):
        steps = [*WARM_UP, ("call", connection, 0, "batched"), (end, connection, 0, "batched")]
        driver = play(Site(modes=ONE), [*steps, ("stall", 3, 0, "quiet")])
        assert kinds(driver) == [("answer",), ()]

    def test_a_load_order_that_waits_for_a_connection(self):
        """Its client disconnects before the scorer connection is established."""
        steps = [("hold_connects", 0, 0, "quiet"), ("call", 0, 0, "quiet"), ("wait", 5, 0, "quiet")]
        steps += [("close", 0, 0, "quiet"), ("wait", 7, 0, "quiet"), ("release_connects", 0, 0, "quiet")]
        assert not loads(play(Site(modes=("empty",), extra=SLOW_CONNECT), steps))


class TestWithdrawn:
    def test_an_unread_withdrawal_and_half_close_behind_the_call(self):
        """A withdrawn request gets no answer, not even a failure."""
        steps = [("crowd", 0, 0, "quiet"), ("crowd", 0, 0, "quiet"), ("call", 0, 2, "quiet")]
        steps += [("withdraw", 0, 0, "quiet"), ("half_close", 0, 0, "quiet")]
        assert kinds(play(Site(modes=("empty",), sockets=32), steps)) == [()]


class TestForwardedBudget:
    def test_two_requests_in_one_read_each_count_from_their_own_arrival(self):
        """The first was unread for 360 ms; the receive timestamp of the read belongs to the second."""
        steps = [*WARM_UP, ("call", 0, 0, "batched"), ("stall", 5, 0, "batched"), ("call", 0, 3, "quiet")]
        play(Site(modes=ONE, give_up_ms=600.0), steps)

    def test_two_requests_that_wait_for_their_connection_to_be_accepted(self):
        steps = [("crowd", 0, 0, "quiet"), ("crowd", 0, 0, "quiet"), ("call", 0, 4, "quiet")]
        steps += [("call", 0, 4, "quiet"), ("stall", 2, 0, "batched"), ("call", 0, 4, "quiet")]
        play(Site(modes=TWO, give_up_ms=10_000.0, sockets=32), steps)


class TestQueries:
    @pytest.mark.parametrize("number", [0, 1, 2])
    def test_a_scorer_that_rejects_is_not_queried_in_each_iteration(self, number):
        """Each rejected query for a copy not used for long caused the next query and connection at once."""
        steps = [("call", 0, number, "quiet"), ("scorer_down", 0, 1, "quiet"), ("wait_long", 7, 0, "quiet")]
        play(Site(modes=ONE), steps)


class TestLoads:
    def test_no_copies_are_loaded_where_the_request_may_not_be_sent_again(self):
        """Its first attempt there may have run; each answered load order caused another one at once."""
        driver = play(Site(modes=ONE), [("call", 0, 0, "quiet"), ("scorer_reset", 0, 0, "quiet")])
        assert len(loads(driver)) <= 1

    def test_an_answer_that_is_cut_off(self):
        steps = [("call", 0, 3, "quiet"), ("partial_answer", 0, 6, "quiet"), ("wait_long", 2, 0, "quiet")]
        assert len(loads(play(Site(modes=("full", "loaded"), dedup_window_ms=150.0), steps))) <= 2

    def test_orders_that_arrive_late_count_in_the_window_in_which_they_arrive(self):
        site = Site(
            modes=("mute", "full", "mute"), give_up_ms=10_000.0, load_window_ms=1_000.0, max_attempts=1,
            not_loaded="miss", group="zone", cancel=False, dedup_window_ms=1_000.0, sockets=32,
        )  # fmt: skip
        steps = [("call", 0, 3, "quiet"), ("hold_connects", 0, 0, "quiet"), ("pair", 4, 6, "quiet")]
        play(site, [*steps, ("scorer_close", 1, 0, "quiet"), ("wait", 4, 0, "quiet")])

    def test_orders_that_waited_for_a_connection_respect_the_load_rate_limit(self):
        site = Site(modes=("empty", "empty"), give_up_ms=10_000.0, load_window_ms=1_000.0, free_loads=1.0)
        steps = [("hold_connects", 0, 0, "quiet"), ("call", 2, 0, "quiet"), ("call", 0, 3, "quiet")]
        play(site, [*steps, ("stall", 6, 0, "quiet"), ("stall", 3, 0, "quiet")])
