"""Scorers of the soak: they drain, go, return, hang, and answer queries late or wrongly."""

import socket
import time
from dataclasses import dataclass

from support.discovery_outage import DrainingScorer

from fawnwharf.net import scorer_frames


@dataclass
class Drain:
    """A span in which a scorer gets nothing new: from its event in the log to its return, in seconds."""

    since_s: float
    is_observed: bool  # the log was in reach for long before, and for a moment after
    until_s: float = float("inf")


class SoakScorer(DrainingScorer):
    """Records its drains, and what came of new work and in which order."""

    def __init__(self, number: int, loads_on_miss: bool) -> None:
        super().__init__(f"s-{number}")
        self.drains: list[Drain] = []
        self.hangs_until_s = 0.0
        self.query_delay_s = 0.0
        self.is_full = False  # rejects new copies and calls, though it is in service
        self.runs_by_id: dict[str, int] = {}  # calls that were not rejected
        self.started_ms = 0.0
        self._loads_on_miss = loads_on_miss
        self._late_answers: list[tuple[float, object, int, str, bytes]] = []

    # --- life -------------------------------------------------------------------------------------

    def drain(self, is_observed: bool, closes_idle: bool) -> None:
        """Turn new work away from now on, and close connections where so asked."""
        self.drained_s = time.monotonic()
        self.drains.append(Drain(self.drained_s, is_observed))
        if closes_idle:
            self._close_links()

    def stop(self) -> None:
        """The process ends."""
        self._close_links()
        self.listener.close()

    def restart(self) -> None:
        """A new process at the same address, with nothing loaded."""
        address = self.listener_address
        self.listener = socket.create_server(address)
        self.listener.setblocking(False)
        self.stands.clear()
        self.due.clear()
        self.drained_s = None
        self.started_ms = 1000.0 * time.time()
        if self.drains:
            self.drains[-1].until_s = time.monotonic()

    @property
    def listener_address(self) -> tuple[str, int]:
        """The address, also while nothing listens there."""
        host, port = self.host_port.split(":")
        return host, int(port)

    def _close_links(self) -> None:
        for link in self.links:
            link.sock.close()
            link.ended = True

    # --- answers ----------------------------------------------------------------------------------

    def pump(self) -> None:
        """Take in what came, and answer what is due."""
        super().pump()
        now_s = time.monotonic()
        due = [late for late in self._late_answers if late[0] <= now_s]
        self._late_answers = [late for late in self._late_answers if late[0] > now_s]
        for _, item, code, fields, body in due:
            self._write(item, code, fields, body)

    def answer(self, item, *_defaults, body=b"") -> None:
        """Answer a frame by the state of this scorer, whatever code and fields were the defaults."""
        _, frame = item
        if frame.code == scorer_frames.RUN:
            self._answer_run(item, body)
        else:
            self._answer_order(item)

    def _answer_run(self, item, body: bytes) -> None:
        function = item[1].fields["obj"]
        if self.drained_s is not None or self.is_full:
            self._answer_at(0.0, item, scorer_frames.FULL, "")
        elif function not in self.stands and not self._loads_on_miss:
            self._answer_at(0.0, item, scorer_frames.MISS, "")
        else:
            warmth = "reused" if function in self.stands else "init"
            self.stands.add(function)
            call = item[1].id.hex()
            self.runs_by_id[call] = self.runs_by_id.get(call, 0) + 1
            self._answer_at(0.0, item, scorer_frames.OK, f"res={warmth}", body)

    def _answer_order(self, item) -> None:
        function, wanted = item[1].fields["obj"], int(item[1].fields["slots_up"])
        is_rejected = self.drained_s is not None or (self.is_full and wanted > 0)
        if wanted and not is_rejected:
            self.stands.add(function)
        code = scorer_frames.FULL if is_rejected else scorer_frames.OK
        fields = f"slots_up={self.copies * (function in self.stands)}"
        delay_s = 0.0 if wanted else self.query_delay_s
        self._answer_at(time.monotonic() + delay_s, item, code, fields)

    def _answer_at(self, due_s: float, item, code: int, fields: str, body: bytes = b"") -> None:
        """Answer at a time, or later where it hangs until then."""
        due_s = max(due_s, self.hangs_until_s)
        self._late_answers.append((due_s, item, code, fields, body))

    def _write(self, item, code: int, fields: str, body: bytes = b"") -> None:
        link, frame = item
        data = scorer_frames.encode(code, frame.id, fields, body, scorer_frames.FROM_SCORER)
        if not link.ended:
            self.outboxes.setdefault(link, bytearray()).extend(data)

    def new_work_in(self, drain: Drain, after_s: float) -> list[float]:
        """Seconds after a drain of new work that came later than `after_s` after it."""
        found = [at_s - drain.since_s for at_s in self.new_work_s if at_s < drain.until_s]
        return [span_s for span_s in found if span_s > after_s]
