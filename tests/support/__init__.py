"""Shared helpers of the tests, grouped by what they do."""
