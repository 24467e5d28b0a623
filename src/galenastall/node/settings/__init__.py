"""Drivers of the shared tree, and operators' routes to it."""
