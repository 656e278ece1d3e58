"""What this front end knows by itself of the claims on at-most-once calls, for recovery admission."""

from typing import Protocol

from fawnwharf.net.requests import Call
from fawnwharf.replication.claim_gate import ClaimGate, call_key
from fawnwharf.replication.claims import ClaimPhase
from fawnwharf.replication.core import ReplicationCore


class ClaimStatus(Protocol):
    """What admission asks of the claims."""

    def is_repeat(self, call: Call, /) -> bool:
        """Whether a call has its answer, or never gets one, by what is stored here."""

    def requires_grant(self, class_name: str, /) -> bool:
        """Whether calls of the class run only with grants of their replicas."""


class NoClaims:
    """The status where there is no claim gate."""

    def is_repeat(self, _call: Call, /) -> bool:
        """No call is known."""
        return False

    def requires_grant(self, _class_name: str, /) -> bool:
        """No class needs grants."""
        return False


class StoredClaims:
    """The status by the claim gate and this front end's own claim store, without a query to others."""

    def __init__(self, gate: ClaimGate, core: ReplicationCore) -> None:
        self._gate = gate
        self._core = core

    def is_repeat(self, call: Call) -> bool:
        """Whether the call is in progress here, or was answered, or may run once only and may have run.

        One whose claims only others have can't be told from a new call.
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
        if any(claim.phase is ClaimPhase.ANSWERED for claim in claims):
            return True
        return bool(claims) and mode == "before"

    def requires_grant(self, class_name: str) -> bool:
        """Whether the gate asks the replicas before a call of the class runs."""
        return self._gate.modes.get(class_name) == "before"
