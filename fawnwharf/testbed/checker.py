"""Checks a run by what all sides recorded: the five rules, and that each call got one final answer. Pure.

Faults of the path are not the program's: a try counts where its front end lived and ran, and no fault lay on
the client's link, from its sending to its end. Where it has no answer in time, it counts only if the machine
gave both sides a processor for it, by the system's own count. `SLACK_MS` is how long one busy machine may
delay everybody.
"""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from fawnwharf.fakes.calls import Kind
from fawnwharf.fakes.clients import LATE_MS, Try
from fawnwharf.fakes.nature import Arrival
from fawnwharf.testbed import moves
from fawnwharf.testbed.files import DEDUP_MS, RATION, RULES
from fawnwharf.testbed.fleet import Fleet
from fawnwharf.testbed.processes import Front
from fawnwharf.testbed.proposals import judged

SLACK_MS = LATE_MS
RATION_ROOM = 1.15
OUT_MS = 250.0  # after an operator's yes nothing new may reach a scorer that was taken out
HEARD_MS = 300.0  # after a call for a drain: by then whoever stands before the front end has heard of it
END_MS = 3_700.0  # from SIGTERM until the old process has ended: then it would be killed
YES_MS = 6_000.0  # from the start of a process that takes another's place until it takes work
HELD_MS = 100.0  # waited for a processor: an answer that comes late then is the machine's doing


@dataclass(slots=True)
class Verdict:
    """What was broken, and how much each rule was checked."""

    broken: list[str] = field(default_factory=list)
    checked: Counter = field(default_factory=Counter)  # how much each rule was tried by

    def line(self) -> str:
        """The verdict in one line."""
        return f"verdict: broken {self.broken[0]}" if self.broken else "verdict: kept"


def judge(fleet: Fleet) -> Verdict:
    """Check all rules on a run."""
    verdict = Verdict()
    for rule in (_answers, _doors, _effects, _drains, _outs, _cold, _loads, _ends, _faults, _sessions):
        rule(fleet, verdict)
    if fleet.scenario.policy is not None:
        found = judged(fleet)
        verdict.broken += found.broken
        verdict.checked += found.checked
    return verdict


def _answers(fleet: Fleet, verdict: Verdict) -> None:
    for request in fleet.clients.requests:
        for attempt in request.tries:
            if not attempt.outcome:
                continue
            front = fleet.fronts[attempt.front]
            relay = fleet.relays[f"clients-{front.zone}", front.name, "clients"]
            clear = relay.touched_ms < attempt.sent_ms - SLACK_MS
            well = front.well(attempt.sent_ms - SLACK_MS, attempt.ended_ms + 1.0)
            # The one that was late is judged by itself.
            if not clear or not well or attempt.left or _drains_by(fleet, attempt):
                continue
            held_ms = max(w.between(attempt.sent_ms, attempt.ended_ms) for w in (front.waits, fleet.waits))
            if attempt.outcome == "late" and held_ms > HELD_MS:
                verdict.checked["held up"] += 1
                continue
            verdict.checked["answers"] += 1
            if fault := _fault_of(attempt):
                verdict.broken.append(f"answers: {fault} of {front.name} for call {attempt.call_id}")


def _fault_of(attempt: Try) -> str:
    """What is wrong with the answer to a try; empty where nothing is."""
    if attempt.outcome == "late":
        return "none in time"
    if attempt.outcome == "lost":
        return "the connection ended"
    if attempt.answers != 1 and attempt.outcome != "not taken":
        return str(attempt.answers)
    return "" if attempt.body_good else "another's body"


def _drains_by(fleet: Fleet, attempt: Try) -> bool:
    """Whether an end is excused by a standby.

    A call may be sent to a front end on standby by somebody who was delayed and had not heard of it; its
    connection may be ended then with the call on its way, which is nobody's fault.
    """
    return attempt.outcome in ("lost", "not taken") and any(
        not stretch.scorer
        and stretch.front == attempt.front
        and stretch.since_ms + HEARD_MS < attempt.sent_ms <= stretch.until_ms + SLACK_MS
        for stretch in fleet.stretches
    )


