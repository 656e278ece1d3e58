"""Policy rollouts in the test bed.

Operators' requests, and the checker's rule `epochs` on what front ends tell.

The rule is pure. It is given a trace of calls by front end and incarnation, and the coordinators' log lines;
all times are Unix milliseconds of the one machine. `SLACK_MS` is what two processes' readings of that clock
may differ by, and nothing else: a process that is delayed is no excuse, as a call's time is that by which it
was judged.
"""

from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Literal

import msgspec
from msgspec import Struct

from fawnwharf.testbed.processes import Noted

SLACK_MS = 5.0
LATE_MS = 250.0  # beyond the give-up of its epoch a call's end may come, on a busy machine

Epoch = tuple[int, str]  # number, digest


class Judged(Struct, frozen=True):
    """A line of a trace: a call, by what it was judged, and when it came and ended."""

    call: str
    number: int
    digest: str
    how: Literal["leased", "strict", "floor", "waiting"]
    taken_ms: float
    ended_ms: float


@dataclass(frozen=True, slots=True)
class Life:
    """One process of a front end, and what it traced, in the order of calls' ends."""

    front: str
    since_ms: float  # when it was started
    calls: list[Judged]
    bad: int = 0  # lines that are none


@dataclass(frozen=True, slots=True)
class Word:
    """A steward's note."""

    at_ms: float
    front: str
    event: str  # prepare, decided, in force, ended
    number: int
    digest: str = ""


@dataclass(slots=True)
class Found:
    """What was broken, and how much each rule was checked."""

    broken: list[str] = field(default_factory=list)
    checked: Counter = field(default_factory=Counter)


def trace_of(data: bytes) -> tuple[list[Judged], int]:
    """The lines of a trace, and how many are malformed.

    A last line without its end was cut short by a kill.
    """
    found, bad = [], 0
    for line in data.split(b"\n")[:-1]:
        try:
            found.append(msgspec.json.decode(line, type=Judged))
        except (msgspec.DecodeError, UnicodeDecodeError):
            bad += 1
    return found, bad


def words_of(notes: Iterable[Noted], unix_less_steady_ms: float) -> list[Word]:
    """Coordinators' log lines, by the time that they tell themselves, else that at which they were read."""
    found = []
    for note in notes:
        if note.event in ("prepare", "decided", "in force", "ended") and "number" in note.fields:
            digest = note.fields.get("digest", "")
            at_ms = told_ms(note, unix_less_steady_ms)
            found.append(Word(at_ms, note.front, note.event, note.fields["number"], digest))
    return sorted(found, key=lambda word: word.at_ms)


def told_ms(note: Noted, unix_less_steady_ms: float) -> float:
    """When a line was written, by its own field."""
    try:
        return datetime.fromisoformat(note.fields["timestamp"]).timestamp() * 1000.0
    except (KeyError, ValueError, TypeError):
        return note.at_ms + unix_less_steady_ms


# --- the rule -----------------------------------------------------------------------------------


def epochs(
    lives: list[Life],
    words: list[Word],
    give_up_ms: Callable[[Judged], float | None] = lambda call: None,
    accepted: frozenset[tuple[str, str]] = frozenset(),
) -> Found:
    """Check all rules on epochs; `words` are in order of time.

    `give_up_ms` tells what a call's epoch gave it, None where that is not known; `accepted` are calls, each
    by its front end, that got another answer than a refusal.
    """
    found = Found()
    leased = [(life.front, call) for life in lives for call in life.calls if call.how == "leased"]
    for life in lives:
        found.checked["traced"] += len(life.calls)
        for call in life.calls:
            found.checked[f"by {call.how}"] += 1
        if life.bad:
            found.broken.append(f"epochs: {life.bad} lines of {life.front}'s trace are none")
    found.checked["epochs"] = len({call.number for _, call in leased})
    _one_at_a_time(leased, found)
    _one_digest(leased, words, found)
    _not_undone(leased, words, found)
    _come_up_in_it(lives, words, accepted, found)
    _one_epoch_a_call(lives, give_up_ms, found)
    return found


def _one_at_a_time(leased: list[tuple[str, Judged]], found: Found) -> None:
    """Once anybody has judged by a later epoch under a lease, nobody judges by an earlier one under one."""
    first: dict[int, tuple[float, str]] = {}
    for front, call in leased:
        mine = call.taken_ms, front
        first[call.number] = min(first.get(call.number, mine), mine)
    earliest: dict[int, tuple[float, str, int]] = {}  # of all later numbers
    later = (float("inf"), "", 0)
    for number in sorted(first, reverse=True):
        earliest[number] = later
        later = min(later, (*first[number], number))
    for front, call in leased:
        at_ms, other, number = earliest[call.number]
        if at_ms == float("inf"):
            continue
        found.checked["by an earlier epoch"] += 1
        if call.taken_ms > at_ms + SLACK_MS:
            late = call.taken_ms - at_ms
            found.broken.append(
                f"epochs: {front} took {call.call} by {call.number}, {late:.0f} ms after {other} by {number}"
            )


