"""Operators' calls to the test bed's front ends, at their second addresses.

Drains, scorers out, replacement.
"""

import signal
from collections.abc import Callable
from dataclasses import dataclass

from fawnwharf.config import Address
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import EndReason
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.testbed import files
from fawnwharf.testbed.fleet import Fleet
from fawnwharf.testbed.processes import Former, Front, LabError
from fawnwharf.testbed.topology import CONTROL

DIAL_MS = 1_000.0
AGAIN_MS = 20.0  # between two looks at a process that starts
KILL_MS = 15_000.0  # after SIGTERM: longer than the checker allows, as a machine may stand still for a while
TAKEN = "hot restart: handing off to the new process"
ASKED = "hot restart: another process requests the hand-off"
AWAY = "hot restart: released the exclusive extensions"
RETURNED = "hot restart: reacquired the exclusive extensions"
BACK = "accepting again"
TOOK = "hot restart: taking over "  # the new process, before it is ready: from then on it may have calls
CALLS_LEAST, CALLS_MS = 5, 2_000.0  # in a replacement; and no longer, as others may have all the calls
LATELY = 500  # requests that are looked through for them
MISSED_MOST = 4  # times that a kill may come too late before a step goes on without it


class _Call:
    """One call of an operator, on a connection of its own."""

    def __init__(self, fleet: Fleet, address: Address, method: str, path: str) -> None:
        self.status = 0  # of the answer; 0: none yet, or none at all
        self.ended = False
        self._data = bytearray()
        self._asks = f"{method} {path} HTTP/1.1\r\nHost: lab\r\nContent-Length: 0\r\n\r\n".encode()
        made = Connection.dial(fleet.loop, address, self, DIAL_MS)
        self.connection = None if isinstance(made, EndReason) else made
        self.ended = self.connection is None

    def on_up(self) -> None:
        """Send the call."""
        self.connection.write(self._asks)

    def on_data(self, data: bytes) -> None:
        """Take the answer."""
        self._data += data
        head, end, _ = bytes(self._data).partition(b"\r\n")
        if end and not self.status:
            self.status = int(head.split()[1])
            self.connection.close(EndReason.IDLE)

    def on_flushed(self) -> None:
        """Nothing to do."""
        ...

    def on_end(self, end: EndReason) -> None:
        """The connection ended."""
        self.ended = True


@dataclass(slots=True)
class Replaced:
    """A replacement, for the checker; milliseconds."""

    front: str
    began_ms: float
    yes_ms: float = float("inf")  # the new process said that it takes work
    told_ms: float = float("inf")  # the old one was told to end
    ended_ms: float = float("inf")  # and was gone
    killed: bool = False  # one of the two was, as a step wanted it


@dataclass(slots=True)
class Stretch:
    """From a yes until the call that ends what it began: a standby, or a scorer out of service."""

    front: str
    scorer: str
    since_ms: float
    until_ms: float = float("inf")


