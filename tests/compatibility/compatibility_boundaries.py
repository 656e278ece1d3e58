"""Boundaries of the program, with the type and the program's decoder and encoder of each.

An entry of the corpus has the id `<boundary>/<form>`, and `BOUNDARIES` is keyed by the boundary's name.
Classes are referenced by import, so that tools rename them here as well.
"""

from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from fawnwharf import config
from fawnwharf.admin import handoff_messages as successor
from fawnwharf.admin import learned_state as beliefs
from fawnwharf.consensus import messages as consensus
from fawnwharf.consensus import voter_store as voter_disk
from fawnwharf.durable_store import file_format, operations
from fawnwharf.migration import messages as migrations
from fawnwharf.policy_rollout import messages as policy
from fawnwharf.policy_rollout import policy_file as policy_file
from fawnwharf.policy_rollout import settings as policy_settings
from fawnwharf.prefetch import baseline_strategies
from fawnwharf.prefetch import learned_state as prefetch_memory
from fawnwharf.recovery_core import register as recovery_register
from fawnwharf.recovery_service import hints, permit_messages, stored_state
from fawnwharf.recovery_service import messages as recovery_words
from fawnwharf.replication import claims
from fawnwharf.replication import grant_log as keeper_disk
from fawnwharf.replication import messages as state
from fawnwharf.sessions import left, staging_messages
from fawnwharf.sessions import settings as session_settings
from fawnwharf.sessions import words as session_words
from fawnwharf.zones import log_lines, member_log, plan, report
from fawnwharf.zones import settings as zone_settings

CORPUS = Path(__file__).parent / "corpus"


class Boundary(NamedTuple):
    """One root type at one boundary.

    `through` names the field with a union each of whose members has its own entry. `binary` marks msgpack,
    which the corpus stores as hexadecimal.
    """

    kind: Any
    decode: Callable[[bytes], Any]
    encode: Callable[[Any], bytes]
    through: str = ""
    binary: bool = False
    strict: bool = False  # unknown keys are rejected


def on_line(value: Any) -> bytes:
    """Encode a value as in a line of a log: converted to builtins, by the logs' encoder."""
    return member_log.line_encoder.encode(msgspec.to_builtins(value))


def line(kind: Any, read: Callable[[Any], Any], through: str = "") -> Boundary:
    """A part of a log line, which is decoded before `read` converts it."""
    return Boundary(kind, lambda data: read(msgspec.json.decode(data)), on_line, through)


def file(kind: Any) -> Boundary:
    """A record or a file in JSON."""
    return Boundary(kind, lambda data: msgspec.json.decode(data, type=kind), msgspec.json.encode)


def converted(kind: Any) -> Boundary:
    """A value of the durable store, which is converted from builtins."""
    return line(kind, lambda data: msgspec.convert(data, kind))


def packed(kind: Any, through: str = "") -> Boundary:
    """A value in msgpack that is sent between processes."""
    return Boundary(
        kind, lambda data: msgspec.msgpack.decode(data, type=kind), msgspec.msgpack.encode, through, True
    )


BOUNDARIES: dict[str, Boundary] = {
    "consensus/message": line(consensus.Message, consensus.message_from_object),
    "consensus/label": file(voter_disk.DiskIdentity),
    "consensus/saved": file(consensus.PersistentState),
    "storage/head": file(file_format.FileHeader),
    "storage/group": file(file_format.CommitGroup),
    "storage/piece": file(file_format.SnapshotChunk),
    "storage/foot": file(file_format.SnapshotFooter),
    "storage/job": packed(operations.DiskJob, "operations"),
    "storage/outcome": packed(operations.JobResult),
    "policy/message": line(policy.Message, policy.decode_message),
    "policy/standing": line(policy.MemberStatus, policy.decode_member_status),
    "policy/kept": file(policy_file.StoredPolicy),
    "policy/request": Boundary(
        policy_settings.PolicyRequest,
        lambda data: msgspec.json.decode(data,
        type=policy_settings.PolicyRequest),
        msgspec.json.encode, strict=True,
    ),
    "prefetch/word": converted(staging_messages.Word),
    "prefetch/memory": packed(prefetch_memory.LearnedState),
    "prefetch/foretold": Boundary(
        baseline_strategies.KnownMove,
        lambda data: baseline_strategies.parse_known_moves(data)[0],
        msgspec.json.encode,
    ),
    "migration/message": converted(migrations.Message),
    "successor/message": Boundary(successor.Message, successor.decode, successor.encode, binary=True),
    "successor/memory": packed(beliefs.LearnedState),
    "successor/state": packed(beliefs.HandedOverState),
    "successor/ids": packed(beliefs.StateWithRequestIds),
    "recovery/register": Boundary(
        recovery_register.RecoveryRegister, lambda data: recovery_register.parse_register(data.decode()),
        lambda value: value.encode().encode(),
    ),
    "recovery/word": line(recovery_words.RecoveryMessage, recovery_words.recovery_message_from),
    "recovery/shown": converted(recovery_words.DisplayedStatus),
    "recovery/given": line(permit_messages.PermitMessage, permit_messages.permit_message_from),
    "recovery/stamped": file(stored_state.StampedEntry),
    "recovery/claim": converted(claims.Claim),
    "recovery/scorers": converted(list[hints._StoredScorer]),
    "recovery/use": converted(list[hints._StoredUsage]),
    "state/line": line(state.LogLine, state.parse_line, "message"),
    "state/head": file(keeper_disk.Head),
    "state/batch": file(keeper_disk.Batch),
    "sessions/word": line(session_words.Word, session_words.word_from),
    "sessions/left": file(left._Left),
    "sessions/stored": converted(left._One),
    "sessions/wishes": file(session_settings.Wishes),
    "zones/line": converted(log_lines.LogLine),
    "zones/words": converted(log_lines.ClientMessages),
    "zones/plan": Boundary(
        plan.Plan, lambda data: plan.plan_from(data.decode()), lambda value: value.encode().encode()
    ),
    "zones/report": converted(report.Report),
    "zones/wishes": file(zone_settings.DrainRequest),
    "zones/members": file(zone_settings.Membership),
    "scorers/fleet": Boundary(
        config.Fleet, lambda data: config.fleet_from(msgspec.json.decode(data)), msgspec.json.encode
    ),
}  # fmt: skip


def boundary_of(entry: str) -> str:
    """The name of the boundary with which an entry's id begins."""
    return "/".join(entry.split("/")[:2])


def entries() -> dict[str, bytes]:
    """All recorded entries by id, as bytes that the program has written."""
    found: dict[str, bytes] = {}
    for path in sorted(CORPUS.glob("*.messages")):
        for text in path.read_text(encoding="utf-8").split("\n")[:-1]:
            entry, _, value = text.partition(" ")
            binary = BOUNDARIES[boundary_of(entry)].binary if boundary_of(entry) in BOUNDARIES else False
            found[entry] = bytes.fromhex(value) if binary else value.encode()
    return found
