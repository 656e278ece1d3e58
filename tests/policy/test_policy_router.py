"""The decision module, driven by events."""

from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult
from fawnwharf.policy.state import MAX_FUNCTIONS

# --- the ordinary path ---------------------------------------------------------------------


def test_an_unknown_function_is_probed_for_then_loaded_once():
    d = Drive()
    asks = of(d.ask("r1"), io.OrderCopies)
    assert asks
    assert all(ask.copies == 0 for ask in asks)
    loads = of(d.answer_asks(asks), io.OrderCopies)
    assert [load.copies for load in loads] == [1]
    assert not of(d.sweep(280), io.OrderCopies)
    assert [s.scorer for s in of(d.count(loads[0].scorer, 1), io.Send)] == [loads[0].scorer]


def test_a_copy_found_by_asking_spares_the_load():
    d = Drive()
    asks = of(d.ask("r1"), io.OrderCopies)
    actions = d.answer_asks(asks, {asks[2].scorer: 1})
    assert [send.scorer for send in of(actions, io.Send)] == [asks[2].scorer]
    assert not of(actions, io.OrderCopies) or all(load.copies == 0 for load in of(actions, io.OrderCopies))


def test_unanswered_questions_hold_a_load_up_for_a_moment_only():
    d = Drive()
    d.ask("r1")
    assert [hold.copies for hold in of(d.sweep(40), io.OrderCopies)] == [1]


def test_a_free_lane_comes_before_a_speculative_load():
    d = Drive()
    home = d.warm()
    [first] = of(d.ask("r1"), io.Send)
    race = of(d.ask("r2"), io.OrderCopies)
    assert first.scorer == home
    assert [load.copies for load in race] == [1]
    d.now += 50
    assert [s.request for s in of(d.end(first), io.Send)] == ["r2"]


def test_a_speculative_load_comes_before_a_free_lane():
    d = Drive()
    home = d.warm()
    d.ask("r1")
    [load] = of(d.ask("r2"), io.OrderCopies)
    d.now += 300
    [send] = of(d.count(load.scorer, 1), io.Send)
    assert send.request == "r2"
    assert send.scorer == load.scorer != home


def test_the_own_zones_free_lanes_and_speculative_loads_come_first():
    for own in ("a", "b"):
        d = Drive(workers=8, zones=("a", "b"), zone=own)
        zones = {entry.scorer: entry.zone for entry in d.entries}
        d.warm()
        [first] = of(d.ask("r1"), io.Send)
        [load] = of(d.ask("r2"), io.OrderCopies)  # where a copy stands, the next is raced in the own zone
        assert zones[load.scorer] == own
        [second] = of(d.count(load.scorer, 1), io.Send)
        [third] = [worker for worker in zones if zones[worker] != own and worker != first.scorer][:1]
        d.count(third, 1)
        d.end(first)
        d.end(second)
        sends = [send for n in range(3) for send in of(d.ask(f"r{3 + n}"), io.Send)]
        assert [zones[send.scorer] == own for send in sends] == sorted(
            (zones[worker] == own for worker in (first.scorer, second.scorer, third)), reverse=True
        )


def test_a_stale_copy_of_the_own_zone_is_probed_before_a_call_crosses_but_not_waited_for_long():
    for answers in (True, False):
        d = Drive(workers=2, zones=("a", "b"), zone="b", slow_start_window_ms=1.0)  # worker 1 is the near one
        d.warm()
        d.now += 1500
        d.count(2, 1)
        d.now += 10  # the far copy was just counted, the near one is in doubt
        d.router.functions["f"].copies_by_scorer[1].copies = 1
        d.router.functions["f"].copies_by_scorer[1].seen_ms = d.now - 1500
        [question] = d.ask("r1")[:1]
        assert (question.scorer, question.copies) == (1, 0)
        assert not of(d.log[-1:], io.Send)
        [send] = of(d.count(1, 1) if answers else d.sweep(d.now + 40), io.Send)
        assert send.scorer == (1 if answers else 2)


