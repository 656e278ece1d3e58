"""Recovery over real sockets: three front ends with stores, boot id files, calls and `status`."""

import json
import shutil
import time

import pytest
from support.recovery_front_ends import Site

from fawnwharf import interface as io
from fawnwharf.recovery_core.phases import RecoveryPhase
from fawnwharf.recovery_core.trust import StoreCondition

RETURN = ["listening", "repeats", "worth", "rest", "renewal", "spill"]


@pytest.fixture
def site(request, tmp_path):
    made = Site(tmp_path, **getattr(request, "param", {}))
    yield made
    made.close()


@pytest.mark.parametrize("site", [{}, {"policy": True}], indirect=True)
def test_front_ends_that_lost_power_recover_by_phases_and_are_ready_from_priority_calls_on(site):
    site.begin()
    assert all(site.ready(node) is True for node in site.nodes)
    site.power_loss(2)
    site.start()
    assert not any(site.ready(node) for node in site.nodes)
    site.until(
        lambda: all(
            node.stage() is RecoveryPhase.NORMAL and node.agent.power_loss == 1 for node in site.nodes
        ),
        "calm",
    )
    for node in site.nodes:
        # A phase decided before this front end sent its queries may have ended before it was received.
        stages = [stage for cut, stage in node.stages() if cut == 1 and stage != "partitioned"]
        assert stages == [stage for stage in RETURN if stage in stages] and stages[-1] == "spill"
        assert not any(f["status"] for f in node.noted("recovery phase") if f["phase"] in RETURN[:2])
        assert site.ready(node) is True
        site.until(lambda node=node: node.agent.queries.fallbacks() == {}, "all is answered")
        assert len(node.noted("startup queries done")) == 1
        assert (
            node.part.parts.store.condition is StoreCondition.INTACT
            and node.noted("recovery enabled")[0]["same_boot"] is False
        )
    whys = [fields["why"] for node in site.nodes for fields in node.noted("recovery phase decided")]
    assert whys.count("power loss") <= 1  # none if the leader lost its term during the decision


def test_a_restart_in_normal_operation_starts_no_recovery_with_or_without_a_reboot(site):
    site.begin()
    back = site.nodes[1]
    for number in (1, 2):
        site.power_loss(number, [back])
        site.start([back])
        assert not site.ready(back)
        site.until(
            lambda: back.stage() is RecoveryPhase.NORMAL and back.agent.queries_done, "it is calm here"
        )
        site.until(lambda: site.ready(back), "and its status good")
        assert {cut for cut, _ in back.stages()} == {0} and back.stages()[-1] == (0, "spill")
        assert "repeats" not in [stage for _, stage in back.stages()]
    marks = lambda: [n.agent.leader.coordinator.register.boots for n in site.nodes]  # noqa: E731
    site.until(lambda: any("boot 2" in boots.values() for boots in marks()), "its boot is noted")
    assert all(node.agent.power_loss == 0 for node in site.nodes)


@pytest.mark.parametrize("site", [{"listen_ms": 60_000.0, "alone_ms": 2_500.0}], indirect=True)
def test_a_minority_serves_alone_what_is_safe_and_follows_when_the_others_come(site):
    site.begin()
    site.power_loss(2)
    alone = site.nodes[0]
    site.start([alone])
    client = site.client(alone)
    client.call(call="00000000000000aa", ttl="500")
    site.until(lambda: client.kinds(), "a call that came anyway is turned away")
    assert client.kinds() == {1: "throttled"} and not alone.scorer.runs
    site.until(lambda: alone.stage() is None, "it is alone")
    site.until(lambda: site.ready(alone), "and its status good, as scorers are there")
    may = alone.agent.allowed(time.monotonic() * 1000.0)
    assert may.alone and may.part == pytest.approx(1 / 3) and not may.spill
    assert alone.part.running.integration.admission.rate_limiter.rate_ps == pytest.approx(
        200.0 / 3
    )  # the rate of one warm scorer
    assert (
        alone.noted("startup queries done")[0]["missing"]
        and alone.noted("recovery phase")[-1]["phase"] == "partitioned"
    )
    client.call(call="00000000000000bb")
    site.until(lambda: alone.scorer.runs, "a call that may run twice is served")
    alone.scorer.answer(alone.scorer.runs[0])
    site.start(site.nodes[1:])
    site.until(
        lambda: all(
            node.stage() is RecoveryPhase.NORMAL and node.agent.power_loss == 1 for node in site.nodes
        ),
        "calm",
    )
    assert "listening" not in [stage for cut, stage in alone.stages() if cut == 1]


