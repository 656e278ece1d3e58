"""What front ends tell each other of sends to cold scorers, of loads and copies: cores in virtual time."""

import random

import msgspec
import pytest
from cores import Cores
from hypothesis import given, settings, strategies

from fawnwharf import interface as io
from fawnwharf.replication import messages as m
from fawnwharf.replication import settings as s
from fawnwharf.replication.elsewhere import COPIES_MOST, NEWS_MOST, Own
from fawnwharf.replication.others import PLACES_MOST, Owner, View, Words, enough
from fawnwharf.zones.settings import FileFault

GOOD, UNTOLD = io.Ending.GOOD, io.Warmth.UNTOLD


def own(*cold, now=0.0, copies_ms=3_000.0):
    found = Own(4_000.0, 1_000.0, copies_ms)
    entries = [io.WorkerEntry(n, up_since_ms=now if n in cold else None) for n in range(1, 10)]
    found.roster(now, now, entries, True)
    return found


# --- what an owner tells ------------------------------------------------------------------------


def test_sends_to_cold_scorers_are_counted_for_their_time_and_those_to_warm_ones_never():
    mine = own(7)
    for at in (100.0, 900.0, 1_000.0):
        mine.sent(at, 7)
        mine.sent(at, 8)
    assert mine.word(1_050.0, {}).sent == {"7": 3}
    assert mine.word(1_100.0, {}).sent == {"7": 2}
    assert mine.word(2_500.0, {}).sent == {}
    mine.sent(3_990.0, 7)
    assert mine.word(3_995.0, {}).sent == {"7": 1} and mine.cold(3_995.0) == {7}
    assert mine.word(4_001.0, {}).sent == {} and mine.cold(4_001.0) == set()  # warm by now


def test_an_order_is_a_load_from_its_beginning_to_its_end_and_a_question_never_is():
    mine = own()
    mine.ordered(0.0, 1, "f", 0)
    assert mine.word(1.0, {}).loading == () and not mine.loads
    mine.ordered(10.0, 1, "f", 1)
    mine.ordered(20.0, 2, "f", 2)
    assert mine.word(30.0, {}).loading == (m.Load(2, "f", 10.0), m.Load(1, "f", 20.0))
    mine.order_ended(40.0, 1, "f", 0, GOOD, 0)  # the question's answer is not the load's
    mine.order_ended(50.0, 2, "f", 2, GOOD, 2)
    word = mine.word(60.0, {})
    assert word.loading == (m.Load(1, "f", 50.0),)
    assert set(word.copies) == {m.Copy(2, "f", 2, 10.0), m.Copy(1, "f", 0, 20.0)}
    assert mine.word(10_011.0, {}).loading == () and not mine.loads  # it never ended


def test_copies_are_told_when_they_change_and_again_after_a_third_of_their_time():
    mine = own()
    told = []
    for at in range(0, 3_000, 100):
        mine.ended(float(at), 1, "f", GOOD, UNTOLD)
        told += [(at, copy.copies) for copy in mine.word(float(at), {}).copies]
    assert told == [(0, 1), (1_000, 1), (2_000, 1)]
    mine.ended(3_000.0, 1, "f", io.Ending.MISS, UNTOLD)
    assert mine.word(3_000.0, {}).copies == (m.Copy(1, "f", 0, 0.0),)
    mine.ended(3_100.0, 1, "f", io.Ending.TIMEOUT, UNTOLD)
    mine.order_ended(3_100.0, 1, "f", 0, io.Ending.RESET, 0)
    assert mine.word(3_200.0, {}).copies == ()  # neither proves anything


def test_what_stood_at_a_scorer_before_it_started_again_or_went_is_forgotten():
    mine = own()
    for worker in (1, 2, 3):
        mine.ended(0.0, worker, "f", GOOD, UNTOLD)
    mine.roster(100.0, 5_100.0, [io.WorkerEntry(1, up_since_ms=5_050.0)], False)
    mine.roster(100.0, 5_100.0, [io.WorkerEntry(2, state=io.State.GONE)], False)
    assert [copy.worker for copy in mine.word(100.0, {}).copies] == [3]
    assert mine.cold(100.0) == {1} and 2 not in mine.known
    mine.roster(200.0, 5_200.0, [io.WorkerEntry(1, up_since_ms=5_050.0)], True)
    assert mine.known == {1} and mine.cold(200.0) == {1}


