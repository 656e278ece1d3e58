"""Replicated calls: call state that several front ends store, so that it survives the loss of one."""
