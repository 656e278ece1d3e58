"""A front end with recovery admission, load order gate and permit issuer, with real loop and sockets."""

import pytest
from peers import ROW, SETTINGS, Rig, ScorerPeer

from fawnwharf import interface as io
from fawnwharf.net import scorer_frames as frames
from fawnwharf.net.front_end import scorer_number
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.recovery_core.budget import fleet_limits
from fawnwharf.recovery_core.phases import RecoveryPhase, allowed_in_phase
from fawnwharf.recovery_service.actions import CopyAvailable, LoadOrder, SlowStartPermit
from fawnwharf.recovery_service.load_order_gate import LoadOrderGate
from fawnwharf.recovery_service.permit_issuing import PermitIssuer, PermitTiming
from fawnwharf.recovery_service.recovery_admission import AdmissionSettings, RecoveryAdmission


class Loading(ScorerPeer):
    """A scorer that reports its copies correctly; an order waits until the test allows the load."""

    def __init__(self):
        super().__init__(copies=None)
        self.seen, self.stand = 0, 0

    def pump(self):
        super().pump()
        for item in self.of(frames.LOAD)[self.seen :]:
            self.seen += 1
            if int(item[1].fields["slots_up"]) <= self.stand:
                self.answer(item, 0, f"slots_up={self.stand}")

    @property
    def orders(self):
        return [item for item in self.of(frames.LOAD) if item[1].fields["slots_up"] != "0"]


class Joined:
    """Replaces `RecoveryService`: attaches the parts and ticks every 20 ms."""

    def __init__(self, front, settings):
        self.front, self.busy = front, False
        limits = fleet_limits(settings, 2, 100.0)
        self.issuer = PermitIssuer(
            "n0", 1, limits, lambda function: [scorer_number("s-1")], PermitTiming(50.0, 50.0)
        )
        self.admission = front.client_port.requests = RecoveryAdmission(
            front.loop.timers, front.requests, AdmissionSettings(settings.classes, limits)
        )
        front.intercept(io.OrderCopies, self.between)
        front._extension = self
        self.turn()

    def between(self, below):
        front = self.front
        self.order_gate = LoadOrderGate(
            below, front.scorer_pool.send_load_order, front.loop.enqueue, front.requests.open
        )
        return self.order_gate.carry

    def go_by(self, stage):
        may = allowed_in_phase(stage, {"view": 1.0, "save": 1.0, "settle": 5.0})
        self.issuer.update(monotonic_ms(), ["n0"], ["n0"], may, 1)
        self.order_gate.apply(may, self.issuer)
        self.admission.apply(may, 1_000.0, self.issuer)
        self.admission.rate_limiter.tokens = 500.0  # as if this rate had been set for a while

    def turn(self):
        self.carry(self.issuer.tick(monotonic_ms()))
        self.front.loop.timers.after(20.0, self.turn)

    def on_events(self, events):
        self.carry(self.order_gate.events(monotonic_ms(), events))

    def carry(self, outs):
        for out in outs:
            if isinstance(out, LoadOrder):
                tell = (
                    self.front.requests.send_load_order
                    if isinstance(out.event, io.OrderCopies)
                    else self.front.loop.enqueue
                )
                tell(out.event)
            elif isinstance(out, SlowStartPermit | CopyAvailable):
                self.admission.notify(out)

    def on_fleet(self, fleet): ...

    def close(self): ...


@pytest.fixture
def joined():
    scorer = Loading()
    bounds = SETTINGS["bounds"] | {"retry_after": True, "max_retry_after": 4_000.0}
    rig = Rig(scorer, settings={"bounds": bounds})
    rig.joined = Joined(rig.front, rig.front.deployment.settings)
    yield rig
    rig.close()


def test_a_call_waits_in_admission_for_the_load_coordinators_copy_and_is_served_by_the_decision_module(
    joined,
):
    scorer, client = joined.scorers[0], joined.client()
    joined.joined.go_by(RecoveryPhase.ALL_CALLS)
    seqid = client.call()
    joined.until(lambda: scorer.orders, "the loader's order goes out by the module")
    assert not joined.front.requests.open and joined.front.router.loading == 1
    [order] = scorer.orders
    scorer.stand = 1
    scorer.answer(order, 0, "slots_up=1")
    joined.until(lambda: scorer.runs, "the call is let in")
    scorer.answer(scorer.runs[0], 0, "res=reused", b"done")
    joined.until(lambda: seqid in client.kinds(), "it is answered")
    assert client.kinds() == {seqid: "answer"} and len(scorer.orders) == 1
    assert not joined.joined.admission.busy and joined.joined.issuer.place(ROW) == scorer_number("s-1")


def test_before_its_phase_a_call_is_rejected_with_advice_and_the_decision_module_sees_nothing(joined):
    scorer, client = joined.scorers[0], joined.client()
    joined.joined.go_by(RecoveryPhase.PRIORITY_CALLS)
    seqid = client.call("view")
    joined.until(lambda: seqid in client.kinds(), "it is refused")
    assert client.kinds() == {seqid: "throttled"} and not scorer.frames
    joined.joined.go_by(RecoveryPhase.NORMAL)
    later = client.call("view")
    joined.until(lambda: scorer.orders, "the module orders for itself")
    scorer.answer(scorer.orders[0], 0, "slots_up=1")
    joined.until(lambda: scorer.runs, "the call is sent")
    scorer.answer(scorer.runs[0])
    joined.until(lambda: later in client.kinds(), "it is answered")
    assert client.kinds()[later] == "answer" and joined.joined.order_gate.rejected == 0


def test_the_decision_modules_own_orders_are_not_sent_before_copy_refresh(joined):
    scorer, client = joined.scorers[0], joined.client()
    joined.joined.go_by(RecoveryPhase.ALL_CALLS)
    joined.front.client_port.requests = joined.front.requests  # this call bypasses admission
    client.call()
    joined.until(lambda: joined.joined.order_gate.rejected, "the module orders")
    joined.settle(client)
    assert scorer.orders == []
    joined.joined.go_by(RecoveryPhase.COPY_REFRESH)
    joined.until(lambda: scorer.orders, "its place has rested, and the order goes out")


def test_a_disconnecting_client_withdraws_its_waiting_call(joined):
    client = joined.client()
    joined.joined.go_by(RecoveryPhase.ALL_CALLS)
    client.call()
    joined.until(lambda: joined.joined.admission.busy, "it is held")
    client.sock.close()
    joined.clients.clear()
    joined.until(lambda: not joined.joined.admission.busy, "it is let go of")
    assert not joined.joined.admission.counts and not joined.front.requests.open
