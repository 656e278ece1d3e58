"""The test bed: many processes of the program on one machine, with faults injected between them."""
