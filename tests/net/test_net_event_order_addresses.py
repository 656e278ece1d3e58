"""A new scorer at the address of one that has gone: the old one gets nothing more, however it is told."""

import pytest
from peers import Rig, ScorerPeer

from fawnwharf import interface as io
from fawnwharf.config import Fleet, Member
from fawnwharf.net.event_order import EventOrder
from fawnwharf.net.front_end import scorer_number

OLD, NEW = "s-old", "s-new"
ADDRESS, OTHER = "10.0.0.1:4100", "10.0.0.2:4100"


def member(scorer_id, phase="in_service", address=ADDRESS):
    return Member(scorer_id, phase, host_port=address)


def started():
    order = EventOrder()
    order.apply(1, Fleet([member(OLD), member("s-other", address=OTHER)], True, 1))
    return order


def phases(fleet):
    return {each.id: each.phase for each in fleet.members}


def test_the_scorer_that_had_the_address_has_gone_where_its_end_is_not_told():
    order = started()
    assert phases(order.apply(2, Fleet([member(NEW)], False, 2))) == {NEW: "in_service", OLD: "terminated"}
    assert not order.is_listed(OLD)
    assert order.is_listed(NEW)
    assert order.is_listed("s-other")


def test_its_late_end_changes_nothing():
    order = started()
    order.apply(3, Fleet([member(NEW)], False, 3))
    assert phases(order.apply(2, Fleet([member(OLD, "terminated")], False, 2))) == {}
    assert order.is_listed(NEW)


def test_a_late_event_of_the_old_scorer_does_not_bring_it_back():
    order = EventOrder()
    order.apply(1, Fleet([], True, 1))
    order.apply(4, Fleet([member(NEW)], False, 4))
    assert phases(order.apply(2, Fleet([member(OLD)], False, 2))) == {OLD: "terminated"}
    assert order.is_listed(NEW)
    assert not order.is_listed(OLD)


@pytest.mark.parametrize("told_before", [True, False])
def test_a_scorer_that_is_told_to_end_before_its_address_is_used_again_is_no_case(told_before):
    order = started()
    if told_before:
        order.apply(2, Fleet([member(OLD, "terminated")], False, 2))
        assert phases(order.apply(3, Fleet([member(NEW)], False, 3))) == {NEW: "in_service"}
    else:
        both = Fleet([member(OLD, "terminated"), member(NEW)], False, 2)
        assert phases(order.apply(2, both)) == {OLD: "terminated", NEW: "in_service"}
    assert order.is_listed(NEW)


def test_a_scorer_that_moves_or_comes_again_keeps_its_place():
    order = started()
    order.apply(2, Fleet([member(OLD)], False, 2))
    assert phases(order.apply(3, Fleet([member(OLD, address="10.0.0.3:1")], False, 3))) == {OLD: "in_service"}
    assert order.is_listed(OLD)
    order.apply(4, Fleet([member(OLD, "terminating", "10.0.0.3:1")], False, 4))
    assert phases(order.apply(5, Fleet([member(OLD, address="10.0.0.3:1")], False, 5))) == {OLD: "in_service"}


def test_two_that_one_list_names_at_one_address_are_both_kept():
    order = EventOrder()
    listed = order.apply(1, Fleet([member(OLD), member(NEW)], True, 1))
    assert phases(listed) == {OLD: "in_service", NEW: "in_service"}


def test_no_call_goes_to_the_old_scorer_once_another_one_has_its_address():
    scorer = ScorerPeer(copies=32)
    rig = Rig(scorer)
    sent = []
    rig.front.intercept(io.Send, lambda send: lambda action: (sent.append(action.scorer), send(action)))
    replacement = scorer.member() | {"id": NEW}
    rig.log.say({"seq": 2, "fleet": {"complete": False, "members": [replacement]}})
    rig.until(lambda: rig.front.change_log.seq == 2, "the event is applied")
    client = rig.client()
    for number in range(20):
        client.call(row=f"{number:016x}")
    rig.until(lambda: len(scorer.runs) >= 5, "the scorer receives calls")
    rig.close()
    assert set(sent) == {scorer_number(NEW)}
