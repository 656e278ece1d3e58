"""What steps wait for: events that the fleet reports, never mere chance."""

from collections.abc import Callable
from typing import Any

from fawnwharf.lab.fleet import Fleet
from fawnwharf.lab.parties import Parties
from fawnwharf.lab.processes import Front
from fawnwharf.lab.proposals import came, stands
from fawnwharf.lab.scenario import Step, When


class Conditions:
    """Waits for the conditions of steps."""

    def __init__(self, fleet: Fleet, parties: Parties) -> None:
        self.fleet, self.parties = fleet, parties
        self.noted = self._began = 0  # how many notes there were as the step before and this one began

    def next_step(self) -> None:
        """Take that the next step begins."""
        self.noted, self._began = self._began, len(self.fleet.notes)

    def wait(self, when: When, what: str = "the start") -> None:
        """Wait until a step's conditions hold; raises LabFault where they don't in time."""
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

    def _conditions(self, when: When) -> list[tuple[str, Callable[[], bool]]]:
        found: list[tuple[str, Callable[[], bool]]] = []

        def enough(holds: Callable[[Front], bool]) -> bool:
            fronts = self.parties.fronts(when.of)
            count = sum(holds(front) for front in fronts)
            return count > 0 and (2 * count >= len(fronts) if when.half else count == len(fronts))

        if when.state is not None:
            wanted = when.state

            def in_state(front: Front) -> bool:
                return front.plan is not None and all(
                    front.plan.get(zone, "").split(" ")[0] == state for zone, state in wanted.items()
                )

            found.append((f"{wanted} at {when.of}", lambda: enough(in_state)))
        if when.valid is not None:
            found.append(
                (f"a valid plan: {when.valid}", lambda: enough(lambda f: (f.plan is not None) == when.valid))
            )
        if when.leader is not None:
            found.append(
                (
                    "a leader",
                    lambda: any(f.role == "leader" for f in self.parties.fronts("live")) == when.leader,
                )
            )
        if when.leader_in is not None:
            found.append(
                (
                    f"a leader in {when.leader_in}",
                    lambda: [f.zone for f in self.parties.fronts("leader")] == [when.leader_in],
                )
            )
        if when.apart is not None:
            found.append(
                (f"zones apart: {when.apart}", lambda: enough(lambda f: bool(f.apart) == when.apart))
            )
        if when.voters is not None:
            found.append((f"{when.voters} voters", lambda: len(self.voters()) == when.voters))
        if when.voters_are is not None:
            named = sorted(when.voters_are.split(","))
            found.append((f"the voters {when.voters_are}", lambda: self.voters() == named))
        if (wanted_policy := when.policy) in ("in force", "leased", "strict", "floor", "waiting"):
            text = f"policy {wanted_policy} at {when.of}"
            found.append((text, lambda: enough(lambda f: stands(self.fleet, wanted_policy, f))))
        elif wanted_policy is not None:
            text = f"the policy {wanted_policy} {when.why}".rstrip()
            found.append((text, lambda: came(self.fleet, wanted_policy, when.why)))
        return found + self._noted(when)

    def _noted(self, when: When) -> list[tuple[str, Callable[[], bool]]]:
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
