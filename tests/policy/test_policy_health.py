"""Failure detection: probes, suspects and lost answers."""

from bench import Drive, of

from fawnwharf import interface as io
from fawnwharf.interface import AttemptResult
from fawnwharf.policy.state import Function


def test_a_silent_scorer_is_probed_then_suspect_and_its_requests_are_retried_elsewhere():
    driver = Drive()
    warm_scorer = driver.warm()
    driver.ask("r1")
    actions = driver.sweep(driver.now + 360)
    assert (warm_scorer, 0) in [(a.scorer, a.copies) for a in of(actions, io.OrderCopies)]
    actions = driver.sweep(driver.now + 100)
    assert [a for a in of(actions, io.Log) if "does not respond" in a.text]
    actions += driver.answer_asks(actions)
    driver.sweep(driver.now + 60)
    load = next(a for _, a in reversed(driver.log) if isinstance(a, io.OrderCopies) and a.copies)
    assert load.scorer != warm_scorer
    assert [send.request for send in of(driver.count(load.scorer, 1), io.Send)] == ["r1"]


def test_a_reset_sends_a_probe_and_only_a_missing_answer_makes_the_scorer_suspect():
    for answered in (True, False):
        driver = Drive()
        warm_scorer = driver.warm()
        [send] = of(driver.ask("r1"), io.Send)
        probes = of(driver.end(send, AttemptResult.RESET), io.OrderCopies)
        assert (warm_scorer, 0) in [(probe.scorer, probe.copies) for probe in probes]
        if answered:
            driver.count(warm_scorer, 1)
        driver.sweep(driver.now + 200)
        assert (driver.router.scorers[warm_scorer].suspect_since_ms is None) is answered
        assert [send.scorer for send in of(driver.ask("r2"), io.Send)] == [warm_scorer] * answered


def driver_with_lost_answers():
    """A driver with two lost calls at a scorer that still answers probes.

    Returns the driver, the scorer, the sends of the calls and the actions since then.
    """
    driver = Drive()
    warm_scorer = driver.warm(lanes=2)
    lost = of(driver.ask("r1", lanes=2) + driver.ask("r2", lanes=2), io.Send)
    assert [send.scorer for send in lost] == [warm_scorer] * 2
    since, done = driver.now, []
    while driver.now < since + 900:
        actions = driver.sweep(driver.now + 20)
        done += actions + driver.answer_asks(actions, {warm_scorer: 1})
    return driver, warm_scorer, lost, done


def test_a_scorer_that_loses_answers_of_a_class_is_ejected_for_it_and_then_tried_by_one_call():
    driver, warm_scorer, lost, done = driver_with_lost_answers()
    assert not [action for action in of(done, io.Log) if "does not respond" in action.text]
    assert warm_scorer not in [
        send.scorer for send in of(driver.answer_asks(driver.ask("r3", lanes=2), {warm_scorer: 1}), io.Send)
    ]
    router, fn, scorer = driver.router, driver.router.functions["f"], driver.router.scorers[warm_scorer]
    assert router._is_usable(scorer, Function("g", "unsafe", 1, None, 0))  # another class may still use it
    for send in lost:
        driver.end(send, AttemptResult.CANCELLED, closed=True)
    driver.now += 2000
    assert [(send.request, send.scorer) for send in of(driver.count(warm_scorer, 1), io.Send)] == [
        ("r3", warm_scorer)
    ]
    assert not router._is_usable(scorer, fn)
    assert not of(driver.ask("r4", lanes=2), io.Send)


def test_errors_eject_for_a_class_unless_the_function_was_never_served():
    for served in (True, False):
        driver = Drive()
        warm_scorer = driver.warm(lanes=4, spec="unsafe")
        scorer, fn = driver.router.scorers[warm_scorer], driver.router.functions["f"]
        if not served:
            fn.run_times.timed_values.clear()
        sends = of(
            driver.ask("r1", spec="unsafe", lanes=4) + driver.ask("r2", spec="unsafe", lanes=4), io.Send
        )
        for send in sends:
            driver.end(send, AttemptResult.ERROR, closed=False)
        assert len(sends) == 2
        assert driver.router._is_usable(scorer, fn) is not served


def test_late_answers_cancel_their_losses():
    driver, warm_scorer, lost, _ = driver_with_lost_answers()
    for send in lost:
        driver.end(send)
    assert not driver.router.scorers[warm_scorer].loss_records


def test_a_suspect_that_answers_is_used_again():
    driver = Drive()
    warm_scorer = driver.warm()
    driver.ask("r1")
    driver.sweep(driver.now + 1000)
    assert [a for a in of(driver.count(warm_scorer, 1), io.Log) if "again" in a.text]
    assert driver.router.scorers[warm_scorer].suspect_since_ms is None


def test_suspects_stay_usable_when_most_scorers_are_suspect():
    driver = Drive(workers=2)
    for n in (1, 2):
        driver.router._suspect(driver.router.scorers[n])
    assert [order for order in of(driver.ask("r1"), io.OrderCopies)]