def test_of_a_thousand_functions_a_word_has_the_latest_and_says_how_many_it_left():
    mine = own(copies_ms=30_000.0)
    for n in range(1_200):
        mine.ended(float(n), 1, f"f{n}", GOOD, UNTOLD)
        mine.ordered(float(n), 2, f"f{n}", 1)
    word = mine.word(1_200.0, {})
    assert [copy.function for copy in word.copies] == [f"f{n}" for n in range(1_199, 1_199 - NEWS_MOST, -1)]
    assert word.loading[0].function == "f511" and len(word.loading) == 64
    assert word.cut == COPIES_MOST - NEWS_MOST + 512 - 64 == mine.cut
    assert [copy.function for copy in mine.word(1_201.0, {}).copies][0] == f"f{1_199 - NEWS_MOST}"
    for n in range(100):
        mine.roster(0.0, 0.0, [io.WorkerEntry(100 + n, up_since_ms=0.0)], False)
        mine.sent(1_200.0, 100 + n)
    assert len(mine.word(1_201.0, {}).sent) == 64


# --- what keepers make of it --------------------------------------------------------------------

places = strategies.sampled_from([(1, "f"), (2, "f"), (1, "g")])
works = strategies.tuples(
    strategies.dictionaries(strategies.sampled_from("789"), strategies.integers(0, 50)),
    strategies.dictionaries(places, strategies.integers(0, 3)),
    strategies.sets(places),
)


def work(number, found, after=None):
    sent, copies, loads = found
    return m.Work(
        number,
        after or {},
        "k",
        0,
        sent,
        tuple(m.Load(*place, 1.0) for place in sorted(loads)),
        tuple(m.Copy(*place, count, 2.0) for place, count in copies.items()),
    )


@given(strategies.lists(works, max_size=6), strategies.data())
def test_an_owners_words_merge_the_same_in_any_order_and_however_often(found, data):
    words = [(work(n, one), 100.0 * n) for n, one in enumerate(found, 1)]
    plain, mixed = Owner(), Owner()
    for word, made in words:
        plain.merge(word, made)
    order = data.draw(strategies.permutations(words + words))
    for word, made in order:
        mixed.merge(word, made)
    for word, made in data.draw(strategies.permutations(words)):
        mixed.merge(word, made)
    assert plain == mixed


def greeted(words, owners, now=0.0):
    """Each owner's first word names nothing; the number of the answer to it."""
    return {owner: words.heard(now, "k", owner, m.Work(0)).answer for owner in owners}


@given(strategies.lists(strategies.tuples(strategies.integers(0, 4), works), max_size=12), strategies.data())
def test_each_owner_is_told_what_all_others_have_and_nothing_of_its_own(found, data):
    words, owners = Words(1_000.0, 3_000.0, 1), [f"n{n}#1" for n in range(5)]
    answers = greeted(words, owners)
    told = [(owners[who], work(n, one, {"k": answers[owners[who]]})) for n, (who, one) in enumerate(found, 1)]
    last = {owner: {} for owner in owners}
    copies, loads = {}, {owner: () for owner in owners}
    for owner, word in told:
        last[owner], loads[owner] = word.sent, word.loading
        copies |= {(copy.worker, copy.function, owner): copy.copies for copy in word.copies}
    for at, (owner, word) in enumerate(data.draw(strategies.permutations(told + told))):
        words.heard(20.0 * at, "k", owner, word)
    now = 20.0 + 40.0 * len(told)
    for owner in owners:
        answer = words.heard(now, "k", owner, m.Work(0, {"k": answers[owner]}, "k"))
        sums = {}
        for other, sent in last.items():
            for worker, count in sent.items() if other != owner else ():
                sums[worker] = sums.get(worker, 0) + count
        assert answer.sent == {worker: count for worker, count in sums.items() if count}
        theirs = {(load.worker, load.function) for other in owners if other != owner for load in loads[other]}
        assert {(load.worker, load.function) for load in answer.loading} == theirs
        known = {(w, f) for w, f, other in copies if other != owner}
        assert {(copy.worker, copy.function) for copy in answer.copies} == known


