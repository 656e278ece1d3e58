"""spokechute: the decisions of a router for functions that are loaded on demand."""

from spokechute.policy import Router

__all__ = ["Router"]
