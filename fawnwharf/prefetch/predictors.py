"""Predictors of session moves behind one interface: none, trend, history, and announced plans. No I/O.

A prediction says that a session will call in another zone within a time; its probability is scored afterwards
(`prediction_scores`). A predictor names at most `most` sessions in a pass, the busiest first. The work of a
pass is done in slices. It is bounded by `most` and the number of groups, not by the number of sessions.
"""

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fawnwharf.prefetch import messages as m
from fawnwharf.prefetch.move_history import MoveHistory
from fawnwharf.prefetch.session_monitor import SessionGroup, SessionMonitor, SessionRate
from fawnwharf.prefetch.settings import PrefetchSettings
from fawnwharf.prefetch.slices import Slices
from fawnwharf.session_types import PredictedMove, Session

MAX_SPAN_MS = 3_600_000.0
MOVES_PER_SLICE = 40
GROUPS_PER_SLICE = 30
RISING_PER_SLICE = 30
MAX_MOVE_RATES = 10_000

ZoneShares = tuple[tuple[str, float], ...]  # zones with the fraction of a session's calls that goes there
NextZones = Callable[[Session, str], ZoneShares]
ReturnPosition = Callable[[Session, str], float | None]
HomeZone = Callable[[Session], str]


class Predictor(Protocol):
    """A predictor of moves; `name` identifies it in predictions and scores."""

    name: str

    def learn(self, now_ms: float, watch: SessionMonitor, beat: m.ScanResult, /) -> Slices[None]:
        """Learn from the result of one pass."""
        ...

    def moves(self, now_ms: float, watch: SessionMonitor, span_ms: float, /) -> Slices[list[PredictedMove]]:
        """Return the moves expected within `span_ms`, with their probabilities."""
        ...


class NoMovePredictor:
    """Predicts no move: the baseline for the other predictors."""

    name = "nothing"

    def learn(self, _now_ms: float, _watch: SessionMonitor, _beat: m.ScanResult) -> Slices[None]:
        """Nothing is learnt."""
        yield

    def moves(self, _now_ms: float, _watch: SessionMonitor, _span_ms: float) -> Slices[list[PredictedMove]]:
        """Return no moves."""
        yield
        return []


# Sessions of one group that make the same move: (probability, group, source, destination).
_GroupMove = tuple[float, SessionGroup, str, str]


@dataclass(frozen=True, slots=True)
class _PassContext:
    """Inputs of one predictor in one pass.

    `past` gives the probability that a session lives for `alive_ms` more; None means that all do.
    """

    now_ms: float
    watch: SessionMonitor
    settings: PrefetchSettings
    predictor: str
    span_ms: float
    past: MoveHistory | None
    alive_ms: float


def _likeliest_moves(context: _PassContext, group_moves: list[_GroupMove]) -> Slices[list[PredictedMove]]:
    """Return moves of the sessions in `group_moves`, the likeliest first, up to about twice `most`."""
    most = context.settings.most
    found: list[PredictedMove] = []
    for chance, group, source, destination in sorted(group_moves, key=lambda move: -move[0]):
        if len(found) >= 2 * most:
            break
        for session in group.busiest(most):
            track = context.watch.tracks.get(session)
            if track is None:
                continue
            lives = (
                context.past.lives(context.now_ms, session, track, context.alive_ms) if context.past else 1.0
            )
            found.append(
                PredictedMove(
                    session, source, destination, context.span_ms, chance * lives, context.predictor
                )
            )
            if len(found) % MOVES_PER_SLICE == 0:
                yield
    return found


@dataclass(slots=True)
class _MoveRates:
    """Moves of a tenant's sessions from one zone to another, in two decaying windows."""

    fast: float
    slow: float
    at_ms: float


