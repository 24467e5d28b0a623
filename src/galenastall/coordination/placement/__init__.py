"""Which owned worker runs which task."""
