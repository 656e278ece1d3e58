"""The decision module, driven by events."""

from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.interface import Ending
from fawnwharf.policy.router import FUNCTIONS_MOST
from fawnwharf.policy.state import Function

# --- the ordinary path ---------------------------------------------------------------------


def test_unknown_function_is_asked_after_then_loaded_once():
    d = Drive()
    asks = of(d.ask("r1"), io.Hold)
    assert asks and all(ask.copies == 0 for ask in asks)
    loads = of(d.answer_asks(asks), io.Hold)
    assert [load.copies for load in loads] == [1]
    assert not of(d.sweep(280), io.Hold)
    assert [s.worker for s in of(d.count(loads[0].worker, 1), io.Send)] == [loads[0].worker]


def test_a_copy_found_by_asking_spares_the_load():
    d = Drive()
    asks = of(d.ask("r1"), io.Hold)
    actions = d.answer_asks(asks, {asks[2].worker: 1})
    assert [send.worker for send in of(actions, io.Send)] == [asks[2].worker]
    assert not of(actions, io.Hold) or all(load.copies == 0 for load in of(actions, io.Hold))


def test_unanswered_questions_hold_a_load_up_for_a_moment_only():
    d = Drive()
    d.ask("r1")
    assert [hold.copies for hold in of(d.sweep(40), io.Hold)] == [1]


def test_race_is_won_by_the_lane():
    d = Drive()
    home = d.warm()
    [first] = of(d.ask("r1"), io.Send)
    race = of(d.ask("r2"), io.Hold)
    assert first.worker == home and [load.copies for load in race] == [1]
    d.now += 50
    assert [s.request for s in of(d.end(first), io.Send)] == ["r2"]


def test_race_is_won_by_the_load():
    d = Drive()
    home = d.warm()
    d.ask("r1")
    [load] = of(d.ask("r2"), io.Hold)
    d.now += 300
    [send] = of(d.count(load.worker, 1), io.Send)
    assert send.request == "r2" and send.worker == load.worker != home


def test_the_own_zones_free_lanes_and_raced_loads_come_first():
    for own in ("a", "b"):
        d = Drive(workers=8, zones=("a", "b"), zone=own)
        zones = {entry.worker: entry.zone for entry in d.entries}
        d.warm()
        [first] = of(d.ask("r1"), io.Send)
        [load] = of(d.ask("r2"), io.Hold)  # where a copy stands, the next is raced in the own zone
        assert zones[load.worker] == own
        [second] = of(d.count(load.worker, 1), io.Send)
        [third] = [worker for worker in zones if zones[worker] != own and worker != first.worker][:1]
        d.count(third, 1)
        d.end(first)
        d.end(second)
        sends = [send for n in range(3) for send in of(d.ask(f"r{3 + n}"), io.Send)]
        assert [zones[send.worker] == own for send in sends] == sorted(
            (zones[worker] == own for worker in (first.worker, second.worker, third)), reverse=True
        )


def test_a_stale_copy_of_the_own_zone_is_asked_before_a_call_crosses_but_not_waited_for_long():
    for answers in (True, False):
        d = Drive(workers=2, zones=("a", "b"), zone="b", fall_ms=1.0)  # worker 1 is the near one
        d.warm()
        d.now += 1500
        d.count(2, 1)
        d.now += 10  # the far copy was just counted, the near one is in doubt
        d.router.functions["f"].instances[1].copies = 1
        d.router.functions["f"].instances[1].seen_ms = d.now - 1500
        [question] = d.ask("r1")[:1]
        assert (question.worker, question.copies) == (1, 0) and not of(d.log[-1:], io.Send)
        [send] = of(d.count(1, 1) if answers else d.sweep(d.now + 40), io.Send)
        assert send.worker == (1 if answers else 2)


