"""What front ends tell each other of sends to cold scorers, of loads and copies: cores in virtual time."""

import random

import msgspec
from hypothesis import given, settings, strategies
from support.load_reports import greeted, own

from fawnwharf import interface as io
from fawnwharf.replication import messages as m
from fawnwharf.replication.load_report import MAX_COPIES, MAX_REPORTED_COPIES, CopyLocation
from fawnwharf.replication.load_report_store import MAX_LOCATIONS, LoadReportStore, OwnerReport
from fawnwharf.replication.remote_loads import RemoteLoads

GOOD, UNTOLD = io.AttemptResult.GOOD, io.Warmth.UNTOLD


# --- what an owner tells ------------------------------------------------------------------------


def test_sends_to_cold_scorers_are_counted_for_their_time_and_those_to_warm_ones_never():
    mine = own(7)
    for at in (100.0, 900.0, 1_000.0):
        mine.attempt_sent(at, 7)
        mine.attempt_sent(at, 8)
    assert mine.next_report(1_050.0, {}).sent == {"7": 3}
    assert mine.next_report(1_100.0, {}).sent == {"7": 2}
    assert mine.next_report(2_500.0, {}).sent == {}
    mine.attempt_sent(3_990.0, 7)
    assert mine.next_report(3_995.0, {}).sent == {"7": 1} and mine.scorers_in_slow_start(3_995.0) == {7}
    assert (
        mine.next_report(4_001.0, {}).sent == {} and mine.scorers_in_slow_start(4_001.0) == set()
    )  # warm by now


def test_an_order_is_a_load_from_its_beginning_to_its_end_and_a_question_never_is():
    mine = own()
    mine.order_sent(0.0, CopyLocation(1, "f"), 0)
    assert mine.next_report(1.0, {}).loading == () and not mine.loading
    mine.order_sent(10.0, CopyLocation(1, "f"), 1)
    mine.order_sent(20.0, CopyLocation(2, "f"), 2)
    assert mine.next_report(30.0, {}).loading == (m.PendingLoad(2, "f", 10.0), m.PendingLoad(1, "f", 20.0))
    mine.order_ended(40.0, CopyLocation(1, "f"), 0, GOOD, 0)  # the question's answer is not the load's
    mine.order_ended(50.0, CopyLocation(2, "f"), 2, GOOD, 2)
    word = mine.next_report(60.0, {})
    assert word.loading == (m.PendingLoad(1, "f", 50.0),)
    assert set(word.copies) == {m.ProvenCopy(2, "f", 2, 10.0), m.ProvenCopy(1, "f", 0, 20.0)}
    assert mine.next_report(10_011.0, {}).loading == () and not mine.loading  # it never ended


def test_copies_are_told_when_they_change_and_again_after_a_third_of_their_time():
    mine = own()
    told = []
    for at in range(0, 3_000, 100):
        mine.attempt_ended(float(at), CopyLocation(1, "f"), GOOD, UNTOLD)
        told += [(at, copy.copies) for copy in mine.next_report(float(at), {}).copies]
    assert told == [(0, 1), (1_000, 1), (2_000, 1)]
    mine.attempt_ended(3_000.0, CopyLocation(1, "f"), io.AttemptResult.MISS, UNTOLD)
    assert mine.next_report(3_000.0, {}).copies == (m.ProvenCopy(1, "f", 0, 0.0),)
    mine.attempt_ended(3_100.0, CopyLocation(1, "f"), io.AttemptResult.TIMEOUT, UNTOLD)
    mine.order_ended(3_100.0, CopyLocation(1, "f"), 0, io.AttemptResult.RESET, 0)
    assert mine.next_report(3_200.0, {}).copies == ()  # neither proves anything


