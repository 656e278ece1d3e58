"""Checks a run's records of sessions' placements and of copies that were released. Pure.

Records go in, what was broken comes out. Times are milliseconds of the lab's monotonic clock.
"""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

Key = tuple[str, str]  # of a session: tenant, function


@dataclass(frozen=True, slots=True)
class Told:
    """A front end's log line that a session is placed at a zone by a number."""

    at_ms: float
    front: str
    session: Key
    site: str
    number: int
    settled: bool = False  # all that are heard go by it


@dataclass(frozen=True, slots=True)
class Sent:
    """A call that a front end sent, with the number and the site that it went by."""

    at_ms: float
    front: str
    life: int
    call: str
    session: Key
    number: int
    site: str


@dataclass(frozen=True, slots=True)
class Unload:
    """A scorer was told to let a function's idle copies go."""

    at_ms: float
    scorer: str
    site: str
    function: str
    sender: str


@dataclass(frozen=True, slots=True)
class Use:
    """A call was at a scorer, from its arrival until it was done or given up."""

    since_ms: float
    until_ms: float
    scorer: str
    function: str


def one_home(told: Iterable[Told], sent: Iterable[Sent]) -> list[str]:
    """A number stands for one zone, whoever tells of it.

    Number 0 is where a session began: it may have begun at two zones at once.
    """
    sites: dict[tuple[Key, int], dict[str, str]] = defaultdict(dict)
    for word in (*told, *sent):
        if word.number:
            sites[word.session, word.number].setdefault(word.site, word.front)
    return [
        f"homes: {' '.join(session)} by {number} is at home at "
        + " and ".join(f"{site} ({front})" for site, front in sorted(found.items()))
        for (session, number), found in sites.items()
        if len(found) > 1
    ]


def by_the_number(
    told: Iterable[Told],
    sent: Iterable[Sent],
    excused: Callable[[str, float, float], bool],
    slack_ms: float,
    still_ms: float = float("inf"),
) -> list[str]:
    """No front end sends by an older number than one that it sent by, or that all had settled on.

    `excused(front, since, until)`: it was cut off or delayed for a part of this time, or it restarted. After
    `still_ms` without a call a session is over, and may be forgotten.
    """
    broken = []
    last: dict[tuple[str, int, Key], tuple[int, float]] = {}
    settled: dict[Key, list[tuple[float, int]]] = defaultdict(list)
    for word in told:
        if word.settled:
            settled[word.session].append((word.at_ms, word.number))
    for words in settled.values():
        words.sort()
    for one in sorted(sent, key=lambda one: one.at_ms):
        key = one.front, one.life, one.session
        name = f"{one.front} sent {one.call} of {' '.join(one.session)} by {one.number}"
        number, at_ms = last.get(key, (0, 0.0))
        number = 0 if one.at_ms - at_ms > still_ms else number
        if one.number < number:
            broken.append(f"numbers: {name} after {number}")
        last[key] = max(one.number, number), one.at_ms
        words = settled.get(one.session, [])
        known = words[: bisect_right(words, (one.at_ms - slack_ms, 1 << 60))]
        for at_ms, number in known:
            if number > one.number and not excused(one.front, at_ms - slack_ms, one.at_ms):
                after = one.at_ms - at_ms
                broken.append(f"numbers: {name}, {after:.0f} ms after all had settled on {number}")
                break
    return broken


def let_go(
    unloads: Iterable[Unload],
    uses: Iterable[Use],
    told: Iterable[Told],
    last_calls: Callable[[Key, float], float],
    race_ms: float,
    still_ms: float,
) -> list[str]:
    """Copies that somebody uses are not released.

    No call of the function was at the scorer for longer than a race, and no session in use is placed in that
    zone. `last_calls(session, at)`: when its last call before then began. Placements count from `race_ms`
    after they were told, and until one with a larger number is told `race_ms` later.
    """
    broken = []
    at_scorer: dict[tuple[str, str], list[Use]] = defaultdict(list)
    for use in uses:
        at_scorer[use.scorer, use.function].append(use)
    homes: dict[str, dict[Key, list[Told]]] = defaultdict(lambda: defaultdict(list))
    for word in told:
        homes[word.session[1]][word.session].append(word)
    for unload in unloads:
        what = f"{unload.sender} had {unload.function} let go at {unload.scorer}"
        for use in at_scorer[unload.scorer, unload.function]:
            if use.since_ms + race_ms < unload.at_ms < use.until_ms:
                broken.append(f"let go: {what}, where a call was since {unload.at_ms - use.since_ms:.0f} ms")
                break
        for session, words in homes[unload.function].items():
            sure = max((w for w in words if w.at_ms <= unload.at_ms - race_ms), key=_number, default=None)
            newest = max((w for w in words if w.at_ms <= unload.at_ms + race_ms), key=_number, default=None)
            if sure is None or newest is not sure and newest.number != sure.number:
                continue
            in_use = last_calls(session, unload.at_ms) > unload.at_ms - still_ms
            if sure.site == unload.site and in_use:
                broken.append(f"let go: {what}, where {' '.join(session)} is at home by {sure.number}")
    return broken


def _number(word: Told) -> int:
    return word.number


def spent_once(carried: Iterable[tuple[str, str, int]], came: dict[tuple[str, str], int]) -> list[str]:
    """What a migration carries of a quota, by who counted it, is never more than came to that front end.

    A call that is counted twice would make it so. `carried` has (tenant, counter, count); a counter is a
    front end's name, with its incarnation behind a # or without.
    """
    broken = []
    for tenant, counter, count in carried:
        most = came.get((tenant, counter.partition("#")[0]), 0)
        if count > most:
            broken.append(f"quotas: {counter} carried {count} calls of {tenant}, and {most} came to it")
    return broken
