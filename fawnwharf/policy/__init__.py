"""All decisions of one front end: conditional speculative scaling after CIDRE. Same events, same actions."""

from fawnwharf.policy.router import Router as Router
