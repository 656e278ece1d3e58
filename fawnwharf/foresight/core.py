"""Foresight of one front end: counts in, words out, orders for stages. Pure; this is what a host drives."""

from collections.abc import Sequence

from fawnwharf.foresight import messages as m
from fawnwharf.foresight.planner import Planner, View
from fawnwharf.foresight.predictors import Learnt, Place, Plans, Trend, Whither, _nowhere, _unplaced
from fawnwharf.foresight.score import Scores
from fawnwharf.foresight.seen import Watcher
from fawnwharf.foresight.settings import Foresight as Bounds
from fawnwharf.foresight.settings import Prices
from fawnwharf.interface import Settings
from fawnwharf.sites import LetGo, Move, Session


class Foresight:
    """Owns the watcher, the predictors, their scores and the planner.

    A host calls `called` for each call that ran somewhere, `heard` for each word of another front end,
    `announced` for plans; each `beat_ms` it calls `step`, sends `word` to the others and carries out the
    orders."""

    def __init__(
        self,
        bounds: Bounds,
        site: Settings,
        prices: Prices,
        me: str,
        whither: Whither = _nowhere,
        place: Place = _unplaced,
    ) -> None:
        self.bounds = bounds
        self.watch = Watcher(bounds, me)
        self.scores = Scores(bounds)
        self.planner = Planner(bounds, site, prices, self.scores)
        self.trend, self.learnt, self.plans = Trend(bounds), Learnt(bounds), Plans(bounds, whither, place)
        self.plans.past = self.learnt.past
        self.span_ms = max(site.idle_life_ms, bounds.beat_ms)  # beyond it a copy that stands idle may lapse
        self.best: str | None = None
        self.moves: list[Move] = []

    def called(self, now_ms: float, session: Session, site: str) -> None:
        self.watch.called(now_ms, session, site)

    def heard(self, now_ms: float, owner: str, word: m.Word) -> None:
        self.watch.heard(now_ms, owner, word)

    def announced(self, now_ms: float, plan: m.Announced) -> bool:
        return self.plans.announced(now_ms, plan)

    def word(self) -> m.Word:
        return self.watch.word()

    def step(self, now_ms: float, view: View) -> Sequence[m.Order | LetGo]:
        """One look: what rose, what it teaches, what is expected, what is staged."""
        beat = self.watch.beat(now_ms)
        self.scores.seen(now_ms, beat)
        found: list[m.Order | LetGo] = list(self.planner.seen(now_ms, beat))
        able = (self.trend, self.learnt)
        made: dict[str, list[Move]] = {}
        for predictor in able:
            predictor.learn(now_ms, self.watch, beat)
            made[predictor.name] = predictor.moves(now_ms, self.watch, self.span_ms)
        certain = self.plans.moves(now_ms, self.watch, self.span_ms)
        for moves in (*made.values(), certain):
            self.scores.predicted(now_ms, moves)
        self.best = self.scores.best([predictor.name for predictor in able])
        still = self.plans.standby()
        guessed = [move for move in made.get(self.best or "", []) if move.whither not in still]
        self.moves = certain + guessed
        return found + self.planner.step(
            now_ms, self.moves, view, lambda session: self._rate(now_ms, session)
        )

    def _rate(self, now_ms: float, session: Session) -> float:
        track = self.watch.tracks.get(session)
        return track.rate_ps(self.bounds, now_ms) if track is not None else 0.0
