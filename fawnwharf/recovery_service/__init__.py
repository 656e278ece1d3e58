"""A front end that goes by the recovery of its fleet: store, cores and processes joined."""
