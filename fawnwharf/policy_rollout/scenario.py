"""The states of a policy rollout for the model checker.

`ModelState` is frozen, so that states can be compared and hashed. `Scenario` has the same state with live
coordinators and lease holders, which can execute one step.

Clocks differ as much as the skew allows: coordinators' clocks are fast and holders' clocks are slow. One tick
of the model's clock is a third of a holder's lease. Members are interchangeable, so states that differ only
in the names of members are equal.
"""

from dataclasses import dataclass, replace
from typing import Any, NamedTuple, Protocol

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import DeploymentCapabilities, Document, parse_register
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import RolloutCoordinator
from fawnwharf.policy_rollout.rollout_state import LeaseRecord, OpenProposal, ReceivedRequest, RolloutTiming

NAMES = ("a", "b", "c")
TIMING = RolloutTiming(lease_ms=6.0, renew_ms=1.0, prepare_ms=16.0, resend_interval_ms=8.0, skew=1 / 3)
COORDINATOR_TICK_MS = 4.0  # how far a coordinator's clock advances in one tick
HOLDER_TICK_MS = 2.0  # how far a holder's clock advances in one tick
NEVER_MS = 1e9
CAPABILITIES = DeploymentCapabilities(frozenset(), frozenset({"t"}), frozenset())

HOLDER_FIELDS = (
    "incarnation",
    "register",
    "ready",
    "lease",
    "granted_number",
    "prepared",
    "newest_message",
)
COORDINATOR_FIELDS = (
    "term",
    "sequence",
    "register",
    "is_in_force",
    "unknown_leases_until_ms",
    "highest_number",
    "repeat_ms",
)


class Route(NamedTuple):
    """The direction of a message between a member's holder and a coordinator, given by its index."""

    coordinator: int
    to_coordinator: bool


class MessageInFlight(NamedTuple):
    """A message that was sent and may arrive at any later step."""

    route: Route
    message: m.Message


class CoordinatorView(NamedTuple):
    """A coordinator's knowledge of one member."""

    agreed: bool  # the member voted for the open proposal
    lease: LeaseRecord | None
    request: ReceivedRequest | None
    informed: bool
    incarnation: int


class MemberState(NamedTuple):
    """One member's part of a frozen state."""

    holder: tuple[Any, ...]  # the values of the holder's `HOLDER_FIELDS`
    disk: str
    min_number: int  # the document number that the member must know at least when it is ready
    views: tuple[CoordinatorView, ...]  # each coordinator's knowledge of the member
    in_flight: frozenset[MessageInFlight]  # messages to and from the member


class ProposalState(NamedTuple):
    """A coordinator's open proposal, without the votes."""

    document: Document
    sequence: int
    deadline_ms: float
    deciding: bool


class CoordinatorState(NamedTuple):
    """A coordinator's part of a frozen state, without its knowledge of members."""

    fields: tuple[Any, ...]  # the values of the coordinator's `COORDINATOR_FIELDS`
    proposal: ProposalState | None


@dataclass(frozen=True, slots=True)
class ModelState:
    """One frozen state.

    Messages in flight are part of the state of the member they go to or come from, so that members are
    interchangeable.
    """

    members: tuple[MemberState, ...]
    coordinators: tuple[CoordinatorState, ...]
    leader: int = 0  # the index of the coordinator that holds the read lease
    log: str = ""  # the decided register
    pending: str = ""  # the register that is proposed to the log but not decided
    tick: int = 0
    decided: tuple[tuple[int, str], ...] = ((0, Document().digest),)  # (number, digest) of each decision
    opened: tuple[tuple[int, int], ...] = ()  # (term, number) of each open proposal
    proposals: int = 0
    cancellations: int = 0
    lease_requests: int = 0
    kills: int = 0
    leader_changes: int = 0
    duplicates: int = 0
    late_answers: int = 0
    broken: str = ""


class Implementations(Protocol):
    """The classes to be checked: the real ones, or mutants with a deliberate bug."""

    coordinator_type: type[RolloutCoordinator]
    holder_type: type[LeaseHolder]


def _restore_coordinator(types: Implementations, frozen: CoordinatorState) -> RolloutCoordinator:
    coordinator = types.coordinator_type(TIMING, NAMES)
    for name, value in zip(COORDINATOR_FIELDS, frozen.fields, strict=True):
        setattr(coordinator, name, value)
    if frozen.proposal:
        document, sequence, deadline_ms, deciding = frozen.proposal
        coordinator.proposal = OpenProposal(document, sequence, deadline_ms, deciding=deciding)
    return coordinator


