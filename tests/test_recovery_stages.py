"""Recovery phases, budgets of the fleet, and what a partitioned front end may do."""

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
PRIORITY_WEIGHTS = {"view": 1.0, "save": 5.0, "settle": 5.0}
TIMING = PhaseTiming()
HEALTHY = FleetObservation(members=12, heard=9, asked=9)


def boots(boot_mark):
    return {name: boot_mark for name in VOTERS}


class Led:
    """A leader whose coordinator's proposals are all decided at once."""

    def __init__(self, register=None):
        self.core, self.now, self.told = RecoveryCoordinator(TIMING), 0.0, []
        self.register_text = (register or RecoveryRegister(1, 4, 2, 5, 1.0, 9, boots("old"))).encode()
        self.begin_term()

    def begin_term(self):
        self.core.begin_term(self.now, self.register_text, VOTERS)

    def step(self, observation=HEALTHY, boot_mark="new", elapsed_ms=100.0):
        self.now += elapsed_ms
        for effect in self.core.tick(self.now, observation, boots(boot_mark), holds_lease=True):
            assert isinstance(effect, ProposeRegister)
            self.register_text = effect.register
            self.core.decided(self.now, self.register_text)
            self.told.append(parse_register(self.register_text))
        return RecoveryPhase(self.core.register.stage)

    def until(self, phase, observation=HEALTHY, boot_mark="new"):
        for _ in range(2_000):
            if self.step(observation, boot_mark) is phase:
                return self
        raise AssertionError(f"never {phase}")


def test_a_recovery_enters_all_phases_in_order_and_then_stays_normal():
    leader = Led().until(RecoveryPhase.NORMAL)
    registers = leader.told
    assert [register.stage for register in registers] == list(RecoveryPhase)
    assert {register.cut for register in registers} == {3}
    for _ in range(50):
        leader.step()
    assert leader.told[-1].boots == boots("new")
    assert len(leader.told) == 6


@pytest.mark.parametrize("phase", list(RecoveryPhase)[:-1])
def test_another_power_loss_in_each_phase_restarts_the_recovery_under_another_leader(phase):
    leader = Led().until(phase)
    for _ in range(3):  # power is lost repeatedly before anything else is decided
        leader.begin_term()
        boot_mark = f"again {len(leader.told)}"
        assert leader.step(boot_mark=boot_mark) is RecoveryPhase.LISTENING
        assert leader.told[-1].boots == boots(boot_mark)
    assert leader.told[-1].cut == 6
    leader.until(RecoveryPhase.NORMAL, boot_mark=boot_mark)
    assert leader.told[-1].cut == 6


def test_another_leader_continues_the_phase():
    leader = Led().until(RecoveryPhase.ALL_CALLS)
    leader.begin_term()
    assert leader.step() is RecoveryPhase.ALL_CALLS
    assert leader.until(RecoveryPhase.NORMAL).told[-1].cut == 3


def test_boots_one_after_the_other_are_no_power_loss():
    leader, boot_marks = Led(), boots("old")
    for name in VOTERS:
        boot_marks = boot_marks | {name: "new"}
        for _ in range(400):
            leader.now += 100.0
            for effect in leader.core.tick(leader.now, HEALTHY, boot_marks, holds_lease=True):
                leader.core.decided(leader.now, effect.register)
    assert leader.core.register.cut == 2
    assert leader.core.register.boots == boots("new")


def test_boots_of_new_voters_are_noted_at_once_and_with_changed_boots_after_the_settle_time():
    leader = Led(RecoveryRegister(1, 4, 2, 5, 1.0, 9, {"a#1": "old"}))
    leader.step(boot_mark="old")
    assert leader.core.register.boots == boots("old")
    assert leader.told[-1].cut == 2
    coordinator, boot_marks = leader.core, boots("old") | {"b#1": "new", "d#1": "new"}
    coordinator.voters = (*VOTERS, "d#1")
    # The new boot of b may be the first of a power loss.
    assert coordinator.tick(leader.now, HEALTHY, boot_marks, holds_lease=True) == []
    settled_ms = leader.now + TIMING.settle_ms
    (proposal,) = coordinator.tick(settled_ms, HEALTHY, boot_marks, holds_lease=True)
    assert parse_register(proposal.register).boots == boot_marks


