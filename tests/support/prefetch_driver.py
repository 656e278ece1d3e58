"""Helpers that drive the prefetcher of a front end with calls and passes."""

from fawnwharf import interface as io
from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.settings import PrefetchSettings as Bounds
from fawnwharf.prefetch.settings import Prices
from fawnwharf.sessions.staging import Staging
from fawnwharf.sessions.staging_messages import Seen

UNIX = 1.7e12
SPEC = io.ClassSpec("view", latency_target_ms=800.0, deadline_ms=3_000.0, late_share=0.2)
S = Bounds(least=30, copies=1, score_ms=300_000.0, allow=0.0)
SITES = ("n", "s", "w")


def rules(**changes):
    """Site settings, with `changes`."""
    fields = dict(
        classes={"view": SPEC}, fleet_size=3, load_window_ms=5_000.0, free_loads=6.0, loads_per_arrival=0.3
    )
    return io.Settings(**(fields | changes))


def staging(me="a", bounds=S, workers=9, **changes):
    """A prefetcher that has received a roster of `workers` scorers."""
    prefetcher = Staging(me, bounds, rules(**changes), Prices(0.15, 0.16, 0.01))
    prefetcher.events(0.0, UNIX, [roster(range(workers))])
    return prefetcher


def roster(workers, complete=True, **changes):
    """A roster change with scorers spread over the zones."""
    return io.RosterChanged([io.ScorerEntry(n, zone=SITES[n % 3], **changes) for n in workers], complete)


class Calls:
    """Builds the events of calls and of their responses."""

    count = 0

    def events(
        self, row, site, org="club", warmth=io.Warmth.FOUND, ending=io.AttemptResult.GOOD, worker=None
    ):
        """The events of one call."""
        self.count += 1
        worker = SITES.index(site) if worker is None else worker
        arrived = io.RequestArrived(f"r{self.count}", row, "view", org, 3_000.0, 1, 40.0, 900.0)
        return [arrived, io.AttemptEnded(arrived.request, 0, worker, ending, 100.0, True, warmth)]


def look(prefetcher, now, seen=None):
    """Run a whole pass at time `now`."""
    beats = [prefetcher.beat(now, seen or Seen(heard=(prefetcher.me,), ordered=0))]
    while prefetcher._slices is not None:
        beats.append(prefetcher.beat(now, seen or Seen(heard=(prefetcher.me,), ordered=0)))
    return beats


def wanted(beats):
    """The (function, scorer) pairs of all orders."""
    return [(w.function, w.scorer) for beat in beats for w in beat.wanted]


def drained_site(prefetcher, calls, rows, now=0.0, seen=None):
    """Let sessions call in zone n for 5 s, then announce its drain in 8 s."""
    for second in range(5):
        for row in rows:
            prefetcher.events(now + 1_000.0 * second, UNIX, calls.events(row, "n"))
        look(prefetcher, now + 1_000.0 * second, seen)
    prefetcher.announced(now + 5_000.0, m.AnnouncedPlan("n", 1, "drain", (m.PlanStep(8_000.0, 0.0),)))
