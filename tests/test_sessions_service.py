"""Sessions of a few front ends on real sockets: moves by operators, what is unloaded, bad lines and files."""

import json
import os
import subprocess
import sys
from types import SimpleNamespace

import msgspec
import pytest
from peers import ROW
from support.session_front_ends import Fronts

from fawnwharf.config import ConfigError
from fawnwharf.migration import messages as m
from fawnwharf.net import scorer_frames
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.replication import messages as rm
from fawnwharf.session_types import Placement, Session
from fawnwharf.sessions import settings as s
from fawnwharf.sessions.moves import place_of
from fawnwharf.sessions.service import Sessions
from fawnwharf.zones.plan import Plan, PlannedZone
from fawnwharf.zones.settings import SettingsFileError

SESSION = Session("acme", ROW)


@pytest.fixture
def fronts(tmp_path, monkeypatch):
    made = []

    def make(**more):
        made.append(Fronts(tmp_path, monkeypatch, **more))
        made[-1].settle()
        return made[-1]

    yield make
    for one in made:
        one.close()


def asked(rig, *words, member):
    """The command line's status and what it said, while the front ends serve."""
    command = [sys.executable, "-m", "fawnwharf", "sessions", *words, "--sessions"]
    command += [f"sessions-{member}.json", "--state", "state.json", "--member", member]
    child = subprocess.Popen(
        command, cwd=rig.folder, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, env=os.environ
    )
    rig.until(lambda: child.poll() is not None, f"{words} ends")
    with child.stdout:
        return child.returncode, child.stdout.read().decode()


def test_an_operators_move_makes_calls_go_by_it_everywhere_and_lets_the_old_copies_go(fronts):
    rig = fronts()
    client, other = rig.client("a1"), rig.client("a0")
    assert rig.call(client) == rig.call(other) == "answer"
    rig.until(lambda: rig.agent("b0").keeper.records, "keepers know it")
    assert [event.site for event in rig.seen["a1"]] == [""]
    near = {scorer.zone: scorer for scorer in rig.scorers}
    site = next(zone for zone in "bc" if not near[zone].loads)  # the first copy may stand elsewhere
    status, said = asked(rig, "move", "acme", ROW, site, member="a1")
    assert (status, said) == (0, f"moved: acme {ROW} is at home at {site}, number 1\n")
    assert [(note["site"], note["number"]) for note in rig.noted("session moved")] == [(site, 1)]
    rig.until(lambda: any(note["done"] for note in rig.noted("hand-over ended")), "it is released")
    assert rig.call(client) == rig.call(other) == "answer"
    assert [rig.seen[name][-1].site for name in ("a1", "a0")] == [site, site]
    assert len(near[site].loads) == 1  # staged, once
    rig.until(lambda: near["a"].unloaded, "the old copies are let go")
    assert near["a"].unloaded == [ROW] and not near["b"].unloaded and not near["c"].unloaded
    plan = Plan(
        zones={"a": PlannedZone(), site: PlannedZone("out")}
    )  # that this front end alone has heard of yet
    rig.part("a1").zones = SimpleNamespace(core=SimpleNamespace(plan=plan))
    rig.until(lambda: rig.part("a1")._out, "it is looked at")
    assert rig.call(client) == "answer" and rig.seen["a1"][-1].site == ""
    mover = rig.noted("session moved")[0]["member"]
    rig.part(mover)._status(0.0)  # it tells of itself once a second
    status, said = asked(rig, "show", member=mover)
    assert status == 0 and "knows 1" in said and "ended, released: 1" in said


