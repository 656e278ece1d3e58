"""The leader's part in a recovery: who is heard and how they stand, merged for the conductor, and its word.

Pure. Every member that votes keeps it, so that one that begins to lead knows what the others told before.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from fawnwharf.recovery_core.budget import choose_load_coordinators
from fawnwharf.recovery_core.coordinator import RecoveryCoordinator
from fawnwharf.recovery_core.phases import (
    Effect,
    FleetObservation,
    LogEvent,
    PhaseTiming,
    RecoveryPhase,
)
from fawnwharf.recovery_core.register import MAX_PERMIT_ISSUERS
from fawnwharf.recovery_core.trust import RestartScope, restart_scope
from fawnwharf.recovery_service import messages as w
from fawnwharf.zones.log_lines import ConsensusStatus

SCAN_MS = 100.0  # pace of the look at what all told


@dataclass(frozen=True, slots=True)
class MemberLists:
    """By the file of members: all names, and who votes and who keeps; up or not."""

    members: tuple[str, ...]
    voters: tuple[str, ...]
    keepers: tuple[str, ...]
    number: int = 0
    digest: str = ""
    by_zone: tuple[tuple[str, ...], ...] = ()  # the keepers, by zone

    def sure(self, knows: Callable[[str], bool]) -> float:
        """The part of the keepers that know all they granted, as far as calls need them.

        A call's keepers are of a zone each, and more than half of them make a promise: with three zones or
        more, one zone's that don't come back are not waited for, as the others hold what they granted."""
        zones = [sum(map(knows, names)) / len(names) for names in self.by_zone if names]
        if len(zones) < 3:
            return sum(map(knows, self.keepers)) / len(self.keepers) if self.keepers else 1.0
        return min(sorted(zones)[1:])


@dataclass(slots=True)
class RecoveryLeader:
    """Owns what members told of themselves, and the conductor."""

    timing: PhaseTiming
    lists: MemberLists
    heard_ms: float  # for so long what one told counts
    soon_ms: float  # and in a recovery, how it stands
    stage_ms: float  # pace of the word to all
    conductor: RecoveryCoordinator = field(init=False)
    term: int = 0  # of the reign; 0: it does not lead
    unread: int = 0  # a reign that could not begin
    marks: dict[str, tuple[int, str, float]] = field(default_factory=dict)  # life, boot's mark, when
    standings: dict[str, tuple[w.StatusReport, float]] = field(default_factory=dict)
    _fell: dict[str, tuple[int, int]] = field(default_factory=dict)  # life, and fallen by the last look
    _look_ms: float = 0.0
    _word: tuple[int, float] = (-1, 0.0)  # number of the register that was told last, and when

    def __post_init__(self) -> None:
        self.conductor = RecoveryCoordinator(self.timing)

    # --- what members tell ----------------------------------------------------------------------

    def booted(self, now_ms: float, name: str, boot: w.BootReport) -> None:
        """A mark of an earlier life is dropped: lines of a log come in order, but by two links."""
        before = self.marks.get(name)
        if before is None or boot.life >= before[0]:
            self.marks[name] = boot.life, boot.mark, now_ms
            if before is not None and boot.life > before[0]:
                self.standings.pop(name, None)

    def stands(self, now_ms: float, name: str, standing: w.StatusReport) -> bool:
        """False: of an earlier life."""
        before = self.marks.get(name)
        if before is not None and standing.life < before[0]:
            return False
        self.standings[name] = standing, now_ms
        return True

    def forget(self) -> None:
        """What those told that are no members any more."""
        for held in (self.marks, self.standings, self._fell):
            for name in [name for name in held if name not in self.lists.members]:
                del held[name]

    def _alive(self, now_ms: float) -> dict[str, w.StatusReport]:
        most_ms = self.heard_ms if self.conductor.register.stage == RecoveryPhase.NORMAL else self.soon_ms
        return {n: told for n, (told, at_ms) in self.standings.items() if now_ms - at_ms < most_ms}

    def heard(self, now_ms: float) -> int:
        return len(self._alive(now_ms))

    def seen(self, now_ms: float) -> FleetObservation:
        """Merged over all that are heard; scorers that fell since the last look, by whoever saw most fall."""
        alive, lists = self._alive(now_ms), self.lists
        first, served = [t.first for t in alive.values()], [t.served for t in alive.values()]
        loads = sum(told.loads for told in alive.values())
        slow = sum(told.loads * told.slow for told in alive.values()) / loads if loads else 1.0
        fell = 0
        for name, told in alive.items():
            life, before = self._fell.get(name, (told.life, told.fell))
            fell = max(fell, told.fell - before if life == told.life else told.fell)
            self._fell[name] = told.life, told.fell
        return FleetObservation(
            members=len(lists.members),
            heard=len(alive),
            asked=sum(told.asked for told in alive.values()),
            sure=lists.sure(lambda name: name in alive and alive[name].sure),
            first=w.CallCounts(sum(t.good for t in first), sum(t.all for t in first)).part,
            served=w.CallCounts(sum(t.good for t in served), sum(t.all for t in served)).part,
            slow=slow,
            fell=fell,
            givers=tuple(
                sorted(
                    choose_load_coordinators((n for n in lists.keepers if n in alive), MAX_PERMIT_ISSUERS, 0)
                )
            ),
            gave=any(told.gave for told in alive.values()),
        )

    # --- reigns ---------------------------------------------------------------------------------

    def turned(self, now_ms: float, seat: ConsensusStatus) -> list[Effect]:
        """A reign begins when its voter leads, its last decision is the fleet's last for certain, and
        nothing of its log is undecided."""
        if self.term and self.term != seat.term:
            self.conductor.end_term()
            self.term = 0
        if self.term or not seat.holds_read_lease or not seat.fully_committed or seat.term == self.unread:
            return []
        effects = self.conductor.begin_term(now_ms, seat.recovery, seat.voters)
        self.term = seat.term if self.conductor.leads else 0
        self.unread = 0 if self.term else seat.term
        self._word = (-1, 0.0)
        return effects

    def decided(self, now_ms: float, text: str) -> list[LogEvent]:
        """Raises RegisterError."""
        notes, boots = self.conductor.decided(now_ms, text), len(self.conductor.register.boots)
        return [LogEvent("stage decided", note.fields | {"boots": boots}) for note in notes]

    def _boots(self, now_ms: float) -> tuple[dict[str, str], int]:
        """Marks of voters that are heard, by identity, and how many are heard, also without a mark."""
        found, heard = {}, 0
        for voter in self.conductor.voters:
            _, mark, at_ms = self.marks.get(voter.partition("#")[0], (0, "", float("-inf")))
            if now_ms - at_ms < self.heard_ms:
                heard += 1
                if mark:
                    found[voter] = mark
        return found, heard

    def tick(self, now_ms: float, seat: ConsensusStatus) -> list[Effect]:
        if not self.term or self.term != seat.term or now_ms < self._look_ms:
            return []
        self._look_ms = now_ms + SCAN_MS
        self.conductor.voters = seat.voters
        boots, heard = self._boots(now_ms)
        if 2 * heard <= len(seat.voters):  # it can't tell yet whether the fleet lost its power
            return []
        return self.conductor.tick(now_ms, self.seen(now_ms), boots, holds_lease=seat.holds_read_lease)

    def word(self, now_ms: float, seat: ConsensusStatus) -> str | None:
        """The register for all; None: it is not time, or it may not be the last word.

        A leader that has heard no majority of the voters, or sees that the fleet has lost its power and has
        not decided so yet, would tell calm to those that come back."""
        conductor = self.conductor
        number, at_ms = self._word
        if not self.term or not seat.holds_read_lease or seat.term != self.term:
            return None
        if number == conductor.register.number and now_ms - at_ms < self.stage_ms:
            return None
        boots, heard = self._boots(now_ms)
        lost = restart_scope(True, conductor.voters, conductor.register.boots, boots) is RestartScope.FLEET
        if lost or 2 * heard <= len(conductor.voters):
            return None
        self._word = conductor.register.number, now_ms
        return conductor.register.encode()
