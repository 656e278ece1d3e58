"""The steps of draining a front end on standby. No I/O."""

from enum import IntEnum

# Time from the standby command until idle client connections are closed. The load balancer checks readiness
# every 100 ms, and still sends new connections for 200 ms after the first failed check.
CLOSE_IDLE_FROM_MS = 400.0
# Time from the standby command until new requests are rejected. Four seconds after the command no connection
# may be idle or carry a request of the last two seconds. Requests accepted before this time have ended or are
# older by then.
REJECT_FROM_MS = 1_200.0
TICK_INTERVAL_MS = 20.0  # between checks for connections that have become idle


class DrainStep(IntEnum):
    """The step that a drain has reached."""

    ACCEPTING = 0  # everything is served until the load balancer has noticed the failed readiness checks
    CLOSING_IDLE = 1  # a connection is closed as soon as no request is open on it
    REJECTING_REQUESTS = 2  # in addition, new requests on the remaining connections are rejected at once


def drain_step(elapsed_ms: float) -> DrainStep:
    """The step of a drain `elapsed_ms` after the standby command."""
    if elapsed_ms >= REJECT_FROM_MS:
        return DrainStep.REJECTING_REQUESTS
    if elapsed_ms >= CLOSE_IDLE_FROM_MS:
        return DrainStep.CLOSING_IDLE
    return DrainStep.ACCEPTING
