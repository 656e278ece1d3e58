"""A voter whose disk fails sends nothing that depends on a failed save; its member keeps reporting."""

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

LONG_AGO_MS = 60_000.0  # without contact to a leader for this long, a voter may grant votes


class RecordingLog:
    """Records the lines that are written to one log."""

    def __init__(self):
        self.lines = []

    def write(self, line, counts_as=None):
        self.lines.append(line)


@pytest.fixture
def service_with_faults(tmp_path):
    """A function that starts a voter's service, the faults of its folder, and the events that it logged."""
    (tmp_path / "m.json").write_text(json.dumps(members_data("aab")))
    (tmp_path / "zones.json").write_text(json.dumps({"version": 1, "members": "m.json", "folder": "state"}))
    settings = SimpleNamespace(zone="a", classes={}, quotas_rps={})
    deployment = SimpleNamespace(name="n0", settings=settings, seed=1)
    faults, events = FileFaults(tmp_path / "state"), []

    def start():
        service = ZoneService(
            deployment, tmp_path / "zones.json", lambda event, fields: events.append((event, fields))
        )
        service.log_server, service.voter_log_server = RecordingLog(), RecordingLog()
        service.core.voter.leader_contact_ms = monotonic_ms() - LONG_AGO_MS
        return service

    with faults.installed():
        yield start, faults, events


def granted_votes(service, sender, term):
    """Request the service's vote; the answers that it sent (granted or not), empty if it sent none."""
    request = m.VoteRequest(f"{sender}#ab", service.core.identity, term, 0, 0)
    line = LogLine("f", sender, voter_message=msgspec.to_builtins(request), disk_writes=term)
    lines_before = len(service.voter_log_server.lines)
    service._carry_out(service.core.receive_voter_line(monotonic_ms(), sender, msgspec.to_builtins(line)))
    return [line["ballot"]["granted"] for line in service.voter_log_server.lines[lines_before:]]


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
def test_a_vote_is_sent_only_when_durable_and_not_given_twice_after_disk_failure_and_power_loss(
    service_with_faults, error
):
    start, faults, events = service_with_faults
    service = start()
    assert granted_votes(service, "n1", 1) == [True]
    for call_offset in (0, 1):  # the write, the sync
        faults.plan.fail_at, faults.plan.error = faults.count + call_offset, error
        assert granted_votes(service, "n2", 2) == []
        assert events.pop()[0] == "disk failed: no part in votes until a restart" and not events
        faults.works()
        assert (
            granted_votes(service, "n2", 3) == []
            and service.core.voter is None
            and not service.consensus_status(0.0).holds_read_lease
        )
        reports_before = len(service.log_server.lines)
        service._carry_out(service.core.tick(monotonic_ms() + LONG_AGO_MS, {}, {}, 0.0))
        assert len(service.log_server.lines) == reports_before + 1  # the member still reports
        faults.cut(late_names=False)
        service = start()
        assert service.disk.saved.term == 1 and granted_votes(service, "n2", 1) == [False]
    assert granted_votes(service, "n2", 4) == [True]


def test_a_vote_found_after_a_kill_is_synced_before_it_is_sent_again(service_with_faults):
    start, faults, _ = service_with_faults
    service = start()
    assert granted_votes(service, "n1", 1) == [True]
    faults.plan.kill_at = faults.count + 1  # between the write and the sync of the second vote
    with pytest.raises(Killed):
        granted_votes(service, "n1", 2)
    faults.kill()
    service = start()
    assert service.disk.saved.term == 2 and granted_votes(service, "n1", 2) == [
        True
    ]  # the same vote, without another save
    faults.cut(late_names=False)
    service = start()
    assert granted_votes(service, "n2", 2) == [False]
