"""Prefetch: predicts which sessions will move to another zone, and has copies loaded there in advance.

The package does no I/O and reads no clock: callers pass times in milliseconds of the monotonic clock.
"""
