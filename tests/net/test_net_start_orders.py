"""What crosses a start: an address still held, a faulty event, nobody known, a change log that is down."""

import errno
import socket

import pytest
from peers import SETTINGS, LogPeer, Rig, ScorerPeer

from fawnwharf.config import ConfigError, deployment_from
from fawnwharf.net import front_end, listener
from fawnwharf.net.front_end import FrontEnd


def event(seq, *members, complete=False):
    return {"seq": seq, "fleet": {"complete": complete, "members": list(members)}}


def front_of(log, results, seq=3):
    config = {"listen": "127.0.0.1:0", "changelog": log.host_port, "seed": "7", "settings": SETTINGS}
    lines = []
    made = deployment_from(config | {"known": {"seq": seq, "results": results}}, {})
    return FrontEnd(made, log=lambda text, source="": lines.append(text)), lines


def test_an_address_that_is_freed_while_it_is_waited_for_is_taken(monkeypatch):
    holder = socket.create_server(("127.0.0.1", 0))
    address = holder.getsockname()
    monkeypatch.setattr(listener, "sleep_s", lambda _span: holder.close())  # it ends in the first wait
    with listener.listen_when_free(lambda: listener.open_listener(address, False)) as made:
        assert made.getsockname() == address


def test_an_address_that_stays_anothers_or_a_signal_ends_the_wait(monkeypatch):
    with socket.create_server(("127.0.0.1", 0)) as holder:
        listen = lambda: listener.open_listener(holder.getsockname(), False)  # noqa: E731
        with pytest.raises(OSError) as raised:
            listener.listen_when_free(listen, most_s=0.0)
        assert raised.value.errno == errno.EADDRINUSE
        monkeypatch.setattr(listener.signal, "sigpending", lambda: {listener.signal.SIGTERM})
        with pytest.raises(OSError):
            listener.listen_when_free(listen)


def test_a_faulty_event_among_the_known_ones_costs_itself_alone():
    log, scorer, other = LogPeer(), ScorerPeer("s-1"), ScorerPeer("s-2")
    whole = event(1, scorer.member(), complete=True)
    for results, seq in (
        ([whole, {"seq": 2, "fleet": 5}, event(3, other.member())], 3),
        ([whole, {"seq": "2"}, event(3, other.member())], 3),
        ([{"seq": 1, "fleet": 5}, event(2, scorer.member()), event(3, other.member())], 0),
    ):
        front, lines = front_of(log, results)
        assert len(front.scorer_pool.scorers) == 2 and front.change_log.seq == seq
        assert sum("known.results" in line for line in lines) == 1
        front.close()
    with pytest.raises(ConfigError):
        front_of(log, [{"seq": 1, "fleet": 5}, {"seq": 2, "fleet": 6}])
    for peer in (log, scorer, other):
        peer.close()


@pytest.mark.parametrize("how", ["a scorer is told", "the log has none", "the log stays down"])
def test_with_nobody_in_service_known_it_says_good_once_that_is_sure_or_time_is_up(how):
    scorer = ScorerPeer()
    rig = Rig(start=False)
    rig.scorers.append(scorer)
    client = rig.client()
    rig.settle(client)
    assert client.answers[-1][2][3] is False
    if how == "a scorer is told":
        rig.until(lambda: rig.log.asked(), "the change log is asked")
        rig.log.say(event(2, scorer.member()))
    elif how == "the log has none":
        rig.until(lambda: rig.log.asked(), "the change log is asked")
        rig.log.say(b"1")
    else:
        rig.front._start_ms -= front_end.MAX_ROSTER_WAIT_MS
    rig.until(lambda: rig.front.client_port.accepts_requests, "it takes work")
    rig.settle(client)
    assert client.answers[-1][2][3] is True
    rig.close()


def test_with_a_scorer_in_service_known_it_says_good_at_once_whatever_the_log_does():
    rig = Rig(ScorerPeer(), start=False)
    assert rig.front.client_port.accepts_requests
    rig.close()
