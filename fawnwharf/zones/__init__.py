"""Failover between zones, decided by the front ends in common. Off unless `serve` is given its settings."""
