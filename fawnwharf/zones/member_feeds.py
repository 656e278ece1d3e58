"""The connections by which a member follows the logs of other members."""

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

    A voter follows the logs of all members and the voter logs of all voters. Other members follow only the
    logs of voters.
    """

    def __init__(
        self,
        loop: EventLoop,
        own: MemberEntry,
        receive: Callable[[LogName, Any], None],
        log: Callable[[str], None],
    ) -> None:
        """`receive` is called with each line and raises ValueError to reject it; `log` gets the reason."""
        self._loop = loop
        self._own = own
        self._receive = receive
        self._log = log
        self._feeds: dict[LogName, MemberLogFollower] = {}

    def follow(self, membership: Membership) -> None:
        """Follow exactly the logs that this membership requires from now on."""
        addresses = self._log_addresses(membership)
        for name in [name for name in self._feeds if name not in addresses]:
            self._feeds.pop(name).close()
        for name, host_port in addresses.items():
            address = address_from(host_port, "members.address")
            if name in self._feeds:
                self._feeds[name].move(address)
                continue
            feed = MemberLogFollower(self._loop, address, self._receiver(name), self._log)
            self._feeds[name] = feed
            feed.connect()

    def _log_addresses(self, membership: Membership) -> dict[LogName, str]:
        """The address of each log to follow."""
        addresses: dict[LogName, str] = {}
        is_voter = bool(self._own.voter_address)
        for member in membership.members:
            if member.name == self._own.name:
                continue
            if is_voter or member.voter_address:
                addresses[LogName(member.name, is_voter_log=False)] = member.address
            if is_voter and member.voter_address:
                addresses[LogName(member.name, is_voter_log=True)] = member.voter_address
        return addresses

    def _receiver(self, name: LogName) -> Callable[[Any], None]:
        return lambda line: self._receive(name, line)

    def check_silence(self) -> None:
        """Reconnect to logs that send nothing although their connection is open."""
        for feed in self._feeds.values():
            feed.run_maintenance()

    def close(self) -> None:
        """Close all connections."""
        for feed in self._feeds.values():
            feed.close()
