"""One log line for each cause and second, with a count; no cause hides another one."""

from peers import Rig, ScorerPeer, handle_frame
from support.client_cases import CALL, call_frame, wait

from fawnwharf.net.cause_log import MAX_CAUSES, OTHER_CAUSES, TOTALS_MS, CauseLog
from fawnwharf.net.clients import MAX_REFUSALS


class Recorded:
    def __init__(self):
        self.now_ms, self.lines = 5_000.0, []
        self.causes = CauseLog(lambda text, source: self.lines.append((text, source)), lambda: self.now_ms)


def test_a_flood_is_one_line_and_one_count_a_second_and_hides_nothing():
    recorded = Recorded()
    for number in range(5_000):
        recorded.causes.note("client: flood", lambda number=number: f"request {number}")
    recorded.causes.note("client: rare", lambda: "request 7")
    recorded.causes.flush()
    assert recorded.lines == [
        ("client: flood: request 0", "client: flood"),
        ("client: rare: request 7", "client: rare"),
    ]
    recorded.now_ms += 1_000.0
    recorded.causes.flush()
    recorded.causes.flush()
    assert recorded.lines[2:] == [("client: flood: 4999 more in the same second", "client: flood")]
    recorded.causes.note("client: flood", lambda: "request 5001")
    assert recorded.lines[3:] == [("client: flood: request 5001", "client: flood")]
    assert recorded.causes.totals == {"client: flood": 5_001, "client: rare": 1}


def test_the_count_of_an_earlier_second_comes_before_the_next_line():
    recorded = Recorded()
    for _ in range(3):
        recorded.causes.note("cause", lambda: "this")
    recorded.now_ms += 1_000.0
    recorded.causes.note("cause", lambda: "that")
    assert [text for text, _ in recorded.lines] == [
        "cause: this",
        "cause: 2 more in the same second",
        "cause: that",
    ]


def test_totals_are_logged_from_time_to_time_where_they_have_changed():
    recorded = Recorded()
    recorded.causes.note("rare", lambda: "x")
    recorded.causes.note("often", lambda: "x")
    recorded.causes.note("often", lambda: "x")
    for _ in range(2):
        recorded.now_ms += TOTALS_MS
        recorded.causes.flush()
    assert [text for text, source in recorded.lines if source == "totals"] == [
        "totals since the start: often 2, rare 1"
    ]


def test_causes_are_bounded():
    recorded = Recorded()
    for number in range(3 * MAX_CAUSES):
        recorded.causes.note(f"cause {number}", lambda: "x")
    assert len(recorded.causes.totals) == MAX_CAUSES + 1
    assert recorded.causes.totals[OTHER_CAUSES] == 2 * MAX_CAUSES


def test_what_was_refused_failed_and_ended_is_logged_with_its_reason_and_id():
    rig = Rig(ScorerPeer(copies=4))
    client = rig.client()
    client.call(seqid=1, op="unheard")
    client.call(seqid=2, op="settle", call="00000000000000aa")
    rig.until(lambda: rig.scorers[0].runs, "the scorer receives it")
    rig.scorers[0].answer(rig.scorers[0].runs[0], code=4)
    rig.until(lambda: len(client.answers) == 2, "both are answered")
    client.sock.sendall(b"\x00\x00\x00\x04GET ")
    rig.until(lambda: client.ended, "the connection ends")
    wait(rig, 10)
    text = "\n".join(rig.lines)
    rig.close()
    assert "client: op: no such class: request 1 of 127.0.0.1:" in text
    assert ", id 0000000000000001" in text
    assert "attempt ended, error: attempt 0 of 00000000000000aa at scorer" in text
    assert "request failed by the router: 00000000000000aa, settle" in text


def test_refusals_between_sound_requests_do_not_close_a_connection():
    rig = Rig(ScorerPeer(copies=64))
    client = rig.client()
    for number in range(3):
        first = number * MAX_REFUSALS + 1
        seqids = range(first, first + MAX_REFUSALS - 1)
        refused = b"".join(handle_frame(seqid, CALL | {"op": "unheard"}) for seqid in seqids)
        client.sock.sendall(refused + call_frame(first + MAX_REFUSALS - 1))
    rig.until(lambda: len(rig.scorers[0].runs) == 3, "the sound requests are forwarded")
    for run in rig.scorers[0].runs:
        rig.scorers[0].answer(run)
    rig.until(lambda: list(client.kinds().values()).count("answer") == 3, "they are served")
    assert not client.ended
    rig.close()


def test_a_connection_with_many_unsound_requests_is_closed():
    rig = Rig(ScorerPeer(copies=4))
    client = rig.client()
    unsound = [handle_frame(seqid, CALL | {"op": "unheard"}) for seqid in range(1, 200)]
    client.sock.sendall(b"".join(unsound))
    rig.until(lambda: client.ended, "the connection ends")
    kinds = list(client.kinds().values())
    assert kinds.count("exception") == MAX_REFUSALS
    other = rig.client()
    other.sock.sendall(call_frame(1))
    rig.until(lambda: rig.scorers[0].runs, "the scorer receives it")
    rig.scorers[0].answer(rig.scorers[0].runs[0])
    rig.until(lambda: other.answers, "it is answered")
    assert other.kinds() == {1: "answer"}
    rig.close()
