"""Calls for cold scorers: who gives them out, and how they are asked for.

Pure; milliseconds of the own monotonic clock. Each cold scorer has one warden among those that give
(`budget.warden_of`), which gives no more tickets within the scorer's window than its room. Others ask it in
bunches, one question a scorer at a time. That holds while wardens change, as long as all see within `lag_ms`
who is heard: a new one waits a window and that long, and a ticket counts for `TICKET_MS` from when its
question was asked, by the clock of the one who asked, whatever the way took.
"""

from collections import deque
from dataclasses import dataclass, field, replace

from fawnwharf.recovery_core.budget import (
    PERMIT_MS,
    FleetLimits,
    SlowStartCoordinator,
    slow_start_coordinator_of,
)
from fawnwharf.recovery_service.actions import SendPermitMessage, SlowStartPermit
from fawnwharf.recovery_service.load_permits import continues_deal
from fawnwharf.recovery_service.permit_messages import MAX_PERMITS_PER_REQUEST, PermitRequest, PermitResponse

MAX_SCORERS = 4_096
MAX_WAITING_CALLS = 4_096  # calls that wait for a ticket here
MAX_TURNS = 1_024  # of one scorer, that were told to those who got no ticket
RETRY_MS = 200.0  # a question without an answer for so long is asked again
RESTART_MS = 500.0  # a scorer's age may be told a little differently each time


@dataclass(slots=True)
class _Scorer:
    up_ms: float
    warden: str = ""
    waiting: deque[str] = field(default_factory=deque)  # keys that are not asked for, or not answered
    number: int = 0  # of the question under way; 0: none is
    asked_ms: float = float("-inf")
    full_ms: float = float("-inf")  # its warden said that nothing is free before
    turns: deque[float] = field(default_factory=deque)  # told by this warden to those without a ticket


