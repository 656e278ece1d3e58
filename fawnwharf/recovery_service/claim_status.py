"""What this front end knows locally about the claims on at-most-once calls, for recovery admission."""

from typing import Protocol

from fawnwharf.net.requests import Call
from fawnwharf.replication.call_identity import call_content, call_key
from fawnwharf.replication.claim_gate import ClaimGate
from fawnwharf.replication.claims import ClaimPhase
from fawnwharf.replication.core import ReplicationCore


class ClaimStatus(Protocol):
    """The queries about claims that admission makes."""

    def is_repeat(self, call: Call, /) -> bool:
        """Whether local state shows that the call was answered or will never be run again."""

    def requires_grant(self, class_name: str, /) -> bool:
        """Whether a call of the class runs only after its replicas have granted it."""


class NoClaims:
    """Claim status of a front end without a claim gate."""

    def is_repeat(self, _call: Call, /) -> bool:
        """Return False: no call is known."""
        return False

    def requires_grant(self, _class_name: str, /) -> bool:
        """Return False: no class needs grants."""
        return False


class StoredClaims:
    """Claim status read from the claim gate and the local claim store, without queries to other members."""

    def __init__(self, gate: ClaimGate, core: ReplicationCore) -> None:
        self._gate = gate
        self._core = core

    def is_repeat(self, call: Call) -> bool:
        """Whether the call is in progress here, was answered, or may already have run and must not run twice.

        A call whose claims are stored only at other members can't be distinguished from a new call.
        """
        mode = self._gate.modes.get(call.class_name, "off")
        if mode == "off":
            return False
        name = call_key(call)
        if name in self._gate.calls:
            return True
        replica = self._core.replica
        entry = replica.claim_store.calls.get(name) if replica else None
        claims = entry.active_claims() if entry else []
        content = call_content(call)
        if any(claim.phase is ClaimPhase.ANSWERED and claim.content == content for claim in claims):
            return True
        return bool(claims) and mode == "before"

    def requires_grant(self, class_name: str) -> bool:
        """Whether the gate obtains grants from the replicas before a call of the class runs."""
        return self._gate.modes.get(class_name) == "before"
