"""Operators' requests on policy in the test bed.

Whom they go to, what steps wait for, what the checker gets.
"""

import subprocess
import sys
from dataclasses import dataclass
from typing import Any

import msgspec

from fawnwharf.net.timer_wheel import monotonic_ms, unix_ms
from fawnwharf.policy_rollout.document import Document, document_from_object
from fawnwharf.testbed.files import write_whole
from fawnwharf.testbed.fleet import Fleet
from fawnwharf.testbed.policy import Found, Judged, Life, epochs, told_ms, trace_of, words_of
from fawnwharf.testbed.processes import Front, LabError, Noted
from fawnwharf.testbed.topology import KINDS

HELD_MS = 100.0  # waited for a processor: a call that lasts too long then is the machine's doing
TRACED_MS = 1_000.0  # after its end a call stands in the trace, on a busy machine


@dataclass(frozen=True, slots=True)
class Proposed:
    """The last request of an operator."""

    at_ms: float  # when it was given
    notes: int  # how many there were
    document: Document
    above: int  # its number is larger than this one


@dataclass(slots=True)
class Change:
    """A rollout by the log lines; milliseconds from when the request was taken, None for what never came."""

    number: int
    taken_ms: float  # Unix time
    prepare_ms: float
    decided_ms: float | None = None
    ended_ms: float | None = None
    in_force_ms: float | None = None
    leased_ms: float | None = None  # by the last of those that had a lease of an earlier one and live on


class Proposals:
    """Makes operators' requests by the command line, as operators do."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def propose(self, front: Front, document: dict[str, Any]) -> None:
        """Propose a document."""
        path = front.folder / "proposed.json"
        write_whole(path, {"version": 1, **document})
        self._noted(document_from_object({"version": 1, **document}))
        self._say(front, "propose", path.name)

    def back(self, front: Front) -> None:
        """Ask for the policy before the one in force."""
        decided = {n.fields["number"]: n.fields["digest"] for n in self.fleet.notes if n.event == "decided"}
        before = decided[sorted(decided)[-2]] if len(decided) > 1 else Document().digest
        known = [Document(), *(proposed.document for proposed in self.fleet.proposed)]
        self._noted(next(document for document in known if document.digest == before))
        self._say(front, "back")

    def call_off(self, front: Front) -> None:
        """Ask for the end of what is being prepared."""
        self._say(front, "call-off")

    def _noted(self, document: Document) -> None:
        above = max((front.policy[0] for front in self.fleet.fronts.values() if front.policy), default=0)
        self.fleet.proposed.append(Proposed(monotonic_ms(), len(self.fleet.notes), document, above))

    def _say(self, front: Front, *words: str) -> None:
        command = [sys.executable, "-m", "fawnwharf", "policy", *words, "--zones", "zones.json"]
        said = subprocess.Popen(
            command, cwd=front.folder, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE, text=True
        )
        try:
            self.fleet.until(lambda: said.poll() is not None, f"policy {words[0]} at {front.name}")
        finally:
            said.kill()
            _, complaint = said.communicate()
        if said.returncode:
            raise LabError(f"policy {words[0]} at {front.name}: {complaint.strip()}")


# --- what steps wait for ------------------------------------------------------------------------


def stands(fleet: Fleet, what: str, front: Front) -> bool:
    """Whether a front end goes by the last proposal (`in force`), or how it goes by whatever it has."""
    if front.policy is None:
        return False
    number, digest, how = front.policy
    if what != "in force":
        return how == what
    last = fleet.proposed[-1]
    return how == "leased" and digest == last.document.digest and number > last.above


def came(fleet: Fleet, what: str, why: str = "") -> bool:
    """Whether a coordinator logged this of the last proposal.

    One of `prepare`, `decided`, `ended`, `over` for one of these two; or `refused`, of any request since.
    `why` is to be part of its cause.
    """
    said = {"over": ("decided", "ended"), "refused": ("rejected",)}.get(what, (what,))
    last = fleet.proposed[-1]
    notes, mine = fleet.notes[last.notes :], set[int]()
    for note in notes:
        if note.event in ("prepare", "decided") and note.fields.get("digest") == last.document.digest:
            mine.add(note.fields["number"])
        about = what == "refused" or note.fields.get("number") in mine
        if note.event in said and about and why in str(note.fields.get("reason", "")):
            return True
    return False


# --- what became of it --------------------------------------------------------------------------


def changes(notes: list[Noted], live: set[str]) -> list[Change]:
    """Each rollout that was prepared, by the front ends' own times; `live` are those that live at the end."""
    found: list[Change] = []
    taken_ms = 0.0
    held: dict[str, int] = {}  # the number that each has a lease for
    for at_ms, note in sorted(((told_ms(note, 0.0), note) for note in notes), key=lambda one: one[0]):
        number = note.fields.get("number", -1)
        mine = next((change for change in reversed(found) if change.number == number), None)
        if note.event == "proposal taken":
            taken_ms = at_ms
        elif note.event == "policy on":
            held.pop(note.front, None)
        elif note.event == "prepare":
            found.append(Change(number, taken_ms, at_ms - taken_ms))
        elif note.event == "policy" and note.fields.get("how") == "leased":
            if mine and note.front in live and held.get(note.front, number) != number:
                mine.leased_ms = at_ms - mine.taken_ms
            held[note.front] = number
        elif mine and note.event == "decided" and mine.decided_ms is None:
            mine.decided_ms = at_ms - mine.taken_ms
        elif mine and note.event == "ended":
            mine.ended_ms = at_ms - mine.taken_ms
        elif mine and note.event == "in force" and mine.in_force_ms is None:
            mine.in_force_ms = at_ms - mine.taken_ms
    return found


