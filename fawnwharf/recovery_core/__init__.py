"""Return of a whole fleet from a power loss: what is trusted, what is asked, in which order service returns.

Pure cores only: no I/O, no clock, no randomness but what is handed in. `run` imports nothing of it.
"""
