"""Clients past the limit of open requests, at a real process whose scorers fall silent for a while."""

import time

import pytest
from processes import Site
from support.pipelining_client import PipeliningClient

SILENCE_S = 0.5
RUN_S = 2.0
UNSOUND = {
    "hundreds at once": {"count": 300},
    "hundreds of the largest at once": {"count": 300, "body_bytes": 16_000},
    "again the moment it is turned away": {"count": 300, "repeats": True},
    "a few too many, again the moment they are turned away": {"count": 40, "repeats": True},
}


@pytest.mark.parametrize("delay_s", [0.005, 0.02])
@pytest.mark.parametrize("options", UNSOUND.values(), ids=UNSOUND)
def test_no_request_past_the_limit_is_served_while_scorers_fall_silent(options, delay_s):
    site = Site(scorers=4, delay_s=delay_s)
    try:
        process = site.begin()
        site.until_ready(process)
        usual = [site.served() for _ in range(3)]
        for scorer in site.scorers[:2]:
            scorer.delay_s = SILENCE_S
        clients = [PipeliningClient(site.listen.address, **options) for _ in range(2)]
        site.habits += [client.pump for client in clients]
        site.habits.append(lambda: _keep_busy(usual))
        began_s = time.monotonic()
        site.until(lambda: time.monotonic() > began_s + SILENCE_S, "the silence ends")
        for scorer in site.scorers:
            scorer.delay_s = delay_s
        site.until(lambda: time.monotonic() > began_s + RUN_S, "the run ends")
        site.habits.pop()
        assert [len(client.served_past_limit) for client in clients] == [0, 0]
        assert all(client.kinds or client.ended for client in clients)
        assert site.verdict() == []
    finally:
        site.close()


def _keep_busy(usual):
    for caller in usual:
        if not caller.open:
            caller.ask()
