"""Recovery admission in virtual time, with a real timer wheel; the test supplies all answers."""

from fawnwharf.interface import ClassSpec, Effect
from fawnwharf.net.requests import Call, Rejected
from fawnwharf.net.timer_wheel import TimerWheel
from fawnwharf.recovery_core.budget import FleetLimits
from fawnwharf.recovery_core.phases import RecoveryPhase, allowed_in_phase
from fawnwharf.recovery_service.recovery_admission import AdmissionSettings, RecoveryAdmission

CLASSES = {
    "settle": ClassSpec("settle", latency_target_ms=1_000.0, effect=Effect.AT_MOST_ONCE, priority_weight=5.0),
    "keyed": ClassSpec(
        "keyed",
        latency_target_ms=1_000.0,
        effect=Effect.DEDUPLICATED,
        dedup_window_ms=3_000.0,
        priority_weight=1.0,
    ),
    "view": ClassSpec("view", latency_target_ms=1_000.0, effect=Effect.IDEMPOTENT, priority_weight=1.0),
}
WEIGHTS = {name: spec.priority_weight for name, spec in CLASSES.items()}
LIMITS = FleetLimits(
    fetches=4, scorer_rps=12.0, cold_ms=10_000.0, cold_share=0.2, fall_ms=1_000.0, fall_multiple=2.0,
    retry_most_ms=4_000.0,
)  # fmt: skip


class FakePermitIssuer:
    """Replaces `PermitIssuer`; the test sets its answers."""

    def __init__(self):
        self.copy_scorers, self.etas, self.free, self.requested_copies, self.asked = {}, {}, {}, [], []

    def place(self, function):
        """The scorer of a function's copy, if it is set."""
        return self.copy_scorers.get(function)

    def eta_ms(self, now, function):
        """The milliseconds until a copy is expected."""
        return self.etas.get(function, 300.0)

    def request_copy(self, now, request):
        """Record a load request."""
        self.requested_copies.append((request.function, request.weight_ps, request.class_name))

    def request_permit(self, now, scorer, key):
        """The answer set for a scorer: 0 for a permit, a wait in milliseconds, or None for a later answer."""
        found = self.free.get(scorer, 0.0)
        if found is None:
            self.asked.append(key)
        return found

    def cancel_permit(self, key):
        """Forget a call that waits for a permit."""
        if key in self.asked:
            self.asked.remove(key)


class AdmissionHarness:
    """The admission under test, and its request sink."""

    def __init__(self, stage=RecoveryPhase.ALL_CALLS, rate_ps=1e6, claims=None, limits=LIMITS, **more):
        self.now = 0.0
        self.timers = TimerWheel(lambda: self.now)
        self.issuer, self.calls, self.withdrawn, self.replies_at_once = FakePermitIssuer(), {}, [], False
        self.admission = RecoveryAdmission(
            self.timers, self, AdmissionSettings(CLASSES, limits), claims, lambda: self.now
        )
        self.numbers, self.taken, self.passed = 0, 0, set()
        self.apply_phase(stage, rate_ps, **more)
        self.advance_ms(1_000.0)  # so that the rate limiter allows a burst

    def apply_phase(self, stage, rate_ps=1e6, **more):
        """Apply a phase, or permissions given directly."""
        may = allowed_in_phase(stage, WEIGHTS) if isinstance(stage, RecoveryPhase) else stage
        self.admission.apply(may, rate_ps, self.issuer)

    def advance_ms(self, ms):
        """Advance the time by milliseconds."""
        until = self.now + ms
        while self.now < until:
            self.now = min(until, self.now + 4.0)
            self.timers.advance()

    def take(self, call):
        """Accept a call as the request sink; fails if the same call is passed on twice."""
        assert call.id not in self.passed, "a call twice"
        self.passed.add(call.id)
        if self.replies_at_once:
            call.reply(Rejected(9.0))
            return None
        self.taken += 1
        key = f"r{self.taken}"
        self.calls[key] = call
        return key

    def withdraw(self, key):
        """Record a withdrawal."""
        self.withdrawn.append(key)

    def ask(self, class_name="view", function="f", budget_ms=2_000.0, token=""):
        """Make a call; return its key and the list that receives its outcome."""
        self.numbers += 1
        got = []
        call = Call(
            id=self.numbers.to_bytes(8, "big"), class_name=class_name, tenant="t", function=function,
            budget_ms=budget_ms, body=b"body", token=token, lanes=1, memory_mb=None, load_ms=None,
            reply=got.append,
        )  # fmt: skip
        return self.admission.take(call), got
