"""An owner with a roster of its own, and words that owners were greeted by, for tests."""

from fawnwharf import interface as io
from fawnwharf.replication import messages as m
from fawnwharf.replication.elsewhere import Own


def own(*cold, now=0.0, copies_ms=3_000.0):
    found = Own(4_000.0, 1_000.0, copies_ms)
    entries = [io.WorkerEntry(n, up_since_ms=now if n in cold else None) for n in range(1, 10)]
    found.roster(now, now, entries, True)
    return found


def greeted(words, owners, now=0.0):
    """Each owner's first word names nothing; the number of the answer to it."""
    return {owner: words.heard(now, "k", owner, m.Work(0)).answer for owner in owners}
