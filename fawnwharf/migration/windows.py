"""How many migrations to one zone are in progress at once. Pure; milliseconds of one clock.

What a zone can prefetch in a time is known to its front ends only, by the rate limit of their load orders,
and changes with their calls: a zone that returns cold prefetches a few copies a second. So each zone has a
window that is halved when a prefetch was late and grows by one for each full window in time (Chiu and Jain
1989).
"""

from collections import Counter

from fawnwharf.migration.hand import UNSTAGED
from fawnwharf.session_types import Session

LEAST = 1.0


class Windows:
    """Owns the windows of one coordinator, by zone; `most` is their first and largest size."""

    def __init__(self, most: int, pause_ms: float) -> None:
        """`pause_ms`: those that were under way together halve it once."""
        self.most, self.pause_ms = max(LEAST, float(most)), pause_ms
        self.sizes: dict[str, float] = {}
        self._going: dict[Session, str] = {}
        self._count: Counter[str] = Counter()
        self._halved_ms: dict[str, float] = {}

    def may(self, site: str) -> bool:
        """Whether a migration to a zone may begin."""
        return self._count[site] < int(self.sizes.get(site, self.most))

    def begun(self, session: Session, site: str) -> None:
        """Take that a migration to a zone began."""
        self._drop(session)
        self._going[session] = site
        self._count[site] += 1

    def ended(self, now_ms: float, session: Session, why: str) -> None:
        """Take that it switched, or ended by this cause; only a late zone says anything of the zone."""
        site = self._drop(session)
        if site is None:
            return
        size = self.sizes.get(site, self.most)
        if why == "switched":
            self.sizes[site] = min(self.most, size + 1.0 / size)
        elif why == UNSTAGED and now_ms - self._halved_ms.get(site, float("-inf")) >= self.pause_ms:
            self.sizes[site], self._halved_ms[site] = max(LEAST, size / 2), now_ms

    def _drop(self, session: Session) -> str | None:
        site = self._going.pop(session, None)
        if site is not None:
            self._count[site] -= 1
        return site
