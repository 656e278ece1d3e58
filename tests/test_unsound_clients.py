"""Clients that break one clause each, at full speed, beside usual ones, at a real process and its successor.

Each gets a refusal, an error or a close in time, none is served, and the usual clients get their answers.
"""

import contextlib
import socket
import time

import pytest
from processes import Site
from support.unsound_clients import KINDS, UnsoundClient, hundreds

RUN_S = 1.0
LATEST_S = 0.6  # of an answer to a usual client
FAST_KINDS = [kind for kind in KINDS if kind not in ("silence", "an endless message")]


class UsualClients:
    """Keeps a few calls open, and notes how long each took."""

    def __init__(self, site, count=3):
        self.site = site
        self.callers = [site.served() for _ in range(count)]
        self.sent_s = {}
        self.took_s = []

    def pump(self):
        now_s = time.monotonic()
        for caller in self.callers:
            if caller.open:
                continue
            if caller in self.sent_s:
                self.took_s.append(now_s - self.sent_s[caller])
            self.sent_s[caller] = now_s
            caller.ask(ttl="3000")


def play(site, kinds, run_s=RUN_S, between=None):
    """Run a client of each kind beside usual ones; returns the clients and the usual ones."""
    usual = UsualClients(site)
    clients = [UnsoundClient(site.listen.address, kind) for kind in kinds]
    site.habits += [usual.pump, *(client.pump for client in clients)]
    began_s = time.monotonic()
    if between is not None:
        between()
    site.until(lambda: time.monotonic() > began_s + run_s, "the run ends")
    del site.habits[:]
    for client in clients:
        client.close()
    return clients, usual


def check(site, clients, usual):
    assert [fault for client in clients for fault in client.faults] == []
    assert all(client.rounds > 0 for client in clients)
    assert site.verdict() == []
    assert max(usual.took_s) < LATEST_S
    assert len(usual.took_s) > 3
    for process in site.processes:
        assert "fault in" not in process.log


@pytest.fixture
def site():
    made = Site(scorers=3)
    yield made
    made.close()


@pytest.mark.parametrize("kind", FAST_KINDS)
def test_one_kind_alone_beside_usual_clients(site, kind):
    process = site.begin()
    site.until_ready(process)
    check(site, *play(site, [kind]))


def test_all_kinds_together_beside_usual_clients(site):
    process = site.begin()
    site.until_ready(process)
    check(site, *play(site, list(KINDS), run_s=4.0))


def test_all_kinds_across_a_replacement(site):
    old = site.begin()
    site.until_ready(old)

    def replace():
        new = site.begin()
        site.until_ready(new)
        site.end(old)

    check(site, *play(site, FAST_KINDS, run_s=3.0, between=replace))


def test_unsound_clients_that_never_close_leave_places_for_new_connections():
    site = Site(scorers=2, limits={"memory_mb": 96, "sockets": 256})
    unsound, took_s = [], []
    try:
        process = site.begin()
        site.until_ready(process)
        site.habits.append(lambda: unsound.extend(_offenders(site, 4)))
        began_s = time.monotonic()
        while time.monotonic() < began_s + 3.0:
            sent_s = time.monotonic()
            caller = site.caller()
            caller.ask(ttl="3000")
            site.until(lambda caller=caller: not caller.open or caller.ended, "it is answered")
            took_s.append(time.monotonic() - sent_s)
            assert caller.verdict() == []
            site.drop(caller)
        assert len(took_s) > 10
        assert max(took_s) < 1.0
    finally:
        for sock in unsound:
            sock.close()
        site.close()


def _offenders(site, count):
    """Up to `count` connections that send hundreds of requests at once, and stay."""
    for _ in range(count):
        with contextlib.suppress(OSError):
            sock = socket.create_connection(site.listen.address, timeout=0.05)
            sock.setblocking(False)
            yield sock
            sock.send(hundreds(60))


def test_ever_new_names_take_no_memory_without_end(site):
    process = site.begin()
    site.until_ready(process)
    usual = UsualClients(site)
    flood = [site.caller(op=op) for op in ("view", "save", "settle") for _ in range(4)]
    names = iter(range(1 << 40))

    def send():
        for caller in flood:
            while caller.open < 16 and not caller.ended:
                caller.ask(row=f"{next(names):016x}", ttl="3000")

    site.habits += [usual.pump, send]
    resident_mb = []
    for _ in range(6):
        until_s = time.monotonic() + 1.0
        site.until(lambda until_s=until_s: time.monotonic() > until_s, "a second passes")
        resident_mb.append(_resident_mb(process))
    del site.habits[:]
    sent = next(names)
    assert site.verdict() == []
    assert sent > 500
    assert resident_mb[-1] < 64.0
    assert max(usual.took_s) < LATEST_S


def _resident_mb(process):
    with open(f"/proc/{process.child.pid}/status") as status:
        line = next(line for line in status if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024.0
