"""Homes of sessions: the laws of merging, what keepers grant, what a front end does with a larger number."""

import itertools

import msgspec
import pytest
from hypothesis import given, settings, strategies

from fawnwharf.migration import messages as m
from fawnwharf.migration.homes import Keeper, contradicts, is_open, merged, mover_of
from fawnwharf.migration.in_use import spent
from fawnwharf.migration.mover import Mover
from fawnwharf.migration.router import Router
from fawnwharf.migration.settings import Settings
from fawnwharf.session_types import Placement, PredictedMove, PrefetchRelease, Session

RULES = Settings()
S = Session("org", "row")
KEEPERS = ("k0", "k1", "k2")


def placed(_):
    return KEEPERS


# --- laws ---------------------------------------------------------------------------------------

numbers, sites = strategies.integers(0, 3), strategies.sampled_from(["x", "y", "z"])
turns = strategies.builds(m.Turn, numbers, strategies.sampled_from(["a#1", "b#1"]))
records = strategies.builds(
    m.Record,
    numbers,
    sites,
    sites,
    strategies.sampled_from(m.Step),
    turns,
    strategies.none() | strategies.builds(m.Offer, numbers, turns, sites),
    strategies.none() | strategies.builds(m.Grant, strategies.integers(1, 3), turns, sites, sites),
).map(lambda record: merged(record, record))
counts = strategies.dictionaries(sites, numbers).map(lambda found: tuple(sorted(found.items())))


@settings(max_examples=150, derandomize=True)
@given(records, records, records)
def test_records_merge_by_law(one, other, third):
    assert merged(one, other) == merged(other, one)
    assert merged(one, merged(other, third)) == merged(merged(one, other), third)
    assert merged(one, one) == one
    both = merged(one, other)
    assert (both.number, both.promised) == (max(one.number, other.number), max(one.promised, other.promised))
    assert all(part is None or part.number > both.number for part in (both.offer, both.grant))


@settings(max_examples=100, derandomize=True)
@given(counts, counts, counts)
def test_what_was_spent_merges_by_law_and_takes_each_call_once(one, other, third):
    assert spent(one, other) == spent(other, one)
    assert spent(one, spent(other, third)) == spent(spent(one, other), third)
    assert spent(one, one) == one
    assert sum(dict(spent(one, other)).values()) <= sum(dict(one).values()) + sum(dict(other).values())


@pytest.mark.parametrize(
    ("one", "other", "wrong"),
    [
        (m.Record(1, "x"), m.Record(1, "y"), True),
        (m.Record(1, "x"), m.Record(2, "y"), False),
        (m.Record(0, "x"), m.Record(0, "y"), False),
    ],
)
def test_one_number_with_two_homes_is_a_fault(one, other, wrong):
    assert contradicts(one, other) is wrong


def test_all_messages_come_back_from_their_lines():
    home, turn = Placement(S, "x", 1), m.Turn(1, "a#1")
    record = m.Record(1, "x", "y", m.Step.SETTLED, turn, m.Offer(2, turn, "z"), m.Grant(2, turn, "z", "x"))
    for message in (
        m.Ask(S, turn, None),
        m.Switch(S, turn, home, "z"),
        m.Word(S, turn, 2, True, True, record),
        m.Told(home, "y", m.Step.SWITCHED),
        m.Piece(1, 1, 0, True, True, (m.Held(S, record),)),
        m.Receive(S, turn, 1, 2, 100.0, m.Context(1.0, 2, (("a", 3),))),
        m.MayLetGo(home, "y"),
    ):
        assert msgspec.json.decode(msgspec.json.encode(message), type=m.Message) == message


# --- a keeper -----------------------------------------------------------------------------------


def keeper(fresh=True, **more):
    return Keeper("k0", KEEPERS, msgspec.structs.replace(RULES, **more), 0.0, 1, fresh)


def ask(at, count, by="a", now=0.0, number=0):
    [say] = at.ask(now, by, m.Ask(S, m.Turn(count, f"{by}#1"), Placement(S, "x", number), "y"))
    return say.message


def switch(at, count, by="a", site="y", number=0, now=0.0):
    [say] = at.switch(now, by, m.Switch(S, m.Turn(count, f"{by}#1"), Placement(S, "x", number), site))
    return say.message


