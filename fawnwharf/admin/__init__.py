"""The operators' HTTP commands, draining, and hot restart: handing everything over to the next process."""
