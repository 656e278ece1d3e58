"""Failover between zones, decided by the front ends together. Off unless `serve` is given its settings."""
