"""The decisions of one front end, based on CIDRE's conditional speculative scaling.

They are deterministic: the same settings, seed and events give the same actions.
"""

from fawnwharf.policy.router import Router as Router
