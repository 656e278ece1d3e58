"""Which sessions will move between sites, and what is staged for it. Pure; times are of the monotonic
clock."""
