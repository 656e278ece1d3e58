"""Sessions beside the other parts: budgets of a policy, and what a process leaves for the next one."""

from types import SimpleNamespace

import pytest
from peers import ROW
from support.prefetch_driver import Calls, S, drained_site, look, rules, staging, wanted
from support.session_agents import Fleet
from support.session_front_ends import Fronts

from fawnwharf.migration.router import Router
from fawnwharf.migration.settings import Settings
from fawnwharf.policy_rollout.document import (
    document_from_object,
    fallback_limits,
    find_incompatibility,
    make_document,
    stricter,
    with_defaults,
)
from fawnwharf.policy_rollout.service import PolicyRolloutService
from fawnwharf.session_types import Placement, Session
from fawnwharf.sessions import left
from fawnwharf.sessions.foreseen import Foreseen
from fawnwharf.sessions.staging_messages import Seen

SESSION = Session("acme", ROW)


# --- a policy's budgets -------------------------------------------------------------------------


def staged(budgets, later=None, **changes):
    """What is ordered for a drain of eight sessions, by budgets from the start, and later ones."""
    one, calls = staging(loads_per_arrival=2.0, **changes), Calls()
    one.go_by(budgets)
    drained_site(one, calls, [f"f{n}" for n in range(8)])
    found = wanted(look(one, 6_000.0))
    if later is not None:
        one.go_by(later)
    return len(found), len([w for second in range(7, 14) for w in wanted(look(one, 1_000.0 * second))]), one


def test_what_is_ordered_from_now_on_keeps_to_the_budgets_of_the_policy_in_force():
    assert staged({})[:2] == staged({"cold_part": 0.5, "free_part": 0.5})[:2]
    usual = sum(staged({})[:2])
    assert usual == 8
    assert sum(staged({"fetches_rps": 0.0})[:2]) == 0
    at_first, more, one = staged({"fetches_rps": 0.0}, later={})
    assert at_first == 0 and more > 0  # as the settings have it again
    assert one.core.bounds == S and one.core.planner.settings == S
    nothing_left = staged({"free_part": 0.0})
    assert sum(nothing_left[:2]) == 0 and nothing_left[2].core.planner.skipped["no ration left"] > 0
    tight = staged({"memory_mb": 3 * 3 * 40.0})  # of three front ends that share it, of copies of 40 MB
    assert tight[2].core.planner.skipped["no memory to spare"] > 0
    by_site = [sum(at == site for _, at in tight[2].core.planner.held) for site in "sw"]
    assert max(by_site) <= 3 and sum(by_site) > 0


def test_a_part_of_a_cold_scorers_budget_is_the_most_that_stages_take():
    one = staging()
    usual = one.scorers.settings.slow_start_multiple
    for budgets, part in (({"cold_part": 0.25}, 0.25), ({}, 1.0), ({"cold_part": 0.0}, 0.0)):
        one.go_by(budgets)
        assert one.scorers.settings.slow_start_multiple == pytest.approx(part * usual)


def test_foresight_looks_by_the_policy_that_is_in_force_at_that_look():
    seen = []
    foreseen = object.__new__(Foreseen)
    foreseen._stopped, foreseen._seen, foreseen._seen_ms = False, Seen(), float("inf")
    foreseen._carry_out = lambda now, beat: None
    foreseen.policies = SimpleNamespace(staging={"fetches_rps": 2.0})
    foreseen.front = SimpleNamespace(loop=SimpleNamespace(timers=SimpleNamespace(after=lambda *of: None)))
    beat = SimpleNamespace(again_ms=4.0)
    foreseen.staging = SimpleNamespace(go_by=seen.append, beat=lambda now, what: seen.append(None) or beat)
    foreseen._beat()
    foreseen.policies.staging = {"fetches_rps": 1.0}
    foreseen._beat()
    assert seen == [{"fetches_rps": 2.0}, None, {"fetches_rps": 1.0}, None]


