"""The modules without sockets: timer wheel, clock, log writer, end reasons, configuration."""

import io as text
import json
import unittest

from peers import SETTINGS

from fawnwharf.config import ConfigError, deployment_from, fleet_from, load
from fawnwharf.interface import AttemptResult
from fawnwharf.net.end_reasons import EndReason, attempt_result
from fawnwharf.net.front_end import scorer_number
from fawnwharf.net.log_writer import MAX_LINES_PER_SECOND, LogWriter
from fawnwharf.net.timer_wheel import SLOTS, TICK_MS, Clock, TimerWheel


class ManualClock:
    """The two system clocks, which only the test advances."""

    def __init__(self):
        self.monotonic_ms, self.unix_ms = 1000.0, 1_700_000_000_000.0

    def advance(self, ms):
        self.monotonic_ms += ms
        self.unix_ms += ms


class TimersAndClock(unittest.TestCase):
    def test_timers_are_never_early_and_at_most_a_tick_late(self):
        clock_source = ManualClock()
        wheel, fired = TimerWheel(lambda: clock_source.monotonic_ms), {}
        delays = [0.0, 1.0, 3.9, 4.0, 40.0, 250.0, SLOTS * TICK_MS, SLOTS * TICK_MS * 2 + 5, 10_000.0]
        for delay in delays:
            wheel.after(
                delay, lambda delay=delay: fired.setdefault(delay, clock_source.monotonic_ms - 1000.0)
            )
        while wheel.seconds_until_due() is not None:
            clock_source.advance(1.0)
            wheel.advance()
        self.assertEqual(sorted(fired), delays)
        for delay, at in fired.items():
            self.assertTrue(delay <= at <= delay + TICK_MS + 1.0, (delay, at))

    def test_after_a_long_stall_all_due_timers_fire_in_order(self):
        clock_source = ManualClock()
        wheel, fired = TimerWheel(lambda: clock_source.monotonic_ms), []
        for delay in (9_000.0, 50.0, 30_000.0, 2_100.0):
            wheel.after(delay, lambda delay=delay: fired.append(delay))
        wheel.after(60.0, lambda: fired.append("cancelled")).cancel()
        clock_source.advance(20_000.0)
        wheel.advance()
        self.assertEqual(fired, [50.0, 2_100.0, 9_000.0])

    def test_an_error_in_one_timer_does_not_affect_the_others(self):
        clock_source, faults, fired = ManualClock(), [], []
        wheel = TimerWheel(lambda: clock_source.monotonic_ms)
        wheel.on_error = faults.append
        wheel.after(4.0, lambda: 1 / 0)
        wheel.after(4.0, lambda: fired.append("second"))
        clock_source.advance(20.0)
        wheel.advance()
        self.assertEqual((len(faults), fired), (1, ["second"]))

    def test_the_clock_does_not_follow_a_step(self):
        for step in (3_600_000.0, -3_600_000.0):
            clock_source = ManualClock()
            clock = Clock(
                lambda clock_source=clock_source: clock_source.monotonic_ms,
                lambda clock_source=clock_source: clock_source.unix_ms,
            )
            before = clock.now_ms()
            clock_source.unix_ms += step
            clock_source.advance(100.0)
            self.assertAlmostEqual(clock.now_ms() - before, 100.0, delta=1.0)

    def test_the_clock_follows_a_drift(self):
        clock_source = ManualClock()
        clock = Clock(lambda: clock_source.monotonic_ms, lambda: clock_source.unix_ms)
        clock_source.unix_ms += 20.0
        for _ in range(100):
            clock_source.advance(100.0)
            clock.now_ms()
        self.assertAlmostEqual(clock.now_ms(), clock_source.unix_ms, delta=0.01)


