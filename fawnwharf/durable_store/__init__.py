"""What must outlive a front end, kept on disk: docs/recovery.md."""