class Desk:
    """Makes operators' calls, and notes what was promised by which yes."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def ask(self, front: Front, method: str, path: str) -> int:
        """The status that the call was answered with; 0 where it was not."""
        call = _Call(self.fleet, (front.host, CONTROL[front.number % 2]), method, path)
        self.fleet.until(lambda: call.ended, f"{front.name} to answer {path}")
        return call.status

    def must(self, front: Front, path: str) -> None:
        """Make a call that has to succeed; raises LabError where it doesn't."""
        status = self.ask(front, "POST", path)
        if status != 200:
            raise LabError(f"{front.name} answered {path} with {status}")

    # --- scorers out, and drains ----------------------------------------------------------------

    def take_out(self, fronts: list[Front], ids: list[str]) -> None:
        """Take scorers out of service at these front ends."""
        for front in fronts:
            for id in ids:
                self.must(front, f"/maintenance/enter?target={id}")
                self.fleet.stretches.append(Stretch(front.name, id, monotonic_ms()))

    def bring_back(self, fronts: list[Front], ids: list[str]) -> None:
        """Take scorers back into service at these front ends."""
        for front in fronts:
            for id in ids:
                self._ends(front, id)  # from the call on it may be sent to
                self.must(front, f"/maintenance/exit?target={id}")

    def standby(self, fronts: list[Front]) -> None:
        """Put front ends on standby."""
        for front in fronts:
            # From the call on, not the yes: a connection may be ended 0.4 s after the former.
            self.fleet.stretches.append(Stretch(front.name, "", monotonic_ms()))
            self.must(front, "/standby")

    def active(self, fronts: list[Front]) -> None:
        """End the standby of front ends."""
        for front in fronts:
            self.must(front, "/active")
            self._ends(front, "")

    def _ends(self, front: Front, scorer: str) -> None:
        for stretch in self.fleet.stretches:
            if (stretch.front, stretch.scorer) == (front.name, scorer):
                stretch.until_ms = min(stretch.until_ms, monotonic_ms())

    # --- replacement ----------------------------------------------------------------------------

    def begin(self, front: Front) -> Replaced:
        """Start a second process of a front end beside the first one."""
        if front.former is not None:
            self.fleet.until(lambda: front.former is None, f"the former process of {front.name} to end")
        former = front.former = Former(front.process, front.pipe)
        front.pipe.wrote = lambda front, line: self.fleet.former_wrote(front, former, line)
        front.number += 1
        files.write_whole(front.folder / "config.json", files.config(self.fleet, front, beside=True))
        found = Replaced(front.name, monotonic_ms())
        self.fleet.replaced.append(found)
        self.fleet.launch(front)
        return found

    def ready(self, found: Replaced) -> None:
        """Wait until the new process says that it takes work."""
        front = self.fleet.fronts[found.front]
        call: list[_Call] = []
        last_ms = 0.0

        def yes() -> bool:
            nonlocal last_ms
            if not front.alive:
                raise LabError(f"{front.name}: the new process ended with {front.status}: {front.last_line}")
            if call and call[0].status == 200:
                return True
            if (not call or call[0].ended) and monotonic_ms() - last_ms >= AGAIN_MS:
                last_ms = monotonic_ms()
                call[:] = [_Call(self.fleet, (front.host, CONTROL[front.number % 2]), "GET", "/status")]
            return False

        self.fleet.until(yes, f"the new process of {front.name} to say yes")
        found.yes_ms = monotonic_ms()
        self.fleet.until(lambda: front.ready, f"the new process of {front.name} to serve")

    def end_former(self, found: Replaced) -> None:
        """Send SIGTERM to the old process, and SIGKILL where it takes too long."""
        front = self.fleet.fronts[found.front]
        former, told_ms = front.former, monotonic_ms()
        found.told_ms = told_ms
        former.process.send_signal(signal.SIGTERM)
        killed = False

        def gone() -> bool:
            nonlocal killed
            if front.former is not former:
                return True
            if not killed and monotonic_ms() - told_ms >= KILL_MS:
                killed = True
                former.process.kill()
            return False

        self.fleet.until(gone, f"the old process of {front.name} to end")
        found.ended_ms = monotonic_ms()

    def replace(self, front: Front) -> None:
        """Replace a front end's process."""
        found = self.begin(front)
        self.ready(found)
        self._tried(found)
        self.end_former(found)

    def _tried(self, found: Replaced) -> None:
        """Until calls have come in it: a quick machine is through before, and nothing is shown."""
        clients, before_ms = self.fleet.clients, monotonic_ms()

        def tried() -> bool:
            late = (a for r in clients.requests[-LATELY:] for a in r.tries if a.sent_ms >= found.began_ms)
            calls = sum(attempt.front == found.front for attempt in late)
            return not clients.running or calls >= CALLS_LEAST or monotonic_ms() - before_ms > CALLS_MS

        self.fleet.until(tried, f"calls to {found.front}")

    def kill(self, front: Front, which: str) -> None:
        """Kill a process in the middle of a replacement.

        The new one as soon as it has asked (`early`), once the old one has released what only one may have
        (`away`) or once it has taken the place (`new`); or the old one then (`old`). A kill that comes too
        late on a busy machine is judged as what it was, and tried again.
        """
        for _ in range(1 + MISSED_MOST):
            if self._killed(front, which):
                return

    def _killed(self, front: Front, which: str) -> bool:
        """Whether it died at the moment that was meant."""
        found, former = self.begin(front), front.former
        found.killed = True

        def said(text: str) -> Callable[[], bool]:
            return lambda: any(text in line for line in (*former.lines, *front.lines))

        if which in ("early", "away"):
            text = ASKED if which == "early" else AWAY
            self.fleet.until(said(text), f"{front.name} to say: {text}")
        else:
            self.ready(found)
            self.fleet.until(said(TAKEN), f"the place of {front.name} to be taken")
        took = which == "new"
        if which == "old":
            former.process.kill()
            self.fleet.new_life(front)  # what was open at the one that was killed is lost with it
            self.fleet.until(lambda: front.former is None, f"the old process of {front.name} to end")
            front.status = None  # this end is as it should be
        else:
            front.process.kill()
            front.process.wait()
            self.fleet.back_to_former(front)
            took = took or any(TOOK in line for line in front.lines)
            if took:
                self.fleet.new_life(front)
            text = {"early": "", "away": RETURNED, "new": BACK}[which]
            self.fleet.until(said(text), f"{front.name} to say: {text}")
        found.ended_ms = monotonic_ms()
        if missed := took and which != "new":
            self.fleet.replaced.remove(found)
        return not missed
