"""Plans for tests of zones."""

from fawnwharf.zones import plan as p


def plan(**zones):
    """A plan; each argument gives a zone's state, size, spillover fraction and region."""
    planned_zones = {}
    for name, (state, size, spillover, region) in zones.items():
        fraction = 1.0 if state == p.SERVING else 0.5 if state == p.RECOVERING else 0.0
        planned_zones[name] = p.PlannedZone(
            state=state, fraction=fraction, size=size, spillover=spillover, region=region
        )
    return p.Plan(number=1, zones=planned_zones)
