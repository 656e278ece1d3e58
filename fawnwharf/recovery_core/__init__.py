"""Recovery of a whole fleet from a power loss.

The package decides which stored state is trusted, which queries a starting front end sends, and in which
order service resumes. Everything here is pure: no I/O, no clock, and no randomness except what the caller
passes in. A front end that is started without the recovery option does not import this package.
"""
