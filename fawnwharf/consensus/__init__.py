"""Raft consensus log: its messages, the voter state machine and the store of a voter's persistent state."""
