"""The order of return: stages, budgets of the fleet, and what is safe alone."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fawnwharf import interface as io
from fawnwharf.recovery_core import budget, partitioned
from fawnwharf.recovery_core.coordinator import RecoveryCoordinator
from fawnwharf.recovery_core.partitioned import CallDecision, CallKnowledge
from fawnwharf.recovery_core.phases import (
    FleetObservation,
    PhaseFollower,
    PhaseTiming,
    ProposeRegister,
    RecoveryPhase,
    RecoveryRegister,
    RegisterError,
    allowed_in_phase,
    parse_register,
)

VOTERS = ("a#1", "b#1", "c#1")
WORTHS = {"view": 1.0, "save": 5.0, "settle": 5.0}
TIMING = PhaseTiming()
GOOD = FleetObservation(members=12, heard=9, asked=9)


def boots(mark):
    return {name: mark for name in VOTERS}


class Led:
    """A conductor whose every decision is taken."""

    def __init__(self, register=None):
        self.core, self.now, self.told = RecoveryCoordinator(TIMING), 0.0, []
        self.text = (register or RecoveryRegister(1, 4, 2, 5, 1.0, 9, boots("old"))).encode()
        self.lead()

    def lead(self):
        self.core.begin_term(self.now, self.text, VOTERS)

    def step(self, seen=GOOD, mark="new", ms=100.0):
        self.now += ms
        for effect in self.core.tick(self.now, seen, boots(mark), holds_lease=True):
            assert isinstance(effect, ProposeRegister)
            self.text = effect.register
            self.core.decided(self.now, self.text)
            self.told.append(parse_register(self.text))
        return RecoveryPhase(self.core.register.stage)

    def until(self, stage, seen=GOOD, mark="new"):
        for _ in range(2_000):
            if self.step(seen, mark) is stage:
                return self
        raise AssertionError(f"never {stage}")


def test_a_return_goes_through_all_stages_in_order_and_then_is_calm():
    led = Led().until(RecoveryPhase.NORMAL)
    assert [r.stage for r in led.told] == list(RecoveryPhase) and {r.cut for r in led.told} == {3}
    for _ in range(50):
        led.step()
    assert led.told[-1].boots == boots("new") and len(led.told) == 6


@pytest.mark.parametrize("stage", list(RecoveryPhase)[:-1])
def test_a_second_power_loss_at_each_stage_begins_anew_under_another_leader(stage):
    led = Led().until(stage)
    for _ in range(3):  # power goes again and again, before anything else was decided
        led.lead()
        mark = f"again {len(led.told)}"
        assert led.step(mark=mark) is RecoveryPhase.LISTENING and led.told[-1].boots == boots(mark)
    assert led.told[-1].cut == 6
    assert led.until(RecoveryPhase.NORMAL, mark=mark).told[-1].cut == 6


def test_another_leader_goes_on_with_the_stage():
    led = Led().until(RecoveryPhase.ALL_CALLS)
    led.lead()
    assert led.step() is RecoveryPhase.ALL_CALLS and led.until(RecoveryPhase.NORMAL).told[-1].cut == 3


def test_boots_of_one_after_the_other_are_no_power_loss():
    led, marks = Led(), boots("old")
    for name in VOTERS:
        marks = marks | {name: "new"}
        for _ in range(400):
            led.now += 100.0
            for effect in led.core.tick(led.now, GOOD, marks, holds_lease=True):
                led.core.decided(led.now, effect.register)
    assert led.core.register.cut == 2 and led.core.register.boots == boots("new")


def test_boots_of_new_voters_are_noted_at_once_and_others_beside_them_in_time():
    led = Led(RecoveryRegister(1, 4, 2, 5, 1.0, 9, {"a#1": "old"}))
    led.step(mark="old")
    assert led.core.register.boots == boots("old") and led.told[-1].cut == 2
    core, marks = led.core, boots("old") | {"b#1": "new"}
    core.voters = (*VOTERS, "d#1")
    assert (
        core.tick(led.now, GOOD, marks | {"d#1": "new"}, holds_lease=True) == []
    )  # b's may be the first of many
    (put,) = core.tick(led.now + TIMING.settle_ms, GOOD, marks | {"d#1": "new"}, holds_lease=True)
    assert parse_register(put.register).boots == marks | {"d#1": "new"}


def test_nothing_is_put_without_a_lease_or_while_something_is_put():
    core = RecoveryCoordinator(TIMING)
    core.begin_term(0.0, RecoveryRegister(1, 4, 2, 5, 1.0, 9, boots("old")).encode(), VOTERS)
    assert core.tick(1.0, GOOD, boots("new"), holds_lease=False) == []
    (put,) = core.tick(1.0, GOOD, boots("new"), holds_lease=True)
    assert core.tick(2.0, GOOD, boots("new"), holds_lease=True) == []
    core.proposal_failed()
    assert core.tick(3.0, GOOD, boots("new"), holds_lease=True) == [put]


def test_listening_and_repeats_do_not_wait_for_those_that_never_come():
    few = FleetObservation(members=12, heard=3, asked=3, sure=0.3)
    led = Led()
    led.until(RecoveryPhase.RETRIES, few)
    assert TIMING.listen_ms <= led.now <= TIMING.listen_ms + 300
    began = led.now
    led.until(RecoveryPhase.PRIORITY_CALLS, few)
    assert TIMING.window_ms <= led.now - began <= TIMING.window_ms + 300


@pytest.mark.parametrize(
    "stage",
    [RecoveryPhase.PRIORITY_CALLS, RecoveryPhase.ALL_CALLS, RecoveryPhase.COPY_REFRESH, RecoveryPhase.NORMAL],
)
@pytest.mark.parametrize("fell", [0, 1])
def test_a_stage_that_overruns_is_stepped_back_with_half_the_budget_and_held_for_longer(stage, fell):
    led = Led().until(stage)
    crowd = FleetObservation(12, 9, 9, first=0.5, served=0.5, slow=1.0 if fell else 3.0, fell=fell)
    began, part = led.now, led.core.register.part
    led.until(RecoveryPhase(stage - 1), crowd)
    assert led.core.register.part == part / 2
    assert led.now - began <= (100 if fell else TIMING.over_ms + 300)
    again = led.now
    led.until(stage)
    assert led.now - again >= 2 * TIMING.hold_ms
    led.until(RecoveryPhase.NORMAL)
    assert led.core.register.part == 1.0


def test_a_stage_that_stays_short_of_its_goal_without_a_crowd_is_left_in_the_end():
    led = Led()
    led.until(RecoveryPhase.ALL_CALLS, FleetObservation(12, 9, 9, first=0.5, served=0.5))
    assert led.now <= TIMING.most_ms + 1_000


@pytest.mark.parametrize(
    "text", ["[]", "{", '{"recovery":2}', '{"stage":9}', '{"part":0}', '{"boots":{"":"x"}}']
)
def test_a_register_that_is_none_is_told_by_its_key(text):
    with pytest.raises(RegisterError, match=r"^\w+.*: "):
        parse_register(text)
    follower, core = PhaseFollower(TIMING, 0.0), RecoveryCoordinator(TIMING)
    assert (
        follower.receive(text, 1.0)[0].event
        == core.begin_term(0.0, text, VOTERS)[0].event
        == "recovery not read"
    )
    assert follower.register is None and not core.leads


def test_what_stages_allow_only_grows():
    rows = [allowed_in_phase(stage, WORTHS) for stage in RecoveryPhase]
    for one, later in zip(rows, rows[1:], strict=False):
        assert one.classes <= later.classes
        for key in ("status", "repeats", "loads", "own_loads", "renewal", "spill"):
            assert getattr(one, key) <= getattr(later, key)
    assert (
        rows[0] == allowed_in_phase(RecoveryPhase.LISTENING, WORTHS)
        and not rows[0].status
        and not rows[0].repeats
    )
    assert rows[2].classes == {"save", "settle"} and rows[3].classes == set(WORTHS) and rows[5].spill
    assert budget.priority_classes({"one": 1.0}) == {"one"}


def test_a_front_end_goes_by_fresh_words_and_is_alone_without_any():
    core = PhaseFollower(TIMING, 0.0)
    assert core.phase(10.0) is RecoveryPhase.LISTENING and core.phase(TIMING.alone_ms) is None
    rest = RecoveryRegister(number=5, cut=1, stage=int(RecoveryPhase.ALL_CALLS), part=0.5)
    core.receive(rest.encode(), 6_000.0)
    assert core.allowed(6_100.0, WORTHS).part == 0.5 and not core.partitioned
    assert core.allowed(6_000.0 + TIMING.valid_ms, WORTHS).part == 0.25  # it may have been stepped back
    assert core.allowed(6_000.0 + TIMING.alone_ms, WORTHS) is None
    core.receive(
        RecoveryRegister(number=4, cut=1, stage=5).encode(), 20_000.0
    )  # late, and of an earlier decision
    assert core.phase(20_000.0) is None
    core.receive(RecoveryRegister(number=6, cut=1, stage=1).encode(), 20_000.0)
    assert core.phase(20_000.0) is None  # what is safe alone stays so, until a stage allows more
    core.receive(RecoveryRegister(number=7, cut=1, stage=2).encode(), 20_000.0)
    assert core.phase(20_000.0) is RecoveryPhase.PRIORITY_CALLS
    core.receive(RecoveryRegister(number=9, cut=1, stage=5).encode(), 20_000.0)
    assert core.phase(1e9) is RecoveryPhase.NORMAL  # calm without a leader is no power loss
    core.receive(RecoveryRegister(number=10, cut=2, stage=0).encode(), 30_000.0)  # it served through this one
    assert core.allowed(30_000.0, WORTHS) == allowed_in_phase(RecoveryPhase.ALL_CALLS, WORTHS)
    assert PhaseFollower(TIMING, 30_000.0).allowed(30_000.0, WORTHS) == allowed_in_phase(
        RecoveryPhase.LISTENING, WORTHS, 0.0625
    )


def test_what_is_safe_alone():
    window = 10_000.0
    for effect, standing, found in (
        (io.Effect.IDEMPOTENT, CallKnowledge(), CallDecision.SERVE),
        (io.Effect.AT_MOST_ONCE, CallKnowledge(since_start_ms=1e9), CallDecision.LATER),
        (io.Effect.AT_MOST_ONCE, CallKnowledge(granted=True), CallDecision.SERVE),
        (io.Effect.AT_MOST_ONCE, CallKnowledge(known=True, granted=True), CallDecision.ANSWER),
        (io.Effect.DEDUPLICATED, CallKnowledge(since_start_ms=window - 1), CallDecision.LATER),
        (io.Effect.DEDUPLICATED, CallKnowledge(since_start_ms=window), CallDecision.SERVE),
        (io.Effect.DEDUPLICATED, CallKnowledge(granted=True), CallDecision.SERVE),
    ):
        assert partitioned.decide_call(effect, standing, window) is found
    lone = partitioned.allowed_when_partitioned(
        WORTHS, partitioned.budget_share(3, 12), has_roster=True, queries_finished=True
    )
    assert (
        lone.part == 0.25
        and lone.status
        and lone.loads
        and not (lone.spill or lone.renewal or lone.own_loads)
    )
    assert not partitioned.allowed_when_partitioned(
        WORTHS, partitioned.budget_share(3, 12), has_roster=False, queries_finished=True
    ).status


# --- budgets --------------------------------------------------------------------------------

SITE = io.Settings(
    slow_start_ms=10_000.0,
    slow_start_initial_share=0.2,
    slow_start_window_ms=1_000.0,
    slow_start_multiple=2.0,
    max_retry_after_ms=4_000.0,
)
LIMITS = budget.fleet_limits(SITE, 7, 12.0)
NAMES = [f"n{i}" for i in range(200)]


def test_loaders_are_as_many_as_the_store_takes_and_each_function_has_one():
    chosen = budget.choose_load_coordinators(NAMES, LIMITS.fetches, 1)
    assert len(chosen) == 7 and chosen == budget.choose_load_coordinators(
        NAMES[::-1], 7, 1
    ) != budget.choose_load_coordinators(NAMES, 7, 2)
    owned = {f"f{i}": budget.load_coordinator_of(f"f{i}", chosen) for i in range(700)}
    counts = [list(owned.values()).count(name) for name in chosen]
    assert sum(counts) == 700 and min(counts) > 50
    left = tuple(name for name in chosen if name != chosen[0])
    moved = [f for f in owned if budget.load_coordinator_of(f, left) != owned[f]]
    assert all(owned[f] == chosen[0] for f in moved)
    starts = sorted(budget.start_offset_ms(name, 1, 1_000.0) for name in NAMES)
    assert (
        starts[0] < 50
        and starts[-1] > 950
        and max(b - a for a, b in zip(starts, starts[1:], strict=False)) < 60
    )


def test_a_loader_orders_the_most_wanted_first_one_at_a_time_and_tries_failed_ones_last():
    core = budget.LoadCoordinator(begins_ms=100.0)
    for name, worth in (("low", 1.0), ("high", 9.0), ("mid", 4.0)):
        core.request(name, worth)
    assert core.next_orders(50.0) == [] and core.next_orders(100.0) == ["high"] == list(core.in_progress)
    assert core.next_orders(101.0) == [] and core.eta_ms("low") > core.eta_ms("mid") > 0
    core.finish_order("high", False, 0.0)
    found = []
    while order := core.next_orders(400.0 + len(found)):
        found += order
        core.finish_order(order[0], True, 300.0)
    assert found == ["mid", "low", "high"] and core.eta_ms("low") == 0.0
    core.request("low", 1.0)
    assert core.next_orders(900.0) == []
    core.remove("low")
    core.request("low", 1.0)
    assert core.next_orders(1_300.0, least=2.0) == [] and core.next_orders(1_300.0) == ["low"]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.floats(0.0, 120.0), min_size=20, max_size=200), st.floats(0.0, 9_000.0))
def test_a_warden_gives_out_no_more_than_the_room_whenever_tickets_are_used(pauses, age):
    core, now, used = budget.SlowStartCoordinator(LIMITS), 0.0, []
    for n, pause in enumerate(pauses):
        now += pause
        wait = core.acquire(now, "s", age)
        if wait == 0.0:
            used.append(now + budget.PERMIT_MS * (n % 2))
        assert wait >= 0.0
    room = (
        SITE.slow_start_multiple * LIMITS.warmth(age) * LIMITS.scorer_rps * SITE.slow_start_window_ms / 1000.0
    )
    for at in used:
        assert sum(at - SITE.slow_start_window_ms < other <= at for other in used) <= room
    assert (
        not used or used[0] >= SITE.slow_start_window_ms + budget.PERMIT_MS
    )  # another may have been its warden
    core.has_no_predecessor("t")
    assert core.acquire(now, "t", age) == 0.0


def test_refused_clients_come_back_spread_and_never_before_their_turn():
    doors = budget.AdmissionRateLimiter(LIMITS)
    doors.set_rate(0.0, 20.0)
    inside = [doors.try_admit(0.0) for _ in range(100)]
    assert not any(inside)  # nothing is saved up before it has begun
    back = sorted(doors.retry_after_ms(0.0, f"c{i}") for i in range(60))
    assert all(b >= 50.0 * (i + 1) for i, b in enumerate(back)) and back[-1] < 50.0 * 62
    assert max(sum(at <= b < at + 1_000 for b in back) for at in range(0, 3_000, 100)) <= 22
    far = [doors.retry_after_ms(0.0, f"d{i}") for i in range(200)]
    late = [b for b in far if b > 2_000]
    assert max(far) <= 4_000.0 and len(late) > 180 and max(late) - min(late) > 1_500
    assert min(doors.retry_after_ms(9_000.0, f"e{i}", 900.0) for i in range(5)) >= 900.0
    few = budget.AdmissionRateLimiter(LIMITS)
    few.set_rate(0.0, 20.0)
    few.try_admit(2_000.0)
    assert few.tokens > 8 and [few.try_admit(2_000.0, 0.5) for _ in range(6)] == [True] * 4 + [False] * 2
