"""What steps wait for: events that the fleet reports, never mere chance."""

from collections.abc import Callable, Iterator
from typing import Any

from fawnwharf.testbed.fleet import Fleet
from fawnwharf.testbed.parties import Parties
from fawnwharf.testbed.processes import Front
from fawnwharf.testbed.proposals import came, stands
from fawnwharf.testbed.scenario import Step, When

Condition = tuple[str, Callable[[], bool]]  # what is waited for, and whether it is so


class Conditions:
    """Waits for the conditions of steps."""

    def __init__(self, fleet: Fleet, parties: Parties) -> None:
        self.fleet, self.parties = fleet, parties
        self.noted = self._began = 0  # how many notes there were as the step before and this one began

    def next_step(self) -> None:
        """Take that the next step begins."""
        self.noted, self._began = self._began, len(self.fleet.notes)

    def wait(self, when: When, what: str = "the start") -> None:
        """Wait until a step's conditions hold; raises LabError where they don't in time."""
        if when.after_s:
            self.fleet.rest(when.after_s)
        if self.fleet.scenario.decide:
            conditions = list(self._conditions(when))
        elif self.fleet.scenario.sessions is not None:
            conditions = self._noted(when)
        else:
            return  # each on its own: there is nothing to wait for but times
        for text, condition in conditions:
            self.fleet.until(condition, f"{text} ({what})", when.within_s)

    def _conditions(self, when: When) -> list[Condition]:
        return [
            *self._of_plans(when),
            *self._of_leaders(when),
            *self._of_voters(when),
            *self._of_policy(when),
            *self._noted(when),
        ]

    def _enough(self, when: When, holds: Callable[[Front], bool]) -> bool:
        """Whether something holds at all front ends that a step waits for, or at half of them."""
        fronts = self.parties.fronts(when.of)
        count = sum(holds(front) for front in fronts)
        return count > 0 and (2 * count >= len(fronts) if when.half else count == len(fronts))

    def _of_plans(self, when: When) -> Iterator[Condition]:
        if (wanted := when.state) is not None:

            def in_state(front: Front) -> bool:
                return front.plan is not None and all(
                    front.plan.get(zone, "").split(" ")[0] == state for zone, state in wanted.items()
                )

            yield f"{wanted} at {when.of}", lambda: self._enough(when, in_state)
        if when.valid is not None:
            holds = lambda front: (front.plan is not None) == when.valid  # noqa: E731
            yield f"a valid plan: {when.valid}", lambda: self._enough(when, holds)

    def _of_leaders(self, when: When) -> Iterator[Condition]:
        if when.leader is not None:
            leads = lambda: any(f.role == "leader" for f in self.parties.fronts("live"))  # noqa: E731
            yield "a leader", lambda: leads() == when.leader
        if when.leader_in is not None:
            zones = lambda: [front.zone for front in self.parties.fronts("leader")]  # noqa: E731
            yield f"a leader in {when.leader_in}", lambda: zones() == [when.leader_in]

    def _of_voters(self, when: When) -> Iterator[Condition]:
        if when.apart is not None:
            apart = lambda front: bool(front.apart) == when.apart  # noqa: E731
            yield f"zones apart: {when.apart}", lambda: self._enough(when, apart)
        if when.voters is not None:
            yield f"{when.voters} voters", lambda: len(self.voters()) == when.voters
        if when.voters_are is not None:
            named = sorted(when.voters_are.split(","))
            yield f"the voters {when.voters_are}", lambda: self.voters() == named

    def _of_policy(self, when: When) -> Iterator[Condition]:
        wanted = when.policy
        if wanted in ("in force", "leased", "strict", "floor", "waiting"):
            holds = lambda front: stands(self.fleet, wanted, front)  # noqa: E731
            yield f"policy {wanted} at {when.of}", lambda: self._enough(when, holds)
        elif wanted is not None:
            text = f"the policy {wanted} {when.why}".rstrip()
            yield text, lambda: came(self.fleet, wanted, when.why)

    def _noted(self, when: When) -> list[Condition]:
        if when.note is None:
            return []
        return [(f"the note {when.note!r}", lambda: self.was_noted(when.note, when.fields, when.times))]

    def wait_for_roles(self, step: Step, what: str) -> None:
        """Wait until there is a leader, where a step is about it: between two leaders it would do nothing."""
        for word in {step.what, step.to} & {"leader", "follower"} if self.fleet.scenario.decide else ():
            self.fleet.until(lambda word=word: self.parties.fronts(word) != [], f"a {word} ({what})")

    def voters(self) -> list[str]:
        """The list of voters that was decided last.

        It need not be the one that was told last: a member that comes late to it, or restarts, tells of
        earlier ones.
        """
        lists = [note.fields for note in self.fleet.notes if note.event == "voters"]
        last = max(lists, key=lambda fields: fields["index"], default={"voters": [""]})
        return sorted(voter.partition("#")[0] for voter in last["voters"])

    def was_noted(self, event: str, fields: dict[str, Any] | None = None, times: int = 1) -> bool:
        """Whether something was logged since the step before began.

        It may have come while that step was in progress. What was decided counts by its index, as others tell
        of the same later.
        """
        before, since = self.fleet.notes[: self.noted], self.fleet.notes[self.noted :]
        known = max((n.fields.get("index", -1) for n in before if n.event == event), default=-1)
        wanted = (fields or {}).items()
        found = [
            n
            for n in since
            if n.event == event and n.fields.get("index", known + 1) > known and wanted <= n.fields.items()
        ]
        if len(found) < times:
            return False
        self.fleet.noted = found[times - 1].front
        return True
