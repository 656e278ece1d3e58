"""The simulator's adapter as a process, with real pipes."""

import json
import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
CONFIG = {
    "classes": [{"name": "score", "effect": "idempotent", "give_up": 2500.0, "promise": 1000.0}],
    "bounds": {"max_attempts": 6, "cancel": True, "unheard_of": 1},
    "family_info": {"may_order": True, "idle_life": 9000.0, "not_loaded": "miss"},
    "weight_source": "nominal",
    "unknown": {"deep": [1]},
}


def batch(wall, *ends):
    return json.dumps({"wall": wall, "ends": [{"who": who, "inbox": inbox} for who, inbox in ends]})


def attach(workers=(11, 12, 13)):
    entries = [{"worker": w, "state": 1, "up_since": None, "stripe": 0, "units": 1} for w in workers]
    return [
        {"ATTACH": {"init_seed": 5, "config": CONFIG}},
        {"TARGETS": {"kind": 2, "serial": 1, "entries": entries, "extra": None}},
    ]


def request(tid, fn="fn:a", **more):
    return {"NEW_REQUEST": {"tid": tid, "service": "score", "fn": fn, "time_budget": 2000.0, **more}}


def run_adapter(*lines, hash_seed="0", status=0):
    env = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)}
    finished = subprocess.run(
        [sys.executable, "-m", "fawnwharf.wirehost"],
        input="".join(line + "\n" for line in lines),
        capture_output=True,
        text=True,
        env=env,
        cwd=ROOT,
        timeout=30,
    )
    assert finished.returncode == status, finished.stderr
    return [json.loads(line) for line in finished.stdout.splitlines()], finished.stderr


def request_batches(*instances):
    """Batches with requests for several functions, at each of these instances."""
    lines = [batch(100.0, *((who, attach()) for who in instances))]
    for n in range(30):
        inbox = [request(f"t/{n}", f"fn:{n % 7}", load_ms=None, per_copy=2)]
        if n % 3 == 2:
            inbox.append({"DEADLINE_HIT": {"handle": 0}})
        if n > 20:
            body = {"worker": 12, "fn": f"fn:{n % 7}", "ending": "GOOD", "how_many": 2, "took": 9.0}
            inbox.append({"RESIDENT": body})
        lines.append(batch(110.0 + 20 * n, *((who, inbox) for who in instances)))
    return lines


def steps(replies, who):
    return [end["steps"] for reply in replies for end in reply["ends"] if end["who"] == who]


def test_empty_batch_and_end_of_input():
    replies, _ = run_adapter(batch(1.0))
    assert replies == [{"ends": []}]


def test_a_request_is_probed_for_sent_and_closed():
    lines = [batch(100.0, (3, [*attach(), request("t/x")]))]
    actions = steps(run_adapter(*lines)[0], 3)[0]
    probes = [step["MOUNT"] for step in actions if "MOUNT" in step]
    assert probes and all(ask["how_many"] == 0 and ask["fn"] == "fn:a" for ask in probes)
    body = {"worker": probes[0]["worker"], "fn": "fn:a", "ending": "GOOD", "how_many": 1, "took": 1.0}
    lines.append(batch(101.0, (3, [{"RESIDENT": body}])))
    sent = steps(run_adapter(*lines)[0], 3)[1]
    assert {"ATTEMPT": {"tid": "t/x", "worker": probes[0]["worker"]}} in sent
    ended = {"tid": "t/x", "ending": "GOOD", "took": 5.0, "ended": True, "try": 0, **body}
    lines.append(batch(106.0, (3, [{"RESOLVED": {**ended, "remark": None, "health_info": None}}])))
    assert not [s for s in steps(run_adapter(*lines)[0], 3)[2:] if any("ATTEMPT" in step for step in s)]


def test_same_actions_whatever_the_hash_seed():
    one, _ = run_adapter(*request_batches(0), hash_seed="1")
    two, _ = run_adapter(*request_batches(0), hash_seed="2")
    assert one == two and sum(len(s) for s in steps(one, 0)) > 30


def test_same_actions_whichever_process_hosts_an_instance():
    alone, _ = run_adapter(*request_batches(1))
    shared, _ = run_adapter(*request_batches(0, 1, 2))
    assert steps(alone, 1) == steps(shared, 1)


def test_unusual_valid_input_causes_no_error():
    odd = [
        {"TARGETS": {"kind": 3, "serial": 0, "entries": None}},
        {"TARGETS": {"kind": 1, "serial": 2, "entries": []}},
        {"HANGUP": {"tid": "t/none"}},
        {"RESOLVED": {"tid": "t/none", "ending": "CXL", "try": 4, "worker": 11, "ended": True}},
        {"RESIDENT": {"worker": 99, "fn": "fn:never", "ending": "GOOD", "how_many": 1}},
        {"PING_RESULT": {"worker": 99, "ending": "LATE"}},
        {"DEADLINE_HIT": {"handle": 9}},
        {"MEMO": {"author": 1, "contents": "00"}},
        {"NOVELTY": {"x": 1}},
        request("t/late", time_budget=0.0),
    ]
    replies, err = run_adapter(
        batch(5.0, (0, [*attach(), *odd])), batch(6.0, (0, [])), batch(7.0, (9, odd[2:3]))
    )
    assert not err and not any("EXCEPTION" in step for s in steps(replies, 0) for step in s)
    assert {"SAY_NO": {"tid": "t/late", "hold_off": 0.0}} in steps(replies, 0)[0]


def test_a_restart_discards_all_state():
    replies, _ = run_adapter(
        batch(1.0, (0, [*attach(), request("t/a")])),
        batch(2.0, (0, [{"POWER_OFF": {}}, *attach(), request("t/b")])),
        batch(2500.0, (0, [{"DEADLINE_HIT": {"handle": 0}}])),
    )
    assert not any("t/a" in json.dumps(s) for s in steps(replies, 0)[1:])


def test_an_invalid_batch_ends_with_status_2_and_one_message():
    for line, word in [
        ("{", "JSON"),
        ("[]", "wall"),
        ('{"wall":1}', "ends"),
        ('{"wall":1,"ends":[{"who":1}]}', "inbox"),
        ('{"wall":1,"ends":[{"who":1,"inbox":[{"NEW_REQUEST":{}}]}]}', "NEW_REQUEST"),
        ('{"wall":1,"ends":[{"who":1,"inbox":[7]}]}', "event"),
    ]:
        _, err = run_adapter(line, status=2)
        assert word in err and len(err.splitlines()) == 1, (line, err)


def test_an_exception_is_reported_with_type_and_place():
    broken = {"NEW_REQUEST": {"tid": "t/x", "service": "score", "fn": "fn:a", "time_budget": "soon"}}
    replies, _ = run_adapter(batch(1.0, (0, [*attach(), broken])))
    [[step]] = steps(replies, 0)
    assert "TypeError" in step["EXCEPTION"]["body_text"] and "line" in step["EXCEPTION"]["body_text"]
