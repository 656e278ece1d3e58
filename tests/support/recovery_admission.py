"""Recovery admission in virtual time: a real timer wheel, and answers of all others by the test."""

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
WORTHS = {name: spec.priority_weight for name, spec in CLASSES.items()}
LIMITS = FleetLimits(
    fetches=4, scorer_rps=12.0, cold_ms=10_000.0, cold_share=0.2, fall_ms=1_000.0, fall_multiple=2.0,
    retry_most_ms=4_000.0,
)  # fmt: skip


class Words:
    """Stands for `PermitIssuer`: its answers are set by the test."""

    def __init__(self):
        self.places, self.etas, self.free, self.wanted, self.asked = {}, {}, {}, [], []

    def place(self, function):
        """The scorer of a function's copy, if it is set."""
        return self.places.get(function)

    def eta_ms(self, now, function):
        """When a copy may stand, in milliseconds."""
        return self.etas.get(function, 300.0)

    def request_copy(self, now, request):
        """Note a load request."""
        self.wanted.append((request.function, request.weight_ps, request.class_name))

    def request_permit(self, now, scorer, key):
        """The answer set for a scorer: 0 to send, else milliseconds to wait, or None for later."""
        found = self.free.get(scorer, 0.0)
        if found is None:
            self.asked.append(key)
        return found

    def cancel_permit(self, key):
        """Forget a call that waits for a permit."""
        if key in self.asked:
            self.asked.remove(key)


class Ground:
    """The admission under test, and the table below it."""

    def __init__(self, stage=RecoveryPhase.ALL_CALLS, rate_ps=1e6, promises=None, limits=LIMITS, **more):
        self.now = 0.0
        self.timers = TimerWheel(lambda: self.now)
        self.issuer, self.calls, self.withdrawn, self.at_once = Words(), {}, [], False
        self.admission = RecoveryAdmission(
            self.timers, self, AdmissionSettings(CLASSES, limits), promises, lambda: self.now
        )
        self.numbers, self.taken, self.passed = 0, 0, set()
        self.go_by(stage, rate_ps, **more)
        self.pass_by(1_000.0)  # so that there is a burst to be let in

    def go_by(self, stage, rate_ps=1e6, **more):
        """Go by a phase, or by what is allowed."""
        may = allowed_in_phase(stage, WORTHS) if isinstance(stage, RecoveryPhase) else stage
        self.admission.apply(may, rate_ps, self.issuer)

    def pass_by(self, ms):
        """Let milliseconds pass."""
        until = self.now + ms
        while self.now < until:
            self.now = min(until, self.now + 4.0)
            self.timers.advance()

    def take(self, call):
        """Take a call, as the table below; fails for a call taken twice."""
        assert call.id not in self.passed, "a call twice"
        self.passed.add(call.id)
        if self.at_once:
            call.reply(Rejected(9.0))
            return None
        self.taken += 1
        key = f"r{self.taken}"
        self.calls[key] = call
        return key

    def withdraw(self, key):
        """Note a withdrawal."""
        self.withdrawn.append(key)

    def ask(self, class_name="view", function="f", budget_ms=2_000.0, token=""):
        """Make a call: its key, and a list for its outcome."""
        self.numbers += 1
        got = []
        call = Call(
            id=self.numbers.to_bytes(8, "big"), class_name=class_name, tenant="t", function=function,
            budget_ms=budget_ms, body=b"body", token=token, lanes=1, memory_mb=None, load_ms=None,
            reply=got.append,
        )  # fmt: skip
        return self.admission.take(call), got
