"""How a keeper comes to hold what another one does: wants, pieces, comparisons. Pure.

Pieces are told one a tick, so that no call waits for them, and heard in order: one that is missing, repeated
or does not fit its digest ends the hearing, and all of it is wanted again.
"""

from collections.abc import Callable
from dataclasses import dataclass

from fawnwharf.replication import messages as m
from fawnwharf.replication.claim_store import ClaimStore, claim_digest, format_digest
from fawnwharf.replication.settings import ReplicationSettings

AGAIN_MS = 700.0  # before what was wanted is wanted again
WANTS_AT_ONCE = 2  # catch-ups that are told out at the same time
PIECE = 100  # claims, and the rest of the last call's
LOOKS = 1_000  # calls that are looked at for a piece
PIECE_PAUSE_MS = 5.0


@dataclass(slots=True)
class _Telling:
    number: int
    life: int
    keys: list[str]  # that are yet to be looked at
    claims: Callable[[str], int]  # how many of a call are asked for
    part: int = 0
    digest: int = 0

    def next(self) -> list[str]:
        """The next calls that are asked for: few, and after a bounded look."""
        found: list[str] = []
        count = 0
        for _ in range(min(LOOKS, len(self.keys))):
            key = self.keys.pop()
            if claims := self.claims(key):
                found.append(key)
                count += claims
                if count >= PIECE:
                    break
        return found


@dataclass(slots=True)
class _Hearing:
    number: int
    asked_ms: float
    all: bool
    part: int = 0
    digest: int = 0


class StateTransfer:
    """Owns what is told to other keepers, and heard from them."""

    def __init__(self, settings: ReplicationSettings, shelf: ClaimStore, life: int) -> None:
        self.settings, self.shelf, self.life = settings, shelf, life
        self._hearing: dict[str, _Hearing] = {}
        self._telling: dict[str, _Telling] = {}
        self._differed: dict[str, list[m.BucketRange]] = {}
        self._wants = 0
        self.due_ms = 0.0  # of the next pieces
        self.heard_claims = 0

    @property
    def busy(self) -> bool:
        return bool(self._telling)

    def start_over(self) -> None:
        self._hearing.clear()

    # --- hearing --------------------------------------------------------------------------------

    def want(
        self, now_ms: float, name: str, members: int, wanted: tuple[m.BucketRange, ...] = ()
    ) -> list[m.Send]:
        """Ask a keeper for all, or for some slots, where nothing is being heard from it."""
        heard = self._hearing.get(name)
        if heard is not None and now_ms - heard.asked_ms <= AGAIN_MS:
            return []
        self._wants += 1
        self._hearing[name] = _Hearing(self._wants, now_ms, not wanted)
        return [m.Send((name,), m.StateRequest(self._wants, self.life, members, wanted[:64]))]

    def piece(
        self, now_ms: float, sender: str, piece: m.StateChunk, take: Callable[[m.StoredClaim], bool]
    ) -> bool:
        """Take a part; True where it was the last one of all that the sender holds, and it is sure of that.

        `take` says whether there was room."""
        heard = self._hearing.get(sender)
        mine = heard is not None and (piece.incarnation, piece.request_number) == (self.life, heard.number)
        if not mine or piece.part != heard.part:
            self.shelf.count("a piece out of place")
            return False
        digest = heard.digest + sum(claim_digest(held.key, held.claim) for held in piece.claims)
        if format_digest(digest) != piece.digest:
            self.shelf.count("a piece that does not fit its digest")
            del self._hearing[sender]
            return False
        heard.part, heard.digest, heard.asked_ms = heard.part + 1, digest, now_ms
        self.heard_claims += len(piece.claims)
        if not all([take(held) for held in piece.claims]):
            del self._hearing[sender]  # what there is no room for is not known
            return False
        if not piece.last:
            return False
        del self._hearing[sender]
        return piece.complete and heard.all

    def compare(self, now_ms: float, sender: str, digests: m.StoreDigests, members: int) -> list[m.Send]:
        """Want what differs from another keeper's, twice in a row: once, it may be on its way."""
        differ = self.shelf.differing_ranges(sender, digests.buckets)
        before, self._differed[sender] = self._differed.get(sender, []), differ
        owners = {wanted.owner for wanted in before}
        twice = tuple(wanted for wanted in differ if wanted.owner in owners)
        if not twice:
            return []
        self.shelf.count("differences wanted")
        return self.want(now_ms, sender, members, twice)

    # --- telling --------------------------------------------------------------------------------

    def wanted(self, name: str, want: m.StateRequest, may: Callable[[tuple[str, ...]], bool]) -> None:
        """Another keeper wants what is here. A later want takes the place of an earlier one."""
        spans = {wanted.owner: wanted for wanted in want.ranges}

        def claims(key: str) -> int:
            entry = self.shelf.calls.get(key)
            if entry is None or not may(entry.replicas):
                return 0
            asked = not spans or any(
                claim.owner in spans and spans[claim.owner].first <= claim.bucket < spans[claim.owner].until
                for claim in entry.claims.values()
            )
            return len(entry.claims) if asked else 0

        self._telling[name] = _Telling(want.number, want.incarnation, list(self.shelf.calls), claims)

    def pieces(self, now_ms: float, sure: bool) -> list[m.Send]:
        """The next part for each of the first few that want something."""
        found: list[m.Send] = []
        if now_ms < self.due_ms:
            return found
        self.due_ms = now_ms + PIECE_PAUSE_MS
        for name in list(self._telling)[:WANTS_AT_ONCE]:
            telling = self._telling[name]
            held = [held for key in telling.next() for held in self.shelf.stored_claims(now_ms, key)]
            telling.digest += sum(claim_digest(one.key, one.claim) for one in held)
            last = not telling.keys
            piece = m.StateChunk(
                telling.number,
                telling.life,
                telling.part,
                last,
                tuple(held),
                format_digest(telling.digest),
                sure,
            )
            found.append(m.Send((name,), piece))
            telling.part += 1
            if last:
                del self._telling[name]
        return found
