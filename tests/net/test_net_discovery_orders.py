"""Events of the change log that are repeated, late, out of order, or numbered from 1 again."""

import itertools
import json

import pytest
from support.change_log_front_end import LogRig, event

from fawnwharf import interface as io
from fawnwharf.net import change_log
from fawnwharf.net.front_end import scorer_number

READY, DRAINING = io.ScorerState.READY, io.ScorerState.DRAINING


@pytest.fixture
def rig():
    made = LogRig("s-1", "s-2", "s-3")
    yield made
    made.close()


def first_list(rig):
    """The list of the start, as it was told."""
    return event(1, *[peer.member() for peer in rig.by_id.values()], complete=True)


# --- missing and late events ------------------------------------------------------------------------


def test_a_drain_ahead_of_a_missing_event_holds_at_once(rig):
    rig.log.say(event(3, rig.member("s-1", "terminating")))
    assert rig.asked_times(2) == ["since", "1"]
    assert rig.states()["s-1"] is DRAINING
    rig.log.say(event(2, rig.member("s-2", "terminating")))
    rig.log.say(event(3, rig.member("s-1", "terminating")))
    rig.at(3)
    assert rig.states() == {"s-1": DRAINING, "s-2": DRAINING, "s-3": READY}


def test_an_event_that_was_passed_over_still_counts_when_it_comes(rig):
    rig.log.say(event(3, rig.member("s-1", "terminating")))
    rig.asked_times(2)
    rig.log.say(event(3, rig.member("s-1", "terminating")))
    rig.at(3)  # event 2 is not waited for any longer
    rig.log.say(event(2, rig.member("s-1"), rig.member("s-2", "terminating")))
    rig.log_read(3)
    assert rig.states() == {"s-1": DRAINING, "s-2": DRAINING, "s-3": READY}


@pytest.mark.parametrize("order", itertools.permutations((2, 3, 4)))
def test_events_in_any_order_leave_the_same_list(rig, order):
    events = {
        2: event(2, rig.member("s-1", "terminating"), rig.member("s-2", "terminating")),
        3: event(3, rig.member("s-1")),
        4: event(4, rig.member("s-2", "terminated"), rig.member("s-3", "terminating")),
    }
    asked = 1
    for number in order:
        rig.log.say(events[number])
        if number > rig.front.change_log.seq + 1 and asked == 1:
            asked += 1
            rig.asked_times(asked)
            rig.log.say(events[number])
        rig.until(lambda number=number: number in rig.front.change_log._order._events, "it is taken")
    rig.at(4)
    assert rig.states() == {"s-1": READY, "s-3": DRAINING}


def test_a_whole_list_after_a_gap_stands_for_what_is_missing(rig):
    rig.log.say(event(9, rig.member("s-2"), rig.member("s-3", "terminating"), complete=True))
    rig.at(9)
    assert (rig.states(), len(rig.log.asked())) == ({"s-2": READY, "s-3": DRAINING}, 1)


def test_a_list_that_is_told_again_changes_nothing(rig):
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    rig.log.say(first_list(rig))
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    rig.log_read(2)
    assert [len(fleet.members) for fleet in rig.told] == [1]
    assert (rig.states()["s-1"], len(rig.log.asked())) == (DRAINING, 1)


def test_an_event_that_could_not_be_passed_on_is_taken_when_it_comes_again(rig):
    take, faults = rig.front.change_log._deliver, [KeyError("boom")]

    def told(fleet):
        if faults:
            raise faults.pop()
        take(fleet)

    rig.front.change_log._deliver = told
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    assert rig.asked_times(2) == ["since", "1"]
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    rig.at(2)
    assert rig.states()["s-1"] is DRAINING


# --- numbers that begin with 1 again ----------------------------------------------------------------


def far_on(rig):
    """Up to event 5, and s-3 is drained."""
    for seq in (2, 3, 4):
        rig.log.say(event(seq))
    rig.log.say(event(5, rig.member("s-3", "terminating")))
    rig.at(5)


def break_off(rig, asked):
    rig.log.links[-1].sock.close()
    rig.log.links[-1].ended = True
    return rig.asked_times(asked)


def test_a_log_that_tells_another_first_list_has_begun_anew(rig):
    far_on(rig)
    assert break_off(rig, 2) == ["since", "5"]
    rig.log.say(event(1, rig.member("s-1"), rig.member("s-2", "terminating"), complete=True))
    rig.log.say(1)
    rig.at(1)
    assert rig.states() == {"s-1": READY, "s-2": DRAINING}
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    rig.at(2)
    assert (rig.states()["s-1"], len(rig.log.asked())) == (DRAINING, 2)


