"""Zone plans for tests."""

from fawnwharf.zones import plan as p


def plan(**zones):
    """State, size, spill and region of each zone."""
    made = {}
    for name, (state, size, spill, region) in zones.items():
        share = 1.0 if state == p.SERVING else 0.5 if state == p.RECOVERING else 0.0
        made[name] = p.PlannedZone(state=state, fraction=share, size=size, spillover=spill, region=region)
    return p.Plan(number=1, zones=made)
