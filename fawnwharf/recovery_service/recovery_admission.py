"""Admission of calls after a power loss, between the client port and the request table.

Depending on the recovery phase, it admits repeats of claimed calls, the priority classes, calls whose
function has a copy, and calls to warming scorers that have a permit. Other calls are rejected at once; their
Retry-After is the earliest time at which capacity can be free. A call waits here only while it can still meet
its latency target. Every call gets exactly one final reply.
"""

import itertools
import math
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from fawnwharf.interface import ClassSpec, Effect
from fawnwharf.net.requests import Call, Outcome, Rejected
from fawnwharf.net.timer_wheel import Timer, TimerWheel, monotonic_ms
from fawnwharf.recovery_core import partitioned
from fawnwharf.recovery_core.budget import AdmissionRateLimiter, FleetLimits, priority_classes
from fawnwharf.recovery_core.phases import AllowedActions
from fawnwharf.recovery_service.actions import CopyAvailable, SlowStartPermit
from fawnwharf.recovery_service.claim_status import ClaimStatus, NoClaims
from fawnwharf.recovery_service.permit_issuing import PermitIssuer
from fawnwharf.recovery_service.permit_messages import LoadRequest
from fawnwharf.recovery_service.request_sink import RequestSink

MAX_WAITING_CALLS = 4_096
MAX_WAITING_BYTES = 8 * 1024 * 1024
WAIT_FRACTION = 0.6  # of a class's latency target: the longest wait of a call here
CLIENT_MARGIN_MS = 100.0  # the wait ends at least this long before the client gives up
RESERVED_FRACTION = 0.3  # of the rate limiter's burst, reserved for the priority classes
CLASS_REJECTED_MS = 1_000.0  # least Retry-After for a class that is not admitted yet
MAX_RATES = 4_096  # functions whose call rates are tracked
RATE_MS = 5_000.0  # time over which a function's call rate is measured


