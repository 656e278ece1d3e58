"""Plays a list of steps against a front end on real sockets, and checks the reference model after each step.

Everything runs in one thread, on a clock that only the steps advance. The pace of a step says how the event
loop runs after it: `batched` (not at all, so that the next step falls into the same batch), `iteration` (one
iteration) or `quiet` (until nothing happens any more).
"""

import itertools
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any

from fawnwharf.config import deployment_from
from fawnwharf.net.event_loop import READ, WRITE
from fawnwharf.net.front_end import FrontEnd
from support.clocks import SettableClock
from support.request_model import RequestModel
from support.request_site import Site
from support.request_steps import RequestSteps
from support.scripted_peers import Run, ScriptedLog, ScriptedScorer
from support.stamps import ReceiveStamps
from support.system_faults import SystemFaults

ITERATION_MS = 0.05  # duration of an iteration
WAIT_STEP_MS = 20.0  # time advances in such steps; the loop runs until quiet after each
HEARTBEAT_MS = 1_000.0
MAX_QUIET_ITERATIONS = 300
SETTLE_MS = 4_000.0  # by then all load orders and scans of idle connections have ended


class RequestDriver(RequestSteps):
    """A front end, its peers, and the reference model; `run_step` runs one step."""

    def __init__(self, site: Site) -> None:
        self.site, self.model = site, RequestModel(site.limits())
        self.clock, self.faults, self._stack = SettableClock(), SystemFaults(), ExitStack()
        self._stack.enter_context(self.clock.installed())
        self._stack.enter_context(self.faults.installed())
        self.stamps = self._stack.enter_context(ReceiveStamps(self.clock).installed())
        self.log_lines: list[str] = []
        self.scorers = [
            ScriptedScorer(f"s-{n}", mode, zone)
            for n, (mode, zone) in enumerate(zip(site.modes, site.zones, strict=False))
        ]
        members = [scorer.member() for scorer in self.scorers]
        self.events = [{"seq": 1, "fleet": {"complete": True, "members": members}}]
        self.logs = [ScriptedLog(self.events), ScriptedLog(self.events)]
        self.clients, self.silent_clients, self.owners = [], [], {}
        self._numbers, self._heartbeat_ms = itertools.count(1), self.clock.monotonic_ms
        self._shutdown_ms: float | None = None
        self._held_connects: list[Any] | None = None
        self._observed: dict[ScriptedScorer, list[int]] = {scorer: [0, 0] for scorer in self.scorers}
        self._complete_runs: set[Run] = set()
        self.front = self._front_end()
        self.run_until_quiet()

    def _front_end(self) -> FrontEnd:
        config = {
            "listen": "127.0.0.1:0",
            "changelog": self.logs[0].host_port,
            "seed": "7",
            "known": {"seq": 1, "results": list(self.events)},
            "settings": self.site.settings(),
            "limits": {"sockets": self.site.sockets},
        }
        log = lambda text, source="": self.log_lines.append(text)  # noqa: E731
        front = FrontEnd(deployment_from(config, {}), log=log, reread=self._configuration_reader(config))
        self._hold_connects_of(front)
        front.start()
        return front

    def _configuration_reader(self, config: dict[str, Any]) -> Callable[[], Any]:
        """Return a configuration reader that switches to the other change log at each reload."""
        addresses = itertools.cycle([log.host_port for log in reversed(self.logs)])
        return lambda: deployment_from(config | {"changelog": next(addresses)}, {})

    def _hold_connects_of(self, front: FrontEnd) -> None:
        """Let a step decide when a connection to a scorer is established, by not watching it until then."""
        watch = front.loop.watch

        def watch_or_hold(
            sock: Any, mask: int, ready: Callable[[int], None], *arguments: Any, **options: Any
        ) -> None:
            connects_to_scorer = mask == WRITE and hasattr(ready.__self__.owner, "scorer")
            if connects_to_scorer and self._held_connects is not None:
                self._held_connects.append((sock, ready))
                mask = READ
            watch(sock, mask, ready, *arguments, **options)

        front.loop.watch = watch_or_hold

    # --- iterations and time ----------------------------------------------------------------------

    def run_iteration(self) -> bool:
        """Run one iteration, then let the peers read; return whether anything happened."""
        if not self.front.loop.running:
            return False
        moved = bool(self.front.loop._selector.select(0)) or self.front.loop._wait_s(1.0) == 0.0
        self.front.loop.run_iteration(0)
        self.clock.advance(ITERATION_MS)
        return self._pump() or moved

    def _pump(self) -> bool:
        moved = False
        for peer in [*self.logs, *self.clients, *self.silent_clients]:
            moved = peer.pump() or moved
        for scorer in self.scorers:
            moved = scorer.pump(self.now_ms) or moved
        for scorer in self.scorers:  # after the ends of all connections have been read
            self._observe(scorer)
        return moved

    def _observe(self, scorer: ScriptedScorer) -> None:
        runs, orders = self._observed[scorer]
        for run in scorer.runs[runs:]:
            self.model.attempt_began(run, self.model.attempts_of(run.id))
        for run in scorer.runs:
            if run.complete_ms is not None and run not in self._complete_runs:
                self._complete_runs.add(run)
                self.model.attempt_complete(run)
        for order in scorer.orders[orders:]:
            self.model.order_received(order, [other for peer in self.scorers for other in peer.orders])
        self._observed[scorer] = [len(scorer.runs), len(scorer.orders)]

    def run_until_quiet(self) -> None:
        """Run iterations until nothing happens; the front end has then detected all abandoned requests."""
        for _ in range(MAX_QUIET_ITERATIONS):
            if not self.run_iteration():
                break
        else:
            raise AssertionError("the event loop does not become quiet")
        for request in self.model.requests.values():
            request.abandon_seen = request.abandoned_ms is not None

    def wait(self, duration_ms: float, step_ms: float = WAIT_STEP_MS) -> None:
        """Let time pass in small steps, and run the loop until it is quiet after each."""
        end = self.now_ms + duration_ms
        while self.now_ms < end and self.front.loop.running:
            self.clock.advance(min(step_ms, end - self.now_ms))
            if self.now_ms - self._heartbeat_ms >= HEARTBEAT_MS:
                self._heartbeat_ms = self.now_ms
                for log in self.logs:
                    log.heartbeat()
            self.run_until_quiet()

    # --- steps ------------------------------------------------------------------------------------

    def run_step(self, step: tuple[str, int, int, str]) -> None:
        """Run a step: an action, two numbers that select its objects, and its pace."""
        action, first, second, pace = step
        getattr(self, f"_do_{action}")(first, second)
        if pace == "iteration":
            self.run_iteration()
        elif pace == "quiet":
            self.run_until_quiet()
        self.check()

    def check(self) -> None:
        """Check that no rule is violated, and that no connection was closed with an unanswered request."""
        faults = [line for line in self.log_lines if "fault in" in line]
        assert not faults, faults
        assert not self.model.violations, self.model.violations
        for client in self.clients:
            if client.channel.ended and not client.closed_by_client:
                open = [r for r in self.owners[client].values() if r.expects_answer and not r.answers]
                assert not open, f"closed with {len(open)} requests unanswered"

    # --- the end ----------------------------------------------------------------------------------

    def finish(self) -> None:
        """Let all deadlines pass, and check that each request is answered and no state remains."""
        self._do_release_connects(0, 0)
        self.run_until_quiet()
        self.wait(max(0.0, self.model.last_deadline_ms() - self.now_ms) + 200.0)
        self.check()
        self.model.check_end()
        self.check()
        for client in [*self.clients, *self.silent_clients]:
            if client.usable:
                client.close()
        self.wait(SETTLE_MS, step_ms=100.0)
        self.check()
        if self.front.loop.running:  # after a shutdown, attempts of closed requests may remain
            self._check_nothing_left()

    def _check_nothing_left(self) -> None:
        front = self.front
        links = [link for scorer in front.scorer_pool.scorers.values() for link in scorer.links]
        left = {
            "requests": dict(front.requests.open),
            "attempts": dict(front.requests._in_flight),
            "bytes of bodies": front.requests._body_bytes,
            "streams": [stream for link in links for stream in link.streams.values()],
            "waiting": [stream for scorer in front.scorer_pool.scorers.values() for stream in scorer.waiting],
            "requests decided on": dict(front.router.requests),
            "attempts decided on": dict(front.router.attempts),
            "clients": list(front.client_port.clients),
        }
        left = {name: found for name, found in left.items() if found}
        assert not left, left
        assert front.scorer_pool._connection_count == len(links)

    def close(self) -> None:
        """Close the front end and all peers, and uninstall the clock and the faults."""
        self.front.close()
        for peer in [*self.scorers, *self.logs]:
            peer.close()
        for client in [*self.clients, *self.silent_clients]:
            if not client.channel.ended:
                client.channel.close()
        self._stack.close()


def play(site: Site, steps: list[tuple[str, int, int, str]]) -> RequestDriver:
    """Run all steps and the final checks; raises AssertionError if a rule is violated."""
    driver = RequestDriver(site)
    try:
        for step in steps:
            driver.run_step(step)
        driver.finish()
    finally:
        driver.close()
    return driver
