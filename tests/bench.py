"""A test driver that passes events to a Router, with its own clock."""

from fawnwharf import interface as io
from fawnwharf.policy import Router

SAFE = io.ClassSpec("safe", 1000.0, 2500.0, io.Effect.IDEMPOTENT)
KEYED = io.ClassSpec("keyed", 1000.0, 4000.0, io.Effect.DEDUPLICATED, io.DeduplicationGroup.ZONE, 2500.0)
UNSAFE = io.ClassSpec("unsafe", 1000.0, 4000.0, io.Effect.AT_MOST_ONCE)
SHORT = io.ClassSpec("short", 900.0, 1000.0, io.Effect.IDEMPOTENT)


class Drive:
    """A Router, its clock in milliseconds, and a log of all its actions with their times."""

    def __init__(self, workers=4, zones=("a",), seed=1, **settings):
        settings.setdefault("max_attempts", 4)
        specs = {spec.name: spec for spec in (SAFE, KEYED, UNSAFE, SHORT)}
        self.router = Router(io.Settings(classes=specs, **settings), seed)
        self.now = 0.0
        self.log = []
        self.entries = [io.ScorerEntry(n, zone=zones[n % len(zones)]) for n in range(1, workers + 1)]
        self.feed(io.RosterChanged(self.entries, complete=True))

    def feed(self, *events):
        actions = self.router.handle(self.now, list(events))
        self.log += [(self.now, action) for action in actions]
        return actions

    def sweep(self, until):
        """Advance the clock to `until`, with a timer event every 20 ms; returns the actions."""
        done = []
        while self.now + 20 <= until:
            self.now += 20
            done += self.feed(io.TimerDue(0))
        self.now = until
        return done

    def ask(self, name, fn="f", spec="safe", budget=2500.0, lanes=1, load_ms=500.0, tenant=""):
        return self.feed(io.RequestArrived(name, fn, spec, tenant, budget, lanes, load_ms=load_ms))

    def count(self, scorer, copies, fn="f", ending=io.AttemptResult.GOOD):
        return self.feed(io.LoadOrderAnswered(scorer, fn, ending, copies, 1.0))

    def answer_asks(self, actions, standing=None):
        """Answer each probe with the number of copies in `standing`, by scorer.

        Returns the load orders among the actions, and all actions that follow from the answers.
        """
        standing = standing or {}
        done = [action for action in actions if isinstance(action, io.OrderCopies) and action.copies]
        for action in actions:
            if isinstance(action, io.OrderCopies) and action.copies == 0:
                done += self.count(action.scorer, standing.get(action.scorer, 0), action.function)
        return done

    def end(
        self, send, ending=io.AttemptResult.GOOD, attempt=0, closed=None, warmth=io.Warmth.FOUND, crowd=None
    ):
        closed = ending is io.AttemptResult.GOOD if closed is None else closed
        return self.feed(
            io.AttemptEnded(send.request, attempt, send.scorer, ending, 100.0, closed, warmth, crowd)
        )

    def warm(self, fn="f", lanes=1, spec="safe", load_ms=500):
        """Serve a first request, so that one scorer has a copy; returns the number of that scorer."""
        loads = of(self.answer_asks(self.ask("first-" + fn, fn, spec, lanes=lanes)), io.OrderCopies)
        self.now += load_ms
        [send] = of(self.count(loads[0].scorer, 1, fn), io.Send)
        self.now += 100
        self.end(send)
        return send.scorer


def of(actions, kind):
    return [action for action in actions if isinstance(action, kind)]
