"""Load reporters and a replica's store of their reports, in virtual time."""

import random

import msgspec
from hypothesis import given, settings, strategies
from support.load_reports import first_answers, reporter_with_roster

from fawnwharf import interface as io
from fawnwharf.replication import messages as m
from fawnwharf.replication.load_report import MAX_COPIES, MAX_REPORTED_COPIES, CopyLocation
from fawnwharf.replication.load_report_store import MAX_LOCATIONS, LoadReportStore, OwnerReport
from fawnwharf.replication.remote_loads import RemoteLoads

GOOD, UNTOLD = io.AttemptResult.GOOD, io.Warmth.NOT_REPORTED


# --- the reports of an owner --------------------------------------------------------------------


def test_sends_are_counted_within_their_window_for_scorers_in_slow_start_only():
    reporter = reporter_with_roster(7)
    for at in (100.0, 900.0, 1_000.0):
        reporter.attempt_sent(at, 7)
        reporter.attempt_sent(at, 8)
    assert reporter.next_report(1_050.0, {}).sent == {"7": 3}
    assert reporter.next_report(1_100.0, {}).sent == {"7": 2}
    assert reporter.next_report(2_500.0, {}).sent == {}
    reporter.attempt_sent(3_990.0, 7)
    assert reporter.next_report(3_995.0, {}).sent == {"7": 1}
    assert reporter.scorers_in_slow_start(3_995.0) == {7}
    assert reporter.next_report(4_001.0, {}).sent == {}
    assert reporter.scorers_in_slow_start(4_001.0) == set()


def test_an_order_is_a_pending_load_until_it_ends_and_a_probe_never_is():
    reporter = reporter_with_roster()
    reporter.order_sent(0.0, CopyLocation(1, "f"), 0)
    assert reporter.next_report(1.0, {}).loading == ()
    assert not reporter.has_pending_loads
    reporter.order_sent(10.0, CopyLocation(1, "f"), 1)
    reporter.order_sent(20.0, CopyLocation(2, "f"), 2)
    assert reporter.next_report(30.0, {}).loading == (
        m.PendingLoad(2, "f", 10.0),
        m.PendingLoad(1, "f", 20.0),
    )
    # The answer to the probe does not end the load.
    reporter.order_ended(40.0, CopyLocation(1, "f"), 0, GOOD, 0)
    reporter.order_ended(50.0, CopyLocation(2, "f"), 2, GOOD, 2)
    report = reporter.next_report(60.0, {})
    assert report.loading == (m.PendingLoad(1, "f", 50.0),)
    assert set(report.copies) == {m.ProvenCopy(2, "f", 2, 10.0), m.ProvenCopy(1, "f", 0, 20.0)}
    assert reporter.next_report(10_011.0, {}).loading == ()
    assert not reporter.has_pending_loads


def test_copies_are_reported_on_change_and_after_a_third_of_their_lifetime():
    reporter = reporter_with_roster()
    reported = []
    for at in range(0, 3_000, 100):
        reporter.attempt_ended(float(at), CopyLocation(1, "f"), GOOD, UNTOLD)
        reported += [(at, copy.copies) for copy in reporter.next_report(float(at), {}).copies]
    assert reported == [(0, 1), (1_000, 1), (2_000, 1)]
    reporter.attempt_ended(3_000.0, CopyLocation(1, "f"), io.AttemptResult.MISS, UNTOLD)
    assert reporter.next_report(3_000.0, {}).copies == (m.ProvenCopy(1, "f", 0, 0.0),)
    reporter.attempt_ended(3_100.0, CopyLocation(1, "f"), io.AttemptResult.TIMEOUT, UNTOLD)
    reporter.order_ended(3_100.0, CopyLocation(1, "f"), 0, io.AttemptResult.RESET, 0)
    assert reporter.next_report(3_200.0, {}).copies == ()  # a timeout and a reset prove nothing


