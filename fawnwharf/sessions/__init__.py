"""Sessions that move between sites, in running front ends: off unless asked for."""
