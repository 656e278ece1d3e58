"""Stand-in scorers.

A scorer speaks the frames that front ends speak. It has cores, lanes, a bounded queue, copies of functions
that take time to load, a keep-alive for idle ones, a cold start, and it falls when it is sent more than it
bears while cold, and stays down. All that arrives is recorded with who sent it, and what becomes of copies.
Times are milliseconds.
"""

import contextlib
import math
import random
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from fawnwharf.config import Address
from fawnwharf.fakes.nature import Arrival, Nature, Store
from fawnwharf.net import scorer_frames as frames
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.event_loop import READ, EventLoop
from fawnwharf.net.timer_wheel import Timer, monotonic_ms

WORDS = {frames.RUN: "run", frames.ABANDON: "give_up", frames.LOAD: "order", frames.UNLOAD: "unload"}


@dataclass(slots=True, eq=False)
class _Run:
    link: "_Link"
    frame: frames.Frame
    came_ms: float
    waited_load: str = "reused"
    company: int = 0
    over: bool = False
    timer: Timer | None = None


@dataclass(frozen=True, slots=True)
class _Load:
    """Who had a copy loaded: an order, or a run that found none."""

    sender: str
    cause: str
    id: str


@dataclass(slots=True, eq=False)
class _Function:
    copies: int = 0
    stale: int = 0  # of an older release, at work still
    loading: int = 0
    running: int = 0
    fresh: list["_Load"] = field(default_factory=list)  # copies that no call has had yet
    idle_ms: float = 0.0
    queue: deque[_Run] = field(default_factory=deque)
    orders: list[tuple["_Link", frames.Frame, int]] = field(default_factory=list)

    @property
    def at_work(self) -> bool:
        return bool(self.running or self.queue)


class _Link:
    def __init__(self, scorer: "Scorer", sock: socket.socket, sender: str) -> None:
        self.scorer, self.sender = scorer, sender
        self.reader = frames.FrameReader(frames.FROM_FRONT_END)
        self.runs: dict[bytes, _Run] = {}
        self.connection = Connection.accepted(scorer.loop, sock, self)

    def on_up(self) -> None:
        pass

    def on_data(self, data: bytes) -> None:
        for frame in self.reader.feed(data):
            self.scorer.take(self, frame)
        if self.reader.fault:
            self.connection.close(EndReason.PROTOCOL_ERROR)

    def on_flushed(self) -> None:
        pass

    def on_end(self, end: EndReason) -> None:
        self.scorer.link_ended(self)

    def answer(self, code: int, id: bytes, fields: str = "", body: bytes = b"") -> None:
        if not self.connection.closed:
            self.connection.write(frames.encode(code, id, fields, body, frames.FROM_SCORER))


