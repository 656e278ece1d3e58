"""Permits assigned by the register: used at once if nobody issued any before, and never held by two."""

import random

import pytest
from support.load_permits import LIMITS, WEIGHTS
from support.register_permits import ANNOUNCEMENT_MS, AssignedPermitFleet, PermitIssuingAgents
from test_recovery_stages import Led

from fawnwharf.recovery_core.budget import slow_start_coordinator_of
from fawnwharf.recovery_core.phases import (
    AllowedActions,
    FleetObservation,
    PhaseFollower,
    PhaseTiming,
    RecoveryPhase,
    allowed_in_phase,
)
from fawnwharf.recovery_core.register import (
    MAX_PERMIT_ISSUERS,
    PermitAssignment,
    RecoveryRegister,
    parse_register,
)
from fawnwharf.recovery_service import messages as w
from fawnwharf.recovery_service import permit_messages as m
from fawnwharf.recovery_service.coordinated_slow_start import CoordinatedSlowStart
from fawnwharf.recovery_service.delegated_loads import DELEGATION_MS
from fawnwharf.recovery_service.permit_issuing import EXPIRY_SCAN_MS, TICK_MS
from fawnwharf.recovery_service.permit_view import AssignmentNumber, PermitView
from fawnwharf.recovery_service.recovery_leader import LeaderTiming, MemberLists, RecoveryLeader

ROWS = [f"f{i}" for i in range(400)]
STEP_MS = 20.0


@pytest.mark.parametrize("seed", range(3))
def test_six_that_return_within_4_s_order_within_one_tick_of_priority_calls(seed):
    fleet, chance = PermitIssuingAgents("abcabc", seed).until_normal(), random.Random(seed)
    fleet.end(*fleet.names)
    fleet.run(0.1)
    fleet.orders.clear()
    fleet.entered.clear()
    delays = sorted((chance.uniform(0.0, 4.0), name) for name in fleet.names)
    began = fleet.now
    for delay, name in delays:
        fleet.run(max(0.0, delay - (fleet.now - began) / 1_000.0))
        fleet.begin("boot 2", name)
    fleet.until(lambda: fleet.orders)
    assert fleet.orders[0][0] - min(fleet.entered.values()) <= TICK_MS + STEP_MS
    fleet.until_phase(RecoveryPhase.ALL_CALLS, cut=1)
    assignment = fleet.agents["n0"].follower.register
    assert assignment.deals == 1 and set(assignment.givers) <= set(fleet.agents["n0"].lists.replicas)


def run_fleet(seed, lost=0.0, announcement_ms=ANNOUNCEMENT_MS):
    """Stop and restart front ends while all request copies and permits.

    Returns the most concurrent loads, by how much permits exceeded a scorer's capacity, and the fleet.
    """
    fleet, chance = AssignedPermitFleet(seed, lost, announcement_ms), random.Random(f"dealt {seed}")
    for step in range(1, 100):
        fleet.run(200.0 * step)
        if 8 < step < 80 and step % 8 == 0:
            down = [name for name in fleet.names if name not in fleet.up]
            if down and chance.random() < 0.5:
                fleet.start(chance.choice(down))
            elif len(fleet.up) > 2:
                fleet.kill(chance.choice(sorted(fleet.up & set(fleet.replicas)) or sorted(fleet.up)))
        for name in sorted(filter(fleet.may_issue, fleet.up)):
            fleet.request_permits(name, 4)
            for i, function in enumerate(ROWS):
                fleet.fronts[name].request_copy(fleet.now, m.LoadRequest(function, "view", 400.0 - i))
    sent = [at for at in fleet.sent if at < LIMITS.cold_ms]
    within = {at: sum(at - LIMITS.fall_ms < other <= at for other in sent) for at in sent}
    return fleet.most, max(count - LIMITS.max_calls(at) for at, count in within.items()), fleet


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("lost", [0.0, 0.15])
def test_budgets_hold_while_some_still_follow_the_earlier_register(seed, lost):
    most, beyond, fleet = run_fleet(seed, lost)
    assert most <= LIMITS.fetches and beyond <= 0
    assert fleet.assignment.deals > 1 and len(fleet.orders) > 50 and len(fleet.sent) > 50


