"""What a front end has seen of sessions and functions, and what replicas were told of sessions.

Pure; bounded: those without calls for longest are dropped first. Milliseconds of one clock.
"""

import math

from msgspec import Struct

from fawnwharf.interface import ClassSpec
from fawnwharf.migration import messages as m
from fawnwharf.migration.many import Live
from fawnwharf.session_types import Placement, Session
from fawnwharf.sessions.settings import Settings

FADE_MS = 10_000.0  # over which calls are counted
GAIN = 0.3  # weight of one run, or load, in a function's usual one
ROWS_MOST = 20_000
FIRSTS_MOST = 20_000
TOLD_PART = 1.25  # of the time after which it is over: front ends tell of a session each quarter of that
COPIES_MOST = 4  # that are staged for one session


class _Mine(Struct, gc=False):
    kind: str
    lanes: int
    calls: float
    at_ms: float


class _Row(Struct, gc=False):
    run_ms: float = 0.0
    load_ms: float = 0.0


class Told(Struct, gc=False):
    """At a replica: what was last told of a session, and by which zone's front end."""

    facts: m.Facts | None
    site: str
    at_ms: float


class Known:
    """Owns what is known of sessions besides their placements."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.mine: dict[Session, _Mine] = {}
        self.rows: dict[str, _Row] = {}
        self.told: dict[Session, Told] = {}

    def came(self, now_ms: float, session: Session, kind: str, lanes: int, load_ms: float | None) -> None:
        """Take a call of a session."""
        mine = self.mine.pop(session, None) or _Mine(kind, lanes, 0.0, now_ms)
        mine.calls = 1.0 + mine.calls * math.exp((mine.at_ms - now_ms) / FADE_MS)
        mine.kind, mine.lanes, mine.at_ms = kind, max(1, min(1_024, lanes)), now_ms
        _put(self.mine, session, mine, self.most)
        if load_ms and load_ms > 0 and not self._row(session.row).load_ms:
            self._row(session.row).load_ms = min(load_ms, 3_600_000.0)

    def _row(self, row: str) -> _Row:
        found = self.rows.get(row)
        return found if found is not None else _put(self.rows, row, _Row(), ROWS_MOST)

    def ran(self, row: str, took_ms: float) -> None:
        """Take the duration of a run, in milliseconds."""
        entry = self._row(row)
        entry.run_ms += (took_ms - entry.run_ms) * (GAIN if entry.run_ms else 1.0)

    def loaded(self, row: str, took_ms: float) -> None:
        """Take the duration of a load, in milliseconds."""
        entry = self._row(row)
        entry.load_ms += (took_ms - entry.load_ms) * (GAIN if entry.load_ms else 1.0)

    def facts(self, now_ms: float, session: Session) -> m.Facts | None:
        """What this front end has seen of a session; None where no call came here."""
        mine, row = self.mine.get(session), self.rows.get(session.row) or _Row()
        if mine is None:
            return None
        rate = 1_000.0 / FADE_MS * mine.calls * math.exp((mine.at_ms - now_ms) / FADE_MS)
        return m.Facts(mine.kind, mine.lanes, round(row.load_ms, 1), round(row.run_ms, 1), round(rate, 3))

    def tell(self, now_ms: float, session: Session, facts: m.Facts | None, site: str) -> None:
        """Take what a front end of a zone told of a session that is in use there."""
        before = self.told.pop(session, None)
        _put(self.told, session, Told(facts or (before and before.facts), site, now_ms), self.most)

    def best(self, now_ms: float, session: Session) -> m.Facts | None:
        """What others told of a session, else what was seen here."""
        told = self.told.get(session)
        return told.facts if told and told.facts else self.facts(now_ms, session)

    def live(
        self, now_ms: float, session: Session, used_ms: float, classes: dict[str, ClassSpec], rules: Settings
    ) -> Live:
        """The worth of a session, by its class and calls; one that has been still for long is likely over.

        `used_ms`: when its replica last heard of it.
        """
        told = self.told.get(session)
        facts = told.facts if told else None
        spec = classes.get(facts.kind) if facts else None
        worth = (spec.priority_weight if spec else 1.0) * min(1.0, 0.1 + (facts.rate if facts else 0.0))
        still_ms = now_ms - (told.at_ms if told else used_ms)
        return Live(session, worth, rules.drain.cost, TOLD_PART * rules.handover.still_ms - still_ms)

    def forget(self, now_ms: float, still_ms: float) -> None:
        """Forget sessions without calls for `still_ms`."""
        for held in (self.mine, self.told):
            while held:
                session, entry = next(iter(held.items()))
                if now_ms - entry.at_ms < still_ms:
                    break
                del held[session]


class Firsts:
    """Owns which sessions' next call here is the first after a migration, and whether it found a copy."""

    def __init__(self) -> None:
        self.found = self.cold = 0
        self._sessions: dict[Session, int] = {}
        self._calls: dict[str, Session] = {}

    def met(self, told: m.Told, before: Placement | None) -> None:
        """Take a decided placement; `before` is the one that is known here."""
        if told.step is m.Step.SWITCHED and before is not None and told.home.number > before.number:
            _put(self._sessions, told.home.session, told.home.number, FIRSTS_MOST)

    def begun(self, call: str, session: Session) -> None:
        """Take the begin of a call."""
        if self._sessions and self._sessions.pop(session, None) is not None:
            _put(self._calls, call, session, FIRSTS_MOST)

    def ended(self, call: str, found: bool | None) -> None:
        """Take the end of a call; `found`: its copy stood; None where the end told nothing of that."""
        if self._calls and self._calls.pop(call, None) is not None and found is not None:
            self.found, self.cold = self.found + found, self.cold + (not found)


def copies(facts: m.Facts | None) -> int:
    """How many copies serve a session's calls (Little's law)."""
    if facts is None:
        return 1
    return max(1, min(COPIES_MOST, math.ceil(facts.rate * facts.run_ms / 1_000.0 / facts.lanes)))


def _put(held: dict, key: object, value, most: int):
    while len(held) >= most:
        del held[next(iter(held))]
    held[key] = value
    return value
