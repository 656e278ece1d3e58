"""Load requests for the functions that calls at this front end need, sent to their load coordinators."""

from collections.abc import Callable
from dataclasses import dataclass

from fawnwharf.recovery_service.permit_messages import MAX_FUNCTIONS_PER_MESSAGE, LoadRequest

RESEND_MS = 1_000.0  # a request without a result is sent again after this time
FORGET_MS = 10_000.0  # a request is dropped when no local call has needed the function for this time
MAX_LOAD_REQUESTS = 4_096


@dataclass(slots=True)
class _LocalLoadRequest:
    class_name: str
    lanes: int
    load_ms: float | None
    weight_ps: float
    needed_ms: float  # when a call last needed the function
    sent_ms: float = float("-inf")
    coordinator: str = ""  # the member to which it was sent
    due_ms: float | None = None  # when the coordinator expects a copy


class LocalLoadRequests:
    """The load requests by function, and the scorers where a reported copy was not found."""

    def __init__(self) -> None:
        self._requests: dict[str, _LocalLoadRequest] = {}
        self._lost: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, now_ms: float, request: LoadRequest) -> bool:
        """Record that calls need a function; return False if there are too many requests."""
        known = self._requests.get(request.function)
        if known is None:
            if len(self._requests) >= MAX_LOAD_REQUESTS:
                return False
            known = _LocalLoadRequest(
                request.class_name, request.lanes, request.load_ms, request.weight_ps, now_ms
            )
            self._requests[request.function] = known
        known.weight_ps = max(known.weight_ps, request.weight_ps)
        known.needed_ms = now_ms
        return True

    def clear(self) -> None:
        """Forget all requests."""
        self._requests.clear()

    def copy_found(self, function: str) -> None:
        """Forget the request, because a copy exists."""
        self._requests.pop(function, None)
        self._lost.pop(function, None)

    def copy_lost(self, function: str, scorer: int) -> None:
        """Record where a reported copy was missing; the next request states it."""
        if len(self._lost) < MAX_LOAD_REQUESTS:
            self._lost[function] = scorer

    def expect(self, function: str, due_ms: float) -> None:
        """Record when the coordinator expects a copy."""
        request = self._requests.get(function)
        if request is not None:
            request.due_ms = due_ms

    def due_ms(self, function: str) -> float | None:
        """When the coordinator expects a copy; None if it has not reported that."""
        request = self._requests.get(function)
        return None if request is None else request.due_ms

    def coordinators(self) -> set[str]:
        """The coordinators to which requests were sent."""
        return {request.coordinator for request in self._requests.values()} - {""}

    def take_due(
        self, now_ms: float, coordinator_of: Callable[[str], str]
    ) -> list[tuple[str, list[LoadRequest]]]:
        """Return the requests to send now by coordinator, largest weight first; drop expired requests."""
        due: dict[str, list[str]] = {}
        for function, request in list(self._requests.items()):
            if now_ms - request.needed_ms > FORGET_MS:
                del self._requests[function]
                continue
            coordinator = coordinator_of(function)
            is_sent = request.coordinator == coordinator and now_ms - request.sent_ms < RESEND_MS
            if coordinator and not is_sent:
                due.setdefault(coordinator, []).append(function)
        return [
            (coordinator, self._take(now_ms, coordinator, functions))
            for coordinator, functions in sorted(due.items())
        ]

    def _take(self, now_ms: float, coordinator: str, functions: list[str]) -> list[LoadRequest]:
        functions.sort(key=lambda function: (-self._requests[function].weight_ps, function))
        return [
            self._sent(now_ms, coordinator, function) for function in functions[:MAX_FUNCTIONS_PER_MESSAGE]
        ]

    def _sent(self, now_ms: float, coordinator: str, function: str) -> LoadRequest:
        request = self._requests[function]
        if request.coordinator != coordinator:
            request.due_ms = None
        request.coordinator = coordinator
        request.sent_ms = now_ms
        return LoadRequest(
            function,
            request.class_name,
            request.weight_ps,
            request.lanes,
            request.load_ms,
            self._lost.get(function),
        )
