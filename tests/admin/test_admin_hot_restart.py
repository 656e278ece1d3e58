"""Hot restart with real processes of one front end, and failures of either process during the hand-off."""

import contextlib
import os
import signal
import socket
import time
import unittest
from pathlib import Path

from peers import ready
from processes import OUGHT_S, Case, unsent_of

from fawnwharf.admin import handoff_channel
from fawnwharf.admin import handoff_messages as messages
from fawnwharf.admin.handoff_request import request_handoff
from fawnwharf.admin.predecessor_handoff import HAND_OFF_BUSY_AFTER_MS

LATEST_ANSWER_S = 0.8 + 0.5  # an answer counts until half a second after a call's time


def has_connected(pid):
    """Whether a process has a connected Unix socket of type SOCK_SEQPACKET."""
    links = set()
    for link in Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):  # closed meanwhile
            links.add(os.readlink(link))
    rows = [row.split() for row in Path("/proc/net/unix").read_text().splitlines()[1:]]
    return any(f"socket:[{row[6]}]" in links for row in rows if (row[4], row[5]) == ("0005", "03"))


class Upgrade(Case):
    def test_clients_of_every_kind_survive_a_hot_restart_under_load(self):
        site = self.site(3, delay_s=0.05)
        old = site.start()
        first = site.served()
        kept = [first, site.caller(op="save"), site.caller(op="settle")]
        busy, trickling, splitting, slow = (
            site.caller(),
            site.caller(),
            site.caller(),
            site.caller(small=True),
        )
        slow.ask(b"big:200000:")
        slow.reads = False
        unsent_trickle, rest_and_time, fresh = bytearray(), [b"", 0.0], []

        def load():
            for caller in kept:
                if not caller.open:
                    caller.ask()
            while busy.open < 4:
                busy.ask()
            if (
                not unsent_trickle and trickling.open < 16
            ):  # on a fast machine more calls would be open than allowed
                unsent_trickle.extend(trickling.frame())
            trickling.sock.send(unsent_trickle[:24])
            del unsent_trickle[:24]
            if (
                time.monotonic() - rest_and_time[1] > 0.4
            ):  # sends the rest of one message and half of the next
                frame = splitting.frame()
                splitting.outbox += rest_and_time[0] + frame[:40]
                rest_and_time[:] = frame[40:], time.monotonic()
            if not fresh or not fresh[0].open:
                if fresh:
                    site.drop(fresh.pop())
                fresh.append(site.caller())
                fresh[0].ask()

        site.habits.append(load)
        site.until(lambda: unsent_of(site.listen.address, slow) > 0, "a part of the long answer is unsent")
        new = site.begin()
        site.until_ready(new)
        assert unsent_of(site.listen.address, slow) < 150000
        assert busy.open > 0
        assert site.end(old) < OUGHT_S
        before = {caller: len(caller.seen) for caller in (*kept, busy, trickling, splitting)}
        site.until(
            lambda: all(len(client.seen) > n + 3 for client, n in before.items()),
            "the new process has answered all clients",
        )
        site.habits.clear()
        splitting.outbox += rest_and_time[0]
        trickling.outbox += unsent_trickle
        slow.reads = True
        self.settled(site)
        assert len(site.gone) > 10
        assert [kind for caller in kept for _, kind, _ in caller.answers if kind != "answer"] == []

    def test_requests_behind_a_long_one_are_served_by_the_new_process(self):
        """Guards against requests that no process read until the call before them had ended."""
        site = self.site(delay_s=3.0)
        old = site.start()
        kept = site.caller()
        kept.ask()
        site.until(lambda: any(scorer.due for scorer in site.scorers), "the long call runs")
        for scorer in site.scorers:
            scorer.delay_s = 0.02
        site.start()
        old.signal(signal.SIGTERM)
        told = time.monotonic()
        site.until(
            lambda: time.monotonic() - told > HAND_OFF_BUSY_AFTER_MS / 1e3 + 0.1,
            "connections that are not idle are handed off",
        )
        asked = time.monotonic()
        kept.ask(ttl="800")
        site.until(lambda: kept.open == 1, "the short call is answered")
        assert time.monotonic() - asked < LATEST_ANSWER_S
        site.until(lambda: not kept.open, "the long call is answered")
        assert [kind for _, kind, _ in kept.answers] == ["answer", "answer"]
        assert site.end(old) < OUGHT_S
        self.settled(site)


