"""Ordering of events across processes, and explanations of what happened to an id."""
