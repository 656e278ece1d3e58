"""How slow start limits were kept, and loads that two front ends ordered for one need. Pure.

The limit is that of the decision module without its safety margin: `fall_multiple` times the part of its
capacity that a scorer has, of an even part of what clients asked, within `fall_ms`.
"""

from collections import Counter, deque
from collections.abc import Iterable

from fawnwharf.fakes.scorers import Arrival
from fawnwharf.testbed.files import RULES

TWICE_MS = 600.0  # an order by another front end so soon after one for the same function is for the same need


def cold_use(
    arrivals: Iterable[Arrival], starts: dict[str, list[float]], asked: list[float]
) -> tuple[float, float]:
    """The use of slow start limits: the most within a window, and the total, as parts of the limit.

    Both are means over the scorers' starts at `starts`, 0 where there was none. `asked` are the times at
    which clients began to ask.
    """
    cold, fall, share = RULES["cold"], RULES["fall"], RULES["cold_share"]
    runs: dict[str, list[float]] = {}
    for arrival in arrivals:
        if arrival.what == "run":
            runs.setdefault(arrival.scorer, []).append(arrival.at_ms)
    most, used = [], []
    for scorer, began in ((scorer, at) for scorer, times in starts.items() for at in times):
        per_ms = sum(began <= at < began + cold for at in asked) / cold / len(starts)
        if not per_ms:
            continue
        budget = RULES["fall_multiple"] * per_ms * fall  # of a warm one
        window: deque[float] = deque()
        worst = count = 0
        for at in sorted(runs.get(scorer, ())):
            if not began <= at < began + cold:
                continue
            window.append(at)
            while window[0] <= at - fall:
                window.popleft()
            worst = max(worst, len(window) / (budget * (share + (1 - share) * (at - began) / cold)))
            count += 1
        most.append(worst)
        used.append(count / (budget * (1 + share) / 2 * cold / fall))
    return (sum(most) / len(most), sum(used) / len(used)) if most else (0.0, 0.0)


def twice(arrivals: Iterable[Arrival]) -> int:
    """Load orders that another front end had just given for the same function."""
    last: dict[str, tuple[float, str]] = {}
    found = 0
    for arrival in sorted((a for a in arrivals if a.what == "order"), key=lambda a: a.at_ms):
        at_ms, sender = last.get(arrival.function, (-1e12, ""))
        found += arrival.at_ms - at_ms <= TWICE_MS and sender != arrival.sender
        last[arrival.function] = arrival.at_ms, arrival.sender
    return found


def counts(arrivals: Iterable[Arrival]) -> Counter:
    """How many of each kind came."""
    return Counter(arrival.what for arrival in arrivals)
