"""All parts on in real processes, with faults: a policy changed over hand-overs, processes replaced."""

import msgspec
import pytest

from fawnwharf.testbed import scenario as scenarios
from fawnwharf.testbed.run import Runner
from fawnwharf.testbed.scenario import Step


def steps(*wanted):
    return [msgspec.convert(step, Step) for step in wanted]


def kept(runner, measures):
    """The rules that hold whatever is on."""
    verdict = measures.verdict
    assert verdict.broken == []
    assert measures.second_runs == 0
    assert verdict.checked["in a trace"] > 100 and verdict.checked["numbers"] > 100
    assert measures.sessions.switched >= 5 and measures.sessions.done >= 5
    told = {note.front: note.fields for note in runner.fleet.notes if note.event == "policy"}
    assert {fields["how"] for fields in told.values()} == {"leased"} and len(told) == 6
    assert len({(fields["number"], fields["digest"]) for fields in told.values()}) == 1


def test_a_policy_changes_while_sessions_are_handed_over_and_its_leader_is_killed():
    whole = scenarios.load("policy-sessions")
    cut = next(n for n, step in enumerate(whole.steps) if step.text == "all go by it")
    small = msgspec.structs.replace(whole, steps=whole.steps[: cut + 1], settle_s=2.0, rest_s=2.0)
    runner = Runner(small, seed=3)
    measures = runner.run()
    kept(runner, measures)
    assert [change.number for change in measures.changes if change.in_force_ms is not None] == [1]
    [decided] = [
        note.at_ms for note in runner.fleet.notes if note.event == "decided" and "digest" in note.fields
    ]
    ended = [note.at_ms for note in runner.fleet.notes if note.event == "hand-over ended"]
    assert max(ended) > decided  # begun under the old one: the first had moved when the new one was proposed
    assert measures.verdict.checked["by strict"] > 0


@pytest.mark.parametrize(
    "how",
    [
        {"do": "replace", "what": "mover"},
        {"do": "kill_replacing", "what": "leader", "to": "old"},
    ],
    ids=["the mover", "the leader, and its old process dies"],
)
def test_a_process_is_replaced_with_all_parts_on_and_forgets_no_home(how):
    whole = scenarios.load("replaced-all")
    before = {"do": "drain_site", "what": "a"}
    asked = {"policy": "leased", "of": "all"}
    small = msgspec.structs.replace(
        whole,
        steps=steps(
            before,
            how | {"when": {"note": "session moved", "times": 5}},
            {"do": "mark", "when": asked | {"within_s": 30}},
        ),
        settle_s=2.0,
        rest_s=3.0,
    )
    runner = Runner(small, seed=3)
    measures = runner.run()
    kept(runner, measures)
    assert len(runner.fleet.replaced) == 1