def test_what_can_not_be_asked_says_why_and_changes_nothing(fronts):
    rig = fronts()
    rig.call(rig.client("a1"))
    place = rig.folder / "a1" / "moves.json"
    assert asked(rig, "move", "acme", ROW, "z", member="a1") == (
        2,
        "fawnwharf: sessions: moves[0].site: no site z\n",
    )
    assert asked(rig, "drain", "z", member="a1") == (2, "fawnwharf: sessions: no site z\n")
    assert not place.exists()
    row = "0" * 16
    assert asked(rig, "move", "acme", row, "b", member="a1") == (
        2,
        f"fawnwharf: sessions: no session of acme with {row}\n",
    )
    assert not place.exists() and not rig.noted("session moved")


def test_operators_drain_a_site_and_restore_it(fronts):
    rig = fronts(drain={"dwell_ms": 200.0})
    client = rig.client("a0")
    rows = [f"{n:016x}" for n in range(12)]
    for row in rows:
        rig.call(client, row=row)
    assert asked(rig, "drain", "a", member="c0")[0] == 0
    router = rig.agent("a0").router
    at = lambda: {router.home(Session("acme", row)).site for row in rows}  # noqa: E731
    rig.until(lambda: "a" not in at(), "it is empty")
    assert at() == {"b", "c"}
    assert asked(rig, "restore", "a", member="c0") == (0, "asked: no site drained\n")
    rig.until(lambda: at() == {"a"}, "they return")


def test_a_plan_empties_a_site_and_takes_its_sessions_back_in_step_with_its_share(fronts):
    rig = fronts(drain={"dwell_ms": 100.0})
    client, router = rig.client("a0"), rig.agent("a0").router
    sessions = [Session("acme", f"{n:016x}") for n in range(16)]
    for session in sessions:
        rig.call(client, row=session.row)

    def decide(state, share=1.0):
        zones = {"a": PlannedZone(state, share), "b": PlannedZone(), "c": PlannedZone()}
        for name in rig.fronts:
            rig.part(name).zones = SimpleNamespace(core=SimpleNamespace(plan=Plan(zones=zones)))

    def at():
        return {session: router.home(session).site for session in sessions}

    decide("leaving")
    rig.until(lambda: "a" not in at().values(), "it is empty")
    early = {session for session in sessions if place_of(session, "a") < 0.5}
    assert 0 < len(early) < len(sessions)
    decide("returning", 0.5)
    rig.until(lambda: {s for s, site in at().items() if site == "a"} == early, "the first ones are back")
    decide("serving")
    rig.until(lambda: set(at().values()) == {"a"}, "all are back")


def test_a_process_that_lets_go_and_takes_back_is_no_fresh_one(fronts):
    rig = fronts()
    client = rig.client("a0")
    rig.call(client)
    rig.until(lambda: rig.agent("a0").keeper.records, "the keeper knows it")
    extension = rig.extensions["a0"]
    extension.suspend()
    assert rig.call(client) == "answer"  # nobody asks for homes meanwhile
    extension.resume(rig.fronts["a0"])
    assert rig.agent("a0").keeper.records == {} and not rig.agent("a0").sure(monotonic_ms())
    rig.until(lambda: rig.agent("a0").sure(monotonic_ms()), "it heard the others")
    assert SESSION in rig.agent("a0").keeper.records and rig.call(client) == "answer"


def test_lines_out_of_nowhere_are_counted_and_change_nothing(fronts):
    rig = fronts()
    state, part = rig.part("a1", 0), rig.part("a0")
    home = m.Told(Placement(SESSION, "b", 1), "a", m.Step.SWITCHED)
    good = msgspec.to_builtins(home)
    words = [
        7, None, [], {"type": "hands"}, {"type": "nobody", "words": []},
        {"type": "hands", "words": [{**good, "home": {**good["home"], "number": 2**60}}]},
        {"type": "hands", "words": [{**good, "home": {**good["home"], "number": -1}}]},
        {"type": "hands", "words": [{**good, "step": 9}]},
        {"type": "hands", "words": [good] * 65},
    ]  # fmt: skip
    for word in words:
        state._carry_out(state.core.send_client_message(rm.ClientMessage("sessions", word), ("a0",)))
    rig.until(lambda: part.agent.counts["bad line"] == len(words), "all came")
    assert len(rig.noted("line dropped")) <= 2 and part.agent.router.home(SESSION) is None
    assert rig.call(rig.client("a0")) == "answer"


