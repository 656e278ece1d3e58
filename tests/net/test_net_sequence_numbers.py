"""Sequence numbers start at 1 and count up: a request whose number does not is never served."""

import pytest
from peers import Rig, ScorerPeer
from support.client_cases import call_frame, withdrawal

from fawnwharf.net import thrift

LAST_ID = [0]


@pytest.fixture
def rig():
    made = Rig(ScorerPeer(copies=16))
    yield made
    assert not [line for line in made.lines if "fault in" in line]
    made.close()


def request(seqid, **fields):
    """A request under an id of its own."""
    LAST_ID[0] += 1
    return call_frame(seqid, call=f"{LAST_ID[0]:016x}", **fields)


def served(rig, client, seqid):
    client.sock.sendall(request(seqid))
    [scorer] = rig.scorers
    call = f"{LAST_ID[0]:016x}"
    rig.until(lambda: any(run[1].id.hex() == call for run in scorer.runs), "the scorer receives the request")
    scorer.answer(next(run for run in scorer.runs if run[1].id.hex() == call))
    rig.until(lambda: client.kinds().get(seqid) == "answer", "the request is served")


class TestSoundNumbers:
    @pytest.mark.parametrize("numbers", [(1, 2, 3), (1, 5, 1_000, 2**31 - 1), (7, 8)])
    def test_numbers_that_count_up_are_served_also_with_gaps(self, rig, numbers):
        client = rig.client()
        for seqid in numbers:
            served(rig, client, seqid)
        assert not client.ended

    def test_numbers_go_on_through_status_calls_and_withdrawals(self, rig):
        client = rig.client()
        client.status(1)
        served(rig, client, 2)
        client.sock.sendall(request(3) + withdrawal(3, 4))
        client.status(5)
        served(rig, client, 6)
        assert not client.ended

    @pytest.mark.parametrize("own_number", [0, 1, 99])
    def test_a_withdrawal_may_have_the_number_of_its_request_or_another_one(self, rig, own_number):
        client = rig.client()
        client.sock.sendall(request(1) + withdrawal(1, own_number))
        served(rig, client, 2)
        assert client.kinds() == {2: "answer"}
        assert not client.ended


class TestUnsoundNumbers:
    @pytest.mark.parametrize("seqid", [0, -1, -(2**31)])
    def test_a_number_below_1_gets_an_exception(self, rig, seqid):
        client = rig.client()
        client.sock.sendall(request(seqid) + request(seqid))
        rig.until(lambda: len(client.answers) == 2, "both are answered")
        assert client.kinds() == {seqid: "exception"}
        assert not rig.front.requests.open

    @pytest.mark.parametrize("again", [5, 4, 1])
    def test_a_number_that_does_not_count_up_after_an_answer_ends_the_connection(self, rig, again):
        client = rig.client()
        served(rig, client, 5)
        client.sock.sendall(request(6) + request(again))
        rig.until(lambda: client.ended, "the connection ends")
        assert client.kinds() == {5: "answer", 6: "broken"}
        assert len(client.answers) == 2

    def test_a_number_that_is_used_again_after_an_error_ends_the_connection(self, rig):
        client = rig.client()
        client.sock.sendall(request(1, op="unheard"))
        rig.until(lambda: client.kinds() == {1: "exception"}, "it is refused")
        client.sock.sendall(request(1))
        rig.until(lambda: client.ended, "the connection ends")
        assert len(client.answers) == 1

    def test_an_unreadable_request_uses_its_number(self, rig):
        client = rig.client()
        client.sock.sendall(thrift._frame(thrift.CALL, b"handle", 3, b"\0"))
        rig.until(lambda: client.kinds() == {3: "exception"}, "it is refused")
        client.sock.sendall(request(3))
        rig.until(lambda: client.ended, "the connection ends")
        assert len(client.answers) == 1

    def test_a_number_that_is_used_again_after_a_withdrawal_ends_the_connection(self, rig):
        client = rig.client()
        client.sock.sendall(request(1) + withdrawal(1, 2) + request(1))
        rig.until(lambda: client.ended, "the connection ends")
        assert client.answers == []
        assert not rig.front.requests.open
