"""A front end whose change log is written by the test, and whose clock can be shifted."""

from contextlib import contextmanager
from unittest import mock

from peers import LogPeer, Rig, ScorerPeer

from fawnwharf import interface as io
from fawnwharf.net import change_log, connection
from fawnwharf.net.front_end import scorer_number


def event(seq, *members, complete=False, **more):
    """Build one event of the change log."""
    return {"seq": seq, "fleet": {"complete": complete, "members": list(members), **more}}


class ChangeLogRig(Rig):
    """A front end with scorers of these ids; `delivered`: what its change log delivered, in order."""

    def __init__(self, *ids, **more):
        super().__init__(*map(ScorerPeer, ids), **more)
        self.by_id = {peer.id: peer for peer in self.scorers}
        self.clock_shift_ms, self.delivered, deliver = 0.0, [], self.front.change_log._deliver
        self.front.change_log._deliver = lambda fleet: (self.delivered.append(fleet), deliver(fleet))

    def member(self, id, phase="in_service", **more):
        """Build the entry of a scorer in an event."""
        return self.by_id[id].member(phase, **more)

    @contextmanager
    def shifted_clock(self):
        """Move the monotonic clock of the change log client and all connections by `clock_shift_ms`."""
        real_monotonic_ms = change_log.monotonic_ms

        def shifted_monotonic_ms():
            return real_monotonic_ms() + self.clock_shift_ms

        with (
            mock.patch.object(change_log, "monotonic_ms", shifted_monotonic_ms),
            mock.patch.object(connection, "monotonic_ms", shifted_monotonic_ms),
        ):
            yield

    def wait_for_requests(self, count):
        """Wait until the log has received `count` requests; return the words of the last one."""
        self.until(lambda: len(self.log.asked()) == count, f"the log has received {count} requests")
        return self.log.asked()[-1]

    def at(self, seq):
        """Wait until this event is applied."""
        self.until(lambda: self.front.change_log.seq == seq, f"event {seq} is applied")

    def wait_until_log_read(self, seq):
        """Wait until all that the log has written up to event `seq` was read, by sending a heartbeat."""
        self.front.change_log.up_to_date_ms = None
        self.log.say(seq)
        self.until(lambda: self.front.change_log.up_to_date_ms is not None, "the log is read")

    def states(self):
        """The states by which the router selects scorers, by id, except for scorers that are gone."""
        self.until(lambda: self.front._pending_change is None, "the router has received the change")
        scorers = self.front.router.scorers
        found = {id: scorers.get(scorer_number(id)) for id in self.by_id}
        states = {id: scorer.entry.state for id, scorer in found.items() if scorer}
        return {id: state for id, state in states.items() if state is not io.ScorerState.GONE}

    def move_to(self, peer):
        """Let the front end follow another change log."""
        host, port = peer.host_port.split(":")
        self.front.change_log.move((host, int(port)))


def start_other_log(rig, request):
    """Start another change log, which is served together with the rig's other peers."""
    made = LogPeer()
    request.addfinalizer(made.close)
    rig.scorers.append(made)
    return made
