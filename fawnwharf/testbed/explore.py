"""Model checker for voters: every interleaving of messages, losses, repeats, time-outs and kills, to a depth.

The voters are the real ones, `fawnwharf.consensus.voter.Voter`. Time is modelled in the harshest way: any
voter
may time out at any moment, so that what holds here holds for clocks of any skew. Leases, which depend on
clocks, are for `walk.py`. A kill may cut a list of actions short after any of them: what was saved stays,
what was to be sent is not.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from fawnwharf.consensus import messages as m
from fawnwharf.consensus.timing import Timing
from fawnwharf.consensus.voter import Voter, bootstrap_state
from fawnwharf.consensus.voter_state import Role
from fawnwharf.testbed.breadth_first import Found, search

TIMING = Timing(heartbeat_ms=1.0, election_timeout_ms=1.0, max_clock_drift_ratio=0.0)
PAST_MS, NOW_MS = -1e9, 0.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """What may happen on one path; the depth counts steps."""

    depth: int = 12
    states: int = 30_000
    patience: int = 3  # times that a voter runs out of it
    beats: int = 1  # of leaders, beyond those that a decision brings
    plans: int = 2
    kills: int = 1
    changes: int = 0  # of the list of voters
    repeats: int = 1  # messages that arrive twice
    flying: int = 4  # messages at once; the others are lost beyond that
    pre_votes: bool = False  # without them each voter stands at once: more may happen, in fewer steps


@dataclass(frozen=True, slots=True)
class World:
    """One state: each voter's own, and the messages on their way."""

    voters: tuple[tuple, ...]
    flying: frozenset[m.Message]
    leaders: tuple[tuple[int, str], ...] = ()  # by term, of all that ever led
    decided: tuple[tuple[int, str], ...] = ()  # by index, what was decided anywhere
    patience: int = 0
    beats: int = 0
    plans: int = 0
    kills: int = 0
    changes: int = 0
    repeats: int = 0


_TABLES = ("match_index", "probe_index")


def _freeze(voter: Voter, disk: m.PersistentState) -> tuple:
    """Time is reduced to whether the voter is still bound to a leader that it heard."""
    heard = NOW_MS if voter.leader_contact_ms >= NOW_MS else PAST_MS
    tables = tuple(tuple(sorted(getattr(voter, name).items())) for name in _TABLES)
    return (
        voter.identity,
        voter.saved,
        voter.role,
        voter.leader,
        voter.commit_index,
        voter.votes_granted,
        heard,
        tables,
        disk,
    )


def _thaw(kind: type[Voter], frozen: tuple) -> Voter:
    identity, saved, role, leader, commit_index, votes_granted, heard, tables, _ = frozen
    voter = kind(identity, saved, TIMING, NOW_MS, 1)
    voter.role, voter.leader, voter.commit_index, voter.votes_granted, voter.leader_contact_ms = (
        role,
        leader,
        commit_index,
        votes_granted,
        heard,
    )
    voter.match_index, voter.probe_index = (dict(table) for table in tables)
    voter.due_ms = voter.leader_since_ms = NOW_MS
    return voter


Step = Callable[[Voter], list[m.Action]]


