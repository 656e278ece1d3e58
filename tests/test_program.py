"""The change log's roster, and the program as a process, with real sockets."""

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import msgspec
from peers import SETTINGS, ClientPeer, LogPeer, Rig, ScorerPeer, ready

from fawnwharf import interface as io
from fawnwharf.net import change_log, front_end

ROOT = Path(__file__).parent.parent


class Case(unittest.TestCase):
    def rig(self, *peers, **more):
        rig = Rig(*peers, **more)
        self.addCleanup(rig.close)
        return rig


class Roster(Case):
    def event(self, seq, *members, complete=False):
        return {"seq": seq, "fleet": {"complete": complete, "members": list(members)}}

    def test_repeated_and_outdated_events_are_ignored(self):
        rig = self.rig(ScorerPeer())
        with mock.patch.object(rig.front.change_log, "_deliver") as deliver:
            for seq in (2, 2, 1, 3):
                rig.log.say(self.event(seq))
            rig.until(lambda: rig.front.change_log.seq == 3, "the last event is delivered")
        self.assertEqual(deliver.call_count, 2)

    def test_a_silent_log_is_asked_again_from_where_it_stopped(self):
        rig = self.rig(ScorerPeer())
        rig.log.say(self.event(2))
        rig.until(lambda: rig.front.change_log.seq == 2, "an event is delivered")
        with mock.patch.object(change_log, "SILENCE_TIMEOUT_MS", -1.0):
            rig.until(lambda: len(rig.log.asked()) == 2, "the log is asked again")
        self.assertEqual(rig.log.asked(), [["since", "1"], ["since", "2"]])

    def test_events_that_went_missing_are_asked_for(self):
        for line in (b"4", b'{"seq":4,"fleet":{"members":[]}}'):
            rig = self.rig(ScorerPeer())
            rig.log.say(line)
            rig.until(lambda rig=rig: len(rig.log.asked()) == 2, "the log is asked again")
            self.assertEqual(rig.log.asked()[1], ["since", "1"])

    def test_a_bad_line_is_asked_for_again_and_then_skipped(self):
        bad = [b"{", b"\xff\xfe", b'"text"', b"[1]", b'{"seq":"x"}', b"true"]
        bad += [b'{"seq":2,"fleet":{"members":5}}', b'{"seq":99999999999,"fleet":{"members":[]}}']
        for line in bad:
            with self.subTest(line):
                scorer = ScorerPeer()
                rig = self.rig(scorer)
                rig.log.say(line)
                rig.until(lambda rig=rig: len(rig.log.asked()) == 2, "the log is asked again")
                rig.log.say(line)
                rig.log.say(self.event(3, scorer.member("terminating")))
                rig.until(lambda rig=rig: rig.front.change_log.seq == 3, "the next event is delivered")
                state = rig.front.scorer_pool.scorers[front_end.scorer_number(scorer.id)].state
                self.assertEqual(state, io.ScorerState.DRAINING)

    def test_a_bad_line_after_a_good_one_is_asked_for_again(self):
        rig = self.rig(ScorerPeer())
        for asked in (2, 3):
            rig.log.say(b"{")
            rig.until(lambda asked=asked: len(rig.log.asked()) == asked, "the log is asked again")
            rig.log.say(b"1")
            rig.until(
                lambda: rig.front.change_log._failed_position is None, "the log is read without errors again"
            )

    def test_a_move_leaves_one_connection_to_the_new_address_and_no_late_dial(self):
        for broken in (False, True):
            with self.subTest(broken=broken):
                rig, moved = self.rig(ScorerPeer()), LogPeer()
                self.addCleanup(moved.close)
                with mock.patch.object(change_log, "MIN_BACKOFF_MS", 30.0):
                    rig.log.say(self.event(2))
                    rig.until(lambda rig=rig: rig.front.change_log.seq == 2, "an event is delivered")
                    if broken:  # the next dial to the old address is scheduled already
                        rig.log.links[0].sock.close()
                        rig.log.links[0].ended = True
                        rig.until(
                            lambda rig=rig: rig.front.change_log._connection is None,
                            "the connection is closed",
                        )
                    rig.front.change_log.move(("127.0.0.1", int(moved.host_port.split(":")[1])))
                later = []
                rig.front.loop.timers.after(60.0, lambda later=later: later.append(1))
                rig.scorers.append(moved)
                rig.until(lambda later=later, moved=moved: later and moved.asked(), "the new log is asked")
                self.assertEqual((moved.asked(), len(moved.links)), ([["since", "2"]], 1))
                self.assertEqual([link.ended for link in rig.log.links], [True])

    def test_a_scorer_missing_in_a_complete_list_is_removed(self):
        old, new = ScorerPeer("s-1"), ScorerPeer("s-2")
        rig = self.rig(old)
        rig.log.say(self.event(2, new.member(), complete=True))
        rig.until(lambda: rig.front.change_log.seq == 2, "the list is delivered")
        self.assertEqual(list(rig.front.scorer_pool.scorers), [front_end.scorer_number("s-2")])


