"""Some tens of front ends: what is harmless for one must not add up to harm."""

import unittest
from collections import Counter
from unittest import mock

from bench import Drive, of

from fawnwharf import config
from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult
from fawnwharf.net import scorer_pool

SOLD = {"t": 400.0}
SIZE, WORKERS = 40, 40


def drives(count=SIZE, **settings):
    return [
        Drive(WORKERS, seed=7919 * n + 3, fleet_size=SIZE, quotas_rps=SOLD, loads_on_miss=True, **settings)
        for n in range(count)
    ]


class Questions(unittest.TestCase):
    def test_no_front_end_asks_after_a_copy_that_the_others_calls_keep(self):
        firsts = [drive.ask("r", fn="f", tenant="t") for drive in drives()]
        self.assertEqual([], [hold for actions in firsts for hold in of(actions, io.OrderCopies)])
        self.assertEqual(1, len({send.scorer for actions in firsts for send in of(actions, io.Send)}))

    def test_a_few_front_ends_ask_as_ever(self):
        few = Drive(WORKERS, fleet_size=2, quotas_rps=SOLD, loads_on_miss=True)
        self.assertTrue(of(few.ask("r", tenant="t"), io.OrderCopies))

    def test_a_run_longer_than_usual_is_no_silence(self):
        drive = drives(1)[0]
        drive.ask("r", tenant="t")
        self.assertEqual([], of(drive.sweep(600.0), io.OrderCopies))
        self.assertTrue(of(drive.sweep(2_000.0), io.OrderCopies))

    def test_a_held_call_waits_a_run_before_it_races_a_load(self):
        drive = drives(1)[0]
        drive.ask("first", tenant="t")
        second = drive.ask("second", tenant="t")
        self.assertEqual([], of(second, io.OrderCopies) + of(second, io.Send))
        self.assertTrue(any(load.copies for load in of(drive.sweep(400.0), io.OrderCopies)))