class Explorer:
    """Searches breadth first, so that what it finds broken comes with a shortest path."""

    def __init__(self, kind: type[Voter], names: tuple[str, ...], bounds: Bounds, members: int = 0) -> None:
        """`members` of the names are voters from the start, or all; the others may be taken in."""
        self.kind, self.names, self.bounds = kind, names, bounds
        first = names[: members or len(names)]
        initial = replace_voters(bootstrap_state(first[0]), first)
        blank = m.PersistentState()
        made = [kind(name, initial if name in first else blank, TIMING, NOW_MS, 1) for name in names]
        for voter in made:
            voter.leader_contact_ms = PAST_MS
        self.start = World(tuple(_freeze(voter, voter.saved) for voter in made), frozenset())

    def search(self) -> Found:
        """Search all states within the bounds, or up to the first one that is broken."""
        return search(self.start, self._steps, self.fault, self.bounds.depth, self.bounds.states)

    def fault(self, world: World) -> str:
        """What is broken in a state; empty where nothing is."""
        return broken(world)

    def _steps(self, world: World) -> Iterator[tuple[str, World]]:
        for place, frozen in enumerate(world.voters):
            identity, role = frozen[0], frozen[2]
            if world.kills < self.bounds.kills:
                born = self.kind(identity, frozen[8], TIMING, NOW_MS, 1)
                killed = replace(world, kills=world.kills + 1)
                yield f"{identity} is killed", self._after(killed, place, born, [])
            if role is Role.LEADER:
                yield from self._of_leader(world, place, identity)
            elif world.patience < self.bounds.patience:
                after = replace(world, patience=world.patience + 1)
                yield from self._do(after, place, f"{identity} runs out of patience", self._impatient)
        yield from self._arrivals(world)

    def _of_leader(self, world: World, place: int, identity: str) -> Iterator[tuple[str, World]]:
        if world.beats < self.bounds.beats:
            after = replace(world, beats=world.beats + 1)
            yield from self._do(after, place, f"{identity} beats", lambda voter: voter.tick(NOW_MS))
        if world.plans < self.bounds.plans:
            text, after = f"plan {world.plans + 1}", replace(world, plans=world.plans + 1)
            yield from self._do(after, place, f"{identity} proposes {text}", self._proposing(text))
        if world.changes < self.bounds.changes:
            for name in self.names:
                after = replace(world, changes=world.changes + 1)
                yield from self._do(after, place, f"{identity} exchanges {name}", self._exchanging(name))

    def _arrivals(self, world: World) -> Iterator[tuple[str, World]]:
        for message in sorted(world.flying, key=repr):
            place = self.names.index(message.to)
            label = f"{message.to} takes {message!r}"
            if isinstance(message, m.VoteRequest | m.PreVoteRequest) and world.voters[place][6] >= NOW_MS:
                yield f"{message.to} forgets its leader", self._unbound(world, place)
            gone = replace(world, flying=world.flying - {message})
            yield from self._do(gone, place, label, self._receiving(message))
            if world.repeats < self.bounds.repeats:
                again = replace(world, repeats=world.repeats + 1)
                yield from self._do(again, place, label + ", to come again", self._receiving(message))

    def _impatient(self, voter: Voter) -> list[m.Action]:
        voter.leader_contact_ms = PAST_MS
        if self.bounds.pre_votes or not voter.is_in_voter_list:
            return voter.tick(NOW_MS)
        return voter._start_election(NOW_MS)

    def _receiving(self, message: m.Message) -> Step:
        return lambda voter: voter.receive(NOW_MS, message)

    def _proposing(self, text: str) -> Step:
        return lambda voter: voter.propose(NOW_MS, text)[1]

    def _exchanging(self, name: str) -> Step:
        return lambda voter: voter.propose_voters(NOW_MS, tuple(set(voter.saved.voters) ^ {name}))[1]

    def _unbound(self, world: World, place: int) -> World:
        frozen = world.voters[place]
        return _with(world, place, (*frozen[:6], PAST_MS, *frozen[7:]))

    def _do(self, world: World, place: int, label: str, step: Step) -> Iterator[tuple[str, World]]:
        """The step done whole, and cut short by a kill: before the first thing saved, and after each."""
        before = world.voters[place]
        voter = _thaw(self.kind, before)
        actions = step(voter)
        yield label, self._after(world, place, voter, actions)
        saves = [n + 1 for n, action in enumerate(actions) if isinstance(action, m.Persist)]
        if world.kills >= self.bounds.kills or not saves:
            return
        killed = replace(world, kills=world.kills + 1)
        for count in {0, *saves, len(actions)}:
            done = actions[:count]
            born = self.kind(before[0], _disk(before[8], done), TIMING, NOW_MS, 1)
            yield f"{label}, and is killed after {count}", self._after(killed, place, born, done)

    def _after(self, world: World, place: int, voter: Voter, actions: list[m.Action]) -> World:
        leaders, decided = dict(world.leaders), dict(world.decided)
        if voter.is_leader:
            key = voter.saved.term
            leaders[key] = voter.identity if leaders.get(key, voter.identity) == voter.identity else "two"
        for action in actions:
            if isinstance(action, m.Committed):
                what = f"{action.kind} {action.text}{' '.join(action.voters)}"
                decided[action.index] = what if decided.get(action.index, what) == what else "two"
        said = [action.message for action in actions if isinstance(action, m.Send)]
        flying = world.flying | set(said)
        if len(flying) > self.bounds.flying:  # the rest is lost: what was said last stays on its way
            older = sorted(world.flying - set(said), key=repr)
            flying = frozenset([*older, *said][-self.bounds.flying :])
        after = _with(world, place, _freeze(voter, _disk(world.voters[place][8], actions)))
        flying = frozenset(message for message in flying if self._matters(after, message))
        return replace(after, flying=flying, leaders=_sorted(leaders), decided=_sorted(decided))

    def _matters(self, world: World, message: m.Message) -> bool:
        """Answers to what their reader is no longer, and in that term never will be again, change nothing."""
        _, saved, role, *_ = world.voters[self.names.index(message.to)]
        if message.term > saved.term or isinstance(
            message, m.VoteRequest | m.PreVoteRequest | m.AppendEntriesRequest | m.InstallSnapshotRequest
        ):
            return True
        wanted = {m.VoteResponse: Role.CANDIDATE, m.AppendEntriesResponse: Role.LEADER}.get(type(message))
        return message.term == saved.term and (wanted is None or role is wanted)


def _disk(before: m.PersistentState, done: list[m.Action]) -> m.PersistentState:
    return next((action.saved for action in reversed(done) if isinstance(action, m.Persist)), before)


def _sorted(table: dict[int, str]) -> tuple[tuple[int, str], ...]:
    return tuple(sorted(table.items()))


def _with(world: World, place: int, frozen: tuple) -> World:
    return replace(world, voters=(*world.voters[:place], frozen, *world.voters[place + 1 :]))


def replace_voters(saved: m.PersistentState, voters: tuple[str, ...]) -> m.PersistentState:
    """A saved state with another list of voters, decided before everything in it."""
    snapshot = m.Snapshot(saved.snapshot.index, saved.snapshot.term, "", 0, tuple(sorted(voters)))
    return m.PersistentState(saved.term, saved.voted_for, snapshot, saved.entries)


def broken(world: World) -> str:
    """What must never be, in any state; empty where all holds."""
    for term, leader in world.leaders:
        if leader == "two":
            return f"two leaders in term {term}"
    for index, what in world.decided:
        if what == "two":
            return f"two decisions with the number {index}"
    return ""