def test_what_stood_at_a_scorer_before_it_started_again_or_went_is_forgotten():
    mine = own()
    for worker in (1, 2, 3):
        mine.attempt_ended(0.0, CopyLocation(worker, "f"), GOOD, UNTOLD)
    mine.roster_changed(100.0, 5_100.0, [io.ScorerEntry(1, up_since_ms=5_050.0)], complete=False)
    mine.roster_changed(100.0, 5_100.0, [io.ScorerEntry(2, state=io.ScorerState.GONE)], complete=False)
    assert [copy.scorer for copy in mine.next_report(100.0, {}).copies] == [3]
    assert mine.scorers_in_slow_start(100.0) == {1} and 2 not in mine.scorers
    mine.roster_changed(200.0, 5_200.0, [io.ScorerEntry(1, up_since_ms=5_050.0)], complete=True)
    assert mine.scorers == {1} and mine.scorers_in_slow_start(200.0) == {1}


def test_of_a_thousand_functions_a_word_has_the_latest_and_says_how_many_it_left():
    mine = own(copies_ms=30_000.0)
    for n in range(1_200):
        mine.attempt_ended(float(n), CopyLocation(1, f"f{n}"), GOOD, UNTOLD)
        mine.order_sent(float(n), CopyLocation(2, f"f{n}"), 1)
    word = mine.next_report(1_200.0, {})
    assert [copy.function for copy in word.copies] == [
        f"f{n}" for n in range(1_199, 1_199 - MAX_REPORTED_COPIES, -1)
    ]
    assert word.loading[0].function == "f511" and len(word.loading) == 64
    assert word.omitted == MAX_COPIES - MAX_REPORTED_COPIES + 512 - 64 == mine.omitted
    assert [copy.function for copy in mine.next_report(1_201.0, {}).copies][
        0
    ] == f"f{1_199 - MAX_REPORTED_COPIES}"
    for n in range(100):
        mine.roster_changed(0.0, 0.0, [io.ScorerEntry(100 + n, up_since_ms=0.0)], complete=False)
        mine.attempt_sent(1_200.0, 100 + n)
    assert len(mine.next_report(1_201.0, {}).sent) == 64


# --- what keepers make of it --------------------------------------------------------------------

places = strategies.sampled_from([(1, "f"), (2, "f"), (1, "g")])
works = strategies.tuples(
    strategies.dictionaries(strategies.sampled_from("789"), strategies.integers(0, 50)),
    strategies.dictionaries(places, strategies.integers(0, 3)),
    strategies.sets(places),
)


def work(number, found, after=None):
    sent, copies, loads = found
    return m.LoadReport(
        number,
        after or {},
        "k",
        0,
        sent,
        tuple(m.PendingLoad(*place, 1.0) for place in sorted(loads)),
        tuple(m.ProvenCopy(*place, count, 2.0) for place, count in copies.items()),
    )


@given(strategies.lists(works, max_size=6), strategies.data())
def test_an_owners_words_merge_the_same_in_any_order_and_however_often(found, data):
    words = [(work(n, one), 100.0 * n) for n, one in enumerate(found, 1)]
    plain, mixed = OwnerReport(), OwnerReport()
    for word, made in words:
        plain.merge(word, made)
    order = data.draw(strategies.permutations(words + words))
    for word, made in order:
        mixed.merge(word, made)
    for word, made in data.draw(strategies.permutations(words)):
        mixed.merge(word, made)
    assert plain == mixed


@given(strategies.lists(strategies.tuples(strategies.integers(0, 4), works), max_size=12), strategies.data())
def test_each_owner_is_told_what_all_others_have_and_nothing_of_its_own(found, data):
    words, owners = LoadReportStore(1_000.0, 3_000.0, 1), [f"n{n}#1" for n in range(5)]
    answers = greeted(words, owners)
    told = [(owners[who], work(n, one, {"k": answers[owners[who]]})) for n, (who, one) in enumerate(found, 1)]
    last = {owner: {} for owner in owners}
    copies, loads = {}, {owner: () for owner in owners}
    for owner, word in told:
        last[owner], loads[owner] = word.sent, word.loading
        copies |= {(copy.scorer, copy.function, owner): copy.copies for copy in word.copies}
    for at, (owner, word) in enumerate(data.draw(strategies.permutations(told + told))):
        words.receive(20.0 * at, "k", owner, word)
    now = 20.0 + 40.0 * len(told)
    for owner in owners:
        answer = words.receive(now, "k", owner, m.LoadReport(0, {"k": answers[owner]}, "k"))
        sums = {}
        for other, sent in last.items():
            for worker, count in sent.items() if other != owner else ():
                sums[worker] = sums.get(worker, 0) + count
        assert answer.sent == {worker: count for worker, count in sums.items() if count}
        theirs = {(load.scorer, load.function) for other in owners if other != owner for load in loads[other]}
        assert {(load.scorer, load.function) for load in answer.loading} == theirs
        known = {(w, f) for w, f, other in copies if other != owner}
        assert {(copy.scorer, copy.function) for copy in answer.copies} == known


