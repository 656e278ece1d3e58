"""The encoded learned state of a running front end."""

from fawnwharf.admin import learned_state
from fawnwharf.admin.learned_state import HandedOverState
from fawnwharf.net.front_end import FrontEnd
from fawnwharf.net.timer_wheel import monotonic_ms


def encoded_state(front: FrontEnd, scorers_in_maintenance: set[str]) -> bytes:
    """Captures and encodes the state.

    After an error in the decision module's part, only what operators have said is passed on.
    """
    clock_ms, at_ms = front.loop.clock.now_ms(), monotonic_ms()
    try:
        learned = learned_state.capture(front.router, scorers_in_maintenance, clock_ms, at_ms)
        return _encode(learned)
    except Exception:
        front.loop.log_exception("learned state")
        expired_ms = at_ms - 2 * learned_state.MAX_AGE_MS
        return _encode(HandedOverState(expired_ms, sorted(scorers_in_maintenance)))


def _encode(learned: HandedOverState) -> bytes:
    learned.hands_off_open_calls = True
    return learned_state.encode(learned)