class Program(unittest.TestCase):
    def launch(self, config, *words):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name, "config.json")
        path.write_bytes(msgspec.json.encode(config))
        env = {**os.environ, "ROUTER_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
        env = {name: value for name, value in env.items() if name not in ("ROUTER_LISTEN", "ROUTER_NAME")}
        command = [sys.executable, "-m", "fawnwharf", *(words or ["serve"])]
        program = subprocess.Popen(command, env=env, cwd=ROOT, stdout=-1, stderr=-1, text=True)
        self.addCleanup(program.stderr.close)
        self.addCleanup(program.stdout.close)
        self.addCleanup(program.wait)
        self.addCleanup(program.kill)
        return program

    def config(self, *members, **more):
        self.log = LogPeer()
        self.addCleanup(self.log.close)
        event = {"seq": 1, "fleet": {"complete": True, "members": list(members)}}
        return {"listen": "127.0.0.1:0", "changelog": self.log.host_port, "settings": SETTINGS, "seed": "1",
                "known": {"seq": 1, "results": [event]}, **more}  # fmt: skip

    def test_sigterm_lets_late_arrivals_in_answers_all_and_exits_0(self):
        scorer = ScorerPeer()
        self.addCleanup(scorer.close)
        program = self.launch(self.config(scorer.member()))
        line = program.stderr.readline()
        host, port = line.rsplit(" ", 1)[1].strip().split(":")
        client = ClientPeer((host, int(port)))
        client.status()
        self.pump(client, lambda: client.answers, scorer)
        self.assertEqual(client.answers[0][1:], ("answer", {1: b"", 2: {}, 3: True}))
        client.call()
        self.pump(client, lambda: scorer.runs, scorer)
        program.send_signal(signal.SIGTERM)
        self.assertIn("shutting down", program.stderr.readline())
        late = ClientPeer((host, int(port)))
        late.call(call="ff" * 8)
        scorer.answer(scorer.runs[0], body=b"one")
        self.pump(late, lambda: len(scorer.runs) == 2, scorer)
        scorer.answer(scorer.runs[1], body=b"two")
        self.pump(late, lambda: late.answers, scorer)
        self.pump(client, lambda: 1 in client.kinds(), scorer)
        self.assertEqual((client.kinds()[1], late.kinds()), ("answer", {1: "answer"}))
        self.assertEqual(program.wait(20), 0)
        for peer in (client, late):
            peer.sock.close()

    def feed(self, path, config):
        """Write the configuration into the pipe from which the program reads it."""
        for _ in range(2000):
            try:
                pipe = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
                break
            except OSError:  # the program has not opened the pipe yet
                time.sleep(0.01)
        os.write(pipe, config if isinstance(config, bytes) else msgspec.json.encode(config))
        os.close(pipe)

    def test_sighup_even_at_the_start_moves_the_change_log_and_a_bad_file_changes_nothing(self):
        with tempfile.TemporaryDirectory() as folder:
            path, first = os.path.join(folder, "pipe"), self.config()
            second = self.config()
            os.mkfifo(path)
            program = self.launch(first, "serve", "--config", path)
            pipe = os.open(path, os.O_WRONLY)  # returns once the program reads its configuration
            program.send_signal(signal.SIGHUP)
            os.write(pipe, msgspec.json.encode(first))
            os.close(pipe)
            self.assertIn("serving", program.stderr.readline())
            self.feed(path, second)
            self.assertIn("configuration reloaded", program.stderr.readline())
            for bad, key in ((b"{", "JSON"), ({**first, "changelog": "x"}, "changelog"), ({}, "settings")):
                program.send_signal(signal.SIGHUP)
                self.feed(path, bad)
                line = program.stderr.readline()
                self.assertIn("not reloaded", line)
                self.assertIn(key, line)
            while not self.log.asked():
                self.log.pump()
            self.assertEqual(self.log.asked(), [["since", "1"]])
            program.send_signal(signal.SIGTERM)
            self.assertEqual(program.wait(20), 0)

    def pump(self, client, condition, *others):
        for _ in range(4000):
            for peer in (client, *others):
                peer.pump()
            if condition():
                return
            ready(client.sock, 0.005)
        self.fail("the condition was not met in time")

    def test_the_other_commands(self):
        cases = [
            (["version"], 0, "fawnwharf 0.6.0"),
            (["check-config"], 0, "classes: view, save, settle"),
            (["unheard-of"], 2, "unheard-of"),
            (["serve", "--config", "/nonexistent"], 2, "ROUTER_CONFIG"),
        ]
        for words, status, text in cases:
            with self.subTest(words):
                program = self.launch(self.config(), *words)
                out, errors = program.communicate(timeout=20)
                self.assertEqual(program.returncode, status, errors)
                self.assertIn(text, out + errors)

    def test_an_address_in_use_is_reported(self):
        with socket.create_server(("127.0.0.1", 0)) as other:
            program = self.launch(self.config(listen=f"127.0.0.1:{other.getsockname()[1]}"))
            _, errors = program.communicate(timeout=20)
        self.assertEqual(program.returncode, 2)
        self.assertIn("listen", errors)

    def test_a_faulty_configuration_ends_the_program_with_the_keys_name(self):
        cases = [
            ("limits.sockets", {"limits": {"sockets": "many"}}),
            ("listen", {"listen": "here"}),
            ("known.results", {"known": {"seq": 1, "results": [{"seq": 1, "fleet": 5}]}}),
        ]
        for key, more in cases:
            with self.subTest(key):
                program = self.launch(self.config(**more))
                _, errors = program.communicate(timeout=20)
                self.assertEqual(program.returncode, 2, errors)
                self.assertIn(key, errors)
                self.assertNotIn("Traceback", errors)


if __name__ == "__main__":
    unittest.main()
