"""Which calls are taken, sent again or given up: shares, repeats, lateness, final answers."""

import math

from fawnwharf import interface as io
from fawnwharf.policy.state import LATE_MOST, LATE_RUNS, LEAD_MS, SWEEP_MS, WINDOW_MS, Known, Request, Worker

WINDOW_MARGIN_MS = 100.0  # a keyed repeat must arrive inside the window, not just leave inside it
TRY_LEAST, HELD_PART = 0.2, 0.5  # of its class's time: a try with less is a later one; late by then, given up


class Admission(Known):
    def _over_share(self, tenant: str) -> bool:  # a token bucket of its share, in part
        if tenant not in self.settings.quotas_rps:
            return False
        rate = self.settings.quotas_rps[tenant] / self.peers
        most = rate + self.wide * 2 * math.sqrt(rate * WINDOW_MS / 1000)  # a second's, and for chance
        tokens, since = self.tokens.get(tenant, (most, self.now))
        tokens = min(most, tokens + rate * (self.now - since) / 1000)
        self.tokens[tenant] = (tokens - (tokens >= 1), self.now)
        return tokens < 1

    def _urgency(self, request: Request) -> tuple[bool, bool, float, str]:
        return request.over_share, self._late(request), request.arrived_ms, request.id

    def _late(self, request: Request) -> bool:  # hardly to be answered in time any more
        most = request.spec.latency_target_ms * LATE_MOST  # where runs are so long that all would be
        return request.aim_ms - self.now < min(LATE_RUNS * self._te(request.function), most)

    def _hopeless(self, request: Request) -> bool:
        """Never sent, and hardly to be on time: given up. Harm: a late answer that it might have had."""
        half = request.arrived_ms + HELD_PART * (request.deadline_ms - request.arrived_ms)
        past = request.over_share or self.now + SWEEP_MS + LEAD_MS >= half
        return past and not request.attempts and self._late(request)

    def _may_send_here(self, request: Request, worker: Worker, part: float) -> bool:  # now?
        if not self._able(worker, request.function) or worker.own >= worker.limit * part:
            return False
        return self._may_run_at(request, worker)

    def _may_run_at(self, request: Request, worker: Worker) -> bool:
        """Whether its class, and what it ran at before, let it be sent to this worker."""
        if any(attempt.worker == worker.id and attempt.may_have_run for attempt in request.attempts):
            return False
        if (first := request.first_run()) is None or request.spec.effect is io.Effect.IDEMPOTENT:
            return True
        here, group = worker.entry, request.spec.group
        same = first.zone == here.zone if group is io.DeduplicationGroup.ZONE else first.cell == here.cell
        return (group is io.DeduplicationGroup.ALL or same) and self._may_send_again(request)

    def _may_send_again(self, request: Request) -> bool:  # may another attempt be made at all?
        twice, first, spec = any(a.open for a in request.attempts), request.first_run(), request.spec
        if len(request.attempts) >= self.settings.max_attempts or (twice and not self.settings.hedging):
            return False
        return first is None or spec.effect is io.Effect.IDEMPOTENT or self._window_left(request) > 0

    def _window_left(self, request: Request) -> float:
        """For how long a request may begin to be written from now on: a keyed repeat must arrive while its
        workers drop it. Their window begins when the first attempt arrives, at the earliest when it left."""
        first, spec = request.first_run(), request.spec
        if first is None or spec.effect is io.Effect.IDEMPOTENT:
            return math.inf
        if spec.effect is io.Effect.AT_MOST_ONCE:
            return -math.inf
        return first.sent_ms + spec.dedup_window_ms - WINDOW_MARGIN_MS - self.now

    def _again(self, request: Request) -> None:  # hold it again, or end it
        if self._may_send_again(request):
            request.held_ms = self.now
            request.function.queue.append(request)
            self.waiting.add(request.function)
        elif not any(attempt.open for attempt in request.attempts):
            self._finish(request)

    def _finish(self, request: Request) -> None:  # the one final answer that this front end gives itself
        advice = self.settings.max_retry_after_ms * (request.over_share or not request.attempts)  # no room
        keyed = (
            request.spec.effect is io.Effect.DEDUPLICATED and request.spec.group is io.DeduplicationGroup.ALL
        )
        harmless = keyed or request.spec.effect is io.Effect.IDEMPOTENT or request.first_run() is None
        self._close(request)
        self.actions.append(io.Reject(request.id, advice) if harmless else io.Fail(request.id))

    def _close(self, request: Request) -> None:
        del self.requests[request.id]
        request.function.queue = [held for held in request.function.queue if held is not request]
        numbers = [number for number, attempt in enumerate(request.attempts) if attempt.open]
        self.actions.extend(
            io.Cancel(request.id, number) for number in numbers * self.settings.cancellation_allowed
        )
