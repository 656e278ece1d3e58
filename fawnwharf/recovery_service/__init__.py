"""Recovery of a running front end after a power loss: the store, the core and the process joined."""
