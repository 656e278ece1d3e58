"""The adapter over a real pipe."""

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


def talk(*lines, hash_seed="0", check=0):
    env = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": str(ROOT)}
    done = subprocess.run(
        [sys.executable, "-m", "fawnwharf.wirehost"],
        input="".join(line + "\n" for line in lines),
        capture_output=True,
        text=True,
        env=env,
        cwd=ROOT,
        timeout=30,
    )
    assert done.returncode == check, done.stderr
    return [json.loads(line) for line in done.stdout.splitlines()], done.stderr


def day(*whos):
    """A short day: many functions, at each of the instances named."""
    lines = [batch(100.0, *((who, attach()) for who in whos))]
    for n in range(30):
        inbox = [request(f"t/{n}", f"fn:{n % 7}", load_ms=None, per_copy=2)]
        if n % 3 == 2:
            inbox.append({"DEADLINE_HIT": {"handle": 0}})
        if n > 20:
            body = {"worker": 12, "fn": f"fn:{n % 7}", "ending": "GOOD", "how_many": 2, "took": 9.0}
            inbox.append({"RESIDENT": body})
        lines.append(batch(110.0 + 20 * n, *((who, inbox) for who in whos)))
    return lines


def steps(replies, who):
    return [end["steps"] for reply in replies for end in reply["ends"] if end["who"] == who]


def test_empty_batch_and_end_of_input():
    replies, _ = talk(batch(1.0))
    assert replies == [{"ends": []}]


def test_a_request_is_asked_after_loaded_sent_and_closed():
    lines = [batch(100.0, (3, [*attach(), request("t/x")]))]
    asked = steps(talk(*lines)[0], 3)[0]
    asks = [step["MOUNT"] for step in asked if "MOUNT" in step]
    assert asks and all(ask["how_many"] == 0 and ask["fn"] == "fn:a" for ask in asks)
    body = {"worker": asks[0]["worker"], "fn": "fn:a", "ending": "GOOD", "how_many": 1, "took": 1.0}
    lines.append(batch(101.0, (3, [{"RESIDENT": body}])))
    sent = steps(talk(*lines)[0], 3)[1]
    assert {"ATTEMPT": {"tid": "t/x", "worker": asks[0]["worker"]}} in sent
    ended = {"tid": "t/x", "ending": "GOOD", "took": 5.0, "ended": True, "try": 0, **body}
    lines.append(batch(106.0, (3, [{"RESOLVED": {**ended, "remark": None, "health_info": None}}])))
    assert not [s for s in steps(talk(*lines)[0], 3)[2:] if any("ATTEMPT" in step for step in s)]


def test_same_actions_whatever_the_hash_seed():
    one, _ = talk(*day(0), hash_seed="1")
    two, _ = talk(*day(0), hash_seed="2")
    assert one == two and sum(len(s) for s in steps(one, 0)) > 30


def test_same_actions_whichever_process_hosts_an_instance():
    alone, _ = talk(*day(1))
    shared, _ = talk(*day(0, 1, 2))
    assert steps(alone, 1) == steps(shared, 1)


def test_odd_but_legal_input_is_quiet():
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
    replies, err = talk(batch(5.0, (0, [*attach(), *odd])), batch(6.0, (0, [])), batch(7.0, (9, odd[2:3])))
    assert not err and not any("EXCEPTION" in step for s in steps(replies, 0) for step in s)
    assert {"SAY_NO": {"tid": "t/late", "hold_off": 0.0}} in steps(replies, 0)[0]


def test_a_restart_forgets_everything():
    replies, _ = talk(
        batch(1.0, (0, [*attach(), request("t/a")])),
        batch(2.0, (0, [{"POWER_OFF": {}}, *attach(), request("t/b")])),
        batch(2500.0, (0, [{"DEADLINE_HIT": {"handle": 0}}])),
    )
    assert not any("t/a" in json.dumps(s) for s in steps(replies, 0)[1:])


def test_what_is_no_batch_ends_with_status_2_and_one_message():
    for line, word in [
        ("{", "JSON"),
        ("[]", "wall"),
        ('{"wall":1}', "ends"),
        ('{"wall":1,"ends":[{"who":1}]}', "inbox"),
        ('{"wall":1,"ends":[{"who":1,"inbox":[{"NEW_REQUEST":{}}]}]}', "NEW_REQUEST"),
        ('{"wall":1,"ends":[{"who":1,"inbox":[7]}]}', "event"),
    ]:
        _, err = talk(line, check=2)
        assert word in err and len(err.splitlines()) == 1, (line, err)


def test_an_exception_is_reported_with_type_and_place():
    broken = {"NEW_REQUEST": {"tid": "t/x", "service": "score", "fn": "fn:a", "time_budget": "soon"}}
    replies, _ = talk(batch(1.0, (0, [*attach(), broken])))
    [[step]] = steps(replies, 0)
    assert "TypeError" in step["EXCEPTION"]["body_text"] and "line" in step["EXCEPTION"]["body_text"]
