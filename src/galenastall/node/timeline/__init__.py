"""The time line of all processes."""
