"""Plays a list of steps against a front end on real sockets, and checks the rules after each.

One thread, and a clock that moves only by a step. A step ends with one of three paces: `batched` (no turn of
the loop, so that what it does falls into one batch with the next step), `turn` (one turn) or `quiet` (turns
until nothing moves any more).
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

TURN_MS = 0.05  # what a turn takes
SLICE_MS = 20.0  # time passes in such steps, each followed by turns to the quiet
HEARTBEAT_MS = 1_000.0
QUIET_TURNS_MOST = 300
SETTLE_MS = 4_000.0  # orders to load and idle looks are over by then


class RequestDriver(RequestSteps):
    """A front end, its peers, and the model of the rules; `play` takes one step."""

    def __init__(self, site: Site) -> None:
        self.site, self.model = site, RequestModel(site.limits())
        self.clock, self.faults, self._stack = SettableClock(), SystemFaults(), ExitStack()
        self._stack.enter_context(self.clock.installed())
        self._stack.enter_context(self.faults.installed())
        self.stamps = self._stack.enter_context(ReceiveStamps(self.clock).installed())
        self.lines: list[str] = []
        self.scorers = [
            ScriptedScorer(f"s-{n}", mode, zone)
            for n, (mode, zone) in enumerate(zip(site.modes, site.zones, strict=False))
        ]
        members = [scorer.member() for scorer in self.scorers]
        self.events = [{"seq": 1, "fleet": {"complete": True, "members": members}}]
        self.logs = [ScriptedLog(self.events), ScriptedLog(self.events)]
        self.clients, self.crowd, self.owners = [], [], {}
        self._numbers, self._heartbeat_ms = itertools.count(1), self.clock.monotonic_ms
        self._left_ms: float | None = None
        self._dials_held: list[Any] | None = None
        self._seen: dict[ScriptedScorer, list[int]] = {scorer: [0, 0] for scorer in self.scorers}
        self._whole: set[Run] = set()
        self.front = self._front_end()
        self.quiet()

    def _front_end(self) -> FrontEnd:
        config = {
            "listen": "127.0.0.1:0",
            "changelog": self.logs[0].host_port,
            "seed": "7",
            "known": {"seq": 1, "results": list(self.events)},
            "settings": self.site.settings(),
            "limits": {"sockets": self.site.sockets},
        }
        note = lambda text, source="": self.lines.append(text)  # noqa: E731
        front = FrontEnd(deployment_from(config, {}), log=note, reread=self._reread(config))
        self._hold_dials_of(front)
        front.start()
        return front

    def _reread(self, config: dict[str, Any]) -> Callable[[], Any]:
        """SIGHUP: the change log is at the other address from then on."""
        places = itertools.cycle([log.host_port for log in reversed(self.logs)])
        return lambda: deployment_from(config | {"changelog": next(places)}, {})

    def _hold_dials_of(self, front: FrontEnd) -> None:
        """Let a script decide when a connection to a scorer comes up: until then nothing tells of it."""
        watch = front.loop.watch

        def watching(sock: Any, mask: int, ready: Callable[[int], None], *how: Any, **more: Any) -> None:
            dials_scorer = mask == WRITE and hasattr(ready.__self__.owner, "scorer")
            if dials_scorer and self._dials_held is not None:
                self._dials_held.append((sock, ready))
                mask = READ
            watch(sock, mask, ready, *how, **more)

        front.loop.watch = watching

    # --- turns and time ---------------------------------------------------------------------------

    def turn(self) -> bool:
        """One turn of the loop, then all that came of it; whether anything moved."""
        if not self.front.loop.running:
            return False
        moved = bool(self.front.loop._selector.select(0)) or self.front.loop._wait_s(1.0) == 0.0
        self.front.loop.run_iteration(0)
        self.clock.advance(TURN_MS)
        return self._pump() or moved

    def _pump(self) -> bool:
        moved = False
        for peer in [*self.logs, *self.clients, *self.crowd]:
            moved = peer.pump() or moved
        for scorer in self.scorers:
            moved = scorer.pump(self.now) or moved
        for scorer in self.scorers:  # once all ends of connections have been seen
            self._observe(scorer)
        return moved

    def _observe(self, scorer: ScriptedScorer) -> None:
        runs, orders = self._seen[scorer]
        for run in scorer.runs[runs:]:
            self.model.began(run, self.model.attempts_of(run.id))
        for run in scorer.runs:
            if run.whole_ms is not None and run not in self._whole:
                self._whole.add(run)
                self.model.whole(run)
        for order in scorer.orders[orders:]:
            self.model.ordered(order, [other for peer in self.scorers for other in peer.orders])
        self._seen[scorer] = [len(scorer.runs), len(scorer.orders)]

    def quiet(self) -> None:
        """Turn until nothing moves any more; the front end has then seen which requests were given up."""
        for _ in range(QUIET_TURNS_MOST):
            if not self.turn():
                break
        else:
            raise AssertionError("the loop does not come to rest")
        for request in self.model.requests.values():
            request.gone_seen = request.gone_ms is not None

    def wait(self, span_ms: float, slice_ms: float = SLICE_MS) -> None:
        """Let time pass, with turns to the quiet all the while."""
        end = self.now + span_ms
        while self.now < end and self.front.loop.running:
            self.clock.advance(min(slice_ms, end - self.now))
            if self.now - self._heartbeat_ms >= HEARTBEAT_MS:
                self._heartbeat_ms = self.now
                for log in self.logs:
                    log.heartbeat()
            self.quiet()

    # --- steps ------------------------------------------------------------------------------------

    def play(self, step: tuple[str, int, int, str]) -> None:
        """One step: an action with two numbers that choose among what there is, and its pace."""
        action, first, second, pace = step
        getattr(self, f"_do_{action}")(first, second)
        if pace == "turn":
            self.turn()
        elif pace == "quiet":
            self.quiet()
        self.check()

    def check(self) -> None:
        """Check that no rule is broken so far, and that no connection closed with a request unanswered."""
        faults = [line for line in self.lines if "fault in" in line]
        assert not faults, faults
        assert not self.model.broken, self.model.broken
        for client in self.clients:
            if client.channel.ended and not client.left:
                open = [r for r in self.owners[client].values() if r.owed and not r.answers]
                assert not open, f"closed with {len(open)} requests unanswered"

    # --- the end ----------------------------------------------------------------------------------

    def finish(self) -> None:
        """Let time pass beyond all deadlines, and see that all is accounted for and nothing is left over."""
        self._do_release_dials(0, 0)
        self.quiet()
        self.wait(max(0.0, self.model.last_deadline_ms() - self.now) + 200.0)
        self.check()
        self.model.check_end()
        self.check()
        for client in [*self.clients, *self.crowd]:
            if client.usable:
                client.close()
        self.wait(SETTLE_MS, slice_ms=100.0)
        self.check()
        if self.front.loop.running:  # one that has left may leave attempts of requests that are over
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
        assert front.scorer_pool._link_count == len(links)

    def close(self) -> None:
        """End the front end and all peers, and take the clock and the faults out again."""
        self.front.close()
        for peer in [*self.scorers, *self.logs]:
            peer.close()
        for client in [*self.clients, *self.crowd]:
            if not client.channel.ended:
                client.channel.close()
        self._stack.close()


def play(site: Site, steps: list[tuple[str, int, int, str]]) -> RequestDriver:
    """Play all steps and the end; raises AssertionError where a rule is broken."""
    driver = RequestDriver(site)
    try:
        for step in steps:
            driver.play(step)
        driver.finish()
    finally:
        driver.close()
    return driver