def test_the_check_detects_a_later_assignment_that_does_not_wait():
    assert (
        max(run_fleet(seed, announcement_ms=-EXPIRY_SCAN_MS - DELEGATION_MS - 500.0)[0] for seed in range(8))
        > LIMITS.fetches
    )


@pytest.mark.parametrize(("lag_ms", "kept"), [(ANNOUNCEMENT_MS, True), (0.0, False)])
def test_a_new_slow_start_coordinator_waits_for_as_long_as_one_may_follow_the_earlier_register(lag_ms, kept):
    old, new = (CoordinatedSlowStart(name, 1, LIMITS, 0.0) for name in ("n0", "n1"))
    id = next(
        i for i in range(50) if slow_start_coordinator_of(str(i), ("n0", "n1")) == "n1"
    )  # coordinated by n1 in the second assignment
    for front in (old, new):
        front.update(0.0, PermitView(("n0",), 1.0, 1, AssignmentNumber(1, 1), 0.0, True))
        front.scorer_seen(1_000.0, id, 1_000.0)
    new.update(2_000.0, PermitView(("n0", "n1"), 1.0, 1, AssignmentNumber(1, 2), lag_ms))
    sent = []
    for now in range(2_000, 6_000, 5):
        if now < 2_000.0 + ANNOUNCEMENT_MS and old.request(now, id, f"old {now}") == 0.0:
            sent.append(now)
        if new.request(now, id, f"new {now}") == 0.0:
            sent.append(now)
    assert len(sent) > 3 * LIMITS.max_calls(2_000.0) and max(sent) > 5_000
    within = {at: sum(at - LIMITS.fall_ms < other <= at for other in sent) for at in sent}
    beyond = max(count - LIMITS.max_calls(at) for at, count in within.items())
    assert (beyond <= 0) is kept


def test_a_later_assignment_waits_for_the_message_of_the_one_before_and_a_missed_one_for_all():
    fleet = AssignedPermitFleet()
    fleet.run(1_200.0)
    permits, rest = fleet.fronts["n0"].permits, allowed_in_phase(RecoveryPhase.ALL_CALLS, WEIGHTS)
    fleet.fronts["n0"].update(
        1_200.0, {"n0"}, ["n0"], rest, 1, PermitAssignment(fleet.assignment.givers, 1, 1)
    )
    assert permits.own_count == permits.ready(1_200.0) == 1
    fleet.fronts["n0"].update(2_000.0, {"n0"}, ["n0"], rest, 1, PermitAssignment(("n0", "n1"), 1, 2))
    due = 2_000.0 + ANNOUNCEMENT_MS + EXPIRY_SCAN_MS + fleet.typical_load_ms + DELEGATION_MS
    assert (permits.own_count, permits.ready(due - 1), permits.ready(due)) == (2, 1, 2)
    fleet.fronts["n0"].update(due, {"n0"}, ["n0"], rest, 1, PermitAssignment(("n0", "n1"), 1, 4))
    assert permits.ready(due) == 0  # another may have held them in the third assignment


def test_a_front_end_that_started_during_priority_calls_waits_in_the_first_assignment_too():
    fleet = AssignedPermitFleet()
    fleet.run(1_200.0)
    name = "n0"
    fleet.kill(name)
    fleet.start(name)
    assignment = fleet.assignment
    assert assignment.deals == 1
    fleet.fronts[name].update(1_210.0, {name}, [name], AllowedActions(loads=True), 1, assignment)
    assert fleet.fronts[name].permits.ready(1_210.0) == 0


def seen(*givers, gave=False):
    return FleetObservation(members=9, heard=9, asked=9, givers=givers, gave=gave, first=0.0, served=0.0)


