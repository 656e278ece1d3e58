"""One state of a policy rollout for the model checker: frozen, so that states compare, or with live cores.

Clocks differ as much as they may: those of coordinators are fast, those of holders slow, and one tick of the
clock is a third of a holder's lease. Members are alike, so states that differ only by names are the same.
"""

from dataclasses import dataclass, replace
from typing import Any, NamedTuple, Protocol

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import DeploymentCapabilities, Document, parse_register
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import (
    LeaseRecord,
    OpenProposal,
    ReceivedRequest,
    RolloutCoordinator,
    RolloutTiming,
)

NAMES = ("a", "b", "c")
TIMING = RolloutTiming(lease_ms=6.0, renew_ms=1.0, prepare_ms=16.0, resend_interval_ms=8.0, skew=1 / 3)
COORDINATOR_TICK_MS = 4.0  # of a coordinator's clock in one tick
HOLDER_TICK_MS = 2.0
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
    """The way of a message between a member's holder and a coordinator, given by its index."""

    coordinator: int
    to_coordinator: bool


class MessageInFlight(NamedTuple):
    """A message that was sent and may arrive at any time."""

    route: Route
    message: m.Message


class CoordinatorView(NamedTuple):
    """What a coordinator knows of one member."""

    agreed: bool
    lease: LeaseRecord | None
    request: ReceivedRequest | None
    informed: bool
    incarnation: int


class MemberState(NamedTuple):
    """One member's part of a frozen state."""

    holder: tuple[Any, ...]  # its `HOLDER_FIELDS`
    disk: str
    min_number: int  # that it has to know once it is ready
    views: tuple[CoordinatorView, ...]  # of each coordinator
    in_flight: frozenset[MessageInFlight]  # to and from it


class ProposalState(NamedTuple):
    """A coordinator's open proposal, without the votes."""

    document: Document
    sequence: int
    deadline_ms: float
    deciding: bool


class CoordinatorState(NamedTuple):
    """A coordinator's part of a frozen state, without what it knows of members."""

    fields: tuple[Any, ...]  # its `COORDINATOR_FIELDS`
    proposal: ProposalState | None


@dataclass(frozen=True, slots=True)
class ModelState:
    """One frozen state.

    A member's part has all that is on its way to or from it, so that members are exchangeable.
    """

    members: tuple[MemberState, ...]
    coordinators: tuple[CoordinatorState, ...]
    leader: int = 0  # the index of the coordinator that leads for certain
    log: str = ""
    pending: str = ""
    tick: int = 0
    decided: tuple[tuple[int, str], ...] = ((0, Document().digest),)  # number, digest
    opened: tuple[tuple[int, int], ...] = ()  # by term: the number that was begun and not ended
    proposals: int = 0
    cancellations: int = 0
    lease_requests: int = 0
    kills: int = 0
    leader_changes: int = 0
    duplicates: int = 0
    late_answers: int = 0
    broken: str = ""


class Implementations(Protocol):
    """The classes to be checked: the real ones, or mutants with a bug on purpose."""

    coordinator_type: type[RolloutCoordinator]
    holder_type: type[LeaseHolder]


def _thaw_coordinator(types: Implementations, frozen: CoordinatorState) -> RolloutCoordinator:
    coordinator = types.coordinator_type(TIMING, NAMES)
    for name, value in zip(COORDINATOR_FIELDS, frozen.fields, strict=True):
        setattr(coordinator, name, value)
    if frozen.proposal:
        document, sequence, deadline_ms, deciding = frozen.proposal
        coordinator.proposal = OpenProposal(document, sequence, deadline_ms, deciding=deciding)
    return coordinator


def _thaw_view(coordinator: RolloutCoordinator, name: str, view: CoordinatorView) -> None:
    """Give a coordinator back what it knows of one member."""
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
    """What a coordinator knows of one member."""
    return CoordinatorView(
        coordinator.proposal is not None and name in coordinator.proposal.agreed,
        coordinator.leases.get(name),
        coordinator.requests.get(name),
        name in coordinator.informed_members,
        coordinator.incarnations.get(name, 0),
    )