def test_the_bound_is_wider_in_the_own_zone():
    for own, most in (("b", 16), ("c", 8)):  # 2.4 and 1.5 times a fair share of the calls out
        d = Drive(workers=6, zones=("a", "b"), zone=own)
        for fn, places in (("g", (2, 4, 6)), ("f", (1, 3))):
            d.ask(f"first-{fn}", fn, lanes=64)
            for place in places:
                d.count(place, 1, fn)
        for n in range(20):
            d.ask(f"g{n}", "g", lanes=64)
        sends = [send.scorer for n in range(20) for send in of(d.ask(f"f{n}", "f", lanes=64), io.Send)]
        assert next(n for n, worker in enumerate(sends) if worker != sends[0]) == most


def test_a_copy_about_to_expire_is_refreshed_once_a_lifetime_and_not_for_ever_or_in_a_shortage():
    for squeezed in (False, True):
        d = Drive(idle_life_ms=10_000.0, load_window_ms=5000.0, free_loads=6.0)
        home, last = d.warm(), d.now
        if squeezed:
            d.ask("held", "g", budget=90_000.0)
        renewed = []
        while d.now < last + 60_000.0:
            d.now += 1000.0
            for hold in of(d.feed(io.TimerDue(0)), io.OrderCopies):
                if hold.function == "f":  # what is asked for the held one stays without an answer
                    renewed += [(hold.scorer, hold.copies)] * (hold.copies > 0)
                    d.count(hold.scorer, 1)
        assert renewed == ([] if squeezed else [(home, 1)] * 3)


def test_refreshes_leave_half_of_the_load_rate_to_loads():
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
        for hold in of(d.feed(io.TimerDue(0)), io.OrderCopies):
            orders += hold.copies > 0
            d.count(hold.scorer, 1, hold.function)
    assert orders == 3


def test_lanes_of_pending_loads_count_against_the_need():
    d = Drive()
    d.warm(lanes=2)
    d.ask("r1", lanes=2)
    d.ask("r2", lanes=2)
    loads = of(d.ask("r3", lanes=2), io.OrderCopies)
    assert len(loads) == 1
    assert not of(d.ask("r4", lanes=2), io.OrderCopies)
    assert len(of(d.ask("r5", lanes=2), io.OrderCopies)) == 1


def test_speculation_ends_when_a_copy_idles_longer_than_a_run_and_begins_when_waits_exceed_a_load():
    d = Drive()
    home = d.warm(load_ms=200)
    [first] = of(d.ask("r1"), io.Send)
    [load] = of(d.ask("r2"), io.OrderCopies)
    d.end(first)
    d.now += 20
    d.count(load.scorer, 1)
    d.now += 150  # the raced copy idles for longer than the run of 100 ms
    d.router.scorers[load.scorer].entry.state = io.ScorerState.DRAINING  # and is out of reach
    actions = d.ask("r3")
    assert not [hold for hold in of(actions, io.OrderCopies) if hold.copies]
    waited = d.now
    held = [h for h in of(d.sweep(waited + 190), io.OrderCopies) if h.copies]
    assert not held  # Tp is 200 ms
    d.count(home, 1)  # a sign of life
    assert [h for h in of(d.sweep(waited + 260), io.OrderCopies) if h.copies]


def test_ever_new_functions_are_forgotten_but_not_those_in_use():
    d = Drive()
    d.warm("kept")
    [send] = of(d.ask("r1", "kept"), io.Send)
    d.ask("r2", "held")
    for n in range(3 * MAX_FUNCTIONS):
        d.now += 0.01
        for action in of(d.ask(f"n{n}", f"f{n}"), io.OrderCopies):
            d.count(action.scorer, 0, action.function, AttemptResult.FULL)
        d.feed(io.RequestCancelled(f"n{n}"))
    assert len(d.router.functions) <= MAX_FUNCTIONS
    assert {"kept", "held"} <= d.router.functions.keys()
    d.end(send)


