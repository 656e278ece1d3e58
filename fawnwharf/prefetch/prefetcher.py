"""The prefetcher of one front end: counts go in, messages and load orders come out. Pure.

This is what a host drives.
"""

from collections.abc import Callable, Sequence

from fawnwharf.interface import Settings
from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.budgets import PlannerView
from fawnwharf.prefetch.planner import Planner
from fawnwharf.prefetch.prediction_scores import PredictionScores
from fawnwharf.prefetch.predictors import (
    HistoryPredictor,
    PlanPredictor,
    TrendPredictor,
    ZoneRules,
)
from fawnwharf.prefetch.session_monitor import SessionMonitor
from fawnwharf.prefetch.settings import PrefetchSettings as Bounds
from fawnwharf.prefetch.settings import Prices
from fawnwharf.prefetch.slices import Slices, run_slices
from fawnwharf.session_types import PredictedMove, PrefetchRelease, Session

# Of an idle life: the rest is for the load.
SPAN_PART = 0.8


class Prefetcher:
    """Joins the session monitor, the predictors, their scores and the planner.

    A host calls `called` for each call that ran somewhere, `heard` for each message of another front end and
    `announced` for plans; every `beat_ms` it calls `step`, sends `word` to the others and carries the orders
    out.
    """

    def __init__(
        self,
        bounds: Bounds,
        site: Settings,
        prices: Prices,
        me: str,
        rules: ZoneRules | None = None,
    ) -> None:
        rules = rules or ZoneRules()
        self.bounds = bounds
        self.watch = SessionMonitor(bounds, me)
        self.scores = PredictionScores(bounds)
        self.planner = Planner(bounds, site, prices, self.scores)
        self.trend, self.learnt, self.plans = (
            TrendPredictor(bounds),
            HistoryPredictor(bounds),
            PlanPredictor(bounds, rules.destination, rules.place, rules.belongs),
        )
        self.plans.past = self.trend.past = self.learnt.past
        # A stage is worth the chance that it is used while it stands; idle for longer it may lapse.
        self.life_ms = max(site.idle_life_ms, bounds.beat_ms)
        self.span_ms = max(SPAN_PART * site.idle_life_ms, bounds.beat_ms)
        self.best: str | None = None
        self.moves: list[PredictedMove] = []

    def go_by(self, bounds: Bounds) -> None:
        """Use other budgets from now on."""
        self.bounds = bounds
        self.planner.go_by(bounds)

    def called(self, now_ms: float, session: Session, site: str) -> None:
        """Count a call of a session at a zone."""
        self.watch.called(now_ms, session, site)

    def heard(self, now_ms: float, owner: str, word: m.CounterMessage) -> None:
        """Take the counters that another front end sent."""
        self.watch.heard(now_ms, owner, word)

    def announced(self, now_ms: float, plan: m.AnnouncedPlan) -> bool:
        """Take a plan for a zone; False where a later one is known."""
        return self.plans.announced(now_ms, plan)

    def word(self) -> m.CounterMessage:
        """The message for the other front ends: own counters that rose since the last one."""
        return self.watch.word()

    def step(self, now_ms: float, view: PlannerView) -> Sequence[m.AssignedOrder | PrefetchRelease]:
        """One pass over what has changed.

        Count, learn, predict and plan; the orders, and what is not needed any more.
        """
        return run_slices(self.look(now_ms, lambda: view))

    def look(
        self, now_ms: float, view: Callable[[], PlannerView]
    ) -> Slices[list[m.AssignedOrder | PrefetchRelease]]:
        """The same as `step` in slices, between which calls, messages and plans may come in.

        `view` is called once, as late as possible.
        """
        watch, scores, planner = self.watch, self.scores, self.planner
        beat = yield from watch.look(now_ms)
        yield from scores.scoring(now_ms, beat)
        found: list[m.AssignedOrder | PrefetchRelease] = list((yield from planner.marking(now_ms, beat)))
        able = (self.trend, self.learnt)
        made: dict[str, list[PredictedMove]] = {}
        for predictor in able:
            yield from predictor.learn(now_ms, watch, beat)
            made[predictor.name] = yield from predictor.moves(now_ms, watch, self.span_ms)
            yield
        certain = yield from self.plans.moves(now_ms, watch, self.life_ms)
        for moves in (*made.values(), certain):
            yield from scores.noting(now_ms, moves)
        self.best = scores.best([predictor.name for predictor in able])
        still = self.plans.standby()
        # All that are good: each is scored by what it foretold itself, so of two the scores say little.
        good = [name for name in made if scores.good(name)]
        guessed = [move for name in good for move in made[name] if move.destination not in still]
        seen = view()
        self.moves = self._due(certain, len(seen.heard)) + guessed
        yield
        planned = yield from planner.planning(
            now_ms, self.moves, seen, lambda session: self._rate(now_ms, session)
        )
        return found + planned

    def _due(self, certain: list[PredictedMove], heard: int) -> list[PredictedMove]:
        """Those certain moves whose copies have to be ordered by now.

        As late as the queue of orders allows, so that copies do not expire before they are needed.
        """
        rows = len({(move.session.row, move.destination) for move in certain} - self.planner.held.keys())
        bounds = self.bounds
        pace = max(0.1, min(bounds.fetches_ps, bounds.pace_ps * max(1, heard)))
        lead = bounds.lead_ms + 1_000.0 * rows / pace + bounds.fast_ms
        return [move for move in certain if move.within_ms <= lead]

    def _rate(self, now_ms: float, session: Session) -> float:
        track = self.watch.tracks.get(session)
        return track.rate_ps(self.bounds, now_ms) if track is not None else 0.0
