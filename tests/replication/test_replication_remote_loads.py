"""How a front end evaluates answers about remote loads, alone and among several cores; faulty settings."""

import msgspec
import pytest
from cores import Cores
from support.load_reports import first_answers, reporter_with_roster

from fawnwharf import interface as io
from fawnwharf.replication import messages as m
from fawnwharf.replication import settings as s
from fawnwharf.replication.load_report import CopyLocation
from fawnwharf.replication.load_report_store import LoadReportStore
from fawnwharf.replication.remote_loads import RemoteLoads, covers_fleet
from fawnwharf.zones.settings import SettingsFileError

GOOD, UNTOLD = io.AttemptResult.GOOD, io.Warmth.NOT_REPORTED


def remote_report(number, front_ends=6, sent=None, answer=None, loading=(), copies=()):
    return m.RemoteLoadReport(number, 1, answer or number, front_ends, 10.0, sent or {}, loading, copies)


def loads_with_reports(*numbers, at=0.0):
    """RemoteLoads that sent the reports with these numbers."""
    remote_loads = RemoteLoads(1_000.0, 3_000.0)
    for number in numbers:
        remote_loads.report_sent(at, number)
    return remote_loads


def test_sends_are_known_only_while_nearly_all_front_ends_report():
    assert [n for n in range(13) if covers_fleet(n, 12)] == [11, 12]
    assert not covers_fleet(5, 6)
    assert covers_fleet(27, 30)
    remote_loads = loads_with_reports(1, 2, 3, 4)
    assert remote_loads.changes(0.0, {7}, {7, 8}, 6) == []
    remote_loads.receive("k", 1, remote_report(1, 5, {"7": 4, "8": 9}))
    assert remote_loads.changes(10.0, {7}, {7, 8}, 6) == []
    remote_loads.receive("k", 1, remote_report(2, 6, {"7": 4, "8": 9}))
    assert remote_loads.changes(10.0, {7}, {7, 8}, 6) == [io.RemoteLoadReport(7, 4, {}, (), 20.0)]
    assert remote_loads.changes(10.0, {7}, {7, 8}, 6) == []  # unchanged
    assert remote_loads.changes(10.0, {7}, {7, 8}, 9) == [io.RemoteLoadReport(7, None, {}, (), 0.0)]
    remote_loads.receive("j", 1, remote_report(3, 6, {"7": 1}))
    # The other answer is dated the same and covers as many, so the first is kept.
    assert remote_loads.changes(20.0, {7}, {7, 8}, 6)[0].sent == 4
    # All answers have expired.
    assert remote_loads.changes(995.0, {7}, {7, 8}, 6) == [io.RemoteLoadReport(7, None, {}, (), 0.0)]


def test_a_scorer_in_slow_start_without_sends_is_reported():
    remote_loads = loads_with_reports(1)
    remote_loads.receive("k", 1, remote_report(1))
    assert remote_loads.changes(10.0, {7}, {7}, 6) == [io.RemoteLoadReport(7, 0, {}, (), 20.0)]


def test_repeated_reordered_and_unexpected_answers_change_nothing():
    remote_loads = loads_with_reports(1, 2)
    remote_loads.receive("k", 1, remote_report(2, sent={"7": 5}))
    for late in (
        remote_report(1, sent={"7": 1}),
        remote_report(2, sent={"7": 5}),
        remote_report(9, sent={"7": 8}, answer=99),
    ):
        remote_loads.receive("k", 1, late)
    assert remote_loads.counts == {"load reports: answers out of order": 3}
    assert [event.sent for event in remote_loads.changes(10.0, {7}, {7}, 6)] == [5]
    assert remote_loads.last_answers() == {"k": 2}
    # Another incarnation of the replica.
    remote_loads.receive("k", 9, remote_report(2, sent={"7": 6}, answer=1))
    assert remote_loads.last_answers() == {"k": 1}
    remote_loads.forget_replicas({"k"})
    assert remote_loads.last_answers() == {}
    assert remote_loads.best_answer(10.0) is None


