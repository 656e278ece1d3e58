"""A replicated log by Raft: messages, the voter state machine, and the store of its persistent state."""
