"""The sequence numbers of the requests on one connection. No I/O.

PROTOCOL, "Clients to front ends": "On each connection, sequence numbers start at 1 and count up." A number
that is used again would give one request the answer of another one. Numbers may be left out, as status calls
and withdrawals may have numbers of their own.
"""

FIRST_NUMBER = 1


class SequenceNumbers:
    """Knows the highest number that a request has used; `highest` is 0 before the first one."""

    def __init__(self) -> None:
        self.highest = 0

    def use(self, seqid: int) -> bool:
        """Use a number for a request; return False if it does not count up, which changes nothing."""
        if seqid <= self.highest:
            return False
        self.highest = seqid
        return True