def _doors(fleet: Fleet, verdict: Verdict) -> None:
    """A replacement turns nobody away, and is done in time."""
    for one in fleet.replaced:
        front = fleet.fronts[one.front]
        if one.killed:
            continue
        verdict.checked["replaced"] += 1

        def held(since_ms: float, until_ms: float, front: Front = front) -> float:
            return sum(waits.between(since_ms, until_ms) for waits in (front.waits, fleet.waits))

        took = one.yes_ms - one.began_ms
        if took > YES_MS + held(one.began_ms, one.yes_ms):
            verdict.broken.append(f"doors: {one.front} took {took:.0f} ms to say yes")
        took = one.ended_ms - one.told_ms
        if took > END_MS + held(one.told_ms, one.ended_ms):
            verdict.broken.append(f"doors: the old process of {one.front} took {took:.0f} ms to end")
        for request in fleet.clients.requests:
            for attempt in request.tries:
                if attempt.front != one.front or not one.began_ms <= attempt.sent_ms <= one.ended_ms:
                    continue
                verdict.checked["doors"] += 1
                relay = fleet.relays[f"clients-{front.zone}", front.name, "clients"]
                clear = relay.touched_ms < attempt.sent_ms - SLACK_MS and not _drains_by(fleet, attempt)
                if attempt.outcome == "not taken" and clear:
                    verdict.broken.append(f"doors: {one.front} did not take call {attempt.call_id}")


def _outs(fleet: Fleet, verdict: Verdict) -> None:
    for stretch in fleet.stretches:
        if not stretch.scorer:
            continue
        verdict.checked["outs"] += 1
        for arrival in fleet.arrivals:
            if (arrival.sender, arrival.scorer) != (stretch.front, stretch.scorer):
                continue
            since = arrival.at_ms - stretch.since_ms
            if arrival.what not in ("run", "order") or arrival.at_ms > stretch.until_ms or since <= OUT_MS:
                continue
            # What was written before may have waited while this process was held up.
            if since > OUT_MS + min(SLACK_MS, fleet.waits.between(stretch.since_ms, arrival.at_ms)):
                verdict.broken.append(f"outs: {stretch.front} sent to {stretch.scorer} {since:.0f} ms later")


def runs_of(fleet: Fleet) -> list[tuple[Kind, list[Arrival]]]:
    """The runs of each request that began at scorers and were not turned away there."""
    turned = {(a.scorer, a.sender, a.id) for a in fleet.arrivals if a.what == "turned"}
    runs: dict[int, list] = defaultdict(list)
    for arrival in fleet.arrivals:
        request = fleet.clients.by_call.get(arrival.id) if arrival.what == "run" else None
        if request is not None and (arrival.scorer, arrival.sender, arrival.id) not in turned:
            runs[request.number].append(arrival)
    return [(fleet.clients.requests[number].kind, arrivals) for number, arrivals in runs.items()]


def _due_ms(fleet: Fleet, arrival: Arrival) -> float:
    """When what came to a scorer was due there: a front end cannot take back what a cut link holds."""
    relay = fleet.relays.get((arrival.sender, arrival.scorer, "calls"))
    return relay.due_ms(bytes.fromhex(arrival.id), arrival.at_ms) if relay else arrival.at_ms


def _effects(fleet: Fleet, verdict: Verdict) -> None:
    """No call of an at-most-once class may run twice, whatever becomes of front ends, scorers and links."""
    for kind, arrivals in runs_of(fleet):
        if kind.effect == "at_most_once":
            verdict.checked["effects"] += 1
            if len(arrivals) > 1:
                verdict.broken.append(f"effects: {kind.name} {arrivals[0].id} reached {len(arrivals)} times")
        elif kind.effect == "deduplicated":
            verdict.checked["effects"] += 1
            times = [_due_ms(fleet, arrival) for arrival in arrivals]
            held_ms = fleet.waits.between(min(times), max(times))  # this process's, which notes what arrives
            if max(times) - min(times) > DEDUP_MS + SLACK_MS + held_ms:
                verdict.broken.append(f"effects: {kind.name} {arrivals[0].id} sent again after its window")


