"""The steps of the shuffled plays: what clients, scorers, links, time, lists and operators do."""

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

DUE_MOST_MS = 60.0  # a sweep of the decisions is due within 40 ms
COMING_MS = 600.0  # after SIGTERM clients still come for so long
CLIENTS_MOST, REQUESTS_MOST = 3, 10
CODES = (scorer_frames.OK, scorer_frames.ERROR, scorer_frames.FULL, scorer_frames.MISS, scorer_frames.EXPIRED)
CROWD = 6  # silent clients that connect at once


def _peer_of(sock: Any) -> tuple[str, int] | None:
    try:
        return sock.getpeername()
    except OSError:
        return None


class RequestSteps:
    """Each step takes two numbers, which choose among what there is; one that finds nothing does nothing."""

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
    crowd: list[ScriptedClient]
    owners: dict[ScriptedClient, dict[int, Request]]  # their requests, by sequence number
    _dials_held: list[Any] | None  # None: connections to scorers come up as they do
    _left_ms: float | None  # when SIGTERM came
    _numbers: "itertools.count[int]"

    @property
    def now(self) -> float:
        """The time on the settable clock, in ms."""
        return self.clock.monotonic_ms

    def wait(self, span_ms: float) -> None:
        """Let time pass, with turns to the quiet all the while."""
        raise NotImplementedError

    def _client(self, index: int) -> ScriptedClient | None:
        """The client at this place, made anew where it has gone."""
        if index % CLIENTS_MOST >= len(self.clients) or not self._at(index).usable:
            if not self._comes:
                return None
            owned: dict[int, Request] = {}
            client = ScriptedClient(
                self.front.address, lambda seqid, kind, content: self._answer(owned, seqid, kind, content)
            )
            address = client.channel.sock.getsockname()
            client.channel.on_send = lambda: self.stamps.written(address)
            self.clients.append(client)
            self.owners[client] = owned
            if len([c for c in self.clients if c.usable]) > CLIENTS_MOST:
                return self._at(index)
            return client
        return self._at(index)

    def _at(self, index: int) -> ScriptedClient:
        usable = [client for client in self.clients if client.usable]
        return usable[index % CLIENTS_MOST % len(usable)] if usable else self.clients[-1]

    @property
    def _comes(self) -> bool:
        running = self.front.loop.running
        return running and (self._left_ms is None or self.now - self._left_ms <= COMING_MS)

    def _answer(self, owned: dict[int, Request], seqid: int, kind: str, content: Any) -> None:
        body = content[1] if kind == "answer" else b""
        assert seqid in owned, f"an answer to {seqid}, which was not asked"
        self.model.answered(owned[seqid], kind, body, self.now)

    def _request(self, client: ScriptedClient, number: int) -> tuple[Request, bytes]:
        """A new request of this client, and its bytes."""
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

    def _may_ask(self, client: ScriptedClient | None) -> bool:
        room = len(self.model.requests) < REQUESTS_MOST
        return client is not None and client.usable and room and self._comes and not client.rest

    def _taken(self, request: Request, sent: bool) -> None:
        if sent:
            request.whole_ms = self.now

    def _do_call(self, first: int, second: int) -> None:
        if self._may_ask(client := self._client(first)):
            request, data = self._request(client, second)
            self._taken(request, client.channel.send(data))

    def _do_pair(self, first: int, second: int) -> None:
        """Two requests in the same bytes."""
        if self._may_ask(client := self._client(first)):
            (one, some), (two, more) = self._request(client, second), self._request(client, second + 1)
            sent = client.channel.send(some + more)
            self._taken(one, sent)
            self._taken(two, sent)

    def _do_call_in_part(self, first: int, second: int) -> None:
        if self._may_ask(client := self._client(first)):
            _, data = self._request(client, second)
            cut = 1 + (second * 29 + first * 7) % (len(data) - 1)
            client.channel.send(data[:cut])
            client.rest = data[cut:]

    def _do_rest(self, first: int, _second: int) -> None:
        """The rest of a message that came in part."""
        for client in self.clients:
            if client.rest and client.usable and self._comes:
                rest, client.rest = client.rest, b""
                self._taken(self.owners[client][client.seqid], client.channel.send(rest))
                return

    def _do_withdraw(self, first: int, second: int) -> None:
        open = [
            (client, request)
            for client, owned in self.owners.items()
            for request in owned.values()
            if client.usable and not client.rest and request.owed and not request.answers
        ]
        if open:
            client, request = open[(first + second) % len(open)]
            if client.withdraw(request.seqid):
                request.gone_ms = self.now

    def _leave(self, first: int, by_reset: bool) -> None:
        usable = [client for client in self.clients if client.usable]
        if usable:
            client = usable[first % len(usable)]
            client.close(by_reset)
            for request in self.owners[client].values():
                request.gone_ms = self.now if request.gone_ms is None else request.gone_ms

    def _do_close(self, first: int, _second: int) -> None:
        self._leave(first, by_reset=False)

    def _do_reset(self, first: int, _second: int) -> None:
        self._leave(first, by_reset=True)

    def _do_half_close(self, first: int, _second: int) -> None:
        usable = [client for client in self.clients if client.usable and not client.rest]
        if usable:
            client = usable[first % len(usable)]
            client.half_close()
            for request in self.owners[client].values():
                request.half_closed = True

    def _do_crowd(self, _first: int, _second: int) -> None:
        """Clients that connect and say nothing."""
        if self._comes and len(self.crowd) < 4 * CROWD:
            self.model.crowded = True
            for _ in range(CROWD):
                self.crowd.append(ScriptedClient(self.front.address, lambda *_: None))

    def _open_runs(self) -> list[Run]:
        runs = [run for scorer in self.scorers for run in scorer.runs]
        return [run for run in runs if run.whole_ms is not None and not run.link.channel.ended]

    def _body(self) -> bytes:
        body = b"made %d" % next(self._numbers)
        self.model.made.add(body)
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

    def _do_answer_in_part(self, first: int, second: int) -> None:
        """Half an answer, and then the link says nothing that could be read."""
        if runs := [run for run in self._open_runs() if not run.answered]:
            run = runs[first % len(runs)]
            run.scorer.answer(run, scorer_frames.OK, self._body(), most_bytes=1 + 5 * second)

    def _scorer(self, index: int) -> list[ScriptedScorer]:
        """The scorer at this place, if there is any."""
        return [self.scorers[index % len(self.scorers)]] if self.scorers else []

    def _do_scorer_reset(self, first: int, _second: int) -> None:
        for scorer in self._scorer(first):
            scorer.end_links(by_reset=True)

    def _do_scorer_close(self, first: int, _second: int) -> None:
        for scorer in self._scorer(first):
            scorer.end_links(by_reset=False)

    def _do_scorer_down(self, first: int, second: int) -> None:
        for scorer in self._scorer(first):
            scorer.stop_listening()
            scorer.end_links(by_reset=second % 2 == 0)

    def _do_scorer_up(self, first: int, _second: int) -> None:
        for scorer in self._scorer(first):
            scorer.listen_again()

    def _do_hold_dials(self, _first: int, _second: int) -> None:
        if self._dials_held is None:
            self._dials_held = []

    def _do_release_dials(self, _first: int, _second: int) -> None:
        held, self._dials_held = self._dials_held or [], None
        for sock, ready in held:
            # One that its scorer ended while it was held is up already, and reads that end.
            if sock.fileno() >= 0 and self.front.loop.running and not ready.__self__.up:
                self.front.loop.modify(sock, WRITE, ready)

    def _do_short_write(self, _first: int, second: int) -> None:
        """The next write to a scorer takes a few bytes only."""
        scorers = {scorer.address for scorer in self.scorers}
        self.faults.shorten("sendmsg", 1 + 4 * second, where=lambda sock: _peer_of(sock) in scorers)

    def _do_due(self, _first: int, _second: int) -> None:
        """Time passes up to the next timer, which is then due with whatever else is ready."""
        self._hold_up(min(DUE_MOST_MS, 1_000.0 * (self.front.loop.timers.seconds_until_due() or 0.0)))

    def _hold_up(self, span_ms: float) -> None:
        self.model.halts_ms += span_ms
        self.clock.advance(span_ms)

    def _do_wait(self, first: int, second: int) -> None:
        self.wait(20.0 * (1 + first))

    def _do_wait_long(self, first: int, second: int) -> None:
        self.wait(200.0 * (1 + first))

    def _do_halt(self, first: int, second: int) -> None:
        """The process is held up: time passes without a turn."""
        self._hold_up(60.0 * (1 + first))

    def _tell(self, scorer: ScriptedScorer, phase: str, up_since_ms: float = 0.0) -> None:
        members = [scorer.member(phase, up_since_ms)]
        self.events.append({"seq": len(self.events) + 1, "fleet": {"complete": False, "members": members}})
        told = any([log.tell() for log in self.logs])
        if phase == "in_service":
            self.model.drain_told_ms.pop(scorer.name, None)
        elif told:
            self.model.drain_told_ms.setdefault(scorer.name, self.now)

    def _do_drain(self, first: int, _second: int) -> None:
        for scorer in self._scorer(first):
            self._tell(scorer, "terminating")

    def _do_gone(self, first: int, _second: int) -> None:
        for scorer in self._scorer(first):
            self._tell(scorer, "terminated")

    def _do_back(self, first: int, _second: int) -> None:
        for scorer in self._scorer(first):
            self._tell(scorer, "in_service", self.clock.wall_ms)

    def _do_log_reset(self, first: int, _second: int) -> None:
        self.logs[first % 2].reset_all()

    def _do_reload(self, _first: int, _second: int) -> None:
        if self.front.loop.running:
            self.front.reload()

    def _do_leave(self, _first: int, _second: int) -> None:
        if self.front.loop.running:
            self._left_ms = self.now if self._left_ms is None else self._left_ms
            self.front.shut_down()
