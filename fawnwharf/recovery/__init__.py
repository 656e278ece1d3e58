"""Return of a whole fleet from a power loss: what is trusted, what is asked, and in which order service
returns.

Pure cores alone: no I/O, no clock, no chance but what is handed in. Nothing of it is imported by `run`.
"""
