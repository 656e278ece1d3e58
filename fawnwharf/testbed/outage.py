"""What a power loss cost, by the records of a run. Pure.

Service of a second is the worth of its requests that were answered in time over the worth of all, by when
they began. A part of the service before the first power loss is back with the first second after the last one
from which on it lasts for `STAYS_S` seconds.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from fawnwharf.fakes.calls import Request

PARTS = 0.5, 0.9, 0.99
STAYS_S = 3
BEFORE_S = 1.0  # the first of the load is not what calm is like


@dataclass(slots=True)
class Outage:
    """The cost of a power loss: seconds from the last one, counts from the first one."""

    before: float  # service before the first cut
    service: list[float] = field(default_factory=list)  # of each whole second; nan: nothing was asked
    to: dict[str, float | None] = field(default_factory=dict)  # by part; None: not within the run
    asked_worst: int = 0  # fetches that were asked of the store in its worst second
    waiting_most: int = 0  # loads that waited there, in all
    fell: int = 0  # scorers, cold
    second_runs: int = 0  # of at-most-once calls, beyond the first
    mean: float = 0.0  # service from the last cut to the end of the load
    came: int = 0  # front ends whose machines came back
    serving: int = 0  # of those, at the end
    unheard: int = 0  # of those, whose change log tells them what they pass over, by its number

    def until(self, part: float) -> float:
        """As `to`; the length of the run where it was not reached."""
        found = self.to.get(f"{part:.0%}")
        return float(len(self.service)) if found is None else found

    def lines(self) -> list[str]:
        """The figures as text."""
        times = "  ".join(f"{p} {'never' if at is None else f'{at:.0f} s'}" for p, at in self.to.items())
        found = [
            f"power lost: service {self.before:.4f} before, {self.mean:.4f} since; back after  {times}",
            f"  {self.serving} of {self.came} front ends that came back serve; {self.fell} scorers fell; "
            f"{self.second_runs} at-most-once runs beyond the first",
            f"  store: {self.asked_worst} fetches asked in its worst second, {self.waiting_most} waited",
        ]
        if self.unheard:
            found.append(f"  {self.unheard} pass over what their change log tells, as its numbers are lower")
        return found


def by_second(requests: Iterable[Request], since_ms: float, until_ms: float) -> list[float]:
    """Service of each whole second between two times."""
    length = max(0, int((until_ms - since_ms) / 1000.0))
    asked, served = [0.0] * length, [0.0] * length
    for request in requests:
        n = int((request.began_ms - since_ms) // 1000.0)
        if 0 <= n < length:
            asked[n] += request.kind.worth
            served[n] += request.kind.worth * request.on_time
    return [s / a if a else float("nan") for s, a in zip(served, asked, strict=True)]


def whole(requests: Iterable[Request], since_ms: float, until_ms: float) -> float:
    """Service of all that began between two times; not a number where nothing did."""
    part = [request for request in requests if since_ms <= request.began_ms < until_ms]
    asked = sum(request.kind.worth for request in part)
    return sum(r.kind.worth * r.on_time for r in part) / asked if asked else float("nan")


def back_at(service: list[float], wanted: float) -> float | None:
    """The first second from which on so much is there for `STAYS_S` seconds."""
    for n in range(len(service) - STAYS_S + 1):
        if all(value >= wanted for value in service[n : n + STAYS_S]):
            return float(n)
    return None


def worst_second(times_ms: Iterable[float], since_ms: float) -> int:
    """The most that came within one second, counted by whole ones from a time on."""
    counts = Counter(int((at - since_ms) // 1000.0) for at in times_ms if at >= since_ms)
    return max(counts.values(), default=0)


def outage(
    began_ms: float,
    cuts_ms: list[float],
    ended_ms: float,
    requests: list[Request],
    asked: list[tuple[float, int]],
) -> Outage:
    """The cost, by the records of a run.

    `began_ms` and `ended_ms` are those of the load; `asked` has of each fetch when it was requested of the
    store and how many were queued there then, itself included. What else is known is set by the caller.
    """
    first, last = cuts_ms[0], cuts_ms[-1]
    service = by_second(requests, last, ended_ms)
    before = whole(requests, began_ms + 1000.0 * BEFORE_S, first)
    return Outage(
        before=before,
        service=service,
        mean=whole(requests, last, ended_ms),
        to={f"{part:.0%}": back_at(service, part * before) for part in PARTS},
        asked_worst=worst_second((at for at, _ in asked), first),
        waiting_most=max((waiting for at, waiting in asked if at >= first), default=0),
    )


Of = Callable[[Outage], float]

FIGURES: dict[str, Of] = {
    **{f"to {part:.0%}, s": lambda o, part=part: o.until(part) for part in PARTS},
    "store, worst s": lambda o: float(o.asked_worst),
    "store, waiting": lambda o: float(o.waiting_most),
    "fell": lambda o: float(o.fell),
    "run twice": lambda o: float(o.second_runs),
    "log unheard": lambda o: float(o.unheard),
    "after the cut": lambda o: o.mean,
}
