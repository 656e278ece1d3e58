"""A directed log and its follower: the connection lasts while heartbeats arrive."""

from unittest import mock

from fawnwharf.net.event_loop import EventLoop
from fawnwharf.net.timer_wheel import monotonic_ms
from fawnwharf.replication.directed_log import DirectedLog, DirectedLogServer
from fawnwharf.zones import member_log
from fawnwharf.zones.member_log import HEARTBEAT_MS


def test_a_followed_log_is_not_reconnected_while_its_heartbeats_arrive():
    """Guards against heartbeats that counted as being as old as the machine's clock."""
    loop = EventLoop(lambda _now_ms, _events: None, lambda _text: None)
    server, requests, logged = DirectedLogServer(loop, ("127.0.0.1", 0), 1, 4), [], []
    follower = DirectedLog(loop, server.address, lambda _line: None, logged.append, requests.append)
    try:
        follower.connect()
        until_ms = monotonic_ms() + 2.5 * HEARTBEAT_MS
        while monotonic_ms() < until_ms:
            loop.run_iteration(0.01)
        assert logged == []
        assert len(requests) == 1
        assert follower.up
        assert follower.incarnation == 1
    finally:
        for part in (follower, server, loop):
            part.close()


def test_a_late_heartbeat_does_not_delay_the_following_ones():
    """Readers count heartbeats: one that is late by a little each time would seem to be ever older."""
    loop = EventLoop(lambda _now_ms, _events: None, lambda _text: None)
    server = DirectedLogServer(loop, ("127.0.0.1", 0), 1, 4)
    try:
        with (
            mock.patch.object(member_log, "monotonic_ms") as clock,
            mock.patch.object(loop.timers, "after") as after,
        ):
            for late_ms in (30.0, 0.0, 2_500.0):
                clock.return_value = server._heartbeat_ms + late_ms
                server._heartbeat()
            delays = [call.args[0] for call in after.call_args_list]
        assert delays == [HEARTBEAT_MS - 30.0, HEARTBEAT_MS, 0.0]
    finally:
        server.close()
        loop.close()
