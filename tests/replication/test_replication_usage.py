"""Usage counters and quota shares; failure reports and outlier ejection."""

from cores import Cores
from hypothesis import given, strategies

from fawnwharf.config import Fleet, Member
from fawnwharf.interface import AttemptResult, Warmth
from fawnwharf.net.front_end import scorer_number
from fawnwharf.net.roster_overlay import RosterOverlay
from fawnwharf.replication import messages as m
from fawnwharf.replication.failure_reports import FailureReportStore, FailureTracker, OutlierEjections
from fawnwharf.replication.outlier_ejection import OutlierEjector, excluding
from fawnwharf.replication.usage import MIN_SHARE_FRACTION, QuotaShares, UsageTable, quota_share

# --- usage --------------------------------------------------------------------------------------


def test_repeated_and_reordered_counters_count_once():
    reported = [m.UsageCounters(n, {"a": 10 * n}) for n in range(1, 8)]
    plain, mixed = UsageTable(), UsageTable()
    for n, counters in enumerate(reported):
        plain.receive(500.0 * n, "n1#1", counters)
        mixed.receive(500.0 * n, "n1#1", counters)
        mixed.receive(500.0 * n, "n1#1", reported[max(0, n - 2)])
        mixed.receive(500.0 * n, "n1#1", counters)
    assert plain.rates(3_100.0) == mixed.rates(3_100.0) == m.UsageRates({"a": 20.0}, 1)
    assert mixed.dropped["usage counters outdated"] == 14
    mixed.receive(3_200.0, "n1#1", m.UsageCounters(9, {"a": 3}))
    assert mixed.dropped["usage counters decreasing"] == 1
    assert mixed.rates(3_200.0) == m.UsageRates({"a": 20.0}, 1)
    assert mixed.rates(9_000.0) == m.UsageRates({}, 0)  # a silent owner has no rate


def test_a_new_incarnation_is_counted_by_itself():
    table = UsageTable()
    for n in range(5):
        table.receive(500.0 * n, "n1#1", m.UsageCounters(n + 1, {"a": 50 * n}))
    table.receive(2_500.0, "n1#2", m.UsageCounters(1, {"a": 0}))
    assert table.rates(2_600.0) == m.UsageRates({"a": 100.0}, 1)


rates = strategies.lists(strategies.floats(0.0, 500.0), min_size=1, max_size=12)


@given(rates, strategies.floats(1.0, 2_000.0))
def test_shares_of_front_ends_with_the_same_rates_add_up_to_the_quota(own_rates, quota):
    total, front_ends = sum(own_rates), len(own_rates)
    shares = [quota_share(quota, front_ends, own_rps, total, front_ends) for own_rps in own_rates]
    floors = (
        sum(MIN_SHARE_FRACTION * quota / front_ends >= share - 1e-9 for share in shares)
        * MIN_SHARE_FRACTION
        * quota
        / front_ends
    )
    assert sum(shares) <= quota + floors + 1e-6
    if total <= quota:  # each front end gets at least its rate
        assert all(share >= own_rps - 1e-6 for share, own_rps in zip(shares, own_rates, strict=True))
        assert sum(shares) >= quota - 1e-6
    assert min(shares) >= MIN_SHARE_FRACTION * quota / front_ends - 1e-9


def test_a_share_is_equal_while_few_report_and_by_rate_when_most_do():
    assert quota_share(120.0, 6, 50.0, 60.0, 3) == 20.0
    assert quota_share(120.0, 6, 30.0, 120.0, 4) == 30.0
    assert quota_share(120.0, 6, 60.0, 240.0, 4) == 30.0


def test_shares_follow_the_rates_and_fall_back_when_replicas_are_silent():
    cores = Cores()
    for core in cores.cores.values():
        core.quota_shares = QuotaShares({"a": 120.0}, 6)
    busy = cores.owners[0]
    for n in range(12):
        for name, core in cores.cores.items():
            core.quota_shares.count_calls(["a"] * (25 if name == busy else 2) + ["unknown"])
            cores.carry(name, core.send_usage(cores.now))
            cores.broadcast_rates(name)
        cores.wait(500)
        changed = {name: core.quota_shares.changes(cores.now) for name, core in cores.cores.items()}
        assert n < 11 or not changed[busy]
    shares = {name: core.quota_shares.shares_rps["a"] for name, core in cores.cores.items()}
    assert shares[busy] > 50.0
    assert sum(shares.values()) <= 125.0
    cores.now += 5_000
    cores.cores[busy].quota_shares.changes(cores.now)
    assert cores.cores[busy].quota_shares.shares_rps["a"] == 20.0


