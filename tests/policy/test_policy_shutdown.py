"""A front end that shuts down answers every request in time, even if its client would wait longer."""

from bench import Drive, of

from fawnwharf import interface as io

WITHIN_MS = 500.0
SWEEPS_MS = 80.0  # two sweep periods: the longest time by which a final answer precedes the deadline


def final_answers(actions):
    """The final answers among these actions, by request."""
    return {action.request: type(action) for action in actions if isinstance(action, io.Reject | io.Fail)}


def test_open_requests_get_the_final_answer_of_their_class_by_the_shutdown_deadline():
    driver = Drive()
    for name, spec in (("a", "safe"), ("b", "unsafe")):
        driver.warm("f-" + spec, spec=spec)
        [_] = of(driver.ask(name, "f-" + spec, spec, budget=2400.0), io.Send)
    shutdown_ms = driver.now
    driver.feed(io.ShutdownStarted(WITHIN_MS))
    assert final_answers(driver.sweep(shutdown_ms + WITHIN_MS - SWEEPS_MS)) == {}
    assert final_answers(driver.sweep(shutdown_ms + WITHIN_MS)) == {"a": io.Reject, "b": io.Fail}


def test_requests_that_arrive_during_the_shutdown_have_the_same_deadline():
    driver = Drive()
    driver.warm()
    shutdown_ms = driver.now
    driver.feed(io.ShutdownStarted(WITHIN_MS))
    driver.now += 200.0
    [_] = of(driver.ask("late", budget=2400.0), io.Send)
    assert final_answers(driver.sweep(shutdown_ms + WITHIN_MS)) == {"late": io.Reject}


def test_a_request_that_arrives_after_the_shutdown_deadline_is_rejected_at_once():
    driver = Drive()
    driver.warm()
    driver.feed(io.ShutdownStarted(WITHIN_MS))
    driver.now += WITHIN_MS
    assert final_answers(driver.ask("too-late", budget=2400.0)) == {"too-late": io.Reject}


def test_shorter_client_deadlines_and_an_earlier_shutdown_deadline_stay():
    driver = Drive()
    driver.warm()
    driver.ask("short", spec="short", budget=300.0)
    start = driver.now
    driver.feed(io.ShutdownStarted(WITHIN_MS))
    driver.feed(io.ShutdownStarted(10 * WITHIN_MS))
    driver.ask("long", budget=2400.0)
    assert "short" in final_answers(driver.sweep(start + 300.0))
    assert "long" in final_answers(driver.sweep(start + WITHIN_MS))
