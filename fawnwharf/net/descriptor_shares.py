"""How the descriptors of a process are shared between clients, scorers and everything else."""

CLIENT_SHARE = 0.4  # of the descriptors; clients hold a third at most
SCORER_SHARE = 0.4
# Left over by both, at small limits too: three standard streams, selector, listener, wake pair, change log,
# the operators' listener and a connection to it, the socket for a replacement and the channel to it, one to
# accept or dial with.
RESERVED_DESCRIPTORS = 13


def descriptor_share(sockets: int, share: float) -> int:
    """A share of the descriptors of a process, and a few at the least."""
    return max(4, int(sockets * share))


def scorer_descriptors(sockets: int, part: float = 1.0) -> int:
    """The scorers' share; at small limits the reserved descriptors are taken from it."""
    rest = sockets - descriptor_share(sockets, CLIENT_SHARE) - RESERVED_DESCRIPTORS
    return max(4, int(part * min(sockets * SCORER_SHARE, rest)))
