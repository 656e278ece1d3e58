"""Start times of scorers that were reported by a clock that differs from the front end's."""

import pytest
from peers import Rig, ScorerPeer

from fawnwharf.config import Fleet, Member
from fawnwharf.net.front_end import scorer_number
from fawnwharf.net.scorer_start_times import MAX_DELAY_MS, MAX_SCORERS, ScorerStartTimes
from fawnwharf.net.timer_wheel import unix_ms

NOW, HOUR, NEVER = 1_000_000_000.0, 3_600_000.0, float("inf")


def corrected_start(
    starts, start_ms, now_ms=NOW, unheard_ms=500.0, id="s-1", complete=False, phase="in_service"
):
    """Report a start time, and return the corrected one."""
    members = [Member(id, phase, up_since_ms=start_ms)]
    [member] = starts.correct(Fleet(members, complete, 3), now_ms, unheard_ms).members
    return member.up_since_ms


@pytest.mark.parametrize(
    ("start_ms", "unheard_ms", "complete", "expected_ms", "corrected"),
    [
        (0.0, 500.0, False, 0.0, 0),  # not known to have started lately
        (NOW - 300.0, 500.0, False, NOW - 300.0, 0),
        # Within the maximum delay of the log.
        (NOW - MAX_DELAY_MS - 400.0, 500.0, False, NOW - MAX_DELAY_MS - 400.0, 0),
        (NOW - MAX_DELAY_MS - 600.0, 500.0, False, NOW, 1),  # the local clock is ahead
        (NOW - HOUR, 500.0, False, NOW, 1),
        (NOW - HOUR, HOUR, False, NOW - HOUR, 0),  # the log was not received for so long
        (NOW - HOUR, NEVER, False, NOW - HOUR, 0),  # the log was not followed yet
        (NOW - HOUR, 500.0, True, NOW - HOUR, 0),  # a complete list also has old starts
        (NOW + 200.0, 500.0, False, NOW, 0),  # the local clock is behind by less than CLOCK_DIFFERENCE_MS
        (NOW + HOUR, 500.0, False, NOW, 1),
        (NOW + HOUR, NEVER, True, NOW, 1),
    ],
)
def test_a_start_time_is_corrected_if_only_another_clock_can_have_reported_it(
    start_ms, unheard_ms, complete, expected_ms, corrected
):
    starts = ScorerStartTimes()
    assert corrected_start(starts, start_ms, unheard_ms=unheard_ms, complete=complete) == expected_ms
    assert starts.corrected_starts == corrected


def test_a_repeated_start_keeps_its_correction_and_a_later_start_is_later():
    starts = ScorerStartTimes()
    first = corrected_start(starts, NOW + HOUR)
    assert corrected_start(starts, NOW + HOUR, NOW + 60_000.0) == first
    assert corrected_start(starts, NOW + HOUR, NOW + 61_000.0, phase="terminated") == first
    assert corrected_start(starts, NOW + HOUR, NOW + 62_000.0) == first  # listed again without a restart
    assert corrected_start(starts, NOW + HOUR, NOW + 63_000.0, complete=True) == first
    assert corrected_start(starts, NOW + HOUR + 64_000.0, NOW + 64_000.0) == NOW + 64_000.0 > first
    ahead = ScorerStartTimes()
    first = corrected_start(ahead, NOW - HOUR, unheard_ms=NEVER)
    assert corrected_start(ahead, NOW - HOUR + 60_000.0, NOW + 60_000.0) == NOW + 60_000.0 > first
    assert ahead.corrected_starts == 1


def test_the_number_of_remembered_start_times_is_bounded():
    starts = ScorerStartTimes()
    for n in range(MAX_SCORERS + 10):
        corrected_start(starts, NOW + HOUR, id=f"s-{n}")
    assert len(starts._known) == MAX_SCORERS
    assert corrected_start(starts, NOW + HOUR, NOW + 5.0, id=f"s-{MAX_SCORERS + 9}") == NOW


@pytest.fixture
def rig():
    made = Rig(ScorerPeer("s-1"))
    yield made
    made.close()


@pytest.mark.parametrize("difference_ms", [2 * HOUR, -2 * HOUR])
def test_a_restart_reported_by_another_clock_begins_slow_start_and_copies_are_counted(rig, difference_ms):
    rig.log.say(rig.front.change_log.seq)
    rig.until(lambda: rig.front.change_log.up_to_date_ms is not None, "the log is followed")
    seq, scorer = rig.front.change_log.seq + 1, rig.front.router.scorers[scorer_number("s-1")]
    slow_start_ms = rig.front.deployment.settings.slow_start_ms
    member = rig.scorers[0].member(up_since_ms=unix_ms() + difference_ms)
    rig.log.say({"seq": seq, "fleet": {"members": [member]}})
    rig.until(
        lambda: rig.front.change_log.seq == seq and not rig.front._pending_change, "the event is applied"
    )
    assert 0.0 <= rig.front.loop.clock.now_ms() - scorer.started_ms < slow_start_ms
    rig.client().call(seqid=1)
    functions, copies = rig.front.router.functions, rig.front.router._copies
    rig.until(
        lambda: any(copies(function, scorer) for function in functions.values()),
        "the router counts the copy that answered",
    )
    assert [line for line in rig.lines if "differs from this one" in line]