class CoordinatedSlowStart:
    """Owns the scorers that are there, what this front end gives out of them, and what it asks others for."""

    def __init__(self, me: str, life: int, limits: FleetLimits, lag_ms: float) -> None:
        self.me, self.life, self.limits, self.lag_ms = me, life, limits, lag_ms
        self.warden = SlowStartCoordinator(limits)
        self.scorers: dict[int, _Scorer] = {}
        self.keys: dict[str, int] = {}  # that wait, and for which scorer
        self.counts: dict[str, int] = {}
        self._givers: tuple[str, ...] = ()
        self._since_ms = float("inf")  # these are the givers since
        self._deal: tuple[int, int] | None = None  # cut and number of it
        self._wait_ms, self._first = lag_ms, False  # how long others may go by the givers before
        self._number = 0

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    # --- who is there -----------------------------------------------------------------------------

    def set(
        self,
        now_ms: float,
        givers: tuple[str, ...],
        part: float,
        deal: tuple[int, int] | None = None,
        lag_ms: float = 0.0,
        first: bool = False,
    ) -> None:
        """As `Seats.set`; `givers`: who may be a warden."""
        part = min(1.0, max(0.0, part))
        self.warden.limits = replace(self.limits, fall_multiple=self.limits.fall_multiple * part)
        self._wait_ms = self.lag_ms if deal is None else lag_ms
        if (deal, first) == (self._deal, self._first) and givers == self._givers:
            return
        if not continues_deal(self._deal, deal) or first:
            for scorer in self.scorers.values():
                scorer.warden = ""  # another may have been it since, or nobody was ever
        self._deal, self._first = deal, first
        self._givers, self._since_ms = givers, now_ms
        for id, scorer in self.scorers.items():
            self._ward(now_ms, id, scorer, first)

    def _ward(self, now_ms: float, id: int, scorer: _Scorer, nobodys: bool = False) -> None:
        """Find its warden. `nobodys`: it came up when all had long known who that would be, or
        nobody gave in this cut."""
        warden = slow_start_coordinator_of(str(id), self._givers)
        if warden == scorer.warden:
            return
        scorer.warden, scorer.number, scorer.full_ms = warden, 0, float("-inf")
        scorer.turns.clear()
        given = self.warden.issued.get(str(id))
        self.warden.forget(str(id))
        if warden == self.me:
            if nobodys:
                self.warden.has_no_predecessor(str(id))
                if given:  # to others, that were told of this dealing before
                    self.warden.issued[str(id)] = given
            else:
                self.warden.since[str(id)] = now_ms + self._wait_ms

    def scorer(self, now_ms: float, id: int, age_ms: float) -> None:
        """It is there, and that old."""
        up_ms, known = now_ms - age_ms, self.scorers.get(id)
        if known is not None:
            if abs(up_ms - known.up_ms) > RESTART_MS:
                known.up_ms = up_ms  # what was given out before may still be on its way: it counts
            return
        if len(self.scorers) >= MAX_SCORERS:
            self._count("scorers beyond what is kept")
            return
        found = self.scorers[id] = _Scorer(up_ms)
        if self._givers:
            self._ward(now_ms, id, found, nobodys=self._first or up_ms >= self._since_ms + self._wait_ms)

    def gone(self, id: int) -> list[SlowStartPermit]:
        """It is there no more; who waited for it may look elsewhere."""
        scorer = self.scorers.pop(id, None)
        if scorer is None:
            return []
        self.warden.forget(str(id))
        keys = [key for key in scorer.waiting if self.keys.pop(key, None) is not None]
        return [SlowStartPermit(key, 1.0) for key in keys]

    def age_ms(self, now_ms: float, id: int) -> float | None:
        scorer = self.scorers.get(id)
        return None if scorer is None else now_ms - scorer.up_ms

    def cold(self, now_ms: float, id: int) -> bool:
        age_ms = self.age_ms(now_ms, id)
        return age_ms is not None and age_ms < self.limits.cold_ms

    # --- calls here -------------------------------------------------------------------------------

    def ask(self, now_ms: float, id: int, key: str) -> float | None:
        """0: send now; > 0: not before; None: asked, `tick` and `given` tell."""
        scorer = self.scorers.get(id)
        if scorer is None or not self.cold(now_ms, id):
            return 0.0
        if scorer.warden == self.me:
            return self._give(now_ms, id, scorer)
        if now_ms < scorer.full_ms:
            return scorer.full_ms - now_ms
        if len(self.keys) >= MAX_WAITING_CALLS:
            self._count("calls for tickets beyond what is kept")
            return self.limits.fall_ms
        if key not in self.keys:
            self.keys[key] = id
            scorer.waiting.append(key)
        return None

    def drop(self, key: str) -> None:
        """The call needs none any more; a ticket that comes for it is the next one's."""
        id = self.keys.pop(key, None)
        if id is not None and id in self.scorers:
            self.scorers[id].waiting.remove(key)

    def _give(self, now_ms: float, id: int, scorer: _Scorer) -> float:
        """A ticket, or a turn of one's own: not all come again at the same moment."""
        wait_ms = self.warden.acquire(now_ms, str(id), now_ms - scorer.up_ms)
        if wait_ms <= 0.0:
            return 0.0
        turns = scorer.turns
        while turns and turns[0] <= now_ms:
            turns.popleft()
        span_ms = self.limits.fall_ms + PERMIT_MS
        given, ahead = self.warden.issued.get(str(id)) or (), len(turns)
        if given:
            due_ms = given[ahead % len(given)] + span_ms * (1 + ahead // len(given))
        else:  # it waits, as it is new: its room comes after that, one after the other
            room = self.warden.limits.max_calls(now_ms - scorer.up_ms)
            due_ms = now_ms + wait_ms + span_ms * ahead / room
        if len(turns) < MAX_TURNS:
            turns.append(max(due_ms, turns[-1] if turns else due_ms))
        return max(1.0, wait_ms, due_ms - now_ms)

    # --- words ------------------------------------------------------------------------------------

    def asked(self, now_ms: float, sender: str, word: PermitRequest) -> list[SendPermitMessage]:
        """Somebody asks this front end; if that is not its warden, it says nothing: a view is about to
        change."""
        scorer = self.scorers.get(word.scorer)
        if scorer is None or scorer.warden != self.me:
            self._count("asked for no ward")
            return []
        if not self.cold(now_ms, word.scorer):
            free = [0.0] * word.count
        else:
            free = [self._give(now_ms, word.scorer, scorer) for _ in range(word.count)]
        return [
            SendPermitMessage((sender,), PermitResponse(word.scorer, word.number, word.life, tuple(free)))
        ]

    def given(self, now_ms: float, sender: str, word: PermitResponse) -> list[SlowStartPermit]:
        scorer = self.scorers.get(word.scorer)
        if scorer is None or word.life != self.life or not scorer.number or scorer.number != word.number:
            self._count("an answer to nothing")
            return []
        scorer.number = 0
        late = now_ms - scorer.asked_ms > PERMIT_MS
        tickets, later = [], [free for free in word.free_ms if free > 0.0]
        for free_ms in word.free_ms:
            if free_ms <= 0.0 and late:
                self._count("a ticket came too late")
                continue
            if not scorer.waiting:
                self._count("a ticket for nobody" if free_ms <= 0.0 else "a turn for nobody")
                continue
            key = scorer.waiting.popleft()
            del self.keys[key]
            tickets.append(SlowStartPermit(key, free_ms))
        if later:
            scorer.full_ms = now_ms + min(later)
        return tickets

    def tick(self, now_ms: float) -> list[SendPermitMessage | SlowStartPermit]:
        """Ask for what waits; those whose scorer is warm by now, or one's own, go by that."""
        found: list[SendPermitMessage | SlowStartPermit] = []
        for id in list(dict.fromkeys(self.keys.values())):
            scorer = self.scorers[id]
            if scorer.warden == self.me or not self.cold(now_ms, id):
                keys = list(scorer.waiting)
                scorer.waiting.clear()
                for key in keys:
                    del self.keys[key]
                    free_ms = self.ask(now_ms, id, key)
                    found.append(SlowStartPermit(key, 0.0 if free_ms is None else free_ms))
            elif scorer.warden and (not scorer.number or now_ms - scorer.asked_ms >= RETRY_MS):
                self._number += 1
                scorer.number, scorer.asked_ms = self._number, now_ms
                count = min(MAX_PERMITS_PER_REQUEST, len(scorer.waiting))
                found.append(
                    SendPermitMessage((scorer.warden,), PermitRequest(id, self._number, self.life, count))
                )
        return found
