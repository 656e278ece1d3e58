"""One front end's part in the state that is kept together: its own claims, and what it keeps for others.

Pure: lines, calls and ticks come in with a time, and effects go out in order. The same core runs in `serve`
and, by the dozen, in virtual time.
"""

from typing import Any

import msgspec

from fawnwharf import interface as io
from fawnwharf.interface import Effect
from fawnwharf.replication import messages as m
from fawnwharf.replication.call_owner import CallOwner, OwnerAction
from fawnwharf.replication.claims import ClaimPhase
from fawnwharf.replication.failure_reports import FailureReportStore, FailureTracker
from fawnwharf.replication.load_report import LoadReporter
from fawnwharf.replication.placement import ReplicaPlacement, rendezvous_weight
from fawnwharf.replication.remote_loads import LoadReportStore, RemoteLoads
from fawnwharf.replication.replica import Replica
from fawnwharf.replication.settings import ReplicationSettings
from fawnwharf.replication.usage import QuotaShares, UsageTable
from fawnwharf.zones.settings import Membership

TICK_MS = 100.0


class LineError(ValueError):
    """A line that costs its sender the connection; the text says why."""


class ReplicationCore:
    """Owns a front end's claimant and, where it keeps calls, its keeper."""

    def __init__(
        self,
        name: str,
        life: int,
        members: Membership,
        settings: ReplicationSettings,
        now_ms: float,
        fresh: bool = False,
    ) -> None:
        """`life` is another one with each start. `fresh`: the fleet begins, nobody has promised anything."""
        self.name, self.incarnation, self.members, self.settings = name, life, members, settings
        self.placement = ReplicaPlacement(members, settings.replica_zones, settings.replicas_per_zone)
        self.owner_id = f"{name}#{life}"
        self.call_owner = CallOwner(self.owner_id, self.placement, settings)
        self.replica: Replica | None = None
        if name in self.placement.replicas:
            self.replica = Replica(name, self.placement, settings, now_ms, life, fresh)
        self.last_heard: dict[str, tuple[int, float]] = {}  # life and time, by name
        self.statuses: dict[str, m.Status] = {}
        self.greetings: list[tuple[str, int]] = []  # who asked for the log here since which number
        self.counts: dict[str, int] = {}
        self.usage_table = UsageTable()
        self.failure_reports = FailureReportStore()
        self.reported_outliers: list[m.ReportedOutliers] = []  # that came; whoever goes by them clears them
        self.client_messages: list[
            tuple[str, int, m.ClientMessage]
        ] = []  # the same: by whom, and of which life
        self._reported_failures = False  # bad scorers were told last time
        self.quota_shares: QuotaShares | None = None  # where quotas are kept by the fleet
        self.load_reporter: LoadReporter | None = None  # where work is told to others
        self.load_report_store = LoadReportStore(
            settings.load_report_lifetime_ms, settings.copy_lifetime_ms, life
        )
        self.remote_loads = RemoteLoads(settings.load_report_lifetime_ms, settings.copy_lifetime_ms)
        self._tick_due_ms = now_ms

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    # --- calls ----------------------------------------------------------------------------------

    def begin_call(self, now_ms: float, key: str, effect: Effect, **more: Any) -> list[OwnerAction]:
        return self._deliver_own(now_ms, self.call_owner.begin(now_ms, key, effect, **more))

    def call_ended(
        self, now_ms: float, key: str, phase: ClaimPhase, digest: str = "", answer: str | None = None
    ) -> list[OwnerAction]:
        return self._deliver_own(now_ms, self.call_owner.call_ended(now_ms, key, phase, digest, answer))

    def client_left(self, now_ms: float, key: str) -> list[OwnerAction]:
        return self._deliver_own(now_ms, self.call_owner.client_left(now_ms, key))

    def revoke_grant(self, now_ms: float, key: str, number: int) -> list[OwnerAction]:
        """What the keeper here granted to an own call is not on disk."""
        return self._deliver_own(now_ms, self.call_owner.revoke_grant(now_ms, key, number, self.name))

    # --- lines ----------------------------------------------------------------------------------

    def receive_line(self, now_ms: float, sender: str, data: Any) -> list[OwnerAction]:
        """One line of a member's log. Raises LineFault for what no honest member writes."""
        try:
            line = m.parse_line(data)
        except msgspec.ValidationError as error:
            raise LineError(f"not a line of state: {error}") from None
        if line.fleet != self.members.fleet:
            raise LineError(f"of fleet {line.fleet}")
        if line.sender != sender:
            raise LineError(f"says that it is {line.sender}, and is {sender}")
        if self.members.find_member(sender) is None:
            self._count("no member")
            return []
        self.last_heard[sender] = line.incarnation, now_ms
        if isinstance(line.message, m.Status):
            self.statuses[sender] = line.message
            return []
        if isinstance(line.message, m.UsageRates):
            if self.quota_shares and sender in self.placement.replicas:
                self.quota_shares.receive(now_ms, sender, line.message)
            return []
        if isinstance(line.message, m.ReportedOutliers):
            if sender in self.placement.replicas:
                self.reported_outliers.append(line.message)
            return []
        if isinstance(line.message, m.ClientMessage) and not line.recipients:
            self.client_messages.append((sender, line.incarnation, line.message))
            return []
        if self.name not in line.recipients:
            return []
        return self._deliver_own(now_ms, self._receive(now_ms, sender, line.incarnation, line.message))

    def _receive(self, now_ms: float, sender: str, life: int, say: m.Message) -> list[OwnerAction]:
        if isinstance(say, m.ClaimReply):
            return self.call_owner.receive_reply(now_ms, sender, say)
        if isinstance(say, m.RemoteLoadReport):
            if (
                self.load_reporter
                and say.incarnation == self.incarnation
                and sender in self.placement.replicas
            ):
                self.remote_loads.heard(sender, life, say)
            else:
                self._count("work: answers to nobody here")
            return []
        if isinstance(say, m.Hello):
            self.greetings.append((sender, say.reader_number))
            return []
        if isinstance(say, m.ClientMessage):
            self.client_messages.append((sender, life, say))
            return []
        keeper = self.replica
        if keeper is None:
            self._count("no keeper here")
            return []
        if isinstance(say, m.ClaimRequest):
            if say.owner != f"{sender}#{life}":
                raise LineError(f"an ask of {say.owner} from {sender}#{life}")
            keeper.live_owners.add(say.owner)
            found = keeper.handle_claim_request(now_ms, sender, say)
        elif isinstance(say, m.ClaimUpdate):
            if say.claim.owner != f"{sender}#{life}":
                raise LineError(f"a claim of {say.claim.owner} from {sender}#{life}")
            found = keeper.handle_claim_update(now_ms, sender, say)
        elif isinstance(say, m.StateRequest):
            found = keeper.handle_state_request(now_ms, sender, say)
        elif isinstance(say, m.StateChunk):
            found = keeper.handle_state_chunk(now_ms, sender, say)
        elif isinstance(say, m.UsageCounters):
            self.usage_table.receive(now_ms, f"{sender}#{life}", say)
            found = []
        elif isinstance(say, m.FailureReport):
            self.failure_reports.heard(now_ms, f"{sender}#{life}", say)
            found = []
        elif isinstance(say, m.LoadReport):
            answer = (
                self.load_report_store.heard(now_ms, self.name, f"{sender}#{life}", say)
                if self.load_reporter
                else None
            )
            found = [m.Send((sender,), answer)] if answer else []
        else:
            found = keeper.handle_store_digests(now_ms, sender, say)
        return list(found)

    def _deliver_own(self, now_ms: float, effects: list[OwnerAction]) -> list[OwnerAction]:
        """What is said to oneself is heard at once; the rest goes out, in order."""
        found: list[OwnerAction] = []
        waiting = list(effects)
        while waiting:
            effect = waiting.pop(0)
            if not isinstance(effect, m.Send):
                found.append(effect)
                continue
            others = tuple(name for name in effect.recipients if name != self.name)
            if others:
                found.append(m.Send(others, effect.message))
            if len(others) < len(effect.recipients):
                waiting[:0] = self._receive(now_ms, self.name, self.incarnation, effect.message)
        return found

    def status(self, now_ms: float) -> m.Status:
        """For operators, and whoever looks after them."""
        keeper, counts = self.replica, self.counts | self.call_owner.counts | self._load_report_counts(now_ms)
        lags = {
            name: round(max(0.0, now_ms - at_ms), 1) for name, (_, at_ms) in sorted(self.last_heard.items())
        }
        if keeper is None:
            return m.Status(counts=counts, open_calls=len(self.call_owner.calls), lags_ms=lags)
        shelf = keeper.claim_store
        sums = {name: shelf.bucket_digests(now_ms, name) for name in self.placement.replicas}
        return m.Status(
            counts=counts | shelf.counts,
            open_calls=len(self.call_owner.calls),
            is_replica=True,
            complete=keeper.is_complete(now_ms),
            calls=len(shelf.calls),
            answer_bytes=shelf.answer_bytes,
            membership_number=self.placement.number,
            lags_ms=lags,
            buckets=sums.get(self.name, {}),
        )

    def log_line(self, say: m.Send) -> m.LogLine:
        return m.LogLine(self.members.fleet, self.name, self.incarnation, say.recipients, say.message)

    def send_client_message(self, ride: m.ClientMessage, to: tuple[str, ...]) -> list[OwnerAction]:
        """To these members, this one among them where it is named; to whoever follows where none is."""
        return self._deliver_own(0.0, [m.Send(to, ride)]) if to else [m.Send((), ride)]

    # --- use ------------------------------------------------------------------------------------

    def send_usage(self, now_ms: float) -> list[OwnerAction]:
        """Own counters to the keepers; of a keeper, the sums to all."""
        found: list[OwnerAction] = []
        if self.quota_shares:
            found = self._deliver_own(
                now_ms, [m.Send(tuple(self.placement.replicas[:16]), self.quota_shares.next_counters(now_ms))]
            )
        if self.replica:
            sums = self.usage_table.rates(now_ms)
            if self.quota_shares:
                self.quota_shares.receive(now_ms, self.name, sums)
            found.append(m.Send((), sums))
        return found

    def send_failure_report(self, now_ms: float, sights: FailureTracker) -> list[OwnerAction]:
        """Bad scorers to the keepers; of a keeper, those that several name to all."""
        named = sights.named(now_ms)
        found: list[OwnerAction] = []
        if named.failures or self._reported_failures:
            found = self._deliver_own(now_ms, [m.Send(tuple(self.placement.replicas[:16]), named)])
        self._reported_failures = bool(named.failures)
        if self.replica:
            hints = self.failure_reports.hints(now_ms, len(self.members.members))
            if hints.scorers:
                self.reported_outliers.append(hints)
                found.append(m.Send((), hints))
        return found

    def send_load_report(self, now_ms: float, fronts: int = 0) -> list[OwnerAction]:
        """Own work to the keepers, of which one answers with that of the others: this one itself, or the
        next by a hash, so that all have about as many to tell. `fronts` are all of the fleet."""
        order = sorted(
            self.placement.replicas[:16],
            key=lambda k: (k != self.name, rendezvous_weight("work", self.name, k)),
        )
        word = self.load_reporter.word(
            now_ms,
            self.remote_loads.after(),
            *self.remote_loads.wants(now_ms, order, self._fleet_size(fronts)),
        )
        self.remote_loads.asked(now_ms, word.number)
        return self._deliver_own(now_ms, [m.Send(tuple(self.placement.replicas[:16]), word)])

    def remote_load_events(self, now_ms: float, fronts: int) -> list[io.RemoteLoadReport]:
        """What the module is to hear of others' work; `fronts` are all of the fleet, as it was told."""
        return self.remote_loads.changes(
            now_ms, self.load_reporter.cold(now_ms), self.load_reporter.known, self._fleet_size(fronts)
        )

    def remote_sends_known(self, now_ms: float, fronts: int) -> tuple[bool, int]:
        """Whether what others sent to cold scorers is known, and how many front ends are heard."""
        best = self.remote_loads.best(now_ms)
        return self.remote_loads.sure(now_ms, self._fleet_size(fronts)), best.others.front_ends if best else 0

    def _fleet_size(self, fronts: int) -> int:
        return max(fronts, sum(bool(member.replication_address) for member in self.members.members))

    def _load_report_counts(self, now_ms: float) -> dict[str, int]:
        if self.load_reporter is None:
            return {}
        return self.load_report_store.counts | self.remote_loads.counts | {
            "work: words told": self.load_reporter.number,
            "work: cut from words": self.load_reporter.cut,
            "work: front ends heard": self.remote_sends_known(now_ms, 0)[1],
            "work: copies known": self.remote_loads.copies,
        }  # fmt: skip

    # --- who is there ---------------------------------------------------------------------------

    def record_sign_of_life(self, now_ms: float, name: str, life: int) -> None:
        """A member's log gave a sign, if only its number."""
        if life > 0:
            self.last_heard[name] = life, now_ms

    def change_members(self, now_ms: float, members: Membership) -> None:
        """A later file of members."""
        if members.fleet != self.members.fleet or members.number <= self.members.number:
            self._count("members left aside")
            return
        self.members, before = members, self.placement
        self.placement = ReplicaPlacement(
            members, self.settings.replica_zones, self.settings.replicas_per_zone
        )
        self.call_owner.placement = self.placement
        self.remote_loads.forget_keepers(set(before.replicas) - set(self.placement.replicas))
        if self.replica is None and self.name in self.placement.replicas:
            self.replica = Replica(self.name, before, self.settings, now_ms, self.incarnation)
        if self.replica:
            self.replica.change_placement(now_ms, self.placement)

    # --- time -----------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[OwnerAction]:
        found: list[OwnerAction] = list(self.call_owner.tick(now_ms))
        if self.replica and now_ms >= min(self._tick_due_ms, self.replica.due_ms(now_ms)):
            self._tick_due_ms = now_ms + TICK_MS
            quiet = self.settings.silence_timeout_ms
            alive = {f"{n}#{life}" for n, (life, at) in self.last_heard.items() if now_ms - at <= quiet}
            told = self.replica.change_live_owners(now_ms, alive | {self.owner_id})
            found += [*told, *self.replica.tick(now_ms)]
        return self._deliver_own(now_ms, found)

    def due_ms(self, now_ms: float) -> float:
        due = self.call_owner.due_ms()
        if self.replica:
            due = min(due, self._tick_due_ms, self.replica.due_ms(now_ms))
        return due
