"""The learned state of a process, for its successor: taken from the decision module, encoded, and restored.

All times are ages at the moment of writing, so that different clocks do no harm. The bytes carry a version
and a checksum; what is truncated, of another version or too old is ignored, and its reader starts without it.
An attribute whose name differs from the recorded one keeps that name in the bytes by `name=`.
"""

import struct
import zlib
from collections.abc import Iterable
from typing import Annotated

import msgspec
from msgspec import Meta, field

from fawnwharf.interface import ScorerState
from fawnwharf.policy import Router, state

MAGIC = b"fwmem\x01"  # the last byte is the version
HEADER = struct.Struct(">6sII")  # magic, length and checksum of the body
MAX_AGE_MS = 20_000.0  # older state has no value, but for the scorers in maintenance
MAX_FUNCTIONS = 500  # those called or wanted last
MAX_BYTES = 4 * 1024 * 1024

Age = Annotated[float, Meta(ge=-1e12)]  # milliseconds
AgedSamples = list[tuple[Age, float]]


class LearnedCopies(msgspec.Struct, array_like=True):
    """The copies of a function at one scorer."""

    scorer: int
    copies: int
    seen_age: Age
    counted_age: Age
    blocked_age: Age


class LearnedFunction(msgspec.Struct, array_like=True):
    """A function: its durations, its last calls, and where it is loaded."""

    name: str
    kind: str
    lanes: int
    reported_load_ms: float | None
    run_samples: AgedSamples
    load_samples: AgedSamples
    wait_samples: AgedSamples
    call_ages: list[Age]
    idle_ms: float
    load_path: bool
    arrivals: float
    spread: int
    reported_concurrency: float
    copies: list[LearnedCopies]


class LearnedScorer(msgspec.Struct, array_like=True):
    """A scorer: its start, its slowdown, and its faults by request class."""

    scorer: int
    started_age: Age
    slowdown: float
    slowdown_age: Age
    suspect_age: Age | None
    send_ages: list[Age]
    lapses: dict[str, tuple[float, Age, float]]  # losses, age of the ejection's end, its length


class LearnedState(msgspec.Struct):
    """Everything; `written_ms` is on the monotonic clock, which all processes of one machine share."""

    written_ms: float = field(name="at_ms")
    in_maintenance: list[str] = field(name="out")  # ids of scorers
    started_age: Age = field(default=0.0, name="began")
    run_ms: float = 0.0
    load_limit: float = field(default=0.0, name="loads_limit")
    fleet_size: float = field(default=0.0, name="fleet")
    hedge_tokens: float = field(default=0.0, name="hedges")
    request_ages: list[Age] = field(default_factory=list, name="taken")
    load_order_ages: list[Age] = field(default_factory=list, name="ordered")
    quota_tokens: dict[str, tuple[float, Age]] = field(default_factory=dict, name="tokens")
    run_samples: AgedSamples = field(default_factory=list, name="runs")
    scorers: list[LearnedScorer] = field(default_factory=list)
    functions: list[LearnedFunction] = field(default_factory=list)


def encode(learned: LearnedState) -> bytes:
    """The bytes of a state, with their header."""
    body = msgspec.msgpack.encode(learned)
    return HEADER.pack(MAGIC, len(body), zlib.crc32(body)) + body


def decode(data: bytes) -> LearnedState | None:
    """The state; None where the bytes are truncated, damaged or of another version."""
    if not HEADER.size <= len(data) <= MAX_BYTES:
        return None
    magic, length, checksum = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if (magic, length, checksum) != (MAGIC, len(body), zlib.crc32(body)):
        return None
    try:
        return msgspec.msgpack.decode(body, type=LearnedState)
    except msgspec.DecodeError:
        return None


def is_fresh(learned: LearnedState, now_ms: float) -> bool:
    """Whether a state is of this boot and recent enough; `now_ms` is on the monotonic clock."""
    return 0.0 <= now_ms - learned.written_ms <= MAX_AGE_MS


# --- from the decision module -------------------------------------------------------------------------


def capture(router: Router, in_maintenance: set[str], now_ms: float, written_ms: float) -> LearnedState:
    """The state of the decision module: `now_ms` is on its clock, `written_ms` on the monotonic one."""
    return LearnedState(
        written_ms,
        sorted(in_maintenance),
        started_age=now_ms - min(now_ms, router.began_ms),
        run_ms=router.run_ms,
        load_limit=router.loads_limit,
        fleet_size=router.largest_fleet,
        hedge_tokens=router.hedge_tokens,
        request_ages=_ages(router.arrivals_ms, now_ms),
        load_order_ages=_ages(router.load_orders_ms, now_ms),
        quota_tokens={
            tenant: (tokens, now_ms - at_ms) for tenant, (tokens, at_ms) in router.quota_tokens.items()
        },
        run_samples=_aged(router.runs, now_ms),
        scorers=_captured_scorers(router, now_ms),
        functions=_captured_functions(router, now_ms),
    )


def _ages(times: Iterable[float], now_ms: float) -> list[Age]:
    return [now_ms - at_ms for at_ms in times]


def _aged(samples: state.Samples, now_ms: float) -> AgedSamples:
    return [(now_ms - at_ms, value) for at_ms, value in samples.timed]


def _captured_scorers(router: Router, now_ms: float) -> list[LearnedScorer]:
    present = [scorer for scorer in router.scorers.values() if scorer.entry.state is not ScorerState.GONE]
    return [_captured_scorer(scorer, now_ms) for scorer in present]


