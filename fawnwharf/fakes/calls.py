"""What a stand-in client wants, its tries, and how a try is put into Thrift and read back. Times are
milliseconds."""

import struct
from dataclasses import dataclass, field

from fawnwharf.net import thrift
from fawnwharf.net.timer_wheel import Timer

# A try is listened for beyond its end before it is held to have no answer: for as long as a busy machine, on
# which all run, may hold up the front end or this process.
LATE_MS = 400.0


@dataclass(frozen=True, slots=True)
class Kind:
    """A class of calls, as the settings have it."""

    name: str
    effect: str = "idempotent"
    promise_ms: float = 400.0
    give_up_ms: float = 1_500.0
    worth: float = 1.0
    part: float = 1.0  # of all calls


@dataclass(slots=True, eq=False)
class Try:
    call_id: str
    front: str
    sent_ms: float
    ttl_ms: float
    seqid: int = 0
    outcome: str = ""  # served, refused, failed, lost (the connection ended), late (nothing in time)
    ended_ms: float = 0.0
    pushback_ms: float = 0.0
    answers: int = 0
    body_good: bool = True
    left: bool = False  # the client itself ended the connection, as another try on it was late


@dataclass(slots=True, eq=False)
class Request:
    """One thing that a client wants, with all its tries."""

    number: int
    kind: Kind
    zone: str
    tenant: str
    function: str
    began_ms: float
    token: str
    tries: list[Try] = field(default_factory=list)
    outcome: str = ""
    ended_ms: float = 0.0
    timer: Timer | None = None
    call_id: str = ""  # of all its tries, where they share one

    @property
    def on_time(self) -> bool:
        return self.outcome == "served" and self.ended_ms - self.began_ms <= self.kind.promise_ms


def message(request: Request, attempt: Try) -> bytes:
    kind = request.kind
    fields = {
        "op": kind.name,
        "call": attempt.call_id,
        "ttl": f"{attempt.ttl_ms:.0f}",
        "org": request.tenant,
        "row": request.function,
        "props": "memory_mb:300;lanes:2;load_ms:400",
    }
    if kind.effect == "deduplicated":
        fields["dedupe"] = request.token
    payload = struct.pack(">bh", thrift.MAP, 1) + thrift._fields(fields)
    payload += struct.pack(">bh", thrift.STRING, 2) + thrift._text(request.token.encode()) + b"\0"
    return thrift._frame(thrift.CALL, b"handle", attempt.seqid, payload)


def withdrawal(attempt: Try) -> bytes:
    payload = struct.pack(">bhib", thrift.I32, 1, attempt.seqid, 0)
    return thrift._frame(thrift.ONEWAY, b"withdraw", 0, payload)


def question(number: int) -> bytes:
    """Whether a front end is ready."""
    return thrift._frame(thrift.CALL, b"status", number, struct.pack(">bhbb", thrift.BOOL, 1, 1, 0))


def read(request: Request, attempt: Try, message: bytes, kind: int, at: int) -> str:
    """The outcome that an answer tells; what it says of the try is noted there."""
    attempt.answers += 1
    if kind == thrift.EXCEPTION:
        return "failed"
    _, number = struct.unpack_from(">bh", message, at)
    if number == 0:
        attempt.body_good = b"done:" + request.token.encode() in message
    elif number == 1 and (place := message.find(b"pushback")) >= 0:
        (size,) = struct.unpack_from(">i", message, place + 8)
        attempt.pushback_ms = float(message[place + 12 : place + 12 + size])
    return ("served", "refused", "failed")[number]