class Line:
    """An owner, a keeper and a second owner with clocks of their own, and lines that take their time."""

    def __init__(self, chance):
        self.chance, self.true = chance, 0.0
        self.off = {name: chance.uniform(-1e6, 1e6) for name in "kab"}
        self.words, self.views = Words(1_000.0, 3_000.0, 1), {n: View(1_000.0, 3_000.0) for n in "ab"}
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
            copies = (m.Copy(7, f"f{n}", 1, 0.0),) if name == "a" else ()
            self.made[n] = self.true
            self.views[name].asked(self.now(name), n)
            view = self.views[name]
            wants = view.wants(self.now(name), ["k"], 2)
            self.send("k", (name, m.Work(n, view.after(), *wants, sent, (), copies)))
        due, self.post = ([p for p in self.post if (p[0] <= self.true) == now] for now in (True, False))
        for _, target, item in due:
            if target == "k":
                name, word = item
                if answer := self.words.heard(self.now("k"), "k", f"{name}#1", word):
                    self.send(name, answer)
            else:
                self.views[target].heard("k", 1, item)


@given(strategies.integers(0, 1 << 30))
@settings(max_examples=60)
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
    words = Words(1_000.0, 3_000.0, 1)
    answers = greeted(words, ["a#1", "b#1"])
    words.heard(10.0, "k", "a#1", m.Work(5, {"k": answers["a#1"]}, "k", 0, {"7": 9}, (m.Load(7, "f", 0.0),),
                                         (m.Copy(7, "g", 2, 0.0),)))  # fmt: skip
    found = words.heard(500.0, "k", "b#1", m.Work(2, {"k": answers["b#1"]}, "k"))
    assert (found.sent, found.loading, found.copies, found.heard) == (
        {"7": 9}, (m.Load(7, "f", 500.0),), (m.Copy(7, "g", 2, 500.0),), 2,
    )  # fmt: skip
    fresh = greeted(words, ["a#2"], 600.0)["a#2"]
    words.heard(700.0, "k", "a#2", m.Work(1, {"k": fresh}, "k", 0, {"7": 4}))
    found = words.heard(900.0, "k", "b#1", m.Work(3, {"k": answers["b#1"]}, "k"))
    assert (found.sent, found.heard) == ({"7": 13}, 2)  # one front end, and what both its lives sent
    found = words.heard(1_200.0, "k", "b#1", m.Work(4, {"k": found.answer}, "k"))
    assert (found.sent, found.loading, found.heard) == ({"7": 4}, (), 2)
    for life in range(3, 9):
        greeted(words, [f"a#{life}"], 1_200.0 + 20.0 * life)
    assert [owner for owner in words.owners if owner[0] == "a"] == []
    found = words.heard(9_000.0, "k", "b#1", m.Work(5, {}, "k"))
    assert (found.sent, found.copies, found.heard) == ({}, (), 1) and words.owners == {}


def test_words_that_name_no_answer_or_one_of_another_life_of_the_keeper_do_not_count():
    words = Words(1_000.0, 3_000.0, 1)
    for number, after in enumerate(({}, {"k": 77}, {"j": 1}), 1):
        words.heard(100.0 * number, "k", "a#1", m.Work(number, after, "k", 0, {"7": 9}))
    assert words.owners == {} and words.counts == {"work: words that name no answer": 3}
    known = words.heard(400.0, "k", "a#1", m.Work(4)).answer
    again = Words(1_000.0, 3_000.0, 1 << 50)  # started again
    again.heard(500.0, "k", "a#1", m.Work(5, {"k": known}, "k", 0, {"7": 9}))
    assert again.owners == {}


def test_a_flood_is_taken_and_not_answered_and_what_is_held_stays_within_bounds():
    words, answered = Words(1_000.0, 3_000.0, 1), 0
    known = greeted(words, ["a#1", "b#1", "c#1"])
    for n in range(1, 2_000):
        copies = tuple(m.Copy(n % 50, f"f{n}-{i}", 1, 0.0) for i in range(6))
        found = words.heard(
            10.0 + 0.1 * n, "k", "a#1", m.Work(n, {"k": known["a#1"]}, "k", 0, {}, (), copies)
        )
        if found:
            answered, known["a#1"] = answered + 1, found.answer
    assert answered <= 41 and words.counts["work: words too fast"] >= 1_950
    assert len(words._places) <= PLACES_MOST
    loads = tuple(m.Load(n, f"g{n}", 1.0) for n in range(64))
    for n in range(8):
        owner = f"d{n}#1"
        known |= greeted(words, [owner], 250.0)
        sent = {str(n * 20 + i): 3 for i in range(20)}
        mine = tuple(m.Load(load.worker, f"{load.function}-{n}", 1.0) for load in loads)
        words.heard(300.0, "k", owner, m.Work(1, {"k": known[owner]}, "k", 0, sent, mine))
    found = words.heard(400.0, "k", "b#1", m.Work(1, {"k": known["b#1"]}, "k"))
    assert (len(found.sent), len(found.loading), len(found.copies)) == (64, 256, 256)
    assert found.cut > 1_000 and found.copies[0].function == "f1999-5"  # the latest first
    assert len(msgspec.json.encode(found)) < 32 * 1024


