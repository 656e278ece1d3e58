"""The lease on a scorer's state: until when "in service" may be acted on, and the queries that renew it.

A scorer that begins to drain is known to do so from its event in the change log on, and no later than
`Settings.roster_lease_ms` after it drained, whether that event was received or not. So what is known of a
scorer is a lease: it runs from the last moment at which the scorer was proved to be in service. After its
end nothing new is sent there, neither calls nor load orders, until it is proved again.

What proves that a scorer was in service:

- the change log, which has no further event (`RosterConfirmed`): all scorers in service as of that moment;
- a good answer to a call or a load order: the scorer took it, so it was in service when that was sent;
- a good answer to a query for copies, an order with a count of 0, which may be sent to any scorer: one that
  drains answers that it is full.

An answer of another kind proves that the process runs, no more. A rejection proves nothing either, as a
scorer without capacity rejects as well. It casts doubt all the same, unless the scorer was proved by an
answer just before: the scorer is queried before it gets anything more, or has to be confirmed by the change
log after that. One that rejects a query is left alone for a pause that doubles, whether it drains or has no
room, until it answers well; the change log may not have that drain, or may be a replica that lags. If it
answers well later on, or after a connection that failed while the change log was out of reach, it may have
been restarted, and its slow start begins.

Queries are sent when a scorer is about to be used, to that scorer. While the change log confirms, only
scorers that rejected something are queried.
"""

import math
from dataclasses import dataclass

from fawnwharf import interface as io
from fawnwharf.policy.state import QUERY_PAUSE_MS, Function, Request, RouterState, Scorer

# The change log confirms each second, as of two seconds before at the most. Without that for so long it is
# out of reach, and rejections may come from scorers that drain.
UNCONFIRMED_MS = 5_000.0
# A scorer that served so recently rejects for lack of capacity: no doubt while the change log confirms.
RECENT_PROOF_MS = 2_000.0
QUERY_WAIT_MS = 50.0  # a scorer that was queried counts as a candidate for so long
MAX_QUERY_PAUSE_MS = 4_000.0  # between two queries of a scorer that rejects them


@dataclass(slots=True)
class LeaseCounters:
    """What became of leases since the start."""

    queries: int = 0  # that were sent because a lease had ended or was in doubt
    rejected_queries: int = 0  # queries that a scorer rejected
    doubts: int = 0  # rejections of calls and load orders that may come from a drain
    suspected_restarts: int = 0  # slow starts that no event reported
    unsent_requests: int = 0  # requests ended without an attempt while the change log did not confirm


class RosterLease(RouterState):
    """Which scorers may be sent new work, by when they were last proved to be in service."""

    lease_counters: LeaseCounters

    def _lease_left_ms(self, scorer: Scorer) -> float:
        """For how many milliseconds new work may begin to be sent to a scorer; 0 or less: it may not."""
        confirmed_ms = max(self.roster_proved_ms, scorer.confirmed_ms)
        if confirmed_ms <= scorer.rejected_ms or scorer.confirmed_ms < scorer.query_rejected_ms:
            return 0.0
        return confirmed_ms + self.settings.roster_lease_ms - self.now

    def _has_lease(self, scorer: Scorer) -> bool:
        """Whether new work may be sent to a scorer that the roster has in service."""
        return self._lease_left_ms(scorer) > 0

    def _may_be_in_service(self, scorer: Scorer) -> bool:
        """Whether a scorer has a lease, or can be expected to get one by a query."""
        is_awaited = self.now - scorer.query_sent_ms < QUERY_WAIT_MS
        return self._has_lease(scorer) or is_awaited or self.now >= scorer.next_query_ms

    def _is_roster_confirmed(self) -> bool:
        """Whether the change log has confirmed the roster lately."""
        is_unlimited = math.isinf(self.settings.roster_lease_ms)
        return is_unlimited or self.now - self.roster_proved_ms < UNCONFIRMED_MS

    def _can_query(self) -> bool:
        """Whether states expire at all, and queries for them may be sent."""
        return self.settings.load_orders_allowed and not math.isinf(self.settings.roster_lease_ms)

    def _query_state(self, fn: Function, scorer: Scorer) -> bool:
        """Query a scorer that is about to be used and has no lease; tells whether an answer is awaited."""
        if self.now >= scorer.next_query_ms and self._can_query():
            scorer.query_sent_ms = self.now
            scorer.next_query_ms = self.now + scorer.query_pause_ms
            self.lease_counters.queries += 1
            self._probe(fn, scorer)
        return self.now - scorer.query_sent_ms < QUERY_WAIT_MS

    def _on_roster_confirmed(self, event: io.RosterConfirmed) -> None:
        """Renew all leases from the moment that the change log proved."""
        had_expired = self.now >= self.roster_proved_ms + self.settings.roster_lease_ms
        self.roster_proved_ms = max(self.roster_proved_ms, self.now - event.age_ms)
        if had_expired:
            self._dispatch_all()

    def _confirm_in_service(self, scorer: Scorer, sent_ms: float) -> bool:
        """Renew a scorer's lease, as it took what was sent at `sent_ms`; tells whether it had none."""
        had_lease = self._has_lease(scorer)
        scorer.confirmed_ms = max(scorer.confirmed_ms, sent_ms)
        if sent_ms > max(scorer.rejected_ms, scorer.query_rejected_ms):
            scorer.query_pause_ms = QUERY_PAUSE_MS
            scorer.next_query_ms = self.now
        if scorer.restart_suspected_ms is not None and sent_ms > scorer.restart_suspected_ms:
            scorer.restart_suspected_ms = None
            self.lease_counters.suspected_restarts += 1
            self.actions.append(io.Log(f"scorer {scorer.id} may have restarted unreported: slow start"))
            # A start that was reported meanwhile may be later than what this answers.
            self._begin_slow_start(scorer, max(sent_ms, scorer.started_ms), since_ms=-math.inf)
        return not had_lease and self._has_lease(scorer)

    def _note_rejection(self, scorer: Scorer, sent_ms: float) -> None:
        """Take the rejection of what was sent at `sent_ms`; only a later proof counts from now on."""
        if self._is_roster_confirmed():
            is_serving = self.now - scorer.confirmed_ms < RECENT_PROOF_MS
            if is_serving or not self._can_query():
                return
        self.lease_counters.doubts += 1
        scorer.rejected_ms = max(scorer.rejected_ms, sent_ms)

    def _note_rejected_query(self, scorer: Scorer, sent_ms: float) -> None:
        """Take the rejection of a query that was sent at `sent_ms`: query again after a longer pause."""
        if not self._can_query():
            return
        if scorer.confirmed_ms >= scorer.query_rejected_ms:
            self.actions.append(io.Log(f"scorer {scorer.id} rejects queries: it may drain unreported"))
        self.lease_counters.rejected_queries += 1
        scorer.query_rejected_ms = max(scorer.query_rejected_ms, sent_ms)
        self._note_possible_restart(scorer)
        scorer.query_sent_ms = -math.inf
        scorer.next_query_ms = self.now + scorer.query_pause_ms
        scorer.query_pause_ms = min(MAX_QUERY_PAUSE_MS, 2 * scorer.query_pause_ms)

    def _count_unsent(self, request: Request) -> None:
        """Count a request that ends without an attempt while the change log does not confirm."""
        self.lease_counters.unsent_requests += not (request.attempts or self._is_roster_confirmed())

    def _note_possible_restart(self, scorer: Scorer) -> None:
        """Note a lost or failed connection: while no event is received, its process may be another one."""
        if not self._is_roster_confirmed():
            scorer.restart_suspected_ms = self.now
