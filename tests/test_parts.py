"""The parts without sockets: wheel, clock, log, endings, configuration."""

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


class Hands:
    def __init__(self):
        self.steady, self.wall = 1000.0, 1_700_000_000_000.0

    def step(self, ms):
        self.steady += ms
        self.wall += ms


class WheelTurns(unittest.TestCase):
    def test_timers_are_never_early_and_late_by_a_tick_at_most(self):
        hands = Hands()
        wheel, fired = TimerWheel(lambda: hands.steady), {}
        delays = [0.0, 1.0, 3.9, 4.0, 40.0, 250.0, SLOTS * TICK_MS, SLOTS * TICK_MS * 2 + 5, 10_000.0]
        for delay in delays:
            wheel.after(delay, lambda delay=delay: fired.setdefault(delay, hands.steady - 1000.0))
        while wheel.seconds_until_due() is not None:
            hands.step(1.0)
            wheel.advance()
        self.assertEqual(sorted(fired), delays)
        for delay, at in fired.items():
            self.assertTrue(delay <= at <= delay + TICK_MS + 1.0, (delay, at))

    def test_a_long_halt_fires_all_that_is_due_in_order_and_nothing_else(self):
        hands = Hands()
        wheel, fired = TimerWheel(lambda: hands.steady), []
        for delay in (9_000.0, 50.0, 30_000.0, 2_100.0):
            wheel.after(delay, lambda delay=delay: fired.append(delay))
        wheel.after(60.0, lambda: fired.append("cancelled")).cancel()
        hands.step(20_000.0)
        wheel.advance()
        self.assertEqual(fired, [50.0, 2_100.0, 9_000.0])

    def test_a_fault_in_one_timer_leaves_the_others_alone(self):
        hands, faults, fired = Hands(), [], []
        wheel = TimerWheel(lambda: hands.steady)
        wheel.on_error = faults.append
        wheel.after(4.0, lambda: 1 / 0)
        wheel.after(4.0, lambda: fired.append("second"))
        hands.step(20.0)
        wheel.advance()
        self.assertEqual((len(faults), fired), (1, ["second"]))

    def test_the_shown_clock_takes_no_step(self):
        for step in (3_600_000.0, -3_600_000.0):
            hands = Hands()
            clock = Clock(lambda hands=hands: hands.steady, lambda hands=hands: hands.wall)
            before = clock.now_ms()
            hands.wall += step
            hands.step(100.0)
            self.assertAlmostEqual(clock.now_ms() - before, 100.0, delta=1.0)

    def test_the_shown_clock_follows_a_drift(self):
        hands = Hands()
        clock = Clock(lambda: hands.steady, lambda: hands.wall)
        hands.wall += 20.0
        for _ in range(100):
            hands.step(100.0)
            clock.now_ms()
        self.assertAlmostEqual(clock.now_ms(), hands.wall, delta=0.01)


class Tables(unittest.TestCase):
    PROOFS = {AttemptResult.NOT_SENT, AttemptResult.CONNECT_FAILED}

    def test_every_end_is_told_and_only_the_unsent_are_proofs(self):
        for end in EndReason:
            with self.subTest(end.name):
                self.assertNotIn(attempt_result(end, begun=True), self.PROOFS)
                if end is not EndReason.CALLED_OFF:
                    self.assertIn(attempt_result(end, begun=False), self.PROOFS)

    def test_scorers_have_the_same_numbers_everywhere(self):
        self.assertEqual(scorer_number("s-00c41f7a"), 3020732781)

    def test_the_log_leaves_floods_out_and_counts_them(self):
        out, at = text.StringIO(), [0.0]
        log = LogWriter("n1", out, lambda: at[0])
        for _ in range(1000):
            log("x\ny" * 1000)
        at[0] = 1000.0
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
        self.assertEqual((read.memory_mb, read.sockets, read.known_seq), (192, 1024, 0))
        self.assertEqual(read.wire.keepalive_ms, 15_000.0)

    def test_faults_name_their_key(self):
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
