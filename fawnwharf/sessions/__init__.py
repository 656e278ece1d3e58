"""Sessions that move between sites, in running front ends: homes, hand-overs, what is staged."""
