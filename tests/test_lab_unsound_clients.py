"""Unsound clients at front ends with replicated state, beside usual ones, over replacements and kills."""

import random
from collections import Counter

import pytest
from support import unsound_clients
from support.unsound_clients import KINDS, MAY_BE_SERVED, UnsoundClient

from fawnwharf.testbed import checker
from fawnwharf.testbed import scenario as scenarios
from fawnwharf.testbed.run import Runner
from fawnwharf.testbed.topology import KINDS as CLASSES
from fawnwharf.testbed.topology import PORT, TENANTS

PUMP_MS = 3.0
SERVED = "was served"


class UnsoundCrowd:
    """One client of each kind, at front ends in turn, from when all are ready; pumped by the fleet's loop."""

    def __init__(self, fleet):
        self.fleet, self.clients = fleet, []
        self._pump()

    def _pump(self):
        self.fleet.loop.timers.after(PUMP_MS, self._pump)
        fronts = list(self.fleet.fronts.values())
        if not self.clients and all(front.ready for front in fronts):
            hosts = [front.host for front in fronts]
            self.clients = [
                UnsoundClient((hosts[number % len(hosts)], PORT), kind) for number, kind in enumerate(KINDS)
            ]
        for client in self.clients:
            client.pump()

    def close(self):
        for client in self.clients:
            client.close()


def _broken_rations(fleet, crowd):
    """Check the ration of load orders by all requests that count as arrived, also those of the crowd.

    The first request under an id is sound and is served; the test bed knows only those of its own clients.
    """
    verdict = checker.Verdict([], Counter())
    for front in fleet.fronts.values():
        tries = [each for request in fleet.clients.requests for each in request.tries]
        arrived = [each.sent_ms for each in tries if each.front == front.name and each.outcome != "not taken"]
        for client in crowd.clients:
            if client.host == front.host and MAY_BE_SERVED.get(client.kind):
                arrived += [1_000.0 * began_s for began_s in client.began_s]
        orders = [each.at_ms for each in fleet.arrivals if (each.what, each.sender) == ("order", front.name)]
        checker._check_orders(front.name, sorted(orders), sorted(arrived), verdict)
    assert verdict.checked["loads"] > 0
    return verdict.broken


@pytest.mark.parametrize("op", [each.name for each in CLASSES])
def test_none_is_served_with_replicated_state_while_processes_are_replaced(monkeypatch, op):
    names = {"op": op, "org": TENANTS[0], "row": f"{random.getrandbits(64):016x}", "dedupe": "unsound-1"}
    monkeypatch.setattr(unsound_clients, "NAMES", names)
    runner = Runner(scenarios.load("upgrade-state"), seed=5)
    crowd = UnsoundCrowd(runner.fleet)
    try:
        measures = runner.run()
    finally:
        crowd.close()
    others = [text for text in measures.verdict.broken if not text.startswith("loads:")]
    assert others == []
    assert _broken_rations(runner.fleet, crowd) == []
    assert all(client.rounds > 0 for client in crowd.clients)
    assert [fault for client in crowd.clients for fault in client.faults if SERVED in fault] == []
