"""The reference model of the randomized simulation: the consensus log, and the invariants of a rollout."""

from collections.abc import Iterable

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import Document, parse_register
from fawnwharf.policy_rollout.simulation_types import SimulatedMember


class ReferenceModel:
    """Owns all that was ever decided, and the first invariant that was violated."""

    def __init__(self) -> None:
        self.log = ""  # the register in the log
        self.pending = ""  # what is proposed to the log
        self.term = 0
        self.leader = ""  # the name of the member that leads for certain; "": none
        self.violation = ""
        self._decided = {0: Document().digest}  # by number
        self._opened: dict[int, int] = {}  # by term: the number that was begun and not ended

    def violated(self, what: str) -> None:
        """Note a violation, if it is the first."""
        self.violation = self.violation or what

    def last_number(self) -> int:
        """The number that was decided last."""
        return parse_register(self.log).last.number

    def commit(self) -> None:
        """Decide what was proposed to the log."""
        last = parse_register(self.pending).last
        if self._decided.setdefault(last.number, last.digest) != last.digest:
            self.violated(f"two documents with the number {last.number}")
        self.log = self.pending
        self.pending = ""

    def check_no_pending(self) -> None:
        """Check that nothing is proposed to the log at this moment."""
        if self.pending:
            self.violated("two numbers at once put to the vote")

    def check_proposed(self, number: int, acting: Iterable[SimulatedMember]) -> None:
        """Check that all who act under a lease know of a number that is proposed to the log."""
        for member in acting:
            prepared = member.holder.prepared if member.holder else None
            if prepared is None or prepared.number != number:
                self.violated(f"{number} is put to the vote, and {member.name} acts on without knowing of it")

    def check_sent(self, sender: SimulatedMember, message: m.Message) -> None:
        """Check a coordinator's message against what was begun and decided."""
        term = sender.coordinator.term if sender.coordinator else 0
        match message:
            case m.Prepare():
                opened = self._opened.setdefault(term, message.number)
                if opened != message.number:
                    self.violated(f"two numbers at once: {opened} and {message.number}")
            case m.Decided():
                self._opened.pop(term, None)
            case m.Abort():
                self._opened.pop(term, None)
                decided = {parse_register(text).last.number for text in (self.pending, self.log) if text}
                if sender.name == self.leader and message.number in decided:
                    self.violated(f"{message.number} is ended after its decision")

    def check_members(self, members: Iterable[SimulatedMember], acting: set[str]) -> None:
        """Check what all members use at one moment; `acting` names those that have a lease."""
        numbers = set()
        for member in members:
            if member.holder is None:
                continue
            last = member.holder.register.last
            if member.holder.ready and last.number < member.min_number:
                self.violated(f"{member.name} came up in {last.number}, and {member.min_number} was decided")
            if member.name in acting:
                numbers.add(last.number)
                if self._decided.get(last.number) != last.digest:
                    self.violated(f"{member.name} acts by {last.number}, which was not decided so")
        if len(numbers) > 1:
            self.violated(f"in force at once: {sorted(numbers)}")
