"""Where the decision module sends a function's calls: read, never changed."""

from fawnwharf.net.front_end import FrontEnd
from fawnwharf.policy.state import Function, name_hash

ORDERS_MOST = 4_096


class Places:
    """Owns the functions that were made to ask the module for their order of scorers."""

    def __init__(self, front: FrontEnd, site: str) -> None:
        self._router, self.site = front.router, site
        self._orders: dict[str, Function] = {}

    def order(self, row: str) -> list[int]:
        """A function's scorers in this zone that take calls, in the module's own order."""
        fn = self._orders.get(row)
        if fn is None:
            while len(self._orders) >= ORDERS_MOST:
                del self._orders[next(iter(self._orders))]
            fn = self._orders[row] = Function(row, "", 1, None, name_hash(row))
        order = self._router._ordered(fn)
        return [one.id for one in order if one.entry.zone == self.site and one.suspect_since_ms is None]

    def uses(self, row: str, site: str) -> bool:
        """Whether calls from here are at a zone's scorers now, as placements do not bind the module."""
        fn = self._router.functions.get(row)
        busy = (id for id, instance in fn.copies_by_scorer.items() if instance.in_flight > 0) if fn else ()
        workers = (self._router.scorers.get(id) for id in busy)
        return any(worker is not None and worker.entry.zone == site for worker in workers)
