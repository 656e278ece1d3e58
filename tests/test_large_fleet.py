"""A fleet of 40 front ends: actions that are harmless for one must not add up to an overload."""

import unittest
from collections import Counter
from unittest import mock

from bench import Drive, of

from fawnwharf import config
from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult
from fawnwharf.net import scorer_pool

QUOTAS_RPS = {"t": 400.0}
FRONT_ENDS, SCORERS = 40, 40


def drives(count=FRONT_ENDS, **settings):
    """Return drivers of this many routers of the fleet."""
    options = {"fleet_size": FRONT_ENDS, "quotas_rps": QUOTAS_RPS, "loads_on_miss": True}
    return [Drive(SCORERS, seed=7919 * n + 3, **options, **settings) for n in range(count)]


class Queries(unittest.TestCase):
    def test_no_front_end_queries_a_copy_that_other_front_ends_calls_keep_loaded(self):
        first_actions = [drive.ask("r", fn="f", tenant="t") for drive in drives()]
        self.assertEqual([], [order for actions in first_actions for order in of(actions, io.OrderCopies)])
        self.assertEqual(1, len({send.scorer for actions in first_actions for send in of(actions, io.Send)}))

    def test_a_few_front_ends_still_send_queries(self):
        drive = Drive(SCORERS, fleet_size=2, quotas_rps=QUOTAS_RPS, loads_on_miss=True)
        self.assertTrue(of(drive.ask("r", tenant="t"), io.OrderCopies))

    def test_a_longer_run_than_usual_does_not_cause_a_query_at_once(self):
        drive = drives(1)[0]
        drive.ask("r", tenant="t")
        self.assertEqual([], of(drive.sweep(600.0), io.OrderCopies))
        self.assertTrue(of(drive.sweep(2_000.0), io.OrderCopies))

    def test_a_waiting_call_waits_for_the_duration_of_a_run_before_a_speculative_load(self):
        drive = drives(1)[0]
        drive.ask("first", tenant="t")
        second = drive.ask("second", tenant="t")
        self.assertEqual([], of(second, io.OrderCopies) + of(second, io.Send))
        self.assertTrue(any(load.copies for load in of(drive.sweep(400.0), io.OrderCopies)))


