"""A front end in the test's own thread, and both ends of a hand-off that the test can play."""

import socket
import tempfile

from peers import ClientPeer, Rig, ready

from fawnwharf.admin import handoff_channel, service
from fawnwharf.admin import handoff_messages as messages
from fawnwharf.admin.handoff_directory import HandoffDirectory
from fawnwharf.admin.handoff_request import InheritedState
from fawnwharf.admin.http import AdminRequest


class HandoffRig(Rig):
    """A front end with its admin service, which finds other processes in a directory of its own."""

    def __init__(self, *scorers, extension=None, **more):
        super().__init__(*scorers, **more)
        self.folder = tempfile.TemporaryDirectory()
        self.front._extension = extension
        directory = HandoffDirectory(self.folder.name, "", self.front.address)
        self.admin = service.AdminService(self.front, ("127.0.0.1", 0), InheritedState(directory))
        self.admin.start()
        self.ends = []

    def command(self, path, scorer_id=""):
        """An operator's command at this process; returns the status."""
        query = (("target", scorer_id),) if scorer_id else ()
        return self.admin.handle(AdminRequest("POST", path, query)).status

    def run_for(self, ms):
        """Run the event loop for this time, as measured by a timer of its own."""
        due = []
        self.front.loop.timers.after(ms, lambda: due.append(1))
        self.until(lambda: due, "the time has passed")

    def called(self, scorer, **fields):
        """A client whose call runs at a scorer and has no answer yet."""
        client = self.client()
        before = len(scorer.runs)
        client.call(**fields)
        self.until(lambda: len(scorer.runs) > before, "the call runs")
        return client

    def close(self):
        super().close()
        for end in self.ends:
            end.close()
        self.folder.cleanup()


class ChannelEnd:
    """One end of the hand-off channel: sends messages, and collects those that it receives."""

    def __init__(self, rig, sock):
        self.rig, self.sock, self.received, self.sockets = rig, sock, [], []
        rig.ends.append(self)

    def send(self, message, carried=None):
        handoff_channel.send(self.sock, messages.encode(message), carried)

    def of(self, kind):
        """The received messages of a kind."""
        while ready(self.sock, 0.0) and (received := handoff_channel.receive(self.sock)) is not None:
            self.received.append(received.message)
            if received.carried is not None:
                self.sockets.append(received.carried)
        return [message for message in self.received if isinstance(message, kind)]

    def until(self, kind, count=1):
        """Wait for messages of a kind; returns the last of them."""
        self.rig.until(lambda: len(self.of(kind)) >= count, f"{kind.__name__} is received")
        return self.of(kind)[-1]

    def data_before(self, message):
        """The data of the chunks that were received directly before a message."""
        chunks = []
        for earlier in reversed(self.received[: self.received.index(message)]):
            if not isinstance(earlier, messages.Chunk):
                break
            chunks.insert(0, earlier.data)
        return b"".join(chunks)

    def close(self):
        for sock in (self.sock, *self.sockets):
            sock.close()


def connect_successor(rig, **hello):
    """Connect the end of a successor, which has sent its Hello; `hello` has further fields of that."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with rig.admin.hot_restart.directory.socket_address() as address:
        sock.connect(address)
    sock.setblocking(False)
    end = ChannelEnd(rig, sock)
    end.send(messages.Hello(messages.VERSION, rig.front.address, **hello))
    return end


def become_ready(successor, accepts_open_calls=True):
    """Have a successor say that it is ready; an older one does not accept open calls."""
    if accepts_open_calls:
        successor.send(messages.AcceptsOpenCalls())
    successor.send(messages.SuccessorReady())
    successor.rig.until(lambda: successor.rig.admin.is_replaced, "the front end hands off")


def ready_successor(rig, accepts_open_calls=True):
    """Connect the end of a successor that accepts connections."""
    end = connect_successor(rig)
    end.until(messages.ListenerHandoff)
    become_ready(end, accepts_open_calls)
    return end


def connect_predecessor(rig):
    """Connect the end of a predecessor."""
    near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    rig.admin.hot_restart._open_predecessor_channel(near)
    far.setblocking(False)
    return ChannelEnd(rig, far)


def hand_off_client(rig, predecessor, waiting=(), number=0, open_calls=()):
    """A client whose connection the predecessor hands off, with calls that wait or are open on it."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = ClientPeer(server.getsockname())
        sock = server.accept()[0]
    client.seqid = max([0, *open_calls, *(call.seqid for call in waiting)])
    rig.clients.append(client)
    for call in waiting:
        predecessor.send(call)
    if open_calls:
        predecessor.send(messages.OpenCalls(number, open_calls))
    predecessor.send(messages.ConnectionHandoff(), sock)
    sock.close()
    rig.until(lambda: rig.front.client_port.clients, "the connection is taken over")
    return client
