"""The learned state that a process passes to its successor: captures, encodes and restores it.

All times are ages at the moment of writing, in milliseconds, so that the two processes may use different
clocks. `clock_ms` is the time of the event loop's clock, which the decision module uses. `monotonic_ms` is
the time of the system's monotonic clock, which all processes of a machine share.

Scorers are identified by their number, as in the decision module (`scorer_number` of the id); scorers in
maintenance by their id. The encoded state has a version and a checksum. State that is truncated, too old or
of another version is ignored. `name=` is the encoded name of a field where it differs from the attribute.
"""

import struct
import zlib
from collections.abc import Iterable
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta, field

from fawnwharf.interface import ScorerState
from fawnwharf.policy import Router, state

MAGIC = b"fwmem\x01"  # the last byte is the version
HEADER = struct.Struct(">6sII")  # magic, length of the body in bytes, CRC-32 of the body
MAX_AGE_MS = 20_000.0  # older state is outdated, except for the scorers in maintenance
MAX_FUNCTIONS = 500  # the most recently needed ones are kept
MAX_BYTES = 4 * 1024 * 1024

# Milliseconds before the moment of writing; negative for a time after it, such as the end of an ejection.
AgeMs = Annotated[float, Meta(ge=-1e12)]
AgedSamples = list[tuple[AgeMs, float]]  # age and duration, both in milliseconds


class LearnedQuota(msgspec.Struct, array_like=True, forbid_unknown_fields=True, frozen=True):
    """The token bucket of one tenant: its tokens at the last refill, and the age of that refill."""

    tokens: float
    refill_age_ms: AgeMs


class LearnedLosses(msgspec.Struct, array_like=True, forbid_unknown_fields=True, frozen=True):
    """The lost and failed requests of one class at a scorer, and the outlier ejection that they caused.

    `losses` counts the requests. `ejection_end_age_ms` is negative while the ejection lasts. `ejection_ms` is
    the duration of the next ejection.
    """

    losses: float
    ejection_end_age_ms: AgeMs
    ejection_ms: float


class LearnedCopies(msgspec.Struct, array_like=True):
    """The copies (loaded instances) of a function at one scorer, as last known to the front end.

    - `seen_age_ms`: since the last evidence that a copy is loaded.
    - `counted_age_ms`: since an answer last gave the number of copies.
    - `blocked_until_age_ms`: the scorer gets no request for the function while this is negative.
    """

    scorer_number: int
    count: int
    seen_age_ms: AgeMs
    counted_age_ms: AgeMs
    blocked_until_age_ms: AgeMs


class LearnedFunction(msgspec.Struct, array_like=True):
    """A function, which is what a request calls: its durations, its last calls, and where it is loaded.

    - `kind`: the request class of its calls. `lanes`: number of calls that one copy runs at once.
    - `reported_load_time_ms`: the load time that requests state; None if none did.
    - `run_time_samples`, `load_time_samples`, `queue_wait_samples`: measured run times, load times, and waits
      in the front end's queue.
    - `call_ages_ms`: its last arrivals. `decaying_arrivals`: a count of arrivals in which older ones weigh
      less.
    - `speculative_idle_ms`: how long the last speculatively loaded copy was idle before a call used it.
    - `speculates`: whether it is loaded speculatively.
    - `wanted_scorers`: number of scorers that the calls from all front ends need.
    - `reported_concurrency`: calls in flight from all front ends, as reported by answers.
    """

    name: str
    kind: str
    lanes: int
    reported_load_time_ms: float | None
    run_time_samples: AgedSamples
    load_time_samples: AgedSamples
    queue_wait_samples: AgedSamples
    call_ages_ms: list[AgeMs]
    speculative_idle_ms: float
    speculates: bool
    decaying_arrivals: float
    wanted_scorers: int
    reported_concurrency: float
    copies_at_scorers: list[LearnedCopies]