def _restore_view(coordinator: RolloutCoordinator, name: str, view: CoordinatorView) -> None:
    """Restore a coordinator's knowledge of one member."""
    if view.agreed and coordinator.proposal:
        coordinator.proposal.agreed |= {name}
    if view.lease:
        coordinator.leases[name] = view.lease
    if view.request:
        coordinator.requests[name] = view.request
    if view.incarnation:
        coordinator.incarnations[name] = view.incarnation
    if view.informed:
        coordinator.informed_members |= {name}


def freeze_coordinator(coordinator: RolloutCoordinator) -> CoordinatorState:
    """A coordinator's part of a frozen state."""
    proposal: ProposalState | None = None
    if coordinator.proposal:
        opened = coordinator.proposal
        proposal = ProposalState(opened.document, opened.sequence, opened.deadline_ms, opened.deciding)
    fields = tuple(getattr(coordinator, name) for name in COORDINATOR_FIELDS)
    return CoordinatorState(fields, proposal)


def _view(coordinator: RolloutCoordinator, name: str) -> CoordinatorView:
    """A coordinator's knowledge of one member."""
    return CoordinatorView(
        coordinator.proposal is not None and name in coordinator.proposal.agreed,
        coordinator.leases.get(name),
        coordinator.requests.get(name),
        name in coordinator.informed_members,
        coordinator.incarnations.get(name, 0),
    )


