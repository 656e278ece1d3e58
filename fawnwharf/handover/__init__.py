"""Hand-over: at which site a session is at home, and how that changes. Pure cores."""
