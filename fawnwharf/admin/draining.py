"""Steps of a front end's drain: by the time since the call, which client connections are ended, and what is
refused. Pure; milliseconds."""

from enum import IntEnum

# The front asks every 100 ms whether this front end is ready, and sends new connections for 200 ms after the
# first no.
CLOSE_IDLE_AFTER_MS = 400.0
# Four seconds after the call no connection may be held idle or with a call of the last two: what is taken by
# now has ended or is older by then.
REJECT_AFTER_MS = 1_200.0
TICK_INTERVAL_MS = 20.0  # pace of the look after connections that have fallen idle


class DrainStep(IntEnum):
    NOTICED = 0  # all is served; the front is about to hear
    EMPTYING = 1  # a connection ends as soon as nothing is open on it
    REFUSING = 2  # and calls on the others are refused at once


def drain_step(since_ms: float) -> DrainStep:
    """The step that a drain is in, so long after its call."""
    return DrainStep((since_ms >= CLOSE_IDLE_AFTER_MS) + (since_ms >= REJECT_AFTER_MS))
