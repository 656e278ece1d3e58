"""The logs of other members that a member follows."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fawnwharf.config import address_from
from fawnwharf.net.event_loop import EventLoop
from fawnwharf.zones.member_log import MemberLogFollower
from fawnwharf.zones.settings import MemberEntry, Membership


@dataclass(frozen=True)
class LogName:
    """One log of one member."""

    member: str
    is_voter_log: bool


class MemberFeeds:
    """Owns the connections to other members' logs.

    A voter follows the logs of all members and the voter logs of all voters; the other members follow the
    logs of voters.
    """

    def __init__(
        self,
        loop: EventLoop,
        own: MemberEntry,
        receive: Callable[[LogName, Any], None],
        log: Callable[[str], None],
    ) -> None:
        """`receive` takes each line, and raises ValueError to reject it; `log` takes why it was rejected."""
        self._loop = loop
        self._own = own
        self._receive = receive
        self._log = log
        self._feeds: dict[LogName, MemberLogFollower] = {}

    def follow(self, membership: Membership) -> None:
        """Follow the members of this membership from now on, and nobody else."""
        wanted = self._wanted(membership)
        for name in [name for name in self._feeds if name not in wanted]:
            self._feeds.pop(name).close()
        for name, host_port in wanted.items():
            address = address_from(host_port, "members.address")
            if name in self._feeds:
                self._feeds[name].move(address)
                continue
            feed = MemberLogFollower(self._loop, address, self._receiver(name), self._log)
            self._feeds[name] = feed
            feed.connect()

    def _wanted(self, membership: Membership) -> dict[LogName, str]:
        """The addresses of the logs to follow."""
        wanted: dict[LogName, str] = {}
        votes = bool(self._own.voter_address)
        for member in membership.members:
            if member.name == self._own.name:
                continue
            if votes or member.voter_address:
                wanted[LogName(member.name, is_voter_log=False)] = member.address
            if votes and member.voter_address:
                wanted[LogName(member.name, is_voter_log=True)] = member.voter_address
        return wanted

    def _receiver(self, name: LogName) -> Callable[[Any], None]:
        return lambda line: self._receive(name, line)

    def check_silence(self) -> None:
        """Reconnect to logs that are silent although their connection is open."""
        for feed in self._feeds.values():
            feed.run_maintenance()

    def close(self) -> None:
        """Follow no log any more."""
        for feed in self._feeds.values():
            feed.close()
