"""Coordinated slow start: permits for calls to a scorer that is warming up.

This module does no I/O; times are milliseconds of the local monotonic clock. Each warming scorer has one slow
start coordinator among the permit issuers (`budget.slow_start_coordinator_of`). Within the scorer's window
the coordinator issues no more permits than the scorer has capacity. Other front ends request permits in
batches, with at most one open request for each scorer.

The limit also holds while coordinators change, as long as all front ends agree within `lag_ms` on who is
reachable. A new coordinator waits one window plus that lag. A permit is valid for `PERMIT_MS` after its
request was sent, by the clock of the requesting front end, so delays in transit don't extend it.
"""

from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum

from fawnwharf.recovery_core.budget import (
    PERMIT_MS,
    FleetLimits,
    SlowStartCoordinator,
    slow_start_coordinator_of,
)
from fawnwharf.recovery_service.actions import SendPermitMessage, SlowStartPermit
from fawnwharf.recovery_service.permit_messages import MAX_PERMITS_PER_REQUEST, PermitRequest, PermitResponse
from fawnwharf.recovery_service.permit_view import AssignmentNumber, PermitView, permits_carry_over

MAX_SCORERS = 4_096
MAX_WAITING_CALLS = 4_096  # calls that wait for a permit at this front end
MAX_RETRY_TIMES = 1_024  # retry times of one scorer, assigned to calls that received no permit
RETRY_MS = 200.0  # a request without a response is sent again after this time
RESTART_MS = 500.0  # smaller differences in a scorer's reported age are noise, not a restart
NEVER_MS = float("-inf")


class SlowStartEvent(StrEnum):
    """Counted events of slow start permits; the values name the counters."""

    TOO_MANY_SCORERS = "scorers beyond the limit"
    TOO_MANY_CALLS = "calls for permits beyond the limit"
    NOT_COORDINATED = "permit requests for scorers coordinated elsewhere"
    UNKNOWN_REQUEST = "permit responses to no request"
    LATE_PERMIT = "permits that came late"
    UNUSED_PERMIT = "permits without a call"
    UNUSED_RETRY_TIME = "turns without a call"


@dataclass(slots=True)
class _Scorer:
    up_ms: float
    coordinator: str = ""
    waiting: deque[str] = field(default_factory=deque)  # keys of calls without a response
    request_number: int = 0  # of the open request; 0: none is open
    requested_ms: float = NEVER_MS
    full_until_ms: float = NEVER_MS  # as reported by its coordinator
    retry_times_ms: deque[float] = field(default_factory=deque)  # assigned here to calls without a permit


