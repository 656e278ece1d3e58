"""One voter of a Raft group: elections with pre-votes, log replication, quorum checks and leader leases.

Follows Ongaro and Ousterhout, 'In Search of an Understandable Consensus Algorithm' (2014), and Ongaro's
thesis (2014): section 4.1 for membership changes of one voter at a time, 6.4 for leases, 9.6 for pre-votes.

A voter does no I/O and reads no clock; all its randomness comes from the given seed. Each call returns
actions, which the owner carries out in order: the state of a Persist must be on disk before a later message
is sent. Times are milliseconds on the voter's own clock. That clock may drift by
`Timing.max_clock_drift_ratio` and must not step back.
"""

from typing import NamedTuple

import msgspec

from fawnwharf.consensus import messages as m
from fawnwharf.consensus.committed_log import (
    compact_log,
    entry_at,
    has_uncommitted_voters,
    snapshot_values,
)
from fawnwharf.consensus.voter_state import Role, VoterState

SNAPSHOT_AFTER_ENTRIES = 24  # committed entries kept for lagging followers; with more, the log is compacted


class Proposal(NamedTuple):
    """The result of a proposal: the log index of its entry and the actions to carry out.

    If nothing was appended, `log_index` is None and there are no actions.
    """

    log_index: int | None
    actions: list[m.Action]


def bootstrap_state(identity: str) -> m.PersistentState:
    """The initial state of the first voter of a new group: a voter list with only itself.

    Only one voter of a group may start from it: a second one would lead a separate group. The other voters
    start from an empty PersistentState and wait until a leader adds them.
    """
    return m.PersistentState(term=1, snapshot=m.Snapshot(index=1, term=1, voters=(identity,)))


