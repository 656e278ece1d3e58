"""The reference model of the randomized simulation: the consensus log, and the invariants of a rollout."""

from collections.abc import Iterable

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import Document, parse_register
from fawnwharf.policy_rollout.simulation_types import SimulatedMember


class ReferenceModel:
    """Owns the history of decisions and the first violation of an invariant."""

    def __init__(self) -> None:
        self.log = ""  # the decided register; empty before the first decision
        self.pending = ""  # the register that is proposed to the log but not decided; empty: none
        self.term = 0
        self.leader = ""  # the name of the member that holds the read lease; empty: none
        self.violation = ""
        self._decided = {0: Document().digest}  # digest of each decided document, by number
        self._opened: dict[int, int] = {}  # number of the open proposal, by term

    def violated(self, what: str) -> None:
        """Record a violation if it is the first."""
        self.violation = self.violation or what

    def last_number(self) -> int:
        """The document number that was decided last."""
        return parse_register(self.log).last.number

    def commit(self) -> None:
        """Decide the register that was proposed to the log."""
        last = parse_register(self.pending).last
        if self._decided.setdefault(last.number, last.digest) != last.digest:
            self.violated(f"two documents with the number {last.number}")
        self.log = self.pending
        self.pending = ""

    def check_no_pending(self) -> None:
        """Check that no other register is proposed to the log already."""
        if self.pending:
            self.violated("two registers are proposed to the log at once")

    def check_proposed(self, number: int, lease_members: Iterable[SimulatedMember]) -> None:
        """Check that all members with a lease have prepared the document that is proposed to the log."""
        for member in lease_members:
            prepared = member.holder.prepared if member.holder else None
            if prepared is None or prepared.number != number:
                self.violated(f"{number} is proposed to the log while {member.name}, with a lease, lacks it")

    def check_sent(self, sender: SimulatedMember, message: m.Message) -> None:
        """Check a coordinator's message against the open proposals and the decisions."""
        term = sender.coordinator.term if sender.coordinator else 0
        match message:
            case m.Prepare():
                opened = self._opened.setdefault(term, message.number)
                if opened != message.number:
                    self.violated(f"two open proposals in one term: {opened} and {message.number}")
            case m.Decided():
                self._opened.pop(term, None)
            case m.Abort():
                self._opened.pop(term, None)
                decided = {parse_register(text).last.number for text in (self.pending, self.log) if text}
                if sender.name == self.leader and message.number in decided:
                    self.violated(f"{message.number} is aborted after its decision")

    def check_members(self, members: Iterable[SimulatedMember], lease_members: set[str]) -> None:
        """Check the documents that all members apply now; `lease_members` names those with a lease."""
        numbers = set()
        for member in members:
            if member.holder is None:
                continue
            last = member.holder.register.last
            if member.holder.ready and last.number < member.min_number:
                self.violated(
                    f"{member.name} is ready with {last.number}, but {member.min_number} was decided"
                )
            if member.name in lease_members:
                numbers.add(last.number)
                if self._decided.get(last.number) != last.digest:
                    self.violated(f"{member.name} applies a document {last.number} that was not decided")
        if len(numbers) > 1:
            self.violated(f"several documents are leased at once: {sorted(numbers)}")