def test_the_bound_is_wider_in_the_own_zone():
    for own, most in (("b", 16), ("c", 8)):  # 2.4 and 1.5 times a fair share of the calls out
        d = Drive(workers=6, zones=("a", "b"), zone=own)
        for fn, places in (("g", (2, 4, 6)), ("f", (1, 3))):
            d.ask(f"first-{fn}", fn, lanes=64)
            for place in places:
                d.count(place, 1, fn)
        for n in range(20):
            d.ask(f"g{n}", "g", lanes=64)
        sends = [send.worker for n in range(20) for send in of(d.ask(f"f{n}", "f", lanes=64), io.Send)]
        assert next(n for n, worker in enumerate(sends) if worker != sends[0]) == most


def test_a_copy_about_to_lapse_is_renewed_once_a_life_and_not_for_ever_or_in_a_squeeze():
    for squeezed in (False, True):
        d = Drive(idle_life_ms=10_000.0, load_window_ms=5000.0, free_loads=6.0)
        home, last = d.warm(), d.now
        if squeezed:
            d.ask("held", "g", budget=90_000.0)
        renewed = []
        while d.now < last + 60_000.0:
            d.now += 1000.0
            for hold in of(d.feed(io.TimerDue(0)), io.Hold):
                if hold.function == "f":  # what is asked for the held one stays without an answer
                    renewed += [(hold.worker, hold.copies)] * (hold.copies > 0)
                    d.count(hold.worker, 1)
        assert renewed == ([] if squeezed else [(home, 1)] * 3)


def test_renewals_leave_half_of_the_ration_to_loads():
    d = Drive(idle_life_ms=10_000.0, load_window_ms=5000.0, free_loads=6.0)
    homes = {}
    for n in range(6):
        d.now += 1000.0
        homes[f"f{n}"] = d.warm(f"f{n}")
    for name, home in homes.items():
        d.count(home, 1, name)
    last, orders = d.now, 0
    while d.now < last + 11_000.0:
        d.now += 1000.0
        for hold in of(d.feed(io.TimerDue(0)), io.Hold):
            orders += hold.copies > 0
            d.count(hold.worker, 1, hold.function)
    assert orders == 3


def test_lanes_of_pending_loads_count_against_the_need():
    d = Drive()
    d.warm(lanes=2)
    d.ask("r1", lanes=2)
    d.ask("r2", lanes=2)
    loads = of(d.ask("r3", lanes=2), io.Hold)
    assert len(loads) == 1
    assert not of(d.ask("r4", lanes=2), io.Hold)
    assert len(of(d.ask("r5", lanes=2), io.Hold)) == 1


def test_switch_goes_off_when_a_raced_load_idles_longer_than_a_run_and_on_when_waits_exceed_a_load():
    d = Drive()
    home = d.warm(load_ms=200)
    [first] = of(d.ask("r1"), io.Send)
    [load] = of(d.ask("r2"), io.Hold)
    d.end(first)
    d.now += 20
    d.count(load.worker, 1)
    d.now += 150  # the raced copy idles for longer than the run of 100 ms
    d.router.workers[load.worker].entry.state = io.State.DRAINING  # and is out of reach
    actions = d.ask("r3")
    assert not [hold for hold in of(actions, io.Hold) if hold.copies]
    waited = d.now
    held = [h for h in of(d.sweep(waited + 190), io.Hold) if h.copies]
    assert not held  # Tp is 200 ms
    d.count(home, 1)  # a sign of life
    assert [h for h in of(d.sweep(waited + 260), io.Hold) if h.copies]


def test_ever_new_functions_are_forgotten_but_not_those_in_use():
    d = Drive()
    d.warm("kept")
    [send] = of(d.ask("r1", "kept"), io.Send)
    d.ask("r2", "held")
    for n in range(3 * FUNCTIONS_MOST):
        d.now += 0.01
        for action in of(d.ask(f"n{n}", f"f{n}"), io.Hold):
            d.count(action.worker, 0, action.function, Ending.FULL)
        d.feed(io.ClientLeft(f"n{n}"))
    assert len(d.router.functions) <= FUNCTIONS_MOST and {"kept", "held"} <= d.router.functions.keys()
    d.end(send)


