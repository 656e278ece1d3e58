"""One voter of a replicated log: Raft with pre-votes, a check of its quorum, and leases.

After Ongaro and Ousterhout, 'In Search of an Understandable Consensus Algorithm' (2014), and Ongaro's thesis
(2014): 4.1 for changes of one voter at a time, 6.4 for leases, 9.6 for pre-votes.

No I/O, no clock and no chance but what is handed in. Each call gives actions, to be carried out in their
order: a Save has to be on disk before a Say behind it leaves. Times are milliseconds of this voter's own
clock, which may run fast or slow against the others' by `Timing.skew` and must not step back.
"""

import math
from dataclasses import dataclass
from enum import Enum

import msgspec

from fawnwharf.consensus import messages as m
from fawnwharf.consensus.committed_log import (
    compacted,
    entry_at,
    has_uncommitted_voters,
    last_committed,
    snapshot_registers,
)

SNAPSHOT_AFTER = 24  # decided entries kept for followers that lag; older ones are folded into the base


class Role(Enum):
    FOLLOWER = "follower"
    ASKING = "asking"  # whether it would be voted for
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Timing:
    """All in milliseconds. A leader's lease is over before any voter that gave it one may vote for
    another."""

    beat_ms: float = 150.0  # pace of the leader's signs of life
    election_ms: float = 1000.0  # without one for so long, and up to twice that, a voter asks for votes
    skew: float = 0.1  # a clock gains or loses no more than this part of the time

    @property
    def lease_ms(self) -> float:
        """On the leader's clock, from the sending of what a majority has answered."""
        return self.election_ms * (1 - self.skew) / (1 + self.skew)


def _mix(bits: int) -> int:  # 64 bits, well mixed (the end of splitmix64)
    bits = (bits ^ (bits >> 30)) * 0xBF58476D1CE4E5B9 % 2**64
    bits = (bits ^ (bits >> 27)) * 0x94D049BB133111EB % 2**64
    return bits ^ (bits >> 31)


def bootstrap(me: str) -> m.PersistentState:
    """What the first voter of a new fleet starts from, once and by an operator's word: a list of itself
    alone."""
    return m.PersistentState(term=1, base=m.Snapshot(index=1, term=1, voters=(me,)))


