"""Roster leases: how long a scorer may be treated as in service, and the queries that renew the lease.

A scorer that starts to drain must get no new work once its event in the change log is received, and at the
latest `Settings.roster_lease_ms` after the start of the drain, even if the event is never received. So each
scorer has a lease, which starts at the last time at which the scorer was confirmed to be in service. After
the lease expires, no new calls or load orders are sent to the scorer until it is confirmed again.

A scorer is confirmed by:

- the change log, when it has no event that was not received (`RosterConfirmed`): this confirms every scorer
  that the roster lists as in service;
- a good answer to a call or a load order: the scorer was in service when it was sent;
- a good answer to a query, which is a probe (an order with a count of 0) and may be sent to any scorer. A
  draining scorer rejects it as `AttemptResult.FULL`.

Any other answer shows only that the process runs. A rejection is ambiguous, because a scorer without capacity
rejects as well. Unless an answer confirmed the scorer shortly before, a rejection suspends the lease until a
query or the change log confirms the scorer as of a later time. A scorer that rejects a query gets no new work
until it gives a good answer, whatever the change log says: the change log may lack the drain event, or the
replica that is read may lag. The pause before the next query doubles each time. A good answer after a
rejected query, or after a connection that failed while the change log was out of reach, may come from a
restarted process, so a slow start begins.

A query goes only to a scorer that is about to be used. While the change log confirms the roster, only scorers
that rejected something are queried.
"""

import math
from dataclasses import dataclass

from fawnwharf import interface as io
from fawnwharf.policy.state import QUERY_PAUSE_MS, Function, Request, RouterState, Scorer

# The change log confirms the roster every second, as of at most two seconds before. Without a confirmation
# for this long it is out of reach, and rejections may come from draining scorers.
UNCONFIRMED_MS = 5_000.0
# A scorer that was confirmed within this time rejects for lack of capacity, if the change log is in reach.
RECENT_CONFIRMATION_MS = 2_000.0
QUERY_WAIT_MS = 50.0  # a queried scorer remains a candidate for this long
MAX_QUERY_PAUSE_MS = 4_000.0  # longest time between two queries of a scorer that rejects them


@dataclass(slots=True)
class LeaseCounters:
    """Counts of lease events since the start of the process."""

    queries: int = 0  # sent because a lease had expired or was suspended
    rejected_queries: int = 0  # queries that a scorer rejected
    doubts: int = 0  # rejections of calls and load orders that may come from a drain
    suspected_restarts: int = 0  # slow starts without an event that reported the restart
    unsent_requests: int = 0  # requests ended without an attempt while the change log was out of reach


