"""A front end that shuts down answers every request before, however long its client would wait."""

from bench import Drive, of

from fawnwharf import interface as io

WITHIN_MS = 500.0
SWEEPS_MS = 80.0  # two sweeps of the policy's timer: no final answer may be later than its time


def final_answers(actions):
    """The final answers among these actions, by request."""
    return {action.request: type(action) for action in actions if isinstance(action, io.Reject | io.Fail)}


def test_open_requests_are_answered_by_the_stated_time_by_what_their_class_allows():
    driver = Drive()
    for name, spec in (("a", "safe"), ("b", "unsafe")):
        driver.warm("f-" + spec, spec=spec)
        [_] = of(driver.ask(name, "f-" + spec, spec, budget=2400.0), io.Send)
    shutdown_ms = driver.now
    driver.feed(io.ShutdownStarted(WITHIN_MS))
    assert final_answers(driver.sweep(shutdown_ms + WITHIN_MS - SWEEPS_MS)) == {}
    assert final_answers(driver.sweep(shutdown_ms + WITHIN_MS)) == {"a": io.Reject, "b": io.Fail}


def test_requests_that_come_afterwards_have_the_same_limit():
    driver = Drive()
    driver.warm()
    shutdown_ms = driver.now
    driver.feed(io.ShutdownStarted(WITHIN_MS))
    driver.now += 200.0
    [_] = of(driver.ask("late", budget=2400.0), io.Send)
    assert final_answers(driver.sweep(shutdown_ms + WITHIN_MS)) == {"late": io.Reject}


def test_one_that_comes_when_the_time_is_over_is_answered_at_once():
    driver = Drive()
    driver.warm()
    driver.feed(io.ShutdownStarted(WITHIN_MS))
    driver.now += WITHIN_MS
    assert final_answers(driver.ask("too-late", budget=2400.0)) == {"too-late": io.Reject}


def test_a_shorter_time_of_the_client_and_an_earlier_closing_still_count():
    driver = Drive()
    driver.warm()
    driver.ask("short", spec="short", budget=300.0)
    start = driver.now
    driver.feed(io.ShutdownStarted(WITHIN_MS))
    driver.feed(io.ShutdownStarted(10 * WITHIN_MS))
    driver.ask("long", budget=2400.0)
    assert "short" in final_answers(driver.sweep(start + 300.0))
    assert "long" in final_answers(driver.sweep(start + WITHIN_MS))
