"""A front end that shuts down answers every request before, however long its client would wait."""

from bench import Drive, of

from fawnwharf import interface as io

WITHIN_MS = 500.0
SWEEPS_MS = 80.0  # two sweeps of the policy's timer: no final answer may be later than its time


def finals(actions):
    """The final answers among these actions, by request."""
    return {action.request: type(action) for action in actions if isinstance(action, io.Reject | io.Fail)}


def test_open_requests_are_answered_by_the_stated_time_by_what_their_class_allows():
    drive = Drive()
    for name, spec in (("a", "safe"), ("b", "unsafe")):
        drive.warm("f-" + spec, spec=spec)
        [_] = of(drive.ask(name, "f-" + spec, spec, budget=2400.0), io.Send)
    closed_at = drive.now
    drive.feed(io.ShutdownStarted(WITHIN_MS))
    assert finals(drive.sweep(closed_at + WITHIN_MS - SWEEPS_MS)) == {}
    assert finals(drive.sweep(closed_at + WITHIN_MS)) == {"a": io.Reject, "b": io.Fail}


def test_requests_that_come_afterwards_have_the_same_limit():
    drive = Drive()
    drive.warm()
    closed_at = drive.now
    drive.feed(io.ShutdownStarted(WITHIN_MS))
    drive.now += 200.0
    [_] = of(drive.ask("late", budget=2400.0), io.Send)
    assert finals(drive.sweep(closed_at + WITHIN_MS)) == {"late": io.Reject}


def test_one_that_comes_when_the_time_is_over_is_answered_at_once():
    drive = Drive()
    drive.warm()
    drive.feed(io.ShutdownStarted(WITHIN_MS))
    drive.now += WITHIN_MS
    assert finals(drive.ask("too-late", budget=2400.0)) == {"too-late": io.Reject}


def test_a_shorter_time_of_the_client_and_an_earlier_closing_still_count():
    drive = Drive()
    drive.warm()
    drive.ask("short", spec="short", budget=300.0)
    start = drive.now
    drive.feed(io.ShutdownStarted(WITHIN_MS))
    drive.feed(io.ShutdownStarted(10 * WITHIN_MS))
    drive.ask("long", budget=2400.0)
    assert "short" in finals(drive.sweep(start + 300.0))
    assert "long" in finals(drive.sweep(start + WITHIN_MS))
