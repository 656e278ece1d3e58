"""Predictors of session moves behind one interface: none, trend, learnt history, and announced plans. Pure.

A prediction says that a session will be found at another zone within a time; its probability is scored
afterwards (`score`). None names more than `most` sessions in a pass, the busiest first. The work of a pass is
done in slices, and bounded by `most` and the number of groups, not by the number of sessions.
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
MAX_FLOWS = 10_000

ZoneShares = tuple[tuple[str, float], ...]  # sites and the parts of a session's calls that go there
NextZones = Callable[[Session, str], ZoneShares]
ReturnPosition = Callable[[Session, str], float | None]
HomeZone = Callable[[Session], str]


class Predictor(Protocol):
    """One way to predict moves; `name` is in its predictions and scores."""

    name: str

    def learn(self, now_ms: float, watch: SessionMonitor, beat: m.ScanResult, /) -> Slices[None]:
        """Take the result of one pass."""
        ...

    def moves(self, now_ms: float, watch: SessionMonitor, span_ms: float, /) -> Slices[list[PredictedMove]]:
        """The moves expected within `span_ms`, with their probabilities."""
        ...


class NoMovePredictor:
    """Predicts no move: the baseline of the others."""

    name = "nothing"

    def learn(self, _now_ms: float, _watch: SessionMonitor, _beat: m.ScanResult) -> Slices[None]:
        """Nothing is learnt."""
        yield

    def moves(self, _now_ms: float, _watch: SessionMonitor, _span_ms: float) -> Slices[list[PredictedMove]]:
        """No moves."""
        yield
        return []


# Sessions that stand in one group and go the same way: (chance, group, source, destination).
_Way = tuple[float, SessionGroup, str, str]


@dataclass(frozen=True, slots=True)
class _Pass:
    """What one predictor uses in one pass.

    `past` gives the chance that a session lives for `alive_ms` more; None: all live on.
    """

    now_ms: float
    watch: SessionMonitor
    settings: PrefetchSettings
    predictor: str
    span_ms: float
    past: MoveHistory | None
    alive_ms: float


def _by_chance(this: _Pass, ways: list[_Way]) -> Slices[list[PredictedMove]]:
    """Moves of the sessions in `ways`, the likeliest first, until there are twice as many as may be named."""
    most = this.settings.most
    found: list[PredictedMove] = []
    for chance, group, source, destination in sorted(ways, key=lambda way: -way[0]):
        if len(found) >= 2 * most:
            break
        for session in group.busiest(most):
            track = this.watch.tracks.get(session)
            if track is None:
                continue
            lives = this.past.lives(this.now_ms, session, track, this.alive_ms) if this.past else 1.0
            found.append(
                PredictedMove(session, source, destination, this.span_ms, chance * lives, this.predictor)
            )
            if len(found) % MOVES_PER_SLICE == 0:
                yield
    return found


@dataclass(slots=True)
class _Flux:
    """Moves of a tenant from one zone to another, in two decaying windows."""

    fast: float
    slow: float
    at_ms: float


class TrendPredictor:
    """Predicts from recent rates and their slope.

    Sessions follow others that have just left the same zone: the flux of the fast window, increased by its
    excess over the slow one. A session whose share of calls at another zone rises goes there.
    """

    name = "trend"

    def __init__(self, settings: PrefetchSettings) -> None:
        self.settings = settings
        self.past: MoveHistory | None = None  # for survival; None: all live on
        self._flux: dict[tuple[str, str, str], _Flux] = {}
        self._called: dict[Session, None] = {}

    def learn(self, now_ms: float, watch: SessionMonitor, beat: m.ScanResult) -> Slices[None]:
        """Count moves, and remember which sessions called at several zones."""
        for n, moved in enumerate(beat.moved):
            if n % MOVES_PER_SLICE == MOVES_PER_SLICE - 1:
                yield
            key = (moved.session.org, moved.source, moved.destination)
            flux = self._flux.pop(key, None) or _Flux(0.0, 0.0, now_ms)
            self._flux[key] = self._faded(flux, now_ms)  # the last one, so that the first is the oldest
            self._flux[key].fast += 1.0
            self._flux[key].slow += 1.0
        while self._flux:
            key, flux = next(iter(self._flux.items()))
            if now_ms - flux.at_ms <= 5 * self.settings.slow_ms and len(self._flux) <= MAX_FLOWS:
                break
            del self._flux[key]
        self._called = {}
        for n, calls in enumerate(beat.called):
            if n % (5 * RISING_PER_SLICE) == 0:
                yield
            track = watch.tracks.get(calls.session)
            if track is not None and len(track.flows) > 1 and len(self._called) < 2 * self.settings.most:
                self._called[calls.session] = None

    def _faded(self, flux: _Flux, now_ms: float) -> _Flux:
        span = flux.at_ms - now_ms
        fast = flux.fast * math.exp(span / self.settings.fast_ms)
        return _Flux(fast, flux.slow * math.exp(span / self.settings.slow_ms), now_ms)

    def moves(self, now_ms: float, watch: SessionMonitor, span_ms: float) -> Slices[list[PredictedMove]]:
        """Sessions that follow a flux, and sessions whose calls shift to another zone."""
        settings = self.settings
        ways: list[_Way] = []
        for n, ((org, source, destination), held) in enumerate(self._flux.items()):
            if n % GROUPS_PER_SLICE == GROUPS_PER_SLICE - 1:
                yield
            group = watch.groups.get((org, source))
            flux = self._faded(held, now_ms)
            if not group or flux.fast < 0.5:
                continue
            fast, slow = flux.fast / settings.fast_ms, flux.slow / settings.slow_ms
            hazard = max(0.0, fast + max(0.0, fast - slow)) / (len(group) + flux.fast)
            chance = 1.0 - math.exp(-hazard * span_ms)
            if chance >= settings.floor:
                ways.append((chance, group, source, destination))
        this = _Pass(now_ms, watch, settings, self.name, span_ms, self.past, 0.0)
        found = yield from _by_chance(this, ways)
        for n, session in enumerate(self._called):
            if n % RISING_PER_SLICE == RISING_PER_SLICE - 1:
                yield
            track = watch.tracks.get(session)
            if track is not None and len(track.flows) > 1 and len(found) < 3 * settings.most:
                found += self._rising(session, track, span_ms)
        return heapq.nlargest(settings.most, found, key=lambda move: move.probability)

    def _rising(self, session: Session, track: SessionRate, span_ms: float) -> list[PredictedMove]:
        fast, slow = (sum(getattr(f, n) for f in track.flows) or 1.0 for n in ("fast", "slow"))
        found = []
        for flow in track.flows:
            share, before = flow.fast / fast, flow.slow / slow
            ahead = min(0.95, share + (share - before) * span_ms / self.settings.slow_ms)
            if flow.site != track.site and share > before and ahead >= self.settings.floor:
                found.append(PredictedMove(session, track.site, flow.site, span_ms, ahead, self.name))
        return found


class HistoryPredictor:
    """Predicts from the history by tenant, zones and phase of the day, and from how long sessions live."""

    name = "learnt"

    def __init__(self, settings: PrefetchSettings) -> None:
        self.settings = settings
        self.past = MoveHistory(settings)

    def learn(self, now_ms: float, watch: SessionMonitor, beat: m.ScanResult) -> Slices[None]:
        """Add the result of one pass to the history."""
        yield from self.past.learning(now_ms, watch, beat)

    def moves(self, now_ms: float, watch: SessionMonitor, span_ms: float) -> Slices[list[PredictedMove]]:
        """Moves by the hazards of the history."""
        settings = self.settings
        ways: list[_Way] = []
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
                    ways.append((chance, group, site, destination))
        this = _Pass(now_ms, watch, settings, self.name, span_ms, self.past, span_ms)
        found = yield from _by_chance(this, ways)
        return heapq.nlargest(settings.most, found, key=lambda move: move.probability)


def _nowhere(_session: Session, _site: str) -> ZoneShares:
    return ()


def _homeless(_session: Session) -> str:
    return ""


def _unplaced(_session: Session, _site: str) -> float | None:
    return None


@dataclass(frozen=True, slots=True)
class ZoneRules:
    """Where sessions belong, and where they go while a zone is closed."""

    destination: NextZones = _nowhere  # zones and shares for a session whose zone is closed
    place: ReturnPosition = _unplaced  # position of a session in a zone's order of return, from 0 to 1
    belongs: HomeZone = _homeless  # the zone of a session


class PlanPredictor:
    """Predicts what was announced, as certain.

    A session at a zone that is drained goes where `destination` says (zones and shares, as the plan's flows
    have it). One that left a zone which returns goes back once the open part covers its position; where that
    is unknown, the probability is the step's share of those that are left.
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
        """Take a plan, unless a later one of that zone is known. Repeats change nothing."""
        known = self._plans.get(plan.site)
        if known is not None and plan.number <= known[1].number:
            return False
        self._plans[plan.site] = now_ms, plan
        return True

    def standby(self) -> frozenset[str]:
        """Zones on standby: no session goes there by itself."""
        return frozenset(site for site, (_, plan) in self._plans.items() if plan.kind == "standby")

    def learn(self, _now_ms: float, _watch: SessionMonitor, _beat: m.ScanResult) -> Slices[None]:
        """Nothing is learnt."""
        yield

    def moves(self, now_ms: float, watch: SessionMonitor, span_ms: float) -> Slices[list[PredictedMove]]:
        """Moves by the steps of the announced plans that are due within `span_ms`."""
        found: list[PredictedMove] = []
        for site, (told_ms, plan) in sorted(self._plans.items()):
            was = 1.0 if plan.kind == "drain" else 0.0
            for step in plan.steps:
                ahead = told_ms + step.in_ms - now_ms
                # A session shows where it is by its next call alone: it may be due for a while.
                if -span_ms <= ahead <= span_ms and plan.kind != "standby":
                    falls = step.open < was
                    way = self._leave if falls else self._return
                    found += yield from way(now_ms, watch, site, was, step.open, ahead)
                was = step.open
        return heapq.nlargest(self.settings.most, found, key=lambda move: move.probability)

    def _lives(self, now_ms: float, session: Session, track: SessionRate, ahead_ms: float) -> float:
        return self.past.lives(now_ms, session, track, ahead_ms) if self.past else 1.0

    def _leave(
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
            part *= self._lives(now_ms, session, track, max(0.0, ahead))
            for target, share in self.destination(session, site):
                if part * share > 0 and target != site:
                    within = min(MAX_SPAN_MS, max(0.0, ahead) + self.settings.fast_ms)
                    found.append(
                        PredictedMove(session, site, target, within, min(1.0, part * share), self.name)
                    )
        return found

    def _return(
        self, now_ms: float, watch: SessionMonitor, site: str, was: float, open_: float, ahead: float
    ) -> Slices[list[PredictedMove]]:
        found: list[PredictedMove] = []
        back = watch.left.get(site, SessionGroup()).busiest(4 * self.settings.most)
        yield
        # Those that began while the site was out have never been there. Bounded: the last that called.
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
            part *= self._lives(now_ms, session, track, max(0.0, ahead))
            if part > 0:
                within = min(MAX_SPAN_MS, max(0.0, ahead) + self.settings.fast_ms)
                found.append(PredictedMove(session, track.site, site, within, min(1.0, part), self.name))
        return found