class ScorerChoice(unittest.TestCase):
    def test_few_front_ends_try_a_new_scorer_while_others_are_known(self):
        fleet, sends = drives(), []
        for drive in fleet:
            [first] = of(drive.ask("first", tenant="t"), io.Send)
            drive.end(first)
            # As if the calls of the other front ends had raised the spread of the function.
            drive.router.functions["f"].reported_concurrency = 4.0
            drive.now += 5_000.0
            sends += [(first.scorer, send.scorer) for send in of(drive.ask("next", tenant="t"), io.Send)]
        moved = sum(first != second for first, second in sends)
        self.assertEqual(FRONT_ENDS, len(sends))
        self.assertLessEqual(moved, FRONT_ENDS // 4)
        self.assertTrue(all(drive.router.functions["f"].spread > 1 for drive in fleet))

    def test_a_suspected_scorer_is_replaced_by_the_next(self):
        drive = drives(1)[0]
        drive.sweep(2_500.0)
        [first] = of(drive.ask("first", tenant="t"), io.Send)
        drive.end(first)
        drive.router.scorers[first.scorer].suspect_since_ms = drive.now
        [second] = of(drive.ask("next", tenant="t"), io.Send)
        self.assertNotEqual(first.scorer, second.scorer)

    def test_a_scorer_of_the_own_zone_is_preferred_unless_it_is_slow(self):
        def sends_to_other_zone(slowdown):
            """Return how many of 100 calls leave zone a, whose scorers have this slowdown."""
            other_zone = 0
            options = {"fleet_size": FRONT_ENDS, "quotas_rps": QUOTAS_RPS, "loads_on_miss": True}
            for seed in range(100):
                drive = Drive(20, ("a", "b"), seed=seed, zone="a", **options)
                drive.sweep(2_500.0)
                drive.ask("wide", tenant="t")
                drive.feed(io.RequestCancelled("wide"))
                drive.router.functions["f"].reported_concurrency = 9.0
                for scorer in drive.router.ready:
                    scorer.slowdown = slowdown if scorer.entry.zone == "a" else 1.0
                    scorer.slowdown_ms = drive.now
                drive.router.functions["f"].copies_by_scorer.clear()
                drive.router.functions["f"].known_scorers = None
                [send] = of(drive.ask("r", tenant="t"), io.Send)
                other_zone += drive.router.scorers[send.scorer].entry.zone == "b"
            return other_zone

        self.assertLess(sends_to_other_zone(1.0), 40)
        self.assertGreater(sends_to_other_zone(2.5), 60)

    def test_a_displaced_known_scorer_is_preferred_to_a_new_one(self):
        drive, known_scorers, moved = drives(1)[0], {}, 0
        drive.sweep(2_500.0)
        for n in range(8):
            [send] = of(drive.ask(f"first{n}", fn=f"f{n}", tenant="t"), io.Send)
            known_scorers[f"f{n}"] = send.scorer
            drive.end(send)
        drive.feed(io.RosterChanged([io.ScorerEntry(n) for n in range(SCORERS + 1, 2 * SCORERS)], False))
        first = {name: drive.router._ordered(drive.router.functions[name])[0].id for name in known_scorers}
        displaced = [name for name in known_scorers if first[name] != known_scorers[name]]
        self.assertGreaterEqual(len(displaced), 2)
        for n, name in enumerate(displaced * 4):
            [send] = of(drive.ask(f"r{n}", fn=name, tenant="t"), io.Send)
            moved += send.scorer != known_scorers[name]
            drive.end(send)
            drive.now += 50.0
        self.assertLessEqual(moved, len(displaced))


class LostZone(unittest.TestCase):
    def drive(self, **settings):
        """Return the driver of a router that has sent calls to all eight scorers in two zones."""
        options = {"fleet_size": FRONT_ENDS, "quotas_rps": {"t": 80.0}, "loads_on_miss": True, "zone": "a"}
        drive = Drive(8, ("a", "b"), **options, **settings)
        called = set()
        for n in range(60):
            drive.now += 200.0
            for send in of(drive.ask(f"r{n}", fn=f"f{n}", tenant="t"), io.Send):
                called.add(send.scorer)
                drive.end(send)
        self.assertEqual(set(range(1, 9)), called)
        return drive

    def test_several_suspected_scorers_of_a_zone_cause_queries_to_the_rest_of_it(self):
        drive = self.drive()
        for number in (1, 3):
            drive.router._suspect(drive.router.scorers[number])
        self.assertEqual(
            [], [scorer.id for scorer in drive.router.ready if scorer.probe_sent_ms and scorer.id > 3]
        )
        drive.router.actions.clear()
        drive.router._suspect(drive.router.scorers[5])
        self.assertEqual([7], [query.scorer for query in of(drive.router.actions, io.OrderCopies)])
        drive.sweep(drive.now + 200.0)
        suspected = {scorer.id for scorer in drive.router.ready if scorer.suspect_since_ms is not None}
        self.assertEqual({1, 3, 5, 7}, suspected)

    def test_a_scorer_that_answers_the_query_stays(self):
        drive = self.drive()
        for number in (1, 3, 5):
            drive.router._suspect(drive.router.scorers[number])
        [query] = of(drive.router.actions, io.OrderCopies)
        drive.count(query.scorer, 1, query.function)
        drive.sweep(drive.now + 200.0)
        self.assertIsNone(drive.router.scorers[7].suspect_since_ms)


class Spread(unittest.TestCase):
    def test_a_few_calls_do_not_raise_the_spread(self):
        drive = drives(1)[0]
        for n in range(2):
            drive.now += 1_500.0
            [send] = of(drive.ask(f"r{n}", tenant="t"), io.Send)
            drive.now += 100.0
            drive.end(send, crowd=0)
        self.assertLessEqual(drive.router.functions["f"].spread, 2)

    def test_the_limit_of_running_calls_exceeds_an_equal_share(self):
        drive = drives(1)[0]
        equal_share = 0.4 * drive.router.latency_target_ms / 2 / FRONT_ENDS  # of the fleet's throughput
        self.assertGreater(drive.router.attempt_limit, equal_share + 1)


class Slowdown(unittest.TestCase):
    def run_call(self, drive, name, took_ms, result=AttemptResult.GOOD, fn="f"):
        """Send a call whose attempt ends after `took_ms`, and return its scorer."""
        [send] = of(drive.ask(name, fn=fn, tenant="t"), io.Send)
        closed = result is AttemptResult.GOOD
        drive.feed(io.AttemptEnded(name, 0, send.scorer, result, took_ms, closed, io.Warmth.FOUND))
        return send.scorer

    def test_a_slow_scorer_is_avoided_though_its_attempts_were_cancelled(self):
        drive = drives(1)[0]
        for n in range(8):
            drive.now += 1_000.0
            usual_scorer = self.run_call(drive, f"calm{n}", 100.0)
        for n in range(2):
            drive.now += 500.0
            self.run_call(drive, f"slow{n}", 900.0, AttemptResult.CANCELLED)
            drive.feed(io.RequestCancelled(f"slow{n}"))
        drive.sweep(drive.now + 1_100.0)
        self.assertNotEqual(usual_scorer, of(drive.ask("next", tenant="t"), io.Send)[0].scorer)

    def test_a_slowdown_of_all_scorers_ejects_none_of_them(self):
        drive = drives(1)[0]
        for scorer in drive.router.ready:
            scorer.slowdown, scorer.slowdown_ms = 9.0, drive.now
        drive.sweep(drive.now + 1_100.0)
        self.assertGreater(drive.router.max_slowdown, 9.0)

    def test_a_call_rejected_by_a_full_scorer_is_retried_at_once(self):
        drive = drives(1)[0]
        drive.sweep(2_500.0)
        [send] = of(drive.ask("r", tenant="t"), io.Send)
        [retry] = of(drive.end(send, AttemptResult.FULL, closed=False), io.Send)
        self.assertNotEqual(send.scorer, retry.scorer)


class SlowStart(unittest.TestCase):
    def test_starting_scorers_get_no_more_than_their_share_of_the_quotas(self):
        rules = {
            "slow_start_ms": 10_000.0,
            "slow_start_initial_share": 0.2,
            "slow_start_window_ms": 1_000.0,
            "slow_start_multiple": 2.0,
        }
        sent = Counter()
        for drive in drives(**rules):
            drive.now = 20_000.0
            started = [io.ScorerEntry(n, up_since_ms=20_000.0) for n in range(1, SCORERS // 2 + 1)]
            drive.feed(io.RosterChanged(started, False))
            for n in range(8):
                drive.now += 125.0
                for send in of(drive.ask(f"r{n}", fn=f"f{n}", tenant="t"), io.Send):
                    sent[send.scorer] += send.scorer <= SCORERS // 2
        scorer_rps = sum(QUOTAS_RPS.values()) / SCORERS  # a scorer's share of the quotas
        self.assertLessEqual(max(sent.values()), 2.0 * 0.28 * scorer_rps + 3)
        self.assertGreater(
            sum(sent.values()), 5
        )  # about 20 are possible, for four functions on these scorers

    def allowed(self, calls, result):
        """Return how many calls all front ends together may send to a scorer that has just started.

        Each front end has sent this many calls in the 5 s before, which ended with `result`.
        """
        rules = {
            "slow_start_ms": 10_000.0,
            "slow_start_initial_share": 0.2,
            "slow_start_window_ms": 1_000.0,
            "slow_start_multiple": 2.0,
        }
        count = 0
        for drive in drives(**rules):
            for n in range(calls):
                drive.now += 5_000.0 / calls
                for send in of(drive.ask(f"r{n}", fn=f"f{n}", tenant="t"), io.Send):
                    drive.end(send, result)
                drive.feed(io.RequestCancelled(f"r{n}"))
            drive.feed(io.RosterChanged([io.ScorerEntry(1, up_since_ms=drive.now)], False))
            started = drive.router.scorers[1]
            while drive.router._within_slow_start_limit(started):
                started.slow_start_sends.append(drive.now)
            count += len(started.slow_start_sends)
        return count

    def test_client_retries_do_not_raise_the_slow_start_limit_above_the_quotas(self):
        expected = 2.0 * 0.2 * sum(QUOTAS_RPS.values()) / SCORERS
        allowed = self.allowed(200, AttemptResult.CANCELLED)  # four times the quotas, and no call is answered
        self.assertLessEqual(allowed, expected + 3)
        self.assertGreaterEqual(allowed, expected - 3)

    def test_more_answered_calls_raise_the_slow_start_limit(self):
        self.assertGreater(self.allowed(200, AttemptResult.GOOD), self.allowed(50, AttemptResult.GOOD) + 3)


class Handshakes(unittest.TestCase):
    def may_spread(self, price):
        wire = config.ConnectionSettings(handshake_price=price)
        return scorer_pool.ScorerPool(mock.Mock(), wire, 100, 1, mock.Mock())._may_spread()

    def test_scorer_connections_are_spread_only_if_a_handshake_is_cheap(self):
        self.assertTrue(self.may_spread(0.0))
        self.assertFalse(self.may_spread(0.08))

    def test_the_price_is_read_from_the_settings_and_a_faulty_one_named(self):
        base = {"listen": "127.0.0.1:1", "changelog": "127.0.0.1:2"}

        def read(costs):
            return config.deployment_from({**base, "settings": {"costs": costs}}, {}).wire.handshake_price

        for costs, price in (({}, 0.0), ({"handshake": None}, 0.0), ({"handshake": 0.08, "new": 1}, 0.08)):
            with self.subTest(costs=costs):
                self.assertEqual(price, read(costs))
        for wrong in (-1, "dear", [1]):
            with self.subTest(wrong=wrong), self.assertRaisesRegex(config.ConfigError, "costs.handshake"):
                read({"handshake": wrong})
        for wrong in (0, -3, "forty"):
            with self.subTest(wrong=wrong), self.assertRaisesRegex(config.ConfigError, "settings.fleet_size"):
                config.deployment_from({**base, "settings": {"fleet_size": wrong}}, {})
