"""Incomplete messages past their share of memory: sound clients keep their requests, idle ones are closed."""

import pytest
from peers import Rig, ScorerPeer, handle_frame
from support.client_cases import CALL, call_frame, wait

from fawnwharf.net.client_timeouts import PARTIAL_MESSAGE_MS

SHARE_BYTES = 20_000
HALF_BYTES = 15_000  # two of them are past the share


@pytest.fixture
def rig():
    made = Rig(ScorerPeer(copies=16))
    made.front.client_port.partial_messages.max_bytes = SHARE_BYTES
    yield made
    assert not [line for line in made.lines if "fault in" in line]
    made.close()


def large(seqid, number):
    return handle_frame(seqid, CALL | {"call": f"{number:016x}"}, b"x" * 16_000)


def half_written(rig, number):
    client = rig.client()
    client.sock.sendall(large(1, number)[:HALF_BYTES])
    rig.until(lambda: any(c.has_partial_message for c in rig.front.client_port.clients), "it is read")
    return client


def answer_everything(rig, client, count):
    answered = []

    def done():
        for run in rig.scorers[0].runs[len(answered) :]:
            answered.append(run)
            rig.scorers[0].answer(run)
        return len(client.answers) >= count

    rig.until(done, "all are answered")


def test_a_client_with_an_open_request_keeps_it_and_its_incomplete_one(rig):
    client = rig.client()
    second = large(2, 2)
    client.sock.sendall(call_frame(1) + second[:HALF_BYTES])
    rig.until(lambda: rig.scorers[0].runs, "the first one is forwarded")
    half_written(rig, 3)
    wait(rig, 2 * PARTIAL_MESSAGE_MS)
    assert client.answers == []
    client.sock.sendall(second[HALF_BYTES:])
    answer_everything(rig, client, 2)
    assert client.kinds() == {1: "answer", 2: "answer"}


def test_a_request_whose_rest_has_arrived_is_served(rig):
    client = half_written(rig, 1)
    [server_side] = rig.front.client_port.clients
    server_side.connection.used_ms -= 2 * PARTIAL_MESSAGE_MS  # it is the most idle one
    client.sock.sendall(large(1, 1)[HALF_BYTES:])  # unread as the others go past the share
    for number in (2, 3):
        half_written(rig, number)
    answer_everything(rig, client, 1)
    assert client.kinds() == {1: "answer"}


def test_clients_that_go_on_writing_are_served(rig):
    clients = [rig.client() for _ in range(4)]
    frames = [large(1, number + 1) for number in range(4)]
    for start in range(0, len(frames[0]), 4_000):
        for client, frame in zip(clients, frames, strict=True):
            client.sock.sendall(frame[start : start + 4_000])
        wait(rig, PARTIAL_MESSAGE_MS / 4)
    for client in clients:
        answer_everything(rig, client, 1)
        assert client.kinds() == {1: "answer"}


def test_the_most_idle_ones_are_closed_until_the_rest_keeps_to_the_share(rig):
    clients = [half_written(rig, number + 1) for number in range(3)]
    rig.until(lambda: clients[0].ended and clients[1].ended, "the most idle ones end")
    rig.settle(rig.client())
    assert not clients[2].ended
    assert rig.front.client_port.partial_messages.total_bytes <= SHARE_BYTES
    assert any("incomplete message" in line for line in rig.lines)
