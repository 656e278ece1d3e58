"""Load reports on real sockets: what the request table sees, and when it is reported."""

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


class Cold(ScorerPeer):
    """A scorer that has just started and holds its answers to orders back until the test sends them."""

    def __init__(self):
        super().__init__("s-1", copies=None)
        self.up_since_ms = unix_ms()

    def member(self, phase="in_service", **more):
        return super().member(phase, up_since_ms=self.up_since_ms, **more)

    def orders(self, load):
        """Those that came, loads or questions."""
        return [i for i in self.of(scorer_frames.LOAD) if (i[1].fields["slots_up"] != "0") == load]


def rig_with(scorer, cold_ms=60_000.0):
    rig = Rig(scorer, settings={"invariants": {"cold": cold_ms, "fall": 50_000.0}})
    core, sent, notes = Cores().cores["n0"], [], []
    working = LoadReporting(core, rig.front.deployment.settings, lambda _event, fields: notes.append(fields))
    working.attach(rig.front, sent.extend)

    def told():
        return [send.message for send in sent if isinstance(send.message, m.LoadReport)]

    return rig, working, told


def test_the_request_table_reports_attempts_and_orders_and_their_results():
    scorer = Cold()
    rig, working, told = rig_with(scorer)
    worker = scorer_number("s-1")
    try:
        client = rig.client()
        client.call()
        rig.until(lambda: scorer.orders(load=False) or scorer.orders(load=True), "it is asked or ordered")
        for item in scorer.orders(load=False):
            assert not any(report.loading for report in told())
            scorer.answer(item, 0, "slots_up=0")
        rig.until(lambda: scorer.orders(load=True), "a load is ordered")
        rig.until(lambda: told()[-1].loading, "the load is told")
        [load] = told()[-1].loading
        assert load.scorer == worker
        assert told()[-1].sent == {}
        scorer.answer(scorer.orders(load=True)[0], 0, "slots_up=1")
        rig.until(lambda: scorer.runs, "the call goes")
        rig.until(lambda: told()[-1].sent, "it is told")
        assert told()[-1].sent == {str(worker): 1}
        assert told()[-1].loading == ()
        proved = [copy for report in told() for copy in report.copies if copy.copies]
        assert [(copy.scorer, copy.function, copy.copies) for copy in proved] == [(worker, load.function, 1)]
        scorer.answer(scorer.runs[0])
        rig.until(lambda: client.answers, "the answer")
        working.close()
        rig.front.loop.enqueue(io.LimitsChanged())  # the loop goes on without it
        rig.settle(client)
        assert rig.front.requests.observer is None
    finally:
        rig.close()


def test_reports_are_frequent_only_during_slow_start_or_loads():
    for cold_ms, most, least in ((60_000.0, 130.0, 90.0), (1.0, 1_000.0, 240.0)):
        rig, _, told = rig_with(Cold(), cold_ms)
        try:
            rig.until(lambda told=told: len(told()) > 2, "three words")
            times = []
            while len(times) < 4:
                count = len(told())
                rig.until(lambda told=told, count=count: len(told()) > count, "one more")
                times.append(rig.front.loop.iteration_ms)
            spans = sorted(b - a for a, b in itertools.pairwise(times))
            assert spans[0] >= least - 20.0
            assert spans[0] < most
        finally:
            rig.close()


def test_a_late_follower_gets_the_hello_and_only_lines_for_it():
    loop = EventLoop(lambda _now_ms, _events: None, lambda _text: None)
    a, b = (DirectedLogServer(loop, ("127.0.0.1", 0), incarnation, 4) for incarnation in (1, 2))
    told, feeds = [], []

    def until(condition):
        end = monotonic_ms() + 1_000.0 * PATIENCE_S
        while not condition():
            assert monotonic_ms() < end
            loop.run_iteration(0.005)

    def follow(server, take, hello):
        feeds.append(DirectedLog(loop, server.address, take, lambda _text: None, hello))
        feeds[-1].connect()

    try:
        follow(b, told.append, lambda asked: a.publish_hello("b", {"asked": asked}))
        until(lambda: any(reader.since is not None for reader in b.readers))
        follow(a, lambda line: b.register_reader("a", line["asked"]), lambda _asked: None)
        until(lambda: "a" in b._names.values())
        b.send({"n": 1}, ("c",))
        b.send({"n": 2}, ("a",))
        until(lambda: told)
        assert told == [{"n": 2}]
        a.withdraw_hello("b")
        assert a._current_lines == {}
    finally:
        for part in (*feeds, a, b, loop):
            part.close()


def run(at_ms, sender, scorer="s", what="run", function="f"):
    return Arrival(at_ms, scorer, sender, what, "1", "view", function, "", 1)


def test_slow_start_use_and_double_orders_are_measured_at_the_scorers():
    # One call each 10 ms for one scorer: 2 x 0.1 x 1500 = 300 for a warm one, 60 at the start.
    asked = [10.0 * n for n in range(800)]
    flood = [run(1_000.0 + n, "n1") for n in range(60)]
    most, used = cold_use(flood, {"s": [1_000.0]}, asked)
    assert 0.92 < most < 1.0
    assert abs(used - 60 / (300 * 0.6 * 4_000 / 1_500)) < 1e-6
    assert cold_use(flood, {"s": [1_000.0, 7_900.0], "t": []}, [])[0] == 0.0
    assert cold_use([run(5_000.0, "n1"), run(999.0, "n1")], {"s": [1_000.0]}, asked) == (0.0, 0.0)
    orders = [run(0.0, "n1", what="order"), run(10.0, "n1", what="order"), run(500.0, "n2", what="order"),
              run(501.0, "n3", what="order", function="g"), run(1_101.0, "n1", what="order")]  # fmt: skip
    assert twice(orders) == 1
    assert counts(orders) == {"order": 5}
