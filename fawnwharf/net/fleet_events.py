"""The list in an event of the change log, read member by member. Pure.

A member that can't be read is left out alone: the other members' changes, drains among them, must not go
unheard for its sake.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fawnwharf.config import ConfigError, Fleet, address_from, fleet_from


@dataclass(slots=True)
class FleetRead:
    """The sound members of a list, and what was left out of it."""

    fleet: Fleet
    faults: list[str]
    spared: set[str]  # ids of members that were left out: they are named, though not as what

    def leave_out_unknown(self, knows: Callable[[str], bool]) -> None:
        """Nobody can be called who comes into service without an address and was never told with one."""
        members = self.fleet.members
        lost = [m for m in members if m.phase == "in_service" and not m.host_port and not knows(m.id)]
        for member in lost:
            members.remove(member)
            self.faults.append(f"member {member.id[:40]!r} left out: unknown, and without an address")


def read_fleet(data: Any) -> FleetRead:
    """Raises ConfigError where not even the list can be read."""
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
    id = item.get("id") if isinstance(item, dict) else None
    if isinstance(id, str):
        read.spared.add(id)
    read.faults.append(f"member {str(id)[:40]!r} left out: {error}")


def _check_address(host_port: str) -> None:
    if host_port:
        address_from(host_port, "host_port")
