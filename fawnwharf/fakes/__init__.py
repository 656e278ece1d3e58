"""The other ends of a front end's sockets, for tests and the lab: scorers, a store, change logs, clients,
relays."""
