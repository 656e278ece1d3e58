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
        self.name, self.life, self.members, self.settings = name, life, members, settings
        self.placement = ReplicaPlacement(members, settings.zones, settings.per_zone)
        self.owner = f"{name}#{life}"
        self.claimant = CallOwner(self.owner, self.placement, settings)
        self.keeper: Replica | None = None
        if name in self.placement.keepers:
            self.keeper = Replica(name, self.placement, settings, now_ms, life, fresh)
        self.heard: dict[str, tuple[int, float]] = {}  # life and time, by name
        self.statuses: dict[str, m.Status] = {}
        self.hellos: list[tuple[str, int]] = []  # who asked for the log here since which number
        self.counts: dict[str, int] = {}
        self.uses = UsageTable()
        self.sightings = FailureReportStore()
        self.hints: list[m.ReportedOutliers] = []  # that came; whoever goes by them clears them
        self.rides: list[tuple[str, int, m.ClientMessage]] = []  # the same: by whom, and of which life
        self._named = False  # bad scorers were told last time
        self.shares: QuotaShares | None = None  # where quotas are kept by the fleet
        self.own: LoadReporter | None = None  # where work is told to others
        self.words = LoadReportStore(settings.word_ms, settings.copies_ms, life)
        self.view = RemoteLoads(settings.word_ms, settings.copies_ms)
        self._tick_due_ms = now_ms

    def _count(self, cause: str) -> None:
        self.counts[cause] = self.counts.get(cause, 0) + 1

    # --- calls ----------------------------------------------------------------------------------

    def begin(self, now_ms: float, key: str, effect: Effect, **more: Any) -> list[OwnerAction]:
        return self._inward(now_ms, self.claimant.begin(now_ms, key, effect, **more))

    def ended(
        self, now_ms: float, key: str, phase: ClaimPhase, digest: str = "", answer: str | None = None
    ) -> list[OwnerAction]:
        return self._inward(now_ms, self.claimant.ended(now_ms, key, phase, digest, answer))

    def left(self, now_ms: float, key: str) -> list[OwnerAction]:
        return self._inward(now_ms, self.claimant.left(now_ms, key))

    def ungranted(self, now_ms: float, key: str, number: int) -> list[OwnerAction]:
        """What the keeper here granted to an own call is not on disk."""
        return self._inward(now_ms, self.claimant.ungranted(now_ms, key, number, self.name))

    # --- lines ----------------------------------------------------------------------------------

    def line(self, now_ms: float, sender: str, data: Any) -> list[OwnerAction]:
        """One line of a member's log. Raises LineFault for what no honest member writes."""
        try:
            line = m.parse_line(data)
        except msgspec.ValidationError as error:
            raise LineError(f"not a line of state: {error}") from None
        if line.fleet != self.members.fleet:
            raise LineError(f"of fleet {line.fleet}")
        if line.sender != sender:
            raise LineError(f"says that it is {line.sender}, and is {sender}")
        if self.members.named(sender) is None:
            self._count("no member")
            return []
        self.heard[sender] = line.life, now_ms
        if isinstance(line.say, m.Status):
            self.statuses[sender] = line.say
            return []
        if isinstance(line.say, m.UsageRates):
            if self.shares and sender in self.placement.keepers:
                self.shares.heard(now_ms, sender, line.say)
            return []
        if isinstance(line.say, m.ReportedOutliers):
            if sender in self.placement.keepers:
                self.hints.append(line.say)
            return []
        if isinstance(line.say, m.ClientMessage) and not line.to:
            self.rides.append((sender, line.life, line.say))
            return []
        if self.name not in line.to:
            return []
        return self._inward(now_ms, self._take(now_ms, sender, line.life, line.say))

    def _take(self, now_ms: float, sender: str, life: int, say: m.Message) -> list[OwnerAction]:
        if isinstance(say, m.ClaimReply):
            return self.claimant.word(now_ms, sender, say)
        if isinstance(say, m.RemoteLoadReport):
            if self.own and say.life == self.life and sender in self.placement.keepers:
                self.view.heard(sender, life, say)
            else:
                self._count("work: answers to nobody here")
            return []
        if isinstance(say, m.Hello):
            self.hellos.append((sender, say.asked))
            return []
        if isinstance(say, m.ClientMessage):
            self.rides.append((sender, life, say))
            return []
        keeper = self.keeper
        if keeper is None:
            self._count("no keeper here")
            return []
        if isinstance(say, m.ClaimRequest):
            if say.owner != f"{sender}#{life}":
                raise LineError(f"an ask of {say.owner} from {sender}#{life}")
            keeper.alive.add(say.owner)
            found = keeper.ask(now_ms, sender, say)
        elif isinstance(say, m.ClaimUpdate):
            if say.claim.owner != f"{sender}#{life}":
                raise LineError(f"a claim of {say.claim.owner} from {sender}#{life}")
            found = keeper.tell(now_ms, sender, say)
        elif isinstance(say, m.StateRequest):
            found = keeper.want(now_ms, sender, say)
        elif isinstance(say, m.StateChunk):
            found = keeper.piece(now_ms, sender, say)
        elif isinstance(say, m.UsageCounters):
            self.uses.heard(now_ms, f"{sender}#{life}", say)
            found = []
        elif isinstance(say, m.FailureReport):
            self.sightings.heard(now_ms, f"{sender}#{life}", say)
            found = []
        elif isinstance(say, m.LoadReport):
            answer = self.words.heard(now_ms, self.name, f"{sender}#{life}", say) if self.own else None
            found = [m.Send((sender,), answer)] if answer else []
        else:
            found = keeper.digests(now_ms, sender, say)
        return list(found)

    def _inward(self, now_ms: float, effects: list[OwnerAction]) -> list[OwnerAction]:
        """What is said to oneself is heard at once; the rest goes out, in order."""
        found: list[OwnerAction] = []
        waiting = list(effects)
        while waiting:
            effect = waiting.pop(0)
            if not isinstance(effect, m.Send):
                found.append(effect)
                continue
            others = tuple(name for name in effect.to if name != self.name)
            if others:
                found.append(m.Send(others, effect.message))
            if len(others) < len(effect.to):
                waiting[:0] = self._take(now_ms, self.name, self.life, effect.message)
        return found

    def status(self, now_ms: float) -> m.Status:
        """For operators, and whoever looks after them."""
        keeper, counts = self.keeper, self.counts | self.claimant.counts | self._work_counts(now_ms)
        lags = {name: round(max(0.0, now_ms - at_ms), 1) for name, (_, at_ms) in sorted(self.heard.items())}
        if keeper is None:
            return m.Status(counts=counts, open=len(self.claimant.mine), lags_ms=lags)
        shelf = keeper.shelf
        sums = {name: shelf.slots(now_ms, name) for name in self.placement.keepers}
        return m.Status(
            counts=counts | shelf.counts,
            open=len(self.claimant.mine),
            keeps=True,
            sure=keeper.sure(now_ms),
            calls=len(shelf.calls),
            bytes=shelf.bytes,
            members=self.placement.number,
            lags_ms=lags,
            slots=sums.get(self.name, {}),
        )

    def wrapped(self, say: m.Send) -> m.LogLine:
        return m.LogLine(self.members.fleet, self.name, self.life, say.to, say.message)

    def ride(self, ride: m.ClientMessage, to: tuple[str, ...]) -> list[OwnerAction]:
        """To these members, this one among them where it is named; to whoever follows where none is."""
        return self._inward(0.0, [m.Send(to, ride)]) if to else [m.Send((), ride)]

    # --- use ------------------------------------------------------------------------------------

    def tell_use(self, now_ms: float) -> list[OwnerAction]:
        """Own counters to the keepers; of a keeper, the sums to all."""
        found: list[OwnerAction] = []
        if self.shares:
            found = self._inward(
                now_ms, [m.Send(tuple(self.placement.keepers[:16]), self.shares.use(now_ms))]
            )
        if self.keeper:
            sums = self.uses.sums(now_ms)
            if self.shares:
                self.shares.heard(now_ms, self.name, sums)
            found.append(m.Send((), sums))
        return found

    def tell_named(self, now_ms: float, sights: FailureTracker) -> list[OwnerAction]:
        """Bad scorers to the keepers; of a keeper, those that several name to all."""
        named = sights.named(now_ms)
        found: list[OwnerAction] = []
        if named.bad or self._named:
            found = self._inward(now_ms, [m.Send(tuple(self.placement.keepers[:16]), named)])
        self._named = bool(named.bad)
        if self.keeper:
            hints = self.sightings.hints(now_ms, len(self.members.members))
            if hints.scorers:
                self.hints.append(hints)
                found.append(m.Send((), hints))
        return found

    def tell_work(self, now_ms: float, fronts: int = 0) -> list[OwnerAction]:
        """Own work to the keepers, of which one answers with that of the others: this one itself, or the
        next by a hash, so that all have about as many to tell. `fronts` are all of the fleet."""
        order = sorted(
            self.placement.keepers[:16],
            key=lambda k: (k != self.name, rendezvous_weight("work", self.name, k)),
        )
        word = self.own.word(now_ms, self.view.after(), *self.view.wants(now_ms, order, self._all(fronts)))
        self.view.asked(now_ms, word.number)
        return self._inward(now_ms, [m.Send(tuple(self.placement.keepers[:16]), word)])

    def elsewhere(self, now_ms: float, fronts: int) -> list[io.Elsewhere]:
        """What the module is to hear of others' work; `fronts` are all of the fleet, as it was told."""
        return self.view.changes(now_ms, self.own.cold(now_ms), self.own.known, self._all(fronts))

    def knows_sends(self, now_ms: float, fronts: int) -> tuple[bool, int]:
        """Whether what others sent to cold scorers is known, and how many front ends are heard."""
        best = self.view.best(now_ms)
        return self.view.sure(now_ms, self._all(fronts)), best.others.heard if best else 0

    def _all(self, fronts: int) -> int:
        return max(fronts, sum(bool(member.state) for member in self.members.members))

    def _work_counts(self, now_ms: float) -> dict[str, int]:
        if self.own is None:
            return {}
        return self.words.counts | self.view.counts | {
            "work: words told": self.own.number,
            "work: cut from words": self.own.cut,
            "work: front ends heard": self.knows_sends(now_ms, 0)[1],
            "work: copies known": self.view.copies,
        }  # fmt: skip

    # --- who is there ---------------------------------------------------------------------------

    def hears(self, now_ms: float, name: str, life: int) -> None:
        """A member's log gave a sign, if only its number."""
        if life > 0:
            self.heard[name] = life, now_ms

    def take_members(self, now_ms: float, members: Membership) -> None:
        """A later file of members."""
        if members.fleet != self.members.fleet or members.number <= self.members.number:
            self._count("members left aside")
            return
        self.members, before = members, self.placement
        self.placement = ReplicaPlacement(members, self.settings.zones, self.settings.per_zone)
        self.claimant.placement = self.placement
        self.view.forget_keepers(set(before.keepers) - set(self.placement.keepers))
        if self.keeper is None and self.name in self.placement.keepers:
            self.keeper = Replica(self.name, before, self.settings, now_ms, self.life)
        if self.keeper:
            self.keeper.move(now_ms, self.placement)

    # --- time -----------------------------------------------------------------------------------

    def tick(self, now_ms: float) -> list[OwnerAction]:
        found: list[OwnerAction] = list(self.claimant.tick(now_ms))
        if self.keeper and now_ms >= min(self._tick_due_ms, self.keeper.due_ms(now_ms)):
            self._tick_due_ms = now_ms + TICK_MS
            quiet = self.settings.quiet_ms
            alive = {f"{n}#{life}" for n, (life, at) in self.heard.items() if now_ms - at <= quiet}
            told = self.keeper.owners(now_ms, alive | {self.owner})
            found += [*told, *self.keeper.tick(now_ms)]
        return self._inward(now_ms, found)

    def due_ms(self, now_ms: float) -> float:
        due = self.claimant.due_ms()
        if self.keeper:
            due = min(due, self._tick_due_ms, self.keeper.due_ms(now_ms))
        return due
