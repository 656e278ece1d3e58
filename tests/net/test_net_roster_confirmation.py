"""The confirmation of the roster by the change log's heartbeats, and its time."""

import pytest
from support.change_log_front_end import ChangeLogRig, event

from fawnwharf.net.change_log_heartbeat import HeartbeatAge
from fawnwharf.net.roster_confirmation import RosterConfirmation
from fawnwharf.policy.roster_lease import UNCONFIRMED_MS, LeaseCounters


@pytest.fixture
def rig():
    made = ChangeLogRig("s-1", "s-2")
    yield made
    made.close()


def test_punctual_heartbeats_confirm_the_roster_as_of_at_most_two_seconds_ago():
    age = HeartbeatAge()
    age.begin(10_000.0)
    proved = [age.received(10_000.0 + first) for first in (0.0, 300.0, 1_300.0, 2_300.0)]
    assert proved == [10_000.0, 10_000.0, 11_000.0, 12_000.0]


def test_delayed_heartbeats_confirm_the_roster_only_as_of_when_they_were_written():
    age = HeartbeatAge()
    age.begin(0.0)
    for number in range(10):  # the network delivers one every two seconds
        proved_ms = age.received(2_000.0 * number)
    assert proved_ms == 8_000.0


@pytest.mark.parametrize("heartbeat", [b"2", b'{"seq":2}'])
def test_both_forms_of_a_heartbeat_confirm_the_roster(rig, heartbeat):
    rig.log.say(event(2))
    rig.at(2)
    rig.front.change_log.up_to_date_ms = None
    rig.log.say(heartbeat)
    rig.until(lambda: rig.front.change_log.up_to_date_ms is not None, "the roster is confirmed")


@pytest.mark.parametrize("heartbeat", [b"3", b'{"seq":3}'])
def test_a_heartbeat_ahead_of_its_event_confirms_nothing_and_has_the_event_requested(rig, heartbeat):
    confirmed_ms = rig.front.change_log.up_to_date_ms
    rig.log.say(heartbeat)
    assert rig.wait_for_requests(2) == ["since", "1"]
    assert rig.front.change_log.up_to_date_ms == confirmed_ms
    assert rig.front.change_log.seq == 1


def test_one_line_is_logged_when_the_roster_is_unconfirmed_and_one_when_it_is_confirmed_again():
    lines = []
    confirmation = RosterConfirmation(LeaseCounters(queries=3), lines.append, 0.0)
    event = confirmation.confirm(1_000.0)
    assert event is not None
    assert confirmation.confirm(2_000.0) is None  # one event for each batch
    confirmation.begin_batch(2_500.0)
    assert event.age_ms == 500.0
    for now_ms in (6_900.0, 2_000.0 + UNCONFIRMED_MS, 9_000.0):
        confirmation.run_maintenance(now_ms)
    confirmation.confirm(9_500.0)
    confirmation.run_maintenance(10_000.0)
    assert ["unconfirmed for 5000 ms" in lines[0], "confirmed again" in lines[1], len(lines)] == [
        True, True, 2,
    ]  # fmt: skip
    assert "1 unconfirmed spans, 3 state queries" in lines[1]