def test_operators_are_told_why_something_was_not_staged():
    foreseen = object.__new__(Foreseen)
    _, _, foreseen.staging = staged({"fetches_rps": 0.0})
    foreseen.ordered = foreseen.bad = 0
    told = foreseen.counts()
    assert told["not staged: no fetch left"] == foreseen.staging.core.planner.skipped["no fetch left"] > 0
    assert told["stages used"] == told["stages in vain"] == 0


# --- what a process leaves ----------------------------------------------------------------------


def router():
    return Router("a1", "a", Settings(still_ms=20_000.0), lambda key: ("a0",), 0.0)


def test_homes_that_were_moved_outlive_their_process_while_the_session_is_in_use():
    one, heir = router(), router()
    for n, used_ms in ((1, 1_000.0), (2, 9_000.0), (3, 30_000.0)):
        one.meet(used_ms, Placement(Session("acme", f"f{n}"), "b", n))
    one.meet(30_000.0, Placement(Session("acme", "f4"), "gone", 4))
    one.begin(30_000.0, "r", Session("acme", "f5"), 31_000.0)  # never moved: begins anew anywhere
    data = left.left(one, 30_000.0, 1e12)
    heir.meet(0.0, Placement(Session("acme", "f3"), "c", 7))
    assert left.take(heir, data, {"a", "b", "c"}, 500.0, 1e12 - 1_000.0 + 1_500.0) == 1
    assert [(s.row, seen.home.site, seen.home.number) for s, seen in heir.homes.items()] == [("f3", "c", 7)]
    fresh = router()
    assert (
        left.take(fresh, data, {"a", "b"}, 500.0, 1e12) == 1 and fresh.home(Session("acme", "f3")).number == 3
    )
    for bad in (b"", b"{", b'{"version": 2, "homes": []}', b'{"version": 1, "homes": [[1]]}'):
        assert left.take(router(), bad, {"a"}, 0.0, 0.0) == 0


class InMemory:
    """A store, some writes of which are refused."""

    def __init__(self, entries=(), refuses=0):
        self.entries, self.refuses, self.writes = dict(entries), refuses, []

    def homes(self):
        return list(self.entries.items())

    def keep_home(self, key, value):
        self.refuses -= 1
        if self.refuses >= 0:
            return False
        self.writes.append(key)
        self.entries.pop(key, None)
        if value is not None:
            self.entries[key] = value
        return True


def test_homes_are_in_the_store_while_they_are_known_and_are_met_after_a_loss_of_power(tmp_path):
    store, one = InMemory(refuses=1), router()
    kept = left.Left(tmp_path / "homes", store)
    one.meet(1_000.0, Placement(Session("acme", "f1"), "b", 1))
    one.begin(1_000.0, "r", Session("acme", "f5"), 2_000.0)  # never moved
    kept.look(one, 1_000.0, 1e12)
    assert store.writes == []  # it was refused, and is tried again
    kept.look(one, 1_100.0, 1e12 + 100.0)
    assert store.writes == []  # not at each look
    for now in (1_600.0, 2_200.0):
        kept.look(one, now, 1e12 + now - 1_000.0)
    assert store.writes == ["f1/acme"]  # once, as nothing changes
    one.meet(3_000.0, Placement(Session("acme", "f1"), "c", 2))
    kept.look(one, 3_000.0, 1e12 + 2_000.0)
    store.entries["bad"] = [1]
    heir = router()
    left.Left(tmp_path / "homes", store).take(heir, {"b", "c"}, 50.0, 1e12 + 9_000.0)
    assert (
        heir.home(Session("acme", "f1")) == Placement(Session("acme", "f1"), "c", 2) and len(heir.homes) == 1
    )
    for unix_ms in (1e12 + 2_000.0 + 20_000.0, 1e12):  # over by now; by a clock that was set back
        other = router()
        left.Left(tmp_path / "homes", store).take(other, {"b", "c"}, 50.0, unix_ms)
        assert not other.homes
    one.homes.clear()
    kept.look(one, 9_000.0, 1e12 + 8_000.0)
    assert "f1/acme" not in store.entries


