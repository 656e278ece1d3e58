"""Failure detector of zones and planner.

What is lost, cut off, slow or back, and what is to be done about it.

Pure. Each voter has one and feeds it with all members' reports; only the leader's makes plans. What it
remembers is only for how long its owner has seen something without a break: a voter that comes to lead need
not begin to count, and one that was paused does. Times are milliseconds of its owner's clock.
"""

from dataclasses import dataclass, field
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from fawnwharf.zones import settings as s
from fawnwharf.zones.evidence import ZoneEvidence, ZoneHealth, zone_health
from fawnwharf.zones.plan import DRAINING, OUT, RECOVERING, SERVING, Plan, PlannedZone, ZoneState

DRAINED = "drained by an operator"


class Report(Struct, frozen=True):
    """What one front end sees; a later report has a larger number within its incarnation."""

    name: s.Name
    zone: s.Name
    number: Annotated[int, Meta(ge=0)]
    seen: Annotated[dict[s.Name, ZoneEvidence], Meta(max_length=64)] = {}
    sizes: Annotated[dict[s.Name, Annotated[float, Meta(ge=0.0, le=1e9)]], Meta(max_length=64)] = {}
    roster_ms: Annotated[float, Meta(ge=0.0)] = 0.0  # age of what it was last told of the scorers
    identity: Annotated[str, Meta(max_length=96)] = ""  # as a voter, where it is one
    wishes: s.OperatorRequest = s.OperatorRequest()


@dataclass(slots=True)
class ZoneVerdict:
    """What the reports amount to for one zone at one moment."""

    dead: bool = False  # for more of the other zones than not
    lost: bool = False  # and for itself, or nobody there is heard
    slow: bool = False
    sure: bool = False  # nobody there is heard, and all others that see it agree
    good: bool = False  # somebody sees it well, and it is not lost
    apart: set[str] = field(default_factory=set)  # zones that do not reach it though others do
    why: str = ""


@dataclass(slots=True)
class _Track:
    """For how long something has been so with a zone."""

    dead_ms: float | None = None
    sure_ms: float | None = None
    slow_ms: float | None = None
    good_ms: float | None = None
    state_ms: float = 0.0  # since when it is in its state, as far as this leader knows
    state: tuple[str, float] = (SERVING, 1.0)
    apart: dict[str, tuple[float, float]] = field(default_factory=dict)  # since when, and last


_Change = tuple[ZoneState, float, str, int]  # state, share, why, flaps of a zone


