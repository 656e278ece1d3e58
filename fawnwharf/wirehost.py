"""The adapter: JSON lines on standard input to events, actions to JSON lines on standard output.

Translation only; every decision is in fawnwharf.policy. Run as ``python -m fawnwharf.wirehost``.
"""

import gc
import json
import sys
import traceback
from typing import Any, TextIO

from fawnwharf import interface as io
from fawnwharf.config import settings_from
from fawnwharf.policy import Router

ENDINGS = {ending.value: ending for ending in io.AttemptResult}


class BadBatch(ValueError):
    """A line that is no valid batch; the text names what is wrong."""


def entry_from(entry: dict[str, Any]) -> io.ScorerEntry:
    units = entry.get("units")
    return io.ScorerEntry(
        scorer=entry["worker"],
        state=io.ScorerState(entry.get("state") or io.ScorerState.READY),
        kind=entry.get("family_type") or "",
        zone=entry.get("hall") or "",
        cell=entry.get("stripe") or 0,
        units=1.0 if units is None else units,
        up_since_ms=entry.get("up_since") or None,
    )


def roster_from(body: dict[str, Any]) -> io.RosterChanged | None:
    kind = body.get("kind") or 0
    if kind == 3:  # the call failed: the prior list stays in effect
        return None
    entries = [entry_from(entry) for entry in body.get("entries") or []]
    return io.RosterChanged(entries, complete=kind in (1, 2))


def request_from(body: dict[str, Any]) -> io.RequestArrived:
    return io.RequestArrived(
        request=body["tid"],
        function=body.get("fn") or "",
        class_name=body.get("service") or "",
        tenant=str(body.get("billing") or ""),
        budget_ms=body.get("time_budget") or 0.0,
        lanes=body.get("per_copy") or 1,
        memory_mb=body.get("mem_mb"),
        load_ms=body.get("load_ms"),
        hint_ms=body.get("hint") if (body.get("bitmap") or 0) & 1 else None,
    )


def attempt_from(body: dict[str, Any]) -> io.AttemptEnded:
    remark = body.get("remark")
    return io.AttemptEnded(
        request=body["tid"],
        attempt=body.get("try") or 0,
        scorer=body.get("worker") or 0,
        result=ENDINGS[body["ending"]],
        took_ms=body.get("took") or 0.0,
        closed=bool(body.get("ended")),
        warmth=io.Warmth((remark or 0) & 7),
        reported_concurrency=None if remark is None else remark >> 3,
        report=body.get("health_info"),
    )


def order_from(body: dict[str, Any]) -> io.LoadOrderAnswered:
    return io.LoadOrderAnswered(
        scorer=body["worker"],
        function=body["fn"],
        result=ENDINGS[body["ending"]],
        copies=body.get("how_many") or 0,
        took_ms=body.get("took") or 0.0,
    )


READERS = {
    "TARGETS": roster_from,
    "NEW_REQUEST": request_from,
    "HANGUP": lambda body: io.RequestCancelled(body["tid"]),
    "RESOLVED": attempt_from,
    "RESIDENT": order_from,
    "DEADLINE_HIT": lambda body: io.TimerDue(body["handle"]),
}

WRITERS = {
    io.Send: lambda a: {"ATTEMPT": {"tid": a.request, "worker": a.scorer}},
    io.Cancel: lambda a: {"STOP_ATTEMPT": {"tid": a.request, "try": a.attempt}},
    io.Reject: lambda a: {"SAY_NO": {"tid": a.request, "hold_off": a.hold_off_ms}},
    io.Fail: lambda a: {"ERROR": {"tid": a.request}},
    io.OrderCopies: lambda a: {"MOUNT": {"worker": a.scorer, "fn": a.function, "how_many": a.copies}},
    io.SetTimer: lambda a: {"NOTIFY_ME": {"sleep_for": a.delay_ms, "handle": a.token}},
    io.Log: lambda a: {"LOG": {"body_text": a.text}},
}


class Host:
    """One Router for each instance; they share nothing."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def answer(self, line: str) -> str:
        """The reply to one line of input."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise BadBatch(f"not JSON: {error}") from None
        if not isinstance(batch, dict) or not isinstance(batch.get("wall"), int | float):
            raise BadBatch("a batch is an object with a number 'wall'")
        if not isinstance(batch.get("ends"), list):
            raise BadBatch("a batch has an array 'ends'")
        ends = []
        for end in batch["ends"]:
            if not isinstance(end, dict) or "who" not in end or not isinstance(end.get("inbox"), list):
                raise BadBatch("an element of 'ends' has 'who' and an array 'inbox'")
            steps = self._serve(end["who"], batch["wall"], end["inbox"])
            if steps:
                ends.append({"who": end["who"], "steps": steps})
        return json.dumps({"ends": ends}, separators=(",", ":"))

    def _serve(self, who: int, now_ms: float, inbox: list[Any]) -> list[dict[str, Any]]:
        steps: list[dict[str, Any]] = []
        events: list[io.Event] = []
        for message in inbox:
            if not isinstance(message, dict) or len(message) != 1:
                raise BadBatch(f"an event is an object with one name: {json.dumps(message)[:80]}")
            [(name, body)] = message.items()
            if name in ("ATTACH", "POWER_OFF"):
                steps += self._handle(who, now_ms, events)
                events = []
                self.routers.pop(who, None)
            try:
                if name == "ATTACH":
                    self.routers[who] = Router(settings_from(body.get("config") or {}), body["init_seed"])
                elif name in READERS and (event := READERS[name](body)) is not None:
                    events.append(event)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise BadBatch(f"{name}: {type(error).__name__}: {error}") from None
        return steps + self._handle(who, now_ms, events)

    def _handle(self, who: int, now_ms: float, events: list[io.Event]) -> list[dict[str, Any]]:
        if not events or who not in self.routers:
            return []
        try:
            actions = self.routers[who].handle(now_ms, events)
        except Exception as error:  # reported for this instance as the wire provides
            place = traceback.extract_tb(error.__traceback__)[-1]
            text = f"{type(error).__name__} in {place.name}, line {place.lineno}: {error}"
            return [{"EXCEPTION": {"body_text": text}}]
        return [WRITERS[type(action)](action) for action in actions]


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    gc.freeze()
    host = Host()
    for line in source:
        try:
            reply = host.answer(line)
        except BadBatch as error:
            print(f"wirehost: {error}", file=sys.stderr)
            return 2
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