class LearnedScorer(msgspec.Struct, array_like=True):
    """A scorer: its start, its slowdown, and its lost requests by request class.

    - `slowdown_factor`: its run times relative to those at other scorers, seen `slowdown_age_ms` ago.
    - `suspect_age_ms`: since the scorer is suspected to have failed; None if it is not.
    - `slow_start_send_ages_ms`: of the requests that count towards the limit of its slow start.
    """

    scorer_number: int
    started_age_ms: AgeMs
    slowdown_factor: float
    slowdown_age_ms: AgeMs
    suspect_age_ms: AgeMs | None
    slow_start_send_ages_ms: list[AgeMs]
    losses_by_class: dict[str, LearnedLosses]


class LearnedState(msgspec.Struct):
    """The state that a process passes to its successor.

    - `written_monotonic_ms`: the moment of writing, on the system's monotonic clock.
    - `scorers_in_maintenance`: ids of scorers.
    - `started_age_ms`: since the decision module of the first process in a chain of hot restarts started.
    - `run_ms`: moving average of run times. `run_time_samples`: the last run times. Both are over all
      functions.
    - `concurrent_load_limit`: maximum number of copies that may be loading at once.
    - `largest_scorer_fleet`: the largest observed sum of the sizes of ready scorers.
    - `hedge_tokens`: number of hedged requests that may be sent now.
    - `request_ages_ms`, `load_command_ages_ms`: the last requests, and the last commands to load a function.
    - `quota_by_tenant`: the token bucket of each tenant.
    """

    written_monotonic_ms: float = field(name="at_ms")
    scorers_in_maintenance: list[str] = field(name="out")
    started_age_ms: AgeMs = field(default=0.0, name="began")
    run_ms: float = 0.0
    concurrent_load_limit: float = field(default=0.0, name="loads_limit")
    largest_scorer_fleet: float = field(default=0.0, name="fleet")
    hedge_tokens: float = field(default=0.0, name="hedges")
    request_ages_ms: list[AgeMs] = field(default_factory=list, name="taken")
    load_command_ages_ms: list[AgeMs] = field(default_factory=list, name="ordered")
    quota_by_tenant: dict[str, LearnedQuota] = field(default_factory=dict, name="tokens")
    run_time_samples: AgedSamples = field(default_factory=list, name="runs")
    scorers: list[LearnedScorer] = field(default_factory=list)
    functions: list[LearnedFunction] = field(default_factory=list)


DecodedState = TypeVar("DecodedState", bound=LearnedState)


class HandedOverState(LearnedState):
    """The state with what older versions ignore.

    - `hands_off_open_calls`: the writer hands off connections with open calls if its successor accepts them.
    - `restart_ages_ms`: by id of a scorer, since an operator ended its maintenance, in which it restarted.
    """

    hands_off_open_calls: bool = False
    restart_ages_ms: dict[str, AgeMs] = field(default_factory=dict)


class StateWithRequestIds(HandedOverState):
    """The state with the encoded `RequestContents` and `RunIds`, which older versions ignore as well."""

    request_contents: bytes = b""
    at_most_once_ids: bytes = b""


def encode(learned: LearnedState) -> bytes:
    """Encodes a state, with a header."""
    body = msgspec.msgpack.encode(learned)
    return HEADER.pack(MAGIC, len(body), zlib.crc32(body)) + body


def decode(data: bytes) -> LearnedState | None:
    """Decodes a state; None if the bytes are truncated, damaged or of another version."""
    return _decode(data, LearnedState)


def decode_handed_over(data: bytes) -> StateWithRequestIds | None:
    """Decodes a state with what older versions ignore, at its defaults if such a version wrote it."""
    return _decode(data, StateWithRequestIds)


def _decode(data: bytes, kind: type[DecodedState]) -> DecodedState | None:
    if not HEADER.size <= len(data) <= MAX_BYTES:
        return None
    magic, length, checksum = HEADER.unpack_from(data)
    body = data[HEADER.size :]
    if (magic, length, checksum) != (MAGIC, len(body), zlib.crc32(body)):
        return None
    try:
        return msgspec.msgpack.decode(body, type=kind)
    except msgspec.DecodeError:
        return None


def is_fresh(learned: LearnedState, monotonic_ms: float) -> bool:
    """Whether a state was written in this boot and in the last MAX_AGE_MS."""
    return 0.0 <= monotonic_ms - learned.written_monotonic_ms <= MAX_AGE_MS


# --- capturing the state of the decision module -------------------------------------------------------