def test_copies_of_a_restarted_or_removed_scorer_are_forgotten():
    reporter = reporter_with_roster()
    for scorer in (1, 2, 3):
        reporter.attempt_ended(0.0, CopyLocation(scorer, "f"), GOOD, UNTOLD)
    reporter.roster_changed(100.0, 5_100.0, [io.ScorerEntry(1, up_since_ms=5_050.0)], complete=False)
    reporter.roster_changed(100.0, 5_100.0, [io.ScorerEntry(2, state=io.ScorerState.GONE)], complete=False)
    assert [copy.scorer for copy in reporter.next_report(100.0, {}).copies] == [3]
    assert reporter.scorers_in_slow_start(100.0) == {1}
    assert 2 not in reporter.scorers
    reporter.roster_changed(200.0, 5_200.0, [io.ScorerEntry(1, up_since_ms=5_050.0)], complete=True)
    assert reporter.scorers == {1}
    assert reporter.scorers_in_slow_start(200.0) == {1}


def test_a_report_has_the_latest_copies_and_says_how_many_it_omits():
    reporter = reporter_with_roster(copies_ms=30_000.0)
    for n in range(1_200):
        reporter.attempt_ended(float(n), CopyLocation(1, f"f{n}"), GOOD, UNTOLD)
        reporter.order_sent(float(n), CopyLocation(2, f"f{n}"), 1)
    report = reporter.next_report(1_200.0, {})
    assert [copy.function for copy in report.copies] == [
        f"f{n}" for n in range(1_199, 1_199 - MAX_REPORTED_COPIES, -1)
    ]
    assert report.loading[0].function == "f511"
    assert len(report.loading) == 64
    assert report.omitted == MAX_COPIES - MAX_REPORTED_COPIES + 512 - 64 == reporter.omitted
    assert (
        next(copy.function for copy in reporter.next_report(1_201.0, {}).copies)
        == f"f{1_199 - MAX_REPORTED_COPIES}"
    )
    for n in range(100):
        reporter.roster_changed(0.0, 0.0, [io.ScorerEntry(100 + n, up_since_ms=0.0)], complete=False)
        reporter.attempt_sent(1_200.0, 100 + n)
    assert len(reporter.next_report(1_201.0, {}).sent) == 64


# --- the store of a replica ---------------------------------------------------------------------

locations = strategies.sampled_from([(1, "f"), (2, "f"), (1, "g")])
report_contents = strategies.tuples(
    strategies.dictionaries(strategies.sampled_from("789"), strategies.integers(0, 50)),
    strategies.dictionaries(locations, strategies.integers(0, 3)),
    strategies.sets(locations),
)


def load_report(number, content, last_answers=None):
    """A report with this content: sends by scorer, copies by location, and locations of loads."""
    sent, copies, loads = content
    return m.LoadReport(
        number,
        last_answers or {},
        "k",
        0,
        sent,
        tuple(m.PendingLoad(*location, 1.0) for location in sorted(loads)),
        tuple(m.ProvenCopy(*location, count, 2.0) for location, count in copies.items()),
    )


@given(strategies.lists(report_contents, max_size=6), strategies.data())
def test_reports_merge_the_same_in_any_order_and_with_repeats(found, data):
    reports = [(load_report(n, content), 100.0 * n) for n, content in enumerate(found, 1)]
    plain, mixed = OwnerReport(), OwnerReport()
    for report, made_ms in reports:
        plain.merge(report, made_ms)
    order = data.draw(strategies.permutations(reports + reports))
    for report, made_ms in order:
        mixed.merge(report, made_ms)
    for report, made_ms in data.draw(strategies.permutations(reports)):
        mixed.merge(report, made_ms)
    assert plain == mixed


@given(
    strategies.lists(strategies.tuples(strategies.integers(0, 4), report_contents), max_size=12),
    strategies.data(),
)
def test_each_answer_has_the_others_reports_and_not_the_owners(found, data):
    store, owners = LoadReportStore(1_000.0, 3_000.0, 1), [f"n{n}#1" for n in range(5)]
    answers = first_answers(store, owners)
    reported = [
        (owners[index], load_report(n, content, {"k": answers[owners[index]]}))
        for n, (index, content) in enumerate(found, 1)
    ]
    last = {owner: {} for owner in owners}
    copies, loads = {}, {owner: () for owner in owners}
    for owner, report in reported:
        last[owner], loads[owner] = report.sent, report.loading
        copies |= {(copy.scorer, copy.function, owner): copy.copies for copy in report.copies}
    for at, (owner, report) in enumerate(data.draw(strategies.permutations(reported + reported))):
        store.receive(20.0 * at, "k", owner, report)
    now = 20.0 + 40.0 * len(reported)
    for owner in owners:
        answer = store.receive(now, "k", owner, m.LoadReport(0, {"k": answers[owner]}, "k"))
        sums = {}
        for other, sent in last.items():
            for scorer, count in sent.items() if other != owner else ():
                sums[scorer] = sums.get(scorer, 0) + count
        assert answer.sent == {scorer: count for scorer, count in sums.items() if count}
        theirs = {(load.scorer, load.function) for other in owners if other != owner for load in loads[other]}
        assert {(load.scorer, load.function) for load in answer.loading} == theirs
        known = {(scorer, function) for scorer, function, other in copies if other != owner}
        assert {(copy.scorer, copy.function) for copy in answer.copies} == known


