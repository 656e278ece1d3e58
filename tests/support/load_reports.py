"""Load reporters with a roster, and owners whose reports a replica has received."""

from fawnwharf import interface as io
from fawnwharf.replication import messages as m
from fawnwharf.replication.load_report import LoadReporter


def reporter_with_roster(*in_slow_start, now=0.0, copies_ms=3_000.0):
    """A reporter whose roster is the scorers 1 to 9; those in slow start began it at `now`."""
    reporter = LoadReporter(4_000.0, 1_000.0, copies_ms)
    entries = [io.ScorerEntry(n, up_since_ms=now if n in in_slow_start else None) for n in range(1, 10)]
    reporter.roster_changed(now, now, entries, complete=True)
    return reporter


def first_answers(store, owners, now=0.0):
    """Let a store receive an empty first report of each owner; returns the numbers of its answers."""
    return {owner: store.receive(now, "k", owner, m.LoadReport(0)).answer_number for owner in owners}