class Scenario:
    """One state with live coordinators and holders, in which one step is executed."""

    def __init__(self, state: ModelState, types: Implementations) -> None:
        """Create the coordinators and holders, which have the classes in `types`, from a frozen state."""
        self.state = state
        self.broken = ""
        self.tick = state.tick
        self.holders: list[LeaseHolder] = []
        self.disks: list[str] = []
        self.min_numbers: list[int] = []
        self.in_flight: list[set[MessageInFlight]] = []
        self.coordinators = [_restore_coordinator(types, frozen) for frozen in state.coordinators]
        for name, member in zip(NAMES, state.members, strict=True):
            self._restore_member(types, name, member)
        self.log = state.log
        self.pending = state.pending
        self.leader = state.leader
        self.decided = dict(state.decided)
        self.opened = dict(state.opened)

    def _restore_member(self, types: Implementations, name: str, member: MemberState) -> None:
        """Restore a member's holder, its messages and the coordinators' knowledge of it."""
        holder = types.holder_type(CAPABILITIES, TIMING, member.holder[0])
        for field, value in zip(HOLDER_FIELDS, member.holder, strict=True):
            setattr(holder, field, value)
        holder.next_request_ms = NEVER_MS
        self.holders.append(holder)
        self.disks.append(member.disk)
        self.min_numbers.append(member.min_number)
        self.in_flight.append(set(member.in_flight))
        for coordinator, view in zip(self.coordinators, member.views, strict=True):
            _restore_view(coordinator, name, view)

    def frozen(self, **change: int) -> ModelState:
        """The present state, frozen; `change` sets counters of it, such as `kills`."""
        members = (self._freeze_member(index, name) for index, name in enumerate(NAMES))
        return replace(
            self.state,
            members=tuple(sorted(members, key=hash)),
            coordinators=tuple(freeze_coordinator(coordinator) for coordinator in self.coordinators),
            leader=self.leader,
            log=self.log,
            pending=self.pending,
            decided=tuple(sorted(self.decided.items())),
            opened=tuple(sorted(self.opened.items())),
            broken=self.broken or self._violation(),
            **change,
        )

    def _freeze_member(self, index: int, name: str) -> MemberState:
        holder = self.holders[index]
        return MemberState(
            tuple(getattr(holder, field) for field in HOLDER_FIELDS),
            self.disks[index],
            self.min_numbers[index],
            tuple(_view(coordinator, name) for coordinator in self.coordinators),
            frozenset(each for each in self.in_flight[index] if self._may_matter(index, each)),
        )

    # --- invariants -----------------------------------------------------------------------------

    def _violation(self) -> str:
        """The invariant that this state violates; empty if all hold."""
        leased_numbers = set()
        for index, holder in enumerate(self.holders):
            last = holder.register.last
            if holder.has_lease(self.holder_ms):
                leased_numbers.add(last.number)
                if self.decided.get(last.number) != last.digest:
                    return f"{NAMES[index]} applies a document {last.number} that was not decided"
            if holder.ready and last.number < self.min_numbers[index]:
                number = self.min_numbers[index]
                return f"{NAMES[index]} is ready with {last.number}, but {number} was decided"
        if len(leased_numbers) > 1:
            return f"several documents are leased at once: {sorted(leased_numbers)}"
        return ""

    def _may_matter(self, index: int, in_flight: MessageInFlight) -> bool:
        """Whether a message can still change the state, whenever it arrives."""
        holder = self.holders[index]
        route, message = in_flight
        if route.to_coordinator:
            if not isinstance(message, m.Vote):
                return route.coordinator == self.leader
            coordinator = self.coordinators[route.coordinator]
            proposal = coordinator.proposal
            if proposal is None or proposal.deciding:
                return False
            return (coordinator.term, proposal.sequence) == (message.term, message.sequence)
        match message:
            case m.Decided():
                return parse_register(message.register).last.number > holder.register.last.number
            case m.LeaseGrant():
                return message.incarnation == holder.incarnation
            case m.Prepare() | m.Abort():
                return (message.term, message.sequence) >= holder.newest_message
            case _:
                return True

    def commit(self) -> None:
        """Let the log decide the register that was proposed to it."""
        last = parse_register(self.pending).last
        if self.decided.setdefault(last.number, last.digest) != last.digest:
            self.broken = f"two documents with the number {last.number}"
        self.log = self.pending
        self.pending = ""

    # --- parts of a step ------------------------------------------------------------------------

    @property
    def coordinator_ms(self) -> float:
        """The time by a coordinator's clock, in milliseconds."""
        return self.tick * COORDINATOR_TICK_MS

    @property
    def holder_ms(self) -> float:
        """The time by a holder's clock, in milliseconds."""
        return self.tick * HOLDER_TICK_MS

    def carry_out_coordinator(self, index: int, effects: list[m.Effect]) -> None:
        """Carry out the effects of a coordinator."""
        term = self.coordinators[index].term
        for effect in effects:
            if isinstance(effect, m.ProposeRegister):
                self._propose_to_log(index, effect.register)
            elif isinstance(effect, m.Send):
                route = Route(index, to_coordinator=False)
                self.in_flight[NAMES.index(effect.to)].add(MessageInFlight(route, effect.message))
                self._check_sent(index, term, effect.message)

    def _propose_to_log(self, index: int, text: str) -> None:
        if index != self.leader:
            return  # a replaced leader gets no majority
        if self.pending:
            self.broken = "two registers are proposed to the log at once"
        number = parse_register(text).last.number
        for name, holder in zip(NAMES, self.holders, strict=True):
            is_prepared = holder.prepared is not None and holder.prepared.number == number
            if holder.has_lease(self.holder_ms) and not is_prepared:
                self.broken = f"{number} is proposed to the log while {name}, with a lease, lacks it"
        self.pending = text

    def _check_sent(self, index: int, term: int, message: m.Message) -> None:
        """Check a coordinator's message against the open proposals and the decisions."""
        match message:
            case m.Prepare():
                opened = self.opened.setdefault(term, message.number)
                if opened != message.number:
                    self.broken = f"two open proposals in one term: {opened} and {message.number}"
            case m.Abort():
                self.opened.pop(term, None)
                decided = {parse_register(text).last.number for text in (self.pending, self.log) if text}
                if index == self.leader and message.number in decided:
                    self.broken = f"{message.number} is aborted after its decision"
            case m.Decided():
                self.opened.pop(term, None)

    def carry_out_holder(self, index: int, effects: list[m.Effect], *, late: bool = True) -> None:
        """Carry out the effects of a holder.

        With `late` its messages stay in flight; otherwise they arrive at once.
        """
        for effect in effects:
            if isinstance(effect, m.StoreRegister):
                self.disks[index] = effect.register
            elif isinstance(effect, m.Send):
                coordinator = self.leader if effect.to == m.LEADER else _index_of(effect.to)
                sent = MessageInFlight(Route(coordinator, to_coordinator=True), effect.message)
                if late:
                    self.in_flight[index].add(sent)
                else:
                    self.deliver(index, sent)

    def deliver(self, index: int, delivered: MessageInFlight, *, late: bool = True) -> None:
        """Deliver a message to or from a member; `late` as for `carry_out_holder`."""
        route, message = delivered
        if not route.to_coordinator:
            sender = _name_of(route.coordinator)
            effects = self.holders[index].receive(self.holder_ms, sender, message)
            self.carry_out_holder(index, effects, late=late)
            return
        coordinator = self.coordinators[route.coordinator]
        holds_read_lease = route.coordinator == self.leader
        effects = coordinator.receive(self.coordinator_ms, NAMES[index], message, holds_read_lease)
        self.carry_out_coordinator(route.coordinator, effects)


def _name_of(coordinator: int) -> str:
    """The sender name of a coordinator in messages to holders."""
    return f"s{coordinator}"


def _index_of(name: str) -> int:
    return int(name.removeprefix("s"))
