"""The simulator's adapter: decodes events from standard input and encodes actions to standard output.

Both are JSON lines. The adapter only translates; fawnwharf.policy makes all decisions. Names in quotes are
those of the simulator's protocol. Run it as ``python -m fawnwharf.wirehost``.
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
LIST_UNCHANGED = 3  # "kind" of a roster message whose query failed: the previous list stays in effect
COMPLETE_LISTS = (1, 2)  # "kind" of roster messages that list all scorers
HAS_HINT = 1  # bit of "bitmap": the message's "hint" is valid
WARMTH_BITS = 3  # lowest bits of "remark", which hold the warmth; the reported concurrency is above them
WARMTH_MASK = 7


class BatchError(ValueError):
    """A line is not a valid batch; the text says why."""


def scorer_entry_from(entry: dict[str, Any]) -> io.ScorerEntry:
    """Converts one scorer of a roster message."""
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


def roster_changed_from(body: dict[str, Any]) -> io.RosterChanged | None:
    """Converts a roster message; None if its query failed."""
    kind = body.get("kind") or 0
    if kind == LIST_UNCHANGED:
        return None
    entries = [scorer_entry_from(entry) for entry in body.get("entries") or []]
    return io.RosterChanged(entries, complete=kind in COMPLETE_LISTS)


def request_arrived_from(body: dict[str, Any]) -> io.RequestArrived:
    """Converts a new request."""
    return io.RequestArrived(
        request=body["tid"],
        function=body.get("fn") or "",
        class_name=body.get("service") or "",
        tenant=str(body.get("billing") or ""),
        budget_ms=body.get("time_budget") or 0.0,
        lanes=body.get("per_copy") or 1,
        memory_mb=body.get("mem_mb"),
        load_ms=body.get("load_ms"),
        hint_ms=body.get("hint") if (body.get("bitmap") or 0) & HAS_HINT else None,
    )


def attempt_ended_from(body: dict[str, Any]) -> io.AttemptEnded:
    """Converts the end of an attempt."""
    remark = body.get("remark")
    return io.AttemptEnded(
        request=body["tid"],
        attempt=body.get("try") or 0,
        scorer=body.get("worker") or 0,
        result=RESULTS[body["ending"]],
        took_ms=body.get("took") or 0.0,
        closed=bool(body.get("ended")),
        warmth=io.Warmth((remark or 0) & WARMTH_MASK),
        reported_concurrency=None if remark is None else remark >> WARMTH_BITS,
        report=body.get("health_info"),
    )


def load_order_answered_from(body: dict[str, Any]) -> io.LoadOrderAnswered:
    """Converts the answer to a load order or a probe."""
    return io.LoadOrderAnswered(
        scorer=body["worker"],
        function=body["fn"],
        result=RESULTS[body["ending"]],
        copies=body.get("how_many") or 0,
        took_ms=body.get("took") or 0.0,
    )


EVENT_DECODERS: dict[str, Callable[[dict[str, Any]], io.Event | None]] = {
    "TARGETS": roster_changed_from,
    "NEW_REQUEST": request_arrived_from,
    "HANGUP": lambda body: io.RequestCancelled(body["tid"]),
    "RESOLVED": attempt_ended_from,
    "RESIDENT": load_order_answered_from,
    "DEADLINE_HIT": lambda body: io.TimerDue(body["handle"]),
}

ACTION_ENCODERS: dict[type[io.Action], Callable[[Any], dict[str, Any]]] = {
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
    """The simulated front ends: one Router for each instance, without shared state."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def answer(self, line: str) -> str:
        """The reply to one line of input; raises `BatchError` if the line is not a valid batch."""
        try:
            batch = json.loads(line)
        except ValueError as error:
            raise BatchError(f"not JSON: {error}") from None
        if not isinstance(batch, dict) or not isinstance(batch.get("wall"), int | float):
            raise BatchError("a batch must be an object with a number 'wall'")
        if not isinstance(batch.get("ends"), list):
            raise BatchError("a batch must have an array 'ends'")
        replies = []
        for end in batch["ends"]:
            if not isinstance(end, dict) or "who" not in end or not isinstance(end.get("inbox"), list):
                raise BatchError("an element of 'ends' must have 'who' and an array 'inbox'")
            steps = self._handle_messages(end["who"], batch["wall"], end["inbox"])
            if steps:
                replies.append({"who": end["who"], "steps": steps})
        return json.dumps({"ends": replies}, separators=(",", ":"))

    def _handle_messages(self, instance: int, now_ms: float, inbox: list[Any]) -> list[dict[str, Any]]:
        """Processes the messages for an instance in their order; returns the encoded actions."""
        steps: list[dict[str, Any]] = []
        events: list[io.Event] = []
        for message in inbox:
            if not isinstance(message, dict) or len(message) != 1:
                raise BatchError(f"an event must be an object with one name: {json.dumps(message)[:80]}")
            [(name, body)] = message.items()
            if name in ("ATTACH", "POWER_OFF"):
                # Earlier events in this batch belong to the router that ends here.
                steps += self._handle_events(instance, now_ms, events)
                events = []
                self.routers.pop(instance, None)
            try:
                if name == "ATTACH":
                    self.routers[instance] = Router(
                        settings_from(body.get("config") or {}), body["init_seed"]
                    )
                elif name in EVENT_DECODERS and (event := EVENT_DECODERS[name](body)) is not None:
                    events.append(event)
            except (KeyError, TypeError, ValueError, AttributeError) as error:
                raise BatchError(f"{name}: {type(error).__name__}: {error}") from None
        return steps + self._handle_events(instance, now_ms, events)

    def _handle_events(self, instance: int, now_ms: float, events: list[io.Event]) -> list[dict[str, Any]]:
        """Passes events to an instance's router; returns the encoded actions."""
        if not events or instance not in self.routers:
            return []
        try:
            actions = self.routers[instance].handle(now_ms, events)
        except Exception as error:  # the protocol reports it for this instance only
            frame = traceback.extract_tb(error.__traceback__)[-1]
            text = f"{type(error).__name__} in {frame.name}, line {frame.lineno}: {error}"
            return [{"EXCEPTION": {"body_text": text}}]
        return [ACTION_ENCODERS[type(action)](action) for action in actions]


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Answers each input line until the input ends; returns the exit status, 2 after an invalid line."""
    gc.freeze()  # imported objects live as long as the process: garbage collection skips them
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