def test_a_smaller_number_on_a_fresh_connection_has_the_log_asked_for_all(rig):
    far_on(rig)
    break_off(rig, 2)
    rig.log.say(2)
    assert rig.asked_times(3) == ["since", "0"]
    rig.log.say(event(1, rig.member("s-1"), rig.member("s-2"), complete=True))
    rig.log.say(event(2, rig.member("s-2", "terminating")))
    rig.log.say(2)
    rig.at(2)
    assert rig.states() == {"s-1": READY, "s-2": DRAINING}


def test_smaller_numbers_that_go_on_have_it_asked_on_an_old_connection_too(rig):
    far_on(rig)
    rig.log.say(2)
    rig.log.say(2)
    assert rig.asked_times(2) == ["since", "0"]


def test_a_drain_under_a_number_that_was_another_events_has_it_asked_for_all(rig):
    far_on(rig)
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    assert rig.asked_times(2) == ["since", "0"]
    rig.log.say(event(1, rig.member("s-1"), rig.member("s-2"), complete=True))
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    rig.log.say(2)
    rig.at(2)
    assert rig.states() == {"s-1": DRAINING, "s-2": READY}


def test_a_log_that_lags_brings_no_scorer_back(rig):
    far_on(rig)
    break_off(rig, 2)
    rig.log.say(2)
    rig.asked_times(3)
    rig.told.clear()
    for line in (first_list(rig), event(2), 2, event(3), 3, event(4), 4):
        rig.log.say(line)
    rig.log.say(event(5, rig.member("s-3", "terminating")))
    rig.log_read(5)
    rig.log.say(event(6, rig.member("s-2", "terminating")))
    rig.at(6)
    assert [[member.id for member in fleet.members] for fleet in rig.told] == [["s-2"]]
    assert rig.states() == {"s-1": READY, "s-2": DRAINING, "s-3": DRAINING}
    assert len(rig.log.asked()) == 3


def test_an_older_whole_list_under_an_unknown_number_brings_no_scorer_back(rig):
    rig.log.say(event(5, rig.member("s-3", "terminating"), rig.member("s-1"), complete=True, revision=8))
    rig.at(5)
    rig.log.say(event(3, rig.member("s-2"), rig.member("s-3"), complete=True, revision=6))
    rig.log_read(5)
    assert rig.states() == {"s-1": READY, "s-3": DRAINING}


def test_a_newer_revision_under_a_smaller_number_shows_a_new_numbering(rig):
    rig.log.say(event(5, rig.member("s-3", "terminating"), rig.member("s-1"), complete=True, revision=8))
    rig.at(5)
    rig.log.say(event(3, rig.member("s-1", "terminating"), revision=9))
    assert rig.asked_times(2) == ["since", "0"]


def say_less_for_longer_than_a_log_lags(rig, *lines):
    """The log says 2 where 3 and more were received, and goes on to say so, with these lines before."""
    break_off(rig, 2)
    rig.log.say(2)
    rig.asked_times(3)
    for line in lines:
        rig.log.say(line)
    rig.log.say(2)
    rig.until(lambda: rig.front.change_log._smaller_numbers == 1, "it says less than it said before")
    rig.later_ms += change_log.MAX_DELAY_MS + 1.0
    rig.log.say(2)


def test_numbers_below_the_own_for_longer_than_any_log_lags_are_a_new_numbering(rig):
    rig.log.say(event(5, rig.member("s-1"), rig.member("s-2"), complete=True))
    rig.at(5)
    lines = first_list(rig), event(2)
    with rig.shifted():
        say_less_for_longer_than_a_log_lags(rig, *lines)
        assert rig.asked_times(4) == ["since", "0"]
        for line in (*lines, 2):
            rig.log.say(line)
        rig.at(2)
    assert rig.states() == {"s-1": READY, "s-2": READY, "s-3": READY}


def test_a_replica_that_lags_for_longer_brings_no_scorer_back_and_confirms_nothing(rig):
    far_on(rig)
    confirmed_ms = rig.front.change_log.up_to_date_ms
    with rig.shifted():
        say_less_for_longer_than_a_log_lags(rig, first_list(rig), event(2))
        rig.log.say(event(6, rig.member("s-2", "terminating")))
        rig.at(6)
    assert rig.states() == {"s-1": READY, "s-2": DRAINING, "s-3": DRAINING}
    assert len(rig.log.asked()) == 3
    assert rig.front.change_log.up_to_date_ms == confirmed_ms