class DelayedLines:
    """Owners a and b and a replica k with unrelated clocks, and lines that are delayed or repeated."""

    def __init__(self, chance):
        self.chance, self.true_ms = chance, 0.0
        self.offsets_ms = {name: chance.uniform(-1e6, 1e6) for name in "kab"}
        self.store = LoadReportStore(1_000.0, 3_000.0, 1)
        self.remote_loads = {n: RemoteLoads(1_000.0, 3_000.0) for n in "ab"}
        self.in_transit, self.made_ms = [], {}

    def now(self, name):
        return self.true_ms + self.offsets_ms[name]

    def send(self, target, item):
        delay_ms = self.chance.choice((1.0, 20.0, 20.0, 400.0, 1_500.0))
        self.in_transit += [(self.true_ms + delay_ms, target, item)] * self.chance.choice((1, 1, 1, 2))

    def step(self, n):
        self.true_ms += 50.0
        for name in "ab" if n % 2 else ():
            sent = {"7": n} if name == "a" else {}
            copies = (m.ProvenCopy(7, f"f{n}", 1, 0.0),) if name == "a" else ()
            self.made_ms[n] = self.true_ms
            remote_loads = self.remote_loads[name]
            remote_loads.report_sent(self.now(name), n)
            wants = remote_loads.choose_replica(self.now(name), ["k"], 2)
            self.send("k", (name, m.LoadReport(n, remote_loads.last_answers(), *wants, sent, (), copies)))
        due = [line for line in self.in_transit if line[0] <= self.true_ms]
        self.in_transit = [line for line in self.in_transit if line[0] > self.true_ms]
        for _, target, item in due:
            if target == "k":
                name, report = item
                if answer := self.store.receive(self.now("k"), "k", f"{name}#1", report):
                    self.send(name, answer)
            else:
                self.remote_loads[target].receive("k", 1, item)


@given(strategies.integers(0, 1 << 30))
@settings(max_examples=60, deadline=None)
def test_no_report_seems_younger_than_it_is_with_any_clocks_and_delays(seed):
    lines, seen = DelayedLines(random.Random(seed)), 0
    for n in range(1, 120):
        lines.step(n)
        for event in lines.remote_loads["b"].changes(lines.now("b"), {7}, {7}, 2):
            seen += 1
            if event.sent:
                assert event.age_ms >= lines.true_ms - lines.made_ms[event.sent] - 1e-3
            for function in event.copies:
                assert event.age_ms >= lines.true_ms - lines.made_ms[int(function[1:])] - 1e-3
    assert seen > 0


def test_the_report_of_an_ended_incarnation_expires_and_the_next_counts_by_itself():
    store = LoadReportStore(1_000.0, 3_000.0, 1)
    answers = first_answers(store, ["a#1", "b#1"])
    loads, copies = (m.PendingLoad(7, "f", 0.0),), (m.ProvenCopy(7, "g", 2, 0.0),)
    store.receive(10.0, "k", "a#1", m.LoadReport(5, {"k": answers["a#1"]}, "k", 0, {"7": 9}, loads, copies))
    found = store.receive(500.0, "k", "b#1", m.LoadReport(2, {"k": answers["b#1"]}, "k"))
    assert (found.sent, found.loading, found.copies, found.front_ends) == (
        {"7": 9}, (m.PendingLoad(7, "f", 500.0),), (m.ProvenCopy(7, "g", 2, 500.0),), 2,
    )  # fmt: skip
    fresh = first_answers(store, ["a#2"], 600.0)["a#2"]
    store.receive(700.0, "k", "a#2", m.LoadReport(1, {"k": fresh}, "k", 0, {"7": 4}))
    found = store.receive(900.0, "k", "b#1", m.LoadReport(3, {"k": answers["b#1"]}, "k"))
    # One front end, with the sends of both incarnations.
    assert (found.sent, found.front_ends) == ({"7": 13}, 2)
    found = store.receive(1_200.0, "k", "b#1", m.LoadReport(4, {"k": found.answer_number}, "k"))
    assert (found.sent, found.loading, found.front_ends) == ({"7": 4}, (), 2)
    for incarnation in range(3, 9):
        first_answers(store, [f"a#{incarnation}"], 1_200.0 + 20.0 * incarnation)
    assert [owner for owner in store.owners if owner[0] == "a"] == []
    found = store.receive(9_000.0, "k", "b#1", m.LoadReport(5, {}, "k"))
    assert (found.sent, found.copies, found.front_ends) == ({}, (), 1)
    assert store.owners == {}


