"""Clients that leave while the process stands still: nothing of theirs is sent to a scorer afterwards."""

import signal
import time

import pytest
from processes import Site

STOPPED_S = 0.4
LEFT_S = 0.1  # an attempt that begins later after its client has left breaks the rule on lost requests
OBSERVED_S = 0.6


@pytest.mark.parametrize("body_bytes", [10, 4_000, 16_000])
@pytest.mark.parametrize("connected_before", [False, True])
def test_no_request_of_a_client_that_left_meanwhile_is_sent(body_bytes, connected_before):
    site = Site(scorers=2)
    try:
        process = site.begin()
        site.until_ready(process)
        other = site.served()
        client = site.served() if connected_before else None
        before = sum(len(scorer.runs) for scorer in site.scorers)
        process.signal(signal.SIGSTOP)
        client = client or site.caller()
        outbox = b"".join(client.frame(b"y" * body_bytes) for _ in range(32))
        client.sock.setblocking(True)
        client.sock.sendall(outbox)
        site.drop(client)
        left_s = time.monotonic()
        site.until(lambda: time.monotonic() > left_s + STOPPED_S, "it was stopped for long enough")
        process.signal(signal.SIGCONT)
        site.until(lambda: time.monotonic() > left_s + STOPPED_S + OBSERVED_S, "it was observed")
        assert sum(len(scorer.runs) for scorer in site.scorers) - before == 0
        assert STOPPED_S > LEFT_S
        assert site.served(other).verdict() == []
    finally:
        site.close()