class RosterLease(RouterState):
    """Decides which scorers may get new work, by when they were last confirmed to be in service."""

    lease_counters: LeaseCounters

    def _lease_left_ms(self, scorer: Scorer) -> float:
        """Milliseconds during which sending new work to a scorer may still begin; 0 or less: it may not."""
        confirmed_ms = max(self.roster_confirmed_ms, scorer.confirmed_ms)
        if confirmed_ms <= scorer.rejected_ms or scorer.confirmed_ms < scorer.query_rejected_ms:
            return 0.0
        return confirmed_ms + self.settings.roster_lease_ms - self.now

    def _has_lease(self, scorer: Scorer) -> bool:
        """Whether new work may be sent to a scorer that the roster lists as in service."""
        return self._lease_left_ms(scorer) > 0

    def _may_be_in_service(self, scorer: Scorer) -> bool:
        """Whether a scorer has a lease, or may get one by a query that is due or unanswered."""
        is_awaited = self.now - scorer.query_sent_ms < QUERY_WAIT_MS
        return self._has_lease(scorer) or is_awaited or self.now >= scorer.next_query_ms

    def _is_roster_confirmed(self) -> bool:
        """Whether the change log confirmed the roster within `UNCONFIRMED_MS`."""
        is_unlimited = math.isinf(self.settings.roster_lease_ms)
        return is_unlimited or self.now - self.roster_confirmed_ms < UNCONFIRMED_MS

    def _can_query(self) -> bool:
        """Whether leases expire at all and queries may be sent."""
        return self.settings.load_orders_allowed and not math.isinf(self.settings.roster_lease_ms)

    def _query_state(self, fn: Function, scorer: Scorer) -> bool:
        """Query a scorer without a lease if a query is due; returns whether to wait for an answer."""
        if self.now >= scorer.next_query_ms and self._can_query():
            scorer.query_sent_ms = self.now
            scorer.next_query_ms = self.now + scorer.query_pause_ms
            self.lease_counters.queries += 1
            self._probe(fn, scorer)
        return self.now - scorer.query_sent_ms < QUERY_WAIT_MS

    def _on_roster_confirmed(self, event: io.RosterConfirmed) -> None:
        """Renew all leases as of the time for which the change log confirms the roster."""
        had_expired = self.now >= self.roster_confirmed_ms + self.settings.roster_lease_ms
        self.roster_confirmed_ms = max(self.roster_confirmed_ms, self.now - event.age_ms)
        if had_expired:
            self._dispatch_all()

    def _confirm_in_service(self, scorer: Scorer, sent_ms: float) -> bool:
        """Renew the lease of a scorer that accepted a message sent at `sent_ms`.

        Returns whether the scorer had no lease before and has one now.
        """
        had_lease = self._has_lease(scorer)
        scorer.confirmed_ms = max(scorer.confirmed_ms, sent_ms)
        if sent_ms > max(scorer.rejected_ms, scorer.query_rejected_ms):
            scorer.query_pause_ms = QUERY_PAUSE_MS
            scorer.next_query_ms = self.now
        if scorer.restart_suspected_ms is not None and sent_ms > scorer.restart_suspected_ms:
            scorer.restart_suspected_ms = None
            self.lease_counters.suspected_restarts += 1
            self.actions.append(
                io.Log(
                    f"scorer {scorer.id} may have restarted, unreported by the change log: slow start begins"
                )
            )
            # A start that was reported in the meantime may be later than the message that this answers.
            self._begin_slow_start(scorer, max(sent_ms, scorer.started_ms), since_ms=-math.inf)
        return not had_lease and self._has_lease(scorer)

    def _note_rejection(self, scorer: Scorer, sent_ms: float) -> None:
        """Suspend the lease of a scorer that rejected a message sent at `sent_ms`.

        While the change log is in reach, the lease stays if the scorer was confirmed shortly before, because
        the scorer is then full and not draining. It stays as well if no query could renew it.
        """
        if self._is_roster_confirmed():
            is_serving = self.now - scorer.confirmed_ms < RECENT_CONFIRMATION_MS
            if is_serving or not self._can_query():
                return
        self.lease_counters.doubts += 1
        scorer.rejected_ms = max(scorer.rejected_ms, sent_ms)

    def _note_rejected_query(self, scorer: Scorer, sent_ms: float) -> None:
        """End the lease of a scorer that rejected a query sent at `sent_ms`; the next pause is longer."""
        if not self._can_query():
            return
        if scorer.confirmed_ms >= scorer.query_rejected_ms:
            self.actions.append(
                io.Log(
                    f"scorer {scorer.id} rejects queries: it may be draining, unreported by the change log"
                )
            )
        self.lease_counters.rejected_queries += 1
        scorer.query_rejected_ms = max(scorer.query_rejected_ms, sent_ms)
        self._note_possible_restart(scorer)
        scorer.query_sent_ms = -math.inf
        scorer.next_query_ms = self.now + scorer.query_pause_ms
        scorer.query_pause_ms = min(MAX_QUERY_PAUSE_MS, 2 * scorer.query_pause_ms)

    def _count_unsent(self, request: Request) -> None:
        """Count a request that ends without an attempt while the change log is out of reach."""
        self.lease_counters.unsent_requests += not (request.attempts or self._is_roster_confirmed())

    def _note_possible_restart(self, scorer: Scorer) -> None:
        """Record a possible restart, if the change log is out of reach and would not report it."""
        if not self._is_roster_confirmed():
            scorer.restart_suspected_ms = self.now
