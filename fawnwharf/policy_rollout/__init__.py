"""Rollout of policy documents: the policy that front ends apply to calls, and its changes while they run."""
