"""What a front end makes of what keepers answer on others' work; several cores; faults of settings."""

import msgspec
import pytest
from cores import Cores
from support.load_reports import greeted, own

from fawnwharf import interface as io
from fawnwharf.replication import messages as m
from fawnwharf.replication import settings as s
from fawnwharf.replication.load_report import CopyLocation
from fawnwharf.replication.load_report_store import LoadReportStore
from fawnwharf.replication.remote_loads import RemoteLoads, most_heard
from fawnwharf.zones.settings import SettingsFileError

GOOD, UNTOLD = io.AttemptResult.GOOD, io.Warmth.UNTOLD


def others(number, heard=6, sent=None, answer=None, age=10.0, loading=(), copies=()):
    return m.RemoteLoadReport(number, 1, answer or number, heard, age, sent or {}, loading, copies)


def asked(*numbers, at=0.0):
    view = RemoteLoads(1_000.0, 3_000.0)
    for number in numbers:
        view.report_sent(at, number)
    return view


def test_sends_are_known_only_while_nearly_all_are_heard():
    assert (
        [n for n in range(13) if most_heard(n, 12)] == [11, 12]
        and not most_heard(5, 6)
        and most_heard(27, 30)
    )
    view = asked(1, 2, 3, 4)
    assert view.changes(0.0, {7}, {7, 8}, 6) == []
    view.receive("k", 1, others(1, 5, {"7": 4, "8": 9}))
    assert view.changes(10.0, {7}, {7, 8}, 6) == []
    view.receive("k", 1, others(2, 6, {"7": 4, "8": 9}))
    assert view.changes(10.0, {7}, {7, 8}, 6) == [io.RemoteLoadReport(7, 4, {}, (), 20.0)]
    assert view.changes(10.0, {7}, {7, 8}, 6) == []  # it was told
    assert view.changes(10.0, {7}, {7, 8}, 9) == [io.RemoteLoadReport(7, None, {}, (), 0.0)]
    view.receive("j", 1, others(3, 6, {"7": 1}))
    assert view.changes(20.0, {7}, {7, 8}, 6)[0].sent == 4  # as good as the other one
    assert view.changes(995.0, {7}, {7, 8}, 6) == [
        io.RemoteLoadReport(7, None, {}, (), 0.0)
    ]  # all of it is old


def test_a_cold_scorer_to_which_nobody_sent_is_known_to_have_room():
    view = asked(1)
    view.receive("k", 1, others(1))
    assert view.changes(10.0, {7}, {7}, 6) == [io.RemoteLoadReport(7, 0, {}, (), 20.0)]


def test_answers_repeated_reordered_or_to_no_word_of_ours_change_nothing():
    view = asked(1, 2)
    view.receive("k", 1, others(2, sent={"7": 5}))
    for late in (others(1, sent={"7": 1}), others(2, sent={"7": 5}), others(9, sent={"7": 8}, answer=99)):
        view.receive("k", 1, late)
    assert view.counts == {"load reports: answers out of order": 3}
    assert [event.sent for event in view.changes(10.0, {7}, {7}, 6)] == [5]
    assert view.last_answers() == {"k": 2}
    view.receive("k", 9, others(2, sent={"7": 6}, answer=1))  # another life of the keeper
    assert view.last_answers() == {"k": 1}
    view.forget_replicas({"k"})
    assert view.last_answers() == {} and view.best_answer(10.0) is None


def test_one_keeper_tells_all_and_the_next_one_where_it_is_silent_or_hears_few():
    view, keepers = asked(1, 2, 3, 4), ["j", "k"]
    assert view.choose_replica(0.0, keepers, 6) == ("j", 0)
    view.receive("j", 1, others(1, answer=50))
    view.receive("k", 1, m.RemoteLoadReport(1, 1, 70))  # it only answers
    assert view.choose_replica(300.0, keepers, 6) == ("j", 50) and view.last_answers() == {"j": 50, "k": 70}
    assert view.best_answer(300.0).report.answer_number == 50
    view.receive("j", 1, m.RemoteLoadReport(2, 1, 51))
    assert view.choose_replica(400.0, keepers, 6) == ("j", 50)
    assert view.choose_replica(500.0, keepers, 6) == ("k", 0)  # it told nothing for long
    assert view.choose_replica(800.0, keepers, 6) == ("k", 0)
    view.report_sent(800.0, 9)
    view.receive("k", 1, others(9, 4, answer=71))
    assert view.choose_replica(850.0, keepers, 6) == ("k", 71)
    assert view.choose_replica(950.0, keepers, 6) == ("j", 50)  # the other one hears few
    assert view.choose_replica(960.0, ["k"], 6) == ("k", 71)  # it is no keeper any more
    assert view.choose_replica(960.0, [], 6) == ("", 0)
    words = LoadReportStore(1_000.0, 3_000.0, 1)
    known = greeted(words, ["a#1", "b#1"])
    words.receive(10.0, "k", "a#1", m.LoadReport(1, {"k": known["a#1"]}, "j", 0, {"7": 3}))
    assert words.receive(10.0, "k", "b#1", m.LoadReport(1, {"k": known["b#1"]}, "j")).sent == {}
    assert words.receive(20.0, "k", "b#1", m.LoadReport(1, {"k": known["b#1"]}, "k")).sent == {"7": 3}