class CoordinatedSlowStart:
    """Tracks the known scorers, issues permits, and requests them from other coordinators."""

    def __init__(self, member: str, incarnation: int, limits: FleetLimits, lag_ms: float) -> None:
        self.member = member
        self.incarnation = incarnation
        self.limits = limits
        self.lag_ms = lag_ms
        self.coordinator = SlowStartCoordinator(limits)
        self.scorers: dict[int, _Scorer] = {}
        self.waiting_calls: dict[str, int] = {}  # scorer by key of the call
        self.counts = Counter[SlowStartEvent]()
        self._issuers: tuple[str, ...] = ()
        self._issuers_since_ms = float("inf")
        self._assignment: AssignmentNumber | None = None
        self._is_first = False  # nobody has issued a permit since this power loss
        self._wait_ms = lag_ms  # how long other front ends may still use the previous issuers
        self._number = 0

    # --- scorers and their coordinators -----------------------------------------------------------

    def update(self, now_ms: float, view: PermitView) -> None:
        """Use a new view of the permit issuers."""
        share = min(1.0, max(0.0, view.share))
        self.coordinator.limits = replace(self.limits, fall_multiple=self.limits.fall_multiple * share)
        self._wait_ms = self.lag_ms if view.assignment is None else view.lag_ms
        seen = (view.assignment, view.is_first, view.issuers)
        if seen == (self._assignment, self._is_first, self._issuers):
            return
        if not permits_carry_over(self._assignment, view.assignment) or view.is_first:
            for scorer in self.scorers.values():
                scorer.coordinator = ""  # another member may have been it meanwhile, or none ever was
        self._assignment = view.assignment
        self._is_first = view.is_first
        self._issuers = view.issuers
        self._issuers_since_ms = now_ms
        for scorer_id, scorer in self.scorers.items():
            self._find_coordinator(now_ms, scorer_id, scorer, uncoordinated=view.is_first)

    def _find_coordinator(
        self, now_ms: float, scorer_id: int, scorer: _Scorer, *, uncoordinated: bool
    ) -> None:
        """Determine a scorer's coordinator and reset its state if the coordinator has changed.

        `uncoordinated` tells that no other coordinator can have issued permits for the scorer: it came up
        after all front ends had learned of the current issuers, or nobody has issued any since this power
        loss.
        """
        name = str(scorer_id)
        coordinator = slow_start_coordinator_of(name, self._issuers)
        if coordinator == scorer.coordinator:
            return
        scorer.coordinator = coordinator
        scorer.request_number = 0
        scorer.full_until_ms = NEVER_MS
        scorer.retry_times_ms.clear()
        issued = self.coordinator.issued.get(name)
        self.coordinator.forget(name)
        if coordinator != self.member:
            return
        if not uncoordinated:
            self.coordinator.since[name] = now_ms + self._wait_ms
            return
        self.coordinator.has_no_predecessor(name)
        if issued:  # to front ends that received this assignment earlier
            self.coordinator.issued[name] = issued

    def scorer_seen(self, now_ms: float, scorer_id: int, age_ms: float) -> None:
        """Record that a scorer is up and for how long it has been."""
        up_ms = now_ms - age_ms
        known = self.scorers.get(scorer_id)
        if known is not None:
            if abs(up_ms - known.up_ms) > RESTART_MS:
                known.up_ms = up_ms  # permits issued before the restart may be in transit and still count
            return
        if len(self.scorers) >= MAX_SCORERS:
            self.counts[SlowStartEvent.TOO_MANY_SCORERS] += 1
            return
        scorer = self.scorers[scorer_id] = _Scorer(up_ms)
        if self._issuers:
            uncoordinated = self._is_first or up_ms >= self._issuers_since_ms + self._wait_ms
            self._find_coordinator(now_ms, scorer_id, scorer, uncoordinated=uncoordinated)

    def scorer_gone(self, scorer_id: int) -> list[SlowStartPermit]:
        """Forget a scorer; calls that waited for its permits retry and may find another scorer."""
        scorer = self.scorers.pop(scorer_id, None)
        if scorer is None:
            return []
        self.coordinator.forget(str(scorer_id))
        keys = [key for key in scorer.waiting if self.waiting_calls.pop(key, None) is not None]
        return [SlowStartPermit(key, 1.0) for key in keys]

    def age_ms(self, now_ms: float, scorer_id: int) -> float | None:
        """Return how long a scorer has been up, in milliseconds, or None if it is unknown."""
        scorer = self.scorers.get(scorer_id)
        return None if scorer is None else now_ms - scorer.up_ms

    def is_warming_up(self, now_ms: float, scorer_id: int) -> bool:
        """Whether a scorer is still warming up, so that calls to it need permits."""
        age_ms = self.age_ms(now_ms, scorer_id)
        return age_ms is not None and age_ms < self.limits.cold_ms

    # --- calls here -------------------------------------------------------------------------------

    def request(self, now_ms: float, scorer_id: int, key: str) -> float | None:
        """Request a permit for a call.

        Returns 0 if the call may go now, or the wait in milliseconds until a permit can be free. Returns None
        if the permit is requested from another member; `tick` or `receive_response` returns the answer later.
        """
        scorer = self.scorers.get(scorer_id)
        if scorer is None or not self.is_warming_up(now_ms, scorer_id):
            return 0.0
        if scorer.coordinator == self.member:
            return self._issue(now_ms, scorer_id, scorer)
        if now_ms < scorer.full_until_ms:
            return scorer.full_until_ms - now_ms
        if len(self.waiting_calls) >= MAX_WAITING_CALLS:
            self.counts[SlowStartEvent.TOO_MANY_CALLS] += 1
            return self.limits.fall_ms
        if key not in self.waiting_calls:
            self.waiting_calls[key] = scorer_id
            scorer.waiting.append(key)
        return None

    def cancel(self, key: str) -> None:
        """Forget a call that no longer needs a permit; a permit that arrives for it goes to the next call."""
        scorer_id = self.waiting_calls.pop(key, None)
        if scorer_id is not None and scorer_id in self.scorers:
            self.scorers[scorer_id].waiting.remove(key)

    def _issue(self, now_ms: float, scorer_id: int, scorer: _Scorer) -> float:
        """Issue a permit and return 0, or return the wait in milliseconds until the call should retry.

        Retry times are spread out so that the calls don't all retry at the same moment.
        """
        wait_ms = self.coordinator.acquire(now_ms, str(scorer_id), now_ms - scorer.up_ms)
        if wait_ms <= 0.0:
            return 0.0
        retry_times_ms = scorer.retry_times_ms
        while retry_times_ms and retry_times_ms[0] <= now_ms:
            retry_times_ms.popleft()
        due_ms = self._next_retry_ms(now_ms, scorer_id, scorer, wait_ms)
        if len(retry_times_ms) < MAX_RETRY_TIMES:
            retry_times_ms.append(max(due_ms, retry_times_ms[-1] if retry_times_ms else due_ms))
        return max(1.0, wait_ms, due_ms - now_ms)

    def _next_retry_ms(self, now_ms: float, scorer_id: int, scorer: _Scorer, wait_ms: float) -> float:
        """When the next call without a retry time should retry."""
        span_ms = self.limits.fall_ms + PERMIT_MS
        issued: Sequence[float] = self.coordinator.issued.get(str(scorer_id)) or ()
        ahead = len(scorer.retry_times_ms)
        if issued:
            return issued[ahead % len(issued)] + span_ms * (1 + ahead // len(issued))
        # A new coordinator is still waiting: its permits become free one after the other after that wait.
        capacity = self.coordinator.limits.max_calls(now_ms - scorer.up_ms)
        return now_ms + wait_ms + span_ms * ahead / capacity

    # --- messages ---------------------------------------------------------------------------------

    def answer_request(self, now_ms: float, sender: str, request: PermitRequest) -> list[SendPermitMessage]:
        """Issue permits for calls of another front end.

        Send no answer if this member does not coordinate the scorer: one of the two views is about to change.
        """
        scorer = self.scorers.get(request.scorer)
        if scorer is None or scorer.coordinator != self.member:
            self.counts[SlowStartEvent.NOT_COORDINATED] += 1
            return []
        if not self.is_warming_up(now_ms, request.scorer):
            waits_ms = [0.0] * request.count
        else:
            waits_ms = [self._issue(now_ms, request.scorer, scorer) for _ in range(request.count)]
        response = PermitResponse(request.scorer, request.number, request.incarnation, tuple(waits_ms))
        return [SendPermitMessage((sender,), response)]

    def receive_response(self, now_ms: float, response: PermitResponse) -> list[SlowStartPermit]:
        """Handle a coordinator's response to the open request for its scorer."""
        scorer = self.scorers.get(response.scorer)
        is_open = scorer is not None and scorer.request_number and scorer.request_number == response.number
        if scorer is None or response.incarnation != self.incarnation or not is_open:
            self.counts[SlowStartEvent.UNKNOWN_REQUEST] += 1
            return []
        scorer.request_number = 0
        is_late = now_ms - scorer.requested_ms > PERMIT_MS
        permits = []
        for wait_ms in response.waits_ms:
            if wait_ms <= 0.0 and is_late:
                self.counts[SlowStartEvent.LATE_PERMIT] += 1
            elif not scorer.waiting:
                unused = SlowStartEvent.UNUSED_PERMIT if wait_ms <= 0.0 else SlowStartEvent.UNUSED_RETRY_TIME
                self.counts[unused] += 1
            else:
                key = scorer.waiting.popleft()
                del self.waiting_calls[key]
                permits.append(SlowStartPermit(key, wait_ms))
        waits_ms = [wait_ms for wait_ms in response.waits_ms if wait_ms > 0.0]
        if waits_ms:
            scorer.full_until_ms = now_ms + min(waits_ms)
        return permits

    def tick(self, now_ms: float) -> list[SendPermitMessage | SlowStartPermit]:
        """Request permits for the waiting calls, or issue them for scorers that this member coordinates."""
        actions: list[SendPermitMessage | SlowStartPermit] = []
        for scorer_id in list(dict.fromkeys(self.waiting_calls.values())):
            scorer = self.scorers[scorer_id]
            if scorer.coordinator == self.member or not self.is_warming_up(now_ms, scorer_id):
                actions += self._answer_waiting(now_ms, scorer_id, scorer)
            elif scorer.coordinator and (
                not scorer.request_number or now_ms - scorer.requested_ms >= RETRY_MS
            ):
                actions.append(self._send_request(now_ms, scorer_id, scorer))
        return actions

    def _answer_waiting(self, now_ms: float, scorer_id: int, scorer: _Scorer) -> list[SlowStartPermit]:
        keys = list(scorer.waiting)
        scorer.waiting.clear()
        permits = []
        for key in keys:
            del self.waiting_calls[key]
            wait_ms = self.request(now_ms, scorer_id, key)
            permits.append(SlowStartPermit(key, 0.0 if wait_ms is None else wait_ms))
        return permits

    def _send_request(self, now_ms: float, scorer_id: int, scorer: _Scorer) -> SendPermitMessage:
        self._number += 1
        scorer.request_number = self._number
        scorer.requested_ms = now_ms
        count = min(MAX_PERMITS_PER_REQUEST, len(scorer.waiting))
        request = PermitRequest(scorer_id, self._number, self.incarnation, count)
        return SendPermitMessage((scorer.coordinator,), request)