class Line:
    """An owner, a keeper and a second owner with clocks of their own, and lines that take their time."""

    def __init__(self, chance):
        self.chance, self.true = chance, 0.0
        self.off = {name: chance.uniform(-1e6, 1e6) for name in "kab"}
        self.words, self.views = (
            LoadReportStore(1_000.0, 3_000.0, 1),
            {n: RemoteLoads(1_000.0, 3_000.0) for n in "ab"},
        )
        self.post, self.made = [], {}

    def now(self, name):
        return self.true + self.off[name]

    def send(self, target, item):
        late = self.chance.choice((1.0, 20.0, 20.0, 400.0, 1_500.0))
        self.post += [(self.true + late, target, item)] * self.chance.choice((1, 1, 1, 2))

    def step(self, n):
        self.true += 50.0
        for name in "ab" if n % 2 else ():
            sent = {"7": n} if name == "a" else {}
            copies = (m.ProvenCopy(7, f"f{n}", 1, 0.0),) if name == "a" else ()
            self.made[n] = self.true
            self.views[name].report_sent(self.now(name), n)
            view = self.views[name]
            wants = view.choose_replica(self.now(name), ["k"], 2)
            self.send("k", (name, m.LoadReport(n, view.last_answers(), *wants, sent, (), copies)))
        due, self.post = ([p for p in self.post if (p[0] <= self.true) == now] for now in (True, False))
        for _, target, item in due:
            if target == "k":
                name, word = item
                if answer := self.words.receive(self.now("k"), "k", f"{name}#1", word):
                    self.send(name, answer)
            else:
                self.views[target].receive("k", 1, item)


@given(strategies.integers(0, 1 << 30))
@settings(max_examples=60, deadline=None)
def test_no_word_seems_younger_than_it_is_whatever_clocks_say_and_lines_take(seed):
    line, seen = Line(random.Random(seed)), 0
    for n in range(1, 120):
        line.step(n)
        for event in line.views["b"].changes(line.now("b"), {7}, {7}, 2):
            seen += 1
            if event.sent:
                assert event.age_ms >= line.true - line.made[event.sent] - 1e-3
            for function in event.copies:
                assert event.age_ms >= line.true - line.made[int(function[1:])] - 1e-3
    assert seen > 0


def test_a_life_that_ended_fades_and_the_next_one_counts_by_itself():
    words = LoadReportStore(1_000.0, 3_000.0, 1)
    answers = greeted(words, ["a#1", "b#1"])
    loads, copies = (m.PendingLoad(7, "f", 0.0),), (m.ProvenCopy(7, "g", 2, 0.0),)
    words.receive(10.0, "k", "a#1", m.LoadReport(5, {"k": answers["a#1"]}, "k", 0, {"7": 9}, loads, copies))
    found = words.receive(500.0, "k", "b#1", m.LoadReport(2, {"k": answers["b#1"]}, "k"))
    assert (found.sent, found.loading, found.copies, found.front_ends) == (
        {"7": 9}, (m.PendingLoad(7, "f", 500.0),), (m.ProvenCopy(7, "g", 2, 500.0),), 2,
    )  # fmt: skip
    fresh = greeted(words, ["a#2"], 600.0)["a#2"]
    words.receive(700.0, "k", "a#2", m.LoadReport(1, {"k": fresh}, "k", 0, {"7": 4}))
    found = words.receive(900.0, "k", "b#1", m.LoadReport(3, {"k": answers["b#1"]}, "k"))
    assert (found.sent, found.front_ends) == ({"7": 13}, 2)  # one front end, and what both its lives sent
    found = words.receive(1_200.0, "k", "b#1", m.LoadReport(4, {"k": found.answer_number}, "k"))
    assert (found.sent, found.loading, found.front_ends) == ({"7": 4}, (), 2)
    for life in range(3, 9):
        greeted(words, [f"a#{life}"], 1_200.0 + 20.0 * life)
    assert [owner for owner in words.owners if owner[0] == "a"] == []
    found = words.receive(9_000.0, "k", "b#1", m.LoadReport(5, {}, "k"))
    assert (found.sent, found.copies, found.front_ends) == ({}, (), 1) and words.owners == {}


