"""Change log events that are repeated, late or out of order, and logs that restart their numbering."""

import itertools
import json

import pytest
from support.change_log_front_end import ChangeLogRig, event

from fawnwharf import interface as io
from fawnwharf.net import change_log
from fawnwharf.net.front_end import scorer_number

READY, DRAINING = io.ScorerState.READY, io.ScorerState.DRAINING


@pytest.fixture
def rig():
    made = ChangeLogRig("s-1", "s-2", "s-3")
    yield made
    made.close()


def first_list(rig):
    """The complete list of event 1."""
    return event(1, *[peer.member() for peer in rig.by_id.values()], complete=True)


# --- missing and late events ------------------------------------------------------------------------


def test_a_drain_applies_at_once_although_an_earlier_event_is_missing(rig):
    rig.log.say(event(3, rig.member("s-1", "terminating")))
    assert rig.wait_for_requests(2) == ["since", "1"]
    assert rig.states()["s-1"] is DRAINING
    rig.log.say(event(2, rig.member("s-2", "terminating")))
    rig.log.say(event(3, rig.member("s-1", "terminating")))
    rig.at(3)
    assert rig.states() == {"s-1": DRAINING, "s-2": DRAINING, "s-3": READY}


def test_a_missing_event_that_arrives_late_is_applied(rig):
    rig.log.say(event(3, rig.member("s-1", "terminating")))
    rig.wait_for_requests(2)
    rig.log.say(event(3, rig.member("s-1", "terminating")))
    rig.at(3)  # event 2 is given up as missing
    rig.log.say(event(2, rig.member("s-1"), rig.member("s-2", "terminating")))
    rig.wait_until_log_read(3)
    assert rig.states() == {"s-1": DRAINING, "s-2": DRAINING, "s-3": READY}


@pytest.mark.parametrize("order", itertools.permutations((2, 3, 4)))
def test_events_in_any_order_result_in_the_same_list(rig, order):
    events = {
        2: event(2, rig.member("s-1", "terminating"), rig.member("s-2", "terminating")),
        3: event(3, rig.member("s-1")),
        4: event(4, rig.member("s-2", "terminated"), rig.member("s-3", "terminating")),
    }
    requests = 1
    for number in order:
        rig.log.say(events[number])
        if number > rig.front.change_log.seq + 1 and requests == 1:
            requests += 1
            rig.wait_for_requests(requests)
            rig.log.say(events[number])
        rig.until(lambda number=number: number in rig.front.change_log._order._events, "the event is applied")
    rig.at(4)
    assert rig.states() == {"s-1": READY, "s-3": DRAINING}


def test_a_complete_list_replaces_missing_events(rig):
    rig.log.say(event(9, rig.member("s-2"), rig.member("s-3", "terminating"), complete=True))
    rig.at(9)
    assert (rig.states(), len(rig.log.asked())) == ({"s-2": READY, "s-3": DRAINING}, 1)


def test_repeated_events_change_nothing(rig):
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    rig.log.say(first_list(rig))
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    rig.wait_until_log_read(2)
    assert [len(fleet.members) for fleet in rig.delivered] == [1]
    assert (rig.states()["s-1"], len(rig.log.asked())) == (DRAINING, 1)


def test_an_event_whose_delivery_failed_is_applied_when_it_is_received_again(rig):
    deliver, faults = rig.front.change_log._deliver, [KeyError("boom")]

    def deliver_or_fail(fleet):
        if faults:
            raise faults.pop()
        deliver(fleet)

    rig.front.change_log._deliver = deliver_or_fail
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    assert rig.wait_for_requests(2) == ["since", "1"]
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    rig.at(2)
    assert rig.states()["s-1"] is DRAINING


# --- logs that restart their numbering --------------------------------------------------------------


def advance_to_event_5(rig):
    """Let the front end apply events 2 to 5; event 5 drains s-3."""
    for seq in (2, 3, 4):
        rig.log.say(event(seq))
    rig.log.say(event(5, rig.member("s-3", "terminating")))
    rig.at(5)


def disconnect(rig, requests):
    """Close the log's connection; return the request on the next one, the `requests`-th in total."""
    rig.log.links[-1].sock.close()
    rig.log.links[-1].ended = True
    return rig.wait_for_requests(requests)


def test_a_different_first_list_shows_a_new_numbering(rig):
    advance_to_event_5(rig)
    assert disconnect(rig, 2) == ["since", "5"]
    rig.log.say(event(1, rig.member("s-1"), rig.member("s-2", "terminating"), complete=True))
    rig.log.say(1)
    rig.at(1)
    assert rig.states() == {"s-1": READY, "s-2": DRAINING}
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    rig.at(2)
    assert (rig.states()["s-1"], len(rig.log.asked())) == (DRAINING, 2)


