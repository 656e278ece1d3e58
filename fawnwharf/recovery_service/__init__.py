"""Recovery of a running front end after a power loss.

Connects the recovery core to the recovery store and to the other parts of the front end.
"""