def test_workers_long_gone_and_functions_not_called_are_forgotten():
    d = Drive()
    _, home = d.warm("g"), d.warm()
    [send] = of(d.ask("r1"), io.Send)
    d.feed(io.RosterChanged([io.WorkerEntry(home, io.State.GONE)], complete=False))
    for _ in range(2):
        for _ in range(100):
            d.now += 1000
            d.feed(io.TimerDue(0))
        known = home in d.router.workers
        assert known is bool(d.router.attempts)  # as long as an attempt is out there
        if known:
            d.end(send, Ending.RESET)
    assert "g" not in d.router.functions and len(d.router.workers) == 3
    assert not [fn for fn in d.router.functions.values() if home in fn.instances]


def test_same_home_at_all_front_ends():
    assert Drive().warm() == Drive().warm()


def test_miss_takes_the_belief_away_and_loads_again():
    d = Drive()
    home = d.warm()
    [send] = of(d.ask("r1"), io.Send)
    actions = d.end(send, Ending.MISS, closed=False)
    assert send.worker == home and not of(actions, io.Send)
    assert [hold.copies for hold in of(actions + d.sweep(d.now + 40), io.Hold) if hold.copies] == [1]


def test_belief_ends_with_an_unused_keep_alive():
    d = Drive(idle_life_ms=5000.0)
    d.warm()
    d.now += 5001
    assert len(of(d.ask("r1"), io.Hold)) > 1  # a survey, not a question to the old home


def test_bound_moves_requests_on():
    d = Drive(workers=4)
    home = d.warm(lanes=16)
    other = next(n for n in (1, 2, 3, 4) if n != home)
    d.count(other, 1)
    sends = [of(d.ask(f"r{n}", lanes=16), io.Send)[0].worker for n in range(6)]
    assert sends[0] == home and other in sends


# --- rule 1: one final answer --------------------------------------------------------------


def test_held_request_gets_its_final_answer_before_the_client_leaves():
    d = Drive(workers=0)
    d.ask("r1", spec="short", budget=500.0)
    d.sweep(600)
    finals = [(now, a) for now, a in d.log if isinstance(a, io.Refuse | io.Fail)]
    assert [a.request for _, a in finals] == ["r1"] and 400 <= finals[0][0] <= 480


def test_what_is_late_and_was_never_sent_is_given_up_before_half_its_time_with_advice():
    d = Drive(workers=0, max_retry_after_ms=900.0)
    d.ask("r1", budget=2500.0)
    d.sweep(2500)
    [(at, refusal)] = [(now, a) for now, a in d.log if isinstance(a, io.Refuse | io.Fail)]
    assert 600 < at < 1250 and refusal == io.Refuse("r1", 900.0)


def test_what_may_still_be_on_time_is_held_beyond_half_its_time():
    d = Drive(workers=0)
    d.ask("r1", spec="short", budget=700.0)
    assert not of(d.sweep(490), io.Refuse) and of(d.sweep(700), io.Refuse)


def test_a_later_try_yields_to_first_ones_takes_nothing_of_the_share_and_is_refused_where_no_lane_is_free():
    d = Drive(quotas_rps={"acme": 1.0}, max_retry_after_ms=900.0)
    home = d.warm()
    [send] = of(d.ask("later", budget=450.0, tenant="acme"), io.Send)  # 0.18 of its class's time
    [refusal] = of(d.ask("later too", budget=450.0, tenant="acme"), io.Refuse)
    assert send.worker == home and refusal == io.Refuse("later too", 900.0)
    d.ask("first", tenant="acme")  # its share is still there, so it may wait
    assert not d.router.requests["first"].over_share and "later too" not in d.router.requests
    d.ask("impatient", fn="g", budget=700.0)  # 0.28: an impatient client's first try
    assert "impatient" in d.router.requests


def test_no_time_left_is_answered_at_once():
    d = Drive()
    actions = d.ask("r1", budget=0.0)
    assert [a.request for a in of(actions, io.Refuse)] == ["r1"] and not of(actions, io.Send)


def test_nothing_follows_a_final_answer():
    d = Drive()
    d.warm()
    [send] = of(d.ask("r1"), io.Send)
    d.feed(io.ClientLeft("r1"))
    later = d.end(send, Ending.CANCELLED, closed=True) + d.sweep(d.now + 3000)
    assert not of(later, io.Send) and not of(later, io.Refuse) and not of(later, io.Fail)