def _one_digest(leased: list[tuple[str, Judged]], words: list[Word], found: Found) -> None:
    """One number is one document everywhere."""
    digests: dict[int, tuple[str, str]] = {}
    told = [(word.front, word.number, word.digest) for word in words if word.event == "decided"]
    for front, number, digest in told + [(front, call.number, call.digest) for front, call in leased]:
        before, by = digests.setdefault(number, (digest, front))
        found.checked["digests"] += 1
        if before != digest:
            found.broken.append(f"epochs: {number} is {before} by {by} and {digest} by {front}")


def _decisions(words: list[Word]) -> tuple[set[Epoch], dict[Epoch, float], dict[Epoch, float]]:
    """The epochs that were prepared, decided and ended, the latter two with when."""
    preparing: dict[str, Epoch] = {}  # by steward
    prepared: set[Epoch] = set()
    decided: dict[Epoch, float] = {}
    ended: dict[Epoch, float] = {}
    for word in words:
        if word.event == "prepare":
            preparing[word.front] = word.number, word.digest
            prepared.add(preparing[word.front])
        elif word.event == "decided":
            decided.setdefault((word.number, word.digest), word.at_ms)
        elif word.event == "ended" and preparing.get(word.front, (0, ""))[0] == word.number:
            ended[preparing[word.front]] = word.at_ms
    return prepared, decided, ended


def _not_undone(leased: list[tuple[str, Judged]], words: list[Word], found: Found) -> None:
    """What was ended is in force nowhere, what was decided is not ended, and no front end goes back."""
    prepared, decided, ended = _decisions(words)
    found.checked["decided"], found.checked["ended"] = len(decided), len(ended)
    for epoch, at_ms in ended.items():
        if at_ms > decided.get(epoch, float("inf")):
            found.broken.append(f"epochs: {epoch[0]} was decided and ended afterwards")
    for front, call in leased:
        epoch = call.number, call.digest
        if call.number and epoch not in prepared:
            found.broken.append(f"epochs: {front} took {call.call} by {call.number}, which nobody proposed")
        elif epoch in ended and epoch not in decided:
            found.broken.append(f"epochs: {front} took {call.call} by {call.number}, which was ended")
    _never_back(leased, found)


def _never_back(leased: list[tuple[str, Judged]], found: Found) -> None:
    """No front end goes back to an earlier epoch."""
    last: dict[str, int] = {}
    for front, call in sorted(leased, key=lambda one: (one[1].taken_ms, one[1].number)):
        if call.number < last.get(front, 0):
            found.broken.append(
                f"epochs: {front} went back from {last[front]} to {call.number} with {call.call}"
            )
        last[front] = max(call.number, last.get(front, 0))


def _come_up_in_it(
    lives: list[Life], words: list[Word], accepted: frozenset[tuple[str, str]], found: Found
) -> None:
    """Whoever starts after an epoch came into force judges no call by an earlier one, lease or none.

    Whoever does not know yet what is in force judges none at all: it refuses what comes.
    """
    in_force: dict[int, float] = {}
    for word in words:
        if word.event == "in force":
            in_force.setdefault(word.number, word.at_ms)
    for life in lives:
        least = max((n for n, at_ms in in_force.items() if at_ms + SLACK_MS < life.since_ms), default=0)
        found.checked["came up later"] += least > 0 and bool(life.calls)
        for call in life.calls:
            if call.how == "waiting":
                if (life.front, call.call) in accepted:
                    found.broken.append(f"epochs: {life.front} took {call.call} and knows nothing yet")
            elif call.number < least:
                found.broken.append(
                    f"epochs: {life.front} came up in {call.number} ({call.how}), while {least} was in force"
                )
                break


def _one_epoch_a_call(lives: list[Life], give_up_ms: Callable[[Judged], float | None], found: Found) -> None:
    """A call has one epoch from taken to ended, and gets the time that this one gives it."""
    changed: dict[str, list[float]] = defaultdict(list)  # by front end, when its epoch was another one
    for life in lives:
        calls: dict[str, list[Judged]] = defaultdict(list)
        before: Judged | None = None
        for call in sorted(life.calls, key=lambda call: call.taken_ms):
            if before is not None and _by(before) != _by(call):
                changed[life.front].append(call.taken_ms)
            before = call
            if call.ended_ms < call.taken_ms - SLACK_MS:
                found.broken.append(f"epochs: {call.call} of {life.front} ended before it was taken")
            for other in calls[call.call]:
                if other.ended_ms > call.taken_ms and _by(other) != _by(call):
                    found.broken.append(
                        f"epochs: {call.call} of {life.front} by {other.number} and {call.number}"
                    )
            calls[call.call].append(call)
            most_ms = give_up_ms(call)
            if most_ms is not None:
                found.checked["give-up"] += 1
                if call.ended_ms - call.taken_ms > most_ms + LATE_MS:
                    found.broken.append(
                        f"epochs: {call.call} of {life.front} took {call.ended_ms - call.taken_ms:.0f} ms, "
                        f"and {call.number} gives it {most_ms:.0f}"
                    )
        times = changed[life.front]
        found.checked["over a change"] += sum(
            bisect_left(times, call.ended_ms) > bisect_right(times, call.taken_ms) for call in life.calls
        )


def _by(call: Judged) -> tuple[int, str, str]:
    return call.number, call.digest, call.how
