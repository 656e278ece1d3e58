"""Owners of load reports with a roster, and owners that a replica has heard of."""

from fawnwharf import interface as io
from fawnwharf.replication import messages as m
from fawnwharf.replication.load_report import LoadReporter


def own(*cold, now=0.0, copies_ms=3_000.0):
    """The reports of one owner; the scorers `cold` are in slow start since `now`."""
    found = LoadReporter(4_000.0, 1_000.0, copies_ms)
    entries = [io.ScorerEntry(n, up_since_ms=now if n in cold else None) for n in range(1, 10)]
    found.roster_changed(now, now, entries, complete=True)
    return found


def greeted(words, owners, now=0.0):
    """Let a replica hear each owner's first, empty report; the numbers of the answers."""
    return {owner: words.receive(now, "k", owner, m.LoadReport(0)).answer_number for owner in owners}
