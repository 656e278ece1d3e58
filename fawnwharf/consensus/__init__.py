"""Deciding in common: a few voters keep one short log of decisions, whoever of them fails."""
