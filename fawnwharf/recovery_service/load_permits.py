"""Load permits: which load coordinators may order first copies, and who coordinates which function.

This module does no I/O. There are as many permits as the model store supports concurrent fetches. They are
assigned to the load coordinators (`budget.choose_load_coordinators`), either by reachability or by the
register (`PermitAssignment`).

A member that gains a permit first waits until the previous holder has noticed the loss and until the
previous holder's loads have ended. A member that loses a permit stops using it at once. So no more fetches
are in flight than there are permits, as long as views differ for at most `lag_ms` and loads take at most
`typical_load_ms`: all fetches in flight now use permits of the view of `lag_ms` plus `typical_load_ms` ago.

With assignments by the register, the first assignment after a power loss is used at once, as nobody made
orders in an earlier phase of that power loss. A front end follows assignment d until its last message of d is
`alone_ms` old. No message of d is sent once d+1 is decided, and every member receives d+1 after that. So a
permit gained by d+1 is used `alone_ms` plus `typical_load_ms` after it was received, when no load of d is in
flight any more. A front end at half the budget (from `valid_ms` on) uses a subset of its permits of d, so the
limit holds there, too. A member keeps its permits only from d to d+1: if it missed an assignment, other
members may have held its permits in between.
"""

from collections import deque

from fawnwharf.recovery_core.budget import FleetLimits, choose_load_coordinators, load_coordinator_of
from fawnwharf.recovery_service.permit_view import AssignmentNumber, PermitView, permits_carry_over

MAX_COORDINATORS = 20_000  # functions whose load coordinator is remembered


def _permit_holder(permit: str) -> str:
    return permit.rstrip("\0")


class LoadPermits:
    """Tracks the local permits, the time from which each may be used, and the previous assignments."""

    def __init__(self, member: str, limits: FleetLimits, lag_ms: float, typical_load_ms: float) -> None:
        self.member = member
        self.limits = limits
        self.lag_ms = lag_ms
        self.typical_load_ms = typical_load_ms
        self.assigned: tuple[str, ...] = ()  # all permits, as `_permit_holder` reads them
        self.fetch_fraction = 1.0  # of one permit, where the budget is below one
        self._usable_from_ms: list[float] = []  # for each local permit, the oldest first
        # Previous assignments, each with the time until which their loads may be in flight.
        self._previous: deque[tuple[float, tuple[str, ...]]] = deque(maxlen=64)
        self._coordinators: dict[str, str] = {}
        self._assignment: AssignmentNumber | None = None
        self._gained_usable_ms = 0.0  # when permits gained by the assignment may be used

    def update(self, now_ms: float, view: PermitView) -> None:
        """Use a new view of the permit issuers."""
        if view.assignment != self._assignment:
            self._take_assignment(now_ms, view)
        fetches = self.limits.fetches * view.share
        count = max(1, int(fetches))
        self.fetch_fraction = min(1.0, max(1e-3, fetches))
        chosen = choose_load_coordinators(view.issuers, count, view.power_loss)
        # Functions are divided among permits, not coordinators, so that all permits are used. A coordinator's
        # first permit is its plain name; each further one has one more NUL character appended.
        assigned = tuple(chosen[n % len(chosen)] + "\0" * (n // len(chosen)) for n in range(count))
        if assigned != self.assigned:
            self._replace(now_ms, assigned)
        gained_ms = now_ms + self.lag_ms + self.typical_load_ms
        if view.assignment is not None:
            gained_ms = self._gained_usable_ms
        own = sum(_permit_holder(permit) == self.member for permit in assigned)
        del self._usable_from_ms[own:]
        self._usable_from_ms += [gained_ms] * (own - len(self._usable_from_ms))

    def _take_assignment(self, now_ms: float, view: PermitView) -> None:
        if not permits_carry_over(self._assignment, view.assignment):
            self._usable_from_ms.clear()
        self._assignment = view.assignment
        self._gained_usable_ms = now_ms + view.lag_ms + self.typical_load_ms
        if view.is_first:
            self.assigned = ()
            self._gained_usable_ms = now_ms
            self._previous.clear()

    def _replace(self, now_ms: float, assigned: tuple[str, ...]) -> None:
        if self.assigned:
            self._previous.append((now_ms + self.typical_load_ms, self.assigned))
        self.assigned = assigned
        self._coordinators.clear()

    def ready(self, now_ms: float) -> int:
        """The number of local permits that may be used now."""
        return sum(from_ms <= now_ms for from_ms in self._usable_from_ms)

    @property
    def own_count(self) -> int:
        """The number of local permits, including those that may not be used yet."""
        return len(self._usable_from_ms)

    def first_usable_ms(self, now_ms: float) -> float:
        """When the first local permit may be used; `now_ms` without a permit."""
        return max(now_ms, self._usable_from_ms[0]) if self._usable_from_ms else now_ms

    def coordinator(self, function: str) -> str:
        """The load coordinator of a function; empty if there is none."""
        found = self._coordinators.get(function)
        if found is None:
            if len(self._coordinators) >= MAX_COORDINATORS:
                self._coordinators.clear()
            found = _permit_holder(load_coordinator_of(function, self.assigned))
            self._coordinators[function] = found
        return found

    def due_ms(self, now_ms: float, function: str) -> float:
        """When this front end may order a function it coordinates: another member may still be loading it."""
        while self._previous and self._previous[0][0] <= now_ms:
            self._previous.popleft()
        others = (
            until_ms
            for until_ms, assigned in self._previous
            if _permit_holder(load_coordinator_of(function, assigned)) != self.member
        )
        return max(others, default=now_ms)
