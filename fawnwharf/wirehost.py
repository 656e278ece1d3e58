"""The adapter: JSON lines on standard input to events, actions to JSON lines on standard output.

Translation only; every decision is in fawnwharf.policy. Names in quotes are those of the wire. Run as
``python -m fawnwharf.wirehost``.
"""

import gc
import json
import sys
import traceback
from collections.abc import Callable
from typing import Any, TextIO

from fawnwharf import interface as io
from fawnwharf.config import settings_from
from fawnwharf.policy import Router

RESULTS = {result.value: result for result in io.AttemptResult}
LIST_UNCHANGED = 3  # "kind" of a roster message whose query failed: the prior list stays in effect
COMPLETE_LISTS = (1, 2)  # "kind" of the messages that list all scorers


class BatchError(ValueError):
    """A line that is no valid batch; the text names what is wrong."""


def entry_from(entry: dict[str, Any]) -> io.ScorerEntry:
    """One scorer of a roster message."""
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
    """The event of a roster message; None where its query failed."""
    kind = body.get("kind") or 0
    if kind == LIST_UNCHANGED:
        return None
    entries = [entry_from(entry) for entry in body.get("entries") or []]
    return io.RosterChanged(entries, complete=kind in COMPLETE_LISTS)


def request_from(body: dict[str, Any]) -> io.RequestArrived:
    """The event of a new request."""
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
    """The event of an attempt that ended.

    The remark holds the warmth in its lowest three bits and the reported concurrency above them.
    """
    remark = body.get("remark")
    return io.AttemptEnded(
        request=body["tid"],
        attempt=body.get("try") or 0,
        scorer=body.get("worker") or 0,
        result=RESULTS[body["ending"]],
        took_ms=body.get("took") or 0.0,
        closed=bool(body.get("ended")),
        warmth=io.Warmth((remark or 0) & 7),
        reported_concurrency=None if remark is None else remark >> 3,
        report=body.get("health_info"),
    )


def order_from(body: dict[str, Any]) -> io.LoadOrderAnswered:
    """The event of a load order or probe that ended."""
    return io.LoadOrderAnswered(
        scorer=body["worker"],
        function=body["fn"],
        result=RESULTS[body["ending"]],
        copies=body.get("how_many") or 0,
        took_ms=body.get("took") or 0.0,
    )


READERS: dict[str, Callable[[dict[str, Any]], io.Event | None]] = {
    "TARGETS": roster_from,
    "NEW_REQUEST": request_from,
    "HANGUP": lambda body: io.RequestCancelled(body["tid"]),
    "RESOLVED": attempt_from,
    "RESIDENT": order_from,
    "DEADLINE_HIT": lambda body: io.TimerDue(body["handle"]),
}

WRITERS: dict[type[io.Action], Callable[[Any], dict[str, Any]]] = {
    io.Send: lambda action: {"ATTEMPT": {"tid": action.request, "worker": action.scorer}},
    io.Cancel: lambda action: {"STOP_ATTEMPT": {"tid": action.request, "try": action.attempt}},
    io.Reject: lambda action: {"SAY_NO": {"tid": action.request, "hold_off": action.hold_off_ms}},
    io.Fail: lambda action: {"ERROR": {"tid": action.request}},
    io.OrderCopies: lambda action: {
        "MOUNT": {"worker": action.scorer, "fn": action.function, "how_many": action.copies}
    },
    io.SetTimer: lambda action: {"NOTIFY_ME": {"sleep_for": action.delay_ms, "handle": action.token}},
    io.Log: lambda action: {"LOG": {"body_text": action.text}},
}


class Host:
    """One Router for each instance; they share nothing."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def answer(self, line: str) -> str:
        """The reply to one line of input; raises `BatchError` if it is no valid batch."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise BatchError(f"not JSON: {error}") from None
        if not isinstance(batch, dict) or not isinstance(batch.get("wall"), int | float):
            raise BatchError("a batch is an object with a number 'wall'")
        if not isinstance(batch.get("ends"), list):
            raise BatchError("a batch has an array 'ends'")
        replies = []
        for end in batch["ends"]:
            if not isinstance(end, dict) or "who" not in end or not isinstance(end.get("inbox"), list):
                raise BatchError("an element of 'ends' has 'who' and an array 'inbox'")
            steps = self._take_messages(end["who"], batch["wall"], end["inbox"])
            if steps:
                replies.append({"who": end["who"], "steps": steps})
        return json.dumps({"ends": replies}, separators=(",", ":"))

    def _take_messages(self, instance: int, now_ms: float, inbox: list[Any]) -> list[dict[str, Any]]:
        """Take the messages to an instance in their order; the actions, as the wire has them."""
        steps: list[dict[str, Any]] = []
        events: list[io.Event] = []
        for message in inbox:
            if not isinstance(message, dict) or len(message) != 1:
                raise BatchError(f"an event is an object with one name: {json.dumps(message)[:80]}")
            [(name, body)] = message.items()
            if name in ("ATTACH", "POWER_OFF"):
                # The events before it are those of the router that ends here.
                steps += self._handle(instance, now_ms, events)
                events = []
                self.routers.pop(instance, None)
            try:
                if name == "ATTACH":
                    self.routers[instance] = Router(
                        settings_from(body.get("config") or {}), body["init_seed"]
                    )
                elif name in READERS and (event := READERS[name](body)) is not None:
                    events.append(event)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise BatchError(f"{name}: {type(error).__name__}: {error}") from None
        return steps + self._handle(instance, now_ms, events)

    def _handle(self, instance: int, now_ms: float, events: list[io.Event]) -> list[dict[str, Any]]:
        """Let an instance's router take events; the actions, as the wire has them."""
        if not events or instance not in self.routers:
            return []
        try:
            actions = self.routers[instance].handle(now_ms, events)
        except Exception as error:  # reported for this instance alone, as the wire provides
            frame = traceback.extract_tb(error.__traceback__)[-1]
            text = f"{type(error).__name__} in {frame.name}, line {frame.lineno}: {error}"
            return [{"EXCEPTION": {"body_text": text}}]
        return [WRITERS[type(action)](action) for action in actions]


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Answer line by line until the input ends; returns the exit status, 2 after an invalid line."""
    gc.freeze()
    host = Host()
    for line in source:
        try:
            reply = host.answer(line)
        except BatchError as error:
            print(f"wirehost: {error}", file=sys.stderr)
            return 2
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