def _captured_scorer(scorer: state.Scorer, now_ms: float) -> LearnedScorer:
    return LearnedScorer(
        scorer=scorer.id,
        started_age=now_ms - scorer.started_ms,
        slowdown=scorer.slowdown,
        slowdown_age=now_ms - scorer.slowdown_ms,
        suspect_age=None if scorer.suspect_ms is None else now_ms - scorer.suspect_ms,
        send_ages=_ages(scorer.slow_start_sends, now_ms),
        lapses={
            kind: (lapse.losses, now_ms - lapse.ejected_until_ms, lapse.ejection_ms)
            for kind, lapse in scorer.loss_records.items()
        },
    )


def _captured_functions(router: Router, now_ms: float) -> list[LearnedFunction]:
    latest = sorted(router.functions.values(), key=lambda function: -function.needed_ms)[:MAX_FUNCTIONS]
    return [_captured_function(function, now_ms) for function in latest]


def _captured_function(function: state.Function, now_ms: float) -> LearnedFunction:
    return LearnedFunction(
        name=function.name,
        kind=function.kind,
        lanes=function.lanes,
        reported_load_ms=function.load_told_ms,
        run_samples=_aged(function.runs, now_ms),
        load_samples=_aged(function.loads, now_ms),
        wait_samples=_aged(function.waits, now_ms),
        call_ages=_ages(function.last_ms, now_ms),
        idle_ms=function.idle_ms,
        load_path=function.load_path,
        arrivals=function.arrived,
        spread=function.spread,
        reported_concurrency=function.reported_concurrency,
        copies=_captured_copies(function, now_ms),
    )


def _captured_copies(function: state.Function, now_ms: float) -> list[LearnedCopies]:
    return [
        LearnedCopies(
            scorer=scorer_id,
            copies=instance.copies,
            seen_age=now_ms - instance.seen_ms,
            counted_age=now_ms - instance.counted_ms,
            blocked_age=now_ms - instance.blocked_ms,
        )
        for scorer_id, instance in function.copies_by_scorer.items()
        if instance.copies
    ]


# --- into the decision module -------------------------------------------------------------------------


def restore(router: Router, learned: LearnedState, now_ms: float, monotonic_ms: float) -> None:
    """Restores what concerns the scorers of the module's roster; the module has seen no request yet.

    `now_ms` is on its clock, and `monotonic_ms` the same moment on the monotonic one.
    """
    written_ms = now_ms - (monotonic_ms - learned.written_ms)  # on the module's clock
    router.began_ms = written_ms - learned.started_age
    router.run_ms = learned.run_ms
    router.loads_limit = learned.load_limit
    router.hedge_tokens = learned.hedge_tokens
    router.largest_fleet = max(router.largest_fleet, learned.fleet_size)
    router.arrivals_ms.extend(_times(learned.request_ages, written_ms))
    router.load_orders_ms.extend(_times(learned.load_order_ages, written_ms))
    for tenant, (tokens, age) in learned.quota_tokens.items():
        router.quota_tokens[tenant] = (tokens, written_ms - age)
    router.runs = _samples(learned.run_samples, written_ms)
    for scorer in learned.scorers:
        _restore_scorer(router, scorer, written_ms)
    for function in learned.functions:
        if (function.call_ages or function.copies) and function.name not in router.functions:
            router.functions[function.name] = _restored_function(router, function, written_ms)


def _times(ages: Iterable[Age], written_ms: float) -> list[float]:
    return [written_ms - age for age in ages]


def _samples(aged: AgedSamples, written_ms: float) -> state.Samples:
    samples = state.Samples()
    samples.timed.extend((written_ms - age, value) for age, value in aged)
    return samples


def _restore_scorer(router: Router, learned: LearnedScorer, written_ms: float) -> None:
    scorer = router.scorers.get(learned.scorer)
    if scorer is None:
        return
    scorer.started_ms = max(scorer.started_ms, written_ms - learned.started_age)
    scorer.slowdown = learned.slowdown
    scorer.slowdown_ms = written_ms - learned.slowdown_age
    scorer.slow_start_sends.extend(_times(learned.send_ages, written_ms))
    for kind, (losses, ends_age, length_ms) in learned.lapses.items():
        lapse = state.LossRecord()
        lapse.losses = losses
        lapse.ejected_until_ms = written_ms - ends_age
        lapse.ejection_ms = length_ms
        scorer.loss_records[kind] = lapse
    if learned.suspect_age is not None:
        scorer.suspect_ms = scorer.probed_ms = written_ms - learned.suspect_age
        router.watched[scorer.id] = scorer
        router.suspects += scorer.entry.state == ScorerState.READY


def _restored_function(router: Router, learned: LearnedFunction, written_ms: float) -> state.Function:
    function = state.Function(
        learned.name, learned.kind, learned.lanes, learned.reported_load_ms, state.mark(learned.name)
    )
    function.runs = _samples(learned.run_samples, written_ms)
    function.loads = _samples(learned.load_samples, written_ms)
    function.waits = _samples(learned.wait_samples, written_ms)
    function.last_ms.extend(_times(learned.call_ages, written_ms))
    function.needed_ms = max(function.last_ms, default=written_ms)
    function.idle_ms = learned.idle_ms
    function.load_path = learned.load_path
    function.arrived = learned.arrivals
    function.spread = learned.spread
    function.reported_concurrency = learned.reported_concurrency
    for copies in learned.copies:
        _restore_copies(router, function, copies, written_ms)
    return function


def _restore_copies(
    router: Router, function: state.Function, learned: LearnedCopies, written_ms: float
) -> None:
    scorer = router.scorers.get(learned.scorer)
    if scorer is None:
        return
    function.copies_by_scorer[learned.scorer] = state.ScorerCopies(
        learned.copies,
        written_ms - learned.seen_age,
        written_ms - learned.counted_age,
        blocked_ms=written_ms - learned.blocked_age,
    )
    scorer.last_function = function
