"""Rollout of policy documents: which policy front ends decide by, and how it is changed while they run."""
