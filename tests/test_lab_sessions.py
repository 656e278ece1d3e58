"""Sessions that move between sites, with several processes and faults between them; and the rules by which a
run is judged, each by records that break it.
"""

import json
from types import SimpleNamespace

import msgspec
import pytest

from fawnwharf.fakes.calls import Kind, Request, Try
from fawnwharf.fakes.nature import Arrival
from fawnwharf.fakes.sessions import Live
from fawnwharf.migration import messages as m
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.prefetch.baseline_strategies import parse_known_moves
from fawnwharf.session_types import Placement, Session
from fawnwharf.sessions.foreseen import Foreseen
from fawnwharf.sessions.moves import target
from fawnwharf.sessions.trace import Trace
from fawnwharf.testbed import homes, moves
from fawnwharf.testbed import scenario as scenarios
from fawnwharf.testbed.homes import Sent, Told, Unload, Use
from fawnwharf.testbed.processes import Noted
from fawnwharf.testbed.run import Runner
from fawnwharf.testbed.scenario import ScenarioError, Step, ZoneSpec, scenario_from
from fawnwharf.testbed.sessions import SessionSteps, handed_over
from fawnwharf.zones.files import WatchedFile

CI = ["sessions-move", "sessions-cut", "sessions-killed"]
S, OTHER = ("t", "f"), ("u", "f")


def told(at_ms, site, number, session=S, front="n0", settled=False):
    return Told(at_ms, front, session, site, number, settled)


def sent(at_ms, number, site="a", front="n0", life=1, session=S):
    return Sent(at_ms, front, life, "c", session, number, site)


def test_a_number_stands_for_one_site_at_all_front_ends():
    words = [told(1.0, "b", 1), told(2.0, "b", 1, front="n1"), told(3.0, "a", 2), told(4.0, "c", 1, OTHER)]
    assert homes.one_home(words, [sent(5.0, 1, "b"), sent(0.0, 0, "a"), sent(0.0, 0, "b")]) == []
    [broken] = homes.one_home([*words, told(9.0, "c", 1, front="n1")], [])
    assert broken == "homes: t f by 1 is at home at b (n0) and c (n1)"
    assert len(homes.one_home(words, [sent(5.0, 2, "b", "n3")])) == 1


def no(front, since_ms, until_ms):
    return False


def test_nobody_sends_by_an_older_number_than_before_or_than_all_settled_on():
    rising = [sent(1.0, 0), sent(2.0, 1), sent(2.5, 0, front="n1"), sent(3.0, 1)]
    assert homes.by_the_number([], rising, no, 9) == []
    [broken] = homes.by_the_number([], [sent(2.0, 1), sent(1.0, 0), sent(3.0, 0)], no, 9)
    assert broken == "numbers: n0 sent c of t f by 0 after 1"
    assert homes.by_the_number([], [sent(2.0, 1), sent(3.0, 0, life=2)], no, 9) == []  # it forgot
    assert homes.by_the_number([], [sent(2.0, 1), sent(52.0, 0)], no, 9, still_ms=40.0) == []  # it was over
    assert len(homes.by_the_number([], [sent(2.0, 1), sent(32.0, 1), sent(62.0, 0)], no, 9, 40.0)) == 1
    words = [told(100.0, "b", 1), told(500.0, "b", 1, settled=True)]
    assert homes.by_the_number(words, [sent(505.0, 0)], no, 9.0) == []
    [broken] = homes.by_the_number(words, [sent(520.0, 0)], no, 9.0)
    assert broken == "numbers: n0 sent c of t f by 0, 20 ms after all had settled on 1"
    assert homes.by_the_number(words, [sent(520.0, 0)], lambda *of: True, 9.0) == []
    assert homes.by_the_number(words, [sent(520.0, 0, session=OTHER)], no, 9.0) == []


def let_go(uses=(), words=(), last_ms=900.0, at_ms=1_000.0):
    unload = Unload(at_ms, "s-a0", "a", "f", "n0")
    return homes.let_go([unload], uses, words, lambda session, at: last_ms, 50.0, 500.0)


def test_copies_that_a_call_has_are_not_let_go():
    assert let_go([Use(900.0, 990.0, "s-a0", "f"), Use(900.0, 1_100.0, "s-a0", "g")]) == []
    assert let_go([Use(900.0, 1_100.0, "s-a1", "f"), Use(990.0, 1_100.0, "s-a0", "f")]) == []  # a race
    [broken] = let_go([Use(900.0, 1_100.0, "s-a0", "f")])
    assert broken == "let go: n0 had f let go at s-a0, where a call was since 100 ms"


def test_copies_of_a_site_where_a_session_is_at_home_are_not_let_go():
    there, back = told(500.0, "b", 1), told(800.0, "a", 2)
    assert let_go(words=[there]) == []
    [broken] = let_go(words=[there, back])
    assert broken == "let go: n0 had f let go at s-a0, where t f is at home by 2"
    assert let_go(words=[there, told(980.0, "a", 2)]) == []  # told as it was on its way
    assert let_go(words=[back, told(1_020.0, "c", 3)]) == []
    assert let_go(words=[there, back], last_ms=400.0) == []  # over
    assert len(let_go(words=[there, told(600.0, "a", 1, OTHER)])) == 1


