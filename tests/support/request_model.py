"""The rules on requests, attempts and orders as checks of what clients and scorers saw. No I/O."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from fawnwharf.net import scorer_frames
from support.scripted_peers import LoadOrder, Run

GONE_MS = 100.0  # nothing is sent for a client that left longer ago than this
DRAIN_MS = 250.0  # nothing new goes to a scorer whose drain was told longer ago than this
PASSED_ON_SLACK_MS = 150.0  # by which the deadline passed on may exceed what the client has left
LATE_SLACK_MS = 50.0  # every time limit is longer by this on sockets
# An answer so much later only earns nothing. It is allowed where a crowd holds all connections, as a request
# may then wait to be accepted until its time is over.
CROWDED_SLACK_MS = 500.0
RATION_FACTOR, RATION_MORE = 1.15, 1.0
NEVER_RAN = (scorer_frames.MISS, scorer_frames.FULL, scorer_frames.EXPIRED)


@dataclass(eq=False)
class Request:
    """One request as its client knows it."""

    id: bytes
    seqid: int
    class_name: str
    effect: str
    function: str
    ttl_ms: float
    group: str = "all"
    dedup_window_ms: float = 0.0
    whole_ms: float | None = None  # its last byte was written
    gone_ms: float | None = None  # the client withdrew it, closed or reset
    gone_seen: bool = False  # the front end has had turns to the quiet since
    half_closed: bool = False
    excused: bool = False  # taken only after the time in which clients still come to one that leaves
    answers: list[tuple[str, bytes, float]] = field(default_factory=list)

    @property
    def owed(self) -> bool:
        """Whether exactly one final answer is owed."""
        return self.whole_ms is not None and self.gone_ms is None and not self.excused


@dataclass
class Limits:
    """The settings that the rules go by."""

    max_attempts: int
    second_copies: bool
    load_window_ms: float
    free_loads: float
    load_part: float


class RequestModel:
    """Keeps the requests, and says what of the observations breaks a rule."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.requests: dict[bytes, Request] = {}
        self.drain_told_ms: dict[str, float] = {}  # by scorer, while it may get nothing new
        self.halts_ms = 0.0  # for so long in all the process was held up
        self.crowded = False  # silent clients may hold all connections
        self.made: set[bytes] = set()  # bodies that scorers answered with
        self._attempts: dict[bytes, list[Run]] = {}
        self.broken: list[str] = []

    # --- what the driver reports ------------------------------------------------------------------

    def answered(self, request: Request, kind: str, body: bytes, now_ms: float) -> None:
        """A client has read an answer of this kind to its request."""
        if request.answers:
            self._break(request, f"a second answer, {kind} after {request.answers[0][0]}")
        if request.whole_ms is None:
            self._break(request, "an answer before it was whole")
        elif request.gone_seen:
            self._break(request, f"an answer, {kind}, after it was withdrawn")
        if kind == "answer" and body not in self.made:
            self._break(request, "served with what no scorer made")
        if kind not in ("answer", "throttled", "broken"):
            self._break(request, f"an answer of kind {kind}")
        if kind == "throttled" and not self._harmless(request):
            self._break(request, "refused as harmless though an attempt may have run")
        request.answers.append((kind, body, now_ms))

    def began(self, run: Run, earlier: Iterable[Run]) -> None:
        """An attempt's first bytes have reached a scorer; `earlier`: those of the same request."""
        request, earlier = self.requests.get(run.id), list(earlier)
        if request is None or request.whole_ms is None:
            self.broken.append(f"attempt of no request: {run.id.hex()}")
            return
        self.attempts_of(request.id).append(run)
        self._check_order(request, run, earlier)
        self._check_gone(request, run)
        self._check_drain(run.scorer.name, run.began_ms, f"attempt of {request.id.hex()}")

    def whole(self, run: Run) -> None:
        """An attempt has reached a scorer whole."""
        request = self.requests.get(run.id)
        if request is None:
            return
        left = request.whole_ms + request.ttl_ms - run.began_ms  # what has begun can't be changed any more
        if float(run.fields["ms"]) > max(1.0, left + PASSED_ON_SLACK_MS):
            self._break(request, f"{run.fields['ms']} ms passed on with {left:.0f} left")
        if run.fields["kind"] != request.class_name or run.fields["obj"] != request.function:
            self._break(request, "another class or function passed on")

    def ordered(self, order: LoadOrder, orders: Iterable[LoadOrder]) -> None:
        """An order has reached a scorer; `orders`: all so far, this one included."""
        if order.copies == 0:
            return
        self._check_drain(order.scorer.name, order.at_ms, "order to load")
        if order.copies > order.standing:
            self._check_wanted(order)
        self._check_ration(order, orders)

    # --- the rules --------------------------------------------------------------------------------

    def attempts_of(self, id: bytes) -> list[Run]:
        """The attempts of a request in the order in which they reached scorers."""
        return self._attempts.setdefault(id, [])

    def _break(self, request: Request, what: str) -> None:
        self.broken.append(f"{request.class_name} {request.id.hex()[-4:]}: {what}")

    def _harmless(self, request: Request) -> bool:
        if request.effect == "idempotent" or (request.effect == "deduplicated" and request.group == "all"):
            return True
        return all(self._never_ran(run) for run in self.attempts_of(request.id))

    @staticmethod
    def _never_ran(run: Run) -> bool:
        return bool(run.answered) and run.answered[0] in NEVER_RAN

    def _check_order(self, request: Request, run: Run, earlier: list[Run]) -> None:
        if len(earlier) + 1 > self.limits.max_attempts:
            self._break(request, f"attempt {len(earlier) + 1} of {self.limits.max_attempts}")
        if not self.limits.second_copies and any(not other.over for other in earlier):
            self._break(request, "a second copy while one is out")
        first = next((other for other in earlier if not self._never_ran(other)), None)
        if first is None or request.effect == "idempotent":
            return
        if request.effect == "at_most_once":
            self._break(request, "written again though the first attempt may have run")
        elif run.began_ms - first.began_ms > request.dedup_window_ms:
            self._break(request, f"repeated {run.began_ms - first.began_ms:.0f} ms later, past its window")
        elif request.group != "all" and run.scorer.zone != first.scorer.zone:
            self._break(request, "repeated outside its group")

    def _check_gone(self, request: Request, run: Run) -> None:
        if request.gone_ms is not None and run.began_ms - request.gone_ms > GONE_MS:
            self._break(request, f"sent {run.began_ms - request.gone_ms:.0f} ms after its client left")

    def _check_drain(self, scorer: str, at_ms: float, what: str) -> None:
        told_ms = self.drain_told_ms.get(scorer)
        if told_ms is not None and at_ms - told_ms > DRAIN_MS:
            self.broken.append(f"{what} sent to {scorer} {at_ms - told_ms:.0f} ms after its drain was told")

    def _check_wanted(self, order: LoadOrder) -> None:
        asked = [request for request in self.requests.values() if request.function == order.function]
        gone = [request.gone_ms for request in asked if request.gone_ms is not None]
        if len(gone) == len(asked) and all(order.at_ms - at_ms > GONE_MS for at_ms in gone):
            self.broken.append(f"load of {order.function} ordered after all its clients had left")

    def _check_ration(self, order: LoadOrder, orders: Iterable[LoadOrder]) -> None:
        window, since_ms = self.limits.load_window_ms, order.at_ms - self.limits.load_window_ms
        if window <= 0:
            return
        given = sum(other.copies > 0 and other.at_ms > since_ms for other in orders)
        taken = sum(r.whole_ms is not None and r.whole_ms > since_ms for r in self.requests.values())
        most = RATION_FACTOR * (self.limits.free_loads + self.limits.load_part * taken) + RATION_MORE
        if given > most:
            self.broken.append(f"{given} orders to load in a window, {most:.1f} allowed")

    def last_deadline_ms(self) -> float:
        """When the latest deadline of all requests that were sent whole is over; 0 if there is none."""
        whole = [request for request in self.requests.values() if request.whole_ms is not None]
        return max((request.whole_ms + request.ttl_ms for request in whole), default=0.0)

    def check_end(self) -> None:
        """All is over: each request that was read whole has its one answer, in time."""
        for request in self.requests.values():
            if request.owed and not request.answers:
                self._break(request, "no answer")
            elif request.owed:
                late = request.answers[0][2] - request.whole_ms - request.ttl_ms
                slack_ms = CROWDED_SLACK_MS if self.crowded else LATE_SLACK_MS
                if late > slack_ms + self.halts_ms:
                    self._break(request, f"answered {late:.0f} ms late")