# --- failure reports and outlier ejection -------------------------------------------------------


def test_failures_of_a_scorer_are_reported_until_a_success():
    untold, load = Warmth.NOT_REPORTED, Warmth.WAITED_FOR_LOAD
    table = [  # result, duration in ms, warmth, whether one such result is reported, whether two are
        (AttemptResult.TIMEOUT, 100.0, untold, True, True),
        (AttemptResult.RESET, 5.0, untold, True, True),
        (AttemptResult.CONNECT_FAILED, 5.0, untold, True, True),
        (AttemptResult.CANCELLED, 900.0, untold, False, True),
        (AttemptResult.CANCELLED, 20.0, untold, False, False),
        (AttemptResult.GOOD, 900.0, untold, False, True),
        (AttemptResult.GOOD, 900.0, load, False, False),
        (AttemptResult.NOT_SENT, 0.0, untold, False, False),
    ]
    for result, took_ms, warmth, once, twice in table:
        tracker = FailureTracker(400.0)
        tracker.record(0.0, 7, result, took_ms, warmth)
        assert tracker.report(10.0).failures == ({"7": 1} if once else {}), result
        tracker.record(15.0, 7, result, took_ms, warmth)
        assert tracker.report(16.0).failures == ({"7": 2} if twice else {}), result
        tracker.record(20.0, 7, AttemptResult.GOOD, 30.0)
        assert tracker.report(30.0).failures == {}
        assert tracker.last_success_ms(7) == 20.0
        tracker.record(40.0, 7, AttemptResult.GOOD, 900.0)
        assert tracker.report(41.0).failures == {}  # the success cleared the earlier hard failure
    tracker.record(50.0, 7, AttemptResult.TIMEOUT, 400.0)
    assert tracker.report(51.0).failures == {"7": 2}
    assert tracker.report(5_000.0).failures == {}  # the failures are too old


def test_a_scorer_is_an_outlier_when_enough_front_ends_report_it():
    reports = FailureReportStore()
    for n in range(1, 4):
        assert reports.outliers(0.0, 18) == m.ReportedOutliers({})
        reports.receive(0.0, f"n{n}#1", m.FailureReport(2, {"7": 9}))
        reports.receive(0.0, f"n{n}#1", m.FailureReport(1, {"8": 9}))  # an outdated report
    assert reports.outliers(0.0, 18) == m.ReportedOutliers({"7": 3})
    reports.receive(500.0, "n1#1", m.FailureReport(3, {}))
    assert reports.outliers(500.0, 18) == m.ReportedOutliers({})
    assert reports.outliers(500.0, 6) == m.ReportedOutliers({"7": 2})
    reports.receive(600.0, "n2#2", m.FailureReport(1, {"7": 1}))  # another incarnation is the same reporter
    assert reports.outliers(600.0, 18) == m.ReportedOutliers({})
    assert reports.outliers(2_000.0, 2) == m.ReportedOutliers({})


def test_ejections_get_longer_and_never_exceed_a_part_of_a_zone():
    zones = {n: "a" if n < 8 else "b" for n in range(16)}
    counts, ejections, tracker = {"a": 8, "b": 8}, OutlierEjections(), FailureTracker(400.0)
    reported = m.ReportedOutliers({"1": 3})
    ejections.apply(0.0, reported, tracker, zones, counts)
    assert ejections.ejected(1_999.0) == {1}
    assert ejections.ejected(2_000.0) == set()
    ejections.apply(2_100.0, reported, tracker, zones, counts)
    assert ejections.ejected(6_000.0) == {1}
    assert ejections.ejected(6_200.0) == set()
    ejections.apply(20_000.0, reported, tracker, zones, counts)  # after the repeat window
    assert ejections.ejected(21_900.0) == {1}
    assert ejections.ejected(22_100.0) == set()
    ejections.apply(
        40_000.0, m.ReportedOutliers({str(n): 9 for n in (1, 2, 3, 4, 9, 99)}), tracker, zones, counts
    )
    assert ejections.ejected(40_100.0) == {1, 2, 9}
    assert ejections.refused == 2