def test_a_call_is_taken_off_a_quota_once():
    came = {("t", "n0"): 7, ("t", "n1"): 3}
    assert homes.spent_once([("t", "n0", 7), ("t", "n1#88", 3)], came) == []
    assert homes.spent_once([("t", "n0", 8)], came) == ["quotas: n0 carried 8 calls of t, and 7 came to it"]
    assert len(homes.spent_once([("t", "n2", 1)], came)) == 1


def request(began_ms, outcome="served", took_ms=50.0, tenant="t", call="c", front="n0"):
    kind = Kind("points-view", promise_ms=400.0)
    tried = Try(call, front, began_ms, 1_000.0, outcome=outcome, ended_ms=began_ms + took_ms)
    return Request(0, kind, "a", tenant, "f", began_ms, "x", [tried], outcome, began_ms + took_ms)


def test_service_after_a_move_counts_that_sessions_calls_until_its_next_one():
    requests = [
        request(900.0, "refused"),
        request(1_100.0, call="x"),
        request(1_200.0, "lost"),
        request(4_000.0, took_ms=500.0),
        request(4_100.0, tenant="u"),
        request(8_100.0, call="y"),
        request(40_000.0, "lost"),
    ]
    found = moves.after([(1_000.0, S), (8_000.0, S)], requests, {"x": True, "y": False})
    assert (found.moves, found.first_calls, found.found) == (2, 2, 0.5)
    assert found.service == {1: pytest.approx(2 / 3), 5: pytest.approx(2 / 4), 20: pytest.approx(2 / 4)}


def arrival(at_ms, what, note="order", sender="n0", id="1"):
    return Arrival(at_ms, "s-a0", sender, what, id, "", "f", "", 1, note)


def test_a_load_counts_as_staged_where_nobody_waited_for_it():
    asked = [request(1_000.0, took_ms=500.0)]
    at = [
        arrival(1_200.0, "load"),  # a race
        arrival(1_250.0, "load", "run", id="2"),
        arrival(1_300.0, "load", sender="n1", id="3"),
        arrival(5_000.0, "load", id="4"),
        arrival(9_000.0, "wasted", id="4"),
        arrival(9_000.0, "wasted", id="1"),
    ]
    assert moves.staged(at, asked) == (4, 2, 2, 1)


def test_words_on_homes_are_read_from_front_ends_logs():
    fields = {"org": "t", "row": "f", "site": "b", "number": 3, "why": "", "done": True}
    notes = [Noted(1.0, "n0", "role", {}), Noted(2.0, "n1", "session moved", fields)]
    notes.append(Noted(3.0, "n1", "hand-over ended", fields))
    wanted = [told(2.0, "b", 3, front="n1"), told(3.0, "b", 3, front="n1", settled=True)]
    assert moves.told_of(notes) == wanted


@pytest.mark.parametrize(
    ("more", "why"),
    [
        ({"sessions": {}}, "sessions: goes by the logs of state"),
        ({"live": {"q": 3}}, "live: no zone q"),
        ({"steps": [{"do": "move_clients", "what": "a"}]}, "steps.0..do: move_clients, and no sessions"),
    ],
)
def test_a_scenario_of_sessions_that_lacks_something_is_refused_by_its_key(more, why):
    plain = {"version": 1, "name": "x", "about": "", "decide": False, "steps": []}
    plain["zones"] = {"a": {"front_ends": 1, "scorers": 1}}
    with pytest.raises(ScenarioError, match=why):
        scenario_from(msgspec.json.encode(plain | more))


def test_a_front_ends_trace_tells_by_which_home_calls_went_and_what_was_carried(runner, tmp_path):
    fleet = runner.fleet
    front = fleet.fronts["n1"]
    trace = Trace(front.folder / "trace.jsonl")
    trace.taken("r1", Placement(Session("t", "f"), "b", 3))
    context = m.Context(spent=(("n0#7", 9),))
    words = [m.Receive(Session("t", "f"), m.Turn(), 4, 1, 10.0, context), m.Give(Session("t", "f"), m.Turn())]
    trace.received([*words, m.Receive(Session("t", "f"), m.Turn(), 4, 1, 10.0)])
    trace.close()
    with open(front.folder / "trace.jsonl", "ab") as file:
        file.write(b'{"call": "r2", "or')  # it was killed there
    front.lives.append([0.0, float("inf")])
    [one], carried = moves.traced(fleet)
    assert (one.front, one.life, one.session, one.number, one.site) == ("n1", 1, S, 3, "b")
    assert abs(one.at_ms - monotonic_ms()) < 60_000.0  # of the lab's own clock
    assert carried == [("t", "n0#7", 9)]


