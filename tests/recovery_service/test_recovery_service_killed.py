"""Recovery of real `serve --recovery` processes that are killed at once and restart in another boot."""

import json
import os
import signal
import subprocess
import sys

import pytest
from peers import SETTINGS, ClientPeer
from processes import Port
from support.recovery_front_ends import Site

from fawnwharf.recovery_service.commands import read_status


class Served:
    """One front end process that uses the files of a node."""

    def __init__(self, node):
        self.node, self.listen, self.child = node, Port(shared=True), None
        self.errors = (node.folder / "errors").open("ab")
        event = {"seq": 1, "fleet": {"complete": True, "members": [node.scorer.member(locality=node.zone)]}}
        node.write("config.json", {
            "name": node.name, "listen": self.listen.text, "changelog": node.log.host_port, "seed": "7",
            "known": {"seq": 1, "results": [event]},
            "settings": SETTINGS | {"locality": node.zone, "fleet_size": 3},
        })  # fmt: skip

    def start(self, *more):
        here = self.node.folder
        files = [
            part for name in ("zones", "state", "recovery") for part in (f"--{name}", here / f"{name}.json")
        ]
        self.child = subprocess.Popen(
            [sys.executable, "-m", "fawnwharf", "serve", "--config", here / "config.json", *files, *more],
            stderr=self.errors, stdout=self.errors, env={**os.environ, "ROUTER_CONFIG": ""},
        )  # fmt: skip

    def kill(self):
        self.child.send_signal(signal.SIGKILL)

    def noted(self, event):
        lines = (self.node.folder / "errors").read_text().splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{")]
        return [told for told in found if told["event"] == event]

    def shown(self):
        try:
            return read_status(self.node.ports[0].address, 0.5)
        except (OSError, ValueError):
            return None

    def close(self):
        if self.child is not None:
            self.child.kill()
            self.child.wait()
        self.errors.close()
        self.listen.sock.close()


@pytest.fixture
def fleet(tmp_path):
    site = Site(tmp_path)
    served = [Served(node) for node in site.nodes]
    yield site, served
    for process in served:
        process.close()
    site.close()


def good(site, process):
    """Whether its readiness status is good; None if nobody answers."""
    try:
        client = ClientPeer(process.listen.address)
    except OSError:
        return None
    try:
        client.status()
        for _ in range(200):
            site.turn()
            client.pump()
            if client.answers or client.ended:
                break
        return client.answers[0][2][3] if client.answers else None
    finally:
        client.sock.close()


def until_calm(site, served, cut):
    def calm():
        found = [process.shown() for process in served]
        return all(one is not None and one.phase == "spill" and one.power_loss == cut for one in found)

    site.until(calm, f"calm of cut {cut}")
    site.until(lambda: all(good(site, process) for process in served), "status is good")


def test_all_that_are_killed_with_their_machines_return_by_the_phases(fleet):
    site, served = fleet
    for process in served:
        process.start("--fresh")
    until_calm(site, served, 0)
    noted = lambda: [told["boots"] for process in served for told in process.noted("recovery phase decided")]  # noqa: E731
    site.until(lambda: 3 in noted(), "boots are noted")
    before = [len(process.noted("recovery phase")) for process in served]
    for process in served:
        process.kill()
    for process in served:
        process.child.wait()
        process.node.boot(2)
    for process in served:
        process.start()
    until_calm(site, served, 1)
    for process, n in zip(served, before, strict=True):
        stages = [
            (told["phase"], told["status"])
            for told in process.noted("recovery phase")[n:]
            if told["power_loss"] == 1
        ]
        assert stages[-1] == ("spill", True)
        assert not any(status for stage, status in stages if stage in ("listening", "repeats")), stages
        assert process.noted("recovery store read")[-1]["in_order"] is False
        assert process.noted("recovery enabled")[-1]["store"] == "whole" and not process.noted(
            "recovery not read"
        )
    whys = [told["why"] for process in served for told in process.noted("recovery phase decided")]
    assert whys.count("power loss") <= 1
