"""fawnwharf: the decisions of a router for functions that are loaded on demand."""

from fawnwharf.policy import Router

__all__ = ["Router", "__version__"]
__version__ = "0.6.0"
