"""What a process has learnt, for the one that takes its place. Pure: beliefs in, bytes out, and back.

All times are ages at the moment of writing, so that clocks which differ do no harm. The bytes carry a version
and a checksum; what is torn, of another version or too old is no memory, and whoever reads it starts without.
"""

import struct
import zlib
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from fawnwharf.interface import State
from fawnwharf.policy import Router, state

MAGIC = b"fwmem\x01"  # the last byte is the version
HEAD = struct.Struct(">6sII")  # magic, length, checksum
MAX_AGE_MS = 20_000.0  # beliefs that are older say nothing; who is taken out holds for good
MAX_FUNCTIONS = 500  # the ones called or wanted last
MAX_BYTES = 4 * 1024 * 1024

Age = Annotated[float, Meta(ge=-1e12)]


class LearnedCopies(msgspec.Struct, array_like=True):
    """A function's copies at one scorer."""

    worker: int
    copies: int
    seen: Age
    counted: Age
    blocked: Age


class LearnedFunction(msgspec.Struct, array_like=True):
    """A function."""

    name: str
    kind: str
    lanes: int
    load_told_ms: float | None
    runs: list[tuple[Age, float]]
    loads: list[tuple[Age, float]]
    waits: list[tuple[Age, float]]
    called: list[Age]
    idle_ms: float
    load_path: bool
    arrived: float
    width: int
    crowd: float
    places: list[LearnedCopies]


class LearnedScorer(msgspec.Struct, array_like=True):
    worker: int
    started: Age
    strain: float
    strain_seen: Age
    suspect: Age | None
    sent: list[Age]
    lapses: dict[str, tuple[float, Age, float]]


class LearnedState(msgspec.Struct):
    """All of it; `at_ms` is the monotonic clock's, the same for all processes of one machine."""

    at_ms: float
    out: list[str]  # scorers taken out, by id
    began: Age = 0.0
    run_ms: float = 0.0
    loads_limit: float = 0.0
    fleet: float = 0.0
    hedges: float = 0.0
    taken: list[Age] = []
    ordered: list[Age] = []
    tokens: dict[str, tuple[float, Age]] = {}
    runs: list[tuple[Age, float]] = []
    scorers: list[LearnedScorer] = []
    functions: list[LearnedFunction] = []


def encode(memory: LearnedState) -> bytes:
    body = msgspec.msgpack.encode(memory)
    return HEAD.pack(MAGIC, len(body), zlib.crc32(body)) + body


def decode(data: bytes) -> LearnedState | None:
    """None where it is torn, of another version, or none at all."""
    if not HEAD.size <= len(data) <= MAX_BYTES:
        return None
    magic, length, check = HEAD.unpack_from(data)
    body = data[HEAD.size :]
    if (magic, length, check) != (MAGIC, len(body), zlib.crc32(body)):
        return None
    try:
        return msgspec.msgpack.decode(body, type=LearnedState)
    except msgspec.DecodeError:
        return None


def is_fresh(memory: LearnedState, now_ms: float) -> bool:
    """Whether its beliefs may still hold; `now_ms` on the monotonic clock."""
    return 0.0 <= now_ms - memory.at_ms <= MAX_AGE_MS


# --- from the module and back -----------------------------------------------------------------------


