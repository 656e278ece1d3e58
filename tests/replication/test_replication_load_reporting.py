"""Load reporting on real sockets: what the request table observes, and when it is reported."""

import itertools

from cores import Cores
from peers import PATIENCE_S, Rig, ScorerPeer

from fawnwharf import interface as io
from fawnwharf.fakes.scorers import Arrival
from fawnwharf.net import scorer_frames
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.front_end import scorer_number
from fawnwharf.net.timer_wheel import monotonic_ms, unix_ms
from fawnwharf.replication import messages as m
from fawnwharf.replication.directed_log import DirectedLog, DirectedLogServer
from fawnwharf.replication.load_reporting import LoadReporting
from fawnwharf.testbed.work import cold_use, counts, twice


class StartedScorer(ScorerPeer):
    """A scorer that has just started and answers load orders only when the test tells it to."""

    def __init__(self):
        super().__init__("s-1", copies=None)
        self.up_since_ms = unix_ms()

    def member(self, phase="in_service", **more):
        return super().member(phase, up_since_ms=self.up_since_ms, **more)

    def orders(self, load):
        """The received load orders, or the received probes."""
        return [i for i in self.of(scorer_frames.LOAD) if (i[1].fields["slots_up"] != "0") == load]


def reporting_rig(scorer, slow_start_ms=60_000.0):
    """A front end with load reporting: the rig, the reporting, and a function that returns its reports."""
    rig = Rig(scorer, settings={"invariants": {"cold": slow_start_ms, "fall": 50_000.0}})
    core, sent, events = Cores().cores["n0"], [], []
    reporting = LoadReporting(
        core, rig.front.deployment.settings, lambda _event, fields: events.append(fields)
    )
    reporting.attach(rig.front, sent.extend)

    def reports():
        return [send.message for send in sent if isinstance(send.message, m.LoadReport)]

    return rig, reporting, reports


def test_the_request_table_reports_attempts_and_orders_and_their_results():
    scorer = StartedScorer()
    rig, reporting, reports = reporting_rig(scorer)
    number = scorer_number("s-1")
    try:
        client = rig.client()
        client.call()
        rig.until(
            lambda: scorer.orders(load=False) or scorer.orders(load=True), "a probe or a load order arrives"
        )
        for item in scorer.orders(load=False):
            assert not any(report.loading for report in reports())
            scorer.answer(item, 0, "slots_up=0")
        rig.until(lambda: scorer.orders(load=True), "a load order arrives")
        rig.until(lambda: reports()[-1].loading, "the load is reported")
        [load] = reports()[-1].loading
        assert load.scorer == number
        assert reports()[-1].sent == {}
        scorer.answer(scorer.orders(load=True)[0], 0, "slots_up=1")
        rig.until(lambda: scorer.runs, "the call is sent")
        rig.until(lambda: reports()[-1].sent, "the send is reported")
        assert reports()[-1].sent == {str(number): 1}
        assert reports()[-1].loading == ()
        proved = [copy for report in reports() for copy in report.copies if copy.copies]
        assert [(copy.scorer, copy.function, copy.copies) for copy in proved] == [(number, load.function, 1)]
        scorer.answer(scorer.runs[0])
        rig.until(lambda: client.answers, "the client is answered")
        reporting.close()
        rig.front.loop.enqueue(io.LimitsChanged())  # the loop continues without reporting
        rig.settle(client)
        assert rig.front.requests.observer is None
    finally:
        rig.close()


def test_reports_are_frequent_only_during_slow_start_or_loads():
    for slow_start_ms, most, least in ((60_000.0, 130.0, 90.0), (1.0, 1_000.0, 240.0)):
        rig, _, reports = reporting_rig(StartedScorer(), slow_start_ms)
        try:
            rig.until(lambda reports=reports: len(reports()) > 2, "three reports")
            times = []
            while len(times) < 4:
                count = len(reports())
                rig.until(lambda reports=reports, count=count: len(reports()) > count, "one more report")
                times.append(rig.front.loop.iteration_ms)
            spans = sorted(b - a for a, b in itertools.pairwise(times))
            assert spans[0] >= least - 20.0
            assert spans[0] < most
        finally:
            rig.close()


def test_a_late_follower_gets_the_hello_and_only_lines_for_it():
    loop = EventLoop(lambda _now_ms, _events: None, lambda _text: None)
    a, b = (DirectedLogServer(loop, ("127.0.0.1", 0), incarnation, 4) for incarnation in (1, 2))
    received, followers = [], []

    def until(condition):
        end = monotonic_ms() + 1_000.0 * PATIENCE_S
        while not condition():
            assert monotonic_ms() < end
            loop.run_iteration(0.005)

    def follow(server, take, hello):
        followers.append(DirectedLog(loop, server.address, take, lambda _text: None, hello))
        followers[-1].connect()

    try:
        follow(b, received.append, lambda number: a.publish_hello("b", {"asked": number}))
        until(lambda: any(reader.since is not None for reader in b.readers))
        follow(a, lambda line: b.register_reader("a", line["asked"]), lambda _number: None)
        until(lambda: "a" in b._names.values())
        b.send({"n": 1}, ("c",))
        b.send({"n": 2}, ("a",))
        until(lambda: received)
        assert received == [{"n": 2}]
        a.withdraw_hello("b")
        assert a._current_lines == {}
    finally:
        for part in (*followers, a, b, loop):
            part.close()


def arrival(at_ms, sender, scorer="s", what="run", function="f"):
    """A call or load order that arrives at a scorer."""
    return Arrival(at_ms, scorer, sender, what, "1", "view", function, "", 1)


def test_slow_start_use_and_double_orders_are_measured_at_the_scorers():
    # One call per 10 ms for one scorer. The limit is 2 x 0.1 x 1500 = 300 calls after slow start, and 60 at
    # its beginning.
    call_times_ms = [10.0 * n for n in range(800)]
    flood = [arrival(1_000.0 + n, "n1") for n in range(60)]
    most, used = cold_use(flood, {"s": [1_000.0]}, call_times_ms)
    assert 0.92 < most < 1.0
    assert abs(used - 60 / (300 * 0.6 * 4_000 / 1_500)) < 1e-6
    assert cold_use(flood, {"s": [1_000.0, 7_900.0], "t": []}, [])[0] == 0.0
    assert cold_use([arrival(5_000.0, "n1"), arrival(999.0, "n1")], {"s": [1_000.0]}, call_times_ms) == (
        0.0,
        0.0,
    )
    orders = [
        arrival(0.0, "n1", what="order"),
        arrival(10.0, "n1", what="order"),
        arrival(500.0, "n2", what="order"),
        arrival(501.0, "n3", what="order", function="g"),
        arrival(1_101.0, "n1", what="order"),
    ]
    assert twice(orders) == 1
    assert counts(orders) == {"order": 5}