class TrendPredictor:
    """Predicts from recent rates and their slope.

    Sessions follow others that recently left the same zone. Their rate is that of the fast window plus its
    excess over the slow window. A session with a rising share of calls in another zone moves there.
    """

    name = "trend"

    def __init__(self, settings: PrefetchSettings) -> None:
        self.settings = settings
        self.past: MoveHistory | None = None  # for survival; None: all live on
        self._move_rates: dict[tuple[str, str, str], _MoveRates] = {}
        self._multi_zone_sessions: dict[Session, None] = {}

    def learn(self, now_ms: float, watch: SessionMonitor, beat: m.ScanResult) -> Slices[None]:
        """Count moves, and record which sessions called in several zones."""
        for n, moved in enumerate(beat.moved):
            if n % MOVES_PER_SLICE == MOVES_PER_SLICE - 1:
                yield
            key = (moved.session.org, moved.source, moved.destination)
            rates = self._move_rates.pop(key, None) or _MoveRates(0.0, 0.0, now_ms)
            self._move_rates[key] = self._decayed(
                rates, now_ms
            )  # inserted last, so that the first one is the oldest
            self._move_rates[key].fast += 1.0
            self._move_rates[key].slow += 1.0
        while self._move_rates:
            key, rates = next(iter(self._move_rates.items()))
            if now_ms - rates.at_ms <= 5 * self.settings.slow_ms and len(self._move_rates) <= MAX_MOVE_RATES:
                break
            del self._move_rates[key]
        self._multi_zone_sessions = {}
        for n, calls in enumerate(beat.called):
            if n % (5 * RISING_PER_SLICE) == 0:
                yield
            track = watch.tracks.get(calls.session)
            if (
                track is not None
                and len(track.flows) > 1
                and len(self._multi_zone_sessions) < 2 * self.settings.most
            ):
                self._multi_zone_sessions[calls.session] = None

    def _decayed(self, rates: _MoveRates, now_ms: float) -> _MoveRates:
        span = rates.at_ms - now_ms
        fast = rates.fast * math.exp(span / self.settings.fast_ms)
        return _MoveRates(fast, rates.slow * math.exp(span / self.settings.slow_ms), now_ms)

    def moves(self, now_ms: float, watch: SessionMonitor, span_ms: float) -> Slices[list[PredictedMove]]:
        """Return moves of sessions that follow others, and of sessions whose calls shift to another zone."""
        settings = self.settings
        group_moves: list[_GroupMove] = []
        for n, ((org, source, destination), held) in enumerate(self._move_rates.items()):
            if n % GROUPS_PER_SLICE == GROUPS_PER_SLICE - 1:
                yield
            group = watch.groups.get((org, source))
            rates = self._decayed(held, now_ms)
            if not group or rates.fast < 0.5:
                continue
            fast, slow = rates.fast / settings.fast_ms, rates.slow / settings.slow_ms
            hazard = max(0.0, fast + max(0.0, fast - slow)) / (len(group) + rates.fast)
            chance = 1.0 - math.exp(-hazard * span_ms)
            if chance >= settings.floor:
                group_moves.append((chance, group, source, destination))
        context = _PassContext(now_ms, watch, settings, self.name, span_ms, self.past, 0.0)
        found = yield from _likeliest_moves(context, group_moves)
        for n, session in enumerate(self._multi_zone_sessions):
            if n % RISING_PER_SLICE == RISING_PER_SLICE - 1:
                yield
            track = watch.tracks.get(session)
            if track is not None and len(track.flows) > 1 and len(found) < 3 * settings.most:
                found += self._rising_moves(session, track, span_ms)
        return heapq.nlargest(settings.most, found, key=lambda move: move.probability)

    def _rising_moves(self, session: Session, track: SessionRate, span_ms: float) -> list[PredictedMove]:
        fast, slow = (sum(getattr(f, n) for f in track.flows) or 1.0 for n in ("fast", "slow"))
        found = []
        for flow in track.flows:
            share, before = flow.fast / fast, flow.slow / slow
            ahead = min(0.95, share + (share - before) * span_ms / self.settings.slow_ms)
            if flow.site != track.site and share > before and ahead >= self.settings.floor:
                found.append(PredictedMove(session, track.site, flow.site, span_ms, ahead, self.name))
        return found


class HistoryPredictor:
    """Predicts from the history by tenant, zones and phase of the day, and from the lifetime of sessions."""

    name = "learnt"

    def __init__(self, settings: PrefetchSettings) -> None:
        self.settings = settings
        self.past = MoveHistory(settings)

    def learn(self, now_ms: float, watch: SessionMonitor, beat: m.ScanResult) -> Slices[None]:
        """Add the result of one pass to the history."""
        yield from self.past.learning(now_ms, watch, beat)

    def moves(self, now_ms: float, watch: SessionMonitor, span_ms: float) -> Slices[list[PredictedMove]]:
        """Return moves by the hazards of the history."""
        settings = self.settings
        group_moves: list[_GroupMove] = []
        for n, ((org, site), group) in enumerate(list(watch.groups.items())):
            if n % GROUPS_PER_SLICE == GROUPS_PER_SLICE - 1:
                yield
            hazards = self.past.hazards(now_ms, org, site, span_ms)
            total = sum(hazards.values())
            if total <= 0.0:
                continue
            leaves = 1.0 - math.exp(-total)
            for destination, hazard in sorted(hazards.items()):
                chance = leaves * hazard / total
                if chance >= settings.floor and destination != site:
                    group_moves.append((chance, group, site, destination))
        context = _PassContext(now_ms, watch, settings, self.name, span_ms, self.past, span_ms)
        found = yield from _likeliest_moves(context, group_moves)
        return heapq.nlargest(settings.most, found, key=lambda move: move.probability)


def _nowhere(_session: Session, _site: str) -> ZoneShares:
    return ()


def _homeless(_session: Session) -> str:
    return ""


def _unplaced(_session: Session, _site: str) -> float | None:
    return None


@dataclass(frozen=True, slots=True)
class ZoneRules:
    """The home zones of sessions, and where sessions go while a zone is closed."""

    destination: NextZones = _nowhere  # next zones and shares of a session whose zone is closed
    place: ReturnPosition = _unplaced  # position of a session in a zone's order of return, from 0 to 1
    belongs: HomeZone = _homeless  # home zone of a session


