"""Probes of zones with too little evidence, and the periodic look at what all evidence amounts to."""

from collections.abc import Callable, Iterable

from fawnwharf.config import address_from
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import LOCAL_REASONS, EndReason
from fawnwharf.net.front_end import FrontEnd, scorer_number
from fawnwharf.net.timer_wheel import TimerWheel, monotonic_ms
from fawnwharf.zones import roster_closing
from fawnwharf.zones.evidence import EvidenceCollector, ZoneHealth, zone_health
from fawnwharf.zones.settings import EvidenceSettings

PROBE_MS = 250.0  # pace of dials into zones that give no sign by themselves
HELD_MS = 60.0  # a probe that came up stays for so long


class _Probe:
    """One connection to a scorer, which tells whether it is accepted and stays open for a moment.

    Guards against what stands before a dead scorer and accepts its connections only to close them.
    """

    def __init__(self, wheel: TimerWheel, told: Callable[[bool], None]) -> None:
        self.connection: Connection | None = None
        self._wheel = wheel
        self._told: Callable[[bool], None] | None = told

    def _tell(self, good: bool) -> None:
        told, self._told = self._told, None
        if told:
            told(good)

    def on_up(self) -> None:
        """Wait for a moment whether it stays."""
        self._wheel.after(HELD_MS, self._held)

    def _held(self) -> None:
        if not self.connection.closed:
            self._tell(True)
            self.connection.close(EndReason.IDLE)

    def on_data(self, data: bytes) -> None:
        """Nothing is expected."""
        ...

    def on_flushed(self) -> None:
        """Nothing is sent."""
        ...

    def on_end(self, end: EndReason) -> None:
        """The probe has failed."""
        self._tell(False)


class Probes:
    """Owns which zones are dead for this front end, and whom it probes next in each."""

    def __init__(
        self,
        front: FrontEnd,
        observer: EvidenceCollector,
        rules: EvidenceSettings,
        name: str,
        zones: Callable[[], Iterable[str]],
        turned: Callable[[float], None],
    ) -> None:
        """`zones` tells all that there are now; `turned` is called when a view of one has changed."""
        self._front, self._observer, self._rules = front, observer, rules
        self._first = scorer_number(name)  # members begin at different scorers
        self._zones, self._turned = zones, turned
        self._dead: set[str] = set()  # as told last
        self._places: dict[str, int] = {}  # zone to the place of the next scorer
        self._stopped = False

    def close(self) -> None:
        """Stop probing."""
        self._stopped = True

    def look(self) -> None:
        """Probe each zone without a recent success, and go on doing so.

        A closed zone must be seen to come back, and one that falls silent must be seen to be gone.
        """
        if self._stopped:
            return
        now = monotonic_ms()
        seen = self._observer.evidence(now)
        for zone in self._zones():
            signs = seen.get(zone)
            few = signs is None or signs.responses + signs.failures < 2 * self._rules.min_signs
            if few or self._observer.since_success_ms(now, zone) >= PROBE_MS:
                self._dial(zone)
        self._look_at_views(now)
        self._front.loop.timers.after(PROBE_MS, self.look)

    def _look_at_views(self, now_ms: float) -> None:
        """A view that has turned is told before its time."""
        seen = self._observer.evidence(now_ms)
        dead = {zone for zone, signs in seen.items() if zone_health(signs, self._rules) is ZoneHealth.DEAD}
        if dead != self._dead:
            self._dead = dead
            self._turned(now_ms)

    def _dial(self, zone: str, more: int = 0) -> None:
        """Dial one scorer of the zone; where it fails and the zone was well till now, two others at once."""
        scorers = roster_closing.in_zone(self._front.roster_overlay.members.values(), zone)
        if not scorers:
            return
        place = self._places.get(zone, self._first) + 1  # not all at the same one
        self._places[zone] = place
        member = scorers[place % len(scorers)]
        if not member.host_port:
            return

        def told(good: bool) -> None:
            now = monotonic_ms()
            self._observer.record_probe(now, zone, scorer_number(member.id), connected=good)
            if not good and zone not in self._dead:
                for _ in range(2 - more):
                    self._dial(zone, more=2)
                self._look_at_views(now)

        probe = _Probe(self._front.loop.timers, told)
        within = min(self._front.deployment.wire.dial_timeout_ms, self._rules.window_ms / 2)
        address = address_from(member.host_port, "host_port")
        made = Connection.dial(self._front.loop, address, probe, within)
        if isinstance(made, EndReason):
            if made not in LOCAL_REASONS:
                told(False)
        else:
            probe.connection = made
