"""The ground on which many processes of the program are tried out together, and faults put between them."""
