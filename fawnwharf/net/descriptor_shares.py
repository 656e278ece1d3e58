"""The shares of a process's descriptors for clients, for scorers and for everything else."""

CLIENT_SHARE = 0.4  # of the descriptors; client connections use a third at most
SCORER_SHARE = 0.4  # of the descriptors
# Neither share may use these, even at small limits: three standard streams, selector, listener, the pair of
# wake-up sockets, change log, the admin listener and a connection to it, the hot restart socket and the
# hand-off channel, and one for an accept or a dial.
RESERVED_DESCRIPTORS = 13


def descriptor_share(sockets: int, share: float) -> int:
    """The number of descriptors in a share of the process's limit `sockets`; at least 4."""
    return max(4, int(sockets * share))


def scorer_descriptors(sockets: int, part: float = 1.0) -> int:
    """The part of the scorers' share; at small limits the reserved descriptors reduce that share."""
    rest = sockets - descriptor_share(sockets, CLIENT_SHARE) - RESERVED_DESCRIPTORS
    return max(4, int(part * min(sockets * SCORER_SHARE, rest)))