def capture(router: Router, out: set[str], now_ms: float, at_ms: float) -> LearnedState:
    """What the module believes: `now_ms` on its clock, `at_ms` on the monotonic one."""

    def ages(times: Any) -> list[float]:
        return [now_ms - at for at in times]

    def aged(samples: state.Samples) -> list[tuple[float, float]]:
        return [(now_ms - at, value) for at, value in samples.timed]

    last = sorted(router.functions.values(), key=lambda fn: -fn.needed_ms)[:MAX_FUNCTIONS]
    return LearnedState(
        at_ms,
        sorted(out),
        began=now_ms - min(now_ms, router.began_ms),
        run_ms=router.run_ms,
        loads_limit=router.loads_limit,
        fleet=router.fleet,
        hedges=router.hedges,
        taken=ages(router.taken),
        ordered=ages(router.ordered),
        tokens={name: (tokens, now_ms - at) for name, (tokens, at) in router.tokens.items()},
        runs=aged(router.runs),
        scorers=[
            LearnedScorer(
                worker.id,
                now_ms - worker.started_ms,
                worker.strain,
                now_ms - worker.strain_ms,
                None if worker.suspect_ms is None else now_ms - worker.suspect_ms,
                ages(worker.sent),
                {kind: (x.losses, now_ms - x.rests_ms, x.rest_ms) for kind, x in worker.lapses.items()},
            )
            for worker in router.workers.values()
            if worker.entry.state is not State.GONE
        ],
        functions=[
            LearnedFunction(
                fn.name, fn.kind, fn.lanes, fn.load_told_ms, aged(fn.runs), aged(fn.loads), aged(fn.waits),
                ages(fn.last_ms), fn.idle_ms, fn.load_path, fn.arrived, fn.width, fn.crowd,
                [
                    LearnedCopies(
                        id, i.copies, now_ms - i.seen_ms, now_ms - i.counted_ms, now_ms - i.blocked_ms
                    )
                    for id, i in fn.instances.items()
                    if i.copies
                ],
            )
            for fn in last
        ],
    )  # fmt: skip


def restore(router: Router, memory: LearnedState, now_ms: float, at_ms: float) -> None:
    """Have the module believe it, as far as its roster has the scorers; it has heard of no call yet."""
    base = now_ms - (at_ms - memory.at_ms)  # the moment of writing, on this clock

    def timed(samples: list[tuple[float, float]]) -> state.Samples:
        made = state.Samples()
        made.timed.extend((base - age, value) for age, value in samples)
        return made

    router.began_ms = base - memory.began
    router.run_ms, router.loads_limit, router.hedges = memory.run_ms, memory.loads_limit, memory.hedges
    router.fleet = max(router.fleet, memory.fleet)
    router.taken.extend(base - age for age in memory.taken)
    router.ordered.extend(base - age for age in memory.ordered)
    router.tokens.update({name: (tokens, base - age) for name, (tokens, age) in memory.tokens.items()})
    router.runs = timed(memory.runs)
    for told in memory.scorers:
        worker = router.workers.get(told.worker)
        if worker is None:
            continue
        worker.started_ms = max(worker.started_ms, base - told.started)
        worker.strain, worker.strain_ms = told.strain, base - told.strain_seen
        worker.sent.extend(base - age for age in told.sent)
        for kind, (losses, rests, rest_ms) in told.lapses.items():
            lapse = worker.lapses[kind] = state.Lapse()
            lapse.losses, lapse.rests_ms, lapse.rest_ms = losses, base - rests, rest_ms
        if told.suspect is not None:
            worker.suspect_ms = worker.sign_ms = base - told.suspect
            router.watched[worker.id] = worker
            router.suspects += worker.entry.state == State.READY
    for known in memory.functions:
        if (known.called or known.places) and known.name not in router.functions:
            router.functions[known.name] = _function(router, known, base, timed)


def _function(router: Router, known: LearnedFunction, base: float, timed: Any) -> state.Function:
    fn = state.Function(known.name, known.kind, known.lanes, known.load_told_ms, state.mark(known.name))
    fn.runs, fn.loads, fn.waits = timed(known.runs), timed(known.loads), timed(known.waits)
    fn.last_ms.extend(base - age for age in known.called)
    fn.needed_ms = max(fn.last_ms, default=base)
    fn.idle_ms, fn.load_path, fn.arrived = known.idle_ms, known.load_path, known.arrived
    fn.width, fn.crowd = known.width, known.crowd
    for place in known.places:
        if (worker := router.workers.get(place.worker)) is not None:
            seen, counted, blocked = (base - age for age in (place.seen, place.counted, place.blocked))
            fn.instances[place.worker] = state.Instance(place.copies, seen, counted, blocked_ms=blocked)
            worker.last = fn
    return fn