def test_the_coordinator_assigns_with_priority_calls_and_again_only_once_an_issuer_is_gone_for_a_time():
    led = Led().until(RecoveryPhase.PRIORITY_CALLS, seen("a", "b"))
    assert [(r.stage, r.givers, r.deals) for r in led.told] == [
        (0, ("a", "b"), 0), (1, ("a", "b"), 0), (2, ("a", "b"), 1),
    ]  # fmt: skip
    for _ in range(15):
        led.step(seen("a", "b", "c"))  # a new member changes nothing
    for _ in range(5):
        led.step(seen("a", "c"))
        led.step(seen("a", "b", "c"))  # it was silent for a moment
    assert len(led.told) == 3
    for _ in range(15):
        led.step(seen("a", "c"))
    last = led.told[-1]
    assert (last.givers, last.deals, last.why) == (("a", "c"), 2, "keepers came or went")
    assert len(led.told) == 4
    for _ in range(15):
        led.step(seen("a", "c", "d", "e", "f"))  # more than twice as many as before
    assert led.told[-1].deals == 3 and len(led.told[-1].givers) == 5
    led.until(RecoveryPhase.NORMAL, seen("a", "c", "d", "e", "f"))
    assert led.told[-1].givers == () and led.told[-1].deals == 3


def test_a_phase_that_is_entered_while_an_issuer_is_not_heard_for_a_moment_changes_no_assignment():
    led = Led().until(RecoveryPhase.PRIORITY_CALLS, seen("a", "b"))
    while led.now < led.core.since_ms + PhaseTiming().most_ms - 300.0:
        led.step(seen("a", "b"))
    led.until(RecoveryPhase.ALL_CALLS, seen("a"))
    assert (led.told[-1].givers, led.told[-1].deals) == (("a", "b"), 1)
    led.step(seen("a", "b"))
    assert led.core.issuers_differ_since_ms is None


def test_the_first_assignment_waits_where_a_partitioned_member_issued_permits():
    led = Led().until(RecoveryPhase.PRIORITY_CALLS, seen("a", gave=True))
    assert led.told[-1].deals == 2
    lead = RecoveryLeader(
        PhaseTiming(),
        MemberLists(tuple("abcd"), tuple("abc"), tuple("bcd")),
        LeaderTiming(1_000.0, 1_000.0, 100.0),
    )
    for name in "abd":
        lead.receive_status(0.0, name, w.StatusReport(1, True, True, issued_while_partitioned=name == "a"))
    assert lead.observe(10.0).givers == ("b", "d") and lead.observe(10.0).gave


def test_a_register_without_issuers_assigns_nothing_and_many_replicas_are_bounded():
    old = '{"recovery":1,"number":4,"cut":1,"stage":2,"part":1.0,"fronts":3,"boots":{},"why":""}'
    follower = PhaseFollower(PhaseTiming(), 0.0)
    follower.receive(old, 0.0)
    assert follower.phase(1.0) is RecoveryPhase.PRIORITY_CALLS and follower.permit_assignment(1.0) is None
    follower.receive(RecoveryRegister(number=5, cut=1, stage=2, givers=("a",), deals=1).encode(), 0.0)
    assert (
        follower.permit_assignment(1.0) == PermitAssignment(("a",), 1, 1)
        and follower.permit_assignment(6_000.0) is None
    )  # partitioned
    names = tuple(f"n{i}" for i in range(500))
    lead = RecoveryLeader(
        PhaseTiming(), MemberLists(names, names[:3], names), LeaderTiming(1_000.0, 1_000.0, 100.0)
    )
    for name in names:
        lead.receive_status(0.0, name, w.StatusReport(1, True, True))
    givers = lead.observe(1.0).givers
    assert len(givers) == MAX_PERMIT_ISSUERS and givers == tuple(sorted(givers))
    assert parse_register(RecoveryRegister(givers=givers).encode()).givers == givers