def test_a_recent_own_success_prevents_ejection():
    ejections, tracker = OutlierEjections(), FailureTracker(400.0)
    tracker.record(1_000.0, 1, AttemptResult.GOOD, 10.0)
    ejections.apply(1_500.0, m.ReportedOutliers({"1": 9}), tracker, {1: "a"}, {"a": 8})
    assert ejections.ejected(1_500.0) == set()
    ejections.apply(1_700.0, m.ReportedOutliers({"1": 9}), tracker, {1: "a"}, {"a": 8})
    assert ejections.ejected(1_700.0) == {1}


def entry(name, zone="a", phase="in_service"):
    return Member(id=name, host_port="127.0.0.1:1", locality=zone, phase=phase, size=1.0)


def test_an_ejected_scorer_is_reported_as_draining_and_others_keep_their_phase():
    overlay = RosterOverlay()
    reported = overlay.apply(Fleet([entry("s1"), entry("s2"), entry("s3", phase="terminating")], True, 1))
    assert [member.phase for member in reported.members] == ["in_service", "in_service", "terminating"]
    changes = overlay.set_filter("state", excluding(frozenset({"s1", "s3"})))
    phases = {member.id: member.phase for member in changes.members}
    assert phases == {"s1": "terminating"}  # the phase of s3 is unchanged
    reported = overlay.apply(Fleet([entry("s1"), entry("s3", phase="terminating")], False, 2))
    assert [member.phase for member in reported.members] == ["terminating", "terminating"]
    overlay.apply(Fleet([entry("s2", phase="terminating")], False, 3))
    changes = overlay.set_filter("state", excluding(frozenset()))
    phases = {member.id: member.phase for member in changes.members}
    assert phases == {"s1": "in_service"}


def reported_outliers(*names):
    return m.ReportedOutliers({str(scorer_number(name)): 9 for name in names})


def test_an_ejection_lasts_for_its_time_and_is_logged_once():
    overlay, events = RosterOverlay(), []
    ejector = OutlierEjector(400.0, lambda _event, fields: events.append(fields))
    overlay.apply(Fleet([entry(f"s{n}") for n in range(8)], True, 1))
    steps = [
        (1_000.0, [], {}),
        (1_250.0, [reported_outliers("s1", "s9")], {"s1": "terminating"}),
        (1_500.0, [reported_outliers("s1", "s2")], {"s2": "terminating"}),
        (1_750.0, [reported_outliers("s3")], {}),  # a quarter of the zone is already ejected
        (3_250.0, [], {"s1": "in_service"}),
        (3_500.0, [], {"s2": "in_service"}),
        (3_750.0, [], {}),
    ]
    for now, reported, expected in steps:
        changes = ejector.update(now, reported, overlay)
        assert {member.id: member.phase for member in changes.members} == expected, now
    assert [fields["now"] for fields in events] == [["s1"], ["s1", "s2"], ["s2"], []]


def test_scorers_that_others_take_out_are_neither_ejected_nor_counted():
    overlay, ejector = RosterOverlay(), OutlierEjector(400.0, lambda _event, _fields: None)
    overlay.apply(Fleet([entry(f"s{n}") for n in range(8)], True, 1))
    overlay.set_filter("zones", lambda member: member.id in ("s0", "s4", "s5", "s6"))
    changes = ejector.update(1_000.0, [reported_outliers("s0", "s1", "s2")], overlay)
    assert [member.id for member in changes.members] == ["s1"]
    assert ejector.ejections.refused == 1
    overlay.set_filter("zones", None)
    changes = ejector.update(1_250.0, [reported_outliers("s0")], overlay)
    assert [member.id for member in changes.members] == ["s0"]
    assert ejector.ejected_ids == {"s0", "s1"}
