"""Events of the change log in every order: the newest event for each scorer counts."""

import itertools

import pytest

from fawnwharf.config import ConfigError, Fleet, Member
from fawnwharf.net import event_order
from fawnwharf.net.event_order import EventMatch, EventOrder
from fawnwharf.net.fleet_events import read_fleet
from fawnwharf.net.roster_overlay import RosterOverlay


def member(id, phase="in_service"):
    return Member(id, phase, f"127.0.0.1:{ord(id[0])}")


EVENTS = {
    1: Fleet([member("a"), member("b"), member("c")], complete=True),
    2: Fleet([member("a", "terminating")]),
    3: Fleet([member("a", "terminated"), member("d")]),
    4: Fleet([member("b"), member("d", "terminating"), member("e")], complete=True),
    5: Fleet([member("a"), member("e", "terminated")]),
}


def outcome(numbers):
    order, overlay = EventOrder(), RosterOverlay()
    for number in numbers:
        overlay.apply(order.apply(number, EVENTS[number]))
    return {id: found.phase for id, found in overlay.members.items()}


@pytest.mark.parametrize("numbers", itertools.permutations(EVENTS))
def test_events_in_any_order_have_the_same_outcome(numbers):
    assert outcome(numbers) == {"a": "in_service", "b": "in_service", "d": "terminating"}


def test_an_event_matches_only_the_same_event_of_its_number():
    order = EventOrder()
    order.apply(1, EVENTS[1])
    assert order.compare(1, EVENTS[1]) is EventMatch.SAME
    assert order.compare(1, EVENTS[4]) is EventMatch.DIFFERENT
    assert order.compare(2, EVENTS[1]) is EventMatch.NEW


@pytest.mark.parametrize(
    ("complete", "revision", "match"),
    [(True, 7, EventMatch.SAME), (True, 8, EventMatch.DIFFERENT), (False, 7, EventMatch.DIFFERENT)],
)
def test_a_complete_list_of_the_same_revision_replaces_the_change_of_its_number(complete, revision, match):
    order = EventOrder()
    order.apply(9, Fleet([member("a", "terminating")], False, 7))
    assert order.compare(9, Fleet([member("a"), member("b")], complete, revision)) is match


def test_a_complete_list_removes_no_scorer_whose_entry_is_unreadable():
    order = EventOrder()
    order.apply(1, EVENTS[1])
    fleet = order.apply(2, Fleet([member("b")], complete=True), unreadable_ids={"c"})
    assert (fleet.complete, [(m.id, m.phase) for m in fleet.members]) == (
        False, [("b", "in_service"), ("a", "terminated")]
    )  # fmt: skip


def test_what_is_remembered_is_bounded_and_the_first_event_stays(monkeypatch):
    monkeypatch.setattr(event_order, "MAX_EVENTS", 5)
    monkeypatch.setattr(event_order, "MAX_SCORERS", 5)
    order = EventOrder()
    for number in range(1, 40):
        order.apply(number, Fleet([member(f"s{number}")], complete=number == 1))
    assert (len(order._events), len(order._scorers)) == (5, 5)
    assert order.compare(1, Fleet([member("s1")], complete=True)) is EventMatch.SAME


@pytest.mark.parametrize(
    ("bad", "unreadable_ids"),
    [
        ({"id": "x", "phase": "asleep"}, {"x"}),
        ({"id": "x", "phase": "in_service", "host_port": "nowhere"}, {"x"}),
        ({"id": "x"}, {"x"}),
        ({"id": 5, "phase": "in_service"}, set()),
        (None, set()),
        ("x", set()),
    ],
)
def test_a_member_that_cant_be_read_is_left_out_alone(bad, unreadable_ids):
    good = {"id": "a", "phase": "terminating", "host_port": "127.0.0.1:1"}
    read = read_fleet({"complete": True, "revision": 3, "members": [bad, good]})
    ids = [m.id for m in read.fleet.members]
    assert (ids, read.unreadable_ids, len(read.errors)) == (["a"], unreadable_ids, 1)
    assert (read.fleet.complete, read.fleet.revision) == (True, 3)


@pytest.mark.parametrize("data", [None, [], 5, {}, {"members": 5}, {"members": [], "revision": "x"}])
def test_a_list_that_cant_be_read_is_none(data):
    with pytest.raises(ConfigError):
        read_fleet(data)