def test_after_a_long_absence_a_new_numbering_that_reached_the_same_number_is_noticed(rig):
    rig.log.say(event(2))
    rig.at(2)
    with rig.shifted():
        rig.later_ms += change_log.MAX_UNCONFIRMED_MS + 1.0  # silent for so long, so it reconnects by itself
        assert rig.asked_times(2) == ["since", "1"]
        rig.log.say(event(2, rig.member("s-1", "terminating")))
        assert rig.asked_times(3) == ["since", "0"]


def test_while_a_new_numbering_is_read_no_drained_scorer_comes_back(rig):
    far_on(rig)
    break_off(rig, 2)
    rig.told.clear()
    rig.log.say(event(1, *[rig.member(id) for id in rig.by_id], complete=True, revision=9))
    rig.log.say(event(2, rig.member("s-2", "terminating"), revision=10))
    rig.until(lambda: rig.front.change_log._position == 2, "two events are read")
    assert rig.states()["s-3"] is DRAINING
    rig.log.say(event(3, rig.member("s-3", "terminating"), revision=11))
    rig.log.say(3)
    rig.at(3)
    assert [{m.id: m.phase for m in fleet.members} for fleet in rig.told] == [
        {"s-1": "in_service", "s-2": "terminating", "s-3": "terminating"}
    ]


def test_a_new_numbering_that_breaks_off_is_asked_for_again_from_its_start(rig):
    far_on(rig)
    break_off(rig, 2)
    rig.log.say(event(1, rig.member("s-1"), complete=True, revision=9))
    rig.until(lambda: rig.front.change_log._position == 1, "the first event is read")
    assert break_off(rig, 3) == ["since", "0"]
    rig.log.say(event(1, rig.member("s-1"), complete=True, revision=9))
    rig.at(1)  # without the log's number, after a while
    assert rig.states() == {"s-1": READY}


# --- members ----------------------------------------------------------------------------------------


BAD = [{"id": "s-2", "phase": "asleep"}, {"id": "s-2", "phase": "in_service", "host_port": "x"}]


@pytest.mark.parametrize("bad", BAD)
@pytest.mark.parametrize("complete", [True, False])
def test_a_bad_member_hides_no_others_drain_and_is_not_removed(rig, bad, complete):
    rig.log.say(event(2, rig.member("s-1", "terminating"), bad, complete=complete))
    rig.at(2)
    rest = {} if complete else {"s-3": READY}
    assert rig.states() == {"s-1": DRAINING, "s-2": READY, **rest}
    assert [line for line in rig.lines if "left out" in line and "s-2" in line]


def test_a_change_of_an_unknown_scorer_without_address_adds_nobody(rig):
    rig.log.say(event(2, {"id": "s-9", "phase": "in_service"}, rig.member("s-1", "terminating")))
    rig.at(2)
    rig.states()
    assert len(rig.front.router.scorers) == 3


@pytest.mark.parametrize("order", [1, -1])
def test_an_address_that_passes_to_another_id_in_one_event(rig, order):
    old, host_port = rig.member("s-1", "terminated"), rig.by_id["s-1"].host_port
    new = {"id": "s-9", "phase": "in_service", "host_port": host_port, "size": 4}
    rig.log.say(event(2, *[old, new][::order]))
    rig.at(2)
    rig.by_id["s-9"] = rig.by_id["s-1"]
    assert rig.states() == {"s-2": READY, "s-3": READY, "s-9": READY}


def test_an_id_that_comes_back_is_served_at_its_new_address(rig):
    rig.log.say(event(2, rig.member("s-1", "terminated")))
    moved = rig.by_id["s-2"].host_port
    rig.log.say(event(3, rig.member("s-2", "terminated")))
    rig.log.say(event(4, rig.member("s-1") | {"host_port": moved}))
    rig.at(4)
    assert rig.states() == {"s-1": READY, "s-3": READY}
    scorer = rig.front.scorer_pool.scorers[scorer_number("s-1")]
    assert f"{scorer.address[0]}:{scorer.address[1]}" == moved


def test_bytes_of_several_events_cut_anywhere_are_taken_whole(rig):
    lines = [event(2, rig.member("s-1", "terminating")), event(3, rig.member("s-2", "terminating"))]
    data = b"".join(json.dumps(line).encode() + b"\n" for line in lines)
    seen = []
    for place in range(0, len(data), 7):
        rig.log.links[-1].sock.sendall(data[place : place + 7])
        rig.front.loop.run_iteration(0.05)
        seen.append(rig.front.change_log.seq)
    rig.at(3)
    assert seen == sorted(seen)
    assert rig.states() == {"s-1": DRAINING, "s-2": DRAINING, "s-3": READY}
