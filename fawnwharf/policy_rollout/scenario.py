"""One state of a policy rollout for the model checker: frozen, so that states compare, or with live cores.

Clocks differ as much as they may: those of coordinators are fast, those of holders slow, and one step of the
clock is a third of a holder's lease. Members are alike, so states that differ only by names are the same.
"""

from dataclasses import dataclass, replace
from typing import Protocol

from fawnwharf.policy_rollout import messages as m
from fawnwharf.policy_rollout.document import DeploymentCapabilities, Document, parse_register
from fawnwharf.policy_rollout.lease_holder import LeaseHolder
from fawnwharf.policy_rollout.rollout_coordinator import OpenProposal, RolloutCoordinator, RolloutTiming

NAMES = ("a", "b", "c")
TIMING = RolloutTiming(lease_ms=6.0, renew_ms=1.0, prepare_ms=16.0, again_ms=8.0, skew=1 / 3)
FAST, SLOW = 4.0, 2.0  # ms of a steward's and a holder's clock in one turn
KNOWN = DeploymentCapabilities(frozenset(), frozenset({"t"}), frozenset())


@dataclass(frozen=True, slots=True)
class ModelState:
    """One frozen state.

    A member's part holds all that is on its way to or from it, so that members are exchangeable.
    """

    members: tuple[tuple, ...]  # holder, disk, what it has to know at the least, views of stewards, messages
    stewards: tuple[tuple, ...]
    crown: int = 0
    log: str = ""
    pending: str = ""
    turn: int = 0
    decided: tuple[tuple[int, str], ...] = ((0, Document().digest),)  # number, digest
    opened: tuple[tuple[int, int], ...] = ()  # by term: the number that was begun and not ended
    proposals: int = 0
    called_off: int = 0
    asks: int = 0
    kills: int = 0
    leaders: int = 0
    repeats: int = 0
    late: int = 0
    broken: str = ""


class Implementations(Protocol):
    """The classes to be tried: the real ones, or mutants with a bug on purpose."""

    steward: type[RolloutCoordinator]
    holder: type[LeaseHolder]


HOLDER_STATE = ("life", "register", "ready", "lease", "granted", "prepared", "word")
STEWARD_STATE = ("term", "turn", "register", "settled", "clear_ms", "top", "again_ms")


def _thawed_steward(search: Implementations, frozen: tuple) -> RolloutCoordinator:
    steward = search.steward(TIMING, NAMES)
    for name, value in zip(STEWARD_STATE, frozen, strict=False):
        setattr(steward, name, value)
    if frozen[-1]:
        document, turn, until_ms, deciding = frozen[-1]
        steward.open = OpenProposal(document, turn, until_ms, deciding=deciding)
    return steward


def _thaw_view(steward: RolloutCoordinator, name: str, view: tuple) -> None:
    """Give a coordinator back what it knows of one member."""
    yes, lease, asked, told, life = view
    if yes:
        steward.open.yes |= {name}
    if lease:
        steward.leases[name] = lease
    if asked:
        steward.asked[name] = asked
    if life:
        steward.lives[name] = life
    if told:
        steward.told |= {name}