class Scenario:
    """One state with live cores, to which one thing happens."""

    def __init__(self, state: ModelState, types: Implementations) -> None:
        """The cores are made of `types`."""
        self.state = state
        self.broken = ""
        self.tick = state.tick
        self.holders: list[LeaseHolder] = []
        self.disks: list[str] = []
        self.min_numbers: list[int] = []
        self.in_flight: list[set[MessageInFlight]] = []
        self.coordinators = [_thaw_coordinator(types, frozen) for frozen in state.coordinators]
        for name, member in zip(NAMES, state.members, strict=True):
            self._thaw_member(types, name, member)
        self.log = state.log
        self.pending = state.pending
        self.leader = state.leader
        self.decided = dict(state.decided)
        self.opened = dict(state.opened)

    def _thaw_member(self, types: Implementations, name: str, member: MemberState) -> None:
        """Make a member's holder, and what is known of the member, out of its part of a frozen state."""
        holder = types.holder_type(CAPABILITIES, TIMING, member.holder[0])
        for field, value in zip(HOLDER_FIELDS, member.holder, strict=True):
            setattr(holder, field, value)
        holder.next_request_ms = 1e9
        self.holders.append(holder)
        self.disks.append(member.disk)
        self.min_numbers.append(member.min_number)
        self.in_flight.append(set(member.in_flight))
        for coordinator, view in zip(self.coordinators, member.views, strict=True):
            _thaw_view(coordinator, name, view)

    def frozen(self, **change: int) -> ModelState:
        """The state as it is now, for comparing; `change` gives counts of it that changed."""
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
        """The invariant that this state violates; empty where all hold."""
        acting = set()
        for index, holder in enumerate(self.holders):
            last = holder.register.last
            if holder.has_lease(self.holder_ms):
                acting.add(last.number)
                if self.decided.get(last.number) != last.digest:
                    return f"{NAMES[index]} acts by {last.number}, which was not decided so"
            if holder.ready and last.number < self.min_numbers[index]:
                number = self.min_numbers[index]
                return f"{NAMES[index]} came up in {last.number}, and {number} was decided"
        return f"in force at once: {sorted(acting)}" if len(acting) > 1 else ""

    def _may_matter(self, index: int, in_flight: MessageInFlight) -> bool:
        """Whether a message could change anything, whenever it arrives."""
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
        """Let the log decide what was proposed to it."""
        last = parse_register(self.pending).last
        if self.decided.setdefault(last.number, last.digest) != last.digest:
            self.broken = f"two documents with the number {last.number}"
        self.log = self.pending
        self.pending = ""

    # --- what happens ---------------------------------------------------------------------------

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
            return  # a leader that was replaced gets no majority
        if self.pending:
            self.broken = "two numbers at once put to the vote"
        number = parse_register(text).last.number
        for name, holder in zip(NAMES, self.holders, strict=True):
            knows = holder.prepared is not None and holder.prepared.number == number
            if holder.has_lease(self.holder_ms) and not knows:
                self.broken = f"{number} is put to the vote, and {name} acts on without knowing of it"
        self.pending = text

    def _check_sent(self, index: int, term: int, message: m.Message) -> None:
        """Check a coordinator's message against what was begun and decided."""
        match message:
            case m.Prepare():
                opened = self.opened.setdefault(term, message.number)
                if opened != message.number:
                    self.broken = f"two numbers at once: {opened} and {message.number}"
            case m.Abort():
                self.opened.pop(term, None)
                decided = {parse_register(text).last.number for text in (self.pending, self.log) if text}
                if index == self.leader and message.number in decided:
                    self.broken = f"{message.number} is ended after its decision"
            case m.Decided():
                self.opened.pop(term, None)

    def carry_out_holder(self, index: int, effects: list[m.Effect], *, late: bool = True) -> None:
        """Carry out the effects of a holder.

        With `late` its messages stay in flight, else they arrive at once.
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
    """The name by which a holder answers a coordinator."""
    return f"s{coordinator}"


def _index_of(name: str) -> int:
    return int(name.removeprefix("s"))
