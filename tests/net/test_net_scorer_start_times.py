"""Starts of scorers that are told by clocks that are apart from the front end's."""

import pytest
from peers import Rig, ScorerPeer

from fawnwharf.config import Fleet, Member
from fawnwharf.net.front_end import scorer_number
from fawnwharf.net.scorer_start_times import MAX_DELAY_MS, MAX_SCORERS, ScorerStartTimes
from fawnwharf.net.timer_wheel import unix_ms

NOW, HOUR, NEVER = 1_000_000_000.0, 3_600_000.0, float("inf")


def told(starts, start_ms, now_ms=NOW, unheard_ms=500.0, id="s-1", complete=False, phase="in_service"):
    """The start by which that scorer is gone by."""
    members = [Member(id, phase, up_since_ms=start_ms)]
    [member] = starts.correct(Fleet(members, complete, 3), now_ms, unheard_ms).members
    return member.up_since_ms


@pytest.mark.parametrize(
    ("start_ms", "unheard_ms", "complete", "gone_by_ms", "apart"),
    [
        (0.0, 500.0, False, 0.0, 0),  # no late start
        (NOW - 300.0, 500.0, False, NOW - 300.0, 0),
        (
            NOW - MAX_DELAY_MS - 400.0,
            500.0,
            False,
            NOW - MAX_DELAY_MS - 400.0,
            0,
        ),  # as late as it may be told
        (NOW - MAX_DELAY_MS - 600.0, 500.0, False, NOW, 1),  # own clock ahead
        (NOW - HOUR, 500.0, False, NOW, 1),
        (NOW - HOUR, HOUR, False, NOW - HOUR, 0),  # nothing was heard for so long
        (NOW - HOUR, NEVER, False, NOW - HOUR, 0),  # not followed yet
        (NOW - HOUR, 500.0, True, NOW - HOUR, 0),  # a whole list tells old ones, too
        (NOW + 200.0, 500.0, False, NOW, 0),  # own clock behind, by less than is worth a word
        (NOW + HOUR, 500.0, False, NOW, 1),
        (NOW + HOUR, NEVER, True, NOW, 1),
    ],
)
def test_a_start_is_gone_by_as_what_is_known_without_a_clock_allows(
    start_ms, unheard_ms, complete, gone_by_ms, apart
):
    starts = ScorerStartTimes()
    assert told(starts, start_ms, unheard_ms=unheard_ms, complete=complete) == gone_by_ms
    assert starts.corrected_starts == apart


def test_what_is_told_again_keeps_its_start_and_a_later_one_is_later():
    starts = ScorerStartTimes()
    first = told(starts, NOW + HOUR)
    assert told(starts, NOW + HOUR, NOW + 60_000.0) == first
    assert told(starts, NOW + HOUR, NOW + 61_000.0, phase="terminated") == first
    assert told(starts, NOW + HOUR, NOW + 62_000.0) == first  # listed again, and not started anew
    assert told(starts, NOW + HOUR, NOW + 63_000.0, complete=True) == first
    assert told(starts, NOW + HOUR + 64_000.0, NOW + 64_000.0) == NOW + 64_000.0 > first
    ahead = ScorerStartTimes()
    first = told(ahead, NOW - HOUR, unheard_ms=NEVER)
    assert told(ahead, NOW - HOUR + 60_000.0, NOW + 60_000.0) == NOW + 60_000.0 > first
    assert ahead.corrected_starts == 1


def test_what_is_remembered_is_bounded():
    starts = ScorerStartTimes()
    for n in range(MAX_SCORERS + 10):
        told(starts, NOW + HOUR, id=f"s-{n}")
    assert len(starts._known) == MAX_SCORERS
    assert told(starts, NOW + HOUR, NOW + 5.0, id=f"s-{MAX_SCORERS + 9}") == NOW


@pytest.fixture
def rig():
    made = Rig(ScorerPeer("s-1"))
    yield made
    made.close()


@pytest.mark.parametrize("apart_ms", [2 * HOUR, -2 * HOUR])
def test_a_scorer_that_restarts_by_another_clock_is_cold_now_and_its_copies_are_believed(rig, apart_ms):
    rig.log.say(rig.front.change_log.seq)
    rig.until(lambda: rig.front.change_log.up_to_date_ms is not None, "the log is followed")
    seq, worker = rig.front.change_log.seq + 1, rig.front.router.scorers[scorer_number("s-1")]
    cold_ms = rig.front.deployment.settings.slow_start_ms
    member = rig.scorers[0].member(up_since_ms=unix_ms() + apart_ms)
    rig.log.say({"seq": seq, "fleet": {"members": [member]}})
    rig.until(
        lambda: rig.front.change_log.seq == seq and not rig.front._pending_change, "the event is applied"
    )
    assert 0.0 <= rig.front.loop.clock.now_ms() - worker.started_ms < cold_ms
    rig.client().call(seqid=1)
    fns, copies = rig.front.router.functions, rig.front.router._copies
    rig.until(
        lambda: any(copies(fn, worker) for fn in fns.values()), "the router counts the copy that answered"
    )
    assert [line for line in rig.lines if "differs from this one" in line]
