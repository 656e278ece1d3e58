"""An id that comes again: with another content never, and where a request must not run twice, not at all."""

import msgspec
import pytest
from peers import ROW, Rig, ScorerPeer

from fawnwharf.net.request_ids import RecentIds, RequestContents, RunIds, content_digest

CALL_ID = "00c0ffee00c0ffee"
OTHER_ROW = "aa" * 8


@pytest.fixture
def rig():
    made = Rig(ScorerPeer(copies=16))
    yield made
    assert not [line for line in made.lines if "fault in" in line]
    made.close()


def runs_of(rig, call_id=CALL_ID):
    return [run for run in rig.scorers[0].runs if run[1].id.hex() == call_id]


def until_runs(rig, count):
    rig.until(lambda: len(runs_of(rig)) == count, "the scorer receives it")


class TestAnotherContent:
    @pytest.mark.parametrize("answered", [False, True], ids=["open", "answered"])
    @pytest.mark.parametrize("same_connection", [False, True])
    @pytest.mark.parametrize("change", [{"body": b"other"}, {"row": OTHER_ROW}, {"op": "settle"}])
    def test_it_is_refused(self, rig, change, same_connection, answered):
        client = rig.client()
        client.call(body=b"first", call=CALL_ID)
        until_runs(rig, 1)
        if answered:
            rig.scorers[0].answer(runs_of(rig)[0], body=b"made")
            rig.until(lambda: client.answers, "it is answered")
        other = client if same_connection else rig.client()
        other.call(**{"body": b"first", "call": CALL_ID, "seqid": 50} | change)
        rig.until(lambda: 50 in other.kinds(), "the other one is answered")
        assert other.kinds()[50] == "exception"
        if not answered:
            rig.scorers[0].answer(runs_of(rig)[0], body=b"made")
            rig.until(lambda: 1 in client.kinds(), "the first one is answered")
        assert client.kinds()[1] == "answer"
        assert len(runs_of(rig)) == 1


class TestTheSameContent:
    @pytest.mark.parametrize("op", ["view", "save", "settle"])
    def test_it_is_served_where_the_earlier_one_was_never_sent(self, rig, op):
        client = rig.client()
        rig.front.requests._wire = msgspec.structs.replace(rig.front.deployment.wire, max_open=0)
        client.call(op=op, call=CALL_ID)
        rig.until(lambda: client.kinds().get(1) == "throttled", "it is rejected")
        rig.front.requests._wire = rig.front.deployment.wire
        client.call(op=op, call=CALL_ID)
        until_runs(rig, 1)
        rig.scorers[0].answer(runs_of(rig)[0])
        rig.until(lambda: client.kinds().get(2) == "answer", "it is served")

    @pytest.mark.parametrize("op", ["view", "save"])
    def test_it_is_served_again_where_that_does_no_harm(self, rig, op):
        for number in (1, 2):
            client = rig.client()
            client.call(op=op, call=CALL_ID)
            until_runs(rig, number)
            rig.scorers[0].answer(runs_of(rig)[-1])
            rig.until(lambda client=client: client.kinds() == {1: "answer"}, "it is served")

    def test_a_withdrawn_request_that_was_not_sent_is_served(self, rig):
        client = rig.client()
        client.call(op="settle", call=CALL_ID)
        client.withdraw(1)
        rig.settle(client)
        assert runs_of(rig) == []
        client.call(op="settle", call=CALL_ID, seqid=5)
        until_runs(rig, 1)

    def test_another_id_under_the_same_key_is_served(self, rig):
        client = rig.client()
        client.call(op="save", call=CALL_ID, dedupe="key-1")
        until_runs(rig, 1)
        rig.scorers[0].answer(runs_of(rig)[0])
        client.call(op="save", call="00c0ffee00c0ffef", dedupe="key-1")
        rig.until(lambda: runs_of(rig, "00c0ffee00c0ffef"), "the scorer receives the retry")

    @pytest.mark.parametrize("end", ["open", "answered", "client closed", "withdrawn"])
    def test_what_must_not_run_twice_does_not(self, rig, end):
        client = rig.client()
        client.call(op="settle", call=CALL_ID)
        until_runs(rig, 1)
        if end == "answered":
            rig.scorers[0].answer(runs_of(rig)[0])
            rig.until(lambda: client.answers, "it is served")
        elif end == "client closed":
            client.sock.close()
            rig.clients.remove(client)
            rig.until(lambda: not rig.front.requests.open, "its end is noticed")
        elif end == "withdrawn":
            client.withdraw(1)
            rig.until(lambda: not rig.front.requests.open, "it is withdrawn")
        other = rig.client()
        other.call(op="settle", call=CALL_ID)
        rig.until(lambda: other.answers, "the repeat is answered")
        assert other.kinds() == {1: "broken"}
        rig.settle(other)
        assert len(runs_of(rig)) == 1


class TestBounds:
    def test_entries_are_bounded_under_ever_new_ids(self):
        ids = RecentIds(100, 1_000.0)
        for number in range(10_000):
            ids.put(number, True, 0.0)
            assert len(ids) <= 100
        assert ids.get(9_999, 0.0)
        assert ids.get(9_950, 0.0)
        assert ids.get(9_000, 0.0) is None

    def test_entries_are_forgotten_in_time(self):
        ids = RecentIds(100, 1_000.0)
        ids.put(1, True, 10_000.0)
        assert ids.get(1, 10_500.0)
        ids.put(2, True, 10_900.0)
        assert ids.get(1, 10_900.0)
        assert ids.get(1, 11_500.0) is None
        assert ids.get(2, 12_500.0) is None
        assert len(ids) == 0

    def test_contents_and_runs_keep_to_their_bound(self):
        contents, runs = RequestContents(), RunIds()
        for number in range(30_000):
            request_id = number.to_bytes(8, "big")
            assert contents.accept(request_id, number, 1_000.0)
            assert runs.begin(request_id, 1_000.0)
        assert max(len(contents.known), len(runs.known)) <= 8_192
        assert not contents.accept(request_id, 5, 1_000.0)
        assert not runs.begin(request_id, 1_000.0)
        runs.never_ran(request_id)
        assert runs.begin(request_id, 1_000.0)

    def test_each_part_of_a_content_counts(self):
        parts = ["view", "acme", ROW, "key", b"body"]
        digests = {content_digest(*parts)}
        for place, part in enumerate(parts):
            other = [*parts]
            other[place] = part + part
            digests.add(content_digest(*other))
        assert len(digests) == len(parts) + 1

    def test_what_is_known_goes_over_to_another_process(self):
        contents, runs = RequestContents(), RunIds()
        request_id = bytes.fromhex(CALL_ID)
        contents.accept(request_id, 7, 1_000.0)
        runs.begin(request_id, 1_000.0)
        later, later_runs = RequestContents(), RunIds()
        later.restore(contents.encode() + b"cut", 5_000.0)
        later_runs.restore(runs.encode() + b"cut", 5_000.0)
        assert later.accept(request_id, 7, 5_000.0)
        assert not later.accept(request_id, 8, 5_000.0)
        assert not later_runs.begin(request_id, 5_000.0)
