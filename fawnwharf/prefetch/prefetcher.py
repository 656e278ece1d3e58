"""The prefetcher of one front end: turns call counts into messages and load orders. No I/O.

The host calls it with events and times, and carries out its results.
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

PREDICTION_HORIZON_FRACTION = (
    0.8  # prediction horizon as a fraction of a copy's idle life; the rest is for the load
)


class Prefetcher:
    """Combines the session monitor, the predictors, their scores and the planner.

    The host calls `called` for each call that ran, `heard` for each message of another front end and
    `announced` for each plan. Every `beat_ms` it calls `step`, sends the message from `word` to the other
    front ends, and carries out the orders.
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
        # Only a use within the idle life has value: a copy that is idle for longer may expire.
        self.life_ms = max(site.idle_lifetime_ms, bounds.beat_ms)
        self.span_ms = max(PREDICTION_HORIZON_FRACTION * site.idle_lifetime_ms, bounds.beat_ms)
        self.best: str | None = None
        self.moves: list[PredictedMove] = []

    def go_by(self, bounds: Bounds) -> None:
        """Replace the budgets."""
        self.bounds = bounds
        self.planner.go_by(bounds)

    def called(self, now_ms: float, session: Session, site: str) -> None:
        """Count a call of a session in a zone."""
        self.watch.called(now_ms, session, site)

    def heard(self, now_ms: float, owner: str, word: m.CounterMessage) -> None:
        """Merge the counters that another front end sent."""
        self.watch.heard(now_ms, owner, word)

    def announced(self, now_ms: float, plan: m.AnnouncedPlan) -> bool:
        """Store a plan for a zone; return False if the same or a later plan is known."""
        return self.plans.announced(now_ms, plan)

    def word(self) -> m.CounterMessage:
        """Return the message for the other front ends: own counters that increased since the last one."""
        return self.watch.word()

    def step(self, now_ms: float, view: PlannerView) -> Sequence[m.AssignedOrder | PrefetchRelease]:
        """Run one pass: count, learn, predict and plan; return the orders and releases."""
        return run_slices(self.look(now_ms, lambda: view))

    def look(
        self, now_ms: float, view: Callable[[], PlannerView]
    ) -> Slices[list[m.AssignedOrder | PrefetchRelease]]:
        """Do the same as `step` in slices; calls, messages and plans may arrive between slices.

        `view` is called once, as late as possible.
        """
        watch, scores, planner = self.watch, self.scores, self.planner
        scan_result = yield from watch.look(now_ms)
        yield from scores.scoring(now_ms, scan_result)
        found: list[m.AssignedOrder | PrefetchRelease] = list(
            (yield from planner.marking(now_ms, scan_result))
        )
        predictors = (self.trend, self.learnt)
        moves_by_predictor: dict[str, list[PredictedMove]] = {}
        for predictor in predictors:
            yield from predictor.learn(now_ms, watch, scan_result)
            moves_by_predictor[predictor.name] = yield from predictor.moves(now_ms, watch, self.span_ms)
            yield
        certain = yield from self.plans.moves(now_ms, watch, self.life_ms)
        for moves in (*moves_by_predictor.values(), certain):
            yield from scores.noting(now_ms, moves)
        self.best = scores.best([predictor.name for predictor in predictors])
        standby_zones = self.plans.standby()
        # All good predictors are used: each is scored on its own predictions, so scores are not comparable.
        good = [name for name in moves_by_predictor if scores.good(name)]
        uncertain = [
            move
            for name in good
            for move in moves_by_predictor[name]
            if move.destination not in standby_zones
        ]
        seen = view()
        self.moves = self._due(certain, len(seen.heard)) + uncertain
        yield
        planned = yield from planner.planning(
            now_ms, self.moves, seen, lambda session: self._rate(now_ms, session)
        )
        return found + planned

    def _due(self, certain: list[PredictedMove], heard: int) -> list[PredictedMove]:
        """Return the certain moves whose copies must be ordered now.

        Copies are ordered as late as the queue of orders allows, so that they do not expire before their use.
        """
        rows = len({(move.session.row, move.destination) for move in certain} - self.planner.held.keys())
        bounds = self.bounds
        pace = max(0.1, min(bounds.fetches_ps, bounds.pace_ps * max(1, heard)))
        lead = bounds.lead_ms + 1_000.0 * rows / pace + bounds.fast_ms
        return [move for move in certain if move.within_ms <= lead]

    def _rate(self, now_ms: float, session: Session) -> float:
        track = self.watch.tracks.get(session)
        return track.rate_ps(self.bounds, now_ms) if track is not None else 0.0
