"""Starting in difficult conditions: an address in use, a malformed event, no known scorer, no change log."""

import errno
import socket

import pytest
from peers import SETTINGS, LogPeer, Rig, ScorerPeer

from fawnwharf.config import ConfigError, deployment_from
from fawnwharf.net import front_end, listener
from fawnwharf.net.front_end import FrontEnd


def event(seq, *members, complete=False):
    return {"seq": seq, "fleet": {"complete": complete, "members": list(members)}}


def create_front_end(log, results, seq=3):
    """Return a front end with these known events, and the list of its log lines."""
    config = {"listen": "127.0.0.1:0", "changelog": log.host_port, "seed": "7", "settings": SETTINGS}
    lines = []
    deployment = deployment_from(config | {"known": {"seq": seq, "results": results}}, {})
    return FrontEnd(deployment, log=lambda text, source="": lines.append(text)), lines


def test_an_address_that_is_freed_while_it_is_waited_for_is_taken(monkeypatch):
    holder = socket.create_server(("127.0.0.1", 0))
    address = holder.getsockname()
    monkeypatch.setattr(listener, "sleep_s", lambda _duration: holder.close())  # freed in the first wait
    with listener.listen_when_free(lambda: listener.open_listener(address, False)) as opened:
        assert opened.getsockname() == address


def test_the_wait_ends_by_timeout_or_by_a_signal(monkeypatch):
    with socket.create_server(("127.0.0.1", 0)) as holder:
        listen = lambda: listener.open_listener(holder.getsockname(), False)  # noqa: E731
        with pytest.raises(OSError) as raised:
            listener.listen_when_free(listen, most_s=0.0)
        assert raised.value.errno == errno.EADDRINUSE
        monkeypatch.setattr(listener.signal, "sigpending", lambda: {listener.signal.SIGTERM})
        with pytest.raises(OSError):
            listener.listen_when_free(listen)


def test_only_the_malformed_known_event_is_skipped():
    log, scorer, other = LogPeer(), ScorerPeer("s-1"), ScorerPeer("s-2")
    complete = event(1, scorer.member(), complete=True)
    for results, seq in (
        ([complete, {"seq": 2, "fleet": 5}, event(3, other.member())], 3),
        ([complete, {"seq": "2"}, event(3, other.member())], 3),
        ([{"seq": 1, "fleet": 5}, event(2, scorer.member()), event(3, other.member())], 0),
    ):
        front, lines = create_front_end(log, results)
        assert len(front.scorer_pool.scorers) == 2 and front.change_log.seq == seq
        assert sum("known.results" in line for line in lines) == 1
        front.close()
    with pytest.raises(ConfigError):
        create_front_end(log, [{"seq": 1, "fleet": 5}, {"seq": 2, "fleet": 6}])
    for peer in (log, scorer, other):
        peer.close()


@pytest.mark.parametrize("case", ["a scorer is reported", "the log has no events", "the log stays down"])
def test_without_a_known_scorer_it_is_ready_once_the_log_is_read_or_the_wait_has_passed(case):
    scorer = ScorerPeer()
    rig = Rig(start=False)
    rig.scorers.append(scorer)
    client = rig.client()
    rig.settle(client)
    assert client.answers[-1][2][3] is False
    if case == "a scorer is reported":
        rig.until(lambda: rig.log.asked(), "the front end has asked the change log")
        rig.log.say(event(2, scorer.member()))
    elif case == "the log has no events":
        rig.until(lambda: rig.log.asked(), "the front end has asked the change log")
        rig.log.say(b"1")
    else:
        rig.front._start_ms -= front_end.MAX_ROSTER_WAIT_MS
    rig.until(lambda: rig.front.client_port.accepts_requests, "the front end is ready")
    rig.settle(client)
    assert client.answers[-1][2][3] is True
    rig.close()


def test_with_a_known_scorer_it_is_ready_at_once():
    rig = Rig(ScorerPeer(), start=False)
    assert rig.front.client_port.accepts_requests
    rig.close()
