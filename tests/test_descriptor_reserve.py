"""The change log and scorers stay reachable if idle clients use up descriptors in a discovery outage."""

import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import pytest
from peers import PATIENCE_S, SETTINGS, ClientPeer, LogPeer, ScorerPeer, ready

ROOT = Path(__file__).parent.parent
CLIENTS = 200


def launch(config, descriptors, folder):
    path = Path(folder, "config.json")
    path.write_bytes(msgspec.json.encode(config))
    env = {name: text for name, text in os.environ.items() if not name.startswith("ROUTER_")}
    env |= {"ROUTER_CONFIG": str(path), "PYTHONPATH": str(ROOT)}
    limit = [sys.executable, "-c", "import os, resource, sys; "
             f"resource.setrlimit(resource.RLIMIT_NOFILE, ({descriptors}, {descriptors})); "
             "os.execv(sys.executable, [sys.executable, '-m', 'fawnwharf', 'serve'])"]  # fmt: skip
    return subprocess.Popen(limit, env=env, cwd=ROOT, stderr=subprocess.PIPE, text=True)


@pytest.mark.parametrize("descriptors", [32, 64, 256])
def test_idle_clients_leave_room_for_discovery_and_scorers(descriptors):
    log, scorer, idle_clients = LogPeer(), ScorerPeer(), []
    address = log.listener.getsockname()
    log.listener.close()  # discovery is down
    event = {"seq": 1, "fleet": {"complete": True, "members": [scorer.member()]}}
    config = {"listen": "127.0.0.1:0", "changelog": log.host_port, "settings": SETTINGS, "seed": "1",
              "known": {"seq": 1, "results": [event]}, "limits": {"sockets": descriptors}}  # fmt: skip
    with tempfile.TemporaryDirectory() as folder:
        program = launch(config, descriptors, folder)
        try:
            line = program.stderr.readline()
            host, port = line.rsplit(" ", 1)[1].strip().split(":")
            for _ in range(CLIENTS):
                idle_clients.append(socket.create_connection((host, int(port))))
            log.listener = socket.create_server(address)
            log.listener.setblocking(False)
            client = ClientPeer((host, int(port)))
            idle_clients.append(client.sock)
            client.call()
            end = time.monotonic() + PATIENCE_S
            while not (log.asked() and scorer.runs):
                assert time.monotonic() < end, (log.asked(), scorer.frames)
                for peer in (log, scorer, client):
                    peer.pump()
                ready(client.sock, 0.005)
            assert log.asked()[0] == ["since", "1"]
        finally:
            program.kill()
            program.wait()
            program.stderr.close()
            for sock in idle_clients:
                sock.close()
            log.close()
            scorer.close()
