"""Sessions that move between zones, in running front ends: placements, migrations, prefetched copies."""
