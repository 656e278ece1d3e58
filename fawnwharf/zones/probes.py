"""Probes scorers of zones with too little evidence, and detects changes of the zones found dead."""

from collections.abc import Callable, Iterable

from fawnwharf.config import address_from
from fawnwharf.net.connection import Connection
from fawnwharf.net.end_reasons import LOCAL_REASONS, EndReason
from fawnwharf.net.front_end import FrontEnd, scorer_number
from fawnwharf.net.timer_wheel import TimerWheel, monotonic_ms
from fawnwharf.zones.evidence import EvidenceCollector, ZoneHealth, zone_health
from fawnwharf.zones.roster_filter import in_zone
from fawnwharf.zones.settings import EvidenceSettings

PROBE_INTERVAL_MS = 250.0  # between probes of a zone without a recent success
MIN_CONNECTED_MS = 60.0  # a probe succeeds if its connection stays open for this time
PROBES_AFTER_FAILURE = 2  # further probes that follow the first failed probe at once


class _Probe:
    """One connection to a scorer; it succeeds if it is accepted and stays open for MIN_CONNECTED_MS.

    An accepted connection alone is not enough: a proxy in front of a dead scorer accepts connections and
    closes them at once.
    """

    def __init__(self, wheel: TimerWheel, report: Callable[[bool], None]) -> None:
        """`report` is called once, with True if the probe succeeded."""
        self.connection: Connection | None = None
        self._wheel = wheel
        self._report: Callable[[bool], None] | None = report

    def _finish(self, *, succeeded: bool) -> None:
        report, self._report = self._report, None
        if report:
            report(succeeded)

    def on_up(self) -> None:
        """Wait to see if the connection stays open."""
        self._wheel.after(MIN_CONNECTED_MS, self._check_still_open)

    def _check_still_open(self) -> None:
        if self.connection is not None and not self.connection.closed:
            self._finish(succeeded=True)
            self.connection.close(EndReason.IDLE)

    def on_data(self, _data: bytes) -> None:
        """Ignore what the scorer sends."""

    def on_flushed(self) -> None:
        """Do nothing: a probe sends nothing."""

    def on_end(self, _end: EndReason) -> None:
        """Report a failure, unless a success was reported before."""
        self._finish(succeeded=False)


class ZoneProber:
    """Owns the set of zones that this front end finds dead, and its probes in each zone."""

    def __init__(
        self,
        front: FrontEnd,
        collector: EvidenceCollector,
        settings: EvidenceSettings,
        zones: Callable[[], Iterable[str]],
        on_view_changed: Callable[[float], None],
    ) -> None:
        """`zones` returns the current zones.

        `on_view_changed` is called with the time in milliseconds when the set of zones that this front end
        finds dead has changed.
        """
        self._front = front
        self._collector = collector
        self._settings = settings
        self._zones = zones
        self._on_view_changed = on_view_changed
        self._dead_zones: set[str] = set()
        self._positions: dict[str, int] = {}  # by zone: the position of the last probed scorer
        self._first_position = scorer_number(front.deployment.name)  # so that members probe different scorers
        self._stopped = False

    def close(self) -> None:
        """Stop probing."""
        self._stopped = True

    def run(self) -> None:
        """Probe each zone with little evidence or no recent success, now and at each interval.

        This detects that a closed zone is healthy again, and that a zone without responses is dead.
        """
        if self._stopped:
            return
        now_ms = monotonic_ms()
        evidence = self._collector.evidence(now_ms)
        for zone in self._zones():
            observations = evidence[zone].observations if zone in evidence else 0
            too_few = observations < 2 * self._settings.min_observations
            if too_few or self._collector.since_success_ms(now_ms, zone) >= PROBE_INTERVAL_MS:
                self._probe(zone, PROBES_AFTER_FAILURE)
        self._check_views(now_ms)
        self._front.loop.timers.after(PROBE_INTERVAL_MS, self.run)

    def _check_views(self, now_ms: float) -> None:
        """Update the set of dead zones, and report a change at once."""
        evidence = self._collector.evidence(now_ms)
        dead = {
            zone for zone, found in evidence.items() if zone_health(found, self._settings) is ZoneHealth.DEAD
        }
        if dead != self._dead_zones:
            self._dead_zones = dead
            self._on_view_changed(now_ms)

    def _probe(self, zone: str, further_probes: int) -> None:
        """Probe the next scorer of a zone; if it fails and the zone was not dead, probe others at once."""
        scorers = in_zone(self._front.roster_overlay.members.values(), zone)
        if not scorers:
            return
        position = self._positions.get(zone, self._first_position) + 1
        self._positions[zone] = position
        scorer = scorers[position % len(scorers)]
        if not scorer.host_port:
            return

        def report(succeeded: bool) -> None:
            now_ms = monotonic_ms()
            self._collector.record_probe(now_ms, zone, scorer_number(scorer.id), connected=succeeded)
            if not succeeded and zone not in self._dead_zones:
                for _ in range(further_probes):
                    self._probe(zone, 0)
                self._check_views(now_ms)

        self._dial(scorer.host_port, report)

    def _dial(self, host_port: str, report: Callable[[bool], None]) -> None:
        probe = _Probe(self._front.loop.timers, report)
        timeout_ms = min(self._front.deployment.wire.dial_timeout_ms, self._settings.window_ms / 2)
        dialed = Connection.dial(self._front.loop, address_from(host_port, "host_port"), probe, timeout_ms)
        if not isinstance(dialed, EndReason):
            probe.connection = dialed
        elif dialed not in LOCAL_REASONS:
            report(False)
