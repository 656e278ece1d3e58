"""No load order is sent for a client that closes while the iteration that decides on it is stalled."""

import time

import pytest
from peers import Rig, ScorerPeer, handle_frame
from support.client_cases import CALL

from fawnwharf import interface as io
from fawnwharf.net import connection, scorer_frames

COLD = "00000000000000bb"
STALL_S = 0.2


@pytest.mark.parametrize("reset", [False, True])
def test_a_client_that_closes_in_the_iteration_in_which_its_load_is_decided(reset):
    scorer = ScorerPeer(copies=None)
    rig = Rig(scorer)
    first, leaving = rig.client(), rig.client()
    # The first call's order establishes a connection, on which another order would be sent at once.
    first.call(row="00000000000000aa")
    rig.until(lambda: scorer.of(scorer_frames.LOAD), "the scorer receives a load order")
    rig.settle(leaving)
    decide, left = rig.front.router.handle, []

    def handle(now_ms, events):
        actions = decide(now_ms, events)
        if not left and any(
            isinstance(each, io.OrderCopies) and each.copies and each.function == COLD for each in actions
        ):
            if reset:
                leaving.sock.setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")  # SO_LINGER 0: a close is a reset
            leaving.sock.close()
            left.append(True)
            time.sleep(STALL_S)  # stalls the process; no event is awaited here
        return actions

    rig.front.router.handle = handle
    assert connection.PEER_CHECK_AFTER_MS < STALL_S * 1000.0
    leaving.sock.sendall(handle_frame(2, CALL | {"call": f"{2:016x}", "row": COLD}))
    rig.until(lambda: left, "the load order is decided")
    rig.clients.remove(leaving)
    rig.settle(first)
    ordered = [frame.fields for _, frame in scorer.of(scorer_frames.LOAD) if frame.fields["obj"] == COLD]
    assert [fields for fields in ordered if fields["slots_up"] != "0"] == []
    rig.close()