# --- rule 2: no effect twice ---------------------------------------------------------------


def test_unsafe_request_is_not_repeated_nor_refused_once_it_may_have_run():
    d = Drive()
    d.warm(spec="unsafe")
    [send] = of(d.ask("r1", spec="unsafe", budget=4000.0), io.Send)
    actions = d.end(send, Ending.ERROR, closed=False)
    assert not of(actions, io.Send) and not of(actions, io.Refuse)
    assert [a.request for a in of(actions, io.Fail)] == ["r1"]


def test_unsafe_request_is_repeated_after_proof():
    d = Drive()
    home = d.warm(spec="unsafe")
    other = next(n for n in (1, 2, 3, 4) if n != home)
    d.count(other, 1)
    [send] = of(d.ask("r1", spec="unsafe", budget=4000.0), io.Send)
    assert send.request in [a.request for a in of(d.end(send, Ending.FULL, closed=False), io.Send)]


def keyed_retry(after):
    d = Drive(workers=4, zones=("a", "b"))
    d.ask("r1", spec="keyed", budget=4000.0)
    for worker in (1, 2, 3, 4):
        d.count(worker, 1)
    send = next(action for _, action in reversed(d.log) if isinstance(action, io.Send))
    d.sweep(d.now + after)
    for worker in (1, 2, 3, 4):
        d.count(worker, 1)
    return send, d.end(send, Ending.ERROR, closed=False), d


def test_keyed_repeat_stays_in_its_group():
    send, actions, _ = keyed_retry(after=100)
    [again] = of(actions, io.Send)
    assert again.worker != send.worker and again.worker % 2 == send.worker % 2


def test_keyed_repeat_ends_with_the_window():
    _, actions, d = keyed_retry(after=2410)
    actions += d.sweep(4000)
    assert not of(actions, io.Send) and not of(actions, io.Refuse) and len(of(actions, io.Fail)) == 1


# --- rule 3: drains ------------------------------------------------------------------------


def test_nothing_new_to_a_draining_or_gone_worker():
    for state in (io.State.DRAINING, io.State.GONE):
        d = Drive()
        home = d.warm()
        d.feed(io.RosterChanged([io.WorkerEntry(home, state)], complete=False))
        actions = d.ask("r1")
        actions += d.answer_asks(actions)
        actions += d.sweep(d.now + 100)
        assert not [a for a in of(actions, io.Send) if a.worker == home]
        assert not [a for a in of(actions, io.Hold) if a.worker == home and a.copies]
        assert [a for a in of(actions, io.Hold) if a.copies]


# --- rule 4: cold workers ------------------------------------------------------------------


def test_cold_worker_gets_no_more_than_its_budget_in_any_window():
    d = Drive(workers=1, cold_ms=10_000.0, cold_share=0.2, fall_ms=1000.0, fall_multiple=2.0)
    d.now = 20_000.0
    d.feed(io.RosterChanged([io.WorkerEntry(1, up_since_ms=20_000.0)], complete=False))
    d.ask("r")
    d.now += 1
    for send in of(d.count(1, 16), io.Send):
        d.end(send)
    for n in range(200):
        d.now += 10
        for send in of(d.ask(f"r{n}"), io.Send):
            d.now += 1
            d.end(send)
            d.count(1, 16)
    times = [now for now, action in d.log if isinstance(action, io.Send)]
    most = max(sum(start <= t < start + 1000 for t in times) for start in times)
    # about 90 requests a second arrive at the one worker; it can take 2 x (0.2 to 0.4) of that
    assert 1 <= most <= 60


def test_restart_takes_beliefs_away():
    d = Drive()
    home = d.warm()
    d.feed(io.RosterChanged([io.WorkerEntry(home, up_since_ms=d.now)], complete=False))
    assert not of(d.ask("r1"), io.Send)


# --- rule 5: loads are rationed ------------------------------------------------------------


