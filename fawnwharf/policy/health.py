"""Which workers to trust: signs of life, suspects, strain, and answers that got lost."""

import math

from fawnwharf import interface as io
from fawnwharf.policy.state import FADE_MS, LATE_MOST, Attempt, Function, Known, Lapse, Request, Worker

SIGN_WAIT_MS, TRIAL_MS = 80.0, 1_000.0  # for a sign, a round trip; pause between those asked of a suspect
ZONE_SIGNS, ANSWER_GAIN = 3, 0.4  # so many silent or asked in a zone: all are asked; weight of a rare answer
STRAINED, FAR_COST = 2.0, 0.5  # in usual runs: from so many on a worker is left; crossing, as places go
OVERDUE_RUNS, LOST_RUNS = 3.0, 8.0  # out for so many runs, an attempt deserves a second; it is held lost
LOSSES, LOSS_KEPT = 2.0, 0.7  # so many lost rest a class at a worker; each answer takes part of them back


class Health(Known):
    def _usable(self, worker: Worker, fn: Function) -> bool:  # ready, and not suspect unless most are
        heard = worker.suspect_ms is None or self.suspects * 2 > len(self.ready)
        return heard and worker.takes_new() and not (worker.lapses and self._rests(worker, fn))

    def _strain(self, worker: Worker, runs: float) -> None:
        """Long runs and full answers tell of others' load. Harm: a heavy request moves the next ones on."""
        worker.strain, worker.strain_ms = (s := self._strained(worker)) + ANSWER_GAIN * (runs - s), self.now

    def _strained(self, worker: Worker) -> float:
        return 1 + (worker.strain - 1) * math.exp((worker.strain_ms - self.now) / FADE_MS)

    def _cost(self, worker: Worker, fn: Function) -> float:  # of a run there, in usual ones
        return max(1.0, self._strained(worker)) + FAR_COST * self._is_far(worker, fn)

    def _owe(self, worker: Worker) -> None:
        worker.owed_ms = self.now if worker.owed_ms is None else worker.owed_ms  # if it owes none yet
        self.watched[worker.id] = worker

    def _heard(self, worker: Worker, after_ms: float = 0.0) -> None:
        worker.owed_ms, worker.sign_ms = self.now + after_ms if worker.own else None, None
        if worker.suspect_ms is not None:
            self.suspects, worker.suspect_ms = self.suspects - worker.takes_new(), None
            self.actions.append(io.Log(f"worker {worker.id} answers again"))

    def _watch(self, worker: Worker) -> None:
        """Ask a silent worker for a sign; without one, leave it. Harm: a busy one loses its traffic."""
        asked, suspect = worker.sign_ms is not None, worker.suspect_ms is not None  # a suspect was asked
        since_ms = worker.sign_ms if asked else worker.owed_ms
        if since_ms is None:
            del self.watched[worker.id]
        elif self.now - since_ms >= (TRIAL_MS if suspect else SIGN_WAIT_MS if asked else self.silent_ms):
            (self._suspect if asked and not suspect else self._ask_sign)(worker)

    def _ask_sign(self, worker: Worker) -> None:
        worker.sign_ms = self.now
        if worker.last and self.settings.load_orders_allowed and worker.entry.state != io.ScorerState.GONE:
            self._ask(worker.last, worker)

    def _broke(self, worker: Worker, ending: io.AttemptResult) -> None:
        """Ask for a sign: a break tells little of the process. Harm: if it died, calls are lost there."""
        if ending is io.AttemptResult.CONNECT_FAILED and worker.suspect_ms is None:
            self._suspect(worker)
        elif ending is io.AttemptResult.RESET and worker.suspect_ms is None and worker.sign_ms is None:
            self._ask_sign(worker)

    def _suspect(self, worker: Worker) -> None:
        worker.suspect_ms = worker.sign_ms = self.now
        self.watched[worker.id] = worker
        self.suspects += worker.takes_new()
        self.actions.append(io.Log(f"worker {worker.id} is silent: nothing new goes there"))
        for attempt in [attempt for attempt in self.attempts.values() if attempt.worker == worker.id]:
            if (request := self.requests.get(attempt.request)) and request not in attempt.function.queue:
                self._again(request)
                self._dispatch(attempt.function)
        near = [other for other in self.ready if other.entry.zone == worker.entry.zone] if self.wide else []
        quiet = [other for other in near if other.suspect_ms is None and other.sign_ms is None and other.last]
        for other in quiet if len(near) - len(quiet) >= ZONE_SIGNS else ():  # else calls find out, each one
            self._ask_sign(other)

    def _miss_answers(self) -> None:
        """Hold overdue answers lost, try elsewhere, rest their class. Harm: a long call runs twice."""
        for attempt in list(self.attempts.values()):
            fn, worker = attempt.function, self.workers[attempt.worker]
            runs = OVERDUE_RUNS if worker.lapses.get(fn.kind, Lapse()).losses >= LOSSES else LOST_RUNS
            due_ms = attempt.sent_ms + runs * max(self._te(fn), self.runs.median(self.now) or 0.0)
            if attempt.lost or worker.suspect_ms is not None or self.now < due_ms:
                continue
            attempt.lost, request, rests = True, self.requests.get(attempt.request), self._lose(worker, fn)
            if rests and request and request not in fn.queue and self._may_send_again(request):
                fn.queue.append(request)
                self._fill(fn)
                fn.queue = [held for held in fn.queue if held is not request]  # not worth a wait or a load

    def _hasten(self, request: Request, attempt: Attempt) -> None:
        """A second attempt for one out far longer than a run, while tokens last. Harm: work done twice."""
        due = min(OVERDUE_RUNS * self._te(request.function), request.spec.latency_target_ms * LATE_MOST)
        if attempt.open and self.now - attempt.sent_ms > due and self._may_send_again(request):
            self.hedges -= 1
            self._again(request)

    def _lose(self, worker: Worker, fn: Function) -> bool:
        lapse = worker.lapses.setdefault(fn.kind, Lapse())
        lapse.losses += 1
        lapse.rests_ms = max(lapse.rests_ms, self.now + lapse.rest_ms * (lapse.losses >= LOSSES))
        return lapse.losses >= LOSSES

    def _rests(self, worker: Worker, fn: Function) -> bool:  # unless most of the fleet would
        if not (lapse := worker.lapses.get(fn.kind)) or lapse.losses < LOSSES or self.now >= lapse.rests_ms:
            return False
        resting = sum(fn.kind in w.lapses and w.lapses[fn.kind].rests_ms > self.now for w in self.ready)
        return resting * 2 <= len(self.ready)
