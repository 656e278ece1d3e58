"""fawnwharf: a front end that routes calls to scorers, which load functions on demand."""

from fawnwharf.policy import Router

__all__ = ["Router", "__version__"]
__version__ = "0.6.0"