def capture(
    router: Router, scorers_in_maintenance: set[str], clock_ms: float, monotonic_ms: float
) -> HandedOverState:
    """Captures the decision module's state; both times are now, on its clock and on the monotonic clock."""
    return HandedOverState(
        monotonic_ms,
        sorted(scorers_in_maintenance),
        started_age_ms=clock_ms - min(clock_ms, router.first_event_ms),
        run_ms=router.run_ms,
        concurrent_load_limit=router.load_limit,
        largest_scorer_fleet=router.largest_ready_size,
        hedge_tokens=router.hedge_tokens,
        request_ages_ms=_ages(router.arrivals_ms, clock_ms),
        load_command_ages_ms=_ages(router.load_orders_ms, clock_ms),
        quota_by_tenant={
            tenant: LearnedQuota(tokens, clock_ms - refilled_ms)
            for tenant, (tokens, refilled_ms) in router.quota_tokens.items()
        },
        run_time_samples=_aged(router.run_times, clock_ms),
        scorers=_captured_scorers(router, clock_ms),
        functions=_captured_functions(router, clock_ms),
    )


def _ages(times: Iterable[float], clock_ms: float) -> list[AgeMs]:
    return [clock_ms - at_ms for at_ms in times]


def _aged(samples: state.Samples, clock_ms: float) -> AgedSamples:
    return [(clock_ms - at_ms, value) for at_ms, value in samples.timed_values]


def _captured_scorers(router: Router, clock_ms: float) -> list[LearnedScorer]:
    present = [scorer for scorer in router.scorers.values() if scorer.entry.state is not ScorerState.GONE]
    return [_captured_scorer(scorer, clock_ms) for scorer in present]


def _captured_scorer(scorer: state.Scorer, clock_ms: float) -> LearnedScorer:
    return LearnedScorer(
        scorer_number=scorer.id,
        started_age_ms=clock_ms - scorer.started_ms,
        slowdown_factor=scorer.slowdown,
        slowdown_age_ms=clock_ms - scorer.slowdown_ms,
        suspect_age_ms=None if scorer.suspect_since_ms is None else clock_ms - scorer.suspect_since_ms,
        slow_start_send_ages_ms=_ages(scorer.slow_start_sends, clock_ms),
        losses_by_class={
            kind: LearnedLosses(record.losses, clock_ms - record.ejected_until_ms, record.ejection_ms)
            for kind, record in scorer.loss_records.items()
        },
    )


def _captured_functions(router: Router, clock_ms: float) -> list[LearnedFunction]:
    latest = sorted(router.functions.values(), key=lambda function: -function.last_needed_ms)[:MAX_FUNCTIONS]
    return [_captured_function(function, clock_ms) for function in latest]


def _captured_function(function: state.Function, clock_ms: float) -> LearnedFunction:
    return LearnedFunction(
        name=function.name,
        kind=function.class_name,
        lanes=function.lanes,
        reported_load_time_ms=function.reported_load_time_ms,
        run_time_samples=_aged(function.run_times, clock_ms),
        load_time_samples=_aged(function.load_times, clock_ms),
        queue_wait_samples=_aged(function.queue_waits, clock_ms),
        call_ages_ms=_ages(function.last_arrivals_ms, clock_ms),
        speculative_idle_ms=function.speculative_idle_ms,
        speculates=function.speculates,
        decaying_arrivals=function.decaying_arrivals,
        wanted_scorers=function.spread,
        reported_concurrency=function.reported_concurrency,
        copies_at_scorers=_captured_copies(function, clock_ms),
    )


def _captured_copies(function: state.Function, clock_ms: float) -> list[LearnedCopies]:
    return [
        LearnedCopies(
            scorer_number=scorer_number,
            count=instance.copies,
            seen_age_ms=clock_ms - instance.seen_ms,
            counted_age_ms=clock_ms - instance.counted_ms,
            blocked_until_age_ms=clock_ms - instance.blocked_until_ms,
        )
        for scorer_number, instance in function.copies_by_scorer.items()
        if instance.copies
    ]


# --- restoring the state of the decision module -------------------------------------------------------