def test_one_replica_answers_in_full_and_the_next_one_when_it_is_silent_or_incomplete():
    remote_loads, replicas = loads_with_reports(1, 2, 3, 4), ["j", "k"]
    assert remote_loads.choose_replica(0.0, replicas, 6) == ("j", 0)
    remote_loads.receive("j", 1, remote_report(1, answer=50))
    remote_loads.receive("k", 1, m.RemoteLoadReport(1, 1, 70))  # an acknowledgement
    assert remote_loads.choose_replica(300.0, replicas, 6) == ("j", 50)
    assert remote_loads.last_answers() == {"j": 50, "k": 70}
    assert remote_loads.best_answer(300.0).report.answer_number == 50
    remote_loads.receive("j", 1, m.RemoteLoadReport(2, 1, 51))
    assert remote_loads.choose_replica(400.0, replicas, 6) == ("j", 50)
    # j has sent no full answer for too long.
    assert remote_loads.choose_replica(500.0, replicas, 6) == ("k", 0)
    assert remote_loads.choose_replica(800.0, replicas, 6) == ("k", 0)
    remote_loads.report_sent(800.0, 9)
    remote_loads.receive("k", 1, remote_report(9, 4, answer=71))
    assert remote_loads.choose_replica(850.0, replicas, 6) == ("k", 71)
    assert remote_loads.choose_replica(950.0, replicas, 6) == ("j", 50)  # k answers for too few front ends
    assert remote_loads.choose_replica(960.0, ["k"], 6) == ("k", 71)  # j is no longer a replica
    assert remote_loads.choose_replica(960.0, [], 6) == ("", 0)
    store = LoadReportStore(1_000.0, 3_000.0, 1)
    known = first_answers(store, ["a#1", "b#1"])
    store.receive(10.0, "k", "a#1", m.LoadReport(1, {"k": known["a#1"]}, "j", 0, {"7": 3}))
    assert store.receive(10.0, "k", "b#1", m.LoadReport(1, {"k": known["b#1"]}, "j")).sent == {}
    assert store.receive(20.0, "k", "b#1", m.LoadReport(1, {"k": known["b#1"]}, "k")).sent == {"7": 3}


def test_the_latest_proof_of_a_copy_and_loads_of_any_replica_count_until_they_expire():
    remote_loads = loads_with_reports(1)
    remote_loads.receive(
        "k",
        1,
        remote_report(
            1,
            copies=(
                m.ProvenCopy(1, "f", 2, 50.0),
                m.ProvenCopy(1, "g", 1, 50.0),
                m.ProvenCopy(99, "f", 1, 1.0),
            ),
        ),
    )
    copies = m.ProvenCopy(1, "f", 0, 20.0), m.ProvenCopy(1, "g", 0, 90.0)
    remote_loads.receive("j", 1, remote_report(1, copies=copies, loading=(m.PendingLoad(2, "h", 300.0),)))
    found = {event.scorer: event for event in remote_loads.changes(0.0, set(), {1, 2}, 6)}
    assert found[1].copies == {"g": 1}
    assert found[2].loading == ("h",)
    assert 99 not in found
    assert remote_loads.known_copies == 2
    later = {event.scorer: event for event in remote_loads.changes(1_001.0, set(), {1, 2}, 6)}
    assert later == {2: io.RemoteLoadReport(2, None, {}, (), 0.0)}
    assert remote_loads.changes(2_940.0, set(), {1, 2}, 6) == []
    assert remote_loads.changes(2_951.0, set(), {1, 2}, 6) == [io.RemoteLoadReport(1, None, {}, (), 0.0)]
    assert remote_loads.changes(2_981.0, set(), {1, 2}, 6) == []
    assert remote_loads.known_copies == 0
    assert remote_loads.changes(3_000.0, set(), {1, 2}, 6) == []


def test_old_proofs_do_not_age_sends_and_loads():
    remote_loads = loads_with_reports(1)
    copies = (m.ProvenCopy(7, "f", 1, 40.0), m.ProvenCopy(7, "g", 2, 400.0), m.ProvenCopy(8, "g", 2, 400.0))
    remote_loads.receive("k", 1, remote_report(1, sent={"7": 3}, copies=copies))
    found = {event.scorer: event for event in remote_loads.changes(50.0, {7}, {7, 8}, 6)}
    assert found == {
        7: io.RemoteLoadReport(7, 3, {"f": 1}, (), 90.0),
        8: io.RemoteLoadReport(8, None, {"g": 2}, (), 450.0),
    }