def lives_of(fleet: Fleet) -> list[Life]:
    """The incarnations of all front ends, with their traces."""
    found = []
    for front in fleet.fronts.values():
        for since_ms, path in front.traces:
            if path.exists():
                calls, bad = trace_of(path.read_bytes())
                if fleet.clocks.spec is not None:
                    calls = [_truly(fleet, front.name, call) for call in calls]
                found.append(Life(front.name, since_ms, calls, bad))
    return found


def _truly(fleet: Fleet, front: str, call: Judged) -> Judged:
    """By true times, whatever the clocks there told."""
    taken_ms, ended_ms = (fleet.clocks.true_ms(front, ms) for ms in (call.taken_ms, call.ended_ms))
    return msgspec.structs.replace(call, taken_ms=taken_ms, ended_ms=ended_ms)


def judged(fleet: Fleet) -> Found:
    """Check the rules on epochs, and that each call that was answered is in a trace."""
    lives, less = lives_of(fleet), unix_ms() - monotonic_ms()
    tries = [attempt for request in fleet.clients.requests for attempt in request.tries]
    accepted = frozenset((t.front, t.call_id) for t in tries if t.outcome in ("served", "failed"))
    found = epochs(lives, words_of(fleet.notes, less), _Limits(fleet, less, lives), accepted)
    traced = {(life.front, call.call) for life in lives for call in life.calls}
    for attempt in tries:
        until_ms = min(attempt.ended_ms + TRACED_MS, monotonic_ms())
        if attempt.answers and fleet.fronts[attempt.front].well(attempt.sent_ms, until_ms):
            found.checked["in a trace"] += 1
            if (attempt.front, attempt.call_id) not in traced:
                found.broken.append(f"epochs: {attempt.call_id} of {attempt.front} is in no trace")
    return found


class _Limits:
    """How long a call may last by the epoch by which it was judged; the lab knows who asked for what."""

    def __init__(self, fleet: Fleet, less_ms: float, lives: list[Life]) -> None:
        self.fleet, self.less_ms = fleet, less_ms
        known = [Document(), *(proposed.document for proposed in fleet.proposed)]
        self.documents = {document.digest: document for document in known}
        self.numbers: dict[int, set[str]] = {0: {Document().digest}}
        for note in fleet.notes:
            if note.event in ("prepare", "decided"):
                self.numbers.setdefault(note.fields["number"], set()).add(note.fields["digest"])
        self.front = {call.call: life.front for life in lives for call in life.calls}

    def __call__(self, call: Judged) -> float | None:
        """Between two epochs the stricter time counts, which is no longer than the later one's."""
        request = self.fleet.clients.by_call.get(call.call)
        front = self.fleet.fronts[self.front[call.call]]
        stretch = call.taken_ms - self.less_ms, call.ended_ms - self.less_ms
        stopped = any(since <= stretch[1] and stretch[0] <= until for since, until in front.halts)
        if request is None or stopped or front.waits.between(*stretch) > HELD_MS:
            return None
        digests = {call.digest} if call.how == "leased" else self.numbers.get(call.number, set())
        if not digests or not digests <= self.documents.keys():
            return None
        usual = {kind.name: kind.give_up_ms for kind in KINDS}[request.kind.name]
        path = "classes", request.kind.name, "give_up_ms"
        times = [self.documents[digest].value(*path) or usual for digest in digests]
        return float(max(times))
