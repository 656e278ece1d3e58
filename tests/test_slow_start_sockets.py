"""Slow start on real sockets: several front ends in one thread, and a scorer that has just started."""

import time

from peers import Rig, ScorerPeer
from support.slow_start_world import rule

from fawnwharf.net.timer_wheel import unix_ms

FRONT_ENDS, CONNECTIONS, CALLS = 6, 9, 30
QUOTA_RPS, WINDOW_MS, COLD_SHARE, WINDOW_MULTIPLE = 62.5, 400.0, 0.2, 2.0
PATIENCE_S = 120.0  # an iteration may take seconds, as the cost of a decision grows with the waiting calls
ARRIVALS = 40  # calls to wait for: several windows of the allowed number


class ColdScorer(ScorerPeer):
    """Records when each call arrives, and answers at once."""

    def __init__(self, up_since_ms):
        super().__init__()
        self.up_since_ms, self.arrivals_ms = up_since_ms, []

    def member(self, phase="in_service", **more):
        return super().member(phase, up_since_ms=self.up_since_ms, **more)

    def pump(self):
        super().pump()
        for item in self.runs[len(self.arrivals_ms) :]:
            self.arrivals_ms.append(1000.0 * time.monotonic())
            self.answer(item)


def call_again(client, answered):
    """Send a new call for each answered one, so that the overload lasts; return the number of answers."""
    for _ in client.answers[answered:]:
        client.call(org="another")
    return len(client.answers)


def test_overloaded_front_ends_keep_a_starting_scorers_limit_in_each_window():
    scorer = ColdScorer(unix_ms())
    settings = {
        "fleet_size": FRONT_ENDS,
        "tenants": [{"name": "acme", "quota_rps": QUOTA_RPS}, {"name": "another"}],
        "invariants": {
            "cold": 1e9, "cold_share": COLD_SHARE, "fall": WINDOW_MS, "fall_multiple": WINDOW_MULTIPLE,
        },
    }  # fmt: skip
    rigs = [Rig(scorer, settings=settings) for _ in range(FRONT_ENDS)]
    try:
        clients = [rig.client() for rig in rigs for _ in range(CONNECTIONS)]
        for client in clients:
            for _ in range(CALLS):
                client.call(org="another")  # no tenant quota applies: only the slow start limits them
        answered = dict.fromkeys(clients, 0)
        end = time.monotonic() + PATIENCE_S
        while len(scorer.arrivals_ms) < ARRIVALS:
            assert time.monotonic() < end, f"{len(scorer.arrivals_ms)} calls have arrived"
            for rig in rigs:
                rig.front.loop.run_iteration(0.001)
                for peer in [rig.log, *rig.clients]:
                    peer.pump()
            scorer.pump()
            for client in clients:
                answered[client] = call_again(client, answered[client])
    finally:
        for rig in rigs:
            rig.close()
    allowed = WINDOW_MULTIPLE * COLD_SHARE * QUOTA_RPS * WINDOW_MS / 1000.0
    for at_ms in scorer.arrivals_ms:
        assert sum(at_ms - WINDOW_MS < other <= at_ms for other in scorer.arrivals_ms) <= rule(allowed)