def test_foresight_hears_of_calls_elsewhere_and_of_homes(fronts):
    rig = fronts(foresight={"beat_ms": 100.0})
    rig.call(rig.client("a1"))
    watch = rig.part("b0").foreseen.staging.core.watch
    rig.until(lambda: SESSION in watch.tracks, "a keeper elsewhere knows the session")
    state = rig.part("a1", 0)
    state._carry_out(state.core.send_client_message(rm.ClientMessage("foresight", {"counts": 3}), ()))
    rig.until(lambda: rig.part("b0").foreseen.bad == 1, "a bad word is counted")
    assert rig.part("b0").foreseen._look(0.0).heard == ("a0", "b0", "c0")
    (rig.folder / "b0").mkdir()
    rig.extensions["b0"].suspend()
    rig.extensions["b0"].resume(rig.fronts["b0"])
    assert rig.part("b0").foreseen.staging.functions.facts(ROW).class_name == "view"  # was left by the first


def test_a_front_end_that_starts_anew_is_no_fresh_one_and_does_not_repeat_what_was_asked(fronts):
    rig = fronts()
    rig.call(rig.client("a0"))
    assert asked(rig, "move", "acme", ROW, "b", member="a0")[0] == 0
    assert asked(rig, "move", "acme", ROW, "c", member="a0")[0] == 0
    assert asked(rig, "move", "acme", ROW, "a", member="b0")[0] == 0
    rig.fronts["a0"].close()
    rig.start("a0")
    assert not rig.agent("a0").sure(0.0)
    rig.until(lambda: rig.noted("homes")[-1] == {"member": "a0", "sure": True, "kept": 1}, "it heard all")
    rig.until(lambda: rig.agent("a0").keeper.record(SESSION).number == 3, "it knows the home")
    assert len(rig.noted("session moved")) == 3


def test_a_keeper_that_came_after_a_call_hears_of_its_session_without_another_one(fronts):
    rig = fronts()
    rig.fronts.pop("c0").close()
    rig.call(rig.client("a1"))
    rig.start("c0", fresh=True)  # it asks nobody for what was before it
    assert rig.agent("c0").keeper.record(SESSION).site == ""
    rig.until(lambda: rig.agent("c0").keeper.record(SESSION).site == "a", "it is told of the session")


def test_a_wish_of_a_member_that_is_silent_stands_while_its_process_may_be_replaced(fronts):
    rig = fronts()
    part = rig.part("b0")
    for heard, now_ms, closed in (
        (True, 4_000.0, {"c": "operators"}),
        (True, 6_000.0, {}),
        (False, 6_000.0, {"c": "operators"}),
        (False, 700_000.0, {}),
    ):
        part._drained["a0"] = 0.0, ("c",)
        part.agent.alive = dict.fromkeys({"a0", "c0"} if heard else {"c0"}, 1)
        assert part._closed(now_ms) == closed


def test_another_list_of_members_stops_no_hand_over_for_longer_than_seconds(fronts):
    rig = fronts(zones="aabc")
    other, gone = ("a0", "a1") if rig.agent("a1").keeper else ("a1", "a0")
    rig.call(rig.client(other))
    assert asked(rig, "move", "acme", ROW, "b", member="b0")[0] == 0
    rig.until(lambda: rig.noted("hand-over ended"), "the hand-over ends")
    began = monotonic_ms()
    members = json.loads((rig.folder / "members.json").read_bytes())
    [votes] = [entry for entry in members["members"] if entry["name"] == "a0"]
    left = [
        entry | {"ballots": entry.get("ballots", votes["ballots"])}
        for entry in members["members"]
        if entry["name"] != gone
    ]
    rig.write("members.json", members | {"number": 2, "members": left})  # it goes on by the old one
    rig.until(lambda: rig.agent(other).sure(monotonic_ms()), "the new keeper is sure")
    assert rig.agent(other).keeper.record(SESSION).number == 1
    rig.until(lambda: all(rig.agent(name).sure(monotonic_ms()) for name in ("b0", "c0")), "all are")
    assert monotonic_ms() - began < rig.agent(other).rules.window_ms / 2
    assert asked(rig, "move", "acme", ROW, "a", member="b0")[0] == 0
    rig.until(lambda: rig.noted("session moved")[-1]["number"] == 2, "it is moved again")


