"""Slow start on real sockets: several front ends in one thread, and one scorer that has just started."""

import time

from peers import Rig, ScorerPeer
from support.slow_start_world import rule

from fawnwharf.net.timer_wheel import unix_ms

FRONT_ENDS, CONNECTIONS, CALLS = 6, 9, 30
SOLD_RPS, FALL_MS, COLD_SHARE, FALL_MULTIPLE = 62.5, 400.0, 0.2, 2.0
PATIENCE_S = 120.0  # iterations may take seconds, as the price of a decision grows with the calls that wait
ARRIVALS = 40  # that are waited for: more than the bound, some windows of them


class ColdScorer(ScorerPeer):
    """Notes when each call has arrived, and answers at once."""

    def __init__(self, up_since_ms):
        super().__init__()
        self.up_since_ms, self.at_ms = up_since_ms, []

    def member(self, phase="in_service", **more):
        return super().member(phase, up_since_ms=self.up_since_ms, **more)

    def pump(self):
        super().pump()
        for item in self.runs[len(self.at_ms) :]:
            self.at_ms.append(1000.0 * time.monotonic())
            self.answer(item)


def call_again(client, answered):
    """Replace each answered call by a new one, so that the storm lasts; returns the answers so far."""
    for _ in client.answers[answered:]:
        client.call(org="another")
    return len(client.answers)


def test_front_ends_in_a_storm_keep_a_scorers_bound_in_each_window():
    scorer = ColdScorer(unix_ms())
    settings = {
        "fleet_size": FRONT_ENDS,
        "tenants": [{"name": "acme", "quota_rps": SOLD_RPS}, {"name": "another"}],
        "invariants": {
            "cold": 1e9, "cold_share": COLD_SHARE, "fall": FALL_MS, "fall_multiple": FALL_MULTIPLE,
        },
    }  # fmt: skip
    rigs = [Rig(scorer, settings=settings) for _ in range(FRONT_ENDS)]
    try:
        clients = [rig.client() for rig in rigs for _ in range(CONNECTIONS)]
        for client in clients:
            for _ in range(CALLS):
                client.call(org="another")  # over no share of a tenant: only the slow start holds them
        answered = dict.fromkeys(clients, 0)
        end = time.monotonic() + PATIENCE_S
        while len(scorer.at_ms) < ARRIVALS:
            assert time.monotonic() < end, f"{len(scorer.at_ms)} calls have arrived"
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
    allowed = FALL_MULTIPLE * COLD_SHARE * SOLD_RPS * FALL_MS / 1000.0
    for at_ms in scorer.at_ms:
        assert sum(at_ms - FALL_MS < other <= at_ms for other in scorer.at_ms) <= rule(allowed)