class TablesAndLog(unittest.TestCase):
    NEVER_RAN = {AttemptResult.NOT_SENT, AttemptResult.CONNECT_FAILED}

    def test_every_end_reason_has_a_result_and_only_unsent_attempts_never_ran(self):
        for end in EndReason:
            with self.subTest(end.name):
                self.assertNotIn(attempt_result(end, begun=True), self.NEVER_RAN)
                if end is not EndReason.CANCELLED:
                    self.assertIn(attempt_result(end, begun=False), self.NEVER_RAN)

    def test_scorer_numbers_are_the_same_everywhere(self):
        self.assertEqual(scorer_number("s-00c41f7a"), 3020732781)

    def test_the_log_limits_its_rate_and_counts_omitted_lines(self):
        out, now_ms = text.StringIO(), [0.0]
        log = LogWriter("n1", out, lambda: now_ms[0])
        for _ in range(1000):
            log("x\ny" * 1000)
        now_ms[0] = 1000.0
        log("after")
        lines = out.getvalue().splitlines()
        self.assertEqual(len(lines), MAX_LINES_PER_SECOND + 2)
        self.assertEqual(lines[-2:], ["n1: 980 lines left out", "n1: after"])

    def test_a_flood_from_one_source_hides_no_other(self):
        out = text.StringIO()
        log = LogWriter("n1", out, lambda: 0.0)
        for _ in range(1000):
            log("noise", "clients")
        log("news")
        self.assertIn("n1: news", out.getvalue())


class Configuration(unittest.TestCase):
    GOOD = {"listen": "127.0.0.1:0", "changelog": "127.0.0.1:9", "seed": "8c1f", "settings": SETTINGS}

    def test_defaults_and_the_environment(self):
        environment = {"ROUTER_LISTEN": "127.0.0.9:41", "ROUTER_NAME": "n3"}
        read = deployment_from(self.GOOD | {"name": None}, environment)
        self.assertEqual((read.listen, read.name, read.seed), (("127.0.0.9", 41), "n3", 0x8C1F))
        self.assertEqual((read.memory_mb, read.sockets, read.initial_change_log_seq), (192, 1024, 0))
        self.assertEqual(read.wire.keepalive_ms, 15_000.0)

    def test_configuration_errors_name_their_key(self):
        def settings(**change):
            return {"settings": SETTINGS | change}

        cases = [
            ("listen", {"listen": "nowhere"}), ("listen", {"listen": "127.0.0.1:99999"}),
            ("listen", {"listen": "example.org:80"}),
            ("changelog", {"changelog": 5}), ("changelog", {"changelog": ""}),
            ("seed", {"seed": "xyz"}), ("limits.sockets", {"limits": {"sockets": 2}}),
            ("limits.memory_mb", {"limits": {"memory_mb": "much"}}), ("settings", {"settings": []}),
            ("settings.classes[0].effect", settings(classes=[{"name": "x", "effect": "sometimes"}])),
            ("settings.classes[0]", settings(classes=[{"promise": 3}])),
            ("settings.bounds.keepalive", settings(bounds={"keepalive": -1})),
            ("settings.family_info.load_wait", settings(family_info={"load_wait": "long"})),
            ("known.seq", {"known": {"seq": -1}}), ("settings.fleet_size", settings(fleet_size=0)),
        ]  # fmt: skip
        for key, change in cases:
            with self.subTest(key), self.assertRaises(ConfigError) as caught:
                deployment_from(self.GOOD | change, {})
            self.assertTrue(str(caught.exception).startswith(key + ":"), str(caught.exception))

    def test_faulty_files_and_lists(self):
        for environment in ({}, {"ROUTER_CONFIG": "/nonexistent/config.json"}, {"ROUTER_CONFIG": __file__}):
            with self.subTest(environment), self.assertRaisesRegex(ConfigError, "ROUTER_CONFIG"):
                load(None, environment)
        for event in (None, [], {"members": [{"id": "s"}]}, {"members": [{"id": "s", "phase": "asleep"}]}):
            with self.subTest(json.dumps(event)), self.assertRaisesRegex(ConfigError, "^fleet"):
                fleet_from(event)


if __name__ == "__main__":
    unittest.main()
