"""Every pair of events of a request in one batch of the loop, in both orders, with what must come of it.

One request is out at a scorer when the pair happens; `arrival` is a further request on another connection.
Two scorers stand ready. Whatever is still out afterwards is served.
"""

import pytest
from support.request_driver import RequestDriver
from support.request_model import Request
from support.request_site import Site

SAFE, AT_MOST_ONCE = 0, 2  # the class of the request, as the driver numbers them
SITE = Site(modes=("loaded", "loaded"), max_attempts=2)
SWEEP_BEFORE_MS = 50.0  # so long before its deadline a request is ended for want of time

# What the client is answered and how often the request is sent, for a request that may be repeated and for
# one that may not. The order of the two events changes nothing, but where ORDERED says so.
NOTHING = ((), 1)
SERVED, SERVED_AGAIN = (("answer",), 1), (("answer",), 2)
REFUSED, FAILED = (("throttled",), 1), (("broken",), 1)
EXPECTED = {
    ("arrival", "close"): (NOTHING, NOTHING),
    ("arrival", "withdraw"): (NOTHING, NOTHING),
    ("arrival", "answer"): (SERVED, SERVED),
    ("arrival", "reset"): (SERVED_AGAIN, FAILED),
    ("arrival", "due"): (REFUSED, FAILED),
    ("arrival", "drain"): (SERVED, SERVED),
    ("arrival", "shutdown"): (SERVED, SERVED),
    ("close", "withdraw"): (NOTHING, NOTHING),
    ("close", "answer"): (NOTHING, NOTHING),
    ("close", "reset"): (NOTHING, NOTHING),
    ("close", "due"): (NOTHING, NOTHING),
    ("close", "drain"): (NOTHING, NOTHING),
    ("close", "shutdown"): (NOTHING, NOTHING),
    ("withdraw", "answer"): (NOTHING, NOTHING),
    ("withdraw", "reset"): (NOTHING, NOTHING),
    ("withdraw", "due"): (NOTHING, NOTHING),
    ("withdraw", "drain"): (NOTHING, NOTHING),
    ("withdraw", "shutdown"): (NOTHING, NOTHING),
    ("answer", "reset"): (SERVED, SERVED),
    ("answer", "due"): (SERVED, SERVED),
    ("answer", "drain"): (SERVED, SERVED),
    ("answer", "shutdown"): (SERVED, SERVED),
    ("reset", "due"): (REFUSED, FAILED),
    ("reset", "drain"): (SERVED_AGAIN, FAILED),
    ("reset", "shutdown"): (SERVED_AGAIN, FAILED),
    ("due", "drain"): (REFUSED, FAILED),
    ("due", "shutdown"): (REFUSED, FAILED),
    ("drain", "shutdown"): (SERVED, SERVED),
}
ORDERED = {
    ("answer", "withdraw"): (SERVED, SERVED),  # the answer crosses the withdraw
    ("reset", "answer"): (SERVED_AGAIN, FAILED),  # nothing can be answered on a link that was reset
}
# The further request, where it is not served: it lay unread until its client waits hardly any longer.
FURTHER = {("arrival", "due"): (("throttled",), 0)}
IN_BOTH_ORDERS = {pair[::-1]: outcome for pair, outcome in EXPECTED.items()} | EXPECTED | ORDERED
CLASSES = {"safe": SAFE, "at most once": AT_MOST_ONCE}
CASES = [
    pytest.param(pair, number, outcome[place], id=f"{' then '.join(pair)}, {name}")
    for pair, outcome in IN_BOTH_ORDERS.items()
    for place, (name, number) in enumerate(CLASSES.items())
]


class Pair:
    """A request that is out at a scorer, and the events that can happen to it."""

    def __init__(self, driver: RequestDriver, number: int) -> None:
        self.driver = driver
        driver.play(("call", 1, SAFE, "quiet"))
        driver.play(("serve", 0, 0, "quiet"))
        self.other = driver.clients[0]
        self.client = driver._client(1)  # a second connection, which the driver makes
        self.request, data = driver._request(self.client, number)
        driver._taken(self.request, self.client.channel.send(data))
        driver.quiet()
        [self.run] = driver.model.attempts_of(self.request.id)

    def happen(self, event: str) -> None:
        getattr(self, f"_{event}")()

    def _arrival(self) -> None:
        self.further, data = self.driver._request(self.other, SAFE)
        self.driver._taken(self.further, self.other.channel.send(data))

    def _close(self) -> None:
        self.client.close()
        self._gone()

    def _withdraw(self) -> None:
        if self.client.usable:
            self.client.withdraw(self.request.seqid)
            self._gone()

    def _gone(self) -> None:
        if self.request.gone_ms is None:
            self.request.gone_ms = self.driver.now

    def _answer(self) -> None:
        self.run.scorer.answer(self.run, 0, self.driver._body())

    def _reset(self) -> None:
        self.run.scorer.end_links(by_reset=True)

    def _due(self) -> None:
        deadline_ms = self.request.whole_ms + self.request.ttl_ms
        self.driver._hold_up(deadline_ms - SWEEP_BEFORE_MS - self.driver.now)

    def _drain(self) -> None:
        self.driver._tell(self.run.scorer, "terminating")

    def _shutdown(self) -> None:
        self.driver._do_leave(0, 0)

    def outcome(self, request: Request) -> tuple[tuple[str, ...], int]:
        kinds = tuple(kind for kind, _, _ in request.answers)
        return kinds, len(self.driver.model.attempts_of(request.id))


@pytest.mark.parametrize(("pair", "number", "expected"), CASES)
def test_a_pair_of_events_in_one_batch(pair, number, expected):
    driver = RequestDriver(SITE)
    try:
        played = Pair(driver, number)
        for event in pair:
            played.happen(event)
        driver.quiet()
        for _ in range(3):
            driver.play(("serve", 0, 0, "quiet"))
        driver.finish()
        assert played.outcome(played.request) == expected
        if "arrival" in pair:
            assert played.outcome(played.further) == FURTHER.get(pair, SERVED)
    finally:
        driver.close()
