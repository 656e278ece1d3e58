"""Calls as they are judged: stands before the table of requests, or before the gate, where there is one.

A call gets the policy of the moment at which it is taken, and keeps it to its final answer, whatever comes;
it waits for no longer than that gives up.
The module judges by its class as it stands when the call reaches it; a call that waited at the gate through a
change is handed over between two words on its class, its own and the present one.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from fawnwharf import interface as io
from fawnwharf.epochs.document import Document
from fawnwharf.epochs.messages import InForce
from fawnwharf.net.requests import Call, Outcome


class Taking(Protocol):
    """What takes calls and withdraws them: the table, or what stands before it."""

    def take(self, call: Call) -> str | None: ...

    def withdraw(self, key: str) -> None: ...


@dataclass(slots=True, eq=False)
class _Taken:
    id: bytes
    by: InForce
    taken_ms: float
    number: str
    key: str | None = None
    over: bool = False


class Judged:
    """Owns what is known of each call that is open here, from taken to its end."""

    def __init__(
        self,
        below: Taking,
        take: Callable[[str], InForce],
        done: Callable[[str], None],
        ended: Callable[[bytes, InForce, float], None],
        unix_ms: Callable[[], float],
    ) -> None:
        """`take` and `done` are the holder's; `ended` gets the call's id, its policy, when taken."""
        self.below = below
        self._take, self._done, self._told, self._unix_ms = take, done, ended, unix_ms
        self._open: dict[str, _Taken] = {}
        self._number = 0
        self._by: InForce | None = None  # of the last call
        self._give_up: dict[str, float | None] = {}  # by class, as that has it

    def __len__(self) -> int:
        return len(self._open)

    def take(self, call: Call) -> str | None:
        """As RequestTable.take."""
        self._number += 1
        number, now_ms = f"p{self._number}", self._unix_ms()
        by = call.judged = self._take(number)
        if by is not self._by:
            classes = by.document.nested().get("classes", {})
            self._by, self._give_up = by, {name: told.get("give_up_ms") for name, told in classes.items()}
        if (most_ms := self._give_up.get(call.class_name)) is not None:
            call.budget_ms = min(call.budget_ms, most_ms)
        taken = _Taken(call.id, by, now_ms, number)
        reply = call.reply

        def replied(outcome: Outcome) -> None:
            self._end(taken)
            reply(outcome)

        call.reply = replied
        taken.key = self.below.take(call)
        if taken.key is None:
            self._end(taken)
        elif not taken.over:
            self._open[taken.key] = taken
        return taken.key

    def withdraw(self, key: str) -> None:
        if taken := self._open.get(key):
            self._end(taken)
        self.below.withdraw(key)

    def _end(self, taken: _Taken) -> None:
        if taken.over:
            return
        taken.over = True
        if taken.key is not None:
            self._open.pop(taken.key, None)
        self._done(taken.number)
        self._told(taken.id, taken.by, taken.taken_ms)


def spec_of(base: io.ClassSpec, document: Document) -> io.ClassSpec:
    """A class as the policy has it, over the settings."""
    promise, give_up = (document.value("classes", base.name, key) for key in ("promise_ms", "give_up_ms"))
    return io.ClassSpec(
        name=base.name,
        promise_ms=base.promise_ms if promise is None else float(promise),
        give_up_ms=base.give_up_ms if give_up is None else float(give_up),
        effect=base.effect,
        group=base.group,
        dedup_window_ms=base.dedup_window_ms,
        worth=base.worth,
        late_share=base.late_share,
    )


def handed_over(
    events: list[io.Event],
    classes: dict[str, io.ClassSpec],
    own: Callable[[io.RequestArrived], io.ClassSpec | None],
) -> list[io.Event]:
    """The batch, with each call that is judged by an older word on its class between that word and the one
    that the module goes by. `classes` is what that goes by, and is kept up to date; `own` gives the class as
    the call has it, None where that is not known."""
    found: list[io.Event] = []
    for event in events:
        if isinstance(event, io.ClassChanged):
            classes[event.spec.name] = event.spec
        elif isinstance(event, io.RequestArrived) and (spec := own(event)) is not None:
            present = classes.get(event.class_name)
            if present is not None and spec != present:
                found += [io.ClassChanged(spec), event, io.ClassChanged(present)]
                continue
        found.append(event)
    return found
