"""The real front end: sockets, protocols and timers round the decision module."""