class PlanPredictor:
    """Predicts the moves of announced plans as certain.

    A session in a drained zone goes to the zones and shares that `destination` returns, which follow the
    plan's flows. A session that left a returning zone goes back once the open fraction covers its position.
    If the position is unknown, the probability is the step's share of the remaining sessions.
    """

    name = "announced"

    def __init__(
        self,
        settings: PrefetchSettings,
        destination: NextZones = _nowhere,
        place: ReturnPosition = _unplaced,
        belongs: HomeZone = _homeless,
    ) -> None:
        self.settings, self.destination, self.place, self.belongs = settings, destination, place, belongs
        self.past: MoveHistory | None = None  # for survival; None: all live on
        self._plans: dict[str, tuple[float, m.AnnouncedPlan]] = {}

    def announced(self, now_ms: float, plan: m.AnnouncedPlan) -> bool:
        """Store a plan; return False if the same or a later plan of the zone is already known."""
        known = self._plans.get(plan.site)
        if known is not None and plan.number <= known[1].number:
            return False
        self._plans[plan.site] = now_ms, plan
        return True

    def standby(self) -> frozenset[str]:
        """Return the zones on standby, to which no session moves by itself."""
        return frozenset(site for site, (_, plan) in self._plans.items() if plan.kind == "standby")

    def learn(self, _now_ms: float, _watch: SessionMonitor, _beat: m.ScanResult) -> Slices[None]:
        """Nothing is learnt."""
        yield

    def moves(self, now_ms: float, watch: SessionMonitor, span_ms: float) -> Slices[list[PredictedMove]]:
        """Return the moves of the plan steps that are due within `span_ms`."""
        found: list[PredictedMove] = []
        for site, (told_ms, plan) in sorted(self._plans.items()):
            was = 1.0 if plan.kind == "drain" else 0.0
            for step in plan.steps:
                ahead = told_ms + step.in_ms - now_ms
                # A move shows only with the session's next call, so past steps stay due for a while.
                if -span_ms <= ahead <= span_ms and plan.kind != "standby":
                    falls = step.open < was
                    step_moves = self._drain_moves if falls else self._return_moves
                    found += yield from step_moves(now_ms, watch, site, was, step.open, ahead)
                was = step.open
        return heapq.nlargest(self.settings.most, found, key=lambda move: move.probability)

    def _survival(self, now_ms: float, session: Session, track: SessionRate, ahead_ms: float) -> float:
        return self.past.lives(now_ms, session, track, ahead_ms) if self.past else 1.0

    def _drain_moves(
        self, now_ms: float, watch: SessionMonitor, site: str, was: float, left: float, ahead: float
    ) -> Slices[list[PredictedMove]]:
        found: list[PredictedMove] = []
        group = watch.here.get(site, SessionGroup())
        for n, session in enumerate(group.busiest(4 * self.settings.most)):
            if n % MOVES_PER_SLICE == MOVES_PER_SLICE - 1:
                yield
            if len(found) >= self.settings.most:
                break
            if (track := watch.tracks.get(session)) is None:
                continue
            place = self.place(session, site)
            part = (was - left) / max(was, 1e-9) if place is None else float(left <= place < was)
            if part <= 0.0:
                continue
            part *= self._survival(now_ms, session, track, max(0.0, ahead))
            for target, share in self.destination(session, site):
                if part * share > 0 and target != site:
                    within = min(MAX_SPAN_MS, max(0.0, ahead) + self.settings.fast_ms)
                    found.append(
                        PredictedMove(session, site, target, within, min(1.0, part * share), self.name)
                    )
        return found

    def _return_moves(
        self, now_ms: float, watch: SessionMonitor, site: str, was: float, open_: float, ahead: float
    ) -> Slices[list[PredictedMove]]:
        found: list[PredictedMove] = []
        back = watch.left.get(site, SessionGroup()).busiest(4 * self.settings.most)
        yield
        # Sessions that began while the zone was out were never there; only the latest callers are checked.
        latest = watch.tracks.latest(4 * self.settings.most)
        for n, session in enumerate(latest):
            if n % MOVES_PER_SLICE == MOVES_PER_SLICE - 1:
                yield
            if self.belongs(session) == site:
                back[session] = None
        yield
        levels = {session: track.level for session in back if (track := watch.tracks.get(session))}
        yield
        for n, session in enumerate(sorted(levels, key=lambda session: -levels[session])):
            if n % MOVES_PER_SLICE == MOVES_PER_SLICE - 1:
                yield
            if len(found) >= self.settings.most:
                break
            if (track := watch.tracks.get(session)) is None or track.site == site:
                continue
            place = self.place(session, site)
            part = (open_ - was) / max(1.0 - was, 1e-9) if place is None else float(was <= place < open_)
            if part <= 0.0:
                continue
            part *= self._survival(now_ms, session, track, max(0.0, ahead))
            if part > 0:
                within = min(MAX_SPAN_MS, max(0.0, ahead) + self.settings.fast_ms)
                found.append(PredictedMove(session, track.site, site, within, min(1.0, part), self.name))
        return found