def test_scorers_long_gone_and_functions_not_called_are_forgotten():
    d = Drive()
    _, home = d.warm("g"), d.warm()
    [send] = of(d.ask("r1"), io.Send)
    d.feed(io.RosterChanged([io.ScorerEntry(home, io.ScorerState.GONE)], complete=False))
    for _ in range(2):
        for _ in range(100):
            d.now += 1000
            d.feed(io.TimerDue(0))
        known = home in d.router.scorers
        assert known is bool(d.router.attempts)  # as long as an attempt is out there
        if known:
            d.end(send, AttemptResult.RESET)
    assert "g" not in d.router.functions
    assert len(d.router.scorers) == 3
    assert not [fn for fn in d.router.functions.values() if home in fn.copies_by_scorer]


def test_same_home_at_all_front_ends():
    assert Drive().warm() == Drive().warm()


def test_miss_takes_the_belief_away_and_loads_again():
    d = Drive()
    home = d.warm()
    [send] = of(d.ask("r1"), io.Send)
    actions = d.end(send, AttemptResult.MISS, closed=False)
    assert send.scorer == home
    assert not of(actions, io.Send)
    assert [hold.copies for hold in of(actions + d.sweep(d.now + 40), io.OrderCopies) if hold.copies] == [1]


def test_belief_ends_with_an_unused_keep_alive():
    d = Drive(idle_life_ms=5000.0)
    d.warm()
    d.now += 5001
    assert len(of(d.ask("r1"), io.OrderCopies)) > 1  # a survey, not a question to the old home


def test_bound_moves_requests_on():
    d = Drive(workers=4)
    home = d.warm(lanes=16)
    other = next(n for n in (1, 2, 3, 4) if n != home)
    d.count(other, 1)
    sends = [of(d.ask(f"r{n}", lanes=16), io.Send)[0].scorer for n in range(6)]
    assert sends[0] == home
    assert other in sends


# --- rule 1: one final answer --------------------------------------------------------------


def test_held_request_gets_its_final_answer_before_the_client_leaves():
    d = Drive(workers=0)
    d.ask("r1", spec="short", budget=500.0)
    d.sweep(600)
    finals = [(now, a) for now, a in d.log if isinstance(a, io.Reject | io.Fail)]
    assert [a.request for _, a in finals] == ["r1"]
    assert 400 <= finals[0][0] <= 480


def test_what_is_late_and_was_never_sent_is_given_up_before_half_its_time_with_advice():
    d = Drive(workers=0, max_retry_after_ms=900.0)
    d.ask("r1", budget=2500.0)
    d.sweep(2500)
    [(at, refusal)] = [(now, a) for now, a in d.log if isinstance(a, io.Reject | io.Fail)]
    assert 600 < at < 1250
    assert refusal == io.Reject("r1", 900.0)


def test_what_may_still_be_on_time_is_held_beyond_half_its_time():
    d = Drive(workers=0)
    d.ask("r1", spec="short", budget=700.0)
    assert not of(d.sweep(490), io.Reject)
    assert of(d.sweep(700), io.Reject)


def test_a_clients_retry_yields_to_first_tries_takes_no_quota_and_is_rejected_where_no_lane_is_free():
    d = Drive(quotas_rps={"acme": 1.0}, max_retry_after_ms=900.0)
    home = d.warm()
    [send] = of(d.ask("later", budget=450.0, tenant="acme"), io.Send)  # 0.18 of its class's time
    [refusal] = of(d.ask("later too", budget=450.0, tenant="acme"), io.Reject)
    assert send.scorer == home
    assert refusal == io.Reject("later too", 900.0)
    d.ask("first", tenant="acme")  # its share is still there, so it may wait
    assert not d.router.requests["first"].over_quota
    assert "later too" not in d.router.requests
    d.ask("impatient", fn="g", budget=700.0)  # 0.28: an impatient client's first try
    assert "impatient" in d.router.requests