class SuccessorKilled(Case):
    """The predecessor continues to serve if its successor is lost, at whatever step."""

    def connected_successor(self, site):
        """A successor, whose side the test plays, that has received the state."""
        found = request_handoff(site.place, site.listen.address)
        assert found is not None, "the old process answers"
        for sock in (found.predecessor_socket, found.listener):
            self.addCleanup(sock.close)
        return found.predecessor_socket, found.encoded_learned_state, found.listener

    def send_partial_messages(self, site, count, size=40_000):
        """Clients that have sent all but the end of a long message each; returns the end by client."""
        rest = {}
        for _ in range(count):
            caller = site.caller()
            frame = caller.frame(extra="x" * size)
            caller.outbox += frame[:-9]
            rest[caller] = frame[-9:]
        site.until(lambda: not any(caller.outbox for caller in rest), "the first parts are sent")
        return rest

    def test_killed_while_it_connects(self):
        site = self.site()
        old = site.start()
        kept = site.served()
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            with site.place.socket_address() as address:
                sock.connect(address)
            site.served(kept)
        # The old process answers nothing, so that the new one can't become ready.
        old.child.send_signal(signal.SIGSTOP)
        new = site.begin()
        site.until(lambda: has_connected(new.child.pid), "the new process has connected")
        new.kill()
        old.child.send_signal(signal.SIGCONT)
        site.until_logged(old, "hot restart: another process requests")
        site.served(kept)
        site.served()
        self.settled(site)
        new = site.start()  # a later successor takes over as usual
        assert site.end(old) < OUGHT_S
        assert "hot restart: taking over" in new.log
        site.served(kept)
        self.settled(site)

    def test_killed_after_the_state_was_sent_and_before_it_is_ready(self):
        site = self.site()
        site.start()
        kept = site.served()
        sock, learned, listener = self.connected_successor(site)
        assert learned
        site.served(kept)
        site.served()  # the old process still accepts
        sock.close()
        listener.close()
        site.served(kept)
        site.served()
        self.settled(site)

    def test_killed_with_half_of_the_connections_handed_off(self):
        site = self.site()
        old = site.start()
        site.served()
        site.drop(site.callers[0])
        rest = self.send_partial_messages(site, 24)
        sock, _, listener = self.connected_successor(site)
        handoff_channel.send(sock, messages.encode(messages.SuccessorReady()), None)
        site.until_logged(old, "hot restart: handing off to the new process")
        sock.setblocking(True)
        sock.settimeout(10.0)
        handed_off = [handoff_channel.receive(sock) for _ in range(2)]
        for message, carried in handed_off:
            assert isinstance(message, messages.ConnectionHandoff)
            carried.close()
        waiting = site.caller()  # stays in the listener's queue, as no process accepts
        waiting.ask()
        sock.close()
        listener.close()
        site.until_logged(old, "accepting again")
        site.until(lambda: not waiting.open, "the call from the listener's queue is answered")
        site.served()
        for caller, data in rest.items():
            caller.outbox += data
        site.until(
            lambda: all(client.ended or not client.open for client in rest),
            "the connections that were not sent are served",
        )
        lost = [caller for caller in rest if caller.ended]
        assert 2 <= len(lost) < 16, len(lost)  # connections in transit are lost with the successor
        for caller in lost:
            site.callers.remove(caller)
        self.settled(site)
        new = site.start()
        assert site.end(old) < OUGHT_S
        site.served()
        assert "hot restart: taking over" in new.log
        self.settled(site)

    def test_a_real_process_killed_as_soon_as_it_is_ready(self):
        site = self.site(delay_s=0.3)
        old = site.start()
        busy = self.busy(site)
        new = site.begin()
        site.until_logged(old, "hot restart: handing off to the new process")
        new.kill()
        site.until_logged(old, "accepting again")
        site.served()
        before = len(busy.seen)
        site.until(lambda: len(busy.seen) > before + 4, "the busy client gets further answers")
        site.habits.clear()
        self.settled(site)

    def test_unwritten_bytes_are_taken_back_completely(self):
        site = self.site()
        old = site.start()
        site.served()
        site.drop(site.callers[0])
        slow = [site.caller(small=True) for _ in range(3)]
        for caller in slow:
            caller.ask(b"big:250000:")
            caller.reads = False
        has_unsent = lambda: all(unsent_of(site.listen.address, caller) > 0 for caller in slow)  # noqa: E731
        site.until(has_unsent, "parts of the long answers are unsent")
        sock, _, listener = self.connected_successor(site)
        handoff_channel.send(sock, messages.encode(messages.SuccessorReady()), None)
        site.until_logged(old, "hot restart: handing off to the new process")
        old.signal(signal.SIGTERM)
        site.until(lambda: ready(sock, 0.0), "the hand-off of connections has begun")
        sock.close()
        listener.close()
        site.until_logged(old, "accepting again")
        for caller in slow:
            caller.reads = True
        site.until(
            lambda: all(client.ended or not client.open for client in slow),
            "the remaining connections have their whole answers",
        )
        remaining = [caller for caller in slow if not caller.ended or not caller.open]
        assert len(remaining) >= 2  # one was in transit; no answer is torn
        assert [text for caller in remaining for text in caller.faults] == []
        site.until(lambda: old.ended, "the old process has ended")
        assert old.child.returncode == 0


