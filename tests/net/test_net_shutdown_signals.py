"""Signals during the start and the shutdown of the program, which runs as a separate process."""

import os
import signal
import subprocess
import sys

import msgspec
import pytest
from peers import PATIENCE_S, SETTINGS, ClientPeer, LogPeer, ScorerPeer, ready


class Program:
    """The command `serve`, with its configuration in a pipe so that the test decides when it is read."""

    def __init__(self, folder, *arguments):
        self.scorer, self.log = ScorerPeer(), LogPeer()
        event = {"seq": 1, "fleet": {"complete": True, "members": [self.scorer.member()]}}
        self.config = {
            "listen": "127.0.0.1:0",
            "changelog": self.log.host_port,
            "settings": SETTINGS,
            "seed": "1",
            "known": {"seq": 1, "results": [event]},
        }
        self.pipe = folder / "config"
        os.mkfifo(self.pipe)
        unset = ("ROUTER_LISTEN", "ROUTER_NAME", "ROUTER_CONTROL")
        env = {name: value for name, value in os.environ.items() if name not in unset}
        command = [sys.executable, "-m", "fawnwharf", "serve", *(arguments or ())]
        env |= {} if arguments else {"ROUTER_CONFIG": str(self.pipe)}
        self.child = subprocess.Popen(command, env=env, stderr=subprocess.PIPE, text=True)
        self.clients = []

    def configure(self, before=()):
        """Let the program read its configuration; the signals `before` are sent while it waits for that."""
        pipe = os.open(self.pipe, os.O_WRONLY)  # returns when the program has opened the pipe
        for number in before:
            self.child.send_signal(number)
        os.write(pipe, msgspec.json.encode(self.config))
        os.close(pipe)

    def line(self, text):
        """Return the next line of the log, which must contain this text."""
        line = self.child.stderr.readline()
        assert text in line, line + self.rest()
        return line

    def rest(self):
        return self.child.stderr.read() if self.child.poll() is not None else ""

    def serving(self):
        host, port = self.line("serving").rsplit(" ", 1)[1].strip().split(":")
        self.address = host, int(port)

    def client(self):
        self.clients.append(ClientPeer(self.address))
        return self.clients[-1]

    def until(self, condition):
        """Let the peers read and accept until the condition holds."""
        for _ in range(int(PATIENCE_S / 0.005)):
            for peer in (self.scorer, self.log, *self.clients):
                peer.pump()
            if condition():
                return
            ready(self.scorer.listener, 0.005)
        raise AssertionError([client.kinds() for client in self.clients])

    def close(self):
        self.child.kill()
        self.child.wait()
        self.child.stderr.close()
        for peer in (self.scorer, self.log):
            peer.close()
        for client in self.clients:
            client.sock.close()


@pytest.fixture
def program(tmp_path):
    program = Program(tmp_path)
    yield program
    program.close()


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_during_the_start_lets_it_serve_late_arrivals_and_exit_with_0(program, number):
    program.configure(before=[number])
    program.serving()
    program.line("shutting down")
    client = program.client()
    client.status()
    client.call()
    program.until(lambda: program.scorer.runs)
    program.scorer.answer(program.scorer.runs[0], body=b"one")
    program.until(lambda: len(client.answers) == 2 and client.ended)
    assert client.kinds()[1] == "answer"
    assert next(content for seqid, _, content in client.answers if seqid == 500)[3] is False
    client.sock.close()
    assert program.child.wait(PATIENCE_S) == 0


def test_a_signal_to_a_process_started_with_options_lets_it_exit_with_0(tmp_path):
    program = Program(tmp_path, "--config", str(tmp_path / "config"))
    try:
        program.configure(before=[signal.SIGTERM])
        program.serving()
        program.line("shutting down")
        program.child.send_signal(signal.SIGTERM)
        assert program.child.wait(PATIENCE_S) == 0
    finally:
        program.close()


def test_signals_during_the_shutdown_do_not_change_it(program):
    program.configure()
    program.serving()
    client = program.client()
    client.call()
    program.until(lambda: program.scorer.runs)
    program.child.send_signal(signal.SIGTERM)
    program.line("shutting down")
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGTERM):
        program.child.send_signal(number)
    program.child.send_signal(signal.SIGHUP)
    program.configure()  # read again by the reload
    program.line("configuration reloaded")
    client.status()
    program.until(lambda: client.answers)
    assert client.answers[0][2][3] is False
    late = program.client()
    late.call(call="ff" * 8)
    program.scorer.answer(program.scorer.runs[0])  # so that the scorer's only copy is free again
    program.until(lambda: len(program.scorer.runs) == 2)
    program.scorer.answer(program.scorer.runs[1])
    program.until(lambda: 1 in client.kinds() and 1 in late.kinds())
    assert (client.kinds()[1], late.kinds()[1]) == ("answer", "answer")
    program.until(lambda: client.ended and late.ended)
    for each in (client, late):
        each.sock.close()
    assert program.child.wait(PATIENCE_S) == 0
    assert "shutting down" not in program.child.stderr.read()


LAST_SIGNAL = """
import os, signal, sys
from unittest import mock
from fawnwharf import serving
from fawnwharf.__main__ import main

class Last:
    def __del__(self, kill=os.kill, pid=os.getpid(), number=signal.SIGTERM):
        kill(pid, number)

def serve(**asked):
    signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: None)
    return 0

last = Last()  # deleted when the interpreter clears its modules, which is after its signal handlers
serving.serve = serve
sys.argv = ["fawnwharf", "serve"]
sys.exit(main())
"""


def test_a_signal_during_the_interpreters_exit_does_not_change_the_status():
    assert subprocess.run([sys.executable, "-c", LAST_SIGNAL], timeout=PATIENCE_S).returncode == 0