def test_reports_that_name_no_answer_of_this_incarnation_do_not_count():
    store = LoadReportStore(1_000.0, 3_000.0, 1)
    for number, after in enumerate(({}, {"k": 77}, {"j": 1}), 1):
        store.receive(100.0 * number, "k", "a#1", m.LoadReport(number, after, "k", 0, {"7": 9}))
    assert store.owners == {}
    assert store.counts == {"load reports: naming no known answer": 3}
    known = store.receive(400.0, "k", "a#1", m.LoadReport(4)).answer_number
    again = LoadReportStore(1_000.0, 3_000.0, 1 << 50)  # the next incarnation
    again.receive(500.0, "k", "a#1", m.LoadReport(5, {"k": known}, "k", 0, {"7": 9}))
    assert again.owners == {}


def test_too_frequent_reports_are_not_answered_and_the_store_stays_within_limits():
    store, answered = LoadReportStore(1_000.0, 3_000.0, 1), 0
    known = first_answers(store, ["a#1", "b#1", "c#1"])
    for n in range(1, 2_000):
        copies = tuple(m.ProvenCopy(n % 50, f"f{n}-{i}", 1, 0.0) for i in range(6))
        found = store.receive(
            10.0 + 0.1 * n, "k", "a#1", m.LoadReport(n, {"k": known["a#1"]}, "k", 0, {}, (), copies)
        )
        if found:
            answered, known["a#1"] = answered + 1, found.answer_number
    assert answered <= 41
    assert store.counts["load reports: too frequent"] >= 1_950
    assert len(store._changes) <= MAX_LOCATIONS
    loads = tuple(m.PendingLoad(n, f"g{n}", 1.0) for n in range(64))
    for n in range(8):
        owner = f"d{n}#1"
        known |= first_answers(store, [owner], 250.0)
        sent = {str(n * 20 + i): 3 for i in range(20)}
        own_loads = tuple(m.PendingLoad(load.scorer, f"{load.function}-{n}", 1.0) for load in loads)
        store.receive(300.0, "k", owner, m.LoadReport(1, {"k": known[owner]}, "k", 0, sent, own_loads))
    found = store.receive(400.0, "k", "b#1", m.LoadReport(1, {"k": known["b#1"]}, "k"))
    assert (len(found.sent), len(found.loading), len(found.copies)) == (64, 256, 256)
    assert found.omitted > 1_000
    assert found.copies[0].function == "f1999-5"
    assert len(msgspec.json.encode(found)) < 32 * 1024


def test_two_owners_of_a_copy_are_enough_for_every_answer():
    store = LoadReportStore(1_000.0, 3_000.0, 1)
    owners = [f"{name}#1" for name in "abcd"]
    known = first_answers(store, owners)
    for n, owner in enumerate(owners[:3]):
        copies = (m.ProvenCopy(1, "f", n + 1, 30.0 - 10.0 * n),)
        store.receive(20.0, "k", owner, m.LoadReport(1, {"k": known[owner]}, "k", 0, {}, (), copies))
    seen = {
        owner: store.receive(100.0, "k", owner, m.LoadReport(2, {"k": known[owner]}, "k")).copies[0].copies
        for owner in owners
    }
    assert seen == {"a#1": 3, "b#1": 3, "c#1": 2, "d#1": 3}
    assert sum(len(stored.copies) for stored in store.owners.values()) == 2
