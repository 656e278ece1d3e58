"""Rare moments in which a part would be lost for good: a selector without memory, a list not read whole."""

import errno
import os
from unittest import mock

from peers import ScorerPeer
from support.change_log_front_end import event
from support.client_cases import Case, wait
from test_net_discovery_orders import rig

__all__ = ["rig"]


class SelectorWithoutMemory(Case):
    def test_a_connection_whose_watching_fails_once_is_read_again(self):
        made = self.rig(ScorerPeer())
        clients = [made.client() for _ in range(3)]
        for client in clients:
            made.settle(client)
        made.front.client_port.set_paused(True)
        wait(made, 100)
        failures = [OSError(errno.ENOMEM, os.strerror(errno.ENOMEM))]
        register = made.front.loop._selector.register

        def registering(*arguments):
            if failures:
                raise failures.pop()
            return register(*arguments)

        with mock.patch.object(made.front.loop._selector, "register", registering):
            made.front.client_port.set_paused(False)
        assert not failures
        for client in clients:
            client.status(77)
        made.until(lambda: all(77 in client.kinds() for client in clients), "each is read and answered")


def test_nobody_is_gone_by_a_new_numbering_whose_list_has_a_member_that_cannot_be_read(rig):
    rig.log.say(event(2, rig.member("s-1")))
    rig.at(2)
    known = set(rig.states())
    members = [rig.member(id) for id in sorted(known)]
    members[-1] |= {"host_port": 7}
    rig.log.say(event(1, *members, complete=True, revision=50))
    rig.log.say(event(2, rig.member("s-1", "terminating"), revision=51))
    rig.until(lambda: rig.states().get("s-1") == 2, "its drain is taken")
    assert set(rig.states()) == known
