"""What a run's records tell of sessions that moved, for the checker and as figures."""

import json
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from fawnwharf.fakes.calls import LATE_MS, Request
from fawnwharf.fakes.sessions import Moved
from fawnwharf.net.timer_wheel import monotonic_ms, unix_ms
from fawnwharf.testbed import homes
from fawnwharf.testbed.files import PRICES
from fawnwharf.testbed.fleet import Fleet

SPANS_S = (1, 5, 20)
RACE_MS = 300.0  # what was on its way when somebody decided is nobody's fault
CORE_PART = 0.08  # of a load's time takes a core
FIRST = "reused"  # a call found a loaded copy


def told_of(notes: Iterable[Any]) -> list[homes.Told]:
    """The placements that front ends' logs tell of."""
    found = []
    for note in notes:
        if note.event not in ("session moved", "hand-over ended"):
            continue
        f = note.fields
        settled = note.event == "hand-over ended" and bool(f.get("done"))
        session = f.get("org", ""), f.get("row", "")
        number = f.get("number", 0)
        found.append(homes.Told(note.at_ms, note.front, session, f.get("site", ""), number, settled))
    return found


def traced(fleet: Fleet) -> tuple[list[homes.Sent], list[tuple[str, str, int]]]:
    """Front ends' own traces: by which number each call was sent, and what of quotas migrations carried.

    The latter as (tenant, counter, count). Incomplete lines are the last ones of a process.
    """
    offset, found, carried = monotonic_ms() - unix_ms(), [], []
    for front in fleet.fronts.values():
        path = front.folder / "trace.jsonl"
        for line in path.read_text().splitlines() if path.exists() else ():
            try:
                f = json.loads(line)
                if "spent" in f:
                    carried += [(f["org"], counter, count) for counter, count in f["spent"].items()]
                    continue
                at_ms = fleet.clocks.true_ms(front.name, f["sent_ms"]) + offset
                session, call, number, site = (f["org"], f["row"]), f["call"], f["number"], f["site"]
            except (ValueError, KeyError, TypeError):
                continue
            life = bisect_right([since for since, _ in front.lives], at_ms)
            found.append(homes.Sent(at_ms, front.name, life, call, session, number, site))
    return found, carried


def uses_of(arrivals: Iterable[Any]) -> list[homes.Use]:
    """The calls at scorers; one that is not seen to end is left out."""
    open_: dict[tuple[str, int, str, str], Any] = {}
    found = []
    for arrival in arrivals:
        key = arrival.scorer, arrival.life, arrival.sender, arrival.id
        if arrival.what == "run":
            open_[key] = arrival
        elif arrival.what in ("done", "over", "turned") and (began := open_.pop(key, None)):
            found.append(homes.Use(began.at_ms, arrival.at_ms, began.scorer, began.function))
    return found


def judge(fleet: Fleet) -> tuple[list[str], Counter]:
    """What was broken of placements and released copies, and by how much each rule was checked."""
    told = told_of(fleet.notes)
    sent, carried = traced(fleet)
    unloads = [
        homes.Unload(a.at_ms, a.scorer, fleet.scorer_zone[a.scorer], a.function, a.sender)
        for a in fleet.arrivals
        if a.what == "unload"
    ]
    began: dict[homes.Key, list[float]] = defaultdict(list)
    came: Counter = Counter()
    for request in fleet.clients.requests:
        began[request.tenant, request.function].append(request.began_ms)
        for attempt in request.tries:
            came[request.tenant, attempt.front] += 1
    asked = (fleet.scenario.sessions or {}).get("handover", {})
    still_ms = asked.get("still_ms", 20_000.0)

    def last_call(session: homes.Key, at_ms: float) -> float:
        times = began[session]
        place = bisect_left(times, at_ms)
        return times[place - 1] if place else float("-inf")

    def excused(name: str, since_ms: float, until_ms: float) -> bool:
        front = fleet.fronts[name]
        links = [
            r for (one, other, what), r in fleet.relays.items() if what == "state" and name in (one, other)
        ]
        cut = any(link.touched_ms >= since_ms - LATE_MS for link in links)
        held = front.waits.between(since_ms, until_ms) > RACE_MS
        return cut or held or not front.well(since_ms, until_ms)

    broken = homes.one_home(told, sent)
    broken += homes.by_the_number(told, sent, excused, LATE_MS, still_ms)
    broken += homes.let_go(unloads, uses_of(fleet.arrivals), told, last_call, RACE_MS, still_ms)
    broken += homes.spent_once(carried, came)
    tried = Counter(homes=len(told), numbers=len(sent), quotas=len(carried))
    tried["let go"] = len(unloads)
    return broken, tried


# --- figures --------------------------------------------------------------------------------------


@dataclass(slots=True)
class After:
    """What became of sessions' calls after moves: worth in time over worth asked, by seconds since then."""

    moves: int = 0
    service: dict[int, float] = field(default_factory=dict)
    first_calls: int = 0
    found: float = 0.0  # part of those that found a loaded copy


@dataclass(slots=True)
class Figures:
    """The figures of one run; counts, parts, milliseconds."""

    clients: After = field(default_factory=After)  # after clients moved, or their site was lost or came back
    homes: After = field(default_factory=After)  # after homes did
    switched: int = 0  # hand-overs that were decided
    done: int = 0  # and went through all steps
    ends: dict[str, int] = field(default_factory=dict)  # hand-overs that ended, by why
    to_home_ms: tuple[float, float] = (0.0, 0.0)  # from a client's move until its home did: median, 99 %
    loads: int = 0
    staged: int = 0  # loads by orders for functions that nobody waited for there
    wasted: int = 0  # loads that no call had
    staged_wasted: int = 0
    orders: int = 0
    unloads: int = 0
    result: float = 0.0  # service, less what fetches, orders and waste cost, of one