class PredecessorKilled(Case):
    def test_killed_in_the_middle_of_the_hand_off(self):
        site = self.site(delay_s=0.2)
        old = site.start()
        busy, kept = self.busy(site), site.served()
        new = site.begin()
        site.until_logged(old, "hot restart: handing off to the new process")
        old.kill()
        site.served()
        site.until_ready(new)
        site.until(
            lambda: busy.ended, "the connection of the busy client, which the old process had, has ended"
        )
        site.callers.remove(busy)
        site.served(kept)
        if kept.ended:  # handed off or not, depending on the moment
            site.callers.remove(kept)
        self.settled(site)

    def start_after_test_predecessor(self, site, send_messages):
        """Start a process whose predecessor the test plays; `say` sends the predecessor's messages."""
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.addCleanup(listener.close)
        with site.place.socket_address() as address:
            listener.bind(address)
        listener.listen(4)
        listener.settimeout(30.0)
        new = site.begin()
        sock, _ = listener.accept()
        sock.settimeout(30.0)
        assert handoff_channel.receive(sock)[0] == messages.Hello(messages.VERSION, site.listen.address)
        send_messages(sock)
        sock.close()
        return new

    def test_predecessor_lost_at_each_step(self):
        for name, send_messages in (
            ("before any message", lambda _sock: None),
            (
                "within the learned state",
                lambda sock: handoff_channel.send(sock, messages.encode(messages.Chunk(b"x" * 99)), None),
            ),
            ("no message", lambda sock: sock.send(b"\xc1")),
            ("after the listener", self.send_listener),
        ):
            with self.subTest(name):
                site = self.site()
                self.site_of_step = site
                new = self.start_after_test_predecessor(site, send_messages)
                site.until_ready(new)
                site.served()
                self.settled(site)

    def send_listener(self, sock):
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(self.site_of_step.listen.address)
            listener.listen(16)
            handoff_channel.send(sock, messages.encode(messages.Chunk(b"torn")), None)
            handoff_channel.send(sock, messages.encode(messages.ListenerHandoff()), listener)


if __name__ == "__main__":
    unittest.main()
