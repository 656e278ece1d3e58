"""Membership data, settings and health evidence for tests of zones."""

from fawnwharf.zones import settings as s
from fawnwharf.zones.evidence import ZoneEvidence

GOOD = ZoneEvidence(responses=9)
DEAD = ZoneEvidence(timeouts=6, connect_failures=3)
SLOW = ZoneEvidence(responses=9, slow_responses=8)


def members_data(zones="aab", voters=3, regions=None):
    """Decoded membership file with members n0, n1, ... in these zones; the first `voters` are voters."""
    regions = regions or {}
    member_entries = [
        {"name": f"n{n}", "zone": zone, "region": regions.get(zone, "r"), "address": f"127.0.0.1:{5000 + n}"}
        | ({"ballots": f"127.0.0.1:{6000 + n}"} if n < voters else {})
        for n, zone in enumerate(zones)
    ]
    return {"version": 1, "fleet": "f", "number": 1, "members": member_entries}


def members(zones="aab", voters=3, **more):
    """The membership in `members_data`, parsed and checked."""
    return s.membership_from(members_data(zones, voters, **more))


def settings(**more):
    """Zone settings with these changes to the defaults, parsed and checked."""
    return s.settings_from({"version": 1, "members": "m.json", "folder": "state"} | more)
