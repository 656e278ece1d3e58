"""`fawnwharf recovery show` and the options of `serve`."""

import threading

import pytest
from support.recovery_front_ends import Site
from typer.testing import CliRunner

from fawnwharf import serving
from fawnwharf.cli import app
from fawnwharf.recovery_service import messages as w
from fawnwharf.recovery_service.commands import status_lines

RUNNER = CliRunner()


def show(site, *arguments):
    """The command in a thread of its own, as this one serves what it reads."""
    found = []
    thread = threading.Thread(
        target=lambda: found.append(RUNNER.invoke(app, ["recovery", "show", *arguments]))
    )
    thread.start()
    site.until(lambda: found, "the command is done")
    thread.join()
    return found[0]


def test_show_has_phase_power_loss_share_and_what_this_member_heard_queried_and_doubts(tmp_path):
    site = Site(tmp_path, alone_ms=30_000.0)
    try:
        site.begin()
        path = str(site.nodes[1].folder / "zones.json")
        site.power_loss(2)
        site.start(site.nodes[1:2])
        site.until(lambda: site.nodes[1].part.running.displayed is not None, "it tells how it stands")
        found = show(site, path)
        assert found.exit_code == 0, found.output
        lines = found.output.splitlines()
        assert (
            lines[0] == "listening  power loss 0  share 0.0625  by no announcement yet"
            and "boot boot 2" in lines[1]
        )
        assert "voters heard of: none" in lines
        site.start([site.nodes[0], site.nodes[2]])
        site.until(lambda: all(n.stage() == 5 and n.agent.queries_done for n in site.nodes), "calm")
        calm = lambda: site.nodes[1].part.running.displayed.queries.get("use") == "answered"  # noqa: E731
        site.until(lambda: calm() and site.nodes[1].part.running.displayed.phase == "spill", "it tells so")
        site.rest(0.3)
        lines = show(site, path, "--member", "n1").output.splitlines()
        assert lines[0].startswith("spill  power loss 1  share 1  by ") and "members: answered" in lines
        assert any(line.startswith("voters heard of: n0, n2") for line in lines)
        assert show(site, path, "--member", "x").exit_code == 2
    finally:
        site.close()
    assert RUNNER.invoke(app, ["recovery", "show", path]).exit_code == 1
    assert RUNNER.invoke(app, ["recovery", "show", str(tmp_path / "none")]).exit_code == 2


def test_doubts_and_missing_answers_are_shown_a_line_each():
    shown = w.DisplayedStatus(
        7,
        missing=("no plan",),
        doubts=("its store is incomplete",),
        counts={"malformed message": 3},
        leader_term=2,
    )
    lines = status_lines(shown)
    assert lines[0].startswith("PARTITIONED") and "boot unknown to the system" in lines[1]
    assert {
        "goes without: no plan",
        "doubt: its store is incomplete",
        "dropped, malformed message: 3",
    } <= set(lines)
    assert "leader, term 2; 0 front ends report" in lines


@pytest.mark.parametrize("without", ["zones", "state"])
def test_recovery_takes_zones_and_state(tmp_path, capsys, without):
    site = Site(tmp_path)
    try:
        files = {name: str(site.nodes[0].folder / f"{name}.json") for name in ("zones", "state", "recovery")}
    finally:
        site.close()
    del files[without]
    config = tmp_path / "config.json"
    config.write_text('{"name": "n0", "listen": "127.0.0.1:0", "changelog": "127.0.0.1:9", "settings": {}}')
    assert serving.serve(str(config), **files) == 2
    said = capsys.readouterr().err
    assert said.count("\n") == 1 and f"--recovery: goes by the logs of --{without}" in said
