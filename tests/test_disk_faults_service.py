"""A part in votes while the disk fails: nothing is said that rests on it, and the rest goes on."""

import errno
import json
from types import SimpleNamespace

import msgspec
import pytest
from support.file_faults import FileFaults, Killed
from support.zone_files import members_data

from fawnwharf.consensus import messages as m
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.zones.log_lines import LogLine
from fawnwharf.zones.service import ZoneService

LONG_AGO_MS = 60_000.0  # no leader was heard for so long


class Written:
    """Takes the lines of one log."""

    def __init__(self):
        self.lines = []

    def write(self, line, counts_as=None):
        self.lines.append(line)


@pytest.fixture
def placed(tmp_path):
    """A voter's files, a folder with faults, and what starts it."""
    (tmp_path / "m.json").write_text(json.dumps(members_data("aab")))
    (tmp_path / "zones.json").write_text(json.dumps({"version": 1, "members": "m.json", "folder": "state"}))
    settings = SimpleNamespace(zone="a", classes={}, quotas_rps={})
    deployment = SimpleNamespace(name="n0", settings=settings, seed=1)
    faults, notes = FileFaults(tmp_path / "state"), []

    def start():
        zones = ZoneService(
            deployment, tmp_path / "zones.json", lambda event, fields: notes.append((event, fields))
        )
        zones.log_server, zones.voter_log_server = Written(), Written()
        zones.core.voter.leader_contact_ms = monotonic_ms() - LONG_AGO_MS
        return zones

    with faults.installed():
        yield start, faults, notes


def asked(zones, sender, term):
    """The voter's word on another's wish to lead in a term; None: it says nothing."""
    ask = m.VoteRequest(f"{sender}#ab", zones.core.identity, term, 0, 0)
    line = LogLine("f", sender, voter_message=msgspec.to_builtins(ask), disk_writes=term)
    said = len(zones.voter_log_server.lines)
    zones._carry_out(zones.core.receive_voter_line(monotonic_ms(), sender, msgspec.to_builtins(line)))
    return [line["ballot"]["granted"] for line in zones.voter_log_server.lines[said:]]


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_vote_is_not_told_before_it_is_on_disk_nor_given_twice_over_a_failure_and_a_cut(placed, error):
    start, faults, notes = placed
    zones = start()
    assert asked(zones, "n1", 1) == [True]
    for after in (0, 1):  # the write, the sync
        faults.plan.fail_at, faults.plan.error = faults.count + after, error
        assert asked(zones, "n2", 2) == []
        assert notes.pop()[0] == "disk failed: no part in votes until a restart" and not notes
        faults.works()
        assert (
            asked(zones, "n2", 3) == []
            and zones.core.voter is None
            and not zones.consensus_status(0.0).holds_read_lease
        )
        told = len(zones.log_server.lines)
        zones._carry_out(zones.core.tick(monotonic_ms() + LONG_AGO_MS, {}, {}, 0.0))
        assert len(zones.log_server.lines) == told + 1  # its report, for the rest of the fleet
        faults.cut(late_names=False)
        zones = start()
        assert zones.disk.saved.term == 1 and asked(zones, "n2", 1) == [False]
    assert asked(zones, "n2", 4) == [True]


def test_a_vote_found_after_a_kill_is_on_disk_before_it_is_told_again(placed):
    start, faults, _ = placed
    zones = start()
    assert asked(zones, "n1", 1) == [True]
    faults.plan.kill_at = faults.count + 1  # between the write and the sync of the second vote
    with pytest.raises(Killed):
        asked(zones, "n1", 2)
    faults.kill()
    zones = start()
    assert zones.disk.saved.term == 2 and asked(zones, "n1", 2) == [True]  # the same vote, with no save
    faults.cut(late_names=False)
    zones = start()
    assert asked(zones, "n2", 2) == [False]
