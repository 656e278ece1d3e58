"""Parsing of the endpoint list in a change log event. No I/O.

A member that cannot be read is left out. The changes of the other members, such as drains, are still applied.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fawnwharf.config import ConfigError, Fleet, address_from, fleet_from


@dataclass(slots=True)
class FleetRead:
    """The valid members of an endpoint list, and the errors of the others.

    `errors`: one text for each member that was left out; `unreadable_ids`: the ids of unreadable members,
    which the event lists, but whose state is unknown.
    """

    fleet: Fleet
    errors: list[str]
    unreadable_ids: set[str]

    def drop_unreachable(self, is_listed: Callable[[str], bool]) -> None:
        """Leave out members that enter service without an address and were not listed before.

        No connection to such a member can be opened. `is_listed`: whether an earlier event lists this id.
        """
        members = self.fleet.members
        unreachable = [
            member
            for member in members
            if member.phase == "in_service" and not member.host_port and not is_listed(member.id)
        ]
        for member in unreachable:
            members.remove(member)
            self.errors.append(
                f"member {member.id[:40]!r} left out: not listed before, and without an address"
            )


def read_fleet(data: Any) -> FleetRead:
    """Read the endpoint list of an event; raises ConfigError if it is not a list of members."""
    try:
        fleet = fleet_from(data)
        for member in fleet.members:
            _check_address(member.host_port)
    except ConfigError:
        if not isinstance(data, dict) or not isinstance(data.get("members"), list):
            raise
        return _read_each(data)
    return FleetRead(fleet, [], set())


def _read_each(data: dict[str, Any]) -> FleetRead:
    fleet = fleet_from({**data, "members": []})
    read = FleetRead(fleet, [], set())
    for item in data["members"]:
        try:
            [member] = fleet_from({"members": [item]}).members
            _check_address(member.host_port)
        except ConfigError as error:
            _leave_out(read, item, error)
        else:
            fleet.members.append(member)
    return read


def _leave_out(read: FleetRead, item: Any, error: ConfigError) -> None:
    member_id = item.get("id") if isinstance(item, dict) else None
    if isinstance(member_id, str):
        read.unreadable_ids.add(member_id)
    read.errors.append(f"member {str(member_id)[:40]!r} left out: {error}")


def _check_address(host_port: str) -> None:
    if host_port:
        address_from(host_port, "host_port")
