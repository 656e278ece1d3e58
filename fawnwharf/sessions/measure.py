"""Measures the prefetcher's share of a front end's loop.

`python -m fawnwharf.sessions.measure [SESSIONS ...]`.

Sessions of twenty tenants at three zones, sixty scorers, replicas of six. Each second a tenth of the sessions
call here, between the passes, and as many messages come in as those calls make; at the end a zone is drained.
The longest steps are in milliseconds, by this thread's processor time and by the clock.
"""

import gc
import random
import resource
import sys
import time
from collections.abc import Callable, Sequence

from fawnwharf import interface as io
from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.settings import PrefetchSettings, Prices
from fawnwharf.session_types import Session
from fawnwharf.sessions.staging import COUNTS, Staging
from fawnwharf.sessions.staging_messages import SLICE_MS, Seen, Word

SITES = ("north", "south", "west")
KEEPERS = ("a", "b", "c", "d", "e", "f")
WORKERS, TENANTS, PART = 60, 20, 0.1


class Scene:
    """One front end with a replica, in virtual time."""

    def __init__(self, sessions: int, seed: int = 1) -> None:
        self.chance, self.now = random.Random(seed), 0.0
        spec = io.ClassSpec("view", 800.0, 3_000.0, late_share=0.2)
        site = io.Settings(classes={"view": spec}, fleet_size=6, load_window_ms=5_000.0, free_loads=6.0)
        site.loads_per_arrival = 0.3
        self.staging = Staging("a", PrefetchSettings(), site, Prices(0.15, 0.16, 0.01))
        entries = [io.ScorerEntry(n, zone=SITES[n % 3]) for n in range(WORKERS)]
        self.staging.events(0.0, 1e9, [io.RosterChanged(entries, True)])
        self.sessions = [Session(f"t{n % TENANTS}", f"f{n}") for n in range(sessions)]
        self.at = [n % 3 for n in range(sessions)]
        self.memory_mb = 40_000.0 / sessions  # so that there is room for more
        self.longest: dict[str, tuple[float, float]] = {}
        self.calls = self.requests = self.beats = self.orders = 0

    def timed(self, what: str, step: Callable[[], object]) -> object:
        """Run a step, and keep the longest time of its kind."""
        clock, work = time.perf_counter(), time.thread_time()
        found = step()
        took = (1e3 * (time.thread_time() - work), 1e3 * (time.perf_counter() - clock))
        before = self.longest.get(what, (0.0, 0.0))
        self.longest[what] = (max(before[0], took[0]), max(before[1], took[1]))
        return found

    def call(self, n: int) -> None:
        """A call of a session comes and is answered."""
        self.requests += 1
        session, worker = self.sessions[n], 3 * self.chance.randrange(WORKERS // 3) + self.at[n]
        request = f"r{self.requests}"
        came = io.RequestArrived(request, session.row, "view", session.org, 3_000.0, 1, self.memory_mb, 900.0)
        ended = io.AttemptEnded(request, 0, worker, io.AttemptResult.GOOD, 100.0, True)
        self.staging.events(self.now, self.now + 1e9, [came, ended])

    def second(self, part: float) -> None:
        """One second: a part of the sessions call, here and at another front end, spread over its passes."""
        callers = self.chance.sample(range(len(self.sessions)), max(1, int(part * len(self.sessions))))
        others = [m.CallCounter(self.sessions[n], SITES[self.at[n]], 1, self.requests + 1) for n in callers]
        until, seen, done = self.now + 1_000.0, Seen(heard=KEEPERS, ordered=0), 0
        while self.now < until:
            beat = self.timed("beat", lambda: self.staging.beat(self.now, seen))
            self.beats, self.orders = self.beats + 1, self.orders + len(beat.wanted)
            self.now = min(until, self.now + max(SLICE_MS, beat.again_ms))
            due = int(len(callers) * (1.0 - (until - self.now) / 1_000.0))
            for n in callers[done:due]:
                self.call(n)
            for first in range(done, due, COUNTS):
                word = Word(
                    m.CounterMessage(1 + int(self.now / 1e3), tuple(others[first : min(due, first + COUNTS)]))
                )
                self.timed("word", lambda w=word: self.staging.heard(self.now, "b", w))
            done = due

    def show(self, what: str) -> None:
        """Print the longest steps."""
        held = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        steps = ", ".join(f"{k} {w:.1f} ({c:.1f})" for k, (w, c) in sorted(self.longest.items()))
        text = f"{what}: longest {steps} ms; beats {self.beats}, orders {self.orders}, {held:.0f} MB"
        print(f"{len(self.sessions)} sessions, {text}", flush=True)
        self.longest, self.beats, self.orders = {}, 0, 0


def run(sessions: int) -> None:
    """Measure with so many sessions."""
    gc.collect()  # what is left of the scene before
    scene = Scene(sessions)
    for _ in range(10):
        scene.second(PART)
    scene.show("coming up")
    for _ in range(10):
        scene.second(PART)
    scene.show("calm")
    for n in scene.chance.sample(range(sessions), sessions // 50):
        scene.at[n] = (scene.at[n] + 1) % 3
    for _ in range(10):
        scene.second(PART)
    scene.show("some have moved")
    scene.staging.announced(scene.now, m.AnnouncedPlan("north", 1, "drain", (m.PlanStep(10_000.0, 0.0),)))
    for _ in range(10):
        scene.second(PART)
    scene.show("a drain ahead")
    scene.at = [at or 1 for at in scene.at]
    for _ in range(10):
        scene.second(PART)
    scene.show("all of a site move")
    scene.timed("collect", gc.collect)
    scene.show("collector")


def main(arguments: Sequence[str]) -> None:
    """Measure with each number of sessions that is given."""
    gc.freeze()
    for sessions in arguments or ("1000", "10000", "100000"):
        run(int(sessions))


if __name__ == "__main__":
    main(sys.argv[1:])