def test_unchanged_reports_are_repeated_when_they_are_fresher():
    remote_loads, reported = loads_with_reports(), []
    for n in range(1, 31):
        remote_loads.report_sent(100.0 * n, n)
        remote_loads.receive("k", 1, remote_report(n, copies=(m.ProvenCopy(1, "f", 1, 0.0),)))
        reported += [(n, event.age_ms) for event in remote_loads.changes(100.0 * n, set(), {1}, 6)]
    assert reported == [(n, 0.0) for n in range(1, 31, 5)]


# --- several cores ------------------------------------------------------------------------------


class ReportingCores(Cores):
    """Cores that exchange load reports."""

    def __init__(self):
        super().__init__()
        for name in self.cores:
            self.enable_reports(name)

    def enable_reports(self, name):
        self.cores[name].load_reporter = reporter_with_roster(7, now=self.now)

    def report(self, times=2):
        """Let all front ends send this many load reports."""
        for _ in range(times):
            self.now += 100.0
            for name, core in self.cores.items():
                if name not in self.lost and core.load_reporter:
                    self.carry(name, core.send_load_report(self.now, core.load_reporter))

    def events(self, name):
        """The new remote load events of a front end, by scorer."""
        core = self.cores[name]
        return {e.scorer: e for e in core.remote_load_events(self.now, core.load_reporter, 6)}


def test_all_learn_what_the_others_sent_from_any_single_replica():
    for lost in range(3):
        fleet = ReportingCores()
        fleet.report()
        for n, core in enumerate(fleet.cores.values()):
            for _ in range(n + 1):
                core.load_reporter.attempt_sent(fleet.now, 7)
        fleet.cores["n0"].load_reporter.order_sent(fleet.now, CopyLocation(3, "f"), 1)
        fleet.report(1)
        fleet.report(1)
        events = {name: fleet.events(name) for name in fleet.cores}
        assert {name: found[7].sent for name, found in events.items()} == {f"n{n}": 20 - n for n in range(6)}
        assert all((3 in found) == (name != "n0") for name, found in events.items())
        # Replicas also report. Without their reports, sends are not known and earlier events are withdrawn.
        fleet.lost = set(fleet.keepers[:lost])
        fleet.now += 1_000.0
        fleet.report(3)
        left = [name for name in fleet.cores if name not in fleet.lost]
        wanted = None if lost else 0
        assert all(fleet.events(name)[7].sent == wanted for name in left)


def test_a_restarted_replica_soon_has_all_reports_and_a_partitioned_one_none():
    fleet = ReportingCores()
    fleet.report()
    replica, partitioned = fleet.keepers[0], fleet.owners[0]
    fleet.restart(replica)
    fleet.enable_reports(replica)
    for name in fleet.owners:
        fleet.cores[name].load_reporter.attempt_sent(fleet.now, 7)
    fleet.report(3)
    assert fleet.events(replica)[7].sent == 3
    fleet.lost = {partitioned}
    fleet.now += 1_000.0
    fleet.report(2)
    assert fleet.events(partitioned).get(7) is None
    assert fleet.events(replica)[7].sent is None
    fleet.lost = set()
    fleet.report(2)
    assert fleet.events(partitioned)[7].sent == 0 == fleet.events(replica)[7].sent


def test_a_front_end_with_load_reports_off_neither_answers_nor_counts():
    fleet = ReportingCores()
    off, one = fleet.keepers[0], fleet.owners[0]
    fleet.cores[off].load_reporter = None
    fleet.report(8)
    assert 7 not in fleet.events(one)
    counts = fleet.cores[one].status(fleet.now).counts
    assert counts["load reports: front ends received"] == 5
    assert counts["load reports: sent"] == 8
    assert not any(name.startswith("load reports: ") for name in fleet.cores[off].status(fleet.now).counts)


@pytest.mark.parametrize(
    ("rules", "key"),
    [
        ({"cold_told_ms": 300}, "cold_told_ms"),
        ({"elsewhere_ms": 400}, "word_ms"),
        ({"copies_ms": 500}, "copies_ms"),
        ({"elsewhere": 1}, "elsewhere"),
        ({"word_ms": 0}, "word_ms"),
    ],
)
def test_faulty_settings_are_named_by_key(rules, key):
    with pytest.raises(SettingsFileError, match=f"^{key}:"):
        s.parse_settings(msgspec.json.encode({"version": 1, "members": "m"} | rules))
