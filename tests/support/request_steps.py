"""The steps of `RequestDriver`: actions of clients, scorers, connections, clocks, rosters and operators."""

import itertools
from typing import Any

from peers import handle_frame

from fawnwharf.net import scorer_frames
from fawnwharf.net.event_loop import WRITE
from fawnwharf.net.front_end import FrontEnd
from support.clocks import SettableClock
from support.request_model import Request, RequestModel
from support.request_site import EFFECTS, Site
from support.scripted_peers import Run, ScriptedClient, ScriptedLog, ScriptedScorer
from support.stamps import ReceiveStamps
from support.system_faults import SystemFaults

MAX_TIMER_WAIT_MS = 60.0  # the router's periodic timer is due within 40 ms
ARRIVALS_AFTER_SHUTDOWN_MS = 600.0  # how long clients still send requests after SIGTERM
MAX_CLIENTS, MAX_REQUESTS = 3, 10
CODES = (scorer_frames.OK, scorer_frames.ERROR, scorer_frames.FULL, scorer_frames.MISS, scorer_frames.EXPIRED)
SILENT_CLIENTS_PER_STEP = 6


def _peer_of(sock: Any) -> tuple[str, int] | None:
    try:
        return sock.getpeername()
    except OSError:
        return None


class RequestSteps:
    """The actions, each with two numbers that select its objects; without an object it does nothing."""

    site: Site
    model: RequestModel
    clock: SettableClock
    faults: SystemFaults
    stamps: ReceiveStamps
    front: FrontEnd
    scorers: list[ScriptedScorer]
    logs: list[ScriptedLog]
    events: list[dict]  # of the change log
    clients: list[ScriptedClient]
    silent_clients: list[ScriptedClient]
    owners: dict[ScriptedClient, dict[int, Request]]  # their requests, by sequence number
    _held_connects: list[Any] | None  # None: connections to scorers are not delayed
    _shutdown_ms: float | None  # when SIGTERM came
    _numbers: "itertools.count[int]"

    @property
    def now_ms(self) -> float:
        """The monotonic time on the settable clock, in milliseconds."""
        return self.clock.monotonic_ms

    def wait(self, duration_ms: float) -> None:
        """Let time pass in small steps, and run the loop until it is quiet after each."""
        raise NotImplementedError

    def _client(self, index: int) -> ScriptedClient | None:
        """Return the client at this index; a new one replaces a client that has disconnected."""
        if index % MAX_CLIENTS >= len(self.clients) or not self._usable_client(index).usable:
            if not self._may_connect:
                return None
            owned: dict[int, Request] = {}
            client = ScriptedClient(
                self.front.address, lambda seqid, kind, content: self._answer(owned, seqid, kind, content)
            )
            address = client.channel.sock.getsockname()
            client.channel.on_send = lambda: self.stamps.written(address)
            self.clients.append(client)
            self.owners[client] = owned
            if len([c for c in self.clients if c.usable]) > MAX_CLIENTS:
                return self._usable_client(index)
            return client
        return self._usable_client(index)

    def _usable_client(self, index: int) -> ScriptedClient:
        usable = [client for client in self.clients if client.usable]
        return usable[index % MAX_CLIENTS % len(usable)] if usable else self.clients[-1]

    @property
    def _may_connect(self) -> bool:
        running = self.front.loop.running
        started_ms = self._shutdown_ms
        return running and (started_ms is None or self.now_ms - started_ms <= ARRIVALS_AFTER_SHUTDOWN_MS)

    def _answer(self, owned: dict[int, Request], seqid: int, kind: str, content: Any) -> None:
        body = content[1] if kind == "answer" else b""
        assert seqid in owned, f"an answer to {seqid}, which was never sent"
        self.model.answer_received(owned[seqid], kind, body, self.now_ms)

    def _new_request(self, client: ScriptedClient, number: int) -> tuple[Request, bytes]:
        """Create a request of this client; return it and its bytes."""
        name = list(EFFECTS)[number % 3]
        id, seqid = next(self._numbers).to_bytes(8, "big"), client.next_seqid()
        ttl = int(self.site.give_up_ms * (0.5 if number >= 6 else 1.0))
        function = f"{number % 3 + 1:08x}{number // 3 % 2 + 1:08x}"
        request = Request(
            id, seqid, name, EFFECTS[name], function, ttl, self.site.group, self.site.dedup_window_ms
        )
        fields = {"op": name, "call": id.hex(), "ttl": str(ttl), "org": "acme", "row": function}
        if name == "save":
            fields["dedupe"] = id.hex()
        self.model.requests[id] = request
        self.owners[client][seqid] = request
        return request, handle_frame(seqid, fields, b"ask")

    def _may_send_request(self, client: ScriptedClient | None) -> bool:
        below_limit = len(self.model.requests) < MAX_REQUESTS
        return client is not None and client.usable and below_limit and self._may_connect and not client.rest

    def _record_sent(self, request: Request, sent: bool) -> None:
        if sent:
            request.complete_ms = self.now_ms

    def _do_call(self, first: int, second: int) -> None:
        if self._may_send_request(client := self._client(first)):
            request, data = self._new_request(client, second)
            self._record_sent(request, client.channel.send(data))

    def _do_pair(self, first: int, second: int) -> None:
        """Send two requests in one write."""
        if self._may_send_request(client := self._client(first)):
            request, data = self._new_request(client, second)
            next_request, next_data = self._new_request(client, second + 1)
            sent = client.channel.send(data + next_data)
            self._record_sent(request, sent)
            self._record_sent(next_request, sent)

    def _do_partial_call(self, first: int, second: int) -> None:
        if self._may_send_request(client := self._client(first)):
            _, data = self._new_request(client, second)
            cut = 1 + (second * 29 + first * 7) % (len(data) - 1)
            client.channel.send(data[:cut])
            client.rest = data[cut:]

    def _do_rest_of_call(self, first: int, _second: int) -> None:
        """Send the rest of a partial message."""
        for client in self.clients:
            if client.rest and client.usable and self._may_connect:
                rest, client.rest = client.rest, b""
                self._record_sent(self.owners[client][client.seqid], client.channel.send(rest))
                return

    def _do_withdraw(self, first: int, second: int) -> None:
        open = [
            (client, request)
            for client, owned in self.owners.items()
            for request in owned.values()
            if client.usable and not client.rest and request.expects_answer and not request.answers
        ]
        if open:
            client, request = open[(first + second) % len(open)]
            if client.withdraw(request.seqid):
                request.abandoned_ms = self.now_ms

    def _disconnect(self, first: int, by_reset: bool) -> None:
        usable = [client for client in self.clients if client.usable]
        if usable:
            client = usable[first % len(usable)]
            client.close(by_reset)
            for request in self.owners[client].values():
                request.abandoned_ms = self.now_ms if request.abandoned_ms is None else request.abandoned_ms

    def _do_close(self, first: int, _second: int) -> None:
        self._disconnect(first, by_reset=False)

    def _do_reset(self, first: int, _second: int) -> None:
        self._disconnect(first, by_reset=True)

    def _do_half_close(self, first: int, _second: int) -> None:
        usable = [client for client in self.clients if client.usable and not client.rest]
        if usable:
            client = usable[first % len(usable)]
            client.half_close()
            for request in self.owners[client].values():
                request.half_closed = True

    def _do_crowd(self, _first: int, _second: int) -> None:
        """Connect clients that send nothing."""
        if self._may_connect and len(self.silent_clients) < 4 * SILENT_CLIENTS_PER_STEP:
            self.model.crowded = True
            for _ in range(SILENT_CLIENTS_PER_STEP):
                self.silent_clients.append(ScriptedClient(self.front.address, lambda *_: None))

    def _open_runs(self) -> list[Run]:
        runs = [run for scorer in self.scorers for run in scorer.runs]
        return [run for run in runs if run.complete_ms is not None and not run.connection.channel.ended]

    def _body(self) -> bytes:
        body = b"body %d" % next(self._numbers)
        self.model.answered_bodies.add(body)
        return body

    def _do_answer(self, first: int, second: int) -> None:
        if runs := [run for run in self._open_runs() if not run.answered]:
            runs[first % len(runs)].scorer.answer(runs[first % len(runs)], CODES[second % 5], self._body())

    def _do_serve(self, first: int, _second: int) -> None:
        self._do_answer(first, 0)

    def _do_answer_again(self, first: int, second: int) -> None:
        if runs := [run for run in self._open_runs() if run.answered]:
            run = runs[first % len(runs)]
            answered = list(run.answered)
            run.scorer.answer(run, CODES[second % 5], self._body())
            run.answered[:] = answered

    def _do_partial_answer(self, first: int, second: int) -> None:
        """Send the first bytes of an answer; the connection can't be parsed after that."""
        if runs := [run for run in self._open_runs() if not run.answered]:
            run = runs[first % len(runs)]
            run.scorer.answer(run, scorer_frames.OK, self._body(), max_bytes=1 + 5 * second)

    def _scorer(self, index: int) -> list[ScriptedScorer]:
        """Return the scorer at this index, if there is any."""
        return [self.scorers[index % len(self.scorers)]] if self.scorers else []

    def _do_scorer_reset(self, first: int, _second: int) -> None:
        for scorer in self._scorer(first):
            scorer.end_connections(by_reset=True)

    def _do_scorer_close(self, first: int, _second: int) -> None:
        for scorer in self._scorer(first):
            scorer.end_connections(by_reset=False)

    def _do_scorer_down(self, first: int, second: int) -> None:
        for scorer in self._scorer(first):
            scorer.stop_listening()
            scorer.end_connections(by_reset=second % 2 == 0)

    def _do_scorer_up(self, first: int, _second: int) -> None:
        for scorer in self._scorer(first):
            scorer.listen_again()

    def _do_hold_connects(self, _first: int, _second: int) -> None:
        if self._held_connects is None:
            self._held_connects = []

    def _do_release_connects(self, _first: int, _second: int) -> None:
        held, self._held_connects = self._held_connects or [], None
        for sock, ready in held:
            # A connection that its scorer ended meanwhile is established already, and has read that end.
            if sock.fileno() >= 0 and self.front.loop.running and not ready.__self__.up:
                self.front.loop.modify(sock, WRITE, ready)

    def _do_short_write(self, _first: int, second: int) -> None:
        """Let the next write to a scorer accept only a few bytes."""
        scorers = {scorer.address for scorer in self.scorers}
        self.faults.shorten("sendmsg", 1 + 4 * second, where=lambda sock: _peer_of(sock) in scorers)

    def _do_due(self, _first: int, _second: int) -> None:
        """Advance the clock to the next timer, which is then due together with the sockets that are ready."""
        self._stall(min(MAX_TIMER_WAIT_MS, 1_000.0 * (self.front.loop.timers.seconds_until_due() or 0.0)))

    def _stall(self, duration_ms: float) -> None:
        self.model.stalled_ms += duration_ms
        self.clock.advance(duration_ms)

    def _do_wait(self, first: int, second: int) -> None:
        self.wait(20.0 * (1 + first))

    def _do_wait_long(self, first: int, second: int) -> None:
        self.wait(200.0 * (1 + first))

    def _do_stall(self, first: int, second: int) -> None:
        """Stall the process: time passes without an iteration."""
        self._stall(60.0 * (1 + first))

    def _announce(self, scorer: ScriptedScorer, phase: str, up_since_ms: float = 0.0) -> None:
        members = [scorer.member(phase, up_since_ms)]
        self.events.append({"seq": len(self.events) + 1, "fleet": {"complete": False, "members": members}})
        announced = any([log.send_events() for log in self.logs])
        if phase == "in_service":
            self.model.drain_announced_ms.pop(scorer.name, None)
        elif announced:
            self.model.drain_announced_ms.setdefault(scorer.name, self.now_ms)

    def _do_drain(self, first: int, _second: int) -> None:
        for scorer in self._scorer(first):
            self._announce(scorer, "terminating")

    def _do_remove(self, first: int, _second: int) -> None:
        for scorer in self._scorer(first):
            self._announce(scorer, "terminated")

    def _do_restore(self, first: int, _second: int) -> None:
        for scorer in self._scorer(first):
            self._announce(scorer, "in_service", self.clock.wall_ms)

    def _do_log_reset(self, first: int, _second: int) -> None:
        self.logs[first % 2].reset_all()

    def _do_reload(self, _first: int, _second: int) -> None:
        if self.front.loop.running:
            self.front.reload()

    def _do_leave(self, _first: int, _second: int) -> None:
        """Begin the graceful shutdown."""
        if self.front.loop.running:
            self._shutdown_ms = self.now_ms if self._shutdown_ms is None else self._shutdown_ms
            self.front.shut_down()
