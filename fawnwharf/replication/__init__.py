"""State that several front ends keep together, so that what one of them promised outlives it."""
