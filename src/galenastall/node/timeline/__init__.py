"""The time line over all processes."""
