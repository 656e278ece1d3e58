"""Rare failures that could lose a connection or scorers for good.

A selector without memory could leave a connection unwatched. A complete list with an unreadable member could
remove that scorer.
"""

import errno
import os
from unittest import mock

from peers import ScorerPeer
from support.change_log_front_end import event
from support.client_cases import Case, wait
from test_net_discovery_orders import rig

__all__ = ["rig"]


class SelectorWithoutMemory(Case):
    def test_a_connection_that_could_not_be_watched_once_is_read_again(self):
        rig = self.rig(ScorerPeer())
        clients = [rig.client() for _ in range(3)]
        for client in clients:
            rig.settle(client)
        rig.front.client_port.set_paused(True)
        wait(rig, 100)
        failures = [OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))]
        register = rig.front.loop._selector.register

        def failing_register(*arguments):
            if failures:
                raise failures.pop()
            return register(*arguments)

        with mock.patch.object(rig.front.loop._selector, "register", failing_register):
            rig.front.client_port.set_paused(False)
        assert not failures
        for client in clients:
            client.status(77)
        rig.until(lambda: all(77 in client.kinds() for client in clients), "each client is answered")


def test_a_renumbered_list_with_an_unreadable_member_removes_no_scorer(rig):
    rig.log.say(event(2, rig.member("s-1")))
    rig.at(2)
    known = set(rig.states())
    members = [rig.member(id) for id in sorted(known)]
    members[-1] |= {"host_port": 7}
    rig.log.say(event(1, *members, complete=True, revision=50))
    rig.log.say(event(2, rig.member("s-1", "terminating"), revision=51))
    rig.until(lambda: rig.states().get("s-1") == 2, "the drain of s-1 is applied")
    assert set(rig.states()) == known