BAD = [
    (b"{", "sessions: not JSON"),
    (b"[]", "sessions: Expected"),
    (b'{"version": 2}', "version: 2"),
    (b'{"version": 1, "handover": {"wait_ms": -1}}', "handover.wait_ms: "),
    (b'{"version": 1, "handover": {"skew": 0.9}}', "handover.skew: "),
    (b'{"version": 1, "handover": {"lapse_ms": 10}}', "handover.lapse_ms: "),
    (b'{"version": 1, "handover": {"settle_ms": 100}}', "handover.settle_ms: "),
    (b'{"version": 1, "handover": {"still_ms": 900}}', "handover.still_ms: "),
    (b'{"version": 1, "drain": {"at_once": 0}}', "drain.at_once: "),
    (b'{"version": 1, "drain": {"dwell_ms": 200000}}', "drain.dwell_most_ms: "),
    (b'{"version": 1, "foresight": 3}', "foresight: "),
]


@pytest.mark.parametrize(("data", "fault"), BAD, ids=[fault for _, fault in BAD])
def test_a_faulty_file_is_named_by_its_key(data, fault):
    with pytest.raises(SettingsFileError) as error:
        s.settings_from(data)
    assert str(error.value).startswith(fault) and "\n" not in str(error.value)


def test_foresights_part_is_checked_by_its_own_rules_and_a_zone_that_differs_is_a_fault(fronts):
    rig = fronts()
    path = rig.folder / "sessions-a0.json"
    deployment, made = rig.fronts["a0"].deployment, {"state": rig.part("a0", 0)}
    path.write_text(json.dumps({"version": 1, "foresight": {"beat_ms": "soon"}}))
    with pytest.raises(ConfigError, match=r"foresight\.beat_ms"):
        Sessions(deployment, path, lambda *_: None, made)
    path.write_text(json.dumps({"version": 1}))
    other = msgspec.structs.replace(deployment, settings=rig.fronts["b0"].deployment.settings)
    with pytest.raises(ConfigError, match="a0 is of zone a, and its configuration says b"):
        Sessions(other, path, lambda *_: None, made)


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b'{"version": 1, "moves": [{"org": "", "row": "r", "site": "a"}]}', "moves[0].org: "),
        (b'{"version": 1, "moves": [{"org": "o", "row": "r", "site": "z"}]}', "moves[0].site: no site z"),
        (b'{"version": 1, "drained": ["z"]}', "drained[0]: no site z"),
        (b'{"version": 1, "drained": ["a", "b"]}', "drained: no site would be left"),
        (b'{"version": 1, "number": -4}', "number: "),
    ],
)
def test_faulty_wishes_are_named_by_their_key(data, fault):
    with pytest.raises(SettingsFileError) as error:
        s.wishes_from(data, {"a", "b"})
    assert str(error.value).startswith(fault)


def test_the_frame_that_unloads_has_the_function_as_its_id():
    (frame,) = scorer_frames.FrameReader(scorer_frames.FROM_FRONT_END).feed(scorer_frames.unload(ROW))
    assert (frame.code, frame.id.hex(), frame.fields, frame.body) == (7, ROW, {}, b"")
    for key in ("", "7f3a", "zz" * 8, ROW + "00"):
        with pytest.raises(ValueError):
            scorer_frames.unload(key)