class Scenario:
    """One state with live cores, to which one thing happens."""

    def __init__(self, world: ModelState, search: Implementations) -> None:
        self.world, self.broken = world, ""
        self.now = world.turn
        self.holders: list[LeaseHolder] = []
        self.disks, self.least, self.flying = [], [], []
        self.stewards = [_thawed_steward(search, frozen) for frozen in world.stewards]
        for name, part in zip(NAMES, world.members, strict=True):
            self._thaw_member(search, name, part)
        self.log, self.pending, self.crown = world.log, world.pending, world.crown
        self.decided, self.opened = dict(world.decided), dict(world.opened)

    def _thaw_member(self, search: Implementations, name: str, part: tuple) -> None:
        """Make a member's holder, and what is known of the member, out of its part of a frozen state."""
        frozen, disk, least, views, flying = part
        holder = search.holder(KNOWN, TIMING, frozen[0])
        for key, value in zip(HOLDER_STATE, frozen, strict=True):
            setattr(holder, key, value)
        holder.open_ms = 1e9
        self.holders.append(holder)
        self.disks.append(disk)
        self.least.append(least)
        self.flying.append(set(flying))
        for steward, view in zip(self.stewards, views, strict=True):
            _thaw_view(steward, name, view)

    def frozen(self, **change: int) -> ModelState:
        """The state as it is now, for comparing."""
        members = []
        for place, name in enumerate(NAMES):
            holder = self.holders[place]
            views = tuple(self._view(steward, name) for steward in self.stewards)
            state = tuple(getattr(holder, key) for key in HOLDER_STATE)
            flying = frozenset(said for said in self.flying[place] if self._matters(place, *said))
            members.append((state, self.disks[place], self.least[place], views, flying))
        stewards = []
        for s in self.stewards:
            o = s.open and (s.open.document, s.open.turn, s.open.until_ms, s.open.deciding)
            stewards.append((*(getattr(s, key) for key in STEWARD_STATE), o))
        return replace(
            self.world,
            members=tuple(sorted(members, key=hash)),
            stewards=tuple(stewards),
            crown=self.crown,
            log=self.log,
            pending=self.pending,
            decided=tuple(sorted(self.decided.items())),
            opened=tuple(sorted(self.opened.items())),
            broken=self.broken or self._fault(),
            **change,
        )

    @staticmethod
    def _view(s: RolloutCoordinator, name: str) -> tuple:
        """What a steward knows of one member."""
        yes = s.open is not None and name in s.open.yes
        return yes, s.leases.get(name), s.asked.get(name), name in s.told, s.lives.get(name, 0)

    # --- what must never be ---------------------------------------------------------------------

    def _fault(self) -> str:
        acting = set()
        for place, holder in enumerate(self.holders):
            last = holder.register.last
            if holder._stance(self.slow)[0] == "leased":
                acting.add(last.number)
                if self.decided.get(last.number) != last.digest:
                    return f"{NAMES[place]} acts by {last.number}, which was not decided so"
            if holder.ready and last.number < self.least[place]:
                return f"{NAMES[place]} came up in {last.number}, and {self.least[place]} was decided"
        return f"in force at once: {sorted(acting)}" if len(acting) > 1 else ""

    def _matters(self, place: int, way: str, message: m.Message) -> bool:
        """Whether a message could change anything, whenever it came."""
        holder = self.holders[place]
        if way.startswith(">"):
            steward = self.stewards[int(way[2:])]
            if isinstance(message, m.Vote):
                opened = steward.open and not steward.open.deciding and (steward.term, steward.open.turn)
                return opened == (message.term, message.turn)
            return int(way[2:]) == self.crown
        if isinstance(message, m.Decided):
            return parse_register(message.register).last.number > holder.register.last.number
        if isinstance(message, m.LeaseGrant):
            return message.life == holder.life
        return (message.term, message.turn) >= holder.word

    def commit(self) -> None:
        """Let the log decide what was proposed to it."""
        last = parse_register(self.pending).last
        if self.decided.setdefault(last.number, last.digest) != last.digest:
            self.broken = f"two documents with the number {last.number}"
        self.log, self.pending = self.pending, ""

    # --- what happens ---------------------------------------------------------------------------

    @property
    def fast(self) -> float:
        """The time by a coordinator's clock, in milliseconds."""
        return self.now * FAST

    @property
    def slow(self) -> float:
        """The time by a holder's clock, in milliseconds."""
        return self.now * SLOW

    def steward_does(self, place: int, effects: list[m.Effect]) -> None:
        """Carry out the effects of a coordinator."""
        steward = self.stewards[place]
        for effect in effects:
            if isinstance(effect, m.ProposeRegister):
                self._put(place, effect.register)
            elif isinstance(effect, m.Send):
                self.flying[NAMES.index(effect.to)].add((f"s{place}", effect.message))
                self._watch(place, steward.term, effect.message)

    def _put(self, place: int, text: str) -> None:
        if place != self.crown:
            return  # a leader that was replaced gets no majority
        if self.pending:
            self.broken = "two numbers at once put to the vote"
        number = parse_register(text).last.number
        for name, holder in zip(NAMES, self.holders, strict=True):
            asked = holder.prepared is not None and holder.prepared.number == number
            if holder._stance(self.slow)[0] == "leased" and not asked:
                self.broken = f"{number} is put to the vote, and {name} acts on without knowing of it"
        self.pending = text

    def _watch(self, place: int, term: int, message: m.Message) -> None:
        if isinstance(message, m.Prepare) and self.opened.setdefault(term, message.number) != message.number:
            self.broken = f"two numbers at once: {self.opened[term]} and {message.number}"
        if isinstance(message, m.Abort):
            self.opened.pop(term, None)
            pending = self.pending and parse_register(self.pending).last.number
            if place == self.crown and message.number in (pending, parse_register(self.log).last.number):
                self.broken = f"{message.number} is ended after its decision"
        if isinstance(message, m.Decided):
            self.opened.pop(term, None)

    def holder_does(self, place: int, effects: list[m.Effect], late: bool = True) -> None:
        """Carry out the effects of a holder.

        With `late` its messages stay on their way, else they arrive at once.
        """
        for effect in effects:
            if isinstance(effect, m.StoreRegister):
                self.disks[place] = effect.register
            elif isinstance(effect, m.Send):
                to = f"s{self.crown}" if effect.to == m.LEADER else effect.to
                if late:
                    self.flying[place].add((f">{to}", effect.message))
                else:
                    self.arrives(place, f">{to}", effect.message)

    def arrives(self, place: int, way: str, message: m.Message, late: bool = True) -> None:
        """Deliver a message; `way` tells the coordinator that it is from or for."""
        if way.startswith(">"):
            at = int(way[2:])
            steward, name, fresh = self.stewards[at], NAMES[place], at == self.crown
            self.steward_does(at, steward.heard(self.fast, name, message, fresh))
            return
        holder = self.holders[place]
        self.holder_does(place, holder.heard(self.slow, way, message), late)
