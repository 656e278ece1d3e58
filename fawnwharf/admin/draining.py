"""Steps of draining a front end on standby: which client connections end, and what is rejected. No I/O.

Times are milliseconds.
"""

from enum import IntEnum

# The load balancer checks readiness every 100 ms, and sends new connections for 200 ms after the first failed
# check.
CLOSE_IDLE_FROM_MS = 400.0  # after the command: idle client connections end
# Four seconds after the command no connection may be idle or carry a request of the last two seconds: what is
# accepted by now has ended or is older by then.
REJECT_FROM_MS = 1_200.0  # after the command: new requests on the remaining connections are rejected
TICK_INTERVAL_MS = 20.0  # between checks for connections that have become idle


class DrainStep(IntEnum):
    """How far a drain has come."""

    ACCEPTING = 0  # everything is served, until the load balancer notices
    CLOSING_IDLE = 1  # a connection ends as soon as no request is open on it
    REJECTING_REQUESTS = 2  # and requests on the other connections are rejected at once


def drain_step(elapsed_ms: float) -> DrainStep:
    """The step of a drain `elapsed_ms` after its command."""
    if elapsed_ms >= REJECT_FROM_MS:
        return DrainStep.REJECTING_REQUESTS
    if elapsed_ms >= CLOSE_IDLE_FROM_MS:
        return DrainStep.CLOSING_IDLE
    return DrainStep.ACCEPTING
