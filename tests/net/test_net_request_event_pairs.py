"""Every pair of events of a request in one batch, in both orders, with the required outcome.

One request runs at a scorer when the two events happen. The event `arrival` is another request on another
connection. Two scorers are ready. Attempts that still run after the events are answered.
"""

import pytest
from support.request_driver import RequestDriver
from support.request_model import Request
from support.request_site import Site

SAFE, AT_MOST_ONCE = 0, 2  # the class of the request, as the driver numbers them
SITE = Site(modes=("loaded", "loaded"), max_attempts=2)
ENDED_BEFORE_DEADLINE_MS = 50.0  # the router ends a request this long before its deadline

# The client's answers and the number of attempts, for a request that may be repeated and for one that may
# not. The order of the two events does not matter, except for the pairs in ORDERED.
NO_ANSWER = ((), 1)
SERVED, SERVED_AGAIN = (("answer",), 1), (("answer",), 2)
REJECTED, FAILED = (("throttled",), 1), (("broken",), 1)
EXPECTED = {
    ("arrival", "close"): (NO_ANSWER, NO_ANSWER),
    ("arrival", "withdraw"): (NO_ANSWER, NO_ANSWER),
    ("arrival", "answer"): (SERVED, SERVED),
    ("arrival", "reset"): (SERVED_AGAIN, FAILED),
    ("arrival", "deadline"): (REJECTED, FAILED),
    ("arrival", "drain"): (SERVED, SERVED),
    ("arrival", "shutdown"): (SERVED, SERVED),
    ("close", "withdraw"): (NO_ANSWER, NO_ANSWER),
    ("close", "answer"): (NO_ANSWER, NO_ANSWER),
    ("close", "reset"): (NO_ANSWER, NO_ANSWER),
    ("close", "deadline"): (NO_ANSWER, NO_ANSWER),
    ("close", "drain"): (NO_ANSWER, NO_ANSWER),
    ("close", "shutdown"): (NO_ANSWER, NO_ANSWER),
    ("withdraw", "answer"): (NO_ANSWER, NO_ANSWER),
    ("withdraw", "reset"): (NO_ANSWER, NO_ANSWER),
    ("withdraw", "deadline"): (NO_ANSWER, NO_ANSWER),
    ("withdraw", "drain"): (NO_ANSWER, NO_ANSWER),
    ("withdraw", "shutdown"): (NO_ANSWER, NO_ANSWER),
    ("answer", "reset"): (SERVED, SERVED),
    ("answer", "deadline"): (SERVED, SERVED),
    ("answer", "drain"): (SERVED, SERVED),
    ("answer", "shutdown"): (SERVED, SERVED),
    ("reset", "deadline"): (REJECTED, FAILED),
    ("reset", "drain"): (SERVED_AGAIN, FAILED),
    ("reset", "shutdown"): (SERVED_AGAIN, FAILED),
    ("deadline", "drain"): (REJECTED, FAILED),
    ("deadline", "shutdown"): (REJECTED, FAILED),
    ("drain", "shutdown"): (SERVED, SERVED),
}
ORDERED = {
    ("answer", "withdraw"): (SERVED, SERVED),  # the answer crosses the withdrawal
    ("reset", "answer"): (SERVED_AGAIN, FAILED),  # a scorer can't answer on a connection that was reset
}
# The outcome of the other request if it is not served: it was unread until shortly before its deadline.
OTHER_REQUEST = {("arrival", "deadline"): (("throttled",), 0)}
IN_BOTH_ORDERS = {pair[::-1]: outcome for pair, outcome in EXPECTED.items()} | EXPECTED | ORDERED
CLASSES = {"safe": SAFE, "at most once": AT_MOST_ONCE}
CASES = [
    pytest.param(pair, number, outcome[place], id=f"{' then '.join(pair)}, {name}")
    for pair, outcome in IN_BOTH_ORDERS.items()
    for place, (name, number) in enumerate(CLASSES.items())
]


class Pair:
    """A request that runs at a scorer, and the events that can happen to it."""

    def __init__(self, driver: RequestDriver, number: int) -> None:
        self.driver = driver
        driver.run_step(("call", 1, SAFE, "quiet"))
        driver.run_step(("serve", 0, 0, "quiet"))
        self.other = driver.clients[0]
        self.client = driver._client(1)  # a second connection
        self.request, data = driver._new_request(self.client, number)
        driver._record_sent(self.request, self.client.channel.send(data))
        driver.run_until_quiet()
        [self.run] = driver.model.attempts_of(self.request.id)

    def trigger(self, event: str) -> None:
        getattr(self, f"_{event}")()

    def _arrival(self) -> None:
        self.other_request, data = self.driver._new_request(self.other, SAFE)
        self.driver._record_sent(self.other_request, self.other.channel.send(data))

    def _close(self) -> None:
        self.client.close()
        self._abandoned()

    def _withdraw(self) -> None:
        if self.client.usable:
            self.client.withdraw(self.request.seqid)
            self._abandoned()

    def _abandoned(self) -> None:
        if self.request.abandoned_ms is None:
            self.request.abandoned_ms = self.driver.now_ms

    def _answer(self) -> None:
        self.run.scorer.answer(self.run, 0, self.driver._body())

    def _reset(self) -> None:
        self.run.scorer.end_connections(by_reset=True)

    def _deadline(self) -> None:
        deadline_ms = self.request.complete_ms + self.request.ttl_ms
        self.driver._stall(deadline_ms - ENDED_BEFORE_DEADLINE_MS - self.driver.now_ms)

    def _drain(self) -> None:
        self.driver._announce(self.run.scorer, "terminating")

    def _shutdown(self) -> None:
        self.driver._do_leave(0, 0)

    def outcome(self, request: Request) -> tuple[tuple[str, ...], int]:
        kinds = tuple(kind for kind, _, _ in request.answers)
        return kinds, len(self.driver.model.attempts_of(request.id))


@pytest.mark.parametrize(("pair", "number", "expected"), CASES)
def test_a_pair_of_events_in_one_batch(pair, number, expected):
    driver = RequestDriver(SITE)
    try:
        events = Pair(driver, number)
        for event in pair:
            events.trigger(event)
        driver.run_until_quiet()
        for _ in range(3):
            driver.run_step(("serve", 0, 0, "quiet"))
        driver.finish()
        assert events.outcome(events.request) == expected
        if "arrival" in pair:
            assert events.outcome(events.other_request) == OTHER_REQUEST.get(pair, SERVED)
    finally:
        driver.close()