def after(moves: list[tuple[float, homes.Key]], requests: list[Request], found: dict[str, bool]) -> After:
    """The outcome of calls after moves; calls after a session's next move are counted for that one.

    `moves` are (time, session); `found` tells by call whether its run found a copy.
    """
    times: dict[homes.Key, list[float]] = defaultdict(list)
    for at_ms, session in sorted(moves):
        times[session].append(at_ms)
    asked, served = Counter(), Counter()
    firsts, hits, last = 0, 0, dict[tuple[homes.Key, int], bool]()
    for request in sorted(requests, key=lambda request: request.began_ms):
        session = request.tenant, request.function
        place = bisect_right(times.get(session, ()), request.began_ms)
        if not place:
            continue
        if (session, place) not in last:
            last[session, place] = True
            firsts += 1
            hits += any(found.get(attempt.call_id, False) for attempt in request.tries)
        passed_s = (request.began_ms - times[session][place - 1]) / 1000.0
        for span in SPANS_S:
            if passed_s < span:
                asked[span] += request.kind.worth
                served[span] += request.kind.worth * request.on_time
    service = {span: served[span] / asked[span] if asked[span] else float("nan") for span in SPANS_S}
    return After(sum(map(len, times.values())), service, firsts, hits / firsts if firsts else float("nan"))


def staged(arrivals: Iterable[Any], requests: Iterable[Request]) -> tuple[int, int, int, int]:
    """Counts of loads: (all, prefetched, wasted, prefetched and wasted).

    A load is a prefetch where it was begun by an order of a front end at which no call for that function was
    open.
    """
    open_: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
    for request in requests:
        for attempt in request.tries:
            until_ms = attempt.ended_ms or float("inf")
            open_[attempt.front, request.function].append((attempt.sent_ms, until_ms))
    loads = wasted = staged_wasted = 0
    known: set[tuple[str, int, str, str]] = set()
    for arrival in arrivals:
        key = arrival.scorer, arrival.life, arrival.sender, arrival.id
        if arrival.what == "load":
            loads += 1
            waits = open_[arrival.sender, arrival.function]
            # A race is decided a moment after its call has come, and arrives when that may be answered.
            if arrival.note == "order" and not any(s <= arrival.at_ms <= u + RACE_MS for s, u in waits):
                known.add(key)
        elif arrival.what == "wasted":
            wasted += 1
            staged_wasted += key in known
    return loads, len(known), wasted, staged_wasted


def figures(fleet: Fleet, disturbed: list[Moved], service: float) -> Figures:
    """The figures of a run; `disturbed` are moves of clients that follow from a zone's loss and return."""
    clients, arrivals = fleet.clients, fleet.arrivals
    found = {a.id: a.note == FIRST for a in arrivals if a.what == "done"}
    moved = [(m.at_ms, (m.org, m.row)) for m in [*getattr(clients, "moved", ()), *disturbed]]
    told = [word for word in told_of(fleet.notes) if word.number]
    switches: dict[tuple[homes.Key, int], float] = {}
    for note in fleet.notes:
        if note.event == "session moved":
            key = (note.fields["org"], note.fields["row"]), note.fields["number"]
            switches.setdefault(key, note.at_ms)
    changed = [(at_ms, session) for (session, _), at_ms in switches.items()]
    ends = Counter(n.fields.get("why", "") for n in fleet.notes if n.event == "hand-over ended")
    loads, ordered, wasted, staged_wasted = staged(arrivals, clients.requests)
    orders = sum(a.what in ("order", "ask") for a in arrivals)
    nature = next(iter(fleet.scorers.values())).nature
    work = CORE_PART * (nature.load_ms + fleet.store.fetch_ms) / nature.work_ms
    spent = PRICES["origin"] * fleet.store.fetches + PRICES["probe"] * orders
    spent += PRICES["waste"] * work * wasted
    return Figures(
        clients=after(moved, clients.requests, found),
        homes=after(changed, clients.requests, found),
        switched=len(switches),
        done=len({(word.session, word.number) for word in told if word.settled}),
        ends=dict(ends),
        to_home_ms=_to_home(getattr(clients, "moved", []), told),
        loads=loads,
        staged=ordered,
        wasted=wasted,
        staged_wasted=staged_wasted,
        orders=orders,
        unloads=sum(a.what == "unload" for a in arrivals),
        result=service - spent / max(1, len(clients.requests)),
    )


def _to_home(moved: list[Moved], told: list[homes.Told]) -> tuple[float, float]:
    by_session: dict[homes.Key, list[homes.Told]] = defaultdict(list)
    for word in told:
        by_session[word.session].append(word)
    took = sorted(
        first - move.at_ms
        for move in moved
        if (first := min(
            (w.at_ms for w in by_session[move.org, move.row]
             if w.site == move.destination and w.at_ms >= move.at_ms), default=0.0))
    )  # fmt: skip
    if not took:
        return 0.0, 0.0
    return took[len(took) // 2], took[min(len(took) - 1, int(0.99 * len(took)))]
