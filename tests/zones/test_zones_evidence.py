"""Health evidence, and the view of a zone that follows from it."""

from fawnwharf.interface import AttemptResult
from fawnwharf.zones import settings as s
from fawnwharf.zones.evidence import EvidenceCollector, ZoneEvidence, ZoneHealth, zone_health


def test_a_view_needs_enough_observations():
    settings = s.EvidenceSettings()
    expected_health = {
        None: ZoneHealth.UNKNOWN,
        ZoneEvidence(connect_failures=2): ZoneHealth.UNKNOWN,
        ZoneEvidence(connect_failures=3): ZoneHealth.DEAD,
        ZoneEvidence(responses=1, timeouts=4): ZoneHealth.DEAD,
        ZoneEvidence(responses=2, timeouts=4): ZoneHealth.GOOD,
        ZoneEvidence(responses=4, slow_responses=2): ZoneHealth.SLOW,
        ZoneEvidence(responses=4, slow_responses=1): ZoneHealth.GOOD,
        ZoneEvidence(
            responses=40, connect_failures=3, failing_scorers=3, since_success_ms=400.0
        ): ZoneHealth.DEAD,
        ZoneEvidence(
            responses=40, connect_failures=3, failing_scorers=3, since_success_ms=399.0
        ): ZoneHealth.GOOD,
        ZoneEvidence(
            responses=40, connect_failures=9, failing_scorers=2, since_success_ms=900.0
        ): ZoneHealth.GOOD,  # too few failing scorers to conclude that the zone is dead
    }
    for evidence, expected in expected_health.items():
        assert zone_health(evidence, settings) is expected, evidence


def test_evidence_older_than_the_window_is_forgotten():
    collector = EvidenceCollector(s.EvidenceSettings(window_ms=1_000.0), latency_target_ms=200.0)
    collector.record_ending(0.0, "a", 1, AttemptResult.GOOD, 50.0)
    collector.record_ending(400.0, "a", 1, AttemptResult.GOOD, 300.0)
    collector.record_ending(900.0, "a", 1, AttemptResult.CANCELLED, 250.0)
    collector.record_ending(900.0, "a", 1, AttemptResult.CANCELLED, 20.0)
    collector.record_ending(900.0, "b", 2, AttemptResult.NOT_SENT, 0.0)
    collector.record_probe(900.0, "b", 2, connected=False)
    a, b = (
        ZoneEvidence(responses=2, slow_responses=1, timeouts=1, failing_scorers=1, since_success_ms=550.0),
        ZoneEvidence(connect_failures=1, failing_scorers=1, since_success_ms=50.0),
    )
    assert collector.evidence(950.0) == {"a": a, "b": b}
    a, b = (
        ZoneEvidence(responses=1, slow_responses=1, timeouts=1, failing_scorers=1, since_success_ms=950.0),
        ZoneEvidence(connect_failures=1, failing_scorers=1, since_success_ms=450.0),
    )
    assert collector.evidence(1_350.0) == {"a": a, "b": b}
    assert collector.evidence(5_000.0) == {}


def test_consecutive_failures_are_counted_by_scorer_and_ended_by_one_success():
    collector = EvidenceCollector(s.EvidenceSettings(), latency_target_ms=200.0)
    collector.record_probe(0.0, "a", 1, connected=True)
    for at_ms, scorer in ((100.0, 1), (200.0, 1), (300.0, 2), (400.0, 3)):
        collector.record_probe(at_ms, "a", scorer, connected=False)
    assert collector.evidence(500.0)["a"] == ZoneEvidence(
        responses=1, connect_failures=4, failing_scorers=3, since_success_ms=500.0
    )
    assert zone_health(collector.evidence(500.0)["a"], s.EvidenceSettings()) is ZoneHealth.DEAD
    assert collector.since_success_ms(500.0, "a") == 500.0
    collector.record_ending(600.0, "a", 2, AttemptResult.GOOD, 10.0)
    assert collector.evidence(600.0)["a"] == ZoneEvidence(responses=2, connect_failures=4)
