"""Stand-in clients whose calls are sessions: live series by one tenant to one function, each at one site at a
time, that can be moved to another. Times are milliseconds.
"""

import random
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from fawnwharf.fakes.calls import Request
from fawnwharf.fakes.clients import Clients
from fawnwharf.net.timer_wheel import monotonic_ms

AGAIN_MS = 1_000.0  # calls of the last second come again where a session goes
RECENT = 8  # calls of a session that are remembered for it
ANY = "*"
AHEAD = 16  # moves by chance that are drawn before they come


@dataclass(slots=True, eq=False)
class Live:
    """One session, and where its clients are."""

    org: str
    row: str
    site: str
    recent: deque[Request] = field(default_factory=lambda: deque(maxlen=RECENT))


@dataclass(frozen=True, slots=True)
class Moved:
    """Clients of a session left a site for another one; without a word to anybody."""

    at_ms: float
    org: str
    row: str
    source: str
    destination: str


@dataclass(frozen=True, slots=True)
class Planned:
    """A move that is to come, as only an oracle knows."""

    at_ms: float
    live: Live
    source: str
    destination: str


class SessionClients(Clients):
    """Owns which sessions there are and where; each call is one of theirs, all alike often."""

    def __init__(self, *args: Any, again: float = 0.0, **how: Any) -> None:
        """`args` as of Clients, then how many sessions begin at each site. `again`: the chance that a call of
        the last second comes again, under its keys, at the site that its session is moved to."""
        *args, begin = args
        super().__init__(*args, **how)
        self._moving, self._comes_again = random.Random(args[1] + 2), random.Random(args[1] + 3)
        self._again_part = again
        self.moved: list[Moved] = []
        self.live: list[Live] = []
        pairs = [(org, row) for row in self.functions for org in self.tenants]
        if sum(begin.values()) > len(pairs):
            raise ValueError(f"{sum(begin.values())} sessions of {len(pairs)} tenants and functions")
        self._moving.shuffle(pairs)
        for site, count in begin.items():
            self.live += [Live(*pairs.pop(), site) for _ in range(count)]
        self._bounces_ps, self._bounced = 0.0, ""
        self.planned: deque[Planned] = deque()  # moves by chance that are to come

    def start(self) -> None:
        rates = self.rates
        self.rates = {}  # sites have none of their own: sessions take theirs along
        super().start()
        self.rates = rates
        self._next("")

    def _next(self, zone: str) -> None:
        rate = sum(self.rates.values()) * self.factor
        if self.running and rate > 0:
            self.loop.timers.after(self.chance.expovariate(rate) * 1000.0, lambda: self._arrive(""))

    def _arrive(self, zone: str) -> None:
        if not self.running:
            return
        self._next("")
        live = self.chance.choice(self.live)
        kind = self.chance.choices(self.kinds, [kind.part for kind in self.kinds])[0]
        live.recent.append(self._ask(kind, live.site, live.org, live.row))

    def _try(self, request: Request) -> None:
        if self._again_part and request.kind.effect == "at_most_once" and not request.call_id:
            request.call_id = f"{self._ids.getrandbits(64):016x}"
        super()._try(request)

    # --- moves ----------------------------------------------------------------------------------

    def draw(
        self,
        source: str,
        share: float = 1.0,
        tenant: str = "",
        count: int | None = None,
        but: str = "",
        served: bool = False,
    ) -> list[Live]:
        """So large a part of the sessions of a site (`*`: of all), or so many, but those at `but`; of those
        with a call that was served, where it is said: before that nobody knows of it for sure."""
        there = [
            live
            for live in self.live
            if source in (ANY, live.site)
            and live.site != but
            and tenant in ("", live.org)
            and (not served or any(request.outcome == "served" for request in live.recent))
        ]
        count = round(share * len(there)) if count is None else min(count, len(there))
        return self._moving.sample(there, count)

    def elsewhere(self, live: Live, destination: str, open_: list[str] | None = None) -> str:
        """The site itself, or one by chance for `*`."""
        if destination != ANY:
            return destination
        return self._moving.choice([site for site in open_ or self.rates if site != live.site])

    def move(self, live: Live, destination: str) -> Moved:
        now = monotonic_ms()
        moved = Moved(now, live.org, live.row, live.site, destination)
        self.moved.append(moved)
        live.site = destination
        for request in list(live.recent):
            if request.began_ms > now - AGAIN_MS and self._comes_again.random() < self._again_part:
                self._try(self._again(request, destination))
        return moved

    def bounce(self, moves_ps: float, tenant: str = "") -> None:
        """Sessions, of all or one tenant, go to sites by chance, so many a second; 0 ends it."""
        begins = not self._bounces_ps
        self._bounces_ps, self._bounced = moves_ps, tenant
        if begins and moves_ps:
            self.planned.clear()
            self._bounce_on()

    def _bounce_on(self) -> None:
        if not self.running or not self._bounces_ps:
            self.planned.clear()
            return
        now = monotonic_ms()
        while self.planned and self.planned[0].at_ms <= now:
            planned = self.planned.popleft()
            self.move(planned.live, planned.destination)
        while len(self.planned) < AHEAD:
            last_ms = self.planned[-1].at_ms if self.planned else now
            at_ms = last_ms + self._moving.expovariate(self._bounces_ps) * 1000.0
            [live] = self.draw(ANY, tenant=self._bounced, count=1)
            site = next((p.destination for p in reversed(self.planned) if p.live is live), live.site)
            destination = self._moving.choice([other for other in self.rates if other != site])
            self.planned.append(Planned(at_ms, live, site, destination))
        self.loop.timers.after(max(1.0, self.planned[0].at_ms - now), self._bounce_on)
