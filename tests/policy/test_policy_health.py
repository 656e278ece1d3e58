"""Failure detection, by events: probes, suspects, lost answers."""

from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult
from fawnwharf.policy.state import Function

# --- the ordinary path ---------------------------------------------------------------------


def test_a_silent_scorer_is_probed_then_suspected_and_its_requests_go_elsewhere():
    d = Drive()
    home = d.warm()
    d.ask("r1")
    actions = d.sweep(d.now + 360)
    assert (home, 0) in [(a.scorer, a.copies) for a in of(actions, io.OrderCopies)]
    actions = d.sweep(d.now + 100)
    assert [a for a in of(actions, io.Log) if "does not respond" in a.text]
    actions += d.answer_asks(actions)
    d.sweep(d.now + 60)
    load = next(a for _, a in reversed(d.log) if isinstance(a, io.OrderCopies) and a.copies)
    assert load.scorer != home
    assert [send.request for send in of(d.count(load.scorer, 1), io.Send)] == ["r1"]


def test_a_reset_sends_a_probe_and_only_a_missing_answer_makes_the_scorer_suspect():
    for answered in (True, False):
        d = Drive()
        home = d.warm()
        [send] = of(d.ask("r1"), io.Send)
        signs = of(d.end(send, AttemptResult.RESET), io.OrderCopies)
        assert (home, 0) in [(sign.scorer, sign.copies) for sign in signs]
        if answered:
            d.count(home, 1)
        d.sweep(d.now + 200)
        assert (d.router.scorers[home].suspect_ms is None) is answered
        assert [send.scorer for send in of(d.ask("r2"), io.Send)] == [home] * answered


def lose_two():
    """Two calls whose answers don't come while their worker gives every other sign of life."""
    d = Drive()
    home = d.warm(lanes=2)
    lost = of(d.ask("r1", lanes=2) + d.ask("r2", lanes=2), io.Send)
    assert [send.scorer for send in lost] == [home] * 2
    since, done = d.now, []
    while d.now < since + 900:
        actions = d.sweep(d.now + 20)
        done += actions + d.answer_asks(actions, {home: 1})
    return d, home, lost, done


def test_a_scorer_that_loses_answers_of_a_class_is_ejected_for_it_and_then_tried_by_one_call():
    d, home, lost, done = lose_two()
    assert not [action for action in of(done, io.Log) if "does not respond" in action.text]
    assert home not in [send.scorer for send in of(d.answer_asks(d.ask("r3", lanes=2), {home: 1}), io.Send)]
    router, fn, worker = d.router, d.router.functions["f"], d.router.scorers[home]
    assert router._is_usable(worker, Function("g", "unsafe", 1, None, 0))  # another class goes on there
    for send in lost:
        d.end(send, AttemptResult.CANCELLED, closed=True)
    d.now += 2000
    assert [(send.request, send.scorer) for send in of(d.count(home, 1), io.Send)] == [("r3", home)]
    assert not router._is_usable(worker, fn)
    assert not of(d.ask("r4", lanes=2), io.Send)


def test_errors_eject_for_a_class_too_but_not_those_of_a_function_that_was_never_served():
    for served in (True, False):
        d = Drive()
        home = d.warm(lanes=4, spec="unsafe")
        worker, fn = d.router.scorers[home], d.router.functions["f"]
        if not served:
            fn.runs.timed.clear()
        sends = of(d.ask("r1", spec="unsafe", lanes=4) + d.ask("r2", spec="unsafe", lanes=4), io.Send)
        for send in sends:
            d.end(send, AttemptResult.ERROR, closed=False)
        assert len(sends) == 2
        assert d.router._is_usable(worker, fn) is not served


def test_answers_that_come_after_all_take_their_losses_back():
    d, home, lost, _ = lose_two()
    for send in lost:
        d.end(send)
    assert not d.router.scorers[home].loss_records


def test_a_suspect_that_answers_is_used_again():
    d = Drive()
    home = d.warm()
    d.ask("r1")
    d.sweep(d.now + 1000)
    assert [a for a in of(d.count(home, 1), io.Log) if "again" in a.text]
    assert d.router.scorers[home].suspect_ms is None


def test_suspicion_never_takes_most_of_the_fleet():
    d = Drive(workers=2)
    for n in (1, 2):
        d.router._suspect(d.router.scorers[n])
    assert [hold for hold in of(d.ask("r1"), io.OrderCopies)]