class Scorer:
    """Owns a listener, its links, the copies and the runs."""

    def __init__(
        self,
        loop: EventLoop,
        id: str,
        host: str,
        nature: Nature,
        store: Store,
        seed: int,
        sender_of: Callable[[Address], str],
        note: Callable[[Arrival], None],
        listens: Callable[[str, bool], None] = lambda id, on: None,
    ) -> None:
        """`listens` is told when it begins to listen, and when it ends."""
        self.loop, self.id, self.host, self.nature, self.store = loop, id, host, nature, store
        self.chance = random.Random(seed)
        self.slow = 1.0  # times as long as usual
        self.fallen = self.up = False
        self.life = 0
        self.port = 0
        self.done = 0  # runs that were answered
        self.cold_starts: list[float] = []
        self._sender_of, self._note, self._listens = sender_of, note, listens
        self._start_ms: float | None = None
        self.start(cold=False)

    # --- life -----------------------------------------------------------------------------------

    def start(self, cold: bool = True) -> None:
        """Up again at the same address, with nothing loaded; cold unless it is said to be warm."""
        if self.up:
            return
        self.functions: dict[str, _Function] = {}
        self.links: dict[_Link, None] = {}
        self.busy = self.loads = 0
        self._load_queue: deque[tuple[str, _Load]] = deque()
        self._sent: deque[tuple[float, float]] = deque()
        self._start_ms = monotonic_ms() if cold else None
        self.cold_starts += [self._start_ms] if cold else []
        self.life, self.up = self.life + 1, True
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((self.host, self.port))
        self._listener.listen(256)
        self._listener.setblocking(False)
        self.port = self._listener.getsockname()[1]
        self.loop.watch(self._listener, READ, self._accept)
        self._listens(self.id, True)

    @property
    def address(self) -> Address:
        return self.host, self.port

    def stop(self) -> None:
        """The process ends: its connections are ended by the system."""
        if not self.up:
            return
        self.up = False
        self.loop.unwatch(self._listener)
        self._listener.close()
        self._listens(self.id, False)
        for link in list(self.links):
            link.connection.close(EndReason.SUPERSEDED)

    def fall(self) -> None:
        self.fallen = True
        self.stop()

    def share(self) -> float:
        """What part of its capacity it has by now."""
        if self._start_ms is None:
            return 1.0
        n = self.nature
        return min(1.0, n.cold_share + (1 - n.cold_share) * (monotonic_ms() - self._start_ms) / n.cold_ms)

    def _accept(self, _mask: int) -> None:
        with contextlib.suppress(OSError):  # until none is left
            while self.up:
                sock, peer = self._listener.accept()
                self.links[_Link(self, sock, self._sender_of(peer[:2]))] = None

    def link_ended(self, link: _Link) -> None:
        """Closing a connection gives up everything that is open on it."""
        self.links.pop(link, None)
        for run in list(link.runs.values()):
            self._give_up(run)

    # --- what comes -----------------------------------------------------------------------------

    def take(self, link: _Link, frame: frames.Frame) -> None:
        what = WORDS.get(frame.code)
        if what is None:
            link.answer(frames.ERROR, frame.id)
            return
        fields = frame.fields
        copies = int(fields.get("slots_up", "0")) if what == "order" else 0
        self._record(link, frame, "ask" if what == "order" and not copies else what)
        if what == "give_up":
            if run := link.runs.get(frame.id):
                self._give_up(run)
        elif what == "order":
            self._order(link, frame, fields.get("obj", ""), copies)
        elif what == "unload":
            self._go(frame.id.hex())
        else:
            self._run(link, frame, fields.get("obj", ""))

    def _record(self, link: _Link, frame: frames.Frame, what: str, note: str = "") -> None:
        fields = frame.fields
        kind, function, token = (fields.get(name, "") for name in ("kind", "obj", "token"))
        now, id = monotonic_ms(), frame.id.hex()
        if what == "unload" and (fn := self.functions.get(function := id)):
            note = str(fn.running + len(fn.queue))
        self._note(Arrival(now, self.id, link.sender, what, id, kind, function, token, self.life, note))

    def _tell(self, what: str, function: str, load: _Load) -> None:
        """What became of a copy."""
        now = monotonic_ms()
        self._note(Arrival(now, self.id, load.sender, what, load.id, "", function, "", self.life, load.cause))

    def _turn_away(self, link: _Link, frame: frames.Frame) -> None:
        self._record(link, frame, "turned")
        link.answer(frames.FULL, frame.id)

    def _pressed(self) -> bool:
        """Whether what came within the window is more than a cold scorer bears."""
        n, now = self.nature, monotonic_ms()
        if (share := self.share()) >= 1.0:
            return False
        self._sent.append((now, n.work_ms))
        while self._sent[0][0] <= now - n.fall_ms:
            self._sent.popleft()
        bears = n.fall_multiple * n.cores * share * n.fall_ms
        return sum(work for _, work in self._sent) > bears + 3 * n.work_ms * math.sqrt(n.cores)

    def _run(self, link: _Link, frame: frames.Frame, name: str) -> None:
        if self._pressed():
            self.fall()
            return
        self._lapse(name)
        fn = self.functions.setdefault(name, _Function())
        run = _Run(link, frame, monotonic_ms(), company=fn.running + len(fn.queue))
        waiting = sum(len(other.queue) for other in self.functions.values())
        if waiting >= self.nature.queue:
            self._turn_away(link, frame)
            return
        link.runs[frame.id] = run
        if not fn.copies:
            run.waited_load = "shared_init" if fn.loading else "init"
            if not fn.loading and not self._load(name, _Load(link.sender, "run", frame.id.hex())):
                del link.runs[frame.id]
                self._turn_away(link, frame)
                return
        fn.queue.append(run)
        self._work(name)

    def _order(self, link: _Link, frame: frames.Frame, name: str, copies: int) -> None:
        self._lapse(name)
        fn = self.functions.setdefault(name, _Function())
        if not copies or fn.copies >= copies:
            if copies:
                fn.idle_ms = monotonic_ms()
            link.answer(frames.OK, frame.id, f"slots_up={fn.copies}")
            return
        while fn.copies + fn.loading < copies:
            if not self._load(name, _Load(link.sender, "order", frame.id.hex())):
                link.answer(frames.FULL, frame.id, f"slots_up={fn.copies}")
                return
        fn.orders.append((link, frame, copies))

    # --- copies ---------------------------------------------------------------------------------

    def _load(self, name: str, load: _Load) -> bool:
        for other in list(self.functions):
            self._lapse(other)
        held = sum(fn.copies + fn.loading for fn in self.functions.values())
        if held >= self.nature.copies and not self._make_room():
            return False
        self.functions[name].loading += 1
        self._load_queue.append((name, load))
        self._tell("load", name, load)
        self._begin_loads()
        return True

    def _lapse(self, name: str) -> None:
        fn = self.functions.get(name)
        if fn and fn.copies and not fn.at_work and fn.idle_ms < monotonic_ms() - self.nature.keep_ms:
            self._go(name)

    def _go(self, name: str, all_idle: bool = True) -> None:
        """Idle copies are unloaded: all of them, or one. Those at work or loading stay."""
        fn = self.functions.get(name)
        if fn is None:
            return
        at_work = -(-fn.running // self.nature.lanes)
        fn.copies = min(fn.copies, at_work if all_idle else max(at_work, fn.copies - 1))
        while len(fn.fresh) > fn.copies:
            self._tell("wasted", name, fn.fresh.pop())

    def release(self, names: list[str]) -> None:
        """These functions are released anew: idle copies go at once, those at work when they are done."""
        for name in names:
            if fn := self.functions.get(name):
                self._go(name)
                fn.stale = fn.copies

    def _make_room(self) -> bool:
        idle = {name: fn for name, fn in self.functions.items() if fn.copies and not fn.at_work}
        if not idle:
            return False
        self._go(min(idle, key=lambda name: idle[name].idle_ms), all_idle=False)
        return True

    def _begin_loads(self) -> None:
        while self._load_queue and self.loads < self.nature.loads_at_once:
            name, load = self._load_queue.popleft()
            self.loads += 1
            self.store.fetch(self._fetched(name, load, self.life))

    def _fetched(self, name: str, load: _Load, life: int) -> Callable[[], None]:
        def loaded() -> None:
            if life != self.life or not self.up:
                return
            self.loads -= 1
            fn = self.functions[name]
            fn.loading, fn.copies, fn.idle_ms = fn.loading - 1, fn.copies + 1, monotonic_ms()
            fn.fresh.append(load)
            self._tell("loaded", name, load)
            for item in list(fn.orders):
                link, frame, copies = item
                if fn.copies >= copies:
                    fn.orders.remove(item)
                    link.answer(frames.OK, frame.id, f"slots_up={fn.copies}")
            self._begin_loads()
            self._work(name)

        return lambda: self.loop.timers.after(self.nature.load_ms / max(0.2, self.share()), loaded)

    # --- runs -----------------------------------------------------------------------------------

    def _work(self, name: str) -> None:
        fn, n = self.functions[name], self.nature
        while fn.queue and self.busy < 2 * n.cores and fn.running < fn.copies * n.lanes:
            run = fn.queue.popleft()
            if run.over:
                continue
            self.busy, fn.running = self.busy + 1, fn.running + 1
            if fn.fresh and fn.running > (fn.copies - len(fn.fresh)) * n.lanes:
                fn.fresh.pop(0)  # a call has it
            crowd = max(1.0, self.busy / n.cores)
            work = self.chance.expovariate(1.0) * 0.5 * n.work_ms + 0.5 * n.work_ms
            took = work * crowd * self.slow / self.share()
            run.timer = self.loop.timers.after(took, self._finisher(name, run, self.life))

    def _finisher(self, name: str, run: _Run, life: int) -> Callable[[], None]:
        def finished() -> None:
            if life != self.life or not self.up:
                return
            fn = self.functions[name]
            self.busy, fn.running, fn.idle_ms = self.busy - 1, fn.running - 1, monotonic_ms()
            run.timer = None
            while fn.stale and -(-fn.running // self.nature.lanes) < fn.stale:
                fn.stale, fn.copies = fn.stale - 1, max(0, fn.copies - 1)
            if not run.over:
                run.over = True
                run.link.runs.pop(run.frame.id, None)
                self.done += 1
                self._record(run.link, run.frame, "done", run.waited_load)
                fields = f"res={run.waited_load}" + (f",company={run.company}" if run.company else "")
                run.link.answer(frames.OK, run.frame.id, fields, b"done:" + run.frame.body)
            for other, waiting in self.functions.items():
                if waiting.queue:
                    self._work(other)

        return finished

    def _give_up(self, run: _Run) -> None:
        """What is queued is dropped; what runs goes on to its end, and nobody hears of it."""
        run.over = True
        run.link.runs.pop(run.frame.id, None)
        self._record(run.link, run.frame, "over")
        fn = self.functions.get(run.frame.fields.get("obj", ""))
        if fn and run in fn.queue:
            fn.queue.remove(run)
