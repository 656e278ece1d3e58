"""The encoded learned state of a running front end, with what its roster overlay knows of restarts."""

import msgspec

from fawnwharf.admin import learned_state
from fawnwharf.admin.learned_state import HandedOverState, StateWithRequestIds
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import monotonic_ms


def encoded_state(front: FrontEnd, scorers_in_maintenance: set[str]) -> bytes:
    """Captures and encodes the state.

    After an error in the decision module's part, only what operators have said is passed on.
    """
    clock_ms, at_ms = front.loop.clock.now_ms(), monotonic_ms()
    try:
        learned = learned_state.capture(front.router, scorers_in_maintenance, clock_ms, at_ms)
        return _encode(front, learned, clock_ms)
    except Exception:
        front.loop.log_exception("learned state")
        expired_ms = at_ms - 2 * learned_state.MAX_AGE_MS
        return _encode(front, HandedOverState(expired_ms, sorted(scorers_in_maintenance)), clock_ms)


def _encode(front: FrontEnd, learned: HandedOverState, clock_ms: float) -> bytes:
    learned.hands_off_open_calls = True
    learned.restart_ages_ms = {
        scorer_id: clock_ms - restarted_ms
        for scorer_id, restarted_ms in front.roster_overlay.restart_times_ms.items()
    }
    with_ids = StateWithRequestIds(
        **msgspec.structs.asdict(learned),
        request_contents=front.client_port.contents.encode(),
        at_most_once_ids=front.requests.at_most_once_ids.encode(),
    )
    return learned_state.encode(with_ids)


def restore_request_ids(front: FrontEnd, learned: StateWithRequestIds, monotonic_ms: float) -> None:
    """Restore what the previous process knew of recent requests; older processes don't tell it."""
    front.client_port.contents.restore(learned.request_contents, monotonic_ms)
    front.requests.at_most_once_ids.restore(learned.at_most_once_ids, monotonic_ms)


def restart_times_ms(learned: HandedOverState, clock_ms: float, monotonic_ms: float) -> dict[str, float]:
    """When operators brought scorers back, on the clock of this process; both times are now."""
    written_ms = clock_ms - (monotonic_ms - learned.written_monotonic_ms)
    return {scorer_id: written_ms - age_ms for scorer_id, age_ms in learned.restart_ages_ms.items()}
