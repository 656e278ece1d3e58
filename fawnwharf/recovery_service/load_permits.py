"""Load permits: which load coordinators may order first copies, and which functions are whose.

Pure. There are as many permits as the model store takes fetches at a time. They are assigned to the load
coordinators (`budget.choose_load_coordinators`) by who is reachable, or by the register (`PermitAssignment`).
Who gains a permit waits until the one that had it has seen that it has it no more, and until the loads of
that one have ended; who loses a permit orders nothing by it from then on. So where views differ for no longer
than `lag_ms`, and loads take no longer than `typical_load_ms`, no more fetches are in flight than there are
permits: those in flight now were begun by permits of one view, `lag_ms` and `typical_load_ms` ago.

By the register: the first assignment after a power loss waits for nothing, as nobody ordered by a phase of
that power loss before it. A front end that still follows assignment d does so until a message of it is
`alone_ms` old, and no such message is sent once d+1 is decided; whoever receives d+1 does so later than that.
So a permit that is gained by d+1 is used `alone_ms` and `typical_load_ms` after that, and by then no load of
d is in flight. At half the budget, from `valid_ms` on, a front end uses some of the permits that it has by d,
so this holds as well. A permit is kept from d to d+1 alone: a front end that missed an assignment may have
had permits since that were others' in it.
"""

from collections import deque

from fawnwharf.recovery_core.budget import FleetLimits, choose_load_coordinators, load_coordinator_of
from fawnwharf.recovery_service.permit_view import AssignmentNumber, PermitView, continues

MAX_COORDINATORS = 20_000  # functions whose load coordinator is remembered


def _permit_holder(permit: str) -> str:
    return permit.rstrip("\0")


class LoadPermits:
    """Owns the own permits, from when each may be used, and the last views."""

    def __init__(self, member: str, limits: FleetLimits, lag_ms: float, typical_load_ms: float) -> None:
        self.member = member
        self.limits = limits
        self.lag_ms = lag_ms
        self.typical_load_ms = typical_load_ms
        self.assigned: tuple[str, ...] = ()  # all permits, as `_permit_holder` reads them
        self.fetch_fraction = 1.0  # of one permit, where the budget is below one
        self._usable_from_ms: list[float] = []  # of each own permit, the oldest first
        self._previous: deque[tuple[float, tuple[str, ...]]] = deque(maxlen=64)  # until when, who
        self._coordinators: dict[str, str] = {}
        self._assignment: AssignmentNumber | None = None
        self._gained_usable_ms = 0.0  # permits that are gained by the assignment may be used from then

    def update(self, now_ms: float, view: PermitView) -> None:
        """Go by a new view of who issues permits."""
        if view.assignment != self._assignment:
            self._take_assignment(now_ms, view)
        fetches = self.limits.fetches * view.share
        count = max(1, int(fetches))
        self.fetch_fraction = min(1.0, max(1e-3, fetches))
        chosen = choose_load_coordinators(view.issuers, count, view.power_loss)
        # The first permit of a coordinator has its name alone; functions are divided by permits, to use all.
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
        if not continues(self._assignment, view.assignment):
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
        """Own permits that may be used."""
        return sum(from_ms <= now_ms for from_ms in self._usable_from_ms)

    @property
    def own_count(self) -> int:
        """Own permits, also those that may not be used yet."""
        return len(self._usable_from_ms)

    def first_usable_ms(self, now_ms: float) -> float:
        """When one may be used."""
        return max(now_ms, self._usable_from_ms[0]) if self._usable_from_ms else now_ms

    def coordinator(self, function: str) -> str:
        """The load coordinator of a function; empty where there is none."""
        found = self._coordinators.get(function)
        if found is None:
            if len(self._coordinators) >= MAX_COORDINATORS:
                self._coordinators.clear()
            found = _permit_holder(load_coordinator_of(function, self.assigned))
            self._coordinators[function] = found
        return found

    def due_ms(self, now_ms: float, function: str) -> float:
        """When this front end may order a function of its own, as another one may be loading it still."""
        while self._previous and self._previous[0][0] <= now_ms:
            self._previous.popleft()
        others = (
            until_ms
            for until_ms, assigned in self._previous
            if _permit_holder(load_coordinator_of(function, assigned)) != self.member
        )
        return max(others, default=now_ms)