def test_three_owners_of_one_copy_are_as_good_as_any_for_each_of_them():
    words = Words(1_000.0, 3_000.0, 1)
    owners = [f"{name}#1" for name in "abcd"]
    known = greeted(words, owners)
    for n, owner in enumerate(owners[:3]):
        copies = (m.Copy(1, "f", n + 1, 30.0 - 10.0 * n),)
        words.heard(20.0, "k", owner, m.Work(1, {"k": known[owner]}, "k", 0, {}, (), copies))
    seen = {o: words.heard(100.0, "k", o, m.Work(2, {"k": known[o]}, "k")).copies[0].copies for o in owners}
    assert seen == {"a#1": 3, "b#1": 3, "c#1": 2, "d#1": 3}
    assert sum(len(held.copies) for held in words.owners.values()) == 2


# --- what a front end makes of the answers ------------------------------------------------------


def others(number, heard=6, sent=None, answer=None, age=10.0, loading=(), copies=()):
    return m.Others(number, 1, answer or number, heard, age, sent or {}, loading, copies)


def asked(*numbers, at=0.0):
    view = View(1_000.0, 3_000.0)
    for number in numbers:
        view.asked(at, number)
    return view


def test_sends_are_known_only_while_nearly_all_are_heard():
    assert [n for n in range(13) if enough(n, 12)] == [11, 12] and not enough(5, 6) and enough(27, 30)
    view = asked(1, 2, 3, 4)
    assert view.changes(0.0, {7}, {7, 8}, 6) == []
    view.heard("k", 1, others(1, 5, {"7": 4, "8": 9}))
    assert view.changes(10.0, {7}, {7, 8}, 6) == []
    view.heard("k", 1, others(2, 6, {"7": 4, "8": 9}))
    assert view.changes(10.0, {7}, {7, 8}, 6) == [io.Elsewhere(7, 4, {}, (), 20.0)]
    assert view.changes(10.0, {7}, {7, 8}, 6) == []  # it was told
    assert view.changes(10.0, {7}, {7, 8}, 9) == [io.Elsewhere(7, None, {}, (), 0.0)]
    view.heard("j", 1, others(3, 6, {"7": 1}))
    assert view.changes(20.0, {7}, {7, 8}, 6)[0].sent == 4  # as good as the other one
    assert view.changes(995.0, {7}, {7, 8}, 6) == [io.Elsewhere(7, None, {}, (), 0.0)]  # all of it is old


def test_a_cold_scorer_to_which_nobody_sent_is_known_to_have_room():
    view = asked(1)
    view.heard("k", 1, others(1))
    assert view.changes(10.0, {7}, {7}, 6) == [io.Elsewhere(7, 0, {}, (), 20.0)]


def test_answers_repeated_reordered_or_to_no_word_of_ours_change_nothing():
    view = asked(1, 2)
    view.heard("k", 1, others(2, sent={"7": 5}))
    for late in (others(1, sent={"7": 1}), others(2, sent={"7": 5}), others(9, sent={"7": 8}, answer=99)):
        view.heard("k", 1, late)
    assert view.counts == {"work: answers out of place": 3}
    assert [event.sent for event in view.changes(10.0, {7}, {7}, 6)] == [5]
    assert view.after() == {"k": 2}
    view.heard("k", 9, others(2, sent={"7": 6}, answer=1))  # another life of the keeper
    assert view.after() == {"k": 1}
    view.forget_keepers({"k"})
    assert view.after() == {} and view.best(10.0) is None


