"""Failover between zones, which the front ends decide by consensus; off unless `serve` gets its settings."""
