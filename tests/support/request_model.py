"""The reference model: checks requests, attempts and load orders as clients and scorers saw them. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fawnwharf.net import scorer_frames
from support.scripted_peers import LoadOrder, Run

MAX_SEND_AFTER_ABANDON_MS = 100.0  # nothing is sent for a client that left longer ago than this
MAX_SEND_AFTER_DRAIN_MS = 250.0  # nothing new goes to a scorer whose drain was announced longer ago than this
FORWARDED_BUDGET_SLACK_MS = 150.0  # by which the forwarded budget may exceed the client's remaining time
LATE_SLACK_MS = 50.0  # allowed on each time limit, because of the sockets
# Allowed instead if silent clients use all connections: a request may then wait to be accepted until its
# deadline has passed. An answer that is late by no more than this is not scored, but breaks no rule.
CROWDED_SLACK_MS = 500.0
LOAD_RATE_FACTOR, LOAD_RATE_EXTRA = 1.15, 1.0  # tolerance of the load rate limit
NEVER_RAN = (scorer_frames.MISS, scorer_frames.FULL, scorer_frames.EXPIRED)


@dataclass(eq=False)
class Request:
    """A request as its client sees it."""

    id: bytes
    seqid: int
    class_name: str
    effect: str
    function: str
    ttl_ms: float
    group: str = "all"
    dedup_window_ms: float = 0.0
    complete_ms: float | None = None  # when its last byte was written
    abandoned_ms: float | None = None  # when the client withdrew it, or closed or reset the connection
    abandon_seen: bool = False  # the front end has had time to detect that
    half_closed: bool = False
    excused: bool = False  # it came too late during a shutdown, so it needs no answer
    answers: list[tuple[str, bytes, float]] = field(default_factory=list)

    @property
    def expects_answer(self) -> bool:
        """Whether exactly one final answer is required."""
        return self.complete_ms is not None and self.abandoned_ms is None and not self.excused


@dataclass
class Limits:
    """The settings on which the rules depend."""

    max_attempts: int
    second_copies: bool
    load_window_ms: float
    free_loads: float
    load_part: float


class RequestModel:
    """Records requests and observations, and collects the violations of the rules."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.requests: dict[bytes, Request] = {}
        self.drain_announced_ms: dict[str, float] = {}  # by scorer, while it must receive nothing new
        self.stalled_ms = 0.0  # total time for which the process was stalled
        self.crowded = False  # silent clients may use all connections
        self.answered_bodies: set[bytes] = set()  # bodies of the scorers' answers
        self._attempts: dict[bytes, list[Run]] = {}
        self.violations: list[str] = []

    # --- what the driver reports ------------------------------------------------------------------

    def answer_received(self, request: Request, kind: str, body: bytes, now_ms: float) -> None:
        """Check an answer that a client has read."""
        if request.answers:
            self._violation(request, f"a second answer, {kind} after {request.answers[0][0]}")
        if request.complete_ms is None:
            self._violation(request, "an answer before it was complete")
        elif request.abandon_seen:
            self._violation(request, f"an answer, {kind}, after it was withdrawn")
        if kind == "answer" and body not in self.answered_bodies:
            self._violation(request, "answered with a body that no scorer sent")
        if kind not in ("answer", "throttled", "broken"):
            self._violation(request, f"an answer of kind {kind}")
        if kind == "throttled" and not self._is_safe_to_retry(request):
            self._violation(request, "rejected as safe to retry though an attempt may have run")
        request.answers.append((kind, body, now_ms))

    def attempt_began(self, run: Run, earlier: Iterable[Run]) -> None:
        """Check an attempt whose first bytes reached a scorer; `earlier` are those of the same request."""
        request, earlier = self.requests.get(run.id), list(earlier)
        if request is None or request.complete_ms is None:
            self.violations.append(f"attempt without a request: {run.id.hex()}")
            return
        self.attempts_of(request.id).append(run)
        self._check_order(request, run, earlier)
        self._check_abandoned(request, run)
        self._check_drain(run.scorer.name, run.began_ms, f"attempt of {request.id.hex()}")

    def attempt_complete(self, run: Run) -> None:
        """Check an attempt that has reached a scorer completely."""
        request = self.requests.get(run.id)
        if request is None:
            return
        # The budget is fixed when the first byte is sent.
        remaining_ms = request.complete_ms + request.ttl_ms - run.began_ms
        if float(run.fields["ms"]) > max(1.0, remaining_ms + FORWARDED_BUDGET_SLACK_MS):
            self._violation(request, f"{run.fields['ms']} ms forwarded with {remaining_ms:.0f} ms remaining")
        if run.fields["kind"] != request.class_name or run.fields["obj"] != request.function:
            self._violation(request, "forwarded with another class or function")

    def order_received(self, order: LoadOrder, orders: Iterable[LoadOrder]) -> None:
        """Check a load order that has reached a scorer; `orders` are all so far, including this one."""
        if order.copies == 0:
            return
        self._check_drain(order.scorer.name, order.at_ms, "load order")
        if order.copies > order.loaded_copies:
            self._check_requested(order)
        self._check_load_rate(order, orders)

    # --- the rules --------------------------------------------------------------------------------

    def attempts_of(self, id: bytes) -> list[Run]:
        """Return the attempts of a request in the order in which they reached scorers."""
        return self._attempts.setdefault(id, [])

    def _violation(self, request: Request, what: str) -> None:
        self.violations.append(f"{request.class_name} {request.id.hex()[-4:]}: {what}")

    def _is_safe_to_retry(self, request: Request) -> bool:
        if request.effect == "idempotent" or (request.effect == "deduplicated" and request.group == "all"):
            return True
        return all(self._never_ran(run) for run in self.attempts_of(request.id))

    @staticmethod
    def _never_ran(run: Run) -> bool:
        return bool(run.answered) and run.answered[0] in NEVER_RAN

    def _check_order(self, request: Request, run: Run, earlier: list[Run]) -> None:
        if len(earlier) + 1 > self.limits.max_attempts:
            self._violation(request, f"attempt {len(earlier) + 1} of {self.limits.max_attempts}")
        if not self.limits.second_copies and any(not other.over for other in earlier):
            self._violation(request, "a hedged attempt though hedging is off")
        first = next((other for other in earlier if not self._never_ran(other)), None)
        if first is None or request.effect == "idempotent":
            return
        if request.effect == "at_most_once":
            self._violation(request, "sent again though the first attempt may have run")
        elif run.began_ms - first.began_ms > request.dedup_window_ms:
            self._violation(
                request, f"repeated {run.began_ms - first.began_ms:.0f} ms later, past its window"
            )
        elif request.group != "all" and run.scorer.zone != first.scorer.zone:
            self._violation(request, "repeated outside its group")

    def _check_abandoned(self, request: Request, run: Run) -> None:
        left_ms = request.abandoned_ms
        if left_ms is not None and run.began_ms - left_ms > MAX_SEND_AFTER_ABANDON_MS:
            self._violation(request, f"sent {run.began_ms - left_ms:.0f} ms after its client left")

    def _check_drain(self, scorer: str, at_ms: float, what: str) -> None:
        drain_ms = self.drain_announced_ms.get(scorer)
        if drain_ms is not None and at_ms - drain_ms > MAX_SEND_AFTER_DRAIN_MS:
            self.violations.append(f"{what} sent to {scorer} {at_ms - drain_ms:.0f} ms after its drain")

    def _check_requested(self, order: LoadOrder) -> None:
        requests = [request for request in self.requests.values() if request.function == order.function]
        left_ms = [request.abandoned_ms for request in requests if request.abandoned_ms is not None]
        if len(left_ms) == len(requests) and all(
            order.at_ms - at_ms > MAX_SEND_AFTER_ABANDON_MS for at_ms in left_ms
        ):
            self.violations.append(f"load of {order.function} ordered after all its clients had left")

    def _check_load_rate(self, order: LoadOrder, orders: Iterable[LoadOrder]) -> None:
        window, since_ms = self.limits.load_window_ms, order.at_ms - self.limits.load_window_ms
        if window <= 0:
            return
        ordered = sum(other.copies > 0 and other.at_ms > since_ms for other in orders)
        arrived = sum(r.complete_ms is not None and r.complete_ms > since_ms for r in self.requests.values())
        limit = (
            LOAD_RATE_FACTOR * (self.limits.free_loads + self.limits.load_part * arrived) + LOAD_RATE_EXTRA
        )
        if ordered > limit:
            self.violations.append(f"{ordered} load orders in a window, {limit:.1f} allowed")

    def last_deadline_ms(self) -> float:
        """Return the latest deadline of all completely sent requests; 0 if there are none."""
        sent = [request for request in self.requests.values() if request.complete_ms is not None]
        return max((request.complete_ms + request.ttl_ms for request in sent), default=0.0)

    def check_end(self) -> None:
        """Check at the end that each completely read request has its answer, in time."""
        for request in self.requests.values():
            if request.expects_answer and not request.answers:
                self._violation(request, "no answer")
            elif request.expects_answer:
                late_ms = request.answers[0][2] - request.complete_ms - request.ttl_ms
                slack_ms = CROWDED_SLACK_MS if self.crowded else LATE_SLACK_MS
                if late_ms > slack_ms + self.stalled_ms:
                    self._violation(request, f"answered {late_ms:.0f} ms late")
