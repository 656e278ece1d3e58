"""Randomized orders of the events of requests, on real sockets, checked against the reference model."""

import re
from pathlib import Path

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from support.request_driver import play
from support.request_site import Site

ROOT = Path(__file__).parents[2]
PACES = ("batched", "iteration", "quiet")
CLIENT_STEPS = (
    "call",
    "call",
    "pair",
    "partial_call",
    "rest_of_call",
    "withdraw",
    "close",
    "reset",
    "half_close",
)
SCORER_STEPS = ("answer", "serve", "answer_again", "partial_answer", "scorer_reset", "scorer_close")
LINK_STEPS = ("scorer_down", "scorer_up", "hold_connects", "release_connects", "short_write")
TIME_STEPS = ("due", "wait", "wait_long", "stall")
ROSTER_STEPS = ("drain", "remove", "restore", "log_reset", "reload")
MODES = ("loaded", "empty", "full", "mute")

FIXED = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=250,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)


def steps_of(*actions):
    """Return a strategy for lists of steps: an action, two numbers that select its objects, and a pace."""
    numbers = st.integers(0, 7)
    return st.lists(
        st.tuples(st.sampled_from(actions), numbers, numbers, st.sampled_from(PACES)), min_size=2, max_size=30
    )


SITES = st.builds(
    Site,
    modes=st.lists(st.sampled_from(MODES), min_size=1, max_size=3).map(tuple),
    give_up_ms=st.sampled_from((150.0, 600.0, 2_000.0, 10_000.0)),
    dedup_window_ms=st.sampled_from((0.0, 150.0, 1_000.0, 5_000.0)),
    group=st.sampled_from(("all", "zone")),
    cancel=st.booleans(),
    second_copies=st.booleans(),
    max_attempts=st.integers(1, 4),
    may_order=st.booleans(),
    not_loaded=st.sampled_from(("load", "miss")),
    load_window_ms=st.sampled_from((0.0, 1_000.0)),
    free_loads=st.sampled_from((0.0, 1.0, 3.0)),
    sockets=st.sampled_from((32, 1_024)),
)


class TestRandomizedEvents:
    @FIXED
    @given(SITES, steps_of(*CLIENT_STEPS, *SCORER_STEPS, *TIME_STEPS))
    def test_clients_and_answers(self, site, steps):
        play(site, steps)

    @FIXED
    @given(SITES, steps_of(*CLIENT_STEPS, *SCORER_STEPS, *LINK_STEPS, "wait", "due"))
    def test_connections_to_scorers(self, site, steps):
        play(site, steps)

    @FIXED
    @given(SITES, steps_of("call", "pair", "withdraw", "serve", "answer", *ROSTER_STEPS, *TIME_STEPS))
    def test_lists_of_scorers(self, site, steps):
        play(site, steps)

    @FIXED
    @given(SITES, steps_of(*CLIENT_STEPS, "serve", "answer", "scorer_reset", "crowd", "leave", *TIME_STEPS))
    def test_crowds_and_shutdown(self, site, steps):
        play(site, steps)

    @FIXED
    @given(
        SITES,
        steps_of(*CLIENT_STEPS, *SCORER_STEPS, *LINK_STEPS, *TIME_STEPS, *ROSTER_STEPS, "crowd", "leave"),
    )
    def test_everything(self, site, steps):
        play(site, steps)


def test_only_the_timer_wheel_module_reads_a_clock():
    """Otherwise the randomized tests would use two clocks: the settable one and the system's."""
    modules = [path for package in ("net", "policy") for path in (ROOT / "fawnwharf" / package).glob("*.py")]
    pattern = re.compile(r"^\s*(import|from) (time|datetime)\b", re.MULTILINE)
    assert [path.name for path in modules if pattern.search(path.read_text())] == ["timer_wheel.py"]


def test_a_plain_call_is_served():
    driver = play(Site(), [("call", 0, 0, "quiet"), ("serve", 0, 0, "quiet")])
    [request] = driver.model.requests.values()
    assert [kind for kind, _, _ in request.answers] == ["answer"]


def test_a_long_deadline_is_waited_for():
    driver = play(Site(give_up_ms=60_000.0), [("call", 0, 0, "quiet"), ("call", 1, 2, "quiet")])
    kinds = [request.answers[0][0] for request in driver.model.requests.values()]
    assert kinds == ["throttled", "broken"]
