"""What operators ask of a running front end: scorers taken out, drains, replacement of the process."""