def restore(router: Router, learned: LearnedState, clock_ms: float, monotonic_ms: float) -> None:
    """Restores a decision module's state, without scorers that its roster lacks.

    The module must not have seen a request yet. Both times are now, on its clock and on the monotonic clock.
    """
    written_ms = clock_ms - (monotonic_ms - learned.written_monotonic_ms)  # on the module's clock
    router.first_event_ms = written_ms - learned.started_age_ms
    router.run_ms = learned.run_ms
    router.load_limit = learned.concurrent_load_limit
    router.hedge_tokens = learned.hedge_tokens
    router.largest_ready_size = max(router.largest_ready_size, learned.largest_scorer_fleet)
    router.arrivals_ms.extend(_times(learned.request_ages_ms, written_ms))
    router.load_orders_ms.extend(_times(learned.load_command_ages_ms, written_ms))
    for tenant, quota in learned.quota_by_tenant.items():
        router.quota_tokens[tenant] = (quota.tokens, written_ms - quota.refill_age_ms)
    router.run_times = _samples(learned.run_time_samples, written_ms)
    for scorer in learned.scorers:
        _restore_scorer(router, scorer, written_ms)
    for function in learned.functions:
        if (function.call_ages_ms or function.copies_at_scorers) and function.name not in router.functions:
            router.functions[function.name] = _restored_function(router, function, written_ms)


def _times(ages: Iterable[AgeMs], written_ms: float) -> list[float]:
    return [written_ms - age for age in ages]


def _samples(aged: AgedSamples, written_ms: float) -> state.Samples:
    samples = state.Samples()
    samples.timed_values.extend((written_ms - age, value) for age, value in aged)
    return samples


def _restore_scorer(router: Router, learned: LearnedScorer, written_ms: float) -> None:
    scorer = router.scorers.get(learned.scorer_number)
    if scorer is None:
        return
    scorer.started_ms = max(scorer.started_ms, written_ms - learned.started_age_ms)
    scorer.slowdown = learned.slowdown_factor
    scorer.slowdown_ms = written_ms - learned.slowdown_age_ms
    scorer.slow_start_sends.extend(_times(learned.slow_start_send_ages_ms, written_ms))
    for kind, losses in learned.losses_by_class.items():
        record = state.LossRecord()
        record.losses = losses.losses
        record.ejected_until_ms = written_ms - losses.ejection_end_age_ms
        record.ejection_ms = losses.ejection_ms
        scorer.loss_records[kind] = record
    if learned.suspect_age_ms is not None:
        scorer.suspect_since_ms = scorer.probe_sent_ms = written_ms - learned.suspect_age_ms
        router.watched[scorer.id] = scorer
        router.suspect_count += scorer.entry.state == ScorerState.READY


def _restored_function(router: Router, learned: LearnedFunction, written_ms: float) -> state.Function:
    function = state.Function(
        learned.name,
        learned.kind,
        learned.lanes,
        learned.reported_load_time_ms,
        state.name_hash(learned.name),
    )
    function.run_times = _samples(learned.run_time_samples, written_ms)
    function.load_times = _samples(learned.load_time_samples, written_ms)
    function.queue_waits = _samples(learned.queue_wait_samples, written_ms)
    function.last_arrivals_ms.extend(_times(learned.call_ages_ms, written_ms))
    function.last_needed_ms = max(function.last_arrivals_ms, default=written_ms)
    function.speculative_idle_ms = learned.speculative_idle_ms
    function.speculates = learned.speculates
    function.decaying_arrivals = learned.decaying_arrivals
    function.spread = learned.wanted_scorers
    function.reported_concurrency = learned.reported_concurrency
    for copies in learned.copies_at_scorers:
        _restore_copies(router, function, copies, written_ms)
    return function


def _restore_copies(
    router: Router, function: state.Function, learned: LearnedCopies, written_ms: float
) -> None:
    scorer = router.scorers.get(learned.scorer_number)
    if scorer is None:
        return
    function.copies_by_scorer[learned.scorer_number] = state.ScorerCopies(
        learned.count,
        written_ms - learned.seen_age_ms,
        written_ms - learned.counted_age_ms,
        blocked_until_ms=written_ms - learned.blocked_until_age_ms,
    )
    scorer.last_function = function
