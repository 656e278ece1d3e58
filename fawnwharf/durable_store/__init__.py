"""Storage on disk of the state that a front end needs after a restart. See docs/recovery.md."""