def test_of_copies_the_latest_proof_counts_and_loads_of_any_keeper_and_all_fade():
    view = asked(1)
    view.receive(
        "k",
        1,
        others(
            1,
            copies=(
                m.ProvenCopy(1, "f", 2, 50.0),
                m.ProvenCopy(1, "g", 1, 50.0),
                m.ProvenCopy(99, "f", 1, 1.0),
            ),
        ),
    )
    view.receive("j", 1, others(1, copies=(m.ProvenCopy(1, "f", 0, 20.0), m.ProvenCopy(1, "g", 0, 90.0)),
                              loading=(m.PendingLoad(2, "h", 300.0),)))  # fmt: skip
    found = {event.scorer: event for event in view.changes(0.0, set(), {1, 2}, 6)}
    assert found[1].copies == {"g": 1} and found[2].loading == ("h",) and 99 not in found
    assert view.known_copies == 2
    gone = {event.scorer: event for event in view.changes(1_001.0, set(), {1, 2}, 6)}
    assert gone == {2: io.RemoteLoadReport(2, None, {}, (), 0.0)}
    assert view.changes(2_940.0, set(), {1, 2}, 6) == []
    assert view.changes(2_951.0, set(), {1, 2}, 6) == [io.RemoteLoadReport(1, None, {}, (), 0.0)]
    assert view.changes(2_981.0, set(), {1, 2}, 6) == []
    assert view.known_copies == 0 and view.changes(3_000.0, set(), {1, 2}, 6) == []


def test_old_proofs_leave_what_is_told_of_sends_and_loads_fresh():
    view = asked(1)
    copies = (m.ProvenCopy(7, "f", 1, 40.0), m.ProvenCopy(7, "g", 2, 400.0), m.ProvenCopy(8, "g", 2, 400.0))
    view.receive("k", 1, others(1, sent={"7": 3}, copies=copies))
    found = {event.scorer: event for event in view.changes(50.0, {7}, {7, 8}, 6)}
    assert found == {
        7: io.RemoteLoadReport(7, 3, {"f": 1}, (), 90.0),
        8: io.RemoteLoadReport(8, None, {"g": 2}, (), 450.0),
    }


def test_what_stays_the_same_is_told_again_when_it_is_fresher():
    view, told = asked(), []
    for n in range(1, 31):
        view.report_sent(100.0 * n, n)
        view.receive("k", 1, others(n, copies=(m.ProvenCopy(1, "f", 1, 0.0),)))
        told += [(n, event.age_ms) for event in view.changes(100.0 * n, set(), {1}, 6)]
    assert told == [(n, 0.0) for n in range(1, 31, 5)]


# --- several cores ------------------------------------------------------------------------------


class Fleet(Cores):
    """Cores that tell each other of their work."""

    def __init__(self):
        super().__init__()
        for name in self.cores:
            self.begin_own(name)

    def begin_own(self, name):
        self.cores[name].load_reporter = own(7, now=self.now)

    def tell(self, times=2):
        for _ in range(times):
            self.now += 100.0
            for name, core in self.cores.items():
                if name not in self.lost and core.load_reporter:
                    self.carry(name, core.send_load_report(self.now, core.load_reporter))

    def seen(self, name):
        core = self.cores[name]
        return {e.scorer: e for e in core.remote_load_events(self.now, core.load_reporter, 6)}


def test_all_learn_what_the_others_sent_and_each_keeper_alone_is_enough():
    for lost in range(3):
        fleet = Fleet()
        fleet.tell()
        for n, core in enumerate(fleet.cores.values()):
            for _ in range(n + 1):
                core.load_reporter.attempt_sent(fleet.now, 7)
        fleet.cores["n0"].load_reporter.order_sent(fleet.now, CopyLocation(3, "f"), 1)
        fleet.tell(1)
        fleet.tell(1)
        seen = {name: fleet.seen(name) for name in fleet.cores}
        assert {name: events[7].sent for name, events in seen.items()} == {f"n{n}": 20 - n for n in range(6)}
        assert all((3 in events) == (name != "n0") for name, events in seen.items())
        # Keepers are members too: without them sends are not known, and what was told is taken back.
        fleet.lost = set(fleet.keepers[:lost])
        fleet.now += 1_000.0
        fleet.tell(3)
        left = [name for name in fleet.cores if name not in fleet.lost]
        wanted = None if lost else 0
        assert all(fleet.seen(name)[7].sent == wanted for name in left)


def test_a_keeper_that_starts_again_soon_knows_all_and_one_cut_off_has_nothing():
    fleet = Fleet()
    fleet.tell()
    keeper, away = fleet.keepers[0], fleet.owners[0]
    fleet.restart(keeper)
    fleet.begin_own(keeper)
    for name in fleet.owners:
        fleet.cores[name].load_reporter.attempt_sent(fleet.now, 7)
    fleet.tell(3)
    assert fleet.seen(keeper)[7].sent == 3
    fleet.lost = {away}
    fleet.now += 1_000.0
    fleet.tell(2)
    assert fleet.seen(away).get(7) is None and fleet.seen(keeper)[7].sent is None
    fleet.lost = set()
    fleet.tell(2)
    assert fleet.seen(away)[7].sent == 0 == fleet.seen(keeper)[7].sent


def test_who_has_it_off_answers_nobody_and_is_not_heard():
    fleet = Fleet()
    off, one = fleet.keepers[0], fleet.owners[0]
    fleet.cores[off].load_reporter = None
    fleet.tell(8)
    assert 7 not in fleet.seen(one)
    counts = fleet.cores[one].status(fleet.now).counts
    assert counts["load reports: front ends received"] == 5 and counts["load reports: sent"] == 8
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
def test_faults_of_its_settings_are_named_by_key(rules, key):
    with pytest.raises(SettingsFileError, match=f"^{key}:"):
        s.parse_settings(msgspec.json.encode({"version": 1, "members": "m"} | rules))