def test_a_smaller_number_on_a_new_connection_makes_it_request_all_events(rig):
    advance_to_event_5(rig)
    disconnect(rig, 2)
    rig.log.say(2)
    assert rig.wait_for_requests(3) == ["since", "0"]
    rig.log.say(event(1, rig.member("s-1"), rig.member("s-2"), complete=True))
    rig.log.say(event(2, rig.member("s-2", "terminating")))
    rig.log.say(2)
    rig.at(2)
    assert rig.states() == {"s-1": READY, "s-2": DRAINING}


def test_repeated_smaller_numbers_on_an_old_connection_make_it_request_all_events(rig):
    advance_to_event_5(rig)
    rig.log.say(2)
    rig.log.say(2)
    assert rig.wait_for_requests(2) == ["since", "0"]


def test_a_different_event_under_a_known_number_makes_it_request_all_events(rig):
    advance_to_event_5(rig)
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    assert rig.wait_for_requests(2) == ["since", "0"]
    rig.log.say(event(1, rig.member("s-1"), rig.member("s-2"), complete=True))
    rig.log.say(event(2, rig.member("s-1", "terminating")))
    rig.log.say(2)
    rig.at(2)
    assert rig.states() == {"s-1": DRAINING, "s-2": READY}


def test_a_log_that_is_behind_returns_no_scorer_to_service(rig):
    advance_to_event_5(rig)
    disconnect(rig, 2)
    rig.log.say(2)
    rig.wait_for_requests(3)
    rig.delivered.clear()
    for line in (first_list(rig), event(2), 2, event(3), 3, event(4), 4):
        rig.log.say(line)
    rig.log.say(event(5, rig.member("s-3", "terminating")))
    rig.wait_until_log_read(5)
    rig.log.say(event(6, rig.member("s-2", "terminating")))
    rig.at(6)
    assert [[member.id for member in fleet.members] for fleet in rig.delivered] == [["s-2"]]
    assert rig.states() == {"s-1": READY, "s-2": DRAINING, "s-3": DRAINING}
    assert len(rig.log.asked()) == 3


def test_an_older_complete_list_under_an_unknown_number_returns_no_scorer_to_service(rig):
    rig.log.say(event(5, rig.member("s-3", "terminating"), rig.member("s-1"), complete=True, revision=8))
    rig.at(5)
    rig.log.say(event(3, rig.member("s-2"), rig.member("s-3"), complete=True, revision=6))
    rig.wait_until_log_read(5)
    assert rig.states() == {"s-1": READY, "s-3": DRAINING}


def test_a_newer_revision_under_a_smaller_number_shows_a_new_numbering(rig):
    rig.log.say(event(5, rig.member("s-3", "terminating"), rig.member("s-1"), complete=True, revision=8))
    rig.at(5)
    rig.log.say(event(3, rig.member("s-1", "terminating"), revision=9))
    assert rig.wait_for_requests(2) == ["since", "0"]


def send_smaller_numbers_beyond_the_maximum_delay(rig, *lines):
    """Disconnect, send `lines`, then heartbeats with 2, below the position, for longer than a log may lag."""
    disconnect(rig, 2)
    rig.log.say(2)
    rig.wait_for_requests(3)
    for line in lines:
        rig.log.say(line)
    rig.log.say(2)
    rig.until(lambda: rig.front.change_log._smaller_numbers == 1, "a smaller number is received")
    rig.clock_shift_ms += change_log.MAX_DELAY_MS + 1.0
    rig.log.say(2)


def test_smaller_numbers_beyond_the_maximum_delay_show_a_new_numbering(rig):
    rig.log.say(event(5, rig.member("s-1"), rig.member("s-2"), complete=True))
    rig.at(5)
    lines = first_list(rig), event(2)
    with rig.shifted_clock():
        send_smaller_numbers_beyond_the_maximum_delay(rig, *lines)
        assert rig.wait_for_requests(4) == ["since", "0"]
        for line in (*lines, 2):
            rig.log.say(line)
        rig.at(2)
    assert rig.states() == {"s-1": READY, "s-2": READY, "s-3": READY}