class AdmissionOutcome(StrEnum):
    """Outcome of a call in admission; the values are counter names and log fields."""

    REPEAT = "repeats"
    ADMITTED = "admitted"
    ADMITTED_LATER = "admitted after a wait"
    REJECTED_CLASS = "rejected: class"
    REJECTED_COPY = "rejected: copy"
    REJECTED_RATE = "rejected: rate"
    REJECTED_CAPACITY = "rejected: capacity"
    REJECTED_PERMIT = "rejected: permit"
    REJECTED_LATER = "rejected: waited"
    WAITING = "waiting"


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings of recovery admission.

    For `idempotency_window_ms` after a start, an idempotent call may repeat an earlier one whose key its
    scorer has lost.
    """

    classes: Mapping[str, ClassSpec]
    limits: FleetLimits
    idempotency_window_ms: float = 13_500.0


@dataclass(slots=True, eq=False)
class _WaitingCall:
    """A call that was not admitted at once, tracked until it ends."""

    key: str
    call: Call
    reply: Callable[[Outcome], None]
    arrived_ms: float
    until_ms: float
    end_timer: Timer | None = None
    retry_timer: Timer | None = None
    awaits_permit: bool = False
    admitted: bool = False
    sink_key: str | None = None  # its key in the request sink


@dataclass(slots=True)
class _FunctionRate:
    since_ms: float
    weight: float = 0.0  # total priority weight of the calls since then


class RecoveryAdmission:
    """Admits, delays or rejects calls; a request sink that holds calls waiting for a copy or a permit."""

    def __init__(
        self,
        wheel: TimerWheel,
        sink: RequestSink,
        settings: AdmissionSettings,
        claims: ClaimStatus | None = None,
        clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        """Begin closed: no class is admitted before `apply`."""
        self._wheel = wheel
        self.sink = sink
        self._classes = settings.classes
        self._window_ms = settings.idempotency_window_ms
        self._clock = clock
        self._claims = claims or NoClaims()
        self._started_ms = clock()
        self._wait_until_ms = math.inf  # no call waits here longer; the end of a graceful shutdown
        self.open = False  # True in normal operation: every call is passed on
        self.rate_limiter = AdmissionRateLimiter(settings.limits, refilled_ms=clock())
        self.counts = Counter[AdmissionOutcome]()
        self._recent_counts = Counter[AdmissionOutcome]()
        self._allowed = AllowedActions()
        self._issuer: PermitIssuer | None = None
        self._priority_classes = frozenset[str]()
        self._numbers = itertools.count(1)
        self._waiting: dict[str, _WaitingCall] = {}
        self._waiting_bytes = 0
        self._awaiting_copy: dict[str, dict[str, None]] = {}  # keys by function
        self._rates: dict[str, _FunctionRate] = {}  # by function

    def _count(self, outcome: AdmissionOutcome) -> None:
        self.counts[outcome] += 1
        if not self.open:
            self._recent_counts[outcome] += 1

    def take_recent_counts(self) -> dict[str, int]:
        """Return outcome counts since the previous call of this, and the waiting calls; empty if idle."""
        recent, self._recent_counts = self._recent_counts, Counter()
        if not recent:
            return {}
        counts: dict[str, int] = dict(recent.items())
        counts[AdmissionOutcome.WAITING] = len(self._waiting)
        return counts

    def apply(self, allowed: AllowedActions, rate_ps: float, issuer: PermitIssuer | None) -> None:
        """Apply the current permissions; call this at each change.

        `rate_ps` is the number of calls per second to admit at this front end.
        """
        self._allowed = allowed
        self._issuer = issuer
        self.open = allowed.spill
        weights = {name: spec.priority_weight for name, spec in self._classes.items()}
        self._priority_classes = priority_classes(weights)
        self.rate_limiter.set_rate(self._clock(), rate_ps)
        for waiting in [waiting for waiting in self._waiting.values() if not waiting.admitted]:
            if self.open:
                self._admit(waiting)
            elif not self._admits_class(waiting.call.class_name):
                self._reject_waiting(waiting, CLASS_REJECTED_MS)
        if self.open:
            self._rates.clear()
        if allowed.own_loads:  # the decision module now orders the copies that waiting calls need
            for function in list(self._awaiting_copy):
                self.notify(CopyAvailable(function))

    # --- from the port ----------------------------------------------------------------------------

    def take(self, call: Call) -> str | None:
        """Accept a call; return the key of the open request, or None if it was answered at once."""
        if self.open:
            return self.sink.take(call)
        if self._allowed.repeats and self._claims.is_repeat(call):
            self._count(AdmissionOutcome.REPEAT)
            return self.sink.take(call)
        return self._decide(call)

    def withdraw(self, key: str) -> None:
        """Forget a call whose client no longer waits."""
        waiting = self._waiting.get(key) if self._waiting else None
        if waiting is None:
            self.sink.withdraw(key)
            return
        self._close(waiting)
        if waiting.sink_key is not None:
            self.sink.withdraw(waiting.sink_key)

    def shut_down(self, within_ms: float) -> None:
        """Let no call wait here until this time from now is over, those still to arrive among them."""
        wait_ms = max(0.0, within_ms - CLIENT_MARGIN_MS)
        self._wait_until_ms = min(self._wait_until_ms, self._clock() + wait_ms)
        self._wheel.after(wait_ms, self._reject_all_waiting)

    def _reject_all_waiting(self) -> None:
        for waiting in [waiting for waiting in self._waiting.values() if not waiting.admitted]:
            self._overdue(waiting)

    @property
    def busy(self) -> bool:
        """Whether some call still waits for a reply."""
        return bool(self._waiting) or bool(getattr(self.sink, "busy", False))

    # --- new calls --------------------------------------------------------------------------------

    def _admits_class(self, class_name: str) -> bool:
        """Whether a class is admitted; while partitioned, only if it is safe that others serve it as well."""
        if class_name not in self._allowed.classes:
            return False
        if not self._allowed.alone:
            return True
        effect = self._classes[class_name].effect
        granted = effect is Effect.AT_MOST_ONCE and self._claims.requires_grant(class_name)
        knowledge = partitioned.CallKnowledge(
            granted=granted, since_start_ms=self._clock() - self._started_ms
        )
        decision = partitioned.decide_call(effect, knowledge, self._window_ms)
        return decision is partitioned.CallDecision.SERVE

    def _decide(self, call: Call) -> str | None:
        now_ms = self._clock()
        if not self._admits_class(call.class_name):
            self._reject(call, AdmissionOutcome.REJECTED_CLASS, CLASS_REJECTED_MS)
            return None
        promise_ms = self._classes[call.class_name].latency_target_ms
        wait_ms = min(WAIT_FRACTION * promise_ms, call.budget_ms - CLIENT_MARGIN_MS)
        wait_ms = min(wait_ms, max(0.0, self._wait_until_ms - now_ms))
        issuer = self._issuer_without_copy(call.function)
        if issuer is not None:
            self._request_copy(now_ms, issuer, call)
            eta_ms = issuer.eta_ms(now_ms, call.function)
            if eta_ms > wait_ms:
                self._reject(call, AdmissionOutcome.REJECTED_COPY, eta_ms)
                return None
        reserved = 0.0 if call.class_name in self._priority_classes else RESERVED_FRACTION
        if not self.rate_limiter.try_admit(now_ms, reserved):
            self._reject(call, AdmissionOutcome.REJECTED_RATE)
            return None
        too_many_bytes = self._waiting_bytes + len(call.body) > MAX_WAITING_BYTES
        if len(self._waiting) >= MAX_WAITING_CALLS or too_many_bytes:
            self._reject(call, AdmissionOutcome.REJECTED_CAPACITY)
            return None
        return self._admit_or_wait(now_ms, call, wait_ms)

    def _reject(self, call: Call, outcome: AdmissionOutcome, not_before_ms: float = 0.0) -> None:
        self._count(outcome)
        call.reply(Rejected(self.rate_limiter.retry_after_ms(self._clock(), call.id.hex(), not_before_ms)))

    def _issuer_without_copy(self, function: str) -> PermitIssuer | None:
        """The issuer to request a copy from if no copy is known and the decision module may not order one."""
        if self._issuer is None or self._allowed.own_loads or self._issuer.place(function) is not None:
            return None
        return self._issuer

    def _request_copy(self, now_ms: float, issuer: PermitIssuer, call: Call) -> None:
        """Request a copy, with the weight of the function's recent calls per second."""
        rate = self._rates.get(call.function)
        if rate is None or now_ms - rate.since_ms > RATE_MS:
            if rate is None and len(self._rates) >= MAX_RATES:
                self._rates.clear()  # the rates are measured anew
            rate = self._rates[call.function] = _FunctionRate(now_ms)
        rate.weight += self._classes[call.class_name].priority_weight
        weight_ps = 1_000.0 * rate.weight / max(1_000.0, now_ms - rate.since_ms)
        request = LoadRequest(call.function, call.class_name, weight_ps, call.lanes, call.load_ms)
        issuer.request_copy(now_ms, request)

    def _admit_or_wait(self, now_ms: float, call: Call, max_wait_ms: float) -> str | None:
        """Pass on a call that its class and the rate admit: at once, or when it has a copy and a permit."""
        key = f"d{next(self._numbers)}"
        lacks_copy = self._issuer_without_copy(call.function) is not None
        permit_wait_ms: float | None = None
        if not lacks_copy:
            permit_wait_ms = self._request_permit(now_ms, call.function, key)
            if permit_wait_ms == 0.0:
                self._count(AdmissionOutcome.ADMITTED)
                return self.sink.take(call)
            if permit_wait_ms is not None and permit_wait_ms > max_wait_ms:
                self._reject(call, AdmissionOutcome.REJECTED_PERMIT, permit_wait_ms)
                return None
        waiting = self._add_waiting(now_ms, key, call, max_wait_ms)
        if lacks_copy:
            self._awaiting_copy.setdefault(call.function, {})[key] = None
        elif permit_wait_ms is None:
            waiting.awaits_permit = True
        else:
            self._retry_after(waiting, permit_wait_ms)
        return key

    def _add_waiting(self, now_ms: float, key: str, call: Call, max_wait_ms: float) -> _WaitingCall:
        waiting = _WaitingCall(key, call, call.reply, now_ms, now_ms + max_wait_ms)
        self._waiting[key] = waiting
        self._waiting_bytes += len(call.body)
        call.reply = lambda outcome: self._replied(waiting, outcome)
        waiting.end_timer = self._wheel.after(max_wait_ms, lambda: self._overdue(waiting))
        return waiting

    def _request_permit(self, now_ms: float, function: str, key: str) -> float | None:
        """Request a permit for the scorer of the function's copy, as `PermitIssuer.request_permit` does."""
        scorer = self._issuer.place(function) if self._issuer is not None else None
        if self._issuer is None or scorer is None:
            return 0.0
        return self._issuer.request_permit(now_ms, scorer, key)

    # --- calls that wait --------------------------------------------------------------------------

    def _retry_after(self, waiting: _WaitingCall, wait_ms: float) -> None:
        waiting.retry_timer = self._wheel.after(wait_ms, lambda: self._retry(waiting))

    def _retry(self, waiting: _WaitingCall) -> None:
        """Pass a waiting call on, let it wait for its copy or permit, or reject it if that comes too late."""
        now_ms = self._clock()
        function = waiting.call.function
        issuer = self._issuer_without_copy(function)
        if issuer is not None:
            self._request_copy(now_ms, issuer, waiting.call)
            eta_ms = issuer.eta_ms(now_ms, function)
            if eta_ms > waiting.until_ms - now_ms:
                self._reject_waiting(waiting, eta_ms)
            else:
                self._awaiting_copy.setdefault(function, {})[waiting.key] = None
            return
        wait_ms = self._request_permit(now_ms, function, waiting.key)
        waiting.awaits_permit = wait_ms is None
        if wait_ms is not None:
            self._use_permit(waiting, wait_ms)

    def _use_permit(self, waiting: _WaitingCall, wait_ms: float) -> None:
        if wait_ms <= 0.0:
            self._admit(waiting)
        elif wait_ms > waiting.until_ms - self._clock():
            self._reject_waiting(waiting, wait_ms)
        else:
            self._retry_after(waiting, wait_ms)

    def _overdue(self, waiting: _WaitingCall) -> None:
        issuer = self._issuer_without_copy(waiting.call.function)
        eta_ms = issuer.eta_ms(self._clock(), waiting.call.function) if issuer is not None else 0.0
        self._reject_waiting(waiting, eta_ms)

    def notify(self, action: SlowStartPermit | CopyAvailable) -> None:
        """Handle the permit issuer's result for waiting calls."""
        if isinstance(action, CopyAvailable):
            for key in self._awaiting_copy.pop(action.function, ()):
                if (waiting := self._waiting.get(key)) is not None:
                    self._retry(waiting)
        elif (waiting := self._waiting.get(action.key)) is not None and waiting.awaits_permit:
            waiting.awaits_permit = False
            self._use_permit(waiting, action.wait_ms)

    def _admit(self, waiting: _WaitingCall) -> None:
        if waiting.key not in self._waiting:
            return
        self._stop_waiting(waiting)
        call = waiting.call
        call.budget_ms = max(1.0, call.budget_ms - (self._clock() - waiting.arrived_ms))
        waiting.admitted = True
        self._count(AdmissionOutcome.ADMITTED_LATER)
        waiting.sink_key = self.sink.take(call)
        if waiting.sink_key is None:  # it was answered at once
            self._close(waiting)

    def _reject_waiting(self, waiting: _WaitingCall, not_before_ms: float) -> None:
        """Reject a call that was never passed on, so it is safe for the client to retry."""
        self._count(AdmissionOutcome.REJECTED_LATER)
        wait_ms = self.rate_limiter.retry_after_ms(self._clock(), waiting.call.id.hex(), not_before_ms)
        self._replied(waiting, Rejected(wait_ms))

    def _replied(self, waiting: _WaitingCall, outcome: Outcome) -> None:
        if self._close(waiting):
            waiting.reply(outcome)

    def _stop_waiting(self, waiting: _WaitingCall) -> None:
        """Cancel the call's timers, permit request and wait for a copy."""
        for timer in (waiting.end_timer, waiting.retry_timer):
            if timer is not None:
                timer.cancel()
        waiting.end_timer = waiting.retry_timer = None
        if waiting.awaits_permit and self._issuer is not None:
            self._issuer.cancel_permit(waiting.key)
        waiting.awaits_permit = False
        keys = self._awaiting_copy.get(waiting.call.function)
        if keys is not None:
            keys.pop(waiting.key, None)
            if not keys:
                del self._awaiting_copy[waiting.call.function]

    def _close(self, waiting: _WaitingCall) -> bool:
        """Forget a call; return False if it was already forgotten."""
        if self._waiting.pop(waiting.key, None) is None:
            return False
        self._waiting_bytes -= len(waiting.call.body)
        self._stop_waiting(waiting)
        return True
