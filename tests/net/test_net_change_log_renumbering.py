"""A change log whose numbers begin with 1 again, as after a loss of power."""

import pytest
from peers import Rig, ScorerPeer


@pytest.fixture
def rig():
    made = Rig(ScorerPeer("s-old"), ScorerPeer("s-new"))
    yield made
    made.close()


def far_on(rig):
    """The log has told up to number 40."""
    rig.front.change_log.seq = 40
    rig.log.say(40)
    rig.until(lambda: rig.front.change_log.up_to_date_ms is not None, "it has told all")


def test_a_log_that_lost_its_numbers_is_asked_for_all_and_its_list_taken(rig):
    rig.front.change_log.expects_renumbering = True
    far_on(rig)
    rig.log.say(2)
    rig.until(lambda: len(rig.log.asked()) == 2, "it is asked again")
    assert rig.log.asked()[-1] == ["since", "0"]
    one = rig.scorers[1].member(up_since_ms=77)
    rig.log.say({"seq": 1, "fleet": {"complete": True, "members": [one]}})
    rig.log.say({"seq": 2, "fleet": {"members": [one]}})
    rig.log.say(2)
    rig.until(lambda: rig.front.change_log.seq == 2 and not rig.front._pending_change, "it is taken")
    phases = {member.id: member.phase for member in rig.front.roster_overlay.members.values()}
    assert phases.get("s-new") == "in_service" and phases.get("s-old", "terminated") == "terminated"
    assert [line for line in rig.lines if "restarted its numbering" in line] == [
        "change log: at event 2, was at 40; it restarted its numbering"
    ]


def test_without_recovery_a_smaller_number_is_one_that_was_told_before(rig):
    far_on(rig)
    rig.log.say(2)
    rig.log.say({"seq": 41, "fleet": {"members": [rig.scorers[0].member("terminating")]}})
    rig.until(lambda: rig.front.change_log.seq == 41, "the log goes on")
    assert len(rig.log.asked()) == 1
