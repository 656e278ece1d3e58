"""Crowds of clients at a real process with little memory: it stays within its limit and serves others."""

import socket
import struct
import time

import pytest
from peers import handle_frame
from processes import Site
from support.unsound_clients import fields_of, many_short_fields

from fawnwharf.net.memory_shares import MAX_BYTES, MEGABYTE, MIN_BYTES, memory_shares

MEMORY_MB = 32
SOCKETS = 1024
CLIENTS = 400
CALLS = 32
RUN_S = 3.0
GROWTH_MB = 8.0
LONG_ANSWERS = 12


def half_a_large_request(_number):
    return struct.pack(">I", 47_000) + b"x" * 46_000


def half_a_head_of_many_short_fields(_number):
    return many_short_fields()[:-1]


def as_many_large_requests_as_allowed(number):
    frames = [handle_frame(n, fields_of(CALLS * number + n), b"x" * 16_384) for n in range(1, CALLS + 1)]
    return b"".join(frames)


@pytest.mark.parametrize(
    "payload", [half_a_large_request, half_a_head_of_many_short_fields, as_many_large_requests_as_allowed]
)
def test_a_crowd_does_not_take_more_memory_than_there_is(payload):
    site = Site(scorers=2, limits={"memory_mb": MEMORY_MB, "sockets": SOCKETS})
    crowd = []
    try:
        process = site.begin()
        site.until_ready(process)
        usual = site.served()
        before_mb = _memory_mb(process, "VmRSS")
        for scorer in site.scorers:
            scorer.delay_s = RUN_S  # so that requests stay open
        site.habits.append(lambda: _write(crowd))
        began_s = time.monotonic()
        while time.monotonic() < began_s + RUN_S:
            if len(crowd) < CLIENTS:
                crowd += [_connect(site, payload(len(crowd) + more)) for more in range(10)]
            site.turn()
        assert _memory_mb(process, "VmHWM") - before_mb < GROWTH_MB
        for scorer in site.scorers:
            scorer.delay_s = 0.02
        assert not process.ended
        del site.habits[:]
        for sock, _ in crowd:
            sock.close()
        assert site.served(usual).verdict() == []
        assert "fault in" not in process.log
    finally:
        for sock, _ in crowd:
            sock.close()
        site.close()


def test_slow_readers_of_long_answers_are_served_with_little_memory():
    site = Site(scorers=2, limits={"memory_mb": MEMORY_MB, "sockets": SOCKETS})
    try:
        process = site.begin()
        site.until_ready(process)
        readers = [site.caller(small=True) for _ in range(LONG_ANSWERS)]
        for reader in readers:
            reader.reads = False
            reader.ask(before=b"big:229000:")
        answered_s = time.monotonic() + 1.0
        site.until(lambda: time.monotonic() > answered_s, "all answers are on their way")
        for reader in readers:
            reader.reads = True
        assert site.verdict() == []
    finally:
        site.close()


def test_shares_follow_the_limit_and_leave_small_processes_something():
    small, usual, large = memory_shares(32), memory_shares(96), memory_shares(192)
    for shares in (small, usual, large):
        assert min(shares.body_bytes, shares.unsent_bytes, shares.partial_bytes) >= MIN_BYTES
    total = usual.body_bytes + usual.unsent_bytes + usual.partial_bytes
    assert total <= (96 - 32) * MEGABYTE
    assert large.body_bytes == large.unsent_bytes == large.partial_bytes == MAX_BYTES


def _connect(site, data):
    sock = socket.create_connection(site.listen.address)
    sock.setblocking(False)
    return sock, bytearray(data)


def _write(crowd):
    for sock, outbox in crowd:
        try:
            if outbox:
                del outbox[: sock.send(outbox)]
        except BlockingIOError:
            pass
        except OSError:
            outbox.clear()


def _memory_mb(process, name):
    with open(f"/proc/{process.child.pid}/status") as status:
        line = next(line for line in status if line.startswith(name))
    return int(line.split()[1]) / 1024.0
