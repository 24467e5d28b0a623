"""Pacing of appends to the log."""