class Places(unittest.TestCase):
    def test_a_place_new_to_all_is_tried_by_few_while_others_are_known(self):
        fleet, sends = drives(), []
        for drive in fleet:
            [first] = of(drive.ask("first", tenant="t"), io.Send)
            drive.end(first)
            drive.router.functions["f"].reported_concurrency = 4.0  # the others' calls make it wide
            drive.now += 5_000.0
            sends += [(first.scorer, send.scorer) for send in of(drive.ask("next", tenant="t"), io.Send)]
        moved = sum(first != then for first, then in sends)
        self.assertEqual(SIZE, len(sends))
        self.assertLessEqual(moved, SIZE // 4)
        self.assertTrue(all(drive.router.functions["f"].spread > 1 for drive in fleet))

    def test_a_place_that_can_take_nothing_gives_way_to_the_next(self):
        drive = drives(1)[0]
        drive.sweep(2_500.0)
        [first] = of(drive.ask("first", tenant="t"), io.Send)
        drive.end(first)
        drive.router.scorers[first.scorer].suspect_ms = drive.now
        [then] = of(drive.ask("next", tenant="t"), io.Send)
        self.assertNotEqual(first.scorer, then.scorer)

    def test_of_two_drawn_places_the_near_one_comes_first_unless_it_is_strained(self):
        def far(strain):
            crossed = 0
            for seed in range(100):
                drive = Drive(
                    20, ("a", "b"), seed=seed, fleet_size=SIZE, quotas_rps=SOLD, loads_on_miss=True, zone="a"
                )
                drive.sweep(2_500.0)
                drive.ask("wide", tenant="t")
                drive.feed(io.RequestCancelled("wide"))
                drive.router.functions["f"].reported_concurrency = 9.0
                for worker in drive.router.ready:
                    worker.slowdown, worker.slowdown_ms = (
                        strain if worker.entry.zone == "a" else 1.0,
                        drive.now,
                    )
                drive.router.functions["f"].copies_by_scorer.clear()
                drive.router.functions["f"].known = None
                [send] = of(drive.ask("r", tenant="t"), io.Send)
                crossed += drive.router.scorers[send.scorer].entry.zone == "b"
            return crossed

        self.assertLess(far(1.0), 40)
        self.assertGreater(far(2.5), 60)

    def test_a_known_place_outside_the_first_ones_serves_before_a_new_one(self):
        drive, homes, moved = drives(1)[0], {}, 0
        drive.sweep(2_500.0)
        for n in range(8):
            [send] = of(drive.ask(f"first{n}", fn=f"f{n}", tenant="t"), io.Send)
            homes[f"f{n}"] = send.scorer
            drive.end(send)
        drive.feed(io.RosterChanged([io.ScorerEntry(n) for n in range(WORKERS + 1, 2 * WORKERS)], False))
        order = {name: drive.router._ordered(drive.router.functions[name])[0].id for name in homes}
        displaced = [name for name in homes if order[name] != homes[name]]
        self.assertGreaterEqual(len(displaced), 2)
        for n, name in enumerate(displaced * 4):
            [send] = of(drive.ask(f"r{n}", fn=name, tenant="t"), io.Send)
            moved += send.scorer != homes[name]
            drive.end(send)
            drive.now += 50.0
        self.assertLessEqual(moved, len(displaced))


class LostZone(unittest.TestCase):
    def drive(self, **settings):
        drive = Drive(
            8, ("a", "b"), fleet_size=SIZE, quotas_rps={"t": 80.0}, loads_on_miss=True, zone="a", **settings
        )
        homes = set()
        for n in range(60):
            drive.now += 200.0
            for send in of(drive.ask(f"r{n}", fn=f"f{n}", tenant="t"), io.Send):
                homes.add(send.scorer)
                drive.end(send)
        self.assertEqual(set(range(1, 9)), homes)
        return drive

    def test_some_silent_scorers_of_one_zone_have_all_that_are_there_asked(self):
        drive = self.drive()
        for worker in (1, 3):
            drive.router._suspect(drive.router.scorers[worker])
        self.assertEqual(
            [], [worker.id for worker in drive.router.ready if worker.probed_ms and worker.id > 3]
        )
        drive.router.actions.clear()
        drive.router._suspect(drive.router.scorers[5])
        self.assertEqual([7], [hold.scorer for hold in of(drive.router.actions, io.OrderCopies)])
        drive.sweep(drive.now + 200.0)
        zone = {worker.id for worker in drive.router.ready if worker.suspect_ms is not None}
        self.assertEqual({1, 3, 5, 7}, zone)

    def test_one_that_answers_stays(self):
        drive = self.drive()
        for worker in (1, 3, 5):
            drive.router._suspect(drive.router.scorers[worker])
        [question] = of(drive.router.actions, io.OrderCopies)
        drive.count(question.scorer, 1, question.function)
        drive.sweep(drive.now + 200.0)
        self.assertIsNone(drive.router.scorers[7].suspect_ms)


class Width(unittest.TestCase):
    def test_a_few_calls_by_chance_do_not_make_a_function_wide(self):
        drive = drives(1)[0]
        for n in range(2):
            drive.now += 1_500.0
            [send] = of(drive.ask(f"r{n}", tenant="t"), io.Send)
            drive.now += 100.0
            drive.end(send, crowd=0)
        self.assertLessEqual(drive.router.functions["f"].spread, 2)

    def test_calls_that_are_out_have_room_for_chance(self):
        drive = drives(1)[0]
        even = 0.4 * drive.router.latency_target_ms / 2 / SIZE  # what the fleet gets through, in equal parts
        self.assertGreater(drive.router.limit, even + 1)


class Strain(unittest.TestCase):
    def served(self, drive, name, took, ending=AttemptResult.GOOD, fn="f"):
        [send] = of(drive.ask(name, fn=fn, tenant="t"), io.Send)
        closed = ending is AttemptResult.GOOD
        drive.feed(io.AttemptEnded(name, 0, send.scorer, ending, took, closed, io.Warmth.FOUND))
        return send.scorer

    def test_a_slow_worker_is_left_though_its_answers_were_called_off(self):
        drive = drives(1)[0]
        for n in range(8):
            drive.now += 1_000.0
            home = self.served(drive, f"calm{n}", 100.0)
        for n in range(2):
            drive.now += 500.0
            self.served(drive, f"slow{n}", 900.0, AttemptResult.CANCELLED)
            drive.feed(io.RequestCancelled(f"slow{n}"))
        drive.sweep(drive.now + 1_100.0)
        self.assertNotEqual(home, of(drive.ask("next", tenant="t"), io.Send)[0].scorer)

    def test_strain_that_all_workers_share_takes_none_of_them_away(self):
        drive = drives(1)[0]
        for worker in drive.router.ready:
            worker.slowdown, worker.slowdown_ms = 9.0, drive.now
        drive.sweep(drive.now + 1_100.0)
        self.assertGreater(drive.router.max_slowdown, 9.0)

    def test_a_call_that_found_a_full_worker_goes_on_at_once(self):
        drive = drives(1)[0]
        drive.sweep(2_500.0)
        [send] = of(drive.ask("r", tenant="t"), io.Send)
        [again] = of(drive.end(send, AttemptResult.FULL, closed=False), io.Send)
        self.assertNotEqual(send.scorer, again.scorer)


class Cold(unittest.TestCase):
    def test_cold_workers_together_get_their_part_of_what_is_sold_and_not_more(self):
        rules = {
            "slow_start_ms": 10_000.0,
            "slow_start_initial_share": 0.2,
            "slow_start_window_ms": 1_000.0,
            "slow_start_multiple": 2.0,
        }
        sent = Counter()
        for drive in drives(**rules):
            drive.now = 20_000.0
            fresh = [io.ScorerEntry(n, up_since_ms=20_000.0) for n in range(1, WORKERS // 2 + 1)]
            drive.feed(io.RosterChanged(fresh, False))
            for n in range(8):
                drive.now += 125.0
                for send in of(drive.ask(f"r{n}", fn=f"f{n}", tenant="t"), io.Send):
                    sent[send.scorer] += send.scorer <= WORKERS // 2
        sold = sum(SOLD.values()) / WORKERS  # a worker's part, a second
        self.assertLessEqual(max(sent.values()), 2.0 * 0.28 * sold + 3)
        self.assertGreater(sum(sent.values()), 5)  # of the 20 or so that four functions at home there allow

    def allowed(self, calls, ending):
        """What all front ends together may send a worker at its start, after so many calls each in 5 s."""
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
                    drive.end(send, ending)
                drive.feed(io.RequestCancelled(f"r{n}"))
            drive.feed(io.RosterChanged([io.ScorerEntry(1, up_since_ms=drive.now)], False))
            cold = drive.router.scorers[1]
            while drive.router._within_slow_start_limit(cold):
                cold.slow_start_sends.append(drive.now)
            count += len(cold.slow_start_sends)
        return count

    def test_clients_that_all_come_again_bring_a_cold_worker_no_more_than_is_sold(self):
        part = 2.0 * 0.2 * sum(SOLD.values()) / WORKERS
        storm = self.allowed(200, AttemptResult.CANCELLED)  # four times what is sold, and nothing is answered
        self.assertLessEqual(storm, part + 3)
        self.assertGreaterEqual(storm, part - 3)

    def test_front_ends_that_have_more_answered_may_send_a_cold_worker_more(self):
        self.assertGreater(self.allowed(200, AttemptResult.GOOD), self.allowed(50, AttemptResult.GOOD) + 3)


class Handshakes(unittest.TestCase):
    def spreads(self, price):
        wire = config.Wire(handshake_price=price)
        return scorer_pool.ScorerPool(mock.Mock(), wire, 100, 1, mock.Mock())._may_spread()

    def test_links_are_spread_only_where_a_handshake_is_cheap(self):
        self.assertTrue(self.spreads(0.0))
        self.assertFalse(self.spreads(0.08))

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
