"""I/O drivers of a cell: leadership, group commit, executor sessions and callers' requests."""