def test_calls_are_counted_for_the_leader_until_normal_operation_has_lasted_a_while(site):
    site.begin()
    node = site.nodes[2]
    site.until(
        lambda: not any(n.part.running.calls.counting for n in site.nodes), "it has been calm for long"
    )
    assert all(n.part.running.counters.normal_operation for n in site.nodes)
    site.power_loss(2)
    site.start()
    site.until(
        lambda: all((n.stage() or 0) >= RecoveryPhase.ALL_CALLS for n in site.nodes), "all calls are let in"
    )
    client, done, answered = site.client(node), [], set()

    def heard():
        """Send and answer calls one after the other; return whether the leader received their counts."""
        if len(client.kinds()) == len(done):
            done.append(client.call(call=f"{len(done):016x}"))
        for link, frame in node.scorer.runs:
            if frame.id not in answered:
                answered.add(frame.id)
                node.scorer.answer((link, frame))
        leader = next((n for n in site.nodes if n.agent.leader.term), None)
        told = leader.agent.leader.reports.get("n2") if leader else None
        return told and told.report.calls.in_time >= 2

    site.until(heard, "the leader hears of calls that were served in time")
    assert node.part.running.calls.counting and "answer" in client.kinds().values()


def test_a_lost_store_is_doubted_until_others_confirm_it_in_normal_operation(site):
    site.begin()
    back = site.nodes[1]
    site.power_loss(1, [back])
    shutil.rmtree(back.folder / "kept")
    site.start([back])
    assert back.part.parts.store.condition is StoreCondition.PARTIAL and not back.agent.status.complete
    site.until(lambda: back.noted("recovery store confirmed"), "others confirm it")
    assert (
        back.part.parts.store.condition is StoreCondition.INTACT
        and back.agent.status.knows_grants
        and back.stage() is RecoveryPhase.NORMAL
    )
    site.power_loss(1, [back])
    site.start([back])
    assert back.part.parts.store.condition is StoreCondition.INTACT


def test_a_front_end_without_a_change_log_uses_the_scorers_of_its_last_roster(site):
    site.begin()
    node = site.nodes[0]
    event = {"seq": 2, "fleet": {"complete": True, "members": [node.scorer.member(locality="a")]}}
    node.log.links[-1].sock.sendall(json.dumps(event).encode() + b"\n")
    site.until(lambda: node.part.running.roster.was_stored, "the roster is kept")
    site.until(lambda: node.part.parts.store.store.status(time.monotonic() * 1000.0).failing == "", "on disk")
    site.rest(0.3)
    site.power_loss(2, [node])
    node.known = False
    pump, node.log.pump = node.log.pump, lambda: None  # it accepts connections and sends nothing
    site.start([node])
    site.until(lambda: node.noted("earlier roster used"), "it goes by the last roster")
    assert list(node.front.roster_overlay.members) == [node.scorer.member()["id"]]
    site.until(lambda: node.stage() is RecoveryPhase.NORMAL and site.ready(node), "it serves")
    assert "addresses" in node.noted("startup queries done")[0]["missing"][0]
    node.log.pump = pump


def test_a_malformed_message_is_dropped_and_logged_once_a_second(site):
    site.begin()
    node = site.nodes[0]
    before = dict(node.agent.drops)
    for word in (1, {"type": "Other"}, {"type": "Ask", "fleet": "g", "life": 1, "turn": 1, "what": 0}):
        node.part.running.on_messages("n1", (word,), None)
        node.part.running.on_replication_message(0.0, "n1", 1, word)
    gained = {why: n - before.get(why, 0) for why, n in node.agent.drops.items() if n != before.get(why, 0)}
    assert gained == {"malformed message": 4, "another fleet": 2}
    assert len(node.noted("message dropped")) == 1


def test_a_front_end_that_takes_its_parts_back_after_a_hand_off_queries_again(site):
    site.begin()
    node = site.nodes[2]
    extension, life = node.front.extension, node.part.parts.store.incarnation
    order = node.front._action_handlers[io.OrderCopies]
    extension.suspend()
    assert (
        node.front._action_handlers[io.OrderCopies] != order and not node.front.client_port.not_ready_reasons
    )
    extension.resume(node.front)
    assert node.part.parts.store.incarnation > life and not site.ready(node)
    site.until(
        lambda: node.stage() is RecoveryPhase.NORMAL and site.ready(node),
        "it is calm here, and its status good",
    )
    client = site.client(node)
    client.call()
    site.until(lambda: node.scorer.runs, "a call goes through the new tables")
    node.scorer.answer(node.scorer.runs[0])
    site.until(lambda: client.kinds(), "it is answered")
    assert client.kinds() == {1: "answer"} and {cut for cut, _ in node.stages()} == {0}