def test_nothing_is_proposed_without_a_lease_or_while_a_proposal_is_pending():
    coordinator = RecoveryCoordinator(TIMING)
    coordinator.begin_term(0.0, RecoveryRegister(1, 4, 2, 5, 1.0, 9, boots("old")).encode(), VOTERS)
    assert coordinator.tick(1.0, HEALTHY, boots("new"), holds_lease=False) == []
    (proposal,) = coordinator.tick(1.0, HEALTHY, boots("new"), holds_lease=True)
    assert coordinator.tick(2.0, HEALTHY, boots("new"), holds_lease=True) == []
    coordinator.proposal_failed()
    assert coordinator.tick(3.0, HEALTHY, boots("new"), holds_lease=True) == [proposal]


def test_listening_and_retries_do_not_wait_for_members_that_never_come_back():
    few_members = FleetObservation(members=12, heard=3, asked=3, sure=0.3)
    leader = Led()
    leader.until(RecoveryPhase.RETRIES, few_members)
    assert TIMING.listen_ms <= leader.now <= TIMING.listen_ms + 300
    retries_began_ms = leader.now
    leader.until(RecoveryPhase.PRIORITY_CALLS, few_members)
    assert TIMING.window_ms <= leader.now - retries_began_ms <= TIMING.window_ms + 300


@pytest.mark.parametrize(
    "phase",
    [RecoveryPhase.PRIORITY_CALLS, RecoveryPhase.ALL_CALLS, RecoveryPhase.COPY_REFRESH, RecoveryPhase.NORMAL],
)
@pytest.mark.parametrize("fell", [0, 1])
def test_an_overloaded_phase_steps_back_with_half_the_budget_and_is_held_for_longer(phase, fell):
    leader = Led().until(phase)
    overload = FleetObservation(12, 9, 9, first=0.5, served=0.5, slow=1.0 if fell else 3.0, fell=fell)
    overload_began_ms, budget_share = leader.now, leader.core.register.part
    leader.until(RecoveryPhase(phase - 1), overload)
    assert leader.core.register.part == budget_share / 2
    assert leader.now - overload_began_ms <= (100 if fell else TIMING.over_ms + 300)
    stepped_back_ms = leader.now
    leader.until(phase)
    assert leader.now - stepped_back_ms >= 2 * TIMING.hold_ms
    leader.until(RecoveryPhase.NORMAL)
    assert leader.core.register.part == 1.0


def test_a_phase_without_overload_ends_after_its_maximum_duration():
    leader = Led()
    leader.until(RecoveryPhase.ALL_CALLS, FleetObservation(12, 9, 9, first=0.5, served=0.5))
    assert leader.now <= TIMING.most_ms + 1_000


@pytest.mark.parametrize(
    "register_text", ["[]", "{", '{"recovery":2}', '{"stage":9}', '{"part":0}', '{"boots":{"":"x"}}']
)
def test_the_error_of_an_invalid_register_names_the_key(register_text):
    with pytest.raises(RegisterError, match=r"^\w+.*: "):
        parse_register(register_text)
    follower, coordinator = PhaseFollower(TIMING, 0.0), RecoveryCoordinator(TIMING)
    assert follower.receive(register_text, 1.0)[0].event == "recovery not read"
    assert coordinator.begin_term(0.0, register_text, VOTERS)[0].event == "recovery not read"
    assert follower.register is None
    assert not coordinator.leads


def test_each_phase_allows_at_least_what_the_previous_one_allows():
    allowed = [allowed_in_phase(phase, PRIORITY_WEIGHTS) for phase in RecoveryPhase]
    for earlier, later in zip(allowed, allowed[1:], strict=False):
        assert earlier.classes <= later.classes
        for key in ("status", "repeats", "loads", "own_loads", "renewal", "spill"):
            assert getattr(earlier, key) <= getattr(later, key)
    assert allowed[RecoveryPhase.LISTENING] == allowed_in_phase(RecoveryPhase.LISTENING, PRIORITY_WEIGHTS)
    assert not allowed[RecoveryPhase.LISTENING].status
    assert not allowed[RecoveryPhase.LISTENING].repeats
    assert allowed[RecoveryPhase.PRIORITY_CALLS].classes == {"save", "settle"}
    assert allowed[RecoveryPhase.ALL_CALLS].classes == set(PRIORITY_WEIGHTS)
    assert allowed[RecoveryPhase.NORMAL].spill
    assert budget.priority_classes({"one": 1.0}) == {"one"}


