"""A soak of one front end process whose discovery fails, while scorers drain, return and hang."""