def test_ration_of_loads_at_its_edge():
    d = Drive(load_window_ms=5000.0, free_loads=2.0, load_part=0.2)
    for n in range(9):
        d.answer_asks(d.ask(f"r{n}", fn=f"f{n}"))
    loads = [a for _, a in d.log if isinstance(a, io.Hold) and a.copies]
    assert len(loads) == 3  # 2 + 0.2 x 9
    d.answer_asks(d.ask("r9", fn="f9"))
    d.sweep(40)
    assert len([a for _, a in d.log if isinstance(a, io.Hold) and a.copies]) == 4


# --- around it -----------------------------------------------------------------------------


def test_silent_worker_is_asked_then_left_and_its_requests_go_elsewhere():
    d = Drive()
    home = d.warm()
    d.ask("r1")
    actions = d.sweep(d.now + 360)
    assert (home, 0) in [(a.worker, a.copies) for a in of(actions, io.Hold)]
    actions = d.sweep(d.now + 100)
    assert [a for a in of(actions, io.Log) if "silent" in a.text]
    actions += d.answer_asks(actions)
    d.sweep(d.now + 60)
    load = next(a for _, a in reversed(d.log) if isinstance(a, io.Hold) and a.copies)
    assert load.worker != home
    assert [send.request for send in of(d.count(load.worker, 1), io.Send)] == ["r1"]


def test_a_reset_asks_for_a_sign_and_only_its_absence_makes_the_worker_suspect():
    for answered in (True, False):
        d = Drive()
        home = d.warm()
        [send] = of(d.ask("r1"), io.Send)
        signs = of(d.end(send, Ending.RESET), io.Hold)
        assert (home, 0) in [(sign.worker, sign.copies) for sign in signs]
        if answered:
            d.count(home, 1)
        d.sweep(d.now + 200)
        assert (d.router.workers[home].suspect_ms is None) is answered
        assert [send.worker for send in of(d.ask("r2"), io.Send)] == [home] * answered


def lose_two():
    """Two calls whose answers don't come while their worker gives every other sign of life."""
    d = Drive()
    home = d.warm(lanes=2)
    lost = of(d.ask("r1", lanes=2) + d.ask("r2", lanes=2), io.Send)
    assert [send.worker for send in lost] == [home] * 2
    since, done = d.now, []
    while d.now < since + 900:
        actions = d.sweep(d.now + 20)
        done += actions + d.answer_asks(actions, {home: 1})
    return d, home, lost, done


def test_a_class_whose_answers_a_worker_loses_rests_there_and_is_then_tried_by_one_call():
    d, home, lost, done = lose_two()
    assert not [action for action in of(done, io.Log) if "silent" in action.text]
    assert home not in [send.worker for send in of(d.answer_asks(d.ask("r3", lanes=2), {home: 1}), io.Send)]
    router, fn, worker = d.router, d.router.functions["f"], d.router.workers[home]
    assert router._usable(worker, Function("g", "unsafe", 1, None, 0))  # another class goes on there
    for send in lost:
        d.end(send, Ending.CANCELLED, closed=True)
    d.now += 2000
    assert [(send.request, send.worker) for send in of(d.count(home, 1), io.Send)] == [("r3", home)]
    assert not router._usable(worker, fn)
    assert not of(d.ask("r4", lanes=2), io.Send)


def test_errors_rest_a_class_too_but_not_those_of_a_function_that_was_never_served():
    for served in (True, False):
        d = Drive()
        home = d.warm(lanes=4, spec="unsafe")
        worker, fn = d.router.workers[home], d.router.functions["f"]
        if not served:
            fn.runs.timed.clear()
        sends = of(d.ask("r1", spec="unsafe", lanes=4) + d.ask("r2", spec="unsafe", lanes=4), io.Send)
        for send in sends:
            d.end(send, Ending.ERROR, closed=False)
        assert len(sends) == 2 and d.router._usable(worker, fn) is not served


def test_answers_that_come_after_all_take_their_losses_back():
    d, home, lost, _ = lose_two()
    for send in lost:
        d.end(send)
    assert not d.router.workers[home].lapses