def test_a_keeper_grants_nothing_by_a_turn_that_is_over_and_no_number_twice():
    at = keeper()
    assert ask(at, 1).yes and not ask(at, 1).yes  # the same turn is not taken twice
    assert ask(at, 1, "b").yes  # ties go by name
    assert not switch(at, 1).yes
    assert switch(at, 1, "b", "z").yes
    word = ask(at, 2)
    assert word.yes and word.record.grant.site == "z"  # what may be decided is found
    at.told(0.0, "b", m.Told(Placement(S, "z", 1), "x", m.Step.SWITCHED))
    assert not switch(at, 9).yes
    [say] = at.told(0.0, "a", m.Told(Placement(S, "x", 0), "", m.Step.RELEASED))
    assert say.message.home == Placement(S, "z", 1)
    [say] = at.met(0.0, "c", m.Met(Placement(S, "x", 0)))
    assert say.message.home.number == 1


def test_a_keeper_that_starts_anew_waits_and_asks_its_fellows_and_is_told_all_in_parts():
    old = Keeper("k1", KEEPERS, RULES, 0.0, 1, True)
    for n in range(1_200):
        old.told(0.0, "a", m.Told(Placement(Session("org", f"r{n}"), "y", 1), "x", m.Step.RELEASED))
    new = keeper(fresh=False)
    assert not ask(new, 1).sure and new.tick(RULES.wait_ms) == []
    now = RULES.wait_ms * RULES.stretch + 1.0
    wants = {say.to[0]: say.message for say in new.tick(now)}
    assert set(wants) == {"k1", "k2"}
    new.piece(now, "k2", m.Piece(1, wants["k2"].number, 0, True, True, ()))
    old.want(now, "k0", wants["k1"])
    parts = [old.tick(now)[0].message for _ in range(3)]
    assert [part.last for part in parts] == [False, False, True]
    new.piece(now, "k1", parts[1])  # out of place
    new.piece(now, "k1", msgspec.structs.replace(parts[0], life=7))
    for part in parts:
        assert not new.sure(now)
        new.piece(now, "k1", part)
    assert new.sure(now) and len(new.records) == 1_201  # and what was asked for


def test_keepers_that_all_forgot_wait_the_window_out():
    new = keeper(fresh=False)
    new.met(0.0, "a", m.Met(Placement(S, "y", 3)))
    assert not new.sure(RULES.window_ms - 1.0)
    assert new.sure(RULES.window_ms)
    assert ask(new, 1, now=RULES.window_ms).record.number == 3


def test_a_full_keeper_takes_nothing_new_and_forgets_only_what_is_over():
    at = keeper(sessions=2)
    for n in range(3):
        at.told(0.0, "a", m.Told(Placement(Session("org", f"r{n}"), "y", 1), "x", m.Step.RELEASED))
    assert len(at.records) == 2 and not ask(at, 1).yes
    assert ask(at, 1, now=3 * RULES.window_ms).yes


def test_a_stand_in_is_called_when_the_mover_of_what_is_open_is_gone():
    at = keeper()
    ask(at, 1)
    assert at.tick(1.0, ["a", "b"]) == [] and is_open(at.record(S))
    [say] = at.tick(2.0, ["b", "c"])
    assert say == m.Say((mover_of(S, ["b", "c"]),), m.Resume(S))
    at.drop(3.0, "a", m.Drop(S, m.Turn(1, "a#1")))
    assert at.tick(4.0, ["b", "c"]) == []


def test_no_turn_begins_while_old_copies_are_let_go_and_none_go_where_it_is_offered_back():
    at = keeper()
    home = Placement(S, "y", 1)
    assert at.let(0.0, "a", m.MayLetGo(home, "x"))[0].message.yes
    assert not ask(at, 1, number=1).yes
    later = RULES.wait_ms * RULES.stretch + 1.0
    [say] = at.ask(later, "a", m.Ask(S, m.Turn(2, "a#1"), home, "x"))
    assert say.message.yes
    assert not at.let(later, "a", m.MayLetGo(home, "x"))[0].message.yes


# --- a front end --------------------------------------------------------------------------------