class ZonePlanner:
    """Combines the current reports zone by zone, and says what the next plan should be."""

    def __init__(self, settings: s.ZoneSettings, now_ms: float) -> None:
        self.settings, self.now = settings, now_ms
        self.reports: dict[str, tuple[float, Report]] = {}  # when it came, by member
        self.tracks: dict[str, _Track] = {}
        self.wishes = s.OperatorRequest()
        self.sizes: dict[str, float] = {}
        self.refused: dict[str, str] = {}  # zones that should be out and must not be, and why
        self.watched_ms = self.since_ms = now_ms  # the last look, and the first of those without a gap

    def heard(self, now_ms: float, report: Report) -> None:
        """Take a report."""
        self.reports[report.name] = (now_ms, report)
        if report.wishes.number > self.wishes.number:
            self.wishes = report.wishes

    def alive(self, now_ms: float, members: s.Membership) -> dict[str, Report]:
        """The reports that are not too old, by member."""
        life = self.settings.evidence.report_life_ms
        zones = {member.name: member.zone for member in members.members}
        self.reports = {name: held for name, held in self.reports.items() if name in zones}
        return {
            name: report
            for name, (came_ms, report) in self.reports.items()
            if now_ms - came_ms <= life and report.zone == zones[name]
        }

    # --- weighing -------------------------------------------------------------------------------

    def verdicts(self, now_ms: float, members: s.Membership) -> dict[str, ZoneVerdict]:
        """The verdict on each zone of the members."""
        rules, alive = self.settings.evidence, self.alive(now_ms, members)
        heard = {name for name in alive if now_ms - self.reports[name][0] <= rules.hush_ms}
        views = {
            name: {zone: zone_health(report.seen.get(zone), rules) for zone in members.zones}
            for name, report in alive.items()
        }
        trusted = {name: seen for name, seen in views.items() if not _cut_off(seen)}
        # On others its last word counts for a while; that it sees itself well ends with its voice.
        present = {name: seen for name, seen in trusted.items() if name in heard}
        opinions = {
            (near, far): self._opinion(near, far, members, present if near == far else trusted)
            for near in members.zones
            for far in members.zones
        }
        return {zone: self._verdict(zone, members, heard, opinions) for zone in members.zones}

    def _opinion(
        self, near: str, far: str, members: s.Membership, views: dict[str, dict[str, ZoneHealth]]
    ) -> ZoneHealth:
        """One zone's view of another.

        It is what more than half of its observers with a view say, if they are enough.
        """
        own = [member.name for member in members.members if member.zone == near]
        said = [
            views[name][far] for name in own if name in views and views[name][far] is not ZoneHealth.UNKNOWN
        ]
        enough = min(self.settings.evidence.witnesses, len(own))
        for kind in (ZoneHealth.DEAD, ZoneHealth.SLOW):
            if 2 * said.count(kind) > len(said) and said.count(kind) >= enough:
                return kind
        alive = said.count(ZoneHealth.GOOD) + said.count(ZoneHealth.SLOW)
        return ZoneHealth.GOOD if 2 * alive > len(said) else ZoneHealth.UNKNOWN

    def _verdict(
        self,
        zone: str,
        members: s.Membership,
        heard: set[str],
        opinions: dict[tuple[str, str], ZoneHealth],
    ) -> ZoneVerdict:
        others = {near: opinions[near, zone] for near in members.zones if near != zone}
        dead = sorted(near for near, word in others.items() if word is ZoneHealth.DEAD)
        well = sorted(near for near, word in others.items() if word in (ZoneHealth.GOOD, ZoneHealth.SLOW))
        own = opinions[zone, zone]
        there = [member.name for member in members.members if member.zone == zone]
        voices = sum(name in heard for name in there)
        found = ZoneVerdict(good=own in (ZoneHealth.GOOD, ZoneHealth.SLOW) or bool(well))
        by_itself = own is ZoneHealth.DEAD or (2 * voices <= len(there) and own is not ZoneHealth.GOOD)
        found.dead = len(dead) > len(well)
        if found.dead and by_itself:
            found.lost, found.good = True, False
            found.sure = not voices and not well
            found.why = f"dead for {', '.join(dead)}; {voices} of its {len(there)} front ends heard"
        elif len(members.zones) == 1 and own is ZoneHealth.DEAD:
            found.why = "dead for itself, and no other zone to go to"
        elif dead:
            found.apart = set(dead)
        slow = [near for near, word in [*others.items(), (zone, own)] if word is ZoneHealth.SLOW]
        known = [near for near, word in [*others.items(), (zone, own)] if word is not ZoneHealth.UNKNOWN]
        found.slow = not found.lost and 2 * len(slow) > len(known)
        return found

    # --- the next plan --------------------------------------------------------------------------

    def watch(self, now_ms: float, members: s.Membership, plan: Plan) -> dict[str, ZoneVerdict]:
        """Look at all zones, and count for how long something has been so.

        Anew where the last look is too long ago.
        """
        if now_ms - self.watched_ms > self.settings.evidence.report_life_ms:
            self.tracks.clear()
            self.since_ms = now_ms
        self.watched_ms = now_ms
        self._size(now_ms, members)
        verdicts = self.verdicts(now_ms, members)
        for name, verdict in verdicts.items():
            self._track(now_ms, name, plan.zones.get(name, PlannedZone()), verdict)
        return verdicts

    def next_plan(self, now_ms: float, members: s.Membership, plan: Plan) -> Plan | None:
        """The plan that should follow the decided one; None while that is still right."""
        self.now = now_ms
        self.refused = {}
        verdicts = self.watch(now_ms, members, plan)
        zones: dict[str, PlannedZone] = {}
        for name, region in sorted(members.zones.items()):
            before = plan.zones.get(name, PlannedZone(region=region))
            track = self.tracks[name]
            after = self._zone(now_ms, name, region, before, track, verdicts[name])
            heard = sum(report.zone == name for report in self.alive(now_ms, members).values())
            zones[name] = msgspec.structs.replace(after, fronts=_fronts(after, before, heard))
        self._keep_one(plan, zones)
        following = Plan(number=plan.number + 1, zones=zones, apart=self._apart(now_ms, plan, verdicts))
        same = following.zones == plan.zones and following.apart == plan.apart
        return None if same else following

    def _size(self, now_ms: float, members: s.Membership) -> None:
        """The largest size that half of the front ends tell of a zone; one that shrinks counts as it was."""
        alive = self.alive(now_ms, members).values()
        for zone in members.zones:
            told = sorted(report.sizes[zone] for report in alive if zone in report.sizes)
            if told:
                self.sizes[zone] = max(self.sizes.get(zone, 0.0), told[len(told) // 2])

    def _track(self, now_ms: float, name: str, before: PlannedZone, verdict: ZoneVerdict) -> _Track:
        track = self.tracks.setdefault(name, _Track(state_ms=now_ms, state=(before.state, before.share)))
        if track.state != (before.state, before.share):
            track.state, track.state_ms = (before.state, before.share), now_ms
        lasting = ("dead", "sure", "slow", "good")
        for key, holds in ((f"{name}_ms", getattr(verdict, name)) for name in lasting):
            since = getattr(track, key)
            setattr(track, key, (now_ms if since is None else since) if holds else None)
        for near in verdict.apart:
            track.apart[near] = (track.apart.get(near, (now_ms, now_ms))[0], now_ms)
        back_ms = self.settings.damping.back_ms
        track.apart = {near: span for near, span in track.apart.items() if now_ms - span[1] < back_ms}
        return track

    def _zone(
        self, now_ms: float, name: str, region: str, before: PlannedZone, track: _Track, verdict: ZoneVerdict
    ) -> PlannedZone:
        """The zone as the next plan should have it."""
        spill = self.settings.spill.zones.get(name, self.settings.spill.share)
        if _for(now_ms, track.slow_ms) >= self.settings.damping.slow_ms:
            spill = 0.0
        size = max(before.size, self.sizes.get(name, 0.0))
        after = msgspec.structs.replace(before, spill=spill, size=size, region=region)
        change = self._change(now_ms, before, track, verdict, name in self.wishes.drained)
        if change is None:
            return after
        state, share, why, flaps = change
        return msgspec.structs.replace(after, state=state, share=share, why=why, flaps=flaps)

    def _change(
        self, now_ms: float, before: PlannedZone, track: _Track, verdict: ZoneVerdict, drained: bool
    ) -> _Change | None:
        """What state the zone goes to, if any; `drained`: operators ask for it to be out."""
        held = now_ms - track.state_ms
        if before.state == DRAINING:
            return self._leaving(before, held, drained)
        if before.state == OUT:
            return None if drained else self._return(now_ms, before, track, verdict)
        if drained:
            return DRAINING, 0.0, DRAINED, before.flaps
        if self._is_lost(now_ms, before, track, verdict):
            return OUT, 0.0, verdict.why, before.flaps + 1
        if before.state == RECOVERING:
            return self._ramp_up(before, held) if track.good_ms is not None else None
        if before.flaps and held >= self.settings.damping.flap_ms:
            track.state_ms = now_ms
            return SERVING, 1.0, before.why, before.flaps - 1
        return None

    def _leaving(self, before: PlannedZone, held: float, drained: bool) -> _Change | None:
        if not drained:
            return SERVING, 1.0, "", before.flaps
        if held >= self.settings.damping.leave_ms:
            return OUT, 0.0, before.why, before.flaps
        return None

    def _is_lost(self, now_ms: float, before: PlannedZone, track: _Track, verdict: ZoneVerdict) -> bool:
        damping = self.settings.damping
        patience = damping.out_ms / (2 if before.state == RECOVERING else 1)  # it was lost a moment ago
        # That nobody is heard takes its own time to show: the two need not wait for each other.
        sure = _for(now_ms, track.sure_ms) >= damping.sure_ms
        return verdict.lost and (sure or _for(now_ms, track.dead_ms) >= patience)

    def _return(
        self, now_ms: float, before: PlannedZone, track: _Track, verdict: ZoneVerdict
    ) -> _Change | None:
        first = self.settings.ramp.shares[0]
        if before.why == DRAINED and not verdict.lost:
            return RECOVERING, first, "restored by an operator", before.flaps
        if _for(now_ms, track.good_ms) >= self.pause_ms(before):
            return RECOVERING, first, "seen well again", before.flaps
        return None

    def _ramp_up(self, before: PlannedZone, held: float) -> _Change | None:
        ramp = self.settings.ramp
        if held < ramp.step_ms:
            return None
        later = [share for share in ramp.shares if share > before.share]
        if later and later[0] < 1.0:
            return RECOVERING, later[0], before.why, before.flaps
        return SERVING, 1.0, "", before.flaps

    def pause_ms(self, zone: PlannedZone) -> float:
        """How long a zone has to be seen well before it returns.

        Twice as long for each time it was out lately.
        """
        damping = self.settings.damping
        return min(damping.back_most_ms, damping.back_ms * 2.0 ** min(20, max(0, zone.flaps - 1)))

    def _keep_one(self, plan: Plan, zones: dict[str, PlannedZone]) -> None:
        """Whatever is seen, one zone stays: a plan that puts all out helps nobody."""
        leaving = [n for n, zone in sorted(zones.items()) if zone.open == 0 and self._was_open(plan, n)]
        while leaving and not any(zone.open > 0 for zone in zones.values()):
            name = leaving.pop()
            before = plan.zones.get(name, PlannedZone(region=zones[name].region))
            self.refused[name] = f"zone {name} stays: all zones would be out"
            zones[name] = msgspec.structs.replace(
                zones[name], state=before.state, share=before.share, why=before.why
            )

    def _was_open(self, plan: Plan, name: str) -> bool:
        return plan.zones.get(name, PlannedZone()).open > 0

    def _apart(
        self, now_ms: float, plan: Plan, verdicts: dict[str, ZoneVerdict]
    ) -> tuple[tuple[str, str], ...]:
        """The pairs of zones that have been apart for long enough.

        They stay so until they were together for as long as a zone has to be seen well.
        """
        found = set()
        for zone, track in self.tracks.items():
            for near, (since_ms, last_ms) in track.apart.items():
                lasting = last_ms - since_ms >= self.settings.damping.out_ms
                if (lasting or (near, zone) in plan.apart) and {near, zone} <= verdicts.keys():
                    found.add((near, zone))
        return tuple(sorted(found))


def _for(now_ms: float, since_ms: float | None) -> float:
    return -1.0 if since_ms is None else now_ms - since_ms


def _fronts(after: PlannedZone, before: PlannedZone, heard: int) -> int:
    """Front ends of a zone that does not serve; told anew only when it has changed by a quarter."""
    if after.state == SERVING:
        return 0
    return heard if abs(heard - before.fronts) * 4 > before.fronts else before.fronts


def _cut_off(views: dict[str, ZoneHealth]) -> bool:
    """One that sees all zones dead, two at the least, is cut off itself: its word counts for nothing."""
    known = [seen for seen in views.values() if seen is not ZoneHealth.UNKNOWN]
    return len(known) >= 2 and all(seen is ZoneHealth.DEAD for seen in known)