def test_a_replica_that_lags_for_longer_returns_no_scorer_to_service_and_confirms_nothing(rig):
    advance_to_event_5(rig)
    confirmed_ms = rig.front.change_log.up_to_date_ms
    with rig.shifted_clock():
        send_smaller_numbers_beyond_the_maximum_delay(rig, first_list(rig), event(2))
        rig.log.say(event(6, rig.member("s-2", "terminating")))
        rig.at(6)
    assert rig.states() == {"s-1": READY, "s-2": DRAINING, "s-3": DRAINING}
    assert len(rig.log.asked()) == 3
    assert rig.front.change_log.up_to_date_ms == confirmed_ms


def test_after_a_long_silence_a_new_numbering_that_reached_the_same_number_is_detected(rig):
    rig.log.say(event(2))
    rig.at(2)
    with rig.shifted_clock():
        # The shift also exceeds the silence timeout, so that the client reconnects.
        rig.clock_shift_ms += change_log.MAX_UNCONFIRMED_MS + 1.0
        assert rig.wait_for_requests(2) == ["since", "1"]
        rig.log.say(event(2, rig.member("s-1", "terminating")))
        assert rig.wait_for_requests(3) == ["since", "0"]


def test_no_drained_scorer_returns_to_service_while_a_new_numbering_is_read(rig):
    advance_to_event_5(rig)
    disconnect(rig, 2)
    rig.delivered.clear()
    rig.log.say(event(1, *[rig.member(id) for id in rig.by_id], complete=True, revision=9))
    rig.log.say(event(2, rig.member("s-2", "terminating"), revision=10))
    rig.until(lambda: rig.front.change_log._position == 2, "two events are read")
    assert rig.states()["s-3"] is DRAINING
    rig.log.say(event(3, rig.member("s-3", "terminating"), revision=11))
    rig.log.say(3)
    rig.at(3)
    assert [{m.id: m.phase for m in fleet.members} for fleet in rig.delivered] == [
        {"s-1": "in_service", "s-2": "terminating", "s-3": "terminating"}
    ]


def test_after_a_disconnection_a_new_numbering_is_requested_again_from_its_start(rig):
    advance_to_event_5(rig)
    disconnect(rig, 2)
    rig.log.say(event(1, rig.member("s-1"), complete=True, revision=9))
    rig.until(lambda: rig.front.change_log._position == 1, "the first event is read")
    assert disconnect(rig, 3) == ["since", "0"]
    rig.log.say(event(1, rig.member("s-1"), complete=True, revision=9))
    rig.at(1)  # without a heartbeat, when the time to collect events is over
    assert rig.states() == {"s-1": READY}


# --- members ----------------------------------------------------------------------------------------


BAD = [{"id": "s-2", "phase": "asleep"}, {"id": "s-2", "phase": "in_service", "host_port": "x"}]


@pytest.mark.parametrize("bad", BAD)
@pytest.mark.parametrize("complete", [True, False])
def test_an_unreadable_member_is_kept_and_does_not_hide_the_drain_of_another(rig, bad, complete):
    rig.log.say(event(2, rig.member("s-1", "terminating"), bad, complete=complete))
    rig.at(2)
    rest = {} if complete else {"s-3": READY}
    assert rig.states() == {"s-1": DRAINING, "s-2": READY, **rest}
    assert [line for line in rig.lines if "left out" in line and "s-2" in line]


def test_a_change_of_an_unknown_scorer_without_an_address_adds_no_scorer(rig):
    rig.log.say(event(2, {"id": "s-9", "phase": "in_service"}, rig.member("s-1", "terminating")))
    rig.at(2)
    rig.states()
    assert len(rig.front.router.scorers) == 3


@pytest.mark.parametrize("order", [1, -1])
def test_one_event_moves_an_address_to_another_id(rig, order):
    old, host_port = rig.member("s-1", "terminated"), rig.by_id["s-1"].host_port
    new = {"id": "s-9", "phase": "in_service", "host_port": host_port, "size": 4}
    rig.log.say(event(2, *[old, new][::order]))
    rig.at(2)
    rig.by_id["s-9"] = rig.by_id["s-1"]
    assert rig.states() == {"s-2": READY, "s-3": READY, "s-9": READY}


def test_an_id_that_is_listed_again_is_used_at_its_new_address(rig):
    rig.log.say(event(2, rig.member("s-1", "terminated")))
    moved = rig.by_id["s-2"].host_port
    rig.log.say(event(3, rig.member("s-2", "terminated")))
    rig.log.say(event(4, rig.member("s-1") | {"host_port": moved}))
    rig.at(4)
    assert rig.states() == {"s-1": READY, "s-3": READY}
    scorer = rig.front.scorer_pool.scorers[scorer_number("s-1")]
    assert f"{scorer.address[0]}:{scorer.address[1]}" == moved


def test_events_received_in_pieces_are_applied_completely(rig):
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
