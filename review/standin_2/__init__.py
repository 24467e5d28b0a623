"""A small platform for the cases of the second review: store, executors, machines and callers."""
