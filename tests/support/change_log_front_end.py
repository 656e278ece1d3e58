"""A front end whose change log a test writes by hand, and whose time it shifts."""

from contextlib import contextmanager
from unittest import mock

from peers import LogPeer, Rig, ScorerPeer

from fawnwharf import interface as io
from fawnwharf.net import change_log, connection
from fawnwharf.net.front_end import scorer_number


def event(seq, *members, complete=False, **more):
    """One line of the log."""
    return {"seq": seq, "fleet": {"complete": complete, "members": list(members), **more}}


class LogRig(Rig):
    """`told` has what the front end was told, in order."""

    def __init__(self, *ids, **more):
        super().__init__(*map(ScorerPeer, ids), **more)
        self.by_id = {peer.id: peer for peer in self.scorers}
        self.later_ms, self.told, take = 0.0, [], self.front.change_log._deliver
        self.front.change_log._deliver = lambda fleet: (self.told.append(fleet), take(fleet))

    def member(self, id, phase="in_service", **more):
        """The entry of a scorer in an event."""
        return self.by_id[id].member(phase, **more)

    @contextmanager
    def shifted(self):
        """The log's follower and all connections see the monotonic clock `later_ms` further on."""
        true = change_log.monotonic_ms

        def shifted_ms():
            return true() + self.later_ms

        with (
            mock.patch.object(change_log, "monotonic_ms", shifted_ms),
            mock.patch.object(connection, "monotonic_ms", shifted_ms),
        ):
            yield

    def asked_times(self, count):
        """Wait until the log was asked so often; its last question, in words."""
        self.until(lambda: len(self.log.asked()) == count, f"the log is asked {count} times")
        return self.log.asked()[-1]

    def at(self, seq):
        """Wait until this event is taken."""
        self.until(lambda: self.front.change_log.seq == seq, f"event {seq} is taken")

    def log_read(self, seq):
        """All that the log has written, up to this event, was read: its number makes the round."""
        self.front.change_log.up_to_date_ms = None
        self.log.say(seq)
        self.until(lambda: self.front.change_log.up_to_date_ms is not None, "the log is read")

    def states(self):
        """What the module goes by, of the scorers that are not gone."""
        self.until(lambda: self.front._pending_change is None, "the module is told")
        workers = self.front.router.scorers
        found = {id: workers.get(scorer_number(id)) for id in self.by_id}
        states = {id: worker.entry.state for id, worker in found.items() if worker}
        return {id: state for id, state in states.items() if state is not io.ScorerState.GONE}

    def move_to(self, peer):
        """Follow another change log from now on."""
        host, port = peer.host_port.split(":")
        self.front.change_log.move((host, int(port)))


def new_log(rig, request):
    """Another change log, which the rig pumps as well."""
    made = LogPeer()
    request.addfinalizer(made.close)
    rig.scorers.append(made)
    return made
