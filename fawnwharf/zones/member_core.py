"""The core of one member of the fleet: what it takes from others' logs, and what it writes into its own.

Pure: lines, evidence, ticks and files come in with a time, and effects go out in order. A Keep has to be on
disk before any later effect of the same list is carried out. The same core runs in `serve`, and by the
thousand in virtual time.

There are two logs: one that everybody may follow (reports, the decided plan, a leader's statement that it is
the last) and, of voters only, one for the other voters (the consensus protocol itself).
"""

from typing import Any

import msgspec

from fawnwharf.consensus import messages as m
from fawnwharf.consensus.timing import Timing
from fawnwharf.consensus.voter import Voter
from fawnwharf.zones import settings as s
from fawnwharf.zones.evidence import ZoneEvidence
from fawnwharf.zones.log_lines import (
    POLICY,
    RECOVERY,
    ConsensusStatus,
    DropCounts,
    Effect,
    FollowPlan,
    LogEvent,
    LogLine,
    LogLineError,
    MessagesReceived,
    PublishLine,
    RegisterDecided,
    SaveVoterState,
    SendVoterMessage,
    messages_for,
)
from fawnwharf.zones.plan import Plan, PlanError, plan_from
from fawnwharf.zones.planner import Report, ZonePlanner


class MemberCore:
    """Owns a member's part in the fleet.

    Its view of the plan, and as a voter also the voter and the judge.
    """

    def __init__(
        self,
        name: str,
        members: s.Membership,
        settings: s.ZoneSettings,
        now_ms: float,
        seed: int,
        identity: str = "",
        saved: m.PersistentState | None = None,
        saves: int = 0,
    ) -> None:
        """A voter brings its identity, its saved state and how often that was written; others only follow."""
        self.name, self.members, self.settings = name, members, settings
        self.identity, self.counts = identity, DropCounts()
        voting = settings.voting
        self.voter: Voter | None = None
        if identity:
            timing = Timing(voting.beat_ms, voting.election_ms, voting.skew)
            self.voter = Voter(identity, saved or m.PersistentState(), timing, now_ms, seed)
        self.judge = ZonePlanner(settings, now_ms)
        self.plan, self.index = Plan(), 0  # the last decided one that is known
        self.text, self.published = "", 0  # as it was decided; the index that stands in the own log
        self.fresh_ms: float | None = None  # when it was last said to be the last
        self.following: tuple[int, bool] = (0, False)  # what was last given out
        self.number = 0  # of own reports
        self.saves = saves
        self.heard_saves: dict[str, int] = {}  # the most that each voter's ballots told
        self.wishes = s.OperatorRequest()
        self.report_due_ms = self.fresh_due_ms = self.judge_due_ms = self.watch_due_ms = now_ms
        self.roles = ("", 0)
        if self.voter:
            self._learn(self.voter.plan[0], self.voter.plan[1])

    @property
    def zone(self) -> str:
        """This member's zone; empty where it is on no list."""
        entry = self.members.named(self.name)
        return entry.zone if entry else ""

    def due_ms(self) -> float:
        """When `tick` is wanted next."""
        dues = [self.report_due_ms]
        if self.voter:
            dues.append(self.voter.due_ms)
            if self.voter.is_leader:
                dues += [self.fresh_due_ms, self.judge_due_ms]
            else:
                dues.append(self.watch_due_ms)
        if self.following[1] and self.fresh_ms is not None:
            dues.append(self.fresh_ms + self.settings.voting.valid_ms)
        return min(dues)

    # --- what comes in --------------------------------------------------------------------------

    def line(self, now_ms: float, sender: str, data: Any, ballots: bool) -> list[Effect]:
        """Take one line of a member's log, or of its ballots.

        Raises LineFault for what no correct member writes.
        """
        line = self._checked(sender, data)
        if self.members.named(sender) is None:
            self.counts.add("no member")
            return []
        if ballots:
            return self._ballot(now_ms, sender, line)
        if line.report is not None:
            if line.report.name != sender:
                raise LogLineError(f"a report of {line.report.name} from {sender}")
            self.judge.heard(now_ms, line.report)
        if line.plan is not None:
            self._told(line)
        if line.fresh and line.index == self.index:
            self.fresh_ms = now_ms
        elif line.fresh:
            self.counts.add(
                "word on an older plan" if line.index < self.index else "word on a plan not known"
            )
        return [*self._given_out(now_ms), *self._heard(sender, line)]

    def _checked(self, sender: str, data: Any) -> LogLine:
        """The line, of this fleet and of its sender; raises LineFault for any other."""
        try:
            line = msgspec.convert(data, LogLine)
        except msgspec.ValidationError as error:
            raise LogLineError(f"not a line of a member: {error}") from None
        if line.fleet != self.members.fleet:
            raise LogLineError(f"of fleet {line.fleet}")
        if line.sender != sender:
            raise LogLineError(f"says that it is {line.sender}, and is {sender}")
        return line

    def _heard(self, sender: str, line: LogLine) -> list[Effect]:
        try:
            words = messages_for(self.name, line.messages) if line.messages is not None else {}
        except msgspec.ValidationError:
            self.counts.add("bad words")
            return [LogEvent("bad words", {"sender": sender, "counts": dict(self.counts.dropped)})]
        stands = {POLICY: line.policy, RECOVERY: line.recovery}
        riders = dict.fromkeys([*words, *(rider for rider, told in stands.items() if told is not None)])
        return [MessagesReceived(sender, words.get(rider, ()), stands.get(rider), rider) for rider in riders]

    def _told(self, line: LogLine) -> None:
        """A decided plan from any member is as good as from the leader: a number is decided once."""
        if line.index <= self.index:
            return
        try:
            plan = plan_from(line.plan)
        except PlanError as error:
            raise LogLineError(f"a plan that is none: {error}") from None
        # Decided after the one before, so it is no older than that was.
        self.plan, self.index, self.text = plan, line.index, line.plan

    def _ballot(self, now_ms: float, sender: str, line: LogLine) -> list[Effect]:
        try:
            message = m.message_from(line.voter_message)
        except msgspec.ValidationError as error:
            raise LogLineError(f"not a ballot: {error}") from None
        if message.sender.partition("#")[0] != sender:
            raise LogLineError(f"a ballot of {message.sender} from {sender}")
        entry = self.members.named(sender)
        if self.voter is None or not entry.ballots:
            self.counts.add("ballot of no voter")
            return []
        if (most := self.heard_saves.get(message.sender, 0)) > line.disk_writes:
            # Its disk is an older copy of itself: what it promised since is lost to it, and it might vote
            # twice.
            self.counts.add("ballot from an older disk")
            fields = {"voter": message.sender, "saves": line.disk_writes, "told before": most}
            return [LogEvent("older disk", fields)]
        self.heard_saves[message.sender] = line.disk_writes
        return self._voted(now_ms, self.voter.receive(now_ms, message))

    def take_members(self, now_ms: float, members: s.Membership) -> list[Effect]:
        """Take a later file of members; older ones and other fleets' are ignored."""
        if members.fleet != self.members.fleet or members.number <= self.members.number:
            why = (
                "of another fleet" if members.fleet != self.members.fleet else "not later than the one in use"
            )
            return [LogEvent("members left aside", {"number": members.number, "why": why})]
        self.members = members
        return [LogEvent("members taken", {"number": members.number, "members": len(members.members)})]

    def take_wishes(self, wishes: s.OperatorRequest) -> list[Effect]:
        """Take a later file of operators' requests."""
        if wishes.number <= self.wishes.number:
            return []
        self.wishes = wishes
        self.report_due_ms = 0.0
        return [LogEvent("wishes taken", {"number": wishes.number, "drained": list(wishes.drained)})]

    # --- time -----------------------------------------------------------------------------------

    def tick(
        self, now_ms: float, seen: dict[str, ZoneEvidence], sizes: dict[str, float], roster_ms: float
    ) -> list[Effect]:
        """Do what is due; `seen`, `sizes` and `roster_ms` are for the next report."""
        effects: list[Effect] = []
        if now_ms >= self.report_due_ms:
            effects.append(self._report(now_ms, seen, sizes, roster_ms))
        if self.voter:
            effects += self._voted(now_ms, self.voter.tick(now_ms))
            if self.voter.is_leader:
                effects += self._lead(now_ms)
            elif now_ms >= self.watch_due_ms:
                self.watch_due_ms = now_ms + self.settings.evidence.report_ms / 2
                self.judge.watch(now_ms, self.members, self.plan)
        return effects + self._given_out(now_ms)

    def changed(self, now_ms: float) -> None:
        """Take that this front end's view of a zone changed, and report it soon.

        Such reports come at most three times as fast as usual.
        """
        soon = now_ms + self.settings.evidence.report_ms / 3
        self.report_due_ms = min(self.report_due_ms, soon)

    def make_line(self, **parts: Any) -> LogLine:
        """A line of this member's log with these fields."""
        return LogLine(self.members.fleet, self.name, **parts)

    def _report(
        self, now_ms: float, seen: dict[str, ZoneEvidence], sizes: dict[str, float], roster_ms: float
    ) -> PublishLine:
        self.number += 1
        self.report_due_ms = now_ms + self.settings.evidence.report_ms
        report = Report(
            self.name, self.zone, self.number, seen, sizes, max(0.0, roster_ms), self.identity, self.wishes
        )
        self.judge.heard(now_ms, report)
        return PublishLine(self.make_line(report=report))

    # --- voting and leading ---------------------------------------------------------------------

    def _voted(self, now_ms: float, actions: list[m.Action]) -> list[Effect]:
        effects: list[Effect] = []
        for action in actions:
            if isinstance(action, m.Persist):
                self.saves += 1
                effects.append(SaveVoterState(action.saved))
            elif isinstance(action, m.Send):
                to = action.message.to.partition("#")[0]
                ballot = msgspec.to_builtins(action.message)
                effects.append(
                    SendVoterMessage(to, self.make_line(voter_message=ballot, disk_writes=self.saves))
                )
            else:
                effects += self._decided(action)
        role = (self.voter.role.value, self.voter.saved.term)
        if role != self.roles and (role[0] == "leader" or self.roles[0] == "leader"):
            effects.append(LogEvent("role", {"role": role[0], "term": role[1]}))
            if role[0] == "leader":
                # It has watched as a follower; where not for long enough to have heard all, it waits.
                heard_all_ms = self.judge.since_ms + self.settings.evidence.report_life_ms
                self.judge_due_ms = max(now_ms, heard_all_ms)
                self.fresh_due_ms = now_ms
        self.roles = role
        return effects + self._given_out(now_ms)

    def _decided(self, decided: m.Committed) -> list[Effect]:
        if decided.kind == "voters":
            return [LogEvent("voters", {"index": decided.index, "voters": list(decided.voters)})]
        if decided.kind in (POLICY, RECOVERY):
            return [RegisterDecided(decided.index, decided.text, decided.kind)]
        if decided.kind != "plan" or not self._learn(decided.index, decided.text):
            return []
        states = {name: f"{zone.state} {zone.share:g}" for name, zone in self.plan.zones.items()}
        return [LogEvent("plan", {"index": decided.index, "term": decided.term, "zones": states})]

    def _learn(self, index: int, text: str) -> bool:
        if index <= self.index:
            return False
        try:
            self.plan = plan_from(text)
        except PlanError:
            self.counts.add("a decided plan that is none")
            return False
        self.index, self.text = index, text
        return True

    def consensus_status(self, now_ms: float) -> ConsensusStatus:
        """The state of its voter, for those that change registers."""
        voter = self.voter
        if voter is None or not voter.is_leader:
            return ConsensusStatus()
        settled = voter.commit_index == voter.saved.last_index
        policy, recovery = voter.last(POLICY)[1], voter.last(RECOVERY)[1]
        fresh = voter.holds_read_lease(now_ms)
        return ConsensusStatus(voter.saved.term, fresh, settled, policy, recovery, voter.saved.voters)

    def propose_register(self, now_ms: float, text: str, kind: str = POLICY) -> tuple[bool, list[Effect]]:
        """Propose a register to the consensus log; False where it never came into the log."""
        if self.voter is None:
            return False, []
        index, actions = self.voter.propose(now_ms, text, kind)
        return index is not None, self._voted(now_ms, actions)

    def _lead(self, now_ms: float) -> list[Effect]:
        effects: list[Effect] = []
        if now_ms >= self.judge_due_ms:
            self.judge_due_ms = now_ms + self.settings.evidence.report_ms / 2
            effects += self._judge(now_ms)
        if now_ms >= self.fresh_due_ms and self.voter.holds_read_lease(now_ms):
            self.fresh_due_ms = now_ms + self.settings.voting.fresh_ms
            index, term = self.voter.plan[0], self.voter.saved.term
            if index:
                self.fresh_ms = now_ms
                effects.append(PublishLine(self.make_line(fresh=True, index=index, term=term)))
        return effects

    def _judge(self, now_ms: float) -> list[Effect]:
        settled = self.voter.commit_index == self.voter.saved.last_index
        if not settled or not self.voter.holds_read_lease(now_ms):
            return []  # one decision at a time, and none on a view that may be old
        effects = self._reconcile(now_ms)
        if effects:
            return effects
        following = self.judge.next_plan(now_ms, self.members, self.plan)
        for zone, why in self.judge.refused.items():
            effects.append(LogEvent("refused", {"zone": zone, "why": why}))
        if following is None:
            return effects
        _, actions = self.voter.propose(now_ms, following.encode())
        changed = {
            name: {"from": getattr(self.plan.zones.get(name), "state", ""), "to": zone.state, "why": zone.why}
            for name, zone in following.zones.items()
            if zone != self.plan.zones.get(name)
        }
        seen = {
            report.name: {zone: msgspec.to_builtins(signs) for zone, signs in report.seen.items()}
            for report in self.judge.alive(now_ms, self.members).values()
        }
        note = LogEvent("proposed", {"number": following.number, "changed": changed, "evidence": seen})
        return [*effects, note, *self._voted(now_ms, actions)]

    def _reconcile(self, now_ms: float) -> list[Effect]:
        """Bring the list of voters to what the file of members wants, one at a time.

        A voter with another disk than the one on the list is another voter: what the old one said may still
        count, and the new one does not know what it had promised. The old one is taken off, then the new one
        is added.
        """
        now = self.voter.saved.voters
        wanted = {member.name for member in self.members.voters}
        present = {
            report.name: report.identity
            for report in self.judge.alive(now_ms, self.members).values()
            if report.identity and report.name in wanted and report.identity.startswith(report.name + "#")
        }
        gone = [v for v in now if v.partition("#")[0] not in wanted]
        replaced = [v for v in now if present.get(v.partition("#")[0], v) != v]
        missing = [v for name, v in sorted(present.items()) if v not in now]
        fresh = [v for v in missing if not any(v.partition("#")[0] == old.partition("#")[0] for old in now)]
        others_first = sorted(replaced + gone, key=lambda v: v == self.voter.identity)
        if others_first and len(now) > 1:
            voters = tuple(v for v in now if v != others_first[0])
        elif fresh:
            voters = (*now, fresh[0])
        else:
            return []
        index, actions = self.voter.propose_voters(now_ms, voters)
        if index is None:
            return []
        note = LogEvent("voters proposed", {"index": index, "from": list(now), "to": list(voters)})
        return [note, *self._voted(now_ms, actions)]

    # --- what this front end goes by ------------------------------------------------------------

    def valid(self, now_ms: float) -> bool:
        """Whether the plan was said to be the last within the stated time."""
        return (
            self.index > 0
            and self.fresh_ms is not None
            and now_ms - self.fresh_ms < self.settings.voting.valid_ms
        )

    def _given_out(self, now_ms: float) -> list[Effect]:
        effects: list[Effect] = []
        if self.index > self.published:  # whoever asks any member may have it
            self.published = self.index
            effects.append(PublishLine(self.make_line(plan=self.text, index=self.index)))
        state = (self.index, self.valid(now_ms))
        if state == self.following:
            return effects
        before, self.following = self.following, state
        if state[1]:
            effects.append(FollowPlan(self.plan, self.index))
        elif before[1]:
            effects += [FollowPlan(None, self.index), LogEvent("plan old", {"index": self.index})]
        return effects
