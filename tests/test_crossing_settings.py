"""Unusual settings: the front end starts, and each call has exactly one final answer."""

import pytest
from peers import ROW
from support.request_driver import RequestDriver, play
from support.request_site import Site

ODD_NAMES = ("a b", "caf\u00e9", "x:y;z", "\u65e5\u672c", "-", "view.v2/eu", "1")
ONE_CALL = [("call", 0, 0, "quiet"), ("serve", 0, 0, "quiet")]
THREE_CALLS = [
    step for number in (0, 1, 2) for step in (("call", 0, number, "quiet"), ("serve", 0, 0, "quiet"))
]

CROSSING_STEPS = [
    ("call", 0, 0, "batched"),
    ("call", 1, 2, "quiet"),
    ("scorer_reset", 0, 0, "quiet"),
    ("call", 2, 1, "batched"),
    ("answer", 0, 2, "quiet"),
    ("drain", 0, 0, "quiet"),
    ("call", 0, 0, "quiet"),
    ("wait", 4, 0, "quiet"),
    ("serve", 0, 0, "quiet"),
]


def classes(*names, **extra):
    spec = {"effect": "idempotent", "give_up": 2_000.0, "promise": 1_600.0}
    return [{"name": name} | spec | extra for name in names]


def kinds(driver):
    return [request.answers[0][0] for request in driver.model.requests.values()]


def bounds(**extra):
    return Site().settings()["bounds"] | extra


def family(**extra):
    return Site().settings()["family_info"] | extra


# Settings with which a call is served if a copy is loaded.
SERVING = {
    "one class": Site(extra={"classes": classes("view")}),
    "nine classes": Site(extra={"classes": classes("view", *(f"class-{n}" for n in range(8)))}),
    "no tenants": Site(extra={"tenants": []}),
    "tenants without quota": Site(
        extra={"tenants": [{"name": "acme", "quota_rps": None}, {"name": "other"}]}
    ),
    "a quota": Site(extra={"tenants": [{"name": "acme", "quota_rps": 50.0}]}),
    "give_up 120 ms": Site(give_up_ms=120.0),
    "give_up 10 min": Site(give_up_ms=600_000.0),
    "dedup_window 0": Site(dedup_window_ms=0.0),
    "keepalive 100 ms": Site(extra={"bounds": bounds(keepalive=100.0)}),
    "dial_timeout 20 ms": Site(extra={"bounds": bounds(dial_timeout=20.0)}),
    "streams_per_conn 1": Site(extra={"bounds": bounds(streams_per_conn=1)}),
    "max_open 1": Site(extra={"bounds": bounds(max_open=1)}),
    "max_attempts 1": Site(max_attempts=1),
    "no cancel": Site(cancel=False),
    "cold 0": Site(extra={"invariants": {"cold": 0.0}}),
    "fall 0": Site(extra={"invariants": {"fall": 0.0}}),
    "cold and fall 0": Site(extra={"invariants": {"cold": 0.0, "cold_share": 0.0, "fall": 0.0}}),
    "load_window 0": Site(load_window_ms=0.0),
    "free_loads 0": Site(load_window_ms=1_000.0, free_loads=0.0),
    "no loads at all": Site(load_window_ms=1_000.0, free_loads=0.0, load_part=0.0),
    "tick 0": Site(extra={"tick": 0.0}),
    "idle_life 0": Site(extra={"family_info": family(idle_life=0.0)}),
    "load_wait 0": Site(extra={"family_info": family(load_wait=0.0)}),
    "fleet_size 1": Site(extra={"fleet_size": 1}),
    "fleet_size 1000": Site(extra={"fleet_size": 1_000}),
    "fleet_size 1000 with a quota": Site(
        extra={"fleet_size": 1_000, "tenants": [{"name": "acme", "quota_rps": 50_000.0}]}
    ),
    "sockets 32": Site(sockets=32),
    "no load orders": Site(may_order=False),
    "no orders, and a miss if no copy is loaded": Site(may_order=False, not_loaded="miss"),
}
# Settings with which a call may be rejected: any outcome is accepted, but only one, and in time.
ANY_OUTCOME = {
    "promise 0": Site(extra={"classes": classes("view", promise=0.0)}),
    "fleet_size 1000 with a small quota": Site(
        extra={"fleet_size": 1_000, "tenants": [{"name": "acme", "quota_rps": 1.0}]}
    ),
    "quota 0": Site(extra={"tenants": [{"name": "acme", "quota_rps": 0.0}]}),
    "keepalive 0": Site(extra={"bounds": bounds(keepalive=0.0)}),
    "dial_timeout 0": Site(extra={"bounds": bounds(dial_timeout=0.0)}),
    "nothing is loaded": Site(modes=("empty",), load_window_ms=1_000.0, free_loads=0.0, load_part=0.0),
    "no scorer": Site(modes=()),
}


class TestServed:
    @pytest.mark.parametrize("site", SERVING.values(), ids=SERVING)
    def test_a_call_is_served(self, site):
        assert kinds(play(site, ONE_CALL)) == ["answer"]

    @pytest.mark.parametrize("name", ODD_NAMES)
    def test_a_class_and_a_tenant_of_any_name(self, name):
        site = Site(extra={"classes": classes(name), "tenants": [{"name": name}]})
        driver = RequestDriver(site)
        try:
            client = driver._client(0)
            request, _ = driver._new_request(client, 0)
            request.class_name = name
            fields = {"op": name, "org": name, "call": request.id.hex(), "ttl": "2000", "row": ROW}
            request.function = ROW
            driver._record_sent(request, client.send_request(request.seqid, fields))
            driver.run_until_quiet()
            driver.run_step(("serve", 0, 0, "quiet"))
            driver.finish()
            assert kinds(driver) == ["answer"]
        finally:
            driver.close()


class TestEndsOnce:
    @pytest.mark.parametrize("site", (SERVING | ANY_OUTCOME).values(), ids=SERVING | ANY_OUTCOME)
    def test_three_classes_one_after_the_other(self, site):
        known = {spec["name"] for spec in site.settings()["classes"]}
        steps = THREE_CALLS if len(known) == 3 else ONE_CALL
        driver = play(site, steps)
        assert all(len(request.answers) == 1 for request in driver.model.requests.values())

    @pytest.mark.parametrize("site", (SERVING | ANY_OUTCOME).values(), ids=SERVING | ANY_OUTCOME)
    def test_resets_drains_and_arrivals_that_cross(self, site):
        known = {spec["name"] for spec in site.settings()["classes"]}
        play(site, [step for step in CROSSING_STEPS if step[0] != "call" or step[2] == 0 or len(known) == 3])
