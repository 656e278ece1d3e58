"""The limit of open requests, counted as the client does: what is sent past it is never served."""

import pytest
from peers import Rig, ScorerPeer, handle_frame
from support.client_cases import CALL, call_frame, wait, withdrawal

from fawnwharf.net.open_request_limit import MAX_OPEN_REQUESTS, OpenRequestLimit

FOREVER_MS = 1e9
OWN_NUMBER = 99


@pytest.fixture
def rig():
    made = Rig(ScorerPeer(copies=64))
    yield made
    assert not [line for line in made.lines if "fault in" in line]
    made.close()


def opened(rig, count=MAX_OPEN_REQUESTS):
    """A client with so many requests open, which their scorer has received."""
    client = rig.client()
    client.sock.sendall(b"".join(call_frame(seqid) for seqid in range(1, count + 1)))
    rig.until(lambda: len(rig.scorers[0].runs) == count, "the scorer receives the calls")
    return client


def answer_all(rig, client, count):
    """Answer each run as it comes until the client has so many answers."""
    [scorer] = rig.scorers
    answered = []

    def done():
        for run in scorer.runs[len(answered) :]:
            answered.append(run)
            scorer.answer(run)
        return len(client.answers) >= count

    rig.until(done, "all calls are answered")


class TestSoundClients:
    def test_32_at_once_are_served(self, rig):
        client = opened(rig)
        answer_all(rig, client, MAX_OPEN_REQUESTS)
        assert set(client.kinds().values()) == {"answer"}

    def test_32_of_the_largest_at_once_are_served(self, rig):
        client = rig.client()
        frames = [
            handle_frame(seqid, CALL | {"call": f"{seqid:016x}"}, b"x" * 16 * 1024)
            for seqid in range(1, MAX_OPEN_REQUESTS + 1)
        ]
        outbox = bytearray(b"".join(frames))
        while outbox:
            del outbox[: client.sock.send(outbox)]
            rig.front.loop.run_iteration(0.0)
        answer_all(rig, client, MAX_OPEN_REQUESTS)
        assert set(client.kinds().values()) == {"answer"}

    def test_32_are_always_open_and_the_next_is_sent_as_an_answer_is_read(self, rig):
        client = opened(rig)
        [scorer] = rig.scorers
        answered, sent = 0, MAX_OPEN_REQUESTS
        while sent < 400:
            scorer.answer(scorer.runs[answered])
            answered += 1
            rig.until(lambda answered=answered: len(client.answers) == answered, "an answer is read")
            sent += 1
            client.call(seqid=sent)
            rig.until(lambda sent=sent: len(scorer.runs) == sent, "the next call is forwarded")
        assert set(client.kinds().values()) == {"answer"}
        assert not client.ended

    @pytest.mark.parametrize("own_number", [OWN_NUMBER, 7], ids=["own number", "the request's number"])
    def test_one_more_is_served_as_soon_as_one_is_withdrawn_in_the_same_write(self, rig, own_number):
        client = opened(rig)
        client.sock.sendall(withdrawal(7, own_number) + call_frame(100))
        answer_all(rig, client, MAX_OPEN_REQUESTS)
        kinds = client.kinds()
        assert kinds[100] == "answer"
        assert set(kinds.values()) == {"answer"}
        assert not client.ended

    def test_one_more_does_not_end_the_connection_when_the_time_of_another_has_nearly_passed(self, rig):
        client = opened(rig, MAX_OPEN_REQUESTS - 1)
        client.call(seqid=50, ttl="150")
        rig.until(lambda: len(rig.scorers[0].runs) == MAX_OPEN_REQUESTS, "the scorer receives it")
        wait(rig, 100)
        client.call(seqid=51)
        rig.settle(client)
        assert not client.ended


class TestUnsoundClients:
    def test_the_33rd_of_a_burst_ends_the_connection_and_each_is_answered_as_failed(self, rig):
        client = rig.client()
        client.sock.sendall(b"".join(call_frame(seqid) for seqid in range(1, MAX_OPEN_REQUESTS + 2)))
        rig.until(lambda: client.ended, "the connection ends")
        assert client.kinds() == dict.fromkeys(range(1, MAX_OPEN_REQUESTS + 2), "broken")
        assert len(client.answers) == MAX_OPEN_REQUESTS + 1

    def test_an_answer_frees_no_place_for_a_request_that_lay_unread_as_it_was_written(self, rig):
        client = opened(rig)
        run = rig.scorers[0].runs[0]
        rig.scorers[0].answer(run)
        [connection] = [each.connection for each in rig.front.client_port.clients]
        write = connection.before_write

        def send_one_more_then_write():
            connection.before_write = write
            client.call(seqid=100)  # it arrives before the answer is written, and is read after that
            write()

        connection.before_write = send_one_more_then_write
        rig.until(lambda: client.ended, "the connection ends")
        assert client.kinds()[int.from_bytes(run[1].id, "big")] == "answer"
        assert client.kinds()[100] == "broken"

    def test_others_are_served_beside_it(self, rig):
        other = rig.client()
        other.call(seqid=500)
        rig.until(lambda: rig.scorers[0].runs, "the scorer receives the call")
        client = rig.client()
        client.sock.sendall(b"".join(call_frame(seqid) for seqid in range(1, 300)))
        rig.until(lambda: client.ended, "the connection ends")
        rig.scorers[0].answer(rig.scorers[0].runs[0])
        rig.until(lambda: other.answers, "the other client is answered")
        assert other.kinds() == {500: "answer"}


class TestOpenRequestLimit:
    def full(self):
        limit = OpenRequestLimit()
        for seqid in range(MAX_OPEN_REQUESTS):
            limit.opened(seqid, FOREVER_MS)
        return limit

    def test_it_is_exceeded_while_32_are_open(self):
        limit = self.full()
        assert limit.is_exceeded(1, 0.0)
        limit.withdrawn(5)
        assert not limit.is_exceeded(1, 0.0)

    def test_an_answer_frees_a_place_for_what_was_sent_after_it_was_written(self):
        limit = self.full()
        limit.answered(5)
        assert limit.is_exceeded(1_000, 0.0)
        limit.writing(1_000)
        assert limit.is_exceeded(1_000, 0.0)
        assert not limit.is_exceeded(1_001, 0.0)

    def test_requests_whose_clients_no_longer_wait_are_not_counted(self):
        limit = OpenRequestLimit()
        for seqid in range(MAX_OPEN_REQUESTS):
            limit.opened(seqid, 1_000.0)
        assert limit.is_exceeded(1, 899.0)
        assert not limit.is_exceeded(1, 901.0)
