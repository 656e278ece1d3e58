"""How much memory the bytes of clients may take, from the memory limit of the process. No I/O."""

from dataclasses import dataclass

MEGABYTE = 1024 * 1024
BASE_MB = 32  # the process itself, with what it learns
MAX_BYTES = 32 * MEGABYTE  # of one share
MIN_BYTES = MEGABYTE
MIN_UNSENT_BYTES = 4 * MEGABYTE  # answers to slow readers; a client that is closed loses them
# Parts of what is left of the limit.
BODIES_PART, UNSENT_PART, PARTIAL_PART = 0.35, 0.45, 0.2


@dataclass(frozen=True, slots=True)
class MemoryShares:
    """Limits in bytes, over all clients: bodies of open requests, unsent answers, incomplete messages."""

    body_bytes: int = MAX_BYTES
    unsent_bytes: int = MAX_BYTES
    partial_bytes: int = MAX_BYTES


def memory_shares(memory_mb: int) -> MemoryShares:
    """Return the shares for a memory limit."""
    free_bytes = (memory_mb - BASE_MB) * MEGABYTE
    return MemoryShares(
        body_bytes=_share(free_bytes, BODIES_PART),
        unsent_bytes=max(MIN_UNSENT_BYTES, _share(free_bytes, UNSENT_PART)),
        partial_bytes=_share(free_bytes, PARTIAL_PART),
    )


def _share(free_bytes: int, part: float) -> int:
    return min(MAX_BYTES, max(MIN_BYTES, int(part * free_bytes)))
