"""Prefetch: predicts which sessions will move between zones, and has copies loaded there before. Pure.

Times are milliseconds of the monotonic clock and are handed in.
"""