def test_a_look_writes_no_more_homes_than_its_bound(tmp_path):
    store, one = InMemory(), router()
    kept = left.Left(tmp_path / "homes", store)
    for n in range(left.STORED_A_LOOK + 30):
        one.meet(0.0, Placement(Session("acme", f"f{n}"), "b", 1))
    kept.look(one, 0.0, 1e12)
    assert len(store.entries) == left.STORED_A_LOOK
    kept.look(one, left.STORE_MS, 1e12)
    assert len(store.entries) == left.STORED_A_LOOK + 30


def test_a_keeper_that_begins_anew_sends_the_first_call_by_the_home_that_it_keeps():
    fleet = Fleet()
    front = next(f for f in fleet.others() if f.site == "a")
    keeper = next(f for f in fleet.keepers() if f.site == "a")
    fleet.calls(front, SESSION)
    fleet.run(400.0)
    front.agent.ask(fleet.now, [(SESSION, "b")])
    fleet.carry(front)
    fleet.until(lambda: any(end["done"] for end in fleet.ends()))
    fleet.kill(keeper.name)
    fleet.start(keeper)
    fleet.until(lambda: keeper.agent.sure(fleet.now) and keeper.agent.keeper.record(SESSION).number == 1)
    keeper.agent.router.homes.clear()  # as if nobody had told it since
    assert fleet.call(keeper, SESSION).site == "b"


def test_the_process_that_takes_anothers_place_sends_no_call_to_the_old_site(tmp_path, monkeypatch):
    rig = Fronts(tmp_path, monkeypatch)
    try:
        rig.settle()
        assert rig.call(rig.client("a1")) == "answer"
        rig.until(lambda: rig.agent("b0").keeper.records, "keepers know it")
        rig.agent("a0").ask(0.0, [(SESSION, "b")])
        rig.until(lambda: any(note["done"] for note in rig.noted("hand-over ended")), "it is moved")
        rig.fronts["a1"].close()
        rig.start("a1")
        assert rig.agent("a1").router.home(SESSION) == Placement(SESSION, "b", 1)
        assert rig.call(rig.client("a1")) == "answer" and rig.seen["a1"][-1].site == "b"
    finally:
        rig.close()


def test_a_larger_budget_counts_only_once_its_policy_is_in_force_and_half_of_it_without_a_leader():
    policies = object.__new__(PolicyRolloutService)
    settings = SimpleNamespace(spillover=SimpleNamespace(fraction_by_zone={}, fraction=0.5))
    policies.zones = SimpleNamespace(
        core=SimpleNamespace(membership=SimpleNamespace(zones={"n": ()})), settings=settings
    )
    policies.deployment = SimpleNamespace(settings=rules(), wire=SimpleNamespace(tenants=frozenset()))
    policies._built_parts = {"sessions": SimpleNamespace(foreseen=SimpleNamespace(staging=staging()))}
    base = policies._capabilities().configured_defaults
    more = document_from_object({"version": 1, "number": 2, "staging": {"fetches_rps": 100.0}})
    between = stricter(with_defaults(base, make_document(1, {})), with_defaults(base, more))
    assert between.section("staging") == {"fetches_rps": S.fetches_ps, "free_part": 0.5, "cold_part": 1.0}
    assert fallback_limits(with_defaults(base, more)).value("staging", "fetches_rps") == 50.0
    assert fallback_limits(base).value("staging", "fetches_rps") == S.fetches_ps / 2
    policies._built_parts = {"sessions": SimpleNamespace(foreseen=None)}  # placements alone: no budgets
    assert (
        find_incompatibility(more, policies._capabilities())
        == "staging.fetches_rps: nothing is prefetched here"
    )
