"""Admin commands over HTTP, draining, and hot restart, which hands everything off to the next process."""