class Voter(VoterState):
    """Handles the events of one voter: its timer, messages and proposals."""

    # --- events ---------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[m.Action]:
        """Handles the timer; the owner calls it at `due_ms` at the latest."""
        if now_ms < self.due_ms:
            return []
        if self.is_leader:
            return self._tick_as_leader(now_ms)
        if not self.is_in_voter_list:
            self._reset_election_timer(now_ms)
            return []
        return self._start_pre_vote(now_ms)

    def _tick_as_leader(self, now_ms: float) -> list[m.Action]:
        silent_ms = now_ms - self._quorum_contact_ms(now_ms, self.leader_since_ms)
        if silent_ms > self.timing.step_down_timeout_ms:
            self._become_follower(now_ms, "")  # lets a voter that reaches a majority lead instead
            return []
        return self._send_heartbeats(now_ms)

    def receive(self, now_ms: float, message: m.Message) -> list[m.Action]:
        """Handles one message; ignores a message to another voter."""
        if message.to != self.identity or message.sender == self.identity:
            return []
        match message:
            case m.PreVoteRequest():
                return self._on_pre_vote_request(now_ms, message)
            case m.PreVoteResponse():
                return self._on_pre_vote_response(now_ms, message)
            case m.VoteRequest():
                return self._on_vote_request(now_ms, message)
            case m.VoteResponse():
                return self._on_vote_response(now_ms, message)
            case m.AppendEntriesRequest():
                return self._on_append_request(now_ms, message)
            case m.InstallSnapshotRequest():
                return self._on_install_snapshot(now_ms, message)
            case m.AppendEntriesResponse():
                return self._on_append_response(now_ms, message)

    def propose(self, now_ms: float, text: str, kind: str = "plan") -> Proposal:
        """Appends an entry with a new value of a kind in LATEST_VALUE_KINDS.

        The index is None if this voter is not the leader, its log is full, or the text is longer than
        MAX_TEXT_CHARACTERS. An index only means that the entry is in the leader's log. The entry may be lost
        until a Committed action names its index and term.
        """
        if not self.is_leader or len(text) > m.MAX_TEXT_CHARACTERS or self._log_is_full():
            return Proposal(None, [])
        entry = m.Entry(self.saved.term, kind, text=text)
        index = self.saved.last_index + 1
        return Proposal(index, self._append_entry(now_ms, entry))

    def propose_voters(self, now_ms: float, voters: tuple[str, ...]) -> Proposal:
        """Appends a complete voter list with one voter more or one fewer than the list in force.

        The index is None if this voter is not the leader, its log is full, the list differs in another way
        or has more than MAX_VOTERS, or the last voter list is not committed yet.

        Majorities of two lists that differ by one voter always overlap, but this holds only for successive
        lists. Therefore the last list must be committed, and so must an entry of the current term (see the
        correction to Ongaro's thesis).
        """
        if not self._may_change_voters(voters):
            return Proposal(None, [])
        entry = m.Entry(self.saved.term, "voters", voters=tuple(sorted(voters)))
        index = self.saved.last_index + 1
        return Proposal(index, self._append_entry(now_ms, entry))

    def _may_change_voters(self, voters: tuple[str, ...]) -> bool:
        proposed = set(voters)
        if not self.is_leader or self._log_is_full() or not 0 < len(proposed) <= m.MAX_VOTERS:
            return False
        if not self._committed_in_term() or has_uncommitted_voters(self.saved, self.commit_index):
            return False
        return len(proposed) == len(voters) and len(proposed ^ set(self.saved.voters)) == 1

    def _log_is_full(self) -> bool:
        return len(self.saved.entries) >= m.MAX_LEADER_ENTRIES

    # --- elections ------------------------------------------------------------------------------

    def _start_pre_vote(self, now_ms: float) -> list[m.Action]:
        """Asks for pre-votes, so that a voter back from a partition can't depose a working leader."""
        self.role = Role.PRE_CANDIDATE
        self.leader = ""
        self.votes_granted = frozenset((self.identity,))
        self._reset_election_timer(now_ms)
        if self._has_majority():
            return self._start_election(now_ms)
        saved = self.saved
        return [
            m.Send(m.PreVoteRequest(self.identity, to, saved.term + 1, saved.last_index, saved.last_term))
            for to in self._peers()
        ]

    def _start_election(self, now_ms: float) -> list[m.Action]:
        self.role = Role.CANDIDATE
        self.votes_granted = frozenset((self.identity,))
        saved = msgspec.structs.replace(self.saved, term=self.saved.term + 1, voted_for=self.identity)
        self.saved = saved
        self._reset_election_timer(now_ms)
        actions: list[m.Action] = [m.Persist(saved)]
        if self._has_majority():
            return actions + self._become_leader(now_ms)
        return actions + [
            m.Send(m.VoteRequest(self.identity, to, saved.term, saved.last_index, saved.last_term))
            for to in self._peers()
        ]

    def _on_pre_vote_request(self, now_ms: float, message: m.PreVoteRequest) -> list[m.Action]:
        granted = (
            message.term > self.saved.term
            and self._is_up_to_date(message)
            and not self._is_bound_to_leader(now_ms)
        )
        term = message.term if granted else self.saved.term  # lets a lagging candidate adopt this term
        return [m.Send(m.PreVoteResponse(self.identity, message.sender, term, granted))]

    def _on_pre_vote_response(self, now_ms: float, message: m.PreVoteResponse) -> list[m.Action]:
        if not message.granted:
            return self._observe_term(now_ms, message.term)
        if self.role is not Role.PRE_CANDIDATE or message.term != self.saved.term + 1:
            return []
        self.votes_granted |= {message.sender}
        return self._start_election(now_ms) if self._has_majority() else []

    def _on_vote_request(self, now_ms: float, message: m.VoteRequest) -> list[m.Action]:
        if message.term > self.saved.term and self._is_bound_to_leader(now_ms):
            return []  # the term is not adopted either: that would depose a working leader
        actions = self._observe_term(now_ms, message.term)
        granted = (
            message.term == self.saved.term
            and self.saved.voted_for in ("", message.sender)
            and self._is_up_to_date(message)
            and not self._is_bound_to_leader(now_ms)
        )
        if granted and not self.saved.voted_for:
            self.saved = msgspec.structs.replace(self.saved, voted_for=message.sender)
            actions = [m.Persist(self.saved)]  # includes the term adopted above
        if granted:
            self._reset_election_timer(now_ms)
        return [*actions, m.Send(m.VoteResponse(self.identity, message.sender, self.saved.term, granted))]

    def _on_vote_response(self, now_ms: float, message: m.VoteResponse) -> list[m.Action]:
        actions = self._observe_term(now_ms, message.term)
        if self.role is Role.CANDIDATE and message.term == self.saved.term and message.granted:
            self.votes_granted |= {message.sender}
            if self._has_majority():
                actions += self._become_leader(now_ms)
        return actions

    def _observe_term(self, now_ms: float, term: int) -> list[m.Action]:
        """Adopts a later term and becomes a follower; does nothing for any other term."""
        if term <= self.saved.term:
            return []
        self.saved = msgspec.structs.replace(self.saved, term=term, voted_for="")
        self._become_follower(now_ms, "")
        return [m.Persist(self.saved)]

    # --- leader ---------------------------------------------------------------------------------

    def _become_leader(self, now_ms: float) -> list[m.Action]:
        """Appends an empty entry: a leader commits earlier terms' entries only with one of its own term."""
        self.role = Role.LEADER
        self.leader = self.identity
        self.leader_since_ms = now_ms
        self._clear_follower_progress()
        return self._append_entry(now_ms, m.Entry(self.saved.term, "none"))

    def _append_entry(self, now_ms: float, entry: m.Entry) -> list[m.Action]:
        self.saved = msgspec.structs.replace(self.saved, entries=(*self.saved.entries, entry))
        persist = m.Persist(self.saved)
        return [persist, *self._advance_commit_index(now_ms), *self._send_heartbeats(now_ms)]

    def _send_heartbeats(self, now_ms: float) -> list[m.Action]:
        self.due_ms = now_ms + self.timing.heartbeat_ms
        return [m.Send(self._replication_message(now_ms, to)) for to in self._peers()]

    def _replication_message(self, now_ms: float, to: str) -> m.Message:
        """The entries that a follower is not known to have, or the snapshot if they are compacted."""
        saved = self.saved
        previous_index = self.match_index.get(to, self.probe_index.get(to, saved.last_index - 1))
        previous_term = saved.term_at(previous_index)
        if previous_term is None:
            return m.InstallSnapshotRequest(self.identity, to, saved.term, saved.snapshot, now_ms)
        entries = saved.entries[previous_index - saved.snapshot.index :][: m.MAX_ENTRIES_PER_MESSAGE]
        return m.AppendEntriesRequest(
            self.identity, to, saved.term, previous_index, previous_term, entries, self.commit_index, now_ms
        )

    def _on_append_response(self, now_ms: float, message: m.AppendEntriesResponse) -> list[m.Action]:
        actions = self._observe_term(now_ms, message.term)
        sender = message.sender
        if not self.is_leader or message.term != self.saved.term or sender not in self.saved.voters:
            return actions
        contact_ms = self.acknowledged_ms.get(sender, self.leader_since_ms)
        self.acknowledged_ms[sender] = max(contact_ms, min(message.request_sent_ms, now_ms))
        last_index = self.saved.last_index
        if not message.success:  # a known match_index stays valid
            self.probe_index[sender] = min(message.match_index, last_index)
            return [*actions, m.Send(self._replication_message(now_ms, sender))]
        if message.match_index <= last_index:
            is_behind = self.match_index.get(sender, -1) < message.match_index < last_index
            self.match_index[sender] = max(self.match_index.get(sender, 0), message.match_index)
            committed = self._advance_commit_index(now_ms)
            actions += committed
            if self.is_leader and (committed or is_behind):
                actions.append(m.Send(self._replication_message(now_ms, sender)))
        return actions

    def _advance_commit_index(self, now_ms: float) -> list[m.Action]:
        """Commits through the last entry that a majority has, if that entry is of the current term."""
        last_index = self.saved.last_index
        index = self._majority_value(
            lambda voter: last_index if voter == self.identity else self.match_index.get(voter, 0)
        )
        if index <= self.commit_index or self.saved.term_at(index) != self.saved.term:
            return []
        actions = self._commit_through(index)
        if not self.is_in_voter_list and not has_uncommitted_voters(self.saved, self.commit_index):
            self._become_follower(now_ms, "")  # its own removal is committed
        return actions

    # --- follower -------------------------------------------------------------------------------

    def _accept_leader(
        self, now_ms: float, message: m.AppendEntriesRequest | m.InstallSnapshotRequest
    ) -> list[m.Action] | None:
        """Follows the sender as leader of its term; None if the term is older than this voter's."""
        if message.term < self.saved.term:
            return None
        actions = self._observe_term(now_ms, message.term)
        if self.role is not Role.FOLLOWER:
            self._become_follower(now_ms, message.sender)
        self.leader = message.sender
        self.leader_contact_ms = now_ms
        self._reset_election_timer(now_ms)
        return actions

    def _append_response(
        self,
        message: m.AppendEntriesRequest | m.InstallSnapshotRequest,
        *,
        success: bool,
        match_index: int,
    ) -> m.Send:
        response = m.AppendEntriesResponse(
            self.identity, message.sender, self.saved.term, success, match_index, message.sent_ms
        )
        return m.Send(response)

    def _on_append_request(self, now_ms: float, message: m.AppendEntriesRequest) -> list[m.Action]:
        actions = self._accept_leader(now_ms, message)
        if actions is None:
            return [self._append_response(message, success=False, match_index=self.saved.last_index)]
        saved = self.saved
        previous_index = message.previous_index
        entries = message.entries
        if previous_index < saved.snapshot.index:  # compacted entries are committed, so both logs agree there
            skipped = saved.snapshot.index - previous_index
            if skipped > len(entries):
                match_index = previous_index + len(entries)
                return [*actions, self._append_response(message, success=True, match_index=match_index)]
            previous_index = saved.snapshot.index
            entries = entries[skipped:]
        elif saved.term_at(previous_index) != message.previous_term:
            match_index = self._estimated_match(previous_index)
            return [*actions, self._append_response(message, success=False, match_index=match_index)]
        actions = self._merge_entries(previous_index, entries) or actions  # includes the term adopted above
        match_index = previous_index + len(entries)
        actions += self._commit_through(min(message.commit_index, match_index))
        return [*actions, self._append_response(message, success=True, match_index=match_index)]

    def _estimated_match(self, previous_index: int) -> int:
        """The last index at which both logs may agree, given that they differ at `previous_index`."""
        saved = self.saved
        estimate = previous_index - 1
        if saved.term_at(previous_index) is None:
            estimate = min(saved.last_index, estimate)
        return max(estimate, saved.snapshot.index)

    def _merge_entries(self, previous_index: int, entries: m.Entries) -> list[m.Action]:
        """Stores the entries; truncates the log only on a conflict, so a repeated message removes nothing."""
        offset = previous_index - self.saved.snapshot.index
        if self.saved.entries[offset : offset + len(entries)] == entries:
            return []
        self.saved = msgspec.structs.replace(self.saved, entries=self.saved.entries[:offset] + entries)
        return [m.Persist(self.saved)]

    def _on_install_snapshot(self, now_ms: float, message: m.InstallSnapshotRequest) -> list[m.Action]:
        actions = self._accept_leader(now_ms, message)
        if actions is None:
            return [self._append_response(message, success=False, match_index=self.saved.last_index)]
        if message.snapshot.index > self.commit_index:
            actions = self._install(message.snapshot)  # includes the term adopted above
        match_index = max(message.snapshot.index, min(self.commit_index, self.saved.last_index))
        return [*actions, self._append_response(message, success=True, match_index=match_index)]

    def _install(self, snapshot: m.Snapshot) -> list[m.Action]:
        before_install = self.saved
        entries: m.Entries = ()
        if before_install.term_at(snapshot.index) == snapshot.term:
            entries = before_install.entries[snapshot.index - before_install.snapshot.index :]
        self.saved = msgspec.structs.replace(before_install, snapshot=snapshot, entries=entries)
        self.commit_index = snapshot.index
        actions: list[m.Action] = [m.Persist(self.saved)]
        known = snapshot_values(before_install.snapshot)
        for kind, value in snapshot_values(snapshot).items():
            if value.log_index > known[kind].log_index:
                actions.append(m.Committed(value.log_index, snapshot.term, kind, value.text, ()))
        return actions

    def _commit_through(self, index: int) -> list[m.Action]:
        actions: list[m.Action] = []
        while self.commit_index < min(index, self.saved.last_index):
            self.commit_index += 1
            entry = entry_at(self.saved, self.commit_index)
            actions.append(m.Committed(self.commit_index, entry.term, entry.kind, entry.text, entry.voters))
        if self.commit_index - self.saved.snapshot.index > SNAPSHOT_AFTER_ENTRIES:
            self.saved = compact_log(self.saved, self.commit_index)
            actions.append(m.Persist(self.saved))
        return actions