def _drains(fleet: Fleet, verdict: Verdict) -> None:
    for front in fleet.fronts.values():
        told: dict[str, float] = {}
        for event, at_ms in zip(front.log.events, front.log.told_ms, strict=True):
            for member in event["fleet"]["members"]:
                if member["phase"] == "in_service":
                    told.pop(member["id"], None)
                else:
                    told.setdefault(member["id"], at_ms)
        if not told or not front.lives:
            continue
        for arrival in fleet.arrivals:
            if arrival.sender != front.name or arrival.what not in ("run", "order"):
                continue
            since = told.get(arrival.scorer)
            if since is None or since < front.lives[-1][0]:
                continue
            verdict.checked["drains"] += 1
            relay = fleet.relays[front.name, "changelog", "roster"]
            late = 7_000.0 if relay.touched_ms > since - 10_000.0 else 0.0
            if arrival.at_ms > since + late + RULES["drain_grace"] + 50.0 + SLACK_MS:
                verdict.broken.append(f"drains: {front.name} sent to {arrival.scorer}")


def _cold(fleet: Fleet, verdict: Verdict) -> None:
    for id, scorer in fleet.scorers.items():
        verdict.checked["cold"] += scorer.life > 1
        if scorer.fallen:
            verdict.broken.append(f"cold: {id} fell")


def _loads(fleet: Fleet, verdict: Verdict) -> None:
    taken: dict[str, list[float]] = defaultdict(list)
    for request in fleet.clients.requests:
        for attempt in request.tries:
            if attempt.outcome not in ("not taken",):
                taken[attempt.front].append(attempt.sent_ms)
    orders: dict[str, list[float]] = defaultdict(list)
    for arrival in fleet.arrivals:
        if arrival.what == "order":
            orders[arrival.sender].append(arrival.at_ms)
    for name, times in orders.items():
        _check_orders(name, sorted(times), sorted(taken[name]), verdict)


def _check_orders(name: str, times: list[float], arrived: list[float], verdict: Verdict) -> None:
    """That a front end's load orders at `times` are within the rate limit that follows from its requests."""
    window, free, part = RATION["load_window"], RATION["free_loads"], RATION["load_part"]
    recent: deque[float] = deque()
    first = last = 0
    for at_ms in times:
        recent.append(at_ms)
        while recent[0] < at_ms - window:
            recent.popleft()
        last = bisect_right(arrived, at_ms)
        first = bisect_left(arrived, at_ms - window - SLACK_MS)
        verdict.checked["loads"] += 1
        most = RATION_ROOM * (free + part * (last - first)) + 1
        if len(recent) > most:
            verdict.broken.append(f"loads: {name} gave {len(recent)} orders for {last - first} requests")
            return


def _ends(fleet: Fleet, verdict: Verdict) -> None:
    for front in fleet.fronts.values():
        if front.status not in (None, 0):
            verdict.broken.append(f"ends: {front.name} ended with {front.status}")


def _faults(fleet: Fleet, verdict: Verdict) -> None:
    """No exception reaches a front end's loop, though that would go on."""
    for front, line in fleet.faults[:1]:
        told = f"{line[:60]} .. {line.rstrip(' |')[-90:]}"
        verdict.broken.append(f"faults: {len(fleet.faults)}, the first of {front}: {told}")


def _sessions(fleet: Fleet, verdict: Verdict) -> None:
    if fleet.scenario.sessions is not None:
        broken, tried = moves.judge(fleet)
        verdict.broken += broken
        verdict.checked += tried