def test_one_keeper_tells_all_and_the_next_one_where_it_is_silent_or_hears_few():
    view, keepers = asked(1, 2, 3, 4), ["j", "k"]
    assert view.wants(0.0, keepers, 6) == ("j", 0)
    view.heard("j", 1, others(1, answer=50))
    view.heard("k", 1, m.Others(1, 1, 70))  # it only answers
    assert view.wants(300.0, keepers, 6) == ("j", 50) and view.after() == {"j": 50, "k": 70}
    assert view.best(300.0).others.answer == 50
    view.heard("j", 1, m.Others(2, 1, 51))
    assert view.wants(400.0, keepers, 6) == ("j", 50)
    assert view.wants(500.0, keepers, 6) == ("k", 0)  # it told nothing for long
    assert view.wants(800.0, keepers, 6) == ("k", 0)
    view.asked(800.0, 9)
    view.heard("k", 1, others(9, 4, answer=71))
    assert view.wants(850.0, keepers, 6) == ("k", 71)
    assert view.wants(950.0, keepers, 6) == ("j", 50)  # the other one hears few
    assert view.wants(960.0, ["k"], 6) == ("k", 71)  # it is no keeper any more
    assert view.wants(960.0, [], 6) == ("", 0)
    words = Words(1_000.0, 3_000.0, 1)
    known = greeted(words, ["a#1", "b#1"])
    words.heard(10.0, "k", "a#1", m.Work(1, {"k": known["a#1"]}, "j", 0, {"7": 3}))
    assert words.heard(10.0, "k", "b#1", m.Work(1, {"k": known["b#1"]}, "j")).sent == {}
    assert words.heard(20.0, "k", "b#1", m.Work(1, {"k": known["b#1"]}, "k")).sent == {"7": 3}


def test_of_copies_the_latest_proof_counts_and_loads_of_any_keeper_and_all_fade():
    view = asked(1)
    view.heard(
        "k", 1, others(1, copies=(m.Copy(1, "f", 2, 50.0), m.Copy(1, "g", 1, 50.0), m.Copy(99, "f", 1, 1.0)))
    )
    view.heard("j", 1, others(1, copies=(m.Copy(1, "f", 0, 20.0), m.Copy(1, "g", 0, 90.0)),
                              loading=(m.Load(2, "h", 300.0),)))  # fmt: skip
    found = {event.worker: event for event in view.changes(0.0, set(), {1, 2}, 6)}
    assert found[1].copies == {"g": 1} and found[2].loading == ("h",) and 99 not in found
    assert view.copies == 2
    gone = {event.worker: event for event in view.changes(1_001.0, set(), {1, 2}, 6)}
    assert gone == {2: io.Elsewhere(2, None, {}, (), 0.0)}
    assert view.changes(2_940.0, set(), {1, 2}, 6) == []
    assert view.changes(2_951.0, set(), {1, 2}, 6) == [io.Elsewhere(1, None, {}, (), 0.0)]
    assert view.changes(2_981.0, set(), {1, 2}, 6) == []
    assert view.copies == 0 and view.changes(3_000.0, set(), {1, 2}, 6) == []


def test_old_proofs_leave_what_is_told_of_sends_and_loads_fresh():
    view = asked(1)
    copies = (m.Copy(7, "f", 1, 40.0), m.Copy(7, "g", 2, 400.0), m.Copy(8, "g", 2, 400.0))
    view.heard("k", 1, others(1, sent={"7": 3}, copies=copies))
    found = {event.worker: event for event in view.changes(50.0, {7}, {7, 8}, 6)}
    assert found == {7: io.Elsewhere(7, 3, {"f": 1}, (), 90.0), 8: io.Elsewhere(8, None, {"g": 2}, (), 450.0)}


def test_what_stays_the_same_is_told_again_when_it_is_fresher():
    view, told = asked(), []
    for n in range(1, 31):
        view.asked(100.0 * n, n)
        view.heard("k", 1, others(n, copies=(m.Copy(1, "f", 1, 0.0),)))
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
        self.cores[name].own = own(7, now=self.now)

    def tell(self, times=2):
        for _ in range(times):
            self.now += 100.0
            for name, core in self.cores.items():
                if name not in self.lost and core.own:
                    self.carry(name, core.tell_work(self.now))

    def seen(self, name):
        return {e.worker: e for e in self.cores[name].elsewhere(self.now, 6)}


def test_all_learn_what_the_others_sent_and_each_keeper_alone_is_enough():
    for lost in range(3):
        fleet = Fleet()
        fleet.tell()
        for n, core in enumerate(fleet.cores.values()):
            for _ in range(n + 1):
                core.own.sent(fleet.now, 7)
        fleet.cores["n0"].own.ordered(fleet.now, 3, "f", 1)
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
        fleet.cores[name].own.sent(fleet.now, 7)
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
    fleet.cores[off].own = None
    fleet.tell(8)
    assert 7 not in fleet.seen(one)
    counts = fleet.cores[one].status(fleet.now).counts
    assert counts["work: front ends heard"] == 5 and counts["work: words told"] == 8
    assert not any(name.startswith("work: ") for name in fleet.cores[off].status(fleet.now).counts)


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
    with pytest.raises(FileFault, match=f"^{key}:"):
        s.settings_from(msgspec.json.encode({"version": 1, "members": "m"} | rules))
