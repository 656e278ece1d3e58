"""A change log that restarts its numbering at 1, as after a loss of power."""

import pytest
from peers import Rig, ScorerPeer


@pytest.fixture
def rig():
    made = Rig(ScorerPeer("s-old"), ScorerPeer("s-new"))
    yield made
    made.close()


def advance_to_event_40(rig):
    """Let the front end be up to date with event 40."""
    rig.front.change_log.seq = 40
    rig.log.say(40)
    rig.until(lambda: rig.front.change_log.up_to_date_ms is not None, "the log is up to date")


def test_all_events_of_a_renumbered_log_are_requested_and_its_list_applied(rig):
    rig.front.change_log.expects_renumbering = True
    advance_to_event_40(rig)
    rig.log.say(2)
    rig.until(lambda: len(rig.log.asked()) == 2, "events are requested again")
    assert rig.log.asked()[-1] == ["since", "0"]
    member = rig.scorers[1].member(up_since_ms=77)
    rig.log.say({"seq": 1, "fleet": {"complete": True, "members": [member]}})
    rig.log.say({"seq": 2, "fleet": {"members": [member]}})
    rig.log.say(2)
    rig.until(lambda: rig.front.change_log.seq == 2 and not rig.front._pending_change, "the event is applied")
    phases = {member.id: member.phase for member in rig.front.roster_overlay.members.values()}
    assert phases.get("s-new") == "in_service" and phases.get("s-old", "terminated") == "terminated"
    assert [line for line in rig.lines if "restarted its numbering" in line] == [
        "change log: at event 2, was at 40; it restarted its numbering"
    ]


def test_without_recovery_one_smaller_number_is_ignored(rig):
    advance_to_event_40(rig)
    rig.log.say(2)
    rig.log.say({"seq": 41, "fleet": {"members": [rig.scorers[0].member("terminating")]}})
    rig.until(lambda: rig.front.change_log.seq == 41, "the next event is applied")
    assert len(rig.log.asked()) == 1
