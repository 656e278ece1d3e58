"""A door in virtual time: a real wheel, what stands below as the test answers for it, loaders and wardens
whose word the test gives."""

from fawnwharf.interface import ClassSpec, Effect
from fawnwharf.net.requests import Call, Refused
from fawnwharf.net.wheel import Wheel
from fawnwharf.recovery.budget import Limits
from fawnwharf.recovery.stages import Stage, allowed
from fawnwharf.rejoin.door import Door

CLASSES = {
    "settle": ClassSpec("settle", promise_ms=1_000.0, effect=Effect.UNSAFE, worth=5.0),
    "keyed": ClassSpec("keyed", promise_ms=1_000.0, effect=Effect.KEYED, dedup_window_ms=3_000.0, worth=1.0),
    "view": ClassSpec("view", promise_ms=1_000.0, effect=Effect.SAFE, worth=1.0),
}
WORTHS = {name: spec.worth for name, spec in CLASSES.items()}
LIMITS = Limits(
    fetches=4, scorer_rps=12.0, cold_ms=10_000.0, cold_share=0.2, fall_ms=1_000.0, fall_multiple=2.0,
    retry_most_ms=4_000.0,
)  # fmt: skip


class Words:
    """In the place of Giving."""

    def __init__(self):
        self.places, self.etas, self.free, self.wanted, self.asked = {}, {}, {}, [], []

    def place(self, row):
        return self.places.get(row)

    def eta_ms(self, now, row):
        return self.etas.get(row, 300.0)

    def want(self, now, row, worth_ps, kind, lanes, load_ms):
        self.wanted.append((row, worth_ps, kind))

    def ask(self, now, scorer, key):
        found = self.free.get(scorer, 0.0)
        if found is None:
            self.asked.append(key)
        return found

    def drop(self, key):
        if key in self.asked:
            self.asked.remove(key)


class Ground:
    def __init__(self, stage=Stage.REST, rate_ps=1e6, promises=None, limits=LIMITS, **more):
        self.now = 0.0
        self.wheel = Wheel(lambda: self.now)
        self.giving, self.calls, self.withdrawn, self.at_once = Words(), {}, [], False
        self.door = Door(self, self, CLASSES, limits, promises, clock=lambda: self.now)
        self.numbers, self.taken, self.passed = 0, 0, set()
        self.go_by(stage, rate_ps, **more)
        self.pass_by(1_000.0)  # so that there is a burst to be let in

    def go_by(self, stage, rate_ps=1e6, **more):
        may = allowed(stage, WORTHS) if isinstance(stage, Stage) else stage
        self.door.go_by(may, rate_ps, self.giving)

    def pass_by(self, ms):
        until = self.now + ms
        while self.now < until:
            self.now = min(until, self.now + 4.0)
            self.wheel.advance()

    def take(self, call):
        assert call.id not in self.passed, "a call twice"
        self.passed.add(call.id)
        if self.at_once:
            call.reply(Refused(9.0))
            return None
        self.taken += 1
        key = f"r{self.taken}"
        self.calls[key] = call
        return key

    def withdraw(self, key):
        self.withdrawn.append(key)

    def ask(self, kind="view", row="f", budget_ms=2_000.0, token=""):
        self.numbers += 1
        got = []
        call = Call(
            id=self.numbers.to_bytes(8, "big"), class_name=kind, tenant="t", function=row,
            budget_ms=budget_ms, body=b"body", token=token, lanes=1, memory_mb=None, load_ms=None,
            reply=got.append,
        )  # fmt: skip
        return self.door.take(call), got