def router(**more):
    at = Router("f", "x", RULES, placed, 0.0, **{"fresh": True} | more)
    at.meet(0.0, Placement(S, "x", 0))
    return at


def test_calls_not_yet_sent_go_to_the_new_home_and_sent_ones_end_at_the_old_one():
    at = router()
    for call in ("sent", "taken"):
        assert at.begin(0.0, call, S, 5_000.0)[0] == m.Reroute(call, Placement(S, "x", 0))
    at.sent("sent")
    new = Placement(S, "y", 1)
    found = at.told(1.0, "mover", m.Told(new, "x", m.Step.SWITCHED))
    assert found == [m.Reroute("taken", new), m.Say(("mover",), m.Left(S, 1, 1, 0))]
    assert at.begin(2.0, "later", S, 5_000.0)[0].home == new
    assert at.ended(3.0, "sent") == [m.Say(("mover",), m.Left(S, 1, 0, 0))]
    assert at.meet(4.0, Placement(S, "x", 0)) == [] and at.home(S) == new


def test_a_call_past_its_time_is_given_up_and_a_still_session_forgotten():
    at = router()
    at.begin(0.0, "c", S, 100.0)
    at.sent("c")
    at.told(1.0, "mover", m.Told(Placement(S, "y", 1), "x", m.Step.SWITCHED))
    assert [say.message.under_way for say in at.tick(100.0)] == [0]
    at.tick(RULES.still_ms + 2.0)
    assert at.home(S) is None and not at.at_home


@pytest.mark.parametrize(("others", "fresh", "goes"), [(0, True, True), (1, True, False), (0, False, False)])
def test_old_copies_go_only_when_nobody_else_uses_them_and_nothing_was_forgotten(others, fresh, goes):
    at = router(fresh=fresh)
    for n in range(others):
        at.meet(0.0, Placement(Session(f"other{n}", "row"), "x", 0))
    assert at.release(0.0, "mover", m.Release(S, 1)) == []  # it has not met that number
    at.meet(0.0, Placement(S, "y", 1))
    [say] = at.release(0.0, "mover", m.Release(S, 1))
    assert say.message == m.MayLetGo(Placement(S, "y", 1), "x")
    assert at.let(1.0, "k0", m.Let(S, 1, True)) == [] == at.let(1.0, "k1", m.Let(S, 1, False))
    assert at.let(2.0, "k2", m.Let(S, 1, True)) == ([PrefetchRelease("row", "x")] if goes else [])


def test_stages_of_several_turns_stand_until_the_last_is_dropped():
    at = Router("f", "x", RULES, placed, 0.0, fresh=True)
    at.meet(0.0, Placement(S, "y", 0))
    for count in (1, 2):
        at.take(0.0, "mover", m.Receive(S, m.Turn(count, "a"), 1, 1, 1_000.0))
    assert at.drop(1.0, "mover", m.Drop(S, m.Turn(1, "a"))) == []
    [say] = at.drop(1.0, "mover", m.Drop(S, m.Turn(2, "a")))
    assert say == m.Say(KEEPERS, m.MayLetGo(Placement(S, "y", 0), "x"))  # others may know more
    assert at.let(2.0, "k0", m.Let(S, 0, True)) == []
    assert at.let(2.0, "k1", m.Let(S, 0, True)) == [PrefetchRelease("row", "x")]


# --- a mover ------------------------------------------------------------------------------------


def test_without_two_keepers_it_ends_and_the_session_stays():
    at = Mover("f", RULES, placed, 0.0)
    at.heard(0.0, {"f": "x", "g": "y"})
    found = at.begin(0.0, PredictedMove(S, "x", "y", 0.0, 1.0, ""))
    now = 0.0
    turns = [found[0].message.turn]
    for _ in range(40):
        now += 500.0
        found = at.tick(now)
        turns += [o.message.turn for o in found if isinstance(o, m.Say) and isinstance(o.message, m.Ask)]
        if any(isinstance(o, m.Ended) for o in found):
            break
    assert found[-1] == m.Ended(Placement(S, "x", 0), "too few keepers") and not at.hands
    assert all(one < other for one, other in itertools.pairwise(turns))
    late = m.Word(S, turns[-1], 0, True, True, m.Record(0, "x"))
    assert at.word(now, "k0", late) == []