def test_words_that_name_no_answer_or_one_of_another_life_of_the_keeper_do_not_count():
    words = LoadReportStore(1_000.0, 3_000.0, 1)
    for number, after in enumerate(({}, {"k": 77}, {"j": 1}), 1):
        words.receive(100.0 * number, "k", "a#1", m.LoadReport(number, after, "k", 0, {"7": 9}))
    assert words.owners == {} and words.counts == {"load reports: naming no known answer": 3}
    known = words.receive(400.0, "k", "a#1", m.LoadReport(4)).answer_number
    again = LoadReportStore(1_000.0, 3_000.0, 1 << 50)  # started again
    again.receive(500.0, "k", "a#1", m.LoadReport(5, {"k": known}, "k", 0, {"7": 9}))
    assert again.owners == {}


def test_a_flood_is_taken_and_not_answered_and_what_is_held_stays_within_bounds():
    words, answered = LoadReportStore(1_000.0, 3_000.0, 1), 0
    known = greeted(words, ["a#1", "b#1", "c#1"])
    for n in range(1, 2_000):
        copies = tuple(m.ProvenCopy(n % 50, f"f{n}-{i}", 1, 0.0) for i in range(6))
        found = words.receive(
            10.0 + 0.1 * n, "k", "a#1", m.LoadReport(n, {"k": known["a#1"]}, "k", 0, {}, (), copies)
        )
        if found:
            answered, known["a#1"] = answered + 1, found.answer_number
    assert answered <= 41 and words.counts["load reports: too frequent"] >= 1_950
    assert len(words._changes) <= MAX_LOCATIONS
    loads = tuple(m.PendingLoad(n, f"g{n}", 1.0) for n in range(64))
    for n in range(8):
        owner = f"d{n}#1"
        known |= greeted(words, [owner], 250.0)
        sent = {str(n * 20 + i): 3 for i in range(20)}
        mine = tuple(m.PendingLoad(load.scorer, f"{load.function}-{n}", 1.0) for load in loads)
        words.receive(300.0, "k", owner, m.LoadReport(1, {"k": known[owner]}, "k", 0, sent, mine))
    found = words.receive(400.0, "k", "b#1", m.LoadReport(1, {"k": known["b#1"]}, "k"))
    assert (len(found.sent), len(found.loading), len(found.copies)) == (64, 256, 256)
    assert found.omitted > 1_000 and found.copies[0].function == "f1999-5"  # the latest first
    assert len(msgspec.json.encode(found)) < 32 * 1024


def test_three_owners_of_one_copy_are_as_good_as_any_for_each_of_them():
    words = LoadReportStore(1_000.0, 3_000.0, 1)
    owners = [f"{name}#1" for name in "abcd"]
    known = greeted(words, owners)
    for n, owner in enumerate(owners[:3]):
        copies = (m.ProvenCopy(1, "f", n + 1, 30.0 - 10.0 * n),)
        words.receive(20.0, "k", owner, m.LoadReport(1, {"k": known[owner]}, "k", 0, {}, (), copies))
    seen = {
        o: words.receive(100.0, "k", o, m.LoadReport(2, {"k": known[o]}, "k")).copies[0].copies
        for o in owners
    }
    assert seen == {"a#1": 3, "b#1": 3, "c#1": 2, "d#1": 3}
    assert sum(len(held.copies) for held in words.owners.values()) == 2