def test_a_front_end_follows_recent_confirmations_and_is_partitioned_without_them():
    follower = PhaseFollower(TIMING, 0.0)
    assert follower.phase(10.0) is RecoveryPhase.LISTENING
    assert follower.phase(TIMING.alone_ms) is None
    all_calls = RecoveryRegister(number=5, cut=1, stage=int(RecoveryPhase.ALL_CALLS), part=0.5)
    follower.receive(all_calls.encode(), 6_000.0)
    assert follower.allowed(6_100.0, PRIORITY_WEIGHTS).part == 0.5
    assert not follower.partitioned
    # After the confirmation has expired, the fleet may have stepped back.
    assert follower.allowed(6_000.0 + TIMING.valid_ms, PRIORITY_WEIGHTS).part == 0.25
    assert follower.allowed(6_000.0 + TIMING.alone_ms, PRIORITY_WEIGHTS) is None
    # An earlier register that arrives late is ignored.
    follower.receive(RecoveryRegister(number=4, cut=1, stage=5).encode(), 20_000.0)
    assert follower.phase(20_000.0) is None
    # A partitioned front end stays partitioned until a phase allows more.
    follower.receive(RecoveryRegister(number=6, cut=1, stage=1).encode(), 20_000.0)
    assert follower.phase(20_000.0) is None
    follower.receive(RecoveryRegister(number=7, cut=1, stage=2).encode(), 20_000.0)
    assert follower.phase(20_000.0) is RecoveryPhase.PRIORITY_CALLS
    # Without a leader the normal phase holds.
    follower.receive(RecoveryRegister(number=9, cut=1, stage=5).encode(), 20_000.0)
    assert follower.phase(1e9) is RecoveryPhase.NORMAL
    # This front end kept serving through the next power loss.
    follower.receive(RecoveryRegister(number=10, cut=2, stage=0).encode(), 30_000.0)
    expected = allowed_in_phase(RecoveryPhase.ALL_CALLS, PRIORITY_WEIGHTS)
    assert follower.allowed(30_000.0, PRIORITY_WEIGHTS) == expected
    expected = allowed_in_phase(RecoveryPhase.LISTENING, PRIORITY_WEIGHTS, 0.0625)
    assert PhaseFollower(TIMING, 30_000.0).allowed(30_000.0, PRIORITY_WEIGHTS) == expected


