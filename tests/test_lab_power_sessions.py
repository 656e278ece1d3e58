"""Sessions that were moved, through a loss of power of the whole fleet, in real processes."""

import msgspec

from fawnwharf.testbed import moves
from fawnwharf.testbed import scenario as scenarios
from fawnwharf.testbed.run import Runner

KEPT_MS = 1_500.0  # before the cut a home is known for so long that it is on disk


def test_calls_of_sessions_that_were_moved_go_by_their_numbers_after_a_loss_of_power(monkeypatch):
    scenario = msgspec.structs.replace(scenarios.load("power-sessions"), recovery={})
    runner = Runner(scenario, 1)
    fleet = runner.fleet
    sent, trace = [], moves.traced

    def traced(of):  # before the files go with the run
        found = trace(of)
        sent.extend(found[0])
        return found

    monkeypatch.setattr(moves, "traced", traced)
    assert runner.run().verdict.broken == []
    cut_ms = fleet.marks["the power goes"]
    known = {(s.front, s.session) for s in sent if s.number > 0 and s.at_ms < cut_ms - KEPT_MS}
    after = [s for s in sent if (s.front, s.session) in known and s.at_ms > cut_ms]
    assert known and after
    assert not [s for s in after if s.number == 0]