def test_what_an_oracle_is_told_is_read_again_when_it_changes(tmp_path):
    told = []
    foreseen = object.__new__(Foreseen)
    foreseen._told = WatchedFile(tmp_path / "told.jsonl")
    foreseen.staging = SimpleNamespace(foretold=lambda now, unix, moves: told.append(moves))
    line = json.dumps({"at_ms": 5.0, "org": "t", "row": "f", "whither": "b"}) + "\n"
    for text in ("", line, line, "{", line + line):
        (tmp_path / "told.jsonl").write_text(text)
        foreseen._foretold(0.0)
        foreseen._foretold(0.0)
    assert [len(moves) for moves in told][:2] == [0, 1] and len(told[-1]) == 2


@pytest.fixture
def runner():
    made = Runner(scenarios.load("sessions-move"), seed=1)
    yield made
    made.fleet.close()


def asked_of(front):
    return msgspec.json.decode((front.folder / "kept" / "moves.json").read_bytes())


def test_operators_words_are_files_of_a_keeper_that_lives_and_is_not_drained(runner):
    fleet = runner.fleet
    steps = SessionSteps(fleet, runner.parties)
    for front in fleet.fronts.values():
        front.process = object()
        (front.folder / "kept").mkdir()
    try:
        fleet.notes.append(
            Noted(0.0, "n0", "replication started", {"replicas": {"a": ["n1"], "b": ["n2"], "c": ["n5"]}})
        )
        fleet.clients.live[0].recent.append(request(0.0, ""))
        for live in fleet.clients.live[1:]:
            live.recent.append(request(0.0))
        steps.move_session(Step("move_session", what="a", to="b", value=11))
        assert fleet.asked == "n2"
        wishes = asked_of(fleet.fronts["n2"])
        assert wishes["number"] == 1 and wishes["drained"] == []
        at_a = {(live.org, live.row) for live in fleet.clients.live[1:] if live.site == "a"}
        found = [(move["org"], move["row"], move["site"]) for move in wishes["moves"]]
        assert len(found) == 11 and {(org, row) for org, row, _ in found} == at_a
        assert {site for _, _, site in found} == {"b"}
        steps.drain_site(Step("drain_site", what="a"))
        assert fleet.asked == "n2" and asked_of(fleet.fronts["n2"])["drained"] == ["a"]
        fleet.fronts["n2"].process = None
        steps.drain_site(Step("drain_site", what="a,b"))
        assert fleet.asked == "n5" and asked_of(fleet.fronts["n5"])["number"] == 3
        steps.drain_site(Step("drain_site"))  # each member that was asked is told of the end
        assert [asked_of(fleet.fronts[name])["drained"] for name in ("n2", "n5")] == [[], []]
    finally:
        for front in fleet.fronts.values():
            front.process = None


def test_an_oracle_is_told_of_moves_before_they_come(runner):
    fleet = runner.fleet
    fleet.scenario.sessions["foresight"] = {"mode": "oracle"}
    steps = SessionSteps(fleet, runner.parties)
    step = msgspec.convert(
        {"do": "move_clients", "what": "a", "to": "b,c", "value": 0.5, "when": {"after_s": 2}}, Step
    )
    steps.ahead(step)
    [first, *_] = ahead = parse_known_moves((fleet.fronts["n4"].folder / "told.jsonl").read_bytes())
    assert len(ahead) == 6
    steps.move_clients(step)
    went = [(m.org, m.row, m.destination) for m in fleet.clients.moved]
    assert [(m.org, m.row, m.destination) for m in ahead] == went
    assert {m.source for m in fleet.clients.moved} == {"a"} and first.at_ms > 1e12  # of the Unix clock


def test_clients_may_follow_their_sessions_to_where_front_ends_hand_them_over():
    zones = {"a": ZoneSpec(2, 4), "b": ZoneSpec(2, 4), "c": ZoneSpec(2, 4), "w": ZoneSpec(1, 0)}
    went = set()
    for n in range(40):
        live = Live("t", f"f{n}", "a")
        went.add(found := handed_over(live, zones))
        assert found == target(Session("t", f"f{n}"), {"b": 400, "c": 400})  # a mover's room, of any size
    assert went == {"b", "c"}


@pytest.mark.parametrize("name", CI)
def test_sessions_are_handed_over_and_all_rules_kept_whatever_fails(name):
    measures = Runner(scenarios.load(name), seed=3).run()
    assert measures.verdict.broken == []
    assert measures.second_runs == 0
    assert measures.sessions.switched >= 8 and measures.sessions.done >= 8
    assert measures.sessions.clients.moves > 5
    assert measures.verdict.checked["effects"] > 80  # a busy machine asks for less
    assert measures.outcomes["served"] > 0.8 * sum(measures.outcomes.values())


def test_the_same_clients_run_calls_twice_where_no_state_is_kept():
    whole = scenarios.load("sessions-cut")
    plain = msgspec.structs.replace(whole, state=None, sessions=None, steps=whole.steps[:3], rest_s=2.0)
    measures = Runner(plain, seed=3).run()
    assert measures.second_runs > 0
    assert any(text.startswith("effects: transfer-settle") for text in measures.verdict.broken)