def test_what_a_partitioned_front_end_may_do():
    window_ms = 10_000.0
    for effect, knowledge, expected in (
        (io.Effect.IDEMPOTENT, CallKnowledge(), CallDecision.SERVE),
        (io.Effect.AT_MOST_ONCE, CallKnowledge(since_start_ms=1e9), CallDecision.LATER),
        (io.Effect.AT_MOST_ONCE, CallKnowledge(granted=True), CallDecision.SERVE),
        (io.Effect.AT_MOST_ONCE, CallKnowledge(known=True, granted=True), CallDecision.ANSWER),
        (io.Effect.DEDUPLICATED, CallKnowledge(since_start_ms=window_ms - 1), CallDecision.LATER),
        (io.Effect.DEDUPLICATED, CallKnowledge(since_start_ms=window_ms), CallDecision.SERVE),
        (io.Effect.DEDUPLICATED, CallKnowledge(granted=True), CallDecision.SERVE),
    ):
        assert partitioned.decide_call(effect, knowledge, window_ms) is expected
    budget_share = partitioned.budget_share(3, 12)
    allowed = partitioned.allowed_when_partitioned(
        PRIORITY_WEIGHTS, budget_share, has_roster=True, queries_finished=True
    )
    assert allowed.part == 0.25
    assert allowed.status
    assert allowed.loads
    assert not (allowed.spill or allowed.renewal or allowed.own_loads)
    assert not partitioned.allowed_when_partitioned(
        PRIORITY_WEIGHTS, budget_share, has_roster=False, queries_finished=True
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
MEMBERS = [f"n{i}" for i in range(200)]


def test_there_is_one_load_coordinator_per_fetch_and_one_for_each_function():
    chosen = budget.choose_load_coordinators(MEMBERS, LIMITS.fetches, 1)
    assert len(chosen) == 7
    assert chosen == budget.choose_load_coordinators(MEMBERS[::-1], 7, 1)
    assert chosen != budget.choose_load_coordinators(MEMBERS, 7, 2)
    owners = {f"f{i}": budget.load_coordinator_of(f"f{i}", chosen) for i in range(700)}
    counts = [list(owners.values()).count(name) for name in chosen]
    assert sum(counts) == 700
    assert min(counts) > 50
    remaining = tuple(name for name in chosen if name != chosen[0])
    moved = [
        function for function in owners if budget.load_coordinator_of(function, remaining) != owners[function]
    ]
    assert all(owners[function] == chosen[0] for function in moved)
    offsets_ms = sorted(budget.start_offset_ms(name, 1, 1_000.0) for name in MEMBERS)
    assert offsets_ms[0] < 50
    assert offsets_ms[-1] > 950
    assert max(later - earlier for earlier, later in zip(offsets_ms, offsets_ms[1:], strict=False)) < 60


def test_a_load_coordinator_orders_by_value_one_at_a_time_and_retries_failed_loads_last():
    coordinator = budget.LoadCoordinator(begins_ms=100.0)
    for name, value in (("low", 1.0), ("high", 9.0), ("mid", 4.0)):
        coordinator.request(name, value)
    assert coordinator.next_orders(50.0) == []
    assert coordinator.next_orders(100.0) == ["high"]
    assert list(coordinator.in_progress) == ["high"]
    assert coordinator.next_orders(101.0) == []
    assert coordinator.eta_ms("low") > coordinator.eta_ms("mid") > 0
    coordinator.finish_order("high", False, 0.0)
    ordered = []
    while order := coordinator.next_orders(400.0 + len(ordered)):
        ordered += order
        coordinator.finish_order(order[0], True, 300.0)
    assert ordered == ["mid", "low", "high"]
    assert coordinator.eta_ms("low") == 0.0
    coordinator.request("low", 1.0)
    assert coordinator.next_orders(900.0) == []
    coordinator.remove("low")
    coordinator.request("low", 1.0)
    assert coordinator.next_orders(1_300.0, least=2.0) == []
    assert coordinator.next_orders(1_300.0) == ["low"]


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.floats(0.0, 120.0), min_size=20, max_size=200), st.floats(0.0, 9_000.0))
def test_permits_never_exceed_a_cold_scorers_capacity_whenever_they_are_used(pauses_ms, age_ms):
    coordinator, now_ms, used_ms = budget.SlowStartCoordinator(LIMITS), 0.0, []
    for number, pause_ms in enumerate(pauses_ms):
        now_ms += pause_ms
        wait_ms = coordinator.acquire(now_ms, "s", age_ms)
        if wait_ms == 0.0:
            used_ms.append(now_ms + budget.PERMIT_MS * (number % 2))
        assert wait_ms >= 0.0
    window_ms = SITE.slow_start_window_ms
    capacity = SITE.slow_start_multiple * LIMITS.warmth(age_ms) * LIMITS.scorer_rps * window_ms / 1000.0
    for at_ms in used_ms:
        assert sum(at_ms - window_ms < other <= at_ms for other in used_ms) <= capacity
    # A previous coordinator may have issued permits.
    assert not used_ms or used_ms[0] >= window_ms + budget.PERMIT_MS
    coordinator.has_no_predecessor("t")
    assert coordinator.acquire(now_ms, "t", age_ms) == 0.0


def test_rejected_clients_retry_spread_over_time_and_never_before_their_slot():
    limiter = budget.AdmissionRateLimiter(LIMITS)
    limiter.set_rate(0.0, 20.0)
    admitted = [limiter.try_admit(0.0) for _ in range(100)]
    assert not any(admitted)  # the bucket starts empty
    waits_ms = sorted(limiter.retry_after_ms(0.0, f"c{i}") for i in range(60))
    assert all(wait_ms >= 50.0 * (i + 1) for i, wait_ms in enumerate(waits_ms))
    assert waits_ms[-1] < 50.0 * 62
    per_second = [
        sum(at_ms <= wait_ms < at_ms + 1_000 for wait_ms in waits_ms) for at_ms in range(0, 3_000, 100)
    ]
    assert max(per_second) <= 22
    capped_ms = [limiter.retry_after_ms(0.0, f"d{i}") for i in range(200)]
    later_half_ms = [wait_ms for wait_ms in capped_ms if wait_ms > 2_000]
    assert max(capped_ms) <= 4_000.0
    assert len(later_half_ms) > 180
    assert max(later_half_ms) - min(later_half_ms) > 1_500
    assert min(limiter.retry_after_ms(9_000.0, f"e{i}", 900.0) for i in range(5)) >= 900.0


def test_a_reserved_share_of_the_burst_is_kept_for_calls_of_higher_priority():
    limiter = budget.AdmissionRateLimiter(LIMITS)
    limiter.set_rate(0.0, 20.0)
    limiter.try_admit(2_000.0)
    assert limiter.tokens > 8
    assert [limiter.try_admit(2_000.0, 0.5) for _ in range(6)] == [True] * 4 + [False] * 2