def test_silent_worker_that_answers_is_used_again():
    d = Drive()
    home = d.warm()
    d.ask("r1")
    d.sweep(d.now + 1000)
    assert [a for a in of(d.count(home, 1), io.Log) if "again" in a.text]
    assert d.router.workers[home].suspect_ms is None


def test_suspicion_never_takes_most_of_the_fleet():
    d = Drive(workers=2)
    for n in (1, 2):
        d.router._suspect(d.router.workers[n])
    assert [hold for hold in of(d.ask("r1"), io.Hold)]


def test_over_share_requests_wait_behind_those_within():
    d = Drive(quotas_rps={"big": 1.0, "small": 100.0})
    d.warm()
    [first] = of(d.ask("r1", tenant="small"), io.Send)
    d.ask("b1", tenant="big")
    d.ask("b2", tenant="big")
    d.ask("s1", tenant="small")
    order = []
    send = first
    for _ in range(3):
        sends = of(d.end(send), io.Send)
        if not sends:
            break
        [send] = sends
        order.append(send.request)
    assert order.index("s1") < (order.index("b2") if "b2" in order else 9)


def test_slow_loads_lower_the_number_under_way_and_timely_ones_raise_it():
    d = Drive()
    start = d.router.loads_limit
    loads = of(d.answer_asks(d.ask("r1", load_ms=100.0)), io.Hold)
    d.now += 1000
    d.count(loads[0].worker, 1)
    low = d.router.loads_limit
    loads = of(d.answer_asks(d.ask("r2", fn="g")), io.Hold)
    d.now += 200
    d.count(loads[0].worker, 1, "g")
    assert low < start and d.router.loads_limit > low


def test_a_try_with_little_time_is_answered_before_the_next_sweep():
    d = Drive(workers=0)
    d.ask("r1", budget=2500.0)  # its arrival starts the sweeps
    d.now += 1
    assert [a.request for a in of(d.ask("r2", budget=25.0), io.Refuse)] == ["r2"]


def test_workers_that_leave_do_not_raise_the_limit_of_the_others():
    d = Drive(workers=4, quotas_rps={"t": 40.0})
    before = d.router.workers[1].limit
    d.feed(io.RosterChanged([io.WorkerEntry(n, io.State.GONE) for n in (2, 3, 4)], complete=False))
    d.sweep(40)
    assert d.router.workers[1].limit == before < 20


def test_a_limit_that_was_handed_in_refuses_what_goes_beyond_it_at_once_and_can_be_lifted():
    drive = Drive(max_retry_after_ms=700.0, fleet_size=4)
    drive.warm()
    drive.now += 1000.0
    drive.feed(io.LimitsChanged(2.0))
    refused = []
    for n in range(6):
        refused += of(drive.ask(f"r{n}"), io.Refuse)
    assert [refusal.request for refusal in refused] == [f"r{n}" for n in range(6)]  # no burst to begin with
    drive.now += 1000.0
    assert [len(of(drive.ask(f"s{n}"), io.Refuse)) for n in range(4)] == [0, 0, 1, 1]
    assert {refusal.hold_off_ms for refusal in refused} == {700.0}
    drive.feed(io.LimitsChanged())
    assert not of(drive.ask("r9"), io.Refuse)


def test_a_limit_of_nothing_refuses_all_and_none_was_ever_sent():
    drive = Drive()
    drive.feed(io.LimitsChanged(0.0))
    assert [type(action) for action in drive.ask("r1")] == [io.Refuse]


def test_a_tenants_share_that_was_handed_in_takes_the_place_of_its_equal_part():
    drive = Drive(fleet_size=4, quotas_rps={"t": 40.0, "u": 40.0})
    drive.warm()

    def over(tenant, count=60):
        taken = []
        for _ in range(count):
            drive.now += 10.0
            taken.append(drive.router._over_share(tenant))
        return sum(taken)

    assert over("t") > 30  # ten calls a second are its part
    drive.feed(io.LimitsChanged(200.0, "t"))
    drive.now += 1000.0
    assert over("t") == 0 and over("u") > 30
    drive.feed(io.LimitsChanged(10.0, "t"))
    drive.now += 1000.0
    assert over("t") > 30