class Voter:
    """Owns the term, the vote, the log and the role of one member."""

    def __init__(self, me: str, saved: m.PersistentState, timing: Timing, now_ms: float, seed: int) -> None:
        self.me, self.saved, self.timing = me, saved, timing
        self.role, self.leader = Role.FOLLOWER, ""
        self.commit = saved.base.index
        # As if a leader had just been heard: what was promised to one before a restart is not known any more.
        self.heard_ms = now_ms
        self.draws = seed
        self.due_ms = 0.0
        self.granted: frozenset[str] = frozenset()
        self.match: dict[str, int] = {}  # by follower: agreed up to here
        self.sent: dict[str, int] = {}  # by follower not agreed with yet: the last that it may have
        self.acked_ms: dict[str, float] = {}  # by follower: when what it last answered was sent
        self.led_ms = 0.0  # since when it leads
        self._rest(now_ms)

    # --- what the owner asks --------------------------------------------------------------------

    @property
    def is_leader(self) -> bool:
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        return self.me in self.saved.voters

    @property
    def plan(self) -> tuple[int, str]:
        """The last decided plan and its index; (0, "") before the first."""
        return last_committed(self.saved, self.commit, "plan")

    @property
    def policy(self) -> tuple[int, str]:
        """The last decided policy and its index; (0, "") before the first."""
        return self.last("policy")

    def last(self, kind: str) -> tuple[int, str]:
        """The last decided text of a kind of `decided.KINDS` and its index; (0, "") before the first."""
        return last_committed(self.saved, self.commit, kind)

    def fresh(self, now_ms: float) -> bool:
        """Whether its last decided plan is the fleet's last at this moment, for certain."""
        own_term = self.saved.term_at(self.commit) == self.saved.term  # else one more may have been decided
        return self.is_leader and own_term and self._leased(now_ms)

    def _leased(self, now_ms: float) -> bool:
        """A vote binds nobody to a new leader; only what a majority has answered since does."""
        return now_ms < self._quorum_ms(now_ms, -math.inf) + self.timing.lease_ms

    # --- what happens to it ---------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[m.Action]:
        """Call it at `due_ms` at the latest."""
        if now_ms < self.due_ms:
            return []
        if self.is_leader:
            if now_ms - self._quorum_ms(now_ms, self.led_ms) > self.timing.election_ms * (
                1 + self.timing.skew
            ):
                self._follow(now_ms, "")  # no majority answers: whoever can reach one may lead
                return []
            return self._beat(now_ms)
        if not self.is_voter:
            self._rest(now_ms)
            return []
        return self._ask(now_ms)

    def receive(self, now_ms: float, message: m.Message) -> list[m.Action]:
        """Take one message; those for others, or older than what is known, change nothing."""
        if message.to != self.me or message.sender == self.me:
            return []
        return getattr(self, self._HANDLERS[type(message)])(now_ms, message)

    def propose(self, now_ms: float, plan: str, kind: str = "plan") -> tuple[int | None, list[m.Action]]:
        """Put a text of a kind to the vote; its index, or None where this is not the leader."""
        if not self.is_leader or len(plan) > m.MAX_DATA_LENGTH or len(self.saved.entries) >= m.MAX_ENTRIES:
            return None, []
        return self.saved.last_index + 1, self._lead_on(now_ms, m.Entry(self.saved.term, kind, plan=plan))

    def propose_voters(self, now_ms: float, voters: tuple[str, ...]) -> tuple[int | None, list[m.Action]]:
        """Exchange the list of voters for one that has one more, or one less; None where that may not be now.

        Majorities of two lists that differ by one always share a voter. That holds only from one list to the
        next, so the last one must have been decided, and something of this very term as well (the thesis's
        correction)."""
        now, new = set(self.saved.voters), set(voters)
        own_term = self.saved.term_at(self.commit) == self.saved.term
        settled = own_term and not has_uncommitted_voters(self.saved, self.commit)
        room = 0 < len(new) <= m.MAX_VOTERS and len(self.saved.entries) < m.MAX_ENTRIES
        if not self.is_leader or not settled or not room or len(now ^ new) != 1 or len(new) != len(voters):
            return None, []
        entry = m.Entry(self.saved.term, "voters", voters=tuple(sorted(voters)))
        return self.saved.last_index + 1, self._lead_on(now_ms, entry)

    # --- elections ------------------------------------------------------------------------------

    def _rest(self, now_ms: float) -> None:
        """Wait for a leader, for a time that chance spreads so that not all ask at once."""
        self.draws += 1
        part = _mix(_mix(self.draws)) / 2**64
        self.due_ms = now_ms + self.timing.election_ms * (1 + part)

    def _follow(self, now_ms: float, leader: str) -> None:
        self.role, self.leader = Role.FOLLOWER, leader
        self.granted, self.match, self.sent, self.acked_ms = frozenset(), {}, {}, {}
        self._rest(now_ms)

    def _majority(self, voters: tuple[str, ...]) -> int:
        return len(voters) // 2 + 1

    def _won(self) -> bool:
        voters = self.saved.voters
        return len(self.granted & set(voters)) >= self._majority(voters)

    def _ask(self, now_ms: float) -> list[m.Action]:
        """Ask first whether a vote would be won: one that was cut off must not unseat a good leader."""
        self.role, self.leader, self.granted = Role.ASKING, "", frozenset((self.me,))
        self._rest(now_ms)
        if self._won():
            return self._stand(now_ms)
        saved = self.saved
        return [
            m.Send(m.PreVoteRequest(self.me, to, saved.term + 1, saved.last_index, saved.last_term))
            for to in self._others()
        ]

    def _stand(self, now_ms: float) -> list[m.Action]:
        self.role, self.granted = Role.CANDIDATE, frozenset((self.me,))
        saved = self.saved = msgspec.structs.replace(self.saved, term=self.saved.term + 1, voted=self.me)
        self._rest(now_ms)
        actions: list[m.Action] = [m.Persist(saved)]
        if self._won():
            return actions + self._reign(now_ms)
        return actions + [
            m.Send(m.VoteRequest(self.me, to, saved.term, saved.last_index, saved.last_term))
            for to in self._others()
        ]

    def _others(self) -> list[str]:
        return [voter for voter in self.saved.voters if voter != self.me]

    def _bound(self, now_ms: float) -> bool:
        """A leader was heard so lately that it may hold a lease: no vote for anybody else, in any term."""
        if self.is_leader:
            return now_ms - self._quorum_ms(now_ms, self.led_ms) < self.timing.election_ms
        return now_ms - self.heard_ms < self.timing.election_ms

    def _up_to_date(self, message: m.PreVoteRequest | m.VoteRequest) -> bool:
        theirs = message.last_term, message.last_index
        return theirs >= (self.saved.last_term, self.saved.last_index)

    def _on_pre_vote(self, now_ms: float, message: m.PreVoteRequest) -> list[m.Action]:
        granted = message.term > self.saved.term and self._up_to_date(message) and not self._bound(now_ms)
        term = message.term if granted else self.saved.term  # one that lags behind may catch up with it
        return [m.Send(m.PreVoteResponse(self.me, message.sender, term, granted))]

    def _on_pre_voted(self, now_ms: float, message: m.PreVoteResponse) -> list[m.Action]:
        if not message.granted:
            return self._see_term(now_ms, message.term)
        if self.role is not Role.ASKING or message.term != self.saved.term + 1:
            return []
        self.granted |= {message.sender}
        return self._stand(now_ms) if self._won() else []

    def _on_vote(self, now_ms: float, message: m.VoteRequest) -> list[m.Action]:
        if message.term > self.saved.term and self._bound(now_ms):
            return []  # not even its term is taken over
        actions = self._see_term(now_ms, message.term)
        free = self.saved.voted in ("", message.sender)
        granted = message.term == self.saved.term and free and self._up_to_date(message)
        granted = granted and not self._bound(now_ms)
        if granted and not self.saved.voted:
            self.saved = msgspec.structs.replace(self.saved, voted=message.sender)
            actions = [m.Persist(self.saved)]  # holds the term as well
        if granted:
            self._rest(now_ms)
        return [*actions, m.Send(m.VoteResponse(self.me, message.sender, self.saved.term, granted))]

    def _on_voted(self, now_ms: float, message: m.VoteResponse) -> list[m.Action]:
        actions = self._see_term(now_ms, message.term)
        if self.role is Role.CANDIDATE and message.term == self.saved.term and message.granted:
            self.granted |= {message.sender}
            if self._won():
                actions += self._reign(now_ms)
        return actions

    def _see_term(self, now_ms: float, term: int) -> list[m.Action]:
        """A later term than one's own ends every role in the own one."""
        if term <= self.saved.term:
            return []
        self.saved = msgspec.structs.replace(self.saved, term=term, voted="")
        self._follow(now_ms, "")
        return [m.Persist(self.saved)]

    # --- leading --------------------------------------------------------------------------------

    def _reign(self, now_ms: float) -> list[m.Action]:
        """Begin with an empty decision: what earlier terms left open is decided along with it,
        never by itself."""
        self.role, self.leader, self.led_ms = Role.LEADER, self.me, now_ms
        self.match, self.sent, self.acked_ms = {}, {}, {}
        return self._lead_on(now_ms, m.Entry(self.saved.term, "none"))

    def _lead_on(self, now_ms: float, entry: m.Entry) -> list[m.Action]:
        self.saved = msgspec.structs.replace(self.saved, entries=(*self.saved.entries, entry))
        return [m.Persist(self.saved), *self._decide(now_ms), *self._beat(now_ms)]

    def _quorum_ms(self, now_ms: float, unheard_ms: float) -> float:
        """The sending of the last thing that a majority has answered; its own answer is as of now."""
        voters = self.saved.voters
        acked = [now_ms if voter == self.me else self.acked_ms.get(voter, unheard_ms) for voter in voters]
        return sorted(acked, reverse=True)[self._majority(voters) - 1]

    def _beat(self, now_ms: float) -> list[m.Action]:
        self.due_ms = now_ms + self.timing.beat_ms
        return [m.Send(self._next_for(now_ms, to)) for to in self._others()]

    def _next_for(self, now_ms: float, to: str) -> m.Message:
        """What a follower is to be sent: all that it is not known to have, in one piece."""
        saved = self.saved
        before = self.match.get(to, self.sent.get(to, saved.last_index - 1))
        if (term := saved.term_at(before)) is None:
            return m.InstallSnapshotRequest(self.me, to, saved.term, saved.base, now_ms)
        rest = saved.entries[before - saved.base.index :][: m.MAX_ENTRIES]
        return m.AppendEntriesRequest(self.me, to, saved.term, before, term, rest, self.commit, now_ms)

    def _on_appended(self, now_ms: float, message: m.AppendEntriesResponse) -> list[m.Action]:
        actions = self._see_term(now_ms, message.term)
        sender = message.sender
        if not self.is_leader or message.term != self.saved.term or sender not in self.saved.voters:
            return actions
        self.acked_ms[sender] = max(self.acked_ms.get(sender, self.led_ms), min(message.sent_ms, now_ms))
        if not message.good:  # go back to where it may agree; what is agreed already is never forgotten
            self.sent[sender] = min(message.match, self.saved.last_index)
            return [*actions, m.Send(self._next_for(now_ms, sender))]
        if message.match <= self.saved.last_index:
            behind = self.match.get(sender, -1) < message.match < self.saved.last_index
            self.match[sender] = max(self.match.get(sender, 0), message.match)
            decided = self._decide(now_ms)
            actions += decided
            if self.is_leader and (decided or behind):
                actions.append(m.Send(self._next_for(now_ms, sender)))
        return actions

    def _decide(self, now_ms: float) -> list[m.Action]:
        """What a majority holds of this very term is decided, and all before it."""
        voters = self.saved.voters
        held = sorted(
            (self.saved.last_index if voter == self.me else self.match.get(voter, 0) for voter in voters),
            reverse=True,
        )
        index = held[self._majority(voters) - 1]
        if index <= self.commit or self.saved.term_at(index) != self.saved.term:
            return []
        actions = self._commit_to(index)
        if not self.is_voter and not has_uncommitted_voters(self.saved, self.commit):
            self._follow(now_ms, "")  # it has led its own removal to the end
        return actions

    # --- following ------------------------------------------------------------------------------

    def _led_by(
        self, now_ms: float, message: m.AppendEntriesRequest | m.InstallSnapshotRequest
    ) -> list[m.Action] | None:
        """Take over a leader's term; None where it is a leader of the past."""
        if message.term < self.saved.term:
            return None
        actions = self._see_term(now_ms, message.term)
        if self.role is not Role.FOLLOWER:
            self._follow(now_ms, message.sender)
        self.leader, self.heard_ms = message.sender, now_ms
        self._rest(now_ms)
        return actions

    def _answer(
        self, message: m.AppendEntriesRequest | m.InstallSnapshotRequest, good: bool, match: int
    ) -> m.Send:
        return m.Send(
            m.AppendEntriesResponse(self.me, message.sender, self.saved.term, good, match, message.sent_ms)
        )

    def _on_append(self, now_ms: float, message: m.AppendEntriesRequest) -> list[m.Action]:
        actions = self._led_by(now_ms, message)
        if actions is None:
            return [self._answer(message, False, self.saved.last_index)]
        saved, before, entries = self.saved, message.before_index, message.entries
        if before < saved.base.index:  # what is folded away was decided: the leader has the same
            skip = saved.base.index - before
            if skip > len(entries):
                return [*actions, self._answer(message, True, before + len(entries))]
            before, entries = saved.base.index, entries[skip:]
        elif saved.term_at(before) != message.before_term:
            guess = min(saved.last_index, before - 1) if saved.term_at(before) is None else before - 1
            return [*actions, self._answer(message, False, max(guess, saved.base.index))]
        match = before + len(entries)
        kept = saved.entries[: before - saved.base.index]
        mine = saved.entries[before - saved.base.index :]
        # A repeat of an old message must not cut off what came after it: only a contradiction does.
        if mine[: len(entries)] != entries:
            self.saved = msgspec.structs.replace(saved, entries=kept + entries)
            actions = [m.Persist(self.saved)]
        actions += self._commit_to(min(message.commit, match))
        return [*actions, self._answer(message, True, match)]

    def _on_install(self, now_ms: float, message: m.InstallSnapshotRequest) -> list[m.Action]:
        actions = self._led_by(now_ms, message)
        if actions is None:
            return [self._answer(message, False, self.saved.last_index)]
        base, saved = message.base, self.saved
        if base.index > self.commit:
            agrees = saved.term_at(base.index) == base.term
            rest = saved.entries[base.index - saved.base.index :] if agrees else ()
            self.saved = msgspec.structs.replace(saved, base=base, entries=rest)
            self.commit = base.index
            actions = [m.Persist(self.saved)]
            known = dict(snapshot_registers(saved.base))
            for kind, (index, text) in snapshot_registers(base):
                if index > known[kind][0]:
                    actions.append(m.Committed(index, base.term, kind, text, ()))
        return [
            *actions,
            self._answer(message, True, max(base.index, min(self.commit, self.saved.last_index))),
        ]

    def _commit_to(self, index: int) -> list[m.Action]:
        actions: list[m.Action] = []
        while self.commit < min(index, self.saved.last_index):
            self.commit += 1
            entry = entry_at(self.saved, self.commit)
            actions.append(m.Committed(self.commit, entry.term, entry.kind, entry.plan, entry.voters))
        if self.commit - self.saved.base.index > SNAPSHOT_AFTER:
            self.saved = compacted(self.saved, self.commit)
            actions.append(m.Persist(self.saved))
        return actions

    _HANDLERS = {
        m.PreVoteRequest: "_on_pre_vote",
        m.PreVoteResponse: "_on_pre_voted",
        m.VoteRequest: "_on_vote",
        m.VoteResponse: "_on_voted",
        m.AppendEntriesRequest: "_on_append",
        m.InstallSnapshotRequest: "_on_install",
        m.AppendEntriesResponse: "_on_appended",
    }
